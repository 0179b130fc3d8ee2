//! Randomised runs of the broker and its holders: loss, delay, repeated messages, restarts, cut-off
//! entries, leader changes, changed rows and adoptions. `LILAC_SEEDS` sets the number of seeds.

mod room_support;

use lilacspindle::domain::room::RoomTimes;
use room_support::Run;

const FAULTY_MS: u64 = 300_000;
const CALM_MS: u64 = 200_000;

fn seeds() -> std::ops::Range<u64> {
    let count = std::env::var("LILAC_SEEDS").ok();
    0..count.and_then(|count| count.parse().ok()).unwrap_or(40)
}

fn faults(seed: u64, times: RoomTimes) -> Vec<String> {
    let mut run = Run::new(seed, times);
    run.run(FAULTY_MS, CALM_MS);
    run.faults_found
}

/// Guards against more running generations than the row has room for, at any step.
#[test]
fn room_holds_under_faults() {
    let (mut admitted, mut adopted, mut overruns) = (0, 0, 0);
    for seed in seeds() {
        let mut run = Run::new(seed, RoomTimes::default());
        run.run(FAULTY_MS, CALM_MS);
        assert!(
            run.faults_found.is_empty(),
            "seed {seed}: {:?}",
            run.faults_found
        );
        // Guards against slots that are lost for good: once faults end, each row fills up again.
        assert_eq!(run.full, [true; 3], "seed {seed}: rows that filled up");
        admitted += run.admitted;
        adopted += run.adopted;
        overruns += run.overruns;
    }
    println!("admitted {admitted}, adopted {adopted}, read on beyond the reservation {overruns}");
    assert!(
        admitted > 1_000 && adopted > 0,
        "the run exercised too little"
    );
}

/// The oracle sees a broker that frees the slots of a silent holder at the end of its lease.
#[test]
fn without_reservation_the_oracle_fails() {
    let times = RoomTimes {
        orphan_ms: 0,
        ..RoomTimes::default()
    };
    assert!((0..10).any(|seed| !faults(seed, times).is_empty()));
}

/// The oracle sees a new leader that grants before the old leader's leases have ended.
#[test]
fn without_leader_grace_the_oracle_fails() {
    let times = RoomTimes {
        grace_ms: 0,
        ..RoomTimes::default()
    };
    assert!((0..10).any(|seed| !faults(seed, times).is_empty()));
}
