//! Leases on concurrency slots: the control leader grants each entry a part of the generations that
//! a workspace, or a kind of request within it, may run at the same time ("room").
//!
//! The broker runs at the control leader, one holder in each entry. Each table row that limits a
//! workspace or kind is divided separately. A holder starts a generation only if it has a free slot
//! and its lease has not ended, so the running generations of a row never exceed the slots that the
//! broker has charged to the holders, and the broker never charges more slots than the row has.

mod broker;
mod division;
mod holder;

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::domain::table::Table;
use crate::model::{KindName, WorkspaceName};

pub use broker::{Broker, EntryMember, RoomRefusal, Violation};
pub use holder::{Demand, Holder, Shortage};

/// The durations that slot leases depend on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RoomTimes {
    /// Duration of a lease.
    pub lease_ms: u64,
    /// A holder stops admitting generations this long before its lease ends. The margin covers the
    /// latency of the start call to the sidecar and the drift between clocks.
    pub margin_ms: u64,
    /// Time after which sidecars cancel a generation whose output nobody reads.
    pub orphan_ms: u64,
    /// Time for which a new leader grants no additional slots, unless all entries report earlier
    /// what they hold.
    pub grace_ms: u64,
    /// Time for which a contended slot that does not divide evenly stays with one holder before it
    /// passes to the next.
    pub turn_ms: u64,
}

impl Default for RoomTimes {
    fn default() -> Self {
        let (lease_ms, orphan_ms) = (5_000, 30_000);
        Self {
            lease_ms,
            margin_ms: 1_000,
            orphan_ms,
            grace_ms: lease_ms + orphan_ms,
            turn_ms: lease_ms,
        }
    }
}

/// Identifies the table row that limits a workspace, or a kind of request within it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RoomKey {
    pub workspace: WorkspaceName,
    /// `None` for the row of the workspace itself.
    pub kind: Option<KindName>,
}

impl RoomKey {
    /// Returns the number of generations that may run at the same time, or `None` without a limit.
    pub fn limit(&self, table: &Table) -> Option<u32> {
        match &self.kind {
            None => table.workspace(&self.workspace)?.room_slots,
            Some(kind) => table.kind(&self.workspace, kind)?.room_slots,
        }
    }
}

impl fmt::Display for RoomKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.kind {
            None => write!(f, "workspace/{}", self.workspace),
            Some(kind) => write!(f, "kind/{}/{kind}", self.workspace),
        }
    }
}
