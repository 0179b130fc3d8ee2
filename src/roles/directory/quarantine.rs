//! Collects what entries have observed of crashes, and tells them what to keep away from instances.

use std::sync::Arc;

use super::DirectoryRole;
use crate::adapters::clock::monotonic_ms;
use crate::adapters::mutex::lock;
use crate::domain::quarantine::{
    KnownParts, KnownRequests, PartChange, PartNotices, RequestChange, RequestNotices,
};

impl DirectoryRole {
    /// Records crashes and the prompt parts that they concern, and notifies the entries of what is
    /// quarantined.
    pub(super) fn record_part_notices(self: &Arc<Self>, notices: PartNotices) {
        let changes = lock(&self.crash_evidence).record(notices, monotonic_ms());
        for change in &changes {
            match change {
                PartChange::Quarantined { part, crashes } => tracing::warn!(
                    part = &**part,
                    crashes,
                    "prompt part quarantined: engines crash on it"
                ),
                PartChange::Released(part) => {
                    tracing::info!(part = &**part, "prompt part released from quarantine");
                }
            }
        }
        if !changes.is_empty() {
            self.wake_entries();
        }
    }

    pub(super) fn known_parts(&self) -> KnownParts {
        lock(&self.crash_evidence).known(monotonic_ms())
    }

    /// Records crashes and the requests that they concern, and notifies the entries of what is
    /// quarantined.
    pub(super) fn record_request_notices(self: &Arc<Self>, notices: &RequestNotices) {
        let changes = lock(&self.request_evidence).record(notices, monotonic_ms());
        for change in &changes {
            match change {
                RequestChange::Quarantined { request, crashes } => tracing::warn!(
                    fingerprint = %request,
                    crashes,
                    "request quarantined: instances crash while they run it"
                ),
                RequestChange::Released(request) => {
                    tracing::info!(fingerprint = %request, "request released from quarantine");
                }
            }
        }
        if !changes.is_empty() {
            self.wake_entries();
        }
    }

    /// Returns what an entry has to know that has been told `revision` by `hub`.
    pub(super) fn known_requests(&self, hub: u64, revision: u64) -> KnownRequests {
        lock(&self.request_evidence).known(hub, revision, monotonic_ms())
    }
}
