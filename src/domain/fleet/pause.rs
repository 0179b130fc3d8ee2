//! The pause that an instance has requested from this machine.
//!
//! Instances that are overloaded or short of workers reject requests and state for how long.
//! Further requests would keep them overloaded, and so would all entries resuming at once when the
//! pause ends.

/// Upper bound on a pause. An instance that requests a longer one is tried again after this time.
const MAX_PAUSE_MS: u64 = 300_000;
/// Pause for a request whose duration cannot be parsed.
const UNPARSED_PAUSE_MS: u64 = 1_000;
/// After a pause an entry keeps at most one request open at the instance, and twice as many after
/// each step of this duration.
const RAMP_STEP_MS: u64 = 250;
/// After this many steps the limit is lifted.
const RAMP_STEPS: u64 = 6;

/// The pause that an instance requests with a rejection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AskedPause {
    Ms(u64),
    /// It requests a pause whose duration cannot be parsed.
    Unreadable,
}

impl AskedPause {
    /// Returns the length of the pause, within its upper bound.
    pub fn bounded_ms(self) -> u64 {
        match self {
            Self::Ms(pause_ms) => pause_ms.min(MAX_PAUSE_MS),
            Self::Unreadable => UNPARSED_PAUSE_MS,
        }
    }
}

/// The pause of an instance, and the gradual increase of load after it or after a request limit.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Pause {
    until_ms: Option<u64>,
}

impl Pause {
    /// Starts or extends the pause. A shorter request does not shorten a running pause.
    pub(super) fn extend(&mut self, asked: AskedPause, now_ms: u64) {
        self.until_ms = self.until_ms.max(Some(now_ms + asked.bounded_ms()));
    }

    /// Begins the gradual increase of load, unless a pause is running.
    pub(super) fn begin_ramp(&mut self, now_ms: u64) {
        self.until_ms = self.until_ms.max(Some(now_ms));
    }

    /// Returns the rest of the pause; 0 if there is none.
    pub(super) fn remaining_ms(&self, now_ms: u64) -> u64 {
        self.until_ms
            .map_or(0, |at_ms| at_ms.saturating_sub(now_ms))
    }

    /// Returns true if an entry with `running` open requests at the instance must not send another
    /// one now, during the pause or the steps after it.
    pub(super) fn at_concurrency_limit(&self, running: u32, now_ms: u64) -> bool {
        let Some(until_ms) = self.until_ms else {
            return false;
        };
        match now_ms.checked_sub(until_ms) {
            None => true,
            Some(elapsed_ms) => is_over_ramp(elapsed_ms, running),
        }
    }
}

/// Returns true if an entry with `running` open requests at an instance must not send another one
/// `elapsed_ms` after the instance has become available again.
pub(super) fn is_over_ramp(elapsed_ms: u64, running: u32) -> bool {
    let steps = elapsed_ms / RAMP_STEP_MS;
    steps < RAMP_STEPS && running >= 1 << steps
}
