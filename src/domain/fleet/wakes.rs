//! When entries that wait for news of the fleet are woken.
//!
//! Answers the load after a loss of power, and that of many engines reclaimed together: each of over a
//! hundred engines is news within 0.2 s, and an answer to each entry for each of them takes the hub
//! most of a second.

use super::Position;

/// Shortest time between two times at which entries are woken. Sidecars read the notice of an engine
/// every 40 ms, and the shortest notice is 1.5 s.
const WAKE_EVERY_MS: u64 = 25;

/// Joins the news of a short time.
#[derive(Debug, Default)]
pub struct Wakes {
    /// When entries will be woken, if there is news.
    due_ms: Option<u64>,
    next_ms: u64,
    /// What entries were last woken for.
    told: Option<Position>,
}

impl Wakes {
    /// Takes note of news. Returns when entries are to be woken, or none if they will be anyway.
    pub fn request(&mut self, now_ms: u64) -> Option<u64> {
        let is_first = self.due_ms.is_none();
        let due_ms = *self.due_ms.get_or_insert(self.next_ms.max(now_ms));
        is_first.then_some(due_ms)
    }

    /// Takes note that entries are woken for all news up to `position`.
    pub fn done(&mut self, position: Option<Position>, now_ms: u64) {
        self.due_ms = None;
        self.next_ms = now_ms + WAKE_EVERY_MS;
        self.told = position;
    }

    /// Returns true if entries were woken for a list that one at `held` does not know.
    pub fn has_told(&self, held: Position) -> bool {
        self.told
            .is_some_and(|told| told.hub == held.hub && told.list_revision > held.list_revision)
    }
}
