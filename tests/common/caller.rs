//! An HTTP client for entries: requests, and the streams that it reads.

/// Returns a completion request for the workspace `demo`; the stand-in engine answers with `tokens`
/// tokens.
pub fn completion(
    url: &str,
    kind: &str,
    prompt: &str,
    tokens: u32,
    stream: bool,
) -> reqwest::RequestBuilder {
    let body = serde_json::json!({
        "model": "tutor",
        "prompt": prompt,
        "max_tokens": 4096,
        "target_tokens": tokens,
        "stream": stream,
    });
    client()
        .post(format!("{url}/v1/completions"))
        .header("Lilac-Workspace", "demo")
        .header("Lilac-Kind", kind)
        .json(&body)
}

/// Returns an HTTP client that does not reuse connections.
pub fn client() -> reqwest::Client {
    reqwest::Client::builder()
        .pool_max_idle_per_host(0)
        .build()
        .unwrap()
}

/// What a caller has received on a stream.
#[derive(Debug, Default)]
pub struct Streamed {
    pub text: String,
    pub ids: Vec<String>,
    pub done: bool,
    /// The JSON of an `error` event.
    pub error: Option<serde_json::Value>,
    /// True if the connection failed before the stream ended.
    pub broken: bool,
    buffer: String,
}

/// Reads a stream until it ends, fails, or `stop` returns true.
pub async fn read_stream(
    mut response: reqwest::Response,
    mut stop: impl FnMut(&Streamed) -> bool,
) -> Streamed {
    let mut streamed = Streamed::default();
    while streamed.read_chunk(&mut response).await && !stop(&streamed) {}
    streamed
}

impl Streamed {
    /// Reads the next bytes; returns false once the stream has ended or failed.
    pub async fn read_chunk(&mut self, response: &mut reqwest::Response) -> bool {
        match response.chunk().await {
            Ok(Some(bytes)) => self.buffer.push_str(&String::from_utf8_lossy(&bytes)),
            Ok(None) => return false,
            Err(_) => {
                self.broken = true;
                return false;
            }
        }
        while let Some(end) = self.buffer.find("\n\n") {
            let event: String = self.buffer.drain(..end + 2).collect();
            self.add_event(&event);
        }
        true
    }

    fn add_event(&mut self, event: &str) {
        let field = |name: &str| {
            let lines = event.lines();
            let values = lines.filter_map(|line| line.strip_prefix(name)?.strip_prefix(':'));
            values
                .map(|value| value.strip_prefix(' ').unwrap_or(value).to_owned())
                .next()
        };
        let data = field("data").unwrap_or_default();
        match (field("event").as_deref(), data.as_str()) {
            (Some("error"), data) => self.error = serde_json::from_str(data).ok(),
            (_, "[DONE]") => self.done = true,
            (_, "") => {}
            (_, data) => {
                let chunk: serde_json::Value = serde_json::from_str(data).unwrap();
                let choice = &chunk["choices"][0];
                let text = choice["text"]
                    .as_str()
                    .or(choice["delta"]["content"].as_str());
                self.text.push_str(text.unwrap_or_default());
                self.ids.extend(field("id"));
            }
        }
    }
}
