//! Tests of length estimates from callers' hints.

use std::sync::Arc;

use lilacspindle::domain::length::HintedLengths;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const MAX_TOKENS: u64 = 2_000;

/// Returns an approximately standard normal number: the sum of twelve uniform ones, minus 6.
fn normal(random: &mut StdRng) -> f64 {
    (0..12).map(|_| random.random::<f64>()).sum::<f64>() - 6.0
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn tokens(logarithm: f64) -> u64 {
    (logarithm.exp() as u64).clamp(1, MAX_TOKENS)
}

/// Returns pairs of hint and length. The hints are right at the median, and off by a factor of
/// three in either direction (one standard deviation).
fn answers(seed: u64, count: usize) -> Vec<(u64, u64)> {
    let mut random = StdRng::seed_from_u64(seed);
    let answer = |_| {
        let length = 5.9 + 0.85 * normal(&mut random);
        let hint = length + 1.1 * normal(&mut random);
        (tokens(hint), tokens(length))
    };
    (0..count).map(answer).collect()
}

fn learned(answers: &[(u64, u64)]) -> (HintedLengths, Arc<str>) {
    let mut lengths = HintedLengths::default();
    let route: Arc<str> = "essays".into();
    for (hint, length) in answers {
        lengths.observe(&route, *hint, *length);
    }
    (lengths, route)
}

/// Guards against estimates that differ from the hint before any answer was observed, and against
/// estimates that stay at the hint afterwards.
#[test]
fn estimate_equals_the_hint_until_answers_are_observed() {
    let lengths = HintedLengths::default();
    assert_eq!(lengths.expected("essays", 700, MAX_TOKENS), 700);
    assert_eq!(lengths.expected("essays", 70_000, MAX_TOKENS), MAX_TOKENS);
    assert_eq!(lengths.expected("essays", 0, 0), 1);
    let (lengths, route) = learned(&[(700, 350); 60]);
    let expected = lengths.expected(&route, 700, MAX_TOKENS);
    assert!((340..=420).contains(&expected), "{expected}");
    assert_eq!(lengths.expected("another route", 700, MAX_TOKENS), 700);
}

/// Guards against estimates that are no better than hints that are far off. Scheduling by such
/// hints reserves capacity for answers that end early, and answers with a very small hint outgrow
/// the capacity reserved for them.
#[test]
fn estimates_are_closer_to_the_length_than_hints() {
    for seed in 1..=20 {
        let (lengths, route) = learned(&answers(seed, 80));
        let (mut by_hint, mut by_estimate, mut planned, mut needed) = (0, 0, 0, 0);
        for (hint, length) in answers(seed + 1_000, 200) {
            let expected = lengths.expected(&route, hint, MAX_TOKENS);
            by_hint += hint.abs_diff(length);
            by_estimate += expected.abs_diff(length);
            planned += expected;
            needed += length;
        }
        assert!(
            by_estimate < by_hint,
            "error by estimate {by_estimate}, by hint {by_hint}"
        );
        // The sum of the estimates must be within a fifth of the sum of the lengths.
        assert!(
            planned.abs_diff(needed) * 5 < needed,
            "estimated {planned} tokens, needed {needed}"
        );
    }
}

/// Guards against a very small hint that makes a long answer count as short, which would schedule
/// it ahead of others.
#[test]
fn estimates_exceed_very_small_hints_of_long_answers() {
    let (lengths, route) = learned(&answers(7, 120));
    let expected = lengths.expected(&route, 10, MAX_TOKENS);
    assert!(expected > 100, "{expected}");
}

/// Guards against estimates that do not follow a change of traffic.
#[test]
fn estimates_follow_a_change_of_traffic() {
    let (mut lengths, route) = learned(&vec![(200, 200); 1_000]);
    for _ in 0..1_200 {
        lengths.observe(&route, 200, 800);
    }
    let expected = lengths.expected(&route, 200, MAX_TOKENS);
    assert!(expected > 600, "{expected}");
}
