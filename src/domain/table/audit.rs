//! The audit trail: who changed what, and which edits were refused.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use super::{Row, RowKey};
use crate::domain::state::EditId;
use crate::model::TableVersion;

/// The largest number of entries: about a week at 12,000 edits a day.
pub const MAX_AUDIT_ENTRIES: usize = 84_000;

/// The largest sum of the encoded sizes of all entries. The newest entry is always kept.
pub const MAX_AUDIT_BYTES: usize = 16 * 1024 * 1024;

/// The age at which entries are dropped.
pub const MAX_AUDIT_AGE_MS: u64 = 30 * 24 * 3_600_000;

/// One row before and after an edit; no row means that it did not exist.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowAudit {
    pub key: RowKey,
    pub before: Option<Row>,
    pub after: Option<Row>,
}

/// What became of an edit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum AuditOutcome {
    /// The version at which the edit holds, and the rows that it changed.
    Accepted {
        version: TableVersion,
        rows: Vec<RowAudit>,
    },
    /// The reason, and the rows that the edit would have changed.
    Refused { reason: String, rows: Vec<RowKey> },
}

/// One edit as it was answered.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditEntry {
    pub id: EditId,
    pub author: String,
    pub at_ms: u64,
    pub base: TableVersion,
    pub outcome: AuditOutcome,
}

impl AuditEntry {
    /// Returns true if the edit changed the row, or would have.
    pub fn names(&self, key: &RowKey) -> bool {
        match &self.outcome {
            AuditOutcome::Accepted { rows, .. } => rows.iter().any(|row| row.key == *key),
            AuditOutcome::Refused { rows, .. } => rows.contains(key),
        }
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Sized {
    bytes: usize,
    entry: AuditEntry,
}

/// The newest entries, bounded by count, age and size.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Audit {
    entries: VecDeque<Sized>,
    total_bytes: usize,
}

impl Audit {
    /// Adds an entry and drops the oldest ones beyond the bounds.
    pub fn add(&mut self, entry: AuditEntry) {
        let now_ms = entry.at_ms;
        let bytes = postcard::experimental::serialized_size(&entry).unwrap_or(MAX_AUDIT_BYTES);
        self.total_bytes += bytes;
        self.entries.push_back(Sized { bytes, entry });
        while self.entries.len() > 1 && self.is_over(now_ms) {
            let oldest = self.entries.pop_front();
            let dropped = oldest.map_or(0, |oldest| oldest.bytes);
            self.total_bytes = self.total_bytes.saturating_sub(dropped);
        }
    }

    /// Returns entries, the newest first.
    pub fn newest(&self) -> impl Iterator<Item = &AuditEntry> {
        self.entries.iter().rev().map(|sized| &sized.entry)
    }

    /// Returns the sum of the encoded sizes of all entries.
    pub fn total_bytes(&self) -> usize {
        self.total_bytes
    }

    fn is_over(&self, now_ms: u64) -> bool {
        let is_old = |sized: &Sized| sized.entry.at_ms.saturating_add(MAX_AUDIT_AGE_MS) <= now_ms;
        self.entries.len() > MAX_AUDIT_ENTRIES
            || self.total_bytes > MAX_AUDIT_BYTES
            || self.entries.front().is_some_and(is_old)
    }
}
