//! The running engine: core, streams and time.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::{Notify, watch};
use tokio::time::timeout;

use super::engine::{Engine, TooLarge};
use super::fault::{EngineFault, Faults};
use super::options::EngineOptions;
use super::orders::Models;
use super::sequence::{EndReason, Event, SequenceId, SequenceRequest};
use super::tokens::TokenSource;
use crate::adapters::clock::monotonic_ms;

/// How long an ended stream can still be read.
const KEEP_ENDED_US: u64 = 30_000_000;
/// Time between two searches for unread and ended streams, which look at all streams.
const EXPIRY_INTERVAL_US: u64 = 50_000;
/// Longest sleep of the engine's clock, so that streams time out while the engine is idle.
const IDLE_SLEEP: Duration = Duration::from_millis(50);

/// How far a stream has come.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Progress {
    pub(super) produced: u32,
    pub(super) end: Option<EndReason>,
}

/// One generation as its readers see it.
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
    /// When the last reader left, or the stream ended.
    since_us: u64,
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
        lock(&self.readers).since_us = now_us;
    }
}

/// What is changed under one lock.
#[derive(Debug)]
pub(super) struct State {
    pub(super) engine: Engine,
    pub(super) models: Models,
    pub(super) faults: Faults,
    pub(super) streams: BTreeMap<String, Arc<Stream>>,
    by_id: BTreeMap<SequenceId, Arc<Stream>>,
    next_tag: u64,
    next_expiry_us: u64,
}

/// An engine that is served over HTTP.
#[derive(Debug)]
pub(super) struct Shared {
    started: Instant,
    state: Mutex<State>,
    wake: Notify,
    pub(super) options: EngineOptions,
}

/// A new generation for the engine.
pub(super) struct NewStream {
    pub(super) name: String,
    pub(super) model: String,
    pub(super) version: String,
    pub(super) prompt: String,
    pub(super) chat: bool,
    pub(super) request: SequenceRequest,
}

impl Shared {
    pub(super) fn new(options: EngineOptions) -> Self {
        let models = Models::new(
            &options.models,
            options.checks_fence,
            options.weight_bytes,
            options.store.clone(),
        );
        let state = State {
            engine: Engine::new(options.engine.clone()),
            models,
            faults: Faults::default(),
            streams: BTreeMap::new(),
            by_id: BTreeMap::new(),
            // Two engines, or two lives of one, must not give generations the same tag.
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

    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    /// Starts a generation, or returns the one that already has the name.
    pub(super) fn submit(&self, new: NewStream) -> Result<Arc<Stream>, TooLarge> {
        let mut state = self.lock();
        if let Some(known) = state.streams.get(&new.name) {
            return Ok(known.clone());
        }
        let now_us = self.now_us();
        let prompt_tokens = new.request.prompt_tokens;
        let id = state.engine.submit(now_us, new.request)?;
        let tag = state.next_tag;
        state.next_tag = tag.wrapping_add(1);
        let stream = Arc::new(Stream {
            source: TokenSource::new(&new.version, &new.prompt, tag),
            name: new.name.clone(),
            id,
            version: new.version,
            model: new.model,
            prompt_tokens,
            chat: new.chat,
            progress: watch::Sender::new(Progress::default()),
            readers: Mutex::new(Readers {
                count: 0,
                since_us: now_us,
            }),
        });
        state.streams.insert(new.name, stream.clone());
        state.by_id.insert(id, stream.clone());
        drop(state);
        self.wake.notify_one();
        Ok(stream)
    }

    /// Ends a stream before its time and frees its memory; returns false if it had ended.
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
            state.engine.slow_down(factor);
        }
        if let Some(hang) = fault.hang {
            state.faults.hang = hang;
            state.engine.hang(now_us, hang);
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

    /// Runs the engine until the task is dropped.
    pub(super) async fn run(self: Arc<Self>) {
        let mut events = Vec::new();
        loop {
            let due_us = self.turn(&mut events);
            let wait = due_us.map_or(IDLE_SLEEP, |due_us| {
                Duration::from_micros(due_us.saturating_sub(self.now_us())).min(IDLE_SLEEP)
            });
            // Either the step is due or there is new work; both are handled by the next turn.
            let _ = timeout(wait, self.wake.notified()).await;
        }
    }

    /// Completes due steps and returns when the next one is due.
    fn turn(&self, events: &mut Vec<Event>) -> Option<u64> {
        let mut state = self.lock();
        let now_us = self.now_us();
        state.engine.step(now_us, events);
        state.engine.sample_load(now_us);
        for event in events.drain(..) {
            state.deliver(event);
        }
        if state.next_expiry_us <= now_us {
            state.next_expiry_us = now_us + EXPIRY_INTERVAL_US;
            self.expire(&mut state, now_us);
        }
        state.engine.due_us()
    }

    /// Cancels streams that nobody reads and forgets ended ones.
    fn expire(&self, state: &mut State, now_us: u64) {
        let window_us = self.options.resume_window_ms * 1_000;
        let mut forgotten = Vec::new();
        for (name, stream) in &state.streams {
            let (count, since_us) = {
                let readers = lock(&stream.readers);
                (readers.count, readers.since_us)
            };
            let ended = stream.progress().end.is_some();
            if ended && since_us + KEEP_ENDED_US < now_us {
                forgotten.push((name.clone(), stream.id));
            }
            if !ended && count == 0 && since_us + window_us < now_us {
                state.engine.cancel(stream.id);
                stream.end(EndReason::Cancelled, now_us);
            }
        }
        for (name, id) in forgotten {
            state.streams.remove(&name);
            state.by_id.remove(&id);
        }
    }
}

impl State {
    fn deliver(&mut self, event: Event) {
        match event {
            Event::Token { id, offset, at_us } => {
                // A late turn completes several steps; a crash in the first discards the others.
                let live = |stream: &&Arc<Stream>| stream.progress().end.is_none();
                let Some(stream) = self.by_id.get(&id).filter(live) else {
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

/// Counts a reader of a stream for as long as it lives.
pub(super) struct ReaderGuard {
    shared: Arc<Shared>,
    pub(super) stream: Arc<Stream>,
}

impl ReaderGuard {
    pub(super) fn new(shared: Arc<Shared>, stream: Arc<Stream>) -> Self {
        lock(&stream.readers).count += 1;
        Self { shared, stream }
    }

    pub(super) fn shared(&self) -> &Shared {
        &self.shared
    }
}

impl Drop for ReaderGuard {
    fn drop(&mut self) {
        let mut readers = lock(&self.stream.readers);
        readers.count -= 1;
        readers.since_us = self.shared.now_us();
    }
}

/// Returns the time of the weight store, which engines of one process share.
pub(super) fn store_ms() -> u64 {
    monotonic_ms()
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
