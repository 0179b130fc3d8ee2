//! A request counted at an instance until it ends.

use std::net::SocketAddr;
use std::sync::Arc;

use super::Gateway;
use crate::adapters::clock::monotonic_ms;
use crate::domain::fleet::{Demand, Outcome, Placed, Reachability};

/// Counts a request at an instance; dropping it ends the count.
pub(super) struct Ticket {
    gateway: Arc<Gateway>,
    pub(super) identity: Arc<str>,
    pub(super) address: SocketAddr,
    demand: Option<Demand>,
    prompt_read: bool,
}

impl Ticket {
    /// Counts a request that is about to be sent.
    pub(super) fn begin(gateway: &Arc<Gateway>, placed: Placed, demand: Option<Demand>) -> Self {
        gateway.with_view(|view| view.begin(&placed.identity, demand));
        Self {
            gateway: Arc::clone(gateway),
            identity: placed.identity,
            address: placed.address,
            demand,
            prompt_read: false,
        }
    }

    /// Counts the first event of a generation.
    pub(super) fn mark_prompt_read(&mut self) {
        if let (false, Some(demand)) = (std::mem::replace(&mut self.prompt_read, true), self.demand)
        {
            self.gateway
                .with_view(|view| view.prompt_read(&self.identity, demand));
        }
    }

    /// Learns from how the request went.
    pub(super) fn record_outcome(&self, outcome: Outcome) {
        let now_ms = monotonic_ms();
        let reachability = self
            .gateway
            .with_view(|view| view.observe(&self.identity, outcome, now_ms));
        let instance = &*self.identity;
        match reachability {
            Reachability::Unchanged => {}
            Reachability::Lost { avoid_ms, failures } => {
                tracing::info!(instance, avoid_ms, failures, "instance is avoided");
            }
            Reachability::Regained => tracing::info!(instance, "instance answers again"),
        }
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        let (demand, prompt_read) = (self.demand, self.prompt_read);
        self.gateway
            .with_view(|view| view.end(&self.identity, demand, prompt_read));
        if demand.is_some() {
            self.gateway
                .with_waiting(|waiting| waiting.ended(monotonic_ms()));
            self.gateway.capacity_changes.notify_waiters();
        }
    }
}
