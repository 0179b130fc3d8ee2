//! Histograms of lengths on a logarithmic scale, and survival curves computed from them.

/// Bins per doubling of the length. A bin's width is at most 19 % of its lower edge, far below
/// the spread of lengths within a kind.
const BINS_PER_OCTAVE: usize = 4;
const OCTAVES: usize = 17;
const BINS: usize = OCTAVES * BINS_PER_OCTAVE;

/// Lengths of this many tokens or more count into the last bin.
pub const LONGEST_TOKENS: u32 = 1 << OCTAVES;

/// Number of observations after which an older one counts half. Short enough to follow a change of
/// prompts within minutes at a few requests per second, long enough to estimate the 99th
/// percentile.
const HALF_LIFE_OBSERVATIONS: f64 = 1_000.0;
/// Each new observation gets a larger weight, which saves scaling down all older ones. All weights
/// are scaled down once the weight of the next observation exceeds this value.
const RESCALE_WEIGHT: f64 = 1e9;

/// Returns the lower edge of a bin, in tokens.
fn edge(bin: usize) -> f64 {
    let octaves = f64::from(u32::try_from(bin).unwrap_or(u32::MAX)) / 4.0;
    octaves.exp2()
}

fn bin_of(length: u32) -> usize {
    let length = length.clamp(1, LONGEST_TOKENS - 1);
    // Rounding of the logarithm can give a neighbouring bin at an edge; corrected below.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let guess = (f64::from(length).log2() * 4.0) as usize;
    let guess = guess.min(BINS - 1);
    match f64::from(length) {
        length if length < edge(guess) => guess.saturating_sub(1),
        length if length >= edge(guess + 1) => (guess + 1).min(BINS - 1),
        _ => guess,
    }
}

/// Histogram of lengths in which older observations weigh less.
#[derive(Debug, Clone)]
pub struct Histogram {
    /// Sum of the weights of the observations in each bin.
    weights: [f64; BINS],
    /// Weight of the next observation.
    next_weight: f64,
}

impl Default for Histogram {
    fn default() -> Self {
        Self {
            weights: [0.0; BINS],
            next_weight: 1.0,
        }
    }
}

impl Histogram {
    /// Adds the length of a complete answer, in tokens.
    pub fn observe(&mut self, length: u32) {
        self.weights[bin_of(length)] += self.next_weight;
        self.next_weight *= (std::f64::consts::LN_2 / HALF_LIFE_OBSERVATIONS).exp();
        if self.next_weight > RESCALE_WEIGHT {
            for weight in &mut self.weights {
                *weight /= self.next_weight;
            }
            self.next_weight = 1.0;
        }
    }

    /// Returns the number of observations, each counted with its remaining weight.
    pub fn count(&self) -> f64 {
        self.weights.iter().sum::<f64>() / self.next_weight
    }

    /// Adds the weights to `sum`, scaled so that they count as at most `max_count` observations.
    fn add_to(&self, sum: &mut [f64; BINS], max_count: f64) {
        let count = self.count();
        if count <= 0.0 {
            return;
        }
        let factor = (max_count / count).min(1.0) / self.next_weight;
        for (sum, weight) in sum.iter_mut().zip(&self.weights) {
            *sum += weight * factor;
        }
    }
}

/// Survival curve: the probability that an answer is longer than a number of tokens.
#[derive(Debug, Clone, PartialEq)]
pub struct SurvivalCurve {
    /// Probability of a length of at least the lower edge of each bin.
    survival: [f64; BINS + 1],
}

impl SurvivalCurve {
    /// Returns the curve of the sum of several histograms and a prior. Each histogram counts as at
    /// most the number of observations given with it.
    ///
    /// The prior spreads `prior_observations` evenly over the logarithm of the length, so that
    /// lengths that were never observed keep some probability.
    pub(super) fn new(parts: &[(&Histogram, f64)], prior_observations: f64) -> Self {
        let bins = f64::from(u32::try_from(BINS).unwrap_or(u32::MAX));
        let mut mass = [prior_observations / bins; BINS];
        for (histogram, limit) in parts {
            histogram.add_to(&mut mass, *limit);
        }
        let total: f64 = mass.iter().sum();
        let mut survival = [0.0; BINS + 1];
        for bin in (0..BINS).rev() {
            survival[bin] = survival[bin + 1] + mass[bin] / total;
        }
        Self { survival }
    }

    /// Returns the probability that an answer is longer than `tokens`.
    pub fn longer_than(&self, tokens: u32) -> f64 {
        let next = tokens.saturating_add(1);
        if next >= LONGEST_TOKENS {
            return 0.0;
        }
        let bin = bin_of(next);
        let (low, high) = (edge(bin), edge(bin + 1));
        let share = (f64::from(next) - low) / (high - low);
        self.survival[bin] + (self.survival[bin + 1] - self.survival[bin]) * share.clamp(0.0, 1.0)
    }

    /// Returns the probability that an answer with `produced` tokens so far, and at most
    /// `max_tokens` in total, continues for more than `more` further tokens.
    pub fn continuation_probability(&self, produced: u32, max_tokens: u32, more: u32) -> f64 {
        let length = produced.saturating_add(more);
        let survival = self.longer_than(produced.saturating_sub(1));
        match survival > 0.0 {
            _ if length >= max_tokens => 0.0,
            true => (self.longer_than(length) / survival).min(1.0),
            // Longer than the curve covers, so only `max_tokens` bounds the length.
            false => 1.0,
        }
    }

    /// Returns the number of further tokens that an answer does not exceed with probability
    /// `quantile`, given that it has `produced` tokens so far and at most `max_tokens` in total.
    pub fn remaining(&self, produced: u32, max_tokens: u32, quantile: f64) -> u32 {
        let limit = max_tokens.saturating_sub(produced);
        let (mut low, mut high) = (0, limit);
        while low < high {
            let middle = low + (high - low) / 2;
            match self.continuation_probability(produced, max_tokens, middle) <= 1.0 - quantile {
                true => high = middle,
                false => low = middle + 1,
            }
        }
        low
    }

    /// Returns the expected number of further tokens, accurate to the width of a bin.
    pub fn expected(&self, produced: u32, max_tokens: u32) -> u32 {
        let limit = max_tokens.saturating_sub(produced);
        let (mut sum, mut from) = (0.0, 0);
        while from < limit {
            // Steps start at single tokens and grow with the length, about as wide as the bins.
            let to = (from + 1 + (produced.saturating_add(from)) / 5).min(limit);
            let middle = from + (to - from) / 2;
            sum +=
                self.continuation_probability(produced, max_tokens, middle) * f64::from(to - from);
            from = to;
        }
        // The sum lies between 0 and `limit`, so the cast neither truncates nor loses a sign.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let expected = sum.round() as u32;
        expected.min(limit)
    }
}
