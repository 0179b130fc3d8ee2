//! Retry budgets, exponential backoff with full jitter, and the rule that allows a retry.

mod window;

pub use window::WindowBudget;

/// Budget that a success adds, in thousandths of a retry.
const GAIN_PER_SUCCESS: u64 = 100;
/// Budget that each millisecond adds, in thousandths of a retry: one retry per second.
const GAIN_PER_MS: u64 = 1;
/// Cost of a retry, in thousandths of a retry.
const COST_PER_RETRY: u64 = 1_000;
/// Upper bound of the pause before the first retry; doubles with each further retry.
const FIRST_BACKOFF_MS: u64 = 20;
/// Upper bound of the pause before any retry.
const MAX_BACKOFF_MS: u64 = 2_000;

/// Token bucket for retries. Each success adds a tenth of a retry, and each second adds one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Budget {
    /// In thousandths of a retry.
    available: u64,
    /// In thousandths of a retry.
    capacity: u64,
    filled_at_ms: u64,
}

impl Budget {
    /// Creates a full budget with a capacity of `limit` retries.
    pub fn new(limit: u64, now_ms: u64) -> Self {
        let capacity = limit.saturating_mul(COST_PER_RETRY);
        Self {
            available: capacity,
            capacity,
            filled_at_ms: now_ms,
        }
    }

    /// Adds the share of a successful request to the budget.
    pub fn succeed(&mut self) {
        self.add(GAIN_PER_SUCCESS);
    }

    /// Returns true if the budget allows a retry; does not take one.
    pub fn has_retry(&mut self, now_ms: u64) -> bool {
        let elapsed_ms = now_ms.saturating_sub(self.filled_at_ms);
        self.filled_at_ms = self.filled_at_ms.max(now_ms);
        self.add(elapsed_ms.saturating_mul(GAIN_PER_MS));
        self.available >= COST_PER_RETRY
    }

    /// Takes a retry and returns true, or returns false if the budget does not allow one.
    pub fn take(&mut self, now_ms: u64) -> bool {
        let is_allowed = self.has_retry(now_ms);
        if is_allowed {
            self.available -= COST_PER_RETRY;
        }
        is_allowed
    }

    fn add(&mut self, amount: u64) {
        self.available = self.available.saturating_add(amount).min(self.capacity);
    }
}

/// Returns the pause before a retry: uniformly distributed up to a bound that doubles with each
/// retry. `random` is a uniformly distributed number.
pub fn pause_ms(retries_before: u32, random: u64) -> u64 {
    let max_pause_ms = FIRST_BACKOFF_MS
        .saturating_mul(1_u64 << retries_before.min(16))
        .min(MAX_BACKOFF_MS);
    random % (max_pause_ms + 1)
}

/// What is known about whether an attempt without a result was executed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExecutionStatus {
    /// The attempt did not run: it was never sent, was refused, or has a confirmed tombstone (a
    /// record that prevents it from running).
    NotRun,
    /// The attempt was cancelled, or its sidecar or engine was lost: it may have run in part.
    Stopped,
}

/// The facts about a failed attempt that decide whether a retry is allowed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FailedAttempt {
    pub execution: ExecutionStatus,
    /// True if any part of the answer was passed on to the caller.
    pub shown: bool,
    /// True if the request may run more than once: it is repeatable, and no claim binds it to one
    /// attempt.
    pub runs_again: bool,
    /// True if the sidecar refused the attempt for lack of capacity.
    pub overloaded: bool,
    /// Number of earlier refusals for lack of capacity.
    pub overloaded_before: u32,
}

/// Returns whether a new attempt is allowed. The caller also checks the retry budgets and the
/// deadline.
pub fn may_repeat(attempt: &FailedAttempt) -> bool {
    match attempt {
        FailedAttempt { shown: true, .. } => false,
        FailedAttempt {
            overloaded: true,
            overloaded_before,
            ..
        } if *overloaded_before > 0 => false,
        FailedAttempt {
            execution: ExecutionStatus::NotRun,
            ..
        } => true,
        FailedAttempt { runs_again, .. } => *runs_again,
    }
}
