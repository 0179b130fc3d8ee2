//! Benchmarks the distribution of the view to subscribers over loopback TCP, and the room broker.

mod broker;
pub mod fleet;
pub(super) mod resources;

use std::fmt::Write;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use crate::domain::members::{Role, Serves, UpstreamInfo};
use crate::domain::state::View;
use crate::model::{ModelName, TableVersion, UpstreamName};
use crate::rpc::{Traffic, encode, sent_traffic};
pub use broker::BrokerPoint;
use fleet::{
    DaemonSpec, FleetError, Process, edit, start_controls, start_daemon, wait_for_version,
    workspace_change,
};
use resources::{cpu_seconds, resident_kb};

/// Number of copies over which the time and memory of one copy of the view are averaged.
const VIEW_COPIES: usize = 10;
/// Wait before the measurement, in which the relay tree becomes stable and the connections of the
/// registrations are closed.
const SETTLE_TIME: Duration = Duration::from_secs(12);
/// Rows per edit while the table is filled.
const ROWS_PER_FILL_EDIT: u32 = 1_000;
/// Time limit for each subscriber to apply a version, and for each registration.
const APPLY_TIMEOUT: Duration = Duration::from_mins(2);
/// Approximate bytes per frame that the codec does not count: the length prefix, the IP and TCP
/// headers, and the acknowledgement.
const FRAME_OVERHEAD_BYTES: f64 = 4.0 + 52.0 + 52.0;

/// The settings of the benchmark.
#[derive(Debug, Clone)]
pub struct Options {
    pub subscribers: Vec<usize>,
    pub rows: Vec<u32>,
    /// Number of registered members, including the subscribers.
    pub members: usize,
    /// Number of upstreams, spread evenly over the members.
    pub upstreams: usize,
    /// Duration of the measurement without edits.
    pub idle: Duration,
    /// Number of edits in the measurement of the cost of edits.
    pub edits: u32,
    /// Time between the starts of two of these edits.
    pub edit_interval: Duration,
    /// Number of further edits, which only add to the measured times in force.
    pub latency_edits: u32,
    /// Number of entries in the measurement of the broker.
    pub entries: u32,
    /// Number of workspaces in the measurement of the broker, which also runs at a tenth and a
    /// hundredth of it.
    pub workspaces: u32,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            subscribers: vec![1, 10, 100, 400],
            rows: vec![1_000, 20_000],
            members: 400,
            upstreams: 2_700,
            idle: Duration::from_secs(10),
            edits: 2,
            edit_interval: Duration::from_secs(7),
            latency_edits: 20,
            entries: 31,
            workspaces: 20_000,
        }
    }
}

/// Cost per subscriber and second, including the subscriber's share of the control instances.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub struct Cost {
    /// Bytes sent, without length prefixes and headers. Each is received by another process of the
    /// fleet.
    pub sent_bytes: f64,
    pub sent_frames: f64,
    /// Estimate of the bytes sent and received, including headers and acknowledgements.
    pub wire_bytes: f64,
    /// Percentage of one core.
    pub cpu_percent: f64,
}

/// The results at one number of subscribers and rows.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Point {
    pub subscribers: usize,
    pub rows: u32,
    pub members: usize,
    pub upstreams: usize,
    /// Quantiles of the time from the submission of an edit until a subscriber has applied it, over
    /// all edits and subscribers.
    pub in_force_p50_ms: f64,
    pub in_force_p99_ms: f64,
    /// The largest of these times.
    pub in_force_max_ms: f64,
    pub idle: Cost,
    pub editing: Cost,
    /// Resident memory that each subscriber added, measured after the edits.
    pub memory_kb: f64,
    /// Size of the encoded view, which a process fetches when it starts.
    pub snapshot_bytes: usize,
    /// Time and memory of one copy of the view. An edit copies the view if the old one is in use.
    pub copy_ms: f64,
    pub copy_kb: f64,
}

/// The results of the benchmark.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Report {
    /// Time between edits in the measurement of the cost of edits.
    pub edit_interval_s: f64,
    pub points: Vec<Point>,
    pub brokers: Vec<BrokerPoint>,
}

impl Report {
    /// Returns the report as a table in text.
    pub fn to_table(&self) -> String {
        let mut text = String::from(
            "subscribers   rows  in force p50/p99/max ms   idle: B/s wire B/s frames/s cpu%   \
             editing: B/s wire B/s frames/s cpu%   memory KB   \
             snapshot bytes   copy ms/KB\n",
        );
        for point in &self.points {
            let cost = |cost: &Cost| {
                format!(
                    "{:>9.0} {:>8.0} {:>8.2} {:>5.2}",
                    cost.sent_bytes, cost.wire_bytes, cost.sent_frames, cost.cpu_percent
                )
            };
            // Writing to a `String` cannot fail.
            let _ = writeln!(
                text,
                "{:>11} {:>6} {:>9.1}/{:.1}/{:.1}   {}   {}   {:>9.0} {:>16} {:>9.2}/{:.0}",
                point.subscribers,
                point.rows,
                point.in_force_p50_ms,
                point.in_force_p99_ms,
                point.in_force_max_ms,
                cost(&point.idle),
                cost(&point.editing),
                point.memory_kb,
                point.snapshot_bytes,
                point.copy_ms,
                point.copy_kb
            );
        }
        text.push_str("entries workspaces  renewal ms  broker cpu%  request bytes\n");
        for point in &self.brokers {
            let _ = writeln!(
                text,
                "{:>7} {:>10} {:>11.3} {:>12.2} {:>14}",
                point.entries,
                point.workspaces,
                point.renewal_ms,
                point.cpu_percent,
                point.request_bytes
            );
        }
        text
    }

    /// Returns the report as JSON.
    pub fn to_json(&self) -> String {
        serde_json::to_string_pretty(self).unwrap_or_default()
    }
}

/// Measures every combination of subscribers and rows in turn, then the broker.
///
/// The connections of a large fleet take a while to close and add to the traffic of the next point.
/// Run a measurement of few subscribers that follows one of many in a process of its own.
pub async fn run(options: &Options) -> Result<Report, FleetError> {
    let mut points = Vec::new();
    for rows in &options.rows {
        for subscribers in &options.subscribers {
            points.push(measure_point(options, *subscribers, *rows).await?);
        }
    }
    let workspace_counts = [
        options.workspaces / 100,
        options.workspaces / 10,
        options.workspaces,
    ];
    let brokers = workspace_counts
        .iter()
        .map(|workspaces| broker::measure(options.entries, *workspaces))
        .collect();
    Ok(Report {
        edit_interval_s: options.edit_interval.as_secs_f64(),
        points,
        brokers,
    })
}

async fn measure_point(options: &Options, count: usize, rows: u32) -> Result<Point, FleetError> {
    let controls = start_controls(3, crate::roles::subscriber::MAX_WATCHERS).await?;
    let leader = &controls[0];
    populate(leader, options, count, rows).await?;
    let addresses: Vec<SocketAddr> = controls.iter().map(|control| control.address).collect();
    let before_kb = resident_kb();
    let mut processes = Vec::new();
    for number in 0..count {
        processes.push(start_daemon(&daemon_spec(options, number), &addresses).await?);
    }
    let version = leader.subscriber.store().version();
    wait_until_applied(&processes, version).await?;
    sleep(SETTLE_TIME).await;
    let meter = ResourceMeter::start();
    sleep(options.idle).await;
    let idle = meter.cost(count);

    let mut apply_times = ApplyTimes::default();
    let meter = ResourceMeter::start();
    for number in 0..options.edits {
        let started = Instant::now();
        apply_times.add(timed_edit(leader, &processes, number).await?);
        sleep(options.edit_interval.saturating_sub(started.elapsed())).await;
    }
    let editing = meter.cost(count);
    for number in 0..options.latency_edits {
        apply_times.add(timed_edit(leader, &processes, options.edits + number).await?);
        sleep(Duration::from_millis(50)).await;
    }
    let memory_kb = (resident_kb() - before_kb) / as_f64(count);
    let (copy_ms, copy_kb) = measure_copy(leader);
    Ok(Point {
        subscribers: count,
        rows,
        members: options.members,
        upstreams: options.upstreams,
        in_force_p50_ms: apply_times.quantile_ms(0.5),
        in_force_p99_ms: apply_times.quantile_ms(0.99),
        in_force_max_ms: apply_times.quantile_ms(1.0),
        idle,
        editing,
        memory_kb,
        snapshot_bytes: encode(&*leader.subscriber.view()).map_or(0, |bytes| bytes.len()),
        copy_ms,
        copy_kb,
    })
}

/// Returns the time in milliseconds and the memory in kilobytes of one copy of the view.
fn measure_copy(process: &Process) -> (f64, f64) {
    let view = process.subscriber.view();
    let (before_kb, started) = (resident_kb(), Instant::now());
    let copies: Vec<View> = (0..VIEW_COPIES).map(|_| (*view).clone()).collect();
    let copy_ms = started.elapsed().as_secs_f64() * 1_000.0 / as_f64(copies.len());
    (copy_ms, (resident_kb() - before_kb) / as_f64(copies.len()))
}

/// Fills the table with rows and registers the members that are not started in this measurement.
async fn populate(
    leader: &Process,
    options: &Options,
    count: usize,
    rows: u32,
) -> Result<(), FleetError> {
    for start in (0..rows).step_by(ROWS_PER_FILL_EDIT as usize) {
        let numbers = start..rows.min(start + ROWS_PER_FILL_EDIT);
        let changes = numbers
            .map(|number| workspace_change(&format!("workspace-{number}"), Some(100), 1))
            .collect();
        edit(leader, &format!("fill-{start}"), changes).await?;
    }
    for number in count..options.members {
        let command = daemon_spec(options, number).registration(leader.address);
        leader.subscriber.submit(&command, APPLY_TIMEOUT).await?;
    }
    Ok(())
}

fn daemon_spec(options: &Options, number: usize) -> DaemonSpec {
    let members = options.members.max(1);
    let start = options.upstreams * number / members;
    let end = options.upstreams * (number + 1) / members;
    let upstream = |index: usize| UpstreamInfo {
        name: UpstreamName::from(format!("engine-{index}").as_str()),
        serves: Serves::Model(ModelName::from("tutor")),
        versions: vec!["v1".to_owned()],
    };
    DaemonSpec {
        upstreams: (start..end).map(upstream).collect(),
        ..DaemonSpec::new(&format!("daemon-{number}"), number as u64, Role::Sidecar)
    }
}

async fn wait_until_applied(
    processes: &[Process],
    version: TableVersion,
) -> Result<(), FleetError> {
    for process in processes {
        if !wait_for_version(process, version, APPLY_TIMEOUT).await {
            let name = &process.subscriber.me().name;
            return Err(FleetError(format!(
                "{name} did not apply version {version} within {} s",
                APPLY_TIMEOUT.as_secs()
            )));
        }
    }
    Ok(())
}

/// Submits an edit and returns the time that each subscriber took to apply it.
async fn timed_edit(
    leader: &Process,
    processes: &[Process],
    number: u32,
) -> Result<Vec<Duration>, FleetError> {
    let old = leader.subscriber.store().version();
    let mut waits = Vec::new();
    let started = Instant::now();
    for process in processes {
        let mut versions = process.subscriber.store().versions();
        waits.push(tokio::spawn(async move {
            let newer = versions.wait_for(|version| *version > old).await.is_ok();
            newer.then(|| started.elapsed())
        }));
    }
    let change = workspace_change("workspace-0", Some(100), 2 + number);
    edit(leader, &format!("edit-{number}"), vec![change]).await?;
    let mut times = Vec::new();
    for wait in waits {
        let time = wait.await.ok().flatten();
        times.push(time.ok_or_else(|| {
            FleetError("a subscriber stopped before it applied an edit".to_owned())
        })?);
    }
    Ok(times)
}

/// Times that subscribers took to apply edits, sorted.
#[derive(Default)]
struct ApplyTimes(Vec<Duration>);

impl ApplyTimes {
    fn add(&mut self, times: Vec<Duration>) {
        self.0.extend(times);
        self.0.sort_unstable();
    }

    fn quantile_ms(&self, quantile: f64) -> f64 {
        let last = self.0.len().saturating_sub(1);
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let index = (as_f64(last) * quantile).ceil() as usize;
        let time = self.0.get(index.min(last));
        time.map_or(0.0, |time| time.as_secs_f64() * 1_000.0)
    }
}

/// The process's resource use at the start of a measurement.
struct ResourceMeter {
    started: Instant,
    cpu_seconds: f64,
    traffic: Traffic,
}

impl ResourceMeter {
    fn start() -> Self {
        Self {
            started: Instant::now(),
            cpu_seconds: cpu_seconds(),
            traffic: sent_traffic("control"),
        }
    }

    /// Returns the cost per subscriber and second since the start.
    fn cost(&self, subscribers: usize) -> Cost {
        let traffic = sent_traffic("control");
        let per_subscriber_second =
            1.0 / self.started.elapsed().as_secs_f64() / as_f64(subscribers);
        let sent_bytes = as_f64(traffic.bytes - self.traffic.bytes) * per_subscriber_second;
        let sent_frames = as_f64(traffic.frames - self.traffic.frames) * per_subscriber_second;
        Cost {
            sent_bytes,
            sent_frames,
            wire_bytes: 2.0 * (sent_bytes + sent_frames * FRAME_OVERHEAD_BYTES),
            cpu_percent: (cpu_seconds() - self.cpu_seconds) * per_subscriber_second * 100.0,
        }
    }
}

/// Counts in a measurement are far below 2^53, so the conversion is exact.
#[allow(clippy::cast_precision_loss)]
fn as_f64(count: impl TryInto<u64>) -> f64 {
    count.try_into().map_or(f64::NAN, |count: u64| count as f64)
}
