//! Measures the latency that entry and sidecar add, with the same calls sent alternately to the
//! upstream directly and through the entry.

use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use serde_json::{Value, json};

use super::load::BenchError;
use super::report::{AddedLatency, Quantiles};

/// Calls on each path before the measurement, so that connections are already open.
const WARM_UP_CALLS: u32 = 50;
/// Time limit of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Largest value of the histograms; equals `CALL_TIMEOUT`.
const MAX_RECORDED_US: u64 = 10_000_000;

/// Addresses and calls of a measurement.
#[derive(Debug, Clone)]
pub struct AddedLatencyConfig {
    /// Base URL of the engine.
    pub direct_engine: String,
    /// Base URL of the service.
    pub direct_service: String,
    /// Base URL of the entry.
    pub through: String,
    pub model: String,
    pub service: String,
    pub workspace: String,
    /// Kind of the service call.
    pub service_kind: String,
    /// Kind of the completion.
    pub model_kind: String,
    /// Measured calls of each sort on each path.
    pub count: u32,
}

/// A call with its URLs on both paths.
struct Call {
    name: &'static str,
    direct_url: String,
    through_url: String,
    kind: String,
    body: Value,
}

/// Measures small service calls and short completions. Fails if the first call on a path fails;
/// later failures are counted.
pub async fn added_latency(config: &AddedLatencyConfig) -> Result<Vec<AddedLatency>, BenchError> {
    let http = reqwest::Client::builder()
        .timeout(CALL_TIMEOUT)
        .tcp_nodelay(true)
        .build()
        .map_err(|error| BenchError(format!("cannot set up the HTTP client: {error}")))?;
    let mut rows = Vec::new();
    for call in calls(config) {
        rows.push(measure(&http, config, &call).await?);
    }
    Ok(rows)
}

fn calls(config: &AddedLatencyConfig) -> [Call; 2] {
    let service_body = json!({"card": 1});
    let model_body = json!({"model": config.model, "prompt": "a short question", "max_tokens": 2,
                            "target_tokens": 2});
    [
        Call {
            name: "service call",
            direct_url: format!("{}/card", config.direct_service),
            through_url: format!("{}/svc/{}/card", config.through, config.service),
            kind: config.service_kind.clone(),
            body: service_body,
        },
        Call {
            name: "short completion",
            direct_url: format!("{}/v1/completions", config.direct_engine),
            through_url: format!("{}/v1/completions", config.through),
            kind: config.model_kind.clone(),
            body: model_body,
        },
    ]
}

async fn measure(
    http: &reqwest::Client,
    config: &AddedLatencyConfig,
    call: &Call,
) -> Result<AddedLatency, BenchError> {
    let new_histogram =
        || Histogram::<u64>::new_with_bounds(1, MAX_RECORDED_US, 3).expect("constant bounds");
    let mut times = [new_histogram(), new_histogram()];
    let mut errors = 0;
    for round in 0..config.count + WARM_UP_CALLS {
        // The order alternates between rounds, so that neither path benefits from always following
        // the other.
        for turn in 0..2 {
            let path = (round as usize + turn) % 2;
            let url = if path == 0 {
                &call.direct_url
            } else {
                &call.through_url
            };
            match timed_call(http, url, &config.workspace, call).await {
                Ok(time_us) if round >= WARM_UP_CALLS => times[path].saturating_record(time_us),
                Ok(_) => {}
                Err(error) if round == 0 => {
                    return Err(BenchError(format!("{} {url}: {error}", call.name)));
                }
                Err(_) => errors += 1,
            }
        }
    }
    let [direct, through] = times.map(|histogram| Quantiles::from_histogram(&histogram));
    Ok(AddedLatency {
        call: call.name.to_owned(),
        added_p50_ms: through.p50_ms - direct.p50_ms,
        added_p99_ms: through.p99_ms - direct.p99_ms,
        direct,
        through,
        errors,
    })
}

/// Sends a call and returns the time until its whole body has arrived, in microseconds.
async fn timed_call(
    http: &reqwest::Client,
    url: &str,
    workspace: &str,
    call: &Call,
) -> Result<u64, reqwest::Error> {
    let start = Instant::now();
    let response = http
        .post(url)
        .header("Lilac-Workspace", workspace)
        .header("Lilac-Kind", &call.kind)
        .json(&call.body)
        .send()
        .await?
        .error_for_status()?;
    response.bytes().await?;
    Ok(u64::try_from(start.elapsed().as_micros()).unwrap_or(u64::MAX))
}
