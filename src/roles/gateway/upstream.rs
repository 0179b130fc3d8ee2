//! Connections to upstream instances. Nothing is sent twice here: whoever sends decides on repeats.

use std::collections::BTreeMap;
use std::fmt;
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

/// Upper bound on the time to open a connection. Zones are a few milliseconds apart; a second
/// attempt at another instance is better than waiting for a lost packet.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);
/// A connection on which sent bytes stay unacknowledged for this long is dead.
const UPSTREAM_TCP_USER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// IdleConnection connections are not used again after this time: the instance may be closing them, and a
/// request that crosses the close may have run.
const MAX_IDLE_TIME: Duration = Duration::from_millis(2_500);
/// IdleConnection connections kept for one instance.
const MAX_IDLE_PER_INSTANCE: usize = 16;

/// Why a request has no answer.
#[derive(Debug)]
pub(super) enum SendFailure {
    /// Nothing was sent.
    NotSent(String),
    /// The request was sent, or a part of it, and may have run.
    Lost(String),
}

impl fmt::Display for SendFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(cause) => write!(f, "not sent: {cause}"),
            Self::Lost(cause) => write!(f, "no answer: {cause}"),
        }
    }
}

/// A connection; it is closed when it is dropped, unless it was kept for another request.
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

/// Connections that wait for another request.
#[derive(Default)]
pub(super) struct ConnectionPool {
    idle: Mutex<BTreeMap<SocketAddr, Vec<IdleConnection>>>,
    large_bodies: LargeBodies,
}

/// An answer whose body is still to be read. Dropping it closes the connection, which tells the
/// instance that nobody waits any more.
pub(super) struct Exchange {
    pub(super) head: response::Parts,
    pub(super) body: Incoming,
    connection: Connection,
}

impl Exchange {
    /// Returns true if the body says where it ends, so that one that breaks off is never taken for
    /// complete. Others end with their connection.
    pub(super) fn has_explicit_end(&self) -> bool {
        let headers = &self.head.headers;
        headers.contains_key(header::TRANSFER_ENCODING)
            || headers.contains_key(header::CONTENT_LENGTH)
    }
}

impl ConnectionPool {
    /// Sends a request and returns the head of its answer.
    pub(super) async fn send(
        &self,
        address: SocketAddr,
        mut request: Request<Full<Bytes>>,
        request_id: &str,
    ) -> Result<Exchange, SendFailure> {
        while let Some(mut connection) = self.take_idle(address) {
            match send_on(&mut connection, request, request_id, true).await {
                Ok(answer) => return Ok(into_exchange(answer, connection)),
                // The instance has closed the idle connection; another one can be used.
                Err((_, Some(unsent))) => request = unsent,
                Err((failure, None)) => return Err(failure),
            }
        }
        let mut connection = connect(address).await.map_err(SendFailure::NotSent)?;
        match send_on(&mut connection, request, request_id, false).await {
            Ok(answer) => Ok(into_exchange(answer, connection)),
            Err((failure, _)) => Err(failure),
        }
    }

    /// Returns the whole body of an answer and keeps its connection. Fails if the body is not
    /// complete.
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
        self.return_idle(connection, &head.headers);
        Ok((head, body))
    }

    /// Keeps the connection of an answer whose body was read to its end.
    pub(super) fn finish(&self, exchange: Exchange) {
        self.return_idle(exchange.connection, &exchange.head.headers);
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

    fn return_idle(&self, connection: Connection, answer: &HeaderMap) {
        let limit = max_idle_time(answer);
        if limit.is_zero() {
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

    /// Closes connections that were idle for too long.
    pub(super) fn close_idle_connections(&self) {
        let now = Instant::now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|_, kept| {
            kept.retain(|idle| now < idle.usable_until);
            !kept.is_empty()
        });
    }
}

/// Returns how long a connection may stay idle, by what the instance says of it.
fn max_idle_time(answer: &HeaderMap) -> Duration {
    let named = headers::keep_alive_s(answer).map(Duration::from_secs);
    // Half of the time named leaves room for a request on its way.
    named.map_or(MAX_IDLE_TIME, |named| (named / 2).min(MAX_IDLE_TIME))
}

fn into_exchange(answer: Response<Incoming>, connection: Connection) -> Exchange {
    let (head, body) = answer.into_parts();
    Exchange {
        head,
        body,
        connection,
    }
}

async fn connect(address: SocketAddr) -> Result<Connection, String> {
    let opening = async {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        SockRef::from(&stream).set_tcp_user_timeout(Some(UPSTREAM_TCP_USER_TIMEOUT))?;
        Ok::<_, std::io::Error>(stream)
    };
    let stream = match timeout(CONNECT_TIMEOUT, opening).await {
        Ok(stream) => stream.map_err(|error| format!("cannot connect to {address}: {error}"))?,
        Err(_) => return Err(format!("{address} does not take connections")),
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

/// Sends a request over a connection. On failure returns the request if nothing of it was sent.
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
    let answer = match sender.try_send_request(request).await {
        Ok(answer) => answer,
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
    // A late answer to an earlier request may come first on a kept connection.
    match headers::text(answer.headers(), &headers::REQUEST_ID) {
        Some(id) if id == request_id => Ok(answer),
        Some(id) => {
            let cause = format!("the answer belongs to request {id}");
            Err((SendFailure::Lost(cause), None))
        }
        None if is_reused => {
            let cause = "an answer on a kept connection names no request".to_owned();
            Err((SendFailure::Lost(cause), None))
        }
        None => Ok(answer),
    }
}
