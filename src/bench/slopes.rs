//! Turns reports of measurements into the slopes file of the capacity tables.

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

/// Rows of the measured state.
const STATE_ROWS: f64 = 20_000.0;

/// The reports, as `--json` printed them.
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

/// Returns the slopes of the reports; fails if one cannot be read.
pub fn run(options: &SlopesOptions) -> Result<SlopesFile, BenchError> {
    let path: PathReport = read(&options.path)?;
    let distribution: distribution::Report = read(&options.distribution)?;
    let state: StateReport = read(&options.state)?;
    let mut slopes = path.slopes();
    slopes.extend(distribution_slopes(&distribution));
    slopes.extend(state_slopes(&state));
    Ok(SlopesFile { slopes })
}

fn read<T: DeserializeOwned>(path: &Path) -> Result<T, BenchError> {
    let failed = |error: String| BenchError(format!("{}: {error}", path.display()));
    let text = std::fs::read_to_string(path).map_err(|error| failed(error.to_string()))?;
    serde_json::from_str(&text).map_err(|error| failed(error.to_string()))
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

/// One core for a second, in parts per hundred and in microseconds.
const US_PER_PERCENT: f64 = 10_000.0;

fn distribution_slopes(report: &distribution::Report) -> Vec<Slope> {
    let command = "lilacspindle bench distribution";
    let most = report.points.iter().map(|point| point.subscribers).max();
    let largest = || {
        report
            .points
            .iter()
            .filter(|point| Some(point.subscribers) == most)
    };
    let pairs = |value: fn(&distribution::Point) -> f64| -> Vec<(f64, f64)> {
        largest()
            .map(|point| (f64::from(point.rows), value(point)))
            .collect()
    };
    // A cost per second of a subscriber, as a line through zero.
    let per_second = |value: fn(&distribution::Point) -> f64| -> Vec<(f64, f64)> {
        let mean = mean(largest().map(value));
        vec![(0.0, 0.0), (1.0, mean)]
    };
    let edits_per_s = 1.0 / report.edit_interval_s;
    let per_change = |value: fn(&distribution::Point) -> f64| -> Vec<(f64, f64)> {
        let mean = mean(largest().map(value)).max(0.0);
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
            per_second(|point| point.idle.cpu_percent * US_PER_PERCENT),
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
                (point.editing.cpu_percent - point.idle.cpu_percent) * US_PER_PERCENT
            }),
            command,
        ),
        slope(
            "subscriber_row_memory",
            "bytes",
            "rows",
            pairs(|point| point.memory_kb * 1_024.0),
            command,
        ),
        slope(
            "snapshot_bytes",
            "bytes",
            "rows",
            pairs(|point| point.snapshot_bytes as f64),
            command,
        ),
    ]
}

fn mean(values: impl Iterator<Item = f64>) -> f64 {
    let (sum, count) = values.fold((0.0, 0.0), |(sum, count), value| (sum + value, count + 1.0));
    if count > 0.0 { sum / count } else { 0.0 }
}

fn state_slopes(report: &StateReport) -> Vec<Slope> {
    let command = "lilacspindle bench state";
    let value = |name: &str| {
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
            through_zero(STATE_ROWS, value("memory of the whole state") * 1_024.0),
            command,
        ),
        slope(
            "control_claim_memory",
            "bytes",
            "claims kept",
            through_zero(1.0, value("memory per claim")),
            command,
        ),
    ]
}
