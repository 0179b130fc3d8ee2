//! Long polls over many generations.

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

/// Upper bound on the time that a poll is held.
const MAX_HOLD_MS: u64 = 10_000;
/// Bytes of token text in one reply; leaves room for the rest of the frame.
const REPLY_BYTES: usize = MAX_FRAME_BYTES / 4;

impl Core {
    /// Answers as soon as any of the generations has news, else after the hold time.
    pub(super) async fn poll(&self, request: PollRequest) -> PollReply {
        self.subscriber.observe(&request.stamp);
        if request.incarnation != self.subscriber.me().incarnation {
            return self.reply(request.cursors.iter().map(unknown).collect());
        }
        let deadline = Instant::now() + Duration::from_millis(request.hold_ms.min(MAX_HOLD_MS));
        let news = Arc::new(Notify::new());
        let updates = loop {
            let updates = self.read(&request.cursors, &news);
            if !updates.is_empty() || Instant::now() >= deadline {
                break updates;
            }
            // Either way the loop looks once more.
            let _ = timeout_at(deadline, news.notified()).await;
        };
        self.forget(&request.cursors, &news);
        self.reply(updates)
    }

    /// Returns the news of all cursors, and registers for more of those that have none.
    fn read(&self, cursors: &[Cursor], news: &Arc<Notify>) -> Vec<StreamUpdate> {
        let now_ms = monotonic_ms();
        let mut view = PollView::default();
        for cursor in cursors {
            let mut shard = self.shard(cursor.generation);
            let before = view.updates.len();
            shard
                .generations
                .read(now_ms, cursor, REPLY_BYTES, &mut view);
            let waiters = shard.waiters.entry(cursor.generation).or_default();
            let waits = waiters.iter().any(|waiter| is(waiter, news));
            if view.updates.len() == before && !waits {
                // A poll whose caller went away is dropped without leaving the list.
                waiters.retain(|waiter| waiter.strong_count() > 0);
                waiters.push(Arc::downgrade(news));
            }
        }
        view.updates
    }

    fn forget(&self, cursors: &[Cursor], news: &Arc<Notify>) {
        for cursor in cursors {
            let mut shard = self.shard(cursor.generation);
            if let Some(waiters) = shard.waiters.get_mut(&cursor.generation) {
                waiters.retain(|waiter| !is(waiter, news));
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

/// Returns true if a waiter is that of this poll.
fn is(waiter: &Weak<Notify>, news: &Arc<Notify>) -> bool {
    std::ptr::eq(waiter.as_ptr(), Arc::as_ptr(news))
}

fn unknown(cursor: &Cursor) -> StreamUpdate {
    StreamUpdate {
        generation: cursor.generation,
        chunk: None,
        end: None,
        origin: None,
        unknown: true,
    }
}
