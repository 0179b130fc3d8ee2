//! Compares the state machine with a simple reference model of the table in randomised runs.

mod state_support;

use std::collections::{BTreeMap, BTreeSet};

use lilacspindle::domain::members::{Members, Phase, Serves};
use lilacspindle::domain::state::{
    Command, EditAnswer, EditId, EditRefusal, Response, RowChange, SNAPSHOT_FORMAT, State, View,
};
use lilacspindle::domain::table::{AuditOutcome, Row, RowKey, Target};
use lilacspindle::model::TableVersion;
use rand::prelude::*;
use state_support::{Source, check, seeds};

type Rows = BTreeMap<RowKey, Row>;

/// A reference model of the table: keeps every accepted edit and checks the whole table after each.
#[derive(Default)]
struct ReferenceModel {
    rows: Rows,
    accepted: Vec<(TableVersion, EditId, BTreeSet<RowKey>)>,
    answers: BTreeMap<EditId, EditAnswer>,
}

fn references(key: &RowKey, row: &Row) -> Vec<RowKey> {
    let (RowKey::Kind(workspace, _), Row::Kind(kind)) = (key, row) else {
        return Vec::new();
    };
    let target = match &kind.target {
        Target::Model(name) => RowKey::Model(name.clone()),
        Target::Service(name) => RowKey::Service(name.clone()),
    };
    let workspace = workspace.clone().map(RowKey::Workspace);
    [Some(target), workspace].into_iter().flatten().collect()
}

fn hash(row: &Row) -> Option<&String> {
    match row {
        Row::Workspace(row) => row.api_key_sha256.as_ref(),
        _ => None,
    }
}

fn row_is_valid(key: &RowKey, row: &Row, after: &Rows) -> bool {
    let fields_are_valid = match row {
        Row::Workspace(row) => row.weight > 0,
        Row::Kind(row) => row.deadline_ms > 0,
        _ => *key != RowKey::Limit("bad name".to_owned()),
    };
    let others = after.iter().filter(|(other, _)| *other != key);
    let has_duplicate_hash =
        hash(row).is_some_and(|own| others.filter_map(|(_, r)| hash(r)).any(|h| h == own));
    fields_are_valid
        && !has_duplicate_hash
        && references(key, row)
            .iter()
            .all(|key| after.contains_key(key))
}

impl ReferenceModel {
    /// Returns true if a row that the edit touches or depends on changed after its base.
    fn conflicts(&self, base: TableVersion, changes: &[RowChange]) -> bool {
        let touched: BTreeSet<_> = changes.iter().map(|change| change.key.clone()).collect();
        let mut needed = touched.clone();
        for change in changes {
            let others = self.rows.iter().filter(|(key, _)| !touched.contains(*key));
            let related = others.filter(|(key, other)| match &change.row {
                Some(row) => hash(row).is_some() && hash(other) == hash(row),
                None => references(key, other).contains(&change.key),
            });
            needed.extend(related.map(|(key, _)| key.clone()));
            let row = change.row.as_ref();
            needed.extend(row.into_iter().flat_map(|row| references(&change.key, row)));
        }
        let later = self.accepted.iter().filter(|(version, ..)| *version > base);
        later
            .flat_map(|(_, _, keys)| keys)
            .any(|key| needed.contains(key))
    }

    /// Returns the rows after the edit if the whole table would be valid.
    fn after(&self, changes: &[RowChange], members: &Members) -> Option<Rows> {
        let keys: BTreeSet<_> = changes.iter().map(|change| &change.key).collect();
        let mut after = self.rows.clone();
        for RowChange { key, row } in changes {
            let existed = match row {
                Some(row) => after.insert(key.clone(), row.clone()).is_some(),
                None => after.remove(key).is_some(),
            };
            let deletes_missing = row.is_none() && !existed;
            let not_loaded = matches!((key, row), (RowKey::Model(_), Some(row))
                if self.rows.get(key) != Some(row) && !is_loaded(key, row, members));
            if deletes_missing || not_loaded {
                return None;
            }
        }
        let is_valid = after
            .iter()
            .all(|(key, row)| row_is_valid(key, row, &after));
        (keys.len() == changes.len() && is_valid).then_some(after)
    }

    fn check(&mut self, index: u64, command: &Command, answer: &EditAnswer, before: &View) {
        let Command::Edit {
            id, base, changes, ..
        } = command
        else {
            panic!("not an edit: {command:?}");
        };
        if let Some(first) = self.answers.get(id) {
            assert_eq!(first, answer, "a resent edit must get its first answer");
            return;
        }
        self.answers.insert(id.clone(), answer.clone());
        let after = self.after(changes, &before.members);
        let keys: BTreeSet<_> = changes.iter().map(|change| &change.key).collect();
        let repeated = keys.len() < changes.len();
        if !repeated && self.conflicts(*base, changes) {
            let Err(EditRefusal::Conflict {
                winner, version, ..
            }) = answer
            else {
                panic!("{command:?} must conflict, got {answer:?}");
            };
            let is_winner = |(v, id, _): &&(TableVersion, EditId, _)| v == version && id == winner;
            assert!(
                self.accepted.iter().any(|edit| is_winner(&edit)),
                "{answer:?}"
            );
            return;
        }
        let Some(after) = after else {
            let invalid = matches!(answer, Err(EditRefusal::Invalid(_)));
            assert!(invalid, "{command:?} must be invalid, got {answer:?}");
            return;
        };
        if after == self.rows {
            assert_eq!(*answer, Ok(before.version), "{command:?}");
            return;
        }
        assert_eq!(*answer, Ok(TableVersion(index)), "{command:?}");
        let changed = changes
            .iter()
            .filter(|change| self.rows.get(&change.key) != after.get(&change.key));
        let changed = changed.map(|change| change.key.clone()).collect();
        self.accepted
            .push((TableVersion(index), id.clone(), changed));
        self.rows = after;
    }
}

fn is_loaded(key: &RowKey, row: &Row, members: &Members) -> bool {
    let (RowKey::Model(name), Row::Model(row)) = (key, row) else {
        return true;
    };
    let live = members
        .members
        .values()
        .filter(|member| member.phase == Phase::Live);
    let replicas: Vec<_> = live
        .flat_map(|member| &member.upstreams)
        .filter(|upstream| upstream.serves == Serves::Model(name.clone()))
        .collect();
    replicas.is_empty()
        || replicas
            .iter()
            .any(|replica| replica.versions.contains(&row.version))
}

/// Guards against edits that are lost or applied twice, undetected conflicts, broken references,
/// deltas that do not add up to the view, and snapshots that omit a part of the state. A second
/// state machine, which is never restored from a snapshot, must stay equal to the first one.
#[test]
fn edits_match_the_model_over_resends_and_restores() {
    let (mut accepted, mut conflicts) = (0, 0);
    for seed in seeds() {
        let mut source = Source::new(seed);
        let (mut state, mut unrestored) = (State::default(), State::default());
        let (mut model, mut view_from_deltas) = (ReferenceModel::default(), View::default());
        let mut sent: Vec<Command> = Vec::new();
        for index in 1..=1_500 {
            let command = if source.chance(15) && !sent.is_empty() {
                sent.choose(&mut source.rng).unwrap().clone()
            } else {
                source.command(state.view().version)
            };
            if source.chance(2) {
                state = State::restore(&state.snapshot()).unwrap();
            }
            let before = state.view().clone();
            let (response, delta) = state.apply(index, &command);
            assert_eq!(
                (response.clone(), delta.clone()),
                unrestored.apply(index, &command),
                "seed {seed}"
            );
            if let Some(delta) = &delta {
                assert!(
                    view_from_deltas.apply(delta),
                    "seed {seed}: a delta does not follow the previous one"
                );
                assert_eq!(delta.version.0, index);
            }
            assert_eq!(
                &view_from_deltas,
                state.view(),
                "seed {seed}: the deltas do not add up to the view"
            );
            if let Response::Edit(answer) = &response {
                model.check(index, &command, answer, &before);
                conflicts += usize::from(matches!(answer, Err(EditRefusal::Conflict { .. })));
            }
            let rows = &state.view().table.rows;
            let rows: Rows = rows
                .iter()
                .map(|(key, (_, row))| (key.clone(), row.clone()))
                .collect();
            assert_eq!(rows, model.rows, "seed {seed}, index {index}");
            sent.push(command);
        }
        assert_eq!(
            state, unrestored,
            "seed {seed}: the restored state differs from the one without restores"
        );
        let audited = state.edits().audit.newest();
        let audited = audited.filter(|entry| match &entry.outcome {
            AuditOutcome::Accepted { rows, .. } => !rows.is_empty(),
            AuditOutcome::Refused { .. } => false,
        });
        assert_eq!(audited.count(), model.accepted.len(), "seed {seed}");
        accepted += model.accepted.len();
    }
    assert!(
        accepted > 500 && conflicts > 500,
        "{accepted} accepted, {conflicts} conflicts"
    );
}

/// Guards against a panic or a large allocation when a snapshot is truncated or corrupt.
#[test]
fn damaged_snapshots_are_refused_without_panic() {
    let mut source = Source::new(7);
    let mut state = State::default();
    for index in 1..=300 {
        let command = source.command(state.view().version);
        state.apply(index, &command);
    }
    let whole = state.snapshot();
    let cut = |bytes: usize| State::restore(&whole[..bytes]);
    assert!((0..whole.len()).step_by(7).all(|bytes| cut(bytes).is_err()));
    assert!(State::restore(&[&whole[..], &[0]].concat()).is_err());
    let any_bytes = |mut bytes: Vec<u8>| {
        let _ = State::restore(&bytes);
        bytes.insert(0, SNAPSHOT_FORMAT);
        let _ = State::restore(&bytes);
        true
    };
    check(any_bytes as fn(Vec<u8>) -> bool);
    let flip = |offset: usize, byte: u8| {
        let mut bytes = whole.clone();
        let offset = offset % bytes.len();
        bytes[offset] = byte;
        let _ = State::restore(&bytes);
    };
    for step in 0..2_000_usize {
        flip(step * 7_919, u8::try_from(step % 256).unwrap());
    }
}
