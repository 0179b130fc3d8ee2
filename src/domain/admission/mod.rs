//! How many generations may wait for room at an entry while control does not answer, and when those
//! turned away should come back. Otherwise they wait at the hub.

/// Weight of the newest observation in the average time between two ends, one in this many.
const AVERAGE_OVER: f64 = 8.0;
/// Expected time between two ends before one was seen: an entry of the sites planned for ends one
/// generation in this time.
const FIRST_DRAIN_MS: f64 = 600.0;
/// A pause longer than this says nothing about the drain under load.
const LONGEST_DRAIN_MS: f64 = 2_000.0;
/// Part of the time to the target that a generation may wait for room, in hundredths. The rest is
/// for reading its prompt.
const WAIT_PERCENT: u64 = 50;
/// Those that come back sooner meet the same engines without room, and cost the entry a request each.
const SHORTEST_RETRY_MS: u64 = 250;
/// Longer estimates say nothing: engines are replaced within this time on the sites planned for.
const LONGEST_RETRY_MS: u64 = 5_000;

/// Returns when a caller should come back that is turned away while room is expected in so long.
pub fn retry_after_ms(expected_ms: u64) -> u64 {
    expected_ms.clamp(SHORTEST_RETRY_MS, LONGEST_RETRY_MS)
}

/// The generations of one entry that wait for room.
///
/// Answers the load of a burst on full engines: those that fit into the time to their target wait,
/// the others are turned away at once instead of being started too late.
#[derive(Debug)]
pub struct Waiting {
    places: u32,
    drain_ms: f64,
    ended_ms: Option<u64>,
}

impl Default for Waiting {
    fn default() -> Self {
        Self {
            places: 0,
            drain_ms: FIRST_DRAIN_MS,
            ended_ms: None,
        }
    }
}

impl Waiting {
    /// Returns how long a generation with this target may wait.
    pub fn limit_ms(target_ms: u64) -> u64 {
        target_ms * WAIT_PERCENT / 100
    }

    /// Returns the time in which the prompt of a generation with this target is to be read, once it has
    /// found room.
    pub fn read_within_ms(target_ms: u64) -> u64 {
        target_ms - Self::limit_ms(target_ms)
    }

    /// Takes a generation in that may wait for `limit_ms`. Fails with the time after which it
    /// should come back, if room is not expected within the limit.
    pub fn join(&mut self, limit_ms: u64) -> Result<(), u64> {
        if self.expected_ms() > limit_ms {
            return Err(self.retry_after_ms());
        }
        self.places += 1;
        Ok(())
    }

    /// Counts a generation that waits no longer.
    pub fn leave(&mut self) {
        self.places = self.places.saturating_sub(1);
    }

    /// Counts the end of a generation, which makes room.
    #[allow(clippy::cast_precision_loss)]
    pub fn ended(&mut self, now_ms: u64) {
        if let Some(before_ms) = self.ended_ms.replace(now_ms) {
            let pause_ms = now_ms.saturating_sub(before_ms) as f64;
            let seen_ms = pause_ms.min(LONGEST_DRAIN_MS);
            self.drain_ms += (seen_ms - self.drain_ms) / AVERAGE_OVER;
        }
    }

    /// Returns when a caller that is turned away should come back: when those that wait now have
    /// found room.
    pub fn retry_after_ms(&self) -> u64 {
        retry_after_ms(self.expected_ms())
    }

    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn expected_ms(&self) -> u64 {
        (f64::from(self.places) * self.drain_ms) as u64
    }
}
