//! The data folder under crashes at any operation, damaged files, failed syncs and full disks.

// Sizes in tests fit in any integer.
#![allow(clippy::cast_possible_truncation)]

mod log_support;

use std::path::{Path, PathBuf};
use std::sync::Arc;

use lilacspindle::adapters::disk::{Cause, Disk, FileOps};
use lilacspindle::domain::log::{Persist, RecoveredState};
use log_support::Random;
use log_support::files::{Shared, entry, open, random_write, same_log, state_after_write};

/// Repeatedly writes until a crash at a random operation, reopens the folder and checks the
/// recovered state. Returns how often an unacknowledged write was found, wholly or in part.
fn run_crashes(seed: u64, skip_sync: bool) -> Result<u64, String> {
    let mut random = Random(seed);
    let shared = Shared::default();
    let mut state = RecoveredState::default();
    let mut torn = 0;
    shared.lock().unwrap().skip_sync = skip_sync;
    for _ in 0..20 {
        shared.lock().unwrap().operations_left = Some(random.below(120));
        let mut possible = vec![state.clone()];
        if let Ok((mut disk, found)) = open(&shared) {
            if !same_log(&found, &state) {
                return Err(format!("seed {seed}: found {found:?} instead of {state:?}"));
            }
            loop {
                let persist = random_write(&mut random, &state);
                possible = (0..=persist.entries.len())
                    .map(|n| state_after_write(&state, &persist, n))
                    .collect();
                possible.push(state.clone());
                if disk.write(&persist).is_err() {
                    break;
                }
                state = state_after_write(&state, &persist, usize::MAX);
            }
        }
        shared.lock().unwrap().crash(&mut random);
        let (_, found) = open(&shared).map_err(|error| format!("seed {seed}: {error}"))?;
        if !possible.iter().any(|state| same_log(state, &found)) {
            return Err(format!(
                "seed {seed}: found {found:?}, acknowledged {state:?}"
            ));
        }
        if found.hard_state.term < state.hard_state.term {
            return Err(format!("seed {seed}: the term went back"));
        }
        torn += u64::from(!same_log(&found, &state));
        state = found;
    }
    Ok(torn)
}

/// Guards against losing acknowledged writes, and against rejecting a folder after an ordinary
/// crash. Also checks that the test detects a sync that does nothing.
#[test]
fn acknowledged_writes_survive_crashes() {
    let seeds = std::env::var("LILAC_SEEDS")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(300);
    let mut torn = 0;
    for seed in 0..seeds {
        torn += run_crashes(seed, false).unwrap();
    }
    assert!(torn > 0, "no crash left a partial write");
    assert!((0..20).any(|seed| run_crashes(seed, true).is_err()));
}

/// Returns a folder with four synced batches, the path of its segment and the offset of the last
/// batch.
fn four_batches() -> (Shared, PathBuf, usize) {
    let shared = Shared::default();
    let (mut disk, _) = open(&shared).unwrap();
    let path = PathBuf::from("/data/log-0000000000000001");
    let mut last_batch = 0;
    for batch in 0..4 {
        let memory = shared.lock().unwrap();
        last_batch = memory.files[memory.names[&path]].data.len();
        drop(memory);
        let first = 1 + batch * 3;
        let entries = (first..first + 3)
            .map(|index| Arc::new(entry(index, 1, 20)))
            .collect();
        disk.write(&Persist {
            entries,
            ..Persist::default()
        })
        .unwrap();
    }
    (shared, path, last_batch)
}

/// Guards against damage that is treated as a torn write or that changes the entries read: a
/// flipped byte before the last batch is reported as corruption, one in the last batch only
/// shortens the log.
#[test]
fn every_flipped_byte_is_distinguished_from_a_torn_write() {
    let (shared, path, last_batch) = four_batches();
    let id = shared.lock().unwrap().names[&path];
    let intact = shared.lock().unwrap().files[id].data.clone();
    let (_, whole) = open(&shared).unwrap();
    for position in 0..intact.len() {
        let mut damaged = intact.clone();
        damaged[position] ^= 0x10;
        shared.lock().unwrap().files[id].data = damaged;
        match open(&shared) {
            Ok((_, found)) => {
                assert!(
                    position >= last_batch,
                    "flipped byte {position} was not detected"
                );
                assert!(found.entries.len() >= 9 && whole.entries.starts_with(&found.entries));
            }
            Err(error) => {
                assert!(matches!(error.cause, Cause::Corrupt { .. }), "{error}");
                assert!(
                    position < last_batch,
                    "flipped byte {position} in the last batch was reported as corruption: {error}"
                );
                let text = error.to_string();
                assert!(
                    text.contains("log-0000000000000001") && text.contains("move the data folder")
                );
            }
        }
    }
}

/// Guards against a torn write that is not truncated or whose truncation removes intact records, at
/// every length of the partial write.
#[test]
fn torn_writes_of_every_length_are_truncated() {
    let (shared, path, last_batch) = four_batches();
    let id = shared.lock().unwrap().names[&path];
    let intact = shared.lock().unwrap().files[id].data.clone();
    for length in last_batch..intact.len() {
        shared.lock().unwrap().files[id].data = intact[..length].to_vec();
        let (mut disk, found) = open(&shared).unwrap();
        assert!((9..12).contains(&found.entries.len()), "{length}");
        let entries = vec![Arc::new(entry(found.entries.len() as u64 + 1, 2, 5))];
        disk.write(&Persist {
            entries,
            ..Persist::default()
        })
        .unwrap();
        assert_eq!(
            open(&shared).unwrap().1.entries.len(),
            found.entries.len() + 1
        );
    }
}

/// Guards against a failed sync or a full disk that is treated as success or reported without
/// advice.
#[test]
fn failed_sync_and_full_disk_are_reported_with_file_and_advice() {
    let one = || Persist {
        entries: vec![Arc::new(entry(1, 1, 5))],
        ..Persist::default()
    };
    let shared = Shared::default();
    let (mut disk, _) = open(&shared).unwrap();
    shared.lock().unwrap().fail_sync = true;
    let text = disk.write(&one()).unwrap_err().to_string();
    assert!(
        text.starts_with("cannot sync /data/log-0000000000000001: "),
        "{text}"
    );
    assert!(text.contains("check the disk"), "{text}");
    let shared = Shared::default();
    let (mut disk, _) = open(&shared).unwrap();
    shared.lock().unwrap().full = true;
    let text = disk.write(&one()).unwrap_err().to_string();
    assert!(
        text.starts_with("cannot write /data/log-0000000000000001: "),
        "{text}"
    );
    assert!(text.contains("free space on the volume"), "{text}");
}

/// Guards against a folder that gets a new identity, and votes again, although its old log still
/// exists; and against two processes that use the same folder.
#[test]
fn missing_identity_and_locked_folder_are_rejected() {
    let (shared, _, _) = four_batches();
    shared
        .lock()
        .unwrap()
        .names
        .remove(Path::new("/data/identity"));
    assert!(matches!(
        open(&shared).err().unwrap().cause,
        Cause::Corrupt { .. }
    ));
    let name = format!(
        "lilac-lock-{}-{:016x}",
        std::process::id(),
        rand::random::<u64>()
    );
    let folder = std::env::temp_dir().join(name);
    let first = Disk::open(&folder, FileOps::real(), 1).unwrap();
    let second = Disk::open(&folder, FileOps::real(), 2)
        .map(drop)
        .unwrap_err();
    assert!(matches!(second.cause, Cause::Locked), "{second}");
    drop(first);
    assert_eq!(
        Disk::open(&folder, FileOps::real(), 3).unwrap().1.identity,
        1
    );
    std::fs::remove_dir_all(&folder).unwrap();
}
