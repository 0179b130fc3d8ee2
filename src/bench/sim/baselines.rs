//! The policies to compare with.

use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

use super::policy::{EngineView, Job, NamedPolicy, Policy, Setup, Start, Verdict};

/// Priority of everything that a baseline sends to an engine.
const PRIORITY: u8 = 0;

/// Returns the three baselines.
pub fn baselines() -> Vec<NamedPolicy> {
    vec![
        NamedPolicy::new("none", no_gate),
        NamedPolicy::new("fixed", fixed_concurrency),
        NamedPolicy::new("worst_case", worst_case),
    ]
}

/// Hands every job to the engine at once; engines take turns.
pub fn no_gate(setup: &Setup) -> Policy {
    let mut turn = 0;
    let choose = Box::new(move |_, _: &Job, views: &[EngineView]| {
        let alive = (0..views.len()).map(|step| (turn + step) % views.len());
        let chosen = alive.into_iter().find(|engine| views[*engine].alive)?;
        turn = chosen + 1;
        Some(chosen)
    });
    Policy {
        choose,
        ..gate(setup, |_| 0, u64::MAX)
    }
}

/// Runs as many jobs at once as fit on average; the others wait in order of arrival.
pub fn fixed_concurrency(setup: &Setup) -> Policy {
    gate(setup, |_| 1, u64::from(setup.typical_concurrency.max(1)))
}

/// Reserves memory for the longest answer that each job may have.
pub fn worst_case(setup: &Setup) -> Policy {
    let capacity_tokens = setup.engine.capacity_tokens;
    let cost = move |job: &Job| {
        let most = u64::from(job.prompt_tokens) + u64::from(job.max_tokens);
        // A job that could fill the whole memory runs alone.
        most.min(capacity_tokens)
    };
    gate(setup, cost, capacity_tokens)
}

#[derive(Default)]
struct Gate {
    used: u64,
    queue: VecDeque<(u32, u64)>,
    running: BTreeMap<u32, u64>,
}

/// Returns a policy that runs jobs in order of arrival while their costs fit under a limit.
fn gate(setup: &Setup, cost: impl Fn(&Job) -> u64 + 'static, limit: u64) -> Policy {
    let new_gates = (0..setup.engines).map(|_| Gate::default()).collect();
    let gates: Rc<RefCell<Vec<Gate>>> = Rc::new(RefCell::new(new_gates));
    let (arrive_gates, next_gates, end_gates) = (gates.clone(), gates.clone(), gates);
    Policy {
        choose: Box::new(|_, _, views| least_loaded(views)),
        arrive: Box::new(move |_, engine, job| {
            let cost = cost(job);
            arrive_gates.borrow_mut()[engine]
                .queue
                .push_back((job.id, cost));
            Verdict::Queue
        }),
        next: Box::new(move |_, engine| {
            let gate = &mut next_gates.borrow_mut()[engine];
            let (job, cost) = *gate.queue.front()?;
            if gate.used.saturating_add(cost) > limit {
                return None;
            }
            gate.queue.pop_front();
            gate.used += cost;
            gate.running.insert(job, cost);
            Some(Start {
                job,
                priority: PRIORITY,
            })
        }),
        on_token: Box::new(|_, _, _| {}),
        on_preempted: Box::new(|_, _, _| {}),
        on_end: Box::new(move |_, engine, job, _| {
            let gate = &mut end_gates.borrow_mut()[engine];
            match gate.running.remove(&job) {
                Some(cost) => gate.used -= cost,
                None => gate.queue.retain(|(queued, _)| *queued != job),
            }
        }),
        victim: Box::new(|_, _| None),
    }
}

/// Returns the live engine with the fewest jobs.
fn least_loaded(views: &[EngineView]) -> Option<usize> {
    (0..views.len())
        .filter(|engine| views[*engine].alive)
        .min_by_key(|engine| views[*engine].running + views[*engine].queued)
}
