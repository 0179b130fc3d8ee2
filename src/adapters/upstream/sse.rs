//! An incremental parser for server-sent events.

use std::collections::VecDeque;

/// Upper bound on one event; a longer one means that the peer does not speak SSE.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Splits a byte stream into the `data` payloads of its events.
#[derive(Debug, Default)]
pub struct SseParser {
    line: Vec<u8>,
    data: String,
    has_data: bool,
    events: VecDeque<String>,
    after_cr: bool,
}

impl SseParser {
    /// Parses further bytes; fails on an event that is too long or not UTF-8.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), String> {
        for byte in bytes {
            match byte {
                b'\n' if self.after_cr => {}
                b'\n' | b'\r' => self.end_line()?,
                _ if self.line.len() + self.data.len() >= MAX_EVENT_BYTES => {
                    return Err(format!("an event is longer than {MAX_EVENT_BYTES} bytes"));
                }
                _ => self.line.push(*byte),
            }
            self.after_cr = *byte == b'\r';
        }
        Ok(())
    }

    /// Returns the data of the next complete event, or `None` until more bytes are pushed.
    pub fn next_event(&mut self) -> Option<String> {
        self.events.pop_front()
    }

    fn end_line(&mut self) -> Result<(), String> {
        let line = std::mem::take(&mut self.line);
        let line = String::from_utf8(line).map_err(|error| error.to_string())?;
        if line.is_empty() {
            if std::mem::take(&mut self.has_data) {
                self.events.push_back(std::mem::take(&mut self.data));
            }
            return Ok(());
        }
        if let Some(value) = line.strip_prefix("data:") {
            if std::mem::replace(&mut self.has_data, true) {
                self.data.push('\n');
            }
            self.data.push_str(value.strip_prefix(' ').unwrap_or(value));
        }
        Ok(())
    }
}
