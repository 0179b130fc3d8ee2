//! Cold instances, as the hub knows them.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use super::{Hub, ListChange};
use crate::domain::fleet::cold::ColdRules;
use crate::domain::fleet::placement::PlacementRequest;
use crate::model::ZoneName;

impl Hub {
    /// Replaces the rules of the document on cold instances.
    pub fn set_cold_rules(&mut self, rules: ColdRules, now_ms: u64) {
        if rules != self.cold.rules {
            self.cold.rules = rules;
            self.limit_cold_instances(now_ms);
        }
    }

    /// Records that the instance at an address stays cold for `remaining_ms`. Returns the resulting
    /// changes.
    pub fn hear_cold(
        &mut self,
        address: SocketAddr,
        remaining_ms: u64,
        now_ms: u64,
    ) -> Vec<ListChange> {
        let identity = self.by_address.get(&address);
        let Some(listed) = identity.and_then(|identity| self.find(identity)) else {
            return Vec::new();
        };
        let rules = &self.cold.rules;
        let until_ms = rules.until_ms(&listed.service, remaining_ms, now_ms);
        let identity = Arc::clone(&listed.identity);
        self.cold.extend(&identity, until_ms, now_ms);
        self.merge_if_cold_changed(now_ms)
    }

    /// Makes all instances of a zone cold for the cold start time of their service, because the
    /// evacuation of the zone has been withdrawn. Returns the resulting changes.
    pub fn zone_restored(&mut self, zone: &ZoneName, now_ms: u64) -> Vec<ListChange> {
        self.cold.restore_zone(zone, now_ms);
        self.cold.apply_restored_zones(&self.listed, now_ms);
        self.merge_if_cold_changed(now_ms)
    }

    /// Returns the number of instances that are cold.
    pub fn cold_instances(&self, now_ms: u64) -> usize {
        self.cold.count(now_ms)
    }

    /// Returns true if a candidate of a generation takes no request now because it is cold.
    pub fn is_held_back_by_cold(&self, request: &PlacementRequest, now_ms: u64) -> bool {
        let mut candidates = request.candidates.iter();
        candidates.any(|candidate| self.limiters.is_at_cold_limit(&candidate.identity, now_ms))
    }

    fn merge_if_cold_changed(&mut self, now_ms: u64) -> Vec<ListChange> {
        match self.cold.has_changed() {
            true => self.merge(now_ms),
            false => Vec::new(),
        }
    }

    /// Updates the limits of cold instances after a change of the list or of a cold time. Returns the
    /// instances whose cold time has begun or been extended.
    pub(super) fn update_cold_limits(&mut self, now_ms: u64) -> BTreeSet<Arc<str>> {
        self.cold.apply_restored_zones(&self.listed, now_ms);
        self.cold.expire(now_ms);
        self.limit_cold_instances(now_ms);
        self.cold.take_changed()
    }

    fn limit_cold_instances(&mut self, now_ms: u64) {
        for listed in &self.listed {
            if let Some(until_ms) = self.cold.until_ms(&listed.identity, now_ms) {
                let limit = self.cold.rules.of(&listed.service).limit_milli_per_s;
                self.limiters
                    .set_cold(&listed.identity, until_ms, limit, now_ms);
            }
        }
    }
}
