//! An incremental parser for server-sent events.

#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SseEvent {
    /// Value of the `event` field; empty if the event has none.
    pub event_type: String,
    pub id: Option<String>,
    pub data: String,
}

/// Splits a byte stream into events. An incomplete event is kept until further bytes complete it.
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
                self.parse_field(line);
            } else if self.event != SseEvent::default() {
                events.push(std::mem::take(&mut self.event));
            }
        }
        events
    }

    fn parse_field(&mut self, line: &str) {
        let (name, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match name {
            "data" if self.event.data.is_empty() => value.clone_into(&mut self.event.data),
            "data" => {
                self.event.data.push('\n');
                self.event.data.push_str(value);
            }
            "event" => value.clone_into(&mut self.event.event_type),
            "id" => self.event.id = Some(value.to_owned()),
            // Comments have an empty name; other fields are ignored.
            _ => {}
        }
    }
}
