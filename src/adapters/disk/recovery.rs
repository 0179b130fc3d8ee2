//! Recovery of the stored state when a data folder is opened.

use std::path::Path;
use std::sync::Arc;

use super::error::DiskError;
use super::folder::{ClosedSegment, Disk, FolderContent, SEGMENT_BYTES, UNFINISHED};
use super::ops::FileOps;
use super::segment::{FORMAT_VERSION, Record, decode_snapshot, scan_segment};
use crate::domain::log::{Entry, HardState, RecoveredState, Snapshot};

const IDENTITY_MAGIC: &[u8; 8] = b"lilac-id";

/// The state after replaying the records of all segments in order.
#[derive(Default)]
struct Replay {
    hard_state: HardState,
    entries: Vec<Entry>,
}

pub(super) fn open(
    folder: &Path,
    ops: FileOps,
    new_identity: u64,
) -> Result<(Disk, FolderContent), DiskError> {
    let mut disk = Disk {
        folder: folder.to_owned(),
        ops,
        hard_state: HardState::default(),
        closed: Vec::new(),
        segment_number: 0,
        segment_length: 0,
        last_index: 0,
        snapshot_path: None,
        snapshot_length: 0,
        segment_bytes: SEGMENT_BYTES,
    };
    (disk.ops.create_folder)(folder).map_err(|e| DiskError::io("create", folder, e))?;
    disk.acquire_lock()?;
    let names = (disk.ops.list)(folder).map_err(|e| DiskError::io("list", folder, e))?;
    disk.sync_folder()?;
    remove_incomplete_files(&mut disk, &names)?;
    let identity = read_identity(&mut disk, &names, new_identity)?;
    let snapshot = read_snapshot(&mut disk, &names)?;
    let mut replay = read_segments(&mut disk, &names)?;
    let reset = reconcile_with_snapshot(&disk, &mut replay, snapshot.as_ref())?;
    disk.hard_state = replay.hard_state;
    if reset {
        disk.reset_log()?;
    } else if disk.segment_number == 0 {
        disk.start_segment(&[])?;
    } else {
        disk.sync_recovered()?;
    }
    let recovered = RecoveredState {
        hard_state: replay.hard_state,
        snapshot: snapshot.map(Arc::new),
        entries: replay.entries,
    };
    Ok((
        disk,
        FolderContent {
            identity,
            recovered,
        },
    ))
}

fn remove_incomplete_files(disk: &mut Disk, names: &[String]) -> Result<(), DiskError> {
    for name in names.iter().filter(|name| name.starts_with(UNFINISHED)) {
        let path = disk.folder.join(name);
        (disk.ops.remove)(&path).map_err(|e| DiskError::io("remove", &path, e))?;
    }
    Ok(())
}

fn read(disk: &mut Disk, path: &Path) -> Result<Vec<u8>, DiskError> {
    (disk.ops.read)(path).map_err(|e| DiskError::io("read", path, e))
}

fn read_identity(disk: &mut Disk, names: &[String], new_identity: u64) -> Result<u64, DiskError> {
    let path = disk.folder.join("identity");
    if names.iter().any(|name| name == "identity") {
        let bytes = read(disk, &path)?;
        return decode_identity(&bytes)
            .ok_or_else(|| DiskError::corrupt(&path, 0, "damaged identity"));
    }
    let is_data = |name: &&String| name.starts_with("log-") || name.starts_with("snapshot-");
    if let Some(name) = names.iter().find(|name| is_data(name)) {
        let detail = format!("missing, although {name} exists");
        return Err(DiskError::corrupt(&path, 0, detail));
    }
    disk.write_file(&path, &encode_identity(new_identity))?;
    Ok(new_identity)
}

fn encode_identity(identity: u64) -> Vec<u8> {
    let mut bytes = IDENTITY_MAGIC.to_vec();
    bytes.extend_from_slice(&FORMAT_VERSION.to_le_bytes());
    bytes.extend_from_slice(&identity.to_le_bytes());
    let sum = crc32fast::hash(&bytes);
    bytes.extend_from_slice(&sum.to_le_bytes());
    bytes
}

fn decode_identity(bytes: &[u8]) -> Option<u64> {
    let identity = u64::from_le_bytes(bytes.get(12..20)?.try_into().ok()?);
    (encode_identity(identity) == bytes).then_some(identity)
}

/// Reads the newest snapshot and removes older ones, which a crash may have left behind.
fn read_snapshot(disk: &mut Disk, names: &[String]) -> Result<Option<Snapshot>, DiskError> {
    let is_snapshot = |name: &&String| name.starts_with("snapshot-");
    let mut found: Vec<&String> = names.iter().filter(is_snapshot).collect();
    found.sort();
    let Some(newest) = found.pop() else {
        return Ok(None);
    };
    let path = disk.folder.join(newest);
    let bytes = read(disk, &path)?;
    let snapshot = decode_snapshot(&path, &bytes)?;
    for name in found {
        let old = disk.folder.join(name);
        (disk.ops.remove)(&old).map_err(|e| DiskError::io("remove", &old, e))?;
    }
    disk.snapshot_path = Some(path);
    disk.snapshot_length = bytes.len() as u64;
    Ok(Some(snapshot))
}

fn segment_numbers(names: &[String]) -> Vec<u64> {
    let numbers = names
        .iter()
        .filter_map(|name| name.strip_prefix("log-")?.parse().ok());
    let mut numbers: Vec<u64> = numbers.collect();
    numbers.sort_unstable();
    numbers
}

fn read_segments(disk: &mut Disk, names: &[String]) -> Result<Replay, DiskError> {
    let mut numbers = segment_numbers(names);
    remove_unsynced_segment(disk, &mut numbers)?;
    let mut replay = Replay::default();
    let last = numbers.last().copied();
    for number in numbers {
        if disk.segment_number > 0 {
            let path = disk.segment_path(disk.segment_number);
            disk.closed.push(ClosedSegment {
                path,
                last_index: disk.last_index,
                length: disk.segment_length,
            });
            if number != disk.segment_number + 1 {
                // A segment is missing because removals of old segments reached the disk out of
                // order; the entries before the gap were being removed as well.
                replay.entries.clear();
            }
        }
        disk.segment_number = number;
        disk.last_index = 0;
        read_segment(disk, &mut replay, Some(number) == last)?;
    }
    Ok(replay)
}

/// Removes the last segment if the process crashed before its first sync.
fn remove_unsynced_segment(disk: &mut Disk, numbers: &mut Vec<u64>) -> Result<(), DiskError> {
    let Some(last) = numbers.last() else {
        return Ok(());
    };
    let path = disk.segment_path(*last);
    let bytes = read(disk, &path)?;
    let scan = scan_segment(&path, &bytes, true)?;
    if scan.records.is_empty() {
        (disk.ops.remove)(&path).map_err(|e| DiskError::io("remove", &path, e))?;
        numbers.pop();
    }
    Ok(())
}

fn read_segment(disk: &mut Disk, replay: &mut Replay, last: bool) -> Result<(), DiskError> {
    let path = disk.segment_path(disk.segment_number);
    let bytes = read(disk, &path)?;
    let scan = scan_segment(&path, &bytes, last)?;
    if scan.intact_bytes < bytes.len() as u64 {
        tracing::warn!(
            file = %path.display(),
            intact_bytes = scan.intact_bytes,
            cut_bytes = bytes.len() as u64 - scan.intact_bytes,
            "truncated an incomplete write left by a crash"
        );
        (disk.ops.truncate)(&path, scan.intact_bytes)
            .map_err(|e| DiskError::io("truncate", &path, e))?;
    }
    disk.segment_length = scan.intact_bytes;
    for record in scan.records {
        replay_record(disk, replay, record, &path)?;
    }
    Ok(())
}

fn replay_record(
    disk: &mut Disk,
    replay: &mut Replay,
    record: Record,
    path: &Path,
) -> Result<(), DiskError> {
    match record {
        Record::State(hard_state) => replay.hard_state = hard_state,
        Record::Reset => replay.entries.clear(),
        Record::Entry(entry) => {
            disk.last_index = disk.last_index.max(entry.index);
            while replay
                .entries
                .last()
                .is_some_and(|held| held.index >= entry.index)
            {
                replay.entries.pop();
            }
            match replay.entries.last() {
                Some(held) if held.index + 1 != entry.index => {
                    let detail = format!("entry {} follows entry {}", entry.index, held.index);
                    return Err(DiskError::corrupt(path, 0, detail));
                }
                _ => replay.entries.push(entry),
            }
        }
    }
    Ok(())
}

/// Drops the entries that the snapshot covers. Returns true if the log on disk has to be reset,
/// because the process crashed between writing a received snapshot and discarding the log that it
/// replaces.
fn reconcile_with_snapshot(
    disk: &Disk,
    replay: &mut Replay,
    snapshot: Option<&Snapshot>,
) -> Result<bool, DiskError> {
    let (index, term) = snapshot.map_or((0, 0), |s| (s.index, s.term));
    let at_snapshot = replay.entries.iter().find(|entry| entry.index == index);
    let conflicts = at_snapshot.is_some_and(|entry| entry.term != term);
    let ends_before_snapshot = replay
        .entries
        .last()
        .is_some_and(|entry| entry.index < index);
    if conflicts || ends_before_snapshot {
        replay.entries.clear();
        return Ok(true);
    }
    replay.entries.retain(|entry| entry.index > index);
    match replay.entries.first() {
        Some(first) if first.index != index + 1 => {
            let detail = format!("entries {} to {} are missing", index + 1, first.index - 1);
            Err(DiskError::corrupt(&disk.folder, 0, detail))
        }
        _ => Ok(false),
    }
}
