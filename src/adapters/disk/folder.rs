//! A data folder that is written to.

use std::path::{Path, PathBuf};

use super::error::{Cause, DiskError};
use super::ops::FileOps;
use super::recovery;
use super::segment::{Record, encode_records, encode_snapshot, segment_header};
use crate::domain::log::{HardState, Persist, Recovered, Snapshot, SnapshotWrite};

/// A new segment is begun when the present one has reached this size.
pub(super) const SEGMENT_BYTES: u64 = 4 * 1024 * 1024;

/// Prefix of files that a crash may leave incomplete.
pub(super) const UNFINISHED: &str = "unfinished-";

/// A segment that is no longer written to.
#[derive(Debug, Clone)]
pub(super) struct Closed {
    pub path: PathBuf,
    /// The highest index of an entry in it.
    pub last_index: u64,
}

/// An open data folder. After an error it must not be used further.
pub struct Disk {
    pub(super) folder: PathBuf,
    pub(super) ops: FileOps,
    pub(super) hard: HardState,
    pub(super) closed: Vec<Closed>,
    pub(super) number: u64,
    pub(super) length: u64,
    pub(super) last_index: u64,
    pub(super) snapshot_path: Option<PathBuf>,
    pub(super) segment_bytes: u64,
}

/// What a folder held.
#[derive(Debug)]
pub struct Opened {
    pub identity: u64,
    pub recovered: Recovered,
}

impl Disk {
    /// Opens a folder and repairs what a crash left unfinished. An empty folder gets the identity
    /// `new_identity`, a random number.
    pub fn open(
        folder: &Path,
        ops: FileOps,
        new_identity: u64,
    ) -> Result<(Self, Opened), DiskError> {
        recovery::open(folder, ops, new_identity)
    }

    /// Sets the size at which a new segment is begun.
    pub fn set_segment_bytes(&mut self, segment_bytes: u64) {
        self.segment_bytes = segment_bytes;
    }

    /// Writes and syncs everything in `persist`.
    pub fn write(&mut self, persist: &Persist) -> Result<(), DiskError> {
        let replaced = persist.snapshot.as_ref().filter(|s| s.replaces_log);
        let mut records = Vec::new();
        if let Some(write) = replaced {
            self.write_snapshot(&write.snapshot)?;
            self.reset_log()?;
        }
        if let Some(hard) = persist.hard_state {
            self.hard = hard;
            records.push(Record::State(hard));
        }
        let entries = persist.entries.iter();
        records.extend(entries.map(|entry| Record::Entry((**entry).clone())));
        self.write_records(&records)?;
        match &persist.snapshot {
            Some(write) if !write.replaces_log => self.write_own_snapshot(write),
            _ => Ok(()),
        }
    }

    fn write_records(&mut self, records: &[Record]) -> Result<(), DiskError> {
        if records.is_empty() {
            return Ok(());
        }
        if self.length >= self.segment_bytes {
            self.begin_segment(&[])?;
        }
        let path = self.segment_path(self.number);
        let mut buffer = Vec::new();
        encode_records(&mut buffer, self.length, records)
            .map_err(|error| DiskError::io("write", &path, std::io::Error::other(error)))?;
        (self.ops.append)(&path, &buffer).map_err(|e| DiskError::io("write", &path, e))?;
        (self.ops.sync)(&path).map_err(|e| DiskError::io("sync", &path, e))?;
        self.length += buffer.len() as u64;
        self.note_entries(records);
        Ok(())
    }

    fn note_entries(&mut self, records: &[Record]) {
        for record in records {
            if let Record::Entry(entry) = record {
                self.last_index = self.last_index.max(entry.index);
            }
        }
    }

    /// Begins a segment, which repeats the hard state so that older ones can be removed.
    pub(super) fn begin_segment(&mut self, records: &[Record]) -> Result<(), DiskError> {
        if self.number > 0 {
            let path = self.segment_path(self.number);
            self.closed.push(Closed {
                path,
                last_index: self.last_index,
            });
        }
        self.number += 1;
        self.last_index = 0;
        let path = self.segment_path(self.number);
        let mut buffer = segment_header(self.number);
        let mut all = vec![Record::State(self.hard)];
        all.extend_from_slice(records);
        let start = buffer.len() as u64;
        encode_records(&mut buffer, start, &all)
            .map_err(|error| DiskError::io("write", &path, std::io::Error::other(error)))?;
        (self.ops.append)(&path, &buffer).map_err(|e| DiskError::io("write", &path, e))?;
        (self.ops.sync)(&path).map_err(|e| DiskError::io("sync", &path, e))?;
        self.sync_folder()?;
        self.length = buffer.len() as u64;
        self.note_entries(records);
        Ok(())
    }

    /// Forgets all entries.
    pub(super) fn reset_log(&mut self) -> Result<(), DiskError> {
        self.begin_segment(&[Record::Reset])?;
        self.remove_closed(u64::MAX)
    }

    fn write_own_snapshot(&mut self, write: &SnapshotWrite) -> Result<(), DiskError> {
        self.write_snapshot(&write.snapshot)?;
        // Segments are removed whole; a new one lets the present one go with the next snapshot.
        if self.length >= self.segment_bytes / 4 {
            self.begin_segment(&[])?;
        }
        self.remove_closed(write.keep_after)
    }

    /// Removes the oldest segments as long as they hold nothing after `index`.
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

    pub(super) fn take_lock(&mut self) -> Result<(), DiskError> {
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
