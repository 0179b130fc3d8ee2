//! Starts and stops the HTTP servers of the stand-ins.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use rocket::config::{Config, LogLevel, Shutdown};
use rocket::data::{Limits, ToByteUnit};
use rocket::fairing::AdHoc;
use rocket::{Build, Rocket};
use tokio::runtime::{Builder, Runtime};
use tokio::sync::oneshot;

use super::fault::EngineFault;
use super::http::engine_routes;
use super::options::EngineOptions;
use super::service::{ServiceState, service_routes};
use super::shared::Shared;
use crate::settings::StandinSettings;

/// Largest request body.
const BODY_LIMIT_MIB: u64 = 8;
/// Idle connections stay open longer than clients keep them, so that no request meets a close.
const KEEP_ALIVE_S: u32 = 120;
/// Threads of each stand-in, so that one stand-in's work does not delay another's.
const THREADS: usize = 2;

/// A stand-in could not be started, or ended.
#[derive(Debug)]
pub struct StandinError(String);

impl fmt::Display for StandinError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for StandinError {}

/// A running stand-in. Dropping or stopping it closes all connections at once, like a crash.
#[derive(Debug)]
pub struct Running {
    pub address: SocketAddr,
    runtime: Option<Runtime>,
    ended: oneshot::Receiver<String>,
    engine: Option<Arc<Shared>>,
}

impl Running {
    /// Returns the base URL.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Closes the listener and all connections.
    pub fn stop(mut self) {
        self.shut_down();
    }

    /// Switches faults of an engine; has no effect on a service.
    pub fn inject(&self, fault: EngineFault) {
        if let Some(engine) = &self.engine {
            engine.inject(fault);
        }
    }

    /// Waits until the server ends by itself, and returns why.
    pub async fn ended(&mut self) -> StandinError {
        match (&mut self.ended).await {
            Ok(reason) => StandinError(reason),
            Err(_) => StandinError("the stand-in stopped".to_owned()),
        }
    }

    fn shut_down(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.shut_down();
    }
}

/// Starts an engine stand-in and returns once it listens.
pub async fn start_engine(options: EngineOptions) -> Result<Running, StandinError> {
    let address = options.address;
    let shared = Arc::new(Shared::new(options));
    let rocket = rocket(address)
        .manage(shared.clone())
        .mount("/", engine_routes());
    let mut running = start(rocket).await?;
    if let Some(runtime) = &running.runtime {
        runtime.spawn(shared.clone().run());
    }
    running.engine = Some(shared);
    Ok(running)
}

/// Starts a service stand-in and returns once it listens.
pub async fn start_service(address: SocketAddr) -> Result<Running, StandinError> {
    let state = Arc::new(ServiceState::default());
    start(rocket(address).manage(state).mount("/", service_routes())).await
}

/// Serves the engine of the settings until it fails; without an engine address it never returns.
pub async fn run_engine(settings: &StandinSettings) -> Result<(), StandinError> {
    let Some(options) = EngineOptions::from_settings(settings) else {
        return std::future::pending().await;
    };
    let mut running = start_engine(options).await?;
    tracing::info!(address = %running.address, "engine stand-in listens");
    Err(running.ended().await)
}

/// Serves the service of the settings until it fails; without an address it never returns.
pub async fn run_service(settings: &StandinSettings) -> Result<(), StandinError> {
    let Some(address) = settings.service_address else {
        return std::future::pending().await;
    };
    let mut running = start_service(address).await?;
    tracing::info!(address = %running.address, "service stand-in listens");
    Err(running.ended().await)
}

fn rocket(address: SocketAddr) -> Rocket<Build> {
    let limits = Limits::default().limit("json", BODY_LIMIT_MIB.mebibytes());
    let shutdown = Shutdown {
        ctrlc: false,
        signals: std::collections::HashSet::new(),
        ..Shutdown::default()
    };
    rocket::custom(Config {
        address: address.ip(),
        port: address.port(),
        log_level: LogLevel::Off,
        cli_colors: false,
        keep_alive: KEEP_ALIVE_S,
        limits,
        shutdown,
        ..Config::release_default()
    })
}

async fn start(rocket: Rocket<Build>) -> Result<Running, StandinError> {
    let runtime = Builder::new_multi_thread()
        .worker_threads(THREADS)
        .thread_name("standin")
        .enable_all()
        .build()
        .map_err(|error| StandinError(format!("cannot start threads: {error}")))?;
    let (bound, address) = oneshot::channel();
    let (end, ended) = oneshot::channel();
    let rocket = rocket.attach(AdHoc::on_liftoff("address", |rocket| {
        let address = SocketAddr::new(rocket.config().address, rocket.config().port);
        Box::pin(async move {
            // The receiver is gone only if the caller gave up.
            let _ = bound.send(address);
        })
    }));
    runtime.spawn(async move {
        let reason = match rocket.launch().await {
            Ok(_) => "the server was shut down".to_owned(),
            Err(error) => format!("the server failed: {error}"),
        };
        // The receiver is gone only if the stand-in is being dropped.
        let _ = end.send(reason);
    });
    let mut running = Running {
        address: SocketAddr::from(([127, 0, 0, 1], 0)),
        runtime: Some(runtime),
        ended,
        engine: None,
    };
    match address.await {
        Ok(address) => running.address = address,
        Err(_) => return Err(running.ended().await),
    }
    Ok(running)
}
