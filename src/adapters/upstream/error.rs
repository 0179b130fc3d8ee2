//! Errors of calls to upstreams.

use std::fmt;

/// Why a call to an upstream failed, and whether the upstream may have run the request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum UpstreamError {
    /// The request was not sent.
    NotSent(String),
    /// The upstream refused the request without running it.
    Refused { status: u16, message: String },
    /// The upstream does not know the stream.
    Missing,
    /// Nothing arrived within the time limit; the request may have run.
    Silent { limit_ms: u64 },
    /// The response broke off or was malformed; the request may have run.
    Broken(String),
}

impl UpstreamError {
    /// Returns true if the upstream has not run the request and will not.
    pub fn proves_not_run(&self) -> bool {
        matches!(self, Self::NotSent(_) | Self::Refused { .. })
    }
}

impl fmt::Display for UpstreamError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(cause) => write!(f, "not sent: {cause}"),
            Self::Refused { status, message } => {
                write!(f, "refused with status {status}: {message}")
            }
            Self::Missing => f.write_str("the upstream does not have the stream"),
            Self::Silent { limit_ms } => write!(f, "nothing arrived for {limit_ms} ms"),
            Self::Broken(cause) => write!(f, "the answer broke off: {cause}"),
        }
    }
}

impl std::error::Error for UpstreamError {}

impl From<reqwest::Error> for UpstreamError {
    fn from(error: reqwest::Error) -> Self {
        // The error sources name the actual cause, such as a refused connection.
        let mut text = error.to_string();
        let mut source = std::error::Error::source(&error);
        while let Some(cause) = source {
            text = format!("{text}: {cause}");
            source = cause.source();
        }
        match error.is_connect() || error.is_builder() {
            true => Self::NotSent(text),
            false => Self::Broken(text),
        }
    }
}
