//! Prefix affinity: prompts with the same prefix prefer the same replica, so that its prefix cache
//! can be reused.

use xxhash_rust::xxh3::xxh3_64;

use super::Place;

/// Shorter prompts have no preferred replica, as a cache hit would save little.
const MIN_PREFIX_BYTES: usize = 256;
/// Prompts whose first bytes, up to this number, are equal prefer the same replica.
const PREFIX_BYTES: usize = 1_024;

/// Returns the hash of a prompt's prefix, or `None` if the prompt is too short for prefix affinity.
pub fn prefix_hash(prompt: &str) -> Option<u64> {
    let bytes = prompt.as_bytes();
    (bytes.len() >= MIN_PREFIX_BYTES).then(|| xxh3_64(&bytes[..bytes.len().min(PREFIX_BYTES)]))
}

/// Returns the hash of an upstream's name.
pub fn name_hash(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// Returns the usable replica with the highest score for a prefix (rendezvous hashing). When a
/// replica is added or removed, only the prefixes that prefer it move.
pub fn preferred(places: &[Place], prefix: u64, usable: impl Fn(usize) -> bool) -> Option<usize> {
    let best = (0..places.len()).max_by_key(|index| score(places[*index].hash, prefix))?;
    if usable(best) {
        return Some(best);
    }
    (0..places.len())
        .filter(|index| usable(*index))
        .max_by_key(|index| score(places[*index].hash, prefix))
}

/// Mixes two hashes with the finalizer of `SplitMix64`: each changed input bit changes half of the
/// output bits on average.
fn score(hash: u64, prefix: u64) -> u64 {
    let mut mixed = hash ^ prefix.rotate_left(32);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
