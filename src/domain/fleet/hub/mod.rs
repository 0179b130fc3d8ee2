//! Aggregates the platform's list, the reports of sidecars and the loads of entries. The leader of
//! the control instances holds the hub.

mod cold;
mod evacuation;
mod limits;
mod placement;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use super::announced::Announcements;
use super::cold::ColdInstances;
use super::departures::{Departure, Departures};
use super::entries::{Entries, SentSubset};
use super::limiters::Limiters;
use super::placement::Reservations;
use super::starts::SidecarStarts;
use super::subset::Rings;
use super::updates::{FleetUpdate, InstanceState, ListHistory, LoadHistory, Position};
use super::usage::{Loads, Usage};
use super::{InstanceUpdate, Listed, ListedState, Load, Report};
use crate::domain::pace::{Observed, PaceEstimate, Paces};
use crate::model::ZoneName;

/// The load of an entry counts for this long after its last sync. Entries sync at intervals of at
/// most 250 ms; six failed calls in a row mean that the entry is gone or unreachable.
const LOAD_TTL_MS: u64 = 1_500;
/// Reports older than this are dropped. Sidecars report every 300 ms.
const REPORT_TTL_MS: u64 = 2_000;
/// Interval between two checks for entries and sidecars that no longer report.
const EXPIRY_CHECK_INTERVAL_MS: u64 = 100;

/// A difference between a list and the previous one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ListChange {
    /// An instance is new, or in another state.
    Listed(Listed),
    Gone(Arc<str>),
}

impl ListChange {
    fn identity(&self) -> &Arc<str> {
        match self {
            Self::Listed(listed) => &listed.identity,
            Self::Gone(identity) => identity,
        }
    }
}

/// The state of the fleet.
#[derive(Debug, Default)]
pub struct Hub {
    /// Distinguishes the revisions of this hub from those of others.
    id: u64,
    /// The platform's list, as last read.
    platform: Vec<Listed>,
    announcements: Announcements,
    /// Instances that have announced their shutdown, whatever the platform lists.
    departures: Departures,
    cold: ColdInstances,
    /// Limits on the requests of all entries to instances that name one or are cold.
    limiters: Limiters,
    starts: SidecarStarts,
    /// The list that entries are sent: the platform's list and the engines that it does not show
    /// yet. Sorted by identity.
    listed: Vec<Listed>,
    rings: Rings,
    by_address: BTreeMap<SocketAddr, Arc<str>>,
    /// Incremented whenever `listed` changes.
    revision: u64,
    list_history: ListHistory,
    listed_ms: Option<u64>,
    reports: BTreeMap<SocketAddr, (Report, u64)>,
    loads: Loads,
    reservations: Reservations,
    load_history: LoadHistory,
    paces: Paces,
    entries: Entries,
    /// Zones whose instances get nothing new.
    evacuated: BTreeSet<ZoneName>,
    next_expiry_check_ms: u64,
}

impl Hub {
    /// Returns an empty hub. Revisions begin at a random number, so that those of two hubs differ.
    pub fn new(random: u64) -> Self {
        let revision = random >> 1;
        Self {
            id: random,
            revision,
            list_history: ListHistory::after(revision),
            ..Self::default()
        }
    }

    /// Replaces the platform's list. Returns the changes to the list that entries are sent.
    pub fn list(&mut self, mut listed: Vec<Listed>, now_ms: u64) -> Vec<ListChange> {
        self.cold.take_from_list(&mut listed, now_ms);
        self.listed_ms = Some(now_ms);
        self.platform = listed;
        self.merge(now_ms)
    }

    /// Records that the hub has just started and that no sidecar has reported to it yet.
    pub fn expect_reports(&mut self, now_ms: u64) {
        self.starts.begin(now_ms);
    }

    /// Records that the sidecar of an engine has reported, and whether it is still identifying the
    /// engine.
    pub fn hear_sidecar(&mut self, engine: SocketAddr, is_identifying: bool, now_ms: u64) {
        self.starts.record_report(engine, is_identifying, now_ms);
    }

    /// Returns true shortly after the hub's start, while running engines are still being
    /// identified.
    pub fn expects_engines(&self, now_ms: u64) -> bool {
        self.starts.is_identifying_engines(now_ms)
    }

    /// Adds an engine that its sidecar has identified. Returns the resulting changes.
    pub fn announce(&mut self, mut engine: Listed, now_ms: u64) -> Vec<ListChange> {
        let cold = (Arc::clone(&engine.identity), Arc::clone(&engine.service));
        let remaining_ms = std::mem::take(&mut engine.cold_remaining_ms);
        // Each report repeats the announcement, so only the first one tells of the start.
        match self.announcements.announce(engine, &self.platform, now_ms) {
            true => {
                let (identity, service) = cold;
                let until_ms = self.cold.rules.until_ms(&service, remaining_ms, now_ms);
                self.cold.extend(&identity, until_ms, now_ms);
                self.merge(now_ms)
            }
            false => Vec::new(),
        }
    }

    /// Drops the announced engine at an address, unless its sidecar still counts it to this service.
    /// Returns the resulting changes.
    pub fn retract(
        &mut self,
        address: SocketAddr,
        service: Option<&Arc<str>>,
        now_ms: u64,
    ) -> Vec<ListChange> {
        match self.announcements.retract(address, service) {
            true => self.merge(now_ms),
            false => Vec::new(),
        }
    }

    /// Adds the departures that an entry has been informed of. Returns the resulting changes.
    pub fn depart(&mut self, departures: Vec<Departure>, now_ms: u64) -> Vec<ListChange> {
        let mut any_new = false;
        for departure in departures {
            any_new |= self.departures.add(departure, now_ms);
        }
        match any_new {
            true => self.merge(now_ms),
            false => Vec::new(),
        }
    }

    /// Returns the departure of the instance at an address whose report says that it is leaving;
    /// `None` if no instance is listed there.
    pub fn departure_at(&self, address: SocketAddr, report: Report) -> Option<Departure> {
        let listed = self.find(self.by_address.get(&address)?)?;
        let departure = Departure::from(listed);
        Some(Departure {
            born_ms: report.born_ms.or(departure.born_ms),
            ..departure
        })
    }

    fn merge(&mut self, now_ms: u64) -> Vec<ListChange> {
        let mut listed = self.announcements.merge(&self.platform, now_ms);
        let is_leaving = |listed: &&mut Listed| self.departures.has(listed);
        for leaving in listed.iter_mut().filter(is_leaving) {
            leaving.state = ListedState::Draining;
        }
        listed.sort_by(|a, b| a.identity.cmp(&b.identity));
        listed.dedup_by(|a, b| a.identity == b.identity);
        let before = std::mem::replace(&mut self.listed, listed);
        let newly_cold = self.update_cold_limits(now_ms);
        let previous = |new: &Listed| find(&before, &new.identity);
        let is_updated =
            |new: &&Listed| previous(new) != Some(*new) || newly_cold.contains(&new.identity);
        let updated = self.listed.iter().filter(is_updated);
        let updated = updated.map(|new| self.cold.with_remaining(new, now_ms));
        let mut changes: Vec<ListChange> = updated.map(ListChange::Listed).collect();
        let gone = before
            .iter()
            .filter(|old| find(&self.listed, &old.identity).is_none());
        changes.extend(gone.map(|old| ListChange::Gone(Arc::clone(&old.identity))));
        for change in &changes {
            if let Some(old) = find(&before, change.identity()) {
                self.rings.remove(old);
            }
            if let ListChange::Listed(new) = change {
                self.limiters
                    .forget_earlier_starts(&new.identity, new.born_ms, now_ms);
                self.rings.insert(new);
            }
        }
        self.limiters
            .expire(|identity| find(&self.listed, identity).is_some(), now_ms);
        if !changes.is_empty() {
            self.revision += 1;
            let identities = changes.iter().map(|change| Arc::clone(change.identity()));
            self.list_history.add(self.revision, identities);
            let addresses = self.listed.iter();
            self.by_address = addresses
                .map(|listed| (listed.address, Arc::clone(&listed.identity)))
                .collect();
        }
        for change in &changes {
            match change {
                ListChange::Listed(listed) => self.record_load(&listed.identity),
                ListChange::Gone(identity) => self.load_history.forget(identity),
            }
        }
        changes
    }

    /// Updates the load history with the current report and usage of an instance.
    fn record_load(&mut self, identity: &Arc<str>) {
        let Some(listed) = self.find(identity) else {
            return;
        };
        let report = self.reports.get(&listed.address).map(|(report, _)| *report);
        let state = InstanceState {
            report,
            usage: self.usage(identity),
            limit_milli_per_s: self.limiters.milli_per_s(identity),
            pace: self.pace(listed),
        };
        self.load_history.update(identity, state);
    }

    fn record_loads(&mut self, identities: &[Arc<str>]) {
        for identity in identities {
            self.record_load(identity);
        }
    }

    /// Returns the usage of an instance: what entries run there plus reservations.
    fn usage(&self, identity: &str) -> Usage {
        let mut usage = self.loads.total(identity);
        usage.add(self.reservations.total(identity));
        usage
    }

    /// Stores an instance's report. Returns true if entries should be informed at once, because the
    /// instance has begun to leave.
    pub fn report(&mut self, address: SocketAddr, report: Report, now_ms: u64) -> bool {
        let before = self.reports.insert(address, (report, now_ms));
        if let Some(identity) = self.by_address.get(&address).cloned() {
            self.record_load(&identity);
        }
        report.leaves() && !before.is_some_and(|(before, _)| before.leaves())
    }

    /// Returns the pace of an instance; `None` if it is unknown.
    fn pace(&self, listed: &Listed) -> Option<PaceEstimate> {
        self.paces.estimate(&listed.identity, listed.born_ms)
    }

    /// Learns the pace of instances from the gaps that an entry reports. Returns the instances whose
    /// estimates may have changed.
    fn observe_gaps(&mut self, loads: &[Load], now_ms: u64) -> Vec<Arc<str>> {
        for load in loads.iter().filter(|load| load.gaps.count > 0) {
            let running = self.usage(&load.identity).paced.count;
            if let Some(listed) = find(&self.listed, &load.identity) {
                let observed = Observed {
                    identity: &listed.identity,
                    service: &listed.service,
                    born_ms: listed.born_ms,
                    running,
                };
                self.paces.observe(&observed, load.gaps, now_ms);
            }
        }
        self.paces.refresh(now_ms)
    }

    /// Replaces the load that an entry has placed on engines.
    pub fn load(&mut self, entry: &Arc<str>, loads: &[Load], now_ms: u64) {
        self.expire(now_ms);
        let mut affected = self.loads.replace(entry, loads, now_ms + LOAD_TTL_MS);
        affected.extend(self.reservations.release_reported(entry, now_ms));
        let with_new_pace = self.observe_gaps(loads, now_ms);
        self.record_loads(&affected);
        self.record_loads(&with_new_pace);
        self.record_own_changes(entry, &affected, now_ms);
    }

    /// Records that an entry's own usage of some engines has changed.
    fn record_own_changes(&mut self, entry: &Arc<str>, engines: &[Arc<str>], now_ms: u64) {
        let revision = match engines.is_empty() && self.entries.contains(entry) {
            true => self.load_history.revision(),
            false => self.load_history.next_revision(),
        };
        let expires_ms = now_ms + LOAD_TTL_MS;
        self.entries
            .record_own_changes(entry, engines, revision, expires_ms);
    }

    /// Removes expired reservations, loads, reports and entries.
    fn expire(&mut self, now_ms: u64) {
        let mut affected = Vec::new();
        for (entry, engine) in self.reservations.expire(now_ms) {
            self.record_own_changes(&entry, std::slice::from_ref(&engine), now_ms);
            affected.push(engine);
        }
        if now_ms >= self.next_expiry_check_ms {
            self.next_expiry_check_ms = now_ms + EXPIRY_CHECK_INTERVAL_MS;
            self.entries.expire(now_ms);
            for (entry, engines) in self.loads.expire(now_ms) {
                // An entry that has expired as well is sent a complete update.
                if self.entries.contains(&entry) {
                    self.record_own_changes(&entry, &engines, now_ms);
                }
                affected.extend(engines);
            }
            let expired = self
                .reports
                .extract_if(.., |_, (_, received_ms)| {
                    now_ms >= *received_ms + REPORT_TTL_MS
                })
                .filter_map(|(address, _)| self.by_address.get(&address).cloned());
            affected.extend(expired);
        }
        self.record_loads(&affected);
    }

    fn find(&self, identity: &str) -> Option<&Listed> {
        find(&self.listed, identity)
    }

    /// Returns the number of entries that have synced recently.
    pub fn entries(&self) -> usize {
        self.loads.entries()
    }

    /// Returns the number of engines whose sidecars report.
    pub fn reporting(&self) -> usize {
        self.reports.len()
    }

    /// Returns the age of the platform's list; `None` if it was never read.
    pub fn list_age_ms(&self, now_ms: u64) -> Option<u64> {
        self.listed_ms
            .map(|listed_ms| now_ms.saturating_sub(listed_ms))
    }

    /// Returns the list that entries are sent, sorted by identity.
    pub fn listed(&self) -> &[Listed] {
        &self.listed
    }

    /// Returns the changes since `since` for an entry in a zone, or the complete state if the
    /// changes are not known; `None` if the platform's list was never read.
    pub fn updates_since(
        &mut self,
        entry: &str,
        zone: &ZoneName,
        since: Option<Position>,
        now_ms: u64,
    ) -> Option<FleetUpdate> {
        self.expire(now_ms);
        let subset = self.subset(entry, zone);
        if subset.is_none() && self.entries.was_sent_subset(entry) {
            // It is sent all instances from now on, and that response may be lost.
            self.entries.forget(entry);
        }
        self.record_own_changes(&entry.into(), &[], now_ms);
        let position = self.position()?;
        let sent = subset.clone().map(|instances| SentSubset {
            position,
            instances,
        });
        let before = self.entries.replace_sent(entry, sent);
        let known = since.filter(|since| since.hub == self.id);
        let changes = known.and_then(|since| self.changes(entry, since, subset.as_ref(), before));
        let mut update = FleetUpdate {
            position,
            whole: changes.is_none(),
            is_subset: subset.is_some(),
            listed: Vec::new(),
            gone: Vec::new(),
            dropped: Vec::new(),
            pulses: Vec::new(),
        };
        match changes {
            Some(changes) => {
                let listed = changes.listed.iter().filter_map(|id| self.find(id));
                let listed = listed.map(|listed| self.cold.with_remaining(listed, now_ms));
                update.listed = listed.collect();
                let updates = changes.loads.iter();
                let updates =
                    updates.filter_map(|identity| self.instance_update(entry, identity, now_ms));
                update.pulses = updates.collect();
                (update.gone, update.dropped) = (changes.gone, changes.dropped);
            }
            None => {
                let is_sent =
                    |id: &Arc<str>| subset.as_ref().is_none_or(|subset| subset.contains(id));
                let listed = self
                    .listed
                    .iter()
                    .filter(|listed| is_sent(&listed.identity));
                let listed = listed.map(|listed| self.cold.with_remaining(listed, now_ms));
                update.listed = listed.collect();
                update.pulses = self.instance_updates_of(entry, &update.listed, now_ms);
                if update.is_subset {
                    update.gone = self.own_gone(entry);
                }
            }
        }
        Some(update)
    }

    /// Returns the instances that an entry is sent; `None` for all. They include those where the
    /// entry has something running, wherever they are.
    fn subset(&self, entry: &str, zone: &ZoneName) -> Option<BTreeSet<Arc<str>>> {
        if self.rings.fit_in_full_updates() {
            return None;
        }
        let mut subset = self.rings.subset(entry, zone);
        let own = self.own_engines(entry);
        subset.extend(own.filter(|id| self.find(id).is_some()).cloned());
        Some(subset)
    }

    fn own_engines(&self, entry: &str) -> impl Iterator<Item = &Arc<str>> {
        let loads = self.loads.engines_of(entry);
        loads.chain(self.reservations.engines_of(entry))
    }

    /// Returns the unlisted instances where an entry still has something running.
    fn own_gone(&self, entry: &str) -> Vec<Arc<str>> {
        let own = self.own_engines(entry);
        own.filter(|id| self.find(id).is_none()).cloned().collect()
    }

    /// Returns the changes for an entry since a position; `None` if they are not known.
    fn changes(
        &mut self,
        entry: &str,
        since: Position,
        subset: Option<&BTreeSet<Arc<str>>>,
        before: Option<SentSubset>,
    ) -> Option<Changes> {
        let changed = self.list_history.since(since.list_revision)?;
        let mut loads = self.entries.own_changes(entry, since.load_revision)?;
        loads.extend(self.load_history.since(since.load_revision).cloned());
        let (subset, sent) = match (subset, before) {
            (None, None) => {
                let (listed, gone) = changed.into_iter().partition(|id| self.find(id).is_some());
                let gone: BTreeSet<Arc<str>> = gone;
                return Some(Changes {
                    listed,
                    gone: gone.into_iter().collect(),
                    dropped: Vec::new(),
                    loads,
                });
            }
            // If the previous response was lost, it is not known what the entry has.
            (Some(subset), Some(sent)) if sent.position == since => (subset, sent.instances),
            _ => return None,
        };
        let added: BTreeSet<Arc<str>> = subset.difference(&sent).cloned().collect();
        let removed = sent.difference(subset).cloned();
        let (dropped, mut gone): (Vec<_>, Vec<_>) = removed.partition(|id| self.find(id).is_some());
        gone.extend(self.own_gone(entry));
        let mut listed: BTreeSet<Arc<str>> = subset.intersection(&changed).cloned().collect();
        listed.extend(added.iter().cloned());
        loads.retain(|id| subset.contains(id));
        loads.extend(added);
        Some(Changes {
            listed,
            gone,
            dropped,
            loads,
        })
    }

    /// Returns the position of an entry that has received all updates; `None` if the platform's
    /// list was never read.
    pub fn position(&self) -> Option<Position> {
        self.listed_ms.map(|_| Position {
            hub: self.id,
            list_revision: self.revision,
            load_revision: self.load_history.revision(),
        })
    }

    /// Returns the report, the load of other entries and the request limit for each instance that has
    /// any of them.
    pub fn instance_updates(&self, entry: &str, now_ms: u64) -> Vec<InstanceUpdate> {
        self.instance_updates_of(entry, &self.listed, now_ms)
    }

    fn instance_updates_of(
        &self,
        entry: &str,
        listed: &[Listed],
        now_ms: u64,
    ) -> Vec<InstanceUpdate> {
        let listed = listed.iter();
        listed
            .filter_map(|listed| self.instance_update(entry, &listed.identity, now_ms))
            .filter(|update| {
                update.report.is_some()
                    || update.running > 0
                    || update.limit.is_some()
                    || update.pace.is_some()
            })
            .collect()
    }

    /// Returns an instance's report and the load of the other entries there; `None` if the instance
    /// is not listed.
    fn instance_update(&self, entry: &str, identity: &str, now_ms: u64) -> Option<InstanceUpdate> {
        let listed = self.find(identity)?;
        let report = self.reports.get(&listed.address);
        let mut usage = self.usage(identity);
        usage.subtract(self.loads.of_entry(entry, identity));
        usage.subtract(self.reservations.of_entry(entry, identity));
        Some(InstanceUpdate {
            identity: Arc::clone(&listed.identity),
            report: report.map(|(report, at_ms)| (*report, now_ms.saturating_sub(*at_ms))),
            running: usage.running,
            committed_tokens: usage.committed_tokens,
            prefill_tokens: usage.prefill_tokens,
            paced: usage.paced,
            pace: self.pace(listed),
            limit: self.limiters.statement(identity, now_ms),
        })
    }
}

/// The changes that an entry has not received yet.
struct Changes {
    listed: BTreeSet<Arc<str>>,
    gone: Vec<Arc<str>>,
    dropped: Vec<Arc<str>>,
    loads: BTreeSet<Arc<str>>,
}

/// Finds an instance in a list that is sorted by identity.
fn find<'a>(listed: &'a [Listed], identity: &str) -> Option<&'a Listed> {
    let at = listed.binary_search_by(|listed| (*listed.identity).cmp(identity));
    listed.get(at.ok()?)
}
