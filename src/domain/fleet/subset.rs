//! The instances that an entry is sent: all of them in a small fleet, a subset in a large one.
//!
//! Sending each entry each instance, and each change of one, would cost entries times instances. An
//! entry only needs a selection of instances, most of them in its own zone. Instances are arranged
//! on a ring by consistent hashing, and each entry is assigned those that follow its own hash. Each
//! instance is then sent to about the same number of entries, and the arrival or departure of one
//! changes few subsets.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64;

use super::Listed;
use crate::model::ZoneName;

/// Number of instances of one service that an entry is sent at most. A generation that waits for
/// room names eight candidates five times a second for at most a second, so an entry rarely
/// considers more.
const MAX_INSTANCES: usize = 256;
/// How many of them are in the entry's own zone, if it has that many.
const SAME_ZONE_INSTANCES: usize = MAX_INSTANCES / 2;

/// An instance's hash, which is its position on the ring, and its identity.
type RingPosition = (u64, Arc<str>);

fn ring_position(listed: &Listed) -> RingPosition {
    let hash = xxh3_64(listed.identity.as_bytes());
    (hash, Arc::clone(&listed.identity))
}

#[derive(Debug, Default)]
struct Ring(BTreeSet<RingPosition>);

impl Ring {
    /// Returns all instances in ring order, starting at a hash.
    fn from(&self, hash: u64) -> impl Iterator<Item = &Arc<str>> {
        let start = (hash, Arc::from(""));
        let before = self.0.range(..start.clone());
        let ring = self.0.range(start..).chain(before);
        ring.map(|(_, identity)| identity)
    }
}

#[derive(Debug, Default)]
struct ServiceRings {
    all: Ring,
    by_zone: BTreeMap<ZoneName, Ring>,
}

/// The rings of instances of each service.
#[derive(Debug, Default)]
pub(super) struct Rings(BTreeMap<Arc<str>, ServiceRings>);

impl Rings {
    pub(super) fn insert(&mut self, listed: &Listed) {
        let position = ring_position(listed);
        let rings = self.0.entry(Arc::clone(&listed.service)).or_default();
        let zone = rings.by_zone.entry(listed.zone.clone()).or_default();
        zone.0.insert(position.clone());
        rings.all.0.insert(position);
    }

    pub(super) fn remove(&mut self, listed: &Listed) {
        let position = ring_position(listed);
        let Some(rings) = self.0.get_mut(&listed.service) else {
            return;
        };
        rings.all.0.remove(&position);
        if let Some(zone) = rings.by_zone.get_mut(&listed.zone) {
            zone.0.remove(&position);
        }
        rings.by_zone.retain(|_, zone| !zone.0.is_empty());
        if rings.all.0.is_empty() {
            self.0.remove(&listed.service);
        }
    }

    /// Returns true if the fleet is small enough for each entry to be sent all instances.
    pub(super) fn fit_in_full_updates(&self) -> bool {
        let mut services = self.0.values();
        services.all(|rings| rings.all.0.len() <= MAX_INSTANCES)
    }

    /// Returns the instances that an entry in a zone is sent.
    pub(super) fn subset(&self, entry: &str, zone: &ZoneName) -> BTreeSet<Arc<str>> {
        let hash = xxh3_64(entry.as_bytes());
        let of_service = |rings: &ServiceRings| {
            let near = rings.by_zone.get(zone).into_iter();
            let near = near
                .flat_map(|ring| ring.from(hash))
                .take(SAME_ZONE_INSTANCES);
            let mut subset: BTreeSet<Arc<str>> = near.cloned().collect();
            for identity in rings.all.from(hash) {
                if subset.len() >= MAX_INSTANCES {
                    break;
                }
                subset.insert(Arc::clone(identity));
            }
            subset
        };
        self.0.values().flat_map(of_service).collect()
    }
}
