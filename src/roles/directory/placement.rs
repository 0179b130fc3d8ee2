//! Placement of generations on engines: at once if there is room, else from a queue.

use std::collections::BTreeMap;
use std::sync::{Arc, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::{sleep, timeout};

use super::DirectoryRole;
use crate::adapters::clock::monotonic_ms;
use crate::domain::fleet::{PendingGeneration, PlacementDecision, PlacementQueue, RefusedCalls};
use crate::rpc::directory::{PlaceReply, PlaceRequest};

/// Time between attempts to place the generations in the queue. An attempt on each of the hundreds
/// of calls a second that change the loads would cost more, and 20 ms are a hundredth of the target
/// latencies.
const PLACEMENT_INTERVAL: Duration = Duration::from_millis(20);
/// Upper bound on the time for which a call is held while it waits for room.
const MAX_HOLD: Duration = Duration::from_secs(1);

/// The generations that wait for room, and the calls that await their placement.
#[derive(Default)]
pub(super) struct WaitingPlacements {
    queue: PlacementQueue,
    refused_calls: RefusedCalls,
    calls: BTreeMap<u64, oneshot::Sender<PlaceReply>>,
    /// True while a task places the generations in the queue.
    is_placing: bool,
}

/// Removes a generation from the queue when dropped.
struct QueueGuard<'a> {
    role: &'a DirectoryRole,
    id: u64,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        let mut waiting = self.role.waiting();
        waiting.queue.leave(self.id);
        waiting.calls.remove(&self.id);
    }
}

impl DirectoryRole {
    /// Returns the engine for a generation, or its outlook in the queue if there is no room.
    pub(super) async fn place(self: &Arc<Self>, request: PlaceRequest) -> PlaceReply {
        if !self.leads() {
            return PlaceReply::NotLeader;
        }
        let hold = Duration::from_millis(request.hold_ms).min(MAX_HOLD);
        let (call, now_ms) = (request.call, monotonic_ms());
        let arrived_ms = now_ms.saturating_sub(request.waited_ms);
        let first_ms = self.waiting().refused_calls.first_ms(call, arrived_ms);
        let pending = PendingGeneration::new(
            request.placement.demand,
            first_ms,
            request.in_time_ms,
            request.left_ms,
            now_ms,
        );
        let reply = match self.place_or_enqueue(request, pending, now_ms) {
            Err(reply) => reply,
            Ok((id, answer)) => {
                let _guard = QueueGuard { role: self, id };
                match timeout(hold, answer).await {
                    Ok(Ok(reply)) => reply,
                    // No room yet, or this instance no longer leads.
                    _ => PlaceReply::Ask,
                }
            }
        };
        let mut waiting = self.waiting();
        match reply {
            PlaceReply::Full(_) | PlaceReply::AtLimit { .. } => {
                waiting.refused_calls.remember(call, first_ms, now_ms);
            }
            PlaceReply::At(_) => waiting.refused_calls.forget(call),
            PlaceReply::Wait(_) | PlaceReply::Ask | PlaceReply::NotLeader => {}
        }
        reply
    }

    /// Places a generation that has nobody ahead of it in the queue, or adds it to the queue.
    /// Returns its id in the queue and the receiver of its answer, or the answer as an error if it
    /// does not wait.
    fn place_or_enqueue(
        self: &Arc<Self>,
        request: PlaceRequest,
        pending: PendingGeneration,
        now_ms: u64,
    ) -> Result<(u64, oneshot::Receiver<PlaceReply>), PlaceReply> {
        let placement = request.placement;
        let mut waiting = self.waiting();
        let (reporting, expects_engines) =
            self.with_hub(|hub| (hub.reporting(), hub.expects_engines(now_ms)));
        waiting.queue.expect(reporting);
        if expects_engines {
            waiting.queue.expect_engines();
        }
        let outlook = waiting.queue.outlook(pending);
        if outlook.ahead == 0
            && let Some(at) = self.with_hub(|hub| hub.place(&placement, now_ms))
        {
            return Err(PlaceReply::At(at));
        }
        if request.hold_ms == 0 {
            // An entry asks once without waiting, and then repeatedly.
            self.count_held_back(&placement, now_ms);
        }
        let at_limit = self.with_hub(|hub| hub.limits_reached(&placement, now_ms));
        if let Some(reached) = at_limit {
            return Err(PlaceReply::AtLimit {
                return_in_ms: reached.return_in_ms,
            });
        }
        if request.hold_ms == 0 {
            return Err(match outlook.can_be_placed_within(request.left_ms) {
                true => PlaceReply::Wait(outlook),
                false => PlaceReply::Full(outlook),
            });
        }
        let id = waiting
            .queue
            .join(placement, pending, now_ms)
            .map_err(PlaceReply::Full)?;
        let (call, answer) = oneshot::channel();
        waiting.calls.insert(id, call);
        if !std::mem::replace(&mut waiting.is_placing, true) {
            tokio::spawn(Arc::clone(self).place_waiting());
        }
        Ok((id, answer))
    }

    /// Places the generations in the queue until it is empty.
    async fn place_waiting(self: Arc<Self>) {
        loop {
            sleep(PLACEMENT_INTERVAL).await;
            let now_ms = monotonic_ms();
            let mut waiting = self.waiting();
            if !self.leads() {
                // The entries of the waiting generations then ask the new leader.
                waiting.calls.clear();
                waiting.queue.clear();
            }
            let decisions = self.with_hub(|hub| {
                let place = |request: &_| hub.place(request, now_ms);
                waiting.queue.serve(place, now_ms)
            });
            for (id, decision) in decisions {
                let reply = match decision {
                    PlacementDecision::Placed(at) => PlaceReply::At(at),
                    PlacementDecision::Refused(outlook) => PlaceReply::Full(outlook),
                };
                if let Some(call) = waiting.calls.remove(&id) {
                    // The reservation for a call that was abandoned expires by itself.
                    let _ = call.send(reply);
                }
            }
            if waiting.queue.is_empty() {
                waiting.is_placing = false;
                return;
            }
        }
    }

    fn waiting(&self) -> MutexGuard<'_, WaitingPlacements> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
