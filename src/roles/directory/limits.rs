//! Request limits that instances name: distributes them, and grants requests to such instances.

use std::sync::Arc;

use super::DirectoryRole;
use crate::adapters::clock::monotonic_ms;
use crate::domain::fleet::{LimitChange, LimitNotice, LimitStatement, Permit};
use crate::rpc::directory::{PermitReply, PermitRequest, ReportRequest};

impl DirectoryRole {
    /// Records what entries or sidecars have heard of request limits, and notifies the entries.
    pub(super) fn record_limits(self: &Arc<Self>, notices: &[LimitNotice]) {
        let changes = self.with_hub(|hub| hub.hear_limits(notices, monotonic_ms()));
        for (instance, change) in &changes {
            let limit_milli_per_s = match change {
                LimitChange::Named { limit_milli_per_s } => Some(limit_milli_per_s),
                LimitChange::Ended | LimitChange::Unchanged => None,
            };
            tracing::info!(
                instance = &**instance,
                limit_milli_per_s,
                "request limit of an instance changed"
            );
        }
        if !changes.is_empty() {
            self.wake_entries();
        }
    }

    /// Records what a sidecar has heard of the limit of its engine.
    pub(super) fn record_engine_limit(
        self: &Arc<Self>,
        request: &ReportRequest,
        statement: LimitStatement,
    ) {
        let listed = self.with_hub(|hub| hub.instance_at(request.address));
        if let Some((identity, listed_born_ms)) = listed {
            self.record_limits(&[LimitNotice {
                identity,
                born_ms: request.report.born_ms.or(listed_born_ms),
                statement: Some(statement),
            }]);
        }
    }

    /// Decides whether a request may be sent to an instance with a limit.
    pub(super) fn permit(self: &Arc<Self>, request: &PermitRequest) -> PermitReply {
        // A hub without the platform's list does not know which instances are cold.
        if !self.leads() || self.with_hub(|hub| hub.position().is_none()) {
            return PermitReply::NotLeader;
        }
        self.record_limits(&request.candidates);
        let now_ms = monotonic_ms();
        let permit = self.with_hub(|hub| match request.candidates.as_slice() {
            [notice] if request.is_resumption => hub.permit_resumption(&notice.identity, now_ms),
            candidates => hub.permit(candidates, now_ms),
        });
        match permit {
            Permit::Granted(at) => PermitReply::At(at),
            Permit::Refused(reached) => PermitReply::LimitsReached(reached),
        }
    }
}
