//! Outcomes and refusals that are reported to callers instead of a result.

use std::fmt;

use serde::{Deserialize, Serialize};

/// What is known about a request without a complete response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// It is certain that no upstream has run or will run the request.
    NotRun,
    /// The caller received part of the response; the rest will not follow.
    Interrupted,
    /// The request may have run.
    Unknown,
}

impl Outcome {
    /// Returns the value used in JSON, metrics and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::Interrupted => "interrupted",
            Self::Unknown => "unknown",
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Why a request was refused or ended without a result.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalCode {
    /// The request itself is malformed or names something unknown.
    BadRequest,
    /// The queue is too long for the deadline, or full.
    Overload,
    /// The workspace has used up its limit.
    NoRoom,
    /// The process could not confirm that its table is up to date.
    StaleTable,
    /// The instance or the upstream is draining.
    Leaving,
    /// No replica serves the model or service.
    NoReplica,
    /// The deadline passed.
    DeadlineExceeded,
    /// The idempotency key is too old, or from the future.
    KeyExpired,
    /// The idempotency key was already used with a different body.
    KeyConflict,
    /// It could not be determined whether the idempotency key was claimed.
    ClaimUndecided,
    /// The upstream failed or became unreachable.
    UpstreamLost,
    /// The attempt was cancelled before it started.
    Cancelled,
}

/// A refusal with its reason and the time after which to retry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    pub code: RefusalCode,
    pub message: String,
    /// Time until a retry is useful, estimated from the queue; none if a retry would not help.
    pub retry_after_ms: Option<u64>,
}
