//! Request limits of instances, as the hub distributes and applies them.

use std::net::SocketAddr;
use std::sync::Arc;

use super::Hub;
use crate::domain::fleet::limiters::{LimitsReached, Permit};
use crate::domain::fleet::placement::PlacementRequest;
use crate::domain::fleet::request_limit::{LimitChange, LimitNotice};
use crate::domain::fleet::{Listed, ListedState};

impl Hub {
    /// Applies statements on the request limits of instances. Returns those that change a limit,
    /// of which entries are to be informed.
    pub fn hear_limits(
        &mut self,
        notices: &[LimitNotice],
        now_ms: u64,
    ) -> Vec<(Arc<str>, LimitChange)> {
        let mut changes = Vec::new();
        for notice in notices {
            let listed = self.find(&notice.identity);
            if listed
                .is_some_and(|listed| notice.born_ms.is_some() && notice.born_ms < listed.born_ms)
            {
                continue;
            }
            let change = self.limiters.hear(notice, now_ms);
            if change != LimitChange::Unchanged {
                self.record_load(&notice.identity);
                changes.push((Arc::clone(&notice.identity), change));
            }
        }
        changes
    }

    /// Returns the identity and start of the instance at an address, if one is listed there.
    pub fn instance_at(&self, address: SocketAddr) -> Option<(Arc<str>, Option<u64>)> {
        let listed = self.find(self.by_address.get(&address)?)?;
        Some((Arc::clone(&listed.identity), listed.born_ms))
    }

    /// Decides whether a request may be sent to one of several instances that name limits.
    pub fn permit(&mut self, candidates: &[LimitNotice], now_ms: u64) -> Permit {
        let candidates = candidates.iter().map(|notice| &notice.identity);
        self.limiters.permit(candidates, now_ms)
    }

    /// Decides whether a generation may be resumed at an instance that names a limit. It has
    /// precedence over new requests.
    pub fn permit_resumption(&mut self, identity: &Arc<str>, now_ms: u64) -> Permit {
        self.limiters.permit_resumption(identity, now_ms)
    }

    /// Returns when the candidates of a generation take further requests, if all of them have
    /// reached their limits and their service has no instance without a limit.
    pub fn limits_reached(
        &mut self,
        request: &PlacementRequest,
        now_ms: u64,
    ) -> Option<LimitsReached> {
        let candidates = request.candidates.iter();
        let candidates = candidates.map(|candidate| &candidate.identity);
        if candidates
            .clone()
            .any(|identity| self.limiters.allows(identity, now_ms))
        {
            return None;
        }
        let service = &self.find(candidates.clone().next()?)?.service;
        let is_alternative = |listed: &Listed| {
            listed.service == *service
                && listed.state == ListedState::Ready
                && !self.evacuated.contains(&listed.zone)
                && self.limiters.milli_per_s(&listed.identity).is_none()
        };
        (!self.listed.iter().any(is_alternative)).then(|| self.limiters.refuse(candidates, now_ms))
    }
}
