//! Splits a stream of server-sent events into events, so that only whole ones are forwarded.

use bytes::{Bytes, BytesMut};

/// Upper bound on the size of one event. Engines send events of a few hundred bytes, and an entry
/// buffers a partial event for each of its streams.
const MAX_EVENT_BYTES: usize = 64 * 1024;

/// A whole event and its `id` field; `None` if it has no numeric id.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Event {
    pub(super) id: Option<u64>,
    pub(super) bytes: Bytes,
}

/// Buffers the bytes of a stream until they form whole events.
#[derive(Debug, Default)]
pub(super) struct EventBuffer {
    buffer: BytesMut,
    /// Start of the first unfinished line.
    line_start: usize,
    /// Length of the part that has been searched for line ends.
    searched_bytes: usize,
}

impl EventBuffer {
    /// Appends received bytes.
    pub(super) fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next whole event, or `None` if more bytes are needed. Fails if the event exceeds
    /// `MAX_EVENT_BYTES`.
    pub(super) fn next_event(&mut self) -> Result<Option<Event>, String> {
        let Some(end) = self.event_end() else {
            return match self.buffer.len() {
                length if length > MAX_EVENT_BYTES => {
                    Err(format!("an event exceeds {MAX_EVENT_BYTES} bytes"))
                }
                _ => Ok(None),
            };
        };
        let bytes = self.buffer.split_to(end).freeze();
        self.reset_search();
        Ok(Some(Event {
            id: event_id(&bytes),
            bytes,
        }))
    }

    /// Returns the end of the first event, which is after an empty line.
    fn event_end(&mut self) -> Option<usize> {
        while let Some(length) = line_length(&self.buffer[self.searched_bytes..]) {
            let end = self.searched_bytes + length;
            let line = &self.buffer[self.line_start..end];
            let is_empty = line == b"\n" || line == b"\r\n";
            self.searched_bytes = end;
            self.line_start = end;
            if is_empty {
                return Some(end);
            }
        }
        self.searched_bytes = self.buffer.len();
        None
    }

    /// Returns true if a stream that ends now has been cut inside an event: a field was received, but
    /// not the blank line that ends its event. Comments belong to no event.
    pub(super) fn ends_inside_event(&self) -> bool {
        let mut is_inside = false;
        let mut rest = &self.buffer[..];
        while !rest.is_empty() {
            // At the end of a stream, a carriage return without a line feed ends a line too.
            let line_end = rest.iter().position(|byte| matches!(byte, b'\n' | b'\r'));
            let line_end = line_end.unwrap_or(rest.len());
            let (line, after) = rest.split_at(line_end);
            is_inside = match line {
                [] => false,
                [b':', ..] => is_inside,
                _ => true,
            };
            rest = match after {
                [b'\r', b'\n', next @ ..] | [_, next @ ..] => next,
                [] => after,
            };
        }
        is_inside
    }

    /// Takes the bytes after the last whole event, once the stream has ended; `None` if there are
    /// none.
    pub(super) fn take_rest(&mut self) -> Option<Bytes> {
        self.reset_search();
        let rest = self.buffer.split().freeze();
        (!rest.is_empty()).then_some(rest)
    }

    /// Discards a partial event whose connection was lost.
    pub(super) fn clear(&mut self) {
        self.buffer.clear();
        self.reset_search();
    }

    fn reset_search(&mut self) {
        self.line_start = 0;
        self.searched_bytes = 0;
    }
}

/// Returns the length of the first line with its line end, or `None` if there is no line end yet.
fn line_length(bytes: &[u8]) -> Option<usize> {
    let end = bytes.iter().position(|byte| *byte == b'\n')?;
    Some(end + 1)
}

fn event_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let id = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(id).ok()?.trim().parse().ok()
}
