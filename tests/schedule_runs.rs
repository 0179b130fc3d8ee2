//! The scheduler before a small engine, in randomised runs. `LILAC_SEEDS` sets the number of
//! seeds.

mod schedule_support;

use lilacspindle::domain::schedule::{Policy, SchedulerConfig, Shares};
use lilacspindle::rpc::sidecar::Lane;
use rand::RngExt;
use schedule_support::{Outcome, STEP_MS, Sim, draw, seeds};

const POLICIES: [&str; 4] = ["adaptive", "none", "fixed", "worst_case"];

fn policy(name: &str) -> Policy {
    Policy::by_name(name).unwrap()
}

/// Guards against a wrong memory account, a second run or a second outcome of a request, a
/// `not_run` that ran, a stop of a seen generation, and requests that are kept past their
/// deadline or for ever. `Sim` checks after each step.
#[test]
fn random_runs_keep_the_invariants() {
    for seed in 0..seeds(3) {
        for name in POLICIES {
            let config = SchedulerConfig::new(6_000, 16);
            let mut sim = Sim::new(seed, config, policy(name));
            for _ in 0..2_000 {
                random_event(&mut sim);
                sim.step();
            }
            let mut steps = 0;
            while !sim.open().is_empty() {
                sim.step();
                steps += 1;
                assert!(
                    steps < 200_000,
                    "seed {seed}, {name}: {:?} never end",
                    sim.open()
                );
            }
            let load = sim.scheduler.load();
            assert_eq!(
                (load.used_tokens, load.backlog_tokens),
                (0, 0),
                "seed {seed}, {name}"
            );
            let complete = sim
                .outcomes
                .values()
                .filter(|end| **end == Outcome::Complete);
            let complete = complete.count();
            assert!(complete > 20, "seed {seed}, {name}: {complete} complete");
        }
    }
}

fn random_event(sim: &mut Sim) {
    if sim.rng.random_bool(0.3) {
        let lane = [Lane::Small, Lane::Long][usize::from(sim.rng.random_bool(0.6))];
        let workspace = ["a", "b", "c"][sim.rng.random_range(0..3)];
        let mut request = sim.request(workspace, lane);
        request.weight = sim.rng.random_range(1..5);
        request.prompt_tokens = sim.rng.random_range(1..2_000);
        request.max_tokens = sim.rng.random_range(1..8_000);
        request.deadline_ms = sim.now_ms + sim.rng.random_range(0..120_000);
        request.served_elsewhere_tokens = sim.rng.random_range(0..1_000);
        let length = draw(&mut sim.rng, 60.0, 1.3);
        let streams = sim.rng.random_bool(0.5);
        sim.submit(request, length, streams);
    }
    if sim.rng.random_bool(0.02) {
        let open = sim.open();
        if !open.is_empty() {
            let index = sim.rng.random_range(0..open.len());
            sim.cancel(open[index]);
        }
    }
}

/// Keeps `depth` long requests of each workspace open, with its weight.
fn keep_busy(sim: &mut Sim, workspaces: &[(&str, u32)], depth: usize, streams: bool) {
    for (workspace, weight) in workspaces {
        let open = sim.open_of(workspace);
        for _ in open..depth {
            let mut request = sim.request(workspace, Lane::Long);
            request.weight = *weight;
            let length = draw(&mut sim.rng, 150.0, 1.0);
            sim.submit(request, length, streams);
        }
    }
}

/// Guards against shares that depart from the weights by more than 5 % under contention. The run
/// is long because a single answer of 8,000 tokens is that much in a short one.
#[test]
fn shares_follow_the_weights() {
    for seed in 0..seeds(2) {
        let mut config = SchedulerConfig::new(20_000, 32);
        config.long_wait_ms = 1_000_000;
        let mut sim = Sim::new(seed, config, policy("adaptive"));
        let workspaces = [("a", 1), ("b", 2), ("c", 4)];
        for _ in 0..60_000 {
            keep_busy(&mut sim, &workspaces, 40, true);
            sim.step();
        }
        let total: u64 = sim.tokens.values().sum();
        for (workspace, weight) in workspaces {
            #[allow(clippy::cast_precision_loss)]
            let share = sim.tokens[workspace] as f64 / total as f64;
            let due = f64::from(weight) / 7.0;
            assert!(
                (share / due - 1.0).abs() < 0.05,
                "seed {seed}: {workspace} got {share:.4}, due {due:.4}"
            );
        }
    }
}

/// Guards against service elsewhere that does not count here, or that starves a workspace here.
#[test]
fn tokens_served_elsewhere_count_up_to_a_bound() {
    let mut shares = Shares::default();
    let (a, b) = ("a".into(), "b".into());
    shares.add_request(&a, 2);
    shares.add_request(&b, 1);
    shares.charge_elsewhere(&a, 100.0, 80.0);
    assert!((shares.virtual_time(&a) - 50.0).abs() < 1e-9);
    shares.charge_elsewhere(&a, 1e9, 80.0);
    assert!((shares.virtual_time(&a) - 80.0).abs() < 1e-9);
    assert!(shares.virtual_time(&b) < 1e-9);
}

fn p99(values: &mut [u64]) -> u64 {
    values.sort_unstable();
    values[values.len() * 99 / 100]
}

/// Guards against small calls that wait behind long ones: under a saturating long load their p99
/// is at most twice that of the same calls alone.
#[test]
fn small_calls_do_not_wait_behind_long_ones() {
    for seed in 0..seeds(3) {
        let latency = |loaded: bool| {
            let mut config = SchedulerConfig::new(20_000, 32);
            config.long_wait_ms = 1_000_000;
            let mut sim = Sim::new(seed, config, policy("adaptive"));
            for step in 0..20_000 {
                if loaded {
                    keep_busy(&mut sim, &[("a", 1), ("b", 1)], 40, true);
                }
                if step % 10 == 0 {
                    let request = sim.request("c", Lane::Small);
                    let length = draw(&mut sim.rng, 15.0, 0.3);
                    sim.submit(request, length, false);
                }
                sim.step();
            }
            p99(sim.latency_ms.get_mut(&Lane::Small).unwrap())
        };
        let (alone, loaded) = (latency(false), latency(true));
        assert!(
            loaded <= 2 * alone,
            "seed {seed}: {loaded} ms, alone {alone} ms"
        );
    }
}

/// Guards against a gate that overflows memory or leaves it unused: preemptions at most a tenth
/// of those without a gate, at 95 % of its goodput or more.
#[test]
fn memory_rarely_overflows_and_is_used() {
    for seed in 0..seeds(3) {
        let run = |name: &str| {
            let mut config = SchedulerConfig::new(20_000, 64);
            config.long_wait_ms = 1_000_000;
            let mut sim = Sim::new(seed, config, policy(name));
            while sim.now_ms < 150_000 {
                keep_busy(&mut sim, &[("a", 1), ("b", 1)], 50, true);
                sim.step();
            }
            eprintln!(
                "{name}: {} preempted, {} stopped, {} good tokens",
                sim.engine_preemptions, sim.stops, sim.good_tokens
            );
            (sim.engine_preemptions + sim.stops, sim.good_tokens)
        };
        let (ungated, ungated_good) = run("none");
        let (gated, gated_good) = run("adaptive");
        assert!(
            10 * gated <= ungated,
            "seed {seed}: {gated} of {ungated} preemptions"
        );
        assert!(
            100 * gated_good >= 95 * ungated_good,
            "seed {seed}: {gated_good} of {ungated_good} good tokens"
        );
    }
}

/// Guards against requests that are held although they can't be served in time.
#[test]
fn hopeless_requests_are_refused_at_once() {
    let mut config = SchedulerConfig::new(20_000, 16);
    config.long_wait_ms = 5_000;
    let mut sim = Sim::new(1, config, policy("adaptive"));
    for _ in 0..3_000 {
        keep_busy(&mut sim, &[("a", 1)], 20, true);
        sim.step();
    }
    let mut request = sim.request("a", Lane::Long);
    request.deadline_ms = sim.now_ms + STEP_MS;
    assert!(
        !sim.submit(request, 10, true),
        "no time is left for an answer"
    );
    let mut accepted = 0;
    for _ in 0..1_000 {
        let request = sim.request("a", Lane::Long);
        accepted += u32::from(sim.submit(request, 10, true));
    }
    assert!(accepted < 200, "{accepted} requests were queued for 5 s");
}
