//! Errors of the data folder. All of them are fatal for the control role.

use std::fmt;
use std::io;
use std::path::{Path, PathBuf};

/// The cause of a failed operation on the data folder.
#[derive(Debug)]
pub enum Cause {
    Io(io::Error),
    /// Another process holds the folder's lock.
    Locked,
    /// Data that had been synced is damaged or missing.
    Corrupt {
        offset: u64,
        detail: String,
    },
    /// The file has a format version that this program cannot read.
    Version(u32),
}

/// A failed operation on a file of the data folder.
#[derive(Debug)]
pub struct DiskError {
    pub action: &'static str,
    pub path: PathBuf,
    pub cause: Cause,
}

impl DiskError {
    pub(super) fn io(action: &'static str, path: &Path, error: io::Error) -> Self {
        let cause = Cause::Io(error);
        Self {
            action,
            path: path.to_owned(),
            cause,
        }
    }

    pub(super) fn corrupt(path: &Path, offset: u64, detail: impl Into<String>) -> Self {
        let cause = Cause::Corrupt {
            offset,
            detail: detail.into(),
        };
        Self {
            action: "read",
            path: path.to_owned(),
            cause,
        }
    }

    /// Returns the error for a thread that could not be started to serve the folder.
    pub fn thread(folder: &Path, error: io::Error) -> Self {
        Self::io("start a thread for", folder, error)
    }

    /// Returns what an operator can do about the error.
    pub fn advice(&self) -> &'static str {
        match &self.cause {
            Cause::Io(error) if error.kind() == io::ErrorKind::StorageFull => {
                "free space on the volume, then restart the process; its data is kept"
            }
            Cause::Io(error) if error.kind() == io::ErrorKind::PermissionDenied => {
                "give the process read and write access to the data folder, then restart it"
            }
            Cause::Io(_) if self.action == "sync" => {
                "what was written last may be lost: check the disk, then restart the process; if \
                 the disk is bad, restart with an empty data folder and the instance joins as a new \
                 member"
            }
            Cause::Io(_) => {
                "check the disk and the path of the data folder, then restart the process"
            }
            Cause::Locked => "stop the other process, or give each its own data_folder",
            Cause::Corrupt { .. } => {
                "this identity must not vote again: move the data folder away and restart the \
                 process; the instance joins as a new member and copies the log from the others"
            }
            Cause::Version(_) => {
                "run the version that wrote it, or move the data folder away so \
                 that the instance joins as a new member"
            }
        }
    }
}

impl fmt::Display for DiskError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "cannot {} {}: ", self.action, self.path.display())?;
        match &self.cause {
            Cause::Io(error) => write!(f, "{error}")?,
            Cause::Locked => write!(f, "another process uses it")?,
            Cause::Corrupt { offset, detail } => write!(f, "corrupt at byte {offset}: {detail}")?,
            Cause::Version(version) => write!(f, "unknown format version {version}")?,
        }
        write!(f, "; {}", self.advice())
    }
}

impl std::error::Error for DiskError {}
