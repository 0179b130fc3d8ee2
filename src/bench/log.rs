//! Measures the replicated log: replicas in one process, on real disks and loopback connections.

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

pub use cluster::{Cluster, ClusterOptions, Register};

/// Time after which a measurement is given up.
const LIMIT: Duration = Duration::from_mins(1);

/// Largest latency that is told apart.
const MAX_MICROSECONDS: u64 = 60_000_000;

/// What to measure.
#[derive(Debug, Clone)]
pub struct LogOptions {
    /// Folder for data folders; its file system is the one that is measured.
    pub folder: PathBuf,
    pub voters: Vec<usize>,
    /// Numbers of commands that are under way at once.
    pub clients: Vec<usize>,
    pub seconds: u64,
    pub command_bytes: usize,
    pub kills: usize,
    /// Commands before the restart.
    pub restart_commands: u64,
    pub election_ms: u64,
    pub snapshot_entries: u64,
}

/// Commands per second and latency at one setting.
#[derive(Debug, Clone, Serialize)]
pub struct Throughput {
    pub voters: usize,
    pub clients: usize,
    pub commands_per_second: f64,
    pub p50_ms: f64,
    pub p99_ms: f64,
    /// Commands that were refused or stayed undecided.
    pub failed: u64,
}

/// Times of one kind, over several trials.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Times {
    pub trials: usize,
    pub p50_ms: f64,
    pub max_ms: f64,
    /// Trials that were given up.
    pub failed: usize,
}

/// All measurements.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    pub throughput: Vec<Throughput>,
    /// From the kill of the leader to the next answered command, 3 voters.
    pub failover: Times,
    /// From the start of all 3 replicas to the first answered command.
    pub restart: Times,
    /// Opening one of their data folders.
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

fn milliseconds(time: Duration) -> f64 {
    time.as_secs_f64() * 1000.0
}

impl Times {
    fn new(mut times: Vec<Duration>, failed: usize) -> Self {
        times.sort_unstable();
        let at = |position: usize| times.get(position).copied().map_or(0.0, milliseconds);
        Self {
            trials: times.len() + failed,
            p50_ms: at(times.len() / 2),
            max_ms: at(times.len().saturating_sub(1)),
            failed,
        }
    }
}

/// Runs all measurements. Fails if a data folder or a listener cannot be opened.
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

async fn start(options: &LogOptions, name: &str, replicas: usize) -> io::Result<Cluster> {
    let cluster_options = ClusterOptions {
        replicas,
        election_ms: options.election_ms,
        snapshot_entries: options.snapshot_entries,
        keep_commands: false,
    };
    let cluster = Cluster::start(&options.folder.join(name), cluster_options).await?;
    match cluster.submit(b"first", LIMIT).await {
        Some(_) => Ok(cluster),
        None => Err(io::Error::other("the cluster did not form")),
    }
}

/// Submits one command after the other until told to stop. Returns the latencies in microseconds
/// and the number of failures.
async fn client(replica: Replica, bytes: usize, stop: Arc<AtomicBool>) -> (Vec<u64>, u64) {
    let (mut latencies, mut failed) = (Vec::new(), 0);
    while !stop.load(Ordering::Relaxed) {
        let begun = Instant::now();
        match replica.submit(vec![7; bytes], LIMIT).await {
            Ok(_) => latencies.push(u64::try_from(begun.elapsed().as_micros()).unwrap_or(u64::MAX)),
            Err(_) => failed += 1,
        }
    }
    (latencies, failed)
}

async fn measure_throughput(
    options: &LogOptions,
    voters: usize,
    clients: usize,
) -> io::Result<Throughput> {
    let mut cluster = start(options, &format!("throughput-{voters}-{clients}"), voters).await?;
    let leader = cluster.leader().and_then(|leader| cluster.replica(leader));
    let leader = leader
        .cloned()
        .ok_or_else(|| io::Error::other("the leader was lost"))?;
    let stop = Arc::new(AtomicBool::new(false));
    let run = |_| tokio::spawn(client(leader.clone(), options.command_bytes, stop.clone()));
    let tasks: Vec<_> = (0..clients).map(run).collect();
    let begun = Instant::now();
    tokio::time::sleep(Duration::from_secs(options.seconds)).await;
    stop.store(true, Ordering::Relaxed);
    let mut histogram =
        Histogram::<u64>::new_with_bounds(1, MAX_MICROSECONDS, 3).map_err(io::Error::other)?;
    let mut failures = 0;
    for task in tasks {
        let (latencies, failed) = task.await?;
        failures += failed;
        for latency in latencies {
            histogram.saturating_record(latency);
        }
    }
    let quantile = |q| milliseconds(Duration::from_micros(histogram.value_at_quantile(q)));
    let count = u32::try_from(histogram.len()).unwrap_or(u32::MAX);
    let measured = Throughput {
        voters,
        clients,
        commands_per_second: f64::from(count) / begun.elapsed().as_secs_f64(),
        p50_ms: quantile(0.5),
        p99_ms: quantile(0.99),
        failed: failures,
    };
    for number in 0..voters {
        cluster.kill(number).await;
    }
    Ok(measured)
}

async fn measure_failover(options: &LogOptions) -> io::Result<Times> {
    let mut cluster = start(options, "failover", 3).await?;
    let (mut times, mut failed) = (Vec::new(), 0);
    for _ in 0..options.kills {
        let Some(leader) = cluster.leader() else {
            failed += 1;
            continue;
        };
        let begun = Instant::now();
        cluster.kill(leader).await;
        match cluster.submit(b"after", LIMIT).await {
            Some(_) => times.push(begun.elapsed()),
            None => failed += 1,
        }
        cluster.open(leader).map_err(io::Error::other)?;
        let count = |cluster: &Cluster| cluster.leader().map(|l| cluster.register(l).count());
        let caught_up =
            |cluster: &Cluster| count(cluster) == Some(cluster.register(leader).count());
        cluster.wait(LIMIT, caught_up).await;
    }
    Ok(Times::new(times, failed))
}

async fn measure_restart(options: &LogOptions) -> io::Result<(Times, Times)> {
    let mut cluster = start(options, "restart", 3).await?;
    let leader = cluster.leader().and_then(|leader| cluster.replica(leader));
    let leader = leader
        .cloned()
        .ok_or_else(|| io::Error::other("the leader was lost"))?;
    let command = vec![7; options.command_bytes];
    let mut left = options.restart_commands;
    while left > 0 {
        let batch = left.min(100);
        let submits = (0..batch).map(|_| leader.submit(command.clone(), LIMIT));
        let answers = futures::future::join_all(submits).await;
        left -= answers.iter().filter(|answer| answer.is_ok()).count() as u64;
    }
    let (mut restarts, mut opens, mut failed) = (Vec::new(), Vec::new(), 0);
    for _ in 0..5 {
        for number in 0..3 {
            cluster.kill(number).await;
        }
        let begun = Instant::now();
        for number in 0..3 {
            let opened = Instant::now();
            cluster.open(number).map_err(io::Error::other)?;
            opens.push(opened.elapsed());
        }
        match cluster.submit(b"after", LIMIT).await {
            Some(_) => restarts.push(begun.elapsed()),
            None => failed += 1,
        }
    }
    Ok((Times::new(restarts, failed), Times::new(opens, 0)))
}
