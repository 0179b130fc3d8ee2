//! How long a generation may wait for room, and how long it runs once it has found some.

use crate::domain::admission::AdmissionQueue;
use crate::domain::fleet::Demand;

/// Expected time per output token. Engines of the planned deployments take 7 ms for a step, 0.12 ms
/// more for each running generation and 8 ms more while they process a prompt; 8.8 ms were measured.
const RUN_MS_PER_TOKEN: u64 = 10;
/// Expected time to process a prompt of about 3,000 tokens beside running generations.
const PREFILL_MS: u64 = 300;
/// Time that the caller and the network may take of a caller's patience and of its deadline.
const RESERVE_MS: u64 = 250;
/// Callers honour a Retry-After up to a third of their remaining time. The entry adds up to 40 % of
/// it as jitter, for which this leaves room: 5/21 of the time and 40 % of that are a third.
const USABLE_RETRY: (u64, u64) = (5, 21);

/// Returns the expected time from the placement of a generation to its end.
pub fn expected_run_ms(demand: Demand) -> u64 {
    PREFILL_MS + demand.output_tokens * RUN_MS_PER_TOKEN
}

/// Returns the part of a retry time that a caller with `left_ms` until its deadline can use.
pub fn usable_retry_ms(retry_after_ms: u64, left_ms: u64) -> u64 {
    retry_after_ms.min(left_ms * USABLE_RETRY.0 / USABLE_RETRY.1)
}

/// The times that bound the wait of a generation.
#[derive(Debug, Clone, Copy)]
pub struct WaitBounds {
    pub demand: Demand,
    /// Latency within which its first event counts as on time.
    pub target_ms: u64,
    /// Time for which its caller waits for the first event before it gives up.
    pub patience_ms: u64,
    /// Time since this attempt arrived.
    pub age_ms: u64,
    /// Time until the deadline.
    pub left_ms: u64,
}

impl WaitBounds {
    /// Returns how long the generation may still wait: until it can no longer meet its target or, if
    /// that is later, until a late answer could no longer be completed by the deadline or would find
    /// its caller gone.
    pub fn remaining_ms(&self) -> u64 {
        let limit_ms = AdmissionQueue::limit_ms(self.target_ms);
        let in_time_ms = limit_ms.saturating_sub(self.age_ms).min(self.left_ms);
        let read_ms = AdmissionQueue::read_within_ms(self.target_ms) + RESERVE_MS;
        let patience_ms = self.patience_ms.saturating_sub(self.age_ms + read_ms);
        let completed_ms = read_ms + expected_run_ms(self.demand);
        in_time_ms.max(patience_ms.min(self.left_ms.saturating_sub(completed_ms)))
    }
}
