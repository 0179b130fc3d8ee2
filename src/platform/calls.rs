//! Calls to the platform's list and to replicas, other than callers' requests.

use std::fmt;
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

use super::{HEAD_LIMIT_BYTES, decode_instances, decode_report, headers};
use crate::domain::fleet::{AskedPause, Listed, Report};

/// Upper bound on a page of the list, which has some 15 KB on the sites planned for.
const PAGE_LIMIT_BYTES: usize = 4 * 1024 * 1024;
/// Upper bound on an answer of a replica. Many are read at once; a report with 64 runs has some 4 KB.
const REPLICA_LIMIT_BYTES: usize = 64 * 1024;
/// Upper bound on the pages of one list; at 50 entries a page more than any fleet designed for.
const MAX_PAGES: usize = 200;
/// Pauses after a page that was turned away; the platform counts calls by the second.
const PAGE_PAUSE_MIN: Duration = Duration::from_millis(20);
const PAGE_PAUSE_MAX: Duration = Duration::from_millis(320);

/// Why a call gave no result.
#[derive(Debug)]
pub enum CallFailure {
    /// No answer, or one that cannot be read.
    Failed(String),
    /// An answer with another status than success.
    Status(StatusCode),
    /// The replica wants no calls for some time.
    AskedForTime(AskedPause),
}

impl fmt::Display for CallFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Failed(cause) => f.write_str(cause),
            Self::Status(status) => write!(f, "answered {status}"),
            Self::AskedForTime(asked) => {
                write!(f, "wants no calls for {} ms", asked.bounded_ms())
            }
        }
    }
}

#[derive(Deserialize)]
struct MoveAnswer {
    handle: serde_json::Value,
}

/// Returns every instance of the platform's list, which it hands out in pages. It answers so many
/// calls a second; a page that it turns away is asked for again, as those before it stay valid.
pub async fn read_list(address: SocketAddr, limit: Duration) -> Result<Vec<Listed>, CallFailure> {
    let deadline = Instant::now() + limit;
    let mut kept = None;
    let mut listed = Vec::new();
    let mut path = "/instances".to_owned();
    for _ in 0..MAX_PAGES {
        let body = read_page(&mut kept, address, &path, deadline).await?;
        let (page, next) = decode_instances(&body).map_err(CallFailure::Failed)?;
        listed.extend(page);
        match next {
            Some(token) => path = format!("/instances?pageToken={token}"),
            None => return Ok(listed),
        }
    }
    Err(CallFailure::Failed(format!(
        "the list has more than {MAX_PAGES} pages"
    )))
}

/// Reads one page over a kept connection.
async fn read_page(
    kept: &mut Option<Connection>,
    address: SocketAddr,
    path: &str,
    deadline: Instant,
) -> Result<Bytes, CallFailure> {
    let mut pause = PAGE_PAUSE_MIN;
    loop {
        let limit = deadline.saturating_duration_since(Instant::now());
        let reading = get(kept, address, path, PAGE_LIMIT_BYTES);
        match judge(address, path, limit, timeout(limit, reading).await) {
            Ok(answer) => return Ok(answer.into_body()),
            Err(CallFailure::Status(StatusCode::TOO_MANY_REQUESTS))
                if Instant::now() + pause < deadline =>
            {
                // Processes that were turned away together come back apart.
                sleep(pause.mul_f64(0.5 + rand::random::<f64>() / 2.0)).await;
                pause = (pause * 2).min(PAGE_PAUSE_MAX);
            }
            Err(failure) => return Err(failure),
        }
    }
}

/// Sends a `GET` over a kept connection, or over a new one. The answer has at most `most_bytes`.
async fn get(
    kept: &mut Option<Connection>,
    address: SocketAddr,
    path: &str,
    most_bytes: usize,
) -> Answer {
    let mut connection = match kept.take() {
        Some(connection) if !connection.sender.is_closed() => connection,
        _ => Connection::open(address).await?,
    };
    let request = request(address, Method::GET, path, String::new())?;
    let answer = connection.exchange(request, most_bytes).await;
    if answer.is_ok() {
        *kept = Some(connection);
    }
    answer
}

/// Reads the reports of one replica over a connection that it keeps.
#[derive(Default)]
pub struct ReportReader {
    kept: Option<Connection>,
}

impl ReportReader {
    /// Returns the replica's report of itself.
    pub async fn read(
        &mut self,
        address: SocketAddr,
        limit: Duration,
    ) -> Result<Report, CallFailure> {
        let reading = get(&mut self.kept, address, "/report", REPLICA_LIMIT_BYTES);
        let answer = judge(address, "/report", limit, timeout(limit, reading).await)?;
        let report = decode_report(answer.body()).map_err(CallFailure::Failed)?;
        Ok(Report {
            draining: report.draining || headers::says_leaving(answer.headers()),
            ..report
        })
    }
}

/// Returns the identity of the replica at an address, from its health check. Fails if it is not
/// healthy, or about to leave.
pub async fn read_identity(
    address: SocketAddr,
    health_path: &str,
    limit: Duration,
) -> Result<Arc<str>, CallFailure> {
    let answer = call(address, Method::GET, health_path, String::new(), limit).await?;
    if headers::says_leaving(answer.headers()) {
        return Err(CallFailure::Failed(format!("{address} is leaving")));
    }
    let identity = answer.headers().get(headers::INSTANCE_ID);
    match identity.map(|value| value.to_str()) {
        Some(Ok(identity)) if !identity.is_empty() => Ok(identity.into()),
        _ => Err(CallFailure::Failed(format!(
            "{address}{health_path}: the answer names no instance"
        ))),
    }
}

/// Copies the memory of a running generation from its replica to `target`. With `stop`, the
/// generation stops first and its stream ends there. Returns the handle of the copy, which names it at
/// `source`.
pub async fn move_generation(
    source: SocketAddr,
    request_id: &str,
    target: SocketAddr,
    stop: bool,
    limit: Duration,
) -> Result<Arc<str>, CallFailure> {
    let body = serde_json::json!({
        "identifier": request_id,
        "to": target.to_string(),
        "last": stop,
    });
    let answer = call(source, Method::POST, "/kv-move", body.to_string(), limit).await?;
    let answer: MoveAnswer = serde_json::from_slice(answer.body())
        .map_err(|error| CallFailure::Failed(error.to_string()))?;
    // The platform does not say whether handles are text or numbers.
    Ok(match answer.handle {
        serde_json::Value::String(handle) => handle.into(),
        other => other.to_string().into(),
    })
}

async fn call(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: String,
    limit: Duration,
) -> Result<Response<Bytes>, CallFailure> {
    let answer = async {
        let mut connection = Connection::open(address).await?;
        let request = request(address, method, path, body)?;
        connection.exchange(request, REPLICA_LIMIT_BYTES).await
    };
    judge(address, path, limit, timeout(limit, answer).await)
}

type Failure = Box<dyn std::error::Error + Send + Sync>;
type Answer = Result<Response<Bytes>, Failure>;

fn judge(
    address: SocketAddr,
    path: &str,
    limit: Duration,
    answer: Result<Answer, Elapsed>,
) -> Result<Response<Bytes>, CallFailure> {
    match answer {
        Ok(Ok(answer)) if answer.status().is_success() => Ok(answer),
        Ok(Ok(answer)) => Err(
            match headers::asked_pause(answer.status(), answer.headers()) {
                Some(asked) => CallFailure::AskedForTime(asked),
                None => CallFailure::Status(answer.status()),
            },
        ),
        Ok(Err(error)) => Err(CallFailure::Failed(format!("{address}{path}: {error}"))),
        Err(_) => {
            let limit_ms = limit.as_millis();
            Err(CallFailure::Failed(format!(
                "{address}{path}: no answer in {limit_ms} ms"
            )))
        }
    }
}

/// A connection; it is closed when it is dropped, whatever still comes on it.
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
    async fn open(address: SocketAddr) -> Result<Self, Failure> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(HEAD_LIMIT_BYTES)
            .handshake(TokioIo::new(stream))
            .await?;
        let task = tokio::spawn(connection).abort_handle();
        Ok(Self { sender, task })
    }

    /// Sends a request and returns the whole answer. Fails if its body has over `most_bytes`.
    async fn exchange(&mut self, request: Request<Full<Bytes>>, most_bytes: usize) -> Answer {
        self.sender.ready().await?;
        let (head, body) = self.sender.send_request(request).await?.into_parts();
        let body = Limited::new(body, most_bytes).collect().await?.to_bytes();
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
