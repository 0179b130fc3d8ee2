//! The slot broker, which runs on the control instance that leads with a valid lease.

use std::sync::{Mutex, PoisonError};

use super::Leadership;
use crate::adapters::clock::monotonic_ms;
use crate::adapters::telemetry::invariant;
use crate::domain::members::{Members, Phase, Role};
use crate::domain::room::{Broker, EntryMember, RoomKey, RoomTimes, Violation};
use crate::domain::state::View;
use crate::model::{Fence, InstanceRef};
use crate::rpc::Stamp;
use crate::rpc::control::{ControlError, RoomReply, RoomRequest};

/// The slot broker, recreated for each term in which this instance leads.
#[derive(Default)]
pub struct RoomBroker {
    times: RoomTimes,
    term: Mutex<Option<(u64, Broker)>>,
}

impl RoomBroker {
    /// Answers a slot holder's request. `view` must have been confirmed as current in the leader's
    /// term. `first_entry` is the first registration of an entry since the cluster was formed, or
    /// `None` if there was none.
    pub fn answer(
        &self,
        leadership: Leadership,
        first_entry: Option<Fence>,
        view: &View,
        stamp: Stamp,
        request: &RoomRequest,
    ) -> Result<RoomReply, ControlError> {
        let now_ms = monotonic_ms();
        let mut term = self.term.lock().unwrap_or_else(PoisonError::into_inner);
        if !leadership.leads {
            return Err(ControlError::NotLeader {
                leader: leadership.leader,
            });
        }
        if term
            .as_ref()
            .is_none_or(|(term, _)| *term != leadership.term)
        {
            *term = Some((
                leadership.term,
                Broker::new(self.times_for_term(leadership, first_entry), now_ms),
            ));
        }
        let Some((_, broker)) = term.as_mut() else {
            return Err(ControlError::Stopped);
        };
        let limit = |row: &RoomKey| row.limit(&view.table);
        let answer = broker
            .answer(request, &entries(&view.members), limit, now_ms)
            .map_err(|refusal| ControlError::Invalid {
                reason: refusal.to_string(),
            })?;
        answer.violations.iter().for_each(report_violation);
        Ok(RoomReply {
            stamp,
            sequence: request.sequence,
            grants: answer.grants,
            adopted: answer.adopted,
            lease_ms: self.times.lease_ms,
        })
    }
}

impl RoomBroker {
    /// Returns the times for a broker of this term. The grace period is skipped if no entry had
    /// registered before the term, since no earlier leader's grants can then be in use.
    fn times_for_term(&self, leadership: Leadership, first_entry: Option<Fence>) -> RoomTimes {
        let began = leadership.term_first_index.unwrap_or_default();
        match first_entry {
            Some(fence) if fence.0 < began => self.times,
            _ => RoomTimes {
                grace_ms: 0,
                ..self.times
            },
        }
    }
}

/// Returns the members that have the entry role.
fn entries(members: &Members) -> Vec<EntryMember> {
    let entries = members.members.values();
    entries
        .filter(|member| member.roles.contains(&Role::Entry))
        .map(|member| EntryMember {
            instance: InstanceRef {
                name: member.name.clone(),
                incarnation: member.incarnation,
            },
            gone: member.phase == Phase::Gone,
        })
        .collect()
}

fn report_violation(violation: &Violation) {
    let name = match violation {
        Violation::GrantsAboveRow { .. } => "room_grants_within_row",
        Violation::UsedAboveGranted { .. } => "room_used_within_granted",
    };
    invariant(false, name, || format!("{violation:?}"));
}
