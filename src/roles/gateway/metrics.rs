//! Prometheus metrics of the gateway.

use prometheus::{Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts};

use crate::adapters::telemetry::registry;

/// Upper bounds of the latency buckets in milliseconds, from a fast plain call to a long
/// generation.
const LATENCY_MS: [f64; 12] = [
    5.0, 20.0, 50.0, 100.0, 150.0, 300.0, 600.0, 1_000.0, 1_800.0, 4_000.0, 10_000.0, 40_000.0,
];

/// The metrics of one gateway.
pub(super) struct Metrics {
    refusals: IntCounterVec,
    sends: IntCounterVec,
    moves: IntCounterVec,
    streams: IntCounterVec,
    detached: IntCounterVec,
    resumptions: IntCounterVec,
    releases: IntCounterVec,
    broken_releases: IntCounterVec,
    instance_signals: IntCounterVec,
    permits: IntCounterVec,
    first_event_ms: Histogram,
    pub(super) document_version: IntGauge,
    evacuated_zones: IntGauge,
    evacuation_revision: IntGauge,
    pub(super) sync_failures: IntCounter,
    pub(super) local_placements: IntCounter,
    pub(super) cold: ColdMetrics,
    pub(super) read_ahead: ReadAheadMetrics,
}

impl Metrics {
    pub(super) fn new() -> Self {
        let first = HistogramOpts::new(
            "lilac_gateway_first_event_ms",
            "Time from a request to the first event of its stream.",
        );
        let metrics = Self {
            refusals: counters(
                "lilac_gateway_refused_total",
                "Answers of the gateway's own.",
                "code",
            ),
            sends: counters(
                "lilac_gateway_sent_total",
                "Sends of plain calls by outcome.",
                "outcome",
            ),
            moves: counters(
                "lilac_gateway_moves_total",
                "Moves of generations by outcome.",
                "outcome",
            ),
            streams: counters(
                "lilac_gateway_streams_total",
                "Ended streams by outcome.",
                "outcome",
            ),
            detached: counters(
                "lilac_gateway_streams_detached_total",
                "Streams whose engine was given up, by reason.",
                "reason",
            ),
            resumptions: counters(
                "lilac_gateway_resumptions_total",
                "Attempts to resume a generation at another engine, by outcome.",
                "outcome",
            ),
            releases: counters(
                "lilac_gateway_silent_engines_total",
                "Checks of engines that sent no event, by outcome.",
                "outcome",
            ),
            broken_releases: counters(
                "lilac_gateway_broken_stream_engines_total",
                "Engines whose streams broke off, by what shows that they do not work on.",
                "outcome",
            ),
            instance_signals: counters(
                "lilac_gateway_heeded_total",
                "What instances said of themselves in answers, by reason.",
                "reason",
            ),
            permits: IntCounterVec::new(
                Opts::new(
                    "lilac_gateway_permits_total",
                    "Permits for requests to instances with request limits, by outcome and by who decided.",
                ),
                &["outcome", "by"],
            )
            .expect("constant options are valid"),
            first_event_ms: Histogram::with_opts(first.buckets(LATENCY_MS.to_vec()))
                .expect("constant options are valid"),
            document_version: gauge(
                "lilac_gateway_document_version",
                "Version of the document in force.",
            ),
            evacuated_zones: gauge(
                "lilac_gateway_evacuated_zones",
                "Zones whose instances get nothing new.",
            ),
            evacuation_revision: gauge(
                "lilac_gateway_evacuation_revision",
                "Log index of the last order that changed the evacuated zones.",
            ),
            sync_failures: counter(
                "lilac_gateway_sync_failures_total",
                "Calls to control that failed.",
            ),
            local_placements: counter(
                "lilac_gateway_local_placements_total",
                "Generations placed by the entry's own view, without control.",
            ),
            cold: ColdMetrics::new(),
            read_ahead: ReadAheadMetrics::new(),
        };
        metrics.register();
        metrics
    }

    fn register(&self) {
        let all: [Box<dyn prometheus::core::Collector>; 20] = [
            Box::new(self.refusals.clone()),
            Box::new(self.sends.clone()),
            Box::new(self.moves.clone()),
            Box::new(self.streams.clone()),
            Box::new(self.detached.clone()),
            Box::new(self.resumptions.clone()),
            Box::new(self.releases.clone()),
            Box::new(self.broken_releases.clone()),
            Box::new(self.instance_signals.clone()),
            Box::new(self.permits.clone()),
            Box::new(self.first_event_ms.clone()),
            Box::new(self.document_version.clone()),
            Box::new(self.evacuated_zones.clone()),
            Box::new(self.evacuation_revision.clone()),
            Box::new(self.sync_failures.clone()),
            Box::new(self.local_placements.clone()),
            Box::new(self.cold.instances.clone()),
            Box::new(self.cold.held_back.clone()),
            Box::new(self.read_ahead.held_bytes.clone()),
            Box::new(self.read_ahead.pauses.clone()),
        ];
        for collector in all {
            // Fails if a test starts a second gateway in the process; the metrics of the first one
            // stay registered.
            let _ = registry().register(collector);
        }
    }

    /// Records the time from a request to the first event of its stream.
    #[allow(clippy::cast_precision_loss)]
    pub(super) fn observe_first_event(&self, age_ms: u64) {
        self.first_event_ms.observe(age_ms as f64);
    }

    pub(super) fn set_evacuations(&self, zones: usize, revision: u64) {
        self.evacuated_zones
            .set(i64::try_from(zones).unwrap_or(i64::MAX));
        self.evacuation_revision
            .set(i64::try_from(revision).unwrap_or(i64::MAX));
    }

    pub(super) fn count_refusal(&self, code: &str) {
        self.refusals.with_label_values(&[code]).inc();
    }

    pub(super) fn count_send(&self, outcome: &str) {
        self.sends.with_label_values(&[outcome]).inc();
    }

    pub(super) fn count_move(&self, outcome: &str) {
        self.moves.with_label_values(&[outcome]).inc();
    }

    pub(super) fn count_instance_signal(&self, reason: &str) {
        self.instance_signals.with_label_values(&[reason]).inc();
    }

    pub(super) fn count_permit(&self, outcome: &str, by_hub: bool) {
        let by = if by_hub { "hub" } else { "entry" };
        self.permits.with_label_values(&[outcome, by]).inc();
    }

    pub(super) fn count_detached(&self, reason: &str) {
        self.detached.with_label_values(&[reason]).inc();
    }

    pub(super) fn count_resumption(&self, outcome: &str) {
        self.resumptions.with_label_values(&[outcome]).inc();
    }

    pub(super) fn count_release(&self, outcome: &str) {
        self.releases.with_label_values(&[outcome]).inc();
    }

    pub(super) fn count_broken_release(&self, outcome: &str) {
        self.broken_releases.with_label_values(&[outcome]).inc();
    }

    pub(super) fn count_stream(&self, outcome: &str) {
        self.streams.with_label_values(&[outcome]).inc();
    }
}

fn counter(name: &str, help: &str) -> IntCounter {
    IntCounter::new(name, help).expect("constant options are valid")
}

fn gauge(name: &str, help: &str) -> IntGauge {
    IntGauge::new(name, help).expect("constant options are valid")
}

/// Metrics of cold instances.
pub(super) struct ColdMetrics {
    pub(super) instances: IntGauge,
    pub(super) held_back: IntCounter,
}

impl ColdMetrics {
    fn new() -> Self {
        Self {
            instances: gauge(
                "lilac_gateway_cold_instances",
                "Instances that are cold, as this entry knows them.",
            ),
            held_back: counter(
                "lilac_gateway_cold_held_back_total",
                "Plain calls that were not sent to a cold instance because of its limit.",
            ),
        }
    }
}

/// Metrics of stream data that callers have not taken yet.
#[derive(Clone)]
pub(super) struct ReadAheadMetrics {
    pub(super) held_bytes: IntGauge,
    pub(super) pauses: IntCounter,
}

impl ReadAheadMetrics {
    fn new() -> Self {
        Self {
            held_bytes: gauge(
                "lilac_gateway_read_ahead_bytes",
                "Bytes of streams that were received and not taken by their callers yet.",
            ),
            pauses: counter(
                "lilac_gateway_read_pauses_total",
                "Times that an instance was not read because its caller had too much to take.",
            ),
        }
    }
}

fn counters(name: &str, help: &str, label: &str) -> IntCounterVec {
    IntCounterVec::new(Opts::new(name, help), &[label]).expect("constant options are valid")
}
