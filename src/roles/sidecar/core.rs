//! State shared by all calls: shards of generations, and the upstreams.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::adapters::clock::monotonic_ms;
use crate::adapters::upstream::{EngineClient, ServiceClient};
use crate::domain::stream::{Generations, MAX_PAST};
use crate::model::{GenerationId, Outcome, Refusal, RefusalCode, UpstreamName};
use crate::roles::subscriber::Subscriber;
use crate::rpc::sidecar::{End, LoadReport, UpstreamLoad};
use crate::settings::{SidecarSettings, UpstreamSettings};

/// Shards of generations, each with its own lock.
const SHARDS: usize = 16;
/// Time between looks for orphans and old logs.
const EXPIRE_INTERVAL: Duration = Duration::from_millis(100);
/// Time between looks whether the last generation has ended.
const DRAIN_POLL: Duration = Duration::from_millis(20);
/// A drained process stays this long after the last end was read, so that the reply with it, or
/// a repeat of a lost one, is answered.
const DRAIN_LINGER: Duration = Duration::from_millis(500);

/// One upstream instance.
pub(super) struct Upstream {
    pub(super) settings: UpstreamSettings,
    pub(super) engine: EngineClient,
    pub(super) service: ServiceClient,
    pub(super) running: AtomicU32,
    versions: Mutex<Vec<String>>,
}

impl Upstream {
    fn new(settings: &UpstreamSettings) -> Arc<Self> {
        Arc::new(Self {
            engine: EngineClient::new(&settings.url),
            service: ServiceClient::new(&settings.url, true),
            settings: settings.clone(),
            running: AtomicU32::new(0),
            versions: Mutex::default(),
        })
    }

    /// Returns the versions that the engine was last seen to have loaded.
    pub(super) fn versions(&self) -> Vec<String> {
        let versions = self.versions.lock();
        versions.unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Notes the versions that the engine has loaded.
    pub(super) fn set_versions(&self, versions: Vec<String>) {
        *self.versions.lock().unwrap_or_else(PoisonError::into_inner) = versions;
    }

    fn load(&self, leaving: bool) -> UpstreamLoad {
        UpstreamLoad {
            upstream: self.settings.name.clone(),
            healthy: true,
            leaving,
            versions: self.versions(),
            running: self.running.load(Ordering::Relaxed),
            queued: 0,
            used_tokens: 0,
            capacity_tokens: self.settings.capacity_tokens,
            backlog_tokens: 0,
            tokens_per_s: 0,
        }
    }
}

/// Generations of one shard, and who waits for their news.
pub(super) struct Shard {
    pub(super) generations: Generations,
    pub(super) waiters: BTreeMap<GenerationId, Vec<Arc<Notify>>>,
    /// Stops the run of a generation.
    pub(super) stops: BTreeMap<GenerationId, CancellationToken>,
}

impl Shard {
    /// Wakes the polls that wait for a generation.
    pub(super) fn wake(&mut self, generation: GenerationId) {
        for waiter in self.waiters.remove(&generation).unwrap_or_default() {
            waiter.notify_one();
        }
    }

    /// Stops the run of a generation, if there is one.
    pub(super) fn stop(&mut self, generation: GenerationId) {
        if let Some(stop) = self.stops.remove(&generation) {
            stop.cancel();
        }
    }
}

/// The state of a sidecar.
pub(super) struct Core {
    pub(super) settings: SidecarSettings,
    pub(super) subscriber: Arc<Subscriber>,
    pub(super) upstreams: BTreeMap<UpstreamName, Arc<Upstream>>,
    shards: Vec<Mutex<Shard>>,
}

impl Core {
    pub(super) fn new(settings: &SidecarSettings, subscriber: Arc<Subscriber>) -> Arc<Self> {
        let shard = |_| {
            Mutex::new(Shard {
                generations: Generations::new(settings.orphan_ms, MAX_PAST),
                waiters: BTreeMap::new(),
                stops: BTreeMap::new(),
            })
        };
        let upstreams = settings.upstreams.iter();
        Arc::new(Self {
            settings: settings.clone(),
            subscriber,
            upstreams: upstreams
                .map(|upstream| (upstream.name.clone(), Upstream::new(upstream)))
                .collect(),
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
        shard.stops.remove(&generation);
        shard.wake(generation);
    }

    /// Cancels orphans and drops old logs. Does not return.
    pub(super) async fn expire(self: Arc<Self>) {
        loop {
            sleep(EXPIRE_INTERVAL).await;
            for shard in &self.shards {
                let mut shard = shard.lock().unwrap_or_else(PoisonError::into_inner);
                let now_ms = monotonic_ms();
                for generation in shard.generations.expire(now_ms).orphans {
                    tracing::info!(%generation, "cancelled: nobody reads it");
                    shard
                        .generations
                        .cancel(now_ms, generation, cancelled_end());
                    shard.stop(generation);
                }
            }
        }
    }

    /// Waits until every generation has ended and was read, or the limit has passed.
    pub(super) async fn drain(&self) {
        let open = || {
            let count = |shard: &Mutex<Shard>| {
                let shard = shard.lock().unwrap_or_else(PoisonError::into_inner);
                shard.generations.open()
            };
            self.shards.iter().map(count).sum::<usize>()
        };
        let started_at_ms = monotonic_ms();
        let deadline_ms = self
            .settings
            .drain_limit_ms
            .map(|limit_ms| started_at_ms.saturating_add(limit_ms));
        while open() > 0 {
            if deadline_ms.is_some_and(|deadline_ms| deadline_ms <= monotonic_ms()) {
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
        refusal: Refusal {
            code: RefusalCode::Cancelled,
            message: "the generation was cancelled".to_owned(),
            retry_after_ms: None,
        },
    }
}
