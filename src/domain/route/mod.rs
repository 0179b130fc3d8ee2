//! Choice of replica: a small random sample plus the preferred replica of the prompt's prefix.

mod cost;
mod prefix;

pub use cost::{Load, cost_ms};
pub use prefix::{name_hash, preferred, prefix_hash};

/// Replicas drawn at random. Two choices already avoid the herd that a global minimum over stale
/// reports causes; more would approach that minimum again.
const SAMPLE: usize = 2;
/// Draws for the sample before all replicas are looked at.
const MAX_DRAWS: usize = 24;
/// The preferred replica is used while its load is below this multiple of the sample's mean.
const BOUNDED_LOAD: f64 = 1.25;
/// One request in this many goes to a random idle replica whatever its measured speed, so that a
/// replica that was slow is measured again.
const PROBE_ONE_IN: u64 = 64;
/// Costs that differ by less than this part are near-ties, which the zone decides.
const NEAR_TIE: f64 = 0.05;
/// Costs that differ by less than this are near-ties as well; a hop between zones takes about 1 ms.
const NEAR_TIE_MS: f64 = 2.0;
/// Cached prompt tokens save the time of this many decoded tokens for each thousand: prefill
/// handles a prompt token in about a fiftieth of a decoding step.
const CACHED_PER_THOUSAND: f64 = 20.0;

/// What is asked of a replica.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Ask {
    pub prompt_tokens: f64,
    /// Hash of the prompt's prefix; none if there is nothing worth caching.
    pub prefix: Option<u64>,
}

/// A replica as far as it does not change between two versions of the member list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Place {
    /// Hash of the upstream's name.
    pub hash: u64,
    pub same_zone: bool,
}

/// Returns the index of the chosen replica, or none if no replica may be used.
///
/// `load` returns the load of a replica, or none if it may not be used: it is leaving, unhealthy,
/// was tried before, or lacks the version in force. `draw` returns random numbers.
pub fn choose(
    places: &[Place],
    ask: &Ask,
    load: impl Fn(usize) -> Option<Load>,
    mut draw: impl FnMut() -> u64,
) -> Option<usize> {
    let sample = sample(places.len(), &load, &mut draw);
    let loads: Vec<Load> = sample.iter().map(|(_, load)| *load).collect();
    let mean = Load::mean(&loads)?;
    if draw().is_multiple_of(PROBE_ONE_IN)
        && let Some((index, _)) = sample.iter().find(|(_, load)| load.is_idle())
    {
        return Some(*index);
    }
    let mut options: Vec<(usize, f64)> = sample
        .iter()
        .map(|(index, load)| (*index, cost_ms(load, &mean, ask)))
        .collect();
    let cached = ask
        .prefix
        .and_then(|prefix| preferred(places, prefix, |index| load(index).is_some()))
        .and_then(|index| Some((index, load(index)?)))
        .filter(|(_, load)| load.pressure(&mean) <= BOUNDED_LOAD * mean.pressure(&mean).max(0.1));
    if let Some((index, load)) = cached {
        let saved_ms = ask.prompt_tokens * CACHED_PER_THOUSAND / 1_000.0 * mean.token_ms();
        options.retain(|(other, _)| *other != index);
        options.push((index, cost_ms(&load, &mean, ask) - saved_ms));
    }
    cheapest(places, &options)
}

/// Returns up to `SAMPLE` different usable replicas.
fn sample(
    count: usize,
    load: &impl Fn(usize) -> Option<Load>,
    draw: &mut impl FnMut() -> u64,
) -> Vec<(usize, Load)> {
    let mut sample: Vec<(usize, Load)> = Vec::with_capacity(SAMPLE);
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
        if sample.len() == SAMPLE {
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
        if sample.len() == SAMPLE {
            break;
        }
    }
    sample
}

/// Returns the option with the lowest cost; among near-ties one of the same zone.
fn cheapest(places: &[Place], options: &[(usize, f64)]) -> Option<usize> {
    let (best, best_ms) = options
        .iter()
        .copied()
        .min_by(|(_, a), (_, b)| a.total_cmp(b))?;
    let limit_ms = best_ms + (best_ms.abs() * NEAR_TIE).max(NEAR_TIE_MS);
    let near = options
        .iter()
        .filter(|(index, ms)| *ms <= limit_ms && places[*index].same_zone)
        .min_by(|(_, a), (_, b)| a.total_cmp(b));
    Some(near.map_or(best, |(index, _)| *index))
}
