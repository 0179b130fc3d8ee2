//! Tests of the `capacity` command: line fits, arithmetic, and validation of the slopes file.

use lilacspindle::capacity::{KNOWN_SLOPES, LinearFit, Slope, Slopes, SlopesFile, render, size};

/// Returns a slope whose points lie on the given line.
fn slope(name: &str, intercept: f64, slope: f64) -> Slope {
    let (_, unit, x) = KNOWN_SLOPES
        .iter()
        .find(|known| known.0 == name)
        .expect("known slope");
    Slope {
        name: name.to_owned(),
        unit: (*unit).to_owned(),
        x: (*x).to_owned(),
        points: [0.0, 100.0, 1_000.0]
            .map(|x| (x, intercept + slope * x))
            .to_vec(),
        command: "test".to_owned(),
    }
}

fn slopes(list: Vec<Slope>) -> Slopes {
    Slopes::fit("test.json", SlopesFile { slopes: list }).expect("valid slopes")
}

/// Returns the row with this label from the first table whose title starts with `title`.
fn row(text: &str, title: &str, label: &str) -> String {
    let (_, table) = text
        .split_once(&format!("### {title}"))
        .expect("table title");
    let row = table
        .lines()
        .find(|line| line.starts_with(&format!("| {label} |")));
    row.expect("table row").to_owned()
}

/// Guards against wrong coefficients, and against a fit of points that share a single x value.
#[test]
fn fits_a_line() {
    let fit = LinearFit::least_squares(&[(1.0, 3.0), (2.0, 5.0), (3.0, 7.0)]).expect("fit");
    assert!((fit.slope - 2.0).abs() < 1e-9);
    assert!((fit.intercept - 1.0).abs() < 1e-9);
    assert!((fit.r_squared - 1.0).abs() < 1e-9);
    let noisy = LinearFit::least_squares(&[(0.0, 0.0), (1.0, 2.0), (2.0, 1.0)]).expect("fit");
    assert!((noisy.slope - 0.5).abs() < 1e-9);
    assert!((noisy.r_squared - 0.25).abs() < 1e-9);
    assert_eq!(LinearFit::least_squares(&[(1.0, 3.0), (1.0, 5.0)]), None);
    assert_eq!(LinearFit::least_squares(&[]), None);
}

/// Guards against wrong figures of the design size, and wrong costs of roles and failures at it.
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
    // 115,200 / 16 = 7,200 streams of 1,000 bytes; `memory` adds the intercept of 1 MB.
    assert!(row(&text, "Entry", "state").contains("7.20 MB"));
    assert!(row(&text, "Entry", "memory").contains("8.20 MB"));
    // 4,000 tokens/s × 2 us + 9 requests/s × 1,000 us = 17 ms of each second.
    assert!(row(&text, "Sidecar", "CPU").contains("1.70 % of a core"));
    // 1,800 commands/s of keyed requests and 0.16 others, 10 us each.
    assert!(row(&text, "Control", "CPU").contains("1.80 % of a core"));
    assert!(row(&text, "Sidecar", "state").contains("not measured"));
    assert!(row(&text, "A lost zone", "streams touched").contains("| 11,520 |"));
    assert!(row(&text, "Ordinary failures", "log commands").contains("| 66 |"));
    assert!(row(&text, "Restarts", "log commands").contains("| 1,620 |"));
}

/// Guards against a daemon's cost of control that is not compared with its limit.
#[test]
fn limits_are_compared() {
    let title = "Subscription";
    for (bytes_per_s, verdict) in [(1_900.0, "kept"), (2_100.0, "**exceeded**")] {
        let text = render(
            &slopes(vec![
                slope("subscriber_idle_bytes", 0.0, bytes_per_s),
                slope("subscriber_change_bytes", 0.0, 0.0),
            ]),
            16,
        );
        let row = row(&text, title, "bytes/s");
        assert!(row.contains(verdict), "{row}");
    }
}

/// Guards against errors in a slopes file that are ignored, or reported only one at a time.
#[test]
fn reports_all_errors_of_a_slopes_file() {
    let mut wrong_unit = slope("entry_token_cpu", 0.0, 1.0);
    wrong_unit.unit = "ms".to_owned();
    let mut single_point = slope("entry_token_bytes", 0.0, 1.0);
    single_point.points.truncate(1);
    let mut unknown_name = slope("snapshot_bytes", 0.0, 1.0);
    unknown_name.name = "colour".to_owned();
    let file = SlopesFile {
        slopes: vec![wrong_unit, single_point, unknown_name],
    };
    let findings = Slopes::fit("test.json", file).expect_err("three errors");
    let text = findings.to_string();
    assert_eq!(findings.0.len(), 3, "{text}");
    for name in ["entry_token_cpu", "entry_token_bytes", "colour"] {
        assert!(text.contains(name), "{text}");
    }
}
