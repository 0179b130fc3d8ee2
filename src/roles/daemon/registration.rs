//! How a process makes itself known to control.

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

/// Limit of one registration.
const REGISTER_LIMIT: Duration = Duration::from_secs(5);
/// Pause between tries to register, and between looks at the member list.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Returns what this process registers of itself.
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

/// Registers this process, and tells control when its upstreams change, until it leaves.
pub(super) async fn keep_registered(
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
            match subscriber.submit(&command, REGISTER_LIMIT).await {
                Ok(Response::Register(RegisterAnswer::Registered(fence))) => {
                    tracing::info!(%fence, "registered");
                    return;
                }
                Ok(answer) => {
                    tracing::error!(
                        ?answer,
                        "a newer run of this instance is registered; this one leaves"
                    );
                    subscriber.set_leaving();
                    return;
                }
                Err(error) => tracing::warn!(%error, "cannot register yet"),
            }
            sleep(RETRY_PAUSE).await;
        }
    };
    tokio::select! {
        () = register => {}
        _ = stop.wait_for(|stop| *stop) => {}
    }
}

/// Waits until the member list says that this run of the process is to leave.
pub(super) async fn told_to_leave(subscriber: &Subscriber) {
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

/// Tells control that this process takes no new work.
pub(super) async fn say_leaving(subscriber: &Subscriber) {
    set_phase(subscriber, Phase::Leaving).await;
}

/// Tells control that this process has ended.
pub(super) async fn say_gone(subscriber: &Subscriber) {
    set_phase(subscriber, Phase::Gone).await;
}

async fn set_phase(subscriber: &Subscriber, phase: Phase) {
    let command = Command::SetPhase {
        instance: subscriber.me().clone(),
        phase,
        now_ms: unix_ms(),
    };
    if let Err(error) = subscriber.submit(&command, REGISTER_LIMIT).await {
        tracing::warn!(%error, ?phase, "control does not know the new phase of this process");
    }
}
