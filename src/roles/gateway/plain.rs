//! Plain calls, and streams of instances that are no engines. Retries are made only where the route
//! allows them. The response to a call is buffered whole; a stream is relayed once an instance has
//! accepted it.

use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderMap, Response, StatusCode, response};
use tokio::time::timeout_at;

use super::Gateway;
use super::permits::NoInstance;
use super::plain_stream::PlainStream;
use super::request::Job;
use super::response::{Body, Refusal, full};
use super::ticket::Ticket;
use super::upstream::{Connections, Exchange, SendFailure};
use crate::adapters::clock::monotonic_ms;
use crate::adapters::telemetry::{ROUTINE, keeps_routine};
use crate::domain::document::Repeat;
use crate::domain::fleet::{InstanceSummary, Outcome};
use crate::platform::headers;

/// Upper bound on the number of instances tried for one request.
const MAX_ATTEMPTS: usize = 3;
/// Time after which a caller should retry when all instances were full or unreachable. A plain call
/// takes about 30 ms, so an instance works off a full queue in about this time.
const NO_INSTANCE_RETRY_MS: u64 = 250;

/// Result of one attempt to send a request.
enum AttemptResult {
    /// The instance sent a complete response.
    Response(response::Parts, Bytes),
    /// The instance has accepted the request of a stream and sent the head of its response.
    Stream(Exchange),
    /// The request was certainly not executed.
    NotRun(NotRunProof),
    /// The request may have been executed.
    Unknown,
    OutOfTime,
}

/// What shows that a request was not executed.
#[derive(Debug, Clone, Copy)]
enum NotRunProof {
    /// The instance said so, in a response with this status.
    Stated(StatusCode),
    /// Nothing of the request was sent.
    NotSent,
}

/// The response to a request that an instance has accepted.
enum Accepted {
    Whole(Response<Body>),
    Stream(Ticket, Exchange),
}

impl Gateway {
    /// Forwards a plain call or a stream and returns its response. An instance's error response is
    /// returned only if no further attempt is allowed or succeeds.
    pub(super) async fn forward_call(
        self: &Arc<Self>,
        job: Job,
    ) -> Result<Response<Body>, Refusal> {
        let mut failure = None;
        let result = self.try_instances(&job, &mut failure).await;
        match (result, failure) {
            (Err(_), Some((head, body))) => Ok(to_response(&head, body)),
            (Err(refusal), None) => Err(refusal),
            (Ok(Accepted::Whole(response)), _) => Ok(response),
            (Ok(Accepted::Stream(ticket, exchange)), _) => {
                PlainStream::new(Arc::clone(self), job, ticket, exchange)
                    .into_response()
                    .await
            }
        }
    }

    /// Tries one instance after the other for as long as retries are allowed. An instance's error
    /// response that was followed by another attempt is stored in `failure`.
    async fn try_instances(
        self: &Arc<Self>,
        job: &Job,
        failure: &mut Option<(response::Parts, Bytes)>,
    ) -> Result<Accepted, Refusal> {
        let mut tried = Vec::new();
        let mut asked = Vec::new();
        // Attempts in which the request may have been executed.
        let mut possible_runs = 0;
        loop {
            if possible_runs == 0 {
                self.check_fingerprint(job)?;
            }
            let chosen = match self.choose_plain(&job.id, &job.service, &tried).await {
                Ok(chosen) => chosen,
                Err(NoInstance::AtLimit { return_in_ms }) if possible_runs == 0 => {
                    return Err(Refusal::not_run("all_at_limit", return_in_ms));
                }
                Err(_) => return Err(self.no_instance_left(job, possible_runs)),
            };
            if job.left_ms() == 0 {
                return Err(out_of_time(possible_runs));
            }
            if !tried.is_empty() && !self.may_retry(&job.service) {
                return Err(self.no_instance_left(job, possible_runs));
            }
            tried.push(Arc::clone(&chosen.identity));
            let summary = self.with_view(|view| view.summary(&chosen.identity, monotonic_ms()));
            let ticket = Ticket::begin(self, chosen, None);
            job.open.set_instance(&ticket.identity);
            let connections = Connections::for_attempt(ticket.address, &asked);
            asked.push(ticket.address);
            let result = self.send_plain(job, &ticket, connections).await;
            log_attempt(job, &ticket, tried.len(), &summary, &result);
            if let AttemptResult::NotRun(NotRunProof::Stated(status)) = &result {
                let misdirection = self.check_misdirection(job, &ticket.identity, *status);
                if possible_runs == 0 {
                    misdirection?;
                }
            }
            let attempts_left = tried.len() < MAX_ATTEMPTS;
            // It may be this request that has crashed the instance.
            let may_crash = matches!(result, AttemptResult::Unknown) && self.is_suspected(job);
            let may_rerun = job.route.repeat == Repeat::Safe
                && possible_runs + 1 < job.route.max_attempts
                && !may_crash;
            match result {
                AttemptResult::Response(head, body)
                    if head.status.is_server_error() && may_rerun && attempts_left =>
                {
                    *failure = Some((head, body));
                    possible_runs += 1;
                }
                AttemptResult::Response(head, body) => {
                    return Ok(Accepted::Whole(to_response(&head, body)));
                }
                AttemptResult::Stream(exchange) => return Ok(Accepted::Stream(ticket, exchange)),
                AttemptResult::NotRun(_) if attempts_left => {}
                AttemptResult::NotRun(_) => return Err(self.no_instance_left(job, possible_runs)),
                AttemptResult::Unknown if may_rerun => possible_runs += 1,
                AttemptResult::Unknown => {
                    return Err(Refusal::unknown(StatusCode::BAD_GATEWAY, "answer_lost"));
                }
                AttemptResult::OutOfTime => {
                    return Err(Refusal::unknown(StatusCode::GATEWAY_TIMEOUT, "out_of_time"));
                }
            }
        }
    }

    fn no_instance_left(&self, job: &Job, possible_runs: u32) -> Refusal {
        match possible_runs {
            0 => self.no_instance_refusal(&job.service, "no_instance", NO_INSTANCE_RETRY_MS),
            _ => Refusal::unknown(StatusCode::BAD_GATEWAY, "answer_lost"),
        }
    }

    async fn send_plain(
        self: &Arc<Self>,
        job: &Job,
        ticket: &Ticket,
        connections: Connections,
    ) -> AttemptResult {
        let begun_ms = monotonic_ms();
        let request = job.upstream_request(&ticket.identity);
        let sending = self.send(ticket, request, &job.id, connections);
        let collected = match timeout_at(job.deadline, sending).await {
            Ok(Ok(exchange)) if job.is_stream() && is_successful_stream(&exchange) => {
                let result = AttemptResult::Stream(exchange);
                self.metrics.count_send(attempt_label(&result));
                return result;
            }
            Ok(Ok(exchange)) => {
                let collecting = timeout_at(job.deadline, self.pool.collect(exchange)).await;
                collecting.map(|collected| collected.map_err(SendFailure::Lost))
            }
            Ok(Err(failure)) => Ok(Err(failure)),
            Err(elapsed) => Err(elapsed),
        };
        let (result, outcome) = match collected {
            Ok(Ok((head, _))) if headers::states_not_run(head.status, &head.headers) => {
                let proof = NotRunProof::Stated(head.status);
                (AttemptResult::NotRun(proof), Outcome::Refused)
            }
            // To callers these statuses guarantee that the request was not executed, which the
            // instance did not state.
            Ok(Ok((head, _))) if implies_not_run(head.status) => {
                (AttemptResult::Unknown, Outcome::Failed)
            }
            Ok(Ok((head, body))) if head.status.is_server_error() => {
                self.record_completion(job);
                (AttemptResult::Response(head, body), Outcome::Failed)
            }
            Ok(Ok((head, body))) => {
                self.record_completion(job);
                let took_ms = monotonic_ms().saturating_sub(begun_ms);
                (
                    AttemptResult::Response(head, body),
                    Outcome::Answered { took_ms },
                )
            }
            Ok(Err(failure)) => {
                tracing::info!(request = &*job.id, instance = &*ticket.identity, %failure,
                    fingerprint = %job.fingerprint(), age_ms = job.age_ms(), "no complete response from the instance");
                let result = match failure {
                    SendFailure::NotSent(_) => AttemptResult::NotRun(NotRunProof::NotSent),
                    SendFailure::Lost(_) => {
                        self.check_for_crash(job, ticket);
                        AttemptResult::Unknown
                    }
                };
                (result, Outcome::Unreachable)
            }
            Err(_) => (AttemptResult::OutOfTime, Outcome::Failed),
        };
        ticket.record_outcome(outcome);
        self.metrics.count_send(attempt_label(&result));
        result
    }
}

/// Logs the result of an attempt, and what was known about the instance when it was chosen.
fn log_attempt(
    job: &Job,
    ticket: &Ticket,
    attempt: usize,
    summary: &InstanceSummary,
    result: &AttemptResult,
) {
    let status = match result {
        AttemptResult::Response(head, _) => Some(head.status.as_u16()),
        AttemptResult::Stream(exchange) => Some(exchange.head.status.as_u16()),
        _ => None,
    };
    let refused_with = match result {
        AttemptResult::NotRun(NotRunProof::Stated(status)) => Some(status.as_u16()),
        _ => None,
    };
    let is_routine = status.is_some_and(|status| status < 300) && attempt == 1;
    if is_routine && !keeps_routine(&job.id) {
        return;
    }
    // The target of a log line has to be constant, so routine lines need a call site of their own.
    macro_rules! log_line {
        ($target:expr, $message:literal) => {
            tracing::info!(
                target: $target,
                request = &*job.id,
                route = &*job.route.name,
                instance = &*ticket.identity,
                address = %ticket.address,
                attempt,
                status,
                outcome = attempt_label(result),
                refused_with,
                running = summary.running,
                average_ms = summary.average_ms,
                failed_percent = summary.failed_percent,
                observed_age_ms = summary.observed_age_ms,
                document = job.document_version,
                confirmed_age_ms = job.confirmed_age_ms,
                age_ms = job.age_ms(),
                $message
            )
        };
    }
    match status {
        Some(_) if is_routine => log_line!(ROUTINE, "answered"),
        Some(_) => log_line!(module_path!(), "answered"),
        None => log_line!(module_path!(), "not answered"),
    }
}

fn attempt_label(result: &AttemptResult) -> &'static str {
    match result {
        AttemptResult::Response(..) => "answer",
        AttemptResult::Stream(_) => "stream",
        AttemptResult::NotRun(_) => "not_run",
        AttemptResult::Unknown => "unknown",
        AttemptResult::OutOfTime => "out_of_time",
    }
}

/// Returns true for a success whose body is a stream of events.
fn is_successful_stream(exchange: &Exchange) -> bool {
    exchange.head.status.is_success() && headers::is_event_stream(&exchange.head.headers)
}

/// Returns true for statuses that guarantee to callers that the request was not executed.
pub(super) fn implies_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Returns the caller's response for a complete response of an instance.
pub(super) fn to_response(head: &response::Parts, body: Bytes) -> Response<Body> {
    let mut response = Response::new(full(body));
    *response.status_mut() = head.status;
    *response.headers_mut() = end_to_end_headers(&head.headers);
    response
}

/// Returns the headers of an instance's response that are passed on to the caller.
pub(super) fn end_to_end_headers(instance: &HeaderMap) -> HeaderMap {
    let mut passed = instance.clone();
    headers::remove_connection_headers(&mut passed);
    // hyper sets the length from the body.
    passed.remove(http::header::CONTENT_LENGTH);
    passed
}

fn out_of_time(possible_runs: u32) -> Refusal {
    match possible_runs {
        0 => Refusal::not_run("out_of_time", 0),
        _ => Refusal::unknown(StatusCode::GATEWAY_TIMEOUT, "out_of_time"),
    }
}
