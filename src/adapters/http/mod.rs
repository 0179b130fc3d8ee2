//! Starts Rocket servers that this project drains itself.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Mutex;

use rocket::config::{LogLevel, Shutdown};
use rocket::data::{Limits, ToByteUnit};
use rocket::fairing::AdHoc;
use rocket::{Build, Config, Rocket};
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

/// Seconds that Rocket gives open responses once it is told to stop. Draining comes before, so
/// that nothing is open by then.
const GRACE_S: u32 = 1;

/// A running server.
pub struct Server {
    pub address: SocketAddr,
    shutdown: rocket::Shutdown,
    task: JoinHandle<Result<Rocket<rocket::Ignite>, rocket::Error>>,
}

impl Server {
    /// Stops the server; responses that are still open are cut after a second.
    pub async fn stop(self) {
        self.shutdown.notify();
        match self.task.await {
            Ok(Ok(_)) => {}
            Ok(Err(error)) => {
                // Rocket panics when such an error is dropped unread, also where no log reads it.
                let cause = error.to_string();
                tracing::warn!(address = %self.address, cause, "responses were still open at the stop of the server");
            }
            Err(error) => tracing::error!(address = %self.address, %error, "the server has failed"),
        }
    }
}

/// A server could not be started.
#[derive(Debug)]
pub struct StartError {
    pub address: SocketAddr,
    pub cause: String,
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "cannot serve HTTP on {}: {}", self.address, self.cause)
    }
}

impl std::error::Error for StartError {}

/// Starts a server; `build` mounts its routes. Fails if the address is in use.
pub async fn start(
    address: SocketAddr,
    body_limit_bytes: u64,
    build: impl FnOnce(Rocket<Build>) -> Rocket<Build>,
) -> Result<Server, StartError> {
    let limit = body_limit_bytes.bytes();
    let config = Config {
        address: address.ip(),
        port: address.port(),
        log_level: LogLevel::Off,
        limits: Limits::default()
            .limit("json", limit)
            .limit("bytes", limit)
            .limit("string", limit),
        shutdown: Shutdown {
            ctrlc: false,
            signals: std::collections::HashSet::new(),
            grace: GRACE_S,
            mercy: GRACE_S,
            ..Shutdown::default()
        },
        ..Config::default()
    };
    let (sender, receiver) = oneshot::channel();
    let sender = Mutex::new(Some(sender));
    let liftoff = AdHoc::on_liftoff("bound address", move |rocket| {
        let port = rocket.config().port;
        if let Some(sender) = sender.lock().ok().and_then(|mut sender| sender.take()) {
            // The receiver is gone only if the caller gave up.
            let _ = sender.send((port, rocket.shutdown()));
        }
        Box::pin(async {})
    });
    let task = tokio::spawn(build(rocket::custom(config)).attach(liftoff).launch());
    let failed = |cause| StartError { address, cause };
    match receiver.await {
        Ok((port, shutdown)) => Ok(Server {
            address: SocketAddr::new(address.ip(), port),
            shutdown,
            task,
        }),
        Err(_) => match task.await {
            Ok(Err(error)) => Err(failed(error.to_string())),
            _ => Err(failed("the server stopped at its start".to_owned())),
        },
    }
}
