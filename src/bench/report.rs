//! Results of the load tool, displayed as Markdown tables and serialised as JSON.

use std::collections::BTreeMap;
use std::fmt;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

/// Points of the quantile curves in plots, each as the fraction of values above it.
const CURVE_TAIL_FRACTIONS: [f64; 16] = [
    0.9, 0.75, 0.5, 0.35, 0.25, 0.15, 0.1, 0.05, 0.03, 0.02, 0.01, 0.005, 0.003, 0.002, 0.001,
    0.0001,
];

/// A distribution of times in milliseconds.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Quantiles {
    pub count: u64,
    pub p50_ms: f64,
    pub p95_ms: f64,
    pub p99_ms: f64,
    pub p999_ms: f64,
    pub max_ms: f64,
    /// Pairs of a fraction and the time that this fraction of the values exceeds.
    pub curve: Vec<(f64, f64)>,
}

impl Quantiles {
    /// Returns the quantiles of times that were recorded in microseconds.
    pub fn from_histogram(histogram: &Histogram<u64>) -> Self {
        if histogram.is_empty() {
            return Self::default();
        }
        let at = |quantile: f64| us_to_ms(histogram.value_at_quantile(quantile));
        Self {
            count: histogram.len(),
            p50_ms: at(0.5),
            p95_ms: at(0.95),
            p99_ms: at(0.99),
            p999_ms: at(0.999),
            max_ms: us_to_ms(histogram.max()),
            curve: CURVE_TAIL_FRACTIONS
                .iter()
                .map(|tail| (*tail, at(1.0 - tail)))
                .collect(),
        }
    }
}

/// Stall time of streams that have started: time without a token beyond `STALL_THRESHOLD_US`.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Stall {
    pub total_ms: f64,
    /// Stall time as a fraction of the time that streams were open.
    #[serde(rename = "part_of_open_time")]
    pub stalled_fraction: f64,
    pub per_stream: Quantiles,
}

/// The tokens that a workspace received, compared with its weight.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Share {
    pub workspace: String,
    pub weight: u32,
    pub tokens: u64,
    /// Fraction of all tokens.
    pub share: f64,
    /// Fraction of the sum of all weights.
    pub weight_share: f64,
}

/// Memory in use on one engine at one time.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MemorySample {
    pub at_ms: u64,
    pub engine: usize,
    pub used_tokens: u64,
    pub capacity_tokens: u64,
}

/// The results of one policy under one load.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RunReport {
    pub policy: String,
    pub mix: String,
    /// Offered load as a fraction of capacity.
    pub load: f64,
    pub runs: u64,
    pub outcomes: BTreeMap<String, u64>,
    /// Errors in answers that the checker found.
    pub faults: Vec<String>,
    pub first_token: Quantiles,
    pub between_tokens: Quantiles,
    pub small_calls: Quantiles,
    pub refusals: Quantiles,
    pub stall: Stall,
    pub kinds: BTreeMap<String, Quantiles>,
    pub preemptions: u64,
    pub recomputed_tokens: u64,
    /// Tokens per second of answers that completed before their deadline.
    pub goodput_tokens_per_s: f64,
    /// Tokens per second that callers received.
    pub shown_tokens_per_s: f64,
    pub shares: Vec<Share>,
    pub memory: Vec<MemorySample>,
}

/// Latency of one sort of call, sent directly to the upstream and through an entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AddedLatency {
    pub call: String,
    pub direct: Quantiles,
    pub through: Quantiles,
    pub added_p50_ms: f64,
    pub added_p99_ms: f64,
    pub errors: u64,
}

/// The result of one invocation of the load tool.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Report {
    Runs(Vec<RunReport>),
    AddedLatency(Vec<AddedLatency>),
}

impl Report {
    /// Returns the number of errors that the checker found in answers.
    pub fn faults(&self) -> usize {
        match self {
            Self::Runs(runs) => runs.iter().map(|run| run.faults.len()).sum(),
            Self::AddedLatency(_) => 0,
        }
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Runs(runs) => write_runs(f, runs),
            Self::AddedLatency(rows) => write_added_latency(f, rows),
        }
    }
}

fn write_runs(f: &mut fmt::Formatter<'_>, runs: &[RunReport]) -> fmt::Result {
    writeln!(
        f,
        "| mix | load | policy | goodput tok/s | shown tok/s | preemptions | recomputed tok \
         | stall % | stall p99 ms | between p50/p95/p99/p99.9 ms | first p50/p95/p99/p99.9 ms \
         | small p50/p95/p99/p99.9 ms | refusal p99 ms | outcomes |"
    )?;
    writeln!(f, "|{}", "---|".repeat(14))?;
    for run in runs {
        let outcomes: Vec<String> = run
            .outcomes
            .iter()
            .map(|(name, count)| format!("{name} {count}"))
            .collect();
        writeln!(
            f,
            "| {} | {:.2} | {} | {:.0} | {:.0} | {} | {} | {:.3} | {:.0} | {} | {} | {} | {:.1} | {} |",
            run.mix,
            run.load,
            run.policy,
            run.goodput_tokens_per_s,
            run.shown_tokens_per_s,
            run.preemptions,
            run.recomputed_tokens,
            run.stall.stalled_fraction * 100.0,
            run.stall.per_stream.p99_ms,
            format_percentiles(&run.between_tokens),
            format_percentiles(&run.first_token),
            format_percentiles(&run.small_calls),
            run.refusals.p99_ms,
            outcomes.join(", "),
        )?;
        for fault in run.faults.iter().take(10) {
            writeln!(f, "wrong answer: {fault}")?;
        }
    }
    write_kinds(f, runs)?;
    write_shares(f, runs)
}

fn write_kinds(f: &mut fmt::Formatter<'_>, runs: &[RunReport]) -> fmt::Result {
    writeln!(
        f,
        "\n| policy | kind | count | time to the end p50/p95/p99/p99.9 ms |"
    )?;
    writeln!(f, "|---|---|---|---|")?;
    for run in runs {
        for (kind, times) in &run.kinds {
            writeln!(
                f,
                "| {} {} {:.2} | {kind} | {} | {} |",
                run.policy,
                run.mix,
                run.load,
                times.count,
                format_percentiles(times)
            )?;
        }
    }
    Ok(())
}

fn write_shares(f: &mut fmt::Formatter<'_>, runs: &[RunReport]) -> fmt::Result {
    writeln!(f, "\n| policy | workspace | weight share | token share |")?;
    writeln!(f, "|---|---|---|---|")?;
    for run in runs {
        for share in &run.shares {
            writeln!(
                f,
                "| {} {} {:.2} | {} | {:.3} | {:.3} |",
                run.policy, run.mix, run.load, share.workspace, share.weight_share, share.share
            )?;
        }
    }
    Ok(())
}

fn write_added_latency(f: &mut fmt::Formatter<'_>, rows: &[AddedLatency]) -> fmt::Result {
    writeln!(
        f,
        "| call | count | direct p50/p95/p99/p99.9 ms | through p50/p95/p99/p99.9 ms \
         | added p50 ms | added p99 ms | errors |"
    )?;
    writeln!(f, "|{}", "---|".repeat(7))?;
    for row in rows {
        writeln!(
            f,
            "| {} | {} | {} | {} | {:.3} | {:.3} | {} |",
            row.call,
            row.through.count,
            format_percentiles(&row.direct),
            format_percentiles(&row.through),
            row.added_p50_ms,
            row.added_p99_ms,
            row.errors
        )?;
    }
    Ok(())
}

/// Returns the percentiles 50, 95, 99 and 99.9, with fewer decimals for larger times.
fn format_percentiles(quantiles: &Quantiles) -> String {
    let values = [
        quantiles.p50_ms,
        quantiles.p95_ms,
        quantiles.p99_ms,
        quantiles.p999_ms,
    ];
    values
        .map(|value| match value {
            _ if value >= 100.0 => format!("{value:.0}"),
            _ if value >= 10.0 => format!("{value:.1}"),
            _ => format!("{value:.2}"),
        })
        .join(" / ")
}

#[allow(clippy::cast_precision_loss)]
fn us_to_ms(us: u64) -> f64 {
    us as f64 / 1e3
}
