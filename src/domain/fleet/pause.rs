//! The time for which an instance wants no requests from this machine.
//!
//! Answers instances that are overloaded or short of workers: they turn requests away and say for how
//! long. Sending on keeps them overloaded, and a herd at the end of that time overloads them again.

/// Upper bound on a pause. An instance that asks for more is asked again after this time.
const LONGEST_MS: u64 = 300_000;
/// Pause after a request for time that cannot be read.
const UNREADABLE_MS: u64 = 1_000;
/// After a pause an entry keeps one request open at the instance, and twice as many after each step.
const STEP_MS: u64 = 250;
/// After so many steps the instance is used like any other.
const STEPS: u64 = 6;

/// How long an instance wants no requests, as it says beside its refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AskedPause {
    Ms(u64),
    /// It asks for time, in a form that cannot be read.
    Unreadable,
}

impl AskedPause {
    /// Returns how long the instance is left alone.
    pub fn bounded_ms(self) -> u64 {
        match self {
            Self::Ms(pause_ms) => pause_ms.min(LONGEST_MS),
            Self::Unreadable => UNREADABLE_MS,
        }
    }
}

/// The pause of an instance, and its return to use.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Pause {
    until_ms: Option<u64>,
}

impl Pause {
    /// Takes what an instance asks for; a shorter time does not end one that runs.
    pub(super) fn ask(&mut self, asked: AskedPause, now_ms: u64) {
        self.until_ms = self.until_ms.max(Some(now_ms + asked.bounded_ms()));
    }

    /// Returns the rest of the pause; 0 without one.
    pub(super) fn left_ms(&self, now_ms: u64) -> u64 {
        self.until_ms
            .map_or(0, |at_ms| at_ms.saturating_sub(now_ms))
    }

    /// Returns true if an entry with so many requests open there sends no further one for now.
    pub(super) fn holds_back(&self, running: u32, now_ms: u64) -> bool {
        let Some(until_ms) = self.until_ms else {
            return false;
        };
        match now_ms.checked_sub(until_ms) {
            None => true,
            Some(passed_ms) => {
                let steps = passed_ms / STEP_MS;
                steps < STEPS && running >= 1 << steps
            }
        }
    }
}
