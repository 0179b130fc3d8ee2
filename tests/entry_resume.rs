//! Streams whose caller disconnects, and entries that are leaving.

mod entry_support;

use std::time::Duration;

use entry_support::*;
use futures::StreamExt;
use tokio::time::{sleep, timeout};

const STREAM: &str = r#"{"model":"tutor","prompt":"hello","stream":true}"#;

/// Reads a stream until at least `count` events have arrived, then drops the connection.
async fn read_events(request: reqwest::RequestBuilder, count: usize) -> Vec<Event> {
    let response = request.send().await.unwrap();
    let mut chunks = response.bytes_stream();
    let mut text = String::new();
    loop {
        let chunk = timeout(Duration::from_secs(10), chunks.next())
            .await
            .unwrap();
        text.push_str(std::str::from_utf8(&chunk.unwrap().unwrap()).unwrap());
        let complete = text.rfind("\n\n").map_or(0, |end| end + 2);
        let events = parse_events(&text[..complete]);
        if events.len() >= count {
            return events;
        }
    }
}

/// Guards against repeated or skipped tokens when a caller resumes at another entry, and against
/// the first entry cancelling the generation that the second one reads.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_caller_resumes_at_another_entry() {
    let behavior = Behavior::Tokens {
        count: 150,
        step_ms: 10,
        stall_at: None,
    };
    let sidecar = RunningSidecar::start(FakeSidecar::new("s1", 1, behavior));
    let control = FakeControl::default().listen().await;
    let first = start_entry("e1", view(&[&sidecar]), control).await;
    let second = start_entry("e2", view(&[&sidecar]), control).await;
    let mut events = read_events(post(&first, "/v1/completions", STREAM), 20).await;
    let id = events.last().unwrap().id.clone();
    let resumed = post(&second, "/v1/completions", STREAM).header("Last-Event-ID", &id);
    let (status, text) = send(resumed).await;
    assert_eq!(status, 200, "{text}");
    events.extend(parse_events(&text));
    assert_eq!(event_text(&events), expected_text(150));
    assert_eq!(events.last().unwrap().data, "[DONE]");
    assert_eq!(sidecar.fake.recorded().starts.len(), 1);

    // A caller of another workspace must not be able to read the answer.
    let other_workspace = reqwest::Client::new()
        .post(format!("{}/v1/completions", second.url))
        .header("Lilac-Workspace", "b")
        .header("Last-Event-ID", &id)
        .body(STREAM);
    let (status, text) = send(other_workspace).await;
    assert_eq!(
        (status, parse_error(&text).0.as_str()),
        (502, "interrupted"),
        "{text}"
    );
}

/// Guards against tokens for callers of another workspace that name open streams, and against
/// cutting the streams for their own callers, while all of them read through one entry. If the
/// sidecar answers no lookups, the entry polls for the other callers beside its open streams.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn callers_of_another_workspace_neither_read_nor_cut_open_streams() {
    for ignores_lookups in [false, true] {
        let behavior = Behavior::Tokens {
            count: 150,
            step_ms: 20,
            stall_at: None,
        };
        let mut fake = FakeSidecar::new("s1", 1, behavior);
        fake.ignores_lookups = ignores_lookups;
        // A stream is then cut if the answer to another caller is taken for its own.
        fake.adopts = false;
        let sidecar = RunningSidecar::start(fake);
        let control = FakeControl::default().listen().await;
        let entry = start_entry("e1", view(&[&sidecar]), control).await;
        let open = [(); 6].map(|()| tokio::spawn(send(post(&entry, "/v1/completions", STREAM))));
        let starts = || sidecar.fake.recorded().starts.len();
        wait_until("the starts", || starts() == open.len()).await;
        // Without a shown token, a cut stream would be started again unnoticed.
        sleep(Duration::from_millis(300)).await;
        let mut others = Vec::new();
        for number in 0..24 {
            let generation = sidecar.fake.recorded().starts[number % open.len()].generation;
            let id = format!("s1.{:016x}.e1.{:016x}.{generation}.{}", 1, 7, 10 + number);
            let other_workspace = reqwest::Client::new()
                .post(format!("{}/v1/completions", entry.url))
                .header("Lilac-Workspace", "b")
                .header("Last-Event-ID", &id)
                .body(STREAM);
            others.push(tokio::spawn(send(other_workspace)));
            sleep(Duration::from_millis(7)).await;
        }
        for other in others {
            let (status, text) = other.await.unwrap();
            let error = match status {
                200 => parse_events(&text).pop().unwrap().data,
                _ => text.clone(),
            };
            assert_eq!(parse_error(&error).0, "interrupted", "{status} {text}");
            assert!(!text.contains("choices"), "{text}");
        }
        for stream in open {
            let (status, text) = stream.await.unwrap();
            assert_eq!(status, 200, "{text}");
            assert_eq!(event_text(&parse_events(&text)), expected_text(150));
        }
        let readopts = sidecar.fake.recorded().readopts.len();
        assert_eq!((starts(), readopts), (6, 0));
    }
}

/// Guards against engines that keep generating for callers that have disconnected, and against
/// cancelling a stream within the grace period in which its caller may resume.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_dropped_stream_is_cancelled_after_the_grace_period() {
    let behavior = Behavior::Tokens {
        count: 1_000,
        step_ms: 10,
        stall_at: None,
    };
    let (sidecar, entry) = start_entry_and_sidecar(behavior).await;
    read_events(post(&entry, "/v1/completions", STREAM), 5).await;
    sleep(Duration::from_millis(250)).await;
    assert!(
        sidecar.fake.recorded().cancels.is_empty(),
        "cancelled within the grace period"
    );
    wait_until("the cancel", || !sidecar.fake.recorded().cancels.is_empty()).await;
}

/// Guards against an entry that accepts new requests, or cuts off open streams, while it is
/// leaving.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_leaving_entry_finishes_open_streams_and_refuses_new_requests() {
    let behavior = Behavior::Tokens {
        count: 60,
        step_ms: 10,
        stall_at: None,
    };
    let (sidecar, entry) = start_entry_and_sidecar(behavior).await;
    let open = tokio::spawn(send(post(&entry, "/v1/completions", STREAM)));
    wait_until("the start", || !sidecar.fake.recorded().starts.is_empty()).await;
    entry.subscriber.set_leaving();
    let (status, text) = send(post(&entry, "/v1/completions", STREAM)).await;
    let (outcome, code, _) = parse_error(&text);
    assert_eq!(
        (status, outcome.as_str(), code.as_str()),
        (503, "not_run", "leaving")
    );
    timeout(Duration::from_secs(10), entry.role.drain())
        .await
        .unwrap();
    let (status, text) = open.await.unwrap();
    assert_eq!(status, 200);
    assert_eq!(event_text(&parse_events(&text)), expected_text(60));
}
