//! Registrations and phases of instances, and the incarnations that may not register again.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{Member, Members, Phase, Role, UpstreamInfo};
use crate::domain::state::{RegisterAnswer, ViewChange};
use crate::model::{Fence, Incarnation, InstanceName, InstanceRef};

/// How long a member that is gone stays in the view. Entries look up the sidecars of claims in the
/// view, so this is not shorter than the retention period of claims.
pub const GONE_RETENTION_MS: u64 = 600_000;

/// How long the replaced incarnations of an instance that left the view are remembered.
pub const RETIRED_RETENTION_MS: u64 = 24 * 3_600_000;

/// The maximum number of replaced incarnations that are remembered per instance.
pub const MAX_RETIRED_PER_INSTANCE: usize = 64;

#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
struct InstanceRecord {
    /// When the current incarnation registered.
    registered_at_ms: u64,
    /// When the current incarnation was marked as gone; `None` while it is not gone.
    gone_at_ms: Option<u64>,
    /// Sequence number of the last report of upstreams; 0 before the first.
    #[serde(rename = "reported")]
    last_report: u64,
    /// Former incarnations, oldest first.
    retired: Vec<Incarnation>,
}

impl InstanceRecord {
    fn retire(&mut self, incarnation: Incarnation) {
        if self.retired.len() >= MAX_RETIRED_PER_INSTANCE {
            self.retired.remove(0);
        }
        self.retired.push(incarnation);
    }
}

/// The replicated member data that is not part of the view.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registry {
    #[serde(rename = "lives")]
    records: BTreeMap<InstanceName, InstanceRecord>,
    /// The first registration of an entry since the cluster was created.
    first_entry: Option<Fence>,
}

impl Registry {
    /// Returns when the current incarnation of an instance registered.
    pub fn registered_at_ms(&self, name: &InstanceName) -> Option<u64> {
        self.records.get(name).map(|record| record.registered_at_ms)
    }

    /// Returns the first registration of an entry since the cluster was created. A leader whose
    /// term began before it knows that no earlier leader has granted slots.
    pub fn first_entry(&self) -> Option<Fence> {
        self.first_entry
    }

    /// Registers an incarnation. A new incarnation replaces the current one, which cannot register
    /// again.
    pub fn register(
        &mut self,
        members: &Members,
        member: &Member,
        index: u64,
        now_ms: u64,
    ) -> (RegisterAnswer, Vec<ViewChange>) {
        let record = self.records.entry(member.name.clone()).or_default();
        if record.retired.contains(&member.incarnation) {
            return (RegisterAnswer::Replaced, Vec::new());
        }
        match members.members.get(&member.name) {
            Some(old) if old.incarnation == member.incarnation && old.phase == Phase::Gone => {
                return (RegisterAnswer::Replaced, Vec::new());
            }
            Some(old) if old.incarnation == member.incarnation => {
                return (RegisterAnswer::Registered(old.fence), Vec::new());
            }
            Some(old) => record.retire(old.incarnation),
            None => {}
        }
        record.registered_at_ms = now_ms;
        record.last_report = 0;
        record.gone_at_ms = (member.phase == Phase::Gone).then_some(now_ms);
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
        let Some(member) = current_member(members, instance).filter(|member| member.phase < phase)
        else {
            return Vec::new();
        };
        if phase == Phase::Gone {
            let record = self.records.entry(instance.name.clone()).or_default();
            record.gone_at_ms = Some(now_ms);
        }
        let mut member = member.clone();
        member.phase = phase;
        vec![ViewChange::SetMember(member)]
    }

    /// Replaces the upstreams of an incarnation that is not gone, unless a report with the same or
    /// a higher sequence number has been applied.
    pub fn set_upstreams(
        &mut self,
        members: &Members,
        instance: &InstanceRef,
        sequence: u64,
        upstreams: &[UpstreamInfo],
    ) -> Vec<ViewChange> {
        let Some(member) =
            current_member(members, instance).filter(|member| member.phase != Phase::Gone)
        else {
            return Vec::new();
        };
        let record = self.records.entry(instance.name.clone()).or_default();
        if sequence <= record.last_report {
            return Vec::new();
        }
        record.last_report = sequence;
        if member.upstreams == upstreams {
            return Vec::new();
        }
        let mut member = member.clone();
        member.upstreams = upstreams.to_vec();
        vec![ViewChange::SetMember(member)]
    }

    /// Removes members that have been gone for `GONE_RETENTION_MS` from the view, and deletes the
    /// records of instances that have been gone for `RETIRED_RETENTION_MS`.
    pub fn prune(&mut self, members: &Members, now_ms: u64) -> Vec<ViewChange> {
        let mut changes = Vec::new();
        self.records.retain(|name, record| {
            let Some(gone_at_ms) = record.gone_at_ms else {
                return true;
            };
            if let Some(member) = members.members.get(name) {
                if gone_at_ms.saturating_add(GONE_RETENTION_MS) <= now_ms {
                    record.retire(member.incarnation);
                    changes.push(ViewChange::RemoveMember(name.clone()));
                }
                return true;
            }
            gone_at_ms.saturating_add(RETIRED_RETENTION_MS) > now_ms
        });
        changes
    }
}

/// Returns the member if this incarnation of it is the current one.
fn current_member<'a>(members: &'a Members, instance: &InstanceRef) -> Option<&'a Member> {
    members
        .members
        .get(&instance.name)
        .filter(|member| member.incarnation == instance.incarnation)
}
