//! Judges the record of a run by the rules that hold for every run.
//!
//! Each check is a pure function of the history. Time bounds come from [`Bounds`](super::Bounds);
//! counts and shares are those of the rules themselves.

mod calls;
mod documents;
mod executions;
mod facts;
mod lost;
mod obeyed;
mod operators;
mod timeouts;
mod touch;

use std::fmt;

use super::history::History;
use facts::Facts;

pub use operators::{Figures, figures};
pub use touch::is_in_touch;

/// One breach of a rule.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    pub rule: &'static str,
    /// Time of the breach; for a rule on shares, of the first request that counts against it.
    pub at_ms: u64,
    pub detail: String,
}

impl Violation {
    fn new(rule: &'static str, at_ms: u64, detail: impl Into<String>) -> Self {
        let detail = detail.into();
        Self {
            rule,
            at_ms,
            detail,
        }
    }
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            rule,
            at_ms,
            detail,
        } = self;
        write!(formatter, "{at_ms} ms: {rule}: {detail}")
    }
}

/// Returns all breaches of the rules in a run, in the order of their times.
pub fn check(history: &History) -> Vec<Violation> {
    let facts = Facts::new(history);
    let checks: [fn(&Facts) -> Vec<Violation>; 28] = [
        operators::invalid_acknowledged,
        operators::valid_refused,
        operators::refused_again,
        operators::older_read,
        operators::unknown_read,
        operators::void_read,
        operators::final_read,
        operators::acknowledged_gone,
        obeyed::obeyed,
        obeyed::revoked_key_run,
        obeyed::added_routes_starved,
        timeouts::unanswered_at_timeout,
        timeouts::unfinished_at_timeout,
        lost::cut_by_stop,
        lost::cut_by_reload,
        lost::cut_by_document,
        lost::kept_connection_closed,
        calls::mixed,
        calls::stream_order,
        calls::refused_but_run,
        calls::not_recovered,
        calls::unexpected_exits,
        executions::repeated,
        executions::unasked,
        executions::outside_route,
        executions::arrived_after_close,
        executions::working_after_close,
        executions::over_budget,
    ];
    let mut violations: Vec<_> = checks.iter().flat_map(|check| check(&facts)).collect();
    violations.sort_by_key(|violation| violation.at_ms);
    violations
}
