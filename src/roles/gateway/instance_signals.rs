//! Handles the signals that instances send in response headers: that they are shutting down, that
//! they want no requests for some time, or how many requests per second they take.

use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode, response};
use http_body_util::Full;
use tokio::time::sleep;

use super::Gateway;
use super::request::Job;
use super::response::Refusal;
use super::ticket::Ticket;
use super::upstream::{Connections, Exchange, SendFailure};
use crate::adapters::clock::monotonic_ms;
use crate::domain::fleet::{AskedPause, LimitChange, NamedLimit};
use crate::platform::headers;

/// Time after which a caller should retry while all zones with instances are evacuated. Operators
/// withdraw an evacuation after minutes rather than seconds, but nobody announces when.
const EVACUATED_RETRY_MS: u64 = 2_000;
/// Jitter added to `Retry-After`, in percent, so that callers refused at the same time do not all
/// retry at the same time.
const RETRY_JITTER_PERCENT: u64 = 40;

impl Gateway {
    /// Sends a request to an instance and returns the response head, after the signals in it have
    /// been applied to the instance.
    pub(super) async fn send(
        &self,
        ticket: &Ticket,
        request: Request<Full<Bytes>>,
        request_id: &str,
        connections: Connections,
    ) -> Result<Exchange, SendFailure> {
        // The last check: the instance may have been chosen before its zone was evacuated.
        if self.is_evacuated(&ticket.identity) {
            return Err(SendFailure::NotSent("its zone is evacuated".to_owned()));
        }
        let sent_ms = monotonic_ms();
        let sending = self
            .pool
            .send(ticket.address, request, request_id, connections);
        let sent = sending.await;
        if let Ok(exchange) = &sent {
            self.apply_instance_headers(&ticket.identity, &exchange.head, sent_ms);
        }
        sent
    }

    fn apply_instance_headers(&self, instance: &str, response: &response::Parts, sent_ms: u64) {
        if let Some(asked) = headers::asked_pause(response.status, &response.headers) {
            self.pause_instance(instance, asked);
        }
        if headers::announces_shutdown(&response.headers)
            && self.with_view(|view| view.mark_leaving(instance, monotonic_ms()))
        {
            self.metrics.count_instance_signal("leaving");
            tracing::info!(instance, "instance announced its shutdown");
            self.departure_changes.send_modify(|count| *count += 1);
        }
        // Another instance has taken over the address of one that responds with 421.
        if response.status != StatusCode::MISDIRECTED_REQUEST {
            self.apply_limit(instance, headers::named_limit(&response.headers), sent_ms);
        }
    }

    /// Handles the status of a refusal. With 421, another instance has responded at the address of the
    /// expected one. Fails if that is not certain because the request names its weights: the refusal
    /// then concerns only this request, and is its caller's.
    pub(super) fn check_misdirection(
        &self,
        job: &Job,
        identity: &str,
        status: StatusCode,
    ) -> Result<(), Refusal> {
        match status {
            StatusCode::MISDIRECTED_REQUEST if job.names_weights() => {
                Err(Refusal::denied(status, "other_weights"))
            }
            StatusCode::MISDIRECTED_REQUEST => {
                self.with_view(|view| view.misdirected(identity, monotonic_ms()));
                Ok(())
            }
            _ => Ok(()),
        }
    }

    /// Records the request limit that an instance names in its response, `None` if it names none.
    fn apply_limit(&self, instance: &str, named: Option<NamedLimit>, sent_ms: u64) {
        if named == Some(NamedLimit::Unreadable) {
            self.metrics.count_instance_signal("unreadable_limit");
        }
        let now_ms = monotonic_ms();
        match self.with_view(|view| view.hear_limit(instance, named, sent_ms, now_ms)) {
            LimitChange::Unchanged => {}
            LimitChange::Named { limit_milli_per_s } => {
                self.metrics.count_instance_signal("named_limit");
                tracing::info!(
                    instance,
                    ?named,
                    limit_milli_per_s,
                    "instance named a request limit"
                );
            }
            LimitChange::Ended => {
                self.metrics.count_instance_signal("limit_ended");
                tracing::info!(instance, "instance names no request limit any more");
            }
        }
    }

    /// Pauses all requests to an instance for the time that it asked for, within bounds.
    pub(super) fn pause_instance(&self, instance: &str, asked: AskedPause) {
        self.metrics.count_instance_signal("asked_for_time");
        tracing::info!(
            instance,
            ?asked,
            pause_ms = asked.bounded_ms(),
            "requests to the instance are paused"
        );
        self.with_view(|view| view.extend_pause(instance, asked, monotonic_ms()));
    }

    /// Waits until an instance accepts calls again. Returns false at once if that takes longer than
    /// `limit`.
    pub(super) async fn wait_until_unpaused(&self, instance: &str, limit: Duration) -> bool {
        loop {
            let left_ms = self.with_view(|view| view.pause_left_ms(instance, monotonic_ms()));
            let left = Duration::from_millis(left_ms);
            match left {
                Duration::ZERO => return true,
                _ if left > limit => return false,
                _ => sleep(left).await,
            }
        }
    }

    /// Returns true if nothing new may be sent to an instance because its zone is evacuated.
    pub(super) fn is_evacuated(&self, identity: &str) -> bool {
        self.with_view(|view| view.is_evacuated(identity))
    }

    /// Returns the refusal of a request for which no instance is available. Callers should retry
    /// after `expected_ms` or, if all instances are paused, when the first pause ends.
    pub(super) fn no_instance_refusal(
        &self,
        service: &str,
        code: &'static str,
        expected_ms: u64,
    ) -> Refusal {
        if self.with_view(|view| view.all_evacuated(service)) {
            return retry_after("zone_evacuated", EVACUATED_RETRY_MS);
        }
        let paused_ms = self.with_view(|view| view.all_paused_for_ms(service, monotonic_ms()));
        match paused_ms {
            Some(paused_ms) => retry_after("all_asked_for_time", paused_ms),
            None => retry_after(code, expected_ms),
        }
    }
}

/// Returns a refusal with a `Retry-After` of `after_ms` plus random jitter.
pub(super) fn retry_after(code: &'static str, after_ms: u64) -> Refusal {
    let jitter_ms = rand::random::<u64>() % (after_ms * RETRY_JITTER_PERCENT / 100).max(1);
    Refusal::not_run(code, after_ms + jitter_ms)
}
