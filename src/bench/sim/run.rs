//! The event loop of one simulated run: the arrivals of a workload, several engines and one policy.

// Some names differ only in their unit, such as `now_us` and `now_ms`.
#![allow(clippy::similar_names)]

use std::collections::BTreeSet;

use super::policy::{ArrivalDecision, EngineView, Job, JobEnd, Policy};
use super::{SimConfig, prompt_prefix_hashes};
use crate::bench::recorder::{Recorder, RequestOutcome, RequestTrace, measured_window_us};
use crate::bench::report::MemorySample;
use crate::bench::workload::Workload;
use crate::model::{KindName, WorkspaceName};
use crate::roles::standin::{Engine, Event, SequenceId, SequenceRequest};

/// The views of the engines' load are refreshed at this age.
const MAX_VIEW_AGE_US: u64 = 100_000;
/// Interval between samples of the engines' memory use.
const MEMORY_SAMPLE_INTERVAL_US: u64 = 1_000_000;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// Placed at no engine.
    Unplaced,
    Queued,
    Running,
    Paused,
    Ended,
}

struct JobState {
    job: Job,
    phase: Phase,
    engine: usize,
    sequence: Option<SequenceId>,
    trace: RequestTrace,
}

struct SimEngine {
    core: Engine,
    alive: bool,
    /// Job id by sequence id; element 0 is unused, as sequence ids start at 1.
    job_ids: Vec<u32>,
    queued: u32,
    running: u32,
    produced_tokens: u64,
    /// Value of `produced_tokens` when the views were last refreshed.
    viewed_tokens: u64,
}

pub(super) struct Run<'a> {
    config: &'a SimConfig,
    workload: &'a Workload,
    policy: Policy,
    recorder: Recorder,
    engines: Vec<SimEngine>,
    jobs: Vec<JobState>,
    prefix_hashes: Vec<Vec<u64>>,
    /// Deadline in milliseconds and id of each unfinished job.
    deadlines: BTreeSet<(u64, u32)>,
    views: Vec<EngineView>,
    /// `None` forces a refresh at the next placement.
    views_refreshed_us: Option<u64>,
    next_memory_sample_us: u64,
    /// Buffer that each step reuses.
    events: Vec<Event>,
    /// Number of jobs that have arrived and not ended.
    unfinished_jobs: usize,
}

impl<'a> Run<'a> {
    pub(super) fn new(
        config: &'a SimConfig,
        workload: &'a Workload,
        name: &str,
        policy: Policy,
    ) -> Self {
        let engines = (0..config.engines).map(|_| SimEngine {
            core: Engine::new(config.engine.clone()),
            alive: true,
            job_ids: vec![u32::MAX],
            queued: 0,
            running: 0,
            produced_tokens: 0,
            viewed_tokens: 0,
        });
        Self {
            config,
            workload,
            policy,
            recorder: Recorder::new(name, workload, config.load),
            engines: engines.collect(),
            jobs: job_states(workload),
            prefix_hashes: prompt_prefix_hashes(workload),
            deadlines: BTreeSet::new(),
            views: vec![EngineView::default(); config.engines],
            views_refreshed_us: None,
            next_memory_sample_us: 0,
            events: Vec::new(),
            unfinished_jobs: 0,
        }
    }

    /// Processes events in order of time until every job has ended. Events at the same time are
    /// processed in this order: fault, arrival, engine step, deadline.
    pub(super) fn run(mut self) -> Recorder {
        let mut arrivals = (0..self.jobs.len())
            .filter(|index| {
                let kind = self.workload.arrivals[*index].kind;
                self.workload.kinds[kind].is_model()
            })
            .collect::<Vec<_>>()
            .into_iter()
            .peekable();
        let mut failure = self.config.failure.clone();
        loop {
            let arrival_us = arrivals.peek().map(|i| self.workload.arrivals[*i].at_us);
            if arrival_us.is_none() && self.unfinished_jobs == 0 {
                break;
            }
            let step = self.next_step();
            let deadline_us = self.deadlines.first().map(|(at_ms, _)| at_ms * 1_000);
            let failure_us = failure.as_ref().map(|failure| failure.at_us);
            let times = [arrival_us, step.map(|(at, _)| at), deadline_us, failure_us];
            let Some(now_us) = times.into_iter().flatten().min() else {
                break;
            };
            self.sample_memory(now_us);
            if failure_us == Some(now_us) {
                if let Some(failure) = failure.take() {
                    self.engines[failure.slowed_engine]
                        .core
                        .set_slowdown(failure.slowdown);
                    self.kill_engine(now_us, failure.killed_engine);
                }
            } else if arrival_us == Some(now_us) {
                if let Some(index) = arrivals.next() {
                    self.on_arrival(now_us, index);
                }
            } else if let Some((at_us, engine)) = step.filter(|(at_us, _)| *at_us == now_us) {
                self.step_engine(at_us, engine);
            } else {
                self.expire_jobs(now_us);
            }
        }
        self.into_recorder()
    }

    fn into_recorder(mut self) -> Recorder {
        for engine in &self.engines {
            let counters = engine.core.counters();
            self.recorder.preemptions += counters.preemptions;
            self.recorder.recomputed_tokens += counters.recomputed_tokens;
        }
        self.recorder
    }

    /// Returns the time in microseconds and the engine of the earliest step that is due.
    fn next_step(&self) -> Option<(u64, usize)> {
        self.engines
            .iter()
            .enumerate()
            .filter(|(_, engine)| engine.alive)
            .filter_map(|(index, engine)| Some((engine.core.due_us()?, index)))
            .min()
    }

    fn on_arrival(&mut self, now_us: u64, index: usize) {
        let job = &self.jobs[index].job;
        self.deadlines.insert((job.deadline_ms, job.id));
        self.unfinished_jobs += 1;
        self.place(now_us, index);
    }

    fn place(&mut self, now_us: u64, index: usize) {
        self.refresh_views(now_us);
        let now_ms = now_us / 1_000;
        let job = &self.jobs[index].job;
        let Some(engine) = (self.policy.choose_engine)(now_ms, job, &self.views) else {
            self.end_job(now_us, index, RequestOutcome::NotRun);
            return;
        };
        if (self.policy.on_arrival)(now_ms, engine, job) == ArrivalDecision::Refuse {
            self.end_job(now_us, index, RequestOutcome::NotRun);
            return;
        }
        self.jobs[index].engine = engine;
        self.jobs[index].phase = Phase::Queued;
        self.engines[engine].queued += 1;
        self.apply_policy(now_us, engine);
    }

    /// Pauses and starts jobs of one engine as the policy decides.
    fn apply_policy(&mut self, now_us: u64, engine: usize) {
        let now_ms = now_us / 1_000;
        if !self.engines[engine].alive {
            return;
        }
        while let Some(victim) = (self.policy.next_victim)(now_ms, engine) {
            self.pause(victim as usize);
        }
        while let Some(start) = (self.policy.next_start)(now_ms, engine) {
            self.start(now_us, start.job as usize, start.priority);
        }
    }

    fn pause(&mut self, index: usize) {
        let state = &mut self.jobs[index];
        assert_eq!(
            state.phase,
            Phase::Running,
            "the policy paused job {index}, which is not running"
        );
        let engine = &mut self.engines[state.engine];
        if let Some(sequence) = state.sequence {
            engine.core.pause(sequence);
        }
        state.phase = Phase::Paused;
        engine.running -= 1;
        engine.queued += 1;
        let held_tokens = state.job.prompt_tokens + state.trace.tokens;
        self.recorder.preemptions += 1;
        self.recorder.recomputed_tokens += u64::from(held_tokens);
    }

    fn start(&mut self, now_us: u64, index: usize, priority: u8) {
        let state = &mut self.jobs[index];
        let engine = &mut self.engines[state.engine];
        match (state.phase, state.sequence) {
            (Phase::Paused, Some(sequence)) => {
                engine.core.unpause(now_us, sequence);
            }
            (Phase::Queued, None) => {
                let arrival = &self.workload.arrivals[index];
                let request = SequenceRequest {
                    priority,
                    prompt_tokens: arrival.prompt_tokens,
                    max_tokens: arrival.max_tokens,
                    target_tokens: arrival.target_tokens,
                    block_hashes: self.prefix_hashes[index].clone(),
                };
                let sequence = engine.core.submit(now_us, request);
                state.sequence = Some(sequence.expect("the prompt fits into the engine's memory"));
                engine.job_ids.push(state.job.id);
            }
            (phase, _) => panic!("the policy started job {index} in phase {phase:?}"),
        }
        state.phase = Phase::Running;
        engine.queued -= 1;
        engine.running += 1;
    }

    fn step_engine(&mut self, now_us: u64, engine: usize) {
        let now_ms = now_us / 1_000;
        let window_us = measured_window_us(self.workload);
        let mut events = std::mem::take(&mut self.events);
        self.engines[engine].core.step(now_us, &mut events);
        for event in events.drain(..) {
            match event {
                Event::Token { id, .. } => {
                    let job = self.job_index(engine, id);
                    self.engines[engine].produced_tokens += 1;
                    if let Some(gap_us) = self.jobs[job].trace.add_token(now_us, &window_us) {
                        self.recorder.record_token_gap(gap_us);
                    }
                    (self.policy.on_token)(now_ms, engine, self.jobs[job].job.id);
                }
                Event::End { id, produced, .. } => {
                    let job = self.job_index(engine, id);
                    assert_eq!(
                        produced, self.jobs[job].trace.tokens,
                        "job {job} has a different number of tokens than its engine produced"
                    );
                    self.remove_from_engine(now_us, job, JobEnd::Finished);
                    self.end_job(now_us, job, RequestOutcome::Complete);
                }
                Event::Preempted { id, .. } => {
                    let job = self.job_index(engine, id);
                    (self.policy.on_preempted)(now_ms, engine, self.jobs[job].job.id);
                }
            }
        }
        self.events = events;
        self.apply_policy(now_us, engine);
    }

    fn job_index(&self, engine: usize, id: SequenceId) -> usize {
        let position = usize::try_from(id.0).unwrap_or(usize::MAX);
        self.engines[engine].job_ids[position] as usize
    }

    /// Ends all jobs whose deadline has passed.
    fn expire_jobs(&mut self, now_us: u64) {
        while let Some((at_ms, id)) = self.deadlines.first().copied() {
            if at_ms * 1_000 > now_us {
                return;
            }
            self.deadlines.remove(&(at_ms, id));
            let index = id as usize;
            let engine = self.jobs[index].engine;
            if let Some(sequence) = self.jobs[index].sequence {
                self.engines[engine].core.cancel(sequence);
            }
            self.remove_from_engine(now_us, index, JobEnd::Deadline);
            self.end_job(now_us, index, self.unfinished_ending(index));
            self.apply_policy(now_us, engine);
        }
    }

    /// Removes an engine. Its jobs without output are placed again; the others are interrupted.
    fn kill_engine(&mut self, now_us: u64, engine: usize) {
        self.engines[engine].alive = false;
        self.views_refreshed_us = None;
        let lost: Vec<usize> = (0..self.jobs.len())
            .filter(|index| self.jobs[*index].engine == engine)
            .filter(|index| !matches!(self.jobs[*index].phase, Phase::Unplaced | Phase::Ended))
            .collect();
        for index in &lost {
            self.remove_from_engine(now_us, *index, JobEnd::Lost);
        }
        for index in lost {
            if self.jobs[index].trace.tokens > 0 {
                self.end_job(now_us, index, RequestOutcome::Interrupted);
            } else {
                self.place(now_us, index);
            }
        }
    }

    fn remove_from_engine(&mut self, now_us: u64, index: usize, reason: JobEnd) {
        let state = &mut self.jobs[index];
        let engine = &mut self.engines[state.engine];
        match state.phase {
            Phase::Running => engine.running -= 1,
            Phase::Queued | Phase::Paused => engine.queued -= 1,
            Phase::Unplaced | Phase::Ended => {}
        }
        state.phase = Phase::Unplaced;
        state.sequence = None;
        (self.policy.on_end)(now_us / 1_000, state.engine, state.job.id, reason);
    }

    /// Returns how a job ends that is cut off at its deadline.
    fn unfinished_ending(&self, index: usize) -> RequestOutcome {
        match self.jobs[index].trace.tokens {
            0 => RequestOutcome::Expired,
            _ => RequestOutcome::Interrupted,
        }
    }

    /// Closes a job's trace and records its result.
    fn end_job(&mut self, now_us: u64, index: usize, ending: RequestOutcome) {
        let state = &mut self.jobs[index];
        state.phase = Phase::Ended;
        state.trace.end(now_us);
        self.deadlines
            .remove(&(state.job.deadline_ms, state.job.id));
        self.unfinished_jobs -= 1;
        self.recorder
            .record_request(self.workload, index, &state.trace, ending, now_us);
    }

    #[allow(clippy::cast_precision_loss)]
    fn refresh_views(&mut self, now_us: u64) {
        let age_us = self
            .views_refreshed_us
            .map(|at_us| now_us.saturating_sub(at_us));
        if age_us.is_some_and(|age_us| age_us < MAX_VIEW_AGE_US) {
            return;
        }
        let elapsed_s = age_us.unwrap_or(MAX_VIEW_AGE_US) as f64 / 1e6;
        for (view, engine) in self.views.iter_mut().zip(&mut self.engines) {
            let load = engine.core.load();
            let tokens = engine.produced_tokens - engine.viewed_tokens;
            engine.viewed_tokens = engine.produced_tokens;
            *view = EngineView {
                alive: engine.alive,
                running: engine.running,
                queued: engine.queued,
                used_tokens: load.used_tokens,
                capacity_tokens: load.capacity_tokens,
                tokens_per_s: tokens as f64 / elapsed_s,
            };
        }
        self.views_refreshed_us = Some(now_us);
    }

    fn sample_memory(&mut self, now_us: u64) {
        if !self.config.sample_memory || now_us < self.next_memory_sample_us {
            return;
        }
        self.next_memory_sample_us = now_us + MEMORY_SAMPLE_INTERVAL_US;
        for (index, engine) in self.engines.iter().enumerate() {
            let load = engine.core.load();
            self.recorder.memory.push(MemorySample {
                at_ms: now_us / 1_000,
                engine: index,
                used_tokens: if engine.alive { load.used_tokens } else { 0 },
                capacity_tokens: load.capacity_tokens,
            });
        }
    }
}

fn job_states(workload: &Workload) -> Vec<JobState> {
    workload
        .arrivals
        .iter()
        .map(|arrival| {
            let kind = &workload.kinds[arrival.kind];
            let workspace = &workload.workspaces[arrival.workspace];
            let arrival_ms = arrival.at_us / 1_000;
            JobState {
                job: Job {
                    id: arrival.number,
                    arrival_ms,
                    workspace: WorkspaceName::from(workspace.name.as_str()),
                    weight: workspace.weight,
                    kind: KindName::from(kind.name.as_str()),
                    lane: kind.lane,
                    prompt_tokens: arrival.prompt_tokens,
                    max_tokens: arrival.max_tokens,
                    deadline_ms: arrival_ms + kind.deadline_ms,
                },
                phase: Phase::Unplaced,
                engine: 0,
                sequence: None,
                trace: RequestTrace {
                    start_us: arrival.at_us,
                    ..RequestTrace::default()
                },
            }
        })
        .collect()
}
