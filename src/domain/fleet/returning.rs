//! Calls that were turned away for lack of room, so that those that come back are known.
//!
//! Answers the load of a fleet that is asked for more than it holds over many seconds. A call that
//! comes back too late for its target is answered late in any case, which the users of the sites planned
//! for value at a seventh of an answer in time; what it takes is missing to those that can be in time.

use std::collections::BTreeMap;

/// A call that has not come back after this long is forgotten. Callers come back within a third of
/// the time that they have, 13 s on the sites planned for.
const KEPT_MS: u64 = 15_000;
/// Upper bound on the calls that are kept, less than 1 MB. A fleet of 3,600 requests a second that
/// refuses a third of them reaches it.
const MAX_CALLS: usize = 20_000;

/// When calls that were turned away came first, by what identifies them.
#[derive(Debug, Default)]
pub struct TurnedAway {
    first_ms: BTreeMap<u64, u64>,
}

impl TurnedAway {
    /// Returns when a call that is here now came first.
    pub fn first_ms(&mut self, call: u64, arrived_ms: u64) -> u64 {
        match self.first_ms.get(&call) {
            Some(first_ms) if arrived_ms < first_ms + KEPT_MS => arrived_ms.min(*first_ms),
            _ => arrived_ms,
        }
    }

    /// Remembers a call that is turned away and came first at `first_ms`.
    pub fn remember(&mut self, call: u64, first_ms: u64, now_ms: u64) {
        if self.first_ms.len() >= MAX_CALLS {
            self.first_ms
                .retain(|_, first_ms| now_ms < *first_ms + KEPT_MS);
            // Without this each further call would look through all of them again.
            if self.first_ms.len() > MAX_CALLS / 2 {
                self.first_ms.clear();
            }
        }
        self.first_ms.insert(call, first_ms);
    }

    /// Forgets a call that was placed.
    pub fn forget(&mut self, call: u64) {
        self.first_ms.remove(&call);
    }
}
