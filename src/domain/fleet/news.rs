//! What entries are told of the fleet: the whole once, then what has changed.
//!
//! Answers the size of the fleet: telling each entry of each engine several times a second costs
//! entries times engines, whatever has changed. Loads change all the time, so a load counts as changed
//! once it differs noticeably from what was told; the hub, which places, knows the exact one. An entry
//! is told of the others' share of a load, so it also hears of each engine where its own has changed:
//! others may have taken what it gave up, and the load as a whole is then the same.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::usage::Usage;
use super::{Listed, Pulse, Report};

/// Part of an engine's memory, in hundredths, by which its load has to differ from what was told: a
/// long generation on the sites planned for.
const NOTICED_MEMORY_PERCENT: u64 = 12;
/// Generations by which it has to differ, a sixth of what engines of the sites planned for run at once.
const NOTICED_RUNNING: u32 = 4;
/// Changes of the list that are kept. An entry that knows less is told the whole list.
const KEPT_LIST_CHANGES: usize = 1_024;

/// How much of a hub's news an entry has.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Position {
    /// The hub that the revisions belong to.
    pub hub: u64,
    pub list_revision: u64,
    pub load_revision: u64,
}

/// What a hub tells an entry.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct News {
    pub position: Position,
    /// True if this takes the place of all that was told before.
    pub whole: bool,
    /// True if the entry is told of a subset of the instances.
    pub is_subset: bool,
    /// Instances that are new to the list, or that it says something else of.
    pub listed: Vec<Listed>,
    /// Instances that are no longer listed.
    pub gone: Vec<Arc<str>>,
    /// Instances that are listed, but that the entry is no longer told of.
    pub dropped: Vec<Arc<str>>,
    pub pulses: Vec<Pulse>,
}

/// Changes of the list, the newest last.
#[derive(Debug, Default)]
pub(super) struct ListHistory {
    changes: VecDeque<(u64, Arc<str>)>,
    /// Changes up to this revision may have been dropped.
    dropped_to: u64,
}

impl ListHistory {
    /// Takes a history that begins after a revision.
    pub(super) fn after(revision: u64) -> Self {
        Self {
            changes: VecDeque::new(),
            dropped_to: revision,
        }
    }

    pub(super) fn add(&mut self, revision: u64, identities: impl Iterator<Item = Arc<str>>) {
        self.changes
            .extend(identities.map(|identity| (revision, identity)));
        while self.changes.len() > KEPT_LIST_CHANGES
            && let Some((revision, _)) = self.changes.pop_front()
        {
            self.dropped_to = revision;
        }
    }

    /// Returns the instances that have changed since a revision; none if that is not known any more.
    pub(super) fn since(&self, revision: u64) -> Option<BTreeSet<Arc<str>>> {
        let newer = self.changes.iter().rev();
        let newer = newer.take_while(|(changed, _)| *changed > revision);
        (revision >= self.dropped_to).then(|| newer.map(|(_, id)| Arc::clone(id)).collect())
    }
}

#[derive(Debug, Clone, Copy)]
struct Told {
    revision: u64,
    report: Option<Report>,
    usage: Usage,
}

impl Told {
    /// Returns true if entries should hear of the difference.
    fn differs(&self, report: Option<Report>, usage: Usage) -> bool {
        let (before, now) = match (self.report, report) {
            (Some(before), Some(now)) => (before, now),
            (None, None) => return self.usage != usage,
            _ => return true,
        };
        let is_noticed = |a: u64, b: u64| {
            100 * a.abs_diff(b) >= NOTICED_MEMORY_PERCENT * now.total_tokens.max(1)
        };
        before.leaves() != now.leaves()
            || before.leaves_in_ms.is_some() != now.leaves_in_ms.is_some()
            || before.born_ms != now.born_ms
            || before.total_tokens != now.total_tokens
            || is_noticed(before.used_tokens, now.used_tokens)
            || is_noticed(self.usage.committed_tokens, usage.committed_tokens)
            || is_noticed(self.usage.prefill_tokens, usage.prefill_tokens)
            || self.usage.running.abs_diff(usage.running) >= NOTICED_RUNNING
    }
}

/// The state of each instance as entries were told of it, in the order of the changes.
#[derive(Debug, Default)]
pub(super) struct LoadHistory {
    revision: u64,
    told: BTreeMap<Arc<str>, Told>,
    by_revision: BTreeMap<u64, Arc<str>>,
}

impl LoadHistory {
    pub(super) fn revision(&self) -> u64 {
        self.revision
    }

    /// Takes the state of an instance.
    pub(super) fn update(&mut self, identity: &Arc<str>, report: Option<Report>, usage: Usage) {
        let before = self.told.get(identity);
        if before.is_some_and(|told| !told.differs(report, usage)) {
            return;
        }
        if let Some(before) = before {
            self.by_revision.remove(&before.revision);
        }
        self.revision += 1;
        let told = Told {
            revision: self.revision,
            report,
            usage,
        };
        self.told.insert(Arc::clone(identity), told);
        self.by_revision.insert(self.revision, Arc::clone(identity));
    }

    /// Forgets an instance that is no longer listed.
    pub(super) fn forget(&mut self, identity: &str) {
        if let Some(told) = self.told.remove(identity) {
            self.by_revision.remove(&told.revision);
        }
    }

    /// Returns a new revision, for a change that concerns one entry.
    pub(super) fn next_revision(&mut self) -> u64 {
        self.revision += 1;
        self.revision
    }

    /// Returns the instances that have changed since a revision.
    pub(super) fn since(&self, revision: u64) -> impl Iterator<Item = &Arc<str>> {
        let newer = self.by_revision.range(revision.saturating_add(1)..);
        newer.map(|(_, identity)| identity)
    }
}
