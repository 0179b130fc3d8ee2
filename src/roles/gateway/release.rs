//! Ends the work of an engine on a generation, so that another engine may go on with it.
//!
//! An engine that sends nothing, or whose stream has broken off, may still be at work: it may be held
//! up, or only its connection may be dead. Closing the connection does not stop it before it reads
//! the close, and some engines go on even then.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures::FutureExt;
use futures::future::{BoxFuture, Shared};
use http::StatusCode;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

use super::Gateway;
use super::migrate::{MigrationPlan, StoppedGeneration, stop_and_copy};
use super::ticket::Ticket;
use super::upstream::{accepts_connections, refuses_connections};
use crate::adapters::clock::monotonic_ms;
use crate::adapters::mutex::lock;
use crate::platform::{CallFailure, Liveness, MoveFailure, check_liveness};

/// Time in which an engine that is not held up answers a liveness check.
const LIVENESS_TIMEOUT: Duration = Duration::from_millis(300);
/// Bounds of the backoff between two checks of an engine whose stream has broken off. The listener of
/// a process that crashes may close after its connections.
const RECHECK_DELAY_MIN: Duration = Duration::from_millis(50);
const RECHECK_DELAY_MAX: Duration = Duration::from_secs(1);
/// Interval at which it is checked whether the platform has ended an engine that is told to stop.
const GONE_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Reports of engines are some hundred milliseconds old. Later ones than this after the end of a
/// stream show whether the engine still runs the generation.
const REPORT_LAG: Duration = Duration::from_secs(1);
/// Time in which most engines notice that the connection of a generation was closed, and drop it.
/// Those that do not have to be stopped within 400 ms.
const CLOSE_NOTICE_TIME: Duration = Duration::from_millis(100);

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

/// What is known of the work of an engine on a generation.
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
    /// Starts the release of a silent engine in a background task. If the engine has made events after
    /// `last_event`, its connection is dead: it is told to stop the generation and to copy it to the
    /// engine of `target`.
    pub(super) fn of_silent(
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

    /// Starts the release of an engine whose stream has broken off, in a background task. It is told
    /// to stop the generation and to copy it to the engine of `target`, and checked until it is
    /// released. `before` is a release that has already told it to stop.
    pub(super) fn of_broken(
        gateway: Arc<Gateway>,
        plan: MigrationPlan,
        target: Ticket,
        before: Option<Self>,
    ) -> Self {
        let stop_requested = Arc::new(AtomicBool::new(true));
        let task = tokio::spawn(async move {
            let begun = Instant::now();
            let released = release_broken(&gateway, &plan, target, before).await;
            gateway.metrics.count_broken_release(released.label());
            tracing::info!(
                request = &*plan.request_id,
                instance = &*plan.from_identity,
                outcome = released.label(),
                took_ms = u64::try_from(begun.elapsed().as_millis()).unwrap_or(u64::MAX),
                "engine of a broken stream checked"
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
}

/// Tells an engine that was left for the engine at `target` to stop the generation, unless it drops
/// the generation with its connection.
pub(super) async fn revoke_left(gateway: Arc<Gateway>, plan: MigrationPlan, target: SocketAddr) {
    sleep(CLOSE_NOTICE_TIME).await;
    revoke(gateway, plan, target).await;
}

/// Tells an engine to stop a generation that another one runs. Its memory is copied to the engine at
/// `target`, which runs the generation.
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
    match stop(gateway, plan, target.address).await {
        Stop::Copied(handle) => Released::Stopped(StoppedGeneration {
            target: Some(target),
            handle,
        }),
        other => other.without_copy(),
    }
}

/// Checks an engine whose stream has broken off until it is released. Gives up only if nothing can
/// ever show that it has stopped the generation.
async fn release_broken(
    gateway: &Gateway,
    plan: &MigrationPlan,
    target: Ticket,
    mut before: Option<Release>,
) -> Released {
    let broke_off_at = Instant::now();
    if before.is_some() {
        match Release::finish(&mut before).await {
            Released::Unproved(_) => {}
            proved => return proved,
        }
    }
    let mut delay = RECHECK_DELAY_MIN;
    loop {
        let label = match check_broken(gateway, plan, broke_off_at).await {
            BrokenCheck::Gone(label) => return Released::Gone(label),
            BrokenCheck::NeverProved => return Released::Unproved("cannot_stop"),
            BrokenCheck::Unproved(label) => label,
            BrokenCheck::MayStop => {
                let stopped = tokio::select! {
                    stopped = stop(gateway, plan, target.address) => stopped,
                    // The call may hang for seconds if the machine of the engine is lost.
                    () = wait_until_gone(gateway, plan) => return Released::Gone("gone"),
                };
                match stopped {
                    Stop::Copied(handle) => {
                        return Released::Stopped(StoppedGeneration {
                            target: Some(target),
                            handle,
                        });
                    }
                    other => match other.without_copy() {
                        Released::Unproved(label) => label,
                        proved => return proved,
                    },
                }
            }
        };
        tracing::info!(
            request = &*plan.request_id,
            instance = &*plan.from_identity,
            reason = label,
            delay_ms = u64::try_from(delay.as_millis()).unwrap_or(u64::MAX),
            "engine of a broken stream may still work on the generation; checking again"
        );
        sleep(delay).await;
        delay = (delay * 2).min(RECHECK_DELAY_MAX);
    }
}

/// Returns once an engine accepts no connections and the platform has ended it.
async fn wait_until_gone(gateway: &Gateway, plan: &MigrationPlan) {
    loop {
        sleep(GONE_CHECK_INTERVAL).await;
        if gateway.is_gone(plan).await {
            return;
        }
    }
}

/// What one check of an engine whose stream has broken off shows.
enum BrokenCheck {
    /// The engine does not work on the generation.
    Gone(&'static str),
    /// The engine may work on the generation, and can be told to stop it.
    MayStop,
    /// The engine may work on the generation.
    Unproved(&'static str),
    /// The engine can neither be told to stop the generation nor say that it does not run it.
    NeverProved,
}

async fn check_broken(
    gateway: &Gateway,
    plan: &MigrationPlan,
    broke_off_at: Instant,
) -> BrokenCheck {
    if !gateway
        .wait_until_unpaused(&plan.from_identity, LIVENESS_TIMEOUT)
        .await
    {
        return match refuses_connections(plan.from).await {
            true => BrokenCheck::Gone("unreachable"),
            false => BrokenCheck::Unproved("paused"),
        };
    }
    match gateway.check_liveness(plan.from).await {
        Liveness::Unreachable => BrokenCheck::Gone("unreachable"),
        Liveness::Late if gateway.is_gone(plan).await => BrokenCheck::Gone("gone"),
        // An engine that is only slow still carries out the call.
        Liveness::Late | Liveness::Responds(_) if plan.engine.moves => BrokenCheck::MayStop,
        Liveness::Late => BrokenCheck::Unproved("late"),
        Liveness::Responds(None) => BrokenCheck::NeverProved,
        Liveness::Responds(Some(running)) => match running.contains_key(&plan.request_id) {
            false if broke_off_at.elapsed() >= REPORT_LAG => BrokenCheck::Gone("not_running"),
            _ => BrokenCheck::Unproved("running"),
        },
    }
}

/// Result of the call that stops a generation.
enum Stop {
    /// The engine has stopped the generation and copied its memory under this handle.
    Copied(Arc<str>),
    /// The engine has stopped the generation and keeps its memory under this handle.
    Kept(Arc<str>),
    NotRunning,
    Failed,
}

impl Stop {
    /// Returns what a stop shows that has copied nothing.
    fn without_copy(self) -> Released {
        match self {
            Self::Copied(handle) | Self::Kept(handle) => Released::Stopped(StoppedGeneration {
                target: None,
                handle,
            }),
            Self::NotRunning => Released::Gone("not_running"),
            Self::Failed => Released::Unproved("stop_failed"),
        }
    }
}

/// Tells an engine to stop a generation and to copy its memory to `target`.
async fn stop(gateway: &Gateway, plan: &MigrationPlan, target: SocketAddr) -> Stop {
    match stop_and_copy(plan, target).await {
        Ok(handle) => Stop::Copied(handle),
        Err(MoveFailure {
            handle: Some(handle),
            ..
        }) => Stop::Kept(handle),
        Err(MoveFailure {
            cause: CallFailure::Status(StatusCode::NOT_FOUND),
            ..
        }) => Stop::NotRunning,
        Err(MoveFailure { cause, .. }) => {
            if let CallFailure::AskedForTime(asked) = cause {
                gateway.pause_instance(&plan.from_identity, asked);
            }
            Stop::Failed
        }
    }
}
