//! The file format of segments and snapshots.

use std::path::Path;

use serde::{Deserialize, Serialize};

use super::error::{Cause, DiskError};
use crate::domain::log::{Entry, HardState, Snapshot};
use crate::rpc::{decode, encode};

pub(super) const FORMAT_VERSION: u32 = 1;
const SEGMENT_MAGIC: [u8; 8] = *b"lilaclog";
const SNAPSHOT_MAGIC: [u8; 8] = *b"lilacsnp";
/// Size of a file header: magic number, format version, number, checksum.
pub(super) const HEADER_BYTES: usize = 24;
/// Size of a record's frame: payload length, file offset of the batch, checksum.
const FRAME_BYTES: usize = 12;

/// One record of a segment.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    State(HardState),
    /// Appends an entry, after discarding all entries with the same or a higher index.
    Entry(Entry),
    /// Discards all earlier entries: a snapshot received from another replica replaces them.
    Reset,
}

fn read_u32(bytes: &[u8], at: usize) -> Option<u32> {
    let bytes = bytes.get(at..at.checked_add(4)?)?;
    Some(u32::from_le_bytes(bytes.try_into().ok()?))
}

fn read_u64(bytes: &[u8], at: usize) -> Option<u64> {
    let bytes = bytes.get(at..at.checked_add(8)?)?;
    Some(u64::from_le_bytes(bytes.try_into().ok()?))
}

fn header(magic: [u8; 8], number: u64) -> Vec<u8> {
    let mut bytes = magic.to_vec();
    bytes.extend_from_slice(&FORMAT_VERSION.to_le_bytes());
    bytes.extend_from_slice(&number.to_le_bytes());
    let sum = crc32fast::hash(&bytes);
    bytes.extend_from_slice(&sum.to_le_bytes());
    bytes
}

/// Returns the header of a segment.
pub(super) fn segment_header(number: u64) -> Vec<u8> {
    header(SEGMENT_MAGIC, number)
}

/// Returns the version and number in a header, or `None` if it is damaged.
fn read_header(magic: [u8; 8], bytes: &[u8]) -> Option<(u32, u64)> {
    let sum = read_u32(bytes, HEADER_BYTES - 4)?;
    let intact = bytes.starts_with(&magic) && crc32fast::hash(&bytes[..HEADER_BYTES - 4]) == sum;
    if !intact {
        return None;
    }
    Some((read_u32(bytes, 8)?, read_u64(bytes, 12)?))
}

fn checksum(frame: &[u8], payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(frame);
    hasher.update(payload);
    hasher.finalize()
}

/// Encodes a batch of records, which are synced together, to the end of `buffer`; the batch will be
/// written at file offset `offset`.
///
/// Each record stores the offset at which its batch starts. A batch is written only after the one
/// before it was synced, so a damaged record that precedes a later batch cannot be a torn write.
pub fn encode_records(
    buffer: &mut Vec<u8>,
    offset: u64,
    records: &[Record],
) -> Result<(), postcard::Error> {
    let batch_start = u32::try_from(offset).map_err(|_| postcard::Error::SerializeBufferFull)?;
    for record in records {
        let payload = encode(record)?;
        let length =
            u32::try_from(payload.len()).map_err(|_| postcard::Error::SerializeBufferFull)?;
        let mut frame = length.to_le_bytes().to_vec();
        frame.extend_from_slice(&batch_start.to_le_bytes());
        let sum = checksum(&frame, &payload);
        buffer.extend_from_slice(&frame);
        buffer.extend_from_slice(&sum.to_le_bytes());
        buffer.extend_from_slice(&payload);
    }
    Ok(())
}

/// Returns the batch start, the payload and the end offset of the record at `at`, or `None` if
/// there is no intact record.
fn intact_record(bytes: &[u8], at: usize) -> Option<(u64, &[u8], usize)> {
    let length = usize::try_from(read_u32(bytes, at)?).ok()?;
    let start = read_u32(bytes, at + 4)?;
    let sum = read_u32(bytes, at + 8)?;
    let from = at + FRAME_BYTES;
    let end = from.checked_add(length)?;
    let payload = bytes.get(from..end)?;
    (checksum(&bytes[at..at + 8], payload) == sum).then_some((u64::from(start), payload, end))
}

/// The intact content of a segment.
#[derive(Debug, Default)]
pub struct ScannedSegment {
    pub records: Vec<Record>,
    /// Length up to which the segment is intact; any further bytes are a torn write.
    pub intact_bytes: u64,
}

/// Reads a segment. A torn write at the end is left out if this is the last segment (`last`); any
/// other damage is an error.
pub fn scan_segment(path: &Path, bytes: &[u8], last: bool) -> Result<ScannedSegment, DiskError> {
    let mut scan = ScannedSegment::default();
    match read_header(SEGMENT_MAGIC, bytes) {
        Some((FORMAT_VERSION, _)) => {}
        Some((version, _)) => {
            let cause = Cause::Version(version);
            return Err(DiskError {
                action: "read",
                path: path.to_owned(),
                cause,
            });
        }
        None => {
            check_torn(path, bytes, 0, last)?;
            return Ok(scan);
        }
    }
    let mut at = HEADER_BYTES;
    while at < bytes.len() {
        let Some((_, payload, end)) = intact_record(bytes, at) else {
            check_torn(path, bytes, at, last)?;
            break;
        };
        match decode(payload) {
            Ok(record) => scan.records.push(record),
            Err(error) => return Err(DiskError::corrupt(path, at as u64, error.to_string())),
        }
        at = end;
    }
    scan.intact_bytes = at as u64;
    Ok(scan)
}

/// Fails unless the damage at `at` can come from a write that was never synced.
fn check_torn(path: &Path, bytes: &[u8], at: usize, last: bool) -> Result<(), DiskError> {
    if !last {
        return Err(DiskError::corrupt(
            path,
            at as u64,
            "damaged record before a later segment",
        ));
    }
    let later = (at + 1..bytes.len())
        .filter_map(|offset| intact_record(bytes, offset))
        .any(|(batch_start, ..)| batch_start > at as u64);
    if later {
        return Err(DiskError::corrupt(
            path,
            at as u64,
            "damaged record before intact ones",
        ));
    }
    Ok(())
}

/// Returns the bytes of a snapshot file.
pub fn encode_snapshot(snapshot: &Snapshot) -> Result<Vec<u8>, postcard::Error> {
    let payload = encode(snapshot)?;
    let mut bytes = header(SNAPSHOT_MAGIC, payload.len() as u64);
    bytes.extend_from_slice(&crc32fast::hash(&payload).to_le_bytes());
    bytes.extend_from_slice(&payload);
    Ok(bytes)
}

/// Decodes a snapshot file. It gets its final name only after it was synced, so any damage is an
/// error.
pub fn decode_snapshot(path: &Path, bytes: &[u8]) -> Result<Snapshot, DiskError> {
    let (version, length) = read_header(SNAPSHOT_MAGIC, bytes)
        .ok_or_else(|| DiskError::corrupt(path, 0, "damaged header"))?;
    if version != FORMAT_VERSION {
        let cause = Cause::Version(version);
        return Err(DiskError {
            action: "read",
            path: path.to_owned(),
            cause,
        });
    }
    let payload = bytes.get(HEADER_BYTES + 4..).unwrap_or_default();
    let sum = read_u32(bytes, HEADER_BYTES);
    if payload.len() as u64 != length || sum != Some(crc32fast::hash(payload)) {
        return Err(DiskError::corrupt(
            path,
            HEADER_BYTES as u64,
            "checksum does not match",
        ));
    }
    decode(payload)
        .map_err(|error| DiskError::corrupt(path, HEADER_BYTES as u64, error.to_string()))
}
