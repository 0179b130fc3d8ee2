//! Measures the distribution of the view, and the broker of slots, in one process over loopback.

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
use fleet::{DaemonSpec, FleetError, Process, applied, controls, daemon, edit, workspace_change};
use resources::{cpu_seconds, resident_kb};

/// Copies of the view that are made to measure one.
const COPIES: usize = 10;
/// Time in which relays settle and the links of the registration are closed.
const SETTLE: Duration = Duration::from_secs(12);
/// Rows per edit while the table is filled.
const FILL_ROWS: u32 = 1_000;
/// Limit of the wait for one version on all subscribers.
const APPLY_LIMIT: Duration = Duration::from_mins(2);
/// Rough bytes per frame that the codec does not see: length prefix, IP and TCP headers, and the
/// acknowledgement.
const FRAME_OVERHEAD_BYTES: f64 = 4.0 + 52.0 + 52.0;

/// What to measure.
#[derive(Debug, Clone)]
pub struct Options {
    pub subscribers: Vec<usize>,
    pub rows: Vec<u32>,
    /// Registered members, the subscribers included, and the upstreams of all of them.
    pub members: usize,
    pub upstreams: usize,
    /// Length of the measurement without edits.
    pub idle: Duration,
    /// Number of edits and time between them in the measurement of the cost.
    pub edits: u32,
    pub edit_interval: Duration,
    /// Further edits, only for the time until they are in force.
    pub quick_edits: u32,
    /// Entries and workspaces of the broker's measurement.
    pub entries: u32,
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
            quick_edits: 20,
            entries: 31,
            workspaces: 20_000,
        }
    }
}

/// Cost per subscriber and second. It includes the subscriber's share of the control instances.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub struct Cost {
    /// Bytes sent, without length prefixes and headers. Each is received by another process.
    pub sent_bytes: f64,
    pub sent_frames: f64,
    /// Estimate with headers and acknowledgements, both directions.
    pub wire_bytes: f64,
    pub cpu_percent: f64,
}

/// The measurement at one number of subscribers and rows.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Point {
    pub subscribers: usize,
    pub rows: u32,
    pub members: usize,
    pub upstreams: usize,
    /// From the submission of an edit until one subscriber has applied it.
    pub in_force_p50_ms: f64,
    pub in_force_p99_ms: f64,
    /// Until the last subscriber has applied it.
    pub in_force_max_ms: f64,
    pub idle: Cost,
    pub editing: Cost,
    /// Resident memory that each subscriber added, after the edits.
    pub memory_kb: f64,
    /// Size of the encoded view, which a starting process fetches.
    pub snapshot_bytes: usize,
    /// Time and memory of one copy of the view. An edit makes a copy where the old view is in use.
    pub copy_ms: f64,
    pub copy_kb: f64,
}

/// All measurements.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Report {
    /// Time between edits in the measurement of the cost.
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
            // Writing to a string does not fail.
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

/// Measures every combination of the options, one after the other.
///
/// Connections of a large fleet take a while to close and add to the traffic of the next point, so
/// few subscribers after many are measured in a process of their own.
pub async fn run(options: &Options) -> Result<Report, FleetError> {
    let mut points = Vec::new();
    for rows in &options.rows {
        for subscribers in &options.subscribers {
            points.push(measure(options, *subscribers, *rows).await?);
        }
    }
    let active = [
        options.workspaces / 100,
        options.workspaces / 10,
        options.workspaces,
    ];
    let brokers = active
        .iter()
        .map(|workspaces| broker::measure(options.entries, *workspaces))
        .collect();
    Ok(Report {
        edit_interval_s: options.edit_interval.as_secs_f64(),
        points,
        brokers,
    })
}

async fn measure(options: &Options, count: usize, rows: u32) -> Result<Point, FleetError> {
    let controls = controls(3, crate::roles::subscriber::MAX_WATCHERS).await?;
    let leader = &controls[0];
    fill(leader, options, count, rows).await?;
    let addresses: Vec<SocketAddr> = controls.iter().map(|control| control.address).collect();
    let before_kb = resident_kb();
    let mut processes = Vec::new();
    for number in 0..count {
        processes.push(daemon(&spec(options, number), &addresses).await?);
    }
    let version = leader.subscriber.store().version();
    wait_applied(&processes, version).await?;
    sleep(SETTLE).await;
    let meter = Meter::start();
    sleep(options.idle).await;
    let idle = meter.cost(count);

    let mut times = Times::default();
    let meter = Meter::start();
    for number in 0..options.edits {
        let began = Instant::now();
        times.add(timed_edit(leader, &processes, number).await?);
        sleep(options.edit_interval.saturating_sub(began.elapsed())).await;
    }
    let editing = meter.cost(count);
    for number in 0..options.quick_edits {
        times.add(timed_edit(leader, &processes, options.edits + number).await?);
        sleep(Duration::from_millis(50)).await;
    }
    let memory_kb = (resident_kb() - before_kb) / as_f64(count);
    let copy = measure_copy(leader);
    Ok(Point {
        subscribers: count,
        rows,
        members: options.members,
        upstreams: options.upstreams,
        in_force_p50_ms: times.quantile_ms(0.5),
        in_force_p99_ms: times.quantile_ms(0.99),
        in_force_max_ms: times.quantile_ms(1.0),
        idle,
        editing,
        memory_kb,
        snapshot_bytes: encode(&*leader.subscriber.view()).map_or(0, |bytes| bytes.len()),
        copy_ms: copy.0,
        copy_kb: copy.1,
    })
}

/// Returns the time in milliseconds and the kilobytes of one copy of the view.
fn measure_copy(process: &Process) -> (f64, f64) {
    let view = process.subscriber.view();
    let (before_kb, began) = (resident_kb(), Instant::now());
    let copies: Vec<View> = (0..COPIES).map(|_| (*view).clone()).collect();
    let copy_ms = began.elapsed().as_secs_f64() * 1_000.0 / as_f64(copies.len());
    (copy_ms, (resident_kb() - before_kb) / as_f64(copies.len()))
}

/// Fills the table and registers the members that have no process in this measurement.
async fn fill(
    leader: &Process,
    options: &Options,
    count: usize,
    rows: u32,
) -> Result<(), FleetError> {
    for start in (0..rows).step_by(FILL_ROWS as usize) {
        let numbers = start..rows.min(start + FILL_ROWS);
        let changes = numbers
            .map(|number| workspace_change(&format!("workspace-{number}"), Some(100), 1))
            .collect();
        edit(leader, &format!("fill-{start}"), changes).await?;
    }
    for number in count..options.members {
        let command = spec(options, number).registration(leader.address);
        leader.subscriber.submit(&command, APPLY_LIMIT).await?;
    }
    Ok(())
}

fn spec(options: &Options, number: usize) -> DaemonSpec {
    let members = options.members.max(1);
    let first = options.upstreams * number / members;
    let after = options.upstreams * (number + 1) / members;
    let upstream = |index: usize| UpstreamInfo {
        name: UpstreamName::from(format!("engine-{index}").as_str()),
        serves: Serves::Model(ModelName::from("tutor")),
        versions: vec!["v1".to_owned()],
    };
    DaemonSpec {
        upstreams: (first..after).map(upstream).collect(),
        ..DaemonSpec::new(&format!("daemon-{number}"), number as u64, Role::Sidecar)
    }
}

async fn wait_applied(processes: &[Process], version: TableVersion) -> Result<(), FleetError> {
    for process in processes {
        if !applied(process, version, APPLY_LIMIT).await {
            let name = &process.subscriber.me().name;
            return Err(FleetError(format!("{name} has not applied {version}")));
        }
    }
    Ok(())
}

/// Submits an edit and returns the times until each subscriber had applied it.
async fn timed_edit(
    leader: &Process,
    processes: &[Process],
    number: u32,
) -> Result<Vec<Duration>, FleetError> {
    let old = leader.subscriber.store().version();
    let mut waits = Vec::new();
    let began = Instant::now();
    for process in processes {
        let mut versions = process.subscriber.store().versions();
        waits.push(tokio::spawn(async move {
            let newer = versions.wait_for(|version| *version > old).await.is_ok();
            newer.then(|| began.elapsed())
        }));
    }
    let change = workspace_change("workspace-0", Some(100), 2 + number);
    edit(leader, &format!("edit-{number}"), vec![change]).await?;
    let mut times = Vec::new();
    for wait in waits {
        let time = wait.await.ok().flatten();
        times.push(time.ok_or_else(|| FleetError("a subscriber has ended".to_owned()))?);
    }
    Ok(times)
}

#[derive(Default)]
struct Times(Vec<Duration>);

impl Times {
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

/// The use of resources since a moment.
struct Meter {
    began: Instant,
    cpu_seconds: f64,
    traffic: Traffic,
}

impl Meter {
    fn start() -> Self {
        Self {
            began: Instant::now(),
            cpu_seconds: cpu_seconds(),
            traffic: sent_traffic("control"),
        }
    }

    fn cost(&self, subscribers: usize) -> Cost {
        let traffic = sent_traffic("control");
        let per_second = 1.0 / self.began.elapsed().as_secs_f64() / as_f64(subscribers);
        let sent_bytes = as_f64(traffic.bytes - self.traffic.bytes) * per_second;
        let sent_frames = as_f64(traffic.frames - self.traffic.frames) * per_second;
        Cost {
            sent_bytes,
            sent_frames,
            wire_bytes: 2.0 * (sent_bytes + sent_frames * FRAME_OVERHEAD_BYTES),
            cpu_percent: (cpu_seconds() - self.cpu_seconds) * per_second * 100.0,
        }
    }
}

/// Counts in a measurement are far below the 2^53 that a float holds exactly.
#[allow(clippy::cast_precision_loss)]
fn as_f64(count: impl TryInto<u64>) -> f64 {
    count.try_into().map_or(f64::NAN, |count: u64| count as f64)
}
