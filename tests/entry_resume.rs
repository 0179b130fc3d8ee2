//! Callers that lose their connection.

mod entry_support;

use std::time::Duration;

use entry_support::*;
use futures::StreamExt;
use tokio::time::{sleep, timeout};

const STREAM: &str = r#"{"model":"tutor","prompt":"hello","stream":true}"#;

/// Reads a stream until it has shown some tokens, then drops the connection.
async fn read_some(request: reqwest::RequestBuilder, count: usize) -> Vec<Event> {
    let response = request.send().await.unwrap();
    let mut chunks = response.bytes_stream();
    let mut text = String::new();
    loop {
        let chunk = timeout(Duration::from_secs(10), chunks.next())
            .await
            .unwrap();
        text.push_str(std::str::from_utf8(&chunk.unwrap().unwrap()).unwrap());
        let whole = text.rfind("\n\n").map_or(0, |end| end + 2);
        let events = parse_events(&text[..whole]);
        if events.len() >= count {
            return events;
        }
    }
}

/// Guards against tokens that come twice or never when a caller resumes at another entry, and
/// against the first entry cancelling what the second one reads.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_caller_resumes_at_another_entry() {
    let plan = Plan::Tokens {
        count: 150,
        step_ms: 10,
        stall_at: None,
    };
    let sidecar = RunningFake::start(Fake::new("s1", 1, plan));
    let control = FakeControl::default().listen().await;
    let first = start_entry("e1", view(&[&sidecar]), control).await;
    let second = start_entry("e2", view(&[&sidecar]), control).await;
    let mut events = read_some(post(&first, "/v1/completions", STREAM), 20).await;
    let id = events.last().unwrap().id.clone();
    let resumed = post(&second, "/v1/completions", STREAM).header("Last-Event-ID", &id);
    let (status, text) = text_of(resumed).await;
    assert_eq!(status, 200, "{text}");
    events.extend(parse_events(&text));
    assert_eq!(shown(&events), expected(150));
    assert_eq!(events.last().unwrap().data, "[DONE]");
    assert_eq!(sidecar.fake.seen().starts.len(), 1);

    // Another workspace must not read the answer.
    let stranger = reqwest::Client::new()
        .post(format!("{}/v1/completions", second.url))
        .header("Lilac-Workspace", "b")
        .header("Last-Event-ID", &id)
        .body(STREAM);
    let (status, text) = text_of(stranger).await;
    assert_eq!(
        (status, error_of(&text).0.as_str()),
        (502, "interrupted"),
        "{text}"
    );
}

/// Guards against engines that go on for callers who have hung up, and against cutting a caller
/// off before its time to resume has passed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_dropped_stream_is_cancelled_after_the_grace() {
    let plan = Plan::Tokens {
        count: 1_000,
        step_ms: 10,
        stall_at: None,
    };
    let (sidecar, entry) = start_one(plan).await;
    read_some(post(&entry, "/v1/completions", STREAM), 5).await;
    sleep(Duration::from_millis(250)).await;
    assert!(
        sidecar.fake.seen().cancels.is_empty(),
        "cancelled within the grace"
    );
    until("the cancel", || !sidecar.fake.seen().cancels.is_empty()).await;
}

/// Guards against new work at a leaving entry, and against cutting off open streams.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_leaving_entry_finishes_open_streams_and_takes_no_more() {
    let plan = Plan::Tokens {
        count: 60,
        step_ms: 10,
        stall_at: None,
    };
    let (sidecar, entry) = start_one(plan).await;
    let open = tokio::spawn(text_of(post(&entry, "/v1/completions", STREAM)));
    until("the start", || !sidecar.fake.seen().starts.is_empty()).await;
    entry.subscriber.set_leaving();
    let (status, text) = text_of(post(&entry, "/v1/completions", STREAM)).await;
    let (outcome, code, _) = error_of(&text);
    assert_eq!(
        (status, outcome.as_str(), code.as_str()),
        (503, "not_run", "leaving")
    );
    timeout(Duration::from_secs(10), entry.role.drain())
        .await
        .unwrap();
    let (status, text) = open.await.unwrap();
    assert_eq!(status, 200);
    assert_eq!(shown(&parse_events(&text)), expected(60));
}
