//! HTTP client for a model engine: the OpenAI-style completions API plus the engine's own endpoints
//! for streams, load and model versions.

use std::collections::VecDeque;
use std::time::Duration;

use reqwest::{Client, Method, RequestBuilder, Response};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::time::timeout;

use super::connections::Connections;
use super::{SseParser, UpstreamError};
use crate::model::{Fence, ModelName};
use crate::rpc::sidecar::Api;

/// Timeout for opening a connection to an engine.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout for a call that does not run a model.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);
/// Upper bound on a response that is buffered whole: load reports, model lists and error bodies.
const MAX_BUFFERED_BYTES: usize = 256 * 1024;
/// Upper bound on the part of an upstream's error body that is passed on.
const MAX_ERROR_CHARS: usize = 500;

/// A generation request to an engine.
#[derive(Debug, Clone)]
pub struct EngineRequest {
    /// The id under which the engine keeps the generation, for resuming and cancelling it.
    pub stream: String,
    pub api: Api,
    pub model: ModelName,
    pub version: String,
    /// The caller's request body, a JSON object.
    pub body: String,
    pub max_tokens: u32,
    pub priority: u8,
}

/// One event of a generation's stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StreamEvent {
    Token(String),
    /// The output is complete; holds the finish reason, `stop` or `length`.
    Finish(String),
}

/// The load that an engine reports at `/load`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct EngineLoad {
    pub running: u32,
    pub queued: u32,
    pub used_tokens: u64,
    pub capacity_tokens: u64,
    /// Generations that the engine has stopped since its start because memory ran out.
    pub preemptions: u64,
}

/// A command to an engine that carries a fencing number.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Order {
    pub fence: Fence,
    pub action: String,
    pub model: String,
    pub version: String,
}

/// An engine's response to an [`Order`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderAnswer {
    Done,
    /// Rejected: the engine has already accepted an order with a higher fencing number.
    Fenced,
    Refused(String),
}

#[derive(Deserialize)]
struct ModelList {
    data: Vec<ModelItem>,
}

#[derive(Deserialize)]
struct ModelItem {
    id: String,
    #[serde(default)]
    version: String,
    /// False while the version is being loaded.
    #[serde(default = "default_ready")]
    ready: bool,
}

fn default_ready() -> bool {
    true
}

/// An HTTP client for one engine.
#[derive(Debug)]
pub struct EngineClient {
    connections: Connections,
    base: String,
}

impl EngineClient {
    /// Returns a client for the engine at a base URL.
    pub fn new(base: &str) -> Self {
        Self {
            connections: Connections::new(build),
            base: base.trim_end_matches('/').to_owned(),
        }
    }

    /// Starts a generation; returns its token stream once the engine has accepted it.
    pub async fn start(
        &self,
        request: &EngineRequest,
        limit: Duration,
    ) -> Result<TokenStream, UpstreamError> {
        let path = match request.api {
            Api::Completions => "/v1/completions",
            Api::ChatCompletions => "/v1/chat/completions",
        };
        let body = engine_body(request)?;
        let request = self.request(Method::POST, path).json(&body);
        self.open(request, limit).await
    }

    /// Returns the token stream of a generation from a token offset; fails with `Missing` if the
    /// engine does not know the generation.
    pub async fn resume(
        &self,
        stream: &str,
        from_offset: u32,
        limit: Duration,
    ) -> Result<TokenStream, UpstreamError> {
        let path = format!("/v1/streams/{stream}?from={from_offset}");
        match self.open(self.request(Method::GET, &path), limit).await {
            Err(UpstreamError::Refused {
                status: 404 | 410, ..
            }) => Err(UpstreamError::Missing),
            other => other,
        }
    }

    /// Cancels a generation. Returns false if the engine does not know it.
    pub async fn cancel(&self, stream: &str) -> Result<bool, UpstreamError> {
        let path = format!("/v1/streams/{stream}");
        let request = self.request(Method::DELETE, &path).timeout(CONTROL_TIMEOUT);
        match self.answer(request).await {
            Ok(_) => Ok(true),
            Err(UpstreamError::Refused {
                status: 404 | 410, ..
            }) => Ok(false),
            Err(error) => Err(error),
        }
    }

    /// Reads the engine's current load.
    pub async fn load(&self) -> Result<EngineLoad, UpstreamError> {
        let request = self.request(Method::GET, "/load").timeout(CONTROL_TIMEOUT);
        read_json(self.answer(request).await?).await
    }

    /// Returns the versions of a model that are loaded and ready.
    pub async fn versions(&self, model: &ModelName) -> Result<Vec<String>, UpstreamError> {
        let request = self
            .request(Method::GET, "/v1/models")
            .timeout(CONTROL_TIMEOUT);
        let list: ModelList = read_json(self.answer(request).await?).await?;
        let ready = |item: &ModelItem| item.ready && item.id == model.as_str();
        let items = list.data.into_iter().filter(ready);
        Ok(items.map(|item| item.version).collect())
    }

    /// Sends an order. After an error the engine may or may not have carried it out, so the caller
    /// has to read the engine's state back.
    pub async fn order(
        &self,
        order: &Order,
        limit: Duration,
    ) -> Result<OrderAnswer, UpstreamError> {
        let request = self.request(Method::POST, "/orders").timeout(limit);
        match self.answer(request.json(order)).await {
            Ok(_) => Ok(OrderAnswer::Done),
            Err(UpstreamError::Refused {
                status: 409 | 412, ..
            }) => Ok(OrderAnswer::Fenced),
            Err(UpstreamError::Refused { message, .. }) => Ok(OrderAnswer::Refused(message)),
            Err(error) => Err(error),
        }
    }

    fn request(&self, method: Method, path: &str) -> RequestBuilder {
        let http = self.connections.client();
        http.request(method, format!("{}{path}", self.base))
    }

    /// Sends a request and returns its response if the status is a success.
    async fn answer(&self, request: RequestBuilder) -> Result<Response, UpstreamError> {
        let response = request.send().await?;
        self.connections.check_final(&response)?;
        check_status(response).await
    }

    async fn open(
        &self,
        request: RequestBuilder,
        limit: Duration,
    ) -> Result<TokenStream, UpstreamError> {
        match timeout(limit, self.answer(request)).await {
            Ok(response) => Ok(TokenStream {
                response: response?,
                parser: SseParser::default(),
                events: VecDeque::new(),
            }),
            Err(_) => Err(timeout_error(limit)),
        }
    }
}

fn build() -> Client {
    let builder = Client::builder()
        .connect_timeout(CONNECT_TIMEOUT)
        .tcp_nodelay(true)
        .no_proxy();
    builder.build().unwrap_or_default()
}

/// Returns the caller's body with the fields that the sidecar sets: model, limits and stream id.
fn engine_body(request: &EngineRequest) -> Result<Value, UpstreamError> {
    let invalid = |message: String| UpstreamError::Refused {
        status: 400,
        message,
    };
    let mut body: Value =
        serde_json::from_str(&request.body).map_err(|error| invalid(error.to_string()))?;
    let Some(fields) = body.as_object_mut() else {
        return Err(invalid("the body is not a JSON object".to_owned()));
    };
    // The engine may already have loaded a version that the table has not made current, so the
    // request names the version explicitly.
    let model = format!("{}@{}", request.model, request.version);
    fields.insert("model".to_owned(), json!(model));
    fields.insert("stream".to_owned(), json!(true));
    fields.insert("max_tokens".to_owned(), json!(request.max_tokens));
    fields.insert("priority".to_owned(), json!(request.priority));
    fields.insert("stream_id".to_owned(), json!(request.stream));
    Ok(body)
}

fn timeout_error(limit: Duration) -> UpstreamError {
    UpstreamError::Silent {
        limit_ms: u64::try_from(limit.as_millis()).unwrap_or(u64::MAX),
    }
}

/// Returns the response if its status is a success. Statuses that prove that the request was not
/// run become `Refused`; after any other failure the request may have run.
async fn check_status(response: Response) -> Result<Response, UpstreamError> {
    let status = response.status();
    if status.is_success() {
        return Ok(response);
    }
    // Only the status matters here: an error body that breaks off or is too long is passed on as
    // far as it was read.
    let (text, _) = read_bounded(response).await;
    let text = String::from_utf8_lossy(&text);
    let message: String = text.chars().take(MAX_ERROR_CHARS).collect();
    match status.as_u16() {
        code @ (400..=499 | 503) if code != 408 => Err(UpstreamError::Refused {
            status: code,
            message,
        }),
        code => Err(UpstreamError::Broken(format!("status {code}: {message}"))),
    }
}

async fn read_json<T: DeserializeOwned>(response: Response) -> Result<T, UpstreamError> {
    let (body, end) = read_bounded(response).await;
    end?;
    serde_json::from_slice(&body).map_err(|error| UpstreamError::Broken(error.to_string()))
}

/// Reads a body up to `MAX_BUFFERED_BYTES`. Returns the bytes read, and an error if the body is
/// longer or breaks off.
async fn read_bounded(mut response: Response) -> (Vec<u8>, Result<(), UpstreamError>) {
    let mut body = Vec::new();
    loop {
        match response.chunk().await {
            Ok(Some(bytes)) if body.len() + bytes.len() > MAX_BUFFERED_BYTES => {
                let cause = format!("the answer is longer than {MAX_BUFFERED_BYTES} bytes");
                return (body, Err(UpstreamError::Broken(cause)));
            }
            Ok(Some(bytes)) => body.extend_from_slice(&bytes),
            Ok(None) => return (body, Ok(())),
            Err(error) => return (body, Err(error.into())),
        }
    }
}

/// The token stream of a generation.
#[derive(Debug)]
pub struct TokenStream {
    response: Response,
    parser: SseParser,
    events: VecDeque<StreamEvent>,
}

impl TokenStream {
    /// Returns the next event; fails if nothing arrives within `limit`, or if the stream ends
    /// without a `Finish` event.
    pub async fn next(&mut self, limit: Duration) -> Result<StreamEvent, UpstreamError> {
        loop {
            if let Some(event) = self.events.pop_front() {
                return Ok(event);
            }
            let Ok(bytes) = timeout(limit, self.response.chunk()).await else {
                return Err(timeout_error(limit));
            };
            match bytes? {
                Some(bytes) => self.parser.push(&bytes).map_err(UpstreamError::Broken)?,
                None => {
                    return Err(UpstreamError::Broken(
                        "the stream ended before the answer was complete".to_owned(),
                    ));
                }
            }
            while let Some(data) = self.parser.next_event() {
                self.parse_chunk(&data)?;
            }
        }
    }

    /// Returns the next event if one is already buffered; never waits.
    pub fn ready(&mut self) -> Option<StreamEvent> {
        self.events.pop_front()
    }

    fn parse_chunk(&mut self, data: &str) -> Result<(), UpstreamError> {
        if data == "[DONE]" {
            return Ok(());
        }
        let chunk: Value = serde_json::from_str(data)
            .map_err(|error| UpstreamError::Broken(format!("malformed chunk: {error}")))?;
        if let Some(error) = chunk.get("error") {
            return Err(UpstreamError::Broken(error.to_string()));
        }
        let choice = &chunk["choices"][0];
        let text = choice["text"].as_str();
        let text = text.or_else(|| choice["delta"]["content"].as_str());
        if let Some(text) = text.filter(|text| !text.is_empty()) {
            self.events.push_back(StreamEvent::Token(text.to_owned()));
        }
        if let Some(reason) = choice["finish_reason"].as_str() {
            let finish = StreamEvent::Finish(reason.to_owned());
            self.events.push_back(finish);
        }
        Ok(())
    }
}
