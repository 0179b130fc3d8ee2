//! Edits and reads in the simulation, and the checks of its logs.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::{Node, Register, Simulation};
use lilacspindle::domain::log::{Config, Core, Entry, NodeId, Payload};

impl Simulation {
    pub(super) fn committed_config(&self) -> Option<&Config> {
        self.committed
            .values()
            .rev()
            .find_map(|entry| match &entry.payload {
                Payload::Config(config) => Some(config),
                _ => None,
            })
    }

    pub(super) fn check_repair(&mut self) {
        let (Some(name), Some(config)) = (&self.unrepaired, self.committed_config()) else {
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
            self.unrepaired = None;
        }
    }

    pub(super) fn apply(&mut self, number: usize, entry: &Arc<Entry>) {
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
        self.history.observe(register);
        if let Some((term, proposed)) = self.nodes[number].proposed.remove(&entry.index)
            && term == entry.term
        {
            self.history
                .complete(proposed, self.now_ms, register, accepted);
        }
    }

    /// Checks that an entry applied by a leader is on the synced disks of a majority. Skipped once
    /// any disk was lost.
    pub(super) fn check_synced(&mut self, number: usize, entry: &Entry) {
        let core = self.nodes[number].core.as_ref();
        let Some(config) = core.filter(|c| c.is_leader()).and_then(Core::config) else {
            return;
        };
        let holders: Vec<NodeId> = self
            .nodes
            .iter()
            .filter(|n| n.disk.holds(entry))
            .map(|n| n.id)
            .collect();
        if self.lost_disks == 0 && !config.has_majority(|voter| holders.contains(&voter)) {
            self.violations
                .push(format!("entry {} is not on a quorum", entry.index));
        }
    }

    pub(super) fn check_leader(&mut self, number: usize) {
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

    /// With some probability, begins an edit or a read at a random node, often at one that
    /// considers itself the leader.
    pub(super) fn maybe_start_operation(&mut self) {
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
        // A paused node does not handle requests.
        if self.now_ms < self.nodes[number].paused_until_ms {
            return;
        }
        let now_ms = self.clock(number);
        let read = self.random.chance(500);
        let stale = u64::from(self.random.chance(100));
        let id = self.history.begin(self.now_ms, !read);
        let node = &mut self.nodes[number];
        let Some(core) = &mut node.core else {
            return self.history.discard(id);
        };
        if read {
            node.reads.insert(id);
            core.read(id, now_ms);
        } else {
            let command = (id, node.register.version.saturating_sub(stale));
            match core.propose(postcard::to_stdvec(&command).unwrap()) {
                Some((index, term)) => drop(node.proposed.insert(index, (term, id))),
                None => self.history.discard(id),
            }
        }
        self.process_output(number);
    }

    /// Checks that entries with the same index and term are the same in all logs.
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
