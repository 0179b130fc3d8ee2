//! Calls that were refused for lack of room, so that their retries are recognized.
//!
//! This matters when the fleet is asked for more than it holds for many seconds. A retry that comes
//! too late for its target is answered late in any case, which the planned deployments value at a
//! seventh of an answer in time, and the room that it takes is missing for calls that can still be
//! in time.

use std::collections::BTreeMap;

/// A call that is not retried within this time is removed. Callers retry within a third of the time
/// that they have, 13 s on the planned deployments.
const CALL_TTL_MS: u64 = 15_000;
/// Upper bound on the number of stored calls, less than 1 MB. A fleet that receives 3,600 requests
/// a second and refuses a third of them reaches it.
const MAX_CALLS: usize = 20_000;

/// The times of the first attempt of refused calls, by an identifier of the call.
#[derive(Debug, Default)]
pub struct RefusedCalls {
    first_ms: BTreeMap<u64, u64>,
}

impl RefusedCalls {
    /// Returns when the first attempt of a call arrived.
    pub fn first_ms(&mut self, call: u64, arrived_ms: u64) -> u64 {
        match self.first_ms.get(&call) {
            Some(first_ms) if arrived_ms < first_ms + CALL_TTL_MS => arrived_ms.min(*first_ms),
            _ => arrived_ms,
        }
    }

    /// Records the refusal of a call whose first attempt arrived at `first_ms`.
    pub fn remember(&mut self, call: u64, first_ms: u64, now_ms: u64) {
        if self.first_ms.len() >= MAX_CALLS {
            self.first_ms
                .retain(|_, first_ms| now_ms < *first_ms + CALL_TTL_MS);
            // Otherwise each further call would scan all of them again.
            if self.first_ms.len() > MAX_CALLS / 2 {
                self.first_ms.clear();
            }
        }
        self.first_ms.insert(call, first_ms);
    }

    /// Removes a call that was placed.
    pub fn forget(&mut self, call: u64) {
        self.first_ms.remove(&call);
    }
}
