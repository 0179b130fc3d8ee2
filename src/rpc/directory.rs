//! The RPC service of control instances for entries and sidecars: the shared document, the state of
//! the fleet, placement and copies between engines.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::domain::evacuation::Evacuations;
use crate::domain::fleet::{
    Demand, Departure, FleetUpdate, LimitNotice, LimitStatement, LimitsReached, Load, Outlook,
    PlacementRequest, Position, Report,
};
use crate::domain::quarantine::{KnownParts, KnownRequests, PartNotices, RequestNotices};
use crate::model::ZoneName;
use crate::rpc::Packed;

/// A version of the document as the operator published it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Published {
    pub version: u64,
    pub body: Arc<[u8]>,
}

/// Long poll of an entry, which reports its loads and asks for a newer document and fleet updates.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct SyncRequest {
    pub entry: Arc<str>,
    /// The entry's availability zone.
    pub zone: ZoneName,
    /// The version of the document that the entry has applied; 0 if it has none.
    pub version: u64,
    /// The revision of the evacuated zones that the entry has applied; 0 if it has none.
    pub evacuation_revision: u64,
    /// How much of the updates on the fleet the entry has received.
    pub position: Option<Position>,
    pub loads: Vec<Load>,
    /// Instances that have announced their shutdown to the entry, except those that the hub already
    /// lists as leaving.
    pub departures: Vec<Departure>,
    /// What the entry has heard of request limits, except what the hub already knows.
    pub limits: Vec<LimitNotice>,
    /// Crashes of engines and the prompt parts concerned.
    pub parts: PartNotices,
    /// Crashes of instances and the requests concerned.
    pub requests: RequestNotices,
    /// How long the answer may wait for an update.
    pub hold_ms: u64,
}

/// The answer to a sync.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct SyncReply {
    /// True if, before the call, nothing was acknowledged that is newer than what is in `document`
    /// and `evacuations` or, if they are `None`, than what the caller has.
    pub confirmed: bool,
    /// False if the instance has no data folder and can only name the leader.
    pub keeps_log: bool,
    /// A document newer than the caller's, if there is one.
    pub document: Option<Packed>,
    /// The evacuated zones, if they have changed since the caller's revision.
    pub evacuations: Option<Evacuations>,
    /// The changes of the fleet since the caller's position; `None` if the platform's list was
    /// never read.
    pub fleet: Option<FleetUpdate>,
    pub list_age_ms: Option<u64>,
    /// The number of entries that synced recently.
    pub entries: u32,
    /// The address of the leader, which knows the loads of all entries, if another instance leads.
    pub leader: Option<SocketAddr>,
    /// Suspected and quarantined prompt parts.
    pub parts: KnownParts,
    /// Suspected and quarantined requests.
    pub requests: KnownRequests,
}

/// A sidecar's report on its engine.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ReportRequest {
    pub address: SocketAddr,
    pub report: Report,
    pub zone: ZoneName,
    /// The engine's service, if the sidecar's settings name it.
    pub service: Option<Arc<str>>,
    /// The engine's identity, if the sidecar has read it since the engine started.
    pub identity: Option<Arc<str>>,
    /// True while the sidecar is still reading the identity.
    pub is_identifying: bool,
    /// What the engine has stated about its request limit in reports; `None` if it never named one
    /// there.
    pub limit: Option<LimitStatement>,
    /// How long the engine stays cold, from its health check; `None` if it was not read or does not
    /// say.
    pub cold_remaining_ms: Option<u64>,
}

/// The answer to a report.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ReportReply {
    /// True if the instance leads, so that the report reached the hub that the entries use.
    pub leads: bool,
    /// The address of the leader, if another instance is known to lead.
    pub leader: Option<SocketAddr>,
    /// The path at which engines of the service return their identity, if the document names the
    /// service.
    pub health_path: Option<Arc<str>>,
}

/// Asks to place a generation, with the times for which placement is still useful.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PlaceRequest {
    pub placement: PlacementRequest,
    /// Identifies the call across all attempts of its caller.
    pub call: u64,
    /// Time since this attempt arrived.
    pub waited_ms: u64,
    /// Time, counted from the first attempt, within which the generation must find room in order to
    /// start in time.
    pub in_time_ms: u64,
    /// Remaining time for which the generation may wait.
    pub left_ms: u64,
    /// How long the answer may wait for room. The first request of an entry does not wait, so that
    /// it finds out quickly whether the instance answers at all.
    pub hold_ms: u64,
}

/// The answer to a placement request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlaceReply {
    /// Room is reserved at the candidate with this index.
    At(usize),
    /// There is no room yet; the generation may wait.
    Wait(Outlook),
    /// There was no room while the answer was held; the entry should ask again with other
    /// candidates.
    Ask,
    /// No candidate is expected to have room in time.
    Full(Outlook),
    /// All engines of the service name request limits, and the candidates have reached theirs.
    AtLimit { return_in_ms: u64 },
    /// The instance does not lead, so entries report their loads to another one.
    NotLeader,
}

/// Asks whether a request may be sent to one of several instances that name request limits.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PermitRequest {
    /// The instances, best one first, and what the entry has heard of their limits.
    pub candidates: Vec<LimitNotice>,
    /// True for a generation that is resumed at its only candidate.
    pub is_resumption: bool,
}

/// The answer to a permit request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitReply {
    /// The request is counted at the candidate with this index.
    At(usize),
    LimitsReached(LimitsReached),
    /// The instance does not lead, so entries ask another one.
    NotLeader,
}

/// Asks when an entry may copy a generation's memory to another engine.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TurnRequest {
    /// The request whose generation is copied. If it asks again, its earlier turn is released.
    pub request: Arc<str>,
    pub source: SocketAddr,
    /// The total demand of the generation, completed and remaining, which is lost without the copy.
    pub demand: Demand,
    /// The engines that may receive the copy, best one first, and the capacity that they need.
    pub placement: PlacementRequest,
    /// How long the copy to each of these engines takes, in the same order.
    pub takes_ms: Vec<u64>,
    /// Time until the source ends, if known.
    pub gone_in_ms: Option<u64>,
}

/// Where and when a copy may take place.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TurnReply {
    pub target: SocketAddr,
    pub copy_in_ms: u64,
    /// Time until the generation must be stopped for its final copy.
    pub stop_in_ms: u64,
}

/// The methods of the directory service.
#[tarpc::service]
pub trait Directory {
    /// Heartbeat of a connection; answered immediately.
    async fn ping();
    async fn sync(request: SyncRequest) -> SyncReply;
    /// Reserves room for a generation at one of its candidates.
    async fn place(request: PlaceRequest) -> PlaceReply;
    /// Counts a request within the limits of all entries to an instance.
    async fn permit(request: PermitRequest) -> PermitReply;
    /// Schedules a copy; returns `None` if it cannot end in time.
    async fn turn(request: TurnRequest) -> Option<TurnReply>;
    async fn report(request: ReportRequest) -> ReportReply;
}
