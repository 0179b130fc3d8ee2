//! Request limits of instances, as an entry knows them.

use std::sync::Arc;

use super::View;
use crate::domain::fleet::instance::Instance;
use crate::domain::fleet::request_limit::{LimitChange, LimitNotice, NamedLimit};
use crate::domain::fleet::{ChosenInstance, EngineQuery};

impl View {
    /// Sets the seed by which this entry draws its part of request limits.
    pub fn set_seed(&mut self, seed: u64) {
        self.share.seed = seed;
    }

    /// Updates the number of entries that share request limits. It decreases slowly, since a new hub
    /// does not know all entries yet.
    pub fn set_entries(&mut self, entries: u32) {
        let before = self.share.entries;
        self.share.entries = entries.max(before - before.div_ceil(8)).max(1);
    }

    /// Applies the limit that an instance names in its response to a request sent at `sent_ms`;
    /// `named` is `None` if it names none.
    pub fn hear_limit(
        &mut self,
        identity: &str,
        named: Option<NamedLimit>,
        sent_ms: u64,
        now_ms: u64,
    ) -> LimitChange {
        let Some(instance) = self.instances.get_mut(identity) else {
            return LimitChange::Unchanged;
        };
        let change = instance.limit.hear_response(named, sent_ms, now_ms);
        instance.apply_limit_change(change, now_ms);
        change
    }

    /// Returns the limits of instances of which the hub does not know yet.
    pub fn limit_notices(&self, now_ms: u64) -> Vec<LimitNotice> {
        let is_unknown_to_hub = |instance: &&Instance| {
            let known_to_hub = instance.hub_update.as_ref();
            let known_to_hub = known_to_hub.and_then(|update| update.limit_milli_per_s);
            instance.limit.milli_per_s() != known_to_hub
        };
        let unknown_to_hub = self.instances.values().filter(is_unknown_to_hub);
        unknown_to_hub
            .map(|instance| limit_notice(instance, now_ms))
            .collect()
    }

    /// Returns what this entry has heard of the limits of some instances.
    pub fn limit_notices_of(&self, instances: &[Arc<str>], now_ms: u64) -> Vec<LimitNotice> {
        let known = |identity: &Arc<str>| match self.instances.get(identity) {
            Some(instance) => limit_notice(instance, now_ms),
            None => LimitNotice {
                identity: Arc::clone(identity),
                born_ms: None,
                statement: None,
            },
        };
        instances.iter().map(known).collect()
    }

    /// Records that the hub grants no request to an instance for `ready_in_ms`.
    pub fn set_at_limit(&mut self, identity: &str, ready_in_ms: u64, now_ms: u64) {
        if let Some(instance) = self.instances.get_mut(identity) {
            instance.at_limit_until_ms = now_ms + ready_in_ms;
        }
    }

    /// Returns true if an instance has a request limit.
    pub fn is_limited(&self, identity: &str) -> bool {
        let instance = self.instances.get(identity);
        instance.is_some_and(Instance::is_limited)
    }

    /// Returns true if requests to an instance need the hub's permit: it has a request limit or is
    /// cold.
    pub fn needs_permit(&self, identity: &str, now_ms: u64) -> bool {
        let instance = self.instances.get(identity);
        instance.is_some_and(|instance| instance.needs_permit(now_ms))
    }

    /// Grants a request to the first of some instances whose limit allows one without the hub.
    /// Returns its index.
    pub fn take_local_permit(&mut self, instances: &[Arc<str>], now_ms: u64) -> Option<usize> {
        let share = self.share;
        instances.iter().position(|identity| {
            let instance = self.instances.get_mut(identity);
            instance.is_some_and(|instance| {
                let is_granted = instance.allows_without_hub(share, now_ms);
                if is_granted {
                    instance.count_local(now_ms);
                }
                is_granted
            })
        })
    }

    /// Chooses an engine without the hub, like [`View::choose_engine`], and counts the request if the
    /// engine has a limit or is cold.
    pub fn take_engine(&mut self, query: &EngineQuery<'_>) -> Option<ChosenInstance> {
        let chosen = self.choose_engine(query)?;
        self.take_local_permit(std::slice::from_ref(&chosen.identity), query.now_ms)?;
        Some(chosen)
    }

    /// Returns true if every instance of a service that accepts requests has a request limit.
    pub fn all_limited(&self, service: &str, now_ms: u64) -> bool {
        let mut open = self
            .members(service)
            .filter(|i| i.is_open(now_ms))
            .peekable();
        open.peek().is_some() && open.all(Instance::is_limited)
    }
}

fn limit_notice(instance: &Instance, now_ms: u64) -> LimitNotice {
    LimitNotice {
        identity: Arc::clone(&instance.listed.identity),
        born_ms: instance.listed.born_ms,
        statement: instance.limit.statement(now_ms),
    }
}
