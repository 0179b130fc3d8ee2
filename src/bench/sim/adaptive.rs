//! The project's own policy in the simulated comparison: the sidecar's scheduler and the entry's
//! choice of replica, and variants of it with one mechanism switched off.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::policy::{EngineView, Job, JobEnd, NamedPolicy, Policy, Setup, Start, Verdict};
use crate::domain::route::{self, Ask, Load, Place};
use crate::domain::schedule::{
    Action, Decision, Ended, Request, ScheduleLoad, Scheduler, SchedulerConfig,
};
use crate::domain::schedule::{DEVIATIONS, Policy as Admission};
use crate::model::GenerationId;

/// Age up to which an entry's view of a scheduler is not renewed.
const VIEW_MS: u64 = 100;
/// Replicas that a request is offered to: a refusal for overload is retried once elsewhere.
const OFFERS: usize = 2;

/// Returns the project's own policy.
pub fn adaptive() -> NamedPolicy {
    named("adaptive", || Admission::adaptive(DEVIATIONS))
}

/// Returns the project's own policy with one mechanism off in each.
pub fn ablations() -> Vec<NamedPolicy> {
    vec![
        named("no_forecast", || Admission {
            admits: Box::new(|admission| admission.running < admission.max_running),
            ..Admission::adaptive(DEVIATIONS)
        }),
        named("no_lanes_and_shares", || Admission {
            fair: false,
            ..Admission::adaptive(DEVIATIONS)
        }),
        named("no_early_refusal", || Admission {
            refuses_early: false,
            ..Admission::adaptive(DEVIATIONS)
        }),
    ]
}

fn named(name: &str, admission: impl Fn() -> Admission + Send + Sync + 'static) -> NamedPolicy {
    NamedPolicy::new(name, move |setup| policy(setup, &admission))
}

struct Engine {
    scheduler: Scheduler,
    starts: VecDeque<Start>,
    stops: VecDeque<u32>,
    /// Work placed since the last view.
    placed: u32,
    placed_tokens: u64,
}

struct Fleet {
    engines: Vec<Engine>,
    views: Vec<ScheduleLoad>,
    viewed_at_ms: Option<u64>,
    random: SmallRng,
}

fn policy(setup: &Setup, admission: &impl Fn() -> Admission) -> Policy {
    let engine = || Engine {
        scheduler: Scheduler::new(
            SchedulerConfig::new(setup.engine.capacity_tokens, setup.engine.max_batch),
            admission(),
        ),
        starts: VecDeque::new(),
        stops: VecDeque::new(),
        placed: 0,
        placed_tokens: 0,
    };
    let fleet = Fleet {
        engines: (0..setup.engines).map(|_| engine()).collect(),
        views: vec![ScheduleLoad::default(); setup.engines],
        viewed_at_ms: None,
        random: SmallRng::seed_from_u64(setup.seed),
    };
    let fleet = Rc::new(RefCell::new(fleet));
    let (choose, next, token, end, victim) = (
        fleet.clone(),
        fleet.clone(),
        fleet.clone(),
        fleet.clone(),
        fleet,
    );
    Policy {
        choose: Box::new(move |now_ms, job, views| choose.borrow_mut().place(now_ms, job, views)),
        // `choose` has submitted the job already, because a refusal is retried elsewhere.
        arrive: Box::new(|_, _, _| Verdict::Queue),
        next: Box::new(move |_, engine| next.borrow_mut().engines[engine].starts.pop_front()),
        on_token: Box::new(move |now_ms, engine, job| {
            token.borrow_mut().engines[engine].token(now_ms, job);
        }),
        on_preempted: Box::new(|_, _, _| {}),
        on_end: Box::new(move |now_ms, engine, job, how| {
            end.borrow_mut().engines[engine].end(now_ms, job, how);
        }),
        victim: Box::new(move |now_ms, engine| victim.borrow_mut().engines[engine].victim(now_ms)),
    }
}

impl Fleet {
    /// Offers a job to replicas, as an entry does; returns the one that took it.
    fn place(&mut self, now_ms: u64, job: &Job, views: &[EngineView]) -> Option<usize> {
        self.renew_views(now_ms);
        let age_ms = now_ms.saturating_sub(self.viewed_at_ms.unwrap_or_default());
        let mut refused = Vec::new();
        for _ in 0..OFFERS {
            let engine = self.choose(job, views, &refused, age_ms)?;
            if self.engines[engine].submit(now_ms, job) {
                return Some(engine);
            }
            refused.push(engine);
        }
        None
    }

    fn choose(
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
        let ask = Ask {
            prompt_tokens: f64::from(job.prompt_tokens),
            prefix: route::prefix_hash(&format!("{}/{}", job.workspace, job.kind).repeat(64)),
        };
        let (engines, loads) = (&self.engines, &self.views);
        let load = |engine: usize| {
            let usable = views[engine].alive && !refused.contains(&engine);
            usable.then(|| known_load(&loads[engine], &engines[engine], age_ms))
        };
        let random = &mut self.random;
        route::choose(&places, &ask, load, || random.next_u64())
    }

    fn renew_views(&mut self, now_ms: u64) {
        if self
            .viewed_at_ms
            .is_some_and(|at_ms| now_ms < at_ms + VIEW_MS)
        {
            return;
        }
        self.viewed_at_ms = Some(now_ms);
        for (view, engine) in self.views.iter_mut().zip(&mut self.engines) {
            *view = engine.scheduler.load();
            engine.placed = 0;
            engine.placed_tokens = 0;
        }
    }
}

/// Token counts are far below 2^52, so the conversion is exact.
#[allow(clippy::cast_precision_loss)]
fn known_load(view: &ScheduleLoad, engine: &Engine, age_ms: u64) -> Load {
    let token_ms = (view.running > 0 && view.tokens_per_s > 0)
        .then(|| 1_000.0 * f64::from(view.running) / f64::from(view.tokens_per_s));
    Load {
        open: f64::from(view.running + view.queued + engine.placed),
        queued: f64::from(view.queued),
        demand_tokens: (view.used_tokens + view.backlog_tokens + engine.placed_tokens) as f64,
        capacity_tokens: view.capacity_tokens as f64,
        token_ms,
        age_ms: age_ms as f64,
    }
}

fn id(job: u32) -> GenerationId {
    GenerationId(u128::from(job))
}

fn job(id: GenerationId) -> u32 {
    u32::try_from(id.0).unwrap_or(u32::MAX)
}

impl Engine {
    /// Returns false if the scheduler refuses the job.
    fn submit(&mut self, now_ms: u64, job: &Job) -> bool {
        let decision = self.scheduler.submit(
            now_ms,
            Request {
                id: id(job.id),
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
        self.placed += 1;
        self.placed_tokens += u64::from(job.prompt_tokens);
        self.act(now_ms);
        true
    }

    fn act(&mut self, now_ms: u64) {
        for action in self.scheduler.next(now_ms) {
            match action {
                Action::Start {
                    id,
                    engine_priority,
                    ..
                } => self.starts.push_back(Start {
                    job: job(id),
                    priority: engine_priority,
                }),
                Action::Stop { id } => self.stop(now_ms, job(id)),
                // The simulated run ends it at its deadline.
                Action::Refuse { .. } => {}
            }
        }
    }

    /// Stops a run; one that the engine has not been given yet only goes back to the queue.
    fn stop(&mut self, now_ms: u64, job: u32) {
        let waiting = self.starts.len();
        self.starts.retain(|start| start.job != job);
        match self.starts.len() < waiting {
            true => self.scheduler.on_stopped(now_ms, id(job)),
            false => self.stops.push_back(job),
        }
    }

    fn token(&mut self, now_ms: u64, job: u32) {
        let due = self.scheduler.on_token(now_ms, id(job));
        // Answers are streamed, so the first token of a run is shown at once.
        self.scheduler.on_shown(id(job));
        if due {
            self.act(now_ms);
        }
    }

    fn end(&mut self, now_ms: u64, job: u32, how: JobEnd) {
        let ended = match how {
            JobEnd::Finished => Ended::Complete,
            JobEnd::Deadline | JobEnd::Lost => Ended::Cut,
        };
        self.starts.retain(|start| start.job != job);
        self.stops.retain(|stop| *stop != job);
        if !self.scheduler.cancel(now_ms, id(job)) {
            self.scheduler.on_end(now_ms, id(job), ended);
        }
        self.act(now_ms);
    }

    fn victim(&mut self, now_ms: u64) -> Option<u32> {
        // Called after each step, which is often enough for deadlines in the queue as well.
        if self.scheduler.load().queued > 0 {
            self.act(now_ms);
        }
        let stopped = self.stops.pop_front()?;
        self.scheduler.on_stopped(now_ms, id(stopped));
        Some(stopped)
    }
}
