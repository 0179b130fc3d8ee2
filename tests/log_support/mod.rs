//! A simulation of replicas: seeded network, clocks, disks and faults around the log core.

// Each test uses its part; sizes in tests fit in any integer.
#![allow(dead_code, clippy::cast_possible_truncation)]

pub mod history;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use history::History;
use lilacspindle::domain::log::{
    Config, Core, Entry, HardState, Limits, NodeId, Options, Output, Packet, Payload, Persist,
    Recovered, Snapshot,
};
use lilacspindle::model::InstanceName;

pub const ELECTION_MS: u64 = 100;
const TICK_MS: u64 = 5;

/// `SplitMix64`, so that seeds mean the same with every version of every library.
pub struct Random(pub u64);

impl Random {
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        z ^ (z >> 31)
    }

    pub fn below(&mut self, bound: u64) -> u64 {
        self.next() % bound
    }

    pub fn chance(&mut self, per_mille: u64) -> bool {
        self.below(1000) < per_mille
    }
}

/// Probabilities per thousand; the last group is per tick of the whole simulation.
#[derive(Clone, Copy, Default)]
pub struct Faults {
    pub loss: u64,
    pub duplicate: u64,
    pub max_delay_ms: u64,
    pub crash_before_sync: u64,
    pub crash_after_sync: u64,
    pub crash: u64,
    pub isolate: u64,
    pub freeze: u64,
    pub lose_disk: u64,
    pub hand_over: u64,
    pub join: u64,
    /// True to let an instance keep its identity when its disk is lost, which is wrong.
    pub keep_identity: bool,
}

impl Faults {
    pub fn all() -> Self {
        Self {
            loss: 20,
            duplicate: 20,
            max_delay_ms: 20,
            crash_before_sync: 3,
            crash_after_sync: 3,
            crash: 2,
            isolate: 4,
            freeze: 4,
            lose_disk: 1,
            hand_over: 2,
            join: 1,
            keep_identity: false,
        }
    }
}

/// The synced content of a data folder.
#[derive(Clone, Default)]
struct Disk {
    hard: HardState,
    snapshot: Option<Arc<Snapshot>>,
    entries: Vec<Arc<Entry>>,
}

impl Disk {
    fn write(&mut self, persist: &Persist, entries: usize) {
        if let Some(write) = persist.snapshot.as_ref().filter(|s| s.replaces_log) {
            self.snapshot = Some(write.snapshot.clone());
            self.entries.clear();
        }
        self.hard = persist.hard_state.unwrap_or(self.hard);
        for entry in persist.entries.iter().take(entries) {
            self.entries.retain(|held| held.index < entry.index);
            self.entries.push(entry.clone());
        }
        if let Some(write) = persist.snapshot.as_ref().filter(|s| !s.replaces_log) {
            self.snapshot = Some(write.snapshot.clone());
            self.entries.retain(|entry| entry.index > write.keep_after);
        }
    }

    fn holds(&self, entry: &Entry) -> bool {
        self.snapshot
            .as_ref()
            .is_some_and(|s| s.index >= entry.index)
            || self.entries.iter().any(|held| **held == *entry)
    }

    fn recovered(&self) -> Recovered {
        let after = self.snapshot.as_ref().map_or(0, |s| s.index);
        let entries = self.entries.iter().filter(|entry| entry.index > after);
        Recovered {
            hard_state: self.hard,
            snapshot: self.snapshot.clone(),
            entries: entries.map(|entry| (**entry).clone()).collect(),
        }
    }
}

/// A register that an edit changes only if it names the present version.
#[derive(Clone, Copy, Default, PartialEq, Eq, Debug)]
pub struct Register {
    pub version: u64,
    pub value: u64,
}

pub struct Node {
    pub id: NodeId,
    pub name: InstanceName,
    pub core: Option<Core>,
    disk: Disk,
    pub register: Register,
    /// Position of this node's clock, and its rate in per mille of the true one.
    clock: (u64, u64),
    pub isolated_until_ms: u64,
    pub isolated_since_ms: u64,
    pub frozen_until_ms: u64,
    down_until_ms: u64,
    /// Edits proposed in this life, by index: term and operation.
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
    network: BTreeMap<(u64, u64), (NodeId, NodeId, Packet)>,
    sent: u64,
    leaders: BTreeMap<u64, NodeId>,
    committed: BTreeMap<u64, Arc<Entry>>,
    /// The instance whose disk was lost and is not repaired yet.
    repairing: Option<InstanceName>,
    pub lost_disks: u64,
    pub installed_snapshots: u64,
    founders: usize,
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
            network: BTreeMap::new(),
            sent: 0,
            leaders: BTreeMap::new(),
            committed: BTreeMap::new(),
            repairing: None,
            lost_disks: 0,
            installed_snapshots: 0,
            founders: voters,
            // Some runs send snapshots in several pieces.
            snapshot_padding: if seed.is_multiple_of(8) { 600_000 } else { 0 },
            violations: Vec::new(),
        };
        for number in 0..voters {
            simulation.add_node(&format!("n{number}"));
        }
        simulation
    }

    /// Forms the cluster, again if the first node crashed before it had synced anything.
    fn bootstrap(&mut self) {
        let founders = self.nodes.iter().take(self.founders);
        let members = founders
            .map(|n| (n.id, (n.name.clone(), address(n.id))))
            .collect();
        let now_ms = self.clock(0);
        let cluster = self.random.next();
        if let Some(core) = &mut self.nodes[0].core {
            core.bootstrap(cluster, members, now_ms);
        }
    }

    fn add_node(&mut self, name: &str) {
        let node = Node {
            id: NodeId(self.random.next()),
            name: InstanceName::from(name),
            core: None,
            disk: Disk::default(),
            register: Register::default(),
            clock: (self.random.below(1_000_000), 970 + self.random.below(61)),
            isolated_until_ms: 0,
            isolated_since_ms: 0,
            frozen_until_ms: 0,
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
        let limits = Limits {
            election_ms: ELECTION_MS,
            snapshot_entries: 20,
        };
        let recovered = node.disk.recovered();
        node.register = Register::default();
        node.core = Some(Core::new(
            node.id,
            address(node.id),
            limits,
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
        self.repairing = Some(self.nodes[number].name.clone());
    }

    pub fn repairing(&self) -> bool {
        self.repairing.is_some()
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
                self.inject();
                for number in 0..self.nodes.len() {
                    self.wake(number);
                }
                if operations {
                    self.operate();
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
            node.frozen_until_ms = 0;
            node.down_until_ms = 0;
        }
    }

    fn inject(&mut self) {
        let faults = self.faults;
        let number = self.random.below(self.nodes.len() as u64) as usize;
        let for_ms = 50 + self.random.below(2_000);
        if self.random.chance(faults.crash) {
            self.crash(number, for_ms);
        }
        if self.random.chance(faults.isolate) {
            // Often the leader: its isolation is the hardest case.
            let victim = self
                .leader()
                .filter(|_| for_ms.is_multiple_of(2))
                .unwrap_or(number);
            self.isolate(victim, for_ms);
        }
        if self.random.chance(faults.freeze) {
            let victim = self.leader().unwrap_or(number);
            self.nodes[victim].frozen_until_ms = self.now_ms + for_ms;
        }
        if self.random.chance(faults.hand_over) {
            let now_ms = self.clock(number);
            if let Some(core) = &mut self.nodes[number].core {
                core.hand_over(now_ms);
            }
        }
        if self.random.chance(faults.join) && self.nodes.len() < 5 {
            self.add_node(&format!("n{}", self.nodes.len()));
        }
        let voter = self
            .committed_config()
            .is_some_and(|c| c.is_voter(self.nodes[number].id));
        let enough = self
            .committed_config()
            .is_some_and(|c| c.voters().count() >= 3);
        // A second disk is lost only after the first one was repaired: a majority must remain.
        if self.random.chance(faults.lose_disk) && self.repairing.is_none() && voter && enough {
            self.lose_disk(number);
        }
    }

    fn committed_config(&self) -> Option<&Config> {
        self.committed
            .values()
            .rev()
            .find_map(|entry| match &entry.payload {
                Payload::Config(config) => Some(config),
                _ => None,
            })
    }

    fn check_repair(&mut self) {
        let (Some(name), Some(config)) = (&self.repairing, self.committed_config()) else {
            return;
        };
        let same: Vec<NodeId> = config
            .members
            .iter()
            .filter(|(_, member)| member.name == *name)
            .map(|(id, _)| *id)
            .collect();
        let node = self.nodes.iter().find(|node| node.name == *name);
        if node.is_some_and(|node| same == [node.id] && config.is_voter(node.id)) {
            self.repairing = None;
        }
    }

    fn wake(&mut self, number: usize) {
        if self.nodes[number].core.is_none() && self.now_ms >= self.nodes[number].down_until_ms {
            self.start(number);
        }
        if self.now_ms < self.nodes[number].frozen_until_ms {
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
        self.carry_out(number);
        let node = &self.nodes[number];
        let cut_off = self.now_ms < node.isolated_until_ms
            && self.now_ms > node.isolated_since_ms + 3 * ELECTION_MS
            && self.now_ms > node.frozen_until_ms + 3 * ELECTION_MS;
        let alone = self
            .committed_config()
            .is_none_or(|config| config.voters().count() < 2);
        if cut_off && !alone && node.core.as_ref().is_some_and(Core::is_leader) {
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
        // Only a member of the cluster makes a new instance ask.
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
                // Now and then a message is much later than the ones sent after it.
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
            if cut(&self.nodes[number]) || self.nodes.iter().any(|n| n.id == from && cut(n)) {
                continue;
            }
            let frozen_until_ms = self.nodes[number].frozen_until_ms;
            if self.now_ms < frozen_until_ms {
                self.network
                    .insert((frozen_until_ms + 1, order), (from, to, packet));
                continue;
            }
            let now_ms = self.clock(number);
            if let Some(core) = &mut self.nodes[number].core {
                core.step(from, packet, now_ms);
                self.carry_out(number);
            }
        }
    }

    /// Does what the core asks for, with crashes before and after the sync.
    fn carry_out(&mut self, number: usize) {
        loop {
            let now_ms = self.clock(number);
            let Some(core) = &mut self.nodes[number].core else {
                return;
            };
            let mut output = core.output(now_ms);
            if output.is_empty() {
                break;
            }
            self.send(number, std::mem::take(&mut output.early));
            if !output.persist.is_empty() {
                if self.random.chance(self.faults.crash_before_sync) {
                    let written = output.persist.entries.len() as u64 + 1;
                    if output.persist.snapshot.is_none() && self.random.chance(500) {
                        let part = self.random.below(written) as usize;
                        self.nodes[number].disk.write(&output.persist, part);
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
            self.finish(number, output);
        }
        self.check_leader(number);
    }

    fn finish(&mut self, number: usize, output: Output) {
        self.send(number, output.late);
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
                Some(_) => self.history.returned(read.id, self.now_ms, register, false),
                None => self.history.forget(read.id),
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

    fn apply(&mut self, number: usize, entry: &Arc<Entry>) {
        let first = self
            .committed
            .entry(entry.index)
            .or_insert_with(|| entry.clone());
        if *first != *entry {
            self.violations.push(format!(
                "entry {} differs: {first:?} and {entry:?}",
                entry.index
            ));
        }
        self.check_synced(number, entry);
        self.check_repair();
        let Payload::Command(bytes) = &entry.payload else {
            return;
        };
        let (operation, base): (u64, u64) = postcard::from_bytes(bytes).unwrap();
        let node = &mut self.nodes[number];
        let accepted = node.register.version == base;
        if accepted {
            node.register = Register {
                version: base + 1,
                value: operation,
            };
        }
        let register = node.register;
        self.history.observed(register);
        if let Some((term, proposed)) = self.nodes[number].proposed.remove(&entry.index)
            && term == entry.term
        {
            self.history
                .returned(proposed, self.now_ms, register, accepted);
        }
    }

    /// A committed entry is on the synced disks of a majority, unless one was lost since.
    fn check_synced(&mut self, number: usize, entry: &Entry) {
        let core = self.nodes[number].core.as_ref();
        let Some(config) = core.filter(|c| c.is_leader()).and_then(Core::config) else {
            return;
        };
        let holders = self
            .nodes
            .iter()
            .filter(|n| config.is_voter(n.id) && n.disk.holds(entry));
        if self.lost_disks == 0 && holders.count() < config.quorum() {
            self.violations
                .push(format!("entry {} is not on a quorum", entry.index));
        }
    }

    fn check_leader(&mut self, number: usize) {
        let node = &self.nodes[number];
        let Some(core) = node.core.as_ref().filter(|core| core.is_leader()) else {
            return;
        };
        let term = core.status().term;
        let first = *self.leaders.entry(term).or_insert(node.id);
        if first != node.id {
            self.violations.push(format!("two leaders in term {term}"));
        }
    }

    /// Begins an edit or a read at a random node, often at one that believes to lead.
    fn operate(&mut self) {
        if !self.random.chance(400) {
            return;
        }
        let leads = |node: &Node| node.core.as_ref().is_some_and(Core::is_leader);
        let leaders: Vec<usize> = (0..self.nodes.len())
            .filter(|n| leads(&self.nodes[*n]))
            .collect();
        let mut number = self.random.below(self.nodes.len() as u64) as usize;
        if !leaders.is_empty() && self.random.chance(700) {
            number = leaders[self.random.below(leaders.len() as u64) as usize];
        }
        // A request to a frozen node is not handled before it wakes.
        if self.now_ms < self.nodes[number].frozen_until_ms {
            return;
        }
        let now_ms = self.clock(number);
        let read = self.random.chance(500);
        let stale = u64::from(self.random.chance(100));
        let id = self.history.began(self.now_ms, !read);
        let node = &mut self.nodes[number];
        let Some(core) = &mut node.core else {
            return self.history.forget(id);
        };
        if read {
            node.reads.insert(id);
            core.read(id, now_ms);
        } else {
            let command = (id, node.register.version.saturating_sub(stale));
            match core.propose(postcard::to_stdvec(&command).unwrap()) {
                Some((index, term)) => drop(node.proposed.insert(index, (term, id))),
                None => self.history.forget(id),
            }
        }
        self.carry_out(number);
    }

    /// Checks that the logs agree wherever two of them hold the same entry.
    pub fn check_logs(&mut self) {
        let mut held: BTreeMap<(u64, u64), &Entry> = BTreeMap::new();
        for entry in self.nodes.iter().flat_map(|node| &node.disk.entries) {
            if **held.entry((entry.index, entry.term)).or_insert(entry) != **entry {
                self.violations
                    .push(format!("logs differ at {}", entry.index));
            }
        }
    }
}
