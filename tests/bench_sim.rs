//! The in-process comparison of admission policies.

use lilacspindle::bench::recorder::Recorder;
use lilacspindle::bench::report::RunReport;
use lilacspindle::bench::sim::{Comparison, NamedPolicy, Verdict, baselines, no_gate};
use lilacspindle::bench::workload::{Mix, Workload, WorkloadOptions};
use lilacspindle::roles::standin::EngineConfig;

fn comparison(load: f64, failure: bool) -> Comparison {
    Comparison {
        mixes: vec![Mix::Chalkline, Mix::Atlas],
        loads: vec![load],
        seeds: vec![1, 2],
        engines: 3,
        engine: EngineConfig {
            capacity_tokens: 20_000,
            step_us: 4_000,
            ..EngineConfig::default()
        },
        duration_ms: 30_000,
        length_scale: 0.2,
        even_traffic: false,
        failure,
        threads: 2,
    }
}

fn reports(comparison: &Comparison, policies: &[NamedPolicy]) -> Vec<RunReport> {
    let recorders = comparison.run(policies);
    recorders.iter().map(Recorder::report).collect()
}

fn count(report: &RunReport, outcome: &str) -> u64 {
    report.outcomes.get(outcome).copied().unwrap_or(0)
}

/// Guards against arrivals that differ between runs of one seed, so that policies would be
/// compared on different loads.
#[test]
fn same_seed_gives_same_arrivals() {
    let mut options = WorkloadOptions {
        mix: Mix::Atlas,
        seed: 5,
        requests_per_s: 20.0,
        duration_ms: 60_000,
        length_scale: 1.0,
        even_traffic: false,
    };
    let first = Workload::draw(&options);
    assert_eq!(first, Workload::draw(&options));
    assert!((900..1_500).contains(&first.arrivals.len()));
    let longest = first.arrivals.iter().map(|a| a.target_tokens).max();
    assert!(longest > Some(8_000), "the tail is not heavy: {longest:?}");
    options.seed = 6;
    assert_ne!(first, Workload::draw(&options));
}

/// Guards against jobs that are lost by a policy or a dead engine, and baselines that don't
/// behave as their names say.
#[test]
fn baselines_end_every_job() {
    for failure in [false, true] {
        let all = reports(&comparison(1.3, failure), &baselines());
        assert_eq!(all.len(), 6);
        for runs in all.chunks(3) {
            let total = |run: &RunReport| run.outcomes.values().sum::<u64>();
            assert!(total(&runs[0]) > 500);
            assert!(runs.iter().all(|run| total(run) == total(&runs[0])));
            let [none, fixed, worst] = runs else {
                panic!("three baselines")
            };
            assert!(none.preemptions > 0, "no memory pressure without a gate");
            assert!(fixed.preemptions < none.preemptions);
            assert_eq!(worst.preemptions, 0);
            assert!(count(worst, "expired") > 0, "no wait under overload");
            assert_eq!(count(worst, "not_run"), 0, "baselines refuse nothing");
            assert!(none.goodput_tokens_per_s > 0.0);
        }
    }
}

/// Guards against a failure without effect, and one that also loses jobs of other engines. Under
/// light load only the dead engine interrupts; under overload deadlines do, too.
#[test]
fn a_dead_engine_interrupts_what_it_showed() {
    for failure in [false, true] {
        for run in reports(&comparison(0.3, failure), &baselines()[..2]) {
            assert_eq!(count(&run, "interrupted") > 0, failure, "{}", run.policy);
        }
    }
}

/// Guards against a simulation whose result depends on threads or repetition.
#[test]
fn results_are_repeatable() {
    let mut first = comparison(0.7, true);
    first.threads = 1;
    let second = comparison(0.7, true);
    assert_eq!(
        reports(&first, &baselines()),
        reports(&second, &baselines())
    );
}

/// Guards against a policy whose refusals and pauses are not carried out or not counted.
#[test]
fn refusals_and_pauses_are_counted() {
    let refusing = NamedPolicy::new("refuse_essays", |setup| {
        let mut policy = no_gate(setup);
        let mut arrive = policy.arrive;
        policy.arrive = Box::new(move |now_ms, engine, job| {
            if job.kind.as_str() == "essay" {
                return Verdict::Refuse;
            }
            arrive(now_ms, engine, job)
        });
        policy
    });
    let mut comparison = comparison(0.7, false);
    comparison.mixes = vec![Mix::Chalkline];
    let all = reports(&comparison, &[refusing]);
    let essays = all[0].kinds["essay"].count;
    assert!(essays > 50);
    assert_eq!(count(&all[0], "not_run"), essays);
    assert_eq!(all[0].preemptions, 0);
}

/// Guards against a paused job that loses its place in the answer or is never continued.
#[test]
fn paused_jobs_continue() {
    use std::cell::RefCell;
    use std::rc::Rc;

    let pausing = NamedPolicy::new("pause_each_once", |setup| {
        let mut policy = no_gate(setup);
        let paused: Rc<RefCell<Vec<(usize, u32)>>> = Rc::default();
        let due: Rc<RefCell<Vec<(usize, u32)>>> = Rc::default();
        let seen: Rc<RefCell<Vec<u32>>> = Rc::default();
        let (token_due, victim_due, victim_paused) = (due.clone(), due, paused.clone());
        policy.on_token = Box::new(move |_, engine, job| {
            if job % 10 == 0 && !seen.borrow().contains(&job) {
                seen.borrow_mut().push(job);
                token_due.borrow_mut().push((engine, job));
            }
        });
        let end_due = victim_due.clone();
        let mut on_end = policy.on_end;
        policy.on_end = Box::new(move |now_ms, engine, job, end| {
            end_due.borrow_mut().retain(|(_, other)| *other != job);
            on_end(now_ms, engine, job, end);
        });
        policy.victim = Box::new(move |_, engine| {
            let mut due = victim_due.borrow_mut();
            let index = due.iter().position(|(at, _)| *at == engine)?;
            let victim = due.remove(index);
            victim_paused.borrow_mut().push(victim);
            Some(victim.1)
        });
        let mut next = policy.next;
        policy.next = Box::new(move |now_ms, engine| {
            let mut paused = paused.borrow_mut();
            match paused.iter().position(|(at, _)| *at == engine) {
                Some(index) => Some(lilacspindle::bench::sim::Start {
                    job: paused.remove(index).1,
                    priority: 0,
                }),
                None => next(now_ms, engine),
            }
        });
        policy
    });
    let all = reports(&comparison(0.3, false), &[pausing]);
    for run in all {
        assert!(run.preemptions > 20, "{}", run.preemptions);
        assert_eq!(run.outcomes.len(), 1, "{:?}", run.outcomes);
    }
}
