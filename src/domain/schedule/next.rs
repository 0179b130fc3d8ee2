//! Computes the actions that are due: refusals, stops and starts.

use super::job::{Job, JobState};
use super::progress::worst_case_tokens;
use super::scheduler::{Scheduler, refusal};
use super::{Action, Admission, Forecast, engine_priority};
use crate::model::{GenerationId, RefusalCode};
use crate::rpc::sidecar::Lane;

/// Time between two checks for queued requests that can no longer meet their deadline.
const EXPIRE_INTERVAL_MS: u64 = 100;

impl Scheduler {
    /// Returns the actions that are due now, in the order in which to carry them out.
    pub fn next(&mut self, now_ms: u64) -> Vec<Action> {
        self.advance(now_ms);
        let mut actions = Vec::new();
        if now_ms >= self.expiry_checked_at_ms + EXPIRE_INTERVAL_MS {
            self.expiry_checked_at_ms = now_ms;
            self.refuse_expired(now_ms, &mut actions);
        }
        if self.policy.preempts {
            self.preempt_for_memory(now_ms, &mut actions);
        }
        let has_queued = !self.queues.small.is_empty() || !self.queues.long.is_empty();
        if has_queued {
            self.start_queued(now_ms, &mut actions);
        }
        actions
    }

    fn refuse_expired(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        let is_expired = |job: &&Job| {
            let service_ms = match self.policy.refuses_early {
                true => self.service_ms(job.request.lane, job.median_tokens),
                false => 0,
            };
            job.state == JobState::Queued && job.request.deadline_ms < now_ms + service_ms
        };
        let expired: Vec<_> = self.jobs.values().filter(is_expired).cloned().collect();
        for job in expired {
            let entry = self.queue_entry(&job);
            self.lane_queue(job.request.lane).remove(&entry);
            self.remove_job(job.request.id);
            let waited_ms = now_ms.saturating_sub(job.queued_at_ms);
            let message = format!("waited {waited_ms} ms; the rest of the time is too short");
            actions.push(Action::Refuse {
                id: job.request.id,
                refusal: refusal(RefusalCode::DeadlineExceeded, &message, None),
                ran: job.was_started,
            });
        }
    }

    /// Stops runs that have sent nothing to the client until the others fit into memory.
    ///
    /// Runs that have sent output are never stopped here: that would lose the output, while an
    /// engine that runs out of memory only delays it.
    fn preempt_for_memory(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        let mut excess_tokens = self.overflow_tokens();
        let is_stopping = |job: &&Job| job.state == JobState::Stopping;
        let pending_tokens: u64 = self
            .jobs
            .values()
            .filter(is_stopping)
            .map(Job::memory_tokens)
            .sum();
        excess_tokens = excess_tokens.saturating_sub(pending_tokens);
        self.overflow_checked_at_ms = (excess_tokens > 0).then_some(now_ms);
        if excess_tokens == 0 {
            return;
        }
        let mut running = self.running.small + self.running.long;
        for id in self.preemption_candidates() {
            // A single remaining run may use the whole memory.
            if excess_tokens == 0 || running <= 1 {
                return;
            }
            if let Some(job) = self.jobs.get_mut(&id) {
                job.state = JobState::Stopping;
                excess_tokens = excess_tokens.saturating_sub(job.memory_tokens());
                running -= 1;
                actions.push(Action::Stop { id });
            }
        }
    }

    fn start_queued(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        let mut forecasts = self.forecasts(now_ms);
        for lane in [Lane::Small, Lane::Long] {
            while let Some(id) = self.queues.of(lane).first(&self.shares) {
                let Some(job) = self.jobs.get(&id) else {
                    break;
                };
                let mut with_job = forecasts.clone();
                with_job.add(job);
                if !self.admits(job, &with_job) {
                    break;
                }
                forecasts = with_job;
                actions.push(self.start_job(now_ms, id, lane));
            }
        }
    }

    fn start_job(&mut self, now_ms: u64, id: GenerationId, queue: Lane) -> Action {
        let mut waited_ms = 0;
        let mut priority = 0;
        let mut lane = queue;
        if let Some(job) = self.jobs.get(&id) {
            waited_ms = now_ms.saturating_sub(job.queued_at_ms);
            lane = job.request.lane;
            priority = match self.policy.fair {
                true => engine_priority(lane, job.request.priority),
                false => job.request.priority.min(9),
            };
            let entry = self.queue_entry(job);
            self.queues.of_mut(queue).remove(&entry);
        }
        self.set_running(id);
        Action::Start {
            id,
            engine_priority: priority,
            waited_ms,
            lane,
        }
    }

    fn admits(&self, job: &Job, forecasts: &Forecasts) -> bool {
        let running = self.running.small + self.running.long;
        if running == 0 {
            return true;
        }
        let mut candidate_only = Forecasts::default();
        candidate_only.add(job);
        let candidate = match job.request.lane {
            Lane::Long => &candidate_only.long,
            Lane::Small => &candidate_only.small,
        };
        (self.policy.admits)(&Admission {
            capacity_tokens: self.config.capacity_tokens,
            reserved_tokens: self.reserved_tokens(),
            max_running: self.config.max_running,
            reserved_slots: self.reserved_slots(),
            running,
            running_long: self.running.long,
            used_tokens: self.used_tokens.small + self.used_tokens.long,
            worst_case_tokens: self.worst_case_tokens,
            lane: job.request.lane,
            candidate_worst_tokens: worst_case_tokens(&job.request),
            candidate_tokens: job.memory_tokens() + 1,
            candidate,
            long: &forecasts.long,
            small: &forecasts.small,
        })
    }

    /// Returns the forecasts of all generations that hold memory, with current length estimates.
    fn forecasts(&mut self, now_ms: u64) -> Forecasts {
        let mut forecasts = Forecasts::default();
        if !self.policy.fair {
            return forecasts;
        }
        let ids: Vec<_> = self.jobs.keys().copied().collect();
        for id in ids {
            let Some(job) = self
                .jobs
                .get(&id)
                .filter(|job| job.state != JobState::Queued)
            else {
                continue;
            };
            let request = &job.request;
            let (workspace, kind) = (request.workspace.clone(), request.kind.clone());
            let curve = self.curve(now_ms, &workspace, &kind);
            if let Some(job) = self.jobs.get_mut(&id) {
                job.curve = curve;
                forecasts.add(job);
            }
        }
        forecasts
    }
}

/// The memory forecast of each lane.
#[derive(Debug, Clone, Default)]
struct Forecasts {
    long: Forecast,
    small: Forecast,
}

impl Forecasts {
    fn add(&mut self, job: &Job) {
        let Job {
            request,
            curve,
            produced_tokens,
            ..
        } = job;
        let forecast = match request.lane {
            Lane::Long => &mut self.long,
            Lane::Small => &mut self.small,
        };
        forecast.add(
            curve,
            request.prompt_tokens,
            *produced_tokens,
            request.max_tokens,
        );
    }
}
