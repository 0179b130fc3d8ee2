//! The point where lists, reports and loads meet; kept by the leader of the control instances.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use super::announced::Announcements;
use super::departures::{Departure, Departures};
use super::entries::{Entries, ToldSubset};
use super::news::{ListHistory, LoadHistory, News, Position};
use super::placement::{PlacementRequest, Reservations};
use super::starts::Starts;
use super::subset::Rings;
use super::usage::{Loads, Usage};
use super::{Listed, ListedState, Load, Pulse, Report};
use crate::model::ZoneName;

/// Loads of an entry that has not synced for this long no longer count. Entries sync at least
/// every 250 ms; six lost calls in a row mean that the entry is gone or cut off.
const LOAD_KEPT_MS: u64 = 1_500;
/// Reports older than this are dropped; sidecars report every 300 ms.
const REPORT_KEPT_MS: u64 = 2_000;
/// Time between two looks for entries and sidecars that have been silent for too long.
const LOOK_FOR_SILENT_EVERY_MS: u64 = 100;

/// What a list says that the one before did not.
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

/// Collects what is known of the fleet.
#[derive(Debug, Default)]
pub struct Hub {
    /// Tells the revisions of this hub from those of others.
    id: u64,
    /// What the platform lists.
    platform: Vec<Listed>,
    announcements: Announcements,
    /// Instances that have said that they leave, whatever the platform lists.
    departures: Departures,
    starts: Starts,
    /// What entries are told: the platform's list, and the engines that it does not show yet. Sorted
    /// by identity.
    listed: Vec<Listed>,
    rings: Rings,
    by_address: BTreeMap<SocketAddr, Arc<str>>,
    /// Changes with what entries are told.
    revision: u64,
    list_history: ListHistory,
    listed_ms: Option<u64>,
    reports: BTreeMap<SocketAddr, (Report, u64)>,
    loads: Loads,
    reservations: Reservations,
    load_history: LoadHistory,
    entries: Entries,
    look_for_silent_at_ms: u64,
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

    /// Takes a list read from the platform; returns what differs from the last one.
    pub fn list(&mut self, listed: Vec<Listed>, now_ms: u64) -> Vec<ListChange> {
        self.listed_ms = Some(now_ms);
        self.platform = listed;
        self.merge(now_ms)
    }

    /// Takes note that reports are expected, since the hub has just begun.
    pub fn expect_reports(&mut self, now_ms: u64) {
        self.starts.begin(now_ms);
    }

    /// Takes note of the sidecar of an engine, and whether it is about to identify that.
    pub fn hear_sidecar(&mut self, engine: SocketAddr, is_identifying: bool, now_ms: u64) {
        self.starts.tell(engine, is_identifying, now_ms);
    }

    /// Returns true while engines that run are about to be known.
    pub fn expects_engines(&self, now_ms: u64) -> bool {
        self.starts.are_incomplete(now_ms)
    }

    /// Takes an engine that its sidecar has identified; returns what that changes.
    pub fn announce(&mut self, engine: Listed, now_ms: u64) -> Vec<ListChange> {
        match self.announcements.announce(engine, &self.platform, now_ms) {
            true => self.merge(now_ms),
            false => Vec::new(),
        }
    }

    /// Takes the departures that an entry has heard of; returns what that changes.
    pub fn depart(&mut self, departures: Vec<Departure>, now_ms: u64) -> Vec<ListChange> {
        let mut news = false;
        for departure in departures {
            news |= self.departures.add(departure, now_ms);
        }
        match news {
            true => self.merge(now_ms),
            false => Vec::new(),
        }
    }

    /// Returns the departure of the instance at an address, whose report says that it leaves.
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
        let has_left = |listed: &&mut Listed| self.departures.has(listed);
        for leaving in listed.iter_mut().filter(has_left) {
            leaving.state = ListedState::Draining;
        }
        listed.sort_by(|a, b| a.identity.cmp(&b.identity));
        listed.dedup_by(|a, b| a.identity == b.identity);
        let before = std::mem::replace(&mut self.listed, listed);
        let was = |new: &Listed| find(&before, &new.identity);
        let news = self.listed.iter().filter(|new| was(new) != Some(*new));
        let mut changes: Vec<ListChange> = news.cloned().map(ListChange::Listed).collect();
        let gone = before
            .iter()
            .filter(|old| find(&self.listed, &old.identity).is_none());
        changes.extend(gone.map(|old| ListChange::Gone(Arc::clone(&old.identity))));
        for change in &changes {
            if let Some(old) = find(&before, change.identity()) {
                self.rings.remove(old);
            }
            if let ListChange::Listed(new) = change {
                self.rings.insert(new);
            }
        }
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
                ListChange::Listed(listed) => self.update(&listed.identity),
                ListChange::Gone(identity) => self.load_history.forget(identity),
            }
        }
        changes
    }

    /// Takes what has become of an instance into what entries are told.
    fn update(&mut self, identity: &Arc<str>) {
        let Some(listed) = self.find(identity) else {
            return;
        };
        let report = self.reports.get(&listed.address).map(|(report, _)| *report);
        let usage = self.usage(identity);
        self.load_history.update(identity, report, usage);
    }

    fn update_all(&mut self, identities: &[Arc<str>]) {
        for identity in identities {
            self.update(identity);
        }
    }

    /// Returns what runs at an instance, and what is reserved there.
    fn usage(&self, identity: &str) -> Usage {
        let mut usage = self.loads.total(identity);
        usage.add(self.reservations.total(identity));
        usage
    }

    /// Takes an instance's report; returns true if entries should hear of it at once.
    pub fn report(&mut self, address: SocketAddr, report: Report, now_ms: u64) -> bool {
        let before = self.reports.insert(address, (report, now_ms));
        if let Some(identity) = self.by_address.get(&address).cloned() {
            self.update(&identity);
        }
        report.leaves() && !before.is_some_and(|(before, _)| before.leaves())
    }

    /// Takes what an entry has placed.
    pub fn load(&mut self, entry: &Arc<str>, loads: &[Load], now_ms: u64) {
        self.expire(now_ms);
        let mut touched = self.loads.tell(entry, loads, now_ms + LOAD_KEPT_MS);
        touched.extend(self.reservations.reported(entry, now_ms));
        self.update_all(&touched);
        self.own_changed(entry, &touched, now_ms);
    }

    /// Takes note of engines where an entry's own usage has changed.
    fn own_changed(&mut self, entry: &Arc<str>, engines: &[Arc<str>], now_ms: u64) {
        let revision = match engines.is_empty() && self.entries.knows(entry) {
            true => self.load_history.revision(),
            false => self.load_history.next_revision(),
        };
        let expires_ms = now_ms + LOAD_KEPT_MS;
        self.entries
            .own_changed(entry, engines, revision, expires_ms);
    }

    /// Forgets what was told too long ago.
    fn expire(&mut self, now_ms: u64) {
        let mut touched = Vec::new();
        for (entry, engine) in self.reservations.expire(now_ms) {
            self.own_changed(&entry, std::slice::from_ref(&engine), now_ms);
            touched.push(engine);
        }
        if now_ms >= self.look_for_silent_at_ms {
            self.look_for_silent_at_ms = now_ms + LOOK_FOR_SILENT_EVERY_MS;
            self.entries.expire(now_ms);
            touched.extend(self.loads.expire(now_ms));
            let silent = self
                .reports
                .extract_if(.., |_, (_, received_ms)| {
                    now_ms >= *received_ms + REPORT_KEPT_MS
                })
                .filter_map(|(address, _)| self.by_address.get(&address).cloned());
            touched.extend(silent);
        }
        self.update_all(&touched);
    }

    /// Reserves room for a generation at the candidate with the shortest wait. Returns the
    /// position of the candidate, or none if no one has room.
    pub fn place(&mut self, request: &PlacementRequest, now_ms: u64) -> Option<usize> {
        self.expire(now_ms);
        let fitting = self.fitting(request, now_ms);
        let (at, _) = fitting.into_iter().min_by_key(|(_, wait_ms)| *wait_ms)?;
        self.reserve(request, at, now_ms);
        Some(at)
    }

    /// Reserves room for a generation at one candidate.
    pub fn reserve(&mut self, request: &PlacementRequest, at: usize, now_ms: u64) {
        if let Some(candidate) = request.candidates.get(at) {
            self.reservations.reserve(request, candidate, now_ms);
            self.update(&candidate.identity);
            let engine = std::slice::from_ref(&candidate.identity);
            self.own_changed(&request.entry, engine, now_ms);
        }
    }

    /// Returns the positions and addresses of the candidates with room.
    pub fn with_room(
        &mut self,
        request: &PlacementRequest,
        now_ms: u64,
    ) -> Vec<(usize, SocketAddr)> {
        self.expire(now_ms);
        let fitting = self.fitting(request, now_ms).into_iter();
        let with_address = fitting.filter_map(|(at, _)| {
            let listed = self.find(&request.candidates[at].identity)?;
            Some((at, listed.address))
        });
        with_address.collect()
    }

    fn fitting(&self, request: &PlacementRequest, now_ms: u64) -> Vec<(usize, u64)> {
        let usage = |identity: &str| {
            let listed = self.find(identity)?;
            let report = self.reports.get(&listed.address);
            let takes_work = report.is_none_or(|(report, _)| {
                !report.leaves() && report.holds(request.demand.prompt_tokens)
            });
            let takes_work = takes_work && !self.starts.is_doubtful(listed, now_ms);
            takes_work.then(|| self.usage(identity))
        };
        Reservations::with_room(request, usage)
    }

    fn find(&self, identity: &str) -> Option<&Listed> {
        find(&self.listed, identity)
    }

    /// Returns the number of entries that synced lately.
    pub fn entries(&self) -> usize {
        self.loads.entries()
    }

    /// Returns the number of engines whose sidecars report.
    pub fn reporting(&self) -> usize {
        self.reports.len()
    }

    /// Returns the age of the list, or none if it was never read.
    pub fn list_age_ms(&self, now_ms: u64) -> Option<u64> {
        self.listed_ms
            .map(|listed_ms| now_ms.saturating_sub(listed_ms))
    }

    /// Returns the list.
    pub fn listed(&self) -> &[Listed] {
        &self.listed
    }

    /// Returns what an entry in a zone that has the news up to `since` does not know yet; none if the
    /// list was never read.
    pub fn news(
        &mut self,
        entry: &str,
        zone: &ZoneName,
        since: Option<Position>,
        now_ms: u64,
    ) -> Option<News> {
        self.expire(now_ms);
        let subset = self.subset(entry, zone);
        if subset.is_none() && self.entries.is_told_subset(entry) {
            // It is told of all from now on, and that answer may be lost.
            self.entries.forget(entry);
        }
        self.own_changed(&entry.into(), &[], now_ms);
        let position = self.position()?;
        let told = subset.clone().map(|instances| ToldSubset {
            position,
            instances,
        });
        let before = self.entries.tell(entry, told);
        let known = since.filter(|since| since.hub == self.id);
        let changes = known.and_then(|since| self.changes(entry, since, subset.as_ref(), before));
        let mut news = News {
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
                news.listed = listed.cloned().collect();
                let pulses = changes.loads.iter();
                let pulses = pulses.filter_map(|identity| self.pulse(entry, identity, now_ms));
                news.pulses = pulses.collect();
                (news.gone, news.dropped) = (changes.gone, changes.dropped);
            }
            None => {
                let is_told =
                    |id: &Arc<str>| subset.as_ref().is_none_or(|subset| subset.contains(id));
                let listed = self
                    .listed
                    .iter()
                    .filter(|listed| is_told(&listed.identity));
                news.listed = listed.cloned().collect();
                news.pulses = self.pulses_of(entry, &news.listed, now_ms);
                if news.is_subset {
                    news.gone = self.own_gone(entry);
                }
            }
        }
        Some(news)
    }

    /// Returns the instances that an entry is told of; none if these are all. It needs to know those
    /// where it has something running, wherever they are.
    fn subset(&self, entry: &str, zone: &ZoneName) -> Option<BTreeSet<Arc<str>>> {
        if self.rings.are_small() {
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

    /// Returns the instances where an entry has something running though they are not listed.
    fn own_gone(&self, entry: &str) -> Vec<Arc<str>> {
        let own = self.own_engines(entry);
        own.filter(|id| self.find(id).is_none()).cloned().collect()
    }

    /// Returns what has changed for an entry since a position; none if that is not known.
    fn changes(
        &mut self,
        entry: &str,
        since: Position,
        subset: Option<&BTreeSet<Arc<str>>>,
        before: Option<ToldSubset>,
    ) -> Option<Changes> {
        let changed = self.list_history.since(since.list_revision)?;
        let mut loads = self.entries.own_changes(entry, since.load_revision)?;
        loads.extend(self.load_history.since(since.load_revision).cloned());
        let (subset, told) = match (subset, before) {
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
            // Of a lost answer it is not known what the entry has.
            (Some(subset), Some(told)) if told.position == since => (subset, told.instances),
            _ => return None,
        };
        let added: BTreeSet<Arc<str>> = subset.difference(&told).cloned().collect();
        let removed = told.difference(subset).cloned();
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

    /// Returns what an entry knows that has all news; none if the list was never read.
    pub fn position(&self) -> Option<Position> {
        self.listed_ms.map(|_| Position {
            hub: self.id,
            list_revision: self.revision,
            load_revision: self.load_history.revision(),
        })
    }

    /// Returns what an entry needs to know of each instance.
    pub fn pulses(&self, entry: &str, now_ms: u64) -> Vec<Pulse> {
        self.pulses_of(entry, &self.listed, now_ms)
    }

    fn pulses_of(&self, entry: &str, listed: &[Listed], now_ms: u64) -> Vec<Pulse> {
        let listed = listed.iter();
        listed
            .filter_map(|listed| self.pulse(entry, &listed.identity, now_ms))
            .filter(|pulse| pulse.report.is_some() || pulse.running > 0)
            .collect()
    }

    /// Returns what an entry needs to know of an instance, if it is listed: its report, and what the
    /// other entries have there.
    fn pulse(&self, entry: &str, identity: &str, now_ms: u64) -> Option<Pulse> {
        let listed = self.find(identity)?;
        let report = self.reports.get(&listed.address);
        let mut usage = self.usage(identity);
        usage.subtract(self.loads.of_entry(entry, identity));
        usage.subtract(self.reservations.of_entry(entry, identity));
        Some(Pulse {
            identity: Arc::clone(&listed.identity),
            report: report.map(|(report, at_ms)| (*report, now_ms.saturating_sub(*at_ms))),
            running: usage.running,
            committed_tokens: usage.committed_tokens,
            prefill_tokens: usage.prefill_tokens,
        })
    }
}

/// What an entry does not know yet.
struct Changes {
    listed: BTreeSet<Arc<str>>,
    gone: Vec<Arc<str>>,
    dropped: Vec<Arc<str>>,
    loads: BTreeSet<Arc<str>>,
}

/// Returns the instance in a list that is sorted by identity.
fn find<'a>(listed: &'a [Listed], identity: &str) -> Option<&'a Listed> {
    let at = listed.binary_search_by(|listed| (*listed.identity).cmp(identity));
    listed.get(at.ok()?)
}
