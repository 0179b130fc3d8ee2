//! The baseline policies of the comparison: no limit, fixed concurrency and worst-case reservation.

use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

use super::policy::{ArrivalDecision, EngineView, Job, NamedPolicy, Policy, PolicyConfig, Start};

/// Baselines do not use the engine's priorities.
const ENGINE_PRIORITY: u8 = 0;

pub fn baselines() -> Vec<NamedPolicy> {
    vec![
        NamedPolicy::new("none", unlimited),
        NamedPolicy::new("fixed", fixed_concurrency),
        NamedPolicy::new("worst_case", worst_case_reservation),
    ]
}

/// Starts every job on arrival; places jobs round-robin.
pub fn unlimited(config: &PolicyConfig) -> Policy {
    let mut first = 0;
    let choose_engine = Box::new(move |_, _: &Job, views: &[EngineView]| {
        let candidates = (0..views.len()).map(|step| (first + step) % views.len());
        let chosen = candidates.into_iter().find(|engine| views[*engine].alive)?;
        first = chosen + 1;
        Some(chosen)
    });
    Policy {
        choose_engine,
        ..fifo_policy(config, |_| 0, u64::MAX)
    }
}

/// Runs as many jobs at once as fit at their mean sizes; the others wait in order of arrival.
pub fn fixed_concurrency(config: &PolicyConfig) -> Policy {
    fifo_policy(config, |_| 1, u64::from(config.mean_concurrency.max(1)))
}

/// Reserves memory for the maximum output of each job; jobs wait in order of arrival.
pub fn worst_case_reservation(config: &PolicyConfig) -> Policy {
    let capacity_tokens = config.engine.capacity_tokens;
    let cost = move |job: &Job| {
        let worst_case_tokens = u64::from(job.prompt_tokens) + u64::from(job.max_tokens);
        // A job whose worst case exceeds the engine's memory runs alone.
        worst_case_tokens.min(capacity_tokens)
    };
    fifo_policy(config, cost, capacity_tokens)
}

/// Queued and running jobs of one engine, each with its cost.
#[derive(Default)]
struct FifoQueue {
    used: u64,
    queued: VecDeque<(u32, u64)>,
    running: BTreeMap<u32, u64>,
}

/// Returns a policy that starts jobs in order of arrival while the sum of the running jobs' costs
/// stays within a limit.
fn fifo_policy(config: &PolicyConfig, cost: impl Fn(&Job) -> u64 + 'static, limit: u64) -> Policy {
    let new_queues = (0..config.engines).map(|_| FifoQueue::default()).collect();
    let queues: Rc<RefCell<Vec<FifoQueue>>> = Rc::new(RefCell::new(new_queues));
    let (arrival_queues, start_queues, end_queues) = (queues.clone(), queues.clone(), queues);
    Policy {
        choose_engine: Box::new(|_, _, views| least_loaded(views)),
        on_arrival: Box::new(move |_, engine, job| {
            let cost = cost(job);
            arrival_queues.borrow_mut()[engine]
                .queued
                .push_back((job.id, cost));
            ArrivalDecision::Queue
        }),
        next_start: Box::new(move |_, engine| {
            let queue = &mut start_queues.borrow_mut()[engine];
            let (job, cost) = *queue.queued.front()?;
            if queue.used.saturating_add(cost) > limit {
                return None;
            }
            queue.queued.pop_front();
            queue.used += cost;
            queue.running.insert(job, cost);
            Some(Start {
                job,
                priority: ENGINE_PRIORITY,
            })
        }),
        on_token: Box::new(|_, _, _| {}),
        on_preempted: Box::new(|_, _, _| {}),
        on_end: Box::new(move |_, engine, job, _| {
            let queue = &mut end_queues.borrow_mut()[engine];
            match queue.running.remove(&job) {
                Some(cost) => queue.used -= cost,
                None => queue.queued.retain(|(queued, _)| *queued != job),
            }
        }),
        next_victim: Box::new(|_, _| None),
    }
}

/// Returns the live engine with the fewest jobs, or `None` if all have failed.
fn least_loaded(views: &[EngineView]) -> Option<usize> {
    (0..views.len())
        .filter(|engine| views[*engine].alive)
        .min_by_key(|engine| views[*engine].running + views[*engine].queued)
}
