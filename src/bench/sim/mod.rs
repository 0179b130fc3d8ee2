//! Compares admission policies in simulated time: the engine core, several engines, no network.

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
pub use baselines::{baselines, fixed_concurrency, no_gate, worst_case};
pub use policy::{EngineView, Job, JobEnd, NamedPolicy, Policy, Setup, Start, Verdict};

/// Requests that the mean sizes are taken from.
const SAMPLE_MS: u64 = 20_000_000;
/// Seed of that sample, so that a load means the same for all seeds.
const SAMPLE_SEED: u64 = 0;

/// One engine dies and another becomes slow.
#[derive(Debug, Clone, PartialEq)]
pub struct Failure {
    pub at_us: u64,
    pub killed: usize,
    pub slowed: usize,
    /// Multiplies the time of each step of the slowed engine.
    pub factor: f64,
}

/// One simulated run.
#[derive(Debug, Clone, PartialEq)]
pub struct SimConfig {
    pub engines: usize,
    pub engine: EngineConfig,
    /// Offered load as a part of capacity; for the report only.
    pub load: f64,
    pub failure: Option<Failure>,
    pub sample_memory: bool,
}

/// Runs one policy on recorded arrivals.
pub fn simulate(
    config: &SimConfig,
    workload: &Workload,
    named: &NamedPolicy,
    typical_concurrency: u32,
) -> Recorder {
    let setup = Setup {
        engines: config.engines,
        engine: config.engine.clone(),
        typical_concurrency,
        seed: workload.seed,
    };
    let policy = (named.make)(&setup);
    run::Run::new(config, workload, &named.name, policy).run()
}

/// What one engine can do with a mix, from mean sizes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Capacity {
    /// Jobs at once: as many as the batch takes, or whose mean memory fits.
    pub concurrency: f64,
    /// Requests of the mix, service calls included.
    pub requests_per_s: f64,
}

/// Returns the capacity of an engine for a mix, without preemptions and without idle time.
#[allow(clippy::cast_precision_loss)]
pub fn capacity(mix: Mix, engine: &EngineConfig, length_scale: f64) -> Capacity {
    let sample = Workload::draw(&WorkloadOptions {
        mix,
        seed: SAMPLE_SEED,
        requests_per_s: 1.0,
        duration_ms: SAMPLE_MS,
        length_scale,
        even_traffic: false,
    });
    let (mut output, mut footprint, mut prompt) = (0.0, 0.0, 0.0);
    for arrival in &sample.arrivals {
        let length = f64::from(arrival.output_tokens());
        output += length;
        // Memory times tokens of time: the prompt is held throughout, the output grows.
        footprint += length * (f64::from(arrival.prompt_tokens) + length / 2.0);
        prompt += f64::from(arrival.prompt_tokens - arrival.prefix_tokens);
    }
    let fitting = engine.capacity_tokens as f64 * output / footprint;
    let concurrency = fitting.min(f64::from(engine.max_batch)).max(1.0);
    let half_step_s = engine.step_us as f64 / 2e6;
    let step_s = half_step_s * (1.0 + concurrency / f64::from(engine.max_batch));
    let busy_s = output * step_s / concurrency + prompt / engine.prompt_tokens_per_s as f64;
    Capacity {
        concurrency,
        requests_per_s: sample.arrivals.len() as f64 / busy_s,
    }
}

/// A comparison of policies over loads, mixes and seeds.
#[derive(Debug, Clone, PartialEq)]
pub struct Comparison {
    pub mixes: Vec<Mix>,
    /// Offered loads as parts of capacity.
    pub loads: Vec<f64>,
    pub seeds: Vec<u64>,
    pub engines: usize,
    pub engine: EngineConfig,
    pub duration_ms: u64,
    pub length_scale: f64,
    pub even_traffic: bool,
    /// Kills engine 0 and slows engine 1 threefold halfway.
    pub failure: bool,
    pub threads: usize,
}

impl Comparison {
    /// Returns one merged result per mix, load and policy, in this order.
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
        let next = AtomicUsize::new(0);
        let results = Mutex::new(BTreeMap::new());
        std::thread::scope(|scope| {
            for _ in 0..self.threads.max(1) {
                scope.spawn(|| {
                    loop {
                        let index = next.fetch_add(1, Ordering::Relaxed);
                        let Some((mix, load, seed, capacity)) = cases.get(index) else {
                            return;
                        };
                        let recorders = self.run_case(*mix, *load, *seed, *capacity, policies);
                        let mut results = results.lock().expect("no run panicked");
                        results.insert(index, recorders);
                    }
                });
            }
        });
        let results = results.into_inner().expect("no run panicked");
        merge(results.into_values(), self.seeds.len())
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
                killed: 0,
                slowed: 1,
                factor: 3.0,
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

/// Merges the runs of consecutive seeds, policy by policy.
fn merge(cases: impl Iterator<Item = Vec<Recorder>>, seeds: usize) -> Vec<Recorder> {
    let mut merged: Vec<Recorder> = Vec::new();
    for (index, case) in cases.enumerate() {
        if index % seeds.max(1) == 0 {
            merged.extend(case);
            continue;
        }
        let first = merged.len() - case.len();
        for (sum, one) in merged[first..].iter_mut().zip(&case) {
            sum.merge(one);
        }
    }
    merged
}

/// Returns the hashes of the shared part of each prompt; the rest of a prompt never comes again.
fn prefixes(workload: &Workload) -> Vec<Vec<u64>> {
    let mut known: BTreeMap<(usize, usize), Vec<u64>> = BTreeMap::new();
    workload
        .arrivals
        .iter()
        .map(|arrival| {
            known
                .entry((arrival.workspace, arrival.kind))
                .or_insert_with(|| tokens::prefix_hashes(&workload.prefix(arrival)))
                .clone()
        })
        .collect()
}
