//! Names of the platform's HTTP headers, and functions to read and filter headers.

use std::sync::Arc;

use http::header::{self, HeaderMap, HeaderValue};
use http::{HeaderName, StatusCode};

use crate::adapters::status;
use crate::domain::fleet::{AskedPause, NamedLimit};
use crate::domain::quarantine::PartId;

/// Id of one attempt of a caller; the replica repeats it in its response.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-lilacspindle-request-id");
/// Milliseconds for which the sender still waits for the response.
pub const DEADLINE: HeaderName = HeaderName::from_static("x-lilacspindle-deadline-milliseconds");
/// Identity that the receiving replica must have; any other replica responds with 421.
pub const EXPECTED_INSTANCE: HeaderName =
    HeaderName::from_static("x-lilacspindle-expected-instance");
/// Identity of the replica that responds to a health check.
pub const INSTANCE_ID: HeaderName = HeaderName::from_static("x-lilacspindle-instance-id");
/// Workspace to which the caller's key belongs.
pub const WORKSPACE: HeaderName = HeaderName::from_static("x-lilacspindle-tenant");
/// Number of prompt tokens and maximum number of output tokens, separated by a comma.
pub const TOKEN_USAGE: HeaderName = HeaderName::from_static("x-lilacspindle-token-usage");
/// Parts of the prompt, each with its number of tokens; the last part belongs to the request or its
/// session.
pub const PROMPT_PARTS: HeaderName = HeaderName::from_static("x-lilacspindle-prompt-prefix");
/// The caller's estimate of the number of output tokens.
pub const LENGTH_HINT: HeaderName = HeaderName::from_static("x-lilacspindle-length-hint");
/// Model that a generation asks for.
pub(crate) const MODEL: HeaderName = HeaderName::from_static("x-lilacspindle-model");
/// Set on each response of a replica that executed the request.
pub(crate) const SEAL: HeaderName = HeaderName::from_static("x-lilacspindle-response-seal");
/// Set on a response if the replica did not execute the request.
pub const NOT_RUN: HeaderName = HeaderName::from_static("x-lilacspindle-not-executed");
/// Priority at the engine, from 0 (first) to 9 (last); engines assume 5 if it is absent.
pub const PRIORITY: HeaderName = HeaderName::from_static("x-lilacspindle-request-priority");
/// Replica that continuously receives a copy of the key-value cache while it grows.
pub const BACKUP: HeaderName = HeaderName::from_static("x-lilacspindle-cache-backup");
/// Copy of the key-value cache from which to continue, as `address/handle`.
pub const CONTINUE_FROM: HeaderName = HeaderName::from_static("kv-from");
/// Id of the last event that was received before the stream was interrupted.
pub const LAST_EVENT: HeaderName = HeaderName::from_static("last-event-id");
/// Version of the weights with which a request is to be run; other replicas answer 421.
pub const EXPECTED_WEIGHTS: HeaderName = HeaderName::from_static("x-lilacspindle-expected-version");
/// Media type of a stream of events.
const EVENT_STREAM: &str = "text/event-stream";

/// Announces that the replica is about to leave; it may be set on any response.
const LEAVING: HeaderName = HeaderName::from_static("server-leaving");
/// Requests per second that the replica takes from all machines together; it may be set on any
/// response.
const LIMIT: HeaderName = HeaderName::from_static("server-limit");
/// Milliseconds for which the replica stays cold, in its health responses.
const COLD: HeaderName = HeaderName::from_static("x-lilacspindle-cold-milliseconds");
const HOLD: HeaderName = HeaderName::from_static("x-lilacspindle-hold");
const PIN: HeaderName = HeaderName::from_static("x-lilacspindle-pin-milliseconds");
const FETCH: HeaderName = HeaderName::from_static("kv-fetch");
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// Parts of a prompt that are looked at; prompts of the planned sites have up to four.
const MAX_PROMPT_PARTS: usize = 16;

/// Hop-by-hop headers, which concern one connection only.
const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    header::TRANSFER_ENCODING,
    header::TE,
    header::TRAILER,
    header::UPGRADE,
    header::PROXY_AUTHENTICATE,
    KEEP_ALIVE,
    PROXY_CONNECTION,
];

/// Request headers that are not forwarded: the caller's key and headers that only the system may
/// set.
const SYSTEM: [HeaderName; 11] = [
    header::AUTHORIZATION,
    header::CONTENT_LENGTH,
    header::EXPECT,
    WORKSPACE,
    EXPECTED_INSTANCE,
    PRIORITY,
    BACKUP,
    CONTINUE_FROM,
    HOLD,
    PIN,
    FETCH,
];

/// Returns the headers of a caller's request that are forwarded to the replica.
pub fn passed_on(caller: &HeaderMap) -> HeaderMap {
    let mut headers = caller.clone();
    remove_connection_headers(&mut headers);
    for name in SYSTEM {
        headers.remove(name);
    }
    headers
}

/// Removes the hop-by-hop headers, including those that `Connection` names.
pub fn remove_connection_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        // A caller must not be able to remove the headers that identify its request.
        .filter(|name: &HeaderName| !name.as_str().starts_with("x-lilacspindle-"))
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
}

/// Returns a header as text, without surrounding white space.
pub fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok().map(str::trim)
}

/// Returns a header as a number.
pub fn number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    text(headers, name)?.parse().ok()
}

/// Returns the API key from `Authorization: Bearer KEY`.
pub fn key(headers: &HeaderMap) -> Option<&str> {
    let (scheme, key) = text(headers, &header::AUTHORIZATION)?.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| key.trim())
}

/// Returns the number of prompt tokens and the maximum number of output tokens.
pub fn token_usage(headers: &HeaderMap) -> Option<(u64, u64)> {
    let (prompt, output) = text(headers, &TOKEN_USAGE)?.split_once(',')?;
    Some((prompt.trim().parse().ok()?, output.trim().parse().ok()?))
}

/// Returns the parts of a prompt that other requests may share: all but the last one.
pub fn shared_prompt_parts(headers: &HeaderMap) -> Vec<PartId> {
    let parts = text(headers, &PROMPT_PARTS).unwrap_or_default();
    let mut parts: Vec<PartId> = parts
        .split(',')
        .filter_map(|part| part.split(':').next())
        .map(|id| Arc::from(id.trim()))
        .collect();
    parts.pop();
    parts.truncate(MAX_PROMPT_PARTS);
    parts
}

/// Returns for how many seconds the sender keeps an idle connection open: 0 if it closes the
/// connection now, `None` if it does not say.
pub fn keep_alive_s(headers: &HeaderMap) -> Option<u64> {
    let connection = text(headers, &header::CONNECTION).unwrap_or_default();
    let mut options = connection.split(',').map(str::trim);
    if options.any(|option| option.eq_ignore_ascii_case("close")) {
        return Some(0);
    }
    let parts = text(headers, &KEEP_ALIVE)?.split(',');
    let mut timeouts = parts.filter_map(|part| part.trim().strip_prefix("timeout="));
    timeouts.next()?.parse().ok()
}

/// Fails unless a response is final and that of a replica to the request with this id. On a reused
/// connection, a late response to an earlier request may arrive first, so the id is required there.
pub fn check_origin(
    status: StatusCode,
    response: &HeaderMap,
    request_id: &str,
    is_reused: bool,
) -> Result<(), String> {
    let is_sealed = is_executed(response);
    match text(response, &REQUEST_ID) {
        _ if !status::is_final(status) => Err(format!("{status} is no final status")),
        Some(id) if id != request_id => Err(format!("the response belongs to request {id}")),
        None if is_reused => Err("a response on a reused connection has no request id".to_owned()),
        None if !is_sealed => Err(format!(
            "a response with status {status} has neither a request id nor a seal"
        )),
        _ if status.is_success() && !is_sealed => {
            Err(format!("a response with status {status} has no seal"))
        }
        _ => Ok(()),
    }
}

/// Returns true unless a response declares a content other than a stream of events.
pub fn is_event_stream(response: &HeaderMap) -> bool {
    let content_type = text(response, &header::CONTENT_TYPE).unwrap_or(EVENT_STREAM);
    let media_type = content_type.split(';').next().unwrap_or_default();
    media_type.trim().eq_ignore_ascii_case(EVENT_STREAM)
}

/// Returns true if a response carries the seal of a replica that executed the request.
fn is_executed(response: &HeaderMap) -> bool {
    response.contains_key(SEAL)
}

/// Returns true if a response states that the replica did not execute the request. One that carries
/// a seal as well contradicts itself and states nothing.
pub fn states_not_run(status: StatusCode, response: &HeaderMap) -> bool {
    let is_marked = status == StatusCode::MISDIRECTED_REQUEST || response.contains_key(NOT_RUN);
    is_marked && !is_executed(response)
}

/// Returns true if a response announces that the replica is about to leave. Every value except `0`
/// does: sending requests to a replica that leaves is worse than not using one that stays.
pub fn announces_shutdown(response: &HeaderMap) -> bool {
    let mut values = response.get_all(LEAVING).iter();
    values.any(|value| value.as_bytes().trim_ascii() != b"0")
}

/// Returns the pause that a replica asks for when it rejects a request; `None` if it asks for none.
/// The longest of several values counts.
pub fn asked_pause(status: StatusCode, response: &HeaderMap) -> Option<AskedPause> {
    if status != StatusCode::SERVICE_UNAVAILABLE {
        return None;
    }
    let values = response.get_all(header::RETRY_AFTER).iter();
    let pauses: Vec<Option<u64>> = values.map(seconds_as_ms).collect();
    let longest_ms = pauses.iter().flatten().max();
    match longest_ms {
        Some(pause_ms) => Some(AskedPause::Ms(*pause_ms)),
        None if pauses.is_empty() => None,
        None => Some(AskedPause::Unreadable),
    }
}

/// Returns the limit on its request rate that a replica names; `None` if it names none. The lowest
/// of several values counts.
pub fn named_limit(response: &HeaderMap) -> Option<NamedLimit> {
    let values = response.get_all(LIMIT).iter();
    let limits: Vec<Option<u64>> = values.map(per_second_as_milli).collect();
    match limits.iter().flatten().min() {
        Some(milli_per_s) => Some(NamedLimit::MilliPerS(*milli_per_s)),
        None if limits.is_empty() => None,
        None => Some(NamedLimit::Unreadable),
    }
}

/// Returns for how many milliseconds the replica stays cold; `None` if it does not say or the value
/// cannot be parsed. The highest of several values counts.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
pub fn cold_remaining_ms(response: &HeaderMap) -> Option<u64> {
    let values = response.get_all(COLD).iter();
    let parsed = values.filter_map(|value| {
        let remaining_ms: f64 = value.to_str().ok()?.trim().parse().ok()?;
        (remaining_ms >= 0.0).then(|| remaining_ms.ceil() as u64)
    });
    parsed.max()
}

/// Converts a decimal number of requests per second to thousandths of a request per second, rounded
/// down.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn per_second_as_milli(value: &HeaderValue) -> Option<u64> {
    let per_s: f64 = value.to_str().ok()?.trim().parse().ok()?;
    (per_s.is_finite() && per_s >= 0.0).then_some((per_s * 1_000.0) as u64)
}

/// Converts a number of seconds, which may have a fraction, to milliseconds, rounded up.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn seconds_as_ms(value: &HeaderValue) -> Option<u64> {
    let seconds: f64 = value.to_str().ok()?.trim().parse().ok()?;
    (seconds.is_finite() && seconds >= 0.0).then(|| (seconds * 1_000.0).ceil() as u64)
}

/// Converts text to a header value; `None` if it has characters that are not allowed in one.
pub fn value(text: &str) -> Option<HeaderValue> {
    HeaderValue::from_str(text).ok()
}
