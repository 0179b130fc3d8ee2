//! What an entry knows of requests that crash instances, and what it has to report.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use super::requests::MAX_TOLD;
use super::{Fingerprint, KnownRequests, QuarantinedRequest, RequestCrash, RequestEvidence};
use super::{RequestChange, RequestNotices};

/// Number of requests that are remembered as run to their ends. At 60 requests a second, this is a
/// minute.
const REMEMBERED_RUNS: usize = 4_096;
/// Upper bound on the crashes that are kept to be reported, also to a new hub; the oldest go first.
const MAX_CRASHES: usize = 512;

#[derive(Debug)]
struct OwnCrash {
    request: Fingerprint,
    instance: Arc<str>,
    at_ms: u64,
    is_reported: bool,
}

/// The entry's side of the quarantine of requests.
#[derive(Debug)]
pub struct RequestWatch {
    hub: u64,
    revision: u64,
    suspected: BTreeSet<Fingerprint>,
    /// What hubs have quarantined, and until when.
    quarantined: BTreeMap<Fingerprint, u64>,
    /// The evidence of this entry alone, which counts also while no hub answers.
    own: RequestEvidence,
    crashes: VecDeque<OwnCrash>,
    /// Crashes that other entries have reported to the hub, for the next one.
    copied: Vec<OwnCrash>,
    harmless: BTreeSet<Fingerprint>,
    /// Suspected requests that are among the remembered runs.
    run_before: BTreeSet<Fingerprint>,
    /// Requests that were run to their ends, each at its place by its fingerprint.
    runs: Vec<Option<Fingerprint>>,
    /// True if a report of crashes may not have reached the hub.
    resends_crashes: bool,
    /// True if the hub does not know what earlier ones have quarantined.
    is_new_hub: bool,
}

impl Default for RequestWatch {
    fn default() -> Self {
        Self {
            hub: 0,
            revision: 0,
            suspected: BTreeSet::new(),
            quarantined: BTreeMap::new(),
            own: RequestEvidence::new(1),
            crashes: VecDeque::new(),
            copied: Vec::new(),
            harmless: BTreeSet::new(),
            run_before: BTreeSet::new(),
            runs: vec![None; REMEMBERED_RUNS],
            resends_crashes: false,
            is_new_hub: false,
        }
    }
}

impl RequestWatch {
    /// Returns true if nothing is known of any request, so that fingerprints need not be computed.
    pub fn is_empty(&self) -> bool {
        self.suspected.is_empty() && self.quarantined.is_empty() && self.own.is_empty()
    }

    /// Returns true if a request must not be sent to an instance.
    pub fn is_quarantined(&self, request: Fingerprint, now_ms: u64) -> bool {
        let until_ms = self.quarantined.get(&request);
        until_ms.is_some_and(|until_ms| now_ms < *until_ms)
            || self.own.is_quarantined(request, now_ms)
    }

    /// Returns true if a crash concerns a request that no complete run has followed.
    pub fn is_suspected(&self, request: Fingerprint) -> bool {
        self.suspected.contains(&request)
            || self.quarantined.contains_key(&request)
            || self.own.concerns(request)
    }

    /// Records that an instance crashed while it ran a request. Returns the changes.
    pub fn record_crash(
        &mut self,
        request: Fingerprint,
        instance: &Arc<str>,
        now_ms: u64,
    ) -> Vec<RequestChange> {
        if self.crashes.len() >= MAX_CRASHES {
            self.crashes.pop_front();
        }
        self.crashes.push_back(OwnCrash {
            request,
            instance: Arc::clone(instance),
            at_ms: now_ms,
            is_reported: false,
        });
        let crash = RequestCrash {
            request,
            instance: Arc::clone(instance),
            age_ms: 0,
        };
        let notices = RequestNotices {
            crashes: vec![crash],
            ..RequestNotices::default()
        };
        let changes = self.own.record(&notices, now_ms);
        self.recall_run(request);
        changes
    }

    /// Records that an instance has run a request to its end, which clears it.
    pub fn record_completion(&mut self, request: Fingerprint) {
        self.runs[place_of(request)] = Some(request);
        if self.is_suspected(request) {
            self.forget(request);
            self.harmless.insert(request);
        }
    }

    /// Forgets crashes that have been reported and concern nothing that the hub suspects any more:
    /// another entry has seen a complete run since.
    fn forget_cleared(&mut self, quarantined: &[QuarantinedRequest]) {
        if self.suspected.len() >= MAX_TOLD {
            return;
        }
        let quarantined: BTreeSet<Fingerprint> =
            quarantined.iter().map(|told| told.request).collect();
        let kept = self.crashes.iter();
        let kept = kept.filter(|crash| {
            let request = &crash.request;
            !crash.is_reported || self.suspected.contains(request) || quarantined.contains(request)
        });
        let kept: BTreeSet<Fingerprint> = kept.map(|crash| crash.request).collect();
        self.crashes.retain(|crash| kept.contains(&crash.request));
        self.own.retain(|request| kept.contains(&request));
    }

    /// Notes that a suspected request was run to its end before, if that is remembered.
    fn recall_run(&mut self, request: Fingerprint) {
        if self.runs[place_of(request)] == Some(request) {
            self.run_before.insert(request);
        }
    }

    fn forget(&mut self, request: Fingerprint) {
        self.suspected.remove(&request);
        self.quarantined.remove(&request);
        self.own.forget(request);
        self.crashes.retain(|crash| crash.request != request);
        self.copied.retain(|crash| crash.request != request);
    }

    /// Takes what has to be reported. `restore` must follow if the report does not reach the hub.
    pub fn take_notices(&mut self, now_ms: u64) -> RequestNotices {
        let resends = self.resends_crashes || self.is_new_hub;
        let due = self.crashes.iter_mut();
        let due = due.filter(|crash| resends || !crash.is_reported);
        let copied = self.copied.iter_mut().filter(|_| self.is_new_hub);
        let due = copied.chain(due);
        let crashes = due.map(|crash| {
            crash.is_reported = true;
            RequestCrash {
                request: crash.request,
                instance: Arc::clone(&crash.instance),
                age_ms: now_ms.saturating_sub(crash.at_ms),
            }
        });
        RequestNotices {
            crashes: crashes.collect(),
            harmless: std::mem::take(&mut self.harmless).into_iter().collect(),
            run_before: std::mem::take(&mut self.run_before).into_iter().collect(),
            told_by: self.hub,
            revision: self.revision,
            quarantined: match self.is_new_hub {
                true => self.all_quarantined(now_ms),
                false => Vec::new(),
            },
        }
    }

    fn all_quarantined(&self, now_ms: u64) -> Vec<QuarantinedRequest> {
        let told = self.quarantined.iter();
        let told = told.filter(|(_, until_ms)| now_ms < **until_ms);
        let told = told.map(|(request, until_ms)| QuarantinedRequest {
            request: *request,
            left_ms: until_ms - now_ms,
        });
        told.chain(self.own.quarantined(now_ms)).collect()
    }

    /// Keeps notices whose report did not reach the hub.
    pub fn restore(&mut self, notices: RequestNotices) {
        self.harmless.extend(notices.harmless);
        self.run_before.extend(notices.run_before);
        self.resends_crashes |= !notices.crashes.is_empty();
    }

    /// Applies what a hub knows after the report of this entry.
    pub fn apply(&mut self, known: KnownRequests, now_ms: u64) {
        let is_new_hub = known.hub != self.hub;
        (self.hub, self.revision) = (known.hub, known.revision);
        self.resends_crashes = false;
        self.is_new_hub = is_new_hub;
        let Some(lists) = known.lists else {
            return;
        };
        let suspected: BTreeSet<Fingerprint> = lists.suspected.into_iter().collect();
        let newly = suspected.iter();
        let newly = newly.filter(|request| is_new_hub || !self.suspected.contains(request));
        for request in newly.copied().collect::<Vec<_>>() {
            self.recall_run(request);
        }
        self.suspected = suspected;
        let quarantined = lists.quarantined;
        if !is_new_hub {
            self.quarantined.clear();
            self.forget_cleared(&quarantined);
            self.copied.clear();
        }
        let copied = lists.crashes.into_iter().map(|crash| OwnCrash {
            request: crash.request,
            instance: crash.instance,
            at_ms: now_ms.saturating_sub(crash.age_ms),
            is_reported: true,
        });
        self.copied.extend(copied);
        for told in quarantined {
            let until_ms = self.quarantined.entry(told.request).or_default();
            *until_ms = (now_ms + told.left_ms).max(*until_ms);
        }
    }
}

fn place_of(request: Fingerprint) -> usize {
    // The remainder is below the number of places.
    usize::try_from(request.0 % REMEMBERED_RUNS as u64).unwrap_or(0)
}
