//! State shared by all calls: shards of generations, and the upstreams.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use super::call::CallEntry;
use super::metrics::metrics;
use super::orders::Permits;
use super::upstream::Upstream;
use crate::adapters::clock::monotonic_ms;
use crate::domain::stream::{Cancelled, Generations, MAX_PAST};
use crate::model::{GenerationId, Outcome, Refusal, RefusalCode, UpstreamName};
use crate::roles::subscriber::Subscriber;
use crate::rpc::sidecar::{End, LoadReport, StartRequest};
use crate::settings::SidecarSettings;

/// Shards of generations, each with its own lock.
const SHARDS: usize = 16;
/// Time between looks for orphans and old logs.
const EXPIRE_INTERVAL: Duration = Duration::from_millis(100);
/// Time between looks whether the last generation has ended.
const DRAIN_POLL: Duration = Duration::from_millis(20);
/// A drained process stays this long after the last end was read, so that the reply with it, or
/// a repeat of a lost one, is answered.
const DRAIN_LINGER: Duration = Duration::from_millis(500);

/// What is needed to run a generation.
pub(super) struct Work {
    pub(super) request: Arc<StartRequest>,
    pub(super) upstream: Arc<Upstream>,
    /// Stops the current run.
    pub(super) stop: CancellationToken,
}

/// Generations of one shard, and who waits for their news.
pub(super) struct Shard {
    pub(super) generations: Generations,
    pub(super) waiters: BTreeMap<GenerationId, Vec<Weak<Notify>>>,
    /// Generations that have not ended.
    pub(super) works: BTreeMap<GenerationId, Work>,
    pub(super) calls: BTreeMap<GenerationId, CallEntry>,
}

impl Shard {
    /// Wakes the polls that wait for a generation.
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
                works: BTreeMap::new(),
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
            shards: (0..SHARDS).map(shard).collect(),
        })
    }

    /// Returns the shard of a generation, locked.
    pub(super) fn shard(&self, generation: GenerationId) -> MutexGuard<'_, Shard> {
        // Generation ids are random, so their last digit spreads them evenly.
        let index = usize::try_from(generation.0 & 0xf).unwrap_or_default();
        let shard = self.shards[index].lock();
        shard.unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the load of all upstreams.
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
        // It may have been cancelled meanwhile; the first end stands.
        let _ = shard.generations.finish(generation, end);
        shard.works.remove(&generation);
        shard.wake(generation);
    }

    /// Returns whether a running generation was read within the last `unread_ms`.
    pub(super) fn is_read(&self, generation: GenerationId, unread_ms: u64) -> bool {
        let now_ms = monotonic_ms();
        let shard = self.shard(generation);
        let read_at_ms = shard.generations.read_at_ms(generation);
        read_at_ms.is_some_and(|at_ms| now_ms < at_ms + unread_ms)
    }

    /// Stops a generation, or prevents that it ever starts. Its run, if any, frees the engine.
    pub(super) fn cancel(self: &Arc<Self>, generation: GenerationId) -> Cancelled {
        let now_ms = monotonic_ms();
        let mut shard = self.shard(generation);
        if let Some(cancelled) = shard.cancel_call(now_ms, generation) {
            return cancelled;
        }
        let cancelled = shard
            .generations
            .cancel(now_ms, generation, cancelled_end());
        let work = shard.works.remove(&generation);
        shard.wake(generation);
        drop(shard);
        if let Some(work) = work {
            work.stop.cancel();
            if work.upstream.scheduler().cancel(now_ms, generation) {
                self.drive(&work.upstream);
            }
        }
        cancelled
    }

    /// Cancels orphans and drops old logs. Does not return.
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
                    tracing::info!(%generation, "cancelled: nobody reads it");
                    metrics().orphans.inc();
                    self.cancel(generation);
                }
            }
            for upstream in self.upstreams.values() {
                upstream.publish();
            }
        }
    }

    /// Waits until every generation has ended and was read, or the limit has passed.
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
            // Both are whole milliseconds: at the deadline itself a part of one may be left.
            if deadline_ms.is_some_and(|deadline_ms| deadline_ms < monotonic_ms()) {
                tracing::warn!(open = open(), "drain_limit_ms has passed; stopping anyway");
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
