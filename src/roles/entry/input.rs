//! Request headers of callers.

use rand::random;
use rocket::http::HeaderMap;

use super::failure::Failure;
use crate::adapters::clock::monotonic_ms;
use crate::model::RequestId;

/// Headers that are read here or decide how the body is read; a request may contain each only once.
const SINGLE_HEADERS: [&str; 10] = [
    "authorization",
    "lilac-workspace",
    "lilac-kind",
    "lilac-deadline-ms",
    "lilac-priority",
    "lilac-request-id",
    "idempotency-key",
    "last-event-id",
    "content-type",
    "content-length",
];
/// Priority of requests without a `lilac-priority` header.
const DEFAULT_PRIORITY: u8 = 5;
/// The longest accepted deadline: one day.
const MAX_DEADLINE_MS: u64 = 86_400_000;
/// The longest accepted workspace or kind name.
const MAX_NAME_BYTES: usize = 128;

/// The parsed headers of a request.
#[derive(Clone)]
pub(super) struct RequestHeaders {
    pub request: RequestId,
    pub api_key: Option<String>,
    pub workspace: Option<String>,
    pub kind: Option<String>,
    pub idempotency_key: Option<String>,
    pub last_event: Option<String>,
    /// A monotonic time.
    pub deadline_at_ms: Option<u64>,
    pub priority: u8,
}

/// Returns the caller's request identifier, or a new one if there is none or it is malformed.
pub(super) fn request_id(headers: &HeaderMap<'_>) -> RequestId {
    headers
        .get_one("lilac-request-id")
        .and_then(|text| text.parse().ok())
        .unwrap_or_else(|| RequestId(random()))
}

impl RequestHeaders {
    /// Parses the headers; fails at the first that is malformed or repeated.
    pub fn read(headers: &HeaderMap<'_>, request: RequestId) -> Result<Self, Failure> {
        for name in SINGLE_HEADERS {
            if headers.get(name).count() > 1 {
                return Err(Failure::bad_input(&header(name), "given more than once"));
            }
        }
        if let Some(text) = headers.get_one("lilac-request-id")
            && text.parse::<RequestId>().is_err()
        {
            return Err(Failure::bad_input(
                &header("lilac-request-id"),
                "expected up to 32 hexadecimal digits",
            ));
        }
        let deadline = parse_number(headers, "lilac-deadline-ms", 1, MAX_DEADLINE_MS)?;
        let priority = parse_number(headers, "lilac-priority", 0, 9)?;
        Ok(Self {
            request,
            api_key: api_key(headers)?,
            workspace: parse_name(headers, "lilac-workspace")?,
            kind: parse_name(headers, "lilac-kind")?,
            idempotency_key: headers.get_one("idempotency-key").map(str::to_owned),
            last_event: headers.get_one("last-event-id").map(str::to_owned),
            deadline_at_ms: deadline.map(|ms| monotonic_ms().saturating_add(ms)),
            priority: priority
                .and_then(|priority| u8::try_from(priority).ok())
                .unwrap_or(DEFAULT_PRIORITY),
        })
    }
}

/// Returns a header's name as it appears in error messages.
pub(super) fn header(name: &str) -> String {
    format!("header {name}")
}

fn api_key(headers: &HeaderMap<'_>) -> Result<Option<String>, Failure> {
    let Some(value) = headers.get_one("authorization") else {
        return Ok(None);
    };
    // The error message must not contain the value: it may hold a secret.
    match value.split_once(' ') {
        Some((scheme, key)) if scheme.eq_ignore_ascii_case("bearer") && !key.trim().is_empty() => {
            Ok(Some(key.trim().to_owned()))
        }
        _ => Err(Failure::bad_input(
            &header("authorization"),
            "expected Bearer and an API key",
        )),
    }
}

fn parse_name(headers: &HeaderMap<'_>, name: &str) -> Result<Option<String>, Failure> {
    match headers.get_one(name) {
        None => Ok(None),
        Some("") => Err(Failure::bad_input(&header(name), "is empty")),
        Some(value) if value.len() > MAX_NAME_BYTES => Err(Failure::bad_input(
            &header(name),
            format!("has {} bytes; at most {MAX_NAME_BYTES}", value.len()),
        )),
        Some(value) => Ok(Some(value.to_owned())),
    }
}

fn parse_number(
    headers: &HeaderMap<'_>,
    name: &str,
    min: u64,
    max: u64,
) -> Result<Option<u64>, Failure> {
    let Some(value) = headers.get_one(name) else {
        return Ok(None);
    };
    let is_digits_only = !value.is_empty() && value.bytes().all(|byte| byte.is_ascii_digit());
    match value.parse::<u64>() {
        Ok(number) if is_digits_only && (min..=max).contains(&number) => Ok(Some(number)),
        _ => Err(Failure::bad_input(
            &header(name),
            format!("expected a whole number from {min} to {max}"),
        )),
    }
}
