//! A shared connection to one process, monitored by heartbeats and reopened when it is lost.

use std::fmt;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::future::BoxFuture;
use tarpc::client::{Config, RpcError};
use tarpc::context::Context;
use tokio::net::TcpStream;
use tokio::sync::{Mutex, watch};
use tokio::time::{Instant, sleep, timeout};

use super::connection::{CONNECT_TIMEOUT, open_socket, wrap};
use super::control::ControlClient;
use super::directory::DirectoryClient;
use super::peer::PeerClient;
use super::sidecar::SidecarClient;
use super::{ConnectError, Service, deadline_after};

/// Time between heartbeats on a connection.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// A connection whose heartbeat is not answered within this time counts as lost.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after a failed connect for which calls fail immediately, so that callers do not queue up
/// behind successive connection attempts.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);
/// Time-out for connecting to the directory. Any of its instances can answer, and after a power
/// failure a connect to an instance that is still down hangs while another one is available.
const DIRECTORY_CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Maximum number of unanswered calls on one connection.
const MAX_IN_FLIGHT_CALLS: usize = 100_000;

/// Why a call got no answer.
#[derive(Debug)]
pub enum CallError {
    /// Nothing was sent.
    NotSent(String),
    /// The call was or may have been sent, so the peer may have executed it.
    Lost(String),
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(cause) => write!(f, "not sent: {cause}"),
            Self::Lost(cause) => write!(f, "no answer: {cause}"),
        }
    }
}

impl std::error::Error for CallError {}

impl From<ConnectError> for CallError {
    fn from(error: ConnectError) -> Self {
        Self::NotSent(error.to_string())
    }
}

/// How to create a client for a service and how to send it a heartbeat.
struct Protocol<C> {
    service: Service,
    connect_timeout: Duration,
    new_client: fn(TcpStream) -> C,
    ping: fn(C, Context) -> BoxFuture<'static, Result<(), RpcError>>,
}

/// A client, and whether its connection has been lost.
#[derive(Clone)]
struct OpenConnection<C> {
    client: C,
    lost: watch::Receiver<bool>,
}

enum ConnectionState<C> {
    Closed { retry_at: Instant, cause: String },
    Open(OpenConnection<C>),
}

/// A connection to one process, opened on first use and shared by all callers.
pub struct Link<C> {
    address: SocketAddr,
    protocol: Protocol<C>,
    state: Mutex<ConnectionState<C>>,
}

impl<C: Clone + Send + Sync + 'static> Link<C> {
    fn new(address: SocketAddr, protocol: Protocol<C>) -> Arc<Self> {
        let state = ConnectionState::Closed {
            retry_at: Instant::now(),
            cause: String::new(),
        };
        Arc::new(Self {
            address,
            protocol,
            state: Mutex::new(state),
        })
    }

    /// Returns the address of the process.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Calls the process, for example `link.call(limit, |client, context| async move {
    /// client.probe(context, request).await })`. Fails after `limit`, or as soon as
    /// the heartbeat finds the connection silent or closed.
    pub async fn call<T, F, Fut>(&self, limit: Duration, call: F) -> Result<T, CallError>
    where
        F: FnOnce(C, Context) -> Fut,
        Fut: Future<Output = Result<T, RpcError>>,
    {
        let mut connection = self.connection().await?;
        let answer = call(connection.client.clone(), deadline_after(limit));
        let result = tokio::select! {
            result = timeout(limit, answer) => result,
            _ = connection.lost.wait_for(|lost| *lost) => {
                return Err(CallError::Lost(format!("the connection to {} went silent", self.address)));
            }
        };
        match result {
            Ok(Ok(value)) => Ok(value),
            Ok(Err(RpcError::DeadlineExceeded)) | Err(_) => Err(CallError::Lost(format!(
                "{} took longer than {} ms",
                self.address,
                limit.as_millis()
            ))),
            Ok(Err(error)) => Err(CallError::Lost(format!("{}: {error}", self.address))),
        }
    }

    /// Returns the open connection, or opens a new one.
    async fn connection(&self) -> Result<OpenConnection<C>, CallError> {
        let mut state = self.state.lock().await;
        match &*state {
            ConnectionState::Open(connection) if !*connection.lost.borrow() => {
                return Ok(connection.clone());
            }
            ConnectionState::Closed { retry_at, cause } if Instant::now() < *retry_at => {
                return Err(CallError::NotSent(cause.clone()));
            }
            _ => {}
        }
        let stream = match open_socket(
            self.address,
            self.protocol.service,
            self.protocol.connect_timeout,
        )
        .await
        {
            Ok(stream) => stream,
            Err(error) => {
                let retry_at = Instant::now() + RECONNECT_DELAY;
                *state = ConnectionState::Closed {
                    retry_at,
                    cause: error.to_string(),
                };
                return Err(error.into());
            }
        };
        let client = (self.protocol.new_client)(stream);
        let (lost_sender, lost) = watch::channel(false);
        tokio::spawn(heartbeat(
            client.clone(),
            self.protocol.ping,
            lost_sender,
            self.address,
        ));
        let connection = OpenConnection { client, lost };
        *state = ConnectionState::Open(connection.clone());
        Ok(connection)
    }
}

/// Sends heartbeats until one fails or times out, or until the connection is no longer used.
async fn heartbeat<C: Clone>(
    client: C,
    ping: fn(C, Context) -> BoxFuture<'static, Result<(), RpcError>>,
    lost: watch::Sender<bool>,
    address: SocketAddr,
) {
    loop {
        tokio::select! {
            () = sleep(HEARTBEAT_INTERVAL) => {}
            () = lost.closed() => return,
        }
        let answer = ping(client.clone(), deadline_after(HEARTBEAT_TIMEOUT));
        match timeout(HEARTBEAT_TIMEOUT, answer).await {
            Ok(Ok(())) => {}
            Ok(Err(error)) => {
                tracing::debug!(%address, %error, "connection lost");
                break;
            }
            Err(_) => {
                tracing::warn!(%address, "heartbeat timed out; the next call reconnects");
                break;
            }
        }
    }
    // Fails only if there is no receiver left.
    let _ = lost.send(true);
}

fn client_config() -> Config {
    let mut config = Config::default();
    config.max_in_flight_requests = MAX_IN_FLIGHT_CALLS;
    config
}

/// Returns a link to a sidecar.
pub fn sidecar_link(address: SocketAddr) -> Arc<Link<SidecarClient>> {
    let protocol = Protocol {
        service: Service::Sidecar,
        connect_timeout: CONNECT_TIMEOUT,
        new_client: |stream| {
            SidecarClient::new(client_config(), wrap(stream, Service::Sidecar)).spawn()
        },
        ping: |client: SidecarClient, context| Box::pin(async move { client.ping(context).await }),
    };
    Link::new(address, protocol)
}

/// Returns a link to a control instance or relay.
pub fn control_link(address: SocketAddr) -> Arc<Link<ControlClient>> {
    let protocol = Protocol {
        service: Service::Control,
        connect_timeout: CONNECT_TIMEOUT,
        new_client: |stream| {
            ControlClient::new(client_config(), wrap(stream, Service::Control)).spawn()
        },
        ping: |client: ControlClient, context| Box::pin(async move { client.ping(context).await }),
    };
    Link::new(address, protocol)
}

/// Returns a link to a control instance for replicated log messages.
pub fn peer_link(address: SocketAddr) -> Arc<Link<PeerClient>> {
    let protocol = Protocol {
        service: Service::Peer,
        connect_timeout: CONNECT_TIMEOUT,
        new_client: |stream| PeerClient::new(client_config(), wrap(stream, Service::Peer)).spawn(),
        ping: |client: PeerClient, context| Box::pin(async move { client.ping(context).await }),
    };
    Link::new(address, protocol)
}

/// Returns a link to a control instance for the shared document and the state of the fleet.
pub fn directory_link(address: SocketAddr) -> Arc<Link<DirectoryClient>> {
    let protocol = Protocol {
        service: Service::Directory,
        connect_timeout: DIRECTORY_CONNECT_TIMEOUT,
        new_client: |stream| {
            DirectoryClient::new(client_config(), wrap(stream, Service::Directory)).spawn()
        },
        ping: |client: DirectoryClient, context| {
            Box::pin(async move { client.ping(context).await })
        },
    };
    Link::new(address, protocol)
}
