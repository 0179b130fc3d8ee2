//! Load permits, granted by the control leader. They limit how many engines load from the weight
//! store at once.

use std::collections::BTreeMap;

use super::rollout::max_concurrent_rollouts;
use crate::domain::members::{Members, Phase, Serves};
use crate::model::{Fence, InstanceName, ModelName, UpstreamName};

/// How long a permit is valid without renewal.
pub const PERMIT_LEASE_MS: u64 = 5_000;

/// How long a sidecar waits before it requests a permit again. It loses its place in the queue if
/// it does not request again within three times as long.
pub const PERMIT_RETRY_MS: u64 = 1_000;

/// A sidecar's request for a permit, or for its renewal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadPermitRequest {
    pub instance: InstanceName,
    pub fence: Fence,
    pub upstream: UpstreamName,
    pub model: ModelName,
    /// True if the upstream has no version loaded.
    pub recovery: bool,
    /// True if the sidecar holds a permit and renews it.
    pub held: bool,
}

/// The answer to a permit request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PermitAnswer {
    /// Granted; the lease starts at the time of the request.
    Granted {
        lease_ms: u64,
    },
    Wait {
        retry_after_ms: u64,
    },
    /// A newer registration of the instance exists.
    Fenced {
        current: Fence,
    },
}

/// An upstream of a sidecar.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct UpstreamRef {
    instance: InstanceName,
    upstream: UpstreamName,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct Permit {
    fence: Fence,
    model: ModelName,
    recovery: bool,
    deadline_ms: u64,
}

/// A queued permit request.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Waiter {
    fence: Fence,
    recovery: bool,
    waiting_since_ms: u64,
    deadline_ms: u64,
}

/// Grants permits to load from the weight store. Its state is kept only in the memory of the
/// control leader.
#[derive(Debug, Clone)]
pub struct PermitBroker {
    max_loads: usize,
    /// Permits that a former leader granted may be valid until this time.
    first_grant_at_ms: u64,
    permits: BTreeMap<UpstreamRef, Permit>,
    waiters: BTreeMap<UpstreamRef, Waiter>,
}

impl PermitBroker {
    /// Returns the broker of a new leader. It grants no new permits until the leases granted by a
    /// former leader have expired; meanwhile it accepts renewals of such permits.
    pub fn new(max_loads: usize, now_ms: u64) -> Self {
        Self {
            max_loads,
            first_grant_at_ms: now_ms + PERMIT_LEASE_MS,
            permits: BTreeMap::new(),
            waiters: BTreeMap::new(),
        }
    }

    /// Changes the maximum number of concurrent loads. Valid permits are not revoked.
    pub fn set_max_loads(&mut self, max_loads: usize) {
        self.max_loads = max_loads;
    }

    /// Returns the number of valid permits.
    pub fn held(&self, now_ms: u64) -> usize {
        let is_valid = |permit: &&Permit| permit.deadline_ms > now_ms;
        self.permits.values().filter(is_valid).count()
    }

    /// Answers a request for a permit or for its renewal.
    pub fn request(
        &mut self,
        request: &LoadPermitRequest,
        members: &Members,
        now_ms: u64,
    ) -> PermitAnswer {
        self.remove_expired(members, now_ms);
        match members.members.get(&request.instance) {
            Some(member) if member.fence > request.fence => {
                return PermitAnswer::Fenced {
                    current: member.fence,
                };
            }
            Some(member) if member.fence == request.fence && member.phase != Phase::Gone => {}
            _ => return WAIT,
        }
        let upstream_ref = UpstreamRef {
            instance: request.instance.clone(),
            upstream: request.upstream.clone(),
        };
        let is_renewal = self
            .permits
            .get(&upstream_ref)
            .is_some_and(|p| p.model == request.model);
        let is_takeover = request.held && now_ms < self.first_grant_at_ms;
        if is_renewal || is_takeover || self.may_grant(&upstream_ref, request, members, now_ms) {
            return self.grant(upstream_ref, request, now_ms);
        }
        let waiter = self.waiters.entry(upstream_ref).or_insert(Waiter {
            fence: request.fence,
            recovery: request.recovery,
            waiting_since_ms: now_ms,
            deadline_ms: 0,
        });
        waiter.recovery = request.recovery;
        waiter.deadline_ms = now_ms + 3 * PERMIT_RETRY_MS;
        WAIT
    }

    /// Releases a permit, unless it belongs to a newer registration than `fence`, and removes the
    /// upstream from the queue.
    pub fn release(&mut self, instance: &InstanceName, upstream: &UpstreamName, fence: Fence) {
        let upstream_ref = UpstreamRef {
            instance: instance.clone(),
            upstream: upstream.clone(),
        };
        if self
            .permits
            .get(&upstream_ref)
            .is_some_and(|permit| permit.fence <= fence)
        {
            self.permits.remove(&upstream_ref);
        }
        self.waiters.remove(&upstream_ref);
    }

    fn grant(
        &mut self,
        upstream_ref: UpstreamRef,
        request: &LoadPermitRequest,
        now_ms: u64,
    ) -> PermitAnswer {
        self.waiters.remove(&upstream_ref);
        let permit = Permit {
            fence: request.fence,
            model: request.model.clone(),
            recovery: request.recovery,
            deadline_ms: now_ms + PERMIT_LEASE_MS,
        };
        self.permits.insert(upstream_ref, permit);
        PermitAnswer::Granted {
            lease_ms: PERMIT_LEASE_MS,
        }
    }

    fn may_grant(
        &self,
        upstream_ref: &UpstreamRef,
        request: &LoadPermitRequest,
        members: &Members,
        now_ms: u64,
    ) -> bool {
        if now_ms < self.first_grant_at_ms {
            return false;
        }
        let free = self.max_loads.saturating_sub(self.permits.len());
        let ranks_before = |other: &UpstreamRef, waiter: &Waiter| {
            let waiting_since_ms = self
                .waiters
                .get(upstream_ref)
                .map_or(now_ms, |own| own.waiting_since_ms);
            let rank = (!request.recovery, waiting_since_ms, upstream_ref);
            (!waiter.recovery, waiter.waiting_since_ms, other) < rank
        };
        // Only waiting recoveries reserve permits: a waiting rollout may be held back by the limit
        // of its model.
        let ahead = self
            .waiters
            .iter()
            .filter(|(other, waiter)| waiter.recovery && ranks_before(other, waiter))
            .count();
        if free <= ahead {
            return false;
        }
        request.recovery || self.rollout_allowed(&request.model, members)
    }

    /// Limits rollouts to a share of the model's replicas, and reserves one permit for recoveries
    /// if there is more than one.
    fn rollout_allowed(&self, model: &ModelName, members: &Members) -> bool {
        let rollouts = self.permits.values().filter(|permit| !permit.recovery);
        let of_model = rollouts
            .clone()
            .filter(|permit| permit.model == *model)
            .count();
        let max_rollouts = self.max_loads.saturating_sub(1).max(1);
        rollouts.count() < max_rollouts
            && of_model < max_concurrent_rollouts(count_live_replicas(model, members))
    }

    /// Removes permits and waiters that have expired, or whose instance is gone or has registered
    /// again.
    fn remove_expired(&mut self, members: &Members, now_ms: u64) {
        let is_current = |upstream_ref: &UpstreamRef, fence: Fence| {
            members
                .members
                .get(&upstream_ref.instance)
                .is_some_and(|member| member.fence == fence && member.phase != Phase::Gone)
        };
        self.permits.retain(|upstream_ref, permit| {
            permit.deadline_ms > now_ms && is_current(upstream_ref, permit.fence)
        });
        self.waiters.retain(|upstream_ref, waiter| {
            waiter.deadline_ms > now_ms && is_current(upstream_ref, waiter.fence)
        });
    }
}

const WAIT: PermitAnswer = PermitAnswer::Wait {
    retry_after_ms: PERMIT_RETRY_MS,
};

fn count_live_replicas(model: &ModelName, members: &Members) -> usize {
    let live = members
        .members
        .values()
        .filter(|member| member.phase == Phase::Live);
    live.flat_map(|member| &member.upstreams)
        .filter(|upstream| upstream.serves == Serves::Model(model.clone()))
        .count()
}
