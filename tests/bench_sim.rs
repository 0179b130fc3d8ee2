//! The simulated comparison of scheduling policies, see `bench::sim`.

use lilacspindle::bench::recorder::Recorder;
use lilacspindle::bench::report::RunReport;
use lilacspindle::bench::sim::{ArrivalDecision, Comparison, NamedPolicy, baselines, unlimited};
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

/// Guards against arrivals that differ between runs with the same seed: policies would be compared
/// under different load.
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
    assert!(
        longest > Some(8_000),
        "no output is longer than 8,000 tokens; the longest has {longest:?}"
    );
    options.seed = 6;
    assert_ne!(first, Workload::draw(&options));
}

/// Guards against jobs that get no result because a policy or a failed engine lost them, and
/// against baselines that do not limit concurrency and memory as they should.
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
                panic!("expected three baselines per mix")
            };
            assert!(
                none.preemptions > 0,
                "no preemptions without a limit on running jobs"
            );
            assert!(fixed.preemptions < none.preemptions);
            assert_eq!(worst.preemptions, 0);
            assert!(
                count(worst, "expired") > 0,
                "no job expired in the queue under overload"
            );
            assert_eq!(count(worst, "not_run"), 0, "a baseline refused jobs");
            assert!(none.goodput_tokens_per_s > 0.0);
        }
    }
}

/// Guards against an engine failure that has no effect, and against interrupted jobs without one.
/// The load is light, because under overload deadlines interrupt jobs as well.
#[test]
fn only_an_engine_failure_interrupts_jobs_under_light_load() {
    for failure in [false, true] {
        for run in reports(&comparison(0.3, failure), &baselines()[..2]) {
            assert_eq!(count(&run, "interrupted") > 0, failure, "{}", run.policy);
        }
    }
}

/// Guards against results that depend on the number of threads or differ between repetitions.
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

/// Guards against refusals of a policy that are not carried out or not counted, and against
/// preemptions that are counted without having happened.
#[test]
fn refusals_are_counted() {
    let refusing = NamedPolicy::new("refuse_essays", |config| {
        let mut policy = unlimited(config);
        let mut on_arrival = policy.on_arrival;
        policy.on_arrival = Box::new(move |now_ms, engine, job| {
            if job.kind.as_str() == "essay" {
                return ArrivalDecision::Refuse;
            }
            on_arrival(now_ms, engine, job)
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

/// Guards against paused jobs that lose their position in the output or are never resumed.
#[test]
fn paused_jobs_resume() {
    use std::cell::RefCell;
    use std::rc::Rc;

    let pausing = NamedPolicy::new("pause_each_once", |config| {
        let mut policy = unlimited(config);
        let paused: Rc<RefCell<Vec<(usize, u32)>>> = Rc::default();
        let due: Rc<RefCell<Vec<(usize, u32)>>> = Rc::default();
        let seen: Rc<RefCell<Vec<u32>>> = Rc::default();
        let (due_on_token, due_at_victim, paused_at_victim) = (due.clone(), due, paused.clone());
        policy.on_token = Box::new(move |_, engine, job| {
            if job % 10 == 0 && !seen.borrow().contains(&job) {
                seen.borrow_mut().push(job);
                due_on_token.borrow_mut().push((engine, job));
            }
        });
        let due_at_end = due_at_victim.clone();
        let mut on_end = policy.on_end;
        policy.on_end = Box::new(move |now_ms, engine, job, end| {
            due_at_end.borrow_mut().retain(|(_, other)| *other != job);
            on_end(now_ms, engine, job, end);
        });
        policy.next_victim = Box::new(move |_, engine| {
            let mut due = due_at_victim.borrow_mut();
            let index = due.iter().position(|(other, _)| *other == engine)?;
            let victim = due.remove(index);
            paused_at_victim.borrow_mut().push(victim);
            Some(victim.1)
        });
        let mut next_start = policy.next_start;
        policy.next_start = Box::new(move |now_ms, engine| {
            let mut paused = paused.borrow_mut();
            match paused.iter().position(|(other, _)| *other == engine) {
                Some(index) => Some(lilacspindle::bench::sim::Start {
                    job: paused.remove(index).1,
                    priority: 0,
                }),
                None => next_start(now_ms, engine),
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
