//! The point where lists, reports and loads meet; kept by the leader of the control instances.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use super::announced::Announcements;
use super::placement::{PlacementRequest, Reservations, Usage};
use super::{Listed, Load, Pulse, Report};

/// Loads of an entry that has not synced for this long no longer count. Entries sync at least
/// every 250 ms; six lost calls in a row mean that the entry is gone or cut off.
const LOAD_KEPT_MS: u64 = 1_500;
/// Reports older than this are dropped; sidecars report every 300 ms.
const REPORT_KEPT_MS: u64 = 2_000;

#[derive(Debug, Clone)]
struct Loads {
    received_ms: u64,
    by_instance: BTreeMap<Arc<str>, Load>,
}

/// What a list says that the one before did not.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ListChange {
    /// An instance is new, or in another state.
    Listed(Listed),
    Gone(Arc<str>),
}

/// Collects what is known of the fleet.
#[derive(Debug, Default)]
pub struct Hub {
    /// What the platform lists.
    platform: Vec<Listed>,
    announcements: Announcements,
    /// What entries are told: the platform's list, and the engines that it does not show yet.
    listed: Vec<Listed>,
    /// Changes with what entries are told.
    revision: u64,
    listed_ms: Option<u64>,
    reports: BTreeMap<SocketAddr, (Report, u64)>,
    loads: BTreeMap<Arc<str>, Loads>,
    reservations: Reservations,
}

impl Hub {
    /// Returns an empty hub. Revisions begin at a random number, so that those of two hubs differ.
    pub fn new(random: u64) -> Self {
        Self {
            revision: random >> 1,
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
        }
        changes
    }

    /// Takes an instance's report; returns true if entries should hear of it at once.
    pub fn report(&mut self, address: SocketAddr, report: Report, now_ms: u64) -> bool {
        let before = self.reports.insert(address, (report, now_ms));
        report.leaves() && !before.is_some_and(|(before, _)| before.leaves())
    }

    /// Takes what an entry has placed.
    pub fn load(&mut self, entry: &Arc<str>, loads: Vec<Load>, now_ms: u64) {
        let by_instance = loads
            .into_iter()
            .map(|load| (Arc::clone(&load.identity), load))
            .collect();
        let loads = Loads {
            received_ms: now_ms,
            by_instance,
        };
        self.loads.insert(Arc::clone(entry), loads);
        self.reservations.reported(entry, now_ms);
        self.loads
            .retain(|_, loads| now_ms < loads.received_ms + LOAD_KEPT_MS);
        self.reports
            .retain(|_, (_, received_ms)| now_ms < *received_ms + REPORT_KEPT_MS);
    }

    /// Reserves room for a generation at the candidate with the shortest wait. Returns the
    /// position of the candidate, or none if no one has room.
    pub fn place(&mut self, request: &PlacementRequest, now_ms: u64) -> Option<usize> {
        let fitting = self.fitting(request, now_ms);
        let (at, _) = fitting.into_iter().min_by_key(|(_, wait_ms)| *wait_ms)?;
        self.reservations
            .reserve(request, &request.candidates[at], now_ms);
        Some(at)
    }

    /// Reserves room for a generation at one candidate.
    pub fn reserve(&mut self, request: &PlacementRequest, at: usize, now_ms: u64) {
        if let Some(candidate) = request.candidates.get(at) {
            self.reservations.reserve(request, candidate, now_ms);
        }
    }

    /// Returns the positions and addresses of the candidates with room.
    pub fn with_room(&self, request: &PlacementRequest, now_ms: u64) -> Vec<(usize, SocketAddr)> {
        let fitting = self.fitting(request, now_ms).into_iter();
        let with_address = fitting.filter_map(|(at, _)| {
            let listed = self.find(&request.candidates[at].identity)?;
            Some((at, listed.address))
        });
        with_address.collect()
    }

    fn fitting(&self, request: &PlacementRequest, now_ms: u64) -> Vec<(usize, u64)> {
        let usage = |identity: &str| {
            let address = self.find(identity)?.address;
            let takes_work = self.reports.get(&address).is_none_or(|(report, _)| {
                !report.leaves() && report.holds(request.demand.prompt_tokens)
            });
            takes_work.then(|| reported_usage(self.loads.values(), identity))
        };
        self.reservations.with_room(request, usage, now_ms)
    }

    fn find(&self, identity: &str) -> Option<&Listed> {
        let at = self
            .listed
            .binary_search_by(|listed| (*listed.identity).cmp(identity));
        self.listed.get(at.ok()?)
    }

    /// Returns the number of entries that synced lately.
    pub fn entries(&self) -> usize {
        self.loads.len()
    }

    /// Returns the revision of the list, or none if it was never read.
    pub fn revision(&self) -> Option<u64> {
        self.listed_ms.map(|_| self.revision)
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

    /// Returns what an entry needs to know of each instance.
    pub fn pulses(&self, entry: &Arc<str>, now_ms: u64) -> Vec<Pulse> {
        let others = || {
            let others = self.loads.iter().filter(|(name, _)| *name != entry);
            others.map(|(_, loads)| loads)
        };
        self.listed
            .iter()
            .filter_map(|listed| {
                let report = self.reports.get(&listed.address);
                let mut usage = reported_usage(others(), &listed.identity);
                let reservations = &self.reservations;
                usage.add(reservations.reserved(&listed.identity, Some(entry), now_ms));
                let pulse = Pulse {
                    identity: Arc::clone(&listed.identity),
                    report: report.map(|(report, at)| (*report, now_ms.saturating_sub(*at))),
                    running: usage.running,
                    committed_tokens: usage.committed_tokens,
                    prefill_tokens: usage.prefill_tokens,
                };
                let quiet = pulse.report.is_none() && pulse.running == 0;
                (!quiet).then_some(pulse)
            })
            .collect()
    }
}

/// Returns what entries have reported of an instance.
fn reported_usage<'a>(loads: impl Iterator<Item = &'a Loads>, identity: &str) -> Usage {
    let mut total = Usage::default();
    for load in loads.filter_map(|loads| loads.by_instance.get(identity)) {
        total.add(Usage {
            running: load.running,
            committed_tokens: load.committed_tokens,
            prefill_tokens: load.prefill_tokens,
        });
    }
    total
}
