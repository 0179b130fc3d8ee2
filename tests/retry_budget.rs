//! Randomised tests of retry budgets, and tests of the rule that allows a new attempt.
//! `LILAC_SEEDS=n` runs n seeds.

use lilacspindle::domain::retry::{Budget, ExecutionStatus, FailedAttempt, may_repeat, pause_ms};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

fn seeds() -> std::ops::Range<u64> {
    let count = std::env::var("LILAC_SEEDS")
        .ok()
        .and_then(|text| text.parse().ok());
    0..count.unwrap_or(20)
}

/// Guards against retries that multiply the load of a failing fleet. Beyond the initial budget,
/// there may be one retry per ten successes and one per second.
#[test]
fn retries_stay_within_the_budget() {
    for seed in seeds() {
        let mut random = StdRng::seed_from_u64(seed);
        let limit = random.random_range(1..50);
        let mut budget = Budget::new(limit, 1_000);
        let (mut now_ms, mut successes, mut taken) = (1_000_u64, 0_u64, 0_u64);
        for _ in 0..20_000 {
            match random.random_range(0..4) {
                0 => now_ms += random.random_range(0..50),
                1 => {
                    successes += 1;
                    budget.succeed();
                }
                // Threads may pass slightly older times, as each reads the clock itself.
                _ => {
                    let lag_ms = random.random_range(0..5);
                    taken += u64::from(budget.take(now_ms.saturating_sub(lag_ms)));
                }
            }
            let paid = limit * 1_000 + successes * 100 + (now_ms - 1_000);
            assert!(
                taken * 1_000 <= paid,
                "seed {seed}: {taken} retries, but only {paid} thousandths of a retry allowed"
            );
        }
        assert!(taken > limit, "seed {seed}: the budget was never refilled");
    }
}

/// Guards against a budget that stays empty, and against one that exceeds its capacity.
#[test]
fn an_idle_budget_fills_to_its_limit() {
    let mut budget = Budget::new(3, 0);
    assert!((0..3).all(|_| budget.take(0)));
    assert!(!budget.take(999) && budget.take(1_000));
    let after_an_hour = (0..10).filter(|_| budget.take(3_600_000)).count();
    assert_eq!(after_an_hour, 3);
}

/// Guards against pauses without jitter, without growth or without bound.
#[test]
fn pauses_are_spread_over_a_growing_range() {
    for seed in seeds() {
        let mut random = StdRng::seed_from_u64(seed);
        let mut mean = |retries: u32| {
            let pauses: Vec<u64> = (0..500)
                .map(|_| pause_ms(retries, random.random()))
                .collect();
            let highest = *pauses.iter().max().unwrap();
            assert!(highest <= 2_000, "seed {seed}: {highest} ms");
            assert!(
                pauses.iter().any(|pause| pause * 4 < highest),
                "seed {seed}: no jitter"
            );
            pauses.iter().sum::<u64>() / 500
        };
        let (first, third, last) = (mean(0), mean(2), mean(u32::MAX));
        assert!(
            first < third && third < last,
            "seed {seed}: {first} {third} {last}"
        );
    }
}

/// Guards against a new attempt after part of the answer was passed on to the caller, after the
/// request may have run but must not run twice, and after a second refusal for overload.
#[test]
fn may_repeat_is_right_in_every_case() {
    for bits in 0..32_u32 {
        let bit = |index: u32| bits & (1 << index) != 0;
        let attempt = FailedAttempt {
            execution: if bit(0) {
                ExecutionStatus::NotRun
            } else {
                ExecutionStatus::Stopped
            },
            shown: bit(1),
            runs_again: bit(2),
            overloaded: bit(3),
            overloaded_before: u32::from(bit(4)),
        };
        let is_safe = bit(0) || bit(2);
        let overload_allows_retry = !(bit(3) && bit(4));
        assert_eq!(
            may_repeat(&attempt),
            !bit(1) && is_safe && overload_allows_retry,
            "{attempt:?}"
        );
    }
}
