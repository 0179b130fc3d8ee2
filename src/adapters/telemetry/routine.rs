//! Sampling of log lines that tell nothing but a good outcome.
//!
//! Below a rate all of them are written. Above it some requests keep theirs, the same ones in every
//! process, so that the way of a sampled request can still be followed.

use std::sync::atomic::{AtomicU64, Ordering};

use xxhash_rust::xxh3::xxh3_64;

/// The target of routine lines. Lines of refusals, failures and changed beliefs have another one and
/// are never sampled.
pub const ROUTINE: &str = "lilacspindle::routine";
/// Routine lines of a process in one second that are all written. An entry of the sites planned for
/// answers some 60 calls a second at most; a line takes about 500 bytes.
const ALL_BELOW_PER_S: u64 = 200;
/// Above that, one request in this many keeps its lines.
const KEPT_ONE_IN: u64 = 16;

/// Counts the routine lines of one process.
#[derive(Debug)]
pub struct Sampler {
    /// The second in the upper half, its lines in the lower half.
    counted: AtomicU64,
}

impl Default for Sampler {
    fn default() -> Self {
        Self::new()
    }
}

impl Sampler {
    /// Returns a sampler that has counted no line.
    pub const fn new() -> Self {
        Self {
            counted: AtomicU64::new(0),
        }
    }

    /// Returns true if a routine line of a request is to be written.
    pub fn keeps(&self, request: &str, now_ms: u64) -> bool {
        let second = now_ms / 1_000;
        let count = |held: u64| match held >> 32 == second & u64::from(u32::MAX) {
            true => held + 1,
            false => (second << 32) + 1,
        };
        let held = self
            .counted
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |held| {
                Some(count(held))
            });
        // The update always succeeds; both arms hold the value before it.
        let (Ok(held) | Err(held)) = held;
        let lines = count(held) & u64::from(u32::MAX);
        lines <= ALL_BELOW_PER_S || xxh3_64(request.as_bytes()).is_multiple_of(KEPT_ONE_IN)
    }
}
