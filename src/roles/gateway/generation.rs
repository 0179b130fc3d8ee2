//! Generations: selects an engine with free capacity for each one and starts its stream there.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use tokio::time::{Instant, sleep, timeout_at};

use super::Gateway;
use super::instance_signals::retry_after;
use super::plain::{implies_not_run, to_response};
use super::relay::{EngineStream, Relay};
use super::request::Job;
use super::response::{Body, Refusal};
use super::ticket::Ticket;
use super::upstream::{Connections, Exchange, SendFailure};
use crate::adapters::clock::monotonic_ms;
use crate::domain::admission::AdmissionQueue;
use crate::domain::document::EngineSpec;
use crate::domain::fleet::{ChosenInstance, EngineQuery, Outcome, Outlook};
use crate::domain::quarantine::Fingerprint;
use crate::platform::headers;
use crate::rpc::directory::{PlaceReply, PlaceRequest};

/// Number of engines tried as long as each one certainly did not execute the request.
const MAX_ATTEMPTS: usize = 3;
/// Timeout of a placement call to control, without the time that control holds the call. A round
/// trip between zones takes 3 ms; a lost control instance must not make a generation miss its
/// latency target.
const PLACEMENT_TIMEOUT: Duration = Duration::from_millis(60);
/// Time for which control may hold a placement call until an engine has capacity. Each call offers
/// a new selection of engines, and waiting generations lose this much time when a leader is lost.
const PLACEMENT_HOLD_MS: u64 = 200;
/// Generations that wait without control retry at this interval while instances are cold: the share
/// of a cold limit is renewed each second, without a change of capacity.
const COLD_RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// Generations that wait without control retry within this random time after a capacity change.
const LOCAL_RETRY_JITTER_MS: u64 = 40;

impl Gateway {
    /// Starts a generation and returns its stream once the first event has been received.
    pub(super) async fn generate(
        self: Arc<Self>,
        job: Job,
        engine: EngineSpec,
    ) -> Result<Response<Body>, Refusal> {
        let mut tried: Vec<Arc<str>> = Vec::new();
        loop {
            if job.left_ms() == 0 {
                return Err(Refusal::not_run("out_of_time", 0));
            }
            let demand = job.demand;
            self.check_quarantine(&job)?;
            let chosen = self.place(&job, engine, &tried).await?;
            // A part may have been quarantined while the generation waited.
            self.check_quarantine(&job)?;
            // The same holds for the zone of the engine. The view does not offer it again.
            if self.is_evacuated(&chosen.identity) {
                continue;
            }
            if !tried.is_empty() && !self.may_retry(&job.service) {
                return Err(self.no_capacity(&job));
            }
            tried.push(Arc::clone(&chosen.identity));
            let summary = self.with_view(|view| view.summary(&chosen.identity, monotonic_ms()));
            let by_hub = chosen.by_hub;
            self.count_pace_effects(&job, engine, &chosen.identity);
            let ticket = Ticket::begin(&self, chosen, Some(demand));
            job.open.set_instance(&ticket.identity);
            let backup = self.choose_backup(&job, engine, &ticket);
            let request = with_backup(job.upstream_request(&ticket.identity), backup.as_ref());
            tracing::info!(
                request = &*job.id,
                route = &*job.route.name,
                instance = &*ticket.identity,
                backup = backup.as_ref().map(|backup| &*backup.identity),
                attempt = tried.len(),
                document = job.document_version,
                confirmed_age_ms = job.confirmed_age_ms,
                by_hub,
                prompt_tokens = demand.prompt_tokens,
                output_tokens = demand.output_tokens,
                running = summary.running,
                committed_tokens = summary.committed_tokens,
                prefill_tokens = summary.prefill_tokens,
                used_tokens = summary.used_tokens,
                report_age_ms = summary.report_age_ms,
                slowness_permille = summary.slowness_permille,
                age_ms = job.age_ms(),
                left_ms = job.left_ms(),
                "generation sent"
            );
            let sending = self.send(&ticket, request, &job.id, Connections::Any);
            let exchange = match timeout_at(job.deadline, sending).await {
                Ok(Ok(exchange)) => exchange,
                Ok(Err(failure)) => {
                    ticket.record_outcome(Outcome::Unreachable);
                    tracing::info!(request = &*job.id, instance = &*ticket.identity, %failure,
                        age_ms = job.age_ms(), "no response from the engine");
                    match failure {
                        SendFailure::NotSent(_) if tried.len() < MAX_ATTEMPTS => continue,
                        SendFailure::NotSent(_) => return Err(self.no_capacity(&job)),
                        SendFailure::Lost(_) => {
                            self.record_crash(&job, &ticket.identity);
                            self.check_for_crash(&job, &ticket);
                            return Err(response_lost());
                        }
                    }
                }
                Err(_) => {
                    return Err(Refusal::unknown(StatusCode::GATEWAY_TIMEOUT, "out_of_time"));
                }
            };
            if headers::states_not_run(exchange.head.status, &exchange.head.headers) {
                tracing::info!(
                    request = &*job.id,
                    instance = &*ticket.identity,
                    status = exchange.head.status.as_u16(),
                    "engine refused"
                );
                ticket.record_outcome(Outcome::Refused);
                self.check_misdirection(&job, &ticket.identity, exchange.head.status)?;
                match tried.len() < MAX_ATTEMPTS {
                    true => continue,
                    false => return Err(self.no_capacity(&job)),
                }
            }
            if !exchange.head.status.is_success() {
                return self.forward_failure(&job, &ticket, exchange).await;
            }
            if !headers::is_event_stream(&exchange.head.headers) {
                return self.forward_whole(&job, exchange).await;
            }
            let source = EngineStream { exchange, ticket };
            return Relay::new(Arc::clone(&self), job, engine, source, backup)
                .into_response()
                .await;
        }
    }

    /// Counts the effects of the pace of engines on the choice for a generation.
    fn count_pace_effects(&self, job: &Job, engine: EngineSpec, chosen: &str) {
        let query = engine_query(job, engine, &[]);
        let effects = self.with_view(|view| view.pace_effects(&query, chosen));
        for effect in effects {
            self.pace_metrics.count_effect(effect);
        }
    }

    /// Fails if the request or a part of its prompt is quarantined: it would crash its engine. The
    /// status is final for callers, since no attempt can succeed.
    fn check_quarantine(&self, job: &Job) -> Result<(), Refusal> {
        self.check_fingerprint(job)?;
        match self.with_part_watch(|watch| watch.quarantined(&job.shared_parts).cloned()) {
            None => Ok(()),
            Some(part) => {
                tracing::info!(
                    request = &*job.id,
                    part = &*part,
                    "a part of the prompt is quarantined"
                );
                Err(Refusal::denied(
                    StatusCode::INTERNAL_SERVER_ERROR,
                    "prompt_part_quarantined",
                ))
            }
        }
    }

    /// Records that an engine was lost before it had begun to answer a generation.
    pub(super) fn record_crash(&self, job: &Job, instance: &Arc<str>) {
        tracing::info!(
            request = &*job.id,
            instance = &**instance,
            shared_parts = job.shared_parts.join(","),
            fingerprint = %job.fingerprint(),
            "engine lost before its first event"
        );
        // Requests with one path and body may still differ in their prompts.
        let (request, parts) = (Fingerprint(job.call_hash()), &job.shared_parts);
        self.with_part_watch(|watch| watch.record_crash(instance, request, parts));
    }

    /// Returns an engine with free capacity. If there is none, waits in the queue that control
    /// keeps for the generations of all entries. Fails at once if no capacity is expected in time.
    async fn place(
        &self,
        job: &Job,
        engine: EngineSpec,
        tried: &[Arc<str>],
    ) -> Result<ChosenInstance, Refusal> {
        let limit_ms = AdmissionQueue::limit_ms(job.route.target_ms);
        let mut hold_ms = 0;
        loop {
            let left_ms = limit_ms.saturating_sub(job.age_ms()).min(job.left_ms());
            match self
                .request_placement(job, engine, tried, left_ms, hold_ms)
                .await
            {
                PlacementResult::Engine(chosen) => {
                    if hold_ms > 0 {
                        log_chosen_engine(job, &chosen);
                    }
                    return Ok(chosen);
                }
                PlacementResult::Wait(outlook) => {
                    log_outlook(job, outlook, left_ms, "waiting for engine capacity");
                    hold_ms = PLACEMENT_HOLD_MS;
                }
                PlacementResult::AskAgain => {}
                PlacementResult::NoCapacity(outlook) => {
                    log_outlook(job, outlook, left_ms, "no engine capacity expected in time");
                    return Err(retry_after("no_room", outlook.retry_after_ms));
                }
                PlacementResult::AtLimit { return_in_ms } => {
                    return Err(Refusal::not_run("all_at_limit", return_in_ms));
                }
                PlacementResult::Unavailable => {
                    return self.place_locally(job, engine, tried).await;
                }
            }
        }
    }

    /// Asks control to place a generation on an engine. Control may hold the call for `hold_ms`
    /// until there is capacity.
    async fn request_placement(
        &self,
        job: &Job,
        engine: EngineSpec,
        tried: &[Arc<str>],
        left_ms: u64,
        hold_ms: u64,
    ) -> PlacementResult {
        let query = engine_query(job, engine, tried);
        let (placement, mut engines) = self.with_view(|view| {
            let (placement, engines) = view.placement_request(&query, &self.name, hold_ms > 0);
            match engines.is_empty() {
                // Control may know of free capacity that has not been reported to this entry yet.
                true => view.placement_request(&query, &self.name, true),
                false => (placement, engines),
            }
        });
        let link = self.control_link().filter(|_| !engines.is_empty());
        let Some(link) = link else {
            return PlacementResult::Unavailable;
        };
        let request = PlaceRequest {
            placement,
            call: job.call_hash(),
            waited_ms: job.age_ms(),
            in_time_ms: AdmissionQueue::limit_ms(job.route.target_ms),
            left_ms,
            hold_ms,
        };
        let limit = PLACEMENT_TIMEOUT + Duration::from_millis(hold_ms);
        let reply = link
            .call(limit, |client, context| async move {
                client.place(context, request).await
            })
            .await;
        match reply {
            Ok(PlaceReply::At(at)) if at < engines.len() => {
                PlacementResult::Engine(ChosenInstance {
                    by_hub: true,
                    ..engines.swap_remove(at)
                })
            }
            Ok(PlaceReply::Wait(outlook)) => PlacementResult::Wait(outlook),
            Ok(PlaceReply::Ask) => PlacementResult::AskAgain,
            Ok(PlaceReply::Full(outlook)) => PlacementResult::NoCapacity(outlook),
            Ok(PlaceReply::AtLimit { return_in_ms }) => PlacementResult::AtLimit { return_in_ms },
            Ok(PlaceReply::At(_) | PlaceReply::NotLeader) | Err(_) => PlacementResult::Unavailable,
        }
    }

    /// Places a generation by the engine loads known to this entry, while control does not answer.
    /// Waits for capacity if it is expected in time.
    async fn place_locally(
        &self,
        job: &Job,
        engine: EngineSpec,
        tried: &[Arc<str>],
    ) -> Result<ChosenInstance, Refusal> {
        self.metrics.local_placements.inc();
        let choose = || self.with_view(|view| view.take_engine(&engine_query(job, engine, tried)));
        if let Some(chosen) = choose() {
            return Ok(chosen);
        }
        let limit_ms = AdmissionQueue::limit_ms(job.route.target_ms);
        let left_ms = limit_ms.saturating_sub(job.age_ms());
        if self.with_view(|view| view.usable(&job.service, monotonic_ms())) == 0 {
            return Err(self.no_capacity(job));
        }
        if self.with_view(|view| view.all_limited(&job.service, monotonic_ms())) {
            return Err(Self::at_limit_without_hub());
        }
        self.with_admission_queue(|queue| queue.join(left_ms))
            .map_err(|after_ms| retry_after("no_room", after_ms))?;
        let _guard = AdmissionGuard(self);
        let deadline = job.arrived + Duration::from_millis(limit_ms);
        loop {
            let changed = self.capacity_changes.notified();
            if let Some(chosen) = choose() {
                log_chosen_engine(job, &chosen);
                return Ok(chosen);
            }
            let now_ms = monotonic_ms();
            let (is_hopeless, has_cold) = self.with_view(|view| {
                let service = &job.service;
                (
                    view.all_evacuated(service),
                    view.has_cold_limited(service, now_ms),
                )
            });
            let retry_at = match has_cold {
                true => deadline.min(Instant::now() + COLD_RETRY_INTERVAL),
                false => deadline,
            };
            let is_over =
                timeout_at(retry_at, changed).await.is_err() && Instant::now() >= deadline;
            if is_hopeless || is_over {
                return Err(self.no_capacity(job));
            }
            // Random delay, as every waiting generation is woken by the same change of capacity.
            sleep(Duration::from_millis(
                rand::random::<u64>() % LOCAL_RETRY_JITTER_MS,
            ))
            .await;
        }
    }

    fn no_capacity(&self, job: &Job) -> Refusal {
        let expected_ms = self.with_admission_queue(|queue| queue.retry_after_ms());
        self.no_instance_refusal(&job.service, "no_room", expected_ms)
    }

    /// Chooses an engine to keep a backup copy of a generation's KV cache; `None` if the engine
    /// does not support backups, the generation is too short for one, or no engine is suitable.
    pub(super) fn choose_backup(
        self: &Arc<Self>,
        job: &Job,
        engine: EngineSpec,
        source: &Ticket,
    ) -> Option<Ticket> {
        if !engine.backups || !job.is_long() {
            return None;
        }
        let excluded = [Arc::clone(&source.identity)];
        let demand = job.demand.of_copy();
        let query = EngineQuery {
            demand,
            read_within_ms: None,
            ..engine_query(job, engine, &excluded)
        };
        let chosen = self.with_view(|view| view.choose_backup(&query, &source.identity))?;
        let mut ticket = Ticket::begin(self, chosen, Some(demand));
        ticket.mark_prompt_read();
        Some(ticket)
    }

    /// Returns an engine's error response to the caller, unless its status would wrongly guarantee
    /// that the request was not executed.
    async fn forward_failure(
        &self,
        job: &Job,
        ticket: &Ticket,
        exchange: Exchange,
    ) -> Result<Response<Body>, Refusal> {
        ticket.record_outcome(Outcome::Failed);
        if implies_not_run(exchange.head.status) {
            return Err(response_lost());
        }
        let status = exchange.head.status.as_u16();
        tracing::info!(
            request = &*job.id,
            instance = &*ticket.identity,
            status,
            "engine failed"
        );
        self.forward_whole(job, exchange).await
    }

    /// Returns a response that is no event stream to the caller, once its body is complete.
    async fn forward_whole(
        &self,
        job: &Job,
        exchange: Exchange,
    ) -> Result<Response<Body>, Refusal> {
        match timeout_at(job.deadline, self.pool.collect(exchange)).await {
            Ok(Ok((head, body))) => {
                self.record_completion(job);
                Ok(to_response(&head, body))
            }
            _ => Err(response_lost()),
        }
    }
}

/// Result of a placement call to control.
enum PlacementResult {
    Engine(ChosenInstance),
    /// There is no capacity yet; the generation may wait.
    Wait(Outlook),
    /// No capacity was found while the call was held; the generation may ask again.
    AskAgain,
    /// No capacity is expected in time.
    NoCapacity(Outlook),
    /// All engines of the service have request limits, and the candidates have reached theirs.
    AtLimit {
        return_in_ms: u64,
    },
    /// The control leader does not answer, or no engine is known.
    Unavailable,
}

/// Counts a generation as waiting at this entry until it is dropped.
struct AdmissionGuard<'a>(&'a Gateway);

impl Drop for AdmissionGuard<'_> {
    fn drop(&mut self) {
        self.0.with_admission_queue(AdmissionQueue::leave);
    }
}

/// Returns the requirements that an engine for the generation has to meet.
fn engine_query<'a>(job: &'a Job, engine: EngineSpec, excluded: &'a [Arc<str>]) -> EngineQuery<'a> {
    EngineQuery {
        service: &job.service,
        demand: job.demand,
        engine,
        excluded,
        read_within_ms: Some(AdmissionQueue::read_within_ms(job.route.target_ms)),
        now_ms: monotonic_ms(),
        random: rand::random(),
    }
}

fn log_chosen_engine(job: &Job, chosen: &ChosenInstance) {
    tracing::info!(
        request = &*job.id,
        instance = &*chosen.identity,
        by_hub = chosen.by_hub,
        age_ms = job.age_ms(),
        "engine with free capacity found"
    );
}

fn log_outlook(job: &Job, outlook: Outlook, left_ms: u64, message: &str) {
    tracing::info!(
        request = &*job.id,
        ahead = outlook.ahead,
        expected_ms = outlook.expected_ms,
        late = outlook.late,
        left_ms,
        age_ms = job.age_ms(),
        "{message}"
    );
}

/// Adds the address of the engine that is to keep a backup copy to a request.
pub(super) fn with_backup(
    mut request: Request<Full<Bytes>>,
    backup: Option<&Ticket>,
) -> Request<Full<Bytes>> {
    if let Some(value) = backup.and_then(|b| headers::value(&b.address.to_string())) {
        request.headers_mut().insert(headers::BACKUP, value);
    }
    request
}

pub(super) fn response_lost() -> Refusal {
    Refusal::unknown(StatusCode::BAD_GATEWAY, "answer_lost")
}
