//! Snapshots of the state machine, and compaction of the log.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::core::Core;
use super::store::LogStore;
use super::types::{Snapshot, SnapshotWrite};

/// A snapshot is taken after entries of this size, even if they are few. The platform's disks hold
/// 64 MB, and a command may have 2 MiB.
const MAX_APPLIED_BYTES: usize = 8 * 1024 * 1024;
/// Limit on the size of the entries that are kept behind a snapshot for followers slightly behind.
const MAX_KEPT_BYTES: usize = MAX_APPLIED_BYTES / 4;

impl Core {
    /// Returns true once when enough entries, or bytes of entries, were applied since the last
    /// snapshot.
    pub(super) fn request_snapshot_if_due(&mut self) -> bool {
        let taken = self.snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
        let due = self.applied >= taken + self.settings.snapshot_entries
            || self.applied_bytes >= MAX_APPLIED_BYTES;
        let wanted = due && !self.snapshot_requested;
        self.snapshot_requested = due;
        wanted
    }

    /// Takes the encoded state machine as of the last applied entry, and compacts the log.
    pub fn snapshot_taken(&mut self, data: Vec<u8>) {
        let index = self.applied;
        self.snapshot_requested = false;
        self.applied_bytes = 0;
        let term = self.log.term_at(index);
        let config = self.configs.range(..=index).next_back();
        let (Some(term), Some((config_index, config))) = (term, config) else {
            return;
        };
        let snapshot = Arc::new(Snapshot {
            index,
            term,
            config: config.clone(),
            config_index: *config_index,
            data,
        });
        // Recent entries are kept, so that followers slightly behind need no snapshot.
        let keep_after = index.saturating_sub(self.settings.snapshot_entries / 4);
        let keep_after = self.log.start_of_last(keep_after, index, MAX_KEPT_BYTES);
        self.log.compact(keep_after);
        let keep_config = snapshot.config_index;
        self.configs.retain(|index, _| *index >= keep_config);
        self.persist.snapshot = Some(SnapshotWrite {
            snapshot: snapshot.clone(),
            replaces_log: false,
            keep_after: self.log.base(),
        });
        self.snapshot = Some(snapshot);
    }

    /// Replaces the log and the state machine by a snapshot received from the leader.
    pub(super) fn install(&mut self, snapshot: Snapshot) {
        let snapshot = Arc::new(snapshot);
        let commit = self.commit;
        self.check_invariant(snapshot.index > commit, "install_above_commit", || {
            format!(
                "snapshot at entry {}, commit index {commit}",
                snapshot.index
            )
        });
        self.log = LogStore::after(snapshot.index, snapshot.term);
        self.configs = BTreeMap::from([(snapshot.config_index, snapshot.config.clone())]);
        self.commit = snapshot.index;
        self.applied = snapshot.index;
        self.applied_bytes = 0;
        self.synced = snapshot.index;
        self.persist.entries.clear();
        self.persist.snapshot = Some(SnapshotWrite {
            snapshot: snapshot.clone(),
            replaces_log: true,
            keep_after: snapshot.index,
        });
        self.restore = Some(snapshot.clone());
        self.snapshot = Some(snapshot);
    }
}
