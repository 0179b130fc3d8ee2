//! What instances say of themselves in their answers to requests: that they leave, or that they want
//! no requests for some time.

use std::time::Duration;

use bytes::Bytes;
use http::{Request, response};
use http_body_util::Full;
use tokio::time::sleep;

use super::Gateway;
use super::response::Refusal;
use super::ticket::Ticket;
use super::upstream::{Exchange, SendFailure};
use crate::adapters::clock::monotonic_ms;
use crate::domain::fleet::AskedPause;
use crate::platform::headers;

/// Part of the time to come back that is random, in hundredths, so that callers turned away
/// together do not return together.
const RETRY_JITTER_PERCENT: u64 = 40;

impl Gateway {
    /// Sends a request to an instance. Returns the head of the answer once what it says of the instance
    /// is known.
    pub(super) async fn send(
        &self,
        ticket: &Ticket,
        request: Request<Full<Bytes>>,
        request_id: &str,
    ) -> Result<Exchange, SendFailure> {
        let sent = self.pool.send(ticket.address, request, request_id).await;
        if let Ok(exchange) = &sent {
            self.apply_instance_headers(&ticket.identity, &exchange.head);
        }
        sent
    }

    fn apply_instance_headers(&self, instance: &str, answer: &response::Parts) {
        if let Some(asked) = headers::asked_pause(answer.status, &answer.headers) {
            self.pause_instance(instance, asked);
        }
        if headers::says_leaving(&answer.headers)
            && self.with_view(|view| view.says_leaving(instance, monotonic_ms()))
        {
            self.metrics.count_instance_signal("leaving");
            tracing::info!(instance, "instance says that it leaves");
            self.departure_changes.send_modify(|count| *count += 1);
        }
    }

    /// Sends an instance nothing for as long as it asks for.
    pub(super) fn pause_instance(&self, instance: &str, asked: AskedPause) {
        self.metrics.count_instance_signal("asked_for_time");
        tracing::info!(
            instance,
            ?asked,
            pause_ms = asked.bounded_ms(),
            "instance wants no requests"
        );
        self.with_view(|view| view.asks_for_time(instance, asked, monotonic_ms()));
    }

    /// Waits until an instance takes calls again. Returns false at once if that is later than `limit`.
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

    /// Returns the refusal of a request for which no instance is free. Callers come back after
    /// `expected_ms`, or once the first instance is used again if all have asked for time.
    pub(super) fn no_instance_refusal(
        &self,
        service: &str,
        code: &'static str,
        expected_ms: u64,
    ) -> Refusal {
        let paused_ms = self.with_view(|view| view.all_paused_for_ms(service, monotonic_ms()));
        match paused_ms {
            Some(paused_ms) => retry_after("all_asked_for_time", paused_ms),
            None => retry_after(code, expected_ms),
        }
    }
}

/// Returns a refusal with the time to come back, spread over callers.
pub(super) fn retry_after(code: &'static str, after_ms: u64) -> Refusal {
    let spread_ms = rand::random::<u64>() % (after_ms * RETRY_JITTER_PERCENT / 100).max(1);
    Refusal::not_run(code, after_ms + spread_ms)
}
