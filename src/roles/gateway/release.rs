//! Ends the work of a silent engine on a generation, so that another engine may go on with it.
//!
//! An engine that sends nothing may still be at work: it may be held up, or only its connection may
//! be dead. Closing the connection does not stop it before it reads the close.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures::FutureExt;
use futures::future::{BoxFuture, Shared};
use http::StatusCode;
use tokio::task::JoinHandle;

use super::Gateway;
use super::migrate::{MigrationPlan, StoppedGeneration, stop_and_copy};
use super::ticket::Ticket;
use super::upstream::accepts_connections;
use crate::adapters::clock::monotonic_ms;
use crate::adapters::mutex::lock;
use crate::platform::{CallFailure, Liveness, MoveFailure, check_liveness};

/// Time in which an engine that is not held up answers a liveness check.
const LIVENESS_TIMEOUT: Duration = Duration::from_millis(300);

/// A liveness check in progress, whose result all that wait for it share.
type SharedCheck = Shared<BoxFuture<'static, Liveness>>;

/// The liveness checks in progress, by engine. An engine that is held up accepts no connections, and
/// a check for each of its streams would fill its queue of new ones, so that it seems unreachable.
#[derive(Default)]
pub(super) struct LivenessChecks(Mutex<BTreeMap<SocketAddr, SharedCheck>>);

impl Gateway {
    /// Checks over a new connection whether an engine responds.
    pub(super) async fn check_liveness(&self, address: SocketAddr) -> Liveness {
        let check = {
            let mut checks = lock(&self.liveness_checks.0);
            let begin = || check_liveness(address, LIVENESS_TIMEOUT).boxed().shared();
            checks.entry(address).or_insert_with(begin).clone()
        };
        let liveness = check.clone().await;
        let mut checks = lock(&self.liveness_checks.0);
        if checks.get(&address).is_some_and(|own| own.ptr_eq(&check)) {
            checks.remove(&address);
        }
        liveness
    }

    /// Returns true if an engine accepts no connections and the platform has ended it. A machine that
    /// is lost refuses nothing, and neither does a process that is held up with a full queue of new
    /// connections, which stays listed.
    async fn is_gone(&self, plan: &MigrationPlan) -> bool {
        self.with_view(|view| view.has_ended(&plan.from_identity, monotonic_ms()))
            && !accepts_connections(plan.from).await
    }
}

/// What is known of the work of a silent engine on a generation.
pub(super) enum Released {
    /// The engine has confirmed that it has stopped the generation.
    Stopped(StoppedGeneration),
    /// The engine refuses connections, ignores them after the end that the platform has named, or
    /// does not know the generation any more.
    Gone(&'static str),
    /// The engine may still work on the generation.
    Unproved(&'static str),
}

impl Released {
    fn label(&self) -> &'static str {
        match self {
            Self::Stopped(_) => "stopped",
            Self::Gone(label) | Self::Unproved(label) => label,
        }
    }
}

/// A release in progress. Dropping it cancels it.
pub(super) struct Release {
    task: JoinHandle<Released>,
    stop_requested: Arc<AtomicBool>,
}

impl Drop for Release {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Release {
    /// Starts a release in a background task. If the engine has made events after `last_event`, its
    /// connection is dead: it is told to stop the generation and to copy it to the engine of `target`.
    pub(super) fn begin(
        gateway: Arc<Gateway>,
        plan: MigrationPlan,
        target: Ticket,
        last_event: u64,
    ) -> Self {
        let stop_requested = Arc::new(AtomicBool::new(false));
        let asked = Arc::clone(&stop_requested);
        let task = tokio::spawn(async move {
            let released = release(&gateway, &plan, target, last_event, &asked).await;
            gateway.metrics.count_release(released.label());
            tracing::info!(
                request = &*plan.request_id,
                instance = &*plan.from_identity,
                outcome = released.label(),
                "silent engine checked"
            );
            released
        });
        Self {
            task,
            stop_requested,
        }
    }

    /// Returns true once the engine may have stopped the generation.
    pub(super) fn stop_was_requested(&self) -> bool {
        self.stop_requested.load(Ordering::Relaxed)
    }

    /// Waits for the result, after which the release must not be used again. Never returns if there
    /// is none.
    pub(super) async fn finish(release: &mut Option<Self>) -> Released {
        match release {
            Some(release) => (&mut release.task)
                .await
                .unwrap_or(Released::Unproved("cancelled")),
            None => std::future::pending().await,
        }
    }

    /// Returns the generation if the engine has stopped it.
    pub(super) async fn stopped(self) -> Option<StoppedGeneration> {
        match Self::finish(&mut Some(self)).await {
            Released::Stopped(stopped) => Some(stopped),
            Released::Gone(_) | Released::Unproved(_) => None,
        }
    }
}

/// Tells an engine whose response to a resumption was lost to stop the generation. Its memory is
/// copied to the engine at `target`, which runs the generation.
pub(super) async fn revoke(gateway: Arc<Gateway>, plan: MigrationPlan, target: SocketAddr) {
    let result = stop_and_copy(&plan, target).await;
    let outcome = match &result {
        Ok(_)
        | Err(MoveFailure {
            handle: Some(_), ..
        }) => "revoked",
        Err(MoveFailure {
            cause: CallFailure::Status(StatusCode::NOT_FOUND),
            ..
        }) => "not_running",
        Err(_) => "revocation_failed",
    };
    gateway.metrics.count_release(outcome);
    tracing::info!(
        request = &*plan.request_id,
        instance = &*plan.from_identity,
        outcome,
        error = result.err().map(|failure| failure.to_string()),
        "engine told to stop a generation that another one runs"
    );
}

async fn release(
    gateway: &Gateway,
    plan: &MigrationPlan,
    target: Ticket,
    last_event: u64,
    stop_requested: &AtomicBool,
) -> Released {
    if !gateway
        .wait_until_unpaused(&plan.from_identity, LIVENESS_TIMEOUT)
        .await
    {
        return Released::Unproved("paused");
    }
    match gateway.check_liveness(plan.from).await {
        Liveness::Unreachable => return Released::Gone("unreachable"),
        Liveness::Late if gateway.is_gone(plan).await => return Released::Gone("gone"),
        Liveness::Late => return Released::Unproved("late"),
        Liveness::Responds(_) if !plan.engine.moves => return Released::Unproved("cannot_stop"),
        Liveness::Responds(None) => return Released::Unproved("unknown"),
        Liveness::Responds(Some(running)) => match running.get(&plan.request_id) {
            // The generation itself pauses, as after a preemption, or the report is older.
            Some(made) if *made <= last_event => return Released::Unproved("paused_run"),
            // Reports may leave out generations that wait after a preemption, so that only the
            // response to the order shows that there is none.
            Some(_) | None => {}
        },
    }
    // Once stopped, the generation needs an engine that goes on with it.
    if gateway.is_evacuated(&target.identity) {
        return Released::Unproved("backup_evacuated");
    }
    match gateway.check_liveness(target.address).await {
        Liveness::Responds(_) => {}
        Liveness::Late | Liveness::Unreachable => return Released::Unproved("backup_late"),
    }
    stop_requested.store(true, Ordering::Relaxed);
    match stop_and_copy(plan, target.address).await {
        Ok(handle) => Released::Stopped(StoppedGeneration {
            target: Some(target),
            handle,
        }),
        Err(MoveFailure {
            handle: Some(handle),
            ..
        }) => Released::Stopped(StoppedGeneration {
            target: None,
            handle,
        }),
        Err(MoveFailure {
            cause: CallFailure::Status(StatusCode::NOT_FOUND),
            ..
        }) => Released::Gone("not_running"),
        Err(MoveFailure { cause, .. }) => {
            if let CallFailure::AskedForTime(asked) = cause {
                gateway.pause_instance(&plan.from_identity, asked);
            }
            Released::Unproved("stop_failed")
        }
    }
}
