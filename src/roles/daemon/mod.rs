//! A daemon: starts the configured roles, registers with control and drains on shutdown.

mod registration;
mod standalone;

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::random;
use rocket::{Build, Rocket};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use super::control::operator_api::{self, OperatorPort};
use super::control::replica::Endpoint;
use super::control::{ControlRole, Machine, RelayService, operator_port, replicated_log};
use super::entry::{EntryRole, RoomPort};
use super::rooms::Rooms;
use super::sidecar::{Permits, SidecarRole};
use super::standin::{EngineOptions, StandinServer, start_engine, start_service};
use super::subscriber::{Subscriber, SubscriberSettings, ViewStore, Watchers};
use crate::adapters::admin::{Readiness, admin_routes};
use crate::adapters::http::{self, Server};
use crate::model::{Incarnation, InstanceRef};
use crate::rpc::{Service, Services, serve};
use crate::settings::Settings;
pub use standalone::standalone_settings;

/// Maximum size of the body of an operator's request.
const ADMIN_BODY_LIMIT_BYTES: u64 = 8 * 1024 * 1024;
/// Time-out for reporting to control that this process is leaving or has ended.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(3);

/// A daemon could not be started. The text names the address or file and the cause.
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
    rooms: Option<Arc<Rooms>>,
    sidecar: Option<Arc<SidecarRole>>,
    control: Option<Arc<ControlRole>>,
    standins: Vec<StandinServer>,
    tasks: Vec<JoinHandle<()>>,
    stop: watch::Sender<bool>,
}

impl Daemon {
    /// Starts all configured roles. Fails, for example, if an address is in use.
    pub async fn start(settings: Settings) -> Result<Self, DaemonError> {
        let listener = bind(settings.rpc_address).await?;
        let rpc_address = listener.local_addr().map_err(as_daemon_error)?;
        let standins = start_standins(&settings).await?;
        let store = Arc::new(ViewStore::default());
        let subscriber = subscriber(&settings, rpc_address, &store);
        let mut services = Services::default();
        let mut tasks = Vec::new();
        let mut operators = None;
        let control = match &settings.control {
            Some(control) => {
                let machine = Machine::new(Arc::clone(&store));
                let endpoint = Endpoint {
                    name: settings.instance.clone(),
                    rpc_address: settings.advertised_rpc_address.unwrap_or(rpc_address),
                };
                let (replica, log) =
                    replicated_log(control, endpoint, &machine).map_err(as_daemon_error)?;
                let peers = replica.clone();
                services.offer(
                    Service::Peer,
                    Arc::new(move |stream| peers.serve_peer(stream)),
                );
                let role = ControlRole::new(log, machine, Arc::clone(&subscriber));
                operators = Some(operator_port(&role, &replica, settings.admin_token.clone()));
                Some(role)
            }
            None => None,
        };
        match &control {
            Some(control) => {
                control.offer(&mut services);
                tasks.push(tokio::spawn(Arc::clone(control).confirm_view()));
                tasks.push(tokio::spawn(Arc::clone(control).report_subtree()));
                tasks.push(tokio::spawn(Arc::clone(control).report_subtree()));
            }
            None => {
                RelayService::offer(Arc::clone(&subscriber), &mut services);
                tasks.push(tokio::spawn(Arc::clone(&subscriber).run()));
            }
        }
        let sidecar = settings.sidecar.as_ref().map(|sidecar| {
            let permits = Permits::of_control(&subscriber);
            SidecarRole::with_permits(sidecar, Arc::clone(&subscriber), permits)
        });
        if let Some(sidecar) = &sidecar {
            sidecar.offer(&mut services);
        }
        tasks.push(tokio::spawn(serve(listener, services)));
        let rooms = settings
            .entry
            .as_ref()
            .map(|_| Rooms::start(Arc::clone(&subscriber)));
        let entry = match (&settings.entry, &rooms) {
            (Some(entry), Some(rooms)) => {
                let room = RoomPort::leases(rooms);
                let starting = EntryRole::start_with_room(entry, Arc::clone(&subscriber), room);
                Some(starting.await.map_err(as_daemon_error)?)
            }
            _ => None,
        };
        let admin = start_admin(&settings, &subscriber, operators).await?;
        let daemon = Self {
            settings,
            subscriber,
            rpc_address,
            admin,
            entry,
            rooms,
            sidecar,
            control,
            standins,
            tasks,
            stop: watch::Sender::new(false),
        };
        Ok(daemon.register())
    }

    /// Creates the built-in demo rows if the table is empty. Fails if control does not answer.
    pub async fn create_first_rows(&self) -> Result<(), DaemonError> {
        standalone::create_first_rows(&self.subscriber)
            .await
            .map_err(as_daemon_error)
    }

    /// Returns the RPC address, which other processes call.
    pub fn rpc_address(&self) -> SocketAddr {
        self.rpc_address
    }

    /// Returns the address of the metrics, the health checks and the operator API.
    pub fn admin_address(&self) -> SocketAddr {
        self.admin.address
    }

    /// Returns the address for HTTP callers, if this process has the entry role.
    pub fn entry_address(&self) -> Option<SocketAddr> {
        self.entry.as_ref().map(|entry| entry.address())
    }

    /// Returns the subscriber, which holds the applied view of this process.
    pub fn subscriber(&self) -> &Arc<Subscriber> {
        &self.subscriber
    }

    /// Returns the control role, if this process has it.
    pub fn control(&self) -> Option<&Arc<ControlRole>> {
        self.control.as_ref()
    }

    /// Waits for SIGTERM or SIGINT, or until the member list sets this process to `Leaving` or
    /// `Gone`, then drains.
    pub async fn run_until_stopped(self) -> Result<(), DaemonError> {
        let signal_error =
            |error: std::io::Error| DaemonError(format!("cannot handle signals: {error}"));
        let mut terminate = signal(SignalKind::terminate()).map_err(signal_error)?;
        let mut interrupt = signal(SignalKind::interrupt()).map_err(signal_error)?;
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
            () = registration::wait_until_leaving(&self.subscriber) => {}
        }
        self.drain().await;
        Ok(())
    }

    /// Shuts down gracefully: accepts no new work, lets open answers finish, then closes
    /// everything.
    pub async fn drain(self) {
        tracing::info!(instance = %self.settings.instance, "leaving; no new work is taken");
        self.subscriber.set_leaving();
        self.stop.send_replace(true);
        // If control does not answer, peers still learn it from the stamps of replies.
        let _ = timeout(
            LEAVE_TIMEOUT,
            registration::report_leaving(&self.subscriber),
        )
        .await;
        if let Some(rooms) = &self.rooms {
            rooms.drain();
        }
        if let Some(entry) = &self.entry {
            entry.drain().await;
        }
        if let Some(sidecar) = &self.sidecar {
            sidecar.drain().await;
        }
        let _ = timeout(LEAVE_TIMEOUT, registration::report_gone(&self.subscriber)).await;
        if let Some(control) = &self.control {
            (control.log().transfer_leadership)().await;
        }
        for task in &self.tasks {
            task.abort();
        }
        self.admin.stop().await;
        self.standins.into_iter().for_each(StandinServer::stop);
        tracing::info!(instance = %self.settings.instance, "stopped");
    }

    fn register(mut self) -> Self {
        let address = self
            .settings
            .advertised_rpc_address
            .unwrap_or(self.rpc_address);
        let member = registration::member(
            &self.settings,
            &self.subscriber,
            address,
            self.sidecar.as_ref(),
        );
        let subscriber = Arc::clone(&self.subscriber);
        let stop = self.stop.subscribe();
        self.tasks
            .push(tokio::spawn(registration::register_until_accepted(
                subscriber, member, stop,
            )));
        self
    }
}

fn as_daemon_error(error: impl Into<Box<dyn std::error::Error>>) -> DaemonError {
    DaemonError(error.into().to_string())
}

async fn bind(address: SocketAddr) -> Result<TcpListener, DaemonError> {
    let failed = |error| DaemonError(format!("cannot listen on rpc_address {address}: {error}"));
    TcpListener::bind(address).await.map_err(failed)
}

fn subscriber(
    settings: &Settings,
    rpc_address: SocketAddr,
    store: &Arc<ViewStore>,
) -> Arc<Subscriber> {
    let mut control_addresses = settings.control_addresses.clone();
    if control_addresses.is_empty() && settings.control.is_some() {
        control_addresses.push(rpc_address);
    }
    let me = InstanceRef {
        name: settings.instance.clone(),
        incarnation: Incarnation(random()),
    };
    let settings = SubscriberSettings {
        me,
        control_addresses,
        stale_policy: settings.stale_policy,
        stale_limit_ms: settings.stale_limit_ms,
    };
    Subscriber::new(settings, Arc::clone(store), Watchers::default())
}

async fn start_standins(settings: &Settings) -> Result<Vec<StandinServer>, DaemonError> {
    let mut standins = Vec::new();
    let Some(standin) = &settings.standin else {
        return Ok(standins);
    };
    if let Some(options) = EngineOptions::from_settings(standin) {
        standins.push(start_engine(options).await.map_err(as_daemon_error)?);
    }
    if let Some(address) = standin.service_address {
        standins.push(start_service(address).await.map_err(as_daemon_error)?);
    }
    Ok(standins)
}

async fn start_admin(
    settings: &Settings,
    subscriber: &Arc<Subscriber>,
    operators: Option<OperatorPort>,
) -> Result<Server, DaemonError> {
    let observed = Arc::clone(subscriber);
    let readiness = Readiness(Box::new(move || {
        match (observed.is_leaving(), observed.is_ready()) {
            (true, _) => Err("leaving".to_owned()),
            (_, false) => Err("the table has not been read since the start".to_owned()),
            _ => Ok(()),
        }
    }));
    let build = |rocket: Rocket<Build>| {
        let rocket = rocket.manage(readiness).mount("/", admin_routes());
        match operators {
            Some(port) => rocket
                .manage(port)
                .mount("/", operator_api::routes())
                .register("/v1", operator_api::catchers()),
            None => rocket,
        }
    };
    http::start(settings.admin_address, ADMIN_BODY_LIMIT_BYTES, build)
        .await
        .map_err(as_daemon_error)
}
