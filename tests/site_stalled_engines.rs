//! Engines that are held up, as a process without processor time is: what was sent to them waits in
//! their sockets, and they begin it when they go on, even if its connection was closed meanwhile.

mod site_support;

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::json;

use site_support::{
    Reply, Request, Site, Upstream, document, engines_with_backups, events, is_resumption,
    patient_caller, sse,
};

/// How long an engine may still be at work on a generation that another one has begun to go on with.
const OVERLAP_LIMIT: Duration = Duration::from_millis(400);
/// Time between two events.
const STEP: Duration = Duration::from_millis(50);
/// Number of events of a generation.
const EVENTS: u64 = 61;

/// Returns the steps that make the events after `last` one by one. Each one is recorded as `event`,
/// the first one as `begin` too.
fn work_from(request: &Request, last: u64) -> Vec<Reply> {
    let mut replies = vec![Reply::Record("begin")];
    for event in last + 1..=EVENTS {
        let is_first = event == last + 1;
        replies.push(Reply::Record("event"));
        replies.push(Reply::Bytes(sse(
            request.id(),
            event..=event,
            is_first,
            event == EVENTS,
        )));
        replies.push(Reply::Pause(STEP));
    }
    replies
}

fn resume(request: &Request) -> Vec<Reply> {
    let last = request.header("last-event-id").unwrap().parse().unwrap();
    work_from(request, last)
}

/// Starts two engines that back up each other's generations, with the same script.
async fn engines(
    script: impl Fn(&Request) -> Vec<Reply> + Clone + Send + Sync + 'static,
) -> (Site, Upstream, Upstream) {
    let mut patient = document(1);
    patient["routes"][2]["timeoutMs"] = json!(15_000);
    engines_with_backups(&patient, script).await
}

fn warm(request: &Request) -> Vec<Reply> {
    vec![Reply::Bytes(sse(request.id(), 1..=1, true, true))]
}

/// Returns the text of a stream, and calls `after_first` once its first event has arrived.
async fn read_stream(site: &Site, after_first: impl FnOnce()) -> String {
    let sent = patient_caller(site, "/stream/x", "id-1", 12_000).send();
    let mut stream = sent.await.unwrap();
    let mut received = stream.chunk().await.unwrap().unwrap().to_vec();
    after_first();
    while let Some(chunk) = stream.chunk().await.unwrap() {
        received.extend_from_slice(&chunk);
    }
    String::from_utf8(received).unwrap()
}

/// Asserts that no engine made an event of the generation more than `OVERLAP_LIMIT` after another
/// one had begun to go on with it.
async fn assert_one_at_work(engines: [&Upstream; 2]) {
    // Engines that were left notice it with their next events.
    tokio::time::sleep(OVERLAP_LIMIT).await;
    for (engine, other) in [(engines[0], engines[1]), (engines[1], engines[0])] {
        for begun in engine.times("begin") {
            let before = other.times("begin").iter().any(|at| *at < begun);
            let worked_on = other
                .times("event")
                .into_iter()
                .filter(|at| before && *at > begun + OVERLAP_LIMIT);
            let late_ms: Vec<u128> = worked_on.map(|at| (at - begun).as_millis()).collect();
            assert!(
                late_ms.is_empty(),
                "the engine before made {} events, until {:?} ms after the other one had begun",
                late_ms.len(),
                late_ms.last()
            );
        }
    }
}

/// Guards against an engine that is held up and begins a generation after the entry has dropped the
/// attempt, while the engine that leaves goes on.
#[tokio::test]
async fn stalled_backup_does_not_begin_what_the_leaving_engine_goes_on_with() {
    let (site, first, second) = engines(|request| match request.path.as_str() {
        "/stream/x" if is_resumption(request) => {
            let mut replies = vec![Reply::Pause(Duration::from_millis(700))];
            replies.extend(resume(request));
            replies
        }
        "/stream/x" => work_from(request, 0),
        _ => warm(request),
    })
    .await;
    let text = read_stream(&site, || {
        let source = usize::from(first.requests("/stream/x").is_empty());
        site.list.lock().unwrap()[source]["state"] = json!("draining");
    })
    .await;
    assert_eq!(text, events(1..=EVENTS));
    assert_one_at_work([&first, &second]).await;
}

/// Guards against two engines that work on one generation: an engine that could not be reached speaks
/// again while the one that was asked is held up, and begins late.
#[tokio::test]
async fn stalled_backup_does_not_begin_beside_an_engine_that_speaks_again() {
    let (site, first, second) = engines(|request| match request.path.as_str() {
        "/stream/x" if is_resumption(request) => {
            let mut replies = vec![Reply::Pause(Duration::from_millis(1_200))];
            replies.extend(resume(request));
            replies
        }
        "/stream/x" => {
            let mut replies = work_from(request, 0);
            // After the first ten events.
            replies.insert(30, Reply::Pause(Duration::from_millis(650)));
            replies
        }
        _ => warm(request),
    })
    .await;
    let text = read_stream(&site, || {
        let source = match first.requests("/stream/x").is_empty() {
            true => &second,
            false => &first,
        };
        source.refuse_connections();
    })
    .await;
    assert_eq!(text, events(1..=EVENTS));
    assert_eq!(first.times("begin").len() + second.times("begin").len(), 2);
    assert_one_at_work([&first, &second]).await;
}

/// Guards against asking an engine that is itself held up: it would begin the generation at an
/// unknown time.
#[tokio::test]
async fn stalled_backup_is_not_asked() {
    let (site, first, second) = engines(|request| match request.path.as_str() {
        "/stream/x" if !is_resumption(request) => work_from(request, 0),
        "/report" => vec![Reply::AwaitClose],
        _ => warm(request),
    })
    .await;
    let text = read_stream(&site, || {
        let source = usize::from(first.requests("/stream/x").is_empty());
        site.list.lock().unwrap()[source]["state"] = json!("draining");
    })
    .await;
    assert_eq!(text, events(1..=EVENTS));
    for engine in [&first, &second] {
        assert!(!engine.requests("/stream/x").iter().any(is_resumption));
    }
}

/// Guards against a second engine that goes on with the generation of an engine that is only held
/// up, and works on.
#[tokio::test]
async fn stalled_engine_is_not_replaced_while_it_may_go_on() {
    // The engine that is held up, and until when.
    let stalled: Arc<Mutex<Option<(String, Instant)>>> = Arc::default();
    let stall = Arc::clone(&stalled);
    let (site, first, second) = engines(move |request| {
        if is_resumption(request) {
            return resume(request);
        }
        if request.path == "/stream/x" {
            let stall_time = Duration::from_millis(1_500);
            let mut replies = work_from(request, 0);
            // After the first ten events.
            replies.insert(30, Reply::Pause(stall_time));
            let identity = request.header("x-lilacspindle-expected-instance");
            let until = Instant::now() + 10 * STEP + stall_time;
            *stall.lock().unwrap() = Some((identity.unwrap().to_owned(), until));
            return replies;
        }
        let port = request
            .header("host")
            .and_then(|host| host.split(':').nth(1));
        let is_stalled = |identity: &str| Some(identity.trim_start_matches("i-")) == port;
        let left = match &*stall.lock().unwrap() {
            Some((identity, until)) if is_stalled(identity) => {
                until.saturating_duration_since(Instant::now())
            }
            _ => Duration::ZERO,
        };
        let mut replies = vec![Reply::Pause(left)];
        replies.extend(warm(request));
        replies
    })
    .await;
    let text = read_stream(&site, || {}).await;
    assert_eq!(text, events(1..=EVENTS));
    assert_one_at_work([&first, &second]).await;
}
