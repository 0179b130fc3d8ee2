//! The evidence against requests that crash the instances that run them.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::Arc;

use super::episodes::{Marks, SAME_CRASH_MS};
use super::{
    Fingerprint, KnownLists, KnownRequests, QuarantinedRequest, RequestCrash, RequestNotices,
};

/// Crashes without a complete run in between from which a request is quarantined. Two would
/// quarantine sound requests that happen to run at instances that crash.
const QUARANTINE_CRASHES: usize = 3;
/// The same for a request that some instance has run to its end before: it is more likely one that
/// comes often and has been unlucky.
const QUARANTINE_CRASHES_IF_RUN: usize = 5;
/// Crashes from which entries keep a copy of what is known of a request, for the next hub.
const COPIED_CRASHES: usize = 2;
/// Upper bound on the suspected requests that entries are told, so that they report complete runs:
/// those with most crashes, and of these the latest. Ten busy engines run about as many.
pub(super) const MAX_TOLD: usize = 256;
/// Crashes count for this long, and a released request is watched for this long.
const CRASH_TTL_MS: u64 = 600_000;
/// First duration of a quarantine, after which the instances may have been mended. It doubles each
/// time the request crashes one again.
const QUARANTINE_MS: u64 = 600_000;
/// The same for a request that some instance has run to its end before. A sound one clears itself as
/// soon as it is run again.
const QUARANTINE_IF_RUN_MS: u64 = 20_000;
const MAX_DOUBLINGS: u32 = 6;
/// Upper bound on the requests with crashes that are kept; those without a recent one go first. The
/// largest site runs 3,000 requests at once.
const MAX_SUSPECTS: usize = 4_096;
/// Upper bound on the crashes that are kept of one request.
const MAX_CRASHES: usize = 8;
/// Upper bound on the crashes of which entries keep a copy.
const MAX_COPIED: usize = 256;
/// Upper bound on quarantined requests and those that were.
const MAX_QUARANTINED: usize = 512;
/// Interval at which what is long gone is forgotten.
const EXPIRY_INTERVAL_MS: u64 = 1_000;

/// A change to log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestChange {
    Quarantined {
        request: Fingerprint,
        crashes: usize,
    },
    Released(Fingerprint),
}

#[derive(Debug)]
struct Crash {
    instance: Arc<str>,
    at_ms: u64,
}

impl Crash {
    fn is_same(&self, other: &Self) -> bool {
        self.instance == other.instance && self.at_ms.abs_diff(other.at_ms) < SAME_CRASH_MS
    }
}

/// What is known of a request with crashes that no complete run has followed.
#[derive(Debug, Default)]
struct Suspect {
    /// In the order of their times.
    crashes: Vec<Crash>,
    has_run_before: bool,
}

impl Suspect {
    /// Counts the crashes. A request that comes often may run at several instances that fail at once,
    /// which count as one; any other one that meets several crashes in quick succession brings them.
    fn count(&self) -> usize {
        if !self.has_run_before {
            return self.crashes.len();
        }
        let mut marks = Marks::default();
        for crash in &self.crashes {
            marks.add(crash.at_ms);
        }
        marks.count()
    }

    fn last_ms(&self) -> u64 {
        self.crashes.last().map_or(0, |crash| crash.at_ms)
    }

    fn is_found(&self) -> bool {
        let limit = match self.has_run_before {
            true => QUARANTINE_CRASHES_IF_RUN,
            false => QUARANTINE_CRASHES,
        };
        self.count() >= limit
    }
}

#[derive(Debug, Clone, Copy)]
struct Quarantine {
    until_ms: u64,
    doublings: u32,
    is_released: bool,
}

/// Suspected and quarantined requests.
#[derive(Debug)]
pub struct RequestEvidence {
    hub: u64,
    /// Incremented when what entries have to know changes.
    revision: u64,
    suspects: BTreeMap<Fingerprint, Suspect>,
    /// When requests with crashes had a complete run; earlier crashes do not concern them.
    cleared_ms: BTreeMap<Fingerprint, u64>,
    /// Quarantined requests, and those that were and are watched.
    quarantined: BTreeMap<Fingerprint, Quarantine>,
    expires_at_ms: u64,
}

impl RequestEvidence {
    /// Returns a hub's evidence; `hub` must differ from that of other hubs and from 0.
    pub fn new(hub: u64) -> Self {
        Self {
            hub: hub.max(1),
            revision: 1,
            suspects: BTreeMap::new(),
            cleared_ms: BTreeMap::new(),
            quarantined: BTreeMap::new(),
            expires_at_ms: 0,
        }
    }

    /// Returns true if nothing is known of any request.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty() && self.quarantined.is_empty()
    }

    /// Returns the number of requests that crashes concern.
    pub fn suspects(&self) -> usize {
        self.suspects.len()
    }

    /// Returns true if a crash concerns a request, or it is or was quarantined.
    pub fn concerns(&self, request: Fingerprint) -> bool {
        self.suspects.contains_key(&request) || self.quarantined.contains_key(&request)
    }

    /// Returns true if a request must not be sent to an instance.
    pub fn is_quarantined(&self, request: Fingerprint, now_ms: u64) -> bool {
        let quarantine = self.quarantined.get(&request);
        quarantine.is_some_and(|quarantine| now_ms < quarantine.until_ms)
    }

    /// Returns what an entry has to know that has been told `revision` by `hub`.
    pub fn known(&self, hub: u64, revision: u64, now_ms: u64) -> KnownRequests {
        let is_told = hub == self.hub && revision == self.revision;
        KnownRequests {
            hub: self.hub,
            revision: self.revision,
            lists: (!is_told).then(|| KnownLists {
                suspected: self.suspected(),
                crashes: self.copied_crashes(now_ms),
                quarantined: self.quarantined(now_ms),
            }),
        }
    }

    fn suspected(&self) -> Vec<Fingerprint> {
        let suspects = self.suspects.iter();
        let mut suspects: Vec<_> = suspects
            .map(|(request, suspect)| (Reverse((suspect.count(), suspect.last_ms())), *request))
            .collect();
        suspects.sort_unstable();
        suspects.truncate(MAX_TOLD);
        suspects.into_iter().map(|(_, request)| request).collect()
    }

    fn copied_crashes(&self, now_ms: u64) -> Vec<RequestCrash> {
        let suspects = self.suspects.iter();
        let copied = suspects.filter(|(_, suspect)| suspect.count() >= COPIED_CRASHES);
        let crashes = copied.flat_map(|(request, suspect)| {
            suspect.crashes.iter().map(|crash| RequestCrash {
                request: *request,
                instance: Arc::clone(&crash.instance),
                age_ms: now_ms.saturating_sub(crash.at_ms),
            })
        });
        crashes.take(MAX_COPIED).collect()
    }

    /// Returns the requests that are quarantined.
    pub fn quarantined(&self, now_ms: u64) -> Vec<QuarantinedRequest> {
        let current = self.quarantined.iter();
        let current = current.filter(|(_, quarantine)| now_ms < quarantine.until_ms);
        current
            .map(|(request, quarantine)| QuarantinedRequest {
                request: *request,
                left_ms: quarantine.until_ms - now_ms,
            })
            .collect()
    }

    /// Applies the reports of an entry. Returns the changes.
    pub fn record(&mut self, notices: &RequestNotices, now_ms: u64) -> Vec<RequestChange> {
        let mut changes = self.expire(now_ms);
        if notices.is_empty() {
            return changes;
        }
        let suspected_before = self.suspected();
        for told in &notices.quarantined {
            // No change to log: the hub that told it has done so.
            self.quarantine(told.request, now_ms + told.left_ms, 0);
            self.revision += 1;
        }
        for request in &notices.harmless {
            if self.is_quarantined(*request, now_ms) {
                changes.push(RequestChange::Released(*request));
            }
            self.forget(*request);
            self.cleared_ms.insert(*request, now_ms);
        }
        for request in &notices.run_before {
            if let Some(suspect) = self.suspects.get_mut(request) {
                suspect.has_run_before = true;
            }
        }
        for crash in &notices.crashes {
            changes.extend(self.add_crash(crash, now_ms));
        }
        if !notices.crashes.is_empty() {
            changes.extend(self.release_explained(now_ms));
        }
        if !changes.is_empty() || self.suspected() != suspected_before {
            self.revision += 1;
        }
        changes
    }

    /// Removes everything that is known of a request.
    pub fn forget(&mut self, request: Fingerprint) {
        self.suspects.remove(&request);
        self.quarantined.remove(&request);
    }

    /// Removes everything that is known of requests for which `keeps` returns false.
    pub fn retain(&mut self, keeps: impl Fn(Fingerprint) -> bool) {
        self.suspects.retain(|request, _| keeps(*request));
        self.quarantined.retain(|request, _| keeps(*request));
    }

    fn add_crash(&mut self, notice: &RequestCrash, now_ms: u64) -> Option<RequestChange> {
        let at_ms = now_ms.saturating_sub(notice.age_ms);
        let cleared_ms = self.cleared_ms.get(&notice.request);
        if cleared_ms.is_some_and(|cleared_ms| at_ms <= *cleared_ms) {
            return None;
        }
        let suspect = self.suspects.entry(notice.request).or_default();
        let crash = Crash {
            instance: Arc::clone(&notice.instance),
            at_ms,
        };
        if suspect.crashes.iter().any(|known| known.is_same(&crash)) {
            return None;
        }
        suspect.crashes.push(crash);
        suspect.crashes.sort_by_key(|crash| crash.at_ms);
        if suspect.crashes.len() > MAX_CRASHES {
            suspect.crashes.remove(0);
        }
        let (crashes, is_found) = (suspect.count(), suspect.is_found());
        let has_run_before = suspect.has_run_before;
        let request = notice.request;
        self.drop_oldest_suspect();
        let past = self.quarantined.get(&request).copied();
        let (until_ms, doublings) = match past {
            Some(past) if at_ms < past.until_ms => return None,
            // One crash is enough for a request that was quarantined before.
            Some(past) => {
                let doublings = (past.doublings + 1).min(MAX_DOUBLINGS);
                (now_ms + (QUARANTINE_MS << doublings), doublings)
            }
            None if is_found && has_run_before => (now_ms + QUARANTINE_IF_RUN_MS, 0),
            None if is_found => (now_ms + QUARANTINE_MS, 0),
            None => return None,
        };
        self.quarantine(request, until_ms, doublings);
        Some(RequestChange::Quarantined { request, crashes })
    }

    /// Releases quarantined requests that only ran beside others that are quarantined, and that have
    /// crashed instances without them. They are watched from then on.
    fn release_explained(&mut self, now_ms: u64) -> Vec<RequestChange> {
        let current: Vec<Fingerprint> = self
            .quarantined(now_ms)
            .iter()
            .map(|told| told.request)
            .collect();
        let crashes = |request: &Fingerprint| {
            let suspect = self.suspects.get(request);
            suspect.map_or(&[][..], |suspect| &suspect.crashes)
        };
        let shares =
            |crash: &Crash, of: &Fingerprint| crashes(of).iter().any(|other| other.is_same(crash));
        let explains = |other: &Fingerprint, request: &Fingerprint| {
            other != request && crashes(other).iter().any(|crash| !shares(crash, request))
        };
        let explained: Vec<Fingerprint> = current
            .iter()
            .filter(|request| {
                let others = current.iter().filter(|other| explains(other, request));
                let others: Vec<_> = others.collect();
                let own = crashes(request);
                !own.is_empty()
                    && own
                        .iter()
                        .all(|crash| others.iter().any(|other| shares(crash, other)))
            })
            .copied()
            .collect();
        for request in &explained {
            self.suspects.remove(request);
            if let Some(quarantine) = self.quarantined.get_mut(request) {
                quarantine.until_ms = now_ms;
                quarantine.is_released = true;
            }
        }
        explained.into_iter().map(RequestChange::Released).collect()
    }

    fn quarantine(&mut self, request: Fingerprint, until_ms: u64, doublings: u32) {
        let is_new = !self.quarantined.contains_key(&request);
        if is_new && self.quarantined.len() >= MAX_QUARANTINED {
            let first = self.quarantined.iter();
            let first = first.min_by_key(|(_, quarantine)| quarantine.until_ms);
            if let Some(first) = first.map(|(request, _)| *request) {
                self.quarantined.remove(&first);
            }
        }
        let quarantine = self.quarantined.entry(request).or_insert(Quarantine {
            until_ms,
            doublings,
            is_released: false,
        });
        quarantine.until_ms = quarantine.until_ms.max(until_ms);
        quarantine.doublings = quarantine.doublings.max(doublings);
        quarantine.is_released = false;
    }

    fn drop_oldest_suspect(&mut self) {
        if self.suspects.len() <= MAX_SUSPECTS {
            return;
        }
        let oldest = self.suspects.iter();
        let oldest = oldest.min_by_key(|(_, suspect)| (suspect.count(), suspect.last_ms()));
        if let Some(oldest) = oldest.map(|(request, _)| *request) {
            self.suspects.remove(&oldest);
        }
    }

    /// Forgets what is long gone. Returns the requests that were released.
    fn expire(&mut self, now_ms: u64) -> Vec<RequestChange> {
        if now_ms < self.expires_at_ms {
            return Vec::new();
        }
        self.expires_at_ms = now_ms + EXPIRY_INTERVAL_MS;
        self.suspects.retain(|_, suspect| {
            let is_recent = |crash: &Crash| now_ms < crash.at_ms + CRASH_TTL_MS;
            suspect.crashes.retain(is_recent);
            !suspect.crashes.is_empty()
        });
        self.cleared_ms
            .retain(|_, cleared_ms| now_ms < *cleared_ms + CRASH_TTL_MS);
        self.quarantined
            .retain(|_, quarantine| now_ms < quarantine.until_ms + CRASH_TTL_MS);
        let ended = self.quarantined.iter_mut();
        let ended = ended
            .filter(|(_, quarantine)| !quarantine.is_released && now_ms >= quarantine.until_ms);
        ended
            .map(|(request, quarantine)| {
                quarantine.is_released = true;
                RequestChange::Released(*request)
            })
            .collect()
    }
}
