//! Splits a stream of server-sent events, so that only whole events are passed on.

use bytes::{Bytes, BytesMut};

/// Upper bound on one event. Events of the users' engines have some hundred bytes, and an entry holds
/// a part of one for each of its streams.
const MAX_EVENT_BYTES: usize = 64 * 1024;

/// An event with its id, if it has one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Event {
    pub(super) id: Option<u64>,
    pub(super) bytes: Bytes,
}

/// Bytes of a stream that are not a whole event yet.
#[derive(Debug, Default)]
pub(super) struct Events {
    held: BytesMut,
    /// Where the first line without its end starts.
    line_start: usize,
    /// Length of the part that was searched for the end of a line.
    searched_bytes: usize,
}

impl Events {
    /// Adds bytes as they arrived.
    pub(super) fn push(&mut self, bytes: &[u8]) {
        self.held.extend_from_slice(bytes);
    }

    /// Returns the next whole event, if it has come. Fails if it goes on beyond the bound.
    pub(super) fn next(&mut self) -> Result<Option<Event>, String> {
        let Some(end) = self.event_end() else {
            return match self.held.len() {
                length if length > MAX_EVENT_BYTES => {
                    Err(format!("an event has over {MAX_EVENT_BYTES} bytes"))
                }
                _ => Ok(None),
            };
        };
        let bytes = self.held.split_to(end).freeze();
        self.begin_search();
        Ok(Some(Event {
            id: event_id(&bytes),
            bytes,
        }))
    }

    /// Returns where the first event ends: behind an empty line.
    fn event_end(&mut self) -> Option<usize> {
        while let Some(length) = line_length(&self.held[self.searched_bytes..]) {
            let end = self.searched_bytes + length;
            let line = &self.held[self.line_start..end];
            let is_empty = line == b"\n" || line == b"\r\n";
            self.searched_bytes = end;
            self.line_start = end;
            if is_empty {
                return Some(end);
            }
        }
        self.searched_bytes = self.held.len();
        None
    }

    /// Returns what follows the last whole event, once the stream has ended.
    pub(super) fn rest(&mut self) -> Option<Bytes> {
        self.begin_search();
        let rest = self.held.split().freeze();
        (!rest.is_empty()).then_some(rest)
    }

    /// Drops a part of an event, whose sender has broken off.
    pub(super) fn clear(&mut self) {
        self.held.clear();
        self.begin_search();
    }

    fn begin_search(&mut self) {
        self.line_start = 0;
        self.searched_bytes = 0;
    }
}

/// Returns the length of what comes before the end of a line, with that end, if it has come.
fn line_length(bytes: &[u8]) -> Option<usize> {
    let end = bytes.iter().position(|byte| *byte == b'\n')?;
    Some(end + 1)
}

fn event_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let id = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(id).ok()?.trim().parse().ok()
}
