//! The broker of load permits at the control leader.

use std::collections::BTreeMap;

use super::rollout::rollout_share;
use crate::domain::members::{Members, Phase, Serves};
use crate::model::{Fence, InstanceName, ModelName, UpstreamName};

/// How long a permit holds without renewal.
pub const PERMIT_LEASE_MS: u64 = 5_000;

/// After this time a refused sidecar asks again; one that stays silent for three times as long no
/// longer waits.
pub const WAIT_RETRY_MS: u64 = 1_000;

/// A sidecar's question for a permit, or its renewal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PermitAsk {
    pub instance: InstanceName,
    pub fence: Fence,
    pub upstream: UpstreamName,
    pub model: ModelName,
    /// True if the upstream has no version at all.
    pub recovery: bool,
    /// True if the sidecar holds a permit and renews it.
    pub held: bool,
}

/// The answer to a question for a permit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PermitAnswer {
    /// Granted for a lease from the time of the question.
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

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Slot {
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

#[derive(Debug, Clone, PartialEq, Eq)]
struct Waiter {
    fence: Fence,
    recovery: bool,
    since_ms: u64,
    deadline_ms: u64,
}

/// Grants permits to load from the weight store. It lives in the memory of the control leader.
#[derive(Debug, Clone)]
pub struct PermitBroker {
    max_loads: usize,
    /// Before this time permits of a former leader may still hold.
    grants_from_ms: u64,
    permits: BTreeMap<Slot, Permit>,
    waiters: BTreeMap<Slot, Waiter>,
}

impl PermitBroker {
    /// Returns the broker of a new leader. It waits out the leases of a former one, and takes
    /// permits over from sidecars that renew them meanwhile.
    pub fn new(max_loads: usize, now_ms: u64) -> Self {
        Self {
            max_loads,
            grants_from_ms: now_ms + PERMIT_LEASE_MS,
            permits: BTreeMap::new(),
            waiters: BTreeMap::new(),
        }
    }

    /// Changes the number of loads at once; permits that hold are not taken back.
    pub fn set_max_loads(&mut self, max_loads: usize) {
        self.max_loads = max_loads;
    }

    /// Returns the number of permits that hold.
    pub fn held(&self, now_ms: u64) -> usize {
        let holds = |permit: &&Permit| permit.deadline_ms > now_ms;
        self.permits.values().filter(holds).count()
    }

    /// Answers a question or a renewal.
    pub fn ask(&mut self, ask: &PermitAsk, members: &Members, now_ms: u64) -> PermitAnswer {
        self.sweep(members, now_ms);
        match members.members.get(&ask.instance) {
            Some(member) if member.fence > ask.fence => {
                return PermitAnswer::Fenced {
                    current: member.fence,
                };
            }
            Some(member) if member.fence == ask.fence && member.phase != Phase::Gone => {}
            _ => return WAIT,
        }
        let slot = Slot {
            instance: ask.instance.clone(),
            upstream: ask.upstream.clone(),
        };
        let is_renewal = self
            .permits
            .get(&slot)
            .is_some_and(|p| p.model == ask.model);
        let is_takeover = ask.held && now_ms < self.grants_from_ms;
        if is_renewal || is_takeover || self.may_grant(&slot, ask, members, now_ms) {
            return self.grant(slot, ask, now_ms);
        }
        let waiter = self.waiters.entry(slot).or_insert(Waiter {
            fence: ask.fence,
            recovery: ask.recovery,
            since_ms: now_ms,
            deadline_ms: 0,
        });
        waiter.recovery = ask.recovery;
        waiter.deadline_ms = now_ms + 3 * WAIT_RETRY_MS;
        WAIT
    }

    /// Takes a permit back. One of a newer registration stays.
    pub fn give_back(&mut self, instance: &InstanceName, upstream: &UpstreamName, fence: Fence) {
        let slot = Slot {
            instance: instance.clone(),
            upstream: upstream.clone(),
        };
        if self
            .permits
            .get(&slot)
            .is_some_and(|permit| permit.fence <= fence)
        {
            self.permits.remove(&slot);
        }
        self.waiters.remove(&slot);
    }

    fn grant(&mut self, slot: Slot, ask: &PermitAsk, now_ms: u64) -> PermitAnswer {
        self.waiters.remove(&slot);
        let permit = Permit {
            fence: ask.fence,
            model: ask.model.clone(),
            recovery: ask.recovery,
            deadline_ms: now_ms + PERMIT_LEASE_MS,
        };
        self.permits.insert(slot, permit);
        PermitAnswer::Granted {
            lease_ms: PERMIT_LEASE_MS,
        }
    }

    fn may_grant(&self, slot: &Slot, ask: &PermitAsk, members: &Members, now_ms: u64) -> bool {
        if now_ms < self.grants_from_ms {
            return false;
        }
        let free = self.max_loads.saturating_sub(self.permits.len());
        let is_before = |other: &Slot, waiter: &Waiter| {
            let since_ms = self.waiters.get(slot).map_or(now_ms, |own| own.since_ms);
            let rank = (!ask.recovery, since_ms, slot);
            (!waiter.recovery, waiter.since_ms, other) < rank
        };
        // Only recoveries hold back others: a waiting rollout may be bound by its model's share.
        let ahead = self
            .waiters
            .iter()
            .filter(|(other, waiter)| waiter.recovery && is_before(other, waiter))
            .count();
        if free <= ahead {
            return false;
        }
        ask.recovery || self.rollout_fits(&ask.model, members)
    }

    /// Bounds rollouts to a share of the model's replicas, and keeps one permit for recoveries if
    /// there are several.
    fn rollout_fits(&self, model: &ModelName, members: &Members) -> bool {
        let rollouts = self.permits.values().filter(|permit| !permit.recovery);
        let of_model = rollouts
            .clone()
            .filter(|permit| permit.model == *model)
            .count();
        let max_rollouts = self.max_loads.saturating_sub(1).max(1);
        rollouts.count() < max_rollouts && of_model < rollout_share(replicas(model, members))
    }

    /// Drops what has run out, and what belongs to instances that are gone or registered anew.
    fn sweep(&mut self, members: &Members, now_ms: u64) {
        let is_current = |slot: &Slot, fence: Fence| {
            members
                .members
                .get(&slot.instance)
                .is_some_and(|member| member.fence == fence && member.phase != Phase::Gone)
        };
        self.permits
            .retain(|slot, permit| permit.deadline_ms > now_ms && is_current(slot, permit.fence));
        self.waiters
            .retain(|slot, waiter| waiter.deadline_ms > now_ms && is_current(slot, waiter.fence));
    }
}

const WAIT: PermitAnswer = PermitAnswer::Wait {
    retry_after_ms: WAIT_RETRY_MS,
};

fn replicas(model: &ModelName, members: &Members) -> usize {
    let live = members
        .members
        .values()
        .filter(|member| member.phase == Phase::Live);
    live.flat_map(|member| &member.upstreams)
        .filter(|upstream| upstream.serves == Serves::Model(model.clone()))
        .count()
}
