//! The state of one replica, its timers, and the handling of messages and outputs.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use super::leave::Departure;
use super::members::JoinRequests;
use super::reads::PendingReads;
use super::state::{
    Options, QuorumStatus, RecoveredState, ReplicaSettings, Role, RoleName, Status,
};
use super::store::LogStore;
use super::transfer::IncomingSnapshot;
use super::types::{
    Body, Config, Entry, HardState, Member, NodeId, Output, Packet, Payload, Persist, ReadDone,
    Snapshot, Suffrage, Violation,
};
use crate::model::InstanceName;

/// No cluster reaches this term; a message with a higher one is corrupt and is dropped.
const MAX_TERM: u64 = u64::MAX / 2;

/// One replica of the log.
#[derive(Debug)]
pub struct Core {
    pub(super) id: NodeId,
    pub(super) address: SocketAddr,
    pub(super) options: Options,
    pub(super) settings: ReplicaSettings,
    pub(super) hard_state: HardState,
    pub(super) role: Role,
    pub(super) leader: Option<NodeId>,
    pub(super) log: LogStore,
    pub(super) snapshot: Option<Arc<Snapshot>>,
    /// Configurations by index: that of the snapshot and those in the log after it. The last one is
    /// in force.
    pub(super) configs: BTreeMap<u64, Config>,
    pub(super) commit: u64,
    pub(super) applied: u64,
    pub(super) synced: u64,
    pub(super) election_due_ms: u64,
    /// When this replica last became a candidate.
    pub(super) campaign_started_ms: u64,
    /// When the latest message from a leader arrived. After a restart this is the start time, since
    /// the replica may have acknowledged a leader's message just before it stopped.
    pub(super) last_leader_contact_ms: Option<u64>,
    pub(super) pending_reads: PendingReads,
    pub(super) join_requests: JoinRequests,
    /// Set once this replica leaves.
    pub(super) departure: Option<Departure>,
    pub(super) incoming_snapshot: Option<IncomingSnapshot>,
    /// The voters that answered the last campaign that did not succeed.
    pub(super) failed_campaign: Option<QuorumStatus>,
    pub(super) elections: u64,
    pub(super) snapshot_requested: bool,
    /// Bytes of the entries applied since the last snapshot.
    pub(super) applied_bytes: usize,
    random_state: u64,
    pub(super) persist: Persist,
    pub(super) restore: Option<Arc<Snapshot>>,
    before_persist: Vec<(NodeId, Packet)>,
    after_persist: Vec<(NodeId, Packet)>,
    pub(super) reads_done: Vec<ReadDone>,
    violations: Vec<Violation>,
}

impl Core {
    /// Creates a follower from the recovered content of its data folder. `seed` is a random number
    /// from which the election timeouts are derived.
    pub fn new(
        id: NodeId,
        address: SocketAddr,
        settings: ReplicaSettings,
        options: Options,
        recovered: RecoveredState,
        seed: u64,
        now_ms: u64,
    ) -> Self {
        let base = recovered
            .snapshot
            .as_ref()
            .map_or((0, 0), |s| (s.index, s.term));
        let mut core = Self {
            id,
            address,
            options,
            settings,
            hard_state: recovered.hard_state,
            role: Role::Follower,
            leader: None,
            log: LogStore::after(base.0, base.1),
            configs: BTreeMap::new(),
            commit: base.0,
            applied: base.0,
            synced: base.0,
            election_due_ms: now_ms,
            campaign_started_ms: 0,
            last_leader_contact_ms: (recovered.hard_state.term > 0).then_some(now_ms),
            pending_reads: PendingReads::default(),
            join_requests: JoinRequests::default(),
            departure: None,
            incoming_snapshot: None,
            failed_campaign: None,
            elections: 0,
            snapshot_requested: false,
            applied_bytes: 0,
            random_state: seed,
            persist: Persist::default(),
            restore: recovered.snapshot.clone(),
            before_persist: Vec::new(),
            after_persist: Vec::new(),
            reads_done: Vec::new(),
            violations: Vec::new(),
            snapshot: recovered.snapshot,
        };
        if let Some(snapshot) = core.snapshot.clone() {
            core.configs
                .insert(snapshot.config_index, snapshot.config.clone());
        }
        for entry in recovered.entries {
            core.push_log(Arc::new(entry));
        }
        core.synced = core.log.last_index();
        // Wait as long as the lease of a former leader may last, but not for a full random timeout:
        // after a power failure all replicas restart and none of them leads.
        core.election_due_ms = now_ms + core.settings.election_ms + core.split_vote_backoff_ms();
        if core.other_voters().is_empty() {
            core.election_due_ms = now_ms;
        }
        core
    }

    /// Forms a cluster of empty replicas, including this one. Does nothing if the log is not empty.
    pub fn bootstrap(
        &mut self,
        cluster: u64,
        members: BTreeMap<NodeId, (InstanceName, SocketAddr)>,
        now_ms: u64,
    ) {
        if self.config().is_some() || self.log.last_index() > 0 || !members.contains_key(&self.id) {
            return;
        }
        let members = members
            .into_iter()
            .map(|(id, (name, address))| {
                let member = Member {
                    name,
                    address,
                    suffrage: Suffrage::Voter,
                    since: 1,
                };
                (id, member)
            })
            .collect();
        if self.hard_state.term == 0 {
            self.set_hard_state(HardState {
                term: 1,
                vote: None,
            });
        }
        let payload = Payload::Config(Config { cluster, members });
        self.election_due_ms = now_ms;
        // Term 1 has no leader, so no different entry 1 of this term can exist.
        self.append_log(Arc::new(Entry {
            index: 1,
            term: 1,
            payload,
        }));
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> Option<&Config> {
        self.configs.values().next_back()
    }

    /// Returns a summary of this replica's state.
    pub fn status(&self) -> Status {
        Status {
            id: self.id,
            role: match self.role {
                Role::Follower => RoleName::Follower,
                Role::Candidate { .. } => RoleName::Candidate,
                Role::Leader(_) => RoleName::Leader,
            },
            term: self.hard_state.term,
            leader: self.leader,
            config: self.config().cloned(),
            last: self.log.last_index(),
            commit: self.commit,
            applied: self.applied,
            synced: self.synced,
            term_first_index: match &self.role {
                Role::Leader(leader_state) => Some(leader_state.first_index),
                Role::Follower | Role::Candidate { .. } => None,
            },
        }
    }

    /// Returns true if this replica leads.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Returns the leader of the term, or `None` if it is unknown.
    pub fn leader(&self) -> Option<NodeId> {
        self.leader
    }

    /// Returns how many elections this replica has started.
    pub fn elections(&self) -> u64 {
        self.elections
    }

    /// Returns an entry, or `None` if it is not held in memory.
    pub fn entry(&self, index: u64) -> Option<&Arc<Entry>> {
        self.log.get(index)
    }

    /// Appends a command to the log. Returns its index and term, or `None` if this replica does not
    /// lead or is transferring leadership.
    pub fn propose(&mut self, command: Vec<u8>) -> Option<(u64, u64)> {
        match &self.role {
            Role::Leader(leader_state) if leader_state.leadership_transfer.is_none() => {}
            _ => return None,
        }
        Some(self.propose_payload(Payload::Command(command)))
    }

    pub(super) fn propose_payload(&mut self, payload: Payload) -> (u64, u64) {
        let (index, term) = (self.log.last_index() + 1, self.hard_state.term);
        self.append_log(Arc::new(Entry {
            index,
            term,
            payload,
        }));
        (index, term)
    }

    /// Handles timers that are due: elections, expired reads and the leader's periodic work.
    pub fn tick(&mut self, now_ms: u64) {
        self.expire_reads(now_ms);
        self.continue_leaving(now_ms);
        match self.role {
            Role::Leader(_) => self.tick_leader(now_ms),
            _ if now_ms >= self.election_due_ms => self.campaign(now_ms, false),
            _ => {}
        }
    }

    /// Handles a message from another replica.
    pub fn step(&mut self, from: NodeId, packet: Packet, now_ms: u64) {
        let foreign = match (self.config(), packet.cluster) {
            (Some(own), Some(other)) => own.cluster != other,
            // A replica without a cluster may only ask to join this cluster, or answer.
            (Some(_), None) => matches!(packet.body, Body::Vote { .. } | Body::Append { .. }),
            (None, _) => false,
        };
        if foreign || from == self.id || packet.term > MAX_TERM {
            return;
        }
        match packet.body {
            Body::Join { name } => self.on_join(from, name, packet.address, now_ms),
            Body::Leave => self.on_leave(from, now_ms),
            Body::LeaveReply { is_removed } => self.on_leave_reply(is_removed),
            Body::Read { id } => self.on_read(from, id, now_ms),
            Body::ReadReply { id, index } => self.on_read_reply(id, index),
            body => {
                if self.check_term(from, packet.term, &body, now_ms) {
                    self.dispatch(from, packet.term, body, now_ms);
                }
            }
        }
    }

    fn dispatch(&mut self, from: NodeId, term: u64, body: Body, now_ms: u64) {
        match body {
            Body::Vote { .. } => self.on_vote(from, term, &body, now_ms),
            Body::VoteReply { pre, granted } => {
                self.on_vote_reply(from, term, pre, granted, now_ms);
            }
            Body::Append {
                prev_index,
                prev_term,
                commit,
                echo,
                entries,
            } => {
                self.on_append(from, (prev_index, prev_term), commit, echo, entries, now_ms);
            }
            Body::Piece { .. } => self.on_piece(from, body, now_ms),
            Body::Appended { matched, echo } => self.on_appended(from, matched, echo, now_ms),
            Body::Mismatch {
                prev_index,
                next,
                echo,
            } => {
                self.on_mismatch(from, prev_index, next, echo, now_ms);
            }
            Body::PieceReply {
                index,
                offset,
                echo,
            } => {
                self.on_piece_reply(from, index, offset, echo, now_ms);
            }
            Body::TimeoutNow if self.config().is_some_and(|c| c.is_voter(self.id)) => {
                self.campaign(now_ms, true);
            }
            _ => {}
        }
    }

    /// Returns what the caller has to do now; to be called until the output is empty.
    pub fn output(&mut self, now_ms: u64) -> Output {
        self.flush_appends(now_ms);
        self.serve_leader_reads(now_ms);
        let apply = self.log.range(self.applied + 1, self.commit);
        self.applied = self.commit;
        self.applied_bytes += apply.iter().map(|entry| entry.size_bytes()).sum::<usize>();
        let mut output = Output {
            before_persist: std::mem::take(&mut self.before_persist),
            persist: std::mem::take(&mut self.persist),
            after_persist: std::mem::take(&mut self.after_persist),
            restore: self.restore.take(),
            reads: self.finished_reads(),
            take_snapshot: self.request_snapshot_if_due(),
            violations: std::mem::take(&mut self.violations),
            apply,
        };
        if !self.options.sync_before_ack {
            output.before_persist.append(&mut output.after_persist);
        }
        output
    }

    /// Reports that everything in the last output's `persist` has been synced.
    pub fn synced(&mut self) {
        self.synced = self.log.last_index();
        self.maybe_commit();
    }

    fn push_log(&mut self, entry: Arc<Entry>) {
        if let Payload::Config(config) = &entry.payload {
            self.configs.insert(entry.index, config.clone());
        }
        let index = entry.index;
        let follows = self.log.push(entry);
        self.check_invariant(follows, "log_contiguous", || {
            format!("entry {index} does not follow the last entry")
        });
    }

    pub(super) fn append_log(&mut self, entry: Arc<Entry>) {
        self.persist.entries.push(entry.clone());
        self.push_log(entry);
        if !self.options.sync_before_ack {
            self.synced = self.log.last_index();
        }
    }

    /// Removes the entries from `index` on, which conflict with the log of this term's leader.
    pub(super) fn truncate_log(&mut self, index: u64) {
        let commit = self.commit;
        if !self.check_invariant(index > commit, "committed_entry_kept", || {
            format!("truncation at entry {index}, commit index {commit}")
        }) {
            return;
        }
        self.log.truncate(index);
        self.configs.split_off(&index);
        self.synced = self.synced.min(index - 1);
        self.persist.entries.retain(|entry| entry.index < index);
    }

    pub(super) fn set_hard_state(&mut self, hard_state: HardState) {
        let before = self.hard_state;
        let holds = hard_state.term > before.term
            || (hard_state.term == before.term
                && (before.vote.is_none() || before.vote == hard_state.vote));
        self.check_invariant(holds, "one_vote_per_term", || {
            format!("hard state changed from {before:?} to {hard_state:?}")
        });
        self.hard_state = hard_state;
        self.persist.hard_state = Some(hard_state);
    }

    pub(super) fn set_commit(&mut self, index: u64) {
        if index <= self.commit {
            return;
        }
        let last = self.log.last_index();
        if self.check_invariant(index <= last, "commit_within_log", || {
            format!("commit index {index}, last entry {last}")
        }) {
            self.commit = index;
        }
    }

    /// Records a violation of the invariant `name` unless it holds; returns `holds`.
    pub(super) fn check_invariant(
        &mut self,
        holds: bool,
        name: &'static str,
        detail: impl FnOnce() -> String,
    ) -> bool {
        if !holds {
            let detail = format!(
                "replica {} term {}: {}",
                self.id,
                self.hard_state.term,
                detail()
            );
            self.violations.push(Violation { name, detail });
        }
        holds
    }

    fn packet(&self, term: u64, body: Body) -> Packet {
        Packet {
            cluster: self.config().map(|config| config.cluster),
            address: self.address,
            term,
            body,
        }
    }

    /// Queues a message that does not depend on unsynced data.
    pub(super) fn send_before_persist(&mut self, to: NodeId, body: Body) {
        let packet = self.packet(self.hard_state.term, body);
        self.before_persist.push((to, packet));
    }

    /// Queues a message that must not be sent before the next sync.
    pub(super) fn send_after_persist(&mut self, to: NodeId, term: u64, body: Body) {
        let packet = self.packet(term, body);
        self.after_persist.push((to, packet));
    }

    pub(super) fn reset_election_timer(&mut self, now_ms: u64) {
        let extra = self.next_random() % self.settings.election_ms.max(1);
        self.election_due_ms = now_ms + self.settings.election_ms + extra;
    }

    /// Returns the next number of a `SplitMix64` generator, which the caller has seeded.
    pub(super) fn next_random(&mut self) -> u64 {
        self.random_state = self.random_state.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut z = self.random_state;
        z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        z ^ (z >> 31)
    }
}
