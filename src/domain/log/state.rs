//! Options, limits and the state of a role.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::types::{Config, Entry, HardState, NodeId, Snapshot};

/// Mechanisms that tests switch off to see their proofs fail. All are on by default.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[allow(clippy::struct_excessive_bools)]
pub struct Options {
    pub pre_vote: bool,
    pub quorum_check: bool,
    /// Reads wait for a lease or a read round, and voters respect the lease of a leader.
    pub lease_checks: bool,
    /// Acknowledgements and votes are sent only after the sync that they depend on.
    pub sync_before_ack: bool,
    /// The leader removes a voter that was silent for this long, if three voters remain that all
    /// answer. None keeps silent voters, for groups whose members are named in their settings.
    pub drop_silent_ms: Option<u64>,
    /// Further members stay learners. Each voter adds to what every commit waits for.
    pub max_voters: usize,
}

/// Nine voters bear the loss of four; the fleet may set aside no more instances for control.
const MAX_VOTERS: usize = 9;

impl Default for Options {
    fn default() -> Self {
        Self {
            pre_vote: true,
            quorum_check: true,
            lease_checks: true,
            sync_before_ack: true,
            drop_silent_ms: None,
            max_voters: MAX_VOTERS,
        }
    }
}

/// Times and sizes of a replica.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Shortest election timeout; the longest is twice as long.
    pub election_ms: u64,
    /// Applied entries between snapshots.
    pub snapshot_entries: u64,
}

impl Limits {
    /// Returns the time between heartbeats.
    pub fn heartbeat_ms(&self) -> u64 {
        (self.election_ms / 5).max(1)
    }

    /// Returns the time for which an acknowledgement supports a lease. Voters hold back votes for
    /// the whole election timeout; the difference allows for clocks that run at different rates.
    pub(super) fn lease_ms(&self) -> u64 {
        self.election_ms - self.election_ms / 10
    }
}

/// What a data folder held when it was opened.
#[derive(Debug, Clone, Default)]
pub struct Recovered {
    pub hard_state: HardState,
    pub snapshot: Option<Arc<Snapshot>>,
    /// Contiguous, beginning after the snapshot.
    pub entries: Vec<Entry>,
}

/// The role of a replica, as shown in its status.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RoleName {
    Follower,
    Candidate,
    Leader,
}

/// A summary of a replica.
#[derive(Debug, Clone)]
pub struct Status {
    pub id: NodeId,
    pub role: RoleName,
    pub term: u64,
    pub leader: Option<NodeId>,
    pub config: Option<Config>,
    pub last: u64,
    pub commit: u64,
    pub applied: u64,
    pub synced: u64,
    /// The first entry of the term, at its leader.
    pub term_first_index: Option<u64>,
}

/// What a leader knows of another replica.
#[derive(Debug, Clone, Default)]
pub(super) struct Progress {
    pub next: u64,
    pub matched: u64,
    /// True until the follower's log is known to match at `next - 1`; no entries are sent before.
    pub probing: bool,
    pub last_contact_ms: u64,
    /// Send time of the latest message that was answered.
    pub acked_sent_ms: Option<u64>,
    pub acked_round: u64,
    pub sent_commit: u64,
    pub outgoing_snapshot: Option<super::transfer::OutgoingSnapshot>,
    /// For learners: the commit index that it has to reach, and when that was set.
    pub catch_up_target: Option<(u64, u64)>,
}

#[derive(Debug, Default)]
pub(super) struct LeaderState {
    pub progress: BTreeMap<NodeId, Progress>,
    /// The empty entry of the term; nothing is known to be committed before it is.
    pub first_index: u64,
    pub round: u64,
    pub heartbeat_due_ms: u64,
    pub reads: Vec<super::reads::LeaderRead>,
    /// Set while leadership is being handed over: no proposals are taken.
    pub hand_over: Option<(NodeId, u64)>,
}

#[derive(Debug)]
pub(super) enum Role {
    Follower,
    /// Collects pre-votes, then votes.
    Candidate {
        pre: bool,
        transfer: bool,
        votes: BTreeMap<NodeId, bool>,
    },
    Leader(Box<LeaderState>),
}
