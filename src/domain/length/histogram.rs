//! Histograms of lengths on a logarithmic scale, and the survival curves made from them.

/// Bins per doubling of the length. A bin's width is at most 19 % of its lower edge, far below
/// the spread of lengths within a kind.
const BINS_PER_OCTAVE: usize = 4;
const OCTAVES: usize = 17;
const BINS: usize = OCTAVES * BINS_PER_OCTAVE;

/// Lengths from here on share the last bin.
pub const LONGEST_TOKENS: u32 = 1 << OCTAVES;

/// Observations after which an old one counts half. Short enough to follow a change of prompts
/// within minutes at a few requests per second, long enough to know the 99th percentile.
const HALF_LIFE_OBSERVATIONS: f64 = 1_000.0;
/// The weight of a new observation grows instead of the old ones being multiplied; at this
/// weight all are scaled down.
const RESCALE_WEIGHT: f64 = 1e9;

/// Returns the lower edge of a bin in tokens.
fn edge(bin: usize) -> f64 {
    let octaves = f64::from(u32::try_from(bin).unwrap_or(u32::MAX)) / 4.0;
    octaves.exp2()
}

fn bin_of(length: u32) -> usize {
    let length = length.clamp(1, LONGEST_TOKENS - 1);
    // The logarithm finds the bin up to rounding at its edges.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let guess = (f64::from(length).log2() * 4.0) as usize;
    let guess = guess.min(BINS - 1);
    match f64::from(length) {
        length if length < edge(guess) => guess.saturating_sub(1),
        length if length >= edge(guess + 1) => (guess + 1).min(BINS - 1),
        _ => guess,
    }
}

/// Weighted counts of lengths; older observations weigh less.
#[derive(Debug, Clone)]
pub struct Histogram {
    weights: [f64; BINS],
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
    /// Adds the length of a complete answer.
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

    fn add_to(&self, sum: &mut [f64; BINS], most: f64) {
        let count = self.count();
        if count <= 0.0 {
            return;
        }
        let factor = (most / count).min(1.0) / self.next_weight;
        for (sum, weight) in sum.iter_mut().zip(&self.weights) {
            *sum += weight * factor;
        }
    }
}

/// The probability that an answer is longer than a number of tokens.
#[derive(Debug, Clone, PartialEq)]
pub struct Curve {
    /// Probability of a length of at least the lower edge of each bin.
    survival: [f64; BINS + 1],
}

impl Curve {
    /// Returns the curve of several histograms, each counted with at most the given number of
    /// observations, over a prior.
    ///
    /// The prior spreads `prior_observations` evenly over the logarithm of the length, so that
    /// lengths never seen before keep some probability.
    pub(super) fn new(parts: &[(&Histogram, f64)], prior_observations: f64) -> Self {
        let bins = f64::from(u32::try_from(BINS).unwrap_or(u32::MAX));
        let mut mass = [prior_observations / bins; BINS];
        for (histogram, most) in parts {
            histogram.add_to(&mut mass, *most);
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

    /// Returns the probability that an answer that has produced `produced` tokens, and may have
    /// at most `max_tokens`, goes on for more than `more` further ones.
    pub fn goes_on(&self, produced: u32, max_tokens: u32, more: u32) -> f64 {
        let length = produced.saturating_add(more);
        let alive = self.longer_than(produced.saturating_sub(1));
        match alive > 0.0 {
            _ if length >= max_tokens => 0.0,
            true => (self.longer_than(length) / alive).min(1.0),
            // Longer than anything that can be represented: only the bound is known.
            false => 1.0,
        }
    }

    /// Returns how many further tokens an answer has at most with probability `quantile`, given
    /// that it has produced `produced` and may have `max_tokens`.
    pub fn remaining(&self, produced: u32, max_tokens: u32, quantile: f64) -> u32 {
        let most = max_tokens.saturating_sub(produced);
        let (mut low, mut high) = (0, most);
        while low < high {
            let middle = low + (high - low) / 2;
            match self.goes_on(produced, max_tokens, middle) <= 1.0 - quantile {
                true => high = middle,
                false => low = middle + 1,
            }
        }
        low
    }

    /// Returns the expected number of further tokens, to within the width of a bin.
    pub fn expected(&self, produced: u32, max_tokens: u32) -> u32 {
        let most = max_tokens.saturating_sub(produced);
        let (mut sum, mut from) = (0.0, 0);
        while from < most {
            // Steps as wide as the bins, from single tokens up.
            let to = (from + 1 + (produced.saturating_add(from)) / 5).min(most);
            let middle = from + (to - from) / 2;
            sum += self.goes_on(produced, max_tokens, middle) * f64::from(to - from);
            from = to;
        }
        // Between 0 and `most`, so the conversion only rounds.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let expected = sum.round() as u32;
        expected.min(most)
    }
}
