//! Relays the event stream of a running generation to its caller, and resumes the generation at
//! another engine when its own shuts down or fails.
//!
//! A relay runs in a task of its own: what it does must not wait for its caller to read.

mod departure;
mod gaps;
mod handover;
mod pause;

use std::sync::Arc;

use bytes::Bytes;
use futures::stream;
use http::Response;
use http_body_util::BodyExt;
use hyper::body::Frame;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};

use gaps::EventGaps;
use handover::BrokenSource;
use pause::ReadPause;

use super::Gateway;
use super::events::EventBuffer;
use super::generation::response_lost;
use super::migrate::Migration;
use super::plain::end_to_end_headers;
use super::read_ahead::{CallerStream, ReadAhead};
use super::release::Release;
use super::request::Job;
use super::response::{Body, Refusal, streamed};
use super::resume::{Reason, Resumption, SourceState};
use super::ticket::Ticket;
use super::upstream::Exchange;
use crate::adapters::clock::monotonic_ms;
use crate::domain::document::EngineSpec;
use crate::domain::fleet::Outcome;

/// The response stream of the engine that runs a generation.
pub(super) struct EngineStream {
    pub(super) exchange: Exchange,
    pub(super) ticket: Ticket,
}

/// State of a generation whose events are relayed to its caller.
pub(super) struct Relay {
    gateway: Arc<Gateway>,
    job: Arc<Job>,
    engine: EngineSpec,
    /// `None` while the generation runs nowhere and is being resumed.
    source: Option<EngineStream>,
    events: EventBuffer,
    /// What the caller has not taken yet.
    read_ahead: Arc<ReadAhead>,
    pause: ReadPause,
    /// Id of the last event that was received.
    last_event: Option<u64>,
    /// True from a resumption until its first new event, whose id has to be `last_event` + 1.
    is_resuming: bool,
    migration: Option<Migration>,
    /// Check of an engine that is silent or whose stream has broken off, before another one is asked.
    release: Option<Release>,
    broken_source: Option<BrokenSource>,
    /// True if the engine was told to stop the generation and has not responded: it may yet do so.
    has_open_stop: bool,
    /// Attempt to resume the generation at another engine.
    resumption: Option<Resumption>,
    /// Number of checks and attempts since the last event that have failed.
    silent_attempts: u32,
    /// Engine that keeps a backup copy of the KV cache.
    backup: Option<Ticket>,
    /// Monotonic time of the first event or, after a resumption, of the resumption.
    first_event_ms: Option<u64>,
    /// Time from the request to the first event.
    time_to_first_event_ms: Option<u64>,
    /// Time at which the last event was received.
    last_event_at: Instant,
    gaps: EventGaps,
    /// What an attempt at another engine has to know of the engine before.
    source_state: Arc<SourceState>,
    /// When to check again whether the engine is silent; set once it seems to be.
    silence_recheck_at: Option<Instant>,
    /// Monotonic time at which the generation is to be resumed from its backup; set once its engine
    /// is leaving.
    switch_at_ms: Option<u64>,
    departure_changes: watch::Receiver<u64>,
    done: bool,
}

impl Relay {
    /// Returns the relay for a generation whose engine has sent a response head.
    pub(super) fn new(
        gateway: Arc<Gateway>,
        job: Job,
        engine: EngineSpec,
        source: EngineStream,
        backup: Option<Ticket>,
    ) -> Self {
        Self {
            departure_changes: gateway.departure_changes.subscribe(),
            read_ahead: ReadAhead::new(&gateway.read_ahead),
            pause: ReadPause::default(),
            gateway,
            job: Arc::new(job),
            engine,
            source: Some(source),
            events: EventBuffer::default(),
            last_event: None,
            is_resuming: false,
            migration: None,
            release: None,
            broken_source: None,
            has_open_stop: false,
            resumption: None,
            silent_attempts: 0,
            backup,
            first_event_ms: None,
            time_to_first_event_ms: None,
            last_event_at: Instant::now(),
            gaps: EventGaps::default(),
            source_state: Arc::new(SourceState::new(monotonic_ms())),
            silence_recheck_at: None,
            switch_at_ms: None,
            done: false,
        }
    }

    /// Returns the response to the caller once the first event has been received.
    pub(super) async fn into_response(mut self) -> Result<Response<Body>, Refusal> {
        let head = self.source.as_ref().map(|source| {
            let head = &source.exchange.head;
            (head.status, end_to_end_headers(&head.headers))
        });
        let (Some((status, headers)), Some(Ok(first))) = (head, self.next().await) else {
            return Err(response_lost());
        };
        self.gateway.metrics.observe_first_event(self.job.age_ms());
        let (read_ahead, job) = (Arc::clone(&self.read_ahead), Arc::clone(&self.job));
        let rest = stream::unfold(self, |mut relay| async move {
            let part = relay.next().await?;
            Some((part, relay))
        });
        let parts = futures::StreamExt::chain(stream::iter([Ok(first)]), rest);
        let frames = CallerStream::read(read_ahead, parts, Arc::clone(&job.open), job.deadline);
        Ok(streamed(status, headers, frames))
    }

    /// Returns the next whole events, or `None` after the end of the stream.
    async fn next(&mut self) -> Option<Result<Bytes, String>> {
        if self.done {
            return None;
        }
        match self.advance().await {
            Ok(Some(bytes)) => Some(Ok(bytes)),
            Ok(None) => None,
            Err(cause) => {
                self.done = true;
                self.log_end(&cause);
                Some(Err(cause))
            }
        }
    }

    async fn advance(&mut self) -> Result<Option<Bytes>, String> {
        loop {
            let whole = self.next_events();
            if let (Err(_), Some(source)) = (&whole, &self.source) {
                source.ticket.record_outcome(Outcome::Failed);
            }
            if let Some(bytes) = whole? {
                return Ok(Some(bytes));
            }
            self.check_departure();
            // Checked here too, as a continuous flow of bytes would keep the timer branch below
            // from being polled.
            if Instant::now() >= self.job.deadline {
                return Err("out of time".to_owned());
            }
            if self.source.is_none() && self.resumption.is_none() && self.release.is_none() {
                return Err("no engine holds a copy of the KV cache".to_owned());
            }
            let may_read = self.update_pause();
            let share = self.share();
            let next_check_at = self.next_check_at();
            tokio::select! {
                biased;
                result = Resumption::finish(&mut self.resumption) => self.finish_resumption(result)?,
                released = Release::finish(&mut self.release) => self.finish_release(released)?,
                () = self.read_ahead.wait_for_room(share), if !may_read => {}
                frame = next_frame(&mut self.source), if may_read => {
                    if self.receive(frame) {
                        return Ok(self.end());
                    }
                }
                _ = self.departure_changes.changed() => {}
                () = sleep_until(next_check_at), if next_check_at < self.job.deadline => {
                    if self.has_stalled() {
                        self.begin_release();
                    }
                }
                () = sleep_until(self.job.deadline) => return Err("out of time".to_owned()),
            }
        }
    }

    /// Handles a frame of the engine's response, `None` after its end. Returns true if the stream
    /// is complete.
    fn receive(&mut self, frame: Option<hyper::Result<Frame<Bytes>>>) -> bool {
        let Some(source) = &self.source else {
            return false;
        };
        match frame {
            Some(Ok(frame)) => {
                if let Some(data) = frame.data_ref() {
                    self.events.push(data);
                }
            }
            None if self.is_cut(&source.exchange) => {
                let cause = format!("stream from {} was cut off", source.ticket.identity);
                self.lose_failed_source(&cause);
            }
            // An engine closes the stream of a generation that it has stopped early. A stream that
            // reaches its explicit end is complete, whatever the state of a migration.
            None if source.exchange.has_explicit_end() || !self.stop_was_requested() => {
                return true;
            }
            None => self.lose_source(Reason::Stopped, "generation stopped for its migration"),
            Some(Err(error)) => {
                let cause = format!("stream from {} failed: {error}", source.ticket.identity);
                self.lose_failed_source(&cause);
            }
        }
        false
    }

    /// Returns true if the end of a response body is not the end of its stream: it is inside an event,
    /// or nothing was sent. An engine that resumes a generation may have nothing left to send, which
    /// only an explicit end shows.
    fn is_cut(&self, exchange: &Exchange) -> bool {
        let has_begun = self.time_to_first_event_ms.is_some();
        self.events.ends_inside_event()
            || !has_begun
            || (self.is_resuming && !exchange.has_explicit_end())
    }

    /// Returns the whole events received so far, without those that were received before a
    /// resumption; `None` if there are none.
    fn next_events(&mut self) -> Result<Option<Bytes>, String> {
        let mut whole = bytes::BytesMut::new();
        let mut events: u32 = 0;
        let was_silent = self.release.is_some() || self.silent_attempts > 0;
        while let Some(event) = self.events.next_event()? {
            // Events that are skipped show too that the engine is not silent.
            self.last_event_at = Instant::now();
            if self.pause.is_over() {
                self.source_state.hear(monotonic_ms());
            }
            self.silence_recheck_at = None;
            // An engine that was told to stop may have made this event before.
            self.release = self.release.take().filter(Release::stop_was_requested);
            if let (true, Some(last), Some(id)) = (self.is_resuming, self.last_event, event.id) {
                match id {
                    _ if id <= last => continue,
                    _ if id > last + 1 => {
                        return Err(format!(
                            "event {id} follows event {last} after a resumption"
                        ));
                    }
                    _ => self.is_resuming = false,
                }
            }
            self.last_event = event.id.or(self.last_event);
            whole.extend_from_slice(&event.bytes);
            events += 1;
        }
        if whole.is_empty() {
            return Ok(None);
        }
        if let Some(source) = &mut self.source {
            source.ticket.mark_prompt_read();
        }
        self.record_gap(events, was_silent);
        self.silent_attempts = 0;
        self.job
            .open
            .set_last_event(self.last_event.unwrap_or_default());
        if self.time_to_first_event_ms.is_none() {
            let parts = &self.job.shared_parts;
            self.gateway
                .with_part_watch(|watch| watch.record_begin(parts));
        }
        self.first_event_ms.get_or_insert_with(monotonic_ms);
        let age_ms = self.job.age_ms();
        self.time_to_first_event_ms.get_or_insert(age_ms);
        Ok(Some(whole.freeze()))
    }

    /// Finishes a complete stream. Returns the bytes after its last event, if there are any.
    fn end(&mut self) -> Option<Bytes> {
        if let Some(EngineStream { exchange, ticket }) = self.source.take() {
            let took_ms = self.job.age_ms();
            self.gateway.record_completion(&self.job);
            ticket.record_outcome(Outcome::Answered { took_ms });
            self.gateway.pool.finish(exchange);
            let length = self.produced_tokens();
            self.gateway.with_lengths(|lengths| {
                lengths.observe(&self.job.route.name, self.job.hint_tokens, length);
            });
        }
        self.done = true;
        self.log_end("complete");
        self.events.take_rest()
    }

    /// Returns the number of tokens in the generation's KV cache.
    fn held_tokens(&self) -> u64 {
        self.job.demand.prompt_tokens + self.produced_tokens()
    }

    fn produced_tokens(&self) -> u64 {
        let events = self.last_event.unwrap_or_default();
        events * u64::from(self.engine.tokens_per_event)
    }

    /// Returns the engine that runs the generation.
    fn source_identity(&self) -> Option<Arc<str>> {
        let source = self.source.as_ref()?;
        Some(Arc::clone(&source.ticket.identity))
    }

    fn log_end(&self, outcome: &str) {
        let label = if outcome == "complete" {
            "complete"
        } else {
            "broken"
        };
        self.gateway.metrics.count_stream(label);
        tracing::info!(
            request = &*self.job.id,
            route = &*self.job.route.name,
            outcome,
            instance = self.source_identity().as_deref(),
            last_event = self.last_event,
            first_event_after_ms = self.time_to_first_event_ms,
            age_ms = self.job.age_ms(),
            "stream ended"
        );
    }
}

fn elapsed_ms(since: Instant) -> u64 {
    u64::try_from(since.elapsed().as_millis()).unwrap_or(u64::MAX)
}

/// Returns the next frame of a stream, `None` after its end; never if there is no stream.
async fn next_frame(source: &mut Option<EngineStream>) -> Option<hyper::Result<Frame<Bytes>>> {
    match source {
        Some(source) => source.exchange.body.frame().await,
        None => std::future::pending().await,
    }
}
