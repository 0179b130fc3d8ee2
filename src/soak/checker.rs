//! Judges the history of a run.

use std::fmt;

use super::history::History;

/// A broken promise.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    pub rule: &'static str,
    pub at_ms: u64,
    pub detail: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{} ms: {}: {}",
            self.at_ms, self.rule, self.detail
        )
    }
}

/// Returns every broken promise in a history.
pub fn check(_history: &History) -> Vec<Violation> {
    Vec::new()
}
