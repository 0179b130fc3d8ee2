//! Metrics of cold instances, and the reports of sidecars on them.

use std::net::SocketAddr;
use std::sync::Arc;

use prometheus::{IntCounter, IntGauge};

use super::DirectoryRole;
use crate::adapters::clock::monotonic_ms;
use crate::adapters::telemetry::registry;
use crate::domain::fleet::PlacementRequest;

/// Metrics of cold instances at the hub.
pub(super) struct ColdMetrics {
    instances: IntGauge,
    held_back: IntCounter,
}

impl ColdMetrics {
    pub(super) fn new() -> Self {
        let instances = IntGauge::new(
            "lilac_directory_cold_instances",
            "Instances that are cold, as the hub knows them.",
        );
        let held_back = IntCounter::new(
            "lilac_directory_cold_held_back_total",
            "Generations that found no room while a cold instance had reached its limit.",
        );
        let metrics = Self {
            instances: instances.expect("constant options are valid"),
            held_back: held_back.expect("constant options are valid"),
        };
        // Fails if a test starts a second role in the process; the metrics of the first one stay
        // registered.
        let _ = registry().register(Box::new(metrics.instances.clone()));
        let _ = registry().register(Box::new(metrics.held_back.clone()));
        metrics
    }
}

impl DirectoryRole {
    /// Records what a sidecar has read of the cold time of its engine.
    pub(super) fn record_cold(self: &Arc<Self>, address: SocketAddr, remaining_ms: u64) {
        let now_ms = monotonic_ms();
        let changes = self.with_hub(|hub| hub.hear_cold(address, remaining_ms, now_ms));
        self.publish_changes(&changes);
    }

    /// Updates the number of cold instances.
    pub(super) fn count_cold_instances(&self) {
        let cold = self.with_hub(|hub| hub.cold_instances(monotonic_ms()));
        let cold = i64::try_from(cold).unwrap_or(i64::MAX);
        self.cold_metrics.instances.set(cold);
    }

    /// Counts a generation that was not placed, if a cold instance has held it back.
    pub(super) fn count_held_back(&self, request: &PlacementRequest, now_ms: u64) {
        if self.with_hub(|hub| hub.is_held_back_by_cold(request, now_ms)) {
            self.cold_metrics.held_back.inc();
        }
    }
}
