//! The thread that owns the consensus core and the data folder, and performs the core's I/O.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::{Duration, Instant};

use prometheus::IntCounter;
use tokio::runtime::Handle;
use tokio::sync::{oneshot, watch};

use super::links::Links;
use super::metrics::Metrics;
use super::status::MemberStatus;
use super::{Endpoint, ReplicaStatus, StateMachine, SubmitError};
use crate::adapters::clock::monotonic_ms;
use crate::adapters::disk::{Disk, DiskError, FileOps};
use crate::adapters::telemetry::invariant;
use crate::domain::log::{
    Core, Entry, LeaveResult, NodeId, Options, Output, Packet, Payload, QuorumStatus,
    ReplicaSettings,
};
use crate::model::InstanceName;
use crate::rpc::{decode, encode};
use crate::settings::ControlSettings;

/// Inputs handled before the next write. They share one sync.
const MAX_BATCH: usize = 4096;
/// A batch ends at this many bytes of commands and messages, to bound memory and sync time.
const MAX_BATCH_BYTES: usize = 8 * 1024 * 1024;

type Reply = oneshot::Sender<Result<Vec<u8>, SubmitError>>;

/// Requests to the driver thread.
pub(super) enum Input {
    Propose {
        command: Vec<u8>,
        reply: Reply,
    },
    Read {
        reply: oneshot::Sender<Option<u64>>,
    },
    Deliver {
        from: NodeId,
        messages: Vec<Vec<u8>>,
    },
    Bootstrap {
        members: BTreeMap<NodeId, (InstanceName, SocketAddr)>,
    },
    Join {
        targets: Vec<(NodeId, SocketAddr)>,
        name: InstanceName,
    },
    TransferLeadership {
        reply: oneshot::Sender<bool>,
    },
    Leave {
        reply: oneshot::Sender<LeaveResult>,
    },
    Stop,
}

impl Input {
    fn size_bytes(&self) -> usize {
        match self {
            Self::Propose { command, .. } => command.len(),
            Self::Deliver { messages, .. } => messages.iter().map(Vec::len).sum(),
            _ => 0,
        }
    }
}

pub(super) struct Driver {
    core: Core,
    disk: Disk,
    machine: StateMachine,
    links: Links,
    metrics: Metrics,
    status: watch::Sender<ReplicaStatus>,
    tick: Duration,
    /// Proposals of this replica that are not applied yet, by log index, with their term.
    pending: BTreeMap<u64, (u64, Reply)>,
    /// Reads that have arrived since the last batch.
    new_reads: Vec<oneshot::Sender<Option<u64>>>,
    /// Reads that the core is confirming, by read id.
    reads: BTreeMap<u64, Vec<oneshot::Sender<Option<u64>>>>,
    next_read: u64,
    /// Waits for the end of this replica's departure.
    leaving: Option<oneshot::Sender<LeaveResult>>,
    elections: u64,
    /// The voters that answered when they were last logged.
    logged_quorum: Option<QuorumStatus>,
}

impl Driver {
    pub fn open(
        settings: &ControlSettings,
        endpoint: &Endpoint,
        machine: StateMachine,
        ops: FileOps,
        options: Options,
    ) -> Result<Self, DiskError> {
        let (disk, opened) = Disk::open(&settings.data_folder, ops, rand::random())?;
        let id = NodeId(opened.identity);
        let replica_settings = ReplicaSettings {
            election_ms: settings.election_ms,
            snapshot_entries: settings.snapshot_entries,
        };
        let seed = rand::random();
        let now_ms = monotonic_ms();
        let core = Core::new(
            id,
            endpoint.rpc_address,
            replica_settings,
            options,
            opened.recovered,
            seed,
            now_ms,
        );
        let metrics = Metrics::new(endpoint.name.as_str());
        let (status, _) = watch::channel(ReplicaStatus::new(&core.status(), None));
        tracing::info!(instance = %endpoint.name, identity = %id, last = core.status().last,
            "opened the replicated log");
        Ok(Self {
            core,
            disk,
            machine,
            links: Links::new(id, Handle::current(), metrics.sent_bytes.clone()),
            metrics,
            status,
            tick: Duration::from_millis((settings.election_ms / 20).clamp(5, 50)),
            pending: BTreeMap::new(),
            new_reads: Vec::new(),
            reads: BTreeMap::new(),
            next_read: rand::random(),
            leaving: None,
            elections: 0,
            logged_quorum: None,
        })
    }

    pub fn watch(&self) -> watch::Receiver<ReplicaStatus> {
        self.status.subscribe()
    }

    /// Returns the counter of messages that could not be handed to the driver.
    pub fn dropped_messages(&self) -> IntCounter {
        self.metrics.dropped_messages.clone()
    }

    /// Runs until the replica is stopped or the data folder fails.
    pub fn run(mut self, inputs: &Receiver<Input>) {
        let reason = match self.serve(inputs) {
            Ok(()) => "stopped on request".to_owned(),
            Err(error) => {
                tracing::error!(%error, "the replicated log has stopped");
                error.to_string()
            }
        };
        for (_, reply) in std::mem::take(&mut self.pending).into_values() {
            // Other replicas may still commit these commands.
            let _ = reply.send(Err(SubmitError::Undecided));
        }
        let Self {
            disk, status, core, ..
        } = self;
        // Releases the data folder before the status shows that the replica has stopped.
        drop(disk);
        status.send_replace(ReplicaStatus::new(&core.status(), Some(reason)));
    }

    fn serve(&mut self, inputs: &Receiver<Input>) -> Result<(), DiskError> {
        let mut tick_due = Instant::now();
        loop {
            self.process_outputs()?;
            let wait = tick_due.saturating_duration_since(Instant::now());
            match inputs.recv_timeout(wait) {
                Err(RecvTimeoutError::Disconnected) => return Ok(()),
                Err(RecvTimeoutError::Timeout) => {}
                Ok(first) => {
                    if !self.handle_batch(first, inputs) {
                        return Ok(());
                    }
                }
            }
            self.begin_reads();
            if Instant::now() >= tick_due {
                self.core.tick(monotonic_ms());
                tick_due = Instant::now() + self.tick;
            }
        }
    }

    /// Handles an input and those queued behind it, up to the batch limits. Returns false once one
    /// of them is `Stop`.
    fn handle_batch(&mut self, first: Input, inputs: &Receiver<Input>) -> bool {
        let mut size = 0;
        for input in std::iter::once(first)
            .chain(inputs.try_iter())
            .take(MAX_BATCH)
        {
            if matches!(input, Input::Stop) {
                return false;
            }
            size += input.size_bytes();
            self.handle(input);
            if size >= MAX_BATCH_BYTES {
                break;
            }
        }
        true
    }

    fn handle(&mut self, input: Input) {
        match input {
            Input::Propose { command, reply } => self.propose(command, reply),
            Input::Read { reply } => self.new_reads.push(reply),
            Input::Deliver { from, messages } => self.deliver(from, &messages),
            Input::Bootstrap { members } => {
                tracing::info!(members = members.len(), "forming a new cluster");
                self.core.bootstrap(rand::random(), members, monotonic_ms());
            }
            Input::Join { targets, name } => {
                for (to, address) in targets {
                    self.links.set_address(to, address);
                    self.core.ask_to_join(to, name.clone());
                }
            }
            Input::TransferLeadership { reply } => {
                let _ = reply.send(self.core.transfer_leadership(monotonic_ms()));
            }
            Input::Leave { reply } => {
                self.leaving = Some(reply);
                self.core.leave(monotonic_ms());
            }
            Input::Stop => {}
        }
    }

    fn propose(&mut self, command: Vec<u8>, reply: Reply) {
        if let Some((index, term)) = self.core.propose(command) {
            self.pending.insert(index, (term, reply));
            return;
        }
        // During a leadership transfer the status still names this replica as the leader.
        let status = self.status.borrow();
        let leader = status.leader.as_ref();
        let leader = leader.filter(|leader| leader.identity != status.identity);
        let leader = leader.map(|leader| leader.address);
        let _ = reply.send(Err(SubmitError::NotLeader { leader }));
    }

    fn deliver(&mut self, from: NodeId, messages: &[Vec<u8>]) {
        for message in messages {
            match decode::<Packet>(message) {
                Ok(packet) => {
                    self.links.set_address(from, packet.address);
                    self.core.step(from, packet, monotonic_ms());
                }
                Err(error) => tracing::warn!(%from, %error, "dropped an undecodable message"),
            }
        }
    }

    /// Starts one read for all callers that have asked since the last batch.
    fn begin_reads(&mut self) {
        if self.new_reads.is_empty() {
            return;
        }
        self.next_read = self.next_read.wrapping_add(1);
        self.reads
            .insert(self.next_read, std::mem::take(&mut self.new_reads));
        self.core.read(self.next_read, monotonic_ms());
    }

    /// Executes the core's output until it has none, then publishes the status.
    fn process_outputs(&mut self) -> Result<(), DiskError> {
        loop {
            let output = self.core.output(monotonic_ms());
            if output.is_empty() {
                break;
            }
            self.execute_output(output)?;
        }
        self.publish();
        Ok(())
    }

    fn execute_output(&mut self, output: Output) -> Result<(), DiskError> {
        for violation in &output.violations {
            invariant(false, violation.name, || violation.detail.clone());
        }
        self.send(output.before_persist);
        if !output.persist.is_empty() {
            let begun = Instant::now();
            self.disk.write(&output.persist)?;
            self.metrics.observe_sync(begun.elapsed());
            self.metrics.set_disk_bytes(self.disk.used_bytes());
            self.core.synced();
        }
        self.send(output.after_persist);
        if let Some(snapshot) = output.restore {
            (self.machine.restore)(&snapshot.data);
        }
        for entry in &output.apply {
            self.apply(entry);
        }
        for read in output.reads {
            for reply in self.reads.remove(&read.id).unwrap_or_default() {
                let _ = reply.send(read.index);
            }
        }
        if output.take_snapshot {
            let data = (self.machine.snapshot)();
            self.core.snapshot_taken(data);
        }
        Ok(())
    }

    fn apply(&mut self, entry: &Entry) {
        let Payload::Command(command) = &entry.payload else {
            return;
        };
        let answer = (self.machine.apply)(entry.index, command);
        match self.pending.remove(&entry.index) {
            Some((term, reply)) if term == entry.term => {
                let _ = reply.send(Ok(answer));
            }
            Some((_, reply)) => {
                let _ = reply.send(Err(SubmitError::Undecided));
            }
            None => {}
        }
    }

    fn send(&mut self, packets: Vec<(NodeId, Packet)>) {
        for (to, packet) in packets {
            if !self.links.contains(to) {
                let config = self.core.config();
                let Some(member) = config.and_then(|config| config.members.get(&to)) else {
                    continue;
                };
                self.links.set_address(to, member.address);
            }
            match encode(&packet) {
                Ok(message) => self.links.send(to, message),
                Err(error) => tracing::error!(%to, %error, "cannot encode a message"),
            }
        }
    }

    /// Publishes the status. If leadership was lost, answers all pending proposals as undecided.
    fn publish(&mut self) {
        let status = self.core.status();
        if !self.core.is_leader()
            || self
                .pending
                .first_key_value()
                .is_some_and(|(_, (term, _))| *term != status.term)
        {
            for (_, reply) in std::mem::take(&mut self.pending).into_values() {
                let _ = reply.send(Err(SubmitError::Undecided));
            }
        }
        if let Some(result) = self.core.leave_result()
            && let Some(reply) = self.leaving.take()
        {
            let _ = reply.send(result);
        }
        let elections = self.core.elections();
        self.metrics.add_elections(elections - self.elections);
        self.elections = elections;
        self.metrics.set_status(&status);
        self.log_quorum();
        let current = ReplicaStatus::new(&status, None);
        self.status.send_if_modified(|previous| {
            let changed = *previous != current;
            log_removed(&previous.voters, &current);
            let (voters, learners) = (current.voters.len(), current.learners.len());
            if (previous.voters.len(), previous.learners.len()) != (voters, learners) {
                tracing::info!(voters, learners, "members changed");
            }
            if changed && (previous.role != current.role || previous.term != current.term) {
                tracing::info!(identity = %current.identity, role = ?current.role,
                    term = current.term, "role of the replica");
            }
            *previous = current;
            changed
        });
    }

    /// Logs and counts the voters that answer, if their number has changed.
    fn log_quorum(&mut self) {
        let Some(quorum) = self.core.answering_voters(monotonic_ms()) else {
            return;
        };
        self.metrics.set_quorum(&quorum);
        if self.logged_quorum.replace(quorum) == Some(quorum) {
            return;
        }
        let QuorumStatus {
            voters,
            answering,
            has_majority,
        } = quorum;
        match has_majority {
            true => tracing::info!(voters, answering, "voters that answer"),
            false => tracing::warn!(voters, answering, "too few voters answer to elect a leader"),
        }
    }
}

/// Logs each member of `before` that is neither a voter nor a learner any more.
fn log_removed(before: &[MemberStatus], now: &ReplicaStatus) {
    for member in before {
        let mut members = now.voters.iter().chain(&now.learners);
        if !members.any(|other| other.identity == member.identity) {
            tracing::info!(identity = %member.identity, address = %member.address,
                "member was removed");
        }
    }
}
