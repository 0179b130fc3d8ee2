//! Permits to load model weights from the weight store, granted by the control leader.

use std::sync::{Mutex, PoisonError};

use super::Leadership;
use crate::adapters::clock::monotonic_ms;
use crate::domain::orders::{LoadPermitRequest, PermitAnswer, PermitBroker};
use crate::domain::state::View;
use crate::domain::table::{Row, RowKey};
use crate::rpc::Stamp;
use crate::rpc::control::{ControlError, PermitReply, PermitRequest};

/// The row that limits concurrent loads in the whole fleet.
pub const LOADS_LIMIT: &str = "weight_store_loads";
/// Limit on concurrent loads if the table has no such row.
const DEFAULT_MAX_LOADS: usize = 4;

/// The permit broker, recreated for each term in which this instance leads.
#[derive(Default)]
pub struct Permits {
    term: Mutex<Option<(u64, PermitBroker)>>,
}

impl Permits {
    /// Answers a sidecar's request. Fails with `NotLeader` if this instance does not lead.
    pub fn answer(
        &self,
        leadership: Leadership,
        view: &View,
        stamp: Stamp,
        request: &PermitRequest,
    ) -> Result<PermitReply, ControlError> {
        if !leadership.leads {
            return Err(ControlError::NotLeader {
                leader: leadership.leader,
            });
        }
        let now_ms = monotonic_ms();
        let mut term = self.term.lock().unwrap_or_else(PoisonError::into_inner);
        if term
            .as_ref()
            .is_none_or(|(term, _)| *term != leadership.term)
        {
            *term = Some((leadership.term, PermitBroker::new(max_loads(view), now_ms)));
        }
        let Some((_, broker)) = term.as_mut() else {
            return Err(ControlError::Stopped);
        };
        broker.set_max_loads(max_loads(view));
        let instance = &request.stamp.sender.name;
        if request.done {
            broker.release(instance, &request.upstream, request.fence);
            return Ok(PermitReply::Granted { stamp, lease_ms: 0 });
        }
        let load_request = LoadPermitRequest {
            instance: instance.clone(),
            fence: request.fence,
            upstream: request.upstream.clone(),
            model: request.model.clone(),
            recovery: request.recovery,
            held: request.held,
        };
        Ok(match broker.request(&load_request, &view.members, now_ms) {
            PermitAnswer::Granted { lease_ms } => PermitReply::Granted { stamp, lease_ms },
            PermitAnswer::Wait { retry_after_ms } => PermitReply::Wait {
                stamp,
                retry_after_ms,
            },
            PermitAnswer::Fenced { current } => PermitReply::Fenced { stamp, current },
        })
    }
}

fn max_loads(view: &View) -> usize {
    match view.table.rows.get(&RowKey::Limit(LOADS_LIMIT.to_owned())) {
        Some((_, Row::Limit(row))) => usize::try_from(row.value).unwrap_or(usize::MAX),
        _ => DEFAULT_MAX_LOADS,
    }
}
