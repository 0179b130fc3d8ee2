//! Durable storage of the replicated log: segments, snapshots and the identity file.
//!
//! A data folder holds `identity`, `lock`, segments `log-<number>` and one `snapshot-<index>`.
//! Every file but `lock` has a checksum and a format version.

mod error;
mod folder;
mod ops;
mod recovery;
mod segment;

pub use error::{Cause, DiskError};
pub use folder::{Disk, FolderContent};
pub use ops::FileOps;
pub use segment::{
    Record, ScannedSegment, decode_snapshot, encode_records, encode_snapshot, scan_segment,
};
