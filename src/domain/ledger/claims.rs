//! Claims on idempotency keys: which generation runs the request of each key.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::domain::state::{ClaimAnswer, ClaimRefusal, Claimed, KeyId};
use crate::model::{GenerationId, WorkspaceName};

/// How long after its creation a key is accepted, and its record is kept.
pub const KEY_RETENTION_MS: u64 = 600_000;

/// How far in the future the creation time of a key may lie. Tolerates clients whose clocks run
/// ahead.
pub const MAX_FUTURE_SKEW_MS: u64 = 60_000;

/// The maximum number of records. At the peak of 3,600 requests/s this covers 46 % of all requests
/// for the retention period; further requests with a key are refused and do not run.
pub const MAX_CLAIMS: usize = 1_000_000;

/// The maximum number of released generations that the record of a key remembers.
pub const MAX_RELEASED_PER_KEY: usize = 8;

/// Ordered by creation time first, so that expired records come first.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
struct RecordKey {
    created_at_ms: u64,
    workspace: WorkspaceName,
    key: Box<str>,
}

impl From<&KeyId> for RecordKey {
    fn from(key: &KeyId) -> Self {
        Self {
            created_at_ms: key.created_at_ms,
            workspace: key.workspace.clone(),
            key: key.key.as_str().into(),
        }
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Holder {
    claimed: Claimed,
    finished: bool,
}

#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Record {
    /// Hash of the request body; `None` if a release arrived before any claim.
    fingerprint: Option<u64>,
    holder: Option<Holder>,
    /// Generations that have released the key. A delayed claim by one of them is refused.
    released: Vec<GenerationId>,
}

/// The claims on the keys of the retention period.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    records: BTreeMap<RecordKey, Record>,
}

impl Ledger {
    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns true if there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Removes the records of keys that are no longer accepted at `now_ms`.
    pub fn expire(&mut self, now_ms: u64) {
        while let Some(first) = self.records.first_entry() {
            if !is_expired(first.key().created_at_ms, now_ms) {
                return;
            }
            first.remove();
        }
    }

    /// Claims a key for a generation. `now_ms` must not decrease between calls.
    pub fn claim(
        &mut self,
        key: &KeyId,
        fingerprint: u64,
        claimed: &Claimed,
        now_ms: u64,
    ) -> ClaimAnswer {
        if is_expired(key.created_at_ms, now_ms) {
            return ClaimAnswer::Refused(ClaimRefusal::Expired);
        }
        if key.created_at_ms > now_ms.saturating_add(MAX_FUTURE_SKEW_MS) {
            return ClaimAnswer::Refused(ClaimRefusal::Future);
        }
        let is_full = self.records.len() >= MAX_CLAIMS;
        let record_key = RecordKey::from(key);
        if is_full && !self.records.contains_key(&record_key) {
            return ClaimAnswer::Refused(ClaimRefusal::Full);
        }
        let record = self.records.entry(record_key).or_default();
        record.claim(fingerprint, claimed)
    }

    /// Records that the generation of a claim has ended. Any other generation is ignored.
    pub fn finish(&mut self, key: &KeyId, generation: GenerationId) {
        if let Some(record) = self.records.get_mut(&RecordKey::from(key))
            && let Some(holder) = &mut record.holder
            && holder.claimed.generation == generation
        {
            holder.finished = true;
        }
    }

    /// Releases a claim, unless its generation has ended. A release that arrives before its claim
    /// is remembered, so that the delayed claim is refused.
    pub fn release(&mut self, key: &KeyId, generation: GenerationId, now_ms: u64) {
        let is_not_accepted = is_expired(key.created_at_ms, now_ms)
            || key.created_at_ms > now_ms.saturating_add(MAX_FUTURE_SKEW_MS);
        let is_full = self.records.len() >= MAX_CLAIMS;
        let record_key = RecordKey::from(key);
        if is_not_accepted || (is_full && !self.records.contains_key(&record_key)) {
            return;
        }
        let record = self.records.entry(record_key).or_default();
        record.release(generation);
    }
}

impl Record {
    fn claim(&mut self, fingerprint: u64, claimed: &Claimed) -> ClaimAnswer {
        if self.fingerprint.is_some_and(|first| first != fingerprint) {
            return ClaimAnswer::Refused(ClaimRefusal::OtherBody);
        }
        if self.released.contains(&claimed.generation) {
            return ClaimAnswer::Refused(ClaimRefusal::Released);
        }
        match &self.holder {
            Some(holder) if holder.claimed == *claimed && !holder.finished => ClaimAnswer::Granted,
            Some(holder) => ClaimAnswer::Held {
                claimed: holder.claimed.clone(),
                finished: holder.finished,
            },
            None => {
                self.fingerprint = Some(fingerprint);
                self.holder = Some(Holder {
                    claimed: claimed.clone(),
                    finished: false,
                });
                ClaimAnswer::Granted
            }
        }
    }

    fn release(&mut self, generation: GenerationId) {
        let is_holder = |holder: &Holder| holder.claimed.generation == generation;
        match &self.holder {
            Some(holder) if is_holder(holder) && holder.finished => return,
            Some(holder) if is_holder(holder) => self.holder = None,
            _ => {}
        }
        if self.released.contains(&generation) {
            return;
        }
        if self.released.len() >= MAX_RELEASED_PER_KEY {
            self.released.remove(0);
        }
        self.released.push(generation);
    }
}

/// Returns true if a key is no longer accepted. Records are removed by the same rule, so that a
/// record is kept exactly as long as its key is accepted.
fn is_expired(created_at_ms: u64, now_ms: u64) -> bool {
    created_at_ms.saturating_add(KEY_RETENTION_MS) < now_ms
}
