//! Sends recorded requests over HTTP and records their outcomes.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use futures::StreamExt;
use reqwest::{RequestBuilder, Response};
use serde_json::{Value, json};

use super::checker::check_answer;
use super::kinds::{Kind, Target};
use super::recorder::{Recorder, RequestOutcome, RequestTrace, measured_window_us};
use super::sse::{SseEvent, SseParser};
use super::workload::{Arrival, Workload};
use crate::adapters::clock::unix_ms;

/// Time for which an answer is awaited beyond the deadline of its request.
const DEADLINE_GRACE: Duration = Duration::from_secs(5);
/// Further attempts after a broken stream or a failed connection.
const MAX_RETRIES: u32 = 5;
/// A request sent at most this late is timed from when it was sent: timers of the runtime fire up
/// to about 1 ms late, and a little more on a busy machine.
const MAX_TIMER_LAG_US: u64 = 2_000;
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Base URLs of the processes under load.
#[derive(Debug, Clone, Default)]
pub struct Targets {
    /// Entries, or engines that are called directly.
    pub urls: Vec<String>,
    /// Services that are called directly; if empty, services are called through `urls`.
    pub service_urls: Vec<String>,
    /// Engines whose metrics are read.
    pub engine_urls: Vec<String>,
    /// Model versions whose output the checker accepts.
    pub versions: Vec<String>,
}

/// State shared by all requests of a run.
pub(super) struct LoadClient {
    pub(super) http: reqwest::Client,
    pub(super) targets: Targets,
    pub(super) workload: Arc<Workload>,
    pub(super) recorder: Mutex<Recorder>,
    pub(super) start: Instant,
    pub(super) next_url_index: AtomicUsize,
}

/// What has been received of one answer.
#[derive(Default)]
struct Answer {
    trace: RequestTrace,
    text: String,
    /// Id of the last event, from which a broken stream is resumed.
    last_event_id: Option<String>,
    ending: Option<RequestOutcome>,
    fault: Option<String>,
}

impl LoadClient {
    /// Sends a request, checks its answer and records its outcome.
    pub(super) async fn run_request(&self, number: usize) {
        let arrival = &self.workload.arrivals[number];
        let kind = &self.workload.kinds[arrival.kind];
        let mut answer = Answer::default();
        answer.trace.start_us = start_us(arrival.at_us, self.now_us());
        let timeout = Duration::from_millis(kind.deadline_ms) + DEADLINE_GRACE;
        let exchange = async {
            match &kind.target {
                Target::Model { model, .. } => {
                    self.run_generation(arrival, kind, model, &mut answer).await;
                }
                Target::Service { service, path } => {
                    self.call_service(arrival, kind, service, path, &mut answer)
                        .await;
                }
            }
        };
        // After a time-out, what has been received so far decides the outcome.
        let _ = tokio::time::timeout(timeout, exchange).await;
        let end_us = self.now_us();
        answer.trace.end(end_us);
        let past_deadline = end_us.saturating_sub(answer.trace.start_us) > kind.deadline_ms * 1_000;
        let ending = match answer.ending {
            Some(RequestOutcome::Complete) if past_deadline => RequestOutcome::Late,
            Some(ending) => ending,
            None if answer.trace.tokens > 0 => RequestOutcome::Interrupted,
            None => RequestOutcome::Unknown,
        };
        let mut recorder = self.lock();
        if let Some(fault) = answer.fault {
            recorder.add_fault(format!("request {number} ({}): {fault}", kind.name));
        }
        recorder.record_request(&self.workload, number, &answer.trace, ending, end_us);
    }

    async fn run_generation(
        &self,
        arrival: &Arrival,
        kind: &Kind,
        model: &str,
        answer: &mut Answer,
    ) {
        let body = request_body(&self.workload, arrival, kind, model);
        for attempt in 0..=MAX_RETRIES {
            if attempt > 0 {
                tokio::time::sleep(RETRY_DELAY).await;
            }
            let path = if kind.chat {
                "/v1/chat/completions"
            } else {
                "/v1/completions"
            };
            let url = format!("{}{path}", self.next_url(&self.targets.urls));
            let mut request = self
                .add_headers(self.http.post(url), arrival, kind)
                .json(&body);
            if let Some(id) = &answer.last_event_id {
                request = request.header("Last-Event-ID", id);
            }
            let connected = match request.send().await {
                Ok(response) if response.status().is_success() => {
                    self.read_stream(response, answer).await;
                    true
                }
                Ok(response) => {
                    answer.ending = Some(ending_of_error_response(response).await);
                    true
                }
                Err(error) => !error.is_connect(),
            };
            // Without an event id the stream cannot be resumed, and a new request could run the
            // generation twice.
            if answer.ending.is_some() || (connected && answer.last_event_id.is_none()) {
                break;
            }
            if !connected && attempt == MAX_RETRIES && answer.trace.tokens == 0 {
                answer.ending = Some(RequestOutcome::Failed);
            }
        }
        self.check_text(arrival, answer);
    }

    /// Reads a stream until it ends or breaks.
    async fn read_stream(&self, response: Response, answer: &mut Answer) {
        let window_us = measured_window_us(&self.workload);
        let mut parser = SseParser::default();
        let mut stream = response.bytes_stream();
        while let Some(Ok(bytes)) = stream.next().await {
            for event in parser.push(&bytes) {
                self.apply_event(event, &window_us, answer);
            }
            if answer.ending.is_some() {
                return;
            }
        }
    }

    fn apply_event(&self, event: SseEvent, window_us: &std::ops::Range<u64>, answer: &mut Answer) {
        if event.data == "[DONE]" {
            answer.ending = Some(RequestOutcome::Complete);
            return;
        }
        let chunk: Value = serde_json::from_str(&event.data).unwrap_or_default();
        if event.event_type == "error" || !chunk["error"].is_null() {
            answer.ending = Some(ending_of_error(&chunk).unwrap_or(RequestOutcome::Failed));
            return;
        }
        if event.id.is_some() {
            answer.last_event_id = event.id;
        }
        let choice = &chunk["choices"][0];
        let text = choice["text"].as_str();
        let text = text.or(choice["delta"]["content"].as_str()).unwrap_or("");
        answer.text.push_str(text);
        let now_us = self.now_us();
        for _ in text.matches(' ') {
            if let Some(gap_us) = answer.trace.add_token(now_us, window_us) {
                self.lock().record_token_gap(gap_us);
            }
        }
    }

    /// Compares the text of an answer, complete or not, with the expected tokens.
    fn check_text(&self, arrival: &Arrival, answer: &mut Answer) {
        let complete = answer.ending == Some(RequestOutcome::Complete);
        if !complete && answer.text.is_empty() {
            return;
        }
        let versions: Vec<&str> = self.targets.versions.iter().map(String::as_str).collect();
        let prompt = self.workload.engine_prompt(arrival);
        let expected = complete.then(|| arrival.output_tokens());
        if let Err(fault) = check_answer(&versions, &prompt, &answer.text, expected) {
            answer.fault = Some(fault.to_string());
            answer.ending = Some(RequestOutcome::Wrong);
        }
    }

    async fn call_service(
        &self,
        arrival: &Arrival,
        kind: &Kind,
        service: &str,
        path: &str,
        answer: &mut Answer,
    ) {
        let url = if self.targets.service_urls.is_empty() {
            format!("{}/svc/{service}{path}", self.next_url(&self.targets.urls))
        } else {
            format!("{}{path}", self.next_url(&self.targets.service_urls))
        };
        let body = json!({"number": arrival.number});
        let request = self
            .add_headers(self.http.post(url), arrival, kind)
            .json(&body);
        let ending = match request.send().await {
            Ok(response) if response.status().is_success() => match response.json().await {
                Ok(result) => check_service_answer(kind, arrival, &result, answer),
                Err(_) => RequestOutcome::Unknown,
            },
            Ok(response) => ending_of_error_response(response).await,
            Err(error) if error.is_connect() => RequestOutcome::Failed,
            Err(_) => RequestOutcome::Unknown,
        };
        answer.ending = Some(ending);
    }

    /// Adds the headers of a request; a call that is not repeatable gets an idempotency key.
    fn add_headers(
        &self,
        request: RequestBuilder,
        arrival: &Arrival,
        kind: &Kind,
    ) -> RequestBuilder {
        let workspace = &self.workload.workspaces[arrival.workspace];
        let request = request
            .header("Lilac-Workspace", &workspace.name)
            .header("Lilac-Kind", &kind.name)
            .header("Lilac-Deadline-Ms", kind.deadline_ms);
        if kind.repeatable {
            return request;
        }
        let key = format!("{}-{}-{}", unix_ms(), self.workload.seed, arrival.number);
        request.header("Idempotency-Key", key)
    }

    /// Returns the next base URL in round-robin order, without a trailing slash.
    fn next_url<'a>(&self, urls: &'a [String]) -> &'a str {
        let index = self.next_url_index.fetch_add(1, Ordering::Relaxed);
        let url = &urls[index % urls.len()];
        url.trim_end_matches('/')
    }

    pub(super) fn now_us(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_micros()).unwrap_or(u64::MAX)
    }

    pub(super) fn lock(&self) -> std::sync::MutexGuard<'_, Recorder> {
        self.recorder.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the time from which a request's latency is measured: when it was sent, if that was late
/// only by the granularity of timers; else when it was due, so that a delay in the load tool counts
/// as latency.
fn start_us(due_us: u64, sent_us: u64) -> u64 {
    if sent_us.saturating_sub(due_us) <= MAX_TIMER_LAG_US {
        sent_us
    } else {
        due_us
    }
}

fn request_body(workload: &Workload, arrival: &Arrival, kind: &Kind, model: &str) -> Value {
    let prompt = workload.prompt(arrival);
    let mut body = json!({"model": model, "max_tokens": arrival.max_tokens, "stream": true,
                          "target_tokens": arrival.target_tokens});
    if kind.chat {
        body["messages"] = json!([{"role": "user", "content": prompt}]);
    } else {
        body["prompt"] = json!(prompt);
    }
    body
}

/// Returns the outcome of a service call. The stand-in reports in `run` how often the call ran.
fn check_service_answer(
    kind: &Kind,
    arrival: &Arrival,
    result: &Value,
    answer: &mut Answer,
) -> RequestOutcome {
    let expected = json!({"number": arrival.number}).to_string();
    if result["body"].as_str().is_some_and(|body| body != expected) {
        answer.fault = Some("the answer echoes the body of another call".to_owned());
        return RequestOutcome::Wrong;
    }
    if !kind.repeatable && result["run"].as_u64() != Some(1) {
        answer.fault = Some(format!("the call ran {} times, expected 1", result["run"]));
        return RequestOutcome::Wrong;
    }
    RequestOutcome::Complete
}

/// Returns the outcome that an error response reports, or else one derived from its status.
async fn ending_of_error_response(response: Response) -> RequestOutcome {
    let status = response.status().as_u16();
    let body: Value = response.json().await.unwrap_or_default();
    ending_of_error(&body).unwrap_or(match status {
        // Engines and services that are called directly report no outcome.
        429 | 503 => RequestOutcome::NotRun,
        _ => RequestOutcome::Failed,
    })
}

fn ending_of_error(body: &Value) -> Option<RequestOutcome> {
    let error = &body["error"];
    match error["outcome"].as_str()? {
        "not_run" if error["code"] == "deadline_exceeded" => Some(RequestOutcome::Expired),
        "not_run" => Some(RequestOutcome::NotRun),
        "interrupted" => Some(RequestOutcome::Interrupted),
        "unknown" => Some(RequestOutcome::Unknown),
        _ => None,
    }
}
