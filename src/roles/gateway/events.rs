//! Splits a stream of server-sent events, so that only whole events are passed on.

use bytes::{Bytes, BytesMut};

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
}

impl Events {
    /// Adds bytes as they arrived.
    pub(super) fn push(&mut self, bytes: &[u8]) {
        self.held.extend_from_slice(bytes);
    }

    /// Returns the next whole event.
    pub(super) fn next(&mut self) -> Option<Event> {
        let end = event_end(&self.held)?;
        let bytes = self.held.split_to(end).freeze();
        Some(Event {
            id: event_id(&bytes),
            bytes,
        })
    }

    /// Returns what follows the last whole event, once the stream has ended.
    pub(super) fn rest(&mut self) -> Option<Bytes> {
        let rest = self.held.split().freeze();
        (!rest.is_empty()).then_some(rest)
    }

    /// Drops a part of an event, whose sender has broken off.
    pub(super) fn clear(&mut self) {
        self.held.clear();
    }
}

/// Returns where the first event ends: behind an empty line.
fn event_end(bytes: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (position, byte) in bytes.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let line = &bytes[line_start..position];
        if line.is_empty() || line == b"\r" {
            return Some(position + 1);
        }
        line_start = position + 1;
    }
    None
}

fn event_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let id = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(id).ok()?.trim().parse().ok()
}
