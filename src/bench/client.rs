//! Sends one recorded request over HTTP and follows its answer.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use futures::StreamExt;
use reqwest::{RequestBuilder, Response};
use serde_json::{Value, json};

use super::checker::check_answer;
use super::kinds::{Kind, Target};
use super::recorder::{Ending, Recorder, Trace, measured_window};
use super::sse::{SseEvent, SseParser};
use super::workload::{Arrival, Workload};
use crate::adapters::clock::unix_ms;

/// How long an answer is waited for beyond its deadline.
const GRACE: Duration = Duration::from_secs(5);
/// How often a broken stream is asked for again.
const RESUMES: u32 = 5;
/// Timers of the runtime fire up to about 1 ms late, and a little more on a busy machine.
const TIMER_LAG_US: u64 = 2_000;
const RESUME_PAUSE: Duration = Duration::from_millis(200);

/// Where requests go.
#[derive(Debug, Clone, Default)]
pub struct Targets {
    /// Entries, or engines to be asked directly.
    pub urls: Vec<String>,
    /// Services to be asked directly; empty to reach services through `urls`.
    pub service_urls: Vec<String>,
    /// Engines whose metrics are read.
    pub engine_urls: Vec<String>,
    /// Model versions that may answer.
    pub versions: Vec<String>,
}

/// What all requests of a run share.
pub(super) struct Driver {
    pub(super) http: reqwest::Client,
    pub(super) targets: Targets,
    pub(super) workload: Arc<Workload>,
    pub(super) recorder: Mutex<Recorder>,
    pub(super) start: Instant,
    pub(super) turn: AtomicUsize,
}

/// The state of one answer.
#[derive(Default)]
struct Answer {
    trace: Trace,
    text: String,
    last_id: Option<String>,
    ending: Option<Ending>,
    fault: Option<String>,
}

impl Driver {
    /// Sends a request and records how it ended.
    pub(super) async fn request(&self, number: usize) {
        let arrival = &self.workload.arrivals[number];
        let kind = &self.workload.kinds[arrival.kind];
        let mut answer = Answer::default();
        answer.trace.start_us = start_us(arrival.at_us, self.now_us());
        let limit = Duration::from_millis(kind.deadline_ms) + GRACE;
        let exchange = async {
            match &kind.target {
                Target::Model { model, .. } => {
                    self.generate(arrival, kind, model, &mut answer).await;
                }
                Target::Service { service, path } => {
                    self.call(arrival, kind, service, path, &mut answer).await;
                }
            }
        };
        // An answer that does not come in time is judged by what has come.
        let _ = tokio::time::timeout(limit, exchange).await;
        let end_us = self.now_us();
        answer.trace.close(end_us);
        let late = end_us.saturating_sub(answer.trace.start_us) > kind.deadline_ms * 1_000;
        let ending = match answer.ending {
            Some(Ending::Complete) if late => Ending::Late,
            Some(ending) => ending,
            None if answer.trace.tokens > 0 => Ending::Interrupted,
            None => Ending::Unknown,
        };
        let mut recorder = self.lock();
        if let Some(fault) = answer.fault {
            recorder.fault(format!("request {number} ({}): {fault}", kind.name));
        }
        recorder.finish(&self.workload, number, &answer.trace, ending, end_us);
    }

    async fn generate(&self, arrival: &Arrival, kind: &Kind, model: &str, answer: &mut Answer) {
        let body = body(&self.workload, arrival, kind, model);
        for attempt in 0..=RESUMES {
            if attempt > 0 {
                tokio::time::sleep(RESUME_PAUSE).await;
            }
            let path = if kind.chat {
                "/v1/chat/completions"
            } else {
                "/v1/completions"
            };
            let url = format!("{}{path}", self.next(&self.targets.urls));
            let mut request = self.headers(self.http.post(url), arrival, kind).json(&body);
            if let Some(id) = &answer.last_id {
                request = request.header("Last-Event-ID", id);
            }
            let connected = match request.send().await {
                Ok(response) if response.status().is_success() => {
                    self.read(response, answer).await;
                    true
                }
                Ok(response) => {
                    answer.ending = Some(refusal(response).await);
                    true
                }
                Err(error) => !error.is_connect(),
            };
            // Without an event id the stream can't be resumed, and asking anew could run it twice.
            if answer.ending.is_some() || (connected && answer.last_id.is_none()) {
                break;
            }
            if !connected && attempt == RESUMES && answer.trace.tokens == 0 {
                answer.ending = Some(Ending::Failed);
            }
        }
        self.judge(arrival, answer);
    }

    /// Reads a stream until it ends or breaks.
    async fn read(&self, response: Response, answer: &mut Answer) {
        let window_us = measured_window(&self.workload);
        let mut parser = SseParser::default();
        let mut stream = response.bytes_stream();
        while let Some(Ok(bytes)) = stream.next().await {
            for event in parser.push(&bytes) {
                self.apply(event, &window_us, answer);
            }
            if answer.ending.is_some() {
                return;
            }
        }
    }

    fn apply(&self, event: SseEvent, window_us: &std::ops::Range<u64>, answer: &mut Answer) {
        if event.data == "[DONE]" {
            answer.ending = Some(Ending::Complete);
            return;
        }
        let chunk: Value = serde_json::from_str(&event.data).unwrap_or_default();
        if event.event == "error" || !chunk["error"].is_null() {
            answer.ending = Some(outcome(&chunk).unwrap_or(Ending::Failed));
            return;
        }
        if event.id.is_some() {
            answer.last_id = event.id;
        }
        let choice = &chunk["choices"][0];
        let text = choice["text"].as_str();
        let text = text.or(choice["delta"]["content"].as_str()).unwrap_or("");
        answer.text.push_str(text);
        let now_us = self.now_us();
        for _ in text.matches(' ') {
            if let Some(gap_us) = answer.trace.token(now_us, window_us) {
                self.lock().between_tokens(gap_us);
            }
        }
    }

    /// Checks the text of an answer, whole or not.
    fn judge(&self, arrival: &Arrival, answer: &mut Answer) {
        let complete = answer.ending == Some(Ending::Complete);
        if !complete && answer.text.is_empty() {
            return;
        }
        let versions: Vec<&str> = self.targets.versions.iter().map(String::as_str).collect();
        let prompt = self.workload.engine_prompt(arrival);
        let expected = complete.then(|| arrival.output_tokens());
        if let Err(fault) = check_answer(&versions, &prompt, &answer.text, expected) {
            answer.fault = Some(fault.to_string());
            answer.ending = Some(Ending::Wrong);
        }
    }

    async fn call(
        &self,
        arrival: &Arrival,
        kind: &Kind,
        service: &str,
        path: &str,
        answer: &mut Answer,
    ) {
        let url = if self.targets.service_urls.is_empty() {
            format!("{}/svc/{service}{path}", self.next(&self.targets.urls))
        } else {
            format!("{}{path}", self.next(&self.targets.service_urls))
        };
        let body = json!({"number": arrival.number});
        let request = self.headers(self.http.post(url), arrival, kind).json(&body);
        let ending = match request.send().await {
            Ok(response) if response.status().is_success() => match response.json().await {
                Ok(result) => check_call(kind, arrival, &result, answer),
                Err(_) => Ending::Unknown,
            },
            Ok(response) => refusal(response).await,
            Err(error) if error.is_connect() => Ending::Failed,
            Err(_) => Ending::Unknown,
        };
        answer.ending = Some(ending);
    }

    fn headers(&self, request: RequestBuilder, arrival: &Arrival, kind: &Kind) -> RequestBuilder {
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

    /// Returns the next of some base URLs; they take turns.
    fn next<'a>(&self, urls: &'a [String]) -> &'a str {
        let turn = self.turn.fetch_add(1, Ordering::Relaxed);
        let url = &urls[turn % urls.len()];
        url.trim_end_matches('/')
    }

    pub(super) fn now_us(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_micros()).unwrap_or(u64::MAX)
    }

    pub(super) fn lock(&self) -> std::sync::MutexGuard<'_, Recorder> {
        self.recorder.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns when a request is taken to start: when it was sent, if that was late only by the
/// granularity of timers; else when it was due, so that a busy load tool does not hide waiting.
fn start_us(due_us: u64, sent_us: u64) -> u64 {
    if sent_us.saturating_sub(due_us) <= TIMER_LAG_US {
        sent_us
    } else {
        due_us
    }
}

fn body(workload: &Workload, arrival: &Arrival, kind: &Kind, model: &str) -> Value {
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

/// Returns how a service call ended; the stand-in says how often the call ran.
fn check_call(kind: &Kind, arrival: &Arrival, result: &Value, answer: &mut Answer) -> Ending {
    let expected = json!({"number": arrival.number}).to_string();
    if result["body"].as_str().is_some_and(|body| body != expected) {
        answer.fault = Some("the answer belongs to another call".to_owned());
        return Ending::Wrong;
    }
    if !kind.repeatable && result["run"].as_u64() != Some(1) {
        answer.fault = Some(format!("the call ran {} times", result["run"]));
        return Ending::Wrong;
    }
    Ending::Complete
}

/// Returns the outcome in an answer that is not a result.
async fn refusal(response: Response) -> Ending {
    let status = response.status().as_u16();
    let body: Value = response.json().await.unwrap_or_default();
    outcome(&body).unwrap_or(match status {
        // Engines and services that are asked directly name no outcome.
        429 | 503 => Ending::NotRun,
        _ => Ending::Failed,
    })
}

fn outcome(body: &Value) -> Option<Ending> {
    let error = &body["error"];
    match error["outcome"].as_str()? {
        "not_run" if error["code"] == "deadline_exceeded" => Some(Ending::Expired),
        "not_run" => Some(Ending::NotRun),
        "interrupted" => Some(Ending::Interrupted),
        "unknown" => Some(Ending::Unknown),
        _ => None,
    }
}
