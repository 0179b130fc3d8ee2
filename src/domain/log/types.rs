//! Entries, messages and outputs of the log core.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::model::InstanceName;

/// The identity of a replica's data folder. A replica whose folder was lost gets a new identity.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NodeId(pub u64);

impl fmt::Display for NodeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// How a member counts towards majorities. While a voter is being replaced, two configurations are
/// in force together, and votes and commits need a majority of each.
///
/// The stored form of the first two is that of the flag that earlier versions stored.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Suffrage {
    /// Receives the log but does not vote.
    Learner,
    /// Votes; during a replacement, in both configurations.
    Voter,
    /// Votes in the new configuration only.
    Incoming,
    /// Votes in the old configuration only.
    Outgoing,
}

/// One replica of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    pub name: InstanceName,
    pub address: SocketAddr,
    pub suffrage: Suffrage,
    /// Index of the entry that added this identity. Of two identities with the same name, the one
    /// with the higher index is newer.
    pub since: u64,
}

/// The membership of the cluster.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Config {
    /// Random id that is set when the cluster is formed; messages from other clusters are dropped.
    pub cluster: u64,
    pub members: BTreeMap<NodeId, Member>,
}

impl Config {
    /// Returns the identities that vote.
    pub fn voters(&self) -> impl Iterator<Item = NodeId> + '_ {
        self.members
            .iter()
            .filter(|(_, member)| member.suffrage != Suffrage::Learner)
            .map(|(id, _)| *id)
    }

    /// Returns true if the identity votes.
    pub fn is_voter(&self, id: NodeId) -> bool {
        self.members
            .get(&id)
            .is_some_and(|member| member.suffrage != Suffrage::Learner)
    }

    /// Returns true if the voters for which `agrees` holds make a majority; during a replacement, of
    /// the old and of the new configuration.
    pub fn has_majority(&self, agrees: impl Fn(NodeId) -> bool) -> bool {
        self.reached_by_quorum(|voter| u64::from(agrees(voter))) > 0
    }

    /// Returns the value that a majority has reached, given the value of each voter.
    pub(super) fn reached_by_quorum(&self, value: impl Fn(NodeId) -> u64) -> u64 {
        let reached = |left_out: Suffrage| {
            let mut values: Vec<u64> = self
                .members
                .iter()
                .filter(|(_, member)| {
                    member.suffrage != Suffrage::Learner && member.suffrage != left_out
                })
                .map(|(id, _)| value(*id))
                .collect();
            values.sort_unstable_by(|a, b| b.cmp(a));
            values.get(values.len() / 2).copied().unwrap_or(0)
        };
        reached(Suffrage::Incoming).min(reached(Suffrage::Outgoing))
    }

    /// Returns true while a voter is being replaced.
    pub(super) fn is_joint(&self) -> bool {
        self.members
            .values()
            .any(|member| matches!(member.suffrage, Suffrage::Incoming | Suffrage::Outgoing))
    }

    /// Returns the configuration after the replacement that is under way.
    pub(super) fn after_replacement(&self) -> Self {
        let mut config = self.clone();
        config
            .members
            .retain(|_, member| member.suffrage != Suffrage::Outgoing);
        for member in config.members.values_mut() {
            if member.suffrage == Suffrage::Incoming {
                member.suffrage = Suffrage::Voter;
            }
        }
        config
    }
}

/// The content of an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// First entry of a term; committing it also commits the entries of earlier terms.
    Empty,
    Command(Vec<u8>),
    /// Takes effect as soon as it is appended to the log, before it is committed.
    Config(Config),
}

/// One entry of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    pub index: u64,
    pub term: u64,
    pub payload: Payload,
}

impl Entry {
    /// Returns the approximate encoded size.
    pub fn size_bytes(&self) -> usize {
        match &self.payload {
            Payload::Empty => 16,
            Payload::Command(bytes) => 24 + bytes.len(),
            Payload::Config(config) => 32 + 96 * config.members.len(),
        }
    }
}

/// The term and vote that a voter must persist before it answers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    pub term: u64,
    pub vote: Option<NodeId>,
}

/// The state machine after the entry at `index`, with the configuration in force there.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    pub index: u64,
    pub term: u64,
    pub config: Config,
    pub config_index: u64,
    pub data: Vec<u8>,
}

/// A message body with the fields that every message carries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Packet {
    /// The sender's cluster; `None` while it belongs to none.
    pub cluster: Option<u64>,
    /// Address to which answers are sent.
    pub address: SocketAddr,
    pub term: u64,
    pub body: Body,
}

/// The messages between replicas.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Asks for a vote. A pre-vote asks whether a vote would be granted, and changes nothing.
    Vote {
        pre: bool,
        /// True if the leader requested this election; voters then ignore its lease.
        transfer: bool,
        last_index: u64,
        last_term: u64,
    },
    VoteReply {
        pre: bool,
        granted: bool,
    },
    Append {
        prev_index: u64,
        prev_term: u64,
        commit: u64,
        echo: Echo,
        entries: Vec<Arc<Entry>>,
    },
    /// The follower's synced log matches the leader's up to `matched`.
    Appended {
        matched: u64,
        echo: Echo,
    },
    /// The follower has no matching entry at `prev_index`; the leader should send from `next` on.
    Mismatch {
        prev_index: u64,
        next: u64,
        echo: Echo,
    },
    /// A part of an encoded snapshot.
    Piece {
        index: u64,
        term: u64,
        offset: u64,
        total: u64,
        data: Vec<u8>,
        echo: Echo,
    },
    /// The follower has the snapshot up to `offset`.
    PieceReply {
        index: u64,
        offset: u64,
        echo: Echo,
    },
    /// The leader has stepped down; the receiver should start an election at once.
    TimeoutNow,
    /// Asks the leader for a commit index that was current at some time after the request was sent.
    Read {
        id: u64,
    },
    ReadReply {
        id: u64,
        /// `None` if the sender cannot confirm that it leads.
        index: Option<u64>,
    },
    /// Asks the leader to add the sender as a learner, or to record its new address.
    Join {
        name: InstanceName,
    },
    /// Asks the leader to end the membership of the sender, which is about to stop.
    Leave,
    /// The sender of `Leave` is removed, or keeps its vote.
    LeaveReply {
        is_removed: bool,
    },
}

/// Data that the leader adds to a message and the follower returns unchanged in its answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// The leader's clock when it sent the message, in milliseconds.
    pub sent_ms: u64,
    /// The heartbeat round of the message; an answer confirms reads up to this round.
    pub round: u64,
}

/// A snapshot to persist.
#[derive(Debug, Clone)]
pub struct SnapshotWrite {
    pub snapshot: Arc<Snapshot>,
    /// True if the snapshot replaces the whole log; it is then written before the entries.
    pub replaces_log: bool,
    /// Entries up to and including this index are no longer needed.
    pub keep_after: u64,
}

/// Data that has to be written and synced before `Output::after_persist` is sent.
#[derive(Debug, Clone, Default)]
pub struct Persist {
    pub hard_state: Option<HardState>,
    /// Contiguous entries; the first one replaces all stored entries from its index on.
    pub entries: Vec<Arc<Entry>>,
    pub snapshot: Option<SnapshotWrite>,
}

impl Persist {
    /// Returns true if there is nothing to write.
    pub fn is_empty(&self) -> bool {
        self.hard_state.is_none() && self.entries.is_empty() && self.snapshot.is_none()
    }
}

/// The result of a read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReadDone {
    pub id: u64,
    /// The index applied when the read was answered; `None` if no leader confirmed the read.
    pub index: Option<u64>,
}

/// A broken invariant.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    pub name: &'static str,
    pub detail: String,
}

/// What the caller has to do; the module's documentation describes the order.
#[derive(Debug, Default)]
pub struct Output {
    pub before_persist: Vec<(NodeId, Packet)>,
    pub persist: Persist,
    pub after_persist: Vec<(NodeId, Packet)>,
    pub restore: Option<Arc<Snapshot>>,
    pub apply: Vec<Arc<Entry>>,
    pub reads: Vec<ReadDone>,
    pub take_snapshot: bool,
    pub violations: Vec<Violation>,
}

impl Output {
    /// Returns true if there is nothing to do.
    pub fn is_empty(&self) -> bool {
        self.before_persist.is_empty()
            && self.persist.is_empty()
            && self.after_persist.is_empty()
            && self.restore.is_none()
            && self.apply.is_empty()
            && self.reads.is_empty()
            && !self.take_snapshot
            && self.violations.is_empty()
    }
}
