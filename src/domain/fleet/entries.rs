//! What the hub keeps of each entry that asks for news.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::Position;

/// The subset of the instances that an entry was last told of. The entry names the position when it
/// asks again, if the answer has arrived.
#[derive(Debug)]
pub(super) struct ToldSubset {
    pub(super) position: Position,
    pub(super) instances: BTreeSet<Arc<str>>,
}

#[derive(Debug)]
struct Entry {
    expires_ms: u64,
    /// Changes of its own load up to this revision are not known.
    known_after: u64,
    /// The engines where its own load has changed, and the revision of the change.
    own_changes: BTreeMap<Arc<str>, u64>,
    /// None if it was told of all instances.
    told: Option<ToldSubset>,
}

/// The entries that have asked lately.
#[derive(Debug, Default)]
pub(super) struct Entries(BTreeMap<Arc<str>, Entry>);

impl Entries {
    pub(super) fn knows(&self, entry: &str) -> bool {
        self.0.contains_key(entry)
    }

    pub(super) fn is_told_subset(&self, entry: &str) -> bool {
        self.0.get(entry).is_some_and(|entry| entry.told.is_some())
    }

    pub(super) fn forget(&mut self, entry: &str) {
        self.0.remove(entry);
    }

    /// Takes note of engines where the load of an entry has changed with a revision. The entry is kept
    /// until `expires_ms`.
    pub(super) fn own_changed(
        &mut self,
        entry: &Arc<str>,
        engines: &[Arc<str>],
        revision: u64,
        expires_ms: u64,
    ) {
        let entry = self.0.entry(Arc::clone(entry)).or_insert(Entry {
            expires_ms,
            known_after: revision,
            own_changes: BTreeMap::new(),
            told: None,
        });
        entry.expires_ms = expires_ms;
        for engine in engines {
            entry.own_changes.insert(Arc::clone(engine), revision);
        }
    }

    /// Returns the engines where the load of an entry has changed since a revision that it has; none
    /// if that is not known.
    pub(super) fn own_changes(&mut self, entry: &str, since: u64) -> Option<BTreeSet<Arc<str>>> {
        let entry = self.0.get_mut(entry)?;
        // What the entry has is not asked for again.
        entry.own_changes.retain(|_, changed| *changed > since);
        (since >= entry.known_after).then(|| entry.own_changes.keys().cloned().collect())
    }

    /// Takes what an entry is told of from now on; returns what it was told of before.
    pub(super) fn tell(&mut self, entry: &str, told: Option<ToldSubset>) -> Option<ToldSubset> {
        let entry = self.0.get_mut(entry)?;
        std::mem::replace(&mut entry.told, told)
    }

    /// Forgets entries that have been silent.
    pub(super) fn expire(&mut self, now_ms: u64) {
        self.0.retain(|_, entry| now_ms < entry.expires_ms);
    }
}
