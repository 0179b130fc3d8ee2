//! Measured slopes: linear fits of a cost over the quantity it grows with.

use std::collections::BTreeMap;
use std::path::Path;

use serde::{Deserialize, Serialize};

use crate::findings::Findings;

/// A series of measurements of one cost.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Slope {
    /// One of the names in `KNOWN_SLOPES`.
    pub name: String,
    /// Unit of the measured values: `us` of CPU, `bytes` or `messages`.
    pub unit: String,
    /// Quantity on the x axis, such as `tokens` or `open streams`.
    pub x: String,
    /// Pairs of an x value and the value measured there.
    pub points: Vec<(f64, f64)>,
    /// Command line that produced the points.
    pub command: String,
}

/// The JSON document that `bench slopes` prints and `capacity` reads.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SlopesFile {
    pub slopes: Vec<Slope>,
}

/// A least-squares line through measured points.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LinearFit {
    /// Value at x = 0.
    pub intercept: f64,
    /// Increase of the value for each unit of x.
    pub slope: f64,
    /// Coefficient of determination; 1 if the line passes through every point.
    pub r_squared: f64,
}

impl LinearFit {
    /// Returns the least-squares line, or `None` for points at fewer than two different x values.
    #[allow(clippy::cast_precision_loss)]
    pub fn least_squares(points: &[(f64, f64)]) -> Option<Self> {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let squares_x: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let squares_y: f64 = points.iter().map(|(_, y)| (y - mean_y).powi(2)).sum();
        let products: f64 = points
            .iter()
            .map(|(x, y)| (x - mean_x) * (y - mean_y))
            .sum();
        // Zero without points or with a single x value; NaN if an x value is not finite.
        if squares_x.is_nan() || squares_x <= 0.0 {
            return None;
        }
        let slope = products / squares_x;
        Some(Self {
            intercept: mean_y - slope * mean_x,
            slope,
            r_squared: if squares_y > 0.0 {
                products * products / (squares_x * squares_y)
            } else {
                1.0
            },
        })
    }
}

/// The slopes that the tables use, as triples of name, unit and x axis.
pub const KNOWN_SLOPES: [(&str, &str, &str); 20] = [
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

/// The slopes of a file with their fitted lines.
#[derive(Debug, Clone, Default)]
pub struct Slopes {
    /// By name of the slope.
    pub fitted: BTreeMap<String, (Slope, LinearFit)>,
}

impl Slopes {
    /// Reads a slopes file and fits every slope; fails with all errors found in the file.
    pub fn load(path: &Path) -> Result<Self, Findings> {
        let place = path.display().to_string();
        let single_finding = |reason: String| {
            let mut findings = Findings::default();
            findings.add(place.clone(), reason);
            findings
        };
        let text = std::fs::read_to_string(path)
            .map_err(|error| single_finding(format!("cannot be read: {error}")))?;
        let file: SlopesFile = serde_json::from_str(&text)
            .map_err(|error| single_finding(format!("is not a valid slopes file: {error}")))?;
        Self::fit(&place, file)
    }

    /// Fits every slope; fails with all errors found, each located by `place` and the slope's name.
    pub fn fit(place: &str, file: SlopesFile) -> Result<Self, Findings> {
        let mut findings = Findings::default();
        let mut slopes = Self::default();
        for slope in file.slopes {
            let place = format!("{place}: {}", slope.name);
            match KNOWN_SLOPES.iter().find(|(name, _, _)| *name == slope.name) {
                None => findings.add(&place, "is not a known slope"),
                Some((_, unit, _)) if *unit != slope.unit => {
                    findings.add(&place, format!("has the unit {}, not {unit}", slope.unit));
                }
                Some(_) => {}
            }
            let Some(fit) = LinearFit::least_squares(&slope.points) else {
                findings.add(&place, "needs points at two or more different x values");
                continue;
            };
            let name = slope.name.clone();
            if slopes.fitted.insert(name, (slope, fit)).is_some() {
                findings.add(&place, "is given twice");
            }
        }
        findings.into_result(slopes)
    }

    /// Returns the fitted line of a slope, or `None` if it has not been measured.
    pub(super) fn linear_fit(&self, name: &str) -> Option<LinearFit> {
        self.fitted.get(name).map(|(_, fit)| *fit)
    }
}
