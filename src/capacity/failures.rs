//! Cost of failures, restarts and partitions at the design size.

use std::fmt::Write;

use super::size::{
    CHANGES_PER_DAY, COMMANDS_PER_FAILURE, COMMANDS_PER_RESTART, DAEMONS, FAILURES_PER_DAY,
    IN_FORCE_LIMIT_S, OPEN_STREAMS, PARTITION_S, REGIONS, REPLICAS, REQUESTS_PER_S,
    RESTARTS_PER_DAY, SECONDS_PER_DAY, TABLE_ROWS, TOKENS_PER_S, ZONES,
};
use super::slopes::Slopes;
use super::table::{format_bytes, format_number};

struct Row {
    label: &'static str,
    arithmetic: String,
    value: String,
}

/// Appends a table for each class of failure.
pub(super) fn write_failures(text: &mut String, slopes: &Slopes) {
    write_rows(text, "Ordinary failures, a day", &ordinary_failures(slopes));
    write_rows(text, "Restarts and replacements, a day", &restarts(slopes));
    write_rows(text, "A lost zone", &zone_loss(slopes));
    write_rows(
        text,
        "A region apart for ten minutes (assumed)",
        &region_partition(slopes),
    );
}

fn write_rows(text: &mut String, title: &str, rows: &[Row]) {
    // Writing to a `String` cannot fail.
    let _ = writeln!(
        text,
        "\n### {title}\n\n| what | value | arithmetic |\n|---|---|---|"
    );
    for row in rows {
        let _ = writeln!(
            text,
            "| {} | {} | {} |",
            row.label, row.value, row.arithmetic
        );
    }
}

/// Returns the product of two factors, each given with its unit.
fn product(label: &'static str, left: (f64, &str), right: (f64, &str)) -> Row {
    Row {
        label,
        arithmetic: format!(
            "{} {} × {} {}",
            format_number(left.0),
            left.1,
            format_number(right.0),
            right.1
        ),
        value: format_number(left.0 * right.0),
    }
}

/// Returns the bytes of snapshots that `count` processes read when they start.
fn snapshots(slopes: &Slopes, count: f64) -> Row {
    let label = "bytes of snapshots";
    match slopes.linear_fit("snapshot_bytes") {
        Some(fit) => {
            let snapshot_bytes = fit.intercept + fit.slope * TABLE_ROWS;
            Row {
                label,
                arithmetic: format!(
                    "{} × ({} + {} × {} rows)",
                    format_number(count),
                    format_number(fit.intercept),
                    format_number(fit.slope),
                    format_number(TABLE_ROWS)
                ),
                value: format_bytes(count * snapshot_bytes),
            }
        }
        None => Row {
            label,
            arithmetic: format!("{} × snapshot_bytes", format_number(count)),
            value: "not measured".to_owned(),
        },
    }
}

fn ordinary_failures(slopes: &Slopes) -> Vec<Row> {
    let streams_per_daemon = OPEN_STREAMS / DAEMONS;
    let affected_streams = FAILURES_PER_DAY * streams_per_daemon;
    let requests = REQUESTS_PER_S * SECONDS_PER_DAY;
    vec![
        product(
            "streams touched, if each takes a daemon with it",
            (FAILURES_PER_DAY, "failures"),
            (streams_per_daemon, "streams per daemon"),
        ),
        Row {
            label: "part of a day's requests at peak rate",
            arithmetic: format!(
                "{} / {}",
                format_number(affected_streams),
                format_number(requests)
            ),
            value: format!("{:.5} %", 100.0 * affected_streams / requests),
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
            label: "mean time between restarts",
            arithmetic: format!(
                "{} s / {}",
                format_number(SECONDS_PER_DAY),
                format_number(RESTARTS_PER_DAY)
            ),
            value: format!("{} s", format_number(SECONDS_PER_DAY / RESTARTS_PER_DAY)),
        },
        snapshots(slopes, RESTARTS_PER_DAY),
    ]
}

fn zone_loss(slopes: &Slopes) -> Vec<Row> {
    let zone_fraction = (1.0 / ZONES, "of a zone");
    let daemons = DAEMONS / ZONES;
    let remaining_zones = ZONES - 1.0;
    vec![
        product("daemons lost", (DAEMONS, "daemons"), zone_fraction),
        product("replicas lost", (REPLICAS, "replicas"), zone_fraction),
        product("streams touched", (OPEN_STREAMS, "streams"), zone_fraction),
        Row {
            label: "tokens/s on each zone left",
            arithmetic: format!("{} / {remaining_zones}", format_number(TOKENS_PER_S)),
            value: format!(
                "{} (× {:.3})",
                format_number(TOKENS_PER_S / remaining_zones),
                ZONES / remaining_zones
            ),
        },
        product(
            "log commands, loss and return",
            (daemons, "daemons"),
            (COMMANDS_PER_FAILURE, "commands"),
        ),
        snapshots(slopes, daemons),
    ]
}

fn region_partition(slopes: &Slopes) -> Vec<Row> {
    let changes = CHANGES_PER_DAY / SECONDS_PER_DAY * PARTITION_S;
    let daemons = DAEMONS / REGIONS;
    let refused_s = PARTITION_S - IN_FORCE_LIMIT_S;
    let catch_up_bytes = slopes.linear_fit("subscriber_change_bytes").map_or_else(
        || "not measured".to_owned(),
        |fit| format_bytes(fit.slope * changes * daemons),
    );
    vec![
        Row {
            label: "changes missed",
            arithmetic: format!(
                "{} / {} s × {PARTITION_S} s",
                format_number(CHANGES_PER_DAY),
                format_number(SECONDS_PER_DAY)
            ),
            value: format_number(changes),
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
            label: "bytes to catch up",
            arithmetic: format!(
                "{} changes × {} daemons × subscriber_change_bytes",
                format_number(changes),
                format_number(daemons)
            ),
            value: catch_up_bytes,
        },
    ]
}
