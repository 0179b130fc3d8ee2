//! One request's way through the log files of many processes.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

use serde_json::{Map, Value};

use crate::adapters::clock::STOOD_STILL;

/// Fields that are shown before the others, or not at all.
const LEADING: [&str; 5] = ["timestamp", "level", "message", "request", "target"];

/// A log line of one process.
#[derive(Debug, Clone, PartialEq)]
pub struct Line {
    pub timestamp: Arc<str>,
    /// The file that the line stands in.
    pub process: Arc<str>,
    pub message: Arc<str>,
    /// True if the line names the request; others tell what its process believed meanwhile.
    pub own: bool,
    pub fields: BTreeMap<Arc<str>, Value>,
}

impl fmt::Display for Line {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mark = if self.own { ' ' } else { '~' };
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

/// What processes log once a request has ended there, one way or another.
const ENDS: [&str; 4] = ["answered", "not answered", "refused", "stream ended"];
/// What a process logs when it had no part in anything for a while: it was suspended or started anew.
const PAUSES: [&str; 2] = [STOOD_STILL, "started"];

/// Returns the lines that name a request, in order of time, and between them what the same
/// processes logged besides of their own state. Where a request did not end at a process, that goes on
/// to the line that the process stood still or was started again. `files` are names and texts; lines that are not
/// JSON are passed over, since processes also print what libraries say.
pub fn explain(request: &str, files: &[(Arc<str>, String)]) -> Vec<Line> {
    let mut found = Vec::new();
    for (process, text) in files {
        let lines: Vec<Line> = text
            .lines()
            .filter_map(|line| parse(process, line, request))
            .collect();
        let mut own = lines.iter().filter(|line| line.own);
        let Some(first) = own.next() else {
            continue;
        };
        let last_own = own.next_back().unwrap_or(first);
        let pause = lines
            .iter()
            .find(|line| line.timestamp > last_own.timestamp && PAUSES.contains(&&*line.message));
        let last = match pause {
            Some(pause) if !ENDS.contains(&&*last_own.message) => pause,
            _ => last_own,
        };
        let (first, last) = (Arc::clone(&first.timestamp), Arc::clone(&last.timestamp));
        found.extend(
            lines
                .into_iter()
                .filter(|line| line.own || (first <= line.timestamp && line.timestamp <= last)),
        );
    }
    found.sort_by(|a, b| a.timestamp.cmp(&b.timestamp));
    found
}

/// Returns a line that names the request, or no request at all.
fn parse(process: &Arc<str>, line: &str, request: &str) -> Option<Line> {
    // Collected lines may have a time and a machine's name in front.
    let object: Map<String, Value> = serde_json::from_str(line.get(line.find('{')?..)?).ok()?;
    let text = |name: &str| object.get(name).and_then(Value::as_str);
    let own = match text("request") {
        Some(id) if id == request => true,
        Some(_) => return None,
        None => false,
    };
    Some(Line {
        timestamp: text("timestamp")?.into(),
        process: Arc::clone(process),
        message: text("message")?.into(),
        own,
        fields: object
            .iter()
            .filter(|(name, _)| !LEADING.contains(&name.as_str()))
            .map(|(name, value)| (Arc::from(name.as_str()), value.clone()))
            .collect(),
    })
}
