//! A connection to one process that is watched by heartbeats and made anew when it is lost.

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

use super::connection::{CONNECT_LIMIT, open_socket, wrap};
use super::control::ControlClient;
use super::directory::DirectoryClient;
use super::peer::PeerClient;
use super::sidecar::SidecarClient;
use super::{ConnectError, Service, deadline_after};

/// Time between heartbeats on a connection.
const HEARTBEAT: Duration = Duration::from_millis(500);
/// A connection whose heartbeat is not answered within this time is given up.
const SILENCE_LIMIT: Duration = Duration::from_secs(2);
/// After a failed connect, calls fail at once for this time, so that callers do not queue up
/// behind one connect after the other.
const CONNECT_PAUSE: Duration = Duration::from_millis(100);
/// Upper bound on the time to connect to the directory. Any of its instances will do, and after a
/// loss of power a connection to one that is not up yet hangs while another one answers.
const DIRECTORY_CONNECT_LIMIT: Duration = Duration::from_millis(250);
/// Calls that wait for an answer on one connection at once.
const MAX_IN_FLIGHT: usize = 100_000;

/// Why a call has no answer.
#[derive(Debug)]
pub enum CallError {
    /// Nothing was sent.
    NotSent(String),
    /// The call was sent, or may have been; the peer may have acted on it.
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

/// How to make a client and how to probe it.
struct Protocol<C> {
    service: Service,
    connect_limit: Duration,
    make: fn(TcpStream) -> C,
    ping: fn(C, Context) -> BoxFuture<'static, Result<(), RpcError>>,
}

/// A client and the news whether its connection was given up.
#[derive(Clone)]
struct Live<C> {
    client: C,
    down: watch::Receiver<bool>,
}

enum State<C> {
    Closed { retry_at: Instant, cause: String },
    Open(Live<C>),
}

/// A connection to one process; cheap to share, made on first use.
pub struct Link<C> {
    address: SocketAddr,
    protocol: Protocol<C>,
    state: Mutex<State<C>>,
}

impl<C: Clone + Send + Sync + 'static> Link<C> {
    fn new(address: SocketAddr, protocol: Protocol<C>) -> Arc<Self> {
        let state = State::Closed {
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
    /// client.probe(context, request).await })`. Fails after `limit`, or as soon as the
    /// connection is known to be silent or closed.
    pub async fn call<T, F, Fut>(&self, limit: Duration, call: F) -> Result<T, CallError>
    where
        F: FnOnce(C, Context) -> Fut,
        Fut: Future<Output = Result<T, RpcError>>,
    {
        let mut live = self.live().await?;
        let answer = call(live.client.clone(), deadline_after(limit));
        let result = tokio::select! {
            result = timeout(limit, answer) => result,
            _ = live.down.wait_for(|down| *down) => {
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

    /// Returns the current client, connecting if needed.
    async fn live(&self) -> Result<Live<C>, CallError> {
        let mut state = self.state.lock().await;
        match &*state {
            State::Open(live) if !*live.down.borrow() => return Ok(live.clone()),
            State::Closed { retry_at, cause } if Instant::now() < *retry_at => {
                return Err(CallError::NotSent(cause.clone()));
            }
            _ => {}
        }
        let stream = match open_socket(
            self.address,
            self.protocol.service,
            self.protocol.connect_limit,
        )
        .await
        {
            Ok(stream) => stream,
            Err(error) => {
                let retry_at = Instant::now() + CONNECT_PAUSE;
                *state = State::Closed {
                    retry_at,
                    cause: error.to_string(),
                };
                return Err(error.into());
            }
        };
        let client = (self.protocol.make)(stream);
        let (down_sender, down) = watch::channel(false);
        tokio::spawn(heartbeat(
            client.clone(),
            self.protocol.ping,
            down_sender,
            self.address,
        ));
        let live = Live { client, down };
        *state = State::Open(live.clone());
        Ok(live)
    }
}

/// Probes a connection until it is silent or nobody uses it.
async fn heartbeat<C: Clone>(
    client: C,
    ping: fn(C, Context) -> BoxFuture<'static, Result<(), RpcError>>,
    down: watch::Sender<bool>,
    address: SocketAddr,
) {
    loop {
        tokio::select! {
            () = sleep(HEARTBEAT) => {}
            () = down.closed() => return,
        }
        let answer = ping(client.clone(), deadline_after(SILENCE_LIMIT));
        match timeout(SILENCE_LIMIT, answer).await {
            Ok(Ok(())) => {}
            Ok(Err(error)) => {
                tracing::debug!(%address, %error, "connection lost");
                break;
            }
            Err(_) => {
                tracing::warn!(%address, "connection is silent; calls go over a new one");
                break;
            }
        }
    }
    // Fails only if no call waits.
    let _ = down.send(true);
}

fn client_config() -> Config {
    let mut config = Config::default();
    config.max_in_flight_requests = MAX_IN_FLIGHT;
    config
}

/// Returns a link to a sidecar.
pub fn sidecar_link(address: SocketAddr) -> Arc<Link<SidecarClient>> {
    let protocol = Protocol {
        service: Service::Sidecar,
        connect_limit: CONNECT_LIMIT,
        make: |stream| SidecarClient::new(client_config(), wrap(stream, Service::Sidecar)).spawn(),
        ping: |client: SidecarClient, context| Box::pin(async move { client.ping(context).await }),
    };
    Link::new(address, protocol)
}

/// Returns a link to a control instance or relay.
pub fn control_link(address: SocketAddr) -> Arc<Link<ControlClient>> {
    let protocol = Protocol {
        service: Service::Control,
        connect_limit: CONNECT_LIMIT,
        make: |stream| ControlClient::new(client_config(), wrap(stream, Service::Control)).spawn(),
        ping: |client: ControlClient, context| Box::pin(async move { client.ping(context).await }),
    };
    Link::new(address, protocol)
}

/// Returns a link to a control instance for messages of the replicated log.
pub fn peer_link(address: SocketAddr) -> Arc<Link<PeerClient>> {
    let protocol = Protocol {
        service: Service::Peer,
        connect_limit: CONNECT_LIMIT,
        make: |stream| PeerClient::new(client_config(), wrap(stream, Service::Peer)).spawn(),
        ping: |client: PeerClient, context| Box::pin(async move { client.ping(context).await }),
    };
    Link::new(address, protocol)
}

/// Returns a link to a control instance for the shared document and the fleet.
pub fn directory_link(address: SocketAddr) -> Arc<Link<DirectoryClient>> {
    let protocol = Protocol {
        service: Service::Directory,
        connect_limit: DIRECTORY_CONNECT_LIMIT,
        make: |stream| {
            DirectoryClient::new(client_config(), wrap(stream, Service::Directory)).spawn()
        },
        ping: |client: DirectoryClient, context| {
            Box::pin(async move { client.ping(context).await })
        },
    };
    Link::new(address, protocol)
}
