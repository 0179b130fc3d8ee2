//! Prometheus metrics of the directory role.

use prometheus::IntGauge;

use crate::adapters::telemetry::registry;
use crate::domain::evacuation::Evacuations;

/// The metrics of one directory role.
pub(super) struct Metrics {
    evacuated_zones: IntGauge,
    evacuation_revision: IntGauge,
}

impl Metrics {
    pub(super) fn new() -> Self {
        let metrics = Self {
            evacuated_zones: gauge(
                "lilac_directory_evacuated_zones",
                "Zones that are evacuated.",
            ),
            evacuation_revision: gauge(
                "lilac_directory_evacuation_revision",
                "Log index of the last order that changed the evacuated zones.",
            ),
        };
        for gauge in [&metrics.evacuated_zones, &metrics.evacuation_revision] {
            // Fails if a test starts a second role in the process; the metrics of the first one
            // stay registered.
            let _ = registry().register(Box::new(gauge.clone()));
        }
        metrics
    }

    pub(super) fn set_evacuations(&self, evacuations: &Evacuations) {
        let zones = i64::try_from(evacuations.zones().len()).unwrap_or(i64::MAX);
        let revision = i64::try_from(evacuations.revision()).unwrap_or(i64::MAX);
        self.evacuated_zones.set(zones);
        self.evacuation_revision.set(revision);
    }
}

fn gauge(name: &str, help: &str) -> IntGauge {
    IntGauge::new(name, help).expect("constant options are valid")
}
