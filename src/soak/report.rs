//! Writes what a run has shown.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::io;
use std::path::Path;

use super::checker::Violation;
use super::history::{CallEnd, FaultKind, History};
use super::plan::Plan;

/// Number of calls of one kind that the summary lists.
const MAX_LISTED_CALLS: usize = 40;

/// Returns the summary of a run.
pub fn summary(plan: &Plan, history: &History, violations: &[Violation]) -> String {
    let mut text = format!(
        "seed {}, {:?}: {} controls, {} entries, {} engines, {} services, {} callers, {} steps\n",
        plan.seed,
        plan.kind,
        plan.size.controls,
        plan.size.entries,
        plan.size.engines,
        plan.size.services,
        plan.size.callers,
        plan.steps.len()
    );
    let mut outcomes: BTreeMap<String, u64> = BTreeMap::new();
    for call in &history.calls {
        let kind = if call.is_stream { "stream" } else { "plain" };
        let status = call
            .status
            .map_or("-".to_owned(), |status| status.to_string());
        let outcome = format!("{kind} {:?} {status}", call.end);
        *outcomes.entry(outcome).or_default() += 1;
    }
    let mut faults: BTreeMap<String, u64> = BTreeMap::new();
    for fault in &history.faults {
        *faults.entry(format!("{:?}", fault.kind)).or_default() += 1;
    }
    for (title, counts) in [("calls", outcomes), ("faults", faults)] {
        let _ = writeln!(text, "{title}:");
        for (name, count) in counts {
            let _ = writeln!(text, "  {count:>6} {name}");
        }
    }
    let _ = write!(text, "{}", cut_calls(history));
    for exit in &history.unexpected_exits {
        let _ = writeln!(
            text,
            "ended by itself: {} at {} ms: {}",
            exit.process, exit.at_ms, exit.detail
        );
    }
    let _ = writeln!(text, "violations: {}", violations.len());
    for violation in violations {
        let _ = writeln!(text, "  {violation}");
    }
    text
}

/// Lists the calls that were cut, with the executions behind them and the last stop of their entry.
fn cut_calls(history: &History) -> String {
    let mut text = String::new();
    let cut = history.calls.iter().filter(|call| call.end == CallEnd::Cut);
    for call in cut.take(MAX_LISTED_CALLS) {
        let stop = history
            .faults
            .iter()
            .filter(|fault| fault.kind == FaultKind::Terminate && fault.target == call.process)
            .filter(|fault| fault.at_ms <= call.ended_ms && call.ended_ms <= fault.until_ms + 1_000)
            .map(|fault| fault.at_ms)
            .next_back();
        let stop = stop.map_or("no stop".to_owned(), |at_ms| format!("stop at {at_ms}"));
        let _ = writeln!(
            text,
            "cut: {} at {}, sent {}..{:?}, status {:?}, {} events, ended {}, {stop}",
            call.id,
            call.process,
            call.sent_ms,
            call.sent_whole_ms,
            call.status,
            call.events.len(),
            call.ended_ms
        );
        for run in history.executions.iter().filter(|run| run.id == call.id) {
            let _ = writeln!(
                text,
                "     ran at {} {}..{}, after {:?}, to {} of {}: {:?}",
                run.instance,
                run.arrived_ms,
                run.ended_ms,
                run.resumed_after,
                run.last_event,
                run.total_events,
                run.end
            );
        }
    }
    text
}

/// Writes plan, history and summary to the folder of a run.
pub fn write(folder: &Path, plan: &Plan, history: &History, summary: &str) -> io::Result<()> {
    std::fs::write(folder.join("plan.json"), serde_json::to_vec_pretty(plan)?)?;
    std::fs::write(folder.join("history.json"), serde_json::to_vec(history)?)?;
    std::fs::write(folder.join("summary.txt"), summary)
}
