//! Writing to an open data folder.

use std::path::{Path, PathBuf};

use super::error::{Cause, DiskError};
use super::ops::FileOps;
use super::recovery;
use super::segment::{Record, encode_records, encode_snapshot, segment_header};
use crate::domain::log::{HardState, Persist, RecoveredState, Snapshot, SnapshotWrite};

/// Size at which the current segment is closed and a new one is started.
pub(super) const SEGMENT_BYTES: u64 = 4 * 1024 * 1024;

/// Name prefix of temporary files, which may be incomplete after a crash.
pub(super) const UNFINISHED: &str = "unfinished-";

/// A segment that is no longer written to.
#[derive(Debug, Clone)]
pub(super) struct ClosedSegment {
    pub path: PathBuf,
    /// The highest index of its entries; 0 if it has none.
    pub last_index: u64,
    pub length: u64,
}

/// An open data folder. It must not be used after one of its operations has failed.
pub struct Disk {
    pub(super) folder: PathBuf,
    pub(super) ops: FileOps,
    pub(super) hard_state: HardState,
    pub(super) closed: Vec<ClosedSegment>,
    pub(super) segment_number: u64,
    pub(super) segment_length: u64,
    /// The highest index of an entry in the current segment.
    pub(super) last_index: u64,
    pub(super) snapshot_path: Option<PathBuf>,
    pub(super) snapshot_length: u64,
    pub(super) segment_bytes: u64,
}

/// What was found in a data folder when it was opened.
#[derive(Debug)]
pub struct FolderContent {
    pub identity: u64,
    pub recovered: RecoveredState,
}

impl Disk {
    /// Opens a folder and cleans up incomplete writes of a crash. An empty folder gets the identity
    /// `new_identity`, which must be random.
    pub fn open(
        folder: &Path,
        ops: FileOps,
        new_identity: u64,
    ) -> Result<(Self, FolderContent), DiskError> {
        recovery::open(folder, ops, new_identity)
    }

    /// Sets the size at which a new segment is started.
    pub fn set_segment_bytes(&mut self, segment_bytes: u64) {
        self.segment_bytes = segment_bytes;
    }

    /// Returns the bytes of all segments and of the snapshot.
    pub fn used_bytes(&self) -> u64 {
        let closed: u64 = self.closed.iter().map(|segment| segment.length).sum();
        closed + self.segment_length + self.snapshot_length
    }

    /// Writes and syncs everything in `persist`; when it returns, all of it is durable.
    pub fn write(&mut self, persist: &Persist) -> Result<(), DiskError> {
        let replaced = persist.snapshot.as_ref().filter(|s| s.replaces_log);
        let mut records = Vec::new();
        if let Some(write) = replaced {
            self.write_snapshot(&write.snapshot)?;
            self.reset_log()?;
        }
        if let Some(hard_state) = persist.hard_state {
            self.hard_state = hard_state;
            records.push(Record::State(hard_state));
        }
        let entries = persist.entries.iter();
        records.extend(entries.map(|entry| Record::Entry((**entry).clone())));
        self.write_records(&records)?;
        match &persist.snapshot {
            Some(write) if !write.replaces_log => self.write_local_snapshot(write),
            _ => Ok(()),
        }
    }

    fn write_records(&mut self, records: &[Record]) -> Result<(), DiskError> {
        if records.is_empty() {
            return Ok(());
        }
        if self.segment_length >= self.segment_bytes {
            self.start_segment(&[])?;
        }
        let path = self.segment_path(self.segment_number);
        let mut buffer = Vec::new();
        encode_records(&mut buffer, self.segment_length, records)
            .map_err(|error| DiskError::io("write", &path, std::io::Error::other(error)))?;
        (self.ops.append)(&path, &buffer).map_err(|e| DiskError::io("write", &path, e))?;
        (self.ops.sync)(&path).map_err(|e| DiskError::io("sync", &path, e))?;
        self.segment_length += buffer.len() as u64;
        self.update_last_index(records);
        Ok(())
    }

    fn update_last_index(&mut self, records: &[Record]) {
        for record in records {
            if let Record::Entry(entry) = record {
                self.last_index = self.last_index.max(entry.index);
            }
        }
    }

    /// Starts a segment. It repeats the hard state, so that older segments can be removed.
    pub(super) fn start_segment(&mut self, records: &[Record]) -> Result<(), DiskError> {
        if self.segment_number > 0 {
            let path = self.segment_path(self.segment_number);
            self.closed.push(ClosedSegment {
                path,
                last_index: self.last_index,
                length: self.segment_length,
            });
        }
        self.segment_number += 1;
        self.last_index = 0;
        let path = self.segment_path(self.segment_number);
        let mut buffer = segment_header(self.segment_number);
        let mut all = vec![Record::State(self.hard_state)];
        all.extend_from_slice(records);
        let start = buffer.len() as u64;
        encode_records(&mut buffer, start, &all)
            .map_err(|error| DiskError::io("write", &path, std::io::Error::other(error)))?;
        (self.ops.append)(&path, &buffer).map_err(|e| DiskError::io("write", &path, e))?;
        (self.ops.sync)(&path).map_err(|e| DiskError::io("sync", &path, e))?;
        self.sync_folder()?;
        self.segment_length = buffer.len() as u64;
        self.update_last_index(records);
        Ok(())
    }

    /// Syncs what was found in the last segment, of which the last sync may have failed or been cut
    /// off, and checks that the disk accepts writes.
    pub(super) fn sync_recovered(&mut self) -> Result<(), DiskError> {
        let path = self.segment_path(self.segment_number);
        (self.ops.sync)(&path).map_err(|e| DiskError::io("sync", &path, e))?;
        self.write_records(&[Record::State(self.hard_state)])
    }

    /// Discards all entries.
    pub(super) fn reset_log(&mut self) -> Result<(), DiskError> {
        self.start_segment(&[Record::Reset])?;
        self.remove_closed(u64::MAX)
    }

    fn write_local_snapshot(&mut self, write: &SnapshotWrite) -> Result<(), DiskError> {
        self.write_snapshot(&write.snapshot)?;
        // Only whole segments can be removed. Starting a new one allows the current one to be
        // removed at the next snapshot.
        if self.segment_length >= self.segment_bytes / 4 {
            self.start_segment(&[])?;
        }
        self.remove_closed(write.keep_after)
    }

    /// Removes closed segments, oldest first, up to the first that has an entry after `index`.
    pub(super) fn remove_closed(&mut self, index: u64) -> Result<(), DiskError> {
        while let Some(first) = self.closed.first().filter(|s| s.last_index <= index) {
            let path = first.path.clone();
            (self.ops.remove)(&path).map_err(|e| DiskError::io("remove", &path, e))?;
            self.closed.remove(0);
        }
        Ok(())
    }

    fn write_snapshot(&mut self, snapshot: &Snapshot) -> Result<(), DiskError> {
        let path = self.folder.join(format!("snapshot-{:016}", snapshot.index));
        let bytes = encode_snapshot(snapshot)
            .map_err(|error| DiskError::io("write", &path, std::io::Error::other(error)))?;
        self.write_file(&path, &bytes)?;
        self.snapshot_length = bytes.len() as u64;
        let old = self.snapshot_path.replace(path.clone());
        if let Some(old) = old.filter(|old| *old != path) {
            (self.ops.remove)(&old).map_err(|e| DiskError::io("remove", &old, e))?;
        }
        Ok(())
    }

    /// Writes a file so that after a crash it is either complete or absent.
    pub(super) fn write_file(&mut self, path: &Path, bytes: &[u8]) -> Result<(), DiskError> {
        let name = path.file_name().unwrap_or_default().to_string_lossy();
        let temporary = self.folder.join(format!("{UNFINISHED}{name}"));
        (self.ops.append)(&temporary, bytes).map_err(|e| DiskError::io("write", &temporary, e))?;
        (self.ops.sync)(&temporary).map_err(|e| DiskError::io("sync", &temporary, e))?;
        (self.ops.rename)(&temporary, path).map_err(|e| DiskError::io("rename", &temporary, e))?;
        self.sync_folder()
    }

    pub(super) fn sync_folder(&mut self) -> Result<(), DiskError> {
        let folder = self.folder.clone();
        (self.ops.sync_folder)(&folder).map_err(|e| DiskError::io("sync", &folder, e))
    }

    pub(super) fn segment_path(&self, number: u64) -> PathBuf {
        self.folder.join(format!("log-{number:016}"))
    }

    pub(super) fn acquire_lock(&mut self) -> Result<(), DiskError> {
        let path = self.folder.join("lock");
        match (self.ops.lock)(&path) {
            Ok(true) => Ok(()),
            Ok(false) => Err(DiskError {
                action: "lock",
                path,
                cause: Cause::Locked,
            }),
            Err(error) => Err(DiskError::io("lock", &path, error)),
        }
    }
}
