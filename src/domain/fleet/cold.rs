//! Instances that are cold: for some time after their start, or after their zone was evacuated, they
//! bear only few requests per second from all machines together and crash well above that.
//!
//! The hub and the entries keep a deadline for each instance. At the hub a token bucket for each cold
//! instance bounds the requests of all entries; an entry without the hub uses its share.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::Listed;
use super::limiters::Bucket;
use super::local_share::{EntryShare, LocalUse};
use super::pause::is_over_ramp;
use crate::domain::document::{Document, Service};
use crate::model::ZoneName;

/// A bucket of a cold instance holds the requests of this time at most, or one request. The users
/// count the requests in a single second, so the burst is shorter than that of a named limit.
const BURST_MS: u64 = 100;
/// Percentage of a cold limit that all entries together use without the hub, in each period of a
/// second. Two periods may overlap the same second, in which the hub may also grant the whole limit
/// and a burst: all of that stays within one and a half times the limit.
const LOCAL_PERCENT: u64 = 20;
/// Upper bound on a remaining cold time where the document does not state the cold start time.
const MAX_REMAINING_MS: u64 = 300_000;
/// A deadline that moves by less than this is not sent to entries again. List reads and network
/// delays differ by about as much.
const MIN_CHANGE_MS: u64 = 500;

/// What the document states about cold instances of a service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ColdRule {
    /// How long an instance is cold after its start.
    pub start_ms: u64,
    /// Requests per second that a cold instance bears, in thousandths; `None` means no limit.
    pub limit_milli_per_s: Option<u64>,
}

/// The rules of all services.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ColdRules(BTreeMap<Arc<str>, ColdRule>);

impl ColdRules {
    /// Returns the rule of a service.
    pub fn of(&self, service: &str) -> ColdRule {
        self.0.get(service).copied().unwrap_or_default()
    }

    /// Returns the end of a cold time of which `remaining_ms` remain. The time is bounded, because a
    /// wrong value would limit the instance for as long.
    pub(super) fn until_ms(&self, service: &str, remaining_ms: u64, now_ms: u64) -> u64 {
        let bound_ms = match self.of(service).start_ms {
            0 => MAX_REMAINING_MS,
            start_ms => start_ms,
        };
        now_ms + remaining_ms.min(bound_ms)
    }
}

impl FromIterator<(Arc<str>, ColdRule)> for ColdRules {
    fn from_iter<T: IntoIterator<Item = (Arc<str>, ColdRule)>>(rules: T) -> Self {
        Self(rules.into_iter().collect())
    }
}

impl From<&Document> for ColdRules {
    fn from(document: &Document) -> Self {
        let services = document.services.iter();
        let rule = |service: &Service| {
            let rule = ColdRule {
                start_ms: service.cold_start_ms,
                limit_milli_per_s: service.cold_limit_milli_per_s,
            };
            (Arc::clone(&service.name), rule)
        };
        services.map(rule).collect()
    }
}

/// The limit on the requests of all entries to one cold instance, at the hub.
#[derive(Debug, Clone, Copy)]
pub(super) struct ColdLimit {
    until_ms: u64,
    limit_milli_per_s: u64,
    bucket: Bucket,
}

impl ColdLimit {
    pub(super) fn new(until_ms: u64, limit_milli_per_s: u64, now_ms: u64) -> Self {
        Self {
            until_ms,
            limit_milli_per_s,
            bucket: Bucket::empty(BURST_MS, now_ms),
        }
    }

    /// Replaces the end and the rate of the limit. The bucket continues while the limit is in force.
    pub(super) fn update(&mut self, until_ms: u64, limit_milli_per_s: u64, now_ms: u64) {
        match self.milli_per_s(now_ms) {
            Some(before_milli_per_s) => self.bucket.fill(before_milli_per_s, now_ms),
            None => self.bucket = Bucket::empty(BURST_MS, now_ms),
        }
        (self.until_ms, self.limit_milli_per_s) = (until_ms, limit_milli_per_s);
    }

    /// Returns the limit while it is in force.
    pub(super) fn milli_per_s(&self, now_ms: u64) -> Option<u64> {
        (now_ms < self.until_ms).then_some(self.limit_milli_per_s)
    }

    pub(super) fn take(&mut self, now_ms: u64) {
        if let Some(limit_milli_per_s) = self.milli_per_s(now_ms) {
            self.bucket.take(limit_milli_per_s, now_ms);
        }
    }

    /// Returns the time until a request is possible that may take `credit_micro` in advance. The end
    /// of the cold time also makes one possible.
    pub(super) fn ready_in_ms(&self, credit_micro: i64, now_ms: u64) -> u64 {
        self.milli_per_s(now_ms).map_or(0, |limit_milli_per_s| {
            let ready_in_ms = self
                .bucket
                .ready_in_ms(credit_micro, limit_milli_per_s, now_ms);
            ready_in_ms.min(self.until_ms - now_ms)
        })
    }
}

/// The cold instances that the hub knows.
#[derive(Debug, Default)]
pub(super) struct ColdInstances {
    pub(super) rules: ColdRules,
    /// The end of the cold time of each instance.
    until_ms: BTreeMap<Arc<str>, u64>,
    /// When the evacuation of a zone was withdrawn.
    restored_ms: BTreeMap<ZoneName, u64>,
    /// Instances whose end has changed since the last call of [`ColdInstances::take_changed`].
    changed: BTreeSet<Arc<str>>,
}

impl ColdInstances {
    /// Records that an instance stays cold until `until_ms`. An earlier end is ignored: the list
    /// lags, and an instance that it shows as warm may have started since.
    pub(super) fn extend(&mut self, identity: &Arc<str>, until_ms: u64, now_ms: u64) {
        let known_ms = self.until_ms.get(identity).copied().unwrap_or_default();
        if until_ms <= known_ms.max(now_ms) {
            return;
        }
        if known_ms <= now_ms || until_ms >= known_ms + MIN_CHANGE_MS {
            self.changed.insert(Arc::clone(identity));
        }
        self.until_ms.insert(Arc::clone(identity), until_ms);
    }

    /// Moves the remaining cold times of a list into this state.
    pub(super) fn take_from_list(&mut self, listed: &mut [Listed], now_ms: u64) {
        for listed in listed {
            let remaining_ms = std::mem::take(&mut listed.cold_remaining_ms);
            let until_ms = self.rules.until_ms(&listed.service, remaining_ms, now_ms);
            match self.rules.of(&listed.service).limit_milli_per_s {
                Some(_) => self.extend(&listed.identity, until_ms, now_ms),
                None => self.replace(&listed.identity, until_ms, now_ms),
            }
        }
    }

    /// Sets the end of the cold time of an instance that has no limit while it is cold: there, the
    /// list has the last word.
    fn replace(&mut self, identity: &Arc<str>, until_ms: u64, now_ms: u64) {
        let known_ms = self.until_ms.get(identity).copied().unwrap_or_default();
        let (was_cold, is_cold) = (known_ms > now_ms, until_ms > now_ms);
        if was_cold != is_cold || is_cold && until_ms.abs_diff(known_ms) >= MIN_CHANGE_MS {
            self.changed.insert(Arc::clone(identity));
        }
        match is_cold {
            true => self.until_ms.insert(Arc::clone(identity), until_ms),
            false => self.until_ms.remove(identity),
        };
    }

    /// Records that the evacuation of a zone was withdrawn.
    pub(super) fn restore_zone(&mut self, zone: &ZoneName, now_ms: u64) {
        self.restored_ms.insert(zone.clone(), now_ms);
    }

    /// Applies the withdrawn evacuations to the instances of a list. They concern only services whose
    /// cold instances have a limit.
    pub(super) fn apply_restored_zones(&mut self, listed: &[Listed], now_ms: u64) {
        if self.restored_ms.is_empty() {
            return;
        }
        for listed in listed {
            let rule = self.rules.of(&listed.service);
            if let Some(restored_ms) = self.restored_ms.get(&listed.zone)
                && rule.limit_milli_per_s.is_some()
            {
                let until_ms = restored_ms + rule.start_ms;
                self.extend(&listed.identity, until_ms, now_ms);
            }
        }
        self.restored_ms
            .retain(|_, restored_ms| now_ms < *restored_ms + MAX_REMAINING_MS);
    }

    pub(super) fn has_changed(&self) -> bool {
        !self.changed.is_empty()
    }

    /// Discards cold times that have ended.
    pub(super) fn expire(&mut self, now_ms: u64) {
        self.until_ms.retain(|_, until_ms| now_ms < *until_ms);
    }

    /// Returns the instances whose cold time has begun or been extended since the last call.
    pub(super) fn take_changed(&mut self) -> BTreeSet<Arc<str>> {
        std::mem::take(&mut self.changed)
    }

    /// Returns the end of the cold time of an instance; `None` if it is not cold.
    pub(super) fn until_ms(&self, identity: &str, now_ms: u64) -> Option<u64> {
        let until_ms = self.until_ms.get(identity).copied();
        until_ms.filter(|until_ms| now_ms < *until_ms)
    }

    /// Returns an instance with its remaining cold time.
    pub(super) fn with_remaining(&self, listed: &Listed, now_ms: u64) -> Listed {
        let until_ms = self.until_ms(&listed.identity, now_ms);
        Listed {
            cold_remaining_ms: until_ms.map_or(0, |until_ms| until_ms - now_ms),
            ..listed.clone()
        }
    }

    /// Returns the number of cold instances.
    pub(super) fn count(&self, now_ms: u64) -> usize {
        let ends_ms = self.until_ms.values();
        ends_ms.filter(|until_ms| now_ms < **until_ms).count()
    }
}

/// What an entry knows of the cold time of one instance.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ColdState {
    /// 0 if the instance was never cold.
    until_ms: u64,
    limit_milli_per_s: Option<u64>,
    /// Requests that were sent within the limit without the hub.
    local_use: LocalUse,
}

impl ColdState {
    /// Records what the hub or the platform's list states about the end of the cold time. A later
    /// end that is already known stays while the instance is limited: the list lags.
    pub(super) fn hear(&mut self, until_ms: u64) {
        self.until_ms = match self.limit_milli_per_s {
            Some(_) => self.until_ms.max(until_ms),
            None => until_ms,
        };
    }

    pub(super) fn set_limit(&mut self, limit_milli_per_s: Option<u64>) {
        self.limit_milli_per_s = limit_milli_per_s;
    }

    pub(super) fn is_cold(&self, now_ms: u64) -> bool {
        now_ms < self.until_ms
    }

    /// Returns true while the requests of all entries to the instance are limited.
    pub(super) fn is_limited(&self, now_ms: u64) -> bool {
        self.limit_milli_per_s.is_some() && self.is_cold(now_ms)
    }

    /// Returns true if this entry may send a request without the hub.
    pub(super) fn allows_without_hub(
        &self,
        identity: &str,
        share: EntryShare,
        now_ms: u64,
    ) -> bool {
        let limit_milli_per_s = self.limit_milli_per_s.filter(|_| self.is_cold(now_ms));
        limit_milli_per_s.is_none_or(|limit_milli_per_s| {
            self.local_use
                .allows(identity, limit_milli_per_s, LOCAL_PERCENT, share, now_ms)
        })
    }

    /// Counts a request that was sent without the hub.
    pub(super) fn count_local(&mut self, now_ms: u64) {
        if self.is_limited(now_ms) {
            self.local_use.count(now_ms);
        }
    }

    /// Returns true if an entry with `running` open requests at the instance must not send another
    /// one now, because its load rises in steps after the cold time.
    pub(super) fn at_concurrency_limit(&self, running: u32, now_ms: u64) -> bool {
        let has_been_cold = self.until_ms > 0 && self.limit_milli_per_s.is_some();
        let elapsed_ms = now_ms.checked_sub(self.until_ms);
        elapsed_ms.is_some_and(|elapsed_ms| has_been_cold && is_over_ramp(elapsed_ms, running))
    }
}
