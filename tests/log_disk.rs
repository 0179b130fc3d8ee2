//! The data folder under crashes at any operation, damaged files, failed syncs and full disks.

// Sizes in tests fit in any integer.
#![allow(clippy::cast_possible_truncation)]

mod log_support;

use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};

use lilacspindle::adapters::disk::{Cause, Disk, DiskError, FileOps};
use lilacspindle::domain::log::{
    Config, Entry, HardState, NodeId, Payload, Persist, RecoveredState, Snapshot, SnapshotWrite,
};
use log_support::Random;

/// One file: its content and how much of it is synced.
#[derive(Clone, Default)]
struct File {
    data: Vec<u8>,
    synced: usize,
}

/// Files in memory. A crash keeps what was synced and an arbitrary part of the rest.
#[derive(Default)]
struct Memory {
    files: Vec<File>,
    names: BTreeMap<PathBuf, usize>,
    synced_names: BTreeMap<PathBuf, usize>,
    /// Number of operations until a simulated crash; none for no crash.
    operations_left: Option<u64>,
    skip_sync: bool,
    full: bool,
    fail_sync: bool,
}

type Shared = Arc<Mutex<Memory>>;

impl Memory {
    fn count_operation(&mut self) -> io::Result<()> {
        match &mut self.operations_left {
            Some(0) => Err(io::Error::other("crash")),
            Some(left) => {
                *left -= 1;
                Ok(())
            }
            None => Ok(()),
        }
    }

    fn append(&mut self, path: &Path, bytes: &[u8]) -> io::Result<()> {
        if self.full {
            return Err(io::Error::from(io::ErrorKind::StorageFull));
        }
        let counted = self.count_operation();
        let next = self.files.len();
        let id = *self.names.entry(path.to_owned()).or_insert(next);
        if id == next {
            self.files.push(File::default());
        }
        // A crash during the write leaves half of it.
        let part = if counted.is_ok() {
            bytes.len()
        } else {
            bytes.len() / 2
        };
        self.files[id].data.extend_from_slice(&bytes[..part]);
        counted
    }

    fn sync(&mut self, path: &Path) -> io::Result<()> {
        if self.fail_sync {
            return Err(io::Error::other("input/output error"));
        }
        self.count_operation()?;
        if !self.skip_sync {
            let id = self.names[path];
            self.files[id].synced = self.files[id].data.len();
        }
        Ok(())
    }

    fn crash(&mut self, random: &mut Random) {
        self.operations_left = None;
        let mut names = self.synced_names.clone();
        // Each unsynced change to the folder may or may not have reached the disk.
        for (path, id) in &self.names {
            if names.get(path) != Some(id) && random.chance(500) {
                names.insert(path.clone(), *id);
            }
        }
        for path in self.synced_names.keys() {
            if !self.names.contains_key(path) && random.chance(500) {
                names.remove(path);
            }
        }
        self.names = names.clone();
        self.synced_names = names;
        for file in &mut self.files {
            let unsynced = (file.data.len() - file.synced) as u64;
            let kept = file.synced + random.below(unsynced + 1) as usize;
            file.data.truncate(kept);
            // Pages of an unsynced write reach the disk in any order; missing ones read as zeros.
            for page in file.data[file.synced..].chunks_mut(64) {
                if random.chance(200) {
                    page.fill(0);
                }
            }
            file.synced = file.data.len();
        }
    }
}

fn memory_ops(shared: &Shared) -> FileOps {
    let with = || shared.clone();
    let (list, read, append, sync) = (with(), with(), with(), with());
    let (folder, truncate, rename, remove) = (with(), with(), with(), with());
    let missing = || io::Error::from(io::ErrorKind::NotFound);
    FileOps {
        create_folder: Box::new(|_| Ok(())),
        lock: Box::new(|_| Ok(true)),
        list: Box::new(move |_| {
            let memory = list.lock().unwrap();
            let name = |path: &PathBuf| path.file_name().unwrap().to_string_lossy().into_owned();
            Ok(memory.names.keys().map(name).collect())
        }),
        read: Box::new(move |path| {
            let memory = read.lock().unwrap();
            let id = memory.names.get(path).ok_or_else(missing)?;
            Ok(memory.files[*id].data.clone())
        }),
        append: Box::new(move |path, bytes| append.lock().unwrap().append(path, bytes)),
        sync: Box::new(move |path| sync.lock().unwrap().sync(path)),
        sync_folder: Box::new(move |_| {
            let mut memory = folder.lock().unwrap();
            memory.count_operation()?;
            memory.synced_names = memory.names.clone();
            Ok(())
        }),
        truncate: Box::new(move |path, length| {
            let mut memory = truncate.lock().unwrap();
            memory.count_operation()?;
            let id = memory.names[path];
            memory.files[id].data.truncate(length as usize);
            memory.files[id].synced = memory.files[id].data.len();
            Ok(())
        }),
        rename: Box::new(move |from, to| {
            let mut memory = rename.lock().unwrap();
            memory.count_operation()?;
            let id = memory.names.remove(from).ok_or_else(missing)?;
            memory.names.insert(to.to_owned(), id);
            Ok(())
        }),
        remove: Box::new(move |path| {
            let mut memory = remove.lock().unwrap();
            memory.count_operation()?;
            memory.names.remove(path).map(drop).ok_or_else(missing)
        }),
    }
}

fn open(shared: &Shared) -> Result<(Disk, RecoveredState), DiskError> {
    let (mut disk, opened) = Disk::open(Path::new("/data"), memory_ops(shared), 7)?;
    assert_eq!(opened.identity, 7);
    disk.set_segment_bytes(4096);
    Ok((disk, opened.recovered))
}

fn entry(index: u64, term: u64, size: u64) -> Entry {
    let payload = Payload::Command(vec![index as u8; size as usize]);
    Entry {
        index,
        term,
        payload,
    }
}

fn last_index(state: &RecoveredState) -> u64 {
    let snapshot = state.snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
    state.entries.last().map_or(snapshot, |entry| entry.index)
}

fn snapshot(index: u64, term: u64) -> Arc<Snapshot> {
    let config = Config::default();
    Arc::new(Snapshot {
        index,
        term,
        config,
        config_index: 0,
        data: vec![index as u8; 700],
    })
}

/// Returns a random write that the log core could issue in `state`.
fn random_write(random: &mut Random, state: &RecoveredState) -> Persist {
    let mut persist = Persist::default();
    let base = state.snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
    let mut hard = state.hard_state;
    if random.chance(300) {
        hard = HardState {
            term: hard.term + 1,
            vote: Some(NodeId(random.below(3))),
        };
        persist.hard_state = Some(hard);
    }
    let last = last_index(state);
    match random.below(10) {
        0 if last > base => {
            let index = base + 1 + random.below(last - base);
            let term = state.entries[(index - base - 1) as usize].term;
            let keep_after = base + random.below(index - base + 1);
            let snapshot = snapshot(index, term);
            persist.snapshot = Some(SnapshotWrite {
                snapshot,
                replaces_log: false,
                keep_after,
            });
        }
        1 => {
            let index = base + 1 + random.below(last - base + 5);
            let snapshot = snapshot(index, hard.term + 1);
            let write = SnapshotWrite {
                snapshot,
                replaces_log: true,
                keep_after: index,
            };
            persist.snapshot = Some(write);
        }
        _ => {
            let back = if random.chance(200) {
                random.below(last - base + 1)
            } else {
                0
            };
            let first = last + 1 - back;
            let count = 1 + random.below(5);
            let entries = (first..first + count).map(|i| entry(i, hard.term, random.below(500)));
            persist.entries = entries.map(Arc::new).collect();
        }
    }
    persist
}

/// Returns the state after a write of which only the first `count` entries were stored.
fn state_after_write(state: &RecoveredState, persist: &Persist, count: usize) -> RecoveredState {
    let mut next = state.clone();
    next.hard_state = persist.hard_state.unwrap_or(state.hard_state);
    if let Some(write) = &persist.snapshot {
        next.snapshot = Some(write.snapshot.clone());
        let index = write.snapshot.index;
        next.entries
            .retain(|entry| entry.index > index && !write.replaces_log);
    }
    for entry in persist.entries.iter().take(count) {
        next.entries.retain(|held| held.index < entry.index);
        next.entries.push((**entry).clone());
    }
    next
}

fn same_log(a: &RecoveredState, b: &RecoveredState) -> bool {
    a.snapshot == b.snapshot && a.entries == b.entries
}

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
