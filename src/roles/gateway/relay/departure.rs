//! When a generation is taken away from an engine that is leaving or silent.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use super::super::migrate::Migration;
use super::super::resume::Reason;
use super::super::ticket::Ticket;
use super::Relay;
use crate::adapters::clock::monotonic_ms;

/// Time from the first event after which the backup can be expected to hold the KV cache of the
/// prompt: half a gigabyte over a link of 3 GB/s, queued behind other copies. The copy may still be
/// missing after 400 ms.
const BACKUP_COPY_MS: u64 = 1_200;
/// A generation is resumed from its backup at the latest this long before its engine is gone.
const BACKUP_SWITCH_MARGIN_MS: u64 = 200;
/// If an engine sends no event for this long, and there is a backup, it is checked whether the engine
/// may still work on the generation. Engines produce an event every 30 to 100 ms, and pauses of more than 180 ms count as
/// stalls.
const EVENT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time for which an engine has to stay silent after `EVENT_TIMEOUT`. If this process was held up,
/// the timer expires before the events are read that have arrived meanwhile.
const SILENCE_RECHECK_TIME: Duration = Duration::from_millis(50);

impl Relay {
    /// If the engine is leaving, prepares to resume the generation elsewhere: from the backup if
    /// there is one, else by a migration.
    pub(super) fn check_departure(&mut self) {
        let (None, None, None, Some(source)) = (
            &self.migration,
            &self.release,
            &self.resumption,
            &self.source,
        ) else {
            return;
        };
        // A generation can be migrated only after its first token.
        let Some(first_event_ms) = self.first_event_ms else {
            return;
        };
        let identity = Arc::clone(&source.ticket.identity);
        let now_ms = monotonic_ms();
        let (leaving, is_backup_lost) = self.gateway.with_view(|view| {
            let is_lost = |backup: &Ticket| {
                view.leaving(&backup.identity).is_some() || view.is_evacuated(&backup.identity)
            };
            (
                view.leaving(&identity),
                self.backup.as_ref().is_some_and(is_lost),
            )
        });
        if is_backup_lost {
            self.backup = None;
            self.switch_at_ms = None;
        }
        let Some(leaving) = leaving else {
            return;
        };
        if self.backup.is_some() {
            let latest_ms = leaving
                .gone_at_ms
                .unwrap_or(u64::MAX)
                .saturating_sub(BACKUP_SWITCH_MARGIN_MS);
            let switch_at_ms = (first_event_ms + BACKUP_COPY_MS).min(latest_ms);
            self.switch_at_ms = Some(switch_at_ms);
            // Otherwise it is left after its next event, or once it counts as silent.
            if now_ms >= switch_at_ms && self.source_state.is_prompt(now_ms) {
                self.begin_resumption(Reason::Leaving);
            }
            return;
        }
        if !self.engine.moves {
            return;
        }
        tracing::info!(
            request = &*self.job.id,
            instance = &*identity,
            gone_in_ms = leaving.gone_at_ms.map(|at_ms| at_ms.saturating_sub(now_ms)),
            last_event = self.last_event,
            "engine is shutting down; migrating the generation"
        );
        let plan = self.migration_plan(&source.ticket, leaving.gone_at_ms);
        self.migration = Some(Migration::begin(Arc::clone(&self.gateway), plan));
    }

    /// Returns when the state has to be checked even if nothing is received.
    pub(super) fn next_check_at(&self) -> Instant {
        let stalled_at = match (&self.backup, &self.resumption, &self.release) {
            (_, Some(_), _) | (_, _, Some(_)) => return self.job.deadline,
            (Some(_), None, None) if self.first_event_ms.is_some() && !self.pause.is_paused() => {
                let expires_at = self.last_event_at + self.silence_limit();
                self.silence_recheck_at.unwrap_or(expires_at)
            }
            _ => self.job.deadline,
        };
        let now_ms = monotonic_ms();
        match self.switch_at_ms {
            Some(at_ms) if at_ms > now_ms => {
                stalled_at.min(Instant::now() + Duration::from_millis(at_ms - now_ms))
            }
            _ => stalled_at,
        }
    }

    /// Returns true if the engine is silent: at two checks, between which what has arrived is read.
    pub(super) fn has_stalled(&mut self) -> bool {
        let is_silent = self.backup.is_some()
            && !self.pause.is_paused()
            && self.resumption.is_none()
            && self.release.is_none()
            && self.first_event_ms.is_some()
            && self.last_event_at.elapsed() >= self.silence_limit();
        let now = Instant::now();
        match self.silence_recheck_at.filter(|_| is_silent) {
            Some(recheck_at) => now >= recheck_at,
            None => {
                self.silence_recheck_at = is_silent.then_some(now + SILENCE_RECHECK_TIME);
                false
            }
        }
    }

    /// Returns the time without an event after which the engine is checked. It doubles with each
    /// check that proves nothing, and with each refusal of the backup.
    fn silence_limit(&self) -> Duration {
        EVENT_TIMEOUT.saturating_mul(2_u32.saturating_pow(self.silent_attempts))
    }
}
