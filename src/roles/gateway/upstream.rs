//! Connections to upstream instances. This module never sends a request twice; callers decide on
//! retries.

use std::collections::BTreeMap;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, Response, header, response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::{Instant, timeout};

use super::collect::LargeBodies;
use crate::platform::{HEAD_LIMIT_BYTES, headers};

/// Timeout for opening a connection. The round trip between zones takes a few milliseconds, and
/// trying another instance is faster than waiting for the retransmission of a lost packet.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);
/// Connections on which sent bytes stay unacknowledged for this long are closed.
const UPSTREAM_TCP_USER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Idle connections are not reused after this time: the instance may be closing them, and a request
/// that is sent while it does may have been executed.
const MAX_IDLE_TIME: Duration = Duration::from_millis(2_500);
/// Upper bound on the idle connections kept per instance.
const MAX_IDLE_PER_INSTANCE: usize = 16;

/// Reason for a request to have no response.
#[derive(Debug)]
pub(super) enum SendFailure {
    /// Nothing of the request was sent.
    NotSent(String),
    /// The request was sent at least in part and may have been executed.
    Lost(String),
}

impl fmt::Display for SendFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(cause) => write!(f, "not sent: {cause}"),
            Self::Lost(cause) => write!(f, "no response: {cause}"),
        }
    }
}

/// The connections on which a request may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Connections {
    /// Kept ones first.
    Any,
    /// Only a new one. A kept one may carry a repeated response to an earlier attempt of the same
    /// request, which has the same id.
    New,
}

impl Connections {
    /// Returns the connections for an attempt at `address`, after attempts of the same request at
    /// `asked` addresses that left their connections open.
    pub(super) fn for_attempt(address: SocketAddr, asked: &[SocketAddr]) -> Self {
        match asked.contains(&address) {
            true => Self::New,
            false => Self::Any,
        }
    }
}

/// A connection, which is closed when it is dropped.
struct Connection {
    address: SocketAddr,
    sender: Option<SendRequest<Full<Bytes>>>,
    task: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        if self.sender.is_some() {
            self.task.abort();
        }
    }
}

struct IdleConnection {
    connection: Connection,
    usable_until: Instant,
}

/// Pool of idle connections by instance address.
#[derive(Default)]
pub(super) struct ConnectionPool {
    idle: Mutex<BTreeMap<SocketAddr, Vec<IdleConnection>>>,
    large_bodies: LargeBodies,
}

/// A response whose body has not been read yet. Dropping it closes the connection, from which the
/// instance learns that the request was abandoned.
pub(super) struct Exchange {
    pub(super) head: response::Parts,
    pub(super) body: Incoming,
    connection: Connection,
}

impl Exchange {
    /// Returns true if the body has an explicit end (by chunked encoding or its length), so that a
    /// truncated one is detected. Other bodies end when the connection is closed.
    pub(super) fn has_explicit_end(&self) -> bool {
        let headers = &self.head.headers;
        headers.contains_key(header::TRANSFER_ENCODING)
            || headers.contains_key(header::CONTENT_LENGTH)
    }
}

impl ConnectionPool {
    /// Sends a request and returns once the response head has been received.
    pub(super) async fn send(
        &self,
        address: SocketAddr,
        mut request: Request<Full<Bytes>>,
        request_id: &str,
        connections: Connections,
    ) -> Result<Exchange, SendFailure> {
        let take_idle = || match connections {
            Connections::Any => self.take_idle(address),
            Connections::New => None,
        };
        while let Some(mut connection) = take_idle() {
            match send_on(&mut connection, request, request_id, true).await {
                Ok(response) => return Ok(into_exchange(response, connection)),
                // The instance had closed the idle connection before anything was sent.
                Err((failure, Some(unsent))) => {
                    tracing::info!(
                        request = request_id,
                        %address,
                        %failure,
                        "another connection is used"
                    );
                    request = unsent;
                }
                Err((failure, None)) => return Err(failure),
            }
        }
        let mut connection = connect(address).await.map_err(SendFailure::NotSent)?;
        match send_on(&mut connection, request, request_id, false).await {
            Ok(response) => Ok(into_exchange(response, connection)),
            Err((failure, _)) => Err(failure),
        }
    }

    /// Reads the whole body of a response and returns its connection to the pool. Fails if the body
    /// is incomplete or too large.
    pub(super) async fn collect(
        &self,
        exchange: Exchange,
    ) -> Result<(response::Parts, Bytes), String> {
        let Exchange {
            head,
            body,
            connection,
        } = exchange;
        let body = self.large_bodies.collect(body).await?;
        self.return_idle(connection, &head);
        Ok((head, body))
    }

    /// Returns the connection of a response to the pool, after its body was read to its end.
    pub(super) fn finish(&self, exchange: Exchange) {
        self.return_idle(exchange.connection, &exchange.head);
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let kept = idle.get_mut(&address)?;
        while let Some(IdleConnection {
            connection,
            usable_until,
        }) = kept.pop()
        {
            let open = connection
                .sender
                .as_ref()
                .is_some_and(SendRequest::is_ready);
            if open && Instant::now() < usable_until {
                return Some(connection);
            }
        }
        idle.remove(&address);
        None
    }

    fn return_idle(&self, connection: Connection, response: &response::Parts) {
        let limit = max_idle_time(&response.headers);
        // A copy of a refusal that arrives late would prove that a later attempt has not run if the
        // caller returns with the same id.
        if limit.is_zero() || headers::states_not_run(response.status, &response.headers) {
            return;
        }
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let kept = idle.entry(connection.address).or_default();
        if kept.len() < MAX_IDLE_PER_INSTANCE {
            kept.push(IdleConnection {
                connection,
                usable_until: Instant::now() + limit,
            });
        }
    }

    /// Closes connections that have been idle for too long.
    pub(super) fn close_idle_connections(&self) {
        let now = Instant::now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|_, kept| {
            kept.retain(|idle| now < idle.usable_until);
            !kept.is_empty()
        });
    }
}

/// Returns how long a connection may be idle, given the keep-alive headers of the instance's
/// response.
fn max_idle_time(response: &HeaderMap) -> Duration {
    let announced = headers::keep_alive_s(response).map(Duration::from_secs);
    // Half of the announced time, as a request may still be in transit when that time ends.
    announced.map_or(MAX_IDLE_TIME, |announced| {
        (announced / 2).min(MAX_IDLE_TIME)
    })
}

fn into_exchange(response: Response<Incoming>, connection: Connection) -> Exchange {
    let (head, body) = response.into_parts();
    Exchange {
        head,
        body,
        connection,
    }
}

/// Returns true if nothing listens at an address.
pub(super) async fn refuses_connections(address: SocketAddr) -> bool {
    let opened = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    matches!(opened, Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused)
}

/// Returns true if an address accepts connections.
pub(super) async fn accepts_connections(address: SocketAddr) -> bool {
    let opened = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    matches!(opened, Ok(Ok(_)))
}

async fn connect(address: SocketAddr) -> Result<Connection, String> {
    let opening = async {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        SockRef::from(&stream).set_tcp_user_timeout(Some(UPSTREAM_TCP_USER_TIMEOUT))?;
        Ok::<_, io::Error>(stream)
    };
    let stream = match timeout(CONNECT_TIMEOUT, opening).await {
        Ok(stream) => stream.map_err(|error| format!("cannot connect to {address}: {error}"))?,
        Err(_) => return Err(format!("timed out connecting to {address}")),
    };
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(HEAD_LIMIT_BYTES)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|error| error.to_string())?;
    let task = tokio::spawn(async move {
        if let Err(error) = connection.await {
            tracing::debug!(%address, %error, "upstream connection ended");
        }
    });
    Ok(Connection {
        address,
        sender: Some(sender),
        task: task.abort_handle(),
    })
}

type Unsent = Option<Request<Full<Bytes>>>;

/// Sends a request over a connection and returns the response head, which is known to be that of an
/// instance to this request. On failure returns the request as well if nothing of it was sent.
async fn send_on(
    connection: &mut Connection,
    request: Request<Full<Bytes>>,
    request_id: &str,
    is_reused: bool,
) -> Result<Response<Incoming>, (SendFailure, Unsent)> {
    let Some(sender) = connection.sender.as_mut() else {
        let closed = SendFailure::NotSent("the connection is closed".to_owned());
        return Err((closed, Some(request)));
    };
    let response = match sender.try_send_request(request).await {
        Ok(response) => response,
        Err(mut error) => {
            let unsent = error.take_message();
            let cause = error.into_error().to_string();
            let failure = match unsent {
                Some(_) => SendFailure::NotSent(cause),
                None => SendFailure::Lost(cause),
            };
            return Err((failure, unsent));
        }
    };
    headers::check_origin(response.status(), response.headers(), request_id, is_reused)
        .map_err(|cause| (SendFailure::Lost(cause), None))?;
    Ok(response)
}
