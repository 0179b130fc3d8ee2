//! The way of one request through log files.

use std::sync::Arc;

use lilacspindle::explain::explain;

fn line(second: u32, rest: &str) -> String {
    format!("{{\"timestamp\":\"2026-01-01T00:00:{second:02}Z\",\"level\":\"INFO\",{rest}}}\n")
}

/// Guards against lines out of order, lines of other requests, and beliefs of processes that had
/// nothing to do with the request.
#[test]
fn lines_of_a_request_come_in_order_with_what_its_process_believed() {
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
