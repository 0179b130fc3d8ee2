//! Requests as callers send them, and parsers for the answers.

use std::time::Duration;

use tokio::time::{Instant, sleep, timeout};

use super::RunningEntry;

/// One event of a stream.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Event {
    pub id: String,
    pub name: String,
    pub data: String,
}

impl Event {
    /// Returns the text of the event's token; empty if it has none.
    pub fn text(&self) -> String {
        let data: serde_json::Value = serde_json::from_str(&self.data).unwrap_or_default();
        let choice = &data["choices"][0];
        let text = choice["text"]
            .as_str()
            .or(choice["delta"]["content"].as_str());
        text.unwrap_or_default().to_owned()
    }
}

/// Parses server-sent events; comments are left out.
pub fn parse_events(text: &str) -> Vec<Event> {
    let blocks = text
        .split("\n\n")
        .filter(|block| !block.is_empty() && !block.starts_with(':'));
    blocks
        .map(|block| {
            let mut event = Event::default();
            for line in block.lines() {
                match line.split_once(": ") {
                    Some(("id", value)) => value.clone_into(&mut event.id),
                    Some(("event", value)) => value.clone_into(&mut event.name),
                    Some(("data", value)) => value.clone_into(&mut event.data),
                    _ => panic!("unexpected line {line:?}"),
                }
            }
            event
        })
        .collect()
}

/// Returns the concatenated text of all events.
pub fn event_text(events: &[Event]) -> String {
    events.iter().map(Event::text).collect()
}

/// Returns the text of the first `count` tokens that a fake sidecar produces.
pub fn expected_text(count: u32) -> String {
    let tokens: Vec<String> = (0..count).map(|index| format!("t{index} ")).collect();
    tokens.concat()
}

/// Returns a POST request of workspace `a`.
pub fn post(entry: &RunningEntry, path: &str, body: &str) -> reqwest::RequestBuilder {
    reqwest::Client::new()
        .post(format!("{}{path}", entry.url))
        .header("Lilac-Workspace", "a")
        .body(body.to_owned())
}

/// Sends a request; returns the status and the body.
pub async fn send(request: reqwest::RequestBuilder) -> (u16, String) {
    let response = timeout(Duration::from_secs(30), request.send())
        .await
        .unwrap()
        .unwrap();
    let status = response.status().as_u16();
    (
        status,
        timeout(Duration::from_secs(30), response.text())
            .await
            .unwrap()
            .unwrap(),
    )
}

/// Returns `outcome`, `code` and `message` of an error object.
pub fn parse_error(text: &str) -> (String, String, String) {
    let value: serde_json::Value = serde_json::from_str(text).unwrap();
    let part = |name: &str| value["error"][name].as_str().unwrap_or_default().to_owned();
    (part("outcome"), part("code"), part("message"))
}

/// Waits until a condition holds; panics after 10 s.
pub async fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let end = Instant::now() + Duration::from_secs(10);
    while !condition() {
        assert!(Instant::now() < end, "{what} did not happen within 10 s");
        sleep(Duration::from_millis(10)).await;
    }
}
