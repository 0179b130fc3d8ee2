//! A simulated engine with discrete steps. It drives a scheduler and checks it after each step.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use lilacspindle::domain::schedule::{
    Action, Decision, Ended, Policy, Request, Scheduler, SchedulerConfig,
};
use lilacspindle::model::{GenerationId, WorkspaceName};
use lilacspindle::rpc::sidecar::Lane;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Time of a decoding step with a full batch; half of it does not depend on the batch size. This
/// and the following values are the defaults of the built-in engine stand-in.
pub const STEP_MS: u64 = 10;
/// Prompt tokens processed per millisecond.
const PROMPT_PER_MS: u64 = 50;
/// Prompt tokens processed in one step at most.
const PROMPT_CHUNK: u32 = 512;

/// Returns the number of seeds from `LILAC_SEEDS`, or `default` if it is not set.
pub fn seed_count(default: u64) -> u64 {
    let seed_count = std::env::var("LILAC_SEEDS").ok();
    seed_count
        .and_then(|text| text.parse().ok())
        .unwrap_or(default)
}

/// Draws an output length from a log-normal distribution, limited to 1 to 8,000 tokens.
pub fn random_length(rng: &mut StdRng, median: f64, sigma: f64) -> u32 {
    let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
    let angle: f64 = rng.random_range(0.0..std::f64::consts::TAU);
    let normal = (-2.0 * uniform.ln()).sqrt() * angle.cos();
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let length = (median * (sigma * normal).exp()).clamp(1.0, 8_000.0) as u32;
    length
}

struct Run {
    produced: u32,
    /// Prompt and recomputed tokens still to be processed before the next token.
    unprocessed: u32,
    /// Waits without memory until the other runs leave enough of it.
    preempted: bool,
    /// The engine's order: by priority, then by admission.
    rank: (u8, u64),
}

struct Submitted {
    request: Request,
    length: u32,
    /// Each token is sent to the client as soon as it is produced.
    streams: bool,
    arrived_at_ms: u64,
    started: bool,
}

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    Complete,
    Refused,
    NotRun,
    Cancelled,
}

pub struct Sim {
    pub now_ms: u64,
    now_us: u64,
    pub scheduler: Scheduler,
    capacity_tokens: u64,
    max_batch: u32,
    pub rng: StdRng,
    next_id: u128,
    requests: BTreeMap<GenerationId, Submitted>,
    open_count: BTreeMap<WorkspaceName, usize>,
    runs: BTreeMap<GenerationId, Run>,
    stopping: VecDeque<(u64, GenerationId)>,
    admissions: u64,
    pub outcomes: BTreeMap<GenerationId, Outcome>,
    pub started: BTreeSet<GenerationId>,
    pub tokens: BTreeMap<WorkspaceName, u64>,
    /// Number of preemptions by the engine itself.
    pub engine_preemptions: u32,
    pub stops: u32,
    /// Tokens of complete outputs.
    pub good_tokens: u64,
    /// Times from the submission to the end of complete requests, by lane.
    pub latency_ms: BTreeMap<Lane, Vec<u64>>,
}

impl Sim {
    pub fn new(seed: u64, config: SchedulerConfig, policy: Policy) -> Self {
        Self {
            now_ms: 1_000,
            now_us: 1_000_000,
            capacity_tokens: config.capacity_tokens,
            max_batch: config.max_running,
            scheduler: Scheduler::new(config, policy),
            rng: StdRng::seed_from_u64(seed),
            next_id: 1,
            requests: BTreeMap::new(),
            open_count: BTreeMap::new(),
            runs: BTreeMap::new(),
            stopping: VecDeque::new(),
            admissions: 0,
            outcomes: BTreeMap::new(),
            started: BTreeSet::new(),
            tokens: BTreeMap::new(),
            engine_preemptions: 0,
            stops: 0,
            good_tokens: 0,
            latency_ms: BTreeMap::new(),
        }
    }

    pub fn request(&mut self, workspace: &str, lane: Lane) -> Request {
        let id = GenerationId(self.next_id);
        self.next_id += 1;
        Request {
            id,
            workspace: workspace.into(),
            kind: match lane {
                Lane::Small => "hint".into(),
                Lane::Long => "essay".into(),
            },
            lane,
            weight: 1,
            prompt_tokens: 100,
            max_tokens: 8_000,
            priority: 5,
            deadline_ms: self.now_ms + 600_000,
            served_elsewhere_tokens: 0,
        }
    }

    pub fn submit(&mut self, request: Request, length: u32, streams: bool) -> bool {
        let id = request.id;
        let decision = self.scheduler.submit(self.now_ms, request.clone());
        let submitted = Submitted {
            length: length.min(request.max_tokens),
            request,
            streams,
            arrived_at_ms: self.now_ms,
            started: false,
        };
        *self
            .open_count
            .entry(submitted.request.workspace.clone())
            .or_default() += 1;
        self.requests.insert(id, submitted);
        match decision {
            Decision::Queued => {
                self.apply_actions();
                true
            }
            Decision::Refused(_) => {
                self.end(id, Outcome::NotRun);
                false
            }
        }
    }

    /// Cancels a queued or running request.
    pub fn cancel(&mut self, id: GenerationId) {
        if self.scheduler.cancel(self.now_ms, id) {
            self.end(id, Outcome::Cancelled);
        } else if self.runs.remove(&id).is_some() {
            self.scheduler.on_end(self.now_ms, id, Ended::Incomplete);
            self.end(id, Outcome::Cancelled);
        }
        self.apply_actions();
    }

    pub fn open(&self) -> Vec<GenerationId> {
        let open = |id: &&GenerationId| !self.outcomes.contains_key(id);
        self.requests.keys().filter(open).copied().collect()
    }

    pub fn open_of(&self, workspace: &str) -> usize {
        self.open_count.get(workspace).copied().unwrap_or(0)
    }

    fn end(&mut self, id: GenerationId, outcome: Outcome) {
        assert!(
            self.outcomes.insert(id, outcome).is_none(),
            "{id} ended twice"
        );
        let workspace = &self.requests[&id].request.workspace;
        *self.open_count.get_mut(workspace).unwrap() -= 1;
        if outcome == Outcome::NotRun {
            assert!(
                !self.started.contains(&id),
                "{id} is reported as not run but was started"
            );
        }
    }

    pub fn apply_actions(&mut self) {
        for action in self.scheduler.next(self.now_ms) {
            match action {
                Action::Start {
                    id,
                    engine_priority,
                    ..
                } => {
                    assert!(
                        !self.outcomes.contains_key(&id),
                        "{id} is started after its end"
                    );
                    self.started.insert(id);
                    self.requests.get_mut(&id).unwrap().started = true;
                    self.admissions += 1;
                    let run = Run {
                        produced: 0,
                        unprocessed: self.requests[&id].request.prompt_tokens,
                        preempted: false,
                        rank: (9 - engine_priority, self.admissions),
                    };
                    assert!(
                        self.runs.insert(id, run).is_none(),
                        "{id} is started while it runs"
                    );
                }
                Action::Stop { id } => {
                    let submitted = &self.requests[&id];
                    assert!(
                        !submitted.streams || self.runs[&id].produced == 0,
                        "{id} is stopped after it sent output"
                    );
                    self.stops += 1;
                    self.stopping.push_back((self.now_ms + STEP_MS, id));
                }
                Action::Refuse { id, ran, .. } => {
                    assert_eq!(ran, self.requests[&id].started);
                    let outcome = if ran {
                        Outcome::Refused
                    } else {
                        Outcome::NotRun
                    };
                    self.end(id, outcome);
                }
            }
        }
        self.check();
    }

    /// Simulates one decoding step.
    pub fn step(&mut self) {
        while let Some((at_ms, id)) = self.stopping.front().copied()
            && at_ms <= self.now_ms
        {
            self.stopping.pop_front();
            if self.runs.remove(&id).is_some() {
                self.scheduler.on_stopped(self.now_ms, id);
            }
        }
        let decoding = self.schedule_step();
        for id in decoding {
            let run = self.runs.get_mut(&id).unwrap();
            run.produced += 1;
            let produced = run.produced;
            self.produce_token(id, produced);
        }
        self.apply_actions();
    }

    /// Processes prompts and advances the time; returns the runs that produce a token.
    fn process(&mut self, order: &[GenerationId], batch: u32) -> Vec<GenerationId> {
        let mut budget = PROMPT_CHUNK;
        let mut decoding = Vec::new();
        for id in order {
            let run = self.runs.get_mut(id).unwrap();
            match run.unprocessed {
                _ if run.preempted => {}
                0 => decoding.push(*id),
                unprocessed => {
                    let chunk = unprocessed.min(budget);
                    run.unprocessed -= chunk;
                    budget -= chunk;
                }
            }
        }
        let processed = u64::from(PROMPT_CHUNK - budget);
        let batch_us = STEP_MS * 500 * u64::from(batch) / u64::from(self.max_batch);
        self.now_us += STEP_MS * 500 + batch_us + processed * 1_000 / PROMPT_PER_MS;
        self.now_ms = self.now_us / 1_000;
        decoding
    }

    fn produce_token(&mut self, id: GenerationId, produced: u32) {
        let submitted = &self.requests[&id];
        let (length, streams) = (submitted.length, submitted.streams);
        let workspace = submitted.request.workspace.clone();
        *self.tokens.entry(workspace).or_default() += 1;
        if streams {
            self.scheduler.on_shown(id);
        }
        if self.scheduler.on_token(self.now_ms, id) {
            self.apply_actions();
        }
        if produced >= length && self.runs.remove(&id).is_some() {
            let submitted = &self.requests[&id];
            let latency_ms = self.now_ms - submitted.arrived_at_ms;
            let lane = submitted.request.lane;
            self.latency_ms.entry(lane).or_default().push(latency_ms);
            self.good_tokens += u64::from(length);
            self.scheduler.on_end(self.now_ms, id, Ended::Complete);
            self.end(id, Outcome::Complete);
        }
    }

    /// Preempts runs, the last in the engine's order first, until the next step fits into memory,
    /// and resumes preempted ones that fit again. Returns the runs that produce a token.
    fn schedule_step(&mut self) -> Vec<GenerationId> {
        let size = |requests: &BTreeMap<_, Submitted>, id: &GenerationId, run: &Run| {
            u64::from(requests[id].request.prompt_tokens + run.produced) + 1
        };
        let mut order: Vec<_> = self.runs.iter().map(|(id, run)| (run.rank, *id)).collect();
        order.sort_unstable();
        let order: Vec<_> = order.into_iter().map(|(_, id)| id).collect();
        let (mut used, mut batch) = (0, 0);
        for id in &order {
            let run = self.runs.get_mut(id).unwrap();
            used += size(&self.requests, id, run);
            let fits = used <= self.capacity_tokens && batch < self.max_batch;
            if !fits && !run.preempted && run.produced > 0 {
                self.engine_preemptions += 1;
            }
            if !fits {
                run.unprocessed = self.requests[id].request.prompt_tokens + run.produced;
            }
            run.preempted = !fits;
            match fits {
                true => batch += 1,
                false => used -= size(&self.requests, id, run),
            }
        }
        self.process(&order, batch)
    }

    /// Checks that the scheduler's load is exactly that of the simulated engine.
    fn check(&self) {
        let load = self.scheduler.load();
        let held = self.runs.iter().map(|(id, run)| {
            u64::from(self.requests[id].request.prompt_tokens) + u64::from(run.produced)
        });
        assert_eq!(load.used_tokens, held.sum::<u64>(), "used tokens");
        assert_eq!(load.running as usize, self.runs.len(), "running requests");
        let open = self.requests.len() - self.outcomes.len();
        assert_eq!(
            load.running as usize + load.queued as usize,
            open,
            "open requests"
        );
    }
}
