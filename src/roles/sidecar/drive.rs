//! Carries out what the schedulers decide.

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
    /// Carries out what is due at an upstream. No shard and no scheduler may be locked.
    pub(super) fn drive(self: &Arc<Self>, upstream: &Arc<Upstream>) {
        let driving = upstream.driving.lock();
        let _in_order = driving.unwrap_or_else(PoisonError::into_inner);
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
                Action::Stop { id } => self.stop_run(upstream, id),
                Action::Refuse { id, refusal, ran } => self.refuse_queued(id, refusal, ran),
            }
        }
    }

    /// Calls `drive` while something waits. Does not return.
    pub(super) async fn drive_queue(self: Arc<Self>, upstream: Arc<Upstream>) {
        loop {
            sleep(Duration::from_millis(NEXT_INTERVAL_MS)).await;
            if upstream.waits() {
                self.drive(&upstream);
            }
        }
    }

    fn start_run(self: &Arc<Self>, upstream: &Arc<Upstream>, id: GenerationId, priority: u8) {
        let shard = self.shard(id);
        match shard.works.get(&id) {
            Some(work) => {
                tokio::spawn(Arc::clone(self).run(work, priority));
            }
            None => {
                // Cancelled after the scheduler had decided.
                drop(shard);
                let now_ms = monotonic_ms();
                upstream.scheduler().on_end(now_ms, id, Ended::Cut);
            }
        }
    }

    /// Empties the log of an unseen run and stops it at the engine; it waits in the queue then.
    fn stop_run(&self, upstream: &Upstream, id: GenerationId) {
        let mut shard = self.shard(id);
        match shard.generations.restart(id) {
            Ok(()) => {
                if let Some(work) = shard.works.get_mut(&id) {
                    std::mem::replace(&mut work.stop, CancellationToken::new()).cancel();
                }
                let labels = [upstream.settings.name.as_str(), "false"];
                metrics().preemptions.with_label_values(&labels).inc();
                tracing::info!(generation = %id, "stopped to free memory; it is queued again");
            }
            // Tokens were given out meanwhile, or the run has ended.
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
