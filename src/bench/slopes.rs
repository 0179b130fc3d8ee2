//! Converts benchmark reports into the slopes file that the `capacity` command reads.

// Counts are far below 2^52, so conversions to f64 are exact.
#![allow(clippy::cast_precision_loss)]

use std::path::Path;

use clap::Args;
use serde::de::DeserializeOwned;

use super::distribution;
use super::load::BenchError;
use super::path::PathReport;
use super::state::StateReport;
use crate::capacity::{Slope, SlopesFile};

/// Table rows of the state that `bench state` measures.
const STATE_ROWS: f64 = 20_000.0;

/// Files of benchmark reports, as printed with `--json`.
#[derive(Debug, Clone, Args)]
pub struct SlopesOptions {
    /// Report of `bench path`.
    #[arg(long)]
    pub path: std::path::PathBuf,
    /// Report of `bench distribution`.
    #[arg(long)]
    pub distribution: std::path::PathBuf,
    /// Report of `bench state`.
    #[arg(long)]
    pub state: std::path::PathBuf,
}

/// Returns the slopes of all reports, or an error if a report cannot be read or parsed.
pub fn run(options: &SlopesOptions) -> Result<SlopesFile, BenchError> {
    let path: PathReport = read_report(&options.path)?;
    let distribution: distribution::Report = read_report(&options.distribution)?;
    let state: StateReport = read_report(&options.state)?;
    let mut slopes = path.slopes();
    slopes.extend(distribution_slopes(&distribution));
    slopes.extend(state_slopes(&state));
    Ok(SlopesFile { slopes })
}

fn read_report<T: DeserializeOwned>(path: &Path) -> Result<T, BenchError> {
    let read_error = |error: String| BenchError(format!("{}: {error}", path.display()));
    let text = std::fs::read_to_string(path).map_err(|error| read_error(error.to_string()))?;
    serde_json::from_str(&text).map_err(|error| read_error(error.to_string()))
}

fn slope(name: &str, unit: &str, x: &str, points: Vec<(f64, f64)>, command: &str) -> Slope {
    Slope {
        name: name.to_owned(),
        unit: unit.to_owned(),
        x: x.to_owned(),
        points,
        command: command.to_owned(),
    }
}

/// Microseconds of CPU time per second that one percent of a core amounts to.
const CPU_US_PER_S_PER_PERCENT: f64 = 10_000.0;

fn distribution_slopes(report: &distribution::Report) -> Vec<Slope> {
    let command = "lilacspindle bench distribution";
    let max_subscribers = report.points.iter().map(|point| point.subscribers).max();
    let largest_points = || {
        report
            .points
            .iter()
            .filter(|point| Some(point.subscribers) == max_subscribers)
    };
    let per_row = |value: fn(&distribution::Point) -> f64| -> Vec<(f64, f64)> {
        largest_points()
            .map(|point| (f64::from(point.rows), value(point)))
            .collect()
    };
    // Cost of a subscriber per second, as a line through the origin.
    let per_second = |value: fn(&distribution::Point) -> f64| -> Vec<(f64, f64)> {
        let mean = mean(largest_points().map(value));
        vec![(0.0, 0.0), (1.0, mean)]
    };
    // Cost of a subscriber per change, as a line through the origin. Noise can make the difference
    // of two measurements negative.
    let edits_per_s = 1.0 / report.edit_interval_s;
    let per_change = |value: fn(&distribution::Point) -> f64| -> Vec<(f64, f64)> {
        let mean = mean(largest_points().map(value)).max(0.0);
        vec![(0.0, 0.0), (1.0, mean / edits_per_s)]
    };
    vec![
        slope(
            "subscriber_idle_bytes",
            "bytes",
            "seconds",
            per_second(|point| point.idle.wire_bytes),
            command,
        ),
        slope(
            "subscriber_idle_cpu",
            "us",
            "seconds",
            per_second(|point| point.idle.cpu_percent * CPU_US_PER_S_PER_PERCENT),
            command,
        ),
        slope(
            "subscriber_change_bytes",
            "bytes",
            "changes",
            per_change(|point| point.editing.wire_bytes - point.idle.wire_bytes),
            command,
        ),
        slope(
            "subscriber_change_cpu",
            "us",
            "changes",
            per_change(|point| {
                (point.editing.cpu_percent - point.idle.cpu_percent) * CPU_US_PER_S_PER_PERCENT
            }),
            command,
        ),
        slope(
            "subscriber_row_memory",
            "bytes",
            "rows",
            per_row(|point| point.memory_kb * 1_024.0),
            command,
        ),
        slope(
            "snapshot_bytes",
            "bytes",
            "rows",
            per_row(|point| point.snapshot_bytes as f64),
            command,
        ),
    ]
}

/// Returns the arithmetic mean, or zero without values.
fn mean(values: impl Iterator<Item = f64>) -> f64 {
    let (sum, count) = values.fold((0.0, 0.0), |(sum, count), value| (sum + value, count + 1.0));
    if count > 0.0 { sum / count } else { 0.0 }
}

fn state_slopes(report: &StateReport) -> Vec<Slope> {
    let command = "lilacspindle bench state";
    // Zero if the report lacks the measure.
    let measured = |name: &str| {
        let found = report
            .measures
            .iter()
            .find(|measure| measure.name.trim() == name);
        found.map_or(0.0, |measure| measure.value)
    };
    let through_zero = |x: f64, y: f64| vec![(0.0, 0.0), (x, y)];
    vec![
        slope(
            "control_row_memory",
            "bytes",
            "rows",
            through_zero(STATE_ROWS, measured("memory of the whole state") * 1_024.0),
            command,
        ),
        slope(
            "control_claim_memory",
            "bytes",
            "claims kept",
            through_zero(1.0, measured("memory per claim")),
            command,
        ),
    ]
}
