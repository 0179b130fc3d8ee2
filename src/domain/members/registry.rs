//! Registrations, phases and the incarnations that may not come back.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{Member, Members, Phase, Role, UpstreamInfo};
use crate::domain::state::{RegisterAnswer, ViewChange};
use crate::model::{Fence, Incarnation, InstanceName, InstanceRef};

/// How long a member that is gone stays in the view. Entries resolve claims by it, so it is not
/// below the kept window of claims.
pub const GONE_KEPT_MS: u64 = 600_000;

/// How long the replaced incarnations of an instance that left the view are remembered.
pub const RETIRED_KEPT_MS: u64 = 24 * 3_600_000;

/// The largest number of replaced incarnations that is remembered per instance.
pub const MAX_RETIRED: usize = 64;

#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Life {
    registered_at_ms: u64,
    /// None while the current incarnation is not gone.
    gone_at_ms: Option<u64>,
    /// The sequence number of the last report of upstreams.
    reported: u64,
    /// Former incarnations, the oldest first.
    retired: Vec<Incarnation>,
}

impl Life {
    fn retire(&mut self, incarnation: Incarnation) {
        if self.retired.len() >= MAX_RETIRED {
            self.retired.remove(0);
        }
        self.retired.push(incarnation);
    }
}

/// What the replicated state knows of members beyond the view.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registry {
    lives: BTreeMap<InstanceName, Life>,
    /// The first registration of an entry in the life of the cluster.
    first_entry: Option<Fence>,
}

impl Registry {
    /// Returns when the current incarnation of an instance registered.
    pub fn registered_at_ms(&self, name: &InstanceName) -> Option<u64> {
        self.lives.get(name).map(|life| life.registered_at_ms)
    }

    /// Returns the first registration of an entry in the life of the cluster. A leader whose term
    /// began before it has no predecessor that granted slots to anybody.
    pub fn first_entry(&self) -> Option<Fence> {
        self.first_entry
    }

    /// Registers an incarnation. A new one replaces the old one for good.
    pub fn register(
        &mut self,
        members: &Members,
        member: &Member,
        index: u64,
        now_ms: u64,
    ) -> (RegisterAnswer, Vec<ViewChange>) {
        let life = self.lives.entry(member.name.clone()).or_default();
        if life.retired.contains(&member.incarnation) {
            return (RegisterAnswer::Replaced, Vec::new());
        }
        match members.members.get(&member.name) {
            Some(old) if old.incarnation == member.incarnation && old.phase == Phase::Gone => {
                return (RegisterAnswer::Replaced, Vec::new());
            }
            Some(old) if old.incarnation == member.incarnation => {
                return (RegisterAnswer::Registered(old.fence), Vec::new());
            }
            Some(old) => life.retire(old.incarnation),
            None => {}
        }
        life.registered_at_ms = now_ms;
        life.reported = 0;
        life.gone_at_ms = (member.phase == Phase::Gone).then_some(now_ms);
        let mut member = member.clone();
        member.fence = Fence(index);
        if member.roles.contains(&Role::Entry) {
            self.first_entry.get_or_insert(member.fence);
        }
        let answer = RegisterAnswer::Registered(member.fence);
        (answer, vec![ViewChange::SetMember(member)])
    }

    /// Raises the phase of an incarnation. A lower phase or another incarnation changes nothing.
    pub fn set_phase(
        &mut self,
        members: &Members,
        instance: &InstanceRef,
        phase: Phase,
        now_ms: u64,
    ) -> Vec<ViewChange> {
        let Some(member) = current(members, instance).filter(|member| member.phase < phase) else {
            return Vec::new();
        };
        if phase == Phase::Gone {
            let life = self.lives.entry(instance.name.clone()).or_default();
            life.gone_at_ms = Some(now_ms);
        }
        let mut member = member.clone();
        member.phase = phase;
        vec![ViewChange::SetMember(member)]
    }

    /// Replaces the upstreams of an incarnation that is not gone, unless a later report arrived
    /// before.
    pub fn set_upstreams(
        &mut self,
        members: &Members,
        instance: &InstanceRef,
        sequence: u64,
        upstreams: &[UpstreamInfo],
    ) -> Vec<ViewChange> {
        let Some(member) = current(members, instance).filter(|member| member.phase != Phase::Gone)
        else {
            return Vec::new();
        };
        let life = self.lives.entry(instance.name.clone()).or_default();
        if sequence <= life.reported {
            return Vec::new();
        }
        life.reported = sequence;
        if member.upstreams == upstreams {
            return Vec::new();
        }
        let mut member = member.clone();
        member.upstreams = upstreams.to_vec();
        vec![ViewChange::SetMember(member)]
    }

    /// Removes members that have been gone for long enough, and forgets instances that left the
    /// view long ago.
    pub fn prune(&mut self, members: &Members, now_ms: u64) -> Vec<ViewChange> {
        let mut changes = Vec::new();
        self.lives.retain(|name, life| {
            let Some(gone_at_ms) = life.gone_at_ms else {
                return true;
            };
            if let Some(member) = members.members.get(name) {
                if gone_at_ms.saturating_add(GONE_KEPT_MS) <= now_ms {
                    life.retire(member.incarnation);
                    changes.push(ViewChange::RemoveMember(name.clone()));
                }
                return true;
            }
            gone_at_ms.saturating_add(RETIRED_KEPT_MS) > now_ms
        });
        changes
    }
}

fn current<'a>(members: &'a Members, instance: &InstanceRef) -> Option<&'a Member> {
    members
        .members
        .get(&instance.name)
        .filter(|member| member.incarnation == instance.incarnation)
}
