//! The scheduler's state, and the submission of requests up to their place in a queue.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::job::{Job, JobState};
use super::queue::{LaneQueue, QueueEntry};
use super::{Decision, Policy, RateMeter, Request, ScheduleLoad, Shares};
use crate::domain::length::{Estimator, SurvivalCurve};
use crate::model::{GenerationId, KindName, Refusal, RefusalCode, WorkspaceName};
use crate::rpc::sidecar::Lane;

/// Longest time between two calls of `next` while a request is queued.
pub const NEXT_INTERVAL_MS: u64 = 50;
/// Time for which the length curve of a workspace and kind is cached.
const CURVE_CACHE_MS: u64 = 1_000;
/// Smallest and largest `retry_after_ms` of a refusal.
const RETRY_AFTER_RANGE_MS: (u64, u64) = (100, 60_000);
/// `retry_after_ms` while the drain rate is not known yet.
const DEFAULT_RETRY_AFTER_MS: u64 = 1_000;

/// The size of one upstream and the limits of its queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SchedulerConfig {
    pub capacity_tokens: u64,
    /// Number of generations that the engine may run at the same time.
    pub max_running: u32,
    /// Number of requests that may wait at the same time, however short their expected wait.
    pub max_queued: usize,
    /// Longest expected wait in the long lane. A request that would wait longer is refused at
    /// once, so that it can be sent to another replica.
    pub long_wait_ms: u64,
    /// Longest expected wait in the small lane.
    pub small_wait_ms: u64,
}

impl SchedulerConfig {
    /// Returns the default limits for an upstream with the given capacity.
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

/// A value for each lane.
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

/// Decides which generations of one upstream start, wait, are stopped or are refused.
pub struct Scheduler {
    pub(super) config: SchedulerConfig,
    pub(super) policy: Policy,
    pub(super) jobs: BTreeMap<GenerationId, Job>,
    pub(super) queues: PerLane<LaneQueue>,
    pub(super) meters: PerLane<RateMeter>,
    pub(super) shares: Shares,
    pub(super) estimator: Estimator,
    curves: BTreeMap<(WorkspaceName, KindName), (u64, Arc<SurvivalCurve>)>,
    /// Memory held by running generations and by those being stopped.
    pub(super) used_tokens: PerLane<u64>,
    pub(super) running: PerLane<u32>,
    pub(super) worst_case_tokens: u64,
    pub(super) backlog_tokens: u64,
    /// Decaying peaks of the memory and the slots that the small lane held.
    pub(super) small_peak_tokens: f64,
    pub(super) small_peak_slots: f64,
    pub(super) advanced_at_ms: u64,
    /// When `next` last looked for queued requests that can no longer meet their deadline.
    pub(super) expiry_checked_at_ms: u64,
    /// When `next` last found memory about to overflow; `None` if its latest check found none.
    pub(super) overflow_checked_at_ms: Option<u64>,
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
            expiry_checked_at_ms: 0,
            overflow_checked_at_ms: None,
            sequence: 0,
        }
    }

    /// Queues a request, or refuses it if it cannot be served in time. An id that is already queued
    /// or running is refused as a `BadRequest`, and so is a prompt that exceeds the capacity.
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
        self.shares.add_request(&request.workspace, request.weight);
        self.charge_elsewhere(&request);
        let curve = self.curve(now_ms, &request.workspace, &request.kind);
        if let Some(refusal) = self.early_refusal(now_ms, &request, &curve) {
            self.shares.remove_request(&request.workspace);
            return Decision::Refused(refusal);
        }
        let job = self.new_job(now_ms, request, curve);
        self.backlog_tokens += job.backlog_tokens();
        let entry = self.queue_entry(&job);
        self.lane_queue(job.request.lane).push(&entry);
        self.jobs.insert(job.request.id, job);
        Decision::Queued
    }

    /// Adds a generation that the engine is already running, after a restart of this process. The
    /// caller reports its tokens again from the first one with `on_token`.
    pub fn adopt(&mut self, now_ms: u64, request: Request) {
        self.advance(now_ms);
        if self.jobs.contains_key(&request.id) {
            return;
        }
        self.shares.add_request(&request.workspace, request.weight);
        let curve = self.curve(now_ms, &request.workspace, &request.kind);
        let mut job = self.new_job(now_ms, request, curve);
        job.output_sent = true;
        self.backlog_tokens += job.backlog_tokens();
        let id = job.request.id;
        self.jobs.insert(id, job);
        self.set_running(id);
    }

    /// Removes a queued request. Returns false if the request is not queued.
    pub fn cancel(&mut self, now_ms: u64, id: GenerationId) -> bool {
        self.advance(now_ms);
        let is_queued = |job: &&Job| job.state == JobState::Queued;
        let Some(job) = self.jobs.get(&id).filter(is_queued) else {
            return false;
        };
        let entry = self.queue_entry(job);
        let lane = job.request.lane;
        self.lane_queue(lane).remove(&entry);
        self.remove_job(id);
        true
    }

    /// Returns the current load.
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

    /// Returns the estimated length distribution of a workspace and kind, cached for
    /// `CURVE_CACHE_MS`.
    pub(super) fn curve(
        &mut self,
        now_ms: u64,
        workspace: &WorkspaceName,
        kind: &KindName,
    ) -> Arc<SurvivalCurve> {
        let key = (workspace.clone(), kind.clone());
        match self.curves.get(&key) {
            Some((at_ms, curve)) if now_ms < at_ms + CURVE_CACHE_MS => Arc::clone(curve),
            _ => {
                let curve = Arc::new(self.estimator.curve(workspace, kind));
                let is_fresh = |at_ms: u64| now_ms < at_ms + CURVE_CACHE_MS;
                self.curves.retain(|_, (at_ms, _)| is_fresh(*at_ms));
                self.curves.insert(key, (now_ms, Arc::clone(&curve)));
                curve
            }
        }
    }

    /// Advances the rate meters and the decaying peaks to `now_ms`.
    pub(super) fn advance(&mut self, now_ms: u64) {
        let small_queued = !self.queues.small.is_empty();
        let long_queued = !self.queues.long.is_empty();
        let (small, long) = (self.running.small, self.running.long);
        self.meters.small.advance(now_ms, small, small_queued);
        self.meters.long.advance(now_ms, long, long_queued);
        self.decay_small_peak(now_ms);
    }

    /// Returns the queue of a lane. Without fairness all requests share the queue of the long lane.
    pub(super) fn lane_queue(&mut self, lane: Lane) -> &mut LaneQueue {
        match self.policy.fair {
            true => self.queues.of_mut(lane),
            false => &mut self.queues.long,
        }
    }

    /// Returns the queue entry of a job. Without fairness all entries share one workspace name and
    /// one deadline, so that the queue keeps the order of submission.
    pub(super) fn queue_entry(&self, job: &Job) -> QueueEntry {
        let fair = self.policy.fair;
        QueueEntry {
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

    /// Removes a job that is neither queued nor holding memory, together with its backlog and its
    /// part in the workspace's share.
    pub(super) fn remove_job(&mut self, id: GenerationId) -> Option<Job> {
        let job = self.jobs.remove(&id)?;
        self.backlog_tokens = self.backlog_tokens.saturating_sub(job.backlog_tokens());
        self.shares.remove_request(&job.request.workspace);
        Some(job)
    }

    /// Returns the time that a run of `tokens` tokens takes in a lane.
    pub(super) fn service_ms(&self, lane: Lane, tokens: u32) -> u64 {
        to_ms(f64::from(tokens) * self.meters.of(lane).token_ms())
    }

    fn new_job(&mut self, now_ms: u64, request: Request, curve: Arc<SurvivalCurve>) -> Job {
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
        // Bounded by the virtual time that passes here within the longest wait of the long lane.
        let rate = self.meters.small.tokens_per_s() + self.meters.long.tokens_per_s();
        let wait_ms = to_f64(self.config.long_wait_ms);
        let max_ahead = rate * wait_ms / 1_000.0 / self.shares.active_weight().max(1.0);
        let tokens = to_f64(request.served_elsewhere_tokens);
        self.shares
            .charge_elsewhere(&request.workspace, tokens, max_ahead);
    }

    /// Returns a refusal if the queue is full or the request would not be served in time.
    fn early_refusal(
        &self,
        now_ms: u64,
        request: &Request,
        curve: &SurvivalCurve,
    ) -> Option<Refusal> {
        let queued = self.queues.small.len() + self.queues.long.len();
        let wait_ms = self.expected_wait_ms(request);
        if queued >= self.config.max_queued {
            let retry_after_ms = wait_ms.unwrap_or(DEFAULT_RETRY_AFTER_MS);
            return Some(overload("the queue is full", retry_after_ms));
        }
        if !self.policy.refuses_early {
            return None;
        }
        let remaining_ms = request.deadline_ms.saturating_sub(now_ms);
        let median_tokens = curve.remaining(0, request.max_tokens, 0.5);
        let service_ms = self.service_ms(request.lane, median_tokens);
        if remaining_ms == 0 || service_ms > remaining_ms {
            let message =
                format!("the answer would take {service_ms} ms; {remaining_ms} ms are left");
            return Some(refusal(RefusalCode::DeadlineExceeded, &message, None));
        }
        let lane_limit_ms = match request.lane {
            Lane::Small => self.config.small_wait_ms,
            Lane::Long => self.config.long_wait_ms,
        };
        let limit_ms = lane_limit_ms.min(remaining_ms - service_ms);
        let wait_ms = wait_ms.filter(|wait_ms| *wait_ms > limit_ms)?;
        let message = format!("the queue takes {wait_ms} ms, the request can wait {limit_ms} ms");
        Some(overload(&message, wait_ms - limit_ms))
    }

    /// Returns the expected time until a request of the workspace would start, from the measured
    /// drain rate of the lane and the workspace's share, or `None` while the rate is unknown.
    fn expected_wait_ms(&self, request: &Request) -> Option<u64> {
        let queue = self.queues.of(request.lane);
        let rate = self.meters.of(request.lane).drain_tokens_per_s()?;
        let own_tokens = to_f64(queue.expected_tokens_of(&request.workspace));
        let own_s = own_tokens / (rate * self.shares.weight_fraction(&request.workspace));
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

fn overload(message: &str, retry_after_ms: u64) -> Refusal {
    let retry_after_ms = retry_after_ms.clamp(RETRY_AFTER_RANGE_MS.0, RETRY_AFTER_RANGE_MS.1);
    refusal(RefusalCode::Overload, message, Some(retry_after_ms))
}

/// Token counts and durations are far below 2^52, so the conversion is exact.
#[allow(clippy::cast_precision_loss)]
pub(super) fn to_f64(number: u64) -> f64 {
    number as f64
}

/// Drops the fraction; the conversion saturates.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn to_ms(ms: f64) -> u64 {
    ms as u64
}
