//! Answers in the format of the completions APIs: server-sent events and complete JSON objects.

use std::fmt;
use std::str::FromStr;

use serde_json::{Value, json};

use super::failure::Failure;
use crate::model::{GenerationId, Incarnation, InstanceName, InstanceRef, ModelName};
use crate::rpc::sidecar::Api;

/// A server-sent comment, sent while a stream is silent so that a closed connection is noticed.
pub(super) const COMMENT: &[u8] = b": waiting\n\n";

/// The position of a caller in a stream, sent as the id of each event and received back in
/// `Last-Event-ID`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct EventId {
    pub sidecar: InstanceRef,
    /// The entry that sent the event and holds the slot of the generation.
    pub entry: InstanceRef,
    pub generation: GenerationId,
    /// The number of tokens that the caller has received, including this event.
    pub offset: u32,
}

impl fmt::Display for EventId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}.{}.{}.{}.{}.{}",
            self.sidecar.name,
            self.sidecar.incarnation,
            self.entry.name,
            self.entry.incarnation,
            self.generation,
            self.offset
        )
    }
}

impl FromStr for EventId {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        // Instance names contain no dots; the settings reject such names.
        let parts: Vec<&str> = text.split('.').collect();
        let [sidecar, sidecar_run, entry, entry_run, generation, offset] = parts.as_slice() else {
            return Err(
                "expected <sidecar>.<incarnation>.<entry>.<incarnation>.<generation>.<offset>",
            );
        };
        Ok(Self {
            sidecar: parse_instance(sidecar, sidecar_run)?,
            entry: parse_instance(entry, entry_run)?,
            generation: parse_hex::<GenerationId>(generation, 32)
                .ok_or("the generation is not 32 hexadecimal digits")?,
            offset: offset.parse().map_err(|_| "the offset is not a number")?,
        })
    }
}

fn parse_instance(name: &str, incarnation: &str) -> Result<InstanceRef, &'static str> {
    if name.is_empty() {
        return Err("the name of an instance is empty");
    }
    let incarnation = parse_hex::<Incarnation>(incarnation, 16)
        .ok_or("an incarnation is not 16 hexadecimal digits")?;
    Ok(InstanceRef {
        name: InstanceName::from(name),
        incarnation,
    })
}

fn parse_hex<T: FromStr>(text: &str, digits: usize) -> Option<T> {
    let is_hex = text.len() == digits && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    is_hex.then(|| text.parse().ok()).flatten()
}

/// Formats one answer as JSON.
#[derive(Debug, Clone)]
pub(super) struct ResponseFormat {
    pub api: Api,
    pub model: ModelName,
    /// Seconds since the Unix epoch.
    pub created_s: u64,
}

impl ResponseFormat {
    /// Returns the event of one token.
    pub fn token(&self, id: &EventId, text: &str) -> Vec<u8> {
        let choice = match self.api {
            Api::ChatCompletions if id.offset == 1 => json!({"index": 0,
                "delta": {"role": "assistant", "content": text}, "finish_reason": null}),
            Api::ChatCompletions => {
                json!({"index": 0, "delta": {"content": text}, "finish_reason": null})
            }
            Api::Completions => json!({"index": 0, "text": text, "finish_reason": null}),
        };
        self.event(id, &choice)
    }

    /// Returns the last events of a stream: the finish reason and `[DONE]`.
    pub fn end(&self, id: &EventId, reason: &str) -> Vec<u8> {
        let choice = match self.api {
            Api::ChatCompletions => json!({"index": 0, "delta": {}, "finish_reason": reason}),
            Api::Completions => json!({"index": 0, "text": "", "finish_reason": reason}),
        };
        let mut bytes = self.event(id, &choice);
        bytes.extend_from_slice(b"data: [DONE]\n\n");
        bytes
    }

    /// Returns a complete answer that is not streamed.
    pub fn complete_answer(
        &self,
        id: &EventId,
        text: &str,
        reason: &str,
        prompt_tokens: u32,
    ) -> String {
        let (object, choice) = match self.api {
            Api::ChatCompletions => (
                "chat.completion",
                json!({"index": 0, "message": {"role": "assistant", "content": text},
                    "finish_reason": reason}),
            ),
            Api::Completions => (
                "text_completion",
                json!({"index": 0, "text": text, "finish_reason": reason}),
            ),
        };
        let mut answer = self.envelope(id.generation, object, &choice);
        answer["usage"] = json!({"prompt_tokens": prompt_tokens, "completion_tokens": id.offset,
            "total_tokens": u64::from(prompt_tokens) + u64::from(id.offset)});
        answer.to_string()
    }

    fn event(&self, id: &EventId, choice: &Value) -> Vec<u8> {
        let object = match self.api {
            Api::ChatCompletions => "chat.completion.chunk",
            Api::Completions => "text_completion",
        };
        let data = self.envelope(id.generation, object, choice);
        format!("id: {id}\ndata: {data}\n\n").into_bytes()
    }

    fn envelope(&self, generation: GenerationId, object: &str, choice: &Value) -> Value {
        let prefix = match self.api {
            Api::ChatCompletions => "chatcmpl",
            Api::Completions => "cmpl",
        };
        json!({"id": format!("{prefix}-{generation}"), "object": object,
            "created": self.created_s, "model": self.model.as_str(), "choices": [choice]})
    }
}

/// Returns the event that ends a failed stream.
pub(super) fn error_event(failure: &Failure) -> Vec<u8> {
    format!("event: error\ndata: {}\n\n", failure.json()).into_bytes()
}
