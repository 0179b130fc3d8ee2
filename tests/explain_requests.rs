//! Tracing one request through the log files of several processes.

use std::sync::Arc;

use lilacspindle::adapters::clock::{STOOD_STILL, reportable_stall_ms};
use lilacspindle::explain::explain;

fn line(second: u32, rest: &str) -> String {
    format!("{{\"timestamp\":\"2026-01-01T00:00:{second:02}Z\",\"level\":\"INFO\",{rest}}}\n")
}

/// Guards against lines out of order, lines of other requests, and state changes of processes that
/// did not handle the request.
#[test]
fn lines_of_a_request_are_ordered_with_state_changes_of_its_processes() {
    let entry = [
        line(1, "\"message\":\"document applied\",\"version\":6"),
        line(
            3,
            "\"message\":\"engine refused\",\"request\":\"r1\",\"instance\":\"i-1\"",
        ),
        line(4, "\"message\":\"answered\",\"request\":\"r2\""),
        line(5, "\"message\":\"control does not answer\""),
        "not json\n".to_owned(),
        line(
            7,
            "\"message\":\"stream ended\",\"request\":\"r1\",\"age_ms\":4000",
        ),
        line(8, "\"message\":\"document applied\",\"version\":7"),
    ];
    let control = [
        line(2, "\"message\":\"role of the replica\""),
        format!(
            "  4.5 control-1 {}",
            line(6, "\"message\":\"turn of a copy\",\"request\":\"r1\"")
        ),
    ];
    let files: [(Arc<str>, String); 3] = [
        ("entry-1".into(), entry.concat()),
        ("control-1".into(), control.concat()),
        (
            "entry-2".into(),
            line(4, "\"message\":\"control does not answer\""),
        ),
    ];
    let found: Vec<String> = explain("r1", &files)
        .iter()
        .map(ToString::to_string)
        .collect();
    assert_eq!(
        found,
        [
            "2026-01-01T00:00:03Z   entry-1 engine refused instance=\"i-1\"",
            "2026-01-01T00:00:05Z ~ entry-1 control does not answer",
            "2026-01-01T00:00:06Z   control-1 turn of a copy",
            "2026-01-01T00:00:07Z   entry-1 stream ended age_ms=4000",
        ]
    );
    assert!(explain("r3", &files).is_empty());
}

/// Guards against a request that shows one line and no reason why it never ended: its entry was
/// suspended for 6.5 s.
#[test]
fn unfinished_request_shows_the_stall_of_its_process() {
    let sent = "\"message\":\"generation sent\",\"request\":\"r1\"";
    let stall = format!("\"message\":\"{STOOD_STILL}\",\"for_ms\":6500");
    let entry = [
        line(2, sent),
        line(3, "\"message\":\"document applied\",\"version\":6"),
        line(9, &stall),
        line(10, "\"message\":\"document applied\",\"version\":7"),
    ];
    let found = |text: String| -> Vec<String> {
        let lines = explain("r1", &[("entry-1".into(), text)]);
        lines.iter().map(|line| line.message.to_string()).collect()
    };
    let whole = ["generation sent", "document applied", STOOD_STILL];
    assert_eq!(found(entry.concat()), whole);
    // A request that ended shows the reason in its own lines, so the stall is left out.
    let ended = line(4, "\"message\":\"stream ended\",\"request\":\"r1\"");
    let entry = [&entry[..2], &[ended], &entry[2..]].concat();
    let whole = ["generation sent", "document applied", "stream ended"];
    assert_eq!(found(entry.concat()), whole);
}

/// Guards against a log line for each small delay on a busy machine, and against a clock that goes
/// back.
#[test]
fn only_long_stalls_are_reported() {
    assert_eq!(reportable_stall_ms(1_000, 1_150), None);
    assert_eq!(reportable_stall_ms(1_000, 1_201), Some(201));
    assert_eq!(reportable_stall_ms(1_000, 900), None);
}
