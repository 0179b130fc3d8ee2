//! Prometheus metrics of the sidecar.

use std::sync::OnceLock;

use prometheus::{
    Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGaugeVec, Opts,
};

use crate::adapters::telemetry::registry;

/// Metrics of all upstreams of this process.
pub(super) struct Metrics {
    pub(super) running: IntGaugeVec,
    pub(super) queued: IntGaugeVec,
    pub(super) used_tokens: IntGaugeVec,
    pub(super) admissions: IntCounterVec,
    pub(super) refusals: IntCounterVec,
    pub(super) preemptions: IntCounterVec,
    pub(super) tokens: IntCounterVec,
    pub(super) queue_seconds: HistogramVec,
    pub(super) stalls: IntCounterVec,
    pub(super) orphans: IntCounter,
    pub(super) poll_tokens: Histogram,
}

/// Returns the metrics; the first call registers them.
pub(super) fn metrics() -> &'static Metrics {
    static METRICS: OnceLock<Metrics> = OnceLock::new();
    METRICS.get_or_init(|| Metrics {
        running: gauge(
            "lilac_sidecar_running",
            "Generations or calls at the upstream.",
        ),
        queued: gauge("lilac_sidecar_queued", "Requests that wait."),
        used_tokens: gauge(
            "lilac_sidecar_used_tokens",
            "Prompt and produced tokens of running generations.",
        ),
        admissions: counter(
            "lilac_sidecar_admissions_total",
            "Runs sent to the upstream.",
            &["upstream", "lane"],
        ),
        refusals: counter(
            "lilac_sidecar_refusals_total",
            "Requests refused, by code.",
            &["code"],
        ),
        preemptions: counter(
            "lilac_sidecar_preemptions_total",
            "Runs stopped by the sidecar to free memory and queued again.",
            &["upstream", "shown"],
        ),
        tokens: counter(
            "lilac_sidecar_tokens_total",
            "Tokens received.",
            &["upstream"],
        ),
        queue_seconds: queue_seconds(),
        stalls: counter(
            "lilac_sidecar_stalls_total",
            "Streams that broke off or went silent and were resumed or given up.",
            &["upstream"],
        ),
        orphans: register(
            IntCounter::new(
                "lilac_sidecar_orphans_total",
                "Generations cancelled because nobody read them.",
            )
            .expect("constant options are valid"),
        ),
        poll_tokens: register(
            Histogram::with_opts(
                HistogramOpts::new("lilac_sidecar_poll_tokens", "Tokens per answer to a poll.")
                    .buckets(vec![0.0, 1.0, 4.0, 16.0, 64.0, 256.0, 1_024.0]),
            )
            .expect("constant options are valid"),
        ),
    })
}

fn queue_seconds() -> HistogramVec {
    let buckets = vec![0.001, 0.01, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0];
    let opts = HistogramOpts::new("lilac_sidecar_queue_seconds", "Time in the queue, by lane.");
    register(
        HistogramVec::new(opts.buckets(buckets), &["lane"]).expect("constant options are valid"),
    )
}

fn gauge(name: &str, help: &str) -> IntGaugeVec {
    let gauge = IntGaugeVec::new(Opts::new(name, help), &["upstream"]);
    register(gauge.expect("constant options are valid"))
}

fn counter(name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    let counter = IntCounterVec::new(Opts::new(name, help), labels);
    register(counter.expect("constant options are valid"))
}

fn register<C: prometheus::core::Collector + Clone + 'static>(collector: C) -> C {
    // Registration fails only if the name is taken, which the OnceLock rules out.
    let _ = registry().register(Box::new(collector.clone()));
    collector
}
