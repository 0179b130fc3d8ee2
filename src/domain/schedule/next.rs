//! The actions that are due: refusals, stops and starts.

use super::job::{Job, JobState};
use super::progress::worst_case_tokens;
use super::scheduler::{Scheduler, refusal};
use super::{Action, Admission, Forecast, engine_priority};
use crate::model::{GenerationId, RefusalCode};
use crate::rpc::sidecar::Lane;

/// Time between looks for queued requests whose deadline can no longer be met.
const EXPIRE_INTERVAL_MS: u64 = 100;

impl Scheduler {
    /// Returns what to do now.
    pub fn next(&mut self, now_ms: u64) -> Vec<Action> {
        self.advance(now_ms);
        let mut actions = Vec::new();
        if now_ms >= self.expired_at_ms + EXPIRE_INTERVAL_MS {
            self.expired_at_ms = now_ms;
            self.refuse_late(now_ms, &mut actions);
        }
        if self.policy.preempts {
            self.stop_for_memory(now_ms, &mut actions);
        }
        let waits = !self.queues.small.is_empty() || !self.queues.long.is_empty();
        if waits {
            self.start(now_ms, &mut actions);
        }
        actions
    }

    fn refuse_late(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        let late = |job: &&Job| {
            let service_ms = match self.policy.refuses_early {
                true => self.service_ms(job.request.lane, job.median_tokens),
                false => 0,
            };
            job.state == JobState::Queued && job.request.deadline_ms < now_ms + service_ms
        };
        let late: Vec<_> = self.jobs.values().filter(late).cloned().collect();
        for job in late {
            let place = self.place(&job);
            self.lane_queue(job.request.lane).remove(&place);
            self.forget(job.request.id);
            let waited_ms = now_ms.saturating_sub(job.queued_at_ms);
            let message = format!("waited {waited_ms} ms; the rest of the time is too short");
            actions.push(Action::Refuse {
                id: job.request.id,
                refusal: refusal(RefusalCode::DeadlineExceeded, &message, None),
                ran: job.was_started,
            });
        }
    }

    /// Stops unseen runs until the rest fits. Seen ones are never stopped here: cutting an
    /// answer short loses it, while an engine that runs out of memory only delays one.
    fn stop_for_memory(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        let mut excess = self.overflow_tokens();
        let freed = |job: &&Job| job.state == JobState::Stopping;
        let coming: u64 = self
            .jobs
            .values()
            .filter(freed)
            .map(Job::memory_tokens)
            .sum();
        excess = excess.saturating_sub(coming);
        self.overflow_at_ms = (excess > 0).then_some(now_ms);
        if excess == 0 {
            return;
        }
        let mut running = self.running.small + self.running.long;
        for id in self.victims() {
            // The last one may have all the memory there is.
            if excess == 0 || running <= 1 {
                return;
            }
            if let Some(job) = self.jobs.get_mut(&id) {
                job.state = JobState::Stopping;
                excess = excess.saturating_sub(job.memory_tokens());
                running -= 1;
                actions.push(Action::Stop { id });
            }
        }
    }

    fn start(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
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
            let place = self.place(job);
            self.queues.of_mut(queue).remove(&place);
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
        let mut alone = Forecasts::default();
        alone.add(job);
        let candidate = match job.request.lane {
            Lane::Long => &alone.long,
            Lane::Small => &alone.small,
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

    /// Returns the forecasts of all that holds memory, with the latest learned lengths.
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

/// The memory that each lane will need.
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
