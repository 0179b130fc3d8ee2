//! How a generation passes from one engine to another: which one may be asked to go on with it, and
//! what is done so that the engine before does not work on.

use std::future::Future;
use std::sync::Arc;

use tokio::runtime::Handle;
use tokio::time::Instant;

use super::super::migrate::{Migration, MigrationPlan, StoppedGeneration};
use super::super::release::{Release, Released, revoke, revoke_left};
use super::super::resume::{Reason, ResumeFailure, Resumed, Resumer, Resumption, SourceState};
use super::super::ticket::Ticket;
use super::{EngineStream, Relay, elapsed_ms};
use crate::adapters::clock::monotonic_ms;
use crate::domain::fleet::Outcome;

/// An engine whose stream has broken off, and which may still work on the generation.
pub(super) struct BrokenSource {
    ticket: Ticket,
    reason: Reason,
}

impl Relay {
    /// Starts to resume the generation from its backup while its engine may still go on.
    pub(super) fn begin_resumption(&mut self, reason: Reason) {
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
    pub(super) fn begin_release(&mut self) {
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
    pub(super) fn finish_release(&mut self, released: Released) -> Result<(), String> {
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

    pub(super) fn migration_plan(&self, source: &Ticket, gone_at_ms: Option<u64>) -> MigrationPlan {
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
    pub(super) fn stop_was_requested(&self) -> bool {
        let migration = self.migration.as_ref();
        let release = self.release.as_ref();
        self.has_open_stop
            || migration.is_some_and(Migration::stop_was_requested)
            || release.is_some_and(Release::stop_was_requested)
    }

    fn resumer(&self) -> Resumer {
        let (gateway, job) = (Arc::clone(&self.gateway), Arc::clone(&self.job));
        Resumer::new(gateway, job, self.engine)
    }

    /// Drops the stream of an engine that has failed or has stopped the generation, and starts to
    /// resume it at the engine that holds its KV cache: the target of the migration if there is
    /// one, else the backup.
    pub(super) fn lose_source(&mut self, reason: Reason, cause: &str) {
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
            let revoking = revoke_left(Arc::clone(&self.gateway), plan, next.address);
            // A relay may also be dropped as the process ends.
            if let Ok(runtime) = Handle::try_current() {
                runtime.spawn(revoking);
            }
        }
    }

    /// Drops the stream of an engine that broke off, and resumes the generation elsewhere.
    pub(super) fn lose_failed_source(&mut self, cause: &str) {
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
    pub(super) fn finish_resumption(
        &mut self,
        result: Result<Resumed, ResumeFailure>,
    ) -> Result<(), String> {
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
