//! The audit trail of accepted and refused edits, bounded by count, size and age.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use super::{Row, RowKey};
use crate::domain::state::EditId;
use crate::model::TableVersion;

/// Maximum number of entries; enough for about a week at 12,000 edits a day.
pub const MAX_AUDIT_ENTRIES: usize = 84_000;

/// Maximum sum of the encoded sizes of all entries. The newest entry is kept even if it alone
/// exceeds this size.
pub const MAX_AUDIT_BYTES: usize = 16 * 1024 * 1024;

/// Entries of this age or older are dropped when a new entry is added.
pub const MAX_AUDIT_AGE_MS: u64 = 30 * 24 * 3_600_000;

/// One row before and after an edit; `None` means that the row did not exist.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowAudit {
    pub key: RowKey,
    pub before: Option<Row>,
    pub after: Option<Row>,
}

/// The result of an edit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum AuditOutcome {
    /// The table version that contains the edit, and the rows that the edit changed.
    Accepted {
        version: TableVersion,
        rows: Vec<RowAudit>,
    },
    /// The reason for the refusal, and the rows that the edit would have changed.
    Refused { reason: String, rows: Vec<RowKey> },
}

/// One edit and the answer that its author got.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditEntry {
    pub id: EditId,
    pub author: String,
    pub at_ms: u64,
    pub base: TableVersion,
    pub outcome: AuditOutcome,
}

impl AuditEntry {
    /// Returns true if the edit changed the row, or would have changed it if it had been accepted.
    pub fn names(&self, key: &RowKey) -> bool {
        match &self.outcome {
            AuditOutcome::Accepted { rows, .. } => rows.iter().any(|row| row.key == *key),
            AuditOutcome::Refused { rows, .. } => rows.contains(key),
        }
    }
}

/// An entry with its encoded size.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct SizedEntry {
    bytes: usize,
    entry: AuditEntry,
}

/// The newest audit entries, oldest first.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Audit {
    entries: VecDeque<SizedEntry>,
    total_bytes: usize,
}

impl Audit {
    /// Adds an entry and drops the oldest ones until all bounds are met.
    pub fn add(&mut self, entry: AuditEntry) {
        let now_ms = entry.at_ms;
        let bytes = postcard::experimental::serialized_size(&entry).unwrap_or(MAX_AUDIT_BYTES);
        self.total_bytes += bytes;
        self.entries.push_back(SizedEntry { bytes, entry });
        while self.entries.len() > 1 && self.exceeds_bounds(now_ms) {
            let oldest = self.entries.pop_front();
            let dropped = oldest.map_or(0, |oldest| oldest.bytes);
            self.total_bytes = self.total_bytes.saturating_sub(dropped);
        }
    }

    /// Iterates over all entries, newest first.
    pub fn newest(&self) -> impl Iterator<Item = &AuditEntry> {
        self.entries.iter().rev().map(|sized| &sized.entry)
    }

    /// Returns the sum of the encoded sizes of all entries.
    pub fn total_bytes(&self) -> usize {
        self.total_bytes
    }

    fn exceeds_bounds(&self, now_ms: u64) -> bool {
        let is_expired =
            |sized: &SizedEntry| sized.entry.at_ms.saturating_add(MAX_AUDIT_AGE_MS) <= now_ms;
        self.entries.len() > MAX_AUDIT_ENTRIES
            || self.total_bytes > MAX_AUDIT_BYTES
            || self.entries.front().is_some_and(is_expired)
    }
}
