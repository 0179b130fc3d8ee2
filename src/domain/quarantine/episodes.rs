//! Counts crashes that may have a common cause.

/// Reports on one instance within this time concern the same crash. Instances need longer to restart.
pub(super) const SAME_CRASH_MS: u64 = 1_000;
/// Crashes within this time count as one: a rack that fails takes several instances at once, and its
/// crashes are reported within one report interval of the entries.
const EPISODE_MS: u64 = 500;
/// This many crashes count as one more than their episodes: requests that come in quick succession
/// may have taken most instances within two.
const MANY_CRASHES: usize = 5;

/// Crashes that concern the same thing, added in the order of their times.
#[derive(Debug, Default)]
pub(super) struct Marks {
    crashes: usize,
    episodes: usize,
    episode_began_ms: u64,
}

impl Marks {
    pub(super) fn add(&mut self, at_ms: u64) {
        if self.crashes == 0 || at_ms >= self.episode_began_ms + EPISODE_MS {
            self.episodes += 1;
            self.episode_began_ms = at_ms;
        }
        self.crashes += 1;
    }

    pub(super) fn count(&self) -> usize {
        match self.episodes > 1 && self.crashes >= MANY_CRASHES {
            true => self.episodes + 1,
            false => self.episodes,
        }
    }
}
