//! The entry delivers every token of a generation once and in order.

mod entry_support;

use entry_support::*;

const STREAM: &str = r#"{"model":"tutor","prompt":"hello","stream":true}"#;
const WHOLE: &str = r#"{"model":"tutor","prompt":"hello"}"#;
const CHAT: &str =
    r#"{"model":"tutor","messages":[{"role":"user","content":"hello"}],"stream":true}"#;

/// Guards against answers that do not have the format of the completions APIs, and lost tokens.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streams_and_whole_answers_are_complete() {
    let (_sidecar, entry) = start_entry_and_sidecar(tokens(20)).await;
    for (path, body) in [("/v1/completions", STREAM), ("/v1/chat/completions", CHAT)] {
        let (status, text) = send(post(&entry, path, body)).await;
        assert_eq!(status, 200, "{text}");
        let events = parse_events(&text);
        assert_eq!(event_text(&events), expected_text(20), "{text}");
        assert_eq!(events.last().unwrap().data, "[DONE]");
        assert!(
            events[4].id.starts_with("s1.0000000000000001."),
            "{}",
            events[4].id
        );
        assert!(events[4].id.ends_with(".5"), "{}", events[4].id);
    }
    let (status, text) = send(post(&entry, "/v1/completions", WHOLE)).await;
    assert_eq!(status, 200, "{text}");
    let answer: serde_json::Value = serde_json::from_str(&text).unwrap();
    assert_eq!(answer["choices"][0]["text"], expected_text(20).as_str());
    assert_eq!(answer["usage"]["completion_tokens"], 20);
}

/// Guards against applying a poll reply out of order, a repeated update, or one that skips tokens.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn out_of_order_and_duplicate_poll_replies_are_ignored() {
    let mut fake = FakeSidecar::new("s1", 1, tokens(60));
    fake.scrambles_replies = true;
    let sidecar = RunningSidecar::start(fake);
    let control = FakeControl::default().listen().await;
    let entry = start_entry("e1", view(&[&sidecar]), control).await;
    let requests = (0..8).map(|_| send(post(&entry, "/v1/completions", STREAM)));
    for (status, text) in futures::future::join_all(requests).await {
        assert_eq!(status, 200, "{text}");
        assert_eq!(event_text(&parse_events(&text)), expected_text(60));
    }
}
