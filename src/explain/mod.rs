//! Traces one request through the log files of several processes.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

use serde_json::{Map, Value};

use crate::adapters::clock::STOOD_STILL;

/// Keys of a log line that are not listed among its fields: printed in front of them or omitted.
const EXCLUDED_FIELDS: [&str; 5] = ["timestamp", "level", "message", "request", "target"];

/// One log line of a process.
#[derive(Debug, Clone, PartialEq)]
pub struct Line {
    pub timestamp: Arc<str>,
    /// The name of the log file.
    pub process: Arc<str>,
    pub message: Arc<str>,
    /// True if the line has the request's id; other lines show the state of the process meanwhile.
    pub has_request_id: bool,
    pub fields: BTreeMap<Arc<str>, Value>,
}

impl fmt::Display for Line {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mark = if self.has_request_id { ' ' } else { '~' };
        write!(
            f,
            "{} {mark} {} {}",
            self.timestamp, self.process, self.message
        )?;
        self.fields
            .iter()
            .try_for_each(|(name, value)| write!(f, " {name}={value}"))
    }
}

/// Messages that a process logs when a request has ended there, whatever its outcome.
const END_MESSAGES: [&str; 4] = ["answered", "not answered", "refused", "stream ended"];
/// Messages that a process logs after a gap in its work: it was suspended or restarted.
const GAP_MESSAGES: [&str; 2] = [STOOD_STILL, "started"];

/// Returns the lines that have the request's id, ordered by time, and between them the lines that
/// the same processes logged without any request id. If the request did not end at a process, its
/// lines continue up to the next report of a stall or a restart. `files` are pairs of name and
/// content. Lines that are not JSON are skipped, since libraries may print other text.
pub fn explain(request: &str, files: &[(Arc<str>, String)]) -> Vec<Line> {
    let mut found = Vec::new();
    for (process, text) in files {
        let lines: Vec<Line> = text
            .lines()
            .filter_map(|line| parse(process, line, request))
            .collect();
        let mut with_id = lines.iter().filter(|line| line.has_request_id);
        let Some(first) = with_id.next() else {
            continue;
        };
        let last_with_id = with_id.next_back().unwrap_or(first);
        let gap = lines.iter().find(|line| {
            line.timestamp > last_with_id.timestamp && GAP_MESSAGES.contains(&&*line.message)
        });
        let last = match gap {
            Some(gap) if !END_MESSAGES.contains(&&*last_with_id.message) => gap,
            _ => last_with_id,
        };
        let (first, last) = (Arc::clone(&first.timestamp), Arc::clone(&last.timestamp));
        found.extend(lines.into_iter().filter(|line| {
            line.has_request_id || (first <= line.timestamp && line.timestamp <= last)
        }));
    }
    found.sort_by(|a, b| a.timestamp.cmp(&b.timestamp));
    found
}

/// Parses a line; returns `None` if it is not a JSON log line or has the id of another request.
fn parse(process: &Arc<str>, line: &str, request: &str) -> Option<Line> {
    // Log collectors may put a time and a host name in front of the JSON object.
    let object: Map<String, Value> = serde_json::from_str(line.get(line.find('{')?..)?).ok()?;
    let text = |name: &str| object.get(name).and_then(Value::as_str);
    let has_request_id = match text("request") {
        Some(id) if id == request => true,
        Some(_) => return None,
        None => false,
    };
    Some(Line {
        timestamp: text("timestamp")?.into(),
        process: Arc::clone(process),
        message: text("message")?.into(),
        has_request_id,
        fields: object
            .iter()
            .filter(|(name, _)| !EXCLUDED_FIELDS.contains(&name.as_str()))
            .map(|(name, value)| (Arc::from(name.as_str()), value.clone()))
            .collect(),
    })
}
