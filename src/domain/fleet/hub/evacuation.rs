//! Evacuated zones, as the hub applies them.

use std::collections::BTreeSet;
use std::sync::Arc;

use super::Hub;
use crate::model::ZoneName;

impl Hub {
    /// Replaces the zones whose instances get nothing new.
    pub fn set_evacuated(&mut self, zones: BTreeSet<ZoneName>) {
        self.evacuated = zones;
    }

    /// Records that the instances of a zone get work again. Returns their identities.
    pub fn zone_restored(&mut self, zone: &ZoneName, _now_ms: u64) -> Vec<Arc<str>> {
        let in_zone = self.listed.iter().filter(|listed| listed.zone == *zone);
        in_zone.map(|listed| Arc::clone(&listed.identity)).collect()
    }
}
