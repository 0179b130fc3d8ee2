//! Registration of this process with control, and reports of its phase.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::sleep;

use crate::adapters::clock::unix_ms;
use crate::domain::members::{Member, Phase, Role};
use crate::domain::state::{Command, RegisterAnswer, Response};
use crate::model::Fence;
use crate::roles::sidecar::SidecarRole;
use crate::roles::subscriber::Subscriber;
use crate::settings::Settings;

/// Time-out for one registration or one report of a phase.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause between attempts to register.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Returns the member entry that this process registers.
pub(super) fn member(
    settings: &Settings,
    subscriber: &Subscriber,
    rpc_address: SocketAddr,
    sidecar: Option<&Arc<SidecarRole>>,
) -> Member {
    let me = subscriber.me();
    let roles = [
        settings.entry.is_some().then_some(Role::Entry),
        settings.sidecar.is_some().then_some(Role::Sidecar),
        settings.control.is_some().then_some(Role::Control),
    ];
    Member {
        name: me.name.clone(),
        incarnation: me.incarnation,
        fence: Fence::default(),
        roles: roles.into_iter().flatten().collect(),
        zone: settings.zone.clone(),
        rpc_address,
        phase: Phase::Live,
        upstreams: sidecar
            .map(|sidecar| sidecar.upstreams())
            .unwrap_or_default(),
    }
}

/// Registers this process. Retries until control accepts or rejects it, or until `stop` is set.
pub(super) async fn register_until_accepted(
    subscriber: Arc<Subscriber>,
    member: Member,
    mut stop: watch::Receiver<bool>,
) {
    let register = async {
        loop {
            let command = Command::Register {
                member: member.clone(),
                now_ms: unix_ms(),
            };
            match subscriber.submit(&command, SUBMIT_TIMEOUT).await {
                Ok(Response::Register(RegisterAnswer::Registered(fence))) => {
                    tracing::info!(%fence, "registered");
                    return;
                }
                Ok(answer) => {
                    tracing::error!(
                        ?answer,
                        "a newer run of this instance is registered; accepting no new work"
                    );
                    subscriber.set_leaving();
                    return;
                }
                Err(error) => tracing::warn!(%error, "cannot register; retrying"),
            }
            sleep(RETRY_DELAY).await;
        }
    };
    tokio::select! {
        () = register => {}
        _ = stop.wait_for(|stop| *stop) => {}
    }
}

/// Waits until the member list gives this incarnation the phase `Leaving` or a later one.
pub(super) async fn wait_until_leaving(subscriber: &Subscriber) {
    let mut versions = subscriber.store().versions();
    loop {
        let me = subscriber.me();
        let view = subscriber.view();
        let member = view.members.members.get(&me.name);
        if member.is_some_and(|member| {
            member.incarnation == me.incarnation && member.phase >= Phase::Leaving
        }) {
            return;
        }
        if versions.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

/// Reports to control that this process accepts no new work.
pub(super) async fn report_leaving(subscriber: &Subscriber) {
    set_phase(subscriber, Phase::Leaving).await;
}

/// Reports to control that this process has ended.
pub(super) async fn report_gone(subscriber: &Subscriber) {
    set_phase(subscriber, Phase::Gone).await;
}

async fn set_phase(subscriber: &Subscriber, phase: Phase) {
    let command = Command::SetPhase {
        instance: subscriber.me().clone(),
        phase,
        now_ms: unix_ms(),
    };
    if let Err(error) = subscriber.submit(&command, SUBMIT_TIMEOUT).await {
        tracing::warn!(%error, ?phase, "cannot report the new phase of this process to control");
    }
}
