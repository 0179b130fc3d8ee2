//! Live migration of a running generation from an engine that is shutting down to another engine.
//!
//! The KV cache is copied while the generation continues. Shortly before the source engine is gone,
//! the generation is stopped and only the new part of the cache is copied, so that the caller sees
//! only a short pause.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use http::StatusCode;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

use super::Gateway;
use super::ticket::Ticket;
use crate::adapters::clock::monotonic_ms;
use crate::domain::document::EngineSpec;
use crate::domain::fleet::{ChosenInstance, Demand, EngineQuery, PlacementRequest};
use crate::platform::{CallFailure, MoveFailure, move_generation};
use crate::rpc::directory::TurnRequest;

/// If control schedules no turn for the copy, the generation is stopped this long before its engine
/// is gone. The margin lets the engine serve the final copies of all entries one after the other.
const STOP_MARGIN_MS: u64 = 350;
/// Timeout of the call that asks control for a turn.
const TURN_TIMEOUT: Duration = Duration::from_millis(150);
/// Fixed part of the duration of a copy, besides the transfer: the calls and the engine's own work.
const COPY_SETUP_MS: u64 = 10;
/// Timeout of one copy.
const COPY_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Number of engines tried as the target of a copy.
const MAX_TARGETS: usize = 3;
/// Number of engines offered to control as possible targets of a copy.
const MAX_CANDIDATES: usize = 5;
/// Delay before a copy call is retried after the engine answered 409 (Conflict) because another
/// call is in progress.
const BUSY_RETRY_DELAY: Duration = Duration::from_millis(40);
/// Number of such retries.
const MAX_BUSY_RETRIES: usize = 10;
/// Number of times that the call that stops the generation is repeated if it gets no response.
const MAX_STOP_REPEATS: usize = 1;
/// Delay before the next search for a target after no engine had capacity.
const NO_TARGET_RETRY_DELAY: Duration = Duration::from_millis(80);
/// Delay before a denied turn is requested again: another entry may have given its turn back.
const DENIED_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Time in which a target is searched for if it is not known when the engine will be gone. Draining
/// engines keep running for at least 3 s.
const DEFAULT_NOTICE_MS: u64 = 2_500;

/// Describes the generation to be migrated.
pub(super) struct MigrationPlan {
    pub(super) request_id: Arc<str>,
    pub(super) service: Arc<str>,
    pub(super) from: SocketAddr,
    pub(super) from_identity: Arc<str>,
    pub(super) demand: Demand,
    /// Tokens in the KV cache, all of which have to be copied.
    pub(super) held_tokens: u64,
    pub(super) engine: EngineSpec,
    /// Monotonic time at which the source engine will be gone; `None` if unknown.
    pub(super) gone_at_ms: Option<u64>,
}

impl MigrationPlan {
    /// Returns the demand at the target: the tokens held now as prompt, the expected rest as
    /// output.
    fn remaining_demand(&self) -> Demand {
        Demand {
            prompt_tokens: self.held_tokens,
            output_tokens: self.demand.total_tokens().saturating_sub(self.held_tokens),
            gap_target_ms: self.demand.gap_target_ms,
        }
    }
}

/// A generation that the source engine has stopped. It keeps the KV cache.
pub(super) struct StoppedGeneration {
    /// Engine that holds a whole copy; `None` if the last part could not be copied.
    pub(super) target: Option<Ticket>,
    /// Name of the KV cache and of its copy at the source engine.
    pub(super) handle: Arc<str>,
}

/// A migration in progress. Dropping it cancels the migration.
pub(super) struct Migration {
    task: Option<JoinHandle<Option<StoppedGeneration>>>,
    stop_requested: Arc<AtomicBool>,
}

impl Drop for Migration {
    fn drop(&mut self) {
        if let Some(task) = &self.task {
            task.abort();
        }
    }
}

impl Migration {
    /// Starts a migration in a background task.
    pub(super) fn begin(gateway: Arc<Gateway>, plan: MigrationPlan) -> Self {
        let stop_requested = Arc::new(AtomicBool::new(false));
        let asked = Arc::clone(&stop_requested);
        let task = tokio::spawn(async move {
            let moved = migrate(&gateway, &plan, &asked).await;
            let is_copied = moved.as_ref().is_some_and(|moved| moved.target.is_some());
            let outcome = if is_copied { "copied" } else { "failed" };
            gateway.metrics.count_move(outcome);
            moved
        });
        Self {
            task: Some(task),
            stop_requested,
        }
    }

    /// Returns true once the source engine may have stopped the generation.
    pub(super) fn stop_was_requested(&self) -> bool {
        self.stop_requested.load(Ordering::Relaxed)
    }

    /// Waits for the migration to complete. Returns `None` if it failed and it is not known that
    /// the source engine has stopped the generation.
    pub(super) async fn finish(mut self) -> Option<StoppedGeneration> {
        let task = self.task.take()?;
        task.await.ok().flatten()
    }
}

async fn migrate(
    gateway: &Arc<Gateway>,
    plan: &MigrationPlan,
    stop_requested: &AtomicBool,
) -> Option<StoppedGeneration> {
    let begun_ms = monotonic_ms();
    let (ticket, copied_ms) = loop {
        let (ticket, stop_at_ms) = pre_copy(gateway, plan).await?;
        let copied_ms = monotonic_ms();
        // Nothing may resume in an evacuated zone, so the generation is copied to another target.
        if !gateway
            .is_evacuated_before(&ticket.identity, stop_at_ms)
            .await
        {
            break (ticket, copied_ms);
        }
        tracing::info!(
            request = &*plan.request_id,
            from = &*plan.from_identity,
            to = &*ticket.identity,
            "the zone of the target is evacuated; the generation needs another one"
        );
    };
    if !gateway
        .wait_until_unpaused(&plan.from_identity, COPY_TIMEOUT)
        .await
    {
        return None;
    }
    stop_requested.store(true, Ordering::Relaxed);
    let stopped = stop_and_copy(plan, ticket.address).await;
    tracing::info!(
        request = &*plan.request_id,
        from = &*plan.from_identity,
        to = &*ticket.identity,
        gone_in_ms = plan.gone_at_ms.map(|at| at.saturating_sub(begun_ms)),
        copy_ms = copied_ms.saturating_sub(begun_ms),
        total_ms = monotonic_ms().saturating_sub(begun_ms),
        error = stopped.as_ref().err().map(ToString::to_string),
        "generation moved"
    );
    match stopped {
        Ok(handle) => Some(StoppedGeneration {
            target: Some(ticket),
            handle,
        }),
        Err(MoveFailure { cause, handle }) => {
            if let CallFailure::AskedForTime(asked) = cause {
                gateway.pause_instance(&plan.from_identity, asked);
            }
            let target = None;
            handle.map(|handle| StoppedGeneration { target, handle })
        }
    }
}

/// Stops the generation and copies the rest of its KV cache. A call without a response is repeated,
/// since the engine may have stopped the generation and then names the handle again.
pub(super) async fn stop_and_copy(
    plan: &MigrationPlan,
    target: SocketAddr,
) -> Result<Arc<str>, MoveFailure> {
    let mut repeats = 0;
    loop {
        match request_copy(plan, target, true).await {
            Err(failure)
                if matches!(failure.cause, CallFailure::Failed(_))
                    && repeats < MAX_STOP_REPEATS =>
            {
                tracing::info!(request = &*plan.request_id, from = &*plan.from_identity,
                    %failure, "no response to the call that stops the generation");
                repeats += 1;
            }
            result => return result,
        }
    }
}

/// Copies the KV cache while the generation continues. Returns the engine that holds the copy and
/// the monotonic time at which the generation is to be stopped; `None` if no copy was made.
async fn pre_copy(gateway: &Arc<Gateway>, plan: &MigrationPlan) -> Option<(Ticket, u64)> {
    let mut excluded = vec![Arc::clone(&plan.from_identity)];
    let last_try_ms = plan
        .gone_at_ms
        .unwrap_or(monotonic_ms() + DEFAULT_NOTICE_MS);
    let mut denied: u32 = 0;
    while excluded.len() <= MAX_TARGETS && monotonic_ms() + STOP_MARGIN_MS < last_try_ms {
        let (placement, mut targets) = gateway.with_view(|view| {
            let query = EngineQuery {
                service: &plan.service,
                demand: plan.remaining_demand(),
                engine: plan.engine,
                excluded: &excluded,
                read_within_ms: None,
                now_ms: monotonic_ms(),
                random: rand::random(),
            };
            view.targets(&query, &plan.from_identity, &gateway.name, MAX_CANDIDATES)
        });
        if targets.is_empty() {
            sleep(NO_TARGET_RETRY_DELAY).await;
            continue;
        }
        let (chosen, stop_at_ms) = match gateway.request_turn(plan, placement, &targets).await {
            CopyTurn::Granted {
                target,
                copy_at_ms,
                stop_at_ms,
            } => {
                let chosen = targets.swap_remove(target);
                if gateway.departs_before(&chosen.identity, copy_at_ms).await {
                    excluded.push(Arc::clone(&chosen.identity));
                    continue;
                }
                (chosen, stop_at_ms)
            }
            CopyTurn::Unavailable => {
                let gone_at_ms = plan.gone_at_ms.unwrap_or_default();
                (
                    targets.swap_remove(0),
                    gone_at_ms.saturating_sub(STOP_MARGIN_MS),
                )
            }
            CopyTurn::Denied => {
                denied += 1;
                sleep(DENIED_RETRY_DELAY).await;
                continue;
            }
        };
        excluded.push(Arc::clone(&chosen.identity));
        if !gateway
            .wait_until_unpaused(&plan.from_identity, COPY_TIMEOUT)
            .await
        {
            break;
        }
        let mut ticket = Ticket::begin(gateway, chosen, Some(plan.demand));
        ticket.mark_prompt_read();
        match request_copy(plan, ticket.address, false).await {
            Ok(_) => return Some((ticket, stop_at_ms)),
            Err(error) => {
                tracing::info!(request = &*plan.request_id, from = &*plan.from_identity,
                    to = &*ticket.identity, %error, "KV cache copy failed");
                match error.cause {
                    CallFailure::Status(StatusCode::SERVICE_UNAVAILABLE) => {}
                    CallFailure::AskedForTime(asked) => {
                        gateway.pause_instance(&plan.from_identity, asked);
                    }
                    _ => return None,
                }
            }
        }
    }
    tracing::info!(
        request = &*plan.request_id,
        from = &*plan.from_identity,
        excluded = excluded.len() - 1,
        denied,
        "migration abandoned"
    );
    None
}

/// Reply of control to a request for a copy turn: whether and when the copy may start.
enum CopyTurn {
    Granted {
        /// Index into the offered targets.
        target: usize,
        copy_at_ms: u64,
        stop_at_ms: u64,
    },
    /// The copy could not finish before the source engine is gone.
    Denied,
    /// Control does not answer, or named a target that was not offered.
    Unavailable,
}

impl Gateway {
    /// Waits until `at_ms`. Returns true as soon as the engine is known to be leaving or its zone is
    /// evacuated, else false at that time. The platform reclaims several engines at once, and their notices arrive at
    /// different times.
    async fn departs_before(&self, identity: &Arc<str>, at_ms: u64) -> bool {
        let mut changes = self.departure_changes.subscribe();
        loop {
            let takes_nothing = self
                .with_view(|view| view.leaving(identity).is_some() || view.is_evacuated(identity));
            if takes_nothing {
                return true;
            }
            let wait_ms = at_ms.saturating_sub(monotonic_ms());
            if timeout(Duration::from_millis(wait_ms), changes.changed())
                .await
                .is_err()
            {
                return false;
            }
        }
    }

    /// Waits until `at_ms`. Returns true as soon as the zone of the engine is evacuated, else false
    /// at that time.
    async fn is_evacuated_before(&self, identity: &Arc<str>, at_ms: u64) -> bool {
        let mut evacuations = self.evacuations.subscribe();
        let evacuated = async {
            // Cannot fail: the gateway keeps the sender.
            while !self.is_evacuated(identity) && evacuations.changed().await.is_ok() {}
        };
        let wait_ms = at_ms.saturating_sub(monotonic_ms());
        // An order that is known already counts also if there is no time left.
        let _ = timeout(Duration::from_millis(wait_ms), evacuated).await;
        self.is_evacuated(identity)
    }

    /// Asks control for a turn to copy to one of the targets. Turns serialize copies that share the
    /// network link of an engine.
    async fn request_turn(
        &self,
        plan: &MigrationPlan,
        placement: PlacementRequest,
        targets: &[ChosenInstance],
    ) -> CopyTurn {
        let Some(link) = self.control_link() else {
            return CopyTurn::Unavailable;
        };
        let asked_ms = monotonic_ms();
        let request = TurnRequest {
            request: Arc::clone(&plan.request_id),
            source: plan.from,
            demand: plan.demand,
            placement,
            takes_ms: targets
                .iter()
                .map(|target| estimated_copy_ms(plan, target.same_zone))
                .collect(),
            gone_in_ms: plan.gone_at_ms.map(|at_ms| at_ms.saturating_sub(asked_ms)),
        };
        let reply = link
            .call(TURN_TIMEOUT, |client, context| async move {
                client.turn(context, request).await
            })
            .await;
        match reply {
            Ok(Some(turn)) => {
                let mut offered = targets.iter();
                match offered.position(|target| target.address == turn.target) {
                    Some(target) => CopyTurn::Granted {
                        target,
                        copy_at_ms: asked_ms + turn.copy_in_ms,
                        stop_at_ms: asked_ms + turn.stop_in_ms,
                    },
                    None => CopyTurn::Unavailable,
                }
            }
            Ok(None) => CopyTurn::Denied,
            Err(error) => {
                tracing::info!(request = &*plan.request_id, %error,
                    "control did not schedule a turn for the copy");
                CopyTurn::Unavailable
            }
        }
    }
}

/// Returns how long a copy is expected to occupy the network links of both engines.
fn estimated_copy_ms(plan: &MigrationPlan, same_zone: bool) -> u64 {
    let bits = plan.held_tokens * plan.engine.bytes_per_token * 8;
    let bits_per_ms = (plan.engine.link_mbps * 1_000).max(1);
    // A copy between zones takes twice as long.
    (bits / bits_per_ms + COPY_SETUP_MS) * if same_zone { 1 } else { 2 }
}

async fn request_copy(
    plan: &MigrationPlan,
    target: SocketAddr,
    stop: bool,
) -> Result<Arc<str>, MoveFailure> {
    let mut busy = 0;
    loop {
        let reply = move_generation(plan.from, &plan.request_id, target, stop, COPY_TIMEOUT).await;
        match reply {
            Err(MoveFailure {
                cause: CallFailure::Status(StatusCode::CONFLICT),
                ..
            }) if busy < MAX_BUSY_RETRIES => busy += 1,
            reply => return reply,
        }
        sleep(BUSY_RETRY_DELAY).await;
    }
}
