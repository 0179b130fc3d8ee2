//! Prometheus metrics of the pace of engines.

use prometheus::{Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGaugeVec, Opts};

use crate::adapters::telemetry::registry;
use crate::domain::pace::{PaceSummary, Suitability};

/// Upper bounds of the buckets of gaps between events in milliseconds, around usual gap targets.
const GAP_MS: [f64; 10] = [
    10.0, 20.0, 40.0, 80.0, 120.0, 180.0, 250.0, 400.0, 1_000.0, 2_000.0,
];

/// The metrics of one gateway on the pace of engines.
pub(super) struct PaceMetrics {
    gap_ms: Histogram,
    missed_gap_targets: IntCounter,
    effects: IntCounterVec,
    slowest_permille: IntGaugeVec,
    median_gap_ms: IntGaugeVec,
}

impl PaceMetrics {
    pub(super) fn new() -> Self {
        let gaps = HistogramOpts::new(
            "lilac_gateway_event_gap_ms",
            "Time between two events of a stream, as received from its engine.",
        );
        let gauges = |name: &str, help: &str| {
            IntGaugeVec::new(Opts::new(name, help), &["service"])
                .expect("constant options are valid")
        };
        let metrics = Self {
            gap_ms: Histogram::with_opts(gaps.buckets(GAP_MS.to_vec()))
                .expect("constant options are valid"),
            missed_gap_targets: IntCounter::new(
                "lilac_gateway_missed_gap_targets_total",
                "Streams with a gap between events over the gap target of their route.",
            )
            .expect("constant options are valid"),
            effects: IntCounterVec::new(
                Opts::new(
                    "lilac_gateway_pace_effects_total",
                    "Placements while engines were avoided or preferred for their pace, by reason.",
                ),
                &["reason"],
            )
            .expect("constant options are valid"),
            slowest_permille: gauges(
                "lilac_gateway_slowest_pace_permille",
                "Time per step of a service's slowest instance in thousandths of the median.",
            ),
            median_gap_ms: gauges(
                "lilac_gateway_median_gap_ms",
                "Median of the undisturbed gaps between events of a service's instances.",
            ),
        };
        let all: [Box<dyn prometheus::core::Collector>; 5] = [
            Box::new(metrics.gap_ms.clone()),
            Box::new(metrics.missed_gap_targets.clone()),
            Box::new(metrics.effects.clone()),
            Box::new(metrics.slowest_permille.clone()),
            Box::new(metrics.median_gap_ms.clone()),
        ];
        for collector in all {
            // Fails if a test starts a second gateway in the process; the metrics of the first one
            // stay registered.
            let _ = registry().register(collector);
        }
        metrics
    }

    /// Records a gap before events that were received together, as that many equal gaps.
    #[allow(clippy::cast_precision_loss)]
    pub(super) fn observe_gap(&self, gap_ms: u64, events: u32) {
        for _ in 0..events {
            self.gap_ms.observe(gap_ms as f64 / f64::from(events));
        }
    }

    /// Counts a stream that has missed its gap target.
    pub(super) fn count_missed_target(&self) {
        self.missed_gap_targets.inc();
    }

    pub(super) fn count_effect(&self, suitability: Suitability) {
        self.effects.with_label_values(&[suitability.label()]).inc();
    }

    pub(super) fn set(&self, summaries: &[PaceSummary]) {
        for summary in summaries {
            let service = [&*summary.service];
            let slowest = self.slowest_permille.with_label_values(&service);
            slowest.set(i64::from(summary.slowest_permille));
            let median = self.median_gap_ms.with_label_values(&service);
            median.set(i64::try_from(summary.median_gap_ms).unwrap_or(i64::MAX));
        }
    }
}
