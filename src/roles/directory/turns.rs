//! Schedules the copies of generations whose engine is leaving. Calls that arrive at about the same
//! time are collected and sorted, so that copies with the most value for their time on the link
//! come first.

use std::net::SocketAddr;
use std::sync::{Arc, PoisonError};
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::sleep;

use super::DirectoryRole;
use crate::adapters::clock::monotonic_ms;
use crate::domain::fleet::{CopyPlan, Target, sort_by_worth};
use crate::rpc::directory::{TurnReply, TurnRequest};

/// Time for which calls are collected before they are answered. Entries of all zones learn within
/// 4 ms of each other that an engine is leaving, on the sites planned for; the shortest notice is
/// 1.5 s.
const COLLECT_WINDOW: Duration = Duration::from_millis(6);

/// A call that waits for its answer.
pub(super) struct PendingTurn {
    request: TurnRequest,
    reply: oneshot::Sender<Option<TurnReply>>,
}

impl DirectoryRole {
    /// Returns the target and time of a copy; `None` if it cannot end before the source is gone.
    pub(super) async fn turn(self: &Arc<Self>, request: TurnRequest) -> Option<TurnReply> {
        let (reply, answer) = oneshot::channel();
        if self.collect(PendingTurn { request, reply }) {
            let role = Arc::clone(self);
            tokio::spawn(async move {
                sleep(COLLECT_WINDOW).await;
                role.answer_turns();
            });
        }
        answer.await.ok().flatten()
    }

    /// Adds a call to the current batch; returns true if it is the first one.
    fn collect(&self, call: PendingTurn) -> bool {
        let mut pending = self
            .pending_turns
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        pending.push(call);
        pending.len() == 1
    }

    fn answer_turns(&self) {
        let mut pending = std::mem::take(
            &mut *self
                .pending_turns
                .lock()
                .unwrap_or_else(PoisonError::into_inner),
        );
        sort_by_worth(&mut pending, |turn| {
            let takes_ms = turn.request.takes_ms.iter().min();
            (turn.request.demand, takes_ms.copied().unwrap_or_default())
        });
        for PendingTurn { request, reply } in pending {
            // An entry that no longer waits would not use its turn.
            if !reply.is_closed() {
                let _ = reply.send(self.grant_turn(&request));
            }
        }
    }

    fn grant_turn(&self, request: &TurnRequest) -> Option<TurnReply> {
        let now_ms = monotonic_ms();
        let placement = &request.placement;
        let fitting = self.with_hub(|hub| hub.with_room(placement, now_ms));
        let target = |(at, address): &(usize, SocketAddr)| {
            let takes_ms = *request.takes_ms.get(*at)?;
            Some(Target {
                address: *address,
                takes_ms,
            })
        };
        let plan = CopyPlan {
            request: Arc::clone(&request.request),
            source: request.source,
            targets: fitting.iter().filter_map(target).collect(),
            gone_at_ms: request.gone_in_ms.map(|in_ms| now_ms + in_ms),
        };
        let turn = self
            .copy_schedule
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .grant(&plan, now_ms);
        let granted =
            |(_, address): &&(usize, SocketAddr)| turn.is_some_and(|turn| turn.target == *address);
        if let Some((at, _)) = fitting.iter().find(granted) {
            self.with_hub(|hub| hub.reserve(placement, *at, now_ms));
        }
        tracing::info!(
            request = &*request.request,
            source = %plan.source,
            candidates = placement.candidates.len(),
            with_room = plan.targets.len(),
            gone_in_ms = request.gone_in_ms,
            takes_ms = plan.targets.iter().map(|target| target.takes_ms).min(),
            target_address = turn.map(|turn| turn.target.to_string()),
            copy_in_ms = turn.map(|turn| turn.copy_at_ms.saturating_sub(now_ms)),
            "turn of a copy"
        );
        turn.map(|turn| TurnReply {
            target: turn.target,
            copy_in_ms: turn.copy_at_ms.saturating_sub(now_ms),
            stop_in_ms: turn.stop_at_ms.saturating_sub(now_ms),
        })
    }
}
