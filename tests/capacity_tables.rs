//! The capacity tool: fits, arithmetic and faults of the slopes file.

use lilacspindle::capacity::{Line, NAMES, Slope, Slopes, SlopesFile, render, size};

fn slope(name: &str, base: f64, per_x: f64) -> Slope {
    let (_, unit, x) = NAMES.iter().find(|entry| entry.0 == name).expect("known");
    Slope {
        name: name.to_owned(),
        unit: (*unit).to_owned(),
        x: (*x).to_owned(),
        points: [0.0, 100.0, 1_000.0]
            .map(|x| (x, base + per_x * x))
            .to_vec(),
        command: "test".to_owned(),
    }
}

fn slopes(list: Vec<Slope>) -> Slopes {
    Slopes::fit("test.json", SlopesFile { slopes: list }).expect("slopes are right")
}

/// Returns the line of the table with this title that starts with these words.
fn row(text: &str, title: &str, what: &str) -> String {
    let (_, table) = text.split_once(&format!("### {title}")).expect("title");
    let row = table
        .lines()
        .find(|line| line.starts_with(&format!("| {what} |")));
    row.expect("row").to_owned()
}

/// Guards against a fit that is off, and against one through a single x.
#[test]
fn fits_a_line() {
    let line = Line::fit(&[(1.0, 3.0), (2.0, 5.0), (3.0, 7.0)]).expect("line");
    assert!((line.per_x - 2.0).abs() < 1e-9);
    assert!((line.base - 1.0).abs() < 1e-9);
    assert!((line.r_squared - 1.0).abs() < 1e-9);
    let noisy = Line::fit(&[(0.0, 0.0), (1.0, 2.0), (2.0, 1.0)]).expect("line");
    assert!((noisy.per_x - 0.5).abs() < 1e-9);
    assert!((noisy.r_squared - 0.25).abs() < 1e-9);
    assert_eq!(Line::fit(&[(1.0, 3.0), (1.0, 5.0)]), None);
    assert_eq!(Line::fit(&[]), None);
}

/// Guards against wrong figures of the design size and of a role computed from it.
#[test]
fn arithmetic_at_design_size() {
    assert!((size::OPEN_STREAMS - 115_200.0).abs() < 1e-6);
    let text = render(
        &slopes(vec![
            slope("entry_stream_memory", 1_000_000.0, 1_000.0),
            slope("sidecar_token_cpu", 5.0, 2.0),
            slope("sidecar_request_cpu", 0.0, 1_000.0),
            slope("control_command_cpu", 0.0, 10.0),
        ]),
        16,
    );
    assert!(text.contains("1,600,000 × 72 ms = 115,200"));
    // 115,200 / 16 = 7,200 streams of 1,000 bytes, and the base.
    assert!(row(&text, "Entry", "state").contains("7.20 MB"));
    assert!(row(&text, "Entry", "memory").contains("8.20 MB"));
    // 4,000 tokens/s × 2 us + 9 requests/s × 1,000 us = 17 ms of each second.
    assert!(row(&text, "Sidecar", "CPU").contains("1.70 % of a core"));
    // 1,800 commands of keyed requests and 0.16 others, 10 us each.
    assert!(row(&text, "Control", "CPU").contains("1.80 % of a core"));
    assert!(row(&text, "Sidecar", "state").contains("not measured"));
    assert!(row(&text, "A lost zone", "streams touched").contains("| 11,520 |"));
    assert!(row(&text, "Ordinary failures", "log commands").contains("| 66 |"));
    assert!(row(&text, "Restarts", "log commands").contains("| 1,620 |"));
}

/// Guards against a limit on a daemon's cost of control that is not compared.
#[test]
fn limits_are_compared() {
    let title = "Subscription";
    for (per_s, verdict) in [(1_900.0, "kept"), (2_100.0, "**exceeded**")] {
        let text = render(
            &slopes(vec![
                slope("subscriber_idle_bytes", 0.0, per_s),
                slope("subscriber_change_bytes", 0.0, 0.0),
            ]),
            16,
        );
        let row = row(&text, title, "bytes/s");
        assert!(row.contains(verdict), "{row}");
    }
}

/// Guards against faults of the file that are dropped, or reported one at a time.
#[test]
fn every_fault_of_the_file_is_named() {
    let mut unit = slope("entry_token_cpu", 0.0, 1.0);
    unit.unit = "ms".to_owned();
    let mut points = slope("entry_token_bytes", 0.0, 1.0);
    points.points.truncate(1);
    let mut unknown = slope("snapshot_bytes", 0.0, 1.0);
    unknown.name = "colour".to_owned();
    let file = SlopesFile {
        slopes: vec![unit, points, unknown],
    };
    let findings = Slopes::fit("test.json", file).expect_err("three faults");
    let text = findings.to_string();
    assert_eq!(findings.0.len(), 3, "{text}");
    for place in ["entry_token_cpu", "entry_token_bytes", "colour"] {
        assert!(text.contains(place), "{text}");
    }
}
