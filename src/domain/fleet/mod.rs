//! The upstream instances that requests are sent to: the platform's list, the reports of sidecars,
//! and the load that entries have placed on them.

mod address_owner;
mod announced;
mod choice;
mod cold;
mod copy_schedule;
mod departures;
mod entries;
mod hub;
mod instance;
mod limiters;
mod list_reads;
mod local_share;
mod pause;
mod placement;
mod queue;
mod refused_calls;
mod request_limit;
mod starts;
mod subset;
mod updates;
mod usage;
mod view;
mod wake_limiter;

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::domain::pace::{Gaps, PaceEstimate, PacedStreams};
use crate::model::ZoneName;

pub use address_owner::AddressOwner;
pub use choice::{ChosenInstance, Demand, EngineQuery, PlainCandidates};
pub use cold::{ColdRule, ColdRules};
pub use copy_schedule::{CopyPlan, CopySchedule, Target, Turn, sort_by_worth};
pub use departures::Departure;
pub use hub::{Hub, ListChange};
pub use instance::{InstanceSummary, Leaving, Outcome, Reachability};
pub use limiters::{LimitsReached, Permit};
pub use list_reads::ListReads;
pub use pause::AskedPause;
pub use placement::{Candidate, PlacementRequest};
pub use queue::{Outlook, PendingGeneration, PlacementDecision, PlacementQueue};
pub use refused_calls::RefusedCalls;
pub use request_limit::{KnownLimit, LimitChange, LimitNotice, LimitStatement, NamedLimit};
pub use updates::{FleetUpdate, Position};
pub use view::View;
pub use wake_limiter::WakeLimiter;

/// The state of an instance in the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ListedState {
    Ready,
    Draining,
}

/// One instance in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listed {
    /// Unique to an instance. An instance that restarts may keep it.
    pub identity: Arc<str>,
    pub service: Arc<str>,
    pub address: SocketAddr,
    pub zone: ZoneName,
    pub slots: u32,
    pub state: ListedState,
    /// How long the instance stays cold: slow and easily overloaded, after its start. 0 if it is not
    /// cold.
    pub cold_remaining_ms: u64,
    /// When the instance started, in Unix time; `None` if it does not report that. Distinguishes
    /// starts that keep the identity.
    pub born_ms: Option<u64>,
}

/// An engine's report on its own state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    pub queued: u32,
    pub running: u32,
    /// Memory that cannot be freed.
    pub used_tokens: u64,
    pub total_tokens: u64,
    /// Time until the instance is gone; `None` while that is not known.
    pub leaves_in_ms: Option<u64>,
    pub draining: bool,
    /// When the instance started, in Unix time; `None` if it does not report that.
    pub born_ms: Option<u64>,
}

impl Report {
    /// Returns true if the instance is about to leave.
    pub fn leaves(&self) -> bool {
        self.draining || self.leaves_in_ms.is_some()
    }

    /// Returns true if the memory in use leaves room for `tokens`. The load that entries report
    /// does not include copies that are no longer used by any generation, so this check is needed
    /// as well.
    pub fn holds(&self, tokens: u64) -> bool {
        self.used_tokens == 0 || self.used_tokens + tokens <= self.total_tokens
    }
}

/// The load that one entry has placed on an instance.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    pub identity: Arc<str>,
    pub running: u32,
    /// Memory that its generations are expected to occupy at their end.
    pub committed_tokens: u64,
    /// Prompt tokens of generations without a first event.
    pub prefill_tokens: u64,
    /// Its running generations with a gap target.
    pub paced: PacedStreams,
    /// Gaps between events since the entry's last report.
    pub gaps: Gaps,
}

/// The hub's update to an entry on one instance.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceUpdate {
    pub identity: Arc<str>,
    /// The newest report and its age in milliseconds.
    pub report: Option<(Report, u64)>,
    /// Load of all other entries.
    pub running: u32,
    pub committed_tokens: u64,
    pub prefill_tokens: u64,
    pub paced: PacedStreams,
    /// Its pace; `None` if it is unknown.
    pub pace: Option<PaceEstimate>,
    /// What the instance has last stated about its request limit; `None` if it never named one.
    pub limit: Option<LimitStatement>,
}
