//! Long polls, each over many generations.

use std::sync::{Arc, Weak};
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::{Instant, timeout_at};

use super::core::Core;
use super::metrics::metrics;
use crate::adapters::clock::monotonic_ms;
use crate::domain::stream::PollView;
use crate::rpc::MAX_FRAME_BYTES;
use crate::rpc::sidecar::{Cursor, PollReply, PollRequest, StreamUpdate};

/// Upper bound on the time that a poll waits for updates.
const MAX_HOLD_MS: u64 = 10_000;
/// Upper bound on the token text in one reply; leaves space for the rest of the frame.
const MAX_REPLY_TEXT_BYTES: usize = MAX_FRAME_BYTES / 4;

impl Core {
    /// Answers as soon as any of the generations has an update, at the latest after the hold time.
    pub(super) async fn poll(&self, request: PollRequest) -> PollReply {
        self.subscriber.observe(&request.stamp);
        if request.incarnation != self.subscriber.me().incarnation {
            return self.reply(request.cursors.iter().map(unknown_update).collect());
        }
        let deadline = Instant::now() + Duration::from_millis(request.hold_ms.min(MAX_HOLD_MS));
        let notify = Arc::new(Notify::new());
        let updates = loop {
            let updates = self.read_or_register(&request.cursors, &notify);
            if !updates.is_empty() || Instant::now() >= deadline {
                break updates;
            }
            // After a time-out, too, the loop reads once more before it ends.
            let _ = timeout_at(deadline, notify.notified()).await;
        };
        self.remove_waiters(&request.cursors, &notify);
        self.reply(updates)
    }

    /// Returns the updates of all cursors, and registers as a waiter of each generation that has
    /// none.
    fn read_or_register(&self, cursors: &[Cursor], notify: &Arc<Notify>) -> Vec<StreamUpdate> {
        let now_ms = monotonic_ms();
        let mut view = PollView::default();
        for cursor in cursors {
            let mut shard = self.shard(cursor.generation);
            let before = view.updates.len();
            shard
                .generations
                .read(now_ms, cursor, MAX_REPLY_TEXT_BYTES, &mut view);
            let waiters = shard.waiters.entry(cursor.generation).or_default();
            let is_registered = waiters.iter().any(|waiter| belongs_to(waiter, notify));
            if view.updates.len() == before && !is_registered {
                // A poll whose caller disconnected is dropped without removing its waiters.
                waiters.retain(|waiter| waiter.strong_count() > 0);
                waiters.push(Arc::downgrade(notify));
            }
        }
        view.updates
    }

    /// Removes this poll from the waiters of its generations.
    fn remove_waiters(&self, cursors: &[Cursor], notify: &Arc<Notify>) {
        for cursor in cursors {
            let mut shard = self.shard(cursor.generation);
            if let Some(waiters) = shard.waiters.get_mut(&cursor.generation) {
                waiters.retain(|waiter| !belongs_to(waiter, notify));
                if waiters.is_empty() {
                    shard.waiters.remove(&cursor.generation);
                }
            }
        }
    }

    fn reply(&self, updates: Vec<StreamUpdate>) -> PollReply {
        let tokens = updates.iter().filter_map(|update| update.chunk.as_ref());
        let tokens: usize = tokens.map(|chunk| chunk.tokens.len()).sum();
        let tokens = f64::from(u32::try_from(tokens).unwrap_or(u32::MAX));
        metrics().poll_tokens.observe(tokens);
        PollReply {
            stamp: self.subscriber.stamp(),
            updates,
            load: self.load(),
        }
    }
}

/// Returns true if the waiter belongs to the poll that is notified through `notify`.
fn belongs_to(waiter: &Weak<Notify>, notify: &Arc<Notify>) -> bool {
    std::ptr::eq(waiter.as_ptr(), Arc::as_ptr(notify))
}

fn unknown_update(cursor: &Cursor) -> StreamUpdate {
    StreamUpdate {
        generation: cursor.generation,
        chunk: None,
        end: None,
        origin: None,
        unknown: true,
    }
}
