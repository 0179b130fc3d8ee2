//! Carries out the decisions of the schedulers.

use std::sync::{Arc, PoisonError};
use std::time::Duration;

use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use super::core::Core;
use super::metrics::metrics;
use super::upstream::Upstream;
use crate::adapters::clock::monotonic_ms;
use crate::domain::schedule::{Action, Ended, NEXT_INTERVAL_MS};
use crate::model::{GenerationId, Outcome, Refusal};
use crate::rpc::sidecar::{End, Lane};

impl Core {
    /// Carries out the scheduler actions that are due at an upstream. The caller must not hold the
    /// lock of any shard or scheduler.
    pub(super) fn dispatch(self: &Arc<Self>, upstream: &Arc<Upstream>) {
        let dispatch_lock = upstream.dispatch_lock.lock();
        let _in_order = dispatch_lock.unwrap_or_else(PoisonError::into_inner);
        let actions = upstream.scheduler().next(monotonic_ms());
        for action in actions {
            match action {
                Action::Start {
                    id,
                    engine_priority,
                    waited_ms,
                    lane,
                } => {
                    count_start(upstream, lane, waited_ms);
                    self.start_run(upstream, id, engine_priority);
                }
                Action::Stop { id } => self.preempt_run(upstream, id),
                Action::Refuse { id, refusal, ran } => self.refuse_queued(id, refusal, ran),
            }
        }
    }

    /// Calls `dispatch` every `NEXT_INTERVAL_MS` while requests are queued. Does not return.
    pub(super) async fn dispatch_queued(self: Arc<Self>, upstream: Arc<Upstream>) {
        loop {
            sleep(Duration::from_millis(NEXT_INTERVAL_MS)).await;
            if upstream.has_queued() {
                self.dispatch(&upstream);
            }
        }
    }

    fn start_run(self: &Arc<Self>, upstream: &Arc<Upstream>, id: GenerationId, priority: u8) {
        let shard = self.shard(id);
        match shard.active.get(&id) {
            Some(active) => {
                tokio::spawn(Arc::clone(self).run(active, priority));
            }
            None => {
                // Cancelled between the scheduler's decision and this point.
                drop(shard);
                let now_ms = monotonic_ms();
                upstream.scheduler().on_end(now_ms, id, Ended::Incomplete);
            }
        }
    }

    /// Clears the token log of a run of which no token was given to a reader, and cancels the run
    /// at the engine. The generation goes back into the queue.
    fn preempt_run(&self, upstream: &Upstream, id: GenerationId) {
        let mut shard = self.shard(id);
        match shard.generations.restart(id) {
            Ok(()) => {
                if let Some(active) = shard.active.get_mut(&id) {
                    std::mem::replace(&mut active.stop, CancellationToken::new()).cancel();
                }
                let labels = [upstream.settings.name.as_str(), "false"];
                metrics().preemptions.with_label_values(&labels).inc();
                tracing::info!(generation = %id, "preempted to free memory; queued again");
            }
            // Tokens were given to a reader in the meantime, or the run has ended.
            Err(_) => {
                drop(shard);
                upstream.scheduler().on_stop_refused(id);
            }
        }
    }

    fn refuse_queued(&self, id: GenerationId, refusal: Refusal, ran: bool) {
        let code = format!("{:?}", refusal.code);
        metrics().refusals.with_label_values(&[&code]).inc();
        let outcome = match ran {
            true => Outcome::Unknown,
            false => Outcome::NotRun,
        };
        self.finish(id, End::Failed { outcome, refusal });
    }
}

fn count_start(upstream: &Upstream, lane: Lane, waited_ms: u64) {
    let lane = match lane {
        Lane::Small => "small",
        Lane::Long => "long",
    };
    let metrics = metrics();
    let labels = [upstream.settings.name.as_str(), lane];
    metrics.admissions.with_label_values(&labels).inc();
    let waited = Duration::from_millis(waited_ms).as_secs_f64();
    metrics
        .queue_seconds
        .with_label_values(&[lane])
        .observe(waited);
}
