//! Updates from the hub to entries: the complete state once, then the changes.
//!
//! Sending each entry the state of each engine several times a second would cost entries times
//! engines, however little has changed. Loads change all the time, so a load counts as changed only
//! once it differs noticeably from the one last sent; the hub, which places generations, knows the
//! exact one. An entry is sent the other entries' share of a load, so it is also sent each engine
//! where its own load has changed: if others have taken the room that it released, the total is
//! unchanged.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::usage::Usage;
use super::{InstanceUpdate, Listed, Report};
use crate::domain::pace::PaceEstimate;

/// Smallest change of a load that is sent, as a percentage of the engine's memory: one long
/// generation on the planned deployments.
const MIN_MEMORY_CHANGE_PERCENT: u64 = 12;
/// Smallest change in running generations that is sent: a sixth of what engines of the planned
/// deployments run at once.
const MIN_RUNNING_CHANGE: u32 = 4;
/// Number of list changes that are kept. An entry with an older revision is sent the complete list.
const MAX_LIST_CHANGES: usize = 1_024;

/// The latest update of a hub that an entry has received.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Position {
    /// The hub that the revisions belong to.
    pub hub: u64,
    pub list_revision: u64,
    pub load_revision: u64,
}

/// An update from a hub to an entry.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct FleetUpdate {
    pub position: Position,
    /// True if this replaces all earlier updates.
    pub whole: bool,
    /// True if the entry is sent a subset of the instances.
    pub is_subset: bool,
    /// Instances that are new in the list or are listed with other properties than before.
    pub listed: Vec<Listed>,
    /// Instances that are no longer listed.
    pub gone: Vec<Arc<str>>,
    /// Instances that are still listed but no longer in the entry's subset.
    pub dropped: Vec<Arc<str>>,
    pub pulses: Vec<InstanceUpdate>,
}

/// The revisions and identities of list changes, the newest last.
#[derive(Debug, Default)]
pub(super) struct ListHistory {
    changes: VecDeque<(u64, Arc<str>)>,
    /// Changes up to this revision may have been discarded.
    discarded_to: u64,
}

impl ListHistory {
    /// Returns an empty history that begins after a revision.
    pub(super) fn after(revision: u64) -> Self {
        Self {
            changes: VecDeque::new(),
            discarded_to: revision,
        }
    }

    pub(super) fn add(&mut self, revision: u64, identities: impl Iterator<Item = Arc<str>>) {
        self.changes
            .extend(identities.map(|identity| (revision, identity)));
        while self.changes.len() > MAX_LIST_CHANGES
            && let Some((revision, _)) = self.changes.pop_front()
        {
            self.discarded_to = revision;
        }
    }

    /// Returns the instances that have changed since a revision; `None` if changes since then have
    /// been discarded.
    pub(super) fn since(&self, revision: u64) -> Option<BTreeSet<Arc<str>>> {
        let newer = self.changes.iter().rev();
        let newer = newer.take_while(|(changed, _)| *changed > revision);
        (revision >= self.discarded_to).then(|| newer.map(|(_, id)| Arc::clone(id)).collect())
    }
}

/// The state of an instance that entries are sent.
#[derive(Debug, Clone, Copy)]
pub(super) struct InstanceState {
    pub(super) report: Option<Report>,
    pub(super) usage: Usage,
    /// The request limit in force; `None` if there is none.
    pub(super) limit_milli_per_s: Option<u64>,
    pub(super) pace: Option<PaceEstimate>,
}

#[derive(Debug, Clone, Copy)]
struct SentState {
    revision: u64,
    state: InstanceState,
}

impl InstanceState {
    /// Returns true if the difference is large enough to be sent.
    fn differs(&self, new: &Self) -> bool {
        if self.limit_milli_per_s != new.limit_milli_per_s {
            return true;
        }
        let (pace, new_pace) = (self.pace.unwrap_or_default(), new.pace.unwrap_or_default());
        if pace.differs(&new_pace) {
            return true;
        }
        let usage = new.usage;
        let (before, now) = match (self.report, new.report) {
            (Some(before), Some(now)) => (before, now),
            (None, None) => return self.usage != usage,
            _ => return true,
        };
        let is_noticeable = |a: u64, b: u64| {
            100 * a.abs_diff(b) >= MIN_MEMORY_CHANGE_PERCENT * now.total_tokens.max(1)
        };
        before.leaves() != now.leaves()
            || before.leaves_in_ms.is_some() != now.leaves_in_ms.is_some()
            || before.born_ms != now.born_ms
            || before.total_tokens != now.total_tokens
            || is_noticeable(before.used_tokens, now.used_tokens)
            || is_noticeable(self.usage.committed_tokens, usage.committed_tokens)
            || is_noticeable(self.usage.prefill_tokens, usage.prefill_tokens)
            || self.usage.running.abs_diff(usage.running) >= MIN_RUNNING_CHANGE
    }
}

/// The state of each instance as last sent to entries, and the order of the changes.
#[derive(Debug, Default)]
pub(super) struct LoadHistory {
    revision: u64,
    sent: BTreeMap<Arc<str>, SentState>,
    by_revision: BTreeMap<u64, Arc<str>>,
}

impl LoadHistory {
    pub(super) fn revision(&self) -> u64 {
        self.revision
    }

    /// Records the state of an instance if it differs noticeably from the one last sent.
    pub(super) fn update(&mut self, identity: &Arc<str>, state: InstanceState) {
        let before = self.sent.get(identity);
        if before.is_some_and(|sent| !sent.state.differs(&state)) {
            return;
        }
        if let Some(before) = before {
            self.by_revision.remove(&before.revision);
        }
        self.revision += 1;
        let sent = SentState {
            revision: self.revision,
            state,
        };
        self.sent.insert(Arc::clone(identity), sent);
        self.by_revision.insert(self.revision, Arc::clone(identity));
    }

    /// Removes an instance that is no longer listed.
    pub(super) fn forget(&mut self, identity: &str) {
        if let Some(sent) = self.sent.remove(identity) {
            self.by_revision.remove(&sent.revision);
        }
    }

    /// Returns a new revision for a change that concerns only one entry.
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
