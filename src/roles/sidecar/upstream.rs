//! One upstream instance: its clients, scheduler and health.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::Semaphore;

use super::metrics::metrics;
use crate::adapters::clock::monotonic_ms;
use crate::adapters::upstream::{EngineClient, ServiceClient, UpstreamError};
use crate::domain::schedule::{Policy, Scheduler, SchedulerConfig};
use crate::model::ModelName;
use crate::rpc::sidecar::UpstreamLoad;
use crate::settings::{UpstreamKind, UpstreamSettings};

/// Consecutive failures after which an upstream counts as unhealthy. A single failure may be just a
/// broken connection.
const UNHEALTHY_FAILURES: u32 = 2;
/// Weight of the latest call in the moving average of call times.
const LATEST_CALL_WEIGHT: f64 = 0.1;

/// One upstream instance.
pub(super) struct Upstream {
    pub(super) settings: UpstreamSettings,
    pub(super) engine: EngineClient,
    /// Client for repeatable calls, which share kept-alive connections.
    pub(super) service: ServiceClient,
    /// Client for calls that must not be repeated. Each opens its own connection: the service may
    /// close a reused one just as the call is sent, and then it is unknown whether the call ran.
    pub(super) service_unpooled: ServiceClient,
    pub(super) slots: Semaphore,
    pub(super) calls_queued: AtomicU32,
    pub(super) calls_running: AtomicU32,
    scheduler: Mutex<Scheduler>,
    /// Held while scheduler actions are carried out, so that they keep the scheduler's order.
    pub(super) dispatch_lock: Mutex<()>,
    failures: AtomicU32,
    versions: Mutex<Vec<String>>,
    /// Moving average of the time of a plain call; 0 before the first one.
    call_ms: Mutex<f64>,
}

impl Upstream {
    /// Creates the upstream. `policy` names the scheduling policy; an unknown name selects
    /// `adaptive`.
    pub(super) fn new(settings: &UpstreamSettings, policy: &str) -> Arc<Self> {
        let config = SchedulerConfig::new(settings.capacity_tokens, settings.max_running);
        let policy = Policy::by_name(policy).unwrap_or_else(|| {
            tracing::error!(policy, "unknown scheduling policy; using adaptive");
            Policy::adaptive(crate::domain::schedule::MARGIN_DEVIATIONS)
        });
        let slots = usize::try_from(settings.max_running).unwrap_or(usize::MAX);
        Arc::new(Self {
            engine: EngineClient::new(&settings.url),
            service: ServiceClient::new(&settings.url, true),
            service_unpooled: ServiceClient::new(&settings.url, false),
            slots: Semaphore::new(slots.min(Semaphore::MAX_PERMITS)),
            calls_queued: AtomicU32::new(0),
            calls_running: AtomicU32::new(0),
            scheduler: Mutex::new(Scheduler::new(config, policy)),
            dispatch_lock: Mutex::new(()),
            failures: AtomicU32::new(0),
            versions: Mutex::default(),
            call_ms: Mutex::new(0.0),
            settings: settings.clone(),
        })
    }

    /// Returns the scheduler, locked. Lock order: the caller may already hold the lock of a shard,
    /// but must not lock a shard while it holds the scheduler.
    pub(super) fn scheduler(&self) -> MutexGuard<'_, Scheduler> {
        let scheduler = self.scheduler.lock();
        scheduler.unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the model that the upstream serves, or `None` if it is a service.
    pub(super) fn model(&self) -> Option<&ModelName> {
        match &self.settings.kind {
            UpstreamKind::Model(model) => Some(model),
            UpstreamKind::Service(_) => None,
        }
    }

    /// Returns the versions that the engine last reported as loaded.
    pub(super) fn versions(&self) -> Vec<String> {
        let versions = self.versions.lock();
        versions.unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Stores the versions that the engine reported as loaded.
    pub(super) fn set_versions(&self, versions: Vec<String>) {
        let mut known = self.versions.lock().unwrap_or_else(PoisonError::into_inner);
        *known = versions;
    }

    /// Returns false after `UNHEALTHY_FAILURES` consecutive failed requests and probes.
    pub(super) fn healthy(&self) -> bool {
        self.failures.load(Ordering::Relaxed) < UNHEALTHY_FAILURES
    }

    /// Records that the upstream answered.
    pub(super) fn record_success(&self) {
        self.failures.store(0, Ordering::Relaxed);
    }

    /// Records a failed request or probe. A refusal counts as an answer.
    pub(super) fn record_failure(&self, error: &UpstreamError) {
        match error {
            UpstreamError::Refused { .. } | UpstreamError::Missing => self.record_success(),
            _ => {
                self.failures.fetch_add(1, Ordering::Relaxed);
            }
        }
    }

    /// Adds the time of a plain call to the moving average.
    pub(super) fn record_call_time(&self, took_ms: f64) {
        let mut call_ms = self.call_ms.lock().unwrap_or_else(PoisonError::into_inner);
        *call_ms += match *call_ms > 0.0 {
            true => LATEST_CALL_WEIGHT * (took_ms - *call_ms),
            false => took_ms,
        };
    }

    /// Estimates how long a new plain call would wait for a slot.
    pub(super) fn call_wait_ms(&self) -> u64 {
        let call_ms = *self.call_ms.lock().unwrap_or_else(PoisonError::into_inner);
        let queued = f64::from(self.calls_queued.load(Ordering::Relaxed));
        let wait_ms = queued * call_ms / f64::from(self.settings.max_running);
        // The conversion truncates and saturates.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let wait_ms = wait_ms as u64;
        wait_ms
    }

    pub(super) fn load(&self, leaving: bool) -> UpstreamLoad {
        let load = self.scheduler().load();
        UpstreamLoad {
            upstream: self.settings.name.clone(),
            healthy: self.healthy(),
            leaving,
            versions: self.versions(),
            running: load.running + self.calls_running.load(Ordering::Relaxed),
            queued: load.queued + self.calls_queued.load(Ordering::Relaxed),
            used_tokens: load.used_tokens,
            capacity_tokens: self.settings.capacity_tokens,
            backlog_tokens: load.backlog_tokens,
            tokens_per_s: load.tokens_per_s,
        }
    }

    /// Sets the gauges of this upstream to its current load.
    pub(super) fn publish_gauges(&self) {
        let load = self.load(false);
        let name = [self.settings.name.as_str()];
        let metrics = metrics();
        let used = i64::try_from(load.used_tokens).unwrap_or(i64::MAX);
        metrics
            .running
            .with_label_values(&name)
            .set(load.running.into());
        metrics
            .queued
            .with_label_values(&name)
            .set(load.queued.into());
        metrics.used_tokens.with_label_values(&name).set(used);
    }

    /// Returns true if generations are queued.
    pub(super) fn has_queued(&self) -> bool {
        self.scheduler().load().queued > 0
    }
}

/// Converts the remaining time of a request into a deadline on the monotonic clock.
pub(super) fn deadline_ms(remaining_ms: u64) -> u64 {
    monotonic_ms().saturating_add(remaining_ms)
}
