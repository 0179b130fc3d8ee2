//! What instances see: repeats, requests that nobody sent or that their route does not allow, work
//! for callers that have left, and budgets.

use std::collections::BTreeSet;

use super::Violation;
use super::documents::{Handling, Known};
use super::facts::{Facts, runs_once};
use super::touch::overlaps;
use crate::soak::history::{Call, CallEnd, Execution, ExecutionEnd, Fault, FaultKind};

/// Time for which the instance before a resumption may work on.
const HANDOVER_MS: u64 = 400;

/// Number of requests that may reach an instance after their caller's close.
const MAX_LATE_ARRIVALS: usize = 3;

/// Number of requests that may run at more instances than their route allows.
const MAX_OVER_ATTEMPTS: usize = 3;

/// Tolerance for the time that instances are told is left.
const DEADLINE_SLACK_MS: u64 = 500;

/// Number of arrivals with too much time from which the rule is broken.
const MAX_OVER_DEADLINE: usize = 20;

/// TWICE: a request that may run once runs again, unless a stream is resumed; or an instance begins
/// to go on with it while another one that had begun before works on.
pub(super) fn repeated(facts: &Facts) -> Vec<Violation> {
    let calls = facts.history.calls.iter().filter(|call| runs_once(call));
    calls
        .flat_map(|call| {
            let runs: Vec<&Execution> = facts.runs(&call.id).collect();
            let pairs = runs.iter().enumerate();
            let pairs =
                pairs.flat_map(|(at, run)| runs[..at].iter().map(move |before| (*before, *run)));
            let faults: Vec<Violation> = pairs
                .filter_map(|(before, run)| repeat_fault(facts, call, before, run))
                .collect();
            faults
        })
        .collect()
}

/// Compares two runs of a request; `run` arrived after the one before.
fn repeat_fault(
    facts: &Facts,
    call: &Call,
    before: &Execution,
    run: &Execution,
) -> Option<Violation> {
    // What arrived first may begin last.
    let (first, second) = match run.began_ms < before.began_ms {
        true => (run, before),
        false => (before, run),
    };
    let (reason, at_ms) = match (first.began_ms, second.began_ms) {
        _ if run.resumed_after.is_none() => ("ran again", run.arrived_ms),
        (Some(_), Some(began_ms))
            if first.instance != second.instance
                && first.ended_ms > began_ms + HANDOVER_MS
                && !is_excused(facts, call, first, second) =>
        {
            ("went on while the instance before worked on", began_ms)
        }
        _ => return None,
    };
    let detail = format!(
        "request {} {reason}: at {} from {} to {} ms, at {} asked at {}, from {:?} ms",
        call.id,
        first.instance,
        first.arrived_ms,
        first.ended_ms,
        second.instance,
        second.arrived_ms,
        second.began_ms,
    );
    Some(Violation::new("TWICE", at_ms, detail))
}

/// Returns true if the entry could not have ended the first run in time: it was not in touch, the
/// link to the first instance was held, or that instance fell silent after the second one had been
/// asked.
fn is_excused(facts: &Facts, call: &Call, first: &Execution, second: &Execution) -> bool {
    let began_ms = second.began_ms.unwrap_or(second.arrived_ms);
    let until_ms = began_ms + HANDOVER_MS;
    let hinders = |fault: &&Fault| {
        fault.target == first.instance
            && overlaps(fault, began_ms, until_ms)
            && match fault.kind {
                FaultKind::LinkHeld => true,
                FaultKind::InstanceSilent => fault.at_ms >= second.arrived_ms,
                _ => false,
            }
    };
    !facts.is_in_touch(&call.process, until_ms)
        || facts.history.faults.iter().any(|fault| hinders(&fault))
}

/// UNASKED: an instance runs a request that no caller sent, or with another path or workspace.
pub(super) fn unasked(facts: &Facts) -> Vec<Violation> {
    let executions = facts.history.executions.iter();
    let runs = executions.filter(|execution| execution.end != ExecutionEnd::Refused);
    runs.filter_map(|run| {
        let reason = match facts.calls.get(&*run.id) {
            None => "that no caller sent",
            Some(call) if call.path != run.path => "with another path",
            Some(call) if !has_workspace(facts, call, run) => "for another workspace",
            Some(_) => return None,
        };
        let detail = format!("{} ran request {} {reason}", run.instance, run.id);
        Some(Violation::new("UNASKED", run.arrived_ms, detail))
    })
    .collect()
}

/// Returns true if a document names the workspace of an execution for the key of the call, or lets
/// the call run without one.
fn has_workspace(facts: &Facts, call: &Call, run: &Execution) -> bool {
    facts.documents.iter().any(|known| {
        let keys = &known.document.keys;
        let owner = call.key.as_ref().and_then(|key| keys.get(key));
        match (owner, &run.workspace) {
            (Some(owner), Some(workspace)) => owner == workspace,
            (None, None) => known
                .route(call)
                .is_some_and(|route| known.admits(route, call)),
            _ => false,
        }
    })
}

/// ROUTE: a request runs at a service, or with a key, that no document ever allowed.
pub(super) fn outside_route(facts: &Facts) -> Vec<Violation> {
    let calls = facts.history.calls.iter();
    let runs = calls.flat_map(|call| facts.runs(&call.id).map(move |run| (call, run)));
    let is_allowed = |call: &Call, run: &Execution| {
        let handling = Handling::Run(&run.service);
        let allows = |known: &Known| known.allows(call, handling);
        facts.documents.iter().any(allows)
    };
    runs.filter(|(call, run)| !is_allowed(call, run))
        .map(|(call, run)| {
            let detail = format!(
                "request {} for {}{} ran at {} of {}, which no document allows",
                call.id, call.host, call.path, run.instance, run.service
            );
            Violation::new("ROUTE", run.arrived_ms, detail)
        })
        .collect()
}

fn abandoned_calls<'a>(facts: &Facts<'a>) -> Vec<&'a Call> {
    let calls = facts.history.calls.iter();
    let abandoned = calls.filter(|call| call.end == CallEnd::Abandoned);
    abandoned
        .filter(|call| {
            let limit_ms = call.ended_ms + facts.bounds.abandoned_ms;
            facts.is_in_touch_until(call, limit_ms)
        })
        .collect()
}

/// GONE: more than a few requests reach an instance later than their callers have left.
pub(super) fn arrived_after_close(facts: &Facts) -> Vec<Violation> {
    let late: Vec<&Execution> = abandoned_calls(facts)
        .into_iter()
        .filter_map(|call| {
            let limit_ms = call.ended_ms + facts.bounds.abandoned_ms;
            let mut runs = facts.runs(&call.id);
            runs.find(|run| run.arrived_ms > limit_ms)
        })
        .collect();
    match late.first() {
        Some(first) if late.len() > MAX_LATE_ARRIVALS => {
            let detail = format!(
                "{} requests arrived after their callers had left, the first {}",
                late.len(),
                first.id
            );
            vec![Violation::new("GONE", first.arrived_ms, detail)]
        }
        _ => Vec::new(),
    }
}

/// GONE: instances still work on more than a quarter of the repeatable requests and streams whose
/// callers have left.
pub(super) fn working_after_close(facts: &Facts) -> Vec<Violation> {
    let lasting: Vec<(&Call, bool)> = abandoned_calls(facts)
        .into_iter()
        .filter(|call| call.is_stream || call.may_repeat)
        .filter_map(|call| {
            let limit_ms = call.ended_ms + facts.bounds.abandoned_ms;
            let mut runs = facts.runs(&call.id);
            let run = runs.find(|run| {
                let works = (run.arrived_ms..=run.ended_ms).contains(&call.ended_ms);
                // The close has not reached an instance that is held up.
                let is_held_up = facts.history.faults.iter().any(|fault| {
                    fault.kind == FaultKind::InstanceSilent
                        && fault.target == run.instance
                        && overlaps(fault, call.ended_ms, limit_ms)
                });
                works
                    && !is_held_up
                    && (run.end != ExecutionEnd::Complete || run.ended_ms > limit_ms)
            })?;
            Some((call, run.ended_ms > limit_ms))
        })
        .collect();
    let working: Vec<_> = lasting.iter().filter(|(_, works)| *works).collect();
    match working.first() {
        Some((first, _)) if working.len() * 4 > lasting.len() => {
            let detail = format!(
                "{} of {} requests ran on after their callers had left, the first {}",
                working.len(),
                lasting.len(),
                first.id
            );
            vec![Violation::new("GONE", first.ended_ms, detail)]
        }
        _ => Vec::new(),
    }
}

/// BUDGET: requests run at more instances than their route allows, or instances are told that more
/// time is left than the caller gave.
pub(super) fn over_budget(facts: &Facts) -> Vec<Violation> {
    let calls = facts.history.calls.iter();
    let over: Vec<&Call> = calls.filter(|call| is_over_attempts(facts, call)).collect();
    let mut violations = Vec::new();
    if let (Some(first), true) = (over.first(), over.len() > MAX_OVER_ATTEMPTS) {
        let detail = format!(
            "{} requests ran at more instances than their route allows, the first {}",
            over.len(),
            first.id
        );
        violations.push(Violation::new("BUDGET", first.sent_ms, detail));
    }
    violations.extend(over_deadline(facts));
    violations
}

fn is_over_attempts(facts: &Facts, call: &Call) -> bool {
    let routes = facts.routes(call);
    let Some(allowed) = routes.iter().map(|route| route.max_attempts).max() else {
        return false;
    };
    let instances: BTreeSet<&str> = facts
        .runs(&call.id)
        .filter(|run| run.resumed_after.is_none())
        .filter(|run| {
            !facts.history.faults.iter().any(|fault| {
                fault.target == run.instance && overlaps(fault, run.arrived_ms, run.ended_ms)
            })
        })
        .map(|run| &*run.instance)
        .collect();
    instances.len() > usize::try_from(allowed).unwrap_or(usize::MAX)
}

fn over_deadline(facts: &Facts) -> Option<Violation> {
    let in_touch = facts.history.executions.iter().filter_map(|execution| {
        let call = facts.calls.get(&*execution.id)?;
        facts
            .is_in_touch(&call.process, execution.arrived_ms)
            .then_some((*call, execution))
    });
    let arrivals: Vec<(&Call, &Execution)> = in_touch.collect();
    let over: Vec<_> = arrivals
        .iter()
        .filter(|(call, execution)| has_too_much_time(facts, call, execution))
        .collect();
    let (_, first) = over.first()?;
    (over.len() > MAX_OVER_DEADLINE && over.len() * 5 > arrivals.len()).then(|| {
        let detail = format!(
            "{} of {} arrivals had more time than was left, the first {}",
            over.len(),
            arrivals.len(),
            first.id
        );
        Violation::new("BUDGET", first.arrived_ms, detail)
    })
}

fn has_too_much_time(facts: &Facts, call: &Call, execution: &Execution) -> bool {
    let Some(deadline_ms) = execution.deadline_ms else {
        return true;
    };
    let first = facts.arrivals(&call.id)[0];
    let end_ms = execution.arrived_ms + deadline_ms;
    let first_end_ms = first.arrived_ms + first.deadline_ms.unwrap_or(deadline_ms);
    let own_end_ms = call.sent_ms + call.deadline_ms;
    let is_late = execution.arrived_ms > first.arrived_ms + DEADLINE_SLACK_MS;
    let ends_late = end_ms > first_end_ms.max(own_end_ms) + DEADLINE_SLACK_MS;
    deadline_ms > call.deadline_ms + DEADLINE_SLACK_MS || (is_late && ends_late)
}
