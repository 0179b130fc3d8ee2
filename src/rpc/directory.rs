//! The service that control instances offer to entries and sidecars: the shared document and the
//! fleet.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::domain::fleet::{
    Demand, Departure, FleetUpdate, Load, Outlook, PlacementRequest, Position, Report,
};
use crate::model::ZoneName;
use crate::rpc::Packed;

/// A version of the document as the operator published it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Published {
    pub version: u64,
    pub body: Arc<[u8]>,
}

/// What an entry tells and asks.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct SyncRequest {
    pub entry: Arc<str>,
    /// The entry's availability zone.
    pub zone: ZoneName,
    /// The version of the document that the entry has applied; 0 for none.
    pub version: u64,
    /// How much of the updates on the fleet the entry has received.
    pub position: Option<Position>,
    pub loads: Vec<Load>,
    /// Instances that have told the entry that they leave, as far as the hub does not say so itself.
    pub departures: Vec<Departure>,
    /// How long the answer may wait for an update.
    pub hold_ms: u64,
}

/// What an entry learns.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct SyncReply {
    /// True if no newer document than the one told or known was acknowledged before the call.
    pub confirmed: bool,
    /// False if the instance has no data folder; it can only name the leader.
    pub keeps_log: bool,
    /// A newer document than the caller's.
    pub document: Option<Packed>,
    /// What the caller does not know of the fleet; none if the list was never read.
    pub fleet: Option<FleetUpdate>,
    pub list_age_ms: Option<u64>,
    /// Entries that synced lately.
    pub entries: u32,
    /// The leader, if another instance leads; it knows the loads of all entries.
    pub leader: Option<SocketAddr>,
}

/// A report of the engine beside a sidecar.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ReportRequest {
    pub address: SocketAddr,
    pub report: Report,
    pub zone: ZoneName,
    /// The engine's service, if the sidecar's settings name it.
    pub service: Option<Arc<str>>,
    /// The engine's identity, if the sidecar has asked for it since the engine's start.
    pub identity: Option<Arc<str>>,
    /// True while the sidecar is about to ask for it.
    pub is_identifying: bool,
}

/// Whether the report reached the instance whose hub the entries ask.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ReportReply {
    pub leads: bool,
    /// The leader, if another instance is known to lead.
    pub leader: Option<SocketAddr>,
    /// Where an engine of the service tells its identity, if the document names the service.
    pub health_path: Option<Arc<str>>,
}

/// A generation that an entry wants to place, and how long that is of use.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PlaceRequest {
    pub placement: PlacementRequest,
    /// Identifies the call over all attempts of its caller.
    pub call: u64,
    /// Time since this attempt came.
    pub waited_ms: u64,
    /// Time from the first attempt in which it can find room and still start in time.
    pub in_time_ms: u64,
    /// Time for which it may go on waiting.
    pub left_ms: u64,
    /// How long the answer may wait for room. An entry asks without waiting first, so that it learns
    /// soon whether the instance answers at all.
    pub hold_ms: u64,
}

/// The answer to a placement request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlaceReply {
    /// The position of the candidate.
    At(usize),
    /// There is no room yet; the generation may wait.
    Wait(Outlook),
    /// There was no room while the answer was held; ask again, with other candidates.
    Ask,
    /// No room is expected in time.
    Full(Outlook),
    /// The instance does not lead, so entries tell their loads to another one.
    NotLeader,
}

/// A copy of a generation's memory that an entry wants to make.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TurnRequest {
    /// The request whose generation is copied. If it asks again, it gives its earlier turn back.
    pub request: Arc<str>,
    pub source: SocketAddr,
    /// What the generation needs in all, done and to do: what is lost without the copy.
    pub demand: Demand,
    /// Engines that may take the copy, the best one first, and what they need to hold.
    pub placement: PlacementRequest,
    /// How long the copy to each of them takes.
    pub takes_ms: Vec<u64>,
    /// Time until the source is gone, if that is known.
    pub gone_in_ms: Option<u64>,
}

/// When the copy may begin.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TurnReply {
    pub target: SocketAddr,
    pub copy_in_ms: u64,
    /// Time until the generation is to be stopped for its last copy.
    pub stop_in_ms: u64,
}

/// The calls to control instances.
#[tarpc::service]
pub trait Directory {
    /// Answered at once; the heartbeat of a connection.
    async fn ping();
    async fn sync(request: SyncRequest) -> SyncReply;
    /// Reserves room for a generation at one of its candidates.
    async fn place(request: PlaceRequest) -> PlaceReply;
    /// Returns the turn of a copy; none if it cannot end in time.
    async fn turn(request: TurnRequest) -> Option<TurnReply>;
    async fn report(request: ReportRequest) -> ReportReply;
}
