//! Replays recorded arrivals against running processes, one policy after another.

use std::any::Any;
use std::fmt;
use std::sync::atomic::AtomicUsize;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use futures::future::BoxFuture;
use tokio::task::JoinSet;

use super::client::{LoadClient, Targets};
use super::metrics::{EngineMetrics, read_metrics};
use super::recorder::Recorder;
use super::report::{MemorySample, RunReport};
use super::workload::Workload;

/// Time between two samples of the engines' memory.
const MEMORY_SAMPLE_INTERVAL: Duration = Duration::from_millis(250);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// A failure of the load tool itself, as opposed to a failed request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BenchError(pub String);

impl fmt::Display for BenchError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for BenchError {}

/// Processes started for one policy; dropping `guard` stops them.
pub struct StartedProcesses {
    pub targets: Targets,
    pub guard: Box<dyn Any + Send>,
}

/// Starts the processes of a policy.
pub type ProcessStarter =
    Box<dyn FnOnce() -> BoxFuture<'static, Result<StartedProcesses, BenchError>> + Send>;

/// The processes that run a policy.
pub enum PolicyProcesses {
    /// Processes that are already running.
    Running(Targets),
    /// Processes that are started for this run and stopped after it.
    ToStart(ProcessStarter),
}

/// A policy to compare, and the processes that run it.
pub struct PolicyRun {
    pub name: String,
    pub processes: PolicyProcesses,
}

/// Runs the same arrivals against each policy in turn.
pub async fn compare_policies(
    policies: Vec<PolicyRun>,
    workload: &Arc<Workload>,
    load: f64,
) -> Result<Vec<RunReport>, BenchError> {
    let mut reports = Vec::new();
    for policy in policies {
        let started = match policy.processes {
            PolicyProcesses::Running(targets) => StartedProcesses {
                targets,
                guard: Box::new(()),
            },
            PolicyProcesses::ToStart(start) => start().await?,
        };
        let recorder = replay_arrivals(&policy.name, started.targets, workload, load).await?;
        drop(started.guard);
        reports.push(recorder.report());
    }
    Ok(reports)
}

/// Sends every request at its arrival time, whether or not earlier ones have been answered.
pub async fn replay_arrivals(
    name: &str,
    targets: Targets,
    workload: &Arc<Workload>,
    load: f64,
) -> Result<Recorder, BenchError> {
    if targets.urls.is_empty() {
        return Err(BenchError(format!("policy {name} has no URL")));
    }
    let http = reqwest::Client::builder()
        .connect_timeout(CONNECT_TIMEOUT)
        .tcp_nodelay(true)
        .build()
        .map_err(|error| BenchError(format!("cannot set up the HTTP client: {error}")))?;
    let before = sum_counters(&http, &targets.engine_urls).await;
    let client = Arc::new(LoadClient {
        http: http.clone(),
        targets: targets.clone(),
        workload: workload.clone(),
        recorder: Mutex::new(Recorder::new(name, workload, load)),
        start: Instant::now(),
        next_url_index: AtomicUsize::new(0),
    });
    let sampler = tokio::spawn(sample_memory(client.clone()));
    let mut requests = JoinSet::new();
    for (number, arrival) in workload.arrivals.iter().enumerate() {
        let due = client.start + Duration::from_micros(arrival.at_us);
        tokio::time::sleep_until(due.into()).await;
        let client = client.clone();
        requests.spawn(async move { client.run_request(number).await });
        while requests.try_join_next().is_some() {}
    }
    while let Some(ended) = requests.join_next().await {
        ended.map_err(|error| BenchError(format!("a request task failed: {error}")))?;
    }
    sampler.abort();
    let after = sum_counters(&http, &targets.engine_urls).await;
    let mut recorder = client.lock().clone();
    recorder.preemptions = after.preemptions.saturating_sub(before.preemptions);
    recorder.recomputed_tokens = after
        .recomputed_tokens
        .saturating_sub(before.recomputed_tokens);
    Ok(recorder)
}

/// Returns the counters of all engines added up.
async fn sum_counters(http: &reqwest::Client, urls: &[String]) -> EngineMetrics {
    let mut sum = EngineMetrics::default();
    for url in urls {
        // An engine that was killed for this run does not answer.
        if let Some(metrics) = read_metrics(http, url).await {
            sum.preemptions += metrics.preemptions;
            sum.recomputed_tokens += metrics.recomputed_tokens;
        }
    }
    sum
}

async fn sample_memory(client: Arc<LoadClient>) {
    loop {
        for (engine, url) in client.targets.engine_urls.iter().enumerate() {
            let Some(metrics) = read_metrics(&client.http, url).await else {
                continue;
            };
            let sample = MemorySample {
                at_ms: client.now_us() / 1_000,
                engine,
                used_tokens: metrics.used_tokens,
                capacity_tokens: metrics.capacity_tokens,
            };
            client.lock().memory.push(sample);
        }
        tokio::time::sleep(MEMORY_SAMPLE_INTERVAL).await;
    }
}
