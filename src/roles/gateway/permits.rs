//! Permits for requests to instances that name a limit on their request rate. The hub grants them;
//! while it does not answer, the entry uses its own part of the limit.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::time::{Instant, sleep};

use super::Gateway;
use super::response::Refusal;
use super::ticket::Ticket;
use crate::adapters::clock::monotonic_ms;
use crate::domain::fleet::ChosenInstance;
use crate::rpc::directory::{PermitReply, PermitRequest};

/// Timeout of a permit call, which takes one round trip between zones.
const PERMIT_TIMEOUT: Duration = Duration::from_millis(60);
/// The hub is not asked for this long after it did not answer, so that not every call waits for the
/// timeout.
const HUB_RETRY_DELAY_MS: u64 = 250;
/// Time after which a refused caller should return if the hub does not answer: an election takes
/// about this long.
const NO_HUB_RETRY_MS: u64 = 1_000;

/// Whether a request may be sent to one of several instances with limits.
enum PermitResult {
    /// It may be sent to the instance with this index.
    Granted(usize),
    /// All of them have reached their limits.
    Refused { return_in_ms: u64 },
}

impl Gateway {
    /// Chooses the instance for an attempt of a plain call: the best one by expected time, unless it
    /// has reached its limit. Fails if there is none.
    pub(super) async fn choose_plain(
        &self,
        request_id: &str,
        service: &str,
        tried: &[Arc<str>],
    ) -> Result<ChosenInstance, NoInstance> {
        let candidates = self.with_view(|view| {
            view.plain_candidates(service, tried, monotonic_ms(), rand::random())
        });
        let mut limited = candidates.limited;
        if limited.is_empty() {
            return candidates.unlimited.ok_or(NoInstance::NoneOpen);
        }
        let identities: Vec<Arc<str>> = limited
            .iter()
            .map(|instance| Arc::clone(&instance.identity))
            .collect();
        let result = self.request_permit(request_id, &identities, false).await;
        if matches!(result, PermitResult::Refused { .. }) {
            let now_ms = monotonic_ms();
            let is_cold = |identity| self.with_view(|view| view.is_cold_limited(identity, now_ms));
            if identities.iter().any(|identity| is_cold(identity)) {
                self.metrics.cold.held_back.inc();
            }
        }
        match (result, candidates.unlimited) {
            (PermitResult::Granted(at), _) => Ok(limited.swap_remove(at)),
            (PermitResult::Refused { .. }, Some(unlimited)) => Ok(unlimited),
            (PermitResult::Refused { return_in_ms }, None) => {
                Err(NoInstance::AtLimit { return_in_ms })
            }
        }
    }

    /// Waits until a generation may be resumed at an engine. Returns false if its request limit does
    /// not allow that within `limit`.
    pub(super) async fn wait_for_resumption_permit(
        &self,
        request_id: &str,
        engine: &Ticket,
        limit: Duration,
    ) -> bool {
        let deadline = Instant::now() + limit;
        while self.with_view(|view| view.needs_permit(&engine.identity, monotonic_ms())) {
            let engine = std::slice::from_ref(&engine.identity);
            match self.request_permit(request_id, engine, true).await {
                PermitResult::Granted(_) => return true,
                PermitResult::Refused { return_in_ms } => {
                    let wait = Duration::from_millis(return_in_ms.max(1));
                    if Instant::now() + wait > deadline {
                        return false;
                    }
                    sleep(wait).await;
                }
            }
        }
        true
    }

    /// Asks the hub to grant a request to one of some instances, best one first.
    async fn request_permit(
        &self,
        request_id: &str,
        instances: &[Arc<str>],
        is_resumption: bool,
    ) -> PermitResult {
        let asked_ms = monotonic_ms();
        let is_hub_expected = asked_ms >= self.hub_retry_at_ms.load(Ordering::Relaxed);
        let link = self.control_link().filter(|_| is_hub_expected);
        let reply = match link {
            Some(link) => {
                let candidates = self.with_view(|view| view.limit_notices_of(instances, asked_ms));
                let request = PermitRequest {
                    candidates,
                    is_resumption,
                };
                let calling = link.call(PERMIT_TIMEOUT, |client, context| async move {
                    client.permit(context, request).await
                });
                Some(calling.await)
            }
            None => None,
        };
        let now_ms = monotonic_ms();
        let (result, by_hub) = match reply {
            Some(Ok(PermitReply::At(at))) if at < instances.len() => {
                (PermitResult::Granted(at), true)
            }
            Some(Ok(PermitReply::LimitsReached(reached))) => {
                self.with_view(|view| {
                    for (instance, ready_in_ms) in instances.iter().zip(reached.ready_in_ms) {
                        view.set_at_limit(instance, ready_in_ms, now_ms);
                    }
                });
                let return_in_ms = reached.return_in_ms;
                (PermitResult::Refused { return_in_ms }, true)
            }
            reply => {
                if reply.is_some() {
                    self.hub_retry_at_ms
                        .store(now_ms + HUB_RETRY_DELAY_MS, Ordering::Relaxed);
                }
                (self.take_local_permit(instances, now_ms), false)
            }
        };
        self.log_permit(request_id, instances, &result, by_hub);
        result
    }

    fn take_local_permit(&self, instances: &[Arc<str>], now_ms: u64) -> PermitResult {
        match self.with_view(|view| view.take_local_permit(instances, now_ms)) {
            Some(at) => PermitResult::Granted(at),
            None => PermitResult::Refused {
                return_in_ms: NO_HUB_RETRY_MS,
            },
        }
    }

    fn log_permit(
        &self,
        request_id: &str,
        instances: &[Arc<str>],
        result: &PermitResult,
        by_hub: bool,
    ) {
        let (label, granted, return_in_ms) = match result {
            PermitResult::Granted(at) => ("granted", instances.get(*at), None),
            PermitResult::Refused { return_in_ms } => ("refused", None, Some(return_in_ms)),
        };
        self.metrics.count_permit(label, by_hub);
        tracing::info!(
            request = request_id,
            outcome = label,
            instance = granted.map(|instance| &**instance),
            candidates = instances.len(),
            by_hub,
            return_in_ms,
            "permit for a request to an instance with a limit"
        );
    }

    /// Returns the refusal of a generation while all engines have limits and the hub does not
    /// answer.
    pub(super) fn at_limit_without_hub() -> Refusal {
        Refusal::not_run("all_at_limit", NO_HUB_RETRY_MS)
    }
}

/// Why no instance was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum NoInstance {
    /// No instance accepts requests.
    NoneOpen,
    /// All of them have reached their limits.
    AtLimit { return_in_ms: u64 },
}
