//! Headers of callers.

use rand::random;
use rocket::http::HeaderMap;

use super::failure::Failure;
use crate::adapters::clock::monotonic_ms;
use crate::model::RequestId;

/// Headers that are read here, or that decide how the body is read; none may be given twice.
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
/// Priority of requests that name none.
const DEFAULT_PRIORITY: u8 = 5;
/// The longest deadline that is accepted: one day.
const MAX_DEADLINE_MS: u64 = 86_400_000;
/// The longest name that is accepted.
const MAX_NAME_BYTES: usize = 128;

/// What the headers of a request say. Deadlines are monotonic times.
#[derive(Clone)]
pub(super) struct Envelope {
    pub request: RequestId,
    pub api_key: Option<String>,
    pub workspace: Option<String>,
    pub kind: Option<String>,
    pub key: Option<String>,
    pub last_event: Option<String>,
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

impl Envelope {
    /// Reads the headers; fails at the first that is malformed or given twice.
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
        let deadline = number(headers, "lilac-deadline-ms", 1, MAX_DEADLINE_MS)?;
        let priority = number(headers, "lilac-priority", 0, 9)?;
        Ok(Self {
            request,
            api_key: api_key(headers)?,
            workspace: text(headers, "lilac-workspace")?,
            kind: text(headers, "lilac-kind")?,
            key: headers.get_one("idempotency-key").map(str::to_owned),
            last_event: headers.get_one("last-event-id").map(str::to_owned),
            deadline_at_ms: deadline.map(|ms| monotonic_ms().saturating_add(ms)),
            priority: priority
                .and_then(|priority| u8::try_from(priority).ok())
                .unwrap_or(DEFAULT_PRIORITY),
        })
    }
}

/// Returns the place of a header as it is named in errors.
pub(super) fn header(name: &str) -> String {
    format!("header {name}")
}

fn api_key(headers: &HeaderMap<'_>) -> Result<Option<String>, Failure> {
    let Some(value) = headers.get_one("authorization") else {
        return Ok(None);
    };
    // The message never repeats the value: it may hold a key.
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

fn text(headers: &HeaderMap<'_>, name: &str) -> Result<Option<String>, Failure> {
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

fn number(
    headers: &HeaderMap<'_>,
    name: &str,
    least: u64,
    most: u64,
) -> Result<Option<u64>, Failure> {
    let Some(value) = headers.get_one(name) else {
        return Ok(None);
    };
    let is_plain = !value.is_empty() && value.bytes().all(|byte| byte.is_ascii_digit());
    match value.parse::<u64>() {
        Ok(number) if is_plain && (least..=most).contains(&number) => Ok(Some(number)),
        _ => Err(Failure::bad_input(
            &header(name),
            format!("expected a whole number from {least} to {most}"),
        )),
    }
}
