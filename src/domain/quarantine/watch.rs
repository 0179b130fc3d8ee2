//! What an entry knows of prompt parts, and what it has to report.

use std::collections::BTreeSet;
use std::sync::Arc;

use super::{CrashNotice, Fingerprint, KnownParts, PartId, PartNotices};

/// Upper bound on the crashes to report; further ones are dropped, as an engine's crash is reported
/// by several generations.
const MAX_NOTICES: usize = 256;

/// The entry's side of the quarantine.
#[derive(Debug, Default)]
pub struct PartWatch {
    hub: u64,
    suspected: BTreeSet<PartId>,
    quarantined: BTreeSet<PartId>,
    crashes: Vec<CrashNotice>,
    begun: BTreeSet<PartId>,
}

impl PartWatch {
    /// Returns the first of some parts with which a request must not be sent to an engine.
    pub fn quarantined<'a>(&self, parts: &'a [PartId]) -> Option<&'a PartId> {
        parts.iter().find(|part| self.quarantined.contains(*part))
    }

    /// Returns true if a crash has implicated one of some parts, or one is quarantined.
    pub fn is_suspected(&self, parts: &[PartId]) -> bool {
        parts.iter().any(|part| self.suspected.contains(part)) || self.quarantined(parts).is_some()
    }

    /// Records that an engine crashed before it had begun to answer a generation.
    pub fn record_crash(&mut self, instance: &Arc<str>, request: Fingerprint, parts: &[PartId]) {
        if !parts.is_empty() && self.crashes.len() < MAX_NOTICES {
            self.crashes.push(CrashNotice {
                instance: Arc::clone(instance),
                request,
                parts: parts.to_vec(),
            });
        }
    }

    /// Records that an engine has begun to answer a generation, which clears its parts.
    pub fn record_begin(&mut self, parts: &[PartId]) {
        let is_known =
            |part: &&PartId| self.suspected.contains(*part) || self.quarantined.contains(*part);
        self.begun.extend(parts.iter().filter(is_known).cloned());
    }

    /// Takes what has to be reported. `restore` must follow if the report does not reach the hub.
    pub fn take_notices(&mut self) -> PartNotices {
        PartNotices {
            crashes: std::mem::take(&mut self.crashes),
            begun: std::mem::take(&mut self.begun).into_iter().collect(),
            told_by: self.hub,
            quarantined: self.quarantined.iter().cloned().collect(),
        }
    }

    /// Keeps notices whose report did not reach the hub.
    pub fn restore(&mut self, notices: PartNotices) {
        let room = MAX_NOTICES.saturating_sub(self.crashes.len());
        self.crashes.extend(notices.crashes.into_iter().take(room));
        self.begun.extend(notices.begun);
    }

    /// Applies what a hub knows after the report of this entry.
    pub fn apply(&mut self, known: KnownParts) {
        self.hub = known.hub;
        self.suspected = known.suspected.into_iter().collect();
        self.quarantined = known.quarantined.into_iter().collect();
    }
}
