//! Options, settings and role state of a replica.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::types::{Config, Entry, HardState, NodeId, Snapshot};

/// Safety mechanisms and membership rules. The mechanisms are on by default; tests switch them off
/// to show that the resulting faults are detected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[allow(clippy::struct_excessive_bools)]
pub struct Options {
    pub pre_vote: bool,
    pub quorum_check: bool,
    /// Reads need a leader lease or a confirmed heartbeat round, and voters refuse their vote while
    /// the lease of a leader may be valid.
    pub lease_checks: bool,
    /// Acknowledgements and votes are sent only after the sync that they depend on.
    pub sync_before_ack: bool,
    /// The leader removes a member that it has not heard from for this long, but never a voter below
    /// `min_voters`. A voter without which as many losses are tolerated, or for which a learner is
    /// ready, is removed sooner. `None` keeps silent members, for clusters whose members are named in
    /// the settings.
    pub drop_silent_ms: Option<u64>,
    /// Voters that have to remain when a silent one is removed without a replacement.
    pub min_voters: usize,
    /// Members beyond this number stay learners, because each voter adds to the acknowledgements
    /// that a commit waits for.
    pub max_voters: usize,
}

/// Nine voters tolerate the loss of four; the fleet may reserve no more instances for control.
const MAX_VOTERS: usize = 9;

/// The fewest voters that tolerate the loss of one.
const MIN_VOTERS: usize = 3;

impl Default for Options {
    fn default() -> Self {
        Self {
            pre_vote: true,
            quorum_check: true,
            lease_checks: true,
            sync_before_ack: true,
            drop_silent_ms: None,
            min_voters: MIN_VOTERS,
            max_voters: MAX_VOTERS,
        }
    }
}

/// Timing and snapshot settings of a replica.
#[derive(Debug, Clone, Copy)]
pub struct ReplicaSettings {
    /// Shortest election timeout; random timeouts are up to twice as long.
    pub election_ms: u64,
    /// Number of applied entries between snapshots.
    pub snapshot_entries: u64,
}

impl ReplicaSettings {
    /// Returns the time between heartbeats.
    pub fn heartbeat_ms(&self) -> u64 {
        (self.election_ms / 5).max(1)
    }

    /// Returns how long an acknowledgement extends the leader's lease. Voters refuse votes for the
    /// whole election timeout; the difference allows for clocks that run at different rates.
    pub(super) fn lease_ms(&self) -> u64 {
        self.election_ms - self.election_ms / 10
    }
}

/// What a data folder held when it was opened.
#[derive(Debug, Clone, Default)]
pub struct RecoveredState {
    pub hard_state: HardState,
    pub snapshot: Option<Arc<Snapshot>>,
    /// Contiguous entries that follow the snapshot.
    pub entries: Vec<Entry>,
}

/// The role of a replica, as shown in its status.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RoleName {
    Follower,
    Candidate,
    Leader,
}

/// How many voters answer this replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuorumStatus {
    pub voters: usize,
    /// Voters that answered the leader within the election timeout, or the last campaign of a
    /// candidate; including this replica.
    pub answering: usize,
    pub has_majority: bool,
}

/// A summary of a replica.
#[derive(Debug, Clone)]
pub struct Status {
    pub id: NodeId,
    pub role: RoleName,
    pub term: u64,
    /// The leader of the term; `None` if it is unknown.
    pub leader: Option<NodeId>,
    pub config: Option<Config>,
    /// Index of the last entry of the log.
    pub last: u64,
    pub commit: u64,
    pub applied: u64,
    /// Index of the last entry that is synced to this replica's disk.
    pub synced: u64,
    /// Index of the first entry of the term; `None` on replicas that do not lead.
    pub term_first_index: Option<u64>,
}

/// The leader's view of another replica.
#[derive(Debug, Clone, Default)]
pub(super) struct Progress {
    /// Index of the next entry to send.
    pub next: u64,
    /// Highest index up to which the follower's synced log is known to match the leader's.
    pub matched: u64,
    /// True until the follower's log is known to match at `next - 1`; no entries are sent before.
    pub probing: bool,
    pub last_contact_ms: u64,
    /// When the latest acknowledged message was sent, on the leader's clock.
    pub acked_sent_ms: Option<u64>,
    pub acked_round: u64,
    pub sent_commit: u64,
    pub outgoing_snapshot: Option<super::transfer::OutgoingSnapshot>,
    /// For a learner: the commit index that it has to reach, and when this target was set.
    pub catch_up_target: Option<(u64, u64)>,
}

/// State that exists only while a replica leads.
#[derive(Debug, Default)]
pub(super) struct LeaderState {
    pub progress: BTreeMap<NodeId, Progress>,
    /// Index of the empty entry of the term; until it is committed, the commit index may be
    /// outdated.
    pub first_index: u64,
    /// Number of the latest heartbeat round.
    pub round: u64,
    pub heartbeat_due_ms: u64,
    pub reads: Vec<super::reads::LeaderRead>,
    /// Members that have asked to leave, and until when the request holds.
    pub leaving: BTreeMap<NodeId, u64>,
    /// The receiver and the deadline of a leadership transfer; while set, proposals are refused.
    pub leadership_transfer: Option<(NodeId, u64)>,
}

#[derive(Debug)]
pub(super) enum Role {
    Follower,
    /// Collects pre-votes and then votes.
    Candidate {
        pre: bool,
        transfer: bool,
        votes: BTreeMap<NodeId, bool>,
    },
    Leader(Box<LeaderState>),
}
