//! Sampling of routine log lines, which only record that a request succeeded.
//!
//! Up to a rate limit all of them are written. Above it only those of sampled requests are; every
//! process samples the same requests, so that a sampled request can be traced across processes.

use std::sync::atomic::{AtomicU64, Ordering};

use xxhash_rust::xxh3::xxh3_64;

/// The log target of routine lines. Refusals, failures and state changes are logged under other
/// targets and are never sampled.
pub const ROUTINE: &str = "lilacspindle::routine";
/// Number of routine lines that a process writes in one second before sampling begins. An entry of
/// the supported sites serves at most about 60 calls a second; a line takes about 500 bytes.
const UNSAMPLED_LINES_PER_S: u64 = 200;
/// Above that rate, the lines of one request in this many are written.
const SAMPLE_ONE_IN: u64 = 16;

/// Decides which routine lines of one process are written.
#[derive(Debug)]
pub struct Sampler {
    /// The current second in the upper 32 bits, the lines seen in it in the lower 32 bits.
    second_and_count: AtomicU64,
}

impl Default for Sampler {
    fn default() -> Self {
        Self::new()
    }
}

impl Sampler {
    /// Returns a sampler that has seen no lines.
    pub const fn new() -> Self {
        Self {
            second_and_count: AtomicU64::new(0),
        }
    }

    /// Returns true if a routine line of the request is to be written.
    pub fn should_log(&self, request: &str, now_ms: u64) -> bool {
        let second = now_ms / 1_000;
        let next = |packed: u64| match packed >> 32 == second & u64::from(u32::MAX) {
            true => packed + 1,
            false => (second << 32) + 1,
        };
        let previous =
            self.second_and_count
                .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |packed| {
                    Some(next(packed))
                });
        // `next` always returns a value, so the update succeeds; both arms hold the previous value.
        let (Ok(previous) | Err(previous)) = previous;
        let lines = next(previous) & u64::from(u32::MAX);
        lines <= UNSAMPLED_LINES_PER_S || xxh3_64(request.as_bytes()).is_multiple_of(SAMPLE_ONE_IN)
    }
}
