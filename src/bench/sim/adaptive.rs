//! lilacspindle's own policy in the simulated comparison, made of the sidecar's scheduler and the
//! entry's choice of a replica, and ablations of it with one mechanism disabled each.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::policy::{
    ArrivalDecision, EngineView, Job, JobEnd, NamedPolicy, Policy, PolicyConfig, Start,
};
use crate::domain::route::{self, Load, Place, RequestProfile};
use crate::domain::schedule::{
    Action, Decision, Ended, Request, ScheduleLoad, Scheduler, SchedulerConfig,
};
use crate::domain::schedule::{MARGIN_DEVIATIONS, Policy as SchedulerPolicy};
use crate::model::GenerationId;

/// An entry's view of the schedulers' load is refreshed at this age.
const MAX_VIEW_AGE_MS: u64 = 100;
/// Maximum number of replicas that a request is submitted to: a refusal for overload is retried
/// once elsewhere.
const MAX_ATTEMPTS: usize = 2;

/// Returns the policy with all of its mechanisms.
pub fn adaptive() -> NamedPolicy {
    named_policy("adaptive", || SchedulerPolicy::adaptive(MARGIN_DEVIATIONS))
}

/// Returns variants of the adaptive policy, each with one mechanism disabled.
pub fn ablations() -> Vec<NamedPolicy> {
    vec![
        named_policy("no_forecast", || SchedulerPolicy {
            admits: Box::new(|admission| admission.running < admission.max_running),
            ..SchedulerPolicy::adaptive(MARGIN_DEVIATIONS)
        }),
        named_policy("no_lanes_and_shares", || SchedulerPolicy {
            fair: false,
            ..SchedulerPolicy::adaptive(MARGIN_DEVIATIONS)
        }),
        named_policy("no_early_refusal", || SchedulerPolicy {
            refuses_early: false,
            ..SchedulerPolicy::adaptive(MARGIN_DEVIATIONS)
        }),
    ]
}

fn named_policy(
    name: &str,
    scheduler_policy: impl Fn() -> SchedulerPolicy + Send + Sync + 'static,
) -> NamedPolicy {
    NamedPolicy::new(name, move |config| build_policy(config, &scheduler_policy))
}

/// The sidecar of one engine.
struct Sidecar {
    scheduler: Scheduler,
    pending_starts: VecDeque<Start>,
    pending_stops: VecDeque<u32>,
    /// Requests that the entry has placed since its views were refreshed, and their prompt tokens.
    placed_requests: u32,
    placed_tokens: u64,
}

/// An entry and the sidecars that it knows; indexes are those of the engines.
struct Fleet {
    sidecars: Vec<Sidecar>,
    views: Vec<ScheduleLoad>,
    views_refreshed_ms: Option<u64>,
    random: SmallRng,
}

fn build_policy(config: &PolicyConfig, scheduler_policy: &impl Fn() -> SchedulerPolicy) -> Policy {
    let sidecar = || Sidecar {
        scheduler: Scheduler::new(
            SchedulerConfig::new(config.engine.capacity_tokens, config.engine.max_batch),
            scheduler_policy(),
        ),
        pending_starts: VecDeque::new(),
        pending_stops: VecDeque::new(),
        placed_requests: 0,
        placed_tokens: 0,
    };
    let fleet = Fleet {
        sidecars: (0..config.engines).map(|_| sidecar()).collect(),
        views: vec![ScheduleLoad::default(); config.engines],
        views_refreshed_ms: None,
        random: SmallRng::seed_from_u64(config.seed),
    };
    let fleet = Rc::new(RefCell::new(fleet));
    let (choose, start, token, end, victim) = (
        fleet.clone(),
        fleet.clone(),
        fleet.clone(),
        fleet.clone(),
        fleet,
    );
    Policy {
        choose_engine: Box::new(move |now_ms, job, views| {
            choose.borrow_mut().place(now_ms, job, views)
        }),
        // `choose_engine` has already submitted the job, as it retries a refusal elsewhere.
        on_arrival: Box::new(|_, _, _| ArrivalDecision::Queue),
        next_start: Box::new(move |_, engine| {
            start.borrow_mut().sidecars[engine]
                .pending_starts
                .pop_front()
        }),
        on_token: Box::new(move |now_ms, engine, job| {
            token.borrow_mut().sidecars[engine].on_token(now_ms, job);
        }),
        on_preempted: Box::new(|_, _, _| {}),
        on_end: Box::new(move |now_ms, engine, job, reason| {
            end.borrow_mut().sidecars[engine].on_end(now_ms, job, reason);
        }),
        next_victim: Box::new(move |now_ms, engine| {
            victim.borrow_mut().sidecars[engine].next_victim(now_ms)
        }),
    }
}

impl Fleet {
    /// Submits a job to replicas as an entry does; returns the one that queued it, or `None` if the
    /// job was refused.
    fn place(&mut self, now_ms: u64, job: &Job, views: &[EngineView]) -> Option<usize> {
        self.refresh_views(now_ms);
        let age_ms = now_ms.saturating_sub(self.views_refreshed_ms.unwrap_or_default());
        let mut refused = Vec::new();
        for _ in 0..MAX_ATTEMPTS {
            let engine = self.choose_replica(job, views, &refused, age_ms)?;
            if self.sidecars[engine].submit(now_ms, job) {
                return Some(engine);
            }
            refused.push(engine);
        }
        None
    }

    fn choose_replica(
        &mut self,
        job: &Job,
        views: &[EngineView],
        refused: &[usize],
        age_ms: u64,
    ) -> Option<usize> {
        let places: Vec<Place> = (0..views.len())
            .map(|engine| Place {
                hash: route::name_hash(&format!("engine-{engine}")),
                same_zone: true,
            })
            .collect();
        let profile = RequestProfile {
            prompt_tokens: f64::from(job.prompt_tokens),
            prefix: route::prefix_hash(&format!("{}/{}", job.workspace, job.kind).repeat(64)),
        };
        let (sidecars, loads) = (&self.sidecars, &self.views);
        let load = |engine: usize| {
            let usable = views[engine].alive && !refused.contains(&engine);
            usable.then(|| estimated_load(&loads[engine], &sidecars[engine], age_ms))
        };
        let random = &mut self.random;
        route::choose(&places, &profile, load, || random.next_u64())
    }

    fn refresh_views(&mut self, now_ms: u64) {
        if self
            .views_refreshed_ms
            .is_some_and(|at_ms| now_ms < at_ms + MAX_VIEW_AGE_MS)
        {
            return;
        }
        self.views_refreshed_ms = Some(now_ms);
        for (view, sidecar) in self.views.iter_mut().zip(&mut self.sidecars) {
            *view = sidecar.scheduler.load();
            sidecar.placed_requests = 0;
            sidecar.placed_tokens = 0;
        }
    }
}

/// Returns a sidecar's load at the last refresh plus the requests placed since. Token counts are
/// far below 2^52, so their conversion is exact.
#[allow(clippy::cast_precision_loss)]
fn estimated_load(view: &ScheduleLoad, sidecar: &Sidecar, age_ms: u64) -> Load {
    let token_ms = (view.running > 0 && view.tokens_per_s > 0)
        .then(|| 1_000.0 * f64::from(view.running) / f64::from(view.tokens_per_s));
    Load {
        open: f64::from(view.running + view.queued + sidecar.placed_requests),
        queued: f64::from(view.queued),
        demand_tokens: (view.used_tokens + view.backlog_tokens + sidecar.placed_tokens) as f64,
        capacity_tokens: view.capacity_tokens as f64,
        token_ms,
        age_ms: age_ms as f64,
    }
}

fn generation_id(job: u32) -> GenerationId {
    GenerationId(u128::from(job))
}

fn job_id(id: GenerationId) -> u32 {
    u32::try_from(id.0).unwrap_or(u32::MAX)
}

impl Sidecar {
    /// Submits a job to the scheduler; returns false if it was refused.
    fn submit(&mut self, now_ms: u64, job: &Job) -> bool {
        let decision = self.scheduler.submit(
            now_ms,
            Request {
                id: generation_id(job.id),
                workspace: job.workspace.clone(),
                kind: job.kind.clone(),
                lane: job.lane,
                weight: job.weight,
                prompt_tokens: job.prompt_tokens,
                max_tokens: job.max_tokens,
                priority: 0,
                deadline_ms: job.deadline_ms,
                served_elsewhere_tokens: 0,
            },
        );
        if decision != Decision::Queued {
            return false;
        }
        self.placed_requests += 1;
        self.placed_tokens += u64::from(job.prompt_tokens);
        self.collect_actions(now_ms);
        true
    }

    /// Collects the scheduler's actions for the simulated engine to carry out.
    fn collect_actions(&mut self, now_ms: u64) {
        for action in self.scheduler.next(now_ms) {
            match action {
                Action::Start {
                    id,
                    engine_priority,
                    ..
                } => self.pending_starts.push_back(Start {
                    job: job_id(id),
                    priority: engine_priority,
                }),
                Action::Stop { id } => self.stop(now_ms, job_id(id)),
                // Needs no action: the simulation ends the job at its deadline.
                Action::Refuse { .. } => {}
            }
        }
    }

    /// Stops a generation. If the engine has not started it yet, the scheduler queues it again at
    /// once.
    fn stop(&mut self, now_ms: u64, job: u32) {
        let count = self.pending_starts.len();
        self.pending_starts.retain(|start| start.job != job);
        match self.pending_starts.len() < count {
            true => self.scheduler.on_stopped(now_ms, generation_id(job)),
            false => self.pending_stops.push_back(job),
        }
    }

    fn on_token(&mut self, now_ms: u64, job: u32) {
        let due = self.scheduler.on_token(now_ms, generation_id(job));
        // Output is streamed, so each token counts as sent to the client at once.
        self.scheduler.on_shown(generation_id(job));
        if due {
            self.collect_actions(now_ms);
        }
    }

    fn on_end(&mut self, now_ms: u64, job: u32, reason: JobEnd) {
        let ended = match reason {
            JobEnd::Finished => Ended::Complete,
            JobEnd::Deadline | JobEnd::Lost => Ended::Incomplete,
        };
        self.pending_starts.retain(|start| start.job != job);
        self.pending_stops.retain(|stop| *stop != job);
        if !self.scheduler.cancel(now_ms, generation_id(job)) {
            self.scheduler.on_end(now_ms, generation_id(job), ended);
        }
        self.collect_actions(now_ms);
    }

    fn next_victim(&mut self, now_ms: u64) -> Option<u32> {
        // Lets the scheduler refuse expired requests in its queue. This function is called after
        // each step, which is often enough for that.
        if self.scheduler.load().queued > 0 {
            self.collect_actions(now_ms);
        }
        let stopped = self.pending_stops.pop_front()?;
        self.scheduler.on_stopped(now_ms, generation_id(stopped));
        Some(stopped)
    }
}
