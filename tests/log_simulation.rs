//! Long randomised simulations of the log core. `LILAC_SEEDS` sets the number of seeds,
//! `LILAC_FIRST_SEED` the first one.

// Sizes in tests fit in any integer.
#![allow(clippy::cast_possible_truncation)]

mod log_support;

use lilacspindle::domain::log::{Core, Options};
use log_support::{ELECTION_MS, Faults, Simulation};

fn seeds(default: u64) -> std::ops::Range<u64> {
    let count = std::env::var("LILAC_SEEDS")
        .ok()
        .and_then(|text| text.parse().ok());
    let first = std::env::var("LILAC_FIRST_SEED")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    first..first + count.unwrap_or(default)
}

/// Events counted in a simulation.
#[derive(Debug, Default)]
struct Counts {
    operations: usize,
    lost_disks: u64,
    installed_snapshots: u64,
}

/// Runs one seed with `faults`, then without any, and returns an error with the first violation
/// found.
fn run_seed(seed: u64, faults: Faults, options: Options) -> Result<Counts, String> {
    let voters = [3, 3, 5, 1][(seed % 4) as usize];
    let mut simulation = Simulation::new(seed, voters, faults, options);
    simulation.run(20_000, true);
    simulation.heal();
    simulation.run(20_000, true);
    // Runs without operations, so that the last edits reach all nodes.
    simulation.run(2_000, false);
    simulation.check_logs();
    if let Some(violation) = simulation.violations.first() {
        return Err(violation.clone());
    }
    simulation.history.check()?;
    check_converged(&simulation)?;
    Ok(Counts {
        operations: simulation.history.completed(),
        lost_disks: simulation.lost_disks,
        installed_snapshots: simulation.installed_snapshots,
    })
}

/// Checks that, after the faults have ended, all nodes vote and hold the same register as the
/// leader, and that no instance has two identities.
fn check_converged(simulation: &Simulation) -> Result<(), String> {
    let leader = simulation.leader().ok_or("no leader after healing")?;
    let leader = &simulation.nodes[leader];
    let config = leader
        .core
        .as_ref()
        .and_then(Core::config)
        .cloned()
        .unwrap_or_default();
    if config.voters().count() != simulation.nodes.len() {
        return Err(format!(
            "{} nodes, but the members are {config:?}",
            simulation.nodes.len()
        ));
    }
    for node in &simulation.nodes {
        if node.register != leader.register || !config.is_voter(node.id) {
            let status = node.core.as_ref().map(Core::status);
            let leading = leader.core.as_ref().map(Core::status);
            return Err(format!(
                "{} did not converge: {status:?}, leader {leading:?}",
                node.name
            ));
        }
    }
    Ok(())
}

/// Returns the first seed that violates a check, with the violation.
fn find_violation(count: u64, faults: Faults, options: Options) -> Option<(u64, String)> {
    let violation = |seed| Some((seed, run_seed(seed, faults, options).err()?));
    let found = (0..count).find_map(violation);
    println!("{found:?}");
    found
}

/// Guards against violations of linearizability or of the log's invariants, and against clusters
/// that do not converge after faults.
#[test]
fn random_runs_keep_all_invariants() {
    let mut total = Counts::default();
    for seed in seeds(60) {
        match run_seed(seed, Faults::all(), Options::default()) {
            Ok(counts) => {
                total.operations += counts.operations;
                total.lost_disks += counts.lost_disks;
                total.installed_snapshots += counts.installed_snapshots;
            }
            Err(violation) => panic!("seed {seed}: {violation}"),
        }
    }
    println!("{total:?}");
    // Without operations, lost disks and installed snapshots, the runs would prove nothing.
    assert!(total.operations > 0 && total.lost_disks > 0 && total.installed_snapshots > 0);
}

/// Shows that the simulation detects acknowledgements sent before the data is synced.
#[test]
fn runs_find_acknowledgements_before_sync() {
    let faults = Faults {
        crash_before_sync: 30,
        lose_disk: 0,
        ..Faults::all()
    };
    let options = Options {
        sync_before_ack: false,
        ..Options::default()
    };
    assert!(find_violation(60, faults, options).is_some());
}

/// Shows that the simulation detects a voter that lost its disk and votes under its old identity.
#[test]
fn runs_find_lost_disks_under_an_old_identity() {
    let faults = Faults {
        lose_disk: 5,
        keep_identity: true,
        ..Faults::all()
    };
    assert!(find_violation(60, faults, Options::default()).is_some());
}

/// Shows that the simulation detects outdated reads from a deposed leader that ignores the end of
/// its lease, and that there are none with lease checks.
#[test]
fn runs_find_reads_without_lease() {
    let faults = Faults {
        isolate: 10,
        pause: 10,
        ..Faults::default()
    };
    let faults = Faults {
        max_delay_ms: 10,
        ..faults
    };
    let options = Options {
        lease_checks: false,
        ..Options::default()
    };
    let found = find_violation(60, faults, options);
    assert!(
        found
            .as_ref()
            .is_some_and(|(_, violation)| violation.contains("seen from")),
        "{found:?}"
    );
    assert_eq!(find_violation(20, faults, Options::default()), None);
}

/// Shows that the simulation detects an isolated leader that does not step down, and that there is
/// none with the quorum check.
#[test]
fn runs_find_leaders_without_quorum() {
    let faults = Faults {
        isolate: 4,
        max_delay_ms: 10,
        ..Faults::default()
    };
    let options = Options {
        quorum_check: false,
        ..Options::default()
    };
    let found = find_violation(60, faults, options);
    assert!(
        found
            .as_ref()
            .is_some_and(|(_, violation)| violation.contains("still leads")),
        "{found:?}"
    );
    assert_eq!(find_violation(20, faults, Options::default()), None);
}

/// Returns true if the term or the leader changes when a long isolated follower reconnects.
fn rejoin_disrupts_leader(seed: u64, options: Options) -> bool {
    let faults = Faults {
        max_delay_ms: 5,
        ..Faults::default()
    };
    let mut simulation = Simulation::new(seed, 3, faults, options);
    simulation.run(2_000, true);
    let leader = simulation.leader().expect("a leader without faults");
    let term = |simulation: &Simulation| {
        simulation.nodes[leader]
            .core
            .as_ref()
            .map(|core| (core.is_leader(), core.status().term))
    };
    let before = term(&simulation);
    simulation.isolate((leader + 1) % 3, 40 * ELECTION_MS);
    simulation.run(60 * ELECTION_MS, true);
    assert_eq!(simulation.violations, Vec::<String>::new());
    term(&simulation) != before
}

/// Guards against a reconnecting instance that deposes the leader, and shows that without pre-vote
/// it does.
#[test]
fn isolated_follower_does_not_disrupt_on_return() {
    for seed in seeds(40) {
        assert!(
            !rejoin_disrupts_leader(seed, Options::default()),
            "seed {seed}"
        );
    }
    let without = Options {
        pre_vote: false,
        ..Options::default()
    };
    assert!((0..40).any(|seed| rejoin_disrupts_leader(seed, without)));
}

/// Loses a disk and waits for its repair, three times without a pause in between.
fn lose_disks_in_turn(seed: u64, faults: Faults) -> Result<(), String> {
    let mut simulation = Simulation::new(seed, 3, faults, Options::default());
    simulation.run(2_000, true);
    for round in 0..3 {
        let lost = simulation.random.below(3) as usize;
        simulation.lose_disk(lost);
        let mut waited_ms = 0;
        while simulation.repairing() && waited_ms < 20_000 {
            simulation.run(10, true);
            waited_ms += 10;
        }
        if simulation.repairing() {
            return Err(format!("round {round}: lost disk not repaired"));
        }
    }
    simulation.heal();
    simulation.run(5_000, false);
    if let Some(violation) = simulation.violations.first() {
        return Err(violation.clone());
    }
    simulation.history.check()?;
    check_converged(&simulation)
}

/// Guards against the loss of commands when a second disk is lost right after the first repair, and
/// shows that the simulation detects an instance that lost its disk and keeps its identity.
#[test]
fn commands_survive_a_second_disk_loss_right_after_the_repair() {
    let faults = Faults {
        max_delay_ms: 10,
        loss: 10,
        ..Faults::default()
    };
    for seed in seeds(40) {
        assert_eq!(lose_disks_in_turn(seed, faults), Ok(()), "seed {seed}");
    }
    let kept_identity = Faults {
        keep_identity: true,
        ..faults
    };
    assert!((0..40).any(|seed| lose_disks_in_turn(seed, kept_identity).is_err()));
}
