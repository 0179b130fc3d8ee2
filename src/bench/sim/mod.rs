//! Compares scheduling policies in simulated time, on the engine core of the stand-in and without a
//! network.

mod adaptive;
mod baselines;
mod policy;
mod run;

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

use super::recorder::Recorder;
use super::workload::{Mix, Workload, WorkloadOptions};
use crate::roles::standin::{EngineConfig, tokens};

pub use adaptive::{ablations, adaptive};
pub use baselines::{baselines, fixed_concurrency, unlimited, worst_case_reservation};
pub use policy::{
    ArrivalDecision, EngineView, Job, JobEnd, NamedPolicy, Policy, PolicyConfig, Start,
};

/// Duration of the sample that gives a mix's mean sizes, at one request per second.
const SAMPLE_DURATION_MS: u64 = 20_000_000;
/// The sample has its own seed, so that capacity does not depend on the seed of a run.
const SAMPLE_SEED: u64 = 0;

/// A fault in which one engine fails and another becomes slow.
#[derive(Debug, Clone, PartialEq)]
pub struct Failure {
    pub at_us: u64,
    pub killed_engine: usize,
    pub slowed_engine: usize,
    /// Multiplies the duration of each step of the slowed engine.
    pub slowdown: f64,
}

/// The configuration of one simulated run.
#[derive(Debug, Clone, PartialEq)]
pub struct SimConfig {
    pub engines: usize,
    pub engine: EngineConfig,
    /// Offered load as a fraction of capacity; only used in the report.
    pub load: f64,
    pub failure: Option<Failure>,
    /// True to record the engines' memory use over time.
    pub sample_memory: bool,
}

/// Runs one policy on the arrivals of a workload.
pub fn simulate(
    config: &SimConfig,
    workload: &Workload,
    named: &NamedPolicy,
    mean_concurrency: u32,
) -> Recorder {
    let policy_config = PolicyConfig {
        engines: config.engines,
        engine: config.engine.clone(),
        mean_concurrency,
        seed: workload.seed,
    };
    let policy = (named.create)(&policy_config);
    run::Run::new(config, workload, &named.name, policy).run()
}

/// The capacity of one engine for a mix, computed from the mix's mean sizes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Capacity {
    /// Jobs that run at once, limited by the batch size and by memory.
    pub concurrency: f64,
    /// Request rate of the mix, including its service calls.
    pub requests_per_s: f64,
}

/// Returns the capacity of an engine for a mix, assuming no preemption and no idle time.
#[allow(clippy::cast_precision_loss)]
pub fn capacity(mix: Mix, engine: &EngineConfig, length_scale: f64) -> Capacity {
    let sample = Workload::draw(&WorkloadOptions {
        mix,
        seed: SAMPLE_SEED,
        requests_per_s: 1.0,
        duration_ms: SAMPLE_DURATION_MS,
        length_scale,
        even_traffic: false,
    });
    let (mut output_tokens, mut token_steps, mut prompt_tokens) = (0.0, 0.0, 0.0);
    for arrival in &sample.arrivals {
        let length = f64::from(arrival.output_tokens());
        output_tokens += length;
        // Memory integrated over decoding steps: the prompt is held throughout, the output grows.
        token_steps += length * (f64::from(arrival.prompt_tokens) + length / 2.0);
        prompt_tokens += f64::from(arrival.prompt_tokens - arrival.prefix_tokens);
    }
    let fitting_jobs = engine.capacity_tokens as f64 * output_tokens / token_steps;
    let concurrency = fitting_jobs.min(f64::from(engine.max_batch)).max(1.0);
    let half_step_s = engine.step_us as f64 / 2e6;
    let step_s = half_step_s * (1.0 + concurrency / f64::from(engine.max_batch));
    let busy_s =
        output_tokens * step_s / concurrency + prompt_tokens / engine.prompt_tokens_per_s as f64;
    Capacity {
        concurrency,
        requests_per_s: sample.arrivals.len() as f64 / busy_s,
    }
}

/// A comparison of policies over mixes, loads and seeds.
#[derive(Debug, Clone, PartialEq)]
pub struct Comparison {
    pub mixes: Vec<Mix>,
    /// Offered loads as fractions of capacity.
    pub loads: Vec<f64>,
    pub seeds: Vec<u64>,
    pub engines: usize,
    pub engine: EngineConfig,
    pub duration_ms: u64,
    pub length_scale: f64,
    pub even_traffic: bool,
    /// Halfway through each run, kills engine 0 and makes engine 1 three times slower.
    pub failure: bool,
    pub threads: usize,
}

impl Comparison {
    /// Runs all cases and returns one result per mix, load and policy, in this order, merged over
    /// the seeds.
    pub fn run(&self, policies: &[NamedPolicy]) -> Vec<Recorder> {
        let mut cases = Vec::new();
        for mix in &self.mixes {
            let capacity = capacity(*mix, &self.engine, self.length_scale);
            for load in &self.loads {
                for seed in &self.seeds {
                    cases.push((*mix, *load, *seed, capacity));
                }
            }
        }
        let next_case = AtomicUsize::new(0);
        let results = Mutex::new(BTreeMap::new());
        std::thread::scope(|scope| {
            for _ in 0..self.threads.max(1) {
                scope.spawn(|| {
                    loop {
                        let index = next_case.fetch_add(1, Ordering::Relaxed);
                        let Some((mix, load, seed, capacity)) = cases.get(index) else {
                            return;
                        };
                        let recorders = self.run_case(*mix, *load, *seed, *capacity, policies);
                        let mut results = results.lock().expect("no simulation thread panicked");
                        results.insert(index, recorders);
                    }
                });
            }
        });
        let results = results.into_inner().expect("no simulation thread panicked");
        merge_seeds(results.into_values(), self.seeds.len())
    }

    fn run_case(
        &self,
        mix: Mix,
        load: f64,
        seed: u64,
        capacity: Capacity,
        policies: &[NamedPolicy],
    ) -> Vec<Recorder> {
        #[allow(clippy::cast_precision_loss)]
        let requests_per_s = load * capacity.requests_per_s * self.engines as f64;
        let workload = Workload::draw(&WorkloadOptions {
            mix,
            seed,
            requests_per_s,
            duration_ms: self.duration_ms,
            length_scale: self.length_scale,
            even_traffic: self.even_traffic,
        });
        let config = SimConfig {
            engines: self.engines,
            engine: self.engine.clone(),
            load,
            failure: self.failure.then_some(Failure {
                at_us: self.duration_ms * 500,
                killed_engine: 0,
                slowed_engine: 1,
                slowdown: 3.0,
            }),
            sample_memory: self.seeds.first() == Some(&seed),
        };
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let concurrency = capacity.concurrency as u32;
        policies
            .iter()
            .map(|policy| simulate(&config, &workload, policy, concurrency))
            .collect()
    }
}

/// Merges the results of each group of `seeds` consecutive cases, policy by policy.
fn merge_seeds(cases: impl Iterator<Item = Vec<Recorder>>, seeds: usize) -> Vec<Recorder> {
    let mut merged: Vec<Recorder> = Vec::new();
    for (index, case) in cases.enumerate() {
        if index % seeds.max(1) == 0 {
            merged.extend(case);
            continue;
        }
        let first = merged.len() - case.len();
        for (total, recorder) in merged[first..].iter_mut().zip(&case) {
            total.merge(recorder);
        }
    }
    merged
}

/// Returns the block hashes of each prompt's shared prefix; the rest of a prompt is never reused.
fn prompt_prefix_hashes(workload: &Workload) -> Vec<Vec<u64>> {
    let mut by_workspace_and_kind: BTreeMap<(usize, usize), Vec<u64>> = BTreeMap::new();
    workload
        .arrivals
        .iter()
        .map(|arrival| {
            by_workspace_and_kind
                .entry((arrival.workspace, arrival.kind))
                .or_insert_with(|| tokens::prefix_hashes(&workload.prefix(arrival)))
                .clone()
        })
        .collect()
}
