//! Collects what happened to each request and turns it into a report.

use std::collections::BTreeMap;
use std::ops::Range;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use super::report::{MemorySample, Quantiles, RunReport, Share, Stall};
use super::workload::{Mix, Workload};

/// A stream that delivers nothing for longer than this stalls.
pub const STALL_THRESHOLD_US: u64 = 200_000;
/// Longest time that histograms tell apart: one hour.
const LONGEST_US: u64 = 3_600_000_000;

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ending {
    /// Whole, right and on time.
    Complete,
    /// Whole and right, but after its deadline.
    Late,
    /// Refused and not run.
    NotRun,
    /// Not run, because its deadline passed while it waited.
    Expired,
    Interrupted,
    Unknown,
    /// The checker found a fault.
    Wrong,
    /// The connection failed, or the answer could not be understood.
    Failed,
}

impl Ending {
    /// Returns the name used in reports.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Complete => "complete",
            Self::Late => "late",
            Self::NotRun => "not_run",
            Self::Expired => "expired",
            Self::Interrupted => "interrupted",
            Self::Unknown => "unknown",
            Self::Wrong => "wrong",
            Self::Failed => "failed",
        }
    }
}

/// What one request saw. Times are from the start of the run.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Trace {
    /// When the request was due.
    pub start_us: u64,
    pub first_token_us: Option<u64>,
    pub last_token_us: u64,
    pub tokens: u32,
    /// Tokens that came within the measured window.
    pub window_tokens: u32,
    pub stall_us: u64,
}

impl Trace {
    /// Adds a token and returns the time since the one before.
    pub fn token(&mut self, now_us: u64, window_us: &Range<u64>) -> Option<u64> {
        let gap_us = self
            .first_token_us
            .map(|_| now_us.saturating_sub(self.last_token_us));
        self.first_token_us.get_or_insert(now_us);
        self.last_token_us = now_us;
        self.tokens += 1;
        self.window_tokens += u32::from(window_us.contains(&now_us));
        self.stall_us += gap_us.unwrap_or(0).saturating_sub(STALL_THRESHOLD_US);
        gap_us
    }

    /// Adds the time without a token before the stream was closed.
    pub fn close(&mut self, now_us: u64) {
        if self.first_token_us.is_some() {
            let gap_us = now_us.saturating_sub(self.last_token_us);
            self.stall_us += gap_us.saturating_sub(STALL_THRESHOLD_US);
        }
    }
}

/// The results of one or more runs of one policy.
#[derive(Debug, Clone)]
pub struct Recorder {
    policy: String,
    mix: Mix,
    load: f64,
    runs: u64,
    measured_us: u64,
    first_token: Histogram<u64>,
    between_tokens: Histogram<u64>,
    small_calls: Histogram<u64>,
    refusals: Histogram<u64>,
    stalls: Histogram<u64>,
    kinds: BTreeMap<String, Histogram<u64>>,
    endings: BTreeMap<Ending, u64>,
    faults: Vec<String>,
    stall_us: u64,
    open_us: u64,
    good_tokens: u64,
    window_tokens: u64,
    shares: BTreeMap<String, (u32, u64)>,
    pub preemptions: u64,
    pub recomputed_tokens: u64,
    pub memory: Vec<MemorySample>,
}

impl Recorder {
    pub fn new(policy: &str, workload: &Workload, load: f64) -> Self {
        let window = measured_window(workload);
        let shares = workload
            .workspaces
            .iter()
            .map(|workspace| (workspace.name.clone(), (workspace.weight, 0)))
            .collect();
        Self {
            policy: policy.to_owned(),
            mix: workload.mix,
            load,
            runs: 1,
            measured_us: window.end - window.start,
            first_token: histogram(),
            between_tokens: histogram(),
            small_calls: histogram(),
            refusals: histogram(),
            stalls: histogram(),
            kinds: BTreeMap::new(),
            endings: BTreeMap::new(),
            faults: Vec::new(),
            stall_us: 0,
            open_us: 0,
            good_tokens: 0,
            window_tokens: 0,
            shares,
            preemptions: 0,
            recomputed_tokens: 0,
            memory: Vec::new(),
        }
    }

    pub fn between_tokens(&mut self, gap_us: u64) {
        self.between_tokens.saturating_record(gap_us);
    }

    pub fn fault(&mut self, fault: String) {
        self.faults.push(fault);
    }

    /// Adds a finished request.
    pub fn finish(
        &mut self,
        workload: &Workload,
        number: usize,
        trace: &Trace,
        ending: Ending,
        end_us: u64,
    ) {
        let arrival = &workload.arrivals[number];
        let kind = &workload.kinds[arrival.kind];
        let latency_us = end_us.saturating_sub(trace.start_us);
        *self.endings.entry(ending).or_default() += 1;
        let name = &workload.workspaces[arrival.workspace].name;
        if let Some((_, tokens)) = self.shares.get_mut(name) {
            *tokens += u64::from(trace.window_tokens);
        }
        self.window_tokens += u64::from(trace.window_tokens);
        if let Some(first_us) = trace.first_token_us {
            self.first_token
                .saturating_record(first_us.saturating_sub(trace.start_us));
            self.stalls.saturating_record(trace.stall_us);
            self.stall_us += trace.stall_us;
            self.open_us += end_us.saturating_sub(first_us);
        }
        match ending {
            Ending::Complete => self.good_tokens += u64::from(trace.window_tokens),
            Ending::NotRun => self.refusals.saturating_record(latency_us),
            _ => {}
        }
        // A failed call counts with the time it took, so that dropping slow calls doesn't help.
        if kind.is_small() {
            self.small_calls.saturating_record(latency_us);
        }
        self.kinds
            .entry(kind.name.clone())
            .or_insert_with(histogram)
            .saturating_record(latency_us);
    }

    /// Adds the results of another run of the same policy, mix and load.
    pub fn merge(&mut self, other: &Self) {
        self.runs += other.runs;
        self.measured_us += other.measured_us;
        add(&mut self.first_token, &other.first_token);
        add(&mut self.between_tokens, &other.between_tokens);
        add(&mut self.small_calls, &other.small_calls);
        add(&mut self.refusals, &other.refusals);
        add(&mut self.stalls, &other.stalls);
        for (name, kind) in &other.kinds {
            add(
                self.kinds.entry(name.clone()).or_insert_with(histogram),
                kind,
            );
        }
        for (ending, count) in &other.endings {
            *self.endings.entry(*ending).or_default() += count;
        }
        for (name, (_, tokens)) in &other.shares {
            if let Some((_, sum)) = self.shares.get_mut(name) {
                *sum += tokens;
            }
        }
        self.faults.extend(other.faults.iter().cloned());
        self.stall_us += other.stall_us;
        self.open_us += other.open_us;
        self.good_tokens += other.good_tokens;
        self.window_tokens += other.window_tokens;
        self.preemptions += other.preemptions;
        self.recomputed_tokens += other.recomputed_tokens;
    }

    /// Returns the results.
    pub fn report(&self) -> RunReport {
        let seconds = to_f64(self.measured_us) / 1e6;
        RunReport {
            policy: self.policy.clone(),
            mix: self.mix.as_str().to_owned(),
            load: self.load,
            runs: self.runs,
            outcomes: self
                .endings
                .iter()
                .map(|(ending, count)| (ending.as_str().to_owned(), *count))
                .collect(),
            faults: self.faults.clone(),
            first_token: Quantiles::of(&self.first_token),
            between_tokens: Quantiles::of(&self.between_tokens),
            small_calls: Quantiles::of(&self.small_calls),
            refusals: Quantiles::of(&self.refusals),
            stall: Stall {
                total_ms: to_f64(self.stall_us) / 1e3,
                stalled_fraction: to_f64(self.stall_us) / to_f64(self.open_us.max(1)),
                per_stream: Quantiles::of(&self.stalls),
            },
            kinds: self
                .kinds
                .iter()
                .map(|(name, kind)| (name.clone(), Quantiles::of(kind)))
                .collect(),
            preemptions: self.preemptions,
            recomputed_tokens: self.recomputed_tokens,
            goodput_tokens_per_s: to_f64(self.good_tokens) / seconds,
            shown_tokens_per_s: to_f64(self.window_tokens) / seconds,
            shares: self.share_report(),
            memory: self.memory.clone(),
        }
    }

    fn share_report(&self) -> Vec<Share> {
        let weights: u32 = self.shares.values().map(|(weight, _)| weight).sum();
        let tokens: u64 = self.shares.values().map(|(_, tokens)| tokens).sum();
        self.shares
            .iter()
            .map(|(workspace, (weight, own))| Share {
                workspace: workspace.clone(),
                weight: *weight,
                tokens: *own,
                share: to_f64(*own) / to_f64(tokens.max(1)),
                weight_share: f64::from(*weight) / f64::from(weights.max(1)),
            })
            .collect()
    }
}

/// Returns the time in which tokens count as goodput: without the first quarter, in which the
/// engines fill up, and without the time after the last arrival.
pub fn measured_window(workload: &Workload) -> Range<u64> {
    let end_us = workload.duration_ms * 1_000;
    end_us / 4..end_us
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, LONGEST_US, 3).expect("constant bounds are valid")
}

fn add(sum: &mut Histogram<u64>, other: &Histogram<u64>) {
    sum.add(other).expect("both have the same bounds");
}

#[allow(clippy::cast_precision_loss)]
fn to_f64(value: u64) -> f64 {
    value as f64
}
