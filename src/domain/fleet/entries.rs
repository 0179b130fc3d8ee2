//! The state that the hub keeps for each entry that requests updates.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::Position;

/// The subset of the instances that an entry was last sent. If the response arrived, the entry
/// names its position in the next request.
#[derive(Debug)]
pub(super) struct SentSubset {
    pub(super) position: Position,
    pub(super) instances: BTreeSet<Arc<str>>,
}

#[derive(Debug)]
struct Entry {
    expires_ms: u64,
    /// Changes of its own load up to this revision are not known.
    complete_after: u64,
    /// The engines on which its own load has changed, and the revision of the change.
    own_changes: BTreeMap<Arc<str>, u64>,
    /// `None` if it was sent all instances.
    sent: Option<SentSubset>,
}

/// The entries that have requested updates recently.
#[derive(Debug, Default)]
pub(super) struct Entries(BTreeMap<Arc<str>, Entry>);

impl Entries {
    pub(super) fn contains(&self, entry: &str) -> bool {
        self.0.contains_key(entry)
    }

    pub(super) fn was_sent_subset(&self, entry: &str) -> bool {
        self.0.get(entry).is_some_and(|entry| entry.sent.is_some())
    }

    pub(super) fn forget(&mut self, entry: &str) {
        self.0.remove(entry);
    }

    /// Records that the load of an entry has changed on some engines at a revision. The entry is
    /// kept until `expires_ms`.
    pub(super) fn record_own_changes(
        &mut self,
        entry: &Arc<str>,
        engines: &[Arc<str>],
        revision: u64,
        expires_ms: u64,
    ) {
        let entry = self.0.entry(Arc::clone(entry)).or_insert(Entry {
            expires_ms,
            complete_after: revision,
            own_changes: BTreeMap::new(),
            sent: None,
        });
        entry.expires_ms = expires_ms;
        for engine in engines {
            entry.own_changes.insert(Arc::clone(engine), revision);
        }
    }

    /// Returns the engines on which the load of an entry has changed since a revision that it has
    /// received; `None` if the changes since then are not known.
    pub(super) fn own_changes(&mut self, entry: &str, since: u64) -> Option<BTreeSet<Arc<str>>> {
        let entry = self.0.get_mut(entry)?;
        // The entry has received these changes and does not request them again.
        entry.own_changes.retain(|_, changed| *changed > since);
        (since >= entry.complete_after).then(|| entry.own_changes.keys().cloned().collect())
    }

    /// Stores the subset that an entry is sent now, `None` for all instances. Returns the one that
    /// it was sent before.
    pub(super) fn replace_sent(
        &mut self,
        entry: &str,
        sent: Option<SentSubset>,
    ) -> Option<SentSubset> {
        let entry = self.0.get_mut(entry)?;
        std::mem::replace(&mut entry.sent, sent)
    }

    /// Removes entries that have not made a request before their expiry.
    pub(super) fn expire(&mut self, now_ms: u64) {
        self.0.retain(|_, entry| now_ms < entry.expires_ms);
    }
}
