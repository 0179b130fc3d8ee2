//! Retry budgets, backoff with full jitter, and the rule for a new attempt.

mod window;

pub use window::WindowBudget;

/// Part of a retry that each success pays for, in thousandths.
const PER_SUCCESS: u64 = 100;
/// Retries that are paid for by time, in thousandths for each millisecond: one per second.
const PER_MS: u64 = 1;
/// One retry.
const RETRY: u64 = 1_000;
/// Upper bound of the first pause; doubled for each further one.
const FIRST_PAUSE_MS: u64 = 20;
/// Upper bound of any pause.
const MAX_PAUSE_MS: u64 = 2_000;

/// A token bucket of retries, filled by a tenth of the successes and one per second.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Budget {
    held: u64,
    limit: u64,
    filled_at_ms: u64,
}

impl Budget {
    /// Returns a full budget that holds at most `limit` retries.
    pub fn new(limit: u64, now_ms: u64) -> Self {
        let limit = limit.saturating_mul(RETRY);
        Self {
            held: limit,
            limit,
            filled_at_ms: now_ms,
        }
    }

    /// Counts a success.
    pub fn succeed(&mut self) {
        self.add(PER_SUCCESS);
    }

    /// Returns true if a retry is left.
    pub fn has_retry(&mut self, now_ms: u64) -> bool {
        let passed_ms = now_ms.saturating_sub(self.filled_at_ms);
        self.filled_at_ms = self.filled_at_ms.max(now_ms);
        self.add(passed_ms.saturating_mul(PER_MS));
        self.held >= RETRY
    }

    /// Takes a retry and returns true, or returns false if none is left.
    pub fn take(&mut self, now_ms: u64) -> bool {
        let taken = self.has_retry(now_ms);
        if taken {
            self.held -= RETRY;
        }
        taken
    }

    fn add(&mut self, amount: u64) {
        self.held = self.held.saturating_add(amount).min(self.limit);
    }
}

/// Returns the pause before a retry: uniform up to a bound that doubles with each attempt.
pub fn pause_ms(retries_before: u32, random: u64) -> u64 {
    let bound_ms = FIRST_PAUSE_MS
        .saturating_mul(1_u64 << retries_before.min(16))
        .min(MAX_PAUSE_MS);
    random % (bound_ms + 1)
}

/// What is known of an attempt that gave no result.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Proof {
    /// Never sent, refused, or a confirmed tombstone.
    NotRun,
    /// Cancelled, or lost with its sidecar or engine: it may have run in part.
    Stopped,
}

/// What the rule for a new attempt depends on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ended {
    pub proof: Proof,
    /// True once any part of the answer was shown to the caller.
    pub shown: bool,
    /// True if the request may run more than once: it is repeatable, and no claim names one
    /// attempt of it.
    pub runs_again: bool,
    /// True if the sidecar refused the attempt for lack of capacity.
    pub overloaded: bool,
    /// Refusals for overload before this one.
    pub overloaded_before: u32,
}

/// Returns whether a new attempt is allowed; the budgets and the deadline decide beside this.
pub fn may_repeat(ended: &Ended) -> bool {
    match ended {
        Ended { shown: true, .. } => false,
        Ended {
            overloaded: true,
            overloaded_before,
            ..
        } if *overloaded_before > 0 => false,
        Ended {
            proof: Proof::NotRun,
            ..
        } => true,
        Ended { runs_again, .. } => *runs_again,
    }
}
