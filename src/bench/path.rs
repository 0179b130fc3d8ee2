//! Measures the cost of tokens, requests and open streams in an entry and a sidecar that run as
//! separate processes.

// Counts are far below 2^52, so conversions to f64 are exact.
#![allow(clippy::cast_precision_loss)]

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use clap::Args;
use futures::future::join_all;
use serde::{Deserialize, Serialize};
use serde_json::json;

use super::distribution::resources::{cpu_seconds_of, resident_kb_of};
use super::load::BenchError;
use crate::capacity::Slope;

/// Time for all streams to start before a step, and to close after it.
const SETTLE_TIME: Duration = Duration::from_secs(2);
/// Output length of the measured streams, long enough that none ends during a step.
const STREAM_TOKENS: u32 = 60_000;

/// Options of the measurement.
#[derive(Debug, Clone, Args)]
pub struct PathOptions {
    /// Base URL of the entry.
    #[arg(long)]
    pub entry: String,
    #[arg(long)]
    pub entry_pid: u32,
    #[arg(long)]
    pub sidecar_pid: u32,
    /// Admin URL of the entry, from which its metrics are read.
    #[arg(long)]
    pub entry_admin: String,
    #[arg(long, default_value = "demo")]
    pub workspace: String,
    /// A long kind of the model, for the streams.
    #[arg(long, default_value = "essay")]
    pub long_kind: String,
    /// A small kind of the service, for the calls.
    #[arg(long, default_value = "card")]
    pub small_kind: String,
    /// Path of the calls below `/svc/`.
    #[arg(long, default_value = "cards/progress")]
    pub small_path: String,
    #[arg(long, default_value = "tutor")]
    pub model: String,
    /// Number of open streams in each step.
    #[arg(long, value_delimiter = ',', default_value = "4,16,32,48")]
    pub streams: Vec<usize>,
    /// Service calls per second in each step.
    #[arg(long, value_delimiter = ',', default_value = "50,150,300")]
    pub calls_per_s: Vec<u32>,
    /// Length of a step in seconds.
    #[arg(long, default_value_t = 6)]
    pub seconds: u64,
}

/// Counts and resource use of one step.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Step {
    pub open_streams: usize,
    pub tokens: f64,
    pub requests: f64,
    pub seconds: f64,
    pub entry_cpu_us: f64,
    pub sidecar_cpu_us: f64,
    pub entry_rss_bytes: f64,
    pub sidecar_rss_bytes: f64,
    /// Bytes sent between entry and sidecar, in both directions.
    pub bytes: f64,
    pub polls: f64,
}

/// The steps with open streams and those with service calls.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct PathReport {
    pub streams: Vec<Step>,
    pub calls: Vec<Step>,
}

impl fmt::Display for PathReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "streams   tokens/s  calls/s   entry CPU %  sidecar CPU %  entry RSS MB  sidecar RSS MB  bytes/s  polls/s"
        )?;
        for step in self.streams.iter().chain(&self.calls) {
            let per_s = |amount: f64| amount / step.seconds;
            writeln!(
                f,
                "{:7} {:10.0} {:8.0} {:13.2} {:14.2} {:13.1} {:15.1} {:8.0} {:8.1}",
                step.open_streams,
                per_s(step.tokens),
                per_s(step.requests),
                per_s(step.entry_cpu_us) / 1e4,
                per_s(step.sidecar_cpu_us) / 1e4,
                step.entry_rss_bytes / 1e6,
                step.sidecar_rss_bytes / 1e6,
                per_s(step.bytes),
                per_s(step.polls),
            )?;
        }
        Ok(())
    }
}

impl PathReport {
    /// Returns the measured points of each resource, to which the capacity tables fit lines.
    pub fn slopes(&self) -> Vec<Slope> {
        let streams = |name: &str, unit: &str, x: &str, point: fn(&Step) -> (f64, f64)| {
            slope(name, unit, x, self.streams.iter().map(point).collect())
        };
        let calls = |name: &str, unit: &str, point: fn(&Step) -> (f64, f64)| {
            slope(
                name,
                unit,
                "requests",
                self.calls.iter().map(point).collect(),
            )
        };
        vec![
            streams("entry_token_cpu", "us", "tokens", |step| {
                (step.tokens, step.entry_cpu_us)
            }),
            streams("sidecar_token_cpu", "us", "tokens", |step| {
                (step.tokens, step.sidecar_cpu_us)
            }),
            streams("entry_token_bytes", "bytes", "tokens", |step| {
                (step.tokens, step.bytes)
            }),
            streams("entry_stream_memory", "bytes", "open streams", |step| {
                (step.open_streams as f64, step.entry_rss_bytes)
            }),
            streams("sidecar_stream_memory", "bytes", "open streams", |step| {
                (step.open_streams as f64, step.sidecar_rss_bytes)
            }),
            calls("entry_request_cpu", "us", |step| {
                (step.requests, step.entry_cpu_us)
            }),
            calls("sidecar_request_cpu", "us", |step| {
                (step.requests, step.sidecar_cpu_us)
            }),
            calls("entry_request_bytes", "bytes", |step| {
                (step.requests, step.bytes)
            }),
            // Each request takes two messages: the call and its answer.
            calls("entry_request_messages", "messages", |step| {
                (step.requests, 2.0 * step.requests)
            }),
            slope(
                "poll_messages",
                "messages",
                "seconds of a busy pair of entry and sidecar",
                self.streams
                    .last()
                    .map(|step| vec![(0.0, 0.0), (step.seconds, 2.0 * step.polls)])
                    .unwrap_or_default(),
            ),
        ]
    }
}

fn slope(name: &str, unit: &str, x: &str, points: Vec<(f64, f64)>) -> Slope {
    Slope {
        name: name.to_owned(),
        unit: unit.to_owned(),
        x: x.to_owned(),
        points,
        command: "lilacspindle bench path".to_owned(),
    }
}

/// Counters of both processes at one point in time.
struct Sample {
    at: Instant,
    entry_cpu_s: f64,
    sidecar_cpu_s: f64,
    bytes: f64,
    polls: f64,
}

/// Runs all steps in sequence.
pub async fn run(options: &PathOptions) -> Result<PathReport, BenchError> {
    let mut report = PathReport::default();
    for streams in &options.streams {
        report
            .streams
            .push(measure_streams(options, *streams).await?);
        tokio::time::sleep(SETTLE_TIME).await;
    }
    for calls in &options.calls_per_s {
        report.calls.push(measure_calls(options, *calls).await?);
    }
    Ok(report)
}

async fn measure_streams(options: &PathOptions, streams: usize) -> Result<Step, BenchError> {
    let http = reqwest::Client::new();
    let token_count = Arc::new(AtomicU64::new(0));
    let mut readers = Vec::new();
    for number in 0..streams {
        let body = json!({
            "model": options.model, "prompt": format!("measured stream {number}"),
            "max_tokens": STREAM_TOKENS, "target_tokens": STREAM_TOKENS, "stream": true,
        });
        let request = http
            .post(format!("{}/v1/completions", options.entry))
            .header("Lilac-Workspace", &options.workspace)
            .header("Lilac-Kind", &options.long_kind)
            .json(&body);
        let token_count = Arc::clone(&token_count);
        readers.push(tokio::spawn(async move {
            let Ok(mut response) = request.send().await else {
                return;
            };
            while let Ok(Some(bytes)) = response.chunk().await {
                let events = bytes.windows(5).filter(|window| window == b"data:").count();
                token_count.fetch_add(events as u64, Ordering::Relaxed);
            }
        }));
    }
    tokio::time::sleep(SETTLE_TIME).await;
    let tokens_before = token_count.load(Ordering::Relaxed);
    let before = read_sample(options).await?;
    tokio::time::sleep(Duration::from_secs(options.seconds)).await;
    let after = read_sample(options).await?;
    let tokens = token_count.load(Ordering::Relaxed) - tokens_before;
    let step = step_between(options, &before, &after, streams, tokens as f64, 0.0);
    readers.iter().for_each(tokio::task::JoinHandle::abort);
    Ok(step)
}

async fn measure_calls(options: &PathOptions, calls_per_s: u32) -> Result<Step, BenchError> {
    let http = reqwest::Client::new();
    let url = format!("{}/svc/{}", options.entry, options.small_path);
    let before = read_sample(options).await?;
    let start = Instant::now();
    let count = u64::from(calls_per_s) * options.seconds;
    let mut calls = Vec::new();
    for number in 0..count {
        let at = Duration::from_secs_f64(number as f64 / f64::from(calls_per_s));
        tokio::time::sleep(at.saturating_sub(start.elapsed())).await;
        let request = http
            .post(&url)
            .header("Lilac-Workspace", &options.workspace)
            .header("Lilac-Kind", &options.small_kind)
            .body("{}");
        calls.push(tokio::spawn(request.send()));
    }
    let answers = join_all(calls).await;
    let served = answers.into_iter().flatten().flatten();
    let served = served.filter(|answer| answer.status().is_success()).count();
    let after = read_sample(options).await?;
    Ok(step_between(
        options,
        &before,
        &after,
        0,
        0.0,
        served as f64,
    ))
}

fn step_between(
    options: &PathOptions,
    before: &Sample,
    after: &Sample,
    open_streams: usize,
    tokens: f64,
    requests: f64,
) -> Step {
    Step {
        open_streams,
        tokens,
        requests,
        seconds: after.at.duration_since(before.at).as_secs_f64(),
        entry_cpu_us: (after.entry_cpu_s - before.entry_cpu_s) * 1e6,
        sidecar_cpu_us: (after.sidecar_cpu_s - before.sidecar_cpu_s) * 1e6,
        entry_rss_bytes: resident_kb_of(&options.entry_pid.to_string()) * 1_024.0,
        sidecar_rss_bytes: resident_kb_of(&options.sidecar_pid.to_string()) * 1_024.0,
        bytes: after.bytes - before.bytes,
        polls: after.polls - before.polls,
    }
}

async fn read_sample(options: &PathOptions) -> Result<Sample, BenchError> {
    let url = format!("{}/metrics", options.entry_admin);
    let to_error = |error: reqwest::Error| BenchError(format!("cannot read {url}: {error}"));
    let text = reqwest::get(&url)
        .await
        .map_err(to_error)?
        .text()
        .await
        .map_err(to_error)?;
    let sum = |name: &str, label: &str| -> f64 {
        let lines = text
            .lines()
            .filter(|line| line.starts_with(name) && line.contains(label));
        lines
            .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
            .sum()
    };
    Ok(Sample {
        at: Instant::now(),
        entry_cpu_s: cpu_seconds_of(&options.entry_pid.to_string()),
        sidecar_cpu_s: cpu_seconds_of(&options.sidecar_pid.to_string()),
        bytes: sum("lilac_rpc_bytes_total", "service=\"sidecar\""),
        polls: sum("lilac_entry_polls_total", ""),
    })
}
