//! Estimates of output lengths from callers' hints, learned online by route.
//!
//! Answers callers whose hints are right at the median and often far off: engines were planned to be
//! full of answers that ended early, and answers that were announced as tiny outgrew their room.

use std::collections::BTreeMap;
use std::sync::Arc;

/// Weight of the prior, that answers are as long as their hints, in observations.
const PRIOR_OBSERVATIONS: f64 = 6.0;
/// Variance of the logarithm of hints that the prior was seen with: hints differ by a factor of three.
const PRIOR_VARIANCE: f64 = 1.2;
/// Observations that count at most, so that what is learned follows a change of traffic.
const MOST_OBSERVATIONS: f64 = 400.0;
/// Routes that are kept; one that has not been used for longest makes room.
const MAX_ROUTES: usize = 4_096;

/// Sums over the logarithms of hints (x) and lengths (y).
#[derive(Debug, Clone, Copy, Default)]
struct Sums {
    count: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
    yy: f64,
    used_at: u64,
}

impl Sums {
    fn add(&mut self, x: f64, y: f64) {
        if self.count >= MOST_OBSERVATIONS {
            let kept = (MOST_OBSERVATIONS - 1.0) / self.count;
            for sum in [
                &mut self.count,
                &mut self.x,
                &mut self.y,
                &mut self.xx,
                &mut self.xy,
                &mut self.yy,
            ] {
                *sum *= kept;
            }
        }
        self.count += 1.0;
        self.x += x;
        self.y += y;
        self.xx += x * x;
        self.xy += x * y;
        self.yy += y * y;
    }

    /// Returns the mean length that is expected with a hint: a regression of the logarithms, drawn to
    /// the prior, and the mean of the spread around it.
    fn expected(&self, x: f64) -> f64 {
        let total = self.count + PRIOR_OBSERVATIONS;
        if self.count < 1.0 {
            return x.exp();
        }
        let (mean_x, mean_y) = (self.x / self.count, self.y / self.count);
        let variance_x = (self.xx - self.x * mean_x).max(0.0);
        let covariance = self.xy - self.x * mean_y;
        let prior = PRIOR_OBSERVATIONS * PRIOR_VARIANCE;
        let slope = (covariance + prior) / (variance_x + prior);
        let centre_y = (self.y + PRIOR_OBSERVATIONS * mean_x) / total;
        let unexplained = (self.yy - self.y * mean_y) - slope * covariance;
        let spread = unexplained.max(0.0) / total;
        (centre_y + slope * (x - mean_x) + spread / 2.0).exp()
    }
}

/// Learns how long answers are with which hint.
#[derive(Debug, Default)]
pub struct HintedLengths {
    by_route: BTreeMap<Arc<str>, Sums>,
    /// Counts observations; orders routes by their last use.
    clock: u64,
}

impl HintedLengths {
    /// Returns the length that is expected of an answer with a hint, at most `most` tokens.
    pub fn expected(&self, route: &str, hint: u64, most: u64) -> u64 {
        let expected = match self.by_route.get(route) {
            Some(sums) => whole_tokens(sums.expected(logarithm(hint))),
            None => hint,
        };
        expected.clamp(1, most.max(1))
    }

    /// Learns from a complete answer.
    pub fn observe(&mut self, route: &Arc<str>, hint: u64, length: u64) {
        self.clock += 1;
        if self.by_route.len() >= MAX_ROUTES && !self.by_route.contains_key(route) {
            let oldest = self.by_route.iter().min_by_key(|(_, sums)| sums.used_at);
            if let Some(oldest) = oldest.map(|(route, _)| Arc::clone(route)) {
                self.by_route.remove(&oldest);
            }
        }
        let sums = self.by_route.entry(Arc::clone(route)).or_default();
        sums.add(logarithm(hint), logarithm(length));
        sums.used_at = self.clock;
    }
}

// Counts of tokens stay far below what a float holds exactly.
#[allow(clippy::cast_precision_loss)]
fn logarithm(tokens: u64) -> f64 {
    (tokens.max(1) as f64).ln()
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn whole_tokens(tokens: f64) -> u64 {
    tokens.round() as u64
}
