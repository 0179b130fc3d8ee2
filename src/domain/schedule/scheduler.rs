//! The scheduler: its state, and what happens to a request until it is queued.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::job::{Job, JobState};
use super::queue::{LaneQueue, Place};
use super::{Decision, Policy, RateMeter, Request, ScheduleLoad, Shares};
use crate::domain::length::{Curve, Estimator};
use crate::model::{GenerationId, KindName, Refusal, RefusalCode, WorkspaceName};
use crate::rpc::sidecar::Lane;

/// Longest time between calls of `next` while something is queued.
pub const NEXT_INTERVAL_MS: u64 = 50;
/// Learned lengths are looked up again after this time.
const CURVE_KEPT_MS: u64 = 1_000;
/// Bounds of `retry_after_ms`.
const RETRY_MS: (u64, u64) = (100, 60_000);
/// Retry time while the drain rate is not known yet.
const UNKNOWN_RETRY_MS: u64 = 1_000;

/// The size of one upstream, and how long its queue may get.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SchedulerConfig {
    pub capacity_tokens: u64,
    /// Generations at the engine at once.
    pub max_running: u32,
    /// Requests that wait at once, whatever the time they wait.
    pub max_queued: usize,
    /// Longest expected wait of a request in the long and in the small lane; a request that
    /// would wait longer is refused at once and finds another replica.
    pub long_wait_ms: u64,
    pub small_wait_ms: u64,
}

impl SchedulerConfig {
    /// Returns the usual limits for an upstream of a size.
    pub fn new(capacity_tokens: u64, max_running: u32) -> Self {
        Self {
            capacity_tokens,
            max_running: max_running.max(1),
            max_queued: usize::try_from(max_running).unwrap_or(1).max(16) * 16,
            long_wait_ms: 10_000,
            small_wait_ms: 2_000,
        }
    }
}

/// A number for each lane.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct PerLane<T> {
    pub(super) small: T,
    pub(super) long: T,
}

impl<T> PerLane<T> {
    pub(super) fn of(&self, lane: Lane) -> &T {
        match lane {
            Lane::Small => &self.small,
            Lane::Long => &self.long,
        }
    }

    pub(super) fn of_mut(&mut self, lane: Lane) -> &mut T {
        match lane {
            Lane::Small => &mut self.small,
            Lane::Long => &mut self.long,
        }
    }
}

/// Decides which generations of one upstream run, wait, stop or are refused.
pub struct Scheduler {
    pub(super) config: SchedulerConfig,
    pub(super) policy: Policy,
    pub(super) jobs: BTreeMap<GenerationId, Job>,
    pub(super) queues: PerLane<LaneQueue>,
    pub(super) meters: PerLane<RateMeter>,
    pub(super) shares: Shares,
    pub(super) estimator: Estimator,
    curves: BTreeMap<(WorkspaceName, KindName), (u64, Arc<Curve>)>,
    /// Memory held by running and stopping generations.
    pub(super) used_tokens: PerLane<u64>,
    pub(super) running: PerLane<u32>,
    pub(super) worst_case_tokens: u64,
    pub(super) backlog_tokens: u64,
    /// The most memory and slots that small calls held lately.
    pub(super) small_peak_tokens: f64,
    pub(super) small_peak_slots: f64,
    pub(super) advanced_at_ms: u64,
    pub(super) expired_at_ms: u64,
    pub(super) overflow_at_ms: Option<u64>,
    sequence: u64,
}

impl Scheduler {
    pub fn new(config: SchedulerConfig, policy: Policy) -> Self {
        Self {
            config,
            policy,
            jobs: BTreeMap::new(),
            queues: PerLane::default(),
            meters: PerLane::default(),
            shares: Shares::default(),
            estimator: Estimator::default(),
            curves: BTreeMap::new(),
            used_tokens: PerLane::default(),
            running: PerLane::default(),
            worst_case_tokens: 0,
            backlog_tokens: 0,
            small_peak_tokens: 0.0,
            small_peak_slots: 0.0,
            advanced_at_ms: 0,
            expired_at_ms: 0,
            overflow_at_ms: None,
            sequence: 0,
        }
    }

    /// Queues a request, or refuses it if it could not be served in time. An id may be submitted
    /// once; a repeat is a `BadRequest`.
    pub fn submit(&mut self, now_ms: u64, request: Request) -> Decision {
        self.advance(now_ms);
        if self.jobs.contains_key(&request.id) {
            return refused(RefusalCode::BadRequest, "the id is in use", None);
        }
        if u64::from(request.prompt_tokens) + 1 > self.config.capacity_tokens {
            let message = format!(
                "the prompt has {} tokens; the upstream has memory for {}",
                request.prompt_tokens, self.config.capacity_tokens
            );
            return refused(RefusalCode::BadRequest, &message, None);
        }
        self.shares.join(&request.workspace, request.weight);
        self.charge_elsewhere(&request);
        let curve = self.curve(now_ms, &request.workspace, &request.kind);
        if let Some(refusal) = self.too_late(now_ms, &request, &curve) {
            self.shares.leave(&request.workspace);
            return Decision::Refused(refusal);
        }
        let job = self.job(now_ms, request, curve);
        self.backlog_tokens += job.backlog_tokens();
        let place = self.place(&job);
        self.lane_queue(job.request.lane).push(&place);
        self.jobs.insert(job.request.id, job);
        Decision::Queued
    }

    /// Takes in a generation that the engine is already running, after a restart of this
    /// process. Its tokens are reported again from the first one.
    pub fn adopt(&mut self, now_ms: u64, request: Request) {
        self.advance(now_ms);
        if self.jobs.contains_key(&request.id) {
            return;
        }
        self.shares.join(&request.workspace, request.weight);
        let curve = self.curve(now_ms, &request.workspace, &request.kind);
        let mut job = self.job(now_ms, request, curve);
        job.output_sent = true;
        self.backlog_tokens += job.backlog_tokens();
        let id = job.request.id;
        self.jobs.insert(id, job);
        self.set_running(id);
    }

    /// Removes a request that waits. Returns false if it does not wait.
    pub fn cancel(&mut self, now_ms: u64, id: GenerationId) -> bool {
        self.advance(now_ms);
        let waits = |job: &&Job| job.state == JobState::Queued;
        let Some(job) = self.jobs.get(&id).filter(waits) else {
            return false;
        };
        let place = self.place(job);
        let lane = job.request.lane;
        self.lane_queue(lane).remove(&place);
        self.forget(id);
        true
    }

    /// Returns the load.
    pub fn load(&self) -> ScheduleLoad {
        let queued = self.queues.small.len() + self.queues.long.len();
        let rate = self.meters.small.tokens_per_s() + self.meters.long.tokens_per_s();
        // Rates are far below 2^32; the conversion only drops the fraction.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let tokens_per_s = rate as u32;
        ScheduleLoad {
            running: self.running.small + self.running.long,
            queued: u32::try_from(queued).unwrap_or(u32::MAX),
            used_tokens: self.used_tokens.small + self.used_tokens.long,
            capacity_tokens: self.config.capacity_tokens,
            backlog_tokens: self.backlog_tokens,
            tokens_per_s,
        }
    }

    /// Returns the time between two tokens of one generation in milliseconds; zero while unknown.
    pub fn token_ms(&self) -> f64 {
        let (small, long) = (self.meters.small.token_ms(), self.meters.long.token_ms());
        small.max(long)
    }

    /// Returns the learned lengths of a workspace and kind.
    pub(super) fn curve(
        &mut self,
        now_ms: u64,
        workspace: &WorkspaceName,
        kind: &KindName,
    ) -> Arc<Curve> {
        let key = (workspace.clone(), kind.clone());
        match self.curves.get(&key) {
            Some((at_ms, curve)) if now_ms < at_ms + CURVE_KEPT_MS => Arc::clone(curve),
            _ => {
                let curve = Arc::new(self.estimator.curve(workspace, kind));
                let kept = |at_ms: u64| now_ms < at_ms + CURVE_KEPT_MS;
                self.curves.retain(|_, (at_ms, _)| kept(*at_ms));
                self.curves.insert(key, (now_ms, Arc::clone(&curve)));
                curve
            }
        }
    }

    /// Notes the passing of time.
    pub(super) fn advance(&mut self, now_ms: u64) {
        let queued = (!self.queues.small.is_empty(), !self.queues.long.is_empty());
        let (small, long) = (self.running.small, self.running.long);
        self.meters.small.advance(now_ms, small, queued.0);
        self.meters.long.advance(now_ms, long, queued.1);
        self.decay_small_peak(now_ms);
    }

    /// Returns the queue for a lane; without fairness there is one queue.
    pub(super) fn lane_queue(&mut self, lane: Lane) -> &mut LaneQueue {
        match self.policy.fair {
            true => self.queues.of_mut(lane),
            false => &mut self.queues.long,
        }
    }

    /// Returns the place of a job in its queue.
    pub(super) fn place(&self, job: &Job) -> Place {
        let fair = self.policy.fair;
        Place {
            id: job.request.id,
            workspace: match fair {
                true => job.request.workspace.clone(),
                false => WorkspaceName::from(""),
            },
            deadline_ms: if fair { job.request.deadline_ms } else { 0 },
            sequence: job.sequence,
            expected_tokens: job.expected_tokens,
        }
    }

    /// Removes all traces of a job that is in no queue and holds no memory.
    pub(super) fn forget(&mut self, id: GenerationId) -> Option<Job> {
        let job = self.jobs.remove(&id)?;
        self.backlog_tokens = self.backlog_tokens.saturating_sub(job.backlog_tokens());
        self.shares.leave(&job.request.workspace);
        Some(job)
    }

    /// Returns the time that a run of some tokens takes in a lane.
    pub(super) fn service_ms(&self, lane: Lane, tokens: u32) -> u64 {
        to_ms(f64::from(tokens) * self.meters.of(lane).token_ms())
    }

    fn job(&mut self, now_ms: u64, request: Request, curve: Arc<Curve>) -> Job {
        self.sequence += 1;
        Job {
            median_tokens: curve.remaining(0, request.max_tokens, 0.5),
            expected_tokens: curve.expected(0, request.max_tokens).max(1),
            request,
            state: JobState::Queued,
            curve,
            queued_at_ms: now_ms,
            sequence: self.sequence,
            produced_tokens: 0,
            charged_tokens: 0,
            output_sent: false,
            was_started: false,
        }
    }

    fn charge_elsewhere(&mut self, request: &Request) {
        if request.served_elsewhere_tokens == 0 {
            return;
        }
        // As far as all workspaces together get within the longest wait of the lane.
        let rate = self.meters.small.tokens_per_s() + self.meters.long.tokens_per_s();
        let wait_ms = to_f64(self.config.long_wait_ms);
        let most = rate * wait_ms / 1_000.0 / self.shares.active_weight().max(1.0);
        let tokens = to_f64(request.served_elsewhere_tokens);
        self.shares
            .charge_elsewhere(&request.workspace, tokens, most);
    }

    /// Returns a refusal if the request would wait too long.
    fn too_late(&self, now_ms: u64, request: &Request, curve: &Curve) -> Option<Refusal> {
        let queued = self.queues.small.len() + self.queues.long.len();
        let wait_ms = self.wait_ms(request);
        if queued >= self.config.max_queued {
            let retry_ms = wait_ms.unwrap_or(UNKNOWN_RETRY_MS);
            return Some(overload("the queue is full", retry_ms));
        }
        if !self.policy.refuses_early {
            return None;
        }
        let left_ms = request.deadline_ms.saturating_sub(now_ms);
        let median_tokens = curve.remaining(0, request.max_tokens, 0.5);
        let service_ms = self.service_ms(request.lane, median_tokens);
        if left_ms == 0 || service_ms > left_ms {
            let message = format!("the answer would take {service_ms} ms; {left_ms} ms are left");
            return Some(refusal(RefusalCode::DeadlineExceeded, &message, None));
        }
        let lane_limit_ms = match request.lane {
            Lane::Small => self.config.small_wait_ms,
            Lane::Long => self.config.long_wait_ms,
        };
        let limit_ms = lane_limit_ms.min(left_ms - service_ms);
        let wait_ms = wait_ms.filter(|wait_ms| *wait_ms > limit_ms)?;
        let message = format!("the queue takes {wait_ms} ms, the request can wait {limit_ms} ms");
        Some(overload(&message, wait_ms - limit_ms))
    }

    /// Returns the time until a request of the workspace would start, from the measured drain
    /// rate of the lane and the workspace's share; none while the rate is unknown.
    fn wait_ms(&self, request: &Request) -> Option<u64> {
        let queue = self.queues.of(request.lane);
        let rate = self.meters.of(request.lane).drain_tokens_per_s()?;
        let own = to_f64(queue.expected_of(&request.workspace));
        let own_s = own / (rate * self.shares.part(&request.workspace));
        let all_s = to_f64(queue.expected_tokens()) / rate;
        Some(to_ms(own_s.min(all_s) * 1_000.0))
    }
}

pub(super) fn refusal(code: RefusalCode, message: &str, retry_after_ms: Option<u64>) -> Refusal {
    Refusal {
        code,
        message: message.to_owned(),
        retry_after_ms,
    }
}

fn refused(code: RefusalCode, message: &str, retry_after_ms: Option<u64>) -> Decision {
    Decision::Refused(refusal(code, message, retry_after_ms))
}

fn overload(message: &str, retry_ms: u64) -> Refusal {
    let retry_ms = retry_ms.clamp(RETRY_MS.0, RETRY_MS.1);
    refusal(RefusalCode::Overload, message, Some(retry_ms))
}

/// Token counts and durations are far below 2^52, so the conversion is exact.
#[allow(clippy::cast_precision_loss)]
pub(super) fn to_f64(number: u64) -> f64 {
    number as f64
}

/// The conversion drops the fraction, and saturates.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn to_ms(ms: f64) -> u64 {
    ms as u64
}
