//! The scheduler's requests, decisions, actions and per-request state.

use std::sync::Arc;

use crate::domain::length::SurvivalCurve;
use crate::model::{GenerationId, KindName, Refusal, WorkspaceName};
use crate::rpc::sidecar::Lane;

/// A request to generate text.
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
    /// From 0, the lowest, to 9, the highest.
    pub priority: u8,
    pub deadline_ms: u64,
    /// Tokens that other sidecars produced for the workspace since its last request to this one.
    pub served_elsewhere_tokens: u64,
}

/// The result of submitting a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    Queued,
    /// The request has not run, and the scheduler keeps no record of it.
    Refused(Refusal),
}

/// An action that the caller of `Scheduler::next` has to carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Start the request at the engine.
    Start {
        id: GenerationId,
        engine_priority: u8,
        /// Time in the queue since the request was submitted or last stopped.
        waited_ms: u64,
        lane: Lane,
    },
    /// Stop the run at the engine to free memory, then call `on_stopped`.
    Stop { id: GenerationId },
    /// Reply to the request with a refusal.
    Refuse {
        id: GenerationId,
        refusal: Refusal,
        /// True if an engine has already run part of the request, so that it must not be reported
        /// as `not_run`.
        ran: bool,
    },
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ended {
    /// The output is complete; its length is recorded for estimates.
    Complete,
    /// The run was cancelled or lost; its length is not used for estimates.
    Incomplete,
}

/// The current load of one upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ScheduleLoad {
    pub running: u32,
    pub queued: u32,
    /// Prompt and produced tokens of all generations that hold engine memory.
    pub used_tokens: u64,
    pub capacity_tokens: u64,
    /// Tokens that all queued and running requests are still expected to produce.
    pub backlog_tokens: u64,
    pub tokens_per_s: u32,
}

/// Maps a lane and a request's priority to the engine's priority range of 0 to 9.
///
/// Every request of the small lane ranks above every request of the long lane. Within a lane two
/// adjacent request priorities share one engine priority.
pub fn engine_priority(lane: Lane, priority: u8) -> u8 {
    let rank = priority.min(9) / 2;
    match lane {
        Lane::Long => rank,
        Lane::Small => 5 + rank,
    }
}

/// The state of a request in the scheduler.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum JobState {
    Queued,
    Running,
    /// The engine has been asked to stop the run but has not freed its memory yet.
    Stopping,
}

/// The scheduler's state of one request, kept from its submission to its end.
#[derive(Debug, Clone)]
pub(super) struct Job {
    pub(super) request: Request,
    pub(super) state: JobState,
    pub(super) curve: Arc<SurvivalCurve>,
    pub(super) queued_at_ms: u64,
    /// Increases with each submission.
    pub(super) sequence: u64,
    /// Expected output length, estimated on submission.
    pub(super) expected_tokens: u32,
    /// Median output length, estimated on submission.
    pub(super) median_tokens: u32,
    /// Tokens that the current run has produced.
    pub(super) produced_tokens: u32,
    /// Tokens charged to the workspace's fair share for this request.
    pub(super) charged_tokens: u32,
    /// True once tokens were sent to the client.
    pub(super) output_sent: bool,
    /// True once the request was started at an engine.
    pub(super) was_started: bool,
}

/// Minimum backlog of a job, also of one that has already exceeded its expected length.
const MIN_BACKLOG_TOKENS: u32 = 32;

impl Job {
    /// Returns the engine memory that the job holds while it runs.
    pub(super) fn memory_tokens(&self) -> u64 {
        u64::from(self.request.prompt_tokens) + u64::from(self.produced_tokens)
    }

    /// Returns the number of tokens that the job is still expected to produce.
    pub(super) fn backlog_tokens(&self) -> u64 {
        let remaining = self.expected_tokens.saturating_sub(self.produced_tokens);
        u64::from(remaining.max(MIN_BACKLOG_TOKENS.min(self.request.max_tokens)))
    }
}
