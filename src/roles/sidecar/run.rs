//! Runs one generation at its engine: reads its tokens, resumes it after a fault, and stops it.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;

use super::core::{Core, Work, refusal};
use super::metrics::metrics;
use super::upstream::Upstream;
use crate::adapters::clock::monotonic_ms;
use crate::adapters::telemetry::invariant;
use crate::adapters::upstream::{EngineRequest, StreamEvent, TokenStream, UpstreamError};
use crate::domain::schedule::Ended;
use crate::domain::stream::{Known, LogError, Stage, Violation};
use crate::model::{GenerationId, Outcome, RefusalCode};
use crate::rpc::sidecar::{End, Origin, StartRequest};

/// Time in which an engine accepts a generation or a resume.
const OPEN_LIMIT: Duration = Duration::from_secs(5);
/// A stream is silent after this many usual times between tokens, but not before two seconds.
const SILENT_TOKENS: f64 = 20.0;
const LEAST_SILENT: Duration = Duration::from_secs(2);
/// An engine that can't be reached for this long has lost its generations.
const GIVE_UP: Duration = Duration::from_secs(5);
/// An engine that accepts resumes but sends no token for this long is given up.
const NO_PROGRESS: Duration = Duration::from_secs(30);
const FIRST_PAUSE: Duration = Duration::from_millis(50);
const LONGEST_PAUSE: Duration = Duration::from_secs(1);
/// Tries to stop a generation at the engine.
const STOP_TRIES: u32 = 5;
const STOP_PAUSE: Duration = Duration::from_millis(200);

/// One run of a generation.
struct Run {
    core: Arc<Core>,
    request: Arc<StartRequest>,
    upstream: Arc<Upstream>,
    stop: CancellationToken,
    /// The number of the run.
    number: u32,
    /// The engine's name of the stream.
    name: String,
    /// The next offset to read.
    offset: u32,
    /// True if no engine was asked for the generation before this run.
    fresh: bool,
    /// Told once the engine has a generation that is taken over.
    found: Option<oneshot::Sender<()>>,
}

impl Core {
    /// Runs a generation to its end, or until it is stopped.
    pub(super) fn run(
        self: Arc<Self>,
        work: &Work,
        priority: u8,
    ) -> impl Future<Output = ()> + Send + 'static {
        let (request, upstream) = (Arc::clone(&work.request), Arc::clone(&work.upstream));
        let stop = work.stop.clone();
        async move {
            let mut run = Run {
                name: request.generation.to_string(),
                core: self,
                request,
                upstream,
                stop,
                number: 0,
                offset: 0,
                fresh: true,
                found: None,
            };
            match run.send() {
                true => run.start(priority).await,
                false => run.ended(Ended::Cut),
            }
        }
    }

    /// Reads a generation of a former incarnation from its first token on. Answers on `found` if
    /// the engine has it.
    pub(super) fn run_adopted(
        self: Arc<Self>,
        work: &Work,
        name: String,
        found: oneshot::Sender<()>,
    ) -> impl Future<Output = ()> + Send + 'static {
        let (request, upstream) = (Arc::clone(&work.request), Arc::clone(&work.upstream));
        let stop = work.stop.clone();
        async move {
            let run = Run {
                core: self,
                request,
                upstream,
                stop,
                // The number that the log gives to a run taken over.
                number: 1,
                name,
                offset: 0,
                fresh: false,
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

    /// Notes that the engine is about to be asked. Returns false if it must not be.
    fn send(&mut self) -> bool {
        let generation = self.generation();
        let mut shard = self.core.shard(generation);
        // The engine may still hold a former run under its name, so each run has its own.
        let former = shard.generations.run(generation).unwrap_or_default();
        self.fresh = former == 0;
        if !self.fresh {
            self.name = format!("{generation}-{former}");
        }
        let origin = Origin {
            upstream: self.upstream.settings.name.clone(),
            engine_stream: self.name.clone(),
        };
        let number = shard.generations.send(generation, origin);
        self.number = number.unwrap_or_default();
        number.is_some()
    }

    async fn start(mut self, priority: u8) {
        let request = EngineRequest {
            stream: self.name.clone(),
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
                let first = self.upstream.engine.start(&request, OPEN_LIMIT).await;
                self.follow(first).await
            } => Some(result),
            () = stop.cancelled() => None,
        };
        self.conclude(result).await;
    }

    async fn adopt(mut self) {
        let stop = self.stop.clone();
        let result = tokio::select! {
            result = async {
                let first = self.upstream.engine.resume(&self.name, 0, OPEN_LIMIT).await;
                self.follow(first).await
            } => Some(result),
            () = stop.cancelled() => None,
        };
        self.conclude(result).await;
    }

    /// Reads to the end of the answer and returns its reason. Resumes the stream at the engine
    /// from the next offset for as long as the engine has it.
    async fn follow(
        &mut self,
        first: Result<TokenStream, UpstreamError>,
    ) -> Result<String, UpstreamError> {
        let mut source = first;
        let mut reached_at = Instant::now();
        let mut progress_at = Instant::now();
        let mut pause = FIRST_PAUSE;
        loop {
            let offset = self.offset;
            let error = match source {
                Ok(mut tokens) => {
                    self.upstream.succeeded();
                    if let Some(found) = self.found.take() {
                        // The caller may have gone away; the generation is adopted all the same.
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
            self.upstream.failed(&error);
            if self.offset > offset {
                progress_at = Instant::now();
                reached_at = progress_at;
                pause = FIRST_PAUSE;
            }
            let hopeless = matches!(
                error,
                UpstreamError::Refused { .. } | UpstreamError::Missing
            );
            let never_sent = self.fresh && self.offset == 0 && error.proves_not_run();
            if hopeless
                || never_sent
                || reached_at.elapsed() > GIVE_UP
                || progress_at.elapsed() > NO_PROGRESS
            {
                return Err(error);
            }
            self.stalled(&error);
            sleep(pause).await;
            pause = (pause * 2).min(LONGEST_PAUSE);
            let engine = &self.upstream.engine;
            source = match engine.resume(&self.name, self.offset, OPEN_LIMIT).await {
                // Not a proof that the first request was not sent.
                Err(UpstreamError::NotSent(cause)) => Err(UpstreamError::Broken(cause)),
                other => other,
            };
        }
    }

    fn stalled(&self, error: &UpstreamError) {
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
            let silent = Duration::from_secs_f64(SILENT_TOKENS * token_ms / 1_000.0);
            let mut next = Some(tokens.next(silent.max(LEAST_SILENT)).await?);
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
                    // Stopped or cancelled; the task is about to end.
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
            self.core.drive(&self.upstream);
        }
    }

    /// Ends the generation, or frees the engine after a stop.
    async fn conclude(self, result: Option<Result<String, UpstreamError>>) {
        match result {
            Some(Ok(reason)) => {
                self.core
                    .finish(self.generation(), End::Finished { reason });
                self.ended(Ended::Complete);
            }
            Some(Err(error)) => {
                self.fail(&error);
                if !matches!(error, UpstreamError::Missing) && !error.proves_not_run() {
                    self.stop_at_engine().await;
                }
                self.ended(Ended::Cut);
            }
            None => {
                self.stop_at_engine().await;
                let known = self
                    .core
                    .shard(self.generation())
                    .generations
                    .known(self.generation());
                match known {
                    Known::Stream(Stage::Requeued) => {
                        let now_ms = monotonic_ms();
                        self.upstream
                            .scheduler()
                            .on_stopped(now_ms, self.generation());
                        self.core.drive(&self.upstream);
                    }
                    _ => self.ended(Ended::Cut),
                }
            }
        }
    }

    fn ended(&self, ended: Ended) {
        let now_ms = monotonic_ms();
        let generation = self.generation();
        self.upstream.scheduler().on_end(now_ms, generation, ended);
        self.core.drive(&self.upstream);
    }

    fn fail(&self, error: &UpstreamError) {
        let generation = self.generation();
        let progress = self.core.shard(generation).generations.progress(generation);
        let shown = progress.is_some_and(|(_, given)| given > 0);
        let (outcome, message) = match shown {
            true => (Outcome::Interrupted, error.to_string()),
            false if self.fresh && self.offset == 0 && error.proves_not_run() => {
                (Outcome::NotRun, error.to_string())
            }
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

    async fn stop_at_engine(&self) {
        for _ in 0..STOP_TRIES {
            match self.upstream.engine.cancel(&self.name).await {
                Ok(_) => return,
                Err(error) => {
                    tracing::warn!(
                        generation = %self.generation(), %error, "the engine did not confirm a stop"
                    );
                }
            }
            sleep(STOP_PAUSE).await;
        }
    }
}
