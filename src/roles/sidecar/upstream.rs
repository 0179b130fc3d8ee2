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

/// Failures in a row after which an upstream counts as unhealthy. One may be a broken connection.
const UNHEALTHY_FAILURES: u32 = 2;
/// Part of the newest call in the average time of a call.
const NEWEST: f64 = 0.1;

/// One upstream instance.
pub(super) struct Upstream {
    pub(super) settings: UpstreamSettings,
    pub(super) engine: EngineClient,
    /// Calls that may be repeated share connections. The others open their own, because a reused
    /// one may be closed by the service just when the call is sent, which proves nothing.
    pub(super) service: ServiceClient,
    pub(super) service_once: ServiceClient,
    pub(super) slots: Semaphore,
    pub(super) calls_queued: AtomicU32,
    pub(super) calls_running: AtomicU32,
    scheduler: Mutex<Scheduler>,
    /// Held while actions are carried out, so that they are in the scheduler's order.
    pub(super) driving: Mutex<()>,
    failures: AtomicU32,
    versions: Mutex<Vec<String>>,
    call_ms: Mutex<f64>,
}

impl Upstream {
    /// Returns the upstream; an unknown name of a policy selects `adaptive`.
    pub(super) fn new(settings: &UpstreamSettings, policy: &str) -> Arc<Self> {
        let config = SchedulerConfig::new(settings.capacity_tokens, settings.max_running);
        let policy = Policy::by_name(policy).unwrap_or_else(|| {
            tracing::error!(policy, "unknown policy; adaptive is used");
            Policy::adaptive(crate::domain::schedule::DEVIATIONS)
        });
        let slots = usize::try_from(settings.max_running).unwrap_or(usize::MAX);
        Arc::new(Self {
            engine: EngineClient::new(&settings.url),
            service: ServiceClient::new(&settings.url, true),
            service_once: ServiceClient::new(&settings.url, false),
            slots: Semaphore::new(slots.min(Semaphore::MAX_PERMITS)),
            calls_queued: AtomicU32::new(0),
            calls_running: AtomicU32::new(0),
            scheduler: Mutex::new(Scheduler::new(config, policy)),
            driving: Mutex::new(()),
            failures: AtomicU32::new(0),
            versions: Mutex::default(),
            call_ms: Mutex::new(0.0),
            settings: settings.clone(),
        })
    }

    /// Returns the scheduler, locked. A shard may be locked by the caller, but none may be locked
    /// while the scheduler is.
    pub(super) fn scheduler(&self) -> MutexGuard<'_, Scheduler> {
        let scheduler = self.scheduler.lock();
        scheduler.unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the model that the upstream serves; none for a service.
    pub(super) fn model(&self) -> Option<&ModelName> {
        match &self.settings.kind {
            UpstreamKind::Model(model) => Some(model),
            UpstreamKind::Service(_) => None,
        }
    }

    /// Returns the versions that the engine was last seen to have loaded.
    pub(super) fn versions(&self) -> Vec<String> {
        let versions = self.versions.lock();
        versions.unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Notes the versions that the engine has loaded.
    pub(super) fn set_versions(&self, versions: Vec<String>) {
        let mut known = self.versions.lock().unwrap_or_else(PoisonError::into_inner);
        *known = versions;
    }

    /// Returns true unless the last uses and probes failed.
    pub(super) fn healthy(&self) -> bool {
        self.failures.load(Ordering::Relaxed) < UNHEALTHY_FAILURES
    }

    /// Notes that the upstream answered.
    pub(super) fn succeeded(&self) {
        self.failures.store(0, Ordering::Relaxed);
    }

    /// Notes that the upstream failed; a refusal is an answer.
    pub(super) fn failed(&self, error: &UpstreamError) {
        match error {
            UpstreamError::Refused { .. } | UpstreamError::Missing => self.succeeded(),
            _ => {
                self.failures.fetch_add(1, Ordering::Relaxed);
            }
        }
    }

    /// Notes how long a plain call took.
    pub(super) fn called(&self, took_ms: f64) {
        let mut call_ms = self.call_ms.lock().unwrap_or_else(PoisonError::into_inner);
        *call_ms += match *call_ms > 0.0 {
            true => NEWEST * (took_ms - *call_ms),
            false => took_ms,
        };
    }

    /// Returns the time that a new plain call would wait for a slot.
    pub(super) fn call_wait_ms(&self) -> u64 {
        let call_ms = *self.call_ms.lock().unwrap_or_else(PoisonError::into_inner);
        let queued = f64::from(self.calls_queued.load(Ordering::Relaxed));
        let wait_ms = queued * call_ms / f64::from(self.settings.max_running);
        // The conversion drops the fraction, and saturates.
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

    /// Publishes the gauges of this upstream.
    pub(super) fn publish(&self) {
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

    /// Returns true if requests wait in the queue.
    pub(super) fn waits(&self) -> bool {
        self.scheduler().load().queued > 0
    }
}

/// Returns the monotonic deadline of a request that has some time left.
pub(super) fn deadline_ms(remaining_ms: u64) -> u64 {
    monotonic_ms().saturating_add(remaining_ms)
}
