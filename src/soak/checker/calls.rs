//! What callers see: answers of other requests, gaps in streams, refusals that are not true, and
//! service after the last fault.

use super::Violation;
use super::facts::{Facts, is_served, runs_once};
use crate::soak::history::{Call, CallEnd, FaultKind};

/// Statuses that promise that a request has not run and never will.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

/// MIXED: a success without the seal or the body of the instance that ran the request, or an answer
/// without a final status.
pub(super) fn mixed(facts: &Facts) -> Vec<Violation> {
    let calls = facts.history.calls.iter();
    let no_final = calls.filter_map(|call| {
        let status = call.status.filter(|status| !(200..=599).contains(status))?;
        let detail = format!("request {} got the status {status}", call.id);
        Some(Violation::new("MIXED", call.ended_ms, detail))
    });
    let served = facts.history.calls.iter().filter(|call| is_served(call));
    served
        .filter_map(|call| {
            let reason = match facts.runs(&call.id).next() {
                None => "although it did not run",
                Some(_) if !call.is_sealed => "without a seal",
                Some(_) if !call.is_stream && !call.is_own_body => "with another body",
                Some(_) => return None,
            };
            let detail = format!("request {} got a success {reason}", call.id);
            Some(Violation::new("MIXED", call.ended_ms, detail))
        })
        .chain(no_final)
        .collect()
}

/// ORDER: events of a stream are missing, repeated or out of order, or it ends as complete before
/// its last event.
pub(super) fn stream_order(facts: &Facts) -> Vec<Violation> {
    let calls = facts.history.calls.iter();
    let streams = calls.filter(|call| call.is_stream);
    streams
        .filter_map(|call| {
            let total = facts.runs(&call.id).map(|run| run.total_events).max();
            let expected = 1..;
            let gap = call.events.iter().zip(expected).find(|(id, n)| **id != *n);
            let received = u64::try_from(call.events.len()).unwrap_or(u64::MAX);
            let detail = match (gap, total) {
                (Some((id, expected)), _) => format!("event {id} in place of {expected}"),
                (None, Some(total)) if is_served(call) && received < total => {
                    format!("complete after {received} of {total} events")
                }
                _ => return None,
            };
            let detail = format!("stream {} of {}: {detail}", call.id, call.process);
            Some(Violation::new("ORDER", call.ended_ms, detail))
        })
        .collect()
}

/// REFUSED: a request that may run once is answered with a status that promises that it has not
/// run, and has run or runs later.
pub(super) fn refused_but_run(facts: &Facts) -> Vec<Violation> {
    let calls = facts.history.calls.iter();
    let refused =
        calls.filter(|call| runs_once(call) && call.status.is_some_and(|s| NOT_RUN.contains(&s)));
    refused
        .filter_map(|call| {
            let run = facts.runs(&call.id).next()?;
            let detail = format!(
                "request {} got {} from {} and ran at {} from {} ms",
                call.id,
                call.status.unwrap_or_default(),
                call.process,
                run.instance,
                run.arrived_ms
            );
            Some(Violation::new("REFUSED", call.ended_ms, detail))
        })
        .collect()
}

/// RECOVER: of the requests sent after the recovery time, less than a quarter is served, though a
/// quarter or more was before the last fault.
pub(super) fn not_recovered(facts: &Facts) -> Vec<Violation> {
    let faults = facts.history.faults.iter();
    let unplanned = faults.filter(|fault| {
        !matches!(
            fault.kind,
            FaultKind::Reload | FaultKind::InstanceLeaves | FaultKind::InstanceSilent
        )
    });
    let Some(last) = unplanned.max_by_key(|fault| fault.until_ms) else {
        return Vec::new();
    };
    let back_ms = last.until_ms + facts.bounds.recovery_ms;
    let (mut before, mut after) = (Vec::new(), Vec::new());
    let calls = facts.history.calls.iter();
    for call in calls.filter(|call| call.end != CallEnd::Open) {
        match call.sent_ms {
            sent_ms if sent_ms < last.at_ms => before.push(call),
            sent_ms if sent_ms > back_ms => after.push(call),
            _ => {}
        }
    }
    let served = |calls: &[&Call]| calls.iter().filter(|call| is_served(call)).count();
    match after.first() {
        Some(first)
            if served(&after) * 4 < after.len()
                && !before.is_empty()
                && served(&before) * 4 >= before.len() =>
        {
            let detail = format!(
                "{} of {} requests were served after the last fault",
                served(&after),
                after.len()
            );
            vec![Violation::new("RECOVER", first.sent_ms, detail)]
        }
        _ => Vec::new(),
    }
}

/// FAULT: a process ends although nothing was done to it.
pub(super) fn unexpected_exits(facts: &Facts) -> Vec<Violation> {
    let exits = facts.history.unexpected_exits.iter();
    exits
        .map(|exit| {
            let detail = format!("{} ended by itself: {}", exit.process, exit.detail);
            Violation::new("FAULT", exit.at_ms, detail)
        })
        .collect()
}
