//! The replicated state machine: applies committed commands in log order.

use std::fmt;

use serde::{Deserialize, Serialize};

use super::{Command, Response, View, ViewChange, ViewDelta};
use crate::domain::ledger::Ledger;
use crate::domain::members::Registry;
use crate::domain::table::{Edit, EditHistory, Versions};
use crate::model::TableVersion;
use crate::rpc::{decode, encode};

/// The snapshot format, which is the first byte of a snapshot. Other formats are refused.
pub const SNAPSHOT_FORMAT: u8 = 1;

/// The replicated state.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    view: View,
    /// The highest time that any command has carried.
    now_ms: u64,
    edits: EditHistory,
    ledger: Ledger,
    registry: Registry,
}

/// Why a snapshot cannot be restored.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RestoreError {
    Empty,
    Format { found: u8 },
    Malformed(String),
}

impl fmt::Display for RestoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Empty => f.write_str("empty snapshot"),
            Self::Format { found } => write!(
                f,
                "unsupported snapshot format {found}; expected {SNAPSHOT_FORMAT}"
            ),
            Self::Malformed(reason) => write!(f, "malformed snapshot: {reason}"),
        }
    }
}

impl std::error::Error for RestoreError {}

impl State {
    /// Returns the part of the state that every process has a copy of.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Returns the answers, history and authors of edits.
    pub fn edits(&self) -> &EditHistory {
        &self.edits
    }

    /// Returns the claims on idempotency keys.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Returns the member data that is not part of the view.
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Returns the highest time that any command has carried.
    pub fn now_ms(&self) -> u64 {
        self.now_ms
    }

    /// Applies the command of the log entry at `index`. Returns the answer, and the change of the
    /// view if the command changes it; the new version of the view is `index`.
    pub fn apply(&mut self, index: u64, command: &Command) -> (Response, Option<ViewDelta>) {
        self.now_ms = self.now_ms.max(command.now_ms());
        self.ledger.expire(self.now_ms);
        let (response, changes) = self.execute(index, command);
        (response, self.change_view(index, changes))
    }

    /// Returns the encoded state.
    pub fn snapshot(&self) -> Vec<u8> {
        let body = encode(self).expect("the state has only types that postcard can encode");
        let mut bytes = Vec::with_capacity(body.len() + 1);
        bytes.push(SNAPSHOT_FORMAT);
        bytes.extend_from_slice(&body);
        bytes
    }

    /// Decodes a snapshot.
    pub fn restore(bytes: &[u8]) -> Result<Self, RestoreError> {
        match bytes {
            [] => Err(RestoreError::Empty),
            [SNAPSHOT_FORMAT, body @ ..] => {
                decode(body).map_err(|error| RestoreError::Malformed(error.to_string()))
            }
            [found, ..] => Err(RestoreError::Format { found: *found }),
        }
    }

    fn execute(&mut self, index: u64, command: &Command) -> (Response, Vec<ViewChange>) {
        match command {
            Command::Edit {
                id,
                author,
                base,
                changes,
                ..
            } => self.edit(
                index,
                Edit {
                    id,
                    author,
                    base: *base,
                    changes,
                },
            ),
            Command::Claim {
                key,
                fingerprint,
                claimed,
                ..
            } => {
                let answer = self.ledger.claim(key, *fingerprint, claimed, self.now_ms);
                (Response::Claim(answer), Vec::new())
            }
            Command::Finish {
                key, generation, ..
            } => {
                self.ledger.finish(key, *generation);
                (Response::Done, Vec::new())
            }
            Command::Release {
                key, generation, ..
            } => {
                self.ledger.release(key, *generation, self.now_ms);
                (Response::Done, Vec::new())
            }
            Command::Register { .. } | Command::SetPhase { .. } | Command::SetUpstreams { .. } => {
                self.change_members(index, command)
            }
        }
    }

    fn edit(&mut self, index: u64, edit: Edit) -> (Response, Vec<ViewChange>) {
        let versions = Versions {
            current: self.view.version,
            next: TableVersion(index),
        };
        let (table, members) = (&self.view.table, &self.view.members);
        let (answer, changes) = self
            .edits
            .submit(edit, table, members, versions, self.now_ms);
        (Response::Edit(answer), changes)
    }

    fn change_members(&mut self, index: u64, command: &Command) -> (Response, Vec<ViewChange>) {
        let (members, now_ms) = (&self.view.members, self.now_ms);
        let (response, mut changes) = match command {
            Command::Register { member, .. } => {
                let (answer, changes) = self.registry.register(members, member, index, now_ms);
                (Response::Register(answer), changes)
            }
            Command::SetPhase {
                instance, phase, ..
            } => {
                let changes = self.registry.set_phase(members, instance, *phase, now_ms);
                (Response::Done, changes)
            }
            Command::SetUpstreams {
                instance,
                sequence,
                upstreams,
                ..
            } => {
                let registry = &mut self.registry;
                let changes = registry.set_upstreams(members, instance, *sequence, upstreams);
                (Response::Done, changes)
            }
            _ => (Response::Done, Vec::new()),
        };
        changes.extend(self.registry.prune(members, now_ms));
        (response, changes)
    }

    fn change_view(&mut self, index: u64, changes: Vec<ViewChange>) -> Option<ViewDelta> {
        if changes.is_empty() {
            return None;
        }
        let delta = ViewDelta {
            base: self.view.version,
            version: TableVersion(index),
            changes,
        };
        let is_next = self.view.apply(&delta);
        assert!(is_next, "log entry {index} was applied out of order");
        Some(delta)
    }
}
