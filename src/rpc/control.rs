//! The RPC service of control instances, called by every process.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::Stamp;
use crate::domain::state::{Command, Response, ViewDelta};
use crate::model::{
    Fence, InstanceRef, KindName, ModelName, TableVersion, UpstreamName, WorkspaceName,
};

/// Why a control instance did not answer a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlError {
    /// Another instance leads; its address, if known.
    NotLeader { leader: Option<SocketAddr> },
    /// The command may or may not be committed. Resend it: commands are idempotent.
    Undecided,
    /// The control role has stopped, for example after a failed disk sync.
    Stopped,
    /// The call is malformed.
    Invalid { reason: String },
}

/// Submits a command to the replicated log.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct SubmitRequest {
    pub stamp: Stamp,
    pub command: Command,
}

/// Long poll for changes of the view after a version. A control instance or a relay answers.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WatchRequest {
    pub stamp: Stamp,
    /// The version that the watcher has applied.
    pub known_version: TableVersion,
    /// Where to continue in a snapshot that is being fetched in pieces; `None` otherwise.
    pub piece: Option<SnapshotCursor>,
    /// The lowest version in the watcher's subtree of relays, itself included.
    pub subtree_version: TableVersion,
    /// The number of processes in that subtree.
    pub subtree_count: u32,
    /// How long the answering process may hold the call while there is no change.
    pub hold_ms: u64,
}

/// A position in a snapshot of the view.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotCursor {
    pub version: TableVersion,
    pub offset_bytes: u64,
}

/// How current the view of the answering process is. Given as ages, so that the clocks of the two
/// processes need not agree.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Freshness {
    /// Time since the process last knew its view to be current.
    pub confirmed_age_ms: u64,
    /// How long the process held the call. The answer was made no earlier than this long after the
    /// watcher sent the call.
    pub held_ms: u64,
}

/// The answer to a watch.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum WatchReply {
    /// Deltas in order; empty if the hold time passed without a change.
    Deltas {
        stamp: Stamp,
        deltas: Vec<ViewDelta>,
        freshness: Freshness,
    },
    /// One piece of an encoded snapshot. The watcher asks again with `next` until that is `None`.
    Snapshot {
        stamp: Stamp,
        version: TableVersion,
        bytes: Vec<u8>,
        next: Option<SnapshotCursor>,
        freshness: Freshness,
    },
    /// The process has reached its limit of watchers; `relay` is the one to ask instead.
    Redirect { stamp: Stamp, relay: SocketAddr },
    /// The process cannot confirm that its view is current.
    Unconfirmed { stamp: Stamp },
}

impl WatchReply {
    /// Returns the stamp of the answering process.
    pub fn stamp(&self) -> &Stamp {
        match self {
            Self::Deltas { stamp, .. }
            | Self::Snapshot { stamp, .. }
            | Self::Redirect { stamp, .. }
            | Self::Unconfirmed { stamp } => stamp,
        }
    }
}

/// The slots of one row that a lease holder uses and requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoomDemand {
    pub workspace: WorkspaceName,
    /// `None` for the row of the workspace itself.
    pub kind: Option<KindName>,
    /// Slots occupied by running generations.
    pub used_slots: u32,
    /// Slots requested in total, including those in use.
    pub wanted_slots: u32,
    /// Slots that the holder believes it has been granted; may be fewer than it uses.
    pub held_slots: u32,
}

/// Moves a slot from a holder that no longer responds to the sender, which takes over the
/// generation that occupies it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoomAdoption {
    /// Unique within the sender's incarnation; a repeated request moves the slot once.
    pub id: u64,
    /// The entry instance, with its incarnation, that started or last adopted the generation.
    pub from: InstanceRef,
    pub workspace: WorkspaceName,
    pub kind: Option<KindName>,
}

/// Renews, requests and returns leases on slots. One call covers all rows of the holder.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RoomRequest {
    pub stamp: Stamp,
    /// Increases with each request of this holder's incarnation; older requests are ignored.
    pub sequence: u64,
    /// How long this incarnation has been running. Tells a new leader whether an earlier
    /// incarnation of the instance can still have running generations.
    pub running_ms: u64,
    /// True if `demands` lists only rows that need an answer before the next renewal. The lease and
    /// the rows that are not listed stay as they are.
    pub partial: bool,
    #[serde(rename = "wants")]
    pub demands: Vec<RoomDemand>,
    pub adopts: Vec<RoomAdoption>,
}

/// The slots granted to a holder for one row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoomGrant {
    pub workspace: WorkspaceName,
    pub kind: Option<KindName>,
    pub granted_slots: u32,
}

/// The answer to a room request.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RoomReply {
    pub stamp: Stamp,
    pub sequence: u64,
    pub grants: Vec<RoomGrant>,
    /// The ids of the adoptions in the request that were carried out.
    pub adopted: Vec<u64>,
    /// Duration of the leases, counted from the time at which the holder sent its request.
    pub lease_ms: u64,
}

/// Requests, renews or returns a permit to load a model version from the weight store.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PermitRequest {
    pub stamp: Stamp,
    pub fence: Fence,
    pub upstream: UpstreamName,
    pub model: ModelName,
    pub version: String,
    /// True if the upstream has no version loaded, so that it cannot serve until the load is done.
    pub recovery: bool,
    /// True to renew a permit that the sidecar holds, possibly granted by an earlier leader.
    pub held: bool,
    /// True to return the permit.
    pub done: bool,
}

/// The answer to a permit request.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum PermitReply {
    Granted {
        stamp: Stamp,
        lease_ms: u64,
    },
    Wait {
        stamp: Stamp,
        retry_after_ms: u64,
    },
    /// A newer registration of the instance exists.
    Fenced {
        stamp: Stamp,
        current: Fence,
    },
}

/// The methods of a control instance. Relays answer `watch` only.
#[tarpc::service]
pub trait Control {
    /// Heartbeat of a connection; answered immediately.
    async fn ping();
    async fn submit(request: SubmitRequest) -> Result<Response, ControlError>;
    async fn watch(request: WatchRequest) -> WatchReply;
    async fn room(request: RoomRequest) -> Result<RoomReply, ControlError>;
    async fn permit(request: PermitRequest) -> Result<PermitReply, ControlError>;
}
