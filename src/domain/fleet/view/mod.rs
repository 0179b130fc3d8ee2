//! An entry's view of the fleet.

mod cold;
mod evacuation;
mod limits;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::cold::ColdRules;
use super::departures::{Departure, Departures};
use super::instance::{HubUpdate, Instance, InstanceSummary, Leaving, Outcome, Reachability};
use super::local_share::EntryShare;
use super::pause::AskedPause;
use super::updates::{FleetUpdate, Position};
use super::{Demand, InstanceUpdate, Listed, ListedState, Load, Report};
use crate::domain::pace::{Observed, PaceEstimate, PaceSummary, PacedStreams, Paces};
use crate::model::ZoneName;

/// The platform's list may be this old when it is read.
const LIST_LAG_MS: u64 = 800;

/// The instances that an entry knows.
#[derive(Debug)]
pub struct View {
    pub(super) zone: ZoneName,
    pub(super) instances: BTreeMap<Arc<str>, Instance>,
    by_service: BTreeMap<Arc<str>, BTreeSet<Arc<str>>>,
    /// The list as received from the hub.
    received: BTreeMap<Arc<str>, Listed>,
    /// Instances that are no longer in the entry's subset, though they may still be listed.
    /// Requests that run there continue to their end.
    dropped: BTreeSet<Arc<str>>,
    /// Shutdowns that instances have announced to this entry.
    departures: Departures,
    /// What this entry's own streams show of the pace of instances, used without the hub.
    paces: Paces,
    /// The latest update received from the hub; `None` if the list is from the platform.
    position: Option<Position>,
    /// When the newest list was read from the platform.
    listed_ms: Option<u64>,
    /// Zones whose instances get nothing new.
    evacuated: BTreeSet<ZoneName>,
    cold_rules: ColdRules,
    /// The part of request limits that this entry uses without the hub.
    pub(super) share: EntryShare,
}

impl View {
    /// Returns an empty view for an entry in a zone.
    pub fn new(zone: ZoneName) -> Self {
        Self {
            zone,
            instances: BTreeMap::new(),
            by_service: BTreeMap::new(),
            received: BTreeMap::new(),
            dropped: BTreeSet::new(),
            departures: Departures::default(),
            paces: Paces::default(),
            position: None,
            listed_ms: None,
            evacuated: BTreeSet::new(),
            cold_rules: ColdRules::default(),
            share: EntryShare {
                entries: 1,
                seed: 0,
            },
        }
    }

    /// Returns the zone of the entry.
    pub fn zone(&self) -> &ZoneName {
        &self.zone
    }

    /// Returns the position of the latest update received from the hub.
    pub fn position(&self) -> Option<Position> {
        self.position
    }

    /// Applies an update from a hub whose list was read at `read_ms`. Returns true if the list has
    /// changed or an instance has begun to leave. An outdated list from a different hub is ignored:
    /// a hub that has not led for a while still has its list from that time.
    pub fn apply_update(&mut self, mut update: FleetUpdate, read_ms: u64, now_ms: u64) -> bool {
        let is_same_hub = self
            .position
            .is_some_and(|position| position.hub == update.position.hub);
        if !is_same_hub && self.is_outdated(read_ms) {
            self.position = None;
            return false;
        }
        if update.whole {
            self.received.clear();
            self.dropped.clear();
            for instance in self.instances.values_mut() {
                instance.hub_update = None;
            }
            if update.is_subset {
                self.dropped.extend(self.instances.keys().cloned());
            }
        }
        let cold_ends = self.take_cold_ends(&mut update.listed, now_ms);
        let has_removals = !update.gone.is_empty() || !update.dropped.is_empty();
        let list_changed = update.whole || !update.listed.is_empty() || has_removals;
        for identity in update.gone.iter().chain(&update.dropped) {
            self.received.remove(identity);
        }
        self.dropped.extend(update.dropped);
        for identity in &update.gone {
            self.dropped.remove(identity);
        }
        for listed in update.listed {
            self.dropped.remove(&listed.identity);
            self.received.insert(Arc::clone(&listed.identity), listed);
        }
        if list_changed {
            let listed = self.received.values().cloned().collect();
            self.apply_list(listed, read_ms, now_ms);
        }
        self.apply_cold_ends(cold_ends);
        self.position = Some(update.position);
        self.apply_instance_updates(update.pulses, now_ms) || list_changed
    }

    /// Replaces the list by one that was read from the platform at `read_ms`. An outdated one is
    /// ignored.
    pub fn apply_platform_list(&mut self, mut listed: Vec<Listed>, read_ms: u64, now_ms: u64) {
        if !self.is_outdated(read_ms) {
            self.position = None;
            self.dropped.clear();
            let cold_ends = self.take_cold_ends(&mut listed, now_ms);
            self.apply_list(listed, read_ms, now_ms);
            self.apply_cold_ends(cold_ends);
        }
    }

    /// Returns true for a list that is older than the last one by more than the platform's own lag.
    /// Within that lag, the hub's list takes precedence: it includes engines that the platform does
    /// not show yet.
    fn is_outdated(&self, read_ms: u64) -> bool {
        self.listed_ms
            .is_some_and(|before_ms| read_ms + LIST_LAG_MS < before_ms)
    }

    /// Applies a complete list. Instances that are no longer listed are removed once this entry has
    /// no requests there and no pause is running.
    fn apply_list(&mut self, listed: Vec<Listed>, read_ms: u64, now_ms: u64) {
        self.listed_ms = self.listed_ms.max(Some(read_ms));
        let listed_identities: BTreeSet<Arc<str>> = listed
            .iter()
            .map(|listed| Arc::clone(&listed.identity))
            .collect();
        for listed in listed {
            let identity = Arc::clone(&listed.identity);
            let instance = self
                .instances
                .entry(identity)
                .or_insert_with(|| Instance::new(listed.clone()));
            instance.update_from_list(listed, read_ms);
            if self.departures.has(&instance.listed) {
                instance.mark_leaving(None);
            }
        }
        for (identity, instance) in &mut self.instances {
            if !listed_identities.contains(identity) && !self.dropped.contains(identity) {
                instance.mark_delisted(Some(now_ms), read_ms);
            }
        }
        self.instances
            .retain(|identity, i| listed_identities.contains(identity) || i.must_be_kept(now_ms));
        self.dropped
            .retain(|identity| self.instances.contains_key(identity));
        self.by_service.clear();
        let listed = self.instances.iter();
        for (identity, instance) in
            listed.filter(|(identity, _)| listed_identities.contains(*identity))
        {
            let members = self.by_service.entry(Arc::clone(&instance.listed.service));
            members.or_default().insert(Arc::clone(identity));
        }
    }

    /// Applies the hub's updates on some instances. Returns true if one of them has begun to leave
    /// or its departure time has become known.
    pub fn apply_instance_updates(&mut self, updates: Vec<InstanceUpdate>, now_ms: u64) -> bool {
        let mut has_departures = false;
        for mut update in updates {
            let Some(instance) = self.instances.get_mut(&update.identity) else {
                continue;
            };
            let current = |(report, _): &(Report, u64)| instance.accept_start(report.born_ms);
            update.report = update.report.filter(current);
            if let Some((report, age_ms)) = update.report.filter(|(report, _)| report.leaves()) {
                let gone_at_ms = report
                    .leaves_in_ms
                    .map(|leaves_in_ms| (now_ms + leaves_in_ms).saturating_sub(age_ms));
                let is_time_known = instance
                    .leaving
                    .is_some_and(|leaving| leaving.gone_at_ms.is_some());
                if !is_time_known {
                    has_departures |= instance.leaving.is_none() || gone_at_ms.is_some();
                    instance.leaving = Some(Leaving { gone_at_ms });
                }
            }
            instance.hub_update = Some(HubUpdate {
                report: update
                    .report
                    .map(|(report, age_ms)| (report, now_ms.saturating_sub(age_ms))),
                running: update.running,
                committed_tokens: update.committed_tokens,
                prefill_tokens: update.prefill_tokens,
                paced: update.paced,
                pace: update.pace,
                limit_milli_per_s: update.limit.and_then(|limit| limit.limit_milli_per_s),
            });
            if let Some(statement) = update.limit {
                let change = instance.limit.hear_statement(statement, now_ms);
                instance.apply_limit_change(change, now_ms);
            }
        }
        has_departures
    }

    /// Records that an instance has announced its shutdown. Returns true if that was not known
    /// before.
    pub fn mark_leaving(&mut self, identity: &str, now_ms: u64) -> bool {
        let Some(instance) = self.instances.get_mut(identity) else {
            return false;
        };
        instance.mark_leaving(None);
        self.departures.add((&instance.listed).into(), now_ms)
    }

    /// Returns the departures that the hub's list does not show yet.
    pub fn departures(&self) -> Vec<Departure> {
        let is_unknown_to_hub =
            |listed: &&Listed| listed.state == ListedState::Ready && self.departures.has(listed);
        let unknown_to_hub = self.received.values().filter(is_unknown_to_hub);
        unknown_to_hub.map(Departure::from).collect()
    }

    /// Starts or extends the pause of an instance at its request.
    pub fn extend_pause(&mut self, identity: &str, asked: AskedPause, now_ms: u64) {
        if let Some(instance) = self.instances.get_mut(identity) {
            instance.pause.extend(asked, now_ms);
        }
    }

    /// Returns the rest of an instance's pause; 0 if it is not paused.
    pub fn pause_left_ms(&self, identity: &str, now_ms: u64) -> u64 {
        let instance = self.instances.get(identity);
        instance.map_or(0, |instance| instance.pause.remaining_ms(now_ms))
    }

    /// Returns the time until the first pause ends, if all instances of a service that are not
    /// leaving are paused; `None` otherwise.
    pub fn all_paused_for_ms(&self, service: &str, now_ms: u64) -> Option<u64> {
        let staying = self.members(service).filter(|i| i.leaving.is_none());
        let soonest_ms = staying.map(|i| i.pause.remaining_ms(now_ms)).min()?;
        (soonest_ms > 0).then_some(soonest_ms)
    }

    /// Returns the departure of an instance, `None` if it is not leaving. An unknown instance
    /// counts as gone.
    pub fn leaving(&self, identity: &str) -> Option<Leaving> {
        match self.instances.get(identity) {
            Some(instance) => instance.leaving,
            None => Some(Leaving {
                gone_at_ms: Some(0),
            }),
        }
    }

    /// Returns true if the platform has ended an instance: the list names it no more, or its notice
    /// is over.
    pub fn has_ended(&self, identity: &str, now_ms: u64) -> bool {
        let Some(instance) = self.instances.get(identity) else {
            return true;
        };
        let members = self.by_service.get(&instance.listed.service);
        let is_listed = members.is_some_and(|members| members.contains(identity));
        let gone_at_ms = instance.leaving.and_then(|leaving| leaving.gone_at_ms);
        // Instances that have left the subset may still be listed.
        gone_at_ms.is_some_and(|gone_at_ms| gone_at_ms <= now_ms)
            || !(is_listed || self.dropped.contains(identity))
    }

    /// Returns the number of instances of a service that accept requests and can be reached.
    pub fn usable(&self, service: &str, now_ms: u64) -> usize {
        self.members(service).filter(|i| i.usable(now_ms)).count()
    }

    /// Counts a request that is sent to an instance.
    pub fn begin(&mut self, identity: &str, demand: Option<Demand>) {
        if let Some(instance) = self.instances.get_mut(identity) {
            instance.running += 1;
            if let Some(demand) = demand {
                instance.committed_tokens += demand.total_tokens();
                instance.prefill_tokens += demand.prompt_tokens;
                instance.paced.add(PacedStreams::one(demand.gap_target_ms));
            }
        }
    }

    /// Counts the first event of a generation, whose prompt has been read.
    pub fn prompt_read(&mut self, identity: &str, demand: Demand) {
        if let Some(instance) = self.instances.get_mut(identity) {
            instance.prefill_tokens = instance.prefill_tokens.saturating_sub(demand.prompt_tokens);
        }
    }

    /// Counts the end of a request.
    pub fn end(&mut self, identity: &str, demand: Option<Demand>, prompt_read: bool) {
        if let Some(instance) = self.instances.get_mut(identity) {
            instance.running = instance.running.saturating_sub(1);
            if let Some(demand) = demand {
                instance.committed_tokens = instance
                    .committed_tokens
                    .saturating_sub(demand.total_tokens());
                let paced = PacedStreams::one(demand.gap_target_ms);
                instance.paced.subtract(paced);
                if !prompt_read {
                    instance.prefill_tokens =
                        instance.prefill_tokens.saturating_sub(demand.prompt_tokens);
                }
            }
        }
    }

    /// Updates the statistics of an instance with the outcome of a request.
    pub fn observe(&mut self, identity: &str, outcome: Outcome, now_ms: u64) -> Reachability {
        match self.instances.get_mut(identity) {
            Some(instance) => instance.observe(outcome, now_ms),
            None => Reachability::Unchanged,
        }
    }

    /// Records that the instance at an address has responded that it is not the listed one. The
    /// listed one is used again only after the list has shown it gone, at another address or with a
    /// later start.
    pub fn misdirected(&mut self, identity: &str, now_ms: u64) {
        if let Some(instance) = self.instances.get_mut(identity) {
            instance.leaving = Some(Leaving {
                gone_at_ms: Some(now_ms),
            });
        }
    }

    /// Returns the load that this entry has placed on instances, for the hub.
    pub fn loads(&self) -> Vec<Load> {
        self.instances
            .values()
            .filter(|instance| instance.running > 0 || instance.gaps.count > 0)
            .map(|instance| Load {
                identity: Arc::clone(&instance.listed.identity),
                running: instance.running,
                committed_tokens: instance.committed_tokens,
                prefill_tokens: instance.prefill_tokens,
                paced: instance.paced,
                gaps: instance.gaps,
            })
            .collect()
    }

    /// Returns the load for the hub like [`View::loads`], and learns from the gaps in it, which the
    /// next report does not name again.
    pub fn take_loads(&mut self, now_ms: u64) -> Vec<Load> {
        let loads = self.loads();
        for instance in self.instances.values_mut() {
            let gaps = std::mem::take(&mut instance.gaps);
            let observed = Observed {
                identity: &instance.listed.identity,
                service: &instance.listed.service,
                born_ms: instance.listed.born_ms,
                running: instance.total_paced().count,
            };
            self.paces.observe(&observed, gaps, now_ms);
        }
        self.paces.refresh(now_ms);
        loads
    }

    /// Records that a stream has received `events` events together, `gap_ms` after the ones before.
    pub fn record_gap(&mut self, identity: &str, gap_ms: u64, events: u32) {
        if let Some(instance) = self.instances.get_mut(identity) {
            instance.gaps.record(gap_ms, events);
        }
    }

    /// Returns the pace of each service whose instances' pace is known, for metrics.
    pub fn pace_summaries(&self) -> Vec<PaceSummary> {
        let mut summaries = self.paces.summaries();
        for summary in &mut summaries {
            let paces = self.members(&summary.service).map(|i| self.pace(i));
            let slowest = paces.map(|pace| pace.unwrap_or_default().slowness_permille);
            summary.slowest_permille = slowest.max().unwrap_or(summary.slowest_permille);
        }
        summaries
    }

    /// Returns the pace of an instance, as the hub has last estimated it or, without a hub, as this
    /// entry's own streams show it. `None` if it is unknown.
    pub(super) fn pace(&self, instance: &Instance) -> Option<PaceEstimate> {
        let from_hub = instance.hub_update.as_ref().and_then(|update| update.pace);
        let listed = &instance.listed;
        let own = || self.paces.estimate(&listed.identity, listed.born_ms);
        match self.position {
            // A new hub has to learn the pace of instances first.
            Some(_) => from_hub.or_else(own),
            None => own().or(from_hub),
        }
    }

    /// Returns the data that a choice of an instance was based on, for the log.
    pub fn summary(&self, identity: &str, now_ms: u64) -> InstanceSummary {
        let instance = self.instances.get(identity);
        instance.map_or_else(InstanceSummary::default, |instance| InstanceSummary {
            slowness_permille: self.pace(instance).unwrap_or_default().slowness_permille,
            ..instance.summary(now_ms)
        })
    }

    /// Returns the listed instances of a service that may be sent requests as far as their zone is
    /// concerned. Every choice of an instance starts from these.
    pub(super) fn members(&self, service: &str) -> impl Iterator<Item = &Instance> {
        let listed = self.listed_members(service);
        listed.filter(|instance| !self.evacuated.contains(&instance.listed.zone))
    }

    /// Returns the listed instances of a service, also those in evacuated zones.
    fn listed_members(&self, service: &str) -> impl Iterator<Item = &Instance> {
        let members = self.by_service.get(service).into_iter().flatten();
        members.filter_map(|identity| self.instances.get(identity))
    }
}
