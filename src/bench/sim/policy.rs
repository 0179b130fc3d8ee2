//! What decides in a simulated run: a struct of closures.

use crate::model::{KindName, WorkspaceName};
use crate::roles::standin::EngineConfig;
use crate::rpc::sidecar::Lane;

/// A request as a policy sees it; its true length is not known.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Job {
    pub id: u32,
    pub at_ms: u64,
    pub workspace: WorkspaceName,
    /// Weight of the workspace.
    pub weight: u32,
    pub kind: KindName,
    pub lane: Lane,
    pub prompt_tokens: u32,
    pub max_tokens: u32,
    /// When the answer is too late.
    pub deadline_ms: u64,
}

/// What an entry knows of one engine; up to 100 ms old.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct EngineView {
    pub alive: bool,
    pub running: u32,
    pub queued: u32,
    pub used_tokens: u64,
    pub capacity_tokens: u64,
    /// Measured rate of all running jobs together.
    pub tokens_per_s: f64,
}

/// What happens to a job that was placed at an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The policy keeps the job and returns it from `next` later.
    Queue,
    Refuse,
}

/// A job to hand to the engine now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Start {
    pub job: u32,
    /// The engine's priority, 0 lowest to 9 highest.
    pub priority: u8,
}

/// Why a job left its engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobEnd {
    Finished,
    /// Its deadline passed while it was queued, running or paused.
    Deadline,
    /// The engine died. The job may be placed again elsewhere.
    Lost,
}

type Choose = Box<dyn FnMut(u64, &Job, &[EngineView]) -> Option<usize>>;
type OnArrive = Box<dyn FnMut(u64, usize, &Job) -> Verdict>;
type Next = Box<dyn FnMut(u64, usize) -> Option<Start>>;
type OnJob = Box<dyn FnMut(u64, usize, u32)>;
type OnEnd = Box<dyn FnMut(u64, usize, u32, JobEnd)>;
type Victim = Box<dyn FnMut(u64, usize) -> Option<u32>>;

/// A policy for a group of engines. The first two arguments are the time in ms and, but for
/// `choose`, the engine.
pub struct Policy {
    /// Returns the engine for a job; none refuses it.
    pub choose: Choose,
    /// Takes a job that was placed.
    pub arrive: OnArrive,
    /// Returns the next job to start or continue, called until it returns none.
    pub next: Next,
    /// Learns of a token.
    pub on_token: OnJob,
    /// Learns that the engine itself preempted a job, which stays at the engine.
    pub on_preempted: OnJob,
    /// Learns that a job left, whether it had started or not.
    pub on_end: OnEnd,
    /// Returns a running job to pause, called after each step until it returns none. The job
    /// loses its memory and continues from the same generation once `next` returns it again.
    pub victim: Victim,
}

/// What a policy is made for.
#[derive(Debug, Clone, PartialEq)]
pub struct Setup {
    pub engines: usize,
    pub engine: EngineConfig,
    /// Jobs that fit into an engine at once on average, from the recorded arrivals.
    pub typical_concurrency: u32,
    pub seed: u64,
}

/// Makes a fresh policy for each run.
pub struct NamedPolicy {
    pub name: String,
    pub make: Box<dyn Fn(&Setup) -> Policy + Send + Sync>,
}

impl NamedPolicy {
    pub fn new(name: &str, make: impl Fn(&Setup) -> Policy + Send + Sync + 'static) -> Self {
        Self {
            name: name.to_owned(),
            make: Box::new(make),
        }
    }
}
