//! Handles what the engine reports about running generations.

use super::job::{Job, JobState};
use super::scheduler::{Scheduler, to_f64};
use super::{Ended, Request};
use crate::model::GenerationId;
use crate::rpc::sidecar::Lane;

/// Tokens that each running generation may still produce before a stop takes effect.
pub(super) const STOP_LATENCY_TOKENS: u64 = 4;
/// Shortest time between two preemption attempts while an overflow lasts.
const PREEMPT_INTERVAL_MS: u64 = 10;
/// Time constant of the exponential decay of the small lane's peaks. It is longer than the pauses
/// between bursts of small requests, so that the reserve outlasts them.
const PEAK_TIME_CONSTANT_MS: f64 = 60_000.0;

impl Scheduler {
    /// Counts one token of a running generation. Returns true if memory is about to overflow and
    /// `next` should be called now.
    pub fn on_token(&mut self, now_ms: u64, id: GenerationId) -> bool {
        let Some(job) = self.jobs.get_mut(&id) else {
            return false;
        };
        if job.state == JobState::Queued {
            return false;
        }
        let backlog_before = job.backlog_tokens();
        job.produced_tokens = job.produced_tokens.saturating_add(1);
        self.backlog_tokens = self.backlog_tokens + job.backlog_tokens() - backlog_before;
        if job.produced_tokens > job.charged_tokens {
            job.charged_tokens = job.produced_tokens;
            self.shares.charge(&job.request.workspace, 1.0);
        }
        let lane = job.request.lane;
        *self.used_tokens.of_mut(lane) += 1;
        self.advance(now_ms);
        self.meters.of_mut(lane).count();
        let due = self
            .overflow_checked_at_ms
            .is_none_or(|at_ms| now_ms >= at_ms + PREEMPT_INTERVAL_MS);
        self.policy.preempts && due && self.overflow_tokens() > 0
    }

    /// Records that tokens of a generation were sent to the client.
    pub fn on_shown(&mut self, id: GenerationId) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.output_sent = true;
        }
    }

    /// Records that a run has ended and that the engine has freed its memory.
    pub fn on_end(&mut self, now_ms: u64, id: GenerationId, ended: Ended) {
        self.advance(now_ms);
        if self
            .jobs
            .get(&id)
            .is_none_or(|job| job.state == JobState::Queued)
        {
            return;
        }
        self.release_memory(id);
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        // Refunds the tokens that were charged in advance and not produced.
        let unused_tokens = f64::from(job.charged_tokens) - f64::from(job.produced_tokens);
        self.shares.charge(&job.request.workspace, -unused_tokens);
        let Some(job) = self.remove_job(id) else {
            return;
        };
        if ended == Ended::Complete {
            let Request {
                workspace, kind, ..
            } = &job.request;
            self.estimator.observe(workspace, kind, job.produced_tokens);
        }
    }

    /// Records that the engine has freed the memory of a stopped run. The request is queued again
    /// ahead of all others that were not stopped; its workspace is not charged for the lost tokens.
    pub fn on_stopped(&mut self, now_ms: u64, id: GenerationId) {
        self.advance(now_ms);
        if self
            .jobs
            .get(&id)
            .is_none_or(|job| job.state != JobState::Stopping)
        {
            return;
        }
        self.release_memory(id);
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let charged = f64::from(std::mem::take(&mut job.charged_tokens));
        let backlog_before = job.backlog_tokens();
        job.produced_tokens = 0;
        job.state = JobState::Queued;
        job.queued_at_ms = now_ms;
        self.backlog_tokens = self.backlog_tokens + job.backlog_tokens() - backlog_before;
        let lane = job.request.lane;
        let job = job.clone();
        self.shares.charge(&job.request.workspace, -charged);
        let entry = self.queue_entry(&job);
        self.lane_queue(lane).push_preempted(entry);
    }

    /// Cancels a stop because tokens were sent to the client before the engine carried it out.
    pub fn on_stop_refused(&mut self, id: GenerationId) {
        if let Some(job) = self.jobs.get_mut(&id)
            && job.state == JobState::Stopping
        {
            job.state = JobState::Running;
            job.output_sent = true;
        }
    }

    /// Returns by how many tokens memory would exceed the capacity by the time that a stop takes
    /// effect.
    pub(super) fn overflow_tokens(&self) -> u64 {
        let used = self.used_tokens.small + self.used_tokens.long;
        let running = u64::from(self.running.small + self.running.long);
        let required_tokens = used + running * STOP_LATENCY_TOKENS;
        required_tokens.saturating_sub(self.config.capacity_tokens)
    }

    /// Marks a job as running and accounts for its memory and its workspace's share.
    pub(super) fn set_running(&mut self, id: GenerationId) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.state = JobState::Running;
        job.was_started = true;
        job.charged_tokens = job.expected_tokens;
        let lane = job.request.lane;
        *self.running.of_mut(lane) += 1;
        *self.used_tokens.of_mut(lane) += job.memory_tokens();
        self.worst_case_tokens += worst_case_tokens(&job.request);
        let workspace = job.request.workspace.clone();
        let charged = f64::from(job.charged_tokens);
        self.shares.advance_to(&workspace);
        self.shares.charge(&workspace, charged);
    }

    fn release_memory(&mut self, id: GenerationId) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let lane = job.request.lane;
        *self.running.of_mut(lane) -= 1;
        *self.used_tokens.of_mut(lane) -= job.memory_tokens();
        self.worst_case_tokens -= worst_case_tokens(&job.request);
    }

    pub(super) fn decay_small_peak(&mut self, now_ms: u64) {
        let passed_ms = to_f64(now_ms.saturating_sub(self.advanced_at_ms));
        self.advanced_at_ms = self.advanced_at_ms.max(now_ms);
        if passed_ms > 0.0 {
            let factor = (-passed_ms / PEAK_TIME_CONSTANT_MS).exp();
            self.small_peak_tokens *= factor;
            self.small_peak_slots *= factor;
        }
        let used = to_f64(self.used_tokens.small);
        self.small_peak_tokens = self.small_peak_tokens.max(used);
        let slots = f64::from(self.running.small);
        self.small_peak_slots = self.small_peak_slots.max(slots);
    }

    /// Returns the slots reserved for the small lane: one more than its recent peak, at most an
    /// eighth of all slots (rounded up to one), and never all of them.
    pub(super) fn reserved_slots(&self) -> u32 {
        let max_reserved = (self.config.max_running / 8).max(1);
        // The peak lies between zero and the number of slots; the fraction does not matter.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let recent_peak = self.small_peak_slots.ceil() as u32;
        (recent_peak + 1)
            .min(max_reserved)
            .min(self.config.max_running - 1)
    }

    /// Returns the memory reserved for the small lane: 1.25 times its recent peak, between a
    /// fiftieth and an eighth of the capacity.
    pub(super) fn reserved_tokens(&self) -> u64 {
        let capacity = self.config.capacity_tokens;
        // The peak lies between zero and the capacity; the fraction does not matter.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let peak = (self.small_peak_tokens * 1.25) as u64;
        peak.clamp(capacity / 50, capacity / 8)
    }

    /// Returns the running jobs that have sent nothing to the client, in the order in which they
    /// are to be stopped: long before small ones, which must not be stopped on account of long
    /// ones, and within a lane those first that lose the least work.
    pub(super) fn preemption_candidates(&self) -> Vec<GenerationId> {
        let is_preemptible = |job: &&Job| job.state == JobState::Running && !job.output_sent;
        let mut candidates: Vec<_> = self.jobs.values().filter(is_preemptible).collect();
        candidates.sort_by_key(|job| {
            let small = job.request.lane == Lane::Small;
            (
                small,
                job.produced_tokens,
                job.request.prompt_tokens,
                job.sequence,
            )
        });
        candidates.iter().map(|job| job.request.id).collect()
    }
}

/// Returns the most memory that a request can need.
pub(super) fn worst_case_tokens(request: &Request) -> u64 {
    u64::from(request.prompt_tokens) + u64::from(request.max_tokens)
}
