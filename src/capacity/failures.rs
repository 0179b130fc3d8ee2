//! What failures cost at the design size.

use std::fmt::Write;

use super::size::{
    APART_S, CHANGES_PER_DAY, COMMANDS_PER_FAILURE, COMMANDS_PER_RESTART, DAEMONS,
    FAILURES_PER_DAY, IN_FORCE_S, OPEN_STREAMS, REGIONS, REPLICAS, REQUESTS_PER_S,
    RESTARTS_PER_DAY, SECONDS_PER_DAY, TABLE_ROWS, TOKENS_PER_S, ZONES,
};
use super::slopes::Slopes;
use super::table::{bytes, number};

struct Row {
    what: &'static str,
    arithmetic: String,
    value: String,
}

/// Appends a table for each sort of failure.
pub(super) fn write_failures(text: &mut String, slopes: &Slopes) {
    write_rows(text, "Ordinary failures, a day", &ordinary(slopes));
    write_rows(text, "Restarts and replacements, a day", &restarts(slopes));
    write_rows(text, "A lost zone", &lost_zone(slopes));
    write_rows(
        text,
        "A region apart for ten minutes (assumed)",
        &region_apart(slopes),
    );
}

fn write_rows(text: &mut String, title: &str, rows: &[Row]) {
    // Writing to a string does not fail.
    let _ = writeln!(
        text,
        "\n### {title}\n\n| what | value | arithmetic |\n|---|---|---|"
    );
    for row in rows {
        let _ = writeln!(
            text,
            "| {} | {} | {} |",
            row.what, row.value, row.arithmetic
        );
    }
}

fn product(what: &'static str, left: (f64, &str), right: (f64, &str)) -> Row {
    Row {
        what,
        arithmetic: format!(
            "{} {} × {} {}",
            number(left.0),
            left.1,
            number(right.0),
            right.1
        ),
        value: number(left.0 * right.0),
    }
}

/// Returns the bytes of snapshots that `count` processes read.
fn snapshots(slopes: &Slopes, count: f64) -> Row {
    let what = "bytes of snapshots";
    match slopes.line("snapshot_bytes") {
        Some(line) => {
            let each = line.base + line.per_x * TABLE_ROWS;
            Row {
                what,
                arithmetic: format!(
                    "{} × ({} + {} × {} rows)",
                    number(count),
                    number(line.base),
                    number(line.per_x),
                    number(TABLE_ROWS)
                ),
                value: bytes(count * each),
            }
        }
        None => Row {
            what,
            arithmetic: format!("{} × snapshot_bytes", number(count)),
            value: "not measured".to_owned(),
        },
    }
}

fn ordinary(slopes: &Slopes) -> Vec<Row> {
    let streams = OPEN_STREAMS / DAEMONS;
    let touched = FAILURES_PER_DAY * streams;
    let requests = REQUESTS_PER_S * SECONDS_PER_DAY;
    vec![
        product(
            "streams touched, if each takes a daemon with it",
            (FAILURES_PER_DAY, "failures"),
            (streams, "streams per daemon"),
        ),
        Row {
            what: "part of a day's requests at peak rate",
            arithmetic: format!("{} / {}", number(touched), number(requests)),
            value: format!("{:.5} %", 100.0 * touched / requests),
        },
        product(
            "log commands",
            (FAILURES_PER_DAY, "failures"),
            (COMMANDS_PER_FAILURE, "commands"),
        ),
        snapshots(slopes, FAILURES_PER_DAY),
    ]
}

fn restarts(slopes: &Slopes) -> Vec<Row> {
    vec![
        product(
            "log commands",
            (RESTARTS_PER_DAY, "restarts"),
            (COMMANDS_PER_RESTART, "commands"),
        ),
        Row {
            what: "mean time between restarts",
            arithmetic: format!(
                "{} s / {}",
                number(SECONDS_PER_DAY),
                number(RESTARTS_PER_DAY)
            ),
            value: format!("{} s", number(SECONDS_PER_DAY / RESTARTS_PER_DAY)),
        },
        snapshots(slopes, RESTARTS_PER_DAY),
    ]
}

fn lost_zone(slopes: &Slopes) -> Vec<Row> {
    let part = (1.0 / ZONES, "of a zone");
    let daemons = DAEMONS / ZONES;
    let left = ZONES - 1.0;
    vec![
        product("daemons lost", (DAEMONS, "daemons"), part),
        product("replicas lost", (REPLICAS, "replicas"), part),
        product("streams touched", (OPEN_STREAMS, "streams"), part),
        Row {
            what: "tokens/s on each zone left",
            arithmetic: format!("{} / {left}", number(TOKENS_PER_S)),
            value: format!("{} (× {:.3})", number(TOKENS_PER_S / left), ZONES / left),
        },
        product(
            "log commands, loss and return",
            (daemons, "daemons"),
            (COMMANDS_PER_FAILURE, "commands"),
        ),
        snapshots(slopes, daemons),
    ]
}

fn region_apart(slopes: &Slopes) -> Vec<Row> {
    let changes = CHANGES_PER_DAY / SECONDS_PER_DAY * APART_S;
    let daemons = DAEMONS / REGIONS;
    let refused_s = APART_S - IN_FORCE_S;
    let catch_up = slopes.line("subscriber_change_bytes").map_or_else(
        || "not measured".to_owned(),
        |line| bytes(line.per_x * changes * daemons),
    );
    vec![
        Row {
            what: "changes missed",
            arithmetic: format!(
                "{} / {} s × {APART_S} s",
                number(CHANGES_PER_DAY),
                number(SECONDS_PER_DAY)
            ),
            value: number(changes),
        },
        product(
            "daemons without confirmation",
            (DAEMONS, "daemons"),
            (1.0 / REGIONS, "of a region"),
        ),
        product(
            "requests refused in the region after 12 s, with the default policy",
            (REQUESTS_PER_S / REGIONS, "requests/s"),
            (refused_s, "s"),
        ),
        Row {
            what: "bytes to catch up",
            arithmetic: format!(
                "{} changes × {} daemons × subscriber_change_bytes",
                number(changes),
                number(daemons)
            ),
            value: catch_up,
        },
    ]
}
