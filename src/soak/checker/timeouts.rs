//! Requests that reach the time-out of their route.

use super::Violation;
use super::facts::Facts;
use crate::soak::history::{Call, CallEnd};

/// Time after a route's time-out by which a request has its answer.
const ANSWER_SLACK_MS: u64 = 500;

/// Number of requests without a final answer that break the rule.
const MIN_UNFINISHED: usize = 8;

/// CONFIG: of the requests that have no answer at the time-out of their route, more than half
/// have none shortly afterwards.
pub(super) fn unanswered_at_timeout(facts: &Facts) -> Vec<Violation> {
    let late = late_calls(facts, |call| call.head_ms.unwrap_or(call.ended_ms));
    let unanswered: Vec<&Call> = late
        .iter()
        .filter(|(_, is_missed)| *is_missed)
        .map(|(call, _)| *call)
        .collect();
    match unanswered.first() {
        Some(call) if unanswered.len() * 2 > late.len() => {
            let (count, all) = (unanswered.len(), late.len());
            let detail = format!("{count} of {all} requests had no answer after the time-out");
            vec![Violation::new("CONFIG", call.sent_ms, detail)]
        }
        _ => Vec::new(),
    }
}

/// CONFIG: of the requests that last longer than the time-out of their route, eight or more, and
/// over a quarter, have no final answer shortly afterwards.
pub(super) fn unfinished_at_timeout(facts: &Facts) -> Vec<Violation> {
    let late = late_calls(facts, |call| call.ended_ms);
    let unfinished: Vec<&Call> = late
        .iter()
        .filter(|(_, is_missed)| *is_missed)
        .map(|(call, _)| *call)
        .collect();
    match unfinished.first() {
        Some(call) if unfinished.len() >= MIN_UNFINISHED && unfinished.len() * 4 > late.len() => {
            let (count, all) = (unfinished.len(), late.len());
            let detail = format!("{count} of {all} requests did not end after the time-out");
            vec![Violation::new("CONFIG", call.sent_ms, detail)]
        }
        _ => Vec::new(),
    }
}

/// Returns the calls of processes in touch for which a moment comes later than the longest time-out
/// that their route may have, each with whether it comes too late. A call whose caller left before
/// it had to come is left out.
fn late_calls<'a>(facts: &Facts<'a>, moment_ms: impl Fn(&Call) -> u64) -> Vec<(&'a Call, bool)> {
    let calls = facts.history.calls.iter();
    let sent = calls.filter(|call| call.end != CallEnd::NotSent);
    sent.filter_map(|call| {
        let routes = facts.routes(call);
        let timeout_ms = routes.iter().map(|route| route.timeout_ms).max()?;
        let due_ms = call.sent_ms + timeout_ms;
        let limit_ms = due_ms + ANSWER_SLACK_MS;
        let moment_ms = moment_ms(call);
        let is_missed = moment_ms > limit_ms;
        let left = matches!(call.end, CallEnd::Abandoned | CallEnd::Open)
            && moment_ms == call.ended_ms
            && !is_missed;
        let counts = moment_ms > due_ms && !left && facts.is_in_touch_until(call, limit_ms);
        counts.then_some((call, is_missed))
    })
    .collect()
}
