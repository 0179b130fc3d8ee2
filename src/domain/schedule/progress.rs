//! What the engine reports of running generations.

use super::job::{Job, JobState};
use super::scheduler::{Scheduler, to_f64};
use super::{Ended, Request};
use crate::model::GenerationId;
use crate::rpc::sidecar::Lane;

/// Tokens that each running generation may still produce until a stop takes effect.
pub(super) const GUARD_STEPS: u64 = 4;
/// Shortest time between two calls of `next` for an overflow that lasts.
const OVERFLOW_INTERVAL_MS: u64 = 10;
/// The remembered peak of small calls' memory falls by a factor of e in this time, so that a
/// reserve outlives the pauses between bursts.
const PEAK_DECAY_MS: f64 = 60_000.0;

impl Scheduler {
    /// Counts a token of a running generation. Returns true if memory is about to overflow, so
    /// that `next` should be called now.
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
            .overflow_at_ms
            .is_none_or(|at_ms| now_ms >= at_ms + OVERFLOW_INTERVAL_MS);
        self.policy.preempts && due && self.overflow_tokens() > 0
    }

    /// Notes that tokens of a generation were given out.
    pub fn on_shown(&mut self, id: GenerationId) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.output_sent = true;
        }
    }

    /// Notes that a run has ended and its memory is free.
    pub fn on_end(&mut self, now_ms: u64, id: GenerationId, ended: Ended) {
        self.advance(now_ms);
        if self
            .jobs
            .get(&id)
            .is_none_or(|job| job.state == JobState::Queued)
        {
            return;
        }
        self.free(id);
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        // What was charged in advance and not produced is given back.
        let unused = f64::from(job.charged_tokens) - f64::from(job.produced_tokens);
        self.shares.charge(&job.request.workspace, -unused);
        let Some(job) = self.forget(id) else {
            return;
        };
        if ended == Ended::Complete {
            let Request {
                workspace, kind, ..
            } = &job.request;
            self.estimator.observe(workspace, kind, job.produced_tokens);
        }
    }

    /// Notes that the engine has freed the memory of a stopped run. The request waits again, in
    /// front of all others; the workspace is not charged for the lost tokens.
    pub fn on_stopped(&mut self, now_ms: u64, id: GenerationId) {
        self.advance(now_ms);
        if self
            .jobs
            .get(&id)
            .is_none_or(|job| job.state != JobState::Stopping)
        {
            return;
        }
        self.free(id);
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
        let place = self.place(&job);
        self.lane_queue(lane).push_front(place);
    }

    /// Takes a stop back: tokens were given out before it was carried out.
    pub fn on_stop_refused(&mut self, id: GenerationId) {
        if let Some(job) = self.jobs.get_mut(&id)
            && job.state == JobState::Stopping
        {
            job.state = JobState::Running;
            job.output_sent = true;
        }
    }

    /// Returns by how many tokens memory is about to overflow, when all stops have taken effect.
    pub(super) fn overflow_tokens(&self) -> u64 {
        let used = self.used_tokens.small + self.used_tokens.long;
        let running = u64::from(self.running.small + self.running.long);
        let need = used + running * GUARD_STEPS;
        need.saturating_sub(self.config.capacity_tokens)
    }

    /// Marks a job as running and accounts for its memory and share.
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
        self.shares.serve(&workspace);
        self.shares.charge(&workspace, charged);
    }

    fn free(&mut self, id: GenerationId) {
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
            let factor = (-passed_ms / PEAK_DECAY_MS).exp();
            self.small_peak_tokens *= factor;
            self.small_peak_slots *= factor;
        }
        let used = to_f64(self.used_tokens.small);
        self.small_peak_tokens = self.small_peak_tokens.max(used);
        let slots = f64::from(self.running.small);
        self.small_peak_slots = self.small_peak_slots.max(slots);
    }

    /// Returns the slots kept for small calls: one more than they used lately, at most an
    /// eighth of all, but never all.
    pub(super) fn reserved_slots(&self) -> u32 {
        let most = (self.config.max_running / 8).max(1);
        // The peak lies between zero and the number of slots; the fraction does not matter.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let lately = self.small_peak_slots.ceil() as u32;
        (lately + 1).min(most).min(self.config.max_running - 1)
    }

    /// Returns the memory kept for small calls: somewhat more than they used lately, between a
    /// fiftieth and an eighth of all.
    pub(super) fn reserved_tokens(&self) -> u64 {
        let capacity = self.config.capacity_tokens;
        // The peak lies between zero and the capacity; the fraction does not matter.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let peak = (self.small_peak_tokens * 1.25) as u64;
        peak.clamp(capacity / 50, capacity / 8)
    }

    /// Returns the jobs that may be stopped, the one with the least work lost first; long ones
    /// go before small ones, which must not pay for them.
    pub(super) fn victims(&self) -> Vec<GenerationId> {
        let unseen = |job: &&Job| job.state == JobState::Running && !job.output_sent;
        let mut victims: Vec<_> = self.jobs.values().filter(unseen).collect();
        victims.sort_by_key(|job| {
            let small = job.request.lane == Lane::Small;
            (
                small,
                job.produced_tokens,
                job.request.prompt_tokens,
                job.sequence,
            )
        });
        victims.iter().map(|job| job.request.id).collect()
    }
}

/// Returns the memory that a request could need at most.
pub(super) fn worst_case_tokens(request: &Request) -> u64 {
    u64::from(request.prompt_tokens) + u64::from(request.max_tokens)
}
