//! What runs in an engine.

use serde::{Deserialize, Serialize};

/// Identifies a sequence within one engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct SequenceId(pub u64);

/// What the engine needs to know of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SequenceRequest {
    /// 0 is the lowest, 9 the highest.
    pub priority: u8,
    pub prompt_tokens: u32,
    /// Upper bound on the output.
    pub max_tokens: u32,
    /// The true output length, which callers of the engine don't know.
    pub target_tokens: u32,
    /// Hashes of the prompt's blocks, see `tokens::prefix_hashes`.
    pub prefix: Vec<u64>,
}

/// How a sequence ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndReason {
    /// The answer is complete.
    Stop,
    /// The output reached its bound, or the engine's whole memory.
    Length,
    /// Cancelled by a caller, or unread for longer than the resume window.
    Cancelled,
    /// Lost by a fault.
    Crashed,
}

impl EndReason {
    /// Returns the value of `finish_reason`.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Stop => "stop",
            Self::Length => "length",
            Self::Cancelled => "cancelled",
            Self::Crashed => "crashed",
        }
    }
}

/// What happened in a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// The token at this offset was produced.
    Token {
        id: SequenceId,
        offset: u32,
        at_us: u64,
    },
    /// The sequence ended with this many tokens.
    End {
        id: SequenceId,
        produced: u32,
        reason: EndReason,
        at_us: u64,
    },
    /// The sequence lost its memory and waits to be processed again.
    Preempted { id: SequenceId, at_us: u64 },
}

/// What a sequence does in the current step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Plan {
    Idle,
    Prompt(u32),
    Decode,
}

#[derive(Debug, Clone)]
pub(super) struct Sequence {
    pub(super) id: SequenceId,
    pub(super) request: SequenceRequest,
    /// Position in the order of admissions; the highest was admitted last.
    pub(super) admission: u64,
    /// Prompt and recomputed tokens still to be processed.
    pub(super) unprocessed: u32,
    pub(super) produced: u32,
    pub(super) plan: Plan,
}

impl Sequence {
    pub(super) fn new(id: SequenceId, request: SequenceRequest) -> Self {
        Self {
            id,
            request,
            admission: 0,
            unprocessed: 0,
            produced: 0,
            plan: Plan::Idle,
        }
    }

    /// Returns the memory that the sequence holds while it runs.
    pub(super) fn memory_tokens(&self) -> u64 {
        u64::from(self.request.prompt_tokens) + u64::from(self.produced)
    }

    /// Returns the length at which the sequence ends, and why.
    pub(super) fn end(&self) -> (u32, EndReason) {
        let request = &self.request;
        if request.target_tokens <= request.max_tokens {
            (request.target_tokens.max(1), EndReason::Stop)
        } else {
            (request.max_tokens.max(1), EndReason::Length)
        }
    }
}
