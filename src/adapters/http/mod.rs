//! Starts and stops Rocket servers. The roles drain requests themselves before they stop a server.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Mutex;

use rocket::config::{LogLevel, Shutdown};
use rocket::data::{Limits, ToByteUnit};
use rocket::fairing::AdHoc;
use rocket::{Build, Config, Rocket};
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

/// Seconds that Rocket waits for open responses at shutdown. Requests are drained before, so that
/// normally none is open by then.
const SHUTDOWN_GRACE_S: u32 = 1;

/// A running server.
pub struct Server {
    pub address: SocketAddr,
    shutdown: rocket::Shutdown,
    task: JoinHandle<Result<Rocket<rocket::Ignite>, rocket::Error>>,
}

impl Server {
    /// Stops the server; responses that are still open are cut off after a second.
    pub async fn stop(self) {
        self.shutdown.notify();
        match self.task.await {
            Ok(Ok(_)) => {}
            Ok(Err(error)) => {
                // Rocket's error panics when it is dropped without having been read, so it is
                // formatted here even if the log level discards the line.
                let cause = error.to_string();
                tracing::warn!(address = %self.address, cause, "responses were still open when the HTTP server stopped");
            }
            Err(error) => {
                tracing::error!(address = %self.address, %error, "HTTP server task failed");
            }
        }
    }
}

/// The error of a server that could not be started.
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
            grace: SHUTDOWN_GRACE_S,
            mercy: SHUTDOWN_GRACE_S,
            ..Shutdown::default()
        },
        ..Config::default()
    };
    let (sender, receiver) = oneshot::channel();
    let sender = Mutex::new(Some(sender));
    let liftoff = AdHoc::on_liftoff("bound address", move |rocket| {
        let port = rocket.config().port;
        if let Some(sender) = sender.lock().ok().and_then(|mut sender| sender.take()) {
            // Sending fails only if the caller has dropped the `start` future.
            let _ = sender.send((port, rocket.shutdown()));
        }
        Box::pin(async {})
    });
    let task = tokio::spawn(build(rocket::custom(config)).attach(liftoff).launch());
    let start_error = |cause| StartError { address, cause };
    match receiver.await {
        Ok((port, shutdown)) => Ok(Server {
            address: SocketAddr::new(address.ip(), port),
            shutdown,
            task,
        }),
        Err(_) => match task.await {
            Ok(Err(error)) => Err(start_error(error.to_string())),
            _ => Err(start_error("the server exited during startup".to_owned())),
        },
    }
}
