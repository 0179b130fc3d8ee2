//! Measured slopes: how a cost grows with something that can be counted.

use std::collections::BTreeMap;
use std::path::Path;

use serde::{Deserialize, Serialize};

use crate::findings::Findings;

/// One measurement series.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Slope {
    /// One of the names in `NAMES`.
    pub name: String,
    /// Unit of the measured values: `us` of CPU, `bytes` or `messages`.
    pub unit: String,
    /// What the x axis counts.
    pub x: String,
    /// Pairs of x and measured value.
    pub points: Vec<(f64, f64)>,
    /// The command that measured the points.
    pub command: String,
}

/// A file of measured slopes.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SlopesFile {
    pub slopes: Vec<Slope>,
}

/// A straight line through measured points.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Line {
    pub base: f64,
    pub per_x: f64,
    /// Part of the variation that the line explains; 1 is a perfect line.
    pub r_squared: f64,
}

impl Line {
    /// Returns the least-squares line; none for fewer than two different x.
    #[allow(clippy::cast_precision_loss)]
    pub fn fit(points: &[(f64, f64)]) -> Option<Self> {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let of_x: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let of_y: f64 = points.iter().map(|(_, y)| (y - mean_y).powi(2)).sum();
        let both: f64 = points
            .iter()
            .map(|(x, y)| (x - mean_x) * (y - mean_y))
            .sum();
        // Also false for no points, whose means are not numbers.
        if of_x.is_nan() || of_x <= 0.0 {
            return None;
        }
        let per_x = both / of_x;
        Some(Self {
            base: mean_y - per_x * mean_x,
            per_x,
            r_squared: if of_y > 0.0 {
                both * both / (of_x * of_y)
            } else {
                1.0
            },
        })
    }
}

/// The slopes that the tables use: name, unit and x axis.
pub const NAMES: [(&str, &str, &str); 20] = [
    ("entry_stream_memory", "bytes", "open streams"),
    ("entry_token_cpu", "us", "tokens"),
    ("entry_request_cpu", "us", "requests"),
    ("entry_token_bytes", "bytes", "tokens"),
    ("entry_request_bytes", "bytes", "requests"),
    ("entry_request_messages", "messages", "requests"),
    (
        "poll_messages",
        "messages",
        "seconds of a busy pair of entry and sidecar",
    ),
    ("sidecar_stream_memory", "bytes", "open streams"),
    ("sidecar_token_cpu", "us", "tokens"),
    ("sidecar_request_cpu", "us", "requests"),
    ("subscriber_row_memory", "bytes", "rows"),
    ("subscriber_idle_cpu", "us", "seconds"),
    ("subscriber_idle_bytes", "bytes", "seconds"),
    ("subscriber_change_cpu", "us", "changes"),
    ("subscriber_change_bytes", "bytes", "changes"),
    ("snapshot_bytes", "bytes", "rows"),
    ("control_row_memory", "bytes", "rows"),
    ("control_claim_memory", "bytes", "claims kept"),
    ("control_command_cpu", "us", "commands"),
    (
        "control_command_bytes",
        "bytes",
        "commands, to each follower",
    ),
];

/// The fitted slopes of a file by name.
#[derive(Debug, Clone, Default)]
pub struct Slopes {
    pub fitted: BTreeMap<String, (Slope, Line)>,
}

impl Slopes {
    /// Reads a file; fails with every fault found in it.
    pub fn load(path: &Path) -> Result<Self, Findings> {
        let place = path.display().to_string();
        let fault = |reason: String| {
            let mut findings = Findings::default();
            findings.add(place.clone(), reason);
            findings
        };
        let text = std::fs::read_to_string(path)
            .map_err(|error| fault(format!("cannot be read: {error}")))?;
        let file: SlopesFile = serde_json::from_str(&text)
            .map_err(|error| fault(format!("is not a slopes file: {error}")))?;
        Self::fit(&place, file)
    }

    /// Fits every slope; fails with every fault found.
    pub fn fit(place: &str, file: SlopesFile) -> Result<Self, Findings> {
        let mut findings = Findings::default();
        let mut slopes = Self::default();
        for slope in file.slopes {
            let place = format!("{place}: {}", slope.name);
            match NAMES.iter().find(|(name, _, _)| *name == slope.name) {
                None => findings.add(&place, "is not a known slope"),
                Some((_, unit, _)) if *unit != slope.unit => {
                    findings.add(&place, format!("has the unit {}, not {unit}", slope.unit));
                }
                Some(_) => {}
            }
            let Some(line) = Line::fit(&slope.points) else {
                findings.add(&place, "needs points at two different x");
                continue;
            };
            let name = slope.name.clone();
            if slopes.fitted.insert(name, (slope, line)).is_some() {
                findings.add(&place, "is given twice");
            }
        }
        findings.into_result(slopes)
    }

    pub(super) fn line(&self, name: &str) -> Option<Line> {
        self.fitted.get(name).map(|(_, line)| *line)
    }
}
