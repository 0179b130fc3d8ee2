//! Drives recorded arrivals against running processes, one policy after another.

use std::any::Any;
use std::fmt;
use std::sync::atomic::AtomicUsize;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use futures::future::BoxFuture;
use tokio::task::JoinSet;

use super::client::{Driver, Targets};
use super::metrics::{EngineMetrics, read_metrics};
use super::recorder::Recorder;
use super::report::{MemorySample, RunReport};
use super::workload::Workload;

/// Time between two samples of the engines' memory.
const MEMORY_SAMPLE: Duration = Duration::from_millis(250);
/// Requests wait this long for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// The load tool could not run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BenchError(pub String);

impl fmt::Display for BenchError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for BenchError {}

/// Processes started for one policy; dropping `guard` stops them.
pub struct Started {
    pub targets: Targets,
    pub guard: Box<dyn Any + Send>,
}

/// Starts the processes of a policy.
pub type Starter = Box<dyn FnOnce() -> BoxFuture<'static, Result<Started, BenchError>> + Send>;

/// Where one policy is found.
pub enum Place {
    /// Processes that run already.
    Running(Targets),
    /// Processes that are started for this run and stopped after it.
    Start(Starter),
}

/// A policy to drive.
pub struct PolicyRun {
    pub name: String,
    pub place: Place,
}

/// Runs the same arrivals against each policy in turn.
pub async fn compare(
    policies: Vec<PolicyRun>,
    workload: &Arc<Workload>,
    load: f64,
) -> Result<Vec<RunReport>, BenchError> {
    let mut reports = Vec::new();
    for policy in policies {
        let started = match policy.place {
            Place::Running(targets) => Started {
                targets,
                guard: Box::new(()),
            },
            Place::Start(start) => start().await?,
        };
        let recorder = drive(&policy.name, started.targets, workload, load).await?;
        drop(started.guard);
        reports.push(recorder.report());
    }
    Ok(reports)
}

/// Sends every arrival at its time, whether or not earlier ones were answered.
pub async fn drive(
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
    let before = sum(&http, &targets.engine_urls).await;
    let driver = Arc::new(Driver {
        http: http.clone(),
        targets: targets.clone(),
        workload: workload.clone(),
        recorder: Mutex::new(Recorder::new(name, workload, load)),
        start: Instant::now(),
        turn: AtomicUsize::new(0),
    });
    let sampler = tokio::spawn(sample_memory(driver.clone()));
    let mut requests = JoinSet::new();
    for (number, arrival) in workload.arrivals.iter().enumerate() {
        let at = driver.start + Duration::from_micros(arrival.at_us);
        tokio::time::sleep_until(at.into()).await;
        let driver = driver.clone();
        requests.spawn(async move { driver.request(number).await });
        while requests.try_join_next().is_some() {}
    }
    while let Some(ended) = requests.join_next().await {
        ended.map_err(|error| BenchError(format!("a request was not followed: {error}")))?;
    }
    sampler.abort();
    let after = sum(&http, &targets.engine_urls).await;
    let mut recorder = driver.lock().clone();
    recorder.preemptions = after.preemptions.saturating_sub(before.preemptions);
    recorder.recomputed_tokens = after
        .recomputed_tokens
        .saturating_sub(before.recomputed_tokens);
    Ok(recorder)
}

async fn sum(http: &reqwest::Client, urls: &[String]) -> EngineMetrics {
    let mut sum = EngineMetrics::default();
    for url in urls {
        // An engine that was killed for the run reports nothing.
        if let Some(metrics) = read_metrics(http, url).await {
            sum.preemptions += metrics.preemptions;
            sum.recomputed_tokens += metrics.recomputed_tokens;
        }
    }
    sum
}

async fn sample_memory(driver: Arc<Driver>) {
    loop {
        for (engine, url) in driver.targets.engine_urls.iter().enumerate() {
            let Some(metrics) = read_metrics(&driver.http, url).await else {
                continue;
            };
            let sample = MemorySample {
                at_ms: driver.now_us() / 1_000,
                engine,
                used_tokens: metrics.used_tokens,
                capacity_tokens: metrics.capacity_tokens,
            };
            driver.lock().memory.push(sample);
        }
        tokio::time::sleep(MEMORY_SAMPLE).await;
    }
}
