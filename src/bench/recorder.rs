//! Aggregates the results of requests into a report.

use std::collections::BTreeMap;
use std::ops::Range;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use super::report::{MemorySample, Quantiles, RunReport, Share, Stall};
use super::workload::{Mix, Workload};

/// A gap between tokens counts as stall time only beyond this length.
pub const STALL_THRESHOLD_US: u64 = 200_000;
/// Upper bound of the histograms: one hour. Longer times are recorded as this one.
const MAX_RECORDED_US: u64 = 3_600_000_000;

/// The outcome of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestOutcome {
    /// Complete and correct, before the deadline.
    Complete,
    /// Complete and correct, but after the deadline.
    Late,
    /// Refused before it ran.
    NotRun,
    /// Not run because its deadline passed while it waited.
    Expired,
    Interrupted,
    Unknown,
    /// The checker found a fault.
    Wrong,
    /// The connection failed, or the answer could not be understood.
    Failed,
}

impl RequestOutcome {
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

/// Timing of one request, as its caller saw it. Times are relative to the start of the run.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestTrace {
    /// Time from which latency is measured.
    pub start_us: u64,
    pub first_token_us: Option<u64>,
    pub last_token_us: u64,
    pub tokens: u32,
    /// Tokens received within the measured window.
    pub window_tokens: u32,
    pub stall_us: u64,
}

impl RequestTrace {
    /// Counts a token and returns the time since the previous one, or `None` for the first.
    pub fn add_token(&mut self, now_us: u64, window_us: &Range<u64>) -> Option<u64> {
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

    /// Adds stall time between the last token and the end of the stream.
    pub fn end(&mut self, now_us: u64) {
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
    /// Offered load as a part of capacity.
    load: f64,
    runs: u64,
    measured_us: u64,
    first_token_us: Histogram<u64>,
    between_tokens_us: Histogram<u64>,
    small_calls_us: Histogram<u64>,
    refusals_us: Histogram<u64>,
    stream_stalls_us: Histogram<u64>,
    kind_latencies_us: BTreeMap<String, Histogram<u64>>,
    endings: BTreeMap<RequestOutcome, u64>,
    faults: Vec<String>,
    total_stall_us: u64,
    /// Time from the first token to the end, summed over all streams.
    total_open_us: u64,
    goodput_tokens: u64,
    window_tokens: u64,
    /// Weight, and tokens received within the measured window, by workspace.
    shares: BTreeMap<String, (u32, u64)>,
    pub preemptions: u64,
    pub recomputed_tokens: u64,
    pub memory: Vec<MemorySample>,
}

impl Recorder {
    pub fn new(policy: &str, workload: &Workload, load: f64) -> Self {
        let window_us = measured_window_us(workload);
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
            measured_us: window_us.end - window_us.start,
            first_token_us: histogram(),
            between_tokens_us: histogram(),
            small_calls_us: histogram(),
            refusals_us: histogram(),
            stream_stalls_us: histogram(),
            kind_latencies_us: BTreeMap::new(),
            endings: BTreeMap::new(),
            faults: Vec::new(),
            total_stall_us: 0,
            total_open_us: 0,
            goodput_tokens: 0,
            window_tokens: 0,
            shares,
            preemptions: 0,
            recomputed_tokens: 0,
            memory: Vec::new(),
        }
    }

    /// Records the time between two tokens of a stream.
    pub fn record_token_gap(&mut self, gap_us: u64) {
        self.between_tokens_us.saturating_record(gap_us);
    }

    pub fn add_fault(&mut self, fault: String) {
        self.faults.push(fault);
    }

    /// Records a request that ended at `end_us`; `number` is its index in the arrivals.
    pub fn record_request(
        &mut self,
        workload: &Workload,
        number: usize,
        trace: &RequestTrace,
        ending: RequestOutcome,
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
            self.first_token_us
                .saturating_record(first_us.saturating_sub(trace.start_us));
            self.stream_stalls_us.saturating_record(trace.stall_us);
            self.total_stall_us += trace.stall_us;
            self.total_open_us += end_us.saturating_sub(first_us);
        }
        match ending {
            RequestOutcome::Complete => self.goodput_tokens += u64::from(trace.window_tokens),
            RequestOutcome::NotRun => self.refusals_us.saturating_record(latency_us),
            _ => {}
        }
        // Failed calls are included, so that latency does not improve when slow calls fail.
        if kind.is_small() {
            self.small_calls_us.saturating_record(latency_us);
        }
        self.kind_latencies_us
            .entry(kind.name.clone())
            .or_insert_with(histogram)
            .saturating_record(latency_us);
    }

    /// Adds the results of another run of the same policy, mix and load.
    pub fn merge(&mut self, other: &Self) {
        self.runs += other.runs;
        self.measured_us += other.measured_us;
        add_histogram(&mut self.first_token_us, &other.first_token_us);
        add_histogram(&mut self.between_tokens_us, &other.between_tokens_us);
        add_histogram(&mut self.small_calls_us, &other.small_calls_us);
        add_histogram(&mut self.refusals_us, &other.refusals_us);
        add_histogram(&mut self.stream_stalls_us, &other.stream_stalls_us);
        for (name, latency) in &other.kind_latencies_us {
            add_histogram(
                self.kind_latencies_us
                    .entry(name.clone())
                    .or_insert_with(histogram),
                latency,
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
        self.total_stall_us += other.total_stall_us;
        self.total_open_us += other.total_open_us;
        self.goodput_tokens += other.goodput_tokens;
        self.window_tokens += other.window_tokens;
        self.preemptions += other.preemptions;
        self.recomputed_tokens += other.recomputed_tokens;
    }

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
            first_token: Quantiles::from_histogram(&self.first_token_us),
            between_tokens: Quantiles::from_histogram(&self.between_tokens_us),
            small_calls: Quantiles::from_histogram(&self.small_calls_us),
            refusals: Quantiles::from_histogram(&self.refusals_us),
            stall: Stall {
                total_ms: to_f64(self.total_stall_us) / 1e3,
                stalled_fraction: to_f64(self.total_stall_us) / to_f64(self.total_open_us.max(1)),
                per_stream: Quantiles::from_histogram(&self.stream_stalls_us),
            },
            kinds: self
                .kind_latencies_us
                .iter()
                .map(|(name, latency)| (name.clone(), Quantiles::from_histogram(latency)))
                .collect(),
            preemptions: self.preemptions,
            recomputed_tokens: self.recomputed_tokens,
            goodput_tokens_per_s: to_f64(self.goodput_tokens) / seconds,
            shown_tokens_per_s: to_f64(self.window_tokens) / seconds,
            shares: self.workspace_shares(),
            memory: self.memory.clone(),
        }
    }

    fn workspace_shares(&self) -> Vec<Share> {
        let weights: u32 = self.shares.values().map(|(weight, _)| weight).sum();
        let total_tokens: u64 = self.shares.values().map(|(_, tokens)| tokens).sum();
        self.shares
            .iter()
            .map(|(workspace, (weight, own_tokens))| Share {
                workspace: workspace.clone(),
                weight: *weight,
                tokens: *own_tokens,
                share: to_f64(*own_tokens) / to_f64(total_tokens.max(1)),
                weight_share: f64::from(*weight) / f64::from(weights.max(1)),
            })
            .collect()
    }
}

/// Returns the time window, in microseconds, in which tokens count as goodput. It leaves out the
/// first quarter of the run, in which the engines fill up, and the time after the last arrival.
pub fn measured_window_us(workload: &Workload) -> Range<u64> {
    let end_us = workload.duration_ms * 1_000;
    end_us / 4..end_us
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_RECORDED_US, 3).expect("the constant bounds are valid")
}

fn add_histogram(sum: &mut Histogram<u64>, other: &Histogram<u64>) {
    sum.add(other)
        .expect("both histograms have the same bounds");
}

#[allow(clippy::cast_precision_loss)]
fn to_f64(value: u64) -> f64 {
    value as f64
}
