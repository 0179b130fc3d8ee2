//! The client of a model engine: the de-facto standard API and the engine's extensions.

use std::collections::VecDeque;
use std::time::Duration;

use reqwest::{Client, Method, RequestBuilder, Response};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::time::timeout;

use super::{SseParser, UpstreamError};
use crate::model::{Fence, ModelName};
use crate::rpc::sidecar::Api;

/// Time to open a connection to an engine.
const CONNECT_LIMIT: Duration = Duration::from_secs(1);
/// Time for a call that does not run a model.
const CONTROL_LIMIT: Duration = Duration::from_secs(2);
/// Upper bound on an answer that is held as a whole: loads, lists of models, failures.
const MAX_ANSWER_BYTES: usize = 256 * 1024;
/// Longest text of an upstream's error that is passed on.
const MAX_MESSAGE_CHARS: usize = 500;

/// A generation as the engine is asked for it.
#[derive(Debug, Clone)]
pub struct EngineRequest {
    /// The name under which the engine keeps the generation.
    pub stream: String,
    pub api: Api,
    pub model: ModelName,
    pub version: String,
    /// The caller's JSON object.
    pub body: String,
    pub max_tokens: u32,
    pub priority: u8,
}

/// What an engine streams.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StreamEvent {
    Token(String),
    /// The answer is complete; the reason is `stop` or `length`.
    Finish(String),
}

/// The load that an engine reports of itself.
#[derive(Debug, Clone, Default, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct EngineLoad {
    pub running: u32,
    pub queued: u32,
    pub used_tokens: u64,
    pub capacity_tokens: u64,
    /// Generations that the engine has stopped for memory since its start.
    pub preemptions: u64,
}

/// An order to an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Order {
    pub fence: Fence,
    pub action: String,
    pub model: String,
    pub version: String,
}

/// The answer to an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderAnswer {
    Done,
    /// The engine has obeyed a higher fencing number.
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
    #[serde(default = "yes")]
    ready: bool,
}

fn yes() -> bool {
    true
}

/// A client of one engine.
#[derive(Debug, Clone)]
pub struct EngineClient {
    http: Client,
    base: String,
}

impl EngineClient {
    /// Returns a client of the engine at a base URL.
    pub fn new(base: &str) -> Self {
        let http = Client::builder()
            .connect_timeout(CONNECT_LIMIT)
            .tcp_nodelay(true)
            .no_proxy()
            .build()
            .unwrap_or_default();
        Self {
            http,
            base: base.trim_end_matches('/').to_owned(),
        }
    }

    /// Starts a generation; returns its tokens once the engine has accepted it.
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
        open(self.request(Method::POST, path).json(&body), limit).await
    }

    /// Returns the tokens of a generation from an offset on; fails with `Missing` if the engine
    /// does not have it.
    pub async fn resume(
        &self,
        stream: &str,
        from_offset: u32,
        limit: Duration,
    ) -> Result<TokenStream, UpstreamError> {
        let path = format!("/v1/streams/{stream}?from={from_offset}");
        match open(self.request(Method::GET, &path), limit).await {
            Err(UpstreamError::Refused {
                status: 404 | 410, ..
            }) => Err(UpstreamError::Missing),
            other => other,
        }
    }

    /// Stops a generation. Returns false if the engine does not have it.
    pub async fn cancel(&self, stream: &str) -> Result<bool, UpstreamError> {
        let path = format!("/v1/streams/{stream}");
        let request = self.request(Method::DELETE, &path).timeout(CONTROL_LIMIT);
        match checked(request.send().await?).await {
            Ok(_) => Ok(true),
            Err(UpstreamError::Refused {
                status: 404 | 410, ..
            }) => Ok(false),
            Err(error) => Err(error),
        }
    }

    /// Returns the load that the engine reports.
    pub async fn load(&self) -> Result<EngineLoad, UpstreamError> {
        let request = self.request(Method::GET, "/load").timeout(CONTROL_LIMIT);
        read_json(checked(request.send().await?).await?).await
    }

    /// Returns the versions of a model that are loaded and ready.
    pub async fn versions(&self, model: &ModelName) -> Result<Vec<String>, UpstreamError> {
        let request = self
            .request(Method::GET, "/v1/models")
            .timeout(CONTROL_LIMIT);
        let list: ModelList = read_json(checked(request.send().await?).await?).await?;
        let ready = |item: &ModelItem| item.ready && item.id == model.as_str();
        let items = list.data.into_iter().filter(ready);
        Ok(items.map(|item| item.version).collect())
    }

    /// Gives an order. After an error the engine may or may not have obeyed: read back.
    pub async fn order(
        &self,
        order: &Order,
        limit: Duration,
    ) -> Result<OrderAnswer, UpstreamError> {
        let request = self.request(Method::POST, "/orders").timeout(limit);
        match checked(request.json(order).send().await?).await {
            Ok(_) => Ok(OrderAnswer::Done),
            Err(UpstreamError::Refused {
                status: 409 | 412, ..
            }) => Ok(OrderAnswer::Fenced),
            Err(UpstreamError::Refused { message, .. }) => Ok(OrderAnswer::Refused(message)),
            Err(error) => Err(error),
        }
    }

    fn request(&self, method: Method, path: &str) -> RequestBuilder {
        self.http.request(method, format!("{}{path}", self.base))
    }
}

/// Returns the caller's body with the fields that the sidecar decides.
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
    // An engine may have loaded a version that is not in force yet, so the version is named.
    let model = format!("{}@{}", request.model, request.version);
    fields.insert("model".to_owned(), json!(model));
    fields.insert("stream".to_owned(), json!(true));
    fields.insert("max_tokens".to_owned(), json!(request.max_tokens));
    fields.insert("priority".to_owned(), json!(request.priority));
    fields.insert("stream_id".to_owned(), json!(request.stream));
    Ok(body)
}

async fn open(request: RequestBuilder, limit: Duration) -> Result<TokenStream, UpstreamError> {
    let opening = async { checked(request.send().await?).await };
    match timeout(limit, opening).await {
        Ok(response) => Ok(TokenStream {
            response: response?,
            parser: SseParser::default(),
            events: VecDeque::new(),
        }),
        Err(_) => Err(silent(limit)),
    }
}

fn silent(limit: Duration) -> UpstreamError {
    UpstreamError::Silent {
        limit_ms: u64::try_from(limit.as_millis()).unwrap_or(u64::MAX),
    }
}

/// Returns a successful response. Of the others, those that say that the request was not taken
/// up are refusals; any other failure leaves open whether it ran.
pub(super) async fn checked(response: Response) -> Result<Response, UpstreamError> {
    let status = response.status();
    if status.is_success() {
        return Ok(response);
    }
    // The status decides; a message that breaks off or has no end is shown as far as it was read.
    let (text, _) = read_start(response).await;
    let text = String::from_utf8_lossy(&text);
    let message: String = text.chars().take(MAX_MESSAGE_CHARS).collect();
    match status.as_u16() {
        code @ (400..=499 | 503) if code != 408 => Err(UpstreamError::Refused {
            status: code,
            message,
        }),
        code => Err(UpstreamError::Broken(format!("status {code}: {message}"))),
    }
}

async fn read_json<T: DeserializeOwned>(response: Response) -> Result<T, UpstreamError> {
    let (body, end) = read_start(response).await;
    end?;
    serde_json::from_slice(&body).map_err(|error| UpstreamError::Broken(error.to_string()))
}

/// Reads a body up to `MAX_ANSWER_BYTES`. Returns what was read, and the failure if that is not all.
async fn read_start(mut response: Response) -> (Vec<u8>, Result<(), UpstreamError>) {
    let mut body = Vec::new();
    loop {
        match response.chunk().await {
            Ok(Some(bytes)) if body.len() + bytes.len() > MAX_ANSWER_BYTES => {
                let cause = format!("the answer is longer than {MAX_ANSWER_BYTES} bytes");
                return (body, Err(UpstreamError::Broken(cause)));
            }
            Ok(Some(bytes)) => body.extend_from_slice(&bytes),
            Ok(None) => return (body, Ok(())),
            Err(error) => return (body, Err(error.into())),
        }
    }
}

/// The tokens of a generation as they arrive.
#[derive(Debug)]
pub struct TokenStream {
    response: Response,
    parser: SseParser,
    events: VecDeque<StreamEvent>,
}

impl TokenStream {
    /// Returns the next event; fails if nothing arrives within `limit`, or if the stream ends
    /// before the answer is complete.
    pub async fn next(&mut self, limit: Duration) -> Result<StreamEvent, UpstreamError> {
        loop {
            if let Some(event) = self.events.pop_front() {
                return Ok(event);
            }
            let Ok(bytes) = timeout(limit, self.response.chunk()).await else {
                return Err(silent(limit));
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
                self.take(&data)?;
            }
        }
    }

    /// Returns the next event if it has already arrived.
    pub fn ready(&mut self) -> Option<StreamEvent> {
        self.events.pop_front()
    }

    fn take(&mut self, data: &str) -> Result<(), UpstreamError> {
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
