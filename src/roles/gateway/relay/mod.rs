//! Relays the event stream of a running generation to its caller, and resumes the generation at
//! another engine when its own shuts down or fails.

mod departure;
mod gaps;

use std::future::Future;
use std::sync::Arc;

use bytes::Bytes;
use futures::stream;
use http::Response;
use http_body_util::BodyExt;
use hyper::body::Frame;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};

use gaps::EventGaps;

use super::Gateway;
use super::events::EventBuffer;
use super::generation::response_lost;
use super::migrate::{Migration, MigrationPlan, StoppedGeneration};
use super::plain::end_to_end_headers;
use super::release::{Release, Released, revoke, revoke_left};
use super::request::Job;
use super::response::{Body, IncompleteBody, Refusal, streamed};
use super::resume::{Reason, ResumeFailure, Resumed, Resumer, Resumption, SourceState};
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

/// An engine whose stream has broken off, and which may still work on the generation.
struct BrokenSource {
    ticket: Ticket,
    reason: Reason,
}

/// State of a generation whose events are relayed to its caller.
pub(super) struct Relay {
    gateway: Arc<Gateway>,
    job: Arc<Job>,
    engine: EngineSpec,
    /// `None` while the generation runs nowhere and is being resumed.
    source: Option<EngineStream>,
    events: EventBuffer,
    /// Id of the last event that was relayed.
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
        let rest = stream::unfold(self, |mut relay| async move {
            let frame = relay.next().await?;
            Some((frame, relay))
        });
        let frames = futures::StreamExt::chain(stream::iter([Ok(first)]), rest);
        Ok(streamed(status, headers, frames))
    }

    /// Returns the next whole events, or `None` after the end of the stream.
    async fn next(&mut self) -> Option<Result<Frame<Bytes>, IncompleteBody>> {
        if self.done {
            return None;
        }
        match self.advance().await {
            Ok(Some(bytes)) => Some(Ok(Frame::data(bytes))),
            Ok(None) => None,
            Err(cause) => {
                self.done = true;
                self.log_end(&cause);
                Some(Err(IncompleteBody(cause)))
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
            let next_check_at = self.next_check_at();
            tokio::select! {
                biased;
                result = Resumption::finish(&mut self.resumption) => self.finish_resumption(result)?,
                released = Release::finish(&mut self.release) => self.finish_release(released)?,
                frame = next_frame(&mut self.source) => {
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

    /// Returns the whole events received so far, without those that were relayed before a
    /// resumption; `None` if there are none.
    fn next_events(&mut self) -> Result<Option<Bytes>, String> {
        let mut whole = bytes::BytesMut::new();
        let mut events: u32 = 0;
        let was_silent = self.release.is_some() || self.silent_attempts > 0;
        while let Some(event) = self.events.next_event()? {
            // Events that are skipped show too that the engine is not silent.
            self.last_event_at = Instant::now();
            self.source_state.hear(monotonic_ms());
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

    /// Starts to resume the generation from its backup while its engine may still go on.
    fn begin_resumption(&mut self, reason: Reason) {
        let Some(backup) = &self.backup else {
            return;
        };
        // It may be this generation that has crashed its engine as its answer began.
        let parts = &self.job.shared_parts;
        let is_suspected = self
            .gateway
            .with_part_watch(|watch| watch.is_suspected(parts));
        if self.last_event.is_none() && is_suspected {
            return;
        }
        tracing::info!(
            request = &*self.job.id,
            instance = self.source_identity().as_deref(),
            backup = &*backup.identity,
            reason = reason.label(),
            silent_ms = elapsed_ms(self.last_event_at),
            last_event = self.last_event,
            "asking the engine with the backup copy"
        );
        let before = self.source.as_ref().map(|_| Arc::clone(&self.source_state));
        let resumption = Resumption::from_backup(reason, self.resumer(), backup, before);
        self.resumption = Some(resumption);
    }

    /// Starts to find out whether a silent engine may still work on the generation.
    fn begin_release(&mut self) {
        let (Some(backup), Some(source)) = (&self.backup, &self.source) else {
            return;
        };
        let plan = self.migration_plan(&source.ticket, None);
        let last_event = self.last_event.unwrap_or_default();
        let gateway = Arc::clone(&self.gateway);
        let release = Release::of_silent(
            gateway,
            plan,
            backup.another(self.job.demand.of_copy()),
            last_event,
        );
        self.release = Some(release);
    }

    /// Starts to find out whether an engine whose stream has broken off still works on the generation,
    /// if another one can go on with it.
    fn begin_release_of_broken(&mut self, broken: BrokenSource) {
        let Some(backup) = &self.backup else {
            return;
        };
        let before = self.release.take();
        let release = Release::of_broken(
            Arc::clone(&self.gateway),
            self.migration_plan(&broken.ticket, None),
            backup.another(self.job.demand.of_copy()),
            before.filter(Release::stop_was_requested),
        );
        self.release = Some(release);
        self.broken_source = Some(broken);
    }

    /// Asks another engine if the one before does not work on the generation any more. Fails if the
    /// stream of that one has broken off, and nothing can show that it has stopped.
    fn finish_release(&mut self, released: Released) -> Result<(), String> {
        let release = self.release.take();
        if let Some(broken) = self.broken_source.take() {
            return self.finish_release_of_broken(broken, released);
        }
        self.has_open_stop |= release.is_some_and(|release| release.stop_was_requested());
        match released {
            Released::Gone(_) => {
                self.begin_resumption(Reason::Silent);
                self.silent_attempts += 1;
            }
            Released::Stopped(stopped) => {
                let cause = "the engine was silent and has stopped the generation";
                let source = self.detach_source(Reason::Silent, cause, true);
                if let Some(source) = source {
                    self.resume_stopped(Reason::Silent, async { Some(stopped) }, source);
                }
            }
            Released::Unproved(_) => {
                self.silent_attempts += 1;
                self.silence_recheck_at = None;
            }
        }
        Ok(())
    }

    fn finish_release_of_broken(
        &mut self,
        broken: BrokenSource,
        released: Released,
    ) -> Result<(), String> {
        let BrokenSource { ticket, reason } = broken;
        match released {
            Released::Gone(_) => self.begin_resumption(reason),
            Released::Stopped(stopped) => {
                self.resume_stopped(reason, async { Some(stopped) }, ticket);
            }
            Released::Unproved(label) => {
                let engine = &ticket.identity;
                return Err(format!("{engine} may still work on it: {label}"));
            }
        }
        Ok(())
    }

    /// Starts to resume a generation that its engine was told to stop.
    fn resume_stopped(
        &mut self,
        reason: Reason,
        stopping: impl Future<Output = Option<StoppedGeneration>> + Send + 'static,
        source: Ticket,
    ) {
        let resumer = self.resumer();
        let backup = self.backup.as_ref();
        let resumption = Resumption::from_stopped(reason, resumer, stopping, source, backup);
        self.resumption = Some(resumption);
    }

    fn migration_plan(&self, source: &Ticket, gone_at_ms: Option<u64>) -> MigrationPlan {
        MigrationPlan {
            request_id: Arc::clone(&self.job.id),
            service: Arc::clone(&self.job.service),
            from: source.address,
            from_identity: Arc::clone(&source.identity),
            demand: self.job.demand,
            held_tokens: self.held_tokens(),
            engine: self.engine,
            gone_at_ms,
        }
    }

    /// Returns true if the engine may have stopped the generation because it was told to.
    fn stop_was_requested(&self) -> bool {
        let migration = self.migration.as_ref();
        let release = self.release.as_ref();
        self.has_open_stop
            || migration.is_some_and(Migration::stop_was_requested)
            || release.is_some_and(Release::stop_was_requested)
    }

    /// Returns the engine that runs the generation.
    fn source_identity(&self) -> Option<Arc<str>> {
        let source = self.source.as_ref()?;
        Some(Arc::clone(&source.ticket.identity))
    }

    fn resumer(&self) -> Resumer {
        let (gateway, job) = (Arc::clone(&self.gateway), Arc::clone(&self.job));
        Resumer::new(gateway, job, self.engine)
    }

    /// Drops the stream of an engine that has failed or has stopped the generation, and starts to
    /// resume it at the engine that holds its KV cache: the target of the migration if there is
    /// one, else the backup.
    fn lose_source(&mut self, reason: Reason, cause: &str) {
        let Some(ticket) = self.detach_source(reason, cause, true) else {
            return;
        };
        match self.migration.take() {
            Some(migration) => self.resume_stopped(reason, migration.finish(), ticket),
            // Another engine may go on with the generation at any time.
            None if self.resumption.is_some() && self.source_state.is_handed_over() => {
                self.stop_left_engine(&ticket, self.backup.as_ref());
            }
            // The attempt asks no other engine any more.
            None if self.resumption.is_some() => {
                self.broken_source = Some(BrokenSource { ticket, reason });
            }
            None => self.begin_release_of_broken(BrokenSource { ticket, reason }),
        }
    }

    /// Makes sure that an engine which was left for another one stops the generation. A closed
    /// connection does not stop every engine.
    fn stop_left_engine(&self, left: &Ticket, next: Option<&Ticket>) {
        if let (true, Some(next)) = (self.engine.moves, next) {
            let plan = self.migration_plan(left, None);
            tokio::spawn(revoke_left(Arc::clone(&self.gateway), plan, next.address));
        }
    }

    /// Drops the stream of an engine that broke off, and resumes the generation elsewhere.
    fn lose_failed_source(&mut self, cause: &str) {
        let Some(source) = &self.source else {
            return;
        };
        let is_stopped = self.stop_was_requested();
        if self.last_event.is_none() && !is_stopped {
            self.gateway
                .record_crash(&self.job, &source.ticket.identity);
        }
        if !is_stopped {
            self.gateway.check_for_crash(&self.job, &source.ticket);
        }
        if self.migration.is_none() && !is_stopped {
            source.ticket.record_outcome(Outcome::Unreachable);
        }
        let reason = match is_stopped {
            true => Reason::Stopped,
            false => Reason::Failed,
        };
        self.lose_source(reason, cause);
    }

    /// Closes the stream of the engine. Returns its ticket, which still counts the generation there.
    fn detach_source(
        &mut self,
        reason: Reason,
        cause: &str,
        ended_by_engine: bool,
    ) -> Option<Ticket> {
        let EngineStream { exchange, ticket } = self.source.take()?;
        drop(exchange);
        self.source_state.close();
        self.gateway.metrics.count_detached(reason.label());
        tracing::info!(
            request = &*self.job.id,
            instance = &*ticket.identity,
            reason = reason.label(),
            cause,
            // False if this entry closes the stream: the engine may not have noticed yet.
            ended_by_engine,
            silent_ms = elapsed_ms(self.last_event_at),
            last_event = self.last_event,
            "engine stream closed; resuming the generation elsewhere"
        );
        self.switch_at_ms = None;
        self.gaps.restart();
        self.events.clear();
        Some(ticket)
    }

    /// Applies the result of an attempt to resume the generation. Fails if no engine is left that
    /// runs it.
    fn finish_resumption(&mut self, result: Result<Resumed, ResumeFailure>) -> Result<(), String> {
        let Some(Resumption { reason, .. }) = self.resumption.take() else {
            return Ok(());
        };
        if let (Err(failure), Some(source)) = (&result, &self.source) {
            tracing::info!(
                request = &*self.job.id,
                instance = &*source.ticket.identity,
                reason = reason.label(),
                not_run = failure.not_run,
                silent_ms = elapsed_ms(self.last_event_at),
                last_event = self.last_event,
                "generation goes on at its engine after another one was asked"
            );
        }
        match result {
            Ok(Resumed { source, backup }) => {
                let cause = "another engine has taken the generation over";
                let left = self.detach_source(reason, cause, false);
                self.is_resuming = true;
                self.has_open_stop = false;
                self.source_state = Arc::new(SourceState::new(monotonic_ms()));
                self.last_event_at = Instant::now();
                self.gaps.restart();
                self.silence_recheck_at = None;
                self.first_event_ms = Some(monotonic_ms());
                self.silent_attempts = 0;
                self.backup = backup;
                self.source = Some(source);
                if let Some(left) = left {
                    let next = self.source.as_ref().map(|source| &source.ticket);
                    self.stop_left_engine(&left, next);
                }
            }
            Err(failure) if self.source.is_none() => match self.broken_source.take() {
                Some(broken) if failure.not_run && self.backup.is_some() => {
                    self.begin_release_of_broken(broken);
                }
                _ => return Err(failure.cause),
            },
            // The copy may not be complete yet, or the engine before is held up.
            Err(failure)
                if failure.not_run && (reason == Reason::Silent || failure.is_of_source) =>
            {
                self.silent_attempts += 1;
            }
            Err(failure) => {
                if !failure.not_run {
                    self.revoke_backup();
                }
                self.backup = None;
                self.switch_at_ms = None;
            }
        }
        Ok(())
    }

    /// Tells the engine with the backup copy to stop the generation, which it may have begun, as its
    /// own engine goes on.
    fn revoke_backup(&self) {
        let (Some(backup), Some(source)) = (&self.backup, &self.source) else {
            return;
        };
        if self.engine.moves {
            let plan = self.migration_plan(backup, None);
            tokio::spawn(revoke(
                Arc::clone(&self.gateway),
                plan,
                source.ticket.address,
            ));
        }
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

impl Drop for Relay {
    /// A caller may leave while one engine works on the generation and another one was asked to.
    fn drop(&mut self) {
        if self.resumption.is_some()
            && self.source_state.is_handed_over()
            && let Some(source) = &self.source
        {
            self.stop_left_engine(&source.ticket, self.backup.as_ref());
        }
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
