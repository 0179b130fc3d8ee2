//! Request bodies of completions and chat completions.

use serde_json::{Map, Value};

use super::failure::Failure;
use crate::domain::route::prefix_hash;
use crate::rpc::sidecar::Api;

/// Bytes of prompt per token, for estimates made before the engine has counted the tokens.
const BYTES_PER_TOKEN: usize = 4;

/// The parsed body of a request.
#[derive(Debug, Clone)]
pub(super) struct Prompt {
    pub api: Api,
    pub body: Map<String, Value>,
    pub model: Option<String>,
    pub stream: bool,
    pub max_tokens: Option<u32>,
    /// An estimate of the number of prompt tokens.
    pub tokens: u32,
    /// Hash of the beginning of the prompt; `None` if it is too short to be worth caching.
    pub prefix: Option<u64>,
}

impl Prompt {
    /// Parses a body; fails with a message that names the first invalid field.
    pub fn parse(api: Api, bytes: &[u8]) -> Result<Self, Failure> {
        let value: Value = serde_json::from_slice(bytes)
            .map_err(|error| Failure::bad_input("body", format!("is not JSON: {error}")))?;
        let Value::Object(body) = value else {
            return Err(Failure::bad_input("body", "expected a JSON object"));
        };
        let text = match api {
            Api::ChatCompletions => chat_text(&body)?,
            Api::Completions => completion_text(&body)?,
        };
        let max_completion_tokens = tokens_field(&body, "max_completion_tokens")?;
        let max_tokens = tokens_field(&body, "max_tokens")?;
        check_choices(&body)?;
        Ok(Self {
            api,
            model: string_field(&body, "model")?,
            stream: bool_field(&body, "stream")?,
            max_tokens: max_completion_tokens.or(max_tokens),
            tokens: u32::try_from(text.len().div_ceil(BYTES_PER_TOKEN).max(1)).unwrap_or(u32::MAX),
            prefix: prefix_hash(&text),
            body,
        })
    }

    /// Returns the body for the engine, with the model replaced by `model`.
    pub fn engine_body(&self, model: &str) -> String {
        let mut body = self.body.clone();
        body.insert("model".to_owned(), Value::from(model));
        serde_json::to_string(&body).unwrap_or_default()
    }
}

fn body_field(field: &str) -> String {
    format!("body field {field}")
}

fn string_field(body: &Map<String, Value>, field: &str) -> Result<Option<String>, Failure> {
    match body.get(field) {
        None => Ok(None),
        Some(Value::String(text)) if !text.is_empty() => Ok(Some(text.clone())),
        Some(_) => Err(Failure::bad_input(
            &body_field(field),
            "expected a string that is not empty",
        )),
    }
}

fn bool_field(body: &Map<String, Value>, field: &str) -> Result<bool, Failure> {
    match body.get(field) {
        None | Some(Value::Null) => Ok(false),
        Some(Value::Bool(value)) => Ok(*value),
        Some(_) => Err(Failure::bad_input(
            &body_field(field),
            "expected true or false",
        )),
    }
}

fn tokens_field(body: &Map<String, Value>, field: &str) -> Result<Option<u32>, Failure> {
    match body.get(field) {
        None | Some(Value::Null) => Ok(None),
        Some(value) => match value.as_u64().map(u32::try_from) {
            Some(Ok(tokens)) if tokens > 0 => Ok(Some(tokens)),
            _ => Err(Failure::bad_input(
                &body_field(field),
                format!("expected a whole number from 1 to {}", u32::MAX),
            )),
        },
    }
}

/// Rejects requests for more than one choice: a generation has only one token log.
fn check_choices(body: &Map<String, Value>) -> Result<(), Failure> {
    match body.get("n") {
        None | Some(Value::Null) => Ok(()),
        Some(value) if value.as_u64() == Some(1) => Ok(()),
        Some(_) => Err(Failure::bad_input(&body_field("n"), "only 1 is supported")),
    }
}

fn completion_text(body: &Map<String, Value>) -> Result<String, Failure> {
    match body.get("prompt") {
        Some(Value::String(text)) => Ok(text.clone()),
        Some(_) => Err(Failure::bad_input(
            &body_field("prompt"),
            "expected a string",
        )),
        None => Err(Failure::bad_input(&body_field("prompt"), "is missing")),
    }
}

fn chat_text(body: &Map<String, Value>) -> Result<String, Failure> {
    let messages = match body.get("messages") {
        Some(Value::Array(messages)) if !messages.is_empty() => messages,
        Some(_) => {
            return Err(Failure::bad_input(
                &body_field("messages"),
                "expected an array that is not empty",
            ));
        }
        None => return Err(Failure::bad_input(&body_field("messages"), "is missing")),
    };
    let mut text = String::new();
    for (index, message) in messages.iter().enumerate() {
        let location = format!("body field messages[{index}]");
        let Value::Object(message) = message else {
            return Err(Failure::bad_input(&location, "expected an object"));
        };
        let Some(Value::String(role)) = message.get("role") else {
            return Err(Failure::bad_input(
                &format!("{location}.role"),
                "expected a string",
            ));
        };
        text.push_str(role);
        text.push('\n');
        add_content(&mut text, &location, message.get("content"))?;
        text.push('\n');
    }
    Ok(text)
}

fn add_content(text: &mut String, location: &str, content: Option<&Value>) -> Result<(), Failure> {
    match content {
        Some(Value::String(content)) => text.push_str(content),
        Some(Value::Array(parts)) => {
            for part in parts {
                if let Some(Value::String(part)) = part.get("text") {
                    text.push_str(part);
                }
            }
        }
        // Messages that contain only tool calls have no content.
        None | Some(Value::Null) => {}
        Some(_) => {
            return Err(Failure::bad_input(
                &format!("{location}.content"),
                "expected a string or an array of parts",
            ));
        }
    }
    Ok(())
}
