//! Ends the work of a silent engine on a generation, so that another engine may go on with it.
//!
//! An engine that sends nothing may still be at work: it may be held up, or only its connection may
//! be dead. Closing the connection does not stop it before it reads the close.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use tokio::task::JoinHandle;

use super::Gateway;
use super::migrate::{MigrationPlan, StoppedGeneration, stop_and_copy};
use super::ticket::Ticket;
use crate::platform::{CallFailure, Liveness, MoveFailure, check_liveness};

/// Time in which an engine that is not held up answers a liveness check.
pub(super) const LIVENESS_TIMEOUT: Duration = Duration::from_millis(300);

/// What is known of the work of a silent engine on a generation.
pub(super) enum Released {
    /// The engine has confirmed that it has stopped the generation.
    Stopped(StoppedGeneration),
    /// The engine cannot be reached, or does not know the generation any more.
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
    /// Starts a release in a background task. If the engine responds, it is told to stop the
    /// generation and to copy it to the engine of `target`.
    pub(super) fn begin(gateway: Arc<Gateway>, plan: MigrationPlan, target: Ticket) -> Self {
        let stop_requested = Arc::new(AtomicBool::new(false));
        let asked = Arc::clone(&stop_requested);
        let task = tokio::spawn(async move {
            let released = release(&gateway, &plan, target, &asked).await;
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

async fn release(
    gateway: &Gateway,
    plan: &MigrationPlan,
    target: Ticket,
    stop_requested: &AtomicBool,
) -> Released {
    if !gateway
        .wait_until_unpaused(&plan.from_identity, LIVENESS_TIMEOUT)
        .await
    {
        return Released::Unproved("paused");
    }
    match check_liveness(plan.from, LIVENESS_TIMEOUT).await {
        Liveness::Unreachable => return Released::Gone("unreachable"),
        Liveness::Late => return Released::Unproved("late"),
        Liveness::Responds if !plan.engine.moves => return Released::Unproved("cannot_stop"),
        Liveness::Responds => {}
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
            cause: CallFailure::Status(status),
            ..
        }) if status == http::StatusCode::NOT_FOUND => Released::Gone("not_running"),
        Err(MoveFailure { cause, .. }) => {
            if let CallFailure::AskedForTime(asked) = cause {
                gateway.pause_instance(&plan.from_identity, asked);
            }
            Released::Unproved("stop_failed")
        }
    }
}
