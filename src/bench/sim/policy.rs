//! The interface of the policies that a simulation compares: placement, admission and preemption.

use crate::model::{KindName, WorkspaceName};
use crate::roles::standin::EngineConfig;
use crate::rpc::sidecar::Lane;

/// A request without its true output length, which a policy does not know.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Job {
    pub id: u32,
    pub arrival_ms: u64,
    pub workspace: WorkspaceName,
    /// The workspace's weight in the fair shares.
    pub weight: u32,
    pub kind: KindName,
    pub lane: Lane,
    pub prompt_tokens: u32,
    pub max_tokens: u32,
    /// Time at which the simulation ends the job if it has not finished.
    pub deadline_ms: u64,
}

/// An entry's view of one engine's load, up to 100 ms old.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct EngineView {
    pub alive: bool,
    pub running: u32,
    pub queued: u32,
    pub used_tokens: u64,
    pub capacity_tokens: u64,
    /// Measured output rate of all running jobs together.
    pub tokens_per_s: f64,
}

/// A policy's decision on a job that was placed at an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ArrivalDecision {
    /// The policy queues the job and returns it from `next_start` later.
    Queue,
    /// The job ends without having run.
    Refuse,
}

/// A job to start or resume at the engine now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Start {
    pub job: u32,
    /// The engine's priority, from 0, the lowest, to 9, the highest.
    pub priority: u8,
}

/// Why a job left its engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobEnd {
    Finished,
    /// The deadline passed while the job was queued, running or paused.
    Deadline,
    /// The engine failed. A job without output is placed again at another engine.
    Lost,
}

type ChooseEngine = Box<dyn FnMut(u64, &Job, &[EngineView]) -> Option<usize>>;
type OnArrival = Box<dyn FnMut(u64, usize, &Job) -> ArrivalDecision>;
type NextStart = Box<dyn FnMut(u64, usize) -> Option<Start>>;
type OnJobEvent = Box<dyn FnMut(u64, usize, u32)>;
type OnEnd = Box<dyn FnMut(u64, usize, u32, JobEnd)>;
type NextVictim = Box<dyn FnMut(u64, usize) -> Option<u32>>;

/// The callbacks of a policy for all engines of a simulation. The first argument is the time in
/// milliseconds; the second, except for `choose_engine`, is the index of the engine.
pub struct Policy {
    /// Returns the engine for a job, or `None` to refuse the job.
    pub choose_engine: ChooseEngine,
    /// Called with a job that was placed at the engine; queues or refuses it.
    pub on_arrival: OnArrival,
    /// Returns the next job to start or resume; called until it returns `None`.
    pub next_start: NextStart,
    /// Called for each token that a job produces.
    pub on_token: OnJobEvent,
    /// Called when the engine itself preempts a job, which stays in the engine's queue.
    pub on_preempted: OnJobEvent,
    /// Called when a job leaves the engine, whether it had started or not.
    pub on_end: OnEnd,
    /// Returns a running job to pause; called at least after each step, until it returns `None`.
    /// The engine frees the job's memory and recomputes its tokens once `next_start` returns the
    /// job again; the output continues where it stopped.
    pub next_victim: NextVictim,
}

/// The simulated system for which a policy is created.
#[derive(Debug, Clone, PartialEq)]
pub struct PolicyConfig {
    pub engines: usize,
    pub engine: EngineConfig,
    /// Jobs that fit into one engine at once at the mix's mean sizes.
    pub mean_concurrency: u32,
    pub seed: u64,
}

/// A policy's name in reports and its constructor, which is called once per run.
pub struct NamedPolicy {
    pub name: String,
    pub create: Box<dyn Fn(&PolicyConfig) -> Policy + Send + Sync>,
}

impl NamedPolicy {
    pub fn new(
        name: &str,
        create: impl Fn(&PolicyConfig) -> Policy + Send + Sync + 'static,
    ) -> Self {
        Self {
            name: name.to_owned(),
            create: Box::new(create),
        }
    }
}
