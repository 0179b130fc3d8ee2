//! What callers, upstream instances, operators and the fault injector saw in one run. The checker
//! judges a run by this record alone.
//!
//! All times are milliseconds since the start of the run, on the clock of the soak process.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// The record of one run.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct History {
    pub bounds: Bounds,
    /// Every document that an operator has sent, by `Publication::content`.
    pub documents: BTreeMap<u64, SentDocument>,
    pub publications: Vec<Publication>,
    pub reads: Vec<DocumentRead>,
    pub calls: Vec<Call>,
    pub executions: Vec<Execution>,
    pub faults: Vec<Fault>,
    /// Processes that have ended although nothing was done to them.
    pub unexpected_exits: Vec<UnexpectedExit>,
    pub ended_ms: u64,
    /// The control processes; `None` if these are all processes that an operator has called.
    #[serde(default)]
    pub controls: Option<BTreeSet<Arc<str>>>,
}

/// Time bounds and limits that the run is checked against.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct Bounds {
    /// Time in which an acknowledged document takes effect at every process in touch.
    pub apply_ms: u64,
    /// Tolerance for requests that overtake each other when a version takes effect.
    pub rollback_slack_ms: u64,
    /// Time after which a revoked key runs nothing, at any process.
    pub revoke_ms: u64,
    /// Time between SIGTERM and the end of a process.
    pub grace_ms: u64,
    /// Time for which a process may leave a request unread without being charged for losing it.
    pub loss_slack_ms: u64,
    /// Time without disruption after which a process counts as in touch.
    pub connectivity_ms: u64,
    /// Time after the last fault in which service and configuration recover.
    pub recovery_ms: u64,
    /// Time after a caller's close in which its request may still reach an instance.
    pub abandoned_ms: u64,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            apply_ms: 2_000,
            rollback_slack_ms: 250,
            revoke_ms: 5_000,
            grace_ms: 8_000,
            loss_slack_ms: 200,
            connectivity_ms: 3_000,
            recovery_ms: 12_000,
            abandoned_ms: 500,
        }
    }
}

/// The content of a document that an operator has sent.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct SentDocument {
    pub version: u64,
    /// Why the document is invalid; `None` if it is valid.
    pub fault: Option<Arc<str>>,
    pub routes: Vec<SentRoute>,
    /// Workspace by API key.
    pub keys: BTreeMap<Arc<str>, Arc<str>>,
}

/// One route of a document.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct SentRoute {
    pub host: Arc<str>,
    pub prefix: Arc<str>,
    /// Services that requests of the route may be sent to.
    pub services: Vec<Arc<str>>,
    pub timeout_ms: u64,
    pub is_stream: bool,
    pub is_safe: bool,
    pub max_attempts: u32,
    /// True if requests need no key.
    pub is_anonymous: bool,
}

/// One call of an operator that publishes a document.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Publication {
    pub version: u64,
    /// Hash of the body, the key of `History::documents`.
    pub content: u64,
    /// The control process that was called; the last one if it redirected the call.
    pub process: Arc<str>,
    pub sent_ms: u64,
    /// `None` if there was no response.
    pub answered_ms: Option<u64>,
    pub status: Option<u16>,
}

/// One call of an operator that reads the document in force.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct DocumentRead {
    pub process: Arc<str>,
    pub sent_ms: u64,
    pub answered_ms: Option<u64>,
    pub status: Option<u16>,
    /// Version and content hash of the document that was returned.
    pub document: Option<(u64, u64)>,
    /// True for the reads after the last fault, at the end of the run.
    pub is_final: bool,
}

/// How a response ended for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallEnd {
    /// The response was complete by its own framing.
    Complete,
    /// The connection was closed or reset before the end of the response, or without one.
    Cut,
    /// The caller closed the connection itself.
    Abandoned,
    /// The connection could not be opened, or was closed before the request had been sent.
    NotSent,
    /// Still open at the end of the run.
    Open,
}

/// One request of a caller, as the caller saw it.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[allow(clippy::struct_excessive_bools)]
pub struct Call {
    pub id: Arc<str>,
    /// The entry process that the connection leads to.
    pub process: Arc<str>,
    /// Number of the caller's connection, and of the request on it from 0.
    pub connection: u64,
    pub number_on_connection: u32,
    pub host: Arc<str>,
    pub path: Arc<str>,
    pub key: Option<Arc<str>>,
    pub is_stream: bool,
    pub may_repeat: bool,
    pub deadline_ms: u64,
    /// When the first and the last byte of the request were sent.
    pub sent_ms: u64,
    pub sent_whole_ms: Option<u64>,
    /// When the response head arrived.
    pub head_ms: Option<u64>,
    pub status: Option<u16>,
    /// True if the response carries the seal of an instance.
    pub is_sealed: bool,
    /// True if the body is the one that the instance made for this request id.
    pub is_own_body: bool,
    /// Ids of the events that arrived, in order.
    pub events: Vec<u64>,
    pub ended_ms: u64,
    /// Length of the caller's long pause: it may see the end of the response that much later.
    #[serde(default)]
    pub paused_ms: u64,
    pub end: CallEnd,
}

/// How an execution at an instance ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ExecutionEnd {
    Complete,
    /// The instance broke off, by the script of the run.
    BrokenOff,
    /// The instance stopped the generation for a move.
    Stopped,
    /// The entry closed the connection.
    Dropped,
    /// The instance did not run the request and said so.
    Refused,
    Open,
}

/// A request that arrived at an upstream instance.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Execution {
    pub id: Arc<str>,
    pub instance: Arc<str>,
    pub service: Arc<str>,
    pub path: Arc<str>,
    /// The workspace that the entry named.
    pub workspace: Option<Arc<str>>,
    pub arrived_ms: u64,
    /// When the instance began to work on it: when it made the first event of a generation. `None`
    /// if it never did.
    #[serde(default)]
    pub began_ms: Option<u64>,
    pub ended_ms: u64,
    pub end: ExecutionEnd,
    /// The last event that the caller had, if the generation was resumed here.
    pub resumed_after: Option<u64>,
    /// Number of the last event that was made.
    pub last_event: u64,
    /// Number of events of the whole generation; 0 for plain calls.
    pub total_events: u64,
    /// The budget that the entry passed on.
    pub deadline_ms: Option<u64>,
}

/// What was done to a process, or to its disk or links.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum FaultKind {
    Terminate,
    /// SIGHUP, with or without changed settings.
    Reload,
    Kill,
    /// SIGSTOP until `until_ms`.
    Freeze,
    /// The data folder accepts no writes until `until_ms`.
    DiskFull,
    /// The process is started with an empty data folder.
    DiskLost,
    /// Links are delayed until `until_ms`.
    Link,
    /// Links hold back all bytes until `until_ms`.
    LinkHeld,
    /// An upstream instance falls silent until `until_ms`, and then goes on.
    InstanceSilent,
    /// An upstream instance announces that it leaves, and is gone at `until_ms`.
    InstanceLeaves,
    /// An upstream instance is ill until `until_ms`.
    InstanceIll,
    /// An upstream instance crashes; it is back, maybe under its identity, at `until_ms`.
    InstanceCrashes,
}

/// One fault or planned step of the run.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Fault {
    pub kind: FaultKind,
    /// The process or upstream instance concerned.
    pub target: Arc<str>,
    pub at_ms: u64,
    /// When it was over: the process runs again, the disk has room, the link is whole.
    pub until_ms: u64,
}

/// A process that has ended although nothing was done to it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct UnexpectedExit {
    pub process: Arc<str>,
    pub at_ms: u64,
    pub detail: Arc<str>,
}
