//! A daemon: starts the roles of its settings, registers, and drains on a planned stop.

mod registration;
mod standalone;

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::random;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use super::control::{ControlRole, Machine, RelayService, memory_log};
use super::entry::EntryRole;
use super::sidecar::SidecarRole;
use super::subscriber::{Subscriber, SubscriberSettings, ViewStore, Watchers};
use crate::adapters::admin::{Readiness, admin_routes};
use crate::adapters::http::{self, Server};
use crate::model::{Incarnation, InstanceRef};
use crate::rpc::{Services, serve};
use crate::settings::Settings;
pub use standalone::{standalone_settings, standalone_table};

/// Upper bound on the body of an operator's request.
const ADMIN_BODY_LIMIT_BYTES: u64 = 8 * 1024 * 1024;
/// Time in which a stopping process tells control that it leaves.
const LEAVE_LIMIT: Duration = Duration::from_secs(3);

/// A daemon could not be started; the text names the address or file and what to do.
#[derive(Debug)]
pub struct DaemonError(pub String);

impl fmt::Display for DaemonError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for DaemonError {}

/// A running daemon.
pub struct Daemon {
    settings: Settings,
    subscriber: Arc<Subscriber>,
    rpc_address: SocketAddr,
    admin: Server,
    entry: Option<Arc<EntryRole>>,
    sidecar: Option<Arc<SidecarRole>>,
    control: Option<Arc<ControlRole>>,
    tasks: Vec<JoinHandle<()>>,
    stop: watch::Sender<bool>,
}

impl Daemon {
    /// Starts all roles of the settings. Fails if an address is in use.
    pub async fn start(settings: Settings) -> Result<Self, DaemonError> {
        let me = InstanceRef {
            name: settings.instance.clone(),
            incarnation: Incarnation(random()),
        };
        let listener = TcpListener::bind(settings.rpc_address)
            .await
            .map_err(|error| {
                DaemonError(format!(
                    "cannot listen on rpc_address {}: {error}",
                    settings.rpc_address
                ))
            })?;
        let rpc_address = listener
            .local_addr()
            .map_err(|error| DaemonError(error.to_string()))?;
        let mut control_addresses = settings.control_addresses.clone();
        if control_addresses.is_empty() && settings.control.is_some() {
            control_addresses.push(rpc_address);
        }
        let store = Arc::new(ViewStore::default());
        let subscriber = Subscriber::new(
            SubscriberSettings {
                me,
                control_addresses,
                stale_policy: settings.stale_policy,
                stale_limit_ms: settings.stale_limit_ms,
            },
            Arc::clone(&store),
            Watchers::default(),
        );
        let mut services = Services::default();
        let mut tasks = Vec::new();
        let control = settings.control.as_ref().map(|_| {
            let machine = Machine::new(Arc::clone(&store));
            let log = memory_log(&machine);
            ControlRole::new(log, machine, Arc::clone(&subscriber))
        });
        match &control {
            Some(control) => {
                control.offer(&mut services);
                tasks.push(tokio::spawn(Arc::clone(control).confirm_view()));
                tasks.push(tokio::spawn(Arc::clone(control).report_subtree()));
            }
            None => {
                RelayService::offer(Arc::clone(&subscriber), &mut services);
                tasks.push(tokio::spawn(Arc::clone(&subscriber).run()));
            }
        }
        let sidecar = settings
            .sidecar
            .as_ref()
            .map(|sidecar| SidecarRole::start(sidecar, Arc::clone(&subscriber)));
        if let Some(sidecar) = &sidecar {
            sidecar.offer(&mut services);
        }
        tasks.push(tokio::spawn(serve(listener, services)));
        let entry = match &settings.entry {
            Some(entry) => Some(
                EntryRole::start(entry, Arc::clone(&subscriber))
                    .await
                    .map_err(|error| DaemonError(error.to_string()))?,
            ),
            None => None,
        };
        let admin = start_admin(&settings, &subscriber).await?;
        let stop = watch::Sender::new(false);
        let daemon = Self {
            settings,
            subscriber,
            rpc_address,
            admin,
            entry,
            sidecar,
            control,
            tasks,
            stop,
        };
        Ok(daemon.register())
    }

    /// Returns the address for calls between processes.
    pub fn rpc_address(&self) -> SocketAddr {
        self.rpc_address
    }

    /// Returns the address of metrics, health and the operators' API.
    pub fn admin_address(&self) -> SocketAddr {
        self.admin.address
    }

    /// Returns where callers connect, with the entry role.
    pub fn entry_address(&self) -> Option<SocketAddr> {
        self.entry.as_ref().map(|entry| entry.address())
    }

    /// Returns the applied view of this process.
    pub fn subscriber(&self) -> &Arc<Subscriber> {
        &self.subscriber
    }

    /// Returns the control role, if this process has it.
    pub fn control(&self) -> Option<&Arc<ControlRole>> {
        self.control.as_ref()
    }

    /// Waits for SIGTERM or SIGINT, or for the phase `leaving` in the members, then drains.
    pub async fn run_until_stopped(self) -> Result<(), DaemonError> {
        let signal_error =
            |error: std::io::Error| DaemonError(format!("cannot handle signals: {error}"));
        let mut terminate = signal(SignalKind::terminate()).map_err(signal_error)?;
        let mut interrupt = signal(SignalKind::interrupt()).map_err(signal_error)?;
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
            () = registration::told_to_leave(&self.subscriber) => {}
        }
        self.drain().await;
        Ok(())
    }

    /// Stops gracefully: no new work, open answers finish, then everything is closed.
    pub async fn drain(self) {
        tracing::info!(instance = %self.settings.instance, "leaving; no new work is taken");
        self.subscriber.set_leaving();
        self.stop.send_replace(true);
        // Without control the stamps of replies still tell peers that this process leaves.
        let _ = timeout(LEAVE_LIMIT, registration::say_leaving(&self.subscriber)).await;
        if let Some(entry) = &self.entry {
            entry.drain().await;
        }
        if let Some(sidecar) = &self.sidecar {
            sidecar.drain().await;
        }
        let _ = timeout(LEAVE_LIMIT, registration::say_gone(&self.subscriber)).await;
        if let Some(control) = &self.control {
            (control.log().hand_over)().await;
        }
        for task in &self.tasks {
            task.abort();
        }
        self.admin.stop().await;
        tracing::info!(instance = %self.settings.instance, "stopped");
    }

    fn register(mut self) -> Self {
        let member = registration::member(
            &self.settings,
            &self.subscriber,
            self.rpc_address,
            self.sidecar.as_ref(),
        );
        let subscriber = Arc::clone(&self.subscriber);
        let stop = self.stop.subscribe();
        self.tasks.push(tokio::spawn(registration::keep_registered(
            subscriber, member, stop,
        )));
        self
    }
}

async fn start_admin(
    settings: &Settings,
    subscriber: &Arc<Subscriber>,
) -> Result<Server, DaemonError> {
    let observed = Arc::clone(subscriber);
    let readiness = Readiness(Box::new(move || {
        match (observed.is_leaving(), observed.is_ready()) {
            (true, _) => Err("leaving".to_owned()),
            (_, false) => Err("the table has not been read since the start".to_owned()),
            _ => Ok(()),
        }
    }));
    http::start(settings.admin_address, ADMIN_BODY_LIMIT_BYTES, |rocket| {
        rocket.manage(readiness).mount("/", admin_routes())
    })
    .await
    .map_err(|error| DaemonError(error.to_string()))
}
