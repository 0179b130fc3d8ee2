//! Randomised runs of the scheduler with a simulated engine. `LILAC_SEEDS` sets the number of
//! seeds.

mod schedule_support;

use lilacspindle::domain::schedule::{Policy, SchedulerConfig, Shares};
use lilacspindle::rpc::sidecar::Lane;
use rand::RngExt;
use schedule_support::{Outcome, STEP_MS, Sim, random_length, seed_count};

const POLICIES: [&str; 4] = ["adaptive", "none", "fixed", "worst_case"];

fn policy(name: &str) -> Policy {
    Policy::by_name(name).unwrap()
}

/// Guards against wrong memory accounting, a second run or a second outcome of a request, a request
/// reported as `not_run` after it was started, a stop of a generation that has sent output, and
/// requests that are kept past their deadline or never end. `Sim` checks after each step.
#[test]
fn invariants_hold_in_random_runs() {
    for seed in 0..seed_count(3) {
        for name in POLICIES {
            let config = SchedulerConfig::new(6_000, 16);
            let mut sim = Sim::new(seed, config, policy(name));
            for _ in 0..2_000 {
                submit_or_cancel_at_random(&mut sim);
                sim.step();
            }
            let mut steps = 0;
            while !sim.open().is_empty() {
                sim.step();
                steps += 1;
                assert!(
                    steps < 200_000,
                    "seed {seed}, {name}: {:?} still open after {steps} more steps",
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
            assert!(
                complete > 20,
                "seed {seed}, {name}: only {complete} requests completed"
            );
        }
    }
}

fn submit_or_cancel_at_random(sim: &mut Sim) {
    if sim.rng.random_bool(0.3) {
        let lane = [Lane::Small, Lane::Long][usize::from(sim.rng.random_bool(0.6))];
        let workspace = ["a", "b", "c"][sim.rng.random_range(0..3)];
        let mut request = sim.request(workspace, lane);
        request.weight = sim.rng.random_range(1..5);
        request.prompt_tokens = sim.rng.random_range(1..2_000);
        request.max_tokens = sim.rng.random_range(1..8_000);
        request.deadline_ms = sim.now_ms + sim.rng.random_range(0..120_000);
        request.served_elsewhere_tokens = sim.rng.random_range(0..1_000);
        let length = random_length(&mut sim.rng, 60.0, 1.3);
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

/// Submits long requests until each workspace has `depth` open ones.
fn submit_up_to(sim: &mut Sim, workspaces: &[(&str, u32)], depth: usize, streams: bool) {
    for (workspace, weight) in workspaces {
        let open = sim.open_of(workspace);
        for _ in open..depth {
            let mut request = sim.request(workspace, Lane::Long);
            request.weight = *weight;
            let length = random_length(&mut sim.rng, 150.0, 1.0);
            sim.submit(request, length, streams);
        }
    }
}

/// Guards against token shares that deviate from the workspaces' weights by more than 5 % under
/// contention. The run is long because in a short one a single output of 8,000 tokens would already
/// exceed 5 %.
#[test]
fn token_shares_follow_workspace_weights() {
    for seed in 0..seed_count(2) {
        let mut config = SchedulerConfig::new(20_000, 32);
        config.long_wait_ms = 1_000_000;
        let mut sim = Sim::new(seed, config, policy("adaptive"));
        let workspaces = [("a", 1), ("b", 2), ("c", 4)];
        for _ in 0..60_000 {
            submit_up_to(&mut sim, &workspaces, 40, true);
            sim.step();
        }
        let total: u64 = sim.tokens.values().sum();
        for (workspace, weight) in workspaces {
            #[allow(clippy::cast_precision_loss)]
            let share = sim.tokens[workspace] as f64 / total as f64;
            let expected_share = f64::from(weight) / 7.0;
            assert!(
                (share / expected_share - 1.0).abs() < 0.05,
                "seed {seed}: {workspace} got a share of {share:.4}, expected {expected_share:.4}"
            );
        }
    }
}

/// Guards against tokens from other sidecars that are not charged to a workspace's share, and
/// against charges so large that the workspace starves.
#[test]
fn tokens_served_elsewhere_are_charged_up_to_a_bound() {
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

/// Guards against requests of the small lane that wait behind long ones: under a saturating load of
/// long requests their p99 latency may be at most twice as high as without it.
#[test]
fn small_calls_do_not_wait_behind_long_ones() {
    for seed in 0..seed_count(3) {
        let latency = |loaded: bool| {
            let mut config = SchedulerConfig::new(20_000, 32);
            config.long_wait_ms = 1_000_000;
            let mut sim = Sim::new(seed, config, policy("adaptive"));
            for step in 0..20_000 {
                if loaded {
                    submit_up_to(&mut sim, &[("a", 1), ("b", 1)], 40, true);
                }
                if step % 10 == 0 {
                    let request = sim.request("c", Lane::Small);
                    let length = random_length(&mut sim.rng, 15.0, 0.3);
                    sim.submit(request, length, false);
                }
                sim.step();
            }
            p99(sim.latency_ms.get_mut(&Lane::Small).unwrap())
        };
        let (alone, loaded) = (latency(false), latency(true));
        assert!(
            loaded <= 2 * alone,
            "seed {seed}: p99 is {loaded} ms under load, {alone} ms without"
        );
    }
}

/// Guards against admission control that lets memory overflow or leaves it unused: it may cause at
/// most a tenth of the preemptions that occur without it, at no less than 95 % of the goodput.
#[test]
fn admission_control_limits_preemptions_and_keeps_goodput() {
    for seed in 0..seed_count(3) {
        let run = |name: &str| {
            let mut config = SchedulerConfig::new(20_000, 64);
            config.long_wait_ms = 1_000_000;
            let mut sim = Sim::new(seed, config, policy(name));
            while sim.now_ms < 150_000 {
                submit_up_to(&mut sim, &[("a", 1), ("b", 1)], 50, true);
                sim.step();
            }
            eprintln!(
                "{name}: {} preempted by the engine, {} stopped, {} tokens of complete outputs",
                sim.engine_preemptions, sim.stops, sim.good_tokens
            );
            (sim.engine_preemptions + sim.stops, sim.good_tokens)
        };
        let (uncontrolled, uncontrolled_goodput) = run("none");
        let (controlled, controlled_goodput) = run("adaptive");
        assert!(
            10 * controlled <= uncontrolled,
            "seed {seed}: {controlled} preemptions with admission control, {uncontrolled} without"
        );
        assert!(
            100 * controlled_goodput >= 95 * uncontrolled_goodput,
            "seed {seed}: goodput {controlled_goodput} tokens, {uncontrolled_goodput} uncontrolled"
        );
    }
}

/// Guards against requests that are queued although they cannot be served in time.
#[test]
fn requests_that_cannot_be_served_in_time_are_refused_at_once() {
    let mut config = SchedulerConfig::new(20_000, 16);
    config.long_wait_ms = 5_000;
    let mut sim = Sim::new(1, config, policy("adaptive"));
    for _ in 0..3_000 {
        submit_up_to(&mut sim, &[("a", 1)], 20, true);
        sim.step();
    }
    let mut request = sim.request("a", Lane::Long);
    request.deadline_ms = sim.now_ms + STEP_MS;
    assert!(
        !sim.submit(request, 10, true),
        "queued although the deadline is one step away"
    );
    let mut accepted = 0;
    for _ in 0..1_000 {
        let request = sim.request("a", Lane::Long);
        accepted += u32::from(sim.submit(request, 10, true));
    }
    assert!(
        accepted < 200,
        "{accepted} requests were queued with a wait limit of 5 s"
    );
}
