//! The service of a sidecar, called by entries.

use serde::{Deserialize, Serialize};

use super::Stamp;
use crate::model::{
    Fence, GenerationId, Incarnation, InstanceRef, KindName, ModelName, Outcome, Refusal,
    RequestId, ServiceName, UpstreamName, WorkspaceName,
};

/// The class of a request, which decides its lane in every queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Lane {
    /// Short calls that must not wait behind long ones.
    Small,
    /// Generations of unknown length.
    Long,
}

/// How the engine is asked: as a prompt or as a chat.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Api {
    Completions,
    ChatCompletions,
}

/// Starts a generation.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct StartRequest {
    pub stamp: Stamp,
    /// The sidecar incarnation that the attempt is bound to; another one refuses it.
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
    /// The caller's JSON body, passed to the engine.
    pub body: String,
    pub prompt_tokens: u32,
    pub max_tokens: u32,
    /// 0 is the lowest, 9 the highest.
    pub priority: u8,
    /// Time left for the whole answer.
    pub remaining_ms: u64,
    /// Tokens that other sidecars produced for this workspace since this entry's last start here.
    pub served_elsewhere_tokens: u64,
    /// True if part of the answer is shown to the caller as it is produced.
    pub shown: bool,
}

/// The answer to a start.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum StartReply {
    /// Queued or running; a repeat of an accepted start gets the same answer.
    Accepted { stamp: Stamp, load: LoadReport },
    /// Refused and recorded as a tombstone: this generation has not run and will not.
    Refused {
        stamp: Stamp,
        refusal: Refusal,
        load: LoadReport,
    },
    /// The sidecar is another incarnation than the request names; this one has not run it.
    WrongIncarnation { stamp: Stamp },
    /// The sidecar could not reach the table version of the request in time; not run.
    Behind { stamp: Stamp },
}

/// Where the reader of a stream is. It acknowledges everything before the offset.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cursor {
    pub generation: GenerationId,
    pub workspace: WorkspaceName,
    /// The number of tokens that the reader has.
    pub from_offset: u32,
}

/// Asks for what many streams have produced beyond their cursors.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PollRequest {
    pub stamp: Stamp,
    pub incarnation: Incarnation,
    pub cursors: Vec<Cursor>,
    /// How long the sidecar holds the call while there is nothing to tell.
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
    /// The answer will not come.
    Failed { outcome: Outcome, refusal: Refusal },
}

/// What the engine needs to find the stream again after a sidecar restart.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Origin {
    pub upstream: UpstreamName,
    pub engine_stream: String,
}

/// News of one generation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamUpdate {
    pub generation: GenerationId,
    pub chunk: Option<Chunk>,
    /// The total number of tokens, if the generation has ended.
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

/// Stops a generation, or prevents that it ever starts.
///
/// A generation that another instance than the sender has polled since the sender last did is not
/// stopped: its caller has resumed there, which the sender cannot know. The answer is `Ended`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CancelRequest {
    pub stamp: Stamp,
    pub incarnation: Incarnation,
    pub generation: GenerationId,
    /// Cancels only if nobody has read the generation for this long; none cancels in any case. A
    /// caller that left this entry may read on through another one.
    pub unread_ms: Option<u64>,
}

/// The answer to a cancel.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum CancelReply {
    /// A tombstone stands: the generation has not run and will not.
    NotRun { stamp: Stamp },
    /// The generation had started; it has been stopped.
    Stopped { stamp: Stamp, produced_tokens: u32 },
    /// The generation had ended before.
    Ended { stamp: Stamp },
    /// Somebody reads the generation; it goes on.
    Read { stamp: Stamp },
    /// Another incarnation: nothing is known of the generation.
    WrongIncarnation { stamp: Stamp },
}

/// A plain call that is passed through to a service.
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

/// A response of a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceResponse {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

/// The answer to a plain call. A repeat with the same generation gets the first answer.
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

/// Asks a restarted sidecar to take a generation back from its engine.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ReadoptRequest {
    pub stamp: Stamp,
    pub incarnation: Incarnation,
    pub origin: Origin,
    /// The start as it was sent to the former incarnation.
    pub start: StartRequest,
    pub from_offset: u32,
}

/// The answer to a readopt.
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
    /// Tokens expected from all that is queued or running.
    pub backlog_tokens: u64,
    /// Measured rate, all running generations together.
    pub tokens_per_s: u32,
}

/// The load of a sidecar, sent on every reply.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    pub upstreams: Vec<UpstreamLoad>,
    /// Fencing number of the sidecar's registration.
    pub fence: Fence,
}

/// The answer to a probe.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ProbeReply {
    pub stamp: Stamp,
    pub load: LoadReport,
}

/// Asked by an entry to find the current incarnation and load.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ProbeRequest {
    pub stamp: Stamp,
    pub sender: InstanceRef,
}

/// The calls of a sidecar.
#[tarpc::service]
pub trait Sidecar {
    /// Answered at once; the heartbeat of a connection.
    async fn ping();
    async fn start(request: StartRequest) -> StartReply;
    async fn poll(request: PollRequest) -> PollReply;
    async fn cancel(request: CancelRequest) -> CancelReply;
    async fn call(request: CallRequest) -> CallReply;
    async fn readopt(request: ReadoptRequest) -> ReadoptReply;
    async fn probe(request: ProbeRequest) -> ProbeReply;
}
