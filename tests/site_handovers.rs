//! Generations that go on at another engine, through a real entry process: the engine before has to
//! be shown not to work on them any more, or to be stopped. A closed connection shows neither.

mod site_support;

use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use site_support::{
    Reply, Request, Site, Upstream, call, document, engines_with_backups, events, is_resumption,
    json_answer, patient_caller, source_and_other, sse, wait_for,
};

/// How long an engine may still be at work on a generation that has been resumed elsewhere.
const OVERLAP_LIMIT: Duration = Duration::from_millis(400);
/// Time between two events.
const STEP: Duration = Duration::from_millis(50);
const PATH: &str = "/stream/x";

/// Starts two engines that back up each other. `script` responds to the requests of both but those of
/// the platform; it is told whether the engine is the one that the generation was sent to first.
async fn engines(
    document: &Value,
    script: impl Fn(&Request, bool) -> Vec<Reply> + Clone + Send + Sync + 'static,
) -> (Site, Upstream, Upstream) {
    let source: Arc<Mutex<Option<String>>> = Arc::default();
    engines_with_backups(document, move |request| {
        let own = own_port(request);
        let mut source = source.lock().unwrap();
        if request.path == PATH && !is_resumption(request) {
            *source = Some(own.clone());
        }
        script(request, source.as_ref() == Some(&own))
    })
    .await
}

/// Returns the port of the engine that a request is for.
fn own_port(request: &Request) -> String {
    let identity = request.header("x-lilacspindle-expected-instance");
    let identity = identity.and_then(|identity| identity.strip_prefix("i-"));
    let host = request
        .header("host")
        .and_then(|host| host.split(':').nth(1));
    identity.or(host).unwrap_or_default().to_owned()
}

fn patient_document() -> Value {
    let mut document = document(1);
    document["routes"][2]["timeoutMs"] = json!(15_000);
    document
}

fn report(runs: &[&str]) -> Vec<Reply> {
    let runs: Vec<Value> = runs.iter().map(|id| json!([id, 100, 3, 5])).collect();
    json_answer("200 OK", &json!({ "runs": runs }))
}

/// Returns the response of an engine whose answer is lost after three events.
fn lost_after_three(request: &Request) -> Vec<Reply> {
    vec![
        Reply::Bytes(sse(request.id(), 1..=3, true, false)),
        Reply::Close,
    ]
}

fn rest(request: &Request) -> Vec<Reply> {
    vec![Reply::Bytes(sse(request.id(), 4..=6, true, true))]
}

/// Returns the events from 1 to `last`, one each `STEP`.
fn steady(request: &Request, last: u64) -> Vec<Reply> {
    let mut replies = vec![Reply::Bytes(sse(request.id(), 1..=1, true, false))];
    for event in 2..=last {
        replies.push(Reply::Pause(STEP));
        replies.push(Reply::Bytes(sse(request.id(), event..=event, false, false)));
    }
    replies
}

/// Returns when an engine was asked to resume the generation.
fn resumed_at(engine: &Upstream) -> Option<Instant> {
    let requests = engine.requests(PATH);
    let resumption = requests.iter().find(|request| is_resumption(request))?;
    Some(resumption.received_at)
}

/// Returns when an engine was told to stop the generation.
fn stopped_at(engine: &Upstream) -> Option<Instant> {
    let requests = engine.requests("/kv-move");
    let stop = requests.iter().find(|request| {
        let call: Value = serde_json::from_slice(&request.body).unwrap();
        call["identifier"] == "id-1" && call["last"] == true
    })?;
    Some(stop.received_at)
}

/// Guards against a generation that goes on at its backup while its engine, whose answer was lost,
/// works on: case 6 of the review.
#[tokio::test]
async fn engine_whose_answer_is_lost_is_stopped_before_its_backup_is_asked() {
    let (site, first, second) = engines(&document(1), |request, _| match request.path.as_str() {
        PATH if is_resumption(request) => rest(request),
        PATH => lost_after_three(request),
        "/kv-move" => json_answer("200 OK", &json!({"handle": "h7", "made": 3})),
        _ => report(&["id-1"]),
    })
    .await;
    let stream = call(&site, PATH, "id-1").await;
    assert_eq!(stream.text().await.unwrap(), events(1..=6));
    let (source, other) = source_and_other(PATH, &first, &second);
    assert!(stopped_at(source).unwrap() < resumed_at(other).unwrap());
    let copy = format!("{}/h7", source.address);
    let resumption = other.requests(PATH).pop().unwrap();
    assert_eq!(resumption.header("kv-from"), Some(copy.as_str()));
}

/// Guards against losing a generation that has ended at its engine, or whose engine has crashed, when
/// the call that stops it finds nothing.
#[tokio::test]
async fn generation_that_its_engine_does_not_run_goes_on_at_its_backup() {
    for has_crashed in [false, true] {
        let (site, first, second) = engines(&document(1), move |request, _| {
            match request.path.as_str() {
                PATH if is_resumption(request) => rest(request),
                PATH => {
                    let mut replies = lost_after_three(request);
                    replies.insert(1, Reply::Pause(Duration::from_millis(300)));
                    replies
                }
                "/kv-move" => json_answer("404 Not Found", &json!({})),
                _ => report(&[]),
            }
        })
        .await;
        let mut stream = call(&site, PATH, "id-1").await;
        let mut received = stream.chunk().await.unwrap().unwrap().to_vec();
        let (source, other) = source_and_other(PATH, &first, &second);
        if has_crashed {
            source.refuse_connections();
        }
        while let Some(chunk) = stream.chunk().await.unwrap() {
            received.extend_from_slice(&chunk);
        }
        assert_eq!(String::from_utf8(received).unwrap(), events(1..=6));
        assert!(resumed_at(other).is_some());
        assert_eq!(stopped_at(source).is_some(), !has_crashed);
    }
}

/// Guards against asking the backup while the engine is held up and may work on, and against waiting
/// for it after its process has ended.
#[tokio::test]
async fn backup_of_a_held_up_engine_is_asked_once_that_has_ended() {
    let (site, first, second) = engines(&patient_document(), |request, is_source| {
        match request.path.as_str() {
            PATH if is_resumption(request) => rest(request),
            PATH => lost_after_three(request),
            _ if is_source => vec![Reply::AwaitClose],
            _ => report(&[]),
        }
    })
    .await;
    let stream = patient_caller(&site, PATH, "id-1", 14_000);
    let stream = tokio::spawn(async move { stream.send().await.unwrap().text().await });
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    let (source, other) = source_and_other(PATH, &first, &second);
    assert_eq!(resumed_at(other), None);
    source.refuse_connections();
    assert_eq!(stream.await.unwrap().unwrap(), events(1..=6));
    assert!(resumed_at(other).is_some());
}

/// Guards against losing a generation that a backup holds because the calls that stop it at its engine
/// get no response, as when they arrive while the generation ends there.
#[tokio::test]
async fn stop_without_a_response_is_repeated_until_it_is_proved() {
    let stops = Arc::new(AtomicU32::new(0));
    let (site, first, second) = engines(&patient_document(), move |request, _| {
        match request.path.as_str() {
            PATH if is_resumption(request) => rest(request),
            PATH => lost_after_three(request),
            "/kv-move" => match stops.fetch_add(1, Ordering::SeqCst) {
                0..=2 => vec![Reply::Close],
                _ => json_answer("404 Not Found", &json!({})),
            },
            _ => report(&["id-1"]),
        }
    })
    .await;
    let stream = patient_caller(&site, PATH, "id-1", 14_000)
        .send()
        .await
        .unwrap();
    assert_eq!(stream.text().await.unwrap(), events(1..=6));
    let (source, other) = source_and_other(PATH, &first, &second);
    let last_stop = source.requests("/kv-move").pop().unwrap().received_at;
    assert!(last_stop < resumed_at(other).unwrap());
}

/// Guards against a second engine beside one that cannot be told to stop, and still reports the
/// generation.
#[tokio::test]
async fn engine_that_cannot_move_is_left_once_it_does_not_report_the_generation() {
    let mut without_moves = patient_document();
    without_moves["services"][1]["engine"]["moves"] = json!(false);
    let is_running = Arc::new(AtomicBool::new(true));
    let reported = Arc::clone(&is_running);
    let (site, first, second) = engines(&without_moves, move |request, _| {
        match request.path.as_str() {
            PATH if is_resumption(request) => rest(request),
            PATH => lost_after_three(request),
            _ if reported.load(Ordering::SeqCst) => report(&["id-1"]),
            _ => report(&[]),
        }
    })
    .await;
    let stream = patient_caller(&site, PATH, "id-1", 14_000);
    let stream = tokio::spawn(async move { stream.send().await.unwrap().text().await });
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let (source, other) = source_and_other(PATH, &first, &second);
    assert_eq!(resumed_at(other), None);
    is_running.store(false, Ordering::SeqCst);
    assert_eq!(stream.await.unwrap().unwrap(), events(1..=6));
    assert!(resumed_at(other).is_some());
    assert!(source.requests("/kv-move").is_empty());
}

/// Shows the engine that runs the generation as draining.
fn drain_source(site: &Site, first: &Upstream) {
    let source = usize::from(first.requests(PATH).is_empty());
    site.list.lock().unwrap()[source]["state"] = json!("draining");
}

/// Guards against an engine that leaves, does not notice that its stream is closed, and works on
/// beside the engine that has taken over: `unstopped-run` of the review.
#[tokio::test]
async fn leaving_engine_is_told_to_stop_once_another_one_has_taken_over() {
    let (site, first, second) = engines(&patient_document(), |request, _| {
        match request.path.as_str() {
            PATH if is_resumption(request) => {
                let last: u64 = request.header("last-event-id").unwrap().parse().unwrap();
                vec![Reply::Bytes(sse(request.id(), last + 1..=90, true, true))]
            }
            PATH => steady(request, 90),
            "/kv-move" => json_answer("200 OK", &json!({"handle": "h7", "made": 3})),
            _ => report(&["id-1"]),
        }
    })
    .await;
    let sent = patient_caller(&site, PATH, "id-1", 14_000).send();
    let mut stream = sent.await.unwrap();
    let mut received = stream.chunk().await.unwrap().unwrap().to_vec();
    drain_source(&site, &first);
    while let Some(chunk) = stream.chunk().await.unwrap() {
        received.extend_from_slice(&chunk);
    }
    assert_eq!(String::from_utf8(received).unwrap(), events(1..=90));
    let (source, other) = source_and_other(PATH, &first, &second);
    wait_for("the engine is told to stop", || async {
        stopped_at(source).is_some()
    })
    .await;
    let overlap = stopped_at(source).unwrap() - resumed_at(other).unwrap();
    assert!(overlap <= OVERLAP_LIMIT, "told to stop after {overlap:?}");
}

/// Starts a stream at an engine that leaves and breaks off after `events`; its backup takes 1.5 s to
/// answer. Returns once the backup has been asked.
async fn asked_backup(events: u64) -> (Site, Upstream, Upstream, reqwest::Response) {
    let (site, first, second) = engines(&patient_document(), move |request, _| {
        match request.path.as_str() {
            PATH if is_resumption(request) => {
                let last: u64 = request.header("last-event-id").unwrap().parse().unwrap();
                vec![
                    Reply::Pause(Duration::from_millis(1_500)),
                    Reply::Bytes(sse(request.id(), last + 1..=90, true, true)),
                ]
            }
            PATH => {
                let mut replies = steady(request, events);
                replies.push(Reply::Close);
                replies
            }
            "/kv-move" => json_answer("200 OK", &json!({"handle": "h7", "made": 3})),
            _ => report(&["id-1"]),
        }
    })
    .await;
    let sent = patient_caller(&site, PATH, "id-1", 14_000).send();
    let mut stream = sent.await.unwrap();
    assert!(stream.chunk().await.unwrap().is_some());
    drain_source(&site, &first);
    while resumed_at(&first).or(resumed_at(&second)).is_none() {
        assert!(stream.chunk().await.unwrap().is_some());
    }
    (site, first, second, stream)
}

/// Guards against an engine that works on after its stream has broken off while its backup has been
/// asked, and may begin at any time.
#[tokio::test]
async fn engine_whose_stream_breaks_after_its_backup_was_asked_is_told_to_stop() {
    let (_site, first, second, mut stream) = asked_backup(40).await;
    let mut last = Vec::new();
    while let Some(chunk) = stream.chunk().await.unwrap() {
        last = chunk.to_vec();
    }
    assert!(last.ends_with(events(90..=90).as_bytes()));
    let (source, _) = source_and_other(PATH, &first, &second);
    assert!(stopped_at(source).is_some());
}

/// Guards against two engines that work on a generation whose caller has left while the second one
/// was asked.
#[tokio::test]
async fn engine_whose_caller_leaves_after_its_backup_was_asked_is_told_to_stop() {
    let (_site, first, second, stream) = asked_backup(80).await;
    drop(stream);
    let (source, _) = source_and_other(PATH, &first, &second);
    wait_for("the engine is told to stop", || async {
        stopped_at(source).is_some()
    })
    .await;
}
