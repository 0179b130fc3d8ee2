//! Server-sent events, parsed as bytes arrive.

/// One event.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SseEvent {
    /// The event's type; empty for ordinary data.
    pub event: String,
    pub id: Option<String>,
    pub data: String,
}

/// Collects bytes until events are complete.
#[derive(Debug, Default)]
pub struct SseParser {
    line: Vec<u8>,
    event: SseEvent,
}

impl SseParser {
    /// Adds bytes and returns the events that they complete.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<SseEvent> {
        let mut events = Vec::new();
        for byte in bytes {
            if *byte != b'\n' {
                self.line.push(*byte);
                continue;
            }
            let line = std::mem::take(&mut self.line);
            let line = String::from_utf8_lossy(&line);
            let line = line.trim_end_matches('\r');
            if !line.is_empty() {
                self.field(line);
            } else if self.event != SseEvent::default() {
                events.push(std::mem::take(&mut self.event));
            }
        }
        events
    }

    fn field(&mut self, line: &str) {
        let (name, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match name {
            "data" if self.event.data.is_empty() => value.clone_into(&mut self.event.data),
            "data" => {
                self.event.data.push('\n');
                self.event.data.push_str(value);
            }
            "event" => value.clone_into(&mut self.event.event),
            "id" => self.event.id = Some(value.to_owned()),
            // Comments have an empty name; other fields have no meaning here.
            _ => {}
        }
    }
}
