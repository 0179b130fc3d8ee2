//! Sequences, which an engine schedules, and the events of their progress.

use serde::{Deserialize, Serialize};

/// Identifies a sequence within one engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct SequenceId(pub u64);

/// A generation request, with tokens counted and the prompt hashed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SequenceRequest {
    /// From 0 (lowest) to 9 (highest).
    pub priority: u8,
    pub prompt_tokens: u32,
    /// Output limit.
    pub max_tokens: u32,
    /// Length of the complete output, which a caller of a real engine would not know.
    pub target_tokens: u32,
    /// Hashes of the prompt's blocks, from `tokens::prefix_hashes`.
    pub block_hashes: Vec<u64>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndReason {
    /// The output is complete.
    Stop,
    /// The output reached `max_tokens`, or filled the engine's memory.
    Length,
    /// Cancelled by a caller, or without readers for longer than the resume window.
    Cancelled,
    /// Dropped by an injected fault.
    Crashed,
}

impl EndReason {
    /// Returns the value of `finish_reason` in responses.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Stop => "stop",
            Self::Length => "length",
            Self::Cancelled => "cancelled",
            Self::Crashed => "crashed",
        }
    }
}

/// A change of a sequence in a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// Output token `offset` was produced.
    Token {
        id: SequenceId,
        offset: u32,
        at_us: u64,
    },
    /// The sequence ended after `produced` output tokens.
    End {
        id: SequenceId,
        produced: u32,
        reason: EndReason,
        at_us: u64,
    },
    /// The sequence lost its memory and is queued; its tokens are recomputed.
    Preempted { id: SequenceId, at_us: u64 },
}

/// Work of a sequence in the current step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Plan {
    Idle,
    /// Processes this many prompt or recomputed tokens.
    Prefill(u32),
    Decode,
}

#[derive(Debug, Clone)]
pub(super) struct Sequence {
    pub(super) id: SequenceId,
    pub(super) request: SequenceRequest,
    /// Number of the admission; the highest was admitted last.
    pub(super) admission: u64,
    /// Prompt and recomputed tokens that are still to be processed.
    pub(super) unprocessed_tokens: u32,
    pub(super) produced: u32,
    pub(super) plan: Plan,
}

impl Sequence {
    pub(super) fn new(id: SequenceId, request: SequenceRequest) -> Self {
        Self {
            id,
            request,
            admission: 0,
            unprocessed_tokens: 0,
            produced: 0,
            plan: Plan::Idle,
        }
    }

    /// Returns the memory that the sequence uses while it runs.
    pub(super) fn memory_tokens(&self) -> u64 {
        u64::from(self.request.prompt_tokens) + u64::from(self.produced)
    }

    /// Returns the output length at which the sequence ends, and the reason.
    pub(super) fn final_length(&self) -> (u32, EndReason) {
        let request = &self.request;
        if request.target_tokens <= request.max_tokens {
            (request.target_tokens.max(1), EndReason::Stop)
        } else {
            (request.max_tokens.max(1), EndReason::Length)
        }
    }
}
