//! The faults that a proxy injects into its connections.

/// The direction in which bytes travel.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    ToTarget,
    ToClient,
    Both,
}

/// The faults in one direction.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Way {
    pub delay_ms: u64,
    /// Upper bound of the random part of the delay; bytes are not reordered.
    pub jitter_ms: u64,
    pub bytes_per_s: Option<u64>,
    pub dropped: bool,
    pub paused: bool,
}

/// The faults in both directions.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Rules {
    pub to_target: Way,
    pub to_client: Way,
}

impl Rules {
    /// Applies a change to one or both directions.
    pub fn each(&mut self, direction: Direction, change: impl Fn(&mut Way)) {
        if direction != Direction::ToClient {
            change(&mut self.to_target);
        }
        if direction != Direction::ToTarget {
            change(&mut self.to_client);
        }
    }

    pub(super) fn for_direction(&self, direction: Direction) -> Way {
        match direction {
            Direction::ToClient => self.to_client,
            Direction::ToTarget | Direction::Both => self.to_target,
        }
    }
}
