//! Measures the replicated state machine at its design size: time to apply commands, sizes of
//! deltas and snapshots, and memory.

use std::any::Any;
use std::fmt;
use std::fs;
use std::time::Instant;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::domain::members::{Member, Phase, Role, Serves, UpstreamInfo};
use crate::domain::state::{Claimed, Command, EditId, KeyId, RowChange, State, View, ViewDelta};
use crate::domain::table::{ModelRow, Row, RowKey, WorkspaceRow};
use crate::model::{Fence, GenerationId, Incarnation, InstanceRef};
use crate::rpc::{decode, encode};

const WORKSPACES: usize = 20_000;
const MEMBERS: usize = 400;
const UPSTREAMS: usize = 2_700;
const MODELS: usize = 13;
/// Configuration changes per day.
const EDITS: usize = 12_000;
const CLAIMS: usize = 200_000;
/// Copies of a value whose memory is measured together.
const COPIES: usize = 4;

/// Timestamp of the commands, in November 2023. Only differences between timestamps matter.
const START_MS: u64 = 1_700_000_000_000;

/// One measured value. A name with leading spaces belongs to the measure above it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Measure {
    pub name: String,
    pub value: f64,
    pub unit: String,
}

/// All measured values. Displayed as a table; serialised as JSON.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct StateReport {
    pub measures: Vec<Measure>,
}

impl fmt::Display for StateReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for Measure { name, value, unit } in &self.measures {
            writeln!(f, "{name:<52} {value:>14.2} {unit}")?;
        }
        Ok(())
    }
}

/// Runs all measurements in sequence on one thread.
pub fn run() -> StateReport {
    let mut bench = StateBench {
        state: State::default(),
        index: 0,
        report: StateReport::default(),
        measured_copies: Vec::new(),
    };
    bench.workspaces();
    bench.members();
    bench.view_and_state_memory();
    bench.edits();
    bench.phases();
    bench.snapshot("without claims");
    bench.claims();
    bench.snapshot("with claims");
    bench.expiry();
    bench.report
}

struct StateBench {
    state: State,
    /// Log index of the last applied command.
    index: u64,
    report: StateReport,
    /// Copies whose memory has been measured. They are not dropped, because the allocator would
    /// reuse their memory and the next measurement of resident memory would miss it.
    measured_copies: Vec<Box<dyn Any>>,
}

impl StateBench {
    fn add(&mut self, name: &str, value: f64, unit: &str) {
        self.report.measures.push(Measure {
            name: name.to_owned(),
            value,
            unit: unit.to_owned(),
        });
    }

    fn apply(&mut self, command: &Command) -> Option<ViewDelta> {
        self.index += 1;
        self.state.apply(self.index, command).1
    }

    fn edit(&mut self, changes: Vec<RowChange>) -> Command {
        Command::Edit {
            id: EditId(format!("{:032x}", self.index)),
            author: "operator".to_owned(),
            base: self.state.view().version,
            changes,
            now_ms: START_MS,
        }
    }

    fn workspaces(&mut self) {
        let models = (0..MODELS).map(|number| RowChange {
            key: RowKey::Model(format!("model-{number:02}").as_str().into()),
            row: Some(Row::Model(ModelRow {
                version: "v1".to_owned(),
                prepare_version: None,
                adapter: None,
            })),
        });
        let command = self.edit(models.collect());
        self.apply(&command);
        let changes = (0..WORKSPACES).map(|number| workspace(number, 1)).collect();
        let command = self.edit(changes);
        let started = Instant::now();
        let delta = self.apply(&command);
        self.add("one edit of 20,000 workspaces", elapsed_ms(started), "ms");
        self.add("  its command", encoded_bytes(&command), "bytes");
        self.add("  its delta", encoded_bytes(&delta), "bytes");
    }

    fn members(&mut self) {
        let mut times = histogram();
        let mut total_bytes = 0.0;
        for number in 0..MEMBERS {
            let first = UPSTREAMS * number / MEMBERS;
            let last = UPSTREAMS * (number + 1) / MEMBERS;
            let command = Command::Register {
                member: member(number, first..last),
                now_ms: START_MS,
            };
            let started = Instant::now();
            let delta = self.apply(&command);
            record_elapsed(&mut times, started);
            total_bytes += encoded_bytes(&delta);
        }
        self.add_times("register (400 members, 2,700 upstreams)", &times);
        self.add("  mean delta", total_bytes / to_f64(MEMBERS), "bytes");
    }

    /// Measures the memory of the view, which every process keeps, and of the whole state, which
    /// only control keeps.
    fn view_and_state_memory(&mut self) {
        let view = encode(self.state.view()).unwrap_or_default();
        let (views, growth_kib) =
            resident_growth_kib(|| make_copies(|| decode::<View>(&view).ok()));
        self.measured_copies.push(Box::new(views));
        self.add("memory of the view", growth_kib / to_f64(COPIES), "KiB");
        let snapshot = self.state.snapshot();
        let (states, growth_kib) =
            resident_growth_kib(|| make_copies(|| State::restore(&snapshot).ok()));
        self.measured_copies.push(Box::new(states));
        self.add(
            "memory of the whole state",
            growth_kib / to_f64(COPIES),
            "KiB",
        );
        let view_bytes = encoded_bytes(self.state.view());
        self.add("encoded view", view_bytes, "bytes");
    }

    fn edits(&mut self) {
        let mut times = histogram();
        let mut total_bytes = 0.0;
        for number in 0..EDITS {
            let change = workspace(number * 7_919 % WORKSPACES, 2);
            let command = self.edit(vec![change]);
            let started = Instant::now();
            let delta = self.apply(&command);
            record_elapsed(&mut times, started);
            total_bytes += encoded_bytes(&delta);
        }
        self.add_times("edit of one workspace", &times);
        self.add("  mean delta", total_bytes / to_f64(EDITS), "bytes");
        let audit_bytes = self.state.edits().audit.total_bytes();
        self.add(
            "  audit trail of 12,000 edits",
            to_f64(audit_bytes),
            "bytes",
        );
    }

    fn phases(&mut self) {
        let mut times = histogram();
        let mut total_bytes = 0.0;
        for number in 0..MEMBERS {
            let member = member(number, 0..0);
            let command = Command::SetPhase {
                instance: InstanceRef {
                    name: member.name,
                    incarnation: member.incarnation,
                },
                phase: Phase::Leaving,
                now_ms: START_MS,
            };
            let started = Instant::now();
            let delta = self.apply(&command);
            record_elapsed(&mut times, started);
            total_bytes += encoded_bytes(&delta);
        }
        self.add_times("phase of one member", &times);
        self.add("  mean delta", total_bytes / to_f64(MEMBERS), "bytes");
    }

    fn claims(&mut self) {
        let before_bytes = self.state.snapshot().len();
        let commands: Vec<_> = (0..CLAIMS).map(claim).collect();
        let mut times = histogram();
        let ((), growth_kib) = resident_growth_kib(|| {
            for command in &commands {
                let started = Instant::now();
                self.apply(command);
                record_elapsed(&mut times, started);
            }
        });
        self.add_times("claim", &times);
        self.add(
            "  memory per claim",
            growth_kib * 1024.0 / to_f64(CLAIMS),
            "bytes",
        );
        let snapshot_bytes = self.state.snapshot().len() - before_bytes;
        let per_claim = to_f64(snapshot_bytes) / to_f64(CLAIMS);
        self.add("  snapshot per claim", per_claim, "bytes");
    }

    fn expiry(&mut self) {
        let command = Command::Finish {
            key: key(0),
            generation: GenerationId(0),
            now_ms: START_MS + 3_600_000,
        };
        let started = Instant::now();
        self.apply(&command);
        self.add(
            "expiry of all 200,000 claims at once",
            elapsed_ms(started),
            "ms",
        );
    }

    fn snapshot(&mut self, name: &str) {
        let started = Instant::now();
        let snapshot = self.state.snapshot();
        self.add(
            &format!("snapshot {name}: encode"),
            elapsed_ms(started),
            "ms",
        );
        self.add("  size", to_f64(snapshot.len()), "bytes");
        let started = Instant::now();
        let restored = State::restore(&snapshot);
        self.add("  restore", elapsed_ms(started), "ms");
        assert!(
            restored.as_ref() == Ok(&self.state),
            "the state restored from the snapshot differs from the original"
        );
    }

    fn add_times(&mut self, name: &str, times: &Histogram<u64>) {
        let to_us = |ns: u64| to_f64(usize::try_from(ns).unwrap_or(usize::MAX)) / 1_000.0;
        self.add(&format!("{name}: mean"), times.mean() / 1_000.0, "us");
        self.add("  p99", to_us(times.value_at_quantile(0.99)), "us");
        self.add("  max", to_us(times.max()), "us");
    }
}

/// Makes several copies, so that the reuse of freed memory, which does not show as growth, distorts
/// the mean less.
fn make_copies<T>(make: impl Fn() -> T) -> Vec<T> {
    (0..COPIES).map(|_| make()).collect()
}

fn workspace(number: usize, weight: u32) -> RowChange {
    RowChange {
        key: RowKey::Workspace(format!("workspace-{number:05}").as_str().into()),
        row: Some(Row::Workspace(WorkspaceRow {
            weight,
            room_slots: Some(8),
            api_key_sha256: Some(format!("{number:064x}")),
            max_tokens: 32_768,
        })),
    }
}

fn member(number: usize, upstreams: std::ops::Range<usize>) -> Member {
    let upstreams = upstreams.map(|upstream| UpstreamInfo {
        name: format!("engine-{upstream:04}").as_str().into(),
        serves: Serves::Model(format!("model-{:02}", upstream % MODELS).as_str().into()),
        versions: vec!["v1".to_owned()],
    });
    Member {
        name: format!("daemon-{number:03}").as_str().into(),
        incarnation: Incarnation(u64::MAX / 3 + number as u64),
        fence: Fence(0),
        roles: vec![Role::Sidecar],
        zone: "lakeshore-1".into(),
        rpc_address: ([10, 0, 0, 1], 7_000).into(),
        phase: Phase::Live,
        upstreams: upstreams.collect(),
    }
}

fn key(number: usize) -> KeyId {
    // Spread over 10 s, well within the retention period of keys, so that no claim expires early.
    let created_at_ms = START_MS + number as u64 % 10_000;
    KeyId {
        workspace: format!("workspace-{:05}", number % WORKSPACES)
            .as_str()
            .into(),
        key: format!("{created_at_ms}-{number:022}"),
        created_at_ms,
    }
}

fn claim(number: usize) -> Command {
    Command::Claim {
        key: key(number),
        fingerprint: number as u64,
        claimed: Claimed {
            generation: GenerationId(u128::MAX / 7 + number as u128),
            sidecar: InstanceRef {
                name: format!("daemon-{:03}", number % MEMBERS).as_str().into(),
                incarnation: Incarnation(u64::MAX / 3),
            },
        },
        now_ms: START_MS + 10_000,
    }
}

fn histogram() -> Histogram<u64> {
    const MAX_RECORDED_NS: u64 = 60_000_000_000;
    Histogram::new_with_bounds(1, MAX_RECORDED_NS, 3).expect("the bounds are valid")
}

fn record_elapsed(times: &mut Histogram<u64>, started: Instant) {
    let ns = u64::try_from(started.elapsed().as_nanos()).unwrap_or(u64::MAX);
    times.saturating_record(ns.max(1));
}

/// Returns the encoded size of a value, or zero if it cannot be encoded.
fn encoded_bytes<T: Serialize>(value: &T) -> f64 {
    to_f64(encode(value).map_or(0, |bytes| bytes.len()))
}

fn elapsed_ms(started: Instant) -> f64 {
    started.elapsed().as_secs_f64() * 1_000.0
}

#[allow(clippy::cast_precision_loss)] // counts stay far below 2^52
fn to_f64(value: usize) -> f64 {
    value as f64
}

/// Returns the result of `make` and the growth of resident memory while it ran.
fn resident_growth_kib<T>(make: impl FnOnce() -> T) -> (T, f64) {
    let before = resident_kib();
    let value = make();
    (value, resident_kib() - before)
}

/// Returns the resident memory of this process, or zero on systems without `/proc`.
fn resident_kib() -> f64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().next());
    kib.and_then(|kib| kib.parse().ok()).unwrap_or(0.0)
}
