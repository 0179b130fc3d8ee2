//! The RPC service of a sidecar, called by entries.

use serde::{Deserialize, Serialize};

use super::Stamp;
use crate::model::{
    Fence, GenerationId, Incarnation, InstanceRef, KindName, ModelName, Outcome, Refusal,
    RequestId, ServiceName, UpstreamName, WorkspaceName,
};

/// The class of a request. Each class has its own lane in every queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Lane {
    /// Short calls that must not wait behind long ones.
    Small,
    /// Generations of unknown length.
    Long,
}

/// The engine API that a request uses: prompt completion or chat completion.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Api {
    Completions,
    ChatCompletions,
}

/// Starts a generation.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct StartRequest {
    pub stamp: Stamp,
    /// The sidecar incarnation that this attempt is meant for; any other refuses it.
    pub incarnation: Incarnation,
    pub request: RequestId,
    pub generation: GenerationId,
    pub workspace: WorkspaceName,
    pub kind: KindName,
    pub lane: Lane,
    pub model: ModelName,
    pub version: String,
    /// The upstream that the entry chose; the sidecar may use another one of the same model.
    pub upstream: UpstreamName,
    pub api: Api,
    /// The caller's JSON body, which is passed to the engine.
    pub body: String,
    pub prompt_tokens: u32,
    pub max_tokens: u32,
    /// 0 is the lowest, 9 the highest.
    pub priority: u8,
    /// Time left until the whole answer is due.
    pub remaining_ms: u64,
    /// Tokens that other sidecars produced for this workspace since this entry's last start here.
    pub served_elsewhere_tokens: u64,
    /// True if the answer is streamed to the caller as it is produced.
    pub shown: bool,
}

/// The answer to a start.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum StartReply {
    /// Queued or running; a repeated start of an accepted generation gets the same answer.
    Accepted { stamp: Stamp, load: LoadReport },
    /// Refused and recorded as a tombstone: this generation has not run and will not.
    Refused {
        stamp: Stamp,
        refusal: Refusal,
        load: LoadReport,
    },
    /// The request names another sidecar incarnation; this one has not run the generation.
    WrongIncarnation { stamp: Stamp },
    /// The sidecar did not receive the table version of the request in time; nothing was run.
    Behind { stamp: Stamp },
}

/// The position of a stream's reader, which acknowledges all tokens before the offset.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cursor {
    pub generation: GenerationId,
    pub workspace: WorkspaceName,
    /// The number of tokens that the reader has received.
    pub from_offset: u32,
}

/// Asks for the tokens that several streams have produced beyond their cursors.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PollRequest {
    pub stamp: Stamp,
    pub incarnation: Incarnation,
    pub cursors: Vec<Cursor>,
    /// How long the sidecar may hold the call while there are no updates.
    pub hold_ms: u64,
}

/// Tokens of one generation, contiguous from an offset.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    pub offset: u32,
    /// The text of each token.
    pub tokens: Vec<String>,
}

/// How a generation ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum End {
    /// The engine finished the answer; the reason is `stop` or `length`.
    Finished { reason: String },
    /// The generation failed; there will be no further tokens.
    Failed { outcome: Outcome, refusal: Refusal },
}

/// Identifies the stream at its engine, so that a restarted sidecar can resume it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Origin {
    pub upstream: UpstreamName,
    pub engine_stream: String,
}

/// What is new in one generation since the reader's cursor.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamUpdate {
    pub generation: GenerationId,
    pub chunk: Option<Chunk>,
    /// If the generation has ended: the total number of tokens and how it ended.
    pub end: Option<(u32, End)>,
    /// Sent until the reader has acknowledged the first token.
    pub origin: Option<Origin>,
    /// True if this sidecar incarnation does not know the generation.
    pub unknown: bool,
}

/// The answer to a poll.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PollReply {
    pub stamp: Stamp,
    pub updates: Vec<StreamUpdate>,
    pub load: LoadReport,
}

/// Stops a generation, or prevents it from ever starting.
///
/// A generation is not stopped if another instance has polled it since the sender last did: its
/// caller has resumed there, which the sender cannot know. The answer is then `Ended`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CancelRequest {
    pub stamp: Stamp,
    pub incarnation: Incarnation,
    pub generation: GenerationId,
    /// Cancels only if the generation has not been read for this long; `None` cancels
    /// unconditionally. A caller that left this entry may continue to read through another one.
    pub unread_ms: Option<u64>,
}

/// The answer to a cancel.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum CancelReply {
    /// A tombstone is recorded: the generation has not run and will not.
    NotRun { stamp: Stamp },
    /// The generation had started; it has been stopped.
    Stopped { stamp: Stamp, produced_tokens: u32 },
    /// The generation had already ended.
    Ended { stamp: Stamp },
    /// The generation has been read within `unread_ms` and continues.
    Read { stamp: Stamp },
    /// The request names another incarnation; this one does not know the generation.
    WrongIncarnation { stamp: Stamp },
}

/// An HTTP call that is forwarded to a service.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CallRequest {
    pub stamp: Stamp,
    pub incarnation: Incarnation,
    pub request: RequestId,
    pub generation: GenerationId,
    pub workspace: WorkspaceName,
    pub service: ServiceName,
    pub upstream: UpstreamName,
    pub method: String,
    pub path_and_query: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    pub remaining_ms: u64,
    pub repeatable: bool,
}

/// The HTTP response of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceResponse {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

/// The answer to a service call. A repeat with the same generation id gets the first answer.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum CallReply {
    Response {
        stamp: Stamp,
        response: ServiceResponse,
        load: LoadReport,
    },
    Refused {
        stamp: Stamp,
        outcome: Outcome,
        refusal: Refusal,
        load: LoadReport,
    },
    WrongIncarnation {
        stamp: Stamp,
    },
    Behind {
        stamp: Stamp,
    },
}

/// Asks a restarted sidecar to resume a generation that still runs at its engine.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ReadoptRequest {
    pub stamp: Stamp,
    pub incarnation: Incarnation,
    pub origin: Origin,
    /// The start request as it was sent to the previous incarnation.
    pub start: StartRequest,
    pub from_offset: u32,
}

/// The answer to a readopt request.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum ReadoptReply {
    Adopted {
        stamp: Stamp,
    },
    /// The engine no longer has the stream.
    Lost {
        stamp: Stamp,
    },
    WrongIncarnation {
        stamp: Stamp,
    },
}

/// The load of one upstream as its sidecar accounts for it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamLoad {
    pub upstream: UpstreamName,
    pub healthy: bool,
    pub leaving: bool,
    /// The model versions that the upstream has loaded; empty for services.
    pub versions: Vec<String>,
    pub running: u32,
    pub queued: u32,
    pub used_tokens: u64,
    pub capacity_tokens: u64,
    /// Tokens that all queued and running generations are expected to produce.
    pub backlog_tokens: u64,
    /// Observed token rate of all running generations together.
    pub tokens_per_s: u32,
}

/// The load of a sidecar, sent on every reply.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    pub upstreams: Vec<UpstreamLoad>,
    /// Fencing token of the sidecar's registration.
    pub fence: Fence,
}

/// The answer to a probe.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ProbeReply {
    pub stamp: Stamp,
    pub load: LoadReport,
}

/// Sent by an entry to learn the sidecar's current incarnation and load.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ProbeRequest {
    pub stamp: Stamp,
    pub sender: InstanceRef,
}

/// The methods of a sidecar.
#[tarpc::service]
pub trait Sidecar {
    /// Heartbeat of a connection; answered immediately.
    async fn ping();
    async fn start(request: StartRequest) -> StartReply;
    async fn poll(request: PollRequest) -> PollReply;
    async fn cancel(request: CancelRequest) -> CancelReply;
    async fn call(request: CallRequest) -> CallReply;
    async fn readopt(request: ReadoptRequest) -> ReadoptReply;
    async fn probe(request: ProbeRequest) -> ProbeReply;
}
