//! Rate limit for waking entries that wait for updates from the hub.
//!
//! After a power loss, or when many engines are reclaimed together, over a hundred engines change
//! within 0.2 s. Sending each entry a response for each change would take the hub most of a second.

use super::Position;

/// Shortest interval between two times at which entries are woken. Sidecars check every 40 ms
/// whether their engine has been given notice, and the shortest notice is 1.5 s.
const MIN_WAKE_INTERVAL_MS: u64 = 25;

/// Batches updates that follow each other closely.
#[derive(Debug, Default)]
pub struct WakeLimiter {
    /// When entries will be woken; `None` if nothing is pending.
    due_ms: Option<u64>,
    /// Entries are not woken again before this time.
    next_ms: u64,
    /// The position that entries were last woken for.
    last_position: Option<Position>,
}

impl WakeLimiter {
    /// Records an update. Returns when entries have to be woken, or `None` if that is already
    /// scheduled.
    pub fn request(&mut self, now_ms: u64) -> Option<u64> {
        let is_first = self.due_ms.is_none();
        let due_ms = *self.due_ms.get_or_insert(self.next_ms.max(now_ms));
        is_first.then_some(due_ms)
    }

    /// Records that entries are woken for all updates up to `position`.
    pub fn done(&mut self, position: Option<Position>, now_ms: u64) {
        self.due_ms = None;
        self.next_ms = now_ms + MIN_WAKE_INTERVAL_MS;
        self.last_position = position;
    }

    /// Returns true if entries were woken for a list of the same hub that is newer than the one at
    /// `held`.
    pub fn has_woken_for_newer_list(&self, held: Position) -> bool {
        self.last_position
            .is_some_and(|last| last.hub == held.hub && last.list_revision > held.list_revision)
    }
}
