//! Error responses.

use rocket::http::{ContentType, Status};
use serde::Serialize;

use super::reply::Reply;
use crate::model::{Outcome, Refusal, RefusalCode};

/// The final answer of a request that failed.
///
/// | status | outcome | meaning |
/// |---|---|---|
/// | 400 | `not_run` | malformed input; the message starts with its location |
/// | 401 | `not_run` | missing or unknown API key or workspace |
/// | 404 | `not_run` | unknown path, kind, model or service |
/// | 409 | `not_run` | the idempotency key is too old, or from the future |
/// | 413 | `not_run` | the body is longer than the limit |
/// | 422 | `not_run` | the idempotency key was used with another body |
/// | 429 | `not_run` | overload, or all slots of the workspace are in use |
/// | 503 | `not_run` | any other reason: shutdown, stale table, no replica, deadline, claim undecided |
/// | 502 | `unknown` | the request may have run |
/// | 504 | `unknown` | the deadline passed and the request may have run |
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Failure {
    pub status: u16,
    pub outcome: Outcome,
    pub refusal: Refusal,
}

#[derive(Serialize)]
struct Body<'a> {
    error: Detail<'a>,
}

#[derive(Serialize)]
struct Detail<'a> {
    outcome: Outcome,
    code: RefusalCode,
    message: &'a str,
    retry_after_ms: Option<u64>,
}

impl Failure {
    /// Returns a failure with the HTTP status of its outcome and code.
    pub fn new(outcome: Outcome, refusal: Refusal) -> Self {
        let status = match (outcome, refusal.code) {
            (Outcome::NotRun, RefusalCode::BadRequest) => 400,
            (Outcome::NotRun, RefusalCode::KeyExpired) => 409,
            (Outcome::NotRun, RefusalCode::KeyConflict) => 422,
            (Outcome::NotRun, RefusalCode::Overload | RefusalCode::NoRoom) => 429,
            (Outcome::NotRun, _) => 503,
            (_, RefusalCode::DeadlineExceeded) => 504,
            _ => 502,
        };
        Self {
            status,
            outcome,
            refusal,
        }
    }

    /// Returns a failure of a request that has not run.
    pub fn not_run(code: RefusalCode, message: impl Into<String>) -> Self {
        let retry_after_ms = match code {
            RefusalCode::StaleTable | RefusalCode::Leaving | RefusalCode::ClaimUndecided => {
                Some(1_000)
            }
            RefusalCode::NoReplica | RefusalCode::UpstreamLost => Some(2_000),
            RefusalCode::Overload | RefusalCode::NoRoom => Some(1_000),
            _ => None,
        };
        Self::new(
            Outcome::NotRun,
            Refusal {
                code,
                message: message.into(),
                retry_after_ms,
            },
        )
    }

    /// Returns a failure of a request that may have run.
    pub fn unknown(code: RefusalCode, message: impl Into<String>) -> Self {
        Self::new(
            Outcome::Unknown,
            Refusal {
                code,
                message: message.into(),
                retry_after_ms: None,
            },
        )
    }

    /// Returns a failure of a request whose caller has received part of the answer.
    pub fn interrupted(code: RefusalCode, message: impl Into<String>) -> Self {
        Self::new(
            Outcome::Interrupted,
            Refusal {
                code,
                message: message.into(),
                retry_after_ms: None,
            },
        )
    }

    /// Returns a failure for malformed input; `location` names the header, body field or path.
    pub fn bad_input(location: &str, reason: impl std::fmt::Display) -> Self {
        Self::not_run(RefusalCode::BadRequest, format!("{location}: {reason}"))
    }

    /// Returns the failure with another status.
    pub fn with_status(self, status: u16) -> Self {
        Self { status, ..self }
    }

    /// Returns a failure with status 404.
    pub fn not_found(message: impl Into<String>) -> Self {
        Self::not_run(RefusalCode::BadRequest, message).with_status(404)
    }

    /// Returns the JSON object of the failure.
    pub fn json(&self) -> String {
        let body = Body {
            error: Detail {
                outcome: self.outcome,
                code: self.refusal.code,
                message: &self.refusal.message,
                retry_after_ms: self.refusal.retry_after_ms,
            },
        };
        serde_json::to_string(&body).unwrap_or_default()
    }

    /// Returns the failure as an HTTP answer.
    pub fn reply(&self) -> Reply {
        let mut headers = Vec::new();
        if let Some(ms) = self.refusal.retry_after_ms {
            headers.push(("Retry-After".to_owned(), ms.div_ceil(1_000).to_string()));
        }
        if self.status == 401 {
            headers.push(("WWW-Authenticate".to_owned(), "Bearer".to_owned()));
        }
        Reply {
            status: Status::new(self.status),
            content_type: Some(ContentType::JSON),
            headers,
            body: self.json().into(),
        }
    }
}

impl From<Refusal> for Failure {
    fn from(refusal: Refusal) -> Self {
        Self::new(Outcome::NotRun, refusal)
    }
}
