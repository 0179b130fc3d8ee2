//! Estimates of output lengths from callers' hints, learned online per route.
//!
//! Hints that are right at the median can still be far off for single requests. Scheduling by such
//! hints reserves engine capacity for answers that end early, and answers with a very small hint
//! outgrow the capacity reserved for them.

use std::collections::BTreeMap;
use std::sync::Arc;

/// Weight, in observations, of the prior that answers are as long as their hints.
const PRIOR_OBSERVATIONS: f64 = 6.0;
/// Variance of the logarithm of hints that the prior assumes: one standard deviation is a factor of
/// three.
const PRIOR_VARIANCE: f64 = 1.2;
/// Maximum total weight of the observations of a route, so that estimates follow a change of
/// traffic.
const MAX_OBSERVATIONS: f64 = 400.0;
/// Maximum number of routes. The least recently updated one is evicted for a new one.
const MAX_ROUTES: usize = 4_096;

/// Regression sums over the logarithms of hints (x) and lengths (y) of one route.
#[derive(Debug, Clone, Copy, Default)]
struct RegressionSums {
    count: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
    yy: f64,
    updated_at: u64,
}

impl RegressionSums {
    fn add(&mut self, x: f64, y: f64) {
        if self.count >= MAX_OBSERVATIONS {
            let decay = (MAX_OBSERVATIONS - 1.0) / self.count;
            for sum in [
                &mut self.count,
                &mut self.x,
                &mut self.y,
                &mut self.xx,
                &mut self.xy,
                &mut self.yy,
            ] {
                *sum *= decay;
            }
        }
        self.count += 1.0;
        self.x += x;
        self.y += y;
        self.xx += x * x;
        self.xy += x * y;
        self.yy += y * y;
    }

    /// Returns the expected length for a hint with the logarithm `x`: a linear regression of the
    /// logarithms, shrunk towards the prior, with half the residual variance added because the mean
    /// of a log-normal distribution lies above its median.
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
        let residual = (self.yy - self.y * mean_y) - slope * covariance;
        let residual_variance = residual.max(0.0) / total;
        (centre_y + slope * (x - mean_x) + residual_variance / 2.0).exp()
    }
}

/// Learns the relation between hints and lengths of answers per route.
#[derive(Debug, Default)]
pub struct HintedLengths {
    by_route: BTreeMap<Arc<str>, RegressionSums>,
    /// Number of observations; orders routes by their last update.
    clock: u64,
}

impl HintedLengths {
    /// Returns the expected length of an answer with this hint, from 1 to `max_tokens`. A route
    /// without observations uses the hint itself.
    pub fn expected(&self, route: &str, hint: u64, max_tokens: u64) -> u64 {
        let expected = match self.by_route.get(route) {
            Some(sums) => round_tokens(sums.expected(log_tokens(hint))),
            None => hint,
        };
        expected.clamp(1, max_tokens.max(1))
    }

    /// Records the hint and the length of a complete answer in tokens.
    pub fn observe(&mut self, route: &Arc<str>, hint: u64, length: u64) {
        self.clock += 1;
        if self.by_route.len() >= MAX_ROUTES && !self.by_route.contains_key(route) {
            let oldest = self.by_route.iter().min_by_key(|(_, sums)| sums.updated_at);
            if let Some(oldest) = oldest.map(|(route, _)| Arc::clone(route)) {
                self.by_route.remove(&oldest);
            }
        }
        let sums = self.by_route.entry(Arc::clone(route)).or_default();
        sums.add(log_tokens(hint), log_tokens(length));
        sums.updated_at = self.clock;
    }
}

// Token counts are far below 2^53, up to which `f64` holds integers exactly.
#[allow(clippy::cast_precision_loss)]
fn log_tokens(tokens: u64) -> f64 {
    (tokens.max(1) as f64).ln()
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn round_tokens(tokens: f64) -> u64 {
    tokens.round() as u64
}
