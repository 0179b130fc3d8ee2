//! A seeded simulation of replicas of the log core, with their network, clocks, disks and faults.

// Each test file uses only a part of this module; sizes in tests fit in any integer.
#![allow(dead_code, clippy::cast_possible_truncation)]

pub mod files;
pub mod history;
mod operations;
mod parts;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use history::History;
use lilacspindle::domain::log::{Core, Entry, NodeId, Options, Output, Packet, ReplicaSettings};
use lilacspindle::model::InstanceName;

pub use parts::{Disk, Faults, Random, Register};

pub const ELECTION_MS: u64 = 100;
const TICK_MS: u64 = 5;

pub struct Node {
    pub id: NodeId,
    pub name: InstanceName,
    pub core: Option<Core>,
    disk: Disk,
    pub register: Register,
    /// Offset of this node's clock in milliseconds, and its rate in per mille of the true one.
    clock: (u64, u64),
    pub isolated_until_ms: u64,
    pub isolated_since_ms: u64,
    pub paused_until_ms: u64,
    down_until_ms: u64,
    /// Edits proposed since the last start: term and operation by index.
    proposed: BTreeMap<u64, (u64, u64)>,
    reads: BTreeSet<u64>,
}

pub struct Simulation {
    pub random: Random,
    pub faults: Faults,
    pub options: Options,
    pub now_ms: u64,
    pub nodes: Vec<Node>,
    pub history: History,
    /// Nodes that reach only each other, while the other nodes reach only each other too.
    pub split: BTreeSet<NodeId>,
    /// Messages in transit, by time of delivery and order of sending.
    network: BTreeMap<(u64, u64), (NodeId, NodeId, Packet)>,
    sent: u64,
    /// The first leader seen in each term.
    leaders: BTreeMap<u64, NodeId>,
    /// The first entry applied at each index.
    committed: BTreeMap<u64, Arc<Entry>>,
    /// The instance whose disk was lost and whose new identity is not yet the only one and a voter.
    unrepaired: Option<InstanceName>,
    pub lost_disks: u64,
    pub installed_snapshots: u64,
    initial_voters: usize,
    snapshot_padding: usize,
    pub violations: Vec<String>,
}

fn address(id: NodeId) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], (id.0 % 60_000) as u16 + 1))
}

impl Simulation {
    pub fn new(seed: u64, voters: usize, faults: Faults, options: Options) -> Self {
        let mut simulation = Self {
            random: Random(seed),
            faults,
            options,
            now_ms: 0,
            nodes: Vec::new(),
            history: History::default(),
            split: BTreeSet::new(),
            network: BTreeMap::new(),
            sent: 0,
            leaders: BTreeMap::new(),
            committed: BTreeMap::new(),
            unrepaired: None,
            lost_disks: 0,
            installed_snapshots: 0,
            initial_voters: voters,
            // Some runs send snapshots in several pieces.
            snapshot_padding: if seed.is_multiple_of(8) { 600_000 } else { 0 },
            violations: Vec::new(),
        };
        for number in 0..voters {
            simulation.add_node(&format!("n{number}"));
        }
        simulation
    }

    /// Forms the cluster; repeated if the first node crashed before it had synced anything.
    fn bootstrap(&mut self) {
        let initial_voters = self.nodes.iter().take(self.initial_voters);
        let members = initial_voters
            .map(|n| (n.id, (n.name.clone(), address(n.id))))
            .collect();
        let now_ms = self.clock(0);
        let cluster = self.random.next();
        if let Some(core) = &mut self.nodes[0].core {
            core.bootstrap(cluster, members, now_ms);
        }
    }

    pub fn add_node(&mut self, name: &str) {
        let node = Node {
            id: NodeId(self.random.next()),
            name: InstanceName::from(name),
            core: None,
            disk: Disk::default(),
            register: Register::default(),
            clock: (self.random.below(1_000_000), 970 + self.random.below(61)),
            isolated_until_ms: 0,
            isolated_since_ms: 0,
            paused_until_ms: 0,
            down_until_ms: 0,
            proposed: BTreeMap::new(),
            reads: BTreeSet::new(),
        };
        self.nodes.push(node);
        self.start(self.nodes.len() - 1);
    }

    fn clock(&self, number: usize) -> u64 {
        let (offset, rate) = self.nodes[number].clock;
        offset + self.now_ms * rate / 1000
    }

    fn start(&mut self, number: usize) {
        let now_ms = self.clock(number);
        let seed = self.random.next();
        let options = self.options;
        let node = &mut self.nodes[number];
        let settings = ReplicaSettings {
            election_ms: ELECTION_MS,
            snapshot_entries: 20,
        };
        let recovered = node.disk.recovered();
        node.register = Register::default();
        node.core = Some(Core::new(
            node.id,
            address(node.id),
            settings,
            options,
            recovered,
            seed,
            now_ms,
        ));
    }

    pub fn crash(&mut self, number: usize, for_ms: u64) {
        let down_until_ms = self.now_ms + for_ms;
        let node = &mut self.nodes[number];
        node.core = None;
        node.down_until_ms = down_until_ms;
        node.proposed.clear();
        node.reads.clear();
    }

    pub fn isolate(&mut self, number: usize, for_ms: u64) {
        self.nodes[number].isolated_since_ms = self.now_ms;
        self.nodes[number].isolated_until_ms = self.now_ms + for_ms;
    }

    pub fn lose_disk(&mut self, number: usize) {
        self.crash(number, 0);
        let id = NodeId(self.random.next());
        let keep_identity = self.faults.keep_identity;
        let node = &mut self.nodes[number];
        node.disk = Disk::default();
        node.id = if keep_identity { node.id } else { id };
        self.lost_disks += 1;
        self.unrepaired = Some(self.nodes[number].name.clone());
    }

    /// Stops a node as planned: it gives up its vote, unless that takes longer than `limit_ms`.
    pub fn leave(&mut self, number: usize, limit_ms: u64) {
        let id = self.nodes[number].id;
        let end_ms = self.now_ms + limit_ms;
        let now_ms = self.clock(number);
        if let Some(core) = &mut self.nodes[number].core {
            core.leave(now_ms);
        }
        while self.now_ms < end_ms {
            self.run(TICK_MS, true);
            let node = self.nodes.iter().find(|node| node.id == id);
            let core = node.and_then(|node| node.core.as_ref());
            if core.is_none_or(|core| core.leave_result().is_some()) {
                break;
            }
        }
    }

    /// Removes a node and its disk for good.
    pub fn remove_node(&mut self, number: usize) {
        self.nodes.remove(number);
        self.lost_disks += 1;
    }

    pub fn repairing(&self) -> bool {
        self.unrepaired.is_some()
    }

    /// Returns the leader with the highest term.
    pub fn leader(&self) -> Option<usize> {
        let leads = |node: &Node| node.core.as_ref().is_some_and(Core::is_leader);
        let leaders = self
            .nodes
            .iter()
            .enumerate()
            .filter(|(_, node)| leads(node));
        leaders
            .max_by_key(|(_, node)| node.core.as_ref().map(|core| core.status().term))
            .map(|(number, _)| number)
    }

    pub fn run(&mut self, for_ms: u64, operations: bool) {
        let end_ms = self.now_ms + for_ms;
        while self.now_ms < end_ms && self.violations.is_empty() {
            self.now_ms += 1;
            self.deliver_due();
            if self.now_ms.is_multiple_of(TICK_MS) {
                self.inject_faults();
                for number in 0..self.nodes.len() {
                    self.tick_node(number);
                }
                if operations {
                    self.maybe_start_operation();
                }
            }
        }
    }

    /// Ends all faults.
    pub fn heal(&mut self) {
        self.faults = Faults {
            max_delay_ms: 5,
            ..Faults::default()
        };
        for node in &mut self.nodes {
            node.isolated_until_ms = 0;
            node.paused_until_ms = 0;
            node.down_until_ms = 0;
        }
    }

    fn inject_faults(&mut self) {
        let faults = self.faults;
        let number = self.random.below(self.nodes.len() as u64) as usize;
        let for_ms = 50 + self.random.below(2_000);
        if self.random.chance(faults.crash) {
            self.crash(number, for_ms);
        }
        if self.random.chance(faults.isolate) {
            // In half of the cases the leader, whose isolation is the most difficult case.
            let victim = self
                .leader()
                .filter(|_| for_ms.is_multiple_of(2))
                .unwrap_or(number);
            self.isolate(victim, for_ms);
        }
        if self.random.chance(faults.pause) {
            let victim = self.leader().unwrap_or(number);
            self.nodes[victim].paused_until_ms = self.now_ms + for_ms;
        }
        if self.random.chance(faults.leadership_transfer) {
            let now_ms = self.clock(number);
            if let Some(core) = &mut self.nodes[number].core {
                core.transfer_leadership(now_ms);
            }
        }
        if self.random.chance(faults.join) && self.nodes.len() < 5 {
            self.add_node(&format!("n{}", self.nodes.len()));
        }
        let is_voter = self
            .committed_config()
            .is_some_and(|c| c.is_voter(self.nodes[number].id));
        let enough_voters = self
            .committed_config()
            .is_some_and(|c| c.voters().count() >= 3);
        // A disk is lost only after the previous loss was repaired, so that a majority remains.
        if self.random.chance(faults.lose_disk)
            && self.unrepaired.is_none()
            && is_voter
            && enough_voters
        {
            self.lose_disk(number);
        }
    }

    fn tick_node(&mut self, number: usize) {
        if self.nodes[number].core.is_none() && self.now_ms >= self.nodes[number].down_until_ms {
            self.start(number);
        }
        if self.now_ms < self.nodes[number].paused_until_ms {
            return;
        }
        let now_ms = self.clock(number);
        if self.now_ms.is_multiple_of(10 * TICK_MS) {
            if self.committed.is_empty() && number == 0 {
                self.bootstrap();
            }
            self.ask_to_join(number);
        }
        if let Some(core) = &mut self.nodes[number].core {
            core.tick(now_ms);
        }
        self.process_output(number);
        let node = &self.nodes[number];
        let cut_off = self.now_ms < node.isolated_until_ms
            && self.now_ms > node.isolated_since_ms + 3 * ELECTION_MS
            && self.now_ms > node.paused_until_ms + 3 * ELECTION_MS;
        let single_voter = self
            .committed_config()
            .is_none_or(|config| config.voters().count() < 2);
        if cut_off && !single_voter && node.core.as_ref().is_some_and(Core::is_leader) {
            self.violations
                .push(format!("isolated {} still leads", node.name));
        }
    }

    fn ask_to_join(&mut self, number: usize) {
        let node = &self.nodes[number];
        let (id, name) = (node.id, node.name.clone());
        let Some(core) = &node.core else { return };
        let member = core
            .config()
            .is_some_and(|config| config.members.contains_key(&id));
        if member && core.leader().is_some() {
            return;
        }
        let others: Vec<NodeId> = self
            .nodes
            .iter()
            .map(|n| n.id)
            .filter(|o| *o != id)
            .collect();
        // Nobody asks to join before the cluster has committed an entry.
        if self.committed.is_empty() {
            return;
        }
        if let Some(core) = &mut self.nodes[number].core {
            for to in others {
                core.ask_to_join(to, name.clone());
            }
        }
    }

    fn send(&mut self, from: usize, packets: Vec<(NodeId, Packet)>) {
        let sender = self.nodes[from].id;
        for (to, packet) in packets {
            let copies = 1 + u64::from(self.random.chance(self.faults.duplicate));
            for _ in 0..copies {
                if self.random.chance(self.faults.loss) {
                    continue;
                }
                // Some messages are delayed until long after the ones sent after them.
                let late = if self.faults.loss > 0 && self.random.chance(10) {
                    500
                } else {
                    0
                };
                let delay = 1 + self.random.below(self.faults.max_delay_ms.max(1)) + late;
                self.sent += 1;
                let key = (self.now_ms + delay, self.sent);
                self.network.insert(key, (sender, to, packet.clone()));
            }
        }
    }

    fn deliver_due(&mut self) {
        let later = self.network.split_off(&(self.now_ms + 1, 0));
        let due = std::mem::replace(&mut self.network, later);
        for ((_, order), (from, to, packet)) in due {
            let Some(number) = self.nodes.iter().position(|node| node.id == to) else {
                continue;
            };
            let cut = |node: &Node| self.now_ms < node.isolated_until_ms;
            if self.split.contains(&from) != self.split.contains(&to) {
                continue;
            }
            if cut(&self.nodes[number]) || self.nodes.iter().any(|n| n.id == from && cut(n)) {
                continue;
            }
            let paused_until_ms = self.nodes[number].paused_until_ms;
            if self.now_ms < paused_until_ms {
                self.network
                    .insert((paused_until_ms + 1, order), (from, to, packet));
                continue;
            }
            let now_ms = self.clock(number);
            if let Some(core) = &mut self.nodes[number].core {
                core.step(from, packet, now_ms);
                self.process_output(number);
            }
        }
    }

    /// Processes the outputs of the core, with random crashes before and after the sync.
    fn process_output(&mut self, number: usize) {
        loop {
            let now_ms = self.clock(number);
            let Some(core) = &mut self.nodes[number].core else {
                return;
            };
            let mut output = core.output(now_ms);
            if output.is_empty() {
                break;
            }
            self.send(number, std::mem::take(&mut output.before_persist));
            if !output.persist.is_empty() {
                if self.random.chance(self.faults.crash_before_sync) {
                    let bound = output.persist.entries.len() as u64 + 1;
                    if output.persist.snapshot.is_none() && self.random.chance(500) {
                        let written_entries = self.random.below(bound) as usize;
                        self.nodes[number]
                            .disk
                            .write(&output.persist, written_entries);
                    }
                    let for_ms = self.random.below(500);
                    return self.crash(number, for_ms);
                }
                let replaced = output.persist.snapshot.as_ref().filter(|s| s.replaces_log);
                self.installed_snapshots += u64::from(replaced.is_some());
                self.nodes[number].disk.write(&output.persist, usize::MAX);
                if self.random.chance(self.faults.crash_after_sync) {
                    let for_ms = self.random.below(500);
                    return self.crash(number, for_ms);
                }
                if let Some(core) = &mut self.nodes[number].core {
                    core.synced();
                }
            }
            self.finish_output(number, output);
        }
        self.check_leader(number);
    }

    fn finish_output(&mut self, number: usize, output: Output) {
        self.send(number, output.after_persist);
        for violation in output.violations {
            self.violations
                .push(format!("{}: {}", violation.name, violation.detail));
        }
        if let Some(snapshot) = output.restore {
            let (version, value) = postcard::take_from_bytes(&snapshot.data).unwrap().0;
            self.nodes[number].register = Register { version, value };
        }
        for entry in &output.apply {
            self.apply(number, entry);
        }
        for read in output.reads {
            if !self.nodes[number].reads.remove(&read.id) {
                continue;
            }
            let register = self.nodes[number].register;
            match read.index {
                Some(_) => self.history.complete(read.id, self.now_ms, register, false),
                None => self.history.discard(read.id),
            }
        }
        if output.take_snapshot {
            let register = self.nodes[number].register;
            let padding = vec![7u8; self.snapshot_padding];
            let data = postcard::to_stdvec(&(register.version, register.value, padding)).unwrap();
            if let Some(core) = &mut self.nodes[number].core {
                core.snapshot_taken(data);
            }
        }
    }
}
