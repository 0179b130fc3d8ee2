//! Randomised runs of the slot broker and its holders with lost, delayed and repeated messages,
//! restarts, unreachable entries, leader changes, changed limits and adoptions. `LILAC_SEEDS` sets
//! the number of seeds.

mod room_support;

use lilacspindle::domain::room::RoomTimes;
use room_support::Simulation;

const FAULT_PHASE_MS: u64 = 300_000;
const FAULT_FREE_PHASE_MS: u64 = 200_000;

fn seeds() -> std::ops::Range<u64> {
    let count = std::env::var("LILAC_SEEDS").ok();
    0..count.and_then(|count| count.parse().ok()).unwrap_or(40)
}

fn violations_of(seed: u64, times: RoomTimes) -> Vec<String> {
    let mut simulation = Simulation::new(seed, times);
    simulation.run(FAULT_PHASE_MS, FAULT_FREE_PHASE_MS);
    simulation.violations
}

/// Guards against more running generations than the row has slots, at any step.
#[test]
fn row_limits_hold_under_faults() {
    let (mut admitted, mut adopted, mut overruns) = (0, 0, 0);
    for seed in seeds() {
        let mut simulation = Simulation::new(seed, RoomTimes::default());
        simulation.run(FAULT_PHASE_MS, FAULT_FREE_PHASE_MS);
        assert!(
            simulation.violations.is_empty(),
            "seed {seed}: {:?}",
            simulation.violations
        );
        // Guards against slots that are never freed: once faults end, each row fills up again.
        assert_eq!(
            simulation.filled, [true; 3],
            "seed {seed}: rows whose slots were all used again"
        );
        admitted += simulation.admitted;
        adopted += simulation.adopted;
        overruns += simulation.overruns;
    }
    println!("admitted {admitted}, adopted {adopted}, outlasted their reservation {overruns}");
    assert!(
        admitted > 1_000 && adopted > 0,
        "too few admissions or adoptions for a meaningful simulation: {admitted}, {adopted}"
    );
}

/// Checks that the oracle detects a broker that frees the slots of an unreachable holder as soon
/// as its lease ends.
#[test]
fn oracle_detects_missing_reservation_after_lease_end() {
    let times = RoomTimes {
        orphan_ms: 0,
        ..RoomTimes::default()
    };
    assert!((0..10).any(|seed| !violations_of(seed, times).is_empty()));
}

/// Checks that the oracle detects a new leader that grants slots before the old leader's leases
/// have ended.
#[test]
fn oracle_detects_missing_leader_grace_period() {
    let times = RoomTimes {
        grace_ms: 0,
        ..RoomTimes::default()
    };
    assert!((0..10).any(|seed| !violations_of(seed, times).is_empty()));
}
