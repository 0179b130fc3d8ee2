//! The evidence against prompt parts, at the hub.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use super::episodes::{Marks, SAME_CRASH_MS};
use super::{CrashNotice, Fingerprint, KnownParts, PartId, PartNotices};

/// Crashes without an answer in between from which a part is quarantined. Two would quarantine sound
/// parts that happen to be queued at engines that crash.
const QUARANTINE_CRASHES: usize = 3;
/// Requests of one kind share their first part, so it is implicated with each of several deadly ones
/// behind it. It is quarantined only if this many of its crashes concern no later part of as many.
const LATER_PART_CRASHES: usize = 2;
/// Crashes count for this long.
const CRASH_TTL_MS: u64 = 60_000;
/// Upper bound on the crashes that are kept.
const MAX_CRASHES: usize = 64;
/// Upper bound on the generations that are kept of one crash; engines of the planned sites seldom
/// have more that have not begun.
const MAX_LOST: usize = 32;
/// A part is released after this long, as what crashed the engines may have been mended.
const QUARANTINE_MS: u64 = 600_000;
/// Upper bound on quarantined parts.
const MAX_QUARANTINED: usize = 256;

/// A change to log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PartChange {
    Quarantined { part: PartId, crashes: usize },
    Released(PartId),
}

/// A crash of an engine.
#[derive(Debug)]
struct Crash {
    instance: Arc<str>,
    at_ms: u64,
    /// The parts of each generation that had not begun there.
    lost: BTreeMap<Fingerprint, Vec<PartId>>,
}

impl Crash {
    fn concerns(&self, part: &PartId) -> bool {
        self.lost.values().any(|parts| parts.contains(part))
    }
}

/// Suspected and quarantined prompt parts.
#[derive(Debug)]
pub struct CrashEvidence {
    hub: u64,
    crashes: VecDeque<Crash>,
    /// Parts with which a generation has begun, and when; earlier crashes do not concern them.
    cleared_ms: BTreeMap<PartId, u64>,
    /// Quarantined parts, and until when.
    quarantined: BTreeMap<PartId, u64>,
    /// Parts that a crash concerns and that are not quarantined.
    suspected: Vec<PartId>,
}

impl CrashEvidence {
    /// Returns a hub's evidence; `hub` must differ from that of other hubs and from 0.
    pub fn new(hub: u64) -> Self {
        Self {
            hub: hub.max(1),
            crashes: VecDeque::new(),
            cleared_ms: BTreeMap::new(),
            quarantined: BTreeMap::new(),
            suspected: Vec::new(),
        }
    }

    /// Returns what entries have to know.
    pub fn known(&self, now_ms: u64) -> KnownParts {
        let is_quarantined = |part: &PartId| {
            let until_ms = self.quarantined.get(part);
            until_ms.is_some_and(|until_ms| now_ms < *until_ms)
        };
        KnownParts {
            hub: self.hub,
            suspected: self.suspected.clone(),
            quarantined: self
                .quarantined
                .keys()
                .filter(|part| is_quarantined(part))
                .cloned()
                .collect(),
        }
    }

    /// Applies the reports of an entry. Returns the changes.
    pub fn record(&mut self, notices: PartNotices, now_ms: u64) -> Vec<PartChange> {
        let mut changes = self.expire(now_ms);
        let is_unchanged = notices.crashes.is_empty() && notices.begun.is_empty();
        let is_from_other = notices.told_by != self.hub;
        for part in notices.quarantined.into_iter().filter(|_| is_from_other) {
            let until_ms = self.quarantined.entry(part);
            until_ms.or_insert(now_ms + QUARANTINE_MS);
        }
        for part in notices.begun {
            if self.quarantined.remove(&part).is_some() {
                changes.push(PartChange::Released(Arc::clone(&part)));
            }
            self.cleared_ms.insert(part, now_ms);
        }
        let has_crashed = !notices.crashes.is_empty();
        for crash in notices.crashes {
            self.add_crash(crash, now_ms);
        }
        if has_crashed {
            changes.extend(self.quarantine(now_ms));
        }
        if !(is_unchanged && changes.is_empty()) {
            let all: Vec<&Crash> = self.crashes.iter().collect();
            let implicated = self.counts(&all).into_keys();
            self.suspected = implicated
                .filter(|part| !self.quarantined.contains_key(part))
                .collect();
        }
        changes
    }

    fn add_crash(&mut self, notice: CrashNotice, now_ms: u64) {
        let CrashNotice {
            instance,
            request,
            parts,
        } = notice;
        let is_same =
            |crash: &&mut Crash| crash.instance == instance && now_ms < crash.at_ms + SAME_CRASH_MS;
        if let Some(crash) = self.crashes.iter_mut().find(is_same) {
            if crash.lost.len() < MAX_LOST {
                crash.lost.insert(request, parts);
            }
            return;
        }
        // A request that comes again says no more of its parts, which others may share.
        if self
            .crashes
            .iter()
            .any(|crash| crash.lost.contains_key(&request))
        {
            return;
        }
        if self.crashes.len() >= MAX_CRASHES {
            self.crashes.pop_front();
        }
        self.crashes.push_back(Crash {
            instance,
            at_ms: now_ms,
            lost: BTreeMap::from([(request, parts)]),
        });
    }

    /// Returns how many of some crashes, which are in order of time, concern each part that has not
    /// been cleared since.
    fn counts(&self, crashes: &[&Crash]) -> BTreeMap<PartId, usize> {
        let mut marks: BTreeMap<PartId, Marks> = BTreeMap::new();
        for crash in crashes {
            let parts: BTreeSet<&PartId> = crash.lost.values().flatten().collect();
            for part in parts {
                let cleared_ms = self.cleared_ms.get(part);
                if cleared_ms.is_none_or(|cleared_ms| *cleared_ms < crash.at_ms) {
                    marks.entry(Arc::clone(part)).or_default().add(crash.at_ms);
                }
            }
        }
        let marks = marks.into_iter();
        marks.map(|(part, marks)| (part, marks.count())).collect()
    }

    /// Quarantines the parts that explain the crashes, those with most crashes first, and releases
    /// those whose crashes others explain.
    fn quarantine(&mut self, now_ms: u64) -> Vec<PartChange> {
        let mut unexplained: Vec<&Crash> = self.crashes.iter().collect();
        let mut found: BTreeMap<PartId, usize> = BTreeMap::new();
        loop {
            let counts = self.counts(&unexplained);
            let Some(part) = most_implicated(&unexplained, &counts) else {
                break;
            };
            found.insert(Arc::clone(&part), counts[&part]);
            unexplained.retain(|crash| !crash.concerns(&part));
        }
        let all: Vec<&Crash> = self.crashes.iter().collect();
        let (implicated, rest) = (self.counts(&all), self.counts(&unexplained));
        let mut changes = Vec::new();
        // Little or no evidence does not release a part: another hub may have found it, or the
        // crashes may have expired.
        self.quarantined.retain(|part, _| {
            let is_explained = implicated.contains_key(part) && !rest.contains_key(part);
            let is_kept = found.contains_key(part) || !is_explained;
            if !is_kept {
                changes.push(PartChange::Released(Arc::clone(part)));
            }
            is_kept
        });
        for (part, crashes) in found {
            let is_new = !self.quarantined.contains_key(&part);
            if is_new && self.quarantined.len() < MAX_QUARANTINED {
                self.quarantined
                    .insert(Arc::clone(&part), now_ms + QUARANTINE_MS);
                changes.push(PartChange::Quarantined { part, crashes });
            }
        }
        changes
    }

    fn expire(&mut self, now_ms: u64) -> Vec<PartChange> {
        let is_recent = |at_ms: u64| now_ms < at_ms + CRASH_TTL_MS;
        self.crashes.retain(|crash| is_recent(crash.at_ms));
        self.cleared_ms.retain(|_, at_ms| is_recent(*at_ms));
        let mut changes = Vec::new();
        self.quarantined.retain(|part, until_ms| {
            let is_kept = now_ms < *until_ms;
            if !is_kept {
                changes.push(PartChange::Released(Arc::clone(part)));
            }
            is_kept
        });
        changes
    }
}

/// Returns the part to quarantine first, if there is enough evidence against one.
fn most_implicated(crashes: &[&Crash], counts: &BTreeMap<PartId, usize>) -> Option<PartId> {
    let count = |part: &PartId| counts.get(part).copied().unwrap_or(0);
    let requests = || crashes.iter().flat_map(|crash| crash.lost.values());
    let position = |part: &PartId| {
        let positions = requests().filter_map(|parts| parts.iter().position(|p| p == part));
        positions.max()
    };
    let highest = *counts
        .values()
        .max()
        .filter(|highest| **highest >= QUARANTINE_CRASHES)?;
    let most = counts
        .keys()
        .filter(|part| count(part) == highest)
        .max_by_key(|part| position(part))?;
    let behind = |parts: &Vec<PartId>| {
        let mut parts = parts.iter().skip_while(|part| *part != most).skip(1);
        parts
            .find(|part| count(part) >= LATER_PART_CRASHES)
            .cloned()
    };
    let of_most = crashes.iter().filter(|crash| crash.concerns(most));
    let (with_later, alone): (Vec<&Crash>, Vec<&Crash>) =
        of_most.partition(|crash| crash.lost.values().any(|parts| behind(parts).is_some()));
    if alone.len() >= LATER_PART_CRASHES {
        return Some(Arc::clone(most));
    }
    let later = with_later
        .iter()
        .flat_map(|crash| crash.lost.values().filter_map(behind));
    Some(later.max_by_key(count).unwrap_or_else(|| Arc::clone(most)))
}
