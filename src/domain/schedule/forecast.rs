//! Forecast of the memory that running generations will need.

use crate::domain::length::SurvivalCurve;

/// Number of points in time of a forecast. The first is 0; the others grow by half each,
/// from 4 to more than 60,000 decoding steps from now.
const POINTS: usize = 26;

/// A candidate counts as ended at the points where its expected memory is below this fraction of
/// its memory at the start.
const MIN_ALIVE_FRACTION: f64 = 0.01;

/// Returns the points in time of a forecast, in decoding steps from now.
fn steps() -> [u32; POINTS] {
    let mut steps = [0; POINTS];
    let mut next = 4;
    for step in &mut steps[1..] {
        *step = next;
        next += next / 2;
    }
    steps
}

/// Expected memory and its variance over the coming decoding steps.
///
/// In each step every running generation either produces one token or has ended and freed its
/// memory, so memory peaks when the long ones have grown and most short ones have ended. Adding up
/// final sizes instead would count memory that is never in use at the same time.
#[derive(Debug, Clone)]
pub struct Forecast {
    steps: [u32; POINTS],
    mean: [f64; POINTS],
    variance: [f64; POINTS],
}

impl Default for Forecast {
    fn default() -> Self {
        Self {
            steps: steps(),
            mean: [0.0; POINTS],
            variance: [0.0; POINTS],
        }
    }
}

impl Forecast {
    /// Adds a generation that holds its `prompt` tokens and the `produced` tokens in memory.
    pub fn add(&mut self, curve: &SurvivalCurve, prompt: u32, produced: u32, max_tokens: u32) {
        for (point, step) in self.steps.iter().enumerate() {
            let alive = curve.continuation_probability(produced, max_tokens, *step);
            let size = f64::from(prompt) + f64::from(produced) + f64::from(*step);
            // At the first point the generation is certain to be running.
            let alive = if *step == 0 { 1.0 } else { alive };
            self.mean[point] += alive * size;
            self.variance[point] += alive * (1.0 - alive) * size * size;
        }
    }

    /// Adds the generations of another forecast.
    pub fn merge(&mut self, other: &Self) {
        for point in 0..POINTS {
            self.mean[point] += other.mean[point];
            self.variance[point] += other.variance[point];
        }
    }

    /// Returns the largest memory, taken `deviations` standard deviations above its mean, over the
    /// points at which the candidate may still be running. Later points are left out because an
    /// overflow after the candidate's end is not caused by admitting it.
    pub fn peak_tokens(&self, candidate: &Self, deviations: f64) -> f64 {
        let min_mean = candidate.mean[0] * MIN_ALIVE_FRACTION;
        (0..POINTS)
            .filter(|point| candidate.mean[*point] > min_mean)
            .map(|point| self.mean[point] + deviations * self.variance[point].sqrt())
            .fold(0.0, f64::max)
    }
}
