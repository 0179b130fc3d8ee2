//! HTTP calls to the platform's instance list and to replicas, other than forwarded requests of
//! callers.

use std::fmt;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::error::Elapsed;
use tokio::time::{Instant, sleep, timeout};

use super::reports::{RunningGenerations, decode_running};
use super::{HEAD_LIMIT_BYTES, decode_instances, decode_report, headers, paths};
use crate::adapters::status;
use crate::domain::fleet::{AskedPause, Listed, NamedLimit, Report};

/// Upper bound on a page of the list, which has about 15 KB on the sites planned for.
const MAX_PAGE_BYTES: usize = 4 * 1024 * 1024;
/// Upper bound on a response of a replica. It is low since many are read at once; a report with 64
/// runs has about 4 KB.
const MAX_REPLICA_RESPONSE_BYTES: usize = 64 * 1024;
/// Upper bound on the pages of one list. At 50 entries a page, this is more than the largest fleet
/// designed for.
const MAX_PAGES: usize = 200;
/// Bounds of the backoff after a page was rejected; the platform limits the calls per second.
const PAGE_BACKOFF_MIN: Duration = Duration::from_millis(20);
const PAGE_BACKOFF_MAX: Duration = Duration::from_millis(320);
/// Timeout for opening the connection of a liveness check, and the number of attempts: one lost
/// packet must not make a replica count as late.
const LIVENESS_CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
const MAX_LIVENESS_CONNECTS: usize = 2;

/// Why a call failed.
#[derive(Debug)]
pub enum CallFailure {
    /// There was no response, or it could not be decoded.
    Failed(String),
    /// The response has a status other than success.
    Status(StatusCode),
    /// The replica asked its callers to pause.
    AskedForTime(AskedPause),
}

impl fmt::Display for CallFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Failed(cause) => f.write_str(cause),
            Self::Status(status) => write!(f, "response has status {status}"),
            Self::AskedForTime(asked) => {
                write!(f, "asked for a pause of {} ms", asked.bounded_ms())
            }
        }
    }
}

/// Whether a replica responds to calls now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Liveness {
    /// It responds, and names the generations that it runs.
    Responds(RunningGenerations),
    /// There is no response in time: the process may be held up. Connections are ignored once its
    /// queue of new ones is full, so that a machine which ignores them proves no more than one which
    /// accepts them.
    Late,
    /// Its machine refuses connections: the process has ended, or cannot be reached.
    Unreachable,
}

/// Why a generation could not be copied to another replica.
#[derive(Debug)]
pub struct MoveFailure {
    pub cause: CallFailure,
    /// Handle of the generation's memory at the source, if that has stopped the generation.
    pub handle: Option<Arc<str>>,
}

impl fmt::Display for MoveFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.handle {
            Some(handle) => write!(f, "{}; the source keeps {handle}", self.cause),
            None => self.cause.fmt(f),
        }
    }
}

impl From<CallFailure> for MoveFailure {
    fn from(cause: CallFailure) -> Self {
        Self {
            cause,
            handle: None,
        }
    }
}

#[derive(Deserialize)]
struct MoveResponse {
    handle: serde_json::Value,
}

/// Reads all pages of the platform's list and returns its instances. The platform limits the calls
/// per second; a page that it rejects for this reason is requested again, since the pages before it
/// stay valid.
pub async fn read_list(address: SocketAddr, limit: Duration) -> Result<Vec<Listed>, CallFailure> {
    let deadline = Instant::now() + limit;
    let mut connection = None;
    let mut listed = Vec::new();
    let mut path = paths::INSTANCES.to_owned();
    for _ in 0..MAX_PAGES {
        let body = read_page(&mut connection, address, &path, deadline).await?;
        let (page, next) = decode_instances(&body).map_err(CallFailure::Failed)?;
        listed.extend(page);
        match next {
            Some(token) => path = format!("{}?pageToken={token}", paths::INSTANCES),
            None => return Ok(listed),
        }
    }
    Err(CallFailure::Failed(format!(
        "the list has more than {MAX_PAGES} pages"
    )))
}

/// Reads one page over a persistent connection. Retries until `deadline` while the platform rejects
/// the call because of its rate limit.
async fn read_page(
    connection: &mut Option<Connection>,
    address: SocketAddr,
    path: &str,
    deadline: Instant,
) -> Result<Bytes, CallFailure> {
    let mut backoff = PAGE_BACKOFF_MIN;
    loop {
        let limit = deadline.saturating_duration_since(Instant::now());
        let response = get(connection, address, path, MAX_PAGE_BYTES);
        match check_response(address, path, limit, timeout(limit, response).await) {
            Ok(response) => return Ok(response.into_body()),
            Err(CallFailure::Status(StatusCode::TOO_MANY_REQUESTS))
                if Instant::now() + backoff < deadline =>
            {
                // Jitter, so that processes that were rejected together do not retry together.
                sleep(backoff.mul_f64(0.5 + rand::random::<f64>() / 2.0)).await;
                backoff = (backoff * 2).min(PAGE_BACKOFF_MAX);
            }
            Err(failure) => return Err(failure),
        }
    }
}

/// Sends a `GET` over the persistent connection, or over a new one if that is closed. Fails if the
/// body of the response has over `max_bytes`.
async fn get(
    connection: &mut Option<Connection>,
    address: SocketAddr,
    path: &str,
    max_bytes: usize,
) -> CallResult {
    let mut open = match connection.take() {
        Some(open) if !open.sender.is_closed() => open,
        _ => Connection::open(address).await?,
    };
    let request = request(address, Method::GET, path, String::new())?;
    let response = open.exchange(request, max_bytes).await;
    if response.is_ok() {
        *connection = Some(open);
    }
    response
}

/// Reads the reports of one replica over a persistent connection.
#[derive(Default)]
pub struct ReportReader {
    connection: Option<Connection>,
}

impl ReportReader {
    /// Returns the replica's report of itself, and the request limit that it names.
    pub async fn read(
        &mut self,
        address: SocketAddr,
        limit: Duration,
    ) -> Result<(Report, Option<NamedLimit>), CallFailure> {
        let response = get(
            &mut self.connection,
            address,
            paths::REPORT,
            MAX_REPLICA_RESPONSE_BYTES,
        );
        let response = check_response(
            address,
            paths::REPORT,
            limit,
            timeout(limit, response).await,
        )?;
        let report = decode_report(response.body()).map_err(CallFailure::Failed)?;
        let report = Report {
            draining: report.draining || headers::announces_shutdown(response.headers()),
            ..report
        };
        Ok((report, headers::named_limit(response.headers())))
    }
}

/// What a replica states about itself in a health check.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Identity {
    pub identity: Arc<str>,
    /// How long the replica stays cold; `None` if it does not say.
    pub cold_remaining_ms: Option<u64>,
}

/// Returns the identity of the replica at `address`, from its health check. Fails if the replica is
/// unhealthy or about to leave.
pub async fn read_identity(
    address: SocketAddr,
    health_path: &str,
    limit: Duration,
) -> Result<Identity, CallFailure> {
    let response = call(address, Method::GET, health_path, String::new(), limit).await?;
    if headers::announces_shutdown(response.headers()) {
        return Err(CallFailure::Failed(format!("{address} is leaving")));
    }
    let identity = response.headers().get(headers::INSTANCE_ID);
    match identity.map(|value| value.to_str()) {
        Some(Ok(identity)) if !identity.is_empty() => Ok(Identity {
            identity: identity.into(),
            cold_remaining_ms: headers::cold_remaining_ms(response.headers()),
        }),
        _ => Err(CallFailure::Failed(format!(
            "{address}{health_path}: the response names no instance"
        ))),
    }
}

/// Checks over a new connection whether a replica responds within `limit`.
pub async fn check_liveness(address: SocketAddr, limit: Duration) -> Liveness {
    for _ in 0..MAX_LIVENESS_CONNECTS {
        let mut connection =
            match timeout(LIVENESS_CONNECT_TIMEOUT, Connection::open(address)).await {
                Ok(Ok(connection)) => connection,
                Ok(Err(error)) if is_refusal(&*error) => return Liveness::Unreachable,
                // A fault of this process, such as a lack of descriptors, says nothing of the replica.
                Ok(Err(_)) => return Liveness::Late,
                Err(_) => continue,
            };
        let Ok(request) = request(address, Method::GET, paths::REPORT, String::new()) else {
            return Liveness::Late;
        };
        let response = connection.exchange(request, MAX_REPLICA_RESPONSE_BYTES);
        return match timeout(limit, response).await {
            Ok(Ok(response)) => Liveness::Responds(decode_running(response.body())),
            // A connection that is closed without a response may be one too many.
            Ok(Err(_)) | Err(_) => Liveness::Late,
        };
    }
    Liveness::Late
}

/// Returns true if a machine, or the way to it, refused a connection.
fn is_refusal(error: &(dyn std::error::Error + 'static)) -> bool {
    let kind = error
        .downcast_ref::<std::io::Error>()
        .map(std::io::Error::kind);
    matches!(
        kind,
        Some(
            ErrorKind::ConnectionRefused
                | ErrorKind::HostUnreachable
                | ErrorKind::NetworkUnreachable
        )
    )
}

/// Copies the key-value cache of a running generation from its replica to `target`. With `stop`,
/// the generation stops first and its stream ends there. Returns the handle of the copy, which
/// identifies it at `source`. The failure names one too if the generation has stopped but could not
/// be copied.
pub async fn move_generation(
    source: SocketAddr,
    request_id: &str,
    target: SocketAddr,
    stop: bool,
    limit: Duration,
) -> Result<Arc<str>, MoveFailure> {
    let body = serde_json::json!({
        "identifier": request_id,
        "to": target.to_string(),
        "last": stop,
    });
    let path = paths::MOVE;
    let sending = send(source, Method::POST, path, body.to_string());
    let response = timeout(limit, sending).await;
    let handle = match &response {
        Ok(Ok(response)) if stop || response.status().is_success() => decode_handle(response),
        _ => Ok(None),
    };
    if let Err(cause) = check_response(source, path, limit, response) {
        return Err(MoveFailure {
            cause,
            // The body of a failure may be anything.
            handle: handle.unwrap_or_default(),
        });
    }
    match handle {
        Ok(Some(handle)) => Ok(handle),
        Ok(None) => Err(CallFailure::Failed("the response names no handle".to_owned()).into()),
        Err(error) => Err(CallFailure::Failed(error.to_string()).into()),
    }
}

/// Returns the handle that a response to `/kv-move` names; `None` if it is null.
fn decode_handle(response: &Response<Bytes>) -> Result<Option<Arc<str>>, serde_json::Error> {
    let response: MoveResponse = serde_json::from_slice(response.body())?;
    // The protocol does not specify whether handles are strings or numbers.
    Ok(match response.handle {
        serde_json::Value::Null => None,
        serde_json::Value::String(handle) => Some(handle.into()),
        other => Some(other.to_string().into()),
    })
}

async fn call(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: String,
    limit: Duration,
) -> Result<Response<Bytes>, CallFailure> {
    let response = send(address, method, path, body);
    check_response(address, path, limit, timeout(limit, response).await)
}

/// Sends a request to a replica over a connection of its own.
async fn send(address: SocketAddr, method: Method, path: &str, body: String) -> CallResult {
    let mut connection = Connection::open(address).await?;
    let request = request(address, method, path, body)?;
    connection
        .exchange(request, MAX_REPLICA_RESPONSE_BYTES)
        .await
}

type CallError = Box<dyn std::error::Error + Send + Sync>;
type CallResult = Result<Response<Bytes>, CallError>;

/// Converts the result of a call; any status other than success is a failure.
fn check_response(
    address: SocketAddr,
    path: &str,
    limit: Duration,
    response: Result<CallResult, Elapsed>,
) -> Result<Response<Bytes>, CallFailure> {
    match response {
        Ok(Ok(response)) if response.status().is_success() => Ok(response),
        Ok(Ok(response)) => Err(
            match headers::asked_pause(response.status(), response.headers()) {
                Some(asked) => CallFailure::AskedForTime(asked),
                None => CallFailure::Status(response.status()),
            },
        ),
        Ok(Err(error)) => Err(CallFailure::Failed(format!("{address}{path}: {error}"))),
        Err(_) => {
            let limit_ms = limit.as_millis();
            Err(CallFailure::Failed(format!(
                "{address}{path}: no response within {limit_ms} ms"
            )))
        }
    }
}

/// A client connection. Dropping it closes it, even in the middle of a response.
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Connection {
    async fn open(address: SocketAddr) -> Result<Self, CallError> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(HEAD_LIMIT_BYTES)
            .handshake(TokioIo::new(stream))
            .await?;
        let task = tokio::spawn(connection).abort_handle();
        Ok(Self { sender, task })
    }

    /// Sends a request and returns the whole response. Fails if its status is not final, or if its
    /// body has over `max_bytes`.
    async fn exchange(&mut self, request: Request<Full<Bytes>>, max_bytes: usize) -> CallResult {
        self.sender.ready().await?;
        let (head, body) = self.sender.send_request(request).await?.into_parts();
        if !status::is_final(head.status) {
            return Err(format!("{} is no final status", head.status).into());
        }
        let body = Limited::new(body, max_bytes).collect().await?.to_bytes();
        Ok(Response::from_parts(head, body))
    }
}

fn request(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: String,
) -> Result<Request<Full<Bytes>>, http::Error> {
    let mut request = Request::builder()
        .method(method)
        .uri(path)
        .header(http::header::HOST, address.to_string());
    if !body.is_empty() {
        request = request.header(http::header::CONTENT_TYPE, "application/json");
    }
    request.body(Full::new(Bytes::from(body)))
}
