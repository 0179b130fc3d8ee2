//! Latency that entry and sidecar add: the same calls directly and through the entry, in turns.

use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use serde_json::{Value, json};

use super::load::BenchError;
use super::report::{AddedLatency, Quantiles};

/// Calls of each sort before measuring, so that connections are open.
const WARM_UP: u32 = 50;
/// Longest time of one call.
const TIMEOUT: Duration = Duration::from_secs(10);
/// Longest recorded time in microseconds.
const LONGEST_US: u64 = 10_000_000;

/// What is measured.
#[derive(Debug, Clone)]
pub struct AddedOptions {
    pub direct_engine: String,
    pub direct_service: String,
    pub through: String,
    pub model: String,
    pub service: String,
    pub workspace: String,
    /// Kinds of the service call and of the completion.
    pub service_kind: String,
    pub model_kind: String,
    pub count: u32,
}

struct Call {
    name: &'static str,
    direct: String,
    through: String,
    kind: String,
    body: Value,
}

/// Measures small service calls and short completions, direct and through in turns.
pub async fn added_latency(options: &AddedOptions) -> Result<Vec<AddedLatency>, BenchError> {
    let http = reqwest::Client::builder()
        .timeout(TIMEOUT)
        .tcp_nodelay(true)
        .build()
        .map_err(|error| BenchError(format!("cannot set up the HTTP client: {error}")))?;
    let mut rows = Vec::new();
    for call in calls(options) {
        rows.push(measure(&http, options, &call).await?);
    }
    Ok(rows)
}

fn calls(options: &AddedOptions) -> [Call; 2] {
    let service_body = json!({"card": 1});
    let model_body = json!({"model": options.model, "prompt": "a short question", "max_tokens": 2,
                            "target_tokens": 2});
    [
        Call {
            name: "service call",
            direct: format!("{}/card", options.direct_service),
            through: format!("{}/svc/{}/card", options.through, options.service),
            kind: options.service_kind.clone(),
            body: service_body,
        },
        Call {
            name: "short completion",
            direct: format!("{}/v1/completions", options.direct_engine),
            through: format!("{}/v1/completions", options.through),
            kind: options.model_kind.clone(),
            body: model_body,
        },
    ]
}

async fn measure(
    http: &reqwest::Client,
    options: &AddedOptions,
    call: &Call,
) -> Result<AddedLatency, BenchError> {
    let new = || Histogram::<u64>::new_with_bounds(1, LONGEST_US, 3).expect("constant bounds");
    let mut times = [new(), new()];
    let mut errors = 0;
    for round in 0..options.count + WARM_UP {
        // The order alternates, so that neither side profits from following the other.
        for turn in 0..2 {
            let side = (round as usize + turn) % 2;
            let url = if side == 0 {
                &call.direct
            } else {
                &call.through
            };
            match once(http, url, &options.workspace, call).await {
                Ok(time_us) if round >= WARM_UP => times[side].saturating_record(time_us),
                Ok(_) => {}
                Err(error) if round == 0 => {
                    return Err(BenchError(format!("{} {url}: {error}", call.name)));
                }
                Err(_) => errors += 1,
            }
        }
    }
    let [direct, through] = times.map(|times| Quantiles::of(&times));
    Ok(AddedLatency {
        call: call.name.to_owned(),
        added_p50_ms: through.p50_ms - direct.p50_ms,
        added_p99_ms: through.p99_ms - direct.p99_ms,
        direct,
        through,
        errors,
    })
}

async fn once(
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
