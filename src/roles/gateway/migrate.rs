//! Moves a running generation from an engine that leaves to another one.
//!
//! The memory is copied while the generation goes on. Shortly before the engine is gone the
//! generation is stopped and only what is new is copied, so that the caller sees a short pause.

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
use crate::domain::fleet::{Ask, Demand, Placed, PlacementRequest};
use crate::platform::{CallFailure, move_generation};
use crate::rpc::directory::TurnRequest;

/// Without a turn from control, the generation is stopped this long before its engine is gone:
/// time for the calls of all entries, one after the other, to copy what is new.
const STOP_MARGIN_MS: u64 = 350;
/// Upper bound on the time to ask control for a turn.
const TURN_TIMEOUT: Duration = Duration::from_millis(150);
/// Time of a copy besides the transfer: the calls and the engine's own work.
const COPY_SETUP_MS: u64 = 10;
/// Upper bound on the time of one copy.
const COPY_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Engines tried as the target of a copy.
const MAX_TARGETS: usize = 3;
/// Engines that control may choose the target of a copy from.
const MAX_CANDIDATES: usize = 5;
/// Pause before a call is repeated while another one is in progress.
const BUSY_RETRY_DELAY: Duration = Duration::from_millis(40);
const MAX_BUSY_RETRIES: usize = 10;
/// Pause before a target is looked for again after none had room.
const NO_TARGET_RETRY_DELAY: Duration = Duration::from_millis(80);
/// Pause before a turn is asked for again after it was denied: others may have given theirs back.
const DENIED_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Time in which a target is looked for if nobody knows when the engine will be gone; engines that
/// drain go on for at least 3 s.
const DEFAULT_NOTICE_MS: u64 = 2_500;

/// What is moved.
pub(super) struct MigrationPlan {
    pub(super) request_id: Arc<str>,
    pub(super) service: Arc<str>,
    pub(super) from: SocketAddr,
    pub(super) from_identity: Arc<str>,
    pub(super) demand: Demand,
    /// Tokens that have to be copied.
    pub(super) held_tokens: u64,
    pub(super) engine: EngineSpec,
    pub(super) gone_at_ms: Option<u64>,
}

impl MigrationPlan {
    /// Returns what the generation holds now, and what it is expected to add.
    fn remaining_demand(&self) -> Demand {
        Demand {
            prompt_tokens: self.held_tokens,
            output_tokens: self.demand.total_tokens().saturating_sub(self.held_tokens),
        }
    }
}

/// A finished move: the generation has stopped, and its memory is at the ticket's engine.
pub(super) struct CompletedMove {
    pub(super) ticket: Ticket,
    pub(super) from: SocketAddr,
    pub(super) handle: Arc<str>,
}

/// A move in progress; dropping it gives it up.
pub(super) struct Migration {
    task: Option<JoinHandle<Option<CompletedMove>>>,
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
    /// Begins a move in the background.
    pub(super) fn begin(gateway: Arc<Gateway>, plan: MigrationPlan) -> Self {
        let stop_requested = Arc::new(AtomicBool::new(false));
        let asked = Arc::clone(&stop_requested);
        let task = tokio::spawn(async move {
            let moved = migrate(&gateway, &plan, &asked).await;
            gateway
                .metrics
                .count_move(if moved.is_some() { "copied" } else { "failed" });
            moved
        });
        Self {
            task: Some(task),
            stop_requested,
        }
    }

    /// Returns true once the engine may have stopped the generation.
    pub(super) fn stop_was_requested(&self) -> bool {
        self.stop_requested.load(Ordering::Relaxed)
    }

    /// Returns the finished move, or none if it failed.
    pub(super) async fn finish(mut self) -> Option<CompletedMove> {
        let task = self.task.take()?;
        task.await.ok().flatten()
    }
}

async fn migrate(
    gateway: &Arc<Gateway>,
    plan: &MigrationPlan,
    stop_requested: &AtomicBool,
) -> Option<CompletedMove> {
    let begun_ms = monotonic_ms();
    let (ticket, stop_at_ms) = pre_copy(gateway, plan).await?;
    let copied_ms = monotonic_ms();
    sleep(Duration::from_millis(stop_at_ms.saturating_sub(copied_ms))).await;
    if !gateway
        .wait_until_unpaused(&plan.from_identity, COPY_TIMEOUT)
        .await
    {
        return None;
    }
    stop_requested.store(true, Ordering::Relaxed);
    let stopped = request_copy(plan, ticket.address, true).await;
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
    let handle = stopped.ok()?;
    Some(CompletedMove {
        ticket,
        from: plan.from,
        handle,
    })
}

/// Copies the memory while the generation goes on. Returns the engine that holds the copy, and when
/// the generation is to be stopped.
async fn pre_copy(gateway: &Arc<Gateway>, plan: &MigrationPlan) -> Option<(Ticket, u64)> {
    let mut excluded = vec![Arc::clone(&plan.from_identity)];
    let last_try_ms = plan
        .gone_at_ms
        .unwrap_or(monotonic_ms() + DEFAULT_NOTICE_MS);
    let mut denied: u32 = 0;
    while excluded.len() <= MAX_TARGETS && monotonic_ms() + STOP_MARGIN_MS < last_try_ms {
        let (placement, mut targets) = gateway.with_view(|view| {
            let ask = Ask {
                service: &plan.service,
                demand: plan.remaining_demand(),
                engine: plan.engine,
                excluded: &excluded,
                read_within_ms: None,
                now_ms: monotonic_ms(),
                random: rand::random(),
            };
            view.targets(&ask, &plan.from_identity, &gateway.name, MAX_CANDIDATES)
        });
        if targets.is_empty() {
            sleep(NO_TARGET_RETRY_DELAY).await;
            continue;
        }
        let (placed, stop_at_ms) = match gateway.request_turn(plan, placement, &targets).await {
            CopyTurn::Granted {
                target,
                copy_at_ms,
                stop_at_ms,
            } => {
                let placed = targets.swap_remove(target);
                if gateway.departs_before(&placed.identity, copy_at_ms).await {
                    excluded.push(Arc::clone(&placed.identity));
                    continue;
                }
                (placed, stop_at_ms)
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
        excluded.push(Arc::clone(&placed.identity));
        if !gateway
            .wait_until_unpaused(&plan.from_identity, COPY_TIMEOUT)
            .await
        {
            break;
        }
        let mut ticket = Ticket::begin(gateway, placed, Some(plan.demand));
        ticket.mark_prompt_read();
        match request_copy(plan, ticket.address, false).await {
            Ok(_) => return Some((ticket, stop_at_ms)),
            Err(error) => {
                tracing::info!(request = &*plan.request_id, from = &*plan.from_identity,
                    to = &*ticket.identity, %error, "copy failed");
                match error {
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
        "move given up"
    );
    None
}

/// Whether and when a copy may begin.
enum CopyTurn {
    Granted {
        /// Position among the targets offered.
        target: usize,
        copy_at_ms: u64,
        stop_at_ms: u64,
    },
    /// It cannot end before the engine is gone.
    Denied,
    /// Control does not answer.
    Unavailable,
}

impl Gateway {
    /// Waits until a time; returns true as soon as it is known that the engine leaves. Engines are
    /// reclaimed several at once, and each learns it at another moment.
    async fn departs_before(&self, identity: &Arc<str>, at_ms: u64) -> bool {
        let mut news = self.departure_changes.subscribe();
        loop {
            if self.with_view(|view| view.leaving(identity).is_some()) {
                return true;
            }
            let wait_ms = at_ms.saturating_sub(monotonic_ms());
            if timeout(Duration::from_millis(wait_ms), news.changed())
                .await
                .is_err()
            {
                return false;
            }
        }
    }

    /// Asks control for the turn of a copy to one of the targets.
    async fn request_turn(
        &self,
        plan: &MigrationPlan,
        placement: PlacementRequest,
        targets: &[Placed],
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
        let answer = link
            .call(TURN_TIMEOUT, |client, context| async move {
                client.turn(context, request).await
            })
            .await;
        match answer {
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
                tracing::info!(request = &*plan.request_id, %error, "no turn from control");
                CopyTurn::Unavailable
            }
        }
    }
}

/// Returns how long a copy takes the links of both engines.
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
) -> Result<Arc<str>, CallFailure> {
    let mut busy = 0;
    loop {
        let answer = move_generation(plan.from, &plan.request_id, target, stop, COPY_TIMEOUT).await;
        match answer {
            Err(CallFailure::Status(StatusCode::CONFLICT)) if busy < MAX_BUSY_RETRIES => busy += 1,
            answer => return answer,
        }
        sleep(BUSY_RETRY_DELAY).await;
    }
}
