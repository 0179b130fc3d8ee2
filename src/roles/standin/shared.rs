//! State shared by the HTTP routes of an engine and the task that advances it.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use tokio::sync::{Notify, watch};
use tokio::time::timeout;

use super::engine::{Engine, PromptTooLarge};
use super::fault::{EngineFault, Faults};
use super::options::EngineOptions;
use super::orders::Models;
use super::sequence::{EndReason, Event, SequenceId, SequenceRequest};
use super::tokens::TokenSource;
use crate::adapters::clock::monotonic_ms;
use crate::adapters::mutex::lock;

/// Ended streams can be read for this time.
const ENDED_RETENTION_US: u64 = 30_000_000;
/// Interval between searches for expired streams. Each search visits all streams, so it is not
/// made in every step.
const EXPIRY_INTERVAL_US: u64 = 50_000;
/// Upper bound on the wait between two steps, so that streams also expire while the engine is idle.
const MAX_WAIT: Duration = Duration::from_millis(50);

/// Progress of a generation, published to the readers of its stream.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Progress {
    pub(super) produced: u32,
    pub(super) end: Option<EndReason>,
}

/// One generation and its readers.
#[derive(Debug)]
pub(super) struct Stream {
    pub(super) name: String,
    pub(super) id: SequenceId,
    pub(super) version: String,
    pub(super) model: String,
    pub(super) prompt_tokens: u32,
    pub(super) chat: bool,
    pub(super) source: TokenSource,
    progress: watch::Sender<Progress>,
    readers: Mutex<Readers>,
}

#[derive(Debug)]
struct Readers {
    count: u32,
    /// Time at which the stream started or ended or a reader left, whichever came last.
    last_activity_us: u64,
}

impl Stream {
    pub(super) fn subscribe(&self) -> watch::Receiver<Progress> {
        self.progress.subscribe()
    }

    pub(super) fn progress(&self) -> Progress {
        *self.progress.borrow()
    }

    fn end(&self, reason: EndReason, now_us: u64) {
        self.progress.send_modify(|progress| {
            progress.end.get_or_insert(reason);
        });
        lock(&self.readers).last_activity_us = now_us;
    }
}

/// Mutable state of an engine, under one lock.
#[derive(Debug)]
pub(super) struct EngineState {
    pub(super) engine: Engine,
    pub(super) models: Models,
    pub(super) faults: Faults,
    pub(super) streams: BTreeMap<String, Arc<Stream>>,
    by_id: BTreeMap<SequenceId, Arc<Stream>>,
    next_tag: u64,
    /// Time of the next search for expired streams.
    next_expiry_us: u64,
}

/// An engine served over HTTP.
#[derive(Debug)]
pub(super) struct EngineServer {
    started: Instant,
    state: Mutex<EngineState>,
    /// Wakes the task that advances the engine.
    wake: Notify,
    pub(super) options: EngineOptions,
}

/// A generation to be started.
pub(super) struct NewStream {
    pub(super) name: String,
    pub(super) model: String,
    pub(super) version: String,
    pub(super) prompt: String,
    pub(super) chat: bool,
    pub(super) request: SequenceRequest,
}

impl EngineServer {
    pub(super) fn new(options: EngineOptions) -> Self {
        let models = Models::new(
            &options.models,
            options.checks_fence,
            options.weight_bytes,
            options.store.clone(),
        );
        let state = EngineState {
            engine: Engine::new(options.engine.clone()),
            models,
            faults: Faults::default(),
            streams: BTreeMap::new(),
            by_id: BTreeMap::new(),
            // Random, because tags must differ between engines and between restarts of one engine.
            next_tag: rand::random(),
            next_expiry_us: 0,
        };
        Self {
            started: Instant::now(),
            state: Mutex::new(state),
            wake: Notify::new(),
            options,
        }
    }

    pub(super) fn now_us(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_micros()).unwrap_or(u64::MAX)
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, EngineState> {
        lock(&self.state)
    }

    /// Starts a generation, or returns the existing stream of the same name.
    pub(super) fn submit(&self, new_stream: NewStream) -> Result<Arc<Stream>, PromptTooLarge> {
        let mut state = self.lock();
        if let Some(existing) = state.streams.get(&new_stream.name) {
            return Ok(existing.clone());
        }
        let now_us = self.now_us();
        let prompt_tokens = new_stream.request.prompt_tokens;
        let id = state.engine.submit(now_us, new_stream.request)?;
        let tag = state.next_tag;
        state.next_tag = tag.wrapping_add(1);
        let stream = Arc::new(Stream {
            source: TokenSource::new(&new_stream.version, &new_stream.prompt, tag),
            name: new_stream.name.clone(),
            id,
            version: new_stream.version,
            model: new_stream.model,
            prompt_tokens,
            chat: new_stream.chat,
            progress: watch::Sender::new(Progress::default()),
            readers: Mutex::new(Readers {
                count: 0,
                last_activity_us: now_us,
            }),
        });
        state.streams.insert(new_stream.name, stream.clone());
        state.by_id.insert(id, stream.clone());
        drop(state);
        self.wake.notify_one();
        Ok(stream)
    }

    /// Ends a running generation and frees its memory. Returns false if it had already ended.
    pub(super) fn stop(&self, stream: &Stream, reason: EndReason) -> bool {
        let mut state = self.lock();
        let found = state.engine.cancel(stream.id);
        if found {
            stream.end(reason, self.now_us());
        }
        found
    }

    pub(super) fn inject(&self, fault: EngineFault) {
        let mut state = self.lock();
        let now_us = self.now_us();
        if let Some(factor) = fault.slow_factor {
            state.engine.set_slowdown(factor);
        }
        if let Some(hang) = fault.hang {
            state.faults.hang = hang;
            state.engine.set_hung(now_us, hang);
        }
        if let Some(refuse) = fault.refuse {
            state.faults.refuse = refuse;
        }
        if fault.crash.is_some() {
            state.faults.crash = fault.crash;
        }
        drop(state);
        self.notify();
    }

    pub(super) fn notify(&self) {
        self.wake.notify_one();
    }

    /// Advances the engine in real time until the task is dropped.
    pub(super) async fn run(self: Arc<Self>) {
        let mut events = Vec::new();
        loop {
            let due_us = self.advance(&mut events);
            let wait = due_us.map_or(MAX_WAIT, |due_us| {
                Duration::from_micros(due_us.saturating_sub(self.now_us())).min(MAX_WAIT)
            });
            // A step is due or there is new work; the next `advance` handles both.
            let _ = timeout(wait, self.wake.notified()).await;
        }
    }

    /// Completes the due steps and returns the end of the current one, if any.
    fn advance(&self, events: &mut Vec<Event>) -> Option<u64> {
        let mut state = self.lock();
        let now_us = self.now_us();
        state.engine.step(now_us, events);
        state.engine.sample_load(now_us);
        for event in events.drain(..) {
            state.apply(event);
        }
        if state.next_expiry_us <= now_us {
            state.next_expiry_us = now_us + EXPIRY_INTERVAL_US;
            self.expire(&mut state, now_us);
        }
        state.engine.due_us()
    }

    /// Cancels generations without readers after the resume window, and removes streams that ended
    /// long ago.
    fn expire(&self, state: &mut EngineState, now_us: u64) {
        let resume_window_us = self.options.resume_window_ms * 1_000;
        let mut expired = Vec::new();
        for (name, stream) in &state.streams {
            let (count, last_activity_us) = {
                let readers = lock(&stream.readers);
                (readers.count, readers.last_activity_us)
            };
            let ended = stream.progress().end.is_some();
            if ended && last_activity_us + ENDED_RETENTION_US < now_us {
                expired.push((name.clone(), stream.id));
            }
            if !ended && count == 0 && last_activity_us + resume_window_us < now_us {
                state.engine.cancel(stream.id);
                stream.end(EndReason::Cancelled, now_us);
            }
        }
        for (name, id) in expired {
            state.streams.remove(&name);
            state.by_id.remove(&id);
        }
    }
}

impl EngineState {
    fn apply(&mut self, event: Event) {
        match event {
            Event::Token { id, offset, at_us } => {
                // One call of `advance` can complete several steps. Tokens of the steps after an
                // injected crash are discarded.
                let not_ended = |stream: &&Arc<Stream>| stream.progress().end.is_none();
                let Some(stream) = self.by_id.get(&id).filter(not_ended) else {
                    return;
                };
                stream
                    .progress
                    .send_modify(|progress| progress.produced = offset + 1);
                if self.faults.take_crash(&stream.name, offset + 1) {
                    self.engine.cancel(id);
                    stream.end(EndReason::Crashed, at_us);
                }
            }
            Event::End {
                id, reason, at_us, ..
            } => {
                if let Some(stream) = self.by_id.get(&id) {
                    stream.end(reason, at_us);
                }
            }
            Event::Preempted { .. } => {}
        }
    }
}

/// Counts as a reader of the stream until it is dropped.
pub(super) struct ReaderGuard {
    server: Arc<EngineServer>,
    pub(super) stream: Arc<Stream>,
}

impl ReaderGuard {
    pub(super) fn new(server: Arc<EngineServer>, stream: Arc<Stream>) -> Self {
        lock(&stream.readers).count += 1;
        Self { server, stream }
    }

    pub(super) fn server(&self) -> &EngineServer {
        &self.server
    }
}

impl Drop for ReaderGuard {
    fn drop(&mut self) {
        let mut readers = lock(&self.stream.readers);
        readers.count -= 1;
        readers.last_activity_us = self.server.now_us();
    }
}

/// Returns the time on the clock of the weight store, which must be the same for all engines of a
/// process because they share the store.
pub(super) fn weight_store_now_ms() -> u64 {
    monotonic_ms()
}
