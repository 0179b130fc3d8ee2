//! Evacuated zones: keeps the hub up to date, and decides orders of operators.

use std::collections::BTreeSet;
use std::sync::Arc;

use super::DirectoryRole;
use super::command::Command;
use super::machine::OrderAnswer;
use super::operators::COMMIT_TIMEOUT;
use crate::adapters::clock::monotonic_ms;
use crate::domain::evacuation::{Evacuations, UnknownZone, ZoneOrder, check_zone};
use crate::model::ZoneName;
use crate::roles::control::replica::{Replica, SubmitError};
use crate::rpc::decode;

/// Why an order was not acknowledged.
pub(super) enum OrderFailure {
    UnknownZone(UnknownZone),
    /// Neither the settings nor a list name any zone yet, so that the order cannot be checked.
    NoZonesKnown,
    NotSubmitted(SubmitError),
    Malformed(postcard::Error),
}

impl DirectoryRole {
    /// Passes the evacuated zones on to the hub until the role ends.
    pub(super) async fn follow_evacuations(self: Arc<Self>) {
        let mut changes = self.machine.watch_evacuations();
        let mut applied = Evacuations::default();
        loop {
            let evacuations = changes.borrow_and_update().clone();
            self.with_hub(|hub| hub.set_evacuated(evacuations.zones().clone()));
            for zone in applied.zones().difference(evacuations.zones()) {
                let changes = self.with_hub(|hub| hub.zone_restored(zone, monotonic_ms()));
                tracing::info!(
                    zone = &*zone.0,
                    cold = changes.len(),
                    "instances of a zone are used again"
                );
                self.publish_changes(&changes);
            }
            applied = evacuations;
            if changes.changed().await.is_err() {
                return;
            }
        }
    }

    /// Returns the zones that orders may name: those of the settings, those of listed instances, and
    /// those that are evacuated, whose evacuation can be finished after their last instance has gone.
    pub(super) fn known_zones(&self) -> BTreeSet<ZoneName> {
        let mut known: BTreeSet<ZoneName> = self.settings.zones.iter().cloned().collect();
        known.extend(self.machine.evacuations().zones().iter().cloned());
        self.with_hub(|hub| {
            known.extend(hub.listed().iter().map(|listed| listed.zone.clone()));
        });
        known
    }

    /// Commits an order. Fails for a zone that is not known, which only the leader can tell: others
    /// do not read the list.
    pub(super) async fn commit_order(
        &self,
        replica: &Replica,
        order: ZoneOrder,
    ) -> Result<OrderAnswer, OrderFailure> {
        if !self.leads() {
            let leader = self.other_leader();
            return Err(OrderFailure::NotSubmitted(SubmitError::NotLeader {
                leader,
            }));
        }
        let is_list_awaited =
            self.settings.list_address.is_some() && self.with_hub(|hub| hub.position().is_none());
        match check_zone(&order.zone, self.known_zones()) {
            Ok(()) => {}
            Err(_) if is_list_awaited => return Err(OrderFailure::NoZonesKnown),
            Err(unknown) => return Err(OrderFailure::UnknownZone(unknown)),
        }
        let command = Command::Evacuation(order).encode();
        let command = command.map_err(OrderFailure::Malformed)?;
        let answer = replica.submit(command, COMMIT_TIMEOUT).await;
        let answer = answer.map_err(OrderFailure::NotSubmitted)?;
        decode(&answer).map_err(OrderFailure::Malformed)
    }
}
