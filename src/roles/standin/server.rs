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
use super::shared::EngineServer;
use crate::settings::StandinSettings;

const BODY_LIMIT_MIB: u64 = 8;
/// Longer than clients keep idle connections, so that no request is sent on a connection that the
/// server is closing.
const KEEP_ALIVE_S: u32 = 120;
/// Each stand-in has its own threads, so that its work does not delay other stand-ins.
const WORKER_THREADS: usize = 2;

/// A stand-in could not be started, or has stopped.
#[derive(Debug)]
pub struct StandinError(String);

impl fmt::Display for StandinError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for StandinError {}

/// A running stand-in. Stopping or dropping it closes all connections immediately, like a crash.
#[derive(Debug)]
pub struct StandinServer {
    pub address: SocketAddr,
    runtime: Option<Runtime>,
    /// Receives the reason when the server stops by itself.
    ended: oneshot::Receiver<String>,
    /// `None` for a service stand-in.
    engine: Option<Arc<EngineServer>>,
}

impl StandinServer {
    /// Returns the base URL, without a trailing slash.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Closes the listener and all connections without waiting for responses.
    pub fn stop(mut self) {
        self.shut_down();
    }

    /// Changes the faults of an engine stand-in. Has no effect on a service stand-in.
    pub fn inject(&self, fault: EngineFault) {
        if let Some(engine) = &self.engine {
            engine.inject(fault);
        }
    }

    /// Waits until the server stops by itself and returns the reason.
    pub async fn ended(&mut self) -> StandinError {
        match (&mut self.ended).await {
            Ok(reason) => StandinError(reason),
            Err(_) => StandinError("the stand-in was stopped".to_owned()),
        }
    }

    fn shut_down(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

impl Drop for StandinServer {
    fn drop(&mut self) {
        self.shut_down();
    }
}

/// Starts an engine stand-in. Returns once it accepts connections.
pub async fn start_engine(options: EngineOptions) -> Result<StandinServer, StandinError> {
    let address = options.address;
    let server = Arc::new(EngineServer::new(options));
    let rocket = rocket(address)
        .manage(server.clone())
        .mount("/", engine_routes());
    let mut running = start(rocket).await?;
    if let Some(runtime) = &running.runtime {
        runtime.spawn(server.clone().run());
    }
    running.engine = Some(server);
    Ok(running)
}

/// Starts a service stand-in. Returns once it accepts connections.
pub async fn start_service(address: SocketAddr) -> Result<StandinServer, StandinError> {
    let state = Arc::new(ServiceState::default());
    start(rocket(address).manage(state).mount("/", service_routes())).await
}

/// Runs the configured engine stand-in until it fails. Never returns if no engine address is set.
pub async fn run_engine(settings: &StandinSettings) -> Result<(), StandinError> {
    let Some(options) = EngineOptions::from_settings(settings) else {
        return std::future::pending().await;
    };
    let mut running = start_engine(options).await?;
    tracing::info!(address = %running.address, "engine stand-in listening");
    Err(running.ended().await)
}

/// Runs the configured service stand-in until it fails. Never returns if no service address is
/// set.
pub async fn run_service(settings: &StandinSettings) -> Result<(), StandinError> {
    let Some(address) = settings.service_address else {
        return std::future::pending().await;
    };
    let mut running = start_service(address).await?;
    tracing::info!(address = %running.address, "service stand-in listening");
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

async fn start(rocket: Rocket<Build>) -> Result<StandinServer, StandinError> {
    let runtime = Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
        .thread_name("standin")
        .enable_all()
        .build()
        .map_err(|error| StandinError(format!("cannot start the stand-in's runtime: {error}")))?;
    let (address_sender, address_receiver) = oneshot::channel();
    let (end_sender, ended) = oneshot::channel();
    let rocket = rocket.attach(AdHoc::on_liftoff("address", |rocket| {
        let address = SocketAddr::new(rocket.config().address, rocket.config().port);
        Box::pin(async move {
            // Fails only if the caller has dropped the future of the start.
            let _ = address_sender.send(address);
        })
    }));
    runtime.spawn(async move {
        let reason = match rocket.launch().await {
            Ok(_) => "the server was shut down".to_owned(),
            Err(error) => format!("the server failed: {error}"),
        };
        // Fails only if the stand-in is being dropped.
        let _ = end_sender.send(reason);
    });
    let mut running = StandinServer {
        address: SocketAddr::from(([127, 0, 0, 1], 0)),
        runtime: Some(runtime),
        ended,
        engine: None,
    };
    match address_receiver.await {
        Ok(address) => running.address = address,
        Err(_) => return Err(running.ended().await),
    }
    Ok(running)
}
