//! The service of control instances, called by every process.

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
    /// The role has stopped, for example after a failed sync.
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

/// Asks for changes of the view beyond a version. A control instance or a relay answers.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WatchRequest {
    pub stamp: Stamp,
    /// The version that the watcher has applied.
    pub known_version: TableVersion,
    /// Position in a snapshot whose pieces are being fetched.
    pub piece: Option<SnapshotCursor>,
    /// The lowest version in the watcher's subtree of relays, itself included.
    pub subtree_version: TableVersion,
    /// The number of processes in that subtree.
    pub subtree_count: u32,
    pub hold_ms: u64,
}

/// A position in a snapshot of the view.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotCursor {
    pub version: TableVersion,
    pub offset_bytes: u64,
}

/// How current the view of an answering process is, in ages, so that clocks need not agree.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Freshness {
    /// How long ago the process knew its view to be current.
    pub confirmed_age_ms: u64,
    /// How long the process held the call. The watcher knows when it sent the call, so it knows a
    /// time before which the answer was not made.
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
    /// One piece of an encoded snapshot; ask again with the next cursor until `next` is none.
    Snapshot {
        stamp: Stamp,
        version: TableVersion,
        bytes: Vec<u8>,
        next: Option<SnapshotCursor>,
        freshness: Freshness,
    },
    /// The process serves enough watchers; ask this one.
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

/// What a holder of slots wants for one row, and what it uses.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoomWant {
    pub workspace: WorkspaceName,
    /// None for the row of the workspace itself.
    pub kind: Option<KindName>,
    /// Slots under running generations.
    pub used_slots: u32,
    /// Slots wanted in total, those in use included.
    pub wanted_slots: u32,
    /// Slots that the holder believes to be granted to it; may be below those in use.
    pub held_slots: u32,
}

/// Asks to move a slot from a holder that fell silent, for a generation that the sender takes over.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoomAdopt {
    /// Unique within the sender's incarnation; a repeated request moves the slot once.
    pub id: u64,
    /// The run of the entry that started or last adopted the generation.
    pub from: InstanceRef,
    pub workspace: WorkspaceName,
    pub kind: Option<KindName>,
}

/// Renews, asks for and returns leases on slots. One call carries all rows of the holder.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RoomRequest {
    pub stamp: Stamp,
    /// Rises with each request of this holder's incarnation; older requests are ignored.
    pub sequence: u64,
    /// How long this incarnation has been running. A new leader learns from it whether an earlier
    /// run of the instance can still have generations.
    pub running_ms: u64,
    /// True if `wants` lists only rows that need an answer before the next renewal. The lease and
    /// the rows that are not listed stay as they are.
    pub partial: bool,
    pub wants: Vec<RoomWant>,
    pub adopts: Vec<RoomAdopt>,
}

/// A grant of slots for one row.
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
    /// The adoptions of the request that were carried out, by their ids.
    pub adopted: Vec<u64>,
    /// Length of the leases, from the time at which the holder sent its request.
    pub lease_ms: u64,
}

/// Asks for permission to load a version from the weight store.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PermitRequest {
    pub stamp: Stamp,
    pub fence: Fence,
    pub upstream: UpstreamName,
    pub model: ModelName,
    pub version: String,
    /// True if the upstream has no version at all, so that it serves nothing until it has loaded.
    pub recovery: bool,
    /// True to renew a permit that the sidecar holds, perhaps from a former leader.
    pub held: bool,
    /// True to give the permit back.
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

/// The calls of a control instance. Relays answer `watch` only.
#[tarpc::service]
pub trait Control {
    /// Answered at once; the heartbeat of a connection.
    async fn ping();
    async fn submit(request: SubmitRequest) -> Result<Response, ControlError>;
    async fn watch(request: WatchRequest) -> WatchReply;
    async fn room(request: RoomRequest) -> Result<RoomReply, ControlError>;
    async fn permit(request: PermitRequest) -> Result<PermitReply, ControlError>;
}
