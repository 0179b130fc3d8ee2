//! Tracks the number of requests in flight at each instance.

use std::net::SocketAddr;
use std::sync::Arc;

use super::Gateway;
use crate::adapters::clock::monotonic_ms;
use crate::domain::fleet::{ChosenInstance, Demand, Outcome, Reachability};

/// Counts a request as in flight at an instance until it is dropped.
pub(super) struct Ticket {
    gateway: Arc<Gateway>,
    pub(super) identity: Arc<str>,
    pub(super) address: SocketAddr,
    /// `None` for plain calls.
    demand: Option<Demand>,
    prompt_read: bool,
}

impl Ticket {
    /// Starts counting a request that is about to be sent. `demand` is `None` for plain calls.
    pub(super) fn begin(
        gateway: &Arc<Gateway>,
        chosen: ChosenInstance,
        demand: Option<Demand>,
    ) -> Self {
        gateway.with_view(|view| view.begin(&chosen.identity, demand));
        Self {
            gateway: Arc::clone(gateway),
            identity: chosen.identity,
            address: chosen.address,
            demand,
            prompt_read: false,
        }
    }

    /// Counts a further request for the same generation, of which the instance may hold a copy, at the
    /// same instance.
    pub(super) fn another(&self, demand: Demand) -> Self {
        let demand = Some(demand);
        self.gateway
            .with_view(|view| view.begin(&self.identity, demand));
        let mut ticket = Self {
            gateway: Arc::clone(&self.gateway),
            identity: Arc::clone(&self.identity),
            address: self.address,
            demand,
            prompt_read: false,
        };
        if self.prompt_read {
            ticket.mark_prompt_read();
        }
        ticket
    }

    /// Records that the engine has read the prompt of the generation, which its first event shows.
    /// Further calls have no effect.
    pub(super) fn mark_prompt_read(&mut self) {
        if let (false, Some(demand)) = (std::mem::replace(&mut self.prompt_read, true), self.demand)
        {
            self.gateway
                .with_view(|view| view.prompt_read(&self.identity, demand));
        }
    }

    /// Updates the health statistics of the instance with the outcome of the request.
    pub(super) fn record_outcome(&self, outcome: Outcome) {
        let now_ms = monotonic_ms();
        let reachability = self
            .gateway
            .with_view(|view| view.observe(&self.identity, outcome, now_ms));
        let instance = &*self.identity;
        match reachability {
            Reachability::Unchanged => {}
            Reachability::Lost { avoid_ms, failures } => {
                tracing::info!(
                    instance,
                    avoid_ms,
                    failures,
                    "instance temporarily excluded after failures"
                );
            }
            Reachability::Regained => tracing::info!(instance, "instance has recovered"),
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
                .with_admission_queue(|queue| queue.ended(monotonic_ms()));
            self.gateway.capacity_changes.notify_waiters();
        }
    }
}
