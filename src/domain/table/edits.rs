//! Atomic edits of the table: deduplication by edit id, conflict detection and validation.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

use super::audit::{Audit, AuditEntry, AuditOutcome, RowAudit};
use super::validate::{EditedTable, validate};
use super::{Row, RowKey, Table};
use crate::domain::members::Members;
use crate::domain::state::{EditAnswer, EditId, EditRefusal, RowChange, ViewChange};
use crate::findings::Findings;
use crate::model::TableVersion;
use crate::rpc::encode;

/// Maximum number of edits whose answer is stored to answer a resent edit; about 8 hours at 12,000
/// edits a day.
pub const MAX_ANSWERS: usize = 4_096;

/// Maximum sum of the encoded sizes of all stored answers.
pub const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// Maximum number of accepted edits whose id and author are stored, so that a conflict can name the
/// edit that won.
pub const MAX_EDITORS: usize = 16_384;

/// Maximum number of rows that a conflict refusal lists.
const MAX_CONFLICT_ROWS: usize = 100;

/// An edit as it was submitted.
#[derive(Debug, Clone, Copy)]
pub struct Edit<'a> {
    pub id: &'a EditId,
    pub author: &'a str,
    pub base: TableVersion,
    pub changes: &'a [RowChange],
}

impl Edit<'_> {
    /// Returns a hash that distinguishes different edits with the same id. It excludes `base`: a
    /// client that lost the answer and restarted resends the same edit with a newer base version.
    fn fingerprint(&self) -> u64 {
        let bytes = encode(&(self.author, self.changes)).unwrap_or_default();
        xxhash_rust::xxh3::xxh3_64(&bytes)
    }
}

/// The id and author of an accepted edit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Editor {
    pub id: EditId,
    pub author: String,
}

/// The answer to an edit, stored to be returned again when the edit is resent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct StoredAnswer {
    fingerprint: u64,
    answer: EditAnswer,
    bytes: usize,
}

/// The part of the replicated state that records past edits; the rows are in [`Table`].
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EditHistory {
    pub audit: Audit,
    answers: BTreeMap<EditId, StoredAnswer>,
    answer_order: VecDeque<EditId>,
    answer_bytes: usize,
    /// The edits that made the newest versions.
    editors: BTreeMap<TableVersion, Editor>,
    /// Rows that an edit in `editors` deleted, with the version of the deletion.
    deleted: BTreeMap<RowKey, TableVersion>,
    /// The highest version whose edit was dropped from `editors`.
    floor: TableVersion,
}

impl EditHistory {
    /// Answers an edit and records it. Returns the answer and the row changes, which the caller
    /// applies as version `versions.next`.
    pub fn submit(
        &mut self,
        edit: Edit,
        table: &Table,
        members: &Members,
        versions: Versions,
        now_ms: u64,
    ) -> (EditAnswer, Vec<ViewChange>) {
        let fingerprint = edit.fingerprint();
        match self.answers.get(edit.id) {
            Some(stored) if stored.fingerprint == fingerprint => {
                return (stored.answer.clone(), Vec::new());
            }
            Some(stored) => return (Err(reused_id_refusal(edit.id, &stored.answer)), Vec::new()),
            None => {}
        }
        let checked = self.check(edit, table, members, versions.current);
        let (answer, rows) = match checked {
            Ok(rows) if rows.is_empty() => (Ok(versions.current), rows),
            Ok(rows) => (Ok(versions.next), rows),
            Err(refusal) => (Err(refusal), Vec::new()),
        };
        let changes = rows.iter().map(view_change).collect();
        self.record_editor(edit, &rows, versions.next);
        self.audit.add(audit_entry(edit, &answer, rows, now_ms));
        self.store_answer(edit.id, fingerprint, &answer);
        (answer, changes)
    }

    /// Returns the rows that an edit would change, or why it would be refused.
    pub fn check(
        &self,
        edit: Edit,
        table: &Table,
        members: &Members,
        current: TableVersion,
    ) -> Result<Vec<RowAudit>, EditRefusal> {
        // The dependencies of an edit are only defined if it changes each row at most once.
        let is_ambiguous = has_repeated_key(edit);
        if !is_ambiguous && let Some(conflict) = self.find_conflict(edit, table) {
            return Err(conflict);
        }
        let mut findings = validate(edit, table, members);
        if edit.base > current {
            let reason = format!("is {}, but the table is at {current}", edit.base);
            findings.add("base", reason);
        }
        self.check_lost_deletions(edit, table, &mut findings);
        findings.into_result(()).map_err(EditRefusal::Invalid)?;
        Ok(changed_rows(edit, table))
    }

    fn find_conflict(&self, edit: Edit, table: &Table) -> Option<EditRefusal> {
        let newer = |key: &RowKey| {
            let version = self.version_of(key, table)?;
            (version > edit.base).then_some(version)
        };
        let keys = dependencies(edit, table);
        let changed: Vec<_> = keys
            .into_iter()
            .filter_map(|key| Some((newer(&key)?, key)))
            .collect();
        let (version, _) = changed.iter().max_by_key(|(version, _)| *version)?;
        let unknown = Editor {
            id: EditId(String::new()),
            author: "unknown (the edit is no longer kept)".to_owned(),
        };
        let winner = self.editors.get(version).unwrap_or(&unknown);
        Some(EditRefusal::Conflict {
            winner: winner.id.clone(),
            author: winner.author.clone(),
            version: *version,
            rows: changed
                .iter()
                .take(MAX_CONFLICT_ROWS)
                .map(|(_, key)| key.clone())
                .collect(),
        })
    }

    fn version_of(&self, key: &RowKey, table: &Table) -> Option<TableVersion> {
        match table.rows.get(key) {
            Some((version, _)) => Some(*version),
            None => self.deleted.get(key).copied(),
        }
    }

    /// Reports missing rows whose deletion the edit may not have seen: deletions up to `floor` are
    /// no longer recorded, so an older base cannot be checked against them.
    fn check_lost_deletions(&self, edit: Edit, table: &Table, findings: &mut Findings) {
        if edit.base >= self.floor {
            return;
        }
        for key in dependencies(edit, table) {
            if self.version_of(&key, table).is_none() {
                let reason = format!(
                    "may have been deleted after version {}; the history reaches back to {}: \
                     read the table again",
                    edit.base, self.floor
                );
                findings.add(key.to_string(), reason);
            }
        }
    }

    fn record_editor(&mut self, edit: Edit, rows: &[RowAudit], version: TableVersion) {
        if rows.is_empty() {
            return;
        }
        for row in rows {
            match row.after {
                Some(_) => self.deleted.remove(&row.key),
                None => self.deleted.insert(row.key.clone(), version),
            };
        }
        let editor = Editor {
            id: edit.id.clone(),
            author: edit.author.to_owned(),
        };
        self.editors.insert(version, editor);
        if self.editors.len() > MAX_EDITORS
            && let Some((oldest, _)) = self.editors.pop_first()
        {
            self.floor = oldest;
            self.deleted.retain(|_, version| *version > oldest);
        }
    }

    fn store_answer(&mut self, id: &EditId, fingerprint: u64, answer: &EditAnswer) {
        let bytes = postcard::experimental::serialized_size(answer).unwrap_or(0) + id.0.len();
        let stored = StoredAnswer {
            fingerprint,
            answer: answer.clone(),
            bytes,
        };
        self.answers.insert(id.clone(), stored);
        self.answer_order.push_back(id.clone());
        self.answer_bytes += bytes;
        while self.answer_order.len() > 1
            && (self.answer_order.len() > MAX_ANSWERS || self.answer_bytes > MAX_ANSWER_BYTES)
        {
            let oldest = self.answer_order.pop_front();
            let dropped = oldest.and_then(|id| self.answers.remove(&id));
            let dropped = dropped.map_or(0, |stored| stored.bytes);
            self.answer_bytes = self.answer_bytes.saturating_sub(dropped);
        }
    }
}

/// The current version of the view, and its next version if the edit changes the view.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Versions {
    pub current: TableVersion,
    pub next: TableVersion,
}

fn reused_id_refusal(id: &EditId, answer: &EditAnswer) -> EditRefusal {
    let outcome = match answer {
        Ok(version) => format!("was accepted at version {version}"),
        Err(_) => "was refused".to_owned(),
    };
    let mut findings = Findings::default();
    findings.add(
        "id",
        format!(
            "{:?} is the id of another edit, which {outcome}; choose a new id",
            id.0
        ),
    );
    EditRefusal::Invalid(findings)
}

fn has_repeated_key(edit: Edit) -> bool {
    let mut seen = BTreeSet::new();
    !edit.changes.iter().all(|change| seen.insert(&change.key))
}

/// Returns the rows that an edit changes or whose content decides whether the edit is valid.
fn dependencies(edit: Edit, table: &Table) -> BTreeSet<RowKey> {
    let mut keys = BTreeSet::new();
    for change in edit.changes {
        keys.insert(change.key.clone());
        keys.extend(change.row.iter().flat_map(|row| change.key.references(row)));
    }
    let after = EditedTable::new(edit.changes, table);
    keys.extend(after.references_to_deleted().map(|(user, _)| user.clone()));
    keys.extend(after.duplicate_key_hashes().into_values().cloned());
    keys
}

fn changed_rows(edit: Edit, table: &Table) -> Vec<RowAudit> {
    let audits = edit.changes.iter().map(|change| RowAudit {
        key: change.key.clone(),
        before: table.rows.get(&change.key).map(|(_, row)| row.clone()),
        after: change.row.clone(),
    });
    audits.filter(|row| row.before != row.after).collect()
}

fn view_change(row: &RowAudit) -> ViewChange {
    let key = row.key.clone();
    match &row.after {
        Some(after) => ViewChange::SetRow {
            key,
            row: after.clone(),
        },
        None => ViewChange::DeleteRow { key },
    }
}

fn audit_entry(edit: Edit, answer: &EditAnswer, rows: Vec<RowAudit>, now_ms: u64) -> AuditEntry {
    let outcome = match answer {
        Ok(version) => AuditOutcome::Accepted {
            version: *version,
            rows,
        },
        Err(refusal) => AuditOutcome::Refused {
            reason: refusal.to_string(),
            rows: edit.changes.iter().map(|c| c.key.clone()).collect(),
        },
    };
    AuditEntry {
        id: edit.id.clone(),
        author: edit.author.to_owned(),
        at_ms: now_ms,
        base: edit.base,
        outcome,
    }
}

impl Row {
    /// Returns true if the row has the type that the key names.
    pub fn fits(&self, key: &RowKey) -> bool {
        matches!(
            (self, key),
            (Self::Workspace(_), RowKey::Workspace(_))
                | (Self::Kind(_), RowKey::Kind(..))
                | (Self::Model(_), RowKey::Model(_))
                | (Self::Service(_), RowKey::Service(_))
                | (Self::Limit(_), RowKey::Limit(_))
        )
    }
}
