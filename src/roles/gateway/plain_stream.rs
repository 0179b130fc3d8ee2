//! Relays the event stream of an instance that is no engine to its caller, in a task of its own. Such a
//! stream cannot be resumed: if its instance breaks it off, its caller's response ends without its end.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use futures::stream;
use http::{Response, StatusCode};
use http_body_util::BodyExt;
use tokio::time::{Instant, timeout_at};

use super::Gateway;
use super::events::EventBuffer;
use super::generation::response_lost;
use super::plain::end_to_end_headers;
use super::read_ahead::{CallerStream, ReadAhead, Share};
use super::request::Job;
use super::response::{Body, Refusal, streamed};
use super::ticket::Ticket;
use super::upstream::Exchange;
use crate::domain::fleet::Outcome;

/// The stream of a request that an instance has accepted. Dropping it closes the connection to the
/// instance, unless the stream is complete.
pub(super) struct PlainStream {
    gateway: Arc<Gateway>,
    job: Job,
    ticket: Ticket,
    /// `None` after the end of the stream.
    exchange: Option<Exchange>,
    events: EventBuffer,
    /// What the caller has not taken yet.
    read_ahead: Arc<ReadAhead>,
    last_event: Option<u64>,
    /// Time from the request to the first event.
    time_to_first_event_ms: Option<u64>,
}

impl PlainStream {
    pub(super) fn new(gateway: Arc<Gateway>, job: Job, ticket: Ticket, exchange: Exchange) -> Self {
        Self {
            read_ahead: ReadAhead::new(&gateway.read_ahead),
            gateway,
            job,
            ticket,
            exchange: Some(exchange),
            events: EventBuffer::default(),
            last_event: None,
            time_to_first_event_ms: None,
        }
    }

    /// Returns the response to the caller once the first event has been received. Until then nothing
    /// has been passed on, so that a failure is still told by the status.
    pub(super) async fn into_response(mut self) -> Result<Response<Body>, Refusal> {
        let Some(head) = self.exchange.as_ref().map(|exchange| &exchange.head) else {
            return Err(response_lost());
        };
        let (status, headers) = (head.status, end_to_end_headers(&head.headers));
        let first = match self.next().await {
            Some(Err(_)) if self.job.left_ms() == 0 => {
                return Err(Refusal::unknown(StatusCode::GATEWAY_TIMEOUT, "out_of_time"));
            }
            Some(Err(_)) => return Err(response_lost()),
            first => first,
        };
        self.gateway.metrics.observe_first_event(self.job.age_ms());
        let (read_ahead, deadline) = (Arc::clone(&self.read_ahead), self.job.deadline);
        let open = Arc::clone(&self.job.open);
        let rest = stream::unfold(self, |mut relay| async move {
            let part = relay.next().await?;
            Some((part, relay))
        });
        let parts = futures::StreamExt::chain(stream::iter(first), rest);
        let frames = CallerStream::read(read_ahead, parts, open, deadline);
        Ok(streamed(status, headers, frames))
    }

    /// Returns the next whole events, or `None` after the end of the stream.
    async fn next(&mut self) -> Option<Result<Bytes, String>> {
        self.exchange.as_ref()?;
        match self.advance().await {
            Ok(Some(bytes)) => Some(Ok(bytes)),
            Ok(None) => None,
            Err(cause) => {
                self.exchange = None;
                self.log_end("broken", &cause);
                Some(Err(cause))
            }
        }
    }

    async fn advance(&mut self) -> Result<Option<Bytes>, String> {
        loop {
            match self.next_events() {
                Ok(None) => {}
                Ok(events) => return Ok(events),
                Err(cause) => {
                    self.ticket.record_outcome(Outcome::Failed);
                    return Err(cause);
                }
            }
            let out_of_time = || "out of time".to_owned();
            if !self.read_ahead.has_room(Share::OfBudget) {
                self.read_ahead.record_pause();
                let room = self.read_ahead.wait_for_room(Share::OfBudget);
                let waited = timeout_at(self.job.deadline, room).await;
                waited.map_err(|_| out_of_time())?;
            }
            let Some(exchange) = &mut self.exchange else {
                return Ok(None);
            };
            // Checked here too: as long as bytes arrive, the timer is not polled.
            if Instant::now() >= self.job.deadline {
                return Err(out_of_time());
            }
            let frame = timeout_at(self.job.deadline, exchange.body.frame()).await;
            match frame.map_err(|_| out_of_time())? {
                Some(Ok(frame)) => {
                    if let Some(data) = frame.data_ref() {
                        self.events.push(data);
                    }
                }
                Some(Err(error)) => return Err(self.break_off(&error.to_string())),
                None if self.is_cut() => return Err(self.break_off("cut off")),
                None => return Ok(self.end()),
            }
        }
    }

    /// Returns true if the end of the response body is not the end of the stream. A stream without any
    /// event is whole only if its body has an explicit end.
    fn is_cut(&self) -> bool {
        let has_explicit_end = self
            .exchange
            .as_ref()
            .is_some_and(Exchange::has_explicit_end);
        let has_begun = self.time_to_first_event_ms.is_some();
        self.events.ends_inside_event() || !(has_begun || has_explicit_end)
    }

    /// Returns the whole events received so far; `None` if there are none.
    fn next_events(&mut self) -> Result<Option<Bytes>, String> {
        let mut whole = BytesMut::new();
        while let Some(event) = self.events.next_event()? {
            self.last_event = event.id.or(self.last_event);
            whole.extend_from_slice(&event.bytes);
        }
        if whole.is_empty() {
            return Ok(None);
        }
        let age_ms = self.job.age_ms();
        self.time_to_first_event_ms.get_or_insert(age_ms);
        self.job
            .open
            .set_last_event(self.last_event.unwrap_or_default());
        Ok(Some(whole.freeze()))
    }

    /// Records that the instance has broken the stream off, and returns the cause.
    fn break_off(&self, cause: &str) -> String {
        self.ticket.record_outcome(Outcome::Unreachable);
        self.gateway.check_for_crash(&self.job, &self.ticket);
        format!(
            "stream from {} was broken off: {cause}",
            self.ticket.identity
        )
    }

    /// Finishes a complete stream. Returns the bytes after its last event, if there are any.
    fn end(&mut self) -> Option<Bytes> {
        // The time to the first event, as the length of a stream says nothing of its instance.
        let took_ms = self.time_to_first_event_ms.unwrap_or(self.job.age_ms());
        self.ticket.record_outcome(Outcome::Answered { took_ms });
        self.gateway.record_completion(&self.job);
        if let Some(exchange) = self.exchange.take() {
            self.gateway.pool.finish(exchange);
        }
        self.log_end("complete", "complete");
        self.events.take_rest()
    }

    fn log_end(&self, label: &str, outcome: &str) {
        self.gateway.metrics.count_stream(label);
        tracing::info!(
            request = &*self.job.id,
            route = &*self.job.route.name,
            outcome,
            instance = &*self.ticket.identity,
            last_event = self.last_event,
            first_event_after_ms = self.time_to_first_event_ms,
            age_ms = self.job.age_ms(),
            "stream ended"
        );
    }
}
