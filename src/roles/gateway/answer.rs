//! Answers that the gateway gives itself.

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::{BodyExt, Full};

/// A body towards a caller.
pub(super) type Body = http_body_util::combinators::UnsyncBoxBody<Bytes, BrokenAnswer>;

/// The answer could not be completed; the connection ends without its end.
#[derive(Debug)]
pub(super) struct BrokenAnswer(pub(super) String);

impl std::fmt::Display for BrokenAnswer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for BrokenAnswer {}

/// A final answer of the gateway's own. The status tells callers what may have run: 408, 421, 429
/// and 503 promise that nothing did.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Refusal {
    pub(super) status: StatusCode,
    pub(super) code: &'static str,
    /// When the caller should come back.
    pub(super) retry_after_ms: Option<u64>,
}

impl Refusal {
    /// The request is wrong, or not allowed.
    pub(super) fn denied(status: StatusCode, code: &'static str) -> Self {
        Self {
            status,
            code,
            retry_after_ms: None,
        }
    }

    /// The request did not run; the caller may come back.
    pub(super) fn not_run(code: &'static str, retry_after_ms: u64) -> Self {
        Self {
            status: StatusCode::SERVICE_UNAVAILABLE,
            code,
            retry_after_ms: Some(retry_after_ms),
        }
    }

    /// The request may have run.
    pub(super) fn unknown(status: StatusCode, code: &'static str) -> Self {
        Self {
            status,
            code,
            retry_after_ms: None,
        }
    }

    /// Returns the answer.
    pub(super) fn answer(&self) -> Response<Body> {
        let outcome = match self.status {
            StatusCode::BAD_GATEWAY | StatusCode::GATEWAY_TIMEOUT => "unknown",
            _ => "not_run",
        };
        let error = serde_json::json!({"error": {
            "outcome": outcome,
            "code": self.code,
            "retry_after_ms": self.retry_after_ms,
        }});
        let mut answer = Response::new(full(Bytes::from(error.to_string())));
        *answer.status_mut() = self.status;
        let headers = answer.headers_mut();
        headers.insert(
            header::CONTENT_TYPE,
            HeaderValue::from_static("application/json"),
        );
        let retry_after = self
            .retry_after_ms
            .map(|ms| format!("{}.{:03}", ms / 1_000, ms % 1_000));
        if let Some(value) = retry_after.and_then(|text| HeaderValue::from_str(&text).ok()) {
            headers.insert(header::RETRY_AFTER, value);
        }
        answer
    }
}

/// Returns a body that is known as a whole.
pub(super) fn full(body: Bytes) -> Body {
    Full::new(body)
        .map_err(|never| match never {})
        .boxed_unsync()
}
