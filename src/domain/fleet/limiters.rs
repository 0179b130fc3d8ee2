//! Limits the requests of all entries to instances that name a limit, at the hub.
//!
//! Limits are often below one request per second and entry, so a fixed share of each entry would
//! leave most of a limit unused. Entries ask the hub before each request to such an instance
//! instead. The load is low: a limit bounds the requests that are granted, and an entry that was
//! refused considers other instances until the next one is possible. Cold instances are limited in
//! the same way.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::cold::ColdLimit;
use super::request_limit::{KnownLimit, LimitChange, LimitNotice, LimitStatement};

/// One request, in the unit of a bucket: a limit in thousandths of a request per second adds this
/// much in as many milliseconds.
const REQUEST_MICRO: i64 = 1_000_000;
/// A bucket holds the requests of this time at most, or one request. Together with the requests
/// that a previous hub has granted, that stays below half of the users' margin.
const BURST_MS: u64 = 500;
/// Upper bound on the time for which a bucket fills; the lowest limit fills one in a tenth of it.
const MAX_FILL_MS: u64 = 100_000;
/// How much a resumed generation may take in advance. It has nowhere else to go, and further
/// requests wait until the bucket has recovered.
const RESUMPTION_CREDIT_MICRO: i64 = 2 * REQUEST_MICRO;
/// Callers are told to return after at most this long, unless the instance takes its next request
/// later. Not all of those who were told to return do.
const MAX_RETURN_MS: u64 = 4_000;
/// Statements of instances that are not listed are kept for this long after they were heard. A list
/// may omit an instance temporarily.
const UNLISTED_TTL_MS: u64 = 60_000;

/// Token bucket, which starts empty: the instance may just have received the requests of a full one
/// from a previous hub.
#[derive(Debug, Clone, Copy)]
pub(super) struct Bucket {
    level_micro: i64,
    filled_ms: u64,
    /// The bucket holds the requests of this time at most, or one request.
    burst_ms: u64,
}

impl Bucket {
    pub(super) fn empty(burst_ms: u64, now_ms: u64) -> Self {
        Self {
            level_micro: 0,
            filled_ms: now_ms,
            burst_ms,
        }
    }

    fn level_micro(&self, limit_milli_per_s: u64, now_ms: u64) -> i64 {
        let elapsed_ms = now_ms.saturating_sub(self.filled_ms).min(MAX_FILL_MS);
        let added_micro = (limit_milli_per_s * elapsed_ms).cast_signed();
        let capacity_micro = (limit_milli_per_s * self.burst_ms).cast_signed();
        (self.level_micro + added_micro).min(capacity_micro.max(REQUEST_MICRO))
    }

    pub(super) fn take(&mut self, limit_milli_per_s: u64, now_ms: u64) {
        self.fill(limit_milli_per_s, now_ms);
        self.level_micro -= REQUEST_MICRO;
    }

    pub(super) fn fill(&mut self, limit_milli_per_s: u64, now_ms: u64) {
        self.level_micro = self.level_micro(limit_milli_per_s, now_ms);
        self.filled_ms = now_ms;
    }

    /// Returns the time until a request is possible that may take `credit_micro` in advance.
    pub(super) fn ready_in_ms(
        &self,
        credit_micro: i64,
        limit_milli_per_s: u64,
        now_ms: u64,
    ) -> u64 {
        let level_micro = self.level_micro(limit_milli_per_s, now_ms);
        (REQUEST_MICRO - credit_micro - level_micro)
            .max(0)
            .unsigned_abs()
            .div_ceil(limit_milli_per_s)
    }
}

#[derive(Debug)]
struct Limiter {
    /// When the instance started, in Unix time; `None` if it does not report that.
    born_ms: Option<u64>,
    known: KnownLimit,
    bucket: Bucket,
    /// The limit while the instance is cold; `None` if it was never cold.
    cold: Option<ColdLimit>,
    /// The latest time at which a refused caller was told to return.
    promised_ms: u64,
    expires_ms: u64,
}

impl Limiter {
    fn new(born_ms: Option<u64>, now_ms: u64) -> Self {
        Self {
            born_ms,
            known: KnownLimit::default(),
            bucket: Bucket::empty(BURST_MS, now_ms),
            cold: None,
            promised_ms: 0,
            expires_ms: now_ms + UNLISTED_TTL_MS,
        }
    }

    fn hear(&mut self, statement: LimitStatement, now_ms: u64) -> LimitChange {
        self.expires_ms = now_ms + UNLISTED_TTL_MS;
        let before = self.known.milli_per_s();
        let change = self.known.hear_statement(statement, now_ms);
        if let LimitChange::Named { .. } = change {
            match before {
                Some(before_milli_per_s) => self.bucket.fill(before_milli_per_s, now_ms),
                None => self.bucket = Bucket::empty(BURST_MS, now_ms),
            }
        }
        change
    }

    /// Replaces this limiter by one for a later start. The limit of a cold instance remains: its
    /// requests of the last second still count.
    fn restart(&mut self, born_ms: Option<u64>, now_ms: u64) {
        let cold = self.cold;
        *self = Self {
            cold,
            ..Self::new(born_ms, now_ms)
        };
    }

    /// Returns the time until a request is possible that may take `credit_micro` in advance; 0
    /// without a limit.
    fn ready_in_ms(&self, credit_micro: i64, now_ms: u64) -> u64 {
        let named_ms = self.known.milli_per_s().map_or(0, |limit| {
            self.bucket.ready_in_ms(credit_micro, limit, now_ms)
        });
        let cold_ms = self
            .cold
            .map_or(0, |cold| cold.ready_in_ms(credit_micro, now_ms));
        named_ms.max(cold_ms)
    }

    /// Counts a request within all limits in force.
    fn take(&mut self, now_ms: u64) {
        if let Some(limit) = self.known.milli_per_s() {
            self.bucket.take(limit, now_ms);
        }
        if let Some(cold) = &mut self.cold {
            cold.take(now_ms);
        }
    }

    /// Returns when the next refused caller should return: one after the other, at the rate of the
    /// limit.
    fn next_return_ms(&self, now_ms: u64) -> u64 {
        let ready_ms = now_ms + self.ready_in_ms(0, now_ms);
        let cold = self.cold.and_then(|cold| cold.milli_per_s(now_ms));
        let lowest = self.known.milli_per_s().into_iter().chain(cold).min();
        let step_ms = match lowest {
            Some(limit) => REQUEST_MICRO.unsigned_abs().div_ceil(limit),
            None => 0,
        };
        let turn_ms = (self.promised_ms + step_ms).min(now_ms + MAX_RETURN_MS);
        ready_ms.max(turn_ms)
    }
}

/// Whether a request may be sent to one of several instances.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Permit {
    /// It may be sent to the candidate with this index.
    Granted(usize),
    /// All candidates have reached their limits.
    Refused(LimitsReached),
}

/// When instances that have reached their limits take further requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitsReached {
    /// Time until each of the candidates takes its next request, in their order.
    pub ready_in_ms: Vec<u64>,
    /// Time after which the caller should return, so that those who were refused come one after
    /// the other.
    pub return_in_ms: u64,
}

/// The limits of all instances that have named one or are cold.
#[derive(Debug, Default)]
pub(super) struct Limiters(BTreeMap<Arc<str>, Limiter>);

impl Limiters {
    /// Applies a statement on an instance. One on an earlier start is ignored, and one on a later
    /// start replaces all earlier ones.
    pub(super) fn hear(&mut self, notice: &LimitNotice, now_ms: u64) -> LimitChange {
        let Some(statement) = notice.statement else {
            return LimitChange::Unchanged;
        };
        let limiter = self
            .0
            .entry(Arc::clone(&notice.identity))
            .or_insert_with(|| Limiter::new(notice.born_ms, now_ms));
        if notice.born_ms.is_some() && notice.born_ms < limiter.born_ms {
            return LimitChange::Unchanged;
        }
        if limiter.born_ms.is_some() && limiter.born_ms < notice.born_ms {
            limiter.restart(notice.born_ms, now_ms);
        }
        limiter.born_ms = notice.born_ms.or(limiter.born_ms);
        limiter.hear(statement, now_ms)
    }

    /// Discards the statements of starts before `born_ms`.
    pub(super) fn forget_earlier_starts(
        &mut self,
        identity: &str,
        born_ms: Option<u64>,
        now_ms: u64,
    ) {
        if let Some(limiter) = self.0.get_mut(identity)
            && limiter.born_ms.is_some()
            && limiter.born_ms < born_ms
        {
            limiter.restart(born_ms, now_ms);
        }
    }

    /// Limits the requests to an instance that is cold until `until_ms`. `None` for
    /// `limit_milli_per_s` ends the limit.
    pub(super) fn set_cold(
        &mut self,
        identity: &Arc<str>,
        until_ms: u64,
        limit_milli_per_s: Option<u64>,
        now_ms: u64,
    ) {
        let limiter = self.0.entry(Arc::clone(identity));
        let Some(limit_milli_per_s) = limit_milli_per_s else {
            limiter.and_modify(|limiter| limiter.cold = None);
            return;
        };
        let limiter = limiter.or_insert_with(|| Limiter::new(None, now_ms));
        limiter.expires_ms = limiter.expires_ms.max(until_ms);
        match &mut limiter.cold {
            Some(cold) => cold.update(until_ms, limit_milli_per_s, now_ms),
            None => limiter.cold = Some(ColdLimit::new(until_ms, limit_milli_per_s, now_ms)),
        }
    }

    /// Returns true if an instance takes no request now because it is cold.
    pub(super) fn is_at_cold_limit(&self, identity: &str, now_ms: u64) -> bool {
        let cold = self.0.get(identity).and_then(|limiter| limiter.cold);
        cold.is_some_and(|cold| cold.ready_in_ms(0, now_ms) > 0)
    }

    /// Discards expired statements of instances that are not listed.
    pub(super) fn expire(&mut self, is_listed: impl Fn(&str) -> bool, now_ms: u64) {
        self.0
            .retain(|identity, limiter| now_ms < limiter.expires_ms || is_listed(identity));
    }

    pub(super) fn statement(&self, identity: &str, now_ms: u64) -> Option<LimitStatement> {
        self.0.get(identity)?.known.statement(now_ms)
    }

    /// Returns the limit in force for an instance.
    pub(super) fn milli_per_s(&self, identity: &str) -> Option<u64> {
        self.0.get(identity)?.known.milli_per_s()
    }

    /// Returns true if an instance takes another request now.
    pub(super) fn allows(&self, identity: &str, now_ms: u64) -> bool {
        let limiter = self.0.get(identity);
        limiter.is_none_or(|limiter| limiter.ready_in_ms(0, now_ms) == 0)
    }

    /// Counts a request to an instance.
    pub(super) fn take(&mut self, identity: &str, now_ms: u64) {
        if let Some(limiter) = self.0.get_mut(identity) {
            limiter.take(now_ms);
        }
    }

    /// Grants a request to the first candidate that takes one now.
    pub(super) fn permit<'a>(
        &mut self,
        candidates: impl Iterator<Item = &'a Arc<str>> + Clone,
        now_ms: u64,
    ) -> Permit {
        let mut numbered = candidates.clone().enumerate();
        match numbered.find(|(_, identity)| self.allows(identity, now_ms)) {
            Some((at, identity)) => {
                self.take(identity, now_ms);
                Permit::Granted(at)
            }
            None => Permit::Refused(self.refuse(candidates, now_ms)),
        }
    }

    /// Grants the resumption of a generation at an instance, if necessary in advance. A refused one
    /// does not queue behind the callers that were told to return.
    pub(super) fn permit_resumption(&mut self, identity: &Arc<str>, now_ms: u64) -> Permit {
        let limiter = self.0.get(identity);
        let ready_in_ms =
            |credit_micro| limiter.map_or(0, |limiter| limiter.ready_in_ms(credit_micro, now_ms));
        match ready_in_ms(RESUMPTION_CREDIT_MICRO) {
            0 => {
                self.take(identity, now_ms);
                Permit::Granted(0)
            }
            return_in_ms => Permit::Refused(LimitsReached {
                ready_in_ms: vec![ready_in_ms(0)],
                return_in_ms,
            }),
        }
    }

    /// Returns when the candidates take further requests, and gives the caller its turn to return.
    pub(super) fn refuse<'a>(
        &mut self,
        candidates: impl Iterator<Item = &'a Arc<str>> + Clone,
        now_ms: u64,
    ) -> LimitsReached {
        let ready_in_ms = |identity| {
            let limiter = self.0.get(identity);
            limiter.map_or(0, |limiter| limiter.ready_in_ms(0, now_ms))
        };
        let ready_in_ms = candidates.clone().map(ready_in_ms).collect();
        let return_ms = |identity: &Arc<str>| {
            let limiter = self.0.get(identity);
            limiter.map_or(now_ms, |limiter| limiter.next_return_ms(now_ms))
        };
        let soonest = candidates.map(|id| (return_ms(id), id)).min();
        let (return_ms, identity) = soonest.unzip();
        if let (Some(return_ms), Some(identity)) = (return_ms, identity)
            && let Some(limiter) = self.0.get_mut(identity)
        {
            limiter.promised_ms = return_ms;
        }
        LimitsReached {
            ready_in_ms,
            return_in_ms: return_ms.map_or(0, |return_ms| return_ms.saturating_sub(now_ms)),
        }
    }
}
