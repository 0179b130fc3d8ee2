//! A data folder in memory that can lose power and refuse operations, and random writes to it.

use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};

use lilacspindle::adapters::disk::{Disk, DiskError, FileOps};
use lilacspindle::domain::log::{
    Config, Entry, HardState, NodeId, Payload, Persist, RecoveredState, Snapshot, SnapshotWrite,
};

use super::Random;

/// One file: its content and how much of it is synced.
#[derive(Clone, Default)]
pub struct File {
    pub data: Vec<u8>,
    pub synced: usize,
}

/// Files in memory. A crash keeps what was synced and an arbitrary part of the rest.
#[derive(Default)]
pub struct Memory {
    pub files: Vec<File>,
    pub names: BTreeMap<PathBuf, usize>,
    pub synced_names: BTreeMap<PathBuf, usize>,
    /// Number of operations until a simulated crash; none for no crash.
    pub operations_left: Option<u64>,
    pub skip_sync: bool,
    pub full: bool,
    pub fail_sync: bool,
}

pub type Shared = Arc<Mutex<Memory>>;

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

    /// Loses power: keeps what was synced and an arbitrary part of the rest.
    pub fn crash(&mut self, random: &mut Random) {
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

/// Returns operations on files in memory.
pub fn memory_ops(shared: &Shared) -> FileOps {
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

pub fn entry(index: u64, term: u64, size: u64) -> Entry {
    let payload = Payload::Command(vec![index as u8; size as usize]);
    Entry {
        index,
        term,
        payload,
    }
}

pub fn last_index(state: &RecoveredState) -> u64 {
    let snapshot = state.snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
    state.entries.last().map_or(snapshot, |entry| entry.index)
}

pub fn snapshot(index: u64, term: u64) -> Arc<Snapshot> {
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
pub fn random_write(random: &mut Random, state: &RecoveredState) -> Persist {
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
pub fn state_after_write(
    state: &RecoveredState,
    persist: &Persist,
    count: usize,
) -> RecoveredState {
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

pub fn same_log(a: &RecoveredState, b: &RecoveredState) -> bool {
    a.snapshot == b.snapshot && a.entries == b.entries
}

/// Opens the folder in memory, with small segments.
pub fn open(shared: &Shared) -> Result<(Disk, RecoveredState), DiskError> {
    let (mut disk, opened) = Disk::open(Path::new("/data"), memory_ops(shared), 7)?;
    assert_eq!(opened.identity, 7);
    disk.set_segment_bytes(4096);
    Ok((disk, opened.recovered))
}
