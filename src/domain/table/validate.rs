//! Validation of edits. Collects every fault together with its row and field.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::RangeInclusive;

use super::edits::Edit;
use super::{KindRow, ModelRow, Row, RowKey, ServiceRow, Table, WorkspaceRow};
use crate::domain::members::{Members, Phase, Serves, UpstreamInfo};
use crate::domain::state::RowChange;
use crate::findings::Findings;
use crate::model::ModelName;

/// Maximum number of rows in the table: five times the design size of 20,000 workspaces.
pub const MAX_ROWS: usize = 100_000;

/// Maximum number of changes in one edit; allows a whole table of 20,000 workspaces.
pub const MAX_CHANGES: usize = 25_000;

/// Maximum number of faults that a refusal lists.
pub const MAX_FINDINGS: usize = 1_000;

const MAX_NAME_BYTES: usize = 64;
const MAX_VERSION_BYTES: usize = 128;
const MAX_EDIT_ID_BYTES: usize = 128;

const WEIGHT: RangeInclusive<u64> = 1..=1_000_000;
const ROOM_SLOTS: RangeInclusive<u64> = 0..=1_000_000;
const MAX_TOKENS: RangeInclusive<u64> = 1..=10_000_000;
const DEADLINE_MS: RangeInclusive<u64> = 1..=86_400_000;

/// The table as it would be after an edit.
pub(super) struct EditedTable<'a> {
    changes: BTreeMap<&'a RowKey, Option<&'a Row>>,
    table: &'a Table,
}

impl<'a> EditedTable<'a> {
    pub(super) fn new(changes: &'a [RowChange], table: &'a Table) -> Self {
        let changes = changes
            .iter()
            .map(|change| (&change.key, change.row.as_ref()))
            .collect();
        Self { changes, table }
    }

    fn contains(&self, key: &RowKey) -> bool {
        match self.changes.get(key) {
            Some(row) => row.is_some(),
            None => self.table.rows.contains_key(key),
        }
    }

    /// Returns the rows that the edit neither sets nor deletes.
    fn unchanged_rows(&self) -> impl Iterator<Item = (&'a RowKey, &'a Row)> + '_ {
        let rows = self.table.rows.iter().map(|(key, (_, row))| (key, row));
        rows.filter(|(key, _)| !self.changes.contains_key(*key))
    }

    /// Returns the unchanged rows that refer to a row that the edit deletes, as pairs of the key of
    /// the unchanged row and the key of the deleted row.
    pub(super) fn references_to_deleted(&self) -> impl Iterator<Item = (&'a RowKey, RowKey)> + '_ {
        let deletes = self.changes.values().any(Option::is_none);
        let users = deletes.then(|| self.unchanged_rows()).into_iter().flatten();
        users.flat_map(|(key, row)| {
            let references = key.references(row).into_iter();
            references
                .filter(|reference| self.changes.get(reference) == Some(&None))
                .map(move |reference| (key, reference))
        })
    }

    /// Returns the unchanged workspaces whose API key hash the edit sets in another row. Most edits
    /// set no new hash and return here without a scan of the table.
    pub(super) fn duplicate_key_hashes(&self) -> BTreeMap<&'a str, &'a RowKey> {
        let is_new = |key: &RowKey, hash: &str| {
            let old = self.table.rows.get(key);
            old.and_then(|(_, row)| api_key_hash(row)) != Some(hash)
        };
        let changes = self.changes.iter();
        let new_hashes: BTreeSet<&str> = changes
            .filter_map(|(key, row)| Some((*key, api_key_hash((*row)?)?)))
            .filter(|(key, hash)| is_new(key, hash))
            .map(|(_, hash)| hash)
            .collect();
        if new_hashes.is_empty() {
            return BTreeMap::new();
        }
        self.unchanged_rows()
            .filter_map(|(key, row)| Some((api_key_hash(row)?, key)))
            .filter(|(hash, _)| new_hashes.contains(hash))
            .collect()
    }
}

fn api_key_hash(row: &Row) -> Option<&str> {
    match row {
        Row::Workspace(row) => row.api_key_sha256.as_deref(),
        _ => None,
    }
}

/// Returns every fault of an edit.
pub(super) fn validate(edit: Edit, table: &Table, members: &Members) -> Findings {
    let mut findings = Findings::default();
    check_id_and_author(edit, &mut findings);
    let after = EditedTable::new(edit.changes, table);
    check_changes(edit, &after, &mut findings);
    for change in edit.changes {
        check_change(change, &after, members, &mut findings);
    }
    check_deletions(&after, &mut findings);
    check_key_hashes(&after, &mut findings);
    truncate_findings(&mut findings);
    findings
}

fn check_id_and_author(edit: Edit, findings: &mut Findings) {
    if !is_printable(&edit.id.0, MAX_EDIT_ID_BYTES) {
        findings.add("id", printable_rule(MAX_EDIT_ID_BYTES));
    }
    let author_fits = (1..=MAX_NAME_BYTES).contains(&edit.author.len());
    if !author_fits || edit.author.chars().any(char::is_control) {
        findings.add(
            "author",
            format!("must have 1 to {MAX_NAME_BYTES} bytes and no control characters"),
        );
    }
}

fn check_changes(edit: Edit, after: &EditedTable, findings: &mut Findings) {
    if edit.changes.is_empty() {
        findings.add("changes", "is empty");
    }
    if edit.changes.len() > MAX_CHANGES {
        let reason = format!("has {} changes; at most {MAX_CHANGES}", edit.changes.len());
        findings.add("changes", reason);
    }
    let mut seen = BTreeSet::new();
    for change in edit.changes {
        if !seen.insert(&change.key) {
            findings.add(change.key.to_string(), "is changed twice in one edit");
        }
    }
    let existed = |key: &RowKey| after.table.rows.contains_key(key);
    let count = |set: bool| {
        let changes = after.changes.iter();
        changes
            .filter(|(key, row)| row.is_some() == set && existed(key) != set)
            .count()
    };
    let rows = after.table.rows.len() + count(true) - count(false);
    if rows > MAX_ROWS {
        findings.add(
            "changes",
            format!("would make {rows} rows; at most {MAX_ROWS}"),
        );
    }
}

fn check_change(
    change: &RowChange,
    after: &EditedTable,
    members: &Members,
    findings: &mut Findings,
) {
    let place = change.key.to_string();
    for name in change.key.names() {
        if !is_name(name) {
            findings.add(
                &place,
                format!(
                    "{name:?} must have 1 to {MAX_NAME_BYTES} letters, digits or any of . _ -, \
                     and start with a letter or digit"
                ),
            );
        }
    }
    let Some(row) = &change.row else {
        if !after.table.rows.contains_key(&change.key) {
            findings.add(place, "does not exist, so it cannot be deleted");
        }
        return;
    };
    if !row.fits(&change.key) {
        findings.add(place, "holds a row of another type");
        return;
    }
    check_row(&place, row, findings);
    for reference in change.key.references(row) {
        if !after.contains(&reference) {
            let field = match reference {
                RowKey::Workspace(_) => "workspace",
                _ => "target",
            };
            findings.add(
                format!("{place} {field}"),
                format!("names {reference}, which would not exist"),
            );
        }
    }
    if let (RowKey::Model(name), Row::Model(row)) = (&change.key, row) {
        check_version_loaded(&place, name, row, after.table, members, findings);
    }
}

fn check_row(place: &str, row: &Row, findings: &mut Findings) {
    match row {
        Row::Workspace(row) => check_workspace(place, row, findings),
        Row::Kind(KindRow {
            room_slots,
            deadline_ms,
            ..
        }) => {
            check_range(
                place,
                "deadline_ms",
                Some(*deadline_ms),
                &DEADLINE_MS,
                findings,
            );
            let slots = room_slots.map(u64::from);
            check_range(place, "room_slots", slots, &ROOM_SLOTS, findings);
        }
        Row::Model(row) => check_model(place, row, findings),
        Row::Service(ServiceRow { deadline_ms, .. }) => {
            check_range(
                place,
                "deadline_ms",
                Some(*deadline_ms),
                &DEADLINE_MS,
                findings,
            );
        }
        Row::Limit(_) => {}
    }
}

fn check_workspace(place: &str, row: &WorkspaceRow, findings: &mut Findings) {
    check_range(place, "weight", Some(row.weight.into()), &WEIGHT, findings);
    let slots = row.room_slots.map(u64::from);
    check_range(place, "room_slots", slots, &ROOM_SLOTS, findings);
    let tokens = Some(row.max_tokens.into());
    check_range(place, "max_tokens", tokens, &MAX_TOKENS, findings);
    let is_hash = |text: &str| {
        let is_digit = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
        text.len() == 64 && text.bytes().all(is_digit)
    };
    if row
        .api_key_sha256
        .as_deref()
        .is_some_and(|hash| !is_hash(hash))
    {
        findings.add(
            format!("{place} api_key_sha256"),
            "must have 64 lowercase hexadecimal digits",
        );
    }
}

fn check_model(place: &str, row: &ModelRow, findings: &mut Findings) {
    let fields = [
        ("version", Some(&row.version)),
        ("prepare_version", row.prepare_version.as_ref()),
        ("adapter", row.adapter.as_ref()),
    ];
    for (field, value) in fields {
        if value.is_some_and(|value| !is_printable(value, MAX_VERSION_BYTES)) {
            findings.add(
                format!("{place} {field}"),
                printable_rule(MAX_VERSION_BYTES),
            );
        }
    }
}

fn check_range(
    place: &str,
    field: &str,
    value: Option<u64>,
    bounds: &RangeInclusive<u64>,
    findings: &mut Findings,
) {
    if let Some(value) = value
        && !bounds.contains(&value)
    {
        let reason = format!("is {value}, outside {} to {}", bounds.start(), bounds.end());
        findings.add(format!("{place} {field}"), reason);
    }
}

/// A new version must be loaded on a live replica, unless the model has no live replica.
fn check_version_loaded(
    place: &str,
    name: &ModelName,
    row: &ModelRow,
    table: &Table,
    members: &Members,
    findings: &mut Findings,
) {
    if table
        .model(name)
        .is_some_and(|old| old.version == row.version)
    {
        return;
    }
    let replicas: Vec<_> = live_replicas(name, members).collect();
    let is_loaded = replicas
        .iter()
        .any(|replica| replica.versions.contains(&row.version));
    if replicas.is_empty() || is_loaded {
        return;
    }
    findings.add(
        format!("{place} version"),
        format!(
            "{:?} is not loaded on any of {} replicas; set prepare_version to it first and wait \
             until a replica has loaded it",
            row.version,
            replicas.len()
        ),
    );
}

fn live_replicas<'a>(
    name: &'a ModelName,
    members: &'a Members,
) -> impl Iterator<Item = &'a UpstreamInfo> {
    let live = members
        .members
        .values()
        .filter(|member| member.phase == Phase::Live);
    live.flat_map(|member| &member.upstreams)
        .filter(move |upstream| upstream.serves == Serves::Model(name.clone()))
}

fn check_deletions(after: &EditedTable, findings: &mut Findings) {
    for (user, deleted) in after.references_to_deleted() {
        findings.add(
            deleted.to_string(),
            format!("is used by {user}; change that first"),
        );
    }
}

fn check_key_hashes(after: &EditedTable, findings: &mut Findings) {
    let mut owners = after.duplicate_key_hashes();
    let rows = after.changes.iter();
    let changed = rows.filter_map(|(key, row)| Some((*key, (*row)?)));
    for (key, row) in changed {
        let Some(hash) = api_key_hash(row) else {
            continue;
        };
        if let Some(owner) = owners.insert(hash, key) {
            findings.add(
                format!("{key} api_key_sha256"),
                format!("is the hash of {owner} as well; each workspace needs its own key"),
            );
        }
    }
}

fn truncate_findings(findings: &mut Findings) {
    let total = findings.0.len();
    if total > MAX_FINDINGS {
        findings.0.truncate(MAX_FINDINGS);
        findings.add(
            "changes",
            format!("has {} more findings", total - MAX_FINDINGS),
        );
    }
}

fn is_name(text: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"._-".contains(&byte);
    (1..=MAX_NAME_BYTES).contains(&text.len())
        && text.bytes().all(allowed)
        && text.as_bytes()[0].is_ascii_alphanumeric()
}

/// Returns true for printable ASCII text without spaces and backslashes. In INI, a backslash at the
/// end of a line joins it with the next line.
fn is_printable(text: &str, max_bytes: usize) -> bool {
    let allowed = |byte: u8| byte.is_ascii_graphic() && byte != b'\\';
    (1..=max_bytes).contains(&text.len()) && text.bytes().all(allowed)
}

fn printable_rule(max_bytes: usize) -> String {
    format!("must have 1 to {max_bytes} printable ASCII characters without spaces or backslashes")
}
