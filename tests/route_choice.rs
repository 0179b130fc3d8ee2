//! Randomised tests of the choice of a replica. `LILAC_SEEDS=n` runs n seeds.

use std::collections::BTreeSet;

use lilacspindle::domain::route::{Load, Place, RequestProfile, choose, name_hash, preferred};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const REPLICAS: usize = 20;
const PROFILE: RequestProfile = RequestProfile {
    prompt_tokens: 100.0,
    prefix: None,
};

fn seeds() -> std::ops::Range<u64> {
    let count = std::env::var("LILAC_SEEDS")
        .ok()
        .and_then(|text| text.parse().ok());
    0..count.unwrap_or(20)
}

fn places(count: usize) -> Vec<Place> {
    let place = |index: usize| Place {
        hash: name_hash(&format!("engine-{index}")),
        same_zone: index.is_multiple_of(3),
    };
    (0..count).map(place).collect()
}

fn load(demand_tokens: f64, token_ms: f64, age_ms: f64) -> Load {
    Load {
        open: demand_tokens / 100.0,
        queued: 0.0,
        demand_tokens,
        capacity_tokens: 10_000.0,
        token_ms: Some(token_ms),
        age_ms,
    }
}

/// Guards against choosing an unusable replica, and against choosing none while one is usable.
#[test]
fn only_usable_replicas_are_chosen() {
    for seed in seeds() {
        let mut random = StdRng::seed_from_u64(seed);
        let places = places(REPLICAS);
        for _ in 0..200 {
            let usable: BTreeSet<usize> =
                (0..REPLICAS).filter(|_| random.random_bool(0.1)).collect();
            let profile = RequestProfile {
                prompt_tokens: 500.0,
                prefix: Some(random.random()),
            };
            let demand: f64 = random.random_range(0.0..12_000.0);
            let loads = |index| usable.contains(&index).then(|| load(demand, 20.0, 10.0));
            let chosen = choose(&places, &profile, loads, || random.random());
            match chosen {
                Some(index) => assert!(
                    usable.contains(&index),
                    "seed {seed}: chose {index}, usable are {usable:?}"
                ),
                None => assert!(usable.is_empty(), "seed {seed}: chose none of {usable:?}"),
            }
        }
    }
}

/// Number of requests between two load reports.
const REQUESTS_PER_REPORT: u32 = 50;

/// Sends requests based on stale reports. Returns the maximum number of requests that one replica
/// got between two reports, and the highest demand of any replica, in tokens.
fn run_with_stale_reports(seed: u64, prefix: Option<u64>) -> (u32, f64) {
    let mut random = StdRng::seed_from_u64(seed);
    let places = places(REPLICAS);
    let mut demand = [0.0_f64; REPLICAS];
    let (mut most, mut highest) = (0, 0.0_f64);
    for _ in 0..40 {
        let reported = demand;
        let mut sent = [0; REPLICAS];
        for _ in 0..REQUESTS_PER_REPORT {
            // The prompt is so long that its cached prefix saves more than any queue in the test
            // costs.
            let profile = RequestProfile {
                prompt_tokens: 3_000.0,
                prefix,
            };
            let loads = |index: usize| Some(load(reported[index], 20.0, 100.0));
            let index = choose(&places, &profile, loads, || random.random()).unwrap();
            sent[index] += 1;
            demand[index] += 100.0;
            highest = highest.max(demand[index]);
            for demand in &mut demand {
                *demand = (*demand - 5.0).max(0.0);
            }
        }
        most = most.max(sent.into_iter().max().unwrap());
    }
    (most, highest)
}

/// Guards against sending all requests to the replica that looks best in a stale report. A replica
/// is chosen only if it is one of the 2 drawn out of 20, so it gets 5 of 50 requests on average;
/// 20 or more have a probability below 1e-8.
#[test]
fn stale_reports_do_not_cause_herding() {
    for seed in seeds() {
        let (most, _) = run_with_stale_reports(seed, None);
        assert!(
            most < 20,
            "seed {seed}: a replica got {most} of {REQUESTS_PER_REPORT} requests"
        );
    }
}

/// Guards against a popular prefix that overloads its preferred replica. Demand drains evenly from
/// all replicas as fast as it arrives, so without the load bound the preferred replica would exceed
/// its memory of 10,000 tokens.
#[test]
fn popular_prefix_does_not_overload_its_replica() {
    for seed in seeds() {
        let (_, highest) = run_with_stale_reports(seed, Some(seed.wrapping_mul(77)));
        assert!(
            highest < 10_000.0,
            "seed {seed}: a replica had {highest} tokens"
        );
    }
}

/// Guards against prompts with a common prefix that miss the cache although the fleet is idle, and
/// against prefixes that move when another replica than their own leaves.
#[test]
fn prefixes_keep_their_replica() {
    for seed in seeds() {
        let mut random = StdRng::seed_from_u64(seed);
        let places = places(REPLICAS);
        let prefix = random.random();
        let profile = RequestProfile {
            prompt_tokens: 1_000.0,
            prefix: Some(prefix),
        };
        let home = preferred(&places, prefix, |_| true).unwrap();
        let hits = (0..200)
            .filter(|_| {
                let loads = |_| Some(load(0.0, 20.0, 10.0));
                choose(&places, &profile, loads, || random.random()) == Some(home)
            })
            .count();
        assert!(
            hits >= 180,
            "seed {seed}: {hits} of 200 went to the preferred replica"
        );
        for leaving in 0..REPLICAS {
            let other = preferred(&places, prefix, |index| index != leaving).unwrap();
            assert!(
                leaving == home || other == home,
                "seed {seed}: the prefix left replica {home} when replica {leaving} left"
            );
        }
    }
}

/// Returns the fraction of the requests that one replica gets.
fn share(seed: u64, loads: impl Fn(usize) -> Option<Load>, replica: usize) -> f64 {
    let mut random = StdRng::seed_from_u64(seed);
    let places = places(10);
    let chosen = (0..10_000)
        .filter(|_| choose(&places, &PROFILE, &loads, || random.random()) == Some(replica));
    f64::from(u32::try_from(chosen.count()).unwrap()) / 10_000.0
}

/// Guards against a slow replica that keeps its share of requests, is never measured again, or does
/// not get its share back once it is fast. An even share is a tenth, and a replica of the same zone
/// gets more. A request probes the slow replica with a probability of 1 in 640, so the probability
/// of no probe in 10,000 requests is below 1e-6.
#[test]
fn a_slow_replica_is_probed_and_recovers() {
    for seed in seeds() {
        let with_speed = |token_ms: f64| {
            move |index: usize| {
                let speed = if index == 3 { token_ms } else { 20.0 };
                Some(Load {
                    open: 0.0,
                    ..load(0.0, speed, 10.0)
                })
            }
        };
        let slow = share(seed, with_speed(200.0), 3);
        assert!(slow < 0.02, "seed {seed}: the slow replica gets {slow}");
        assert!(
            slow > 0.0,
            "seed {seed}: the slow replica is never measured again"
        );
        let recovered = share(seed, with_speed(20.0), 3);
        assert!(
            recovered > 0.1,
            "seed {seed}: the recovered replica gets {recovered}"
        );
    }
}

/// Guards against giving small replicas as much work as large ones.
#[test]
fn replicas_fill_in_proportion_to_their_capacity() {
    for seed in seeds() {
        let mut random = StdRng::seed_from_u64(seed);
        let places = places(10);
        let capacity = |index: usize| if index < 5 { 10_000.0 } else { 40_000.0 };
        let mut demand = [0.0_f64; 10];
        for _ in 0..1_500 {
            let loads = |index: usize| {
                Some(Load {
                    capacity_tokens: capacity(index),
                    ..load(demand[index], 20.0, 5.0)
                })
            };
            let index = choose(&places, &PROFILE, loads, || random.random()).unwrap();
            demand[index] += 100.0;
        }
        let fill = |index: usize| demand[index] / capacity(index);
        let small: f64 = (0..5).map(fill).sum::<f64>() / 5.0;
        let large: f64 = (5..10).map(fill).sum::<f64>() / 5.0;
        assert!(
            small < 1.5 * large,
            "seed {seed}: small {small}, large {large}"
        );
    }
}

/// Guards against crossing zones while replicas of the same zone are equally good.
#[test]
fn the_zone_breaks_near_ties() {
    for seed in seeds() {
        let mut random = StdRng::seed_from_u64(seed);
        let places = places(9);
        let own = (0..3_000)
            .filter(|_| {
                let loads = |_| Some(load(1_000.0, 20.0, 10.0));
                choose(&places, &PROFILE, loads, || random.random())
                    .is_some_and(|index| places[index].same_zone)
            })
            .count();
        // A third of the replicas is in the same zone, so 21 of the 36 possible samples of two
        // contain one: 18 contain one and 3 contain two.
        assert!(own > 1_600, "seed {seed}: {own} of 3000 stayed in the zone");
    }
}
