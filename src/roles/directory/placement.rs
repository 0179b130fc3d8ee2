//! Placement of generations on engines: at once if there is room, else from a queue.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::sync::{Arc, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::{sleep, timeout};

use super::DirectoryRole;
use crate::adapters::clock::monotonic_ms;
use crate::domain::overload::{PendingGeneration, PlacementDecision, PlacementQueue, RefusedCalls};
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
        let (first_ms, was_refused) = {
            let mut waiting = self.waiting();
            let was_refused = waiting.refused_calls.contains(call, now_ms);
            (
                waiting.refused_calls.first_ms(call, arrived_ms),
                was_refused,
            )
        };
        let pending = PendingGeneration {
            demand: request.placement.demand,
            priority: request.priority,
            workspace: Arc::clone(&request.workspace),
            since_ms: first_ms,
            in_time_until_ms: first_ms + request.in_time_ms,
            until_ms: now_ms + request.left_ms,
            is_known: was_refused || !request.is_first,
        };
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
            PlaceReply::Full(outlook) => {
                waiting.refused_calls.remember(call, first_ms, now_ms);
                self.placement_metrics.count_refusal(outlook.refused);
            }
            PlaceReply::AtLimit { .. } => {
                waiting.refused_calls.remember(call, first_ms, now_ms);
            }
            PlaceReply::At(_) => {
                waiting.refused_calls.forget(call);
                let wait_ms = monotonic_ms().saturating_sub(arrived_ms);
                self.placement_metrics.observe_wait(wait_ms);
            }
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
        let (reporting, expects_engines, running) = self.with_hub(|hub| {
            let expects_engines = hub.expects_engines(now_ms);
            (hub.reporting(), expects_engines, hub.running())
        });
        waiting.queue.expect(reporting);
        waiting.queue.set_fleet_running(running);
        if expects_engines {
            waiting.queue.expect_engines();
        }
        let placed = self.with_hub(|hub| {
            let place = |request: &_| hub.place(request, now_ms);
            waiting.queue.place_now(&placement, &pending, place, now_ms)
        });
        if let Some(at) = placed {
            return Err(PlaceReply::At(at));
        }
        if request.is_first {
            waiting.queue.record_arrival(&pending, now_ms);
            // A waiting generation asks repeatedly, but is counted once.
            self.count_held_back(&placement, now_ms);
        }
        let at_limit = self.with_hub(|hub| hub.limits_reached(&placement, now_ms));
        if let Some(reached) = at_limit {
            return Err(PlaceReply::AtLimit {
                return_in_ms: reached.return_in_ms,
            });
        }
        if request.hold_ms == 0 {
            let outlook = waiting.queue.outlook(&pending, now_ms);
            return Err(match outlook.refused {
                None => PlaceReply::Wait(outlook),
                Some(_) => PlaceReply::Full(waiting.queue.promise_return(outlook, now_ms)),
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
            let decisions = {
                let hub = RefCell::new(self.hub());
                let place = |request: &_| hub.borrow_mut().place(request, now_ms);
                let first_free = |request: &_| hub.borrow().first_free(request, now_ms);
                waiting.queue.set_fleet_running(hub.borrow().running());
                waiting.queue.serve(place, first_free, now_ms)
            };
            self.placement_metrics.set_waiting(&waiting.queue.waiting());
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
