//! The memory that running generations will need.

use crate::domain::length::Curve;

/// Points in time of a forecast, in decoding steps from now: 0, then growing by a half from 4 to
/// beyond 60,000.
const POINTS: usize = 26;

/// A candidate whose expected memory falls below this part of its prompt counts as gone.
const GONE_SHARE: f64 = 0.01;

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
/// In each step every running generation produces one token or has ended and freed its memory,
/// so memory peaks when the long ones are long and most short ones are gone. Adding up final
/// sizes instead would count memory that is never in use at one time.
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
    /// Adds a generation that holds its prompt and what it has produced.
    pub fn add(&mut self, curve: &Curve, prompt: u32, produced: u32, max_tokens: u32) {
        for (point, step) in self.steps.iter().enumerate() {
            let alive = curve.goes_on(produced, max_tokens, *step);
            let size = f64::from(prompt) + f64::from(produced) + f64::from(*step);
            // At the first point the generation is there for certain.
            let alive = if *step == 0 { 1.0 } else { alive };
            self.mean[point] += alive * size;
            self.variance[point] += alive * (1.0 - alive) * size * size;
        }
    }

    /// Adds another forecast.
    pub fn merge(&mut self, other: &Self) {
        for point in 0..POINTS {
            self.mean[point] += other.mean[point];
            self.variance[point] += other.variance[point];
        }
    }

    /// Returns the largest memory over the points at which a candidate is still likely to run,
    /// each taken `deviations` standard deviations above its mean. What happens after the
    /// candidate's end is no reason to hold it back.
    pub fn peak_tokens(&self, candidate: &Self, deviations: f64) -> f64 {
        let least = candidate.mean[0] * GONE_SHARE;
        (0..POINTS)
            .filter(|point| candidate.mean[*point] > least)
            .map(|point| self.mean[point] + deviations * self.variance[point].sqrt())
            .fold(0.0, f64::max)
    }
}
