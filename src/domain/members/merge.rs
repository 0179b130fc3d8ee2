//! Merges the members with the platform's list of instances.

use std::collections::BTreeMap;

use super::{Member, Members, Phase, Registry};
use crate::domain::state::Command;
use crate::model::{InstanceName, InstanceRef};

/// The tolerated offset between the platform's clock and ours. An instance that registered less
/// than this before the list was made is not taken for gone; a later list removes it.
pub const MAX_CLOCK_OFFSET_MS: u64 = 60_000;

/// The status of an instance in the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlatformInstance {
    Live,
    Leaving,
}

/// The platform's list of instances. It lags behind: it shows the fleet as it was at `made_at_ms`.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PlatformList {
    pub made_at_ms: u64,
    pub instances: BTreeMap<InstanceName, PlatformInstance>,
}

/// Returns the commands that bring the members in line with the platform's list.
///
/// A member is leaving if either the members or the list say so. An instance that the list does not
/// name is gone, unless it registered after the list was made. Phases are never lowered.
pub fn merge(
    members: &Members,
    registry: &Registry,
    list: &PlatformList,
    now_ms: u64,
) -> Vec<Command> {
    let phase_of = |member: &Member| {
        let registered_at_ms = registry.registered_at_ms(&member.name).unwrap_or(now_ms);
        match list.instances.get(&member.name) {
            None if registered_at_ms.saturating_add(MAX_CLOCK_OFFSET_MS) < list.made_at_ms => {
                Phase::Gone
            }
            Some(PlatformInstance::Leaving) if registered_at_ms < list.made_at_ms => Phase::Leaving,
            _ => Phase::Live,
        }
    };
    let raised = members
        .members
        .values()
        .map(|member| (member, phase_of(member)))
        .filter(|(member, phase)| member.phase < *phase);
    raised
        .map(|(member, phase)| Command::SetPhase {
            instance: InstanceRef {
                name: member.name.clone(),
                incarnation: member.incarnation,
            },
            phase,
            now_ms,
        })
        .collect()
}
