//! Decodes the requests that replicas receive, and encodes their responses.

use std::net::SocketAddr;
use std::sync::Arc;

use http::HeaderName;
use serde_json::{Value, json};

use crate::domain::fleet::Report;
use crate::platform::headers;
use crate::platform::standin::MODEL;

/// Value of the seal; its content is opaque to everyone but the replica.
const SEAL: &str = "soak";

/// What a replica reads from the head of a request.
pub(crate) struct ReplicaRequest {
    /// Empty if the request has none.
    pub(crate) id: Arc<str>,
    pub(crate) workspace: Option<Arc<str>>,
    /// Milliseconds for which the sender still waits.
    pub(crate) deadline_ms: Option<u64>,
    pub(crate) expected_instance: Option<Arc<str>>,
    /// Copy to continue from, as [`parse_copy`] reads it.
    pub(crate) continue_from: Option<Arc<str>>,
    pub(crate) last_event: Option<u64>,
    /// Instance that receives a copy of the memory while it grows.
    pub(crate) backup: Option<SocketAddr>,
}

/// Whether a replica executed a request.
#[derive(Clone, Copy)]
pub(crate) enum Execution {
    Executed,
    NotExecuted,
}

/// An order to copy the memory of a generation to another replica.
pub(crate) struct MoveCall {
    pub(crate) id: Arc<str>,
    pub(crate) target: Option<SocketAddr>,
    /// True if the generation stops before it is copied.
    pub(crate) stops: bool,
}

/// Decodes the head of a request, whose headers `header` returns.
pub(crate) fn decode_request<'a>(
    header: impl Fn(&HeaderName) -> Option<&'a str>,
) -> ReplicaRequest {
    ReplicaRequest {
        id: header(&headers::REQUEST_ID).unwrap_or_default().into(),
        workspace: header(&headers::WORKSPACE).map(Arc::from),
        deadline_ms: header(&headers::DEADLINE).and_then(|value| value.parse().ok()),
        expected_instance: header(&headers::EXPECTED_INSTANCE).map(Arc::from),
        continue_from: header(&headers::CONTINUE_FROM).map(Arc::from),
        last_event: header(&headers::LAST_EVENT).and_then(|value| value.parse().ok()),
        backup: header(&headers::BACKUP).and_then(|value| value.parse().ok()),
    }
}

/// Parses the copy to continue from: the address of its source, and its handle there.
pub(crate) fn parse_copy(text: &str) -> Option<(SocketAddr, &str)> {
    let (address, handle) = text.split_once('/')?;
    Some((address.parse().ok()?, handle))
}

/// Encodes the headers of the response to request `id`. Each ends with a line break.
pub(crate) fn encode_execution(id: &str, execution: Execution) -> String {
    let (name, value) = match execution {
        Execution::Executed => (headers::SEAL, SEAL),
        Execution::NotExecuted => (headers::NOT_RUN, "1"),
    };
    format!("{}: {id}\r\n{name}: {value}\r\n", headers::REQUEST_ID)
}

/// Encodes the header of a health check's response that identifies the replica.
pub(crate) fn encode_identity(identity: &str) -> String {
    format!("{}: {identity}\r\n", headers::INSTANCE_ID)
}

pub(crate) fn encode_report(report: &Report) -> Vec<u8> {
    let mut wire = json!({
        "stage": "both", "models": [{"name": MODEL, "version": 1, "adapters": []}],
        "busy": false, "sequence": 1, "queuedRequests": report.queued,
        "activeRequests": report.running, "kvCacheUsed": report.used_tokens,
        "kvCacheTotal": report.total_tokens, "handles": 0,
        "state": match report.draining {
            true => "draining",
            false => "ready",
        },
    });
    if let Some(leaves_in_ms) = report.leaves_in_ms {
        wire["leaves_ms"] = json!(leaves_in_ms);
    }
    wire.to_string().into_bytes()
}

/// Decodes the body of a move; fields that are absent or malformed count as not set.
pub(crate) fn decode_move_call(body: &[u8]) -> MoveCall {
    let wire: Value = serde_json::from_slice(body).unwrap_or_default();
    MoveCall {
        id: wire["identifier"].as_str().unwrap_or_default().into(),
        target: wire["to"].as_str().and_then(|to| to.parse().ok()),
        stops: wire["last"] == json!(true),
    }
}

/// Encodes the response to a move: the handle of the copy, and the number of events it covers.
pub(crate) fn encode_copy(handle: &str, events: u64) -> Vec<u8> {
    json!({"handle": handle, "made": events})
        .to_string()
        .into_bytes()
}

/// Encodes the response to a move without a copy.
pub(crate) fn encode_no_copy() -> Vec<u8> {
    b"{}".to_vec()
}
