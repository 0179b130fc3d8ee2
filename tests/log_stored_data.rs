//! Reads a data folder that an earlier version wrote: an identity, a snapshot and a log segment.
//!
//! The files in `tests/data/control_folder` come from a control instance with
//! `snapshot_entries = 16` that had one entry and one sidecar, took edits and two requests with
//! idempotency keys, and was killed twice.

use std::path::PathBuf;

use lilacspindle::adapters::disk::{Disk, FileOps, FolderContent};
use lilacspindle::domain::log::Payload;
use lilacspindle::domain::members::Role;
use lilacspindle::domain::state::{ClaimAnswer, Command, Response, State};
use lilacspindle::domain::table::{Row, RowKey};
use lilacspindle::model::TableVersion;
use lilacspindle::rpc::{decode, encode};

/// A copy of the stored files, which opening the folder may change. Removed when dropped.
struct FolderCopy(PathBuf);

impl FolderCopy {
    fn new() -> Self {
        let name = format!("lilac-stored-data-{:x}", rand::random::<u64>());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir(&path).unwrap();
        let stored = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/data/control_folder");
        for file in std::fs::read_dir(stored).unwrap() {
            let file = file.unwrap();
            std::fs::copy(file.path(), path.join(file.file_name())).unwrap();
        }
        Self(path)
    }

    fn open(&self) -> FolderContent {
        Disk::open(&self.0, FileOps::real(), 0).unwrap().1
    }
}

impl Drop for FolderCopy {
    fn drop(&mut self) {
        // Only leaves a folder in the temporary directory behind if it fails.
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Returns the commands of the log with their index, and checks that each is encoded as before.
fn commands(content: &FolderContent) -> Vec<(u64, Command)> {
    let mut commands = Vec::new();
    for entry in &content.recovered.entries {
        if let Payload::Command(bytes) = &entry.payload {
            let command: Command = decode(bytes).unwrap();
            assert_eq!(encode(&command).unwrap(), *bytes, "entry {}", entry.index);
            commands.push((entry.index, command));
        }
    }
    commands
}

/// Guards against changes to types of the stored state, such as fields in another order, by which a
/// new version cannot read the data of the previous one, or reads other values.
#[test]
fn stored_data_of_an_earlier_version_is_read() {
    let folder = FolderCopy::new();
    let content = folder.open();
    assert_ne!(content.identity, 0, "the identity was replaced");
    let snapshot = content.recovered.snapshot.as_ref().unwrap();
    let mut state = State::restore(&snapshot.data).unwrap();
    assert_eq!(state.snapshot(), snapshot.data);
    let commands = commands(&content);
    let first_answers: Vec<_> = commands
        .iter()
        .map(|(index, command)| state.apply(*index, command).0)
        .collect();

    let view = state.view().clone();
    assert_eq!(view.version, TableVersion(29));
    let weights: Vec<u32> = (0..6)
        .map(|number| {
            let name = format!("chalkline-{number}");
            let row = view.table.workspace(&name.as_str().into()).unwrap();
            assert_eq!(row.max_tokens, 100_000);
            assert_eq!(row.room_slots, (number == 2).then_some(7));
            row.weight
        })
        .collect();
    assert_eq!(weights, [5, 24, 3, 2, 2, 1]);
    let row = |key: &RowKey| view.table.rows.get(key).map(|(_, row)| row.clone());
    assert_eq!(row(&RowKey::Kind(None, "essay".into())), None);
    let Some(Row::Kind(hint)) = row(&RowKey::Kind(None, "hint".into())) else {
        panic!("no row kind/*/hint");
    };
    assert!(hint.repeatable);
    assert_eq!(hint.deadline_ms, 60_000);
    let roles: Vec<_> = view
        .members
        .members
        .values()
        .map(|member| (&*member.name.0, member.roles.clone()))
        .collect();
    assert_eq!(
        roles,
        [
            ("control-1", vec![Role::Control]),
            ("entry-1", vec![Role::Entry]),
            ("sidecar-1", vec![Role::Sidecar]),
        ]
    );
    assert_eq!(state.ledger().len(), 2);

    // A repeated edit gets its first answer, and the claim of a repeated request is held.
    let (mut edits, mut claims) = (0, 0);
    for ((_, command), first_answer) in commands.iter().zip(&first_answers) {
        let answer = state.apply(100, command).0;
        match command {
            Command::Edit { .. } => {
                assert_eq!(answer, *first_answer);
                edits += 1;
            }
            Command::Claim { .. } => {
                let Response::Claim(ClaimAnswer::Held { finished, .. }) = answer else {
                    panic!("a repeated claim was answered {answer:?}");
                };
                assert!(finished);
                claims += 1;
            }
            _ => {}
        }
    }
    assert_eq!(state.view().table, view.table);
    assert!(edits > 0 && claims > 0, "{edits} edits, {claims} claims");
}
