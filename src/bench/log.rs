//! Benchmarks the replicated log: throughput, failover and restart of replicas in one process, with
//! data folders on a real disk and loopback connections.

mod cluster;

use std::fmt;
use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use serde::Serialize;
use tokio::runtime::Runtime;

use crate::roles::control::replica::Replica;

pub use cluster::{Cluster, ClusterOptions, CommandCounter};

/// Time limit of each wait for a command's result, a leader or a replica that catches up.
const WAIT_LIMIT: Duration = Duration::from_mins(1);

/// Longer latencies are recorded as this value.
const MAX_LATENCY_US: u64 = 60_000_000;

/// The settings of the benchmark.
#[derive(Debug, Clone)]
pub struct LogOptions {
    /// Parent of the data folders, on the file system to be measured.
    pub folder: PathBuf,
    /// Cluster sizes at which throughput is measured.
    pub voters: Vec<usize>,
    /// Numbers of clients at which throughput is measured; each has one command in flight.
    pub clients: Vec<usize>,
    /// Duration of each throughput measurement.
    pub duration_s: u64,
    pub command_bytes: usize,
    /// Number of times that the leader is killed to measure failover.
    pub kills: usize,
    /// Number of commands in the log before the restart is measured.
    pub restart_commands: u64,
    pub election_ms: u64,
    pub snapshot_entries: u64,
}

/// Throughput and latency at one cluster size and number of clients.
#[derive(Debug, Clone, Serialize)]
pub struct Throughput {
    pub voters: usize,
    pub clients: usize,
    pub commands_per_second: f64,
    pub p50_ms: f64,
    pub p99_ms: f64,
    /// Commands that were refused or whose result is unknown.
    pub failed: u64,
}

/// The distribution of a duration over several trials.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Times {
    pub trials: usize,
    pub p50_ms: f64,
    pub max_ms: f64,
    /// Trials without a result within the time limit.
    pub failed: usize,
}

/// The results of the benchmark, displayed as two tables.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    pub throughput: Vec<Throughput>,
    /// From the kill of the leader to the reply to the next command, with 3 voters.
    pub failover: Times,
    /// From the start of all 3 replicas to the reply to the first command.
    pub restart: Times,
    /// From the start of one of these replicas until it has opened its data folder.
    pub open: Times,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "voters  clients  commands/s    p50 ms    p99 ms  failed")?;
        for row in &self.throughput {
            writeln!(
                f,
                "{:>6}  {:>7}  {:>10.0}  {:>8.2}  {:>8.2}  {:>6}",
                row.voters,
                row.clients,
                row.commands_per_second,
                row.p50_ms,
                row.p99_ms,
                row.failed
            )?;
        }
        let times = [
            ("failover", &self.failover),
            ("restart", &self.restart),
            ("open", &self.open),
        ];
        writeln!(f, "\n             trials    p50 ms    max ms  failed")?;
        for (name, row) in times {
            writeln!(
                f,
                "{name:<12} {:>6}  {:>8.1}  {:>8.1}  {:>6}",
                row.trials, row.p50_ms, row.max_ms, row.failed
            )?;
        }
        Ok(())
    }
}

fn as_ms(time: Duration) -> f64 {
    time.as_secs_f64() * 1000.0
}

impl Times {
    fn new(mut times: Vec<Duration>, failed: usize) -> Self {
        times.sort_unstable();
        let time_ms = |index: usize| times.get(index).copied().map_or(0.0, as_ms);
        Self {
            trials: times.len() + failed,
            p50_ms: time_ms(times.len() / 2),
            max_ms: time_ms(times.len().saturating_sub(1)),
            failed,
        }
    }
}

/// Runs the benchmark. Fails if a data folder or a listener cannot be opened, or if a cluster does
/// not elect a leader.
pub fn run(options: &LogOptions) -> io::Result<Report> {
    let runtime = Runtime::new()?;
    let mut throughput = Vec::new();
    for voters in &options.voters {
        for clients in &options.clients {
            let measured = runtime.block_on(measure_throughput(options, *voters, *clients))?;
            throughput.push(measured);
        }
    }
    let failover = runtime.block_on(measure_failover(options))?;
    let (restart, open) = runtime.block_on(measure_restart(options))?;
    Ok(Report {
        throughput,
        failover,
        restart,
        open,
    })
}

/// Starts a cluster and waits until it has committed a first command.
async fn start_cluster(options: &LogOptions, name: &str, replicas: usize) -> io::Result<Cluster> {
    let cluster_options = ClusterOptions {
        replicas,
        election_ms: options.election_ms,
        snapshot_entries: options.snapshot_entries,
        keep_commands: false,
    };
    let cluster = Cluster::start(&options.folder.join(name), cluster_options).await?;
    match cluster.submit(b"first", WAIT_LIMIT).await {
        Some(_) => Ok(cluster),
        None => Err(io::Error::other(
            "the cluster committed no command within 60 s of its start",
        )),
    }
}

/// Submits one command after the other until `stop` is set. Returns the latencies in microseconds
/// and the number of failed commands.
async fn run_client(
    replica: Replica,
    command_bytes: usize,
    stop: Arc<AtomicBool>,
) -> (Vec<u64>, u64) {
    let (mut latencies_us, mut failed) = (Vec::new(), 0);
    while !stop.load(Ordering::Relaxed) {
        let started = Instant::now();
        match replica.submit(vec![7; command_bytes], WAIT_LIMIT).await {
            Ok(_) => {
                latencies_us.push(u64::try_from(started.elapsed().as_micros()).unwrap_or(u64::MAX));
            }
            Err(_) => failed += 1,
        }
    }
    (latencies_us, failed)
}

async fn measure_throughput(
    options: &LogOptions,
    voters: usize,
    clients: usize,
) -> io::Result<Throughput> {
    let mut cluster =
        start_cluster(options, &format!("throughput-{voters}-{clients}"), voters).await?;
    let leader = cluster.leader().and_then(|leader| cluster.replica(leader));
    let leader = leader
        .cloned()
        .ok_or_else(|| io::Error::other("the cluster has no leader"))?;
    let stop = Arc::new(AtomicBool::new(false));
    let spawn_client = |_| {
        tokio::spawn(run_client(
            leader.clone(),
            options.command_bytes,
            stop.clone(),
        ))
    };
    let tasks: Vec<_> = (0..clients).map(spawn_client).collect();
    let started = Instant::now();
    tokio::time::sleep(Duration::from_secs(options.duration_s)).await;
    stop.store(true, Ordering::Relaxed);
    let mut histogram =
        Histogram::<u64>::new_with_bounds(1, MAX_LATENCY_US, 3).map_err(io::Error::other)?;
    let mut failures = 0;
    for task in tasks {
        let (latencies_us, task_failures) = task.await?;
        failures += task_failures;
        for latency_us in latencies_us {
            histogram.saturating_record(latency_us);
        }
    }
    let quantile = |q| as_ms(Duration::from_micros(histogram.value_at_quantile(q)));
    let count = u32::try_from(histogram.len()).unwrap_or(u32::MAX);
    let throughput = Throughput {
        voters,
        clients,
        commands_per_second: f64::from(count) / started.elapsed().as_secs_f64(),
        p50_ms: quantile(0.5),
        p99_ms: quantile(0.99),
        failed: failures,
    };
    for number in 0..voters {
        cluster.kill(number).await;
    }
    Ok(throughput)
}

async fn measure_failover(options: &LogOptions) -> io::Result<Times> {
    let mut cluster = start_cluster(options, "failover", 3).await?;
    let (mut times, mut failed) = (Vec::new(), 0);
    for _ in 0..options.kills {
        let Some(leader) = cluster.leader() else {
            failed += 1;
            continue;
        };
        let started = Instant::now();
        cluster.kill(leader).await;
        match cluster.submit(b"after", WAIT_LIMIT).await {
            Some(_) => times.push(started.elapsed()),
            None => failed += 1,
        }
        cluster.open(leader).map_err(io::Error::other)?;
        let count =
            |cluster: &Cluster| cluster.leader().map(|l| cluster.command_counter(l).count());
        let has_caught_up =
            |cluster: &Cluster| count(cluster) == Some(cluster.command_counter(leader).count());
        cluster.wait(WAIT_LIMIT, has_caught_up).await;
    }
    Ok(Times::new(times, failed))
}

async fn measure_restart(options: &LogOptions) -> io::Result<(Times, Times)> {
    let mut cluster = start_cluster(options, "restart", 3).await?;
    let leader = cluster.leader().and_then(|leader| cluster.replica(leader));
    let leader = leader
        .cloned()
        .ok_or_else(|| io::Error::other("the cluster has no leader"))?;
    let command = vec![7; options.command_bytes];
    let mut remaining = options.restart_commands;
    while remaining > 0 {
        let batch = remaining.min(100);
        let submits = (0..batch).map(|_| leader.submit(command.clone(), WAIT_LIMIT));
        let replies = futures::future::join_all(submits).await;
        remaining -= replies.iter().filter(|reply| reply.is_ok()).count() as u64;
    }
    let (mut restart_times, mut open_times, mut failed) = (Vec::new(), Vec::new(), 0);
    for _ in 0..5 {
        for number in 0..3 {
            cluster.kill(number).await;
        }
        let started = Instant::now();
        for number in 0..3 {
            let open_started = Instant::now();
            cluster.open(number).map_err(io::Error::other)?;
            open_times.push(open_started.elapsed());
        }
        match cluster.submit(b"after", WAIT_LIMIT).await {
            Some(_) => restart_times.push(started.elapsed()),
            None => failed += 1,
        }
    }
    Ok((Times::new(restart_times, failed), Times::new(open_times, 0)))
}
