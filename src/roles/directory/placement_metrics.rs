//! Metrics of the generations that wait for room at the hub.

use std::collections::BTreeMap;

use prometheus::{Histogram, HistogramOpts, IntCounterVec, IntGaugeVec, Opts};

use crate::adapters::telemetry::registry;
use crate::domain::overload::RefusalReason;

/// Upper bounds of the wait buckets in milliseconds, from no wait to the longest patience of callers.
const WAIT_MS: [f64; 10] = [
    5.0, 50.0, 100.0, 250.0, 500.0, 900.0, 2_000.0, 4_000.0, 8_000.0, 16_000.0,
];

pub(super) struct PlacementMetrics {
    waiting: IntGaugeVec,
    refusals: IntCounterVec,
    wait_ms: Histogram,
}

impl PlacementMetrics {
    pub(super) fn new() -> Self {
        let waiting = Opts::new(
            "lilac_directory_waiting",
            "Generations that wait for room, by priority.",
        );
        let refusals = Opts::new(
            "lilac_directory_refused_total",
            "Refusals of generations for lack of room, by reason.",
        );
        let wait = HistogramOpts::new(
            "lilac_directory_wait_ms",
            "Time from the arrival of a generation to its placement.",
        );
        let metrics = Self {
            waiting: IntGaugeVec::new(waiting, &["priority"]).expect("constant options are valid"),
            refusals: IntCounterVec::new(refusals, &["reason"])
                .expect("constant options are valid"),
            wait_ms: Histogram::with_opts(wait.buckets(WAIT_MS.to_vec()))
                .expect("constant options are valid"),
        };
        let all: [Box<dyn prometheus::core::Collector>; 3] = [
            Box::new(metrics.waiting.clone()),
            Box::new(metrics.refusals.clone()),
            Box::new(metrics.wait_ms.clone()),
        ];
        for collector in all {
            // Fails if a test starts a second role in the process; the metrics of the first one stay
            // registered.
            let _ = registry().register(collector);
        }
        metrics
    }

    pub(super) fn set_waiting(&self, by_priority: &BTreeMap<u32, u32>) {
        self.waiting.reset();
        for (priority, count) in by_priority {
            let priority = priority.to_string();
            self.waiting
                .with_label_values(&[&*priority])
                .set(i64::from(*count));
        }
    }

    pub(super) fn count_refusal(&self, reason: Option<RefusalReason>) {
        let reason = reason.map_or("unknown", RefusalReason::name);
        self.refusals.with_label_values(&[reason]).inc();
    }

    #[allow(clippy::cast_precision_loss)]
    pub(super) fn observe_wait(&self, wait_ms: u64) {
        self.wait_ms.observe(wait_ms as f64);
    }
}
