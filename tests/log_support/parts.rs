//! Random numbers, fault probabilities, disks and the state machine of the simulation.

use std::sync::Arc;

use lilacspindle::domain::log::{Entry, HardState, Persist, RecoveredState, Snapshot};

/// `SplitMix64`, implemented here so that a seed gives the same run with every library version.
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

/// Probabilities per thousand: `loss` and `duplicate` per message, those of crashes around a sync
/// per sync, and those from `crash` to `join` per tick of the whole simulation.
#[derive(Clone, Copy, Default)]
pub struct Faults {
    pub loss: u64,
    pub duplicate: u64,
    pub max_delay_ms: u64,
    pub crash_before_sync: u64,
    pub crash_after_sync: u64,
    pub crash: u64,
    pub isolate: u64,
    pub pause: u64,
    pub lose_disk: u64,
    pub leadership_transfer: u64,
    pub join: u64,
    /// True to let an instance wrongly keep its identity when its disk is lost.
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
            pause: 4,
            lose_disk: 1,
            leadership_transfer: 2,
            join: 1,
            keep_identity: false,
        }
    }
}

/// The synced content of a data folder.
#[derive(Clone, Default)]
pub struct Disk {
    pub hard: HardState,
    pub snapshot: Option<Arc<Snapshot>>,
    pub entries: Vec<Arc<Entry>>,
}

impl Disk {
    /// Writes `persist`, but only the first `entries` of its entries.
    pub fn write(&mut self, persist: &Persist, entries: usize) {
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

    pub fn holds(&self, entry: &Entry) -> bool {
        self.snapshot
            .as_ref()
            .is_some_and(|s| s.index >= entry.index)
            || self.entries.iter().any(|held| **held == *entry)
    }

    pub fn recovered(&self) -> RecoveredState {
        let after = self.snapshot.as_ref().map_or(0, |s| s.index);
        let entries = self.entries.iter().filter(|entry| entry.index > after);
        RecoveredState {
            hard_state: self.hard,
            snapshot: self.snapshot.clone(),
            entries: entries.map(|entry| (**entry).clone()).collect(),
        }
    }
}

/// A register that an edit changes only if the edit names the current version.
#[derive(Clone, Copy, Default, PartialEq, Eq, Debug)]
pub struct Register {
    pub version: u64,
    pub value: u64,
}
