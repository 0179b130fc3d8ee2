//! Runs one generation at its engine: reads its tokens, resumes the stream after a failure, and
//! cancels it.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;

use super::core::{ActiveGeneration, Core, refusal};
use super::metrics::metrics;
use super::upstream::Upstream;
use crate::adapters::clock::monotonic_ms;
use crate::adapters::telemetry::invariant;
use crate::adapters::upstream::{EngineRequest, StreamEvent, TokenStream, UpstreamError};
use crate::domain::schedule::Ended;
use crate::domain::stream::{GenerationState, LogError, Stage, Violation};
use crate::model::{GenerationId, Outcome, RefusalCode};
use crate::rpc::sidecar::{End, Origin, StartRequest};

/// Timeout for an engine to accept a new or resumed stream.
const OPEN_TIMEOUT: Duration = Duration::from_secs(5);
/// A stream counts as stalled if no token arrives within this many usual token intervals, but not
/// before `MIN_STALL_TIMEOUT`.
const STALL_TOKEN_INTERVALS: f64 = 20.0;
/// Lower bound of the stall timeout, which also applies while the token interval is unknown.
const MIN_STALL_TIMEOUT: Duration = Duration::from_secs(2);
/// An engine that can't be reached for this long counts as having lost its generations.
const UNREACHABLE_TIMEOUT: Duration = Duration::from_secs(5);
/// A stream is abandoned if the engine accepts resumes but sends no token for this long.
const NO_PROGRESS_TIMEOUT: Duration = Duration::from_secs(30);
/// Delay before the first resume; doubles with each further one up to `MAX_RESUME_DELAY`.
const FIRST_RESUME_DELAY: Duration = Duration::from_millis(50);
const MAX_RESUME_DELAY: Duration = Duration::from_secs(1);
/// Attempts to cancel a generation at the engine.
const CANCEL_ATTEMPTS: u32 = 5;
const CANCEL_RETRY_DELAY: Duration = Duration::from_millis(200);

/// One run of a generation.
struct Run {
    core: Arc<Core>,
    request: Arc<StartRequest>,
    upstream: Arc<Upstream>,
    stop: CancellationToken,
    /// The run's number in the token log; an append with the number of an earlier run is rejected.
    number: u32,
    /// The id of the stream at the engine.
    engine_stream: String,
    /// The next offset to read.
    offset: u32,
    /// True if this is the first run of the generation, so that no engine has seen it before.
    is_first: bool,
    /// True once the engine was asked to resume the stream: the request before may still be waiting
    /// in its socket, so that nothing it says of the resume proves that it has not run.
    was_resumed: bool,
    /// Notified once the engine has confirmed that it holds a generation to adopt.
    found: Option<oneshot::Sender<()>>,
}

impl Core {
    /// Runs a generation to its end, or until it is stopped.
    pub(super) fn run(
        self: Arc<Self>,
        active: &ActiveGeneration,
        priority: u8,
    ) -> impl Future<Output = ()> + Send + 'static {
        let (request, upstream) = (Arc::clone(&active.request), Arc::clone(&active.upstream));
        let stop = active.stop.clone();
        async move {
            let mut run = Run {
                engine_stream: request.generation.to_string(),
                core: self,
                request,
                upstream,
                stop,
                number: 0,
                offset: 0,
                is_first: true,
                was_resumed: false,
                found: None,
            };
            match run.mark_sent() {
                true => run.start(priority).await,
                false => run.report_end(Ended::Incomplete),
            }
        }
    }

    /// Adopts a generation that a former incarnation started: reads it from its first token.
    /// Notifies `found` once the engine confirms that it has the generation; otherwise drops it.
    pub(super) fn run_adopted(
        self: Arc<Self>,
        active: &ActiveGeneration,
        engine_stream: String,
        found: oneshot::Sender<()>,
    ) -> impl Future<Output = ()> + Send + 'static {
        let (request, upstream) = (Arc::clone(&active.request), Arc::clone(&active.upstream));
        let stop = active.stop.clone();
        async move {
            let run = Run {
                core: self,
                request,
                upstream,
                stop,
                // The token log gives an adopted run the number 1.
                number: 1,
                engine_stream,
                offset: 0,
                is_first: false,
                was_resumed: false,
                found: Some(found),
            };
            run.adopt().await;
        }
    }
}

impl Run {
    fn generation(&self) -> GenerationId {
        self.request.generation
    }

    /// Marks the generation as sent, just before the request to the engine. Returns false if it
    /// must not be sent any more.
    fn mark_sent(&mut self) -> bool {
        let generation = self.generation();
        let mut shard = self.core.shard(generation);
        // The engine may still hold an earlier run under its stream id, so each run has its own.
        let former = shard.generations.run(generation).unwrap_or_default();
        self.is_first = former == 0;
        if !self.is_first {
            self.engine_stream = format!("{generation}-{former}");
        }
        let origin = Origin {
            upstream: self.upstream.settings.name.clone(),
            engine_stream: self.engine_stream.clone(),
        };
        let number = shard.generations.send(generation, origin);
        self.number = number.unwrap_or_default();
        number.is_some()
    }

    async fn start(mut self, priority: u8) {
        let request = EngineRequest {
            stream: self.engine_stream.clone(),
            api: self.request.api,
            model: self.request.model.clone(),
            version: self.request.version.clone(),
            body: self.request.body.clone(),
            max_tokens: self.request.max_tokens,
            priority,
        };
        let stop = self.stop.clone();
        let result = tokio::select! {
            result = async {
                let first = self.upstream.engine.start(&request, OPEN_TIMEOUT).await;
                self.read_to_end(first).await
            } => Some(result),
            () = stop.cancelled() => None,
        };
        self.conclude(result).await;
    }

    async fn adopt(mut self) {
        let stop = self.stop.clone();
        let result = tokio::select! {
            result = async {
                let first = self.upstream.engine.resume(&self.engine_stream, 0, OPEN_TIMEOUT).await;
                self.read_to_end(first).await
            } => Some(result),
            () = stop.cancelled() => None,
        };
        self.conclude(result).await;
    }

    /// Reads the stream to its end and returns the finish reason. After a failure, resumes it from
    /// the next offset for as long as the engine has it.
    async fn read_to_end(
        &mut self,
        first: Result<TokenStream, UpstreamError>,
    ) -> Result<String, UpstreamError> {
        let mut source = first;
        let mut reached_at = Instant::now();
        let mut progress_at = Instant::now();
        let mut delay = FIRST_RESUME_DELAY;
        loop {
            let offset = self.offset;
            let error = match source {
                Ok(mut tokens) => {
                    self.upstream.record_success();
                    if let Some(found) = self.found.take() {
                        // The generation is adopted even if the caller has disconnected.
                        let _ = found.send(());
                    }
                    reached_at = Instant::now();
                    match self.read(&mut tokens).await {
                        Ok(reason) => return Ok(reason),
                        Err(error) => error,
                    }
                }
                Err(error) => error,
            };
            self.upstream.record_failure(&error);
            if self.offset > offset {
                progress_at = Instant::now();
                reached_at = progress_at;
                delay = FIRST_RESUME_DELAY;
            }
            let is_final = matches!(
                error,
                UpstreamError::Refused { .. } | UpstreamError::Missing
            );
            let not_sent = self.proves_not_run(&error);
            if is_final
                || not_sent
                || reached_at.elapsed() > UNREACHABLE_TIMEOUT
                || progress_at.elapsed() > NO_PROGRESS_TIMEOUT
            {
                return Err(error);
            }
            self.record_stall(&error);
            sleep(delay).await;
            delay = (delay * 2).min(MAX_RESUME_DELAY);
            self.was_resumed = true;
            let engine = &self.upstream.engine;
            source = match engine
                .resume(&self.engine_stream, self.offset, OPEN_TIMEOUT)
                .await
            {
                // An unsent resume doesn't prove that the first request was not sent.
                Err(UpstreamError::NotSent(cause)) => Err(UpstreamError::Broken(cause)),
                other => other,
            };
        }
    }

    fn record_stall(&self, error: &UpstreamError) {
        let upstream = self.upstream.settings.name.as_str();
        metrics().stalls.with_label_values(&[upstream]).inc();
        tracing::warn!(
            request = %self.request.request, generation = %self.generation(), upstream,
            offset = self.offset, %error, "stream failed; resuming it at the engine"
        );
    }

    async fn read(&mut self, tokens: &mut TokenStream) -> Result<String, UpstreamError> {
        loop {
            let token_ms = self.upstream.scheduler().token_ms();
            let stall_timeout = Duration::from_secs_f64(STALL_TOKEN_INTERVALS * token_ms / 1_000.0);
            let mut next = Some(tokens.next(stall_timeout.max(MIN_STALL_TIMEOUT)).await?);
            let mut batch = Vec::new();
            let mut finish = None;
            while let Some(event) = next {
                match event {
                    StreamEvent::Token(token) => batch.push(token),
                    StreamEvent::Finish(reason) => finish = Some(reason),
                }
                next = tokens.ready();
            }
            self.append(batch);
            if let Some(reason) = finish {
                return Ok(reason);
            }
        }
    }

    fn append(&mut self, batch: Vec<String>) {
        let generation = self.generation();
        let mut count = 0;
        let shown = {
            let mut shard = self.core.shard(generation);
            for token in batch {
                let appended =
                    shard
                        .generations
                        .append(generation, self.number, self.offset, token);
                match appended {
                    Ok(()) => {
                        self.offset += 1;
                        count += 1;
                    }
                    // The run was preempted or cancelled; this task is about to end.
                    Err(violation) => {
                        let gap = matches!(violation, Violation::Log(LogError::Gap { .. }));
                        invariant(!gap, "sidecar_offsets_contiguous", || {
                            format!("{generation}: {violation}")
                        });
                        break;
                    }
                }
            }
            shard.wake(generation);
            let progress = shard.generations.progress(generation);
            progress.is_some_and(|(_, given)| given > 0)
        };
        let name = self.upstream.settings.name.as_str();
        metrics().tokens.with_label_values(&[name]).inc_by(count);
        let now_ms = monotonic_ms();
        let mut scheduler = self.upstream.scheduler();
        if shown {
            scheduler.on_shown(generation);
        }
        let mut due = false;
        for _ in 0..count {
            due |= scheduler.on_token(now_ms, generation);
        }
        drop(scheduler);
        if due {
            self.core.dispatch(&self.upstream);
        }
    }

    /// Ends the generation with the result of its stream. `None` means that the run was cancelled
    /// or preempted: it is cancelled at the engine, and a preempted generation is queued again.
    async fn conclude(self, result: Option<Result<String, UpstreamError>>) {
        match result {
            Some(Ok(reason)) => {
                self.core
                    .finish(self.generation(), End::Finished { reason });
                self.report_end(Ended::Complete);
            }
            Some(Err(error)) => {
                self.fail(&error);
                let is_refused = error.proves_not_run() && !self.was_resumed;
                if !matches!(error, UpstreamError::Missing) && !is_refused {
                    self.cancel_at_engine().await;
                }
                self.report_end(Ended::Incomplete);
            }
            None => {
                self.cancel_at_engine().await;
                let state = self
                    .core
                    .shard(self.generation())
                    .generations
                    .state(self.generation());
                match state {
                    GenerationState::Stream(Stage::Requeued) => {
                        let now_ms = monotonic_ms();
                        self.upstream
                            .scheduler()
                            .on_stopped(now_ms, self.generation());
                        self.core.dispatch(&self.upstream);
                    }
                    _ => self.report_end(Ended::Incomplete),
                }
            }
        }
    }

    fn report_end(&self, ended: Ended) {
        let now_ms = monotonic_ms();
        let generation = self.generation();
        self.upstream.scheduler().on_end(now_ms, generation, ended);
        self.core.dispatch(&self.upstream);
    }

    /// Returns true if an error shows that no engine has run the generation or will.
    fn proves_not_run(&self, error: &UpstreamError) -> bool {
        self.is_first && self.offset == 0 && !self.was_resumed && error.proves_not_run()
    }

    fn fail(&self, error: &UpstreamError) {
        let generation = self.generation();
        let progress = self.core.shard(generation).generations.progress(generation);
        let shown = progress.is_some_and(|(_, given)| given > 0);
        let (outcome, message) = match shown {
            true => (Outcome::Interrupted, error.to_string()),
            false if self.proves_not_run(error) => (Outcome::NotRun, error.to_string()),
            false => (
                Outcome::Unknown,
                format!("{error}; nothing was shown, so a repeatable request may run again"),
            ),
        };
        tracing::warn!(
            request = %self.request.request, %generation, %outcome, %error, "generation failed"
        );
        let refusal = refusal(RefusalCode::UpstreamLost, &message);
        self.core
            .finish(generation, End::Failed { outcome, refusal });
    }

    async fn cancel_at_engine(&self) {
        for _ in 0..CANCEL_ATTEMPTS {
            match self.upstream.engine.cancel(&self.engine_stream).await {
                Ok(_) => return,
                Err(error) => {
                    tracing::warn!(
                        generation = %self.generation(), %error,
                        "the engine did not confirm the cancellation"
                    );
                }
            }
            sleep(CANCEL_RETRY_DELAY).await;
        }
    }
}
