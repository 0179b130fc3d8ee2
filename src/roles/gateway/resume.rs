//! Attempts to resume a generation at an engine that holds a copy of its KV cache.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use tokio::time::timeout;

use super::Gateway;
use super::generation::with_backup;
use super::migrate::StoppedGeneration;
use super::relay::EngineStream;
use super::request::Job;
use super::ticket::Ticket;
use super::upstream::{Connections, SendFailure};
use crate::adapters::clock::monotonic_ms;
use crate::domain::document::EngineSpec;
use crate::platform::{Liveness, headers};

/// Time limit for a migration to complete after the stream from the source engine has ended.
const MOVE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time limit for permission to ask an engine while another one may be asked instead.
const PERMISSION_TIMEOUT: Duration = Duration::from_secs(1);

/// Why a generation is to be resumed at another engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Reason {
    /// Its engine has sent no event for some time. It may go on.
    Silent,
    /// The stream of its engine broke off.
    Failed,
    /// Its engine has stopped it for a migration.
    Stopped,
    /// Its engine is shutting down.
    Leaving,
}

impl Reason {
    /// Returns the label for logs and metrics.
    pub(super) fn label(self) -> &'static str {
        match self {
            Self::Silent => "silent",
            Self::Failed => "failed",
            Self::Stopped => "stopped",
            Self::Leaving => "leaving",
        }
    }
}

/// A leaving engine that has sent an event within this time counts as prompt: it notices soon that
/// its stream is closed, so that it does not work on beside the engine that has taken over.
const PROMPT_EVENT_MS: u64 = 150;

/// What is known of the engine that runs a generation while another one is to take it over.
pub(super) struct SourceState {
    /// Monotonic time of its last event.
    last_event_ms: AtomicU64,
    is_open: AtomicBool,
    /// True once another engine was asked to go on with the generation.
    is_handed_over: AtomicBool,
}

impl SourceState {
    pub(super) fn new(now_ms: u64) -> Self {
        Self {
            last_event_ms: AtomicU64::new(now_ms),
            is_open: AtomicBool::new(true),
            is_handed_over: AtomicBool::new(false),
        }
    }

    /// Records an event.
    pub(super) fn hear(&self, now_ms: u64) {
        self.last_event_ms.store(now_ms, Ordering::Relaxed);
    }

    /// Records that the stream of the engine has ended.
    pub(super) fn close(&self) {
        self.is_open.store(false, Ordering::Relaxed);
    }

    fn is_open(&self) -> bool {
        self.is_open.load(Ordering::Relaxed)
    }

    /// Returns true if another engine was asked to go on with the generation.
    pub(super) fn is_handed_over(&self) -> bool {
        self.is_handed_over.load(Ordering::Relaxed)
    }

    /// Records that another engine is asked now. Fails if the stream has broken off meanwhile: its
    /// engine has to be released first.
    fn hand_over(&self) -> Result<(), ResumeFailure> {
        if !self.is_open() {
            let cause = "the stream of the engine before has broken off".to_owned();
            return Err(ResumeFailure::not_run("source_broken", cause));
        }
        self.is_handed_over.store(true, Ordering::Relaxed);
        Ok(())
    }

    /// Returns true if the engine has sent an event just now.
    pub(super) fn is_prompt(&self, now_ms: u64) -> bool {
        let last_ms = self.last_event_ms.load(Ordering::Relaxed);
        now_ms.saturating_sub(last_ms) <= PROMPT_EVENT_MS
    }
}

/// A generation that another engine has taken over.
pub(super) struct Resumed {
    pub(super) source: EngineStream,
    /// Engine that keeps a backup copy of its KV cache.
    pub(super) backup: Option<Ticket>,
}

/// Why an attempt failed.
pub(super) struct ResumeFailure {
    label: &'static str,
    pub(super) cause: String,
    /// True if the engine certainly did not execute the request, so that the copy is unused.
    pub(super) not_run: bool,
    /// True if the engine was not asked because of the engine before.
    pub(super) is_of_source: bool,
}

impl ResumeFailure {
    fn not_run(label: &'static str, cause: String) -> Self {
        Self {
            label,
            cause,
            not_run: true,
            is_of_source: false,
        }
    }

    fn unknown(label: &'static str, cause: String) -> Self {
        Self {
            label,
            cause,
            not_run: false,
            is_of_source: false,
        }
    }

    /// Logs and counts the failure.
    pub(super) fn log(&self, gateway: &Gateway, job: &Job) {
        gateway.metrics.count_resumption(self.label);
        tracing::info!(
            request = &*job.id,
            reason = self.label,
            cause = &*self.cause,
            last_event = job.open.last_event(),
            "generation not resumed"
        );
    }
}

type ResumeResult = Result<Resumed, ResumeFailure>;

/// An attempt in progress. Dropping it closes its connection, but does not keep an engine that was
/// asked from beginning the generation: it is dropped only with the whole stream.
pub(super) struct Resumption {
    pub(super) reason: Reason,
    attempt: Pin<Box<dyn Future<Output = ResumeResult> + Send>>,
}

impl Resumption {
    /// Starts an attempt at the engine that keeps the backup copy. `before` is the state of the
    /// engine that may still work on the generation.
    pub(super) fn from_backup(
        reason: Reason,
        resumer: Resumer,
        backup: &Ticket,
        before: Option<Arc<SourceState>>,
    ) -> Self {
        let ticket = backup.another(resumer.job.demand);
        Self {
            reason,
            attempt: Box::pin(async move {
                match before {
                    Some(before) => resumer.take_over(reason, ticket, &before).await,
                    None => resumer.resume_at_backup(ticket, None).await,
                }
            }),
        }
    }

    /// Starts an attempt with a generation that its engine was told to stop: at the target of its
    /// copy, at the engine with the backup copy, and then at the source engine, which keeps the
    /// memory of a generation that it has stopped.
    pub(super) fn from_stopped(
        reason: Reason,
        resumer: Resumer,
        stopping: impl Future<Output = Option<StoppedGeneration>> + Send + 'static,
        source: Ticket,
        backup: Option<&Ticket>,
    ) -> Self {
        let backup = backup.map(|backup| backup.another(resumer.job.demand));
        Self {
            reason,
            attempt: Box::pin(resumer.resume_stopped(stopping, source, backup)),
        }
    }

    /// Returns the result of an attempt, which must not be used again after that. Never returns if
    /// there is no attempt.
    pub(super) async fn finish(attempt: &mut Option<Self>) -> ResumeResult {
        match attempt {
            Some(resumption) => resumption.attempt.as_mut().await,
            None => std::future::pending().await,
        }
    }
}

/// What a request that resumes a generation is made from.
pub(super) struct Resumer {
    pub(super) gateway: Arc<Gateway>,
    pub(super) job: Arc<Job>,
    pub(super) engine: EngineSpec,
}

impl Resumer {
    pub(super) fn new(gateway: Arc<Gateway>, job: Arc<Job>, engine: EngineSpec) -> Self {
        Self {
            gateway,
            job,
            engine,
        }
    }

    /// Resumes the generation at the engine with the backup copy. `before` is the state of the engine
    /// that may still work on it.
    async fn resume_at_backup(&self, ticket: Ticket, before: Option<&SourceState>) -> ResumeResult {
        let copy = format!("{}/{}", ticket.address, self.job.id);
        self.resume_at(ticket, &copy, PERMISSION_TIMEOUT, before)
            .await
    }

    /// Resumes the generation at the engine with the backup copy while another engine may work on it.
    /// An engine that is held up is not asked, as it would begin the request at an unknown time, and
    /// a leaving engine has to be prompt, so that it notices that it is left.
    async fn take_over(
        &self,
        reason: Reason,
        ticket: Ticket,
        before: &SourceState,
    ) -> ResumeResult {
        let identity = &ticket.identity;
        if self.gateway.is_evacuated(identity) {
            let cause = format!("the zone of {identity} is evacuated");
            return Err(self.failed(ResumeFailure::not_run("evacuated", cause)));
        }
        let pause = self
            .gateway
            .wait_until_unpaused(identity, PERMISSION_TIMEOUT);
        if !pause.await {
            let cause = format!("requests to {identity} are paused");
            return Err(self.failed(ResumeFailure::not_run("paused", cause)));
        }
        let liveness = self.gateway.check_liveness(ticket.address).await;
        match liveness {
            Liveness::Late | Liveness::Unreachable => {
                let cause = format!("{identity} does not respond in time");
                return Err(self.failed(ResumeFailure::not_run("late", cause)));
            }
            Liveness::Responds(_)
                if reason == Reason::Leaving && !before.is_prompt(monotonic_ms()) =>
            {
                let cause = "the engine before is held up".to_owned();
                let failure = ResumeFailure::not_run("source_late", cause);
                return Err(self.failed(ResumeFailure {
                    is_of_source: true,
                    ..failure
                }));
            }
            Liveness::Responds(_) => {}
        }
        self.resume_at_backup(ticket, Some(before)).await
    }

    /// Resumes a generation once its engine has stopped it. Without that, nothing shows that the engine
    /// does not work on.
    async fn resume_stopped(
        self,
        stopping: impl Future<Output = Option<StoppedGeneration>>,
        source: Ticket,
        backup: Option<Ticket>,
    ) -> ResumeResult {
        let failure = match timeout(MOVE_TIMEOUT, stopping).await {
            Ok(Some(stopped)) => return self.resume_from_source(stopped, source, backup).await,
            Ok(None) => ResumeFailure::unknown("migration_failed", "the migration failed".into()),
            Err(_) => {
                ResumeFailure::unknown("migration_timed_out", "the migration timed out".into())
            }
        };
        Err(self.failed(failure))
    }

    /// Resumes a generation that its engine has stopped, at the first engine that does not refuse.
    async fn resume_from_source(
        &self,
        stopped: StoppedGeneration,
        source: Ticket,
        backup: Option<Ticket>,
    ) -> ResumeResult {
        let copy = format!("{}/{}", source.address, stopped.handle);
        if let Some(target) = stopped.target {
            match self
                .resume_at(target, &copy, PERMISSION_TIMEOUT, None)
                .await
            {
                Err(failure) if failure.not_run => {}
                result => return result,
            }
        }
        if let Some(backup) = backup {
            match self.resume_at_backup(backup, None).await {
                Err(failure) if failure.not_run => {}
                result => return result,
            }
        }
        // No other engine is left, so a pause that it asks for is waited out.
        let pause_limit = Duration::from_millis(self.job.left_ms());
        self.resume_at(source, &copy, pause_limit, None).await
    }

    /// Resumes the generation at an engine from a copy, which is given as `address/handle`. Waits up
    /// to `pause_limit` if the engine has asked for time.
    async fn resume_at(
        &self,
        ticket: Ticket,
        copy: &str,
        pause_limit: Duration,
        before: Option<&SourceState>,
    ) -> ResumeResult {
        tracing::info!(
            request = &*self.job.id,
            instance = &*ticket.identity,
            copy,
            last_event = self.job.open.last_event(),
            left_ms = self.job.left_ms(),
            "resuming the generation"
        );
        let identity = Arc::clone(&ticket.identity);
        let resumed = self.try_resume(ticket, copy, pause_limit, before).await;
        let resumed = resumed.map_err(|failure| self.failed(failure))?;
        self.gateway.metrics.count_resumption("resumed");
        self.gateway.metrics.count_move("continued");
        self.job.open.set_instance(&identity);
        tracing::info!(
            request = &*self.job.id,
            instance = &*identity,
            last_event = self.job.open.last_event(),
            "generation resumed"
        );
        Ok(resumed)
    }

    async fn try_resume(
        &self,
        ticket: Ticket,
        copy: &str,
        pause_limit: Duration,
        before: Option<&SourceState>,
    ) -> ResumeResult {
        let (gateway, identity) = (&self.gateway, &ticket.identity);
        let evacuated = || {
            let cause = format!("the zone of {identity} is evacuated");
            ResumeFailure::not_run("evacuated", cause)
        };
        if gateway.is_evacuated(identity) {
            return Err(evacuated());
        }
        let backup = gateway.choose_backup(&self.job, self.engine, &ticket);
        if !gateway.wait_until_unpaused(identity, pause_limit).await {
            let cause = format!("requests to {identity} are paused");
            return Err(ResumeFailure::not_run("paused", cause));
        }
        let permit = gateway.wait_for_resumption_permit(&self.job.id, &ticket, PERMISSION_TIMEOUT);
        if !permit.await {
            let cause = format!("{identity} has reached its request limit");
            return Err(ResumeFailure::not_run("limited", cause));
        }
        // An order may have come in while a pause was waited out.
        if gateway.is_evacuated(identity) {
            return Err(evacuated());
        }
        if let Some(before) = before {
            before.hand_over()?;
        }
        let request = with_backup(self.request(&ticket, copy), backup.as_ref());
        // Without a time limit: silence does not show that the engine has failed, and an attempt that
        // is dropped may still be begun.
        let sending = gateway.send(&ticket, request, &self.job.id, Connections::Any);
        match sending.await {
            Ok(exchange) if exchange.head.status.is_success() => Ok(Resumed {
                source: EngineStream { exchange, ticket },
                backup,
            }),
            Ok(exchange) => {
                let status = exchange.head.status;
                // The generation may still go on from another copy, so the caller isn't told.
                let _ = gateway.check_misdirection(&self.job, identity, status);
                let cause = format!("{identity} answered {status}");
                Err(
                    match headers::states_not_run(status, &exchange.head.headers) {
                        true => ResumeFailure::not_run("refused", cause),
                        false => ResumeFailure::unknown("status", cause),
                    },
                )
            }
            Err(failure) => {
                let cause = format!("{identity}: {failure}");
                Err(match failure {
                    SendFailure::NotSent(_) => ResumeFailure::not_run("unreachable", cause),
                    SendFailure::Lost(_) => ResumeFailure::unknown("lost", cause),
                })
            }
        }
    }

    fn request(&self, ticket: &Ticket, copy: &str) -> Request<Full<Bytes>> {
        let mut request = self.job.upstream_request(&ticket.identity);
        let sent = request.headers_mut();
        if let Some(value) = headers::value(copy) {
            sent.insert(headers::CONTINUE_FROM, value);
        }
        // Read now, as the engine before may have gone on until here.
        let last_event = self.job.open.last_event();
        if let Some(value) = last_event.and_then(|id| headers::value(&id.to_string())) {
            sent.insert(headers::LAST_EVENT, value);
        }
        request
    }

    fn failed(&self, failure: ResumeFailure) -> ResumeFailure {
        failure.log(&self.gateway, &self.job);
        failure
    }
}
