//! Load balancing over replicas: picks the cheapest of a small random sample and the replica that
//! the prompt's prefix prefers.

mod cost;
mod prefix;

pub use cost::{Load, cost_ms};
pub use prefix::{name_hash, preferred, prefix_hash};

/// Number of replicas in the random sample. Two are enough to prevent herding, where all requests
/// go to the replica with the lowest load in a stale report; a larger sample comes closer to
/// herding.
const SAMPLE_SIZE: usize = 2;
/// Maximum number of random draws for the sample before all replicas are scanned.
const MAX_DRAWS: usize = 24;
/// The preferred replica is considered while its load is at most this multiple of the sample's
/// mean.
const MAX_RELATIVE_LOAD: f64 = 1.25;
/// One request in this many goes to a random idle replica regardless of its measured speed, so that
/// the speed of a replica that was slow is measured again.
const REQUESTS_PER_PROBE: u64 = 64;
/// Costs that differ by at most this fraction are near-ties, where a replica of the same zone wins.
const NEAR_TIE_FRACTION: f64 = 0.05;
/// Costs that differ by at most this time are near-ties as well, as a hop between zones takes about
/// 1 ms.
const NEAR_TIE_MS: f64 = 2.0;
/// A thousand cached prompt tokens save the time of decoding this many tokens: prefill processes a
/// prompt token in about a fiftieth of a decoding step.
const DECODE_TOKENS_PER_1000_CACHED: f64 = 20.0;

/// The properties of a request that the choice of a replica depends on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RequestProfile {
    pub prompt_tokens: f64,
    /// Hash of the prompt's prefix; `None` if the prompt is too short for prefix affinity.
    pub prefix: Option<u64>,
}

/// The properties of a replica that stay the same within one version of the member list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Place {
    /// Hash of the upstream's name.
    pub hash: u64,
    pub same_zone: bool,
}

/// Returns the index of the chosen replica, or `None` if no replica may be used.
///
/// `load` returns the load of a replica, or `None` if it may not be used: it is leaving, unhealthy,
/// was tried before, or does not serve the active version. `draw` returns random numbers.
pub fn choose(
    places: &[Place],
    profile: &RequestProfile,
    load: impl Fn(usize) -> Option<Load>,
    mut draw: impl FnMut() -> u64,
) -> Option<usize> {
    let sample = sample(places.len(), &load, &mut draw);
    let loads: Vec<Load> = sample.iter().map(|(_, load)| *load).collect();
    let mean = Load::mean(&loads)?;
    if draw().is_multiple_of(REQUESTS_PER_PROBE)
        && let Some((index, _)) = sample.iter().find(|(_, load)| load.is_idle())
    {
        return Some(*index);
    }
    let mut options: Vec<(usize, f64)> = sample
        .iter()
        .map(|(index, load)| (*index, cost_ms(load, &mean, profile)))
        .collect();
    let cached = profile
        .prefix
        .and_then(|prefix| preferred(places, prefix, |index| load(index).is_some()))
        .and_then(|index| Some((index, load(index)?)))
        .filter(|(_, load)| {
            load.utilization(&mean) <= MAX_RELATIVE_LOAD * mean.utilization(&mean).max(0.1)
        });
    if let Some((index, load)) = cached {
        let saved_ms =
            profile.prompt_tokens * DECODE_TOKENS_PER_1000_CACHED / 1_000.0 * mean.token_ms();
        options.retain(|(other, _)| *other != index);
        options.push((index, cost_ms(&load, &mean, profile) - saved_ms));
    }
    cheapest(places, &options)
}

/// Returns up to `SAMPLE_SIZE` different usable replicas. Draws them at random first; if too few
/// draws succeed, scans all replicas from a random start.
fn sample(
    count: usize,
    load: &impl Fn(usize) -> Option<Load>,
    draw: &mut impl FnMut() -> u64,
) -> Vec<(usize, Load)> {
    let mut sample: Vec<(usize, Load)> = Vec::with_capacity(SAMPLE_SIZE);
    if count == 0 {
        return sample;
    }
    let size = u64::try_from(count).unwrap_or(u64::MAX);
    let mut index_below = || usize::try_from(draw() % size).unwrap_or_default();
    for _ in 0..MAX_DRAWS {
        let index = index_below();
        let is_new = sample.iter().all(|(other, _)| *other != index);
        if is_new && let Some(load) = load(index) {
            sample.push((index, load));
        }
        if sample.len() == SAMPLE_SIZE {
            return sample;
        }
    }
    let start = index_below();
    for step in 0..count {
        let index = (start + step) % count;
        let is_new = sample.iter().all(|(other, _)| *other != index);
        if is_new && let Some(load) = load(index) {
            sample.push((index, load));
        }
        if sample.len() == SAMPLE_SIZE {
            break;
        }
    }
    sample
}

/// Returns the option with the lowest cost, or among near-ties the cheapest one of the same zone.
fn cheapest(places: &[Place], options: &[(usize, f64)]) -> Option<usize> {
    let (best, best_ms) = options
        .iter()
        .copied()
        .min_by(|(_, a), (_, b)| a.total_cmp(b))?;
    let limit_ms = best_ms + (best_ms.abs() * NEAR_TIE_FRACTION).max(NEAR_TIE_MS);
    let near = options
        .iter()
        .filter(|(index, ms)| *ms <= limit_ms && places[*index].same_zone)
        .min_by(|(_, a), (_, b)| a.total_cmp(b));
    Some(near.map_or(best, |(index, _)| *index))
}
