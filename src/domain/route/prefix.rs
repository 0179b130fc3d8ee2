//! Prefix affinity: prompts that start alike prefer the same replica, whose cache then has them.

use xxhash_rust::xxh3::xxh3_64;

use super::Place;

/// Prompts shorter than this are not worth a preferred replica.
const MIN_PREFIX_BYTES: usize = 256;
/// Prompts that agree in this many bytes prefer the same replica.
const PREFIX_BYTES: usize = 1_024;

/// Returns the hash of a prompt's prefix, or none if the prompt is short.
pub fn prefix_hash(prompt: &str) -> Option<u64> {
    let bytes = prompt.as_bytes();
    (bytes.len() >= MIN_PREFIX_BYTES).then(|| xxh3_64(&bytes[..bytes.len().min(PREFIX_BYTES)]))
}

/// Returns the hash of an upstream's name.
pub fn name_hash(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// Returns the usable replica with the highest rendezvous score for a prefix. When a replica comes
/// or goes, only its own prefixes move.
pub fn preferred(places: &[Place], prefix: u64, usable: impl Fn(usize) -> bool) -> Option<usize> {
    let best = (0..places.len()).max_by_key(|index| score(places[*index].hash, prefix))?;
    if usable(best) {
        return Some(best);
    }
    (0..places.len())
        .filter(|index| usable(*index))
        .max_by_key(|index| score(places[*index].hash, prefix))
}

/// Mixes two hashes; the finaliser of `SplitMix64`, which changes half of the bits on average for
/// each changed bit.
fn score(hash: u64, prefix: u64) -> u64 {
    let mut mixed = hash ^ prefix.rotate_left(32);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
