//! Streams of a service whose instances are no engines, through a real entry process.

mod site_support;

use std::time::Duration;

use serde_json::{Value, json};

use site_support::{
    Reply, Request, Site, Upstream, answer, call, document, events, not_executed, patient_caller,
    proper, sse, stream_head, wait_for,
};

/// How long after its timeout a stream may end.
const LATE_END_LIMIT: Duration = Duration::from_millis(500);
/// Time between two events.
const STEP: Duration = Duration::from_millis(50);

/// Returns a document whose streaming route goes to the service without engine.
fn plain_document(version: u64) -> Value {
    let mut document = document(version);
    document["routes"][2]["service"] = json!("plain");
    document
}

/// Waits until an instance of the service is used.
async fn wait_usable(site: &Site) {
    wait_for("an instance is used", || async {
        call(site, "/safe/warm", "warm").await.status() == 200
    })
    .await;
}

/// Starts a site with one instance. `script` responds to requests for streams.
async fn site_with_instance(
    document: &Value,
    script: impl Fn(&Request) -> Vec<Reply> + Send + Sync + 'static,
) -> (Site, Upstream) {
    let mut site = Site::serving(document).await;
    let instance = site.upstream("plain", or_proper(script)).await;
    wait_usable(&site).await;
    (site, instance)
}

fn or_proper(
    script: impl Fn(&Request) -> Vec<Reply> + Send + Sync + 'static,
) -> impl Fn(&Request) -> Vec<Reply> + Send + Sync + 'static {
    move |request| match request.path.starts_with("/stream/") {
        true => script(request),
        false => proper(request),
    }
}

/// Returns the events from 1 to `last`, one each `STEP`.
fn steady(request: &Request, last: u64) -> Vec<Reply> {
    let mut replies = Vec::new();
    for event in 1..=last {
        let (is_first, is_last) = (event == 1, event == last);
        replies.push(Reply::Bytes(sse(
            request.id(),
            event..=event,
            is_first,
            is_last,
        )));
        replies.push(Reply::Pause(STEP));
    }
    replies
}

/// Returns what a caller receives of a response, and whether it looks complete.
async fn read(mut response: reqwest::Response) -> (String, bool) {
    let mut received = Vec::new();
    loop {
        match response.chunk().await {
            Ok(Some(chunk)) => received.extend_from_slice(&chunk),
            end => return (String::from_utf8(received).unwrap(), end.is_ok()),
        }
    }
}

/// Guards against streams of a service without engine that are held back until their end: case 7 of
/// the review.
#[tokio::test]
async fn events_of_a_plain_service_are_passed_on_as_they_arrive() {
    let (site, instance) = site_with_instance(&plain_document(1), |request| {
        vec![
            Reply::Bytes(sse(request.id(), 1..=1, true, false)),
            Reply::Pause(Duration::from_secs(1)),
            Reply::Record("second event"),
            Reply::Bytes(sse(request.id(), 2..=2, false, true)),
        ]
    })
    .await;
    let mut stream = call(&site, "/stream/x", "id-1").await;
    assert_eq!(stream.headers()["x-lilacspindle-response-seal"], "seal");
    let first = stream.chunk().await.unwrap().unwrap();
    assert_eq!(first, events(1..=1));
    assert!(instance.times("second event").is_empty());
    assert_eq!(read(stream).await, (events(2..=2), true));
}

/// Guards against many streams that share a service with small calls, and against streams that hold
/// their place after their end.
#[tokio::test]
async fn calls_are_answered_beside_many_streams() {
    let (site, _instance) =
        site_with_instance(&plain_document(1), |request| steady(request, 30)).await;
    let streams: Vec<_> = (0..60)
        .map(|n| tokio::spawn(patient_caller(&site, "/stream/x", &format!("id-{n}"), 3_900).send()))
        .collect();
    for n in 0..30 {
        let answered = call(&site, "/once/x", &format!("once-{n}")).await;
        assert_eq!(answered.status(), 200);
    }
    for stream in streams {
        let got = read(stream.await.unwrap().unwrap()).await;
        assert_eq!(got, (events(1..=30), true));
    }
}

/// Guards against broken streams that look complete, against complete ones that look broken, and
/// against failures that are passed on as a success.
#[tokio::test]
async fn stream_of_a_plain_service_looks_complete_only_if_it_is() {
    let (site, _instance) = site_with_instance(&plain_document(1), |request| {
        let head = |framing| Reply::Bytes(stream_head(request, framing).into_bytes());
        let pause = Reply::Pause(STEP);
        let text = |text: &str| Reply::Bytes(text.as_bytes().to_vec());
        let (one, chunk) = (events(1..=1), |s: &str| format!("{:x}\r\n{s}\r\n", s.len()));
        let ended = "0\r\n\r\n";
        match request.path.trim_start_matches("/stream/") {
            "chunks" => vec![Reply::Bytes(sse(request.id(), 1..=1, true, true))],
            "comment" => vec![
                head("Transfer-Encoding: chunked"),
                text(&chunk(&one)),
                text(&(chunk(": end") + ended)),
            ],
            "close" => vec![head("Connection: close"), text(&one), Reply::Close],
            "empty" => vec![head("Content-Length: 0")],
            "cut" => vec![
                head("Transfer-Encoding: chunked"),
                text(&chunk(&one)),
                pause,
                text(&(chunk("id: 2\nda") + ended)),
            ],
            "reset" => vec![
                head("Transfer-Encoding: chunked"),
                text(&chunk(&one)),
                pause,
                Reply::Close,
            ],
            "short" => vec![head("Content-Length: 100"), text(&one), pause, Reply::Close],
            "large" => vec![
                head("Connection: close"),
                text(&one),
                pause,
                Reply::Forever(vec![b'x'; 4_096], Duration::from_millis(1)),
            ],
            "nothing" => vec![head("Connection: close"), Reply::Close],
            "lost" => vec![head("Transfer-Encoding: chunked"), pause, Reply::Close],
            "unsealed" => vec![Reply::Bytes(answer(
                "200 OK",
                &[("X-Lilacspindle-Request-Id", request.id())],
                one.as_bytes(),
            ))],
            "failed" => vec![Reply::Bytes(answer(
                "500 Internal Server Error",
                &[("X-Lilacspindle-Request-Id", request.id())],
                b"failed",
            ))],
            _ => vec![Reply::Bytes(answer(
                "200 OK",
                &[
                    ("X-Lilacspindle-Request-Id", request.id()),
                    ("X-Lilacspindle-Response-Seal", "seal"),
                    ("Content-Type", "application/json"),
                ],
                b"{\"a\": 1}",
            ))],
        }
    })
    .await;
    let one = events(1..=1);
    let with_comment = format!("{one}: end");
    let expected = [
        ("chunks", 200, &*one, true),
        ("comment", 200, &*with_comment, true),
        ("close", 200, &*one, true),
        ("empty", 200, "", true),
        ("json", 200, "{\"a\": 1}", true),
        ("failed", 500, "failed", true),
        ("cut", 200, &*one, false),
        ("reset", 200, &*one, false),
        ("short", 200, &*one, false),
        ("large", 200, &*one, false),
    ];
    for (name, status, body, is_complete) in expected {
        wait_usable(&site).await;
        let response = call(&site, &format!("/stream/{name}"), name).await;
        assert_eq!(response.status(), status, "{name}");
        assert_eq!(
            read(response).await,
            (body.to_owned(), is_complete),
            "{name}"
        );
    }
    // Nothing was passed on, but the request may have run.
    for name in ["nothing", "lost", "unsealed"] {
        wait_usable(&site).await;
        let response = call(&site, &format!("/stream/{name}"), name).await;
        assert_eq!(response.status(), 502, "{name}");
        assert!(read(response).await.0.contains("unknown"), "{name}");
    }
}

/// Guards against a stream that runs twice, and against giving up one that has not run.
#[tokio::test]
async fn stream_is_sent_again_only_if_it_has_not_run() {
    let mut site = Site::serving(&plain_document(1)).await;
    let script = |request: &Request| match request.path.as_str() {
        "/stream/lost" => vec![Reply::Close],
        _ => vec![Reply::Bytes(sse(request.id(), 1..=2, true, true))],
    };
    let refuses = |request: &Request| match request.path.as_str() {
        "/stream/lost" => vec![Reply::Close],
        _ => not_executed(request),
    };
    let sound = site.upstream("plain", or_proper(script)).await;
    let full = site.upstream("plain", or_proper(refuses)).await;
    wait_for("both instances are used", || async {
        call(&site, "/safe/warm", "warm").await;
        let used = |instance: &Upstream| !instance.requests("/safe/warm").is_empty();
        used(&sound) && used(&full)
    })
    .await;
    for n in 0..10 {
        let stream = call(&site, "/stream/x", &format!("id-{n}")).await;
        assert_eq!(read(stream).await, (events(1..=2), true));
    }
    assert_eq!(call(&site, "/stream/lost", "lost").await.status(), 502);
    let sent = sound.requests("/stream/lost").len() + full.requests("/stream/lost").len();
    assert_eq!(sent, 1);
}

/// Guards against an instance that works for a caller who has left, and against streams that outlast
/// their route's timeout.
#[tokio::test]
async fn stream_ends_with_its_caller_and_at_its_timeout() {
    let timeout_ms = 1_000;
    let mut document = plain_document(1);
    document["routes"][2]["timeoutMs"] = json!(timeout_ms);
    let (site, instance) = site_with_instance(&document, |request| {
        vec![
            Reply::Bytes(sse(request.id(), 1..=1, true, false)),
            Reply::AwaitClose,
        ]
    })
    .await;
    let mut stream = call(&site, "/stream/x", "id-1").await;
    assert!(stream.chunk().await.unwrap().is_some());
    drop(stream);
    wait_for("the instance is left", || async {
        *instance.abandoned.lock().unwrap() == 1
    })
    .await;
    let sent_at = std::time::Instant::now();
    let (text, is_complete) = read(call(&site, "/stream/x", "id-2").await).await;
    let took = sent_at.elapsed();
    assert_eq!((text, is_complete), (events(1..=1), false));
    assert!(
        took <= Duration::from_millis(timeout_ms) + LATE_END_LIMIT,
        "{took:?}"
    );
    wait_for("the instance is left", || async {
        *instance.abandoned.lock().unwrap() == 2
    })
    .await;
}

/// Guards against streams that are cut by a planned stop, or by a document that moves their route to
/// a service with or without engines.
#[tokio::test]
async fn streams_outlast_a_stop_and_documents_that_move_their_route() {
    let mut document = plain_document(1);
    for route in 0..3 {
        document["routes"][route]["timeoutMs"] = json!(15_000);
    }
    let mut site = Site::serving(&document).await;
    let script = |request: &Request| steady(request, 40);
    let _plain = site.upstream("plain", or_proper(script)).await;
    let _engine = site.upstream("model", or_proper(script)).await;
    wait_usable(&site).await;
    let mut streams = Vec::new();
    for (version, service) in [(1, "plain"), (2, "model"), (3, "plain")] {
        document["version"] = json!(version);
        document["routes"][2]["service"] = json!(service);
        if version > 1 {
            assert_eq!(site.publish(1, &document).await, 200);
            wait_for("the document is in force", || async {
                let held = site.entry_metric(1, "lilac_gateway_document_version").await;
                held.is_some_and(|held| held >= f64::from(version))
            })
            .await;
        }
        let request = patient_caller(&site, "/stream/x", &format!("id-{version}"), 14_000);
        let mut stream = request.send().await.unwrap();
        assert_eq!(stream.status(), 200, "{service}");
        assert!(stream.chunk().await.unwrap().is_some());
        streams.push(tokio::spawn(read(stream)));
    }
    site.signal("entry-1", "TERM");
    for stream in streams {
        let (text, is_complete) = stream.await.unwrap();
        assert!(is_complete && text.ends_with(&events(40..=40)), "{text}");
    }
    assert!(site.ended("entry-1", Duration::from_secs(5)).await);
}

/// Guards against a split route on which only one kind of service streams, and against a stream of an
/// engine that is passed on in part on a route that doesn't stream.
#[tokio::test]
async fn both_kinds_of_services_serve_both_kinds_of_routes() {
    let mut document = plain_document(1);
    let share = |service: &str| json!({"service": service, "weight": 50});
    document["routes"][2]["service"] = Value::Null;
    document["routes"][2]["trafficSplit"] = json!([share("plain"), share("model")]);
    document["routes"][1]["service"] = json!("model");
    let mut site = Site::serving(&document).await;
    let stream = |request: &Request| vec![Reply::Bytes(sse(request.id(), 1..=3, true, true))];
    let plain = site.upstream("plain", stream).await;
    let engine = site.upstream("model", stream).await;
    wait_for("both instances are used", || async {
        let _ = call(&site, "/stream/warm", "warm").await.bytes().await;
        let used = |instance: &Upstream| !instance.requests("/stream/warm").is_empty();
        used(&plain) && used(&engine)
    })
    .await;
    for n in 0..20 {
        let stream = call(&site, "/stream/x", &format!("id-{n}")).await;
        assert_eq!(read(stream).await, (events(1..=3), true));
    }
    let whole = call(&site, "/safe/x", "safe").await;
    assert_eq!(read(whole).await, (events(1..=3), true));
    assert_eq!(engine.requests("/safe/x").len(), 1);
}
