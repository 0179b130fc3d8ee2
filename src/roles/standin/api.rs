//! Request and response JSON of the engine's completion API.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::Deserialize;
use serde_json::{Value, json};

use super::shared::Stream;
use super::tokens::{chat_prompt, hash, mix};

/// Output limit of requests without `max_tokens`.
const DEFAULT_MAX_TOKENS: u32 = 65_536;
/// Median of the log-normal distribution of output lengths, for requests without `target_tokens`.
const MEDIAN_OUTPUT_TOKENS: f64 = 200.0;
/// Standard deviation of the logarithm of the output length.
const OUTPUT_SIGMA: f64 = 1.5;
/// Upper bound of drawn output lengths.
const MAX_OUTPUT_TOKENS: f64 = 40_000.0;

#[derive(Debug, Clone, Deserialize)]
pub(super) struct ChatMessage {
    pub(super) role: String,
    pub(super) content: String,
}

/// Body of a completion or chat completion request. Other fields of the API are ignored.
#[derive(Debug, Clone, Deserialize)]
pub(super) struct CompletionBody {
    pub(super) model: String,
    pub(super) prompt: Option<String>,
    pub(super) messages: Option<Vec<ChatMessage>>,
    pub(super) max_tokens: Option<u32>,
    #[serde(default)]
    pub(super) priority: u8,
    #[serde(default)]
    pub(super) stream: bool,
    pub(super) stream_id: Option<String>,
    pub(super) target_tokens: Option<u32>,
}

impl CompletionBody {
    /// Returns the prompt, or the chat messages as one prompt; `None` if the body has neither.
    pub(super) fn prompt_text(&self) -> Option<String> {
        match (&self.prompt, &self.messages) {
            (Some(prompt), _) => Some(prompt.clone()),
            (None, Some(messages)) => {
                Some(chat_prompt(messages.iter().map(|message| {
                    (message.role.as_str(), message.content.as_str())
                })))
            }
            (None, None) => None,
        }
    }

    pub(super) fn max_tokens(&self) -> u32 {
        self.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS).max(1)
    }

    /// Returns the length of the complete output: the requested one, or one that depends only on
    /// the seed and the prompt.
    pub(super) fn target_tokens(&self, seed: u64, prompt: &str) -> u32 {
        self.target_tokens.unwrap_or_else(|| {
            let mut rng = StdRng::seed_from_u64(mix(seed, hash(prompt)));
            draw_length(
                &mut rng,
                MEDIAN_OUTPUT_TOKENS,
                OUTPUT_SIGMA,
                MAX_OUTPUT_TOKENS,
            )
        })
    }
}

/// Draws a length from a log-normal distribution, which has a heavy tail. The result is between 2
/// and `longest`.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
pub(crate) fn draw_length(rng: &mut StdRng, median: f64, sigma: f64, longest: f64) -> u32 {
    let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
    let angle: f64 = rng.random_range(0.0..std::f64::consts::TAU);
    let normal = (-2.0 * uniform.ln()).sqrt() * angle.cos();
    (median * (sigma * normal).exp()).clamp(2.0, longest) as u32
}

impl Stream {
    /// Returns the server-sent event of one token.
    pub(super) fn token_event(&self, offset: u32) -> String {
        let mut chunk = self.chunk(&self.source.token(offset), &Value::Null);
        chunk["offset"] = json!(offset);
        format!("data: {chunk}\n\n")
    }

    /// Returns the final events of a complete output: a chunk with finish reason and usage, and
    /// `[DONE]`.
    pub(super) fn end_events(&self, produced: u32, finish_reason: &str) -> String {
        let mut chunk = self.chunk("", &json!(finish_reason));
        chunk["usage"] = self.usage(produced);
        format!("data: {chunk}\n\ndata: [DONE]\n\n")
    }

    /// Returns the response to a request without streaming.
    pub(super) fn completion(&self, produced: u32, finish_reason: &str) -> Value {
        let text: String = (0..produced)
            .map(|offset| self.source.token(offset))
            .collect();
        let choice = if self.chat {
            json!({"index": 0, "message": {"role": "assistant", "content": text},
                   "finish_reason": finish_reason})
        } else {
            json!({"index": 0, "text": text, "finish_reason": finish_reason})
        };
        let object = if self.chat {
            "chat.completion"
        } else {
            "text_completion"
        };
        json!({"id": self.name, "object": object, "model": self.model, "version": self.version,
               "choices": [choice], "usage": self.usage(produced)})
    }

    fn chunk(&self, text: &str, finish_reason: &Value) -> Value {
        let (object, choice) = if self.chat {
            let choice = json!({"index": 0, "delta": {"content": text},
                                "finish_reason": finish_reason});
            ("chat.completion.chunk", choice)
        } else {
            let choice = json!({"index": 0, "text": text, "finish_reason": finish_reason});
            ("text_completion", choice)
        };
        json!({"id": self.name, "object": object, "model": self.model, "version": self.version,
               "choices": [choice]})
    }

    fn usage(&self, produced: u32) -> Value {
        json!({"prompt_tokens": self.prompt_tokens, "completion_tokens": produced,
               "total_tokens": self.prompt_tokens + produced})
    }
}
