//! Cold instances, as an entry knows them.

use std::sync::Arc;

use super::View;
use crate::domain::fleet::Listed;
use crate::domain::fleet::cold::ColdRules;

impl View {
    /// Replaces the rules of the document on cold instances.
    pub fn set_cold_rules(&mut self, rules: ColdRules) {
        for instance in self.instances.values_mut() {
            let rule = rules.of(&instance.listed.service);
            instance.cold.set_limit(rule.limit_milli_per_s);
        }
        self.cold_rules = rules;
    }

    /// Returns true while the requests of all entries to an instance are limited because it is cold.
    pub fn is_cold_limited(&self, identity: &str, now_ms: u64) -> bool {
        let instance = self.instances.get(identity);
        instance.is_some_and(|instance| instance.cold.is_limited(now_ms))
    }

    /// Returns true while requests to an instance of a service are limited because it is cold.
    pub fn has_cold_limited(&self, service: &str, now_ms: u64) -> bool {
        let mut members = self.members(service);
        members.any(|instance| instance.cold.is_limited(now_ms))
    }

    /// Returns the number of instances that are cold.
    pub fn cold_instances(&self, now_ms: u64) -> usize {
        let instances = self.instances.values();
        instances.filter(|i| i.cold.is_cold(now_ms)).count()
    }

    /// Takes the remaining cold times out of a list that has just been received, and returns their
    /// ends, 0 for an instance that is not cold. A list that is applied again later must not extend them.
    pub(super) fn take_cold_ends(
        &self,
        listed: &mut [Listed],
        now_ms: u64,
    ) -> Vec<(Arc<str>, u64)> {
        let ends = listed.iter_mut().map(|listed| {
            let remaining_ms = std::mem::take(&mut listed.cold_remaining_ms);
            let until_ms = match remaining_ms {
                0 => 0,
                _ => self
                    .cold_rules
                    .until_ms(&listed.service, remaining_ms, now_ms),
            };
            (Arc::clone(&listed.identity), until_ms)
        });
        ends.collect()
    }

    /// Applies the ends of cold times to the instances.
    pub(super) fn apply_cold_ends(&mut self, ends: Vec<(Arc<str>, u64)>) {
        for (identity, until_ms) in ends {
            if let Some(instance) = self.instances.get_mut(&identity) {
                let rule = self.cold_rules.of(&instance.listed.service);
                instance.cold.set_limit(rule.limit_milli_per_s);
                instance.cold.hear(until_ms);
            }
        }
    }
}
