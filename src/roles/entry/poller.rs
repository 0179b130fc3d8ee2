//! Polls of one sidecar for all streams of this entry.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures::StreamExt;
use futures::future::BoxFuture;
use futures::stream::FuturesUnordered;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, sleep_until};

use super::inbox::{Inbox, News, Trouble};
use super::metrics::metrics;
use crate::model::{GenerationId, Incarnation, WorkspaceName};
use crate::rpc::sidecar::{Cursor, Origin, PollReply, PollRequest, SidecarClient, StreamUpdate};
use crate::rpc::{CallError, Link, Stamp};

/// Time that the sidecar holds a poll without news.
const HOLD_MS: u64 = 2_000;
/// Limit of a poll, its hold time included.
const POLL_LIMIT: Duration = Duration::from_millis(HOLD_MS + 2_000);
/// Shortest time between polls for streams that have shown tokens, when there are many of them.
/// Tokens of one decoding step of the engine arrive together within it.
const BUSY_PAUSE: Duration = Duration::from_millis(10);
/// Up to this number of streams every token is asked for at once.
const FEW_STREAMS: usize = 4;
/// Pause after a poll that failed.
const FAILURE_PAUSE: Duration = Duration::from_millis(50);
/// Pause after a reply of which nothing could be applied, so that such replies cause no tight loop.
const USELESS_PAUSE: Duration = Duration::from_millis(1);
/// Polls that failed for this long are reported to the readers.
const UNREACHABLE_LIMIT: Duration = Duration::from_secs(3);
/// A reader that does not take its news is polled for at this interval, so that the sidecar does
/// not take its generation for an orphan.
const KEEP_ALIVE: Duration = Duration::from_secs(5);

/// What happens with each reply beside its streams.
pub(super) type NoteReply = Arc<dyn Fn(&PollReply) + Send + Sync>;
/// Returns the stamp for a message.
pub(super) type MakeStamp = Arc<dyn Fn() -> Stamp + Send + Sync>;
/// Returns the incarnation in which the sidecar is registered now.
pub(super) type CurrentIncarnation = Arc<dyn Fn() -> Option<Incarnation> + Send + Sync>;

struct Subscription {
    generation: GenerationId,
    workspace: WorkspaceName,
    inbox: Inbox,
    in_flight: bool,
    polled_at: Option<Instant>,
    /// Wakes the reader.
    ready: Arc<Notify>,
}

impl Subscription {
    fn cursor(&self) -> Cursor {
        Cursor {
            generation: self.generation,
            workspace: self.workspace.clone(),
            from_offset: self.inbox.cursor(),
        }
    }

    fn is_due(&self, now: Instant) -> bool {
        let is_kept_alive = || self.polled_at.is_none_or(|at| now - at >= KEEP_ALIVE);
        !self.in_flight && (self.inbox.wants_more() || is_kept_alive())
    }
}

#[derive(Default)]
struct Readers {
    next: u64,
    subscriptions: BTreeMap<u64, Subscription>,
    /// Cursors at the end of generations, sent once so that the sidecar may drop their logs.
    ends: Vec<Cursor>,
    failing_since: Option<Instant>,
}

/// Polls one incarnation of a sidecar.
pub(super) struct Poller {
    incarnation: Incarnation,
    link: Arc<Link<SidecarClient>>,
    make_stamp: MakeStamp,
    note_reply: NoteReply,
    current_incarnation: CurrentIncarnation,
    readers: Mutex<Readers>,
    changed: Notify,
}

/// A reader of one generation. Dropping it ends the reading, not the generation.
pub(super) struct Reader {
    poller: Arc<Poller>,
    id: u64,
    ready: Arc<Notify>,
}

struct Polled {
    ids: Vec<u64>,
    result: Result<PollReply, CallError>,
}

impl Poller {
    /// Starts the polls of an incarnation. They end once nothing else refers to the poller.
    pub fn start(
        incarnation: Incarnation,
        link: Arc<Link<SidecarClient>>,
        make_stamp: MakeStamp,
        note_reply: NoteReply,
        current_incarnation: CurrentIncarnation,
    ) -> Arc<Self> {
        let poller = Arc::new(Self {
            incarnation,
            link,
            make_stamp,
            note_reply,
            current_incarnation,
            readers: Mutex::default(),
            changed: Notify::new(),
        });
        tokio::spawn(Arc::clone(&poller).run());
        poller
    }

    /// Returns a reader of a generation from an offset on.
    pub fn read(
        self: &Arc<Self>,
        generation: GenerationId,
        workspace: &WorkspaceName,
        from_offset: u32,
    ) -> Reader {
        let ready = Arc::new(Notify::new());
        let mut readers = self.lock();
        if readers.subscriptions.is_empty() {
            // Failures from before a time without polls say nothing about now.
            readers.failing_since = None;
        }
        readers.next += 1;
        let id = readers.next;
        readers.subscriptions.insert(
            id,
            Subscription {
                generation,
                workspace: workspace.clone(),
                inbox: Inbox::from_offset(from_offset),
                in_flight: false,
                polled_at: None,
                ready: Arc::clone(&ready),
            },
        );
        drop(readers);
        metrics().open_streams.inc();
        self.changed.notify_one();
        Reader {
            poller: Arc::clone(self),
            id,
            ready,
        }
    }

    /// Returns true if another reader at this entry reads the generation.
    pub fn is_read(&self, generation: GenerationId) -> bool {
        self.lock()
            .subscriptions
            .values()
            .any(|subscription| subscription.generation == generation)
    }

    fn lock(&self) -> MutexGuard<'_, Readers> {
        self.readers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends polls as streams become due, until the poller is not used by anyone else.
    ///
    /// Streams without a token are polled apart from streams that flow: the pause between polls
    /// for the latter must not delay first tokens.
    async fn run(self: Arc<Self>) {
        let mut polls: FuturesUnordered<BoxFuture<'static, Polled>> = FuturesUnordered::new();
        let mut next_flowing = Instant::now();
        while Arc::strong_count(&self) > 1 || !polls.is_empty() || !self.lock().ends.is_empty() {
            let now = Instant::now();
            if let Some(poll) = self.poll(now, |cursor| cursor == 0) {
                polls.push(poll);
            }
            if next_flowing <= now
                && let Some(poll) = self.poll(now, |cursor| cursor > 0)
            {
                polls.push(poll);
                next_flowing = now + self.pause();
            }
            let wake_at = match next_flowing > now {
                true => next_flowing,
                false => now + KEEP_ALIVE,
            };
            tokio::select! {
                Some(polled) = polls.next() => {
                    if let Some(pause) = self.apply(polled) {
                        sleep(pause).await;
                    }
                }
                () = self.changed.notified() => {}
                () = sleep_until(wake_at) => {}
            }
        }
    }

    fn pause(&self) -> Duration {
        match self.lock().subscriptions.len() {
            0..=FEW_STREAMS => Duration::ZERO,
            _ => BUSY_PAUSE,
        }
    }

    /// Returns a poll for the due streams whose cursor fits, or none if there are none.
    fn poll(&self, now: Instant, fits: fn(u32) -> bool) -> Option<BoxFuture<'static, Polled>> {
        let mut readers = self.lock();
        let mut ids = Vec::new();
        let mut cursors = Vec::new();
        for (id, subscription) in &mut readers.subscriptions {
            if fits(subscription.inbox.cursor()) && subscription.is_due(now) {
                subscription.in_flight = true;
                subscription.polled_at = Some(now);
                ids.push(*id);
                cursors.push(subscription.cursor());
            }
        }
        let ends = match fits(u32::MAX) {
            true => std::mem::take(&mut readers.ends),
            false => Vec::new(),
        };
        drop(readers);
        if ids.is_empty() && ends.is_empty() {
            return None;
        }
        let hold_ms = match ids.is_empty() {
            true => 0,
            false => HOLD_MS,
        };
        cursors.extend(ends);
        metrics().polls.inc();
        let request = PollRequest {
            stamp: (self.make_stamp)(),
            incarnation: self.incarnation,
            cursors,
            hold_ms,
        };
        let link = Arc::clone(&self.link);
        Some(Box::pin(async move {
            let result = link
                .call(POLL_LIMIT, |client, context| async move {
                    client.poll(context, request).await
                })
                .await;
            Polled { ids, result }
        }))
    }

    /// Applies the outcome of a poll. Returns a pause before the next one if it was of no use.
    fn apply(&self, polled: Polled) -> Option<Duration> {
        let mut readers = self.lock();
        for id in &polled.ids {
            if let Some(subscription) = readers.subscriptions.get_mut(id) {
                subscription.in_flight = false;
            }
        }
        match polled.result {
            Ok(reply) => {
                readers.failing_since = None;
                let sender = reply.stamp.sender.incarnation;
                let is_useful = match sender == self.incarnation {
                    true => readers.apply(&reply.updates) || reply.updates.is_empty(),
                    false => {
                        readers.fail(&polled.ids, &Trouble::Restarted(sender));
                        true
                    }
                };
                drop(readers);
                (self.note_reply)(&reply);
                (!is_useful).then_some(USELESS_PAUSE)
            }
            Err(error) => {
                tracing::debug!(%error, "poll failed");
                let since = *readers.failing_since.get_or_insert_with(Instant::now);
                let current = (self.current_incarnation)();
                match current.filter(|current| *current != self.incarnation) {
                    Some(current) => readers.fail(&polled.ids, &Trouble::Restarted(current)),
                    None if since.elapsed() >= UNREACHABLE_LIMIT => {
                        readers.fail(&polled.ids, &Trouble::Unreachable);
                    }
                    None => {}
                }
                Some(FAILURE_PAUSE)
            }
        }
    }
}

impl Readers {
    /// Applies updates. Returns true if a reader has news by them.
    fn apply(&mut self, updates: &[StreamUpdate]) -> bool {
        let mut is_useful = false;
        let updates: BTreeMap<GenerationId, &StreamUpdate> = updates
            .iter()
            .map(|update| (update.generation, update))
            .collect();
        for subscription in self.subscriptions.values_mut() {
            if let Some(update) = updates.get(&subscription.generation)
                && subscription.inbox.apply(update)
            {
                subscription.ready.notify_one();
                is_useful = true;
            }
        }
        is_useful
    }

    fn fail(&mut self, ids: &[u64], trouble: &Trouble) {
        for id in ids {
            if let Some(subscription) = self.subscriptions.get_mut(id) {
                subscription.inbox.fail(trouble.clone());
                subscription.ready.notify_one();
            }
        }
    }
}

impl Reader {
    /// Waits for the next news. Safe to drop while it waits.
    pub async fn next(&self) -> News {
        loop {
            if let Some(news) = self.take() {
                return news;
            }
            self.ready.notified().await;
        }
    }

    /// Waits until there is news, and returns the trouble if it is nothing else.
    pub async fn wait(&self) -> Option<Trouble> {
        loop {
            let (is_ready, trouble) =
                self.with_inbox(|inbox| (!inbox.wants_more(), inbox.trouble().cloned()));
            if is_ready {
                return trouble;
            }
            self.ready.notified().await;
        }
    }

    /// Returns the number of tokens received.
    pub fn cursor(&self) -> u32 {
        self.with_inbox(Inbox::cursor)
    }

    fn with_inbox<T: Default>(&self, act: impl FnOnce(&Inbox) -> T) -> T {
        let readers = self.poller.lock();
        let subscription = readers.subscriptions.get(&self.id);
        subscription.map_or_else(T::default, |subscription| act(&subscription.inbox))
    }

    /// Returns where the generation runs, once the sidecar has told.
    pub fn origin(&self) -> Option<Origin> {
        self.with_inbox(|inbox| inbox.origin().cloned())
    }

    fn take(&self) -> Option<News> {
        let mut readers = self.poller.lock();
        let subscription = readers.subscriptions.get_mut(&self.id)?;
        let news = subscription.inbox.take()?;
        match news {
            News::Tokens { .. } => self.poller.changed.notify_one(),
            News::Ended { .. } => {
                let cursor = subscription.cursor();
                readers.ends.push(cursor);
            }
            News::Trouble(_) => {}
        }
        Some(news)
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        let mut readers = self.poller.lock();
        readers.subscriptions.remove(&self.id);
        drop(readers);
        metrics().open_streams.dec();
        self.poller.changed.notify_one();
    }
}
