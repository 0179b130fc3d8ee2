//! The instances that an entry is told of: all of them in a small fleet, a subset in a large one.
//!
//! Answers the size of the fleet: telling each entry of each instance, and of each change of one, costs
//! entries times instances. An entry needs a choice of instances, most of them near. Instances are
//! ordered by a hash on a ring, and each entry takes those that follow its own hash, so that all
//! instances are told to about as many entries, and one that comes or goes changes few subsets.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64;

use super::Listed;
use crate::model::ZoneName;

/// Instances of one service that an entry is told of. A generation that waits for room names eight
/// candidates five times a second for at most a second, so an entry hardly looks at more.
const MOST_INSTANCES: usize = 256;
/// How many of them are in the entry's own zone, as far as that has so many.
const MOST_NEAR: usize = MOST_INSTANCES / 2;

/// An instance and its hash, which is its place on the ring.
type Place = (u64, Arc<str>);

fn place_of(listed: &Listed) -> Place {
    let hash = xxh3_64(listed.identity.as_bytes());
    (hash, Arc::clone(&listed.identity))
}

#[derive(Debug, Default)]
struct Ring(BTreeSet<Place>);

impl Ring {
    /// Returns the instances in the order of the ring, from a hash on.
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

/// The instances of each service, on rings.
#[derive(Debug, Default)]
pub(super) struct Rings(BTreeMap<Arc<str>, ServiceRings>);

impl Rings {
    pub(super) fn insert(&mut self, listed: &Listed) {
        let place = place_of(listed);
        let rings = self.0.entry(Arc::clone(&listed.service)).or_default();
        let zone = rings.by_zone.entry(listed.zone.clone()).or_default();
        zone.0.insert(place.clone());
        rings.all.0.insert(place);
    }

    pub(super) fn remove(&mut self, listed: &Listed) {
        let place = place_of(listed);
        let Some(rings) = self.0.get_mut(&listed.service) else {
            return;
        };
        rings.all.0.remove(&place);
        if let Some(zone) = rings.by_zone.get_mut(&listed.zone) {
            zone.0.remove(&place);
        }
        rings.by_zone.retain(|_, zone| !zone.0.is_empty());
        if rings.all.0.is_empty() {
            self.0.remove(&listed.service);
        }
    }

    /// Returns true if each entry is told of all instances.
    pub(super) fn are_small(&self) -> bool {
        let mut services = self.0.values();
        services.all(|rings| rings.all.0.len() <= MOST_INSTANCES)
    }

    /// Returns the instances that an entry in a zone is told of.
    pub(super) fn subset(&self, entry: &str, zone: &ZoneName) -> BTreeSet<Arc<str>> {
        let hash = xxh3_64(entry.as_bytes());
        let of_service = |rings: &ServiceRings| {
            let near = rings.by_zone.get(zone).into_iter();
            let near = near.flat_map(|ring| ring.from(hash)).take(MOST_NEAR);
            let mut subset: BTreeSet<Arc<str>> = near.cloned().collect();
            for identity in rings.all.from(hash) {
                if subset.len() >= MOST_INSTANCES {
                    break;
                }
                subset.insert(Arc::clone(identity));
            }
            subset
        };
        self.0.values().flat_map(of_service).collect()
    }
}
