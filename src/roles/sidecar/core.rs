//! State shared by all requests to the sidecar: sharded generations and calls, and the upstreams.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use super::call::CallRecord;
use super::metrics::metrics;
use super::orders::Permits;
use super::upstream::Upstream;
use crate::adapters::clock::monotonic_ms;
use crate::domain::stream::{Cancelled, Generations, MAX_PAST};
use crate::model::{GenerationId, Outcome, Refusal, RefusalCode, UpstreamName};
use crate::roles::subscriber::Subscriber;
use crate::rpc::sidecar::{End, LoadReport, StartRequest};
use crate::settings::SidecarSettings;

/// Number of shards of generations, each with its own lock. `Core::shard` relies on 16.
const SHARD_COUNT: usize = 16;
/// Interval between scans for generations without a reader and for expired token logs.
const EXPIRE_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between checks, during a drain, whether any generation or call is still open.
const DRAIN_POLL: Duration = Duration::from_millis(20);
/// Time that a drained process stays up after the last end was read, so that the reply carrying it
/// is still delivered, and a retry after a lost reply is still answered.
const DRAIN_LINGER: Duration = Duration::from_millis(500);

/// What is needed to run a generation that has not ended.
pub(super) struct ActiveGeneration {
    pub(super) request: Arc<StartRequest>,
    pub(super) upstream: Arc<Upstream>,
    /// Cancels the current run. A preempted generation gets a new token for its next run.
    pub(super) stop: CancellationToken,
}

/// The generations and calls of one shard, and the polls that wait for updates to them.
pub(super) struct Shard {
    pub(super) generations: Generations,
    /// Notifiers of the polls that wait for an update, by generation.
    pub(super) waiters: BTreeMap<GenerationId, Vec<Weak<Notify>>>,
    /// Generations that have not ended.
    pub(super) active: BTreeMap<GenerationId, ActiveGeneration>,
    pub(super) calls: BTreeMap<GenerationId, CallRecord>,
}

impl Shard {
    /// Wakes the polls that wait for an update to a generation.
    pub(super) fn wake(&mut self, generation: GenerationId) {
        for waiter in self.waiters.remove(&generation).unwrap_or_default() {
            if let Some(waiter) = waiter.upgrade() {
                waiter.notify_one();
            }
        }
    }
}

/// The state of a sidecar.
pub(super) struct Core {
    pub(super) settings: SidecarSettings,
    pub(super) subscriber: Arc<Subscriber>,
    pub(super) upstreams: BTreeMap<UpstreamName, Arc<Upstream>>,
    pub(super) permits: Permits,
    shards: Vec<Mutex<Shard>>,
}

impl Core {
    pub(super) fn new(
        settings: &SidecarSettings,
        subscriber: Arc<Subscriber>,
        permits: Permits,
    ) -> Arc<Self> {
        let shard = |_| {
            Mutex::new(Shard {
                generations: Generations::new(settings.orphan_ms, MAX_PAST),
                waiters: BTreeMap::new(),
                active: BTreeMap::new(),
                calls: BTreeMap::new(),
            })
        };
        let upstreams = settings.upstreams.iter().map(|upstream| {
            let name = upstream.name.clone();
            (name, Upstream::new(upstream, &settings.policy))
        });
        Arc::new(Self {
            settings: settings.clone(),
            subscriber,
            upstreams: upstreams.collect(),
            permits,
            shards: (0..SHARD_COUNT).map(shard).collect(),
        })
    }

    /// Returns the shard of a generation, locked.
    pub(super) fn shard(&self, generation: GenerationId) -> MutexGuard<'_, Shard> {
        // Generation ids are random, so their lowest four bits spread them evenly over 16 shards.
        let index = usize::try_from(generation.0 & 0xf).unwrap_or_default();
        let shard = self.shards[index].lock();
        shard.unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the load of all upstreams, with the fencing number of this incarnation (the default
    /// before it is registered).
    pub(super) fn load(&self) -> LoadReport {
        let leaving = self.subscriber.is_leaving();
        let me = self.subscriber.me();
        let view = self.subscriber.view();
        let member = view.members.members.get(&me.name);
        let member = member.filter(|member| member.incarnation == me.incarnation);
        LoadReport {
            upstreams: self.upstreams.values().map(|up| up.load(leaving)).collect(),
            fence: member.map(|member| member.fence).unwrap_or_default(),
        }
    }

    /// Ends a generation and wakes its readers.
    pub(super) fn finish(&self, generation: GenerationId, end: End) {
        let mut shard = self.shard(generation);
        // The generation may have been cancelled in the meantime; the first end is kept.
        let _ = shard.generations.finish(generation, end);
        shard.active.remove(&generation);
        shard.wake(generation);
    }

    /// Returns true if the generation was read within the last `unread_ms`.
    pub(super) fn was_read_within(&self, generation: GenerationId, unread_ms: u64) -> bool {
        let now_ms = monotonic_ms();
        let shard = self.shard(generation);
        let read_at_ms = shard.generations.read_at_ms(generation);
        read_at_ms.is_some_and(|at_ms| now_ms < at_ms + unread_ms)
    }

    /// Cancels a generation or call. One that is unknown is recorded as cancelled, so that a later
    /// start is refused. If the generation is running, its task cancels it at the engine.
    pub(super) fn cancel(self: &Arc<Self>, generation: GenerationId) -> Cancelled {
        let now_ms = monotonic_ms();
        let mut shard = self.shard(generation);
        if let Some(cancelled) = shard.cancel_call(now_ms, generation) {
            return cancelled;
        }
        let cancelled = shard
            .generations
            .cancel(now_ms, generation, cancelled_end());
        let active = shard.active.remove(&generation);
        shard.wake(generation);
        drop(shard);
        if let Some(active) = active {
            active.stop.cancel();
            if active.upstream.scheduler().cancel(now_ms, generation) {
                self.dispatch(&active.upstream);
            }
        }
        cancelled
    }

    /// Periodically cancels generations without a reader, drops expired logs and answers, and
    /// publishes the gauges of the upstreams. Does not return.
    pub(super) async fn expire(self: Arc<Self>) {
        loop {
            sleep(EXPIRE_INTERVAL).await;
            for index in 0..self.shards.len() {
                let orphans = {
                    let mut shard = self.shards[index]
                        .lock()
                        .unwrap_or_else(PoisonError::into_inner);
                    let now_ms = monotonic_ms();
                    shard.expire_calls(now_ms);
                    shard.generations.expire(now_ms).orphans
                };
                for generation in orphans {
                    tracing::info!(%generation, "cancelled: no reader for orphan_ms");
                    metrics().orphans.inc();
                    self.cancel(generation);
                }
            }
            for upstream in self.upstreams.values() {
                upstream.publish_gauges();
            }
        }
    }

    /// Waits until every generation has ended and been read and every call is answered, at most
    /// for `drain_limit_ms`.
    pub(super) async fn drain(&self) {
        let open = || {
            let count = |shard: &Mutex<Shard>| {
                let shard = shard.lock().unwrap_or_else(PoisonError::into_inner);
                shard.generations.open() + shard.open_calls()
            };
            self.shards.iter().map(count).sum::<usize>()
        };
        let limit_ms = self.settings.drain_limit_ms;
        let deadline_ms = limit_ms.map(|limit_ms| monotonic_ms().saturating_add(limit_ms));
        while open() > 0 {
            // Both values are truncated to milliseconds, so the limit is sure to have passed only
            // once the clock is beyond the deadline.
            if deadline_ms.is_some_and(|deadline_ms| deadline_ms < monotonic_ms()) {
                tracing::warn!(
                    open = open(),
                    "drain_limit_ms has passed; stopping with requests still open"
                );
                return;
            }
            sleep(DRAIN_POLL).await;
        }
        sleep(DRAIN_LINGER).await;
    }
}

/// The end of a generation that was cancelled after it was sent.
pub(super) fn cancelled_end() -> End {
    End::Failed {
        outcome: Outcome::Interrupted,
        refusal: refusal(RefusalCode::Cancelled, "the generation was cancelled"),
    }
}

pub(super) fn refusal(code: RefusalCode, message: &str) -> Refusal {
    Refusal {
        code,
        message: message.to_owned(),
        retry_after_ms: None,
    }
}
