//! Requests as the scheduler sees them, and what it decides.

use std::sync::Arc;

use crate::domain::length::Curve;
use crate::model::{GenerationId, KindName, Refusal, WorkspaceName};
use crate::rpc::sidecar::Lane;

/// A request for a generation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    pub id: GenerationId,
    pub workspace: WorkspaceName,
    pub kind: KindName,
    pub lane: Lane,
    /// The workspace's weight in the table, at least 1.
    pub weight: u32,
    pub prompt_tokens: u32,
    pub max_tokens: u32,
    /// 0 is the lowest, 9 the highest.
    pub priority: u8,
    pub deadline_ms: u64,
    /// Tokens that other sidecars produced for the workspace since its last request here.
    pub served_elsewhere_tokens: u64,
}

/// The answer to a submitted request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    Queued,
    /// Final: it has not run and is not kept.
    Refused(Refusal),
}

/// What the owner of the scheduler has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Ask the engine to run the request.
    Start {
        id: GenerationId,
        engine_priority: u8,
        /// Time in the queue since it was submitted or last stopped.
        waited_ms: u64,
        lane: Lane,
    },
    /// Stop the run at the engine to free memory, then call `on_stopped`.
    Stop { id: GenerationId },
    /// Answer the request with a refusal.
    Refuse {
        id: GenerationId,
        refusal: Refusal,
        /// True if an engine has run part of it, so that `not_run` would be wrong.
        ran: bool,
    },
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ended {
    /// The answer is complete; its length is learned.
    Complete,
    /// It was cancelled or lost; its length says nothing.
    Cut,
}

/// The load of one upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ScheduleLoad {
    pub running: u32,
    pub queued: u32,
    /// Prompt and produced tokens of everything that holds memory.
    pub used_tokens: u64,
    pub capacity_tokens: u64,
    /// Tokens still expected from all that is queued or running.
    pub backlog_tokens: u64,
    pub tokens_per_s: u32,
}

/// Returns the engine's priority: small calls rank above every long one, and within a lane the
/// caller's priority counts by halves.
pub fn engine_priority(lane: Lane, priority: u8) -> u8 {
    let rank = priority.min(9) / 2;
    match lane {
        Lane::Long => rank,
        Lane::Small => 5 + rank,
    }
}

/// Where a request is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Stage {
    Queued,
    Running,
    /// Told to stop; its memory is not free yet.
    Stopping,
}

/// A request between its submission and its end.
#[derive(Debug, Clone)]
pub(super) struct Job {
    pub(super) request: Request,
    pub(super) stage: Stage,
    pub(super) curve: Arc<Curve>,
    pub(super) queued_at_ms: u64,
    /// Order of submission.
    pub(super) sequence: u64,
    /// Expected length when it was submitted.
    pub(super) expected_tokens: u32,
    /// Median length when it was submitted.
    pub(super) median_tokens: u32,
    /// Tokens of the current run.
    pub(super) produced: u32,
    /// Tokens that the workspace's share was charged for.
    pub(super) charged_tokens: u32,
    /// True once tokens were given out.
    pub(super) shown: bool,
    /// True once an engine was asked.
    pub(super) ran: bool,
}

/// A running job that is past its expected length still counts as this many tokens to come.
const LEAST_BACKLOG_TOKENS: u32 = 32;

impl Job {
    /// Returns the memory that the job holds while it runs.
    pub(super) fn memory_tokens(&self) -> u64 {
        u64::from(self.request.prompt_tokens) + u64::from(self.produced)
    }

    /// Returns the tokens still expected.
    pub(super) fn backlog_tokens(&self) -> u64 {
        let left = self.expected_tokens.saturating_sub(self.produced);
        u64::from(left.max(LEAST_BACKLOG_TOKENS.min(self.request.max_tokens)))
    }
}
