//! The point where lists, reports and loads meet; kept by the leader of the control instances.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use super::announced::Announcements;
use super::news::{ListHistory, LoadHistory, News, OwnHistory, Position};
use super::placement::{PlacementRequest, Reservations};
use super::usage::{Loads, Usage};
use super::{Listed, Load, Pulse, Report};

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
    /// What entries are told: the platform's list, and the engines that it does not show yet.
    listed: Vec<Listed>,
    by_address: BTreeMap<SocketAddr, Arc<str>>,
    /// Changes with what entries are told.
    revision: u64,
    list_history: ListHistory,
    listed_ms: Option<u64>,
    reports: BTreeMap<SocketAddr, (Report, u64)>,
    loads: Loads,
    reservations: Reservations,
    load_history: LoadHistory,
    own_history: OwnHistory,
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

    /// Takes an engine that its sidecar has identified; returns what that changes.
    pub fn announce(&mut self, engine: Listed, now_ms: u64) -> Vec<ListChange> {
        match self.announcements.announce(engine, &self.platform, now_ms) {
            true => self.merge(now_ms),
            false => Vec::new(),
        }
    }

    fn merge(&mut self, now_ms: u64) -> Vec<ListChange> {
        let mut listed = self.announcements.merge(&self.platform, now_ms);
        listed.sort_by(|a, b| a.identity.cmp(&b.identity));
        let before = std::mem::replace(&mut self.listed, listed);
        let was = |new: &Listed| before.iter().find(|old| old.identity == new.identity);
        let mut changes: Vec<ListChange> = self
            .listed
            .iter()
            .filter(|new| was(new) != Some(*new))
            .map(|new| ListChange::Listed(new.clone()))
            .collect();
        let gone = before
            .into_iter()
            .filter(|old| self.find(&old.identity).is_none());
        changes.extend(gone.map(|old| ListChange::Gone(old.identity)));
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
        let revision = match engines.is_empty() && self.own_history.knows(entry) {
            true => self.load_history.revision(),
            false => self.load_history.next_revision(),
        };
        let expires_ms = now_ms + LOAD_KEPT_MS;
        self.own_history.add(entry, engines, revision, expires_ms);
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
            self.own_history.expire(now_ms);
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
        let fitting = self.fitting(request);
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
        let fitting = self.fitting(request).into_iter();
        let with_address = fitting.filter_map(|(at, _)| {
            let listed = self.find(&request.candidates[at].identity)?;
            Some((at, listed.address))
        });
        with_address.collect()
    }

    fn fitting(&self, request: &PlacementRequest) -> Vec<(usize, u64)> {
        let usage = |identity: &str| {
            let address = self.find(identity)?.address;
            let takes_work = self.reports.get(&address).is_none_or(|(report, _)| {
                !report.leaves() && report.holds(request.demand.prompt_tokens)
            });
            takes_work.then(|| self.usage(identity))
        };
        Reservations::with_room(request, usage)
    }

    fn find(&self, identity: &str) -> Option<&Listed> {
        let at = self
            .listed
            .binary_search_by(|listed| (*listed.identity).cmp(identity));
        self.listed.get(at.ok()?)
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

    /// Returns what an entry that has the news up to `since` does not know yet; none if the list was
    /// never read.
    pub fn news(&mut self, entry: &str, since: Option<Position>, now_ms: u64) -> Option<News> {
        self.expire(now_ms);
        self.own_changed(&entry.into(), &[], now_ms);
        let position = self.position()?;
        let known = since.filter(|since| since.hub == self.id);
        let changed = known.and_then(|since| {
            let changed = self.list_history.since(since.list_revision)?;
            let mut loads = self.own_history.since(entry, since.load_revision)?;
            loads.extend(self.load_history.since(since.load_revision).cloned());
            Some((changed, loads))
        });
        Some(match changed {
            Some((changed, loads)) => {
                let listed = changed.iter().filter_map(|identity| self.find(identity));
                let gone = changed.iter().filter(|id| self.find(id).is_none());
                let pulses = loads.iter();
                let pulses = pulses.filter_map(|identity| self.pulse(entry, identity, now_ms));
                News {
                    position,
                    whole: false,
                    listed: listed.cloned().collect(),
                    gone: gone.cloned().collect(),
                    pulses: pulses.collect(),
                }
            }
            None => News {
                position,
                whole: true,
                listed: self.listed.clone(),
                gone: Vec::new(),
                pulses: self.pulses(entry, now_ms),
            },
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
        let listed = self.listed.iter();
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
