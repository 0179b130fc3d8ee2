//! Requests that end without an answer around planned work.

use std::collections::BTreeMap;

use super::Violation;
use super::facts::Facts;
use super::touch::overlaps;
use crate::soak::history::{Call, CallEnd, Execution, ExecutionEnd, Fault, FaultKind};

/// Time after the grace period for which cuts are charged to a planned stop.
const AFTER_GRACE_MS: u64 = 1_000;

/// Time after SIGTERM until which a request may be sent that the stop may cut at its end.
const LATE_SEND_MS: u64 = 3_000;

/// Time after the effect of a document for which cuts are charged to it.
const AFTER_APPLY_MS: u64 = 1_000;

/// Number of answers that may be lost on kept connections.
const MAX_LOST_ANSWERS: usize = 3;

/// Returns the calls that were cut with no unplanned disruption around them, although a process has
/// read the whole request.
fn cut_calls<'a>(facts: &Facts<'a>) -> Vec<&'a Call> {
    let calls = facts.history.calls.iter();
    calls.filter(|call| is_lost(facts, call)).collect()
}

fn is_lost(facts: &Facts, call: &Call) -> bool {
    let Some(sent_whole_ms) = call.sent_whole_ms else {
        return false;
    };
    let is_read = facts.runs(&call.id).next().is_some()
        || call.ended_ms > sent_whole_ms + facts.bounds.loss_slack_ms;
    let broken_off = facts
        .runs(&call.id)
        .any(|run| run.end == ExecutionEnd::BrokenOff);
    let routes = facts.routes(call);
    let timeouts = routes.iter().map(|route| route.timeout_ms);
    let time_ms = timeouts.min().unwrap_or(u64::MAX).min(call.deadline_ms);
    let is_due = call.ended_ms - call.sent_ms >= time_ms;
    let since_ms = call.sent_ms.saturating_sub(facts.bounds.connectivity_ms);
    let is_disrupted = facts.history.faults.iter().any(|fault| {
        let unplanned = matches!(
            fault.kind,
            FaultKind::Kill
                | FaultKind::Freeze
                | FaultKind::DiskFull
                | FaultKind::DiskLost
                | FaultKind::Link
                | FaultKind::LinkHeld
        );
        unplanned && overlaps(fault, since_ms, call.ended_ms)
    });
    let excused = broken_off || is_due || is_disrupted || outlasts_grace(facts, call);
    call.end == CallEnd::Cut && is_read && !excused
}

/// Returns true for a request that a planned stop may cut at its end, whatever it is charged to: an
/// instance was at work on it in the last sixth of the grace period.
fn outlasts_grace(facts: &Facts, call: &Call) -> bool {
    let grace_ms = facts.bounds.grace_ms;
    faults_of(facts, call, FaultKind::Terminate).any(|stop| {
        let last_sixth = stop.at_ms + grace_ms * 5 / 6..=stop.at_ms + grace_ms + AFTER_GRACE_MS;
        // The end of the run dates the cut: a caller that reads slowly sees it seconds later.
        let at_work = |run: &Execution| last_sixth.contains(&run.ended_ms);
        call.ended_ms >= *last_sixth.start()
            && call.sent_ms <= stop.at_ms + LATE_SEND_MS
            && facts.runs(&call.id).any(at_work)
    })
}

fn faults_of<'a>(
    facts: &Facts<'a>,
    call: &'a Call,
    kind: FaultKind,
) -> impl Iterator<Item = &'a Fault> {
    let faults = facts.history.faults.iter();
    faults.filter(move |fault| fault.kind == kind && fault.target == call.process)
}

fn describe(call: &Call, cause: &str) -> Violation {
    let detail = format!(
        "{} cut request {} sent at {} {cause}",
        call.process, call.id, call.sent_ms
    );
    Violation::new("LOST", call.ended_ms, detail)
}

/// LOST: a process that got SIGTERM cuts a request.
pub(super) fn cut_by_stop(facts: &Facts) -> Vec<Violation> {
    let grace_ms = facts.bounds.grace_ms;
    let counts = |call: &Call, stop: &Fault| {
        (stop.at_ms..=stop.at_ms + grace_ms + AFTER_GRACE_MS).contains(&call.ended_ms)
    };
    cut_calls(facts)
        .into_iter()
        .filter(|call| faults_of(facts, call, FaultKind::Terminate).any(|stop| counts(call, stop)))
        .map(|call| describe(call, "around its SIGTERM"))
        .collect()
}

/// LOST: a process that got SIGHUP cuts a request that was sent before or shortly after it.
pub(super) fn cut_by_reload(facts: &Facts) -> Vec<Violation> {
    let counts = |call: &Call, reload: &Fault| {
        call.sent_ms <= reload.at_ms + facts.bounds.apply_ms && call.ended_ms >= reload.at_ms
    };
    cut_calls(facts)
        .into_iter()
        .filter(|call| faults_of(facts, call, FaultKind::Reload).any(|hup| counts(call, hup)))
        .map(|call| describe(call, "around its SIGHUP"))
        .collect()
}

/// LOST: a process cuts requests over three times as often beside a new document as at other times.
pub(super) fn cut_by_document(facts: &Facts) -> Vec<Violation> {
    let after_ms = facts.bounds.apply_ms + AFTER_APPLY_MS;
    let documents = facts.documents.iter().filter(|known| known.void.is_none());
    let spans: Vec<(u64, u64)> = documents
        .map(|known| {
            let settled_ms = known.acknowledged_ms.unwrap_or(known.first_sent_ms);
            (known.first_sent_ms, settled_ms + after_ms)
        })
        .collect();
    let is_beside = |call: &Call| {
        let mut spans = spans.iter();
        spans.any(|(since_ms, until_ms)| (*since_ms..=*until_ms).contains(&call.ended_ms))
    };
    let cut = cut_calls(facts);
    let cut_early = |call: &&Call| {
        let used_ms = call.ended_ms - call.sent_ms;
        used_ms * 10 < call.deadline_ms * 7
    };
    let mut counts: BTreeMap<&str, Counts> = BTreeMap::new();
    for call in &facts.history.calls {
        let counts = counts.entry(&call.process).or_default();
        let is_cut = cut.iter().any(|lost| lost.id == call.id);
        match is_beside(call) {
            true => counts.beside.add(is_cut),
            false => counts.apart.add(is_cut),
        }
    }
    cut.iter()
        .copied()
        .filter(|call| is_beside(call) && cut_early(call))
        .filter(|call| counts[&*call.process].is_worse_beside())
        .map(|call| describe(call, "beside a new document"))
        .collect()
}

/// Calls of a process, beside new documents and at other times.
#[derive(Default)]
struct Counts {
    beside: Share,
    apart: Share,
}

#[derive(Default)]
struct Share {
    cut: usize,
    all: usize,
}

impl Share {
    fn add(&mut self, is_cut: bool) {
        self.cut += usize::from(is_cut);
        self.all += 1;
    }
}

impl Counts {
    fn is_worse_beside(&self) -> bool {
        let Self { beside, apart } = self;
        apart.all > 0 && beside.cut * apart.all > 3 * apart.cut * beside.all
    }
}

/// LOST: processes in touch pass requests from kept connections on to sound instances and close
/// these connections without an answer.
pub(super) fn kept_connection_closed(facts: &Facts) -> Vec<Violation> {
    let calls = facts.history.calls.iter();
    let lost: Vec<&Call> = calls
        .filter(|call| {
            let without_answer = call.end == CallEnd::Cut && call.head_ms.is_none();
            call.number_on_connection > 0
                && without_answer
                && facts.runs(&call.id).any(|run| is_sound(facts, run))
                && facts.is_in_touch_until(call, call.ended_ms)
        })
        .collect();
    match lost.first() {
        Some(first) if lost.len() > MAX_LOST_ANSWERS => {
            let detail = format!(
                "{} kept connections were closed without an answer, the first by {} for {}",
                lost.len(),
                first.process,
                first.id
            );
            vec![Violation::new("LOST", first.ended_ms, detail)]
        }
        _ => Vec::new(),
    }
}

fn is_sound(facts: &Facts, run: &Execution) -> bool {
    let harmed =
        facts.history.faults.iter().any(|fault| {
            fault.target == run.instance && overlaps(fault, run.arrived_ms, run.ended_ms)
        });
    run.end != ExecutionEnd::BrokenOff && !harmed
}
