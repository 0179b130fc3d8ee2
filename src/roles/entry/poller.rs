//! Polls one sidecar for all streams that this entry reads from it.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures::StreamExt;
use futures::future::BoxFuture;
use futures::stream::FuturesUnordered;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, sleep_until};

use super::metrics::metrics;
use super::reader_buffer::{ReaderBuffer, ReaderEvent, Trouble};
use crate::model::{GenerationId, Incarnation, WorkspaceName};
use crate::rpc::sidecar::{Cursor, Origin, PollReply, PollRequest, SidecarClient, StreamUpdate};
use crate::rpc::{CallError, Link, Stamp};

/// Time for which the sidecar holds a poll while it has no updates.
const POLL_HOLD_MS: u64 = 2_000;
/// Timeout of a poll, including its hold time.
const POLL_TIMEOUT: Duration = Duration::from_millis(POLL_HOLD_MS + 2_000);
/// Minimum interval of polls for streams that have delivered tokens, if there are more than
/// `FEW_STREAMS` streams. Long enough for the tokens of one decoding step of the engine to arrive
/// together.
const STREAMING_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Up to this number of streams, the next poll is sent without a pause.
const FEW_STREAMS: usize = 4;
/// Pause after a failed poll.
const FAILURE_PAUSE: Duration = Duration::from_millis(50);
/// Pause after a reply that brought no reader anything new, so that such replies cause no tight
/// loop.
const NO_PROGRESS_PAUSE: Duration = Duration::from_millis(1);
/// Time for which polls must fail before the readers are notified that the sidecar is unreachable.
const UNREACHABLE_LIMIT: Duration = Duration::from_secs(3);
/// Interval of polls for a reader that does not empty its buffer, so that the sidecar does not
/// treat its generation as orphaned.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(5);

/// Called with each reply, after its updates have been applied to the readers.
pub(super) type OnReply = Arc<dyn Fn(&PollReply) + Send + Sync>;
/// Returns the stamp to send with a message.
pub(super) type MakeStamp = Arc<dyn Fn() -> Stamp + Send + Sync>;
/// Returns the incarnation in which the sidecar is registered now.
pub(super) type CurrentIncarnation = Arc<dyn Fn() -> Option<Incarnation> + Send + Sync>;

struct Subscription {
    generation: GenerationId,
    workspace: WorkspaceName,
    buffer: ReaderBuffer,
    in_flight: bool,
    polled_at: Option<Instant>,
    /// Wakes the reader when its buffer has something to take.
    ready: Arc<Notify>,
}

impl Subscription {
    fn cursor(&self) -> Cursor {
        Cursor {
            generation: self.generation,
            workspace: self.workspace.clone(),
            from_offset: self.buffer.cursor(),
        }
    }

    fn is_due(&self, now: Instant) -> bool {
        let needs_keep_alive = || {
            self.polled_at
                .is_none_or(|at| now - at >= KEEP_ALIVE_INTERVAL)
        };
        !self.in_flight && (self.buffer.wants_more() || needs_keep_alive())
    }
}

#[derive(Default)]
struct PollerState {
    last_id: u64,
    subscriptions: BTreeMap<u64, Subscription>,
    /// Cursors at the end of finished generations, sent once so that the sidecar can drop their
    /// logs.
    final_cursors: Vec<Cursor>,
    failing_since: Option<Instant>,
}

/// Polls one incarnation of a sidecar on behalf of all its readers.
pub(super) struct Poller {
    incarnation: Incarnation,
    link: Arc<Link<SidecarClient>>,
    make_stamp: MakeStamp,
    on_reply: OnReply,
    current_incarnation: CurrentIncarnation,
    state: Mutex<PollerState>,
    changed: Notify,
}

/// A reader of one generation. Dropping it stops the reading but not the generation.
pub(super) struct Reader {
    poller: Arc<Poller>,
    id: u64,
    ready: Arc<Notify>,
}

struct PollOutcome {
    ids: Vec<u64>,
    result: Result<PollReply, CallError>,
}

impl Poller {
    /// Starts polling an incarnation. The task ends once nothing else holds the poller.
    pub fn start(
        incarnation: Incarnation,
        link: Arc<Link<SidecarClient>>,
        make_stamp: MakeStamp,
        on_reply: OnReply,
        current_incarnation: CurrentIncarnation,
    ) -> Arc<Self> {
        let poller = Arc::new(Self {
            incarnation,
            link,
            make_stamp,
            on_reply,
            current_incarnation,
            state: Mutex::default(),
            changed: Notify::new(),
        });
        tokio::spawn(Arc::clone(&poller).run());
        poller
    }

    /// Returns a reader of a generation that starts at an offset.
    pub fn read(
        self: &Arc<Self>,
        generation: GenerationId,
        workspace: &WorkspaceName,
        from_offset: u32,
    ) -> Reader {
        let cursor = Cursor {
            generation,
            workspace: workspace.clone(),
            from_offset,
        };
        self.read_with(&cursor, &[])
    }

    /// Returns a reader of the generation from the cursor on, which starts with updates that the
    /// sidecar has already sent for that cursor.
    pub fn read_with(self: &Arc<Self>, cursor: &Cursor, updates: &[StreamUpdate]) -> Reader {
        let mut buffer = ReaderBuffer::from_offset(cursor.from_offset);
        for update in updates {
            buffer.apply(update);
        }
        let ready = Arc::new(Notify::new());
        let mut state = self.lock();
        if state.subscriptions.is_empty() {
            // There were no polls meanwhile, so earlier failures don't count towards the limit.
            state.failing_since = None;
        }
        state.last_id += 1;
        let id = state.last_id;
        state.subscriptions.insert(
            id,
            Subscription {
                generation: cursor.generation,
                workspace: cursor.workspace.clone(),
                buffer,
                in_flight: false,
                polled_at: None,
                ready: Arc::clone(&ready),
            },
        );
        drop(state);
        metrics().open_streams.inc();
        self.changed.notify_one();
        Reader {
            poller: Arc::clone(self),
            id,
            ready,
        }
    }

    /// Returns true if any reader of this entry reads the generation.
    pub fn is_read(&self, generation: GenerationId) -> bool {
        self.lock()
            .subscriptions
            .values()
            .any(|subscription| subscription.generation == generation)
    }

    fn lock(&self) -> MutexGuard<'_, PollerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends polls as streams become due, until nothing else holds the poller.
    ///
    /// Streams without a token yet are polled separately, so that the pause between polls for the
    /// other streams does not delay first tokens.
    async fn run(self: Arc<Self>) {
        let mut polls: FuturesUnordered<BoxFuture<'static, PollOutcome>> = FuturesUnordered::new();
        let mut next_streaming_poll = Instant::now();
        while Arc::strong_count(&self) > 1
            || !polls.is_empty()
            || !self.lock().final_cursors.is_empty()
        {
            let now = Instant::now();
            while let Some(poll) = self.poll(now, |cursor| cursor == 0) {
                polls.push(poll);
            }
            if next_streaming_poll <= now {
                while let Some(poll) = self.poll(now, |cursor| cursor > 0) {
                    polls.push(poll);
                    next_streaming_poll = now + self.pause();
                }
            }
            let wake_at = match next_streaming_poll > now {
                true => next_streaming_poll,
                false => now + KEEP_ALIVE_INTERVAL,
            };
            tokio::select! {
                Some(outcome) = polls.next() => {
                    if let Some(pause) = self.apply(outcome) {
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
            _ => STREAMING_POLL_INTERVAL,
        }
    }

    /// Returns a poll for the due streams whose cursor matches, or `None` if nothing is to be sent.
    ///
    /// Updates do not name a workspace, so streams of one generation that were opened by different
    /// workspaces are left for separate polls: one workspace must not get the answer to another.
    fn poll(
        &self,
        now: Instant,
        matches: fn(u32) -> bool,
    ) -> Option<BoxFuture<'static, PollOutcome>> {
        let mut state = self.lock();
        let mut ids = Vec::new();
        let mut cursors = match matches(u32::MAX) {
            true => std::mem::take(&mut state.final_cursors),
            false => Vec::new(),
        };
        let workspace_of = |cursor: &Cursor| (cursor.generation, cursor.workspace.clone());
        let mut workspaces: BTreeMap<_, _> = cursors.iter().map(workspace_of).collect();
        for (id, subscription) in &mut state.subscriptions {
            if !matches(subscription.buffer.cursor()) || !subscription.is_due(now) {
                continue;
            }
            let cursor = subscription.cursor();
            let (generation, workspace) = workspace_of(&cursor);
            if *workspaces.entry(generation).or_insert(workspace) == cursor.workspace {
                subscription.in_flight = true;
                subscription.polled_at = Some(now);
                ids.push(*id);
                cursors.push(cursor);
            }
        }
        drop(state);
        if cursors.is_empty() {
            return None;
        }
        let hold_ms = match ids.is_empty() {
            true => 0,
            false => POLL_HOLD_MS,
        };
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
                .call(POLL_TIMEOUT, |client, context| async move {
                    client.poll(context, request).await
                })
                .await;
            PollOutcome { ids, result }
        }))
    }

    /// Applies the outcome of a poll. Returns the pause before the next one if it failed or brought
    /// nothing new.
    fn apply(&self, outcome: PollOutcome) -> Option<Duration> {
        let mut state = self.lock();
        for id in &outcome.ids {
            if let Some(subscription) = state.subscriptions.get_mut(id) {
                subscription.in_flight = false;
            }
        }
        match outcome.result {
            Ok(reply) => {
                state.failing_since = None;
                let sender = reply.stamp.sender.incarnation;
                let made_progress = match sender == self.incarnation {
                    true => state.apply(&outcome.ids, &reply.updates) || reply.updates.is_empty(),
                    false => {
                        state.fail(&outcome.ids, &Trouble::Restarted(sender));
                        true
                    }
                };
                drop(state);
                (self.on_reply)(&reply);
                (!made_progress).then_some(NO_PROGRESS_PAUSE)
            }
            Err(error) => {
                tracing::debug!(%error, "poll of sidecar failed");
                let since = *state.failing_since.get_or_insert_with(Instant::now);
                let current = (self.current_incarnation)();
                match current.filter(|current| *current != self.incarnation) {
                    Some(current) => state.fail(&outcome.ids, &Trouble::Restarted(current)),
                    None if since.elapsed() >= UNREACHABLE_LIMIT => {
                        state.fail(&outcome.ids, &Trouble::Unreachable);
                    }
                    None => {}
                }
                Some(FAILURE_PAUSE)
            }
        }
    }
}

impl PollerState {
    /// Applies the updates of a reply to the subscriptions that were polled. Returns true if a
    /// reader got something new from them.
    ///
    /// A subscription that began after the poll was sent is left out: its generation may have been
    /// unknown to the sidecar when the poll arrived.
    fn apply(&mut self, polled: &[u64], updates: &[StreamUpdate]) -> bool {
        let mut made_progress = false;
        let mut by_generation: BTreeMap<GenerationId, Vec<&StreamUpdate>> = BTreeMap::new();
        for update in updates {
            let of_generation = by_generation.entry(update.generation).or_default();
            of_generation.push(update);
        }
        for id in polled {
            let Some(subscription) = self.subscriptions.get_mut(id) else {
                continue;
            };
            for update in by_generation
                .get(&subscription.generation)
                .into_iter()
                .flatten()
            {
                if subscription.buffer.apply(update) {
                    subscription.ready.notify_one();
                    made_progress = true;
                }
            }
        }
        made_progress
    }

    fn fail(&mut self, ids: &[u64], trouble: &Trouble) {
        for id in ids {
            if let Some(subscription) = self.subscriptions.get_mut(id) {
                subscription.buffer.fail(trouble.clone());
                subscription.ready.notify_one();
            }
        }
    }
}

impl Reader {
    /// Waits for the next event. Cancel-safe.
    pub async fn next(&self) -> ReaderEvent {
        loop {
            if let Some(event) = self.take() {
                return event;
            }
            self.ready.notified().await;
        }
    }

    /// Returns the offset up to which tokens were received.
    pub fn cursor(&self) -> u32 {
        self.with_buffer(ReaderBuffer::cursor)
    }

    fn with_buffer<T: Default>(&self, act: impl FnOnce(&ReaderBuffer) -> T) -> T {
        let state = self.poller.lock();
        let subscription = state.subscriptions.get(&self.id);
        subscription.map_or_else(T::default, |subscription| act(&subscription.buffer))
    }

    /// Returns where the generation runs, or `None` until the sidecar has reported it.
    pub fn origin(&self) -> Option<Origin> {
        self.with_buffer(|buffer| buffer.origin().cloned())
    }

    fn take(&self) -> Option<ReaderEvent> {
        let mut state = self.poller.lock();
        let subscription = state.subscriptions.get_mut(&self.id)?;
        let event = subscription.buffer.take()?;
        match event {
            ReaderEvent::Tokens { .. } => self.poller.changed.notify_one(),
            ReaderEvent::Ended { .. } => {
                let cursor = subscription.cursor();
                state.final_cursors.push(cursor);
            }
            ReaderEvent::Trouble(_) => {}
        }
        Some(event)
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        let mut state = self.poller.lock();
        state.subscriptions.remove(&self.id);
        drop(state);
        metrics().open_streams.dec();
        self.poller.changed.notify_one();
    }
}
