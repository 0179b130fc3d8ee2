//! Room: slots for generations that the control leader grants to entries as leases.
//!
//! The broker runs at the control leader, a holder in each entry. A holder starts a generation only
//! with a slot in hand and before its lease ends, so the running generations of a row never exceed
//! what the broker has charged to its holders, and the broker never charges more than the row.

mod broker;
mod division;
mod holder;

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::domain::table::Table;
use crate::model::{KindName, WorkspaceName};

pub use broker::{Broker, EntryMember, RoomRefusal, Violation};
pub use holder::{Demand, Holder, Shortage};

/// The times that leases on slots depend on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RoomTimes {
    /// Length of a lease.
    pub lease_ms: u64,
    /// A holder stops admitting this long before its lease ends. It covers the way of the start
    /// call to the sidecar and clocks that run at slightly different rates.
    pub margin_ms: u64,
    /// Time after which sidecars cancel generations that nobody reads.
    pub orphan_ms: u64,
    /// How long a new leader grants nothing new, unless all entries report earlier.
    pub grace_ms: u64,
    /// How long a contended single slot stays with one holder before it passes to the next.
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

/// Names the room of a workspace, or of a kind within it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RoomKey {
    pub workspace: WorkspaceName,
    /// None for the row of the workspace itself.
    pub kind: Option<KindName>,
}

impl RoomKey {
    /// Returns the number of generations that may run at once, or none without a limit.
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
