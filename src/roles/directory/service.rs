//! The RPC service that entries and sidecars call.

use std::sync::{Arc, PoisonError};
use std::time::Duration;

use tarpc::context::Context;
use tokio::time::timeout;

use super::DirectoryRole;
use crate::adapters::clock::monotonic_ms;
use crate::rpc::directory::{
    Directory, PermitReply, PermitRequest, PlaceReply, PlaceRequest, ReportReply, ReportRequest,
    SyncReply, SyncRequest, TurnReply, TurnRequest,
};

/// Upper bound on the time for which a `sync` call is held until there are updates.
const MAX_HOLD: Duration = Duration::from_secs(1);
/// Timeout for confirming that the document is the newest.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(400);

#[derive(Clone)]
pub(super) struct Server(pub(super) Arc<DirectoryRole>);

impl Server {
    /// Returns true if there is an update for which the entry is answered without delay.
    fn has_update(&self, request: &SyncRequest) -> bool {
        let machine = &self.0.machine;
        let has_document = machine.packed_after(request.version).is_some();
        let has_evacuations = machine
            .evacuations_after(request.evacuation_revision)
            .is_some();
        // An entry that has just started needs the instance list, which only the leader has.
        let names_leader = request.position.is_none() && self.0.other_leader().is_some();
        has_document
            || has_evacuations
            || names_leader
            || self.0.has_urgent_update(request.position, monotonic_ms())
    }
}

impl Directory for Server {
    async fn ping(self, _: Context) {}

    async fn sync(self, _: Context, mut request: SyncRequest) -> SyncReply {
        let role = &self.0;
        *role
            .last_sync_ms
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = monotonic_ms();
        let loads = std::mem::take(&mut request.loads);
        role.with_hub(|hub| hub.load(&request.entry, &loads, monotonic_ms()));
        let departures = std::mem::take(&mut request.departures);
        role.record_departures(departures);
        role.record_limits(&std::mem::take(&mut request.limits));
        role.record_part_notices(std::mem::take(&mut request.parts));
        role.record_request_notices(&request.requests);
        let mut updates = role.updates.subscribe();
        if !self.has_update(&request) {
            let hold = Duration::from_millis(request.hold_ms).min(MAX_HOLD);
            // An answer without updates still carries the newest loads.
            let _ = timeout(hold, updates.changed()).await;
        }
        let confirmed = match role.replica() {
            Some(replica) => replica.confirm(CONFIRM_TIMEOUT).await.is_ok(),
            None => false,
        };
        let document = role.machine.packed_after(request.version);
        let evacuations = role.machine.evacuations_after(request.evacuation_revision);
        let now_ms = monotonic_ms();
        role.with_hub(|hub| SyncReply {
            confirmed,
            keeps_log: role.observer.is_none(),
            document,
            evacuations,
            fleet: hub.updates_since(&request.entry, &request.zone, request.position, now_ms),
            list_age_ms: hub.list_age_ms(now_ms),
            entries: u32::try_from(hub.entries()).unwrap_or(u32::MAX),
            leader: role.other_leader(),
            parts: role.known_parts(),
            requests: role.known_requests(request.requests.told_by, request.requests.revision),
        })
    }

    async fn place(self, _: Context, request: PlaceRequest) -> PlaceReply {
        self.0.place(request).await
    }

    async fn permit(self, _: Context, request: PermitRequest) -> PermitReply {
        self.0.permit(&request)
    }

    async fn turn(self, _: Context, request: TurnRequest) -> Option<TurnReply> {
        self.0.turn(request).await
    }

    async fn report(self, _: Context, request: ReportRequest) -> ReportReply {
        let role = &self.0;
        let (address, report) = (request.address, request.report);
        if role.with_hub(|hub| hub.report(address, report, monotonic_ms())) {
            tracing::info!(%address, leaves_in_ms = report.leaves_in_ms, "instance is leaving");
            role.wake_entries();
        }
        if report.draining {
            let departure = role.with_hub(|hub| hub.departure_at(address, report));
            role.record_departures(departure.into_iter().collect());
        }
        if let Some(statement) = request.limit {
            role.record_engine_limit(&request, statement);
        }
        if let Some(remaining_ms) = request.cold_remaining_ms {
            role.record_cold(address, remaining_ms);
        }
        let health_path = role.register_engine(request);
        ReportReply {
            leads: role.leads(),
            leader: role.other_leader(),
            health_path,
        }
    }
}
