//! Randomised tests of length estimates from histograms. `LILAC_SEEDS` sets the number of seeds.

use lilacspindle::domain::length::{Estimator, LONGEST_TOKENS, MAX_HISTOGRAMS, SurvivalCurve};
use lilacspindle::model::{KindName, WorkspaceName};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

fn seeds() -> u64 {
    let seeds = std::env::var("LILAC_SEEDS").ok();
    seeds.and_then(|text| text.parse().ok()).unwrap_or(20)
}

/// Draws a length from a log-normal distribution.
fn draw(rng: &mut StdRng, median: f64, sigma: f64) -> u32 {
    let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
    let angle: f64 = rng.random_range(0.0..std::f64::consts::TAU);
    let normal = (-2.0 * uniform.ln()).sqrt() * angle.cos();
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let length = (median * (sigma * normal).exp()).clamp(1.0, 100_000.0) as u32;
    length
}

fn learned(seed: u64, median: f64, sigma: f64) -> (SurvivalCurve, StdRng) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut estimator = Estimator::default();
    for _ in 0..3_000 {
        let length = draw(&mut rng, median, sigma);
        estimator.observe(&"w".into(), &"k".into(), length);
    }
    (estimator.curve(&"w".into(), &"k".into()), rng)
}

/// Guards against estimates that ignore the tokens produced so far. Of the answers that are longer
/// than `produced`, 90 % must end within the 0.9 quantile; an estimate that ignores the produced
/// tokens covers 82 % of those longer than 400.
///
/// The estimate of one seed is based on about 540 answers longer than 400, so its coverage has a
/// standard deviation of 0.013. One seed may deviate by four standard deviations, the mean of all
/// seeds by 0.015.
#[test]
fn remaining_quantiles_account_for_produced_tokens() {
    for produced in [0, 50, 400] {
        let mut sum = 0.0;
        for seed in 0..seeds() {
            let share = covered(seed, produced);
            assert!(
                (0.9 - share).abs() < 0.052,
                "seed {seed}, produced {produced}: {share} are within the 0.9 quantile"
            );
            sum += share;
        }
        let mean = sum / f64::from(u32::try_from(seeds()).unwrap());
        assert!(
            (0.9 - mean).abs() < 0.015,
            "produced {produced}: mean {mean}"
        );
    }
}

/// Returns the fraction of the answers longer than `produced` that end within the 0.9 quantile.
fn covered(seed: u64, produced: u32) -> f64 {
    let (curve, mut rng) = learned(seed, 200.0, 1.0);
    let estimate = curve.remaining(produced, 100_000, 0.9);
    let (mut alive, mut covered) = (0.0, 0.0);
    for _ in 0..20_000 {
        let length = draw(&mut rng, 200.0, 1.0);
        if length > produced {
            alive += 1.0;
            covered += f64::from(u8::from(length <= produced + estimate));
        }
    }
    covered / alive
}

/// Guards against estimates outside the request's bounds, and against a survival probability that
/// increases with the length.
#[test]
fn estimates_stay_in_bounds() {
    for seed in 0..seeds() {
        let (curve, mut rng) = learned(seed, 300.0, 1.5);
        for _ in 0..200 {
            let max_tokens = rng.random_range(1..2 * LONGEST_TOKENS);
            let produced = rng.random_range(0..max_tokens);
            let mut last = 0;
            for quantile in [0.1, 0.5, 0.9, 0.99, 1.0] {
                let remaining = curve.remaining(produced, max_tokens, quantile);
                assert!(
                    remaining >= last && produced + remaining <= max_tokens,
                    "seed {seed}"
                );
                last = remaining;
            }
            assert!(
                curve.expected(produced, max_tokens) <= max_tokens - produced,
                "seed {seed}"
            );
            let (mut more, mut alive) = (0, 1.0);
            while more < max_tokens - produced {
                let next = curve.continuation_probability(produced, max_tokens, more);
                assert!(
                    (0.0..=alive).contains(&next),
                    "seed {seed}: {next} after {alive}"
                );
                (more, alive) = (2 * more + 1, next);
            }
        }
    }
}

/// Guards against short estimates before any answer was observed, and against a prior that
/// outweighs the observed answers.
#[test]
fn a_cold_start_expects_long_answers_and_then_learns() {
    let (workspace, kind) = (WorkspaceName::from("w"), KindName::from("k"));
    let mut estimator = Estimator::default();
    let cold = estimator.curve(&workspace, &kind).remaining(0, 10_000, 0.9);
    assert_eq!(cold, 10_000);
    for _ in 0..200 {
        estimator.observe(&WorkspaceName::from("other"), &kind, 20);
    }
    let by_kind = estimator.curve(&workspace, &kind).remaining(0, 10_000, 0.9);
    assert!((20..=24).contains(&by_kind), "{by_kind}");
    for _ in 0..400 {
        estimator.observe(&workspace, &kind, 500);
    }
    let own = estimator.curve(&workspace, &kind).remaining(0, 10_000, 0.9);
    assert!((500..=600).contains(&own), "{own}");
}

/// Guards against estimates that do not follow a change in the lengths of answers.
#[test]
fn old_answers_lose_their_weight() {
    let (workspace, kind) = (WorkspaceName::from("w"), KindName::from("k"));
    let mut estimator = Estimator::default();
    for _ in 0..10_000 {
        estimator.observe(&workspace, &kind, 50);
    }
    for _ in 0..3_000 {
        estimator.observe(&workspace, &kind, 2_000);
    }
    let median = estimator
        .curve(&workspace, &kind)
        .remaining(0, 100_000, 0.5);
    // 2,000 lies in the bin from 1,722 to 2,048 tokens; lengths within a bin are not distinguished.
    assert!((1_722..2_048).contains(&median), "{median}");
}

/// Guards against memory use that grows with the number of workspaces ever seen.
#[test]
fn the_number_of_histograms_is_bounded() {
    let mut estimator = Estimator::default();
    for number in 0..MAX_HISTOGRAMS + 500 {
        let workspace = WorkspaceName::from(format!("w{number}").as_str());
        estimator.observe(&workspace, &"k".into(), 10);
    }
    assert_eq!(estimator.histogram_count(), MAX_HISTOGRAMS + 1);
}
