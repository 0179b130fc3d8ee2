//! Calls to the platform's list and to replicas, other than callers' requests.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::{decode_instances, decode_report};
use crate::domain::fleet::{Listed, Report};

/// Upper bound on the body of an answer.
const BODY_LIMIT_BYTES: usize = 4 * 1024 * 1024;
/// Upper bound on the pages of one list; at 50 entries a page more than any fleet designed for.
const MAX_PAGES: usize = 200;

/// Why a call gave no result.
#[derive(Debug)]
pub enum CallFailure {
    /// No answer, or one that cannot be read.
    Failed(String),
    /// An answer with another status than success.
    Status(StatusCode, Bytes),
}

impl fmt::Display for CallFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Failed(cause) => f.write_str(cause),
            Self::Status(status, _) => write!(f, "answered {status}"),
        }
    }
}

/// A copy of a generation's memory at another replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Move {
    /// Names the copy at the replica that the generation ran on.
    pub handle: Arc<str>,
}

#[derive(Deserialize)]
struct MoveAnswer {
    handle: serde_json::Value,
}

/// Returns every instance of the platform's list.
pub async fn read_list(address: SocketAddr, limit: Duration) -> Result<Vec<Listed>, CallFailure> {
    let mut listed = Vec::new();
    let mut path = "/instances".to_owned();
    for _ in 0..MAX_PAGES {
        let body = get_json(address, &path, limit).await?;
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

/// Returns a replica's report of itself.
pub async fn read_report(address: SocketAddr, limit: Duration) -> Result<Report, CallFailure> {
    let body = get_json(address, "/report", limit).await?;
    decode_report(&body).map_err(CallFailure::Failed)
}

/// Copies the memory of a running generation from its replica to `target`. With `stop`, the
/// generation stops first and its stream ends there.
pub async fn move_generation(
    source: SocketAddr,
    request_id: &str,
    target: SocketAddr,
    stop: bool,
    limit: Duration,
) -> Result<Move, CallFailure> {
    let body = serde_json::json!({
        "identifier": request_id,
        "to": target.to_string(),
        "last": stop,
    });
    let answer = call(source, Method::POST, "/kv-move", body.to_string(), limit).await?;
    let answer: MoveAnswer =
        serde_json::from_slice(&answer).map_err(|error| CallFailure::Failed(error.to_string()))?;
    let handle = match answer.handle {
        serde_json::Value::String(handle) => handle,
        other => other.to_string(),
    };
    Ok(Move {
        handle: handle.into(),
    })
}

/// Gives up a copy, at both ends.
pub async fn release_copy(
    source: SocketAddr,
    handle: &str,
    limit: Duration,
) -> Result<(), CallFailure> {
    let path = format!("/kv-handle/{handle}");
    call(source, Method::DELETE, &path, String::new(), limit)
        .await
        .map(drop)
}

/// Returns the body of a successful `GET`.
pub async fn get_json(
    address: SocketAddr,
    path: &str,
    limit: Duration,
) -> Result<Bytes, CallFailure> {
    call(address, Method::GET, path, String::new(), limit).await
}

async fn call(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: String,
    limit: Duration,
) -> Result<Bytes, CallFailure> {
    let answer = exchange(address, method, path, body);
    match timeout(limit, answer).await {
        Ok(Ok((status, body))) if status.is_success() => Ok(body),
        Ok(Ok((status, body))) => Err(CallFailure::Status(status, body)),
        Ok(Err(error)) => Err(CallFailure::Failed(format!("{address}{path}: {error}"))),
        Err(_) => {
            let limit_ms = limit.as_millis();
            Err(CallFailure::Failed(format!(
                "{address}{path}: no answer in {limit_ms} ms"
            )))
        }
    }
}

async fn exchange(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: String,
) -> Result<(StatusCode, Bytes), Box<dyn std::error::Error + Send + Sync>> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let connection = tokio::spawn(connection);
    let mut request = Request::builder()
        .method(method)
        .uri(path)
        .header(http::header::HOST, address.to_string());
    if !body.is_empty() {
        request = request.header(http::header::CONTENT_TYPE, "application/json");
    }
    let answer = sender
        .send_request(request.body(Full::new(Bytes::from(body)))?)
        .await?;
    let status = answer.status();
    let body = Limited::new(answer.into_body(), BODY_LIMIT_BYTES)
        .collect()
        .await?
        .to_bytes();
    connection.abort();
    Ok((status, body))
}
