//! Metrics of the replicated log, labelled by instance name.

use std::sync::OnceLock;
use std::time::Duration;

use prometheus::{
    Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts,
};

use crate::adapters::telemetry::registry;
use crate::domain::log::{QuorumStatus, RoleName, Status};

struct Families {
    role: IntGaugeVec,
    term: IntGaugeVec,
    commit: IntGaugeVec,
    voters: IntGaugeVec,
    answering_voters: IntGaugeVec,
    sync_seconds: HistogramVec,
    elections: IntCounterVec,
    sent_bytes: IntCounterVec,
    dropped_messages: IntCounterVec,
    disk_bytes: IntGaugeVec,
}

static FAMILIES: OnceLock<Families> = OnceLock::new();

const LABELS: [&str; 1] = ["instance"];

fn gauge(name: &str, help: &str) -> IntGaugeVec {
    let family =
        IntGaugeVec::new(Opts::new(name, help), &LABELS).expect("constant options are valid");
    // Registration fails only for a duplicate name, which the `OnceLock` prevents.
    let _ = registry().register(Box::new(family.clone()));
    family
}

fn counter(name: &str, help: &str) -> IntCounterVec {
    let family =
        IntCounterVec::new(Opts::new(name, help), &LABELS).expect("constant options are valid");
    let _ = registry().register(Box::new(family.clone()));
    family
}

fn histogram(name: &str, help: &str) -> HistogramVec {
    let buckets = vec![
        0.000_5, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.5, 2.0,
    ];
    let opts = HistogramOpts::new(name, help).buckets(buckets);
    let family = HistogramVec::new(opts, &LABELS).expect("constant options are valid");
    let _ = registry().register(Box::new(family.clone()));
    family
}

fn families() -> &'static Families {
    FAMILIES.get_or_init(|| Families {
        role: gauge("lilac_log_role", "0 follower, 1 candidate, 2 leader."),
        term: gauge("lilac_log_term", "Term of the replica."),
        commit: gauge("lilac_log_commit", "Commit index."),
        voters: gauge(
            "lilac_log_voters",
            "Voters, as last counted by a leader or a candidate.",
        ),
        answering_voters: gauge(
            "lilac_log_answering_voters",
            "Voters that answered, as last counted by a leader or a candidate.",
        ),
        sync_seconds: histogram("lilac_log_sync_seconds", "Time of one write and sync."),
        elections: counter(
            "lilac_log_elections_total",
            "Elections that the replica started.",
        ),
        sent_bytes: counter(
            "lilac_log_sent_bytes_total",
            "Bytes of messages sent to replicas.",
        ),
        dropped_messages: counter(
            "lilac_log_dropped_messages_total",
            "Messages of other replicas that were dropped because the log had stopped or its queue was full.",
        ),
        disk_bytes: gauge(
            "lilac_log_disk_bytes",
            "Bytes of the segments and the snapshot in the data folder.",
        ),
    })
}

/// The metrics of one replica.
#[derive(Clone)]
pub(super) struct Metrics {
    role: IntGauge,
    term: IntGauge,
    commit: IntGauge,
    voters: IntGauge,
    answering_voters: IntGauge,
    sync_seconds: Histogram,
    elections: IntCounter,
    pub sent_bytes: IntCounter,
    pub dropped_messages: IntCounter,
    disk_bytes: IntGauge,
}

impl Metrics {
    pub fn new(instance: &str) -> Self {
        let families = families();
        let labels = [instance];
        Self {
            role: families.role.with_label_values(&labels),
            term: families.term.with_label_values(&labels),
            commit: families.commit.with_label_values(&labels),
            voters: families.voters.with_label_values(&labels),
            answering_voters: families.answering_voters.with_label_values(&labels),
            sync_seconds: families.sync_seconds.with_label_values(&labels),
            elections: families.elections.with_label_values(&labels),
            sent_bytes: families.sent_bytes.with_label_values(&labels),
            dropped_messages: families.dropped_messages.with_label_values(&labels),
            disk_bytes: families.disk_bytes.with_label_values(&labels),
        }
    }

    pub fn observe_sync(&self, time: Duration) {
        self.sync_seconds.observe(time.as_secs_f64());
    }

    pub fn add_elections(&self, count: u64) {
        self.elections.inc_by(count);
    }

    pub fn set_disk_bytes(&self, bytes: u64) {
        self.disk_bytes
            .set(i64::try_from(bytes).unwrap_or(i64::MAX));
    }

    pub fn set_quorum(&self, quorum: &QuorumStatus) {
        let number = |value: usize| i64::try_from(value).unwrap_or(i64::MAX);
        self.voters.set(number(quorum.voters));
        self.answering_voters.set(number(quorum.answering));
    }

    pub fn set_status(&self, status: &Status) {
        let number = |value: u64| i64::try_from(value).unwrap_or(i64::MAX);
        self.role.set(match status.role {
            RoleName::Follower => 0,
            RoleName::Candidate => 1,
            RoleName::Leader => 2,
        });
        self.term.set(number(status.term));
        self.commit.set(number(status.commit));
    }
}
