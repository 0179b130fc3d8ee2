//! Metrics of the entry role, and the counter of open requests.

use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use prometheus::core::Collector;
use prometheus::{
    Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, exponential_buckets,
};
use tokio::sync::watch;

use super::failure::Failure;
use crate::adapters::telemetry::registry;
use crate::model::RequestId;
use crate::rpc::sidecar::Lane;

/// The metrics of all entries of this process.
pub(super) struct Metrics {
    pub requests: IntCounterVec,
    pub first_token_s: Histogram,
    pub between_tokens_s: Histogram,
    pub retries: IntCounter,
    pub open_streams: IntGauge,
    pub polls: IntCounter,
}

static METRICS: OnceLock<Metrics> = OnceLock::new();

/// Returns the metrics.
pub(super) fn metrics() -> &'static Metrics {
    METRICS.get_or_init(|| Metrics {
        requests: registered(
            IntCounterVec::new(
                Opts::new(
                    "lilac_entry_requests_total",
                    "Requests by outcome and lane.",
                ),
                &["outcome", "lane"],
            )
            .expect("constant options are valid"),
        ),
        first_token_s: histogram(
            "lilac_entry_first_token_seconds",
            "Time from the arrival of a request to its first token.",
        ),
        between_tokens_s: histogram(
            "lilac_entry_between_tokens_seconds",
            "Time between successive tokens of a stream; tokens of one poll share its time.",
        ),
        retries: counter(
            "lilac_entry_retries_total",
            "New attempts after one without a result.",
        ),
        open_streams: registered(
            IntGauge::new(
                "lilac_entry_open_streams",
                "Generations that are being read.",
            )
            .expect("constant options are valid"),
        ),
        polls: counter("lilac_entry_polls_total", "Polls sent to sidecars."),
    })
}

fn registered<C: Collector + Clone + 'static>(collector: C) -> C {
    // Registration fails only if the name is already registered, which the OnceLock prevents.
    let _ = registry().register(Box::new(collector.clone()));
    collector
}

fn counter(name: &str, help: &str) -> IntCounter {
    registered(IntCounter::new(name, help).expect("constant options are valid"))
}

fn histogram(name: &str, help: &str) -> Histogram {
    // From 0.1 ms to 100 s in steps of a factor of two.
    let buckets = exponential_buckets(0.000_1, 2.0, 21).expect("constant buckets are valid");
    let opts = HistogramOpts::new(name, help).buckets(buckets);
    registered(Histogram::with_opts(opts).expect("constant options are valid"))
}

/// Returns the label of a lane.
fn lane_label(lane: Lane) -> &'static str {
    match lane {
        Lane::Small => "small",
        Lane::Long => "long",
    }
}

/// Counts open requests, so that a graceful shutdown can wait for them.
#[derive(Debug, Clone)]
pub(super) struct OpenRequests(Arc<watch::Sender<usize>>);

impl Default for OpenRequests {
    fn default() -> Self {
        Self(Arc::new(watch::Sender::new(0)))
    }
}

impl OpenRequests {
    /// Counts a request as open until the returned guard is dropped.
    pub fn track(&self, request: RequestId) -> OpenRequest {
        self.0.send_modify(|open| *open += 1);
        OpenRequest {
            open: Self(Arc::clone(&self.0)),
            request,
        }
    }

    /// Waits until no request is open.
    pub async fn wait_for_none(&self) {
        // The sender lives as long as `self`, so the wait cannot fail.
        let _ = self.0.subscribe().wait_for(|open| *open == 0).await;
    }
}

/// Guard of an open request.
pub(super) struct OpenRequest {
    open: OpenRequests,
    request: RequestId,
}

impl OpenRequest {
    /// Returns the identifier of the request.
    pub fn request(&self) -> RequestId {
        self.request
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.open
            .0
            .send_modify(|open| *open = open.saturating_sub(1));
    }
}

/// Measures the time to the first token and between tokens of one request.
pub(super) struct TokenTimes {
    arrived: Instant,
    last: Option<Instant>,
}

impl TokenTimes {
    /// Returns a timer for a request that arrived at `arrived`.
    pub fn new(arrived: Instant) -> Self {
        Self {
            arrived,
            last: None,
        }
    }

    /// Records tokens that arrived together.
    pub fn record(&mut self, tokens: usize) {
        let now = Instant::now();
        match self.last {
            None => metrics()
                .first_token_s
                .observe((now - self.arrived).as_secs_f64()),
            Some(last) => metrics()
                .between_tokens_s
                .observe((now - last).as_secs_f64()),
        }
        for _ in 1..tokens {
            metrics()
                .between_tokens_s
                .observe(Duration::ZERO.as_secs_f64());
        }
        self.last = Some(now);
    }
}

/// Counts the outcome of a request exactly once; a request that is dropped counts as `abandoned`.
pub(super) struct OutcomeRecorder {
    lane: Lane,
    /// `None` once the outcome is counted, or another recorder has taken over.
    outcome: Option<&'static str>,
}

impl OutcomeRecorder {
    /// Returns a recorder of a request that has just arrived.
    pub fn new() -> Self {
        Self {
            lane: Lane::Small,
            outcome: Some("abandoned"),
        }
    }

    /// Sets the lane, once it is known; until then it is `Lane::Small`.
    pub fn set_lane(&mut self, lane: Lane) {
        self.lane = lane;
    }

    /// Returns a recorder that counts in place of this one.
    pub fn take(&mut self) -> Self {
        Self {
            lane: self.lane,
            outcome: self.outcome.take(),
        }
    }

    /// Counts a successful request.
    pub fn succeed(&mut self) {
        self.count("result");
    }

    /// Counts a failed request.
    pub fn fail(&mut self, failure: &Failure) {
        self.count(failure.outcome.as_str());
    }

    fn count(&mut self, outcome: &str) {
        if self.outcome.take().is_some() {
            metrics()
                .requests
                .with_label_values(&[outcome, lane_label(self.lane)])
                .inc();
        }
    }
}

impl Drop for OutcomeRecorder {
    fn drop(&mut self) {
        if let Some(outcome) = self.outcome {
            self.count(outcome);
        }
    }
}
