//! Commands of the replicated log and their answers. Every command is idempotent.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::domain::members::{Member, Phase, UpstreamInfo};
use crate::domain::table::{Row, RowKey};
use crate::findings::Findings;
use crate::model::{Fence, GenerationId, InstanceRef, TableVersion, WorkspaceName};

/// Identifies an edit, chosen by the operator's tool, so that a resend gets the first answer.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EditId(pub String);

/// One change of an edit; no row means that the row is deleted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowChange {
    pub key: RowKey,
    pub row: Option<Row>,
}

/// An idempotency key within its workspace.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct KeyId {
    pub workspace: WorkspaceName,
    pub key: String,
    /// The time that the key carries.
    pub created_at_ms: u64,
}

/// Who runs the request of a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claimed {
    pub generation: GenerationId,
    pub sidecar: InstanceRef,
}

/// A command. `now_ms` is the proposer's wall clock; the state machine takes the maximum seen.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// An atomic edit of the table.
    Edit {
        id: EditId,
        author: String,
        /// The version that the edit was made against.
        base: TableVersion,
        changes: Vec<RowChange>,
        now_ms: u64,
    },
    /// Claims a key for a generation.
    Claim {
        key: KeyId,
        /// Hash of the request body.
        fingerprint: u64,
        claimed: Claimed,
        now_ms: u64,
    },
    /// Records that the generation of a claim has ended.
    Finish {
        key: KeyId,
        generation: GenerationId,
        now_ms: u64,
    },
    /// Gives a claim up: the sidecar has confirmed a tombstone, or nothing was ever sent.
    Release {
        key: KeyId,
        generation: GenerationId,
        now_ms: u64,
    },
    /// Registers an incarnation of an instance. The fence in `member` is ignored.
    Register { member: Member, now_ms: u64 },
    /// Raises the phase of an incarnation.
    SetPhase {
        instance: InstanceRef,
        phase: Phase,
        now_ms: u64,
    },
    /// Replaces what an incarnation says of its upstreams.
    SetUpstreams {
        instance: InstanceRef,
        /// Rises with each report of an incarnation, from 1. A report that arrives after a later
        /// one is ignored: it could name a version that has been unloaded since.
        sequence: u64,
        upstreams: Vec<UpstreamInfo>,
        now_ms: u64,
    },
}

impl Command {
    /// Returns the proposer's wall clock.
    pub fn now_ms(&self) -> u64 {
        match self {
            Self::Edit { now_ms, .. }
            | Self::Claim { now_ms, .. }
            | Self::Finish { now_ms, .. }
            | Self::Release { now_ms, .. }
            | Self::Register { now_ms, .. }
            | Self::SetPhase { now_ms, .. }
            | Self::SetUpstreams { now_ms, .. } => *now_ms,
        }
    }

    /// Lowers the command's time to `limit_ms`. The leader does this before it appends a command:
    /// time in the state never runs backwards, so one proposer whose clock is far ahead would make
    /// every key expire until the other clocks have caught up.
    pub fn limit_now_ms(&mut self, limit_ms: u64) {
        match self {
            Self::Edit { now_ms, .. }
            | Self::Claim { now_ms, .. }
            | Self::Finish { now_ms, .. }
            | Self::Release { now_ms, .. }
            | Self::Register { now_ms, .. }
            | Self::SetPhase { now_ms, .. }
            | Self::SetUpstreams { now_ms, .. } => *now_ms = limit_ms.min(*now_ms),
        }
    }
}

/// The answer to an edit.
pub type EditAnswer = Result<TableVersion, EditRefusal>;

/// Why an edit was refused.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum EditRefusal {
    /// The edit itself is wrong.
    Invalid(Findings),
    /// Another edit changed rows that this one touches or depends on.
    Conflict {
        /// The edit that won, and its author.
        winner: EditId,
        author: String,
        version: TableVersion,
        rows: Vec<RowKey>,
    },
}

impl fmt::Display for EditRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Invalid(findings) => findings.fmt(f),
            Self::Conflict {
                winner,
                author,
                version,
                rows,
            } => {
                write!(
                    f,
                    "edit {:?} of {author} won at version {version}; changed since the base:",
                    winner.0
                )?;
                rows.iter().try_for_each(|row| write!(f, " {row}"))
            }
        }
    }
}

/// The answer to a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimAnswer {
    /// The caller may send this generation to this sidecar incarnation.
    Granted,
    /// The key is taken: by whom, and whether that generation has ended.
    Held {
        claimed: Claimed,
        finished: bool,
    },
    Refused(ClaimRefusal),
}

/// Why a claim was refused; nothing runs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimRefusal {
    /// The key is older than the kept window.
    Expired,
    /// The key's time lies in the future.
    Future,
    /// The key was used with another body.
    OtherBody,
    /// This generation gave the key up before; claim it again with a new generation.
    Released,
    /// The ledger holds as many claims as it may.
    Full,
}

/// The answer to a registration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RegisterAnswer {
    Registered(Fence),
    /// The incarnation was replaced by a newer one and must stop.
    Replaced,
}

/// The answer to a command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Response {
    Edit(EditAnswer),
    Claim(ClaimAnswer),
    Register(RegisterAnswer),
    /// The command took effect or had taken effect before.
    Done,
}
