//! Generations whose engine falls silent or whose migration fails, through a real entry process: an
//! engine that is sound keeps its stream until another one has taken the generation over.

mod site_support;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use site_support::{
    Reply, Request, Site, Upstream, call, client, document, events, is_resumption, json_answer,
    not_executed, patient_caller, source_and_other, sse, wait_for, wait_routable, with_header,
};

/// Time between an engine's notice and its shutdown; the shortest on the supported sites.
const NOTICE_MS: u64 = 1_500;
/// How long an engine may still be at work on a generation that has been resumed elsewhere.
const OVERLAP_LIMIT: Duration = Duration::from_millis(400);
/// Name of the memory that an engine keeps of a generation which it has stopped.
const HANDLE: &str = "h7";
/// How long after its deadline a caller may wait for the end of its stream.
const LATE_END_LIMIT: Duration = Duration::from_millis(500);

/// Starts two engines that each back up the generations of the other one. Returns them once the
/// entry uses both. `script` responds to the requests for `/stream/x`.
async fn engines_with_backups(
    script: impl Fn(&Request) -> Vec<Reply> + Clone + Send + Sync + 'static,
) -> (Site, Upstream, Upstream) {
    engines_with_backups_for(&document(1), script).await
}

/// Starts such engines and an entry with a document.
async fn engines_with_backups_for(
    document: &Value,
    script: impl Fn(&Request) -> Vec<Reply> + Clone + Send + Sync + 'static,
) -> (Site, Upstream, Upstream) {
    site_support::engines_with_backups(document, move |request| match request.path.as_str() {
        "/stream/x" => script(request),
        "/kv-move" => json_answer("200 OK", &json!({"handle": HANDLE, "made": 3})),
        // More events than the entry has received: the connection is dead.
        "/report" => json_answer("200 OK", &json!({"runs": [["id-1", 100, 5, 5]]})),
        _ => vec![Reply::Bytes(sse(request.id(), 1..=1, true, true))],
    })
    .await
}

/// Returns how often the engines were asked to resume the generation.
fn resumptions(engines: &[&Upstream]) -> usize {
    let requests = engines
        .iter()
        .flat_map(|engine| engine.requests("/stream/x"));
    requests.filter(is_resumption).count()
}

fn abandoned(engines: &[&Upstream]) -> u32 {
    let counts = engines
        .iter()
        .map(|engine| *engine.abandoned.lock().unwrap());
    counts.sum()
}

/// Returns the requests that ask an engine to resume the generation, with the copy that each names.
fn resumed_copies(engine: &Upstream) -> Vec<String> {
    let requests = engine.requests("/stream/x");
    let copies = requests
        .iter()
        .filter_map(|request| request.header("kv-from"));
    copies.map(str::to_owned).collect()
}

/// Guards against losing the generation of an engine whose connection is dead, if the engine with the
/// backup copy refuses after it was stopped.
#[tokio::test]
async fn stream_of_a_silent_engine_goes_on_if_its_backup_refuses() {
    let (site, first, second) = engines_with_backups(|request| {
        let own_memory = format!("{}/{HANDLE}", own_port(request));
        match request.header("kv-from") {
            None => vec![
                Reply::Bytes(sse(request.id(), 1..=3, true, false)),
                Reply::AwaitClose,
            ],
            Some(copy) if copy.ends_with(&own_memory) => {
                vec![Reply::Bytes(sse(request.id(), 4..=6, true, true))]
            }
            Some(_) => not_executed(request),
        }
    })
    .await;
    let response = call(&site, "/stream/x", "id-1").await;
    assert_eq!(response.text().await.unwrap(), events(1..=6));
    let (source, other) = source_and_other("/stream/x", &first, &second);
    let moved = format!("{}/{HANDLE}", source.address);
    let backup = format!("{}/id-1", other.address);
    assert_eq!(resumed_copies(other), [moved.clone(), backup]);
    assert_eq!(resumed_copies(source), [moved]);
    assert_eq!(abandoned(&[&first, &second]), 1);
}

/// Returns the port of the engine that a request is for.
fn own_port(request: &Request) -> &str {
    let identity = request.header("x-lilacspindle-expected-instance");
    identity.unwrap_or_default().trim_start_matches("i-")
}

/// Guards against two engines at work on one generation, and against events that are repeated or
/// missing, when the backup takes over from a silent engine.
#[tokio::test]
async fn silent_engine_is_left_once_its_backup_has_accepted() {
    let (site, first, second) = engines_with_backups(|request| {
        let id = request.id();
        if is_resumption(request) {
            return vec![
                Reply::Bytes(sse(id, 3..=4, true, false)),
                Reply::Pause(OVERLAP_LIMIT),
                Reply::Bytes(sse(id, 5..=6, false, true)),
            ];
        }
        vec![Reply::Bytes(sse(id, 1..=3, true, false)), Reply::AwaitClose]
    })
    .await;
    let mut stream = call(&site, "/stream/x", "id-1").await;
    let mut text = String::new();
    while let Some(chunk) = stream.chunk().await.unwrap() {
        text.push_str(std::str::from_utf8(&chunk).unwrap());
        if text.contains("id: 5") {
            // The resumed generation has been running for this long.
            assert_eq!(abandoned(&[&first, &second]), 1);
        }
    }
    assert_eq!(text, events(1..=6));
    assert_eq!(resumptions(&[&first, &second]), 1);
}

/// Guards against a stream that is lost although its engine has gone on while another one does not
/// answer, and against a request for its resumption that stays open after the end.
#[tokio::test]
async fn engine_that_speaks_again_keeps_its_stream() {
    let (site, first, second) = engines_with_backups(|request| {
        if is_resumption(request) {
            return vec![Reply::AwaitClose];
        }
        vec![
            Reply::Bytes(sse(request.id(), 1..=3, true, false)),
            Reply::Pause(Duration::from_millis(700)),
            Reply::Bytes(sse(request.id(), 4..=6, false, false)),
            Reply::Pause(Duration::from_millis(1_300)),
            Reply::Bytes(sse(request.id(), 7..=7, false, true)),
        ]
    })
    .await;
    let mut stream = call(&site, "/stream/x", "id-1").await;
    let mut text = String::new();
    while let Some(chunk) = stream.chunk().await.unwrap() {
        source_and_other("/stream/x", &first, &second)
            .0
            .refuse_connections();
        text.push_str(std::str::from_utf8(&chunk).unwrap());
    }
    assert_eq!(text, events(1..=7));
    assert_eq!(resumptions(&[&first, &second]), 1);
    wait_for("the other engine is left", || async {
        abandoned(&[&first, &second]) == 1
    })
    .await;
}

/// Guards against two engines that run one generation: the silent one speaks again after the other
/// one has begun, but before that has answered.
#[tokio::test]
async fn engine_that_speaks_again_is_left_once_another_one_has_accepted() {
    let (site, first, second) = engines_with_backups(|request| {
        if is_resumption(request) {
            // It takes over before both have worked for `OVERLAP_LIMIT`.
            return vec![
                Reply::Pause(Duration::from_millis(200)),
                Reply::Bytes(sse(request.id(), 4..=7, true, true)),
            ];
        }
        vec![
            Reply::Bytes(sse(request.id(), 1..=3, true, false)),
            Reply::Pause(Duration::from_millis(640)),
            Reply::Bytes(sse(request.id(), 4..=5, false, false)),
            Reply::AwaitClose,
        ]
    })
    .await;
    let stream = call(&site, "/stream/x", "id-1").await;
    source_and_other("/stream/x", &first, &second)
        .0
        .refuse_connections();
    assert_eq!(stream.text().await.unwrap(), events(1..=7));
    wait_for("the first engine is left", || async {
        abandoned(&[&first, &second]) == 1
    })
    .await;
    assert_eq!(resumptions(&[&first, &second]), 1);
}

/// Guards against taking an engine for silent that repeats events which the caller has, since its
/// copy is older.
#[tokio::test]
async fn engine_that_repeats_events_is_not_silent() {
    let (site, first, second) = engines_with_backups(|request| {
        let id = request.id();
        if !is_resumption(request) {
            return vec![Reply::Bytes(sse(id, 1..=20, true, false)), Reply::Close];
        }
        let mut replies = vec![Reply::Bytes(sse(id, 1..=1, true, false))];
        for event in 2..=20 {
            replies.push(Reply::Pause(Duration::from_millis(50)));
            replies.push(Reply::Bytes(sse(id, event..=event, false, false)));
        }
        replies.push(Reply::Bytes(sse(id, 21..=21, false, true)));
        replies
    })
    .await;
    let stream = call(&site, "/stream/x", "id-1").await;
    assert_eq!(stream.text().await.unwrap(), events(1..=21));
    assert_eq!(resumptions(&[&first, &second]), 1);
}

/// Guards against cutting off an engine that leaves, and could still end its stream, before the
/// engine with the backup copy has accepted the generation.
#[tokio::test]
async fn stream_of_a_leaving_engine_goes_on_if_its_backup_refuses() {
    let (site, first, second) = engines_with_backups(|request| {
        if is_resumption(request) {
            return not_executed(request);
        }
        let event = |id| {
            [
                Reply::Bytes(sse(request.id(), id..=id, false, false)),
                Reply::Pause(Duration::from_millis(100)),
            ]
        };
        let mut replies = vec![Reply::Bytes(sse(request.id(), 1..=1, true, false))];
        replies.extend((2..=20).flat_map(event));
        replies.push(Reply::Bytes(sse(request.id(), 21..=21, false, true)));
        replies
    })
    .await;
    let mut stream = call(&site, "/stream/x", "id-1").await;
    let mut received = stream.chunk().await.unwrap().unwrap().to_vec();
    let source = usize::from(first.requests("/stream/x").is_empty());
    site.list.lock().unwrap()[source]["state"] = json!("draining");
    while let Some(chunk) = stream.chunk().await.unwrap() {
        received.extend_from_slice(&chunk);
    }
    assert_eq!(String::from_utf8(received).unwrap(), events(1..=21));
    assert_eq!(resumptions(&[&first, &second]), 1);
}

/// Guards against losing the stream of an engine that leaves because its backup does not answer, and
/// against leaving an engine that has been asked and may begin the generation at any time.
#[tokio::test]
async fn stream_of_a_leaving_engine_goes_on_if_its_backup_is_silent() {
    let (site, first, second) = engines_with_backups(|request| {
        if is_resumption(request) {
            return vec![Reply::AwaitClose];
        }
        let event = |event| {
            [
                Reply::Pause(Duration::from_millis(50)),
                Reply::Bytes(sse(request.id(), event..=event, false, false)),
            ]
        };
        let mut replies = vec![Reply::Bytes(sse(request.id(), 1..=1, true, false))];
        replies.extend((2..=50).flat_map(event));
        replies.push(Reply::Record("end"));
        replies.push(Reply::Bytes(sse(request.id(), 51..=51, false, true)));
        replies
    })
    .await;
    let mut stream = call(&site, "/stream/x", "id-1").await;
    let mut received = stream.chunk().await.unwrap().unwrap().to_vec();
    let source = usize::from(first.requests("/stream/x").is_empty());
    site.list.lock().unwrap()[source]["state"] = json!("draining");
    let engines = [&first, &second];
    while let Some(chunk) = stream.chunk().await.unwrap() {
        received.extend_from_slice(&chunk);
        // The entry may have read the end of the stream before this check of its last events.
        let was_left = abandoned(&engines) > 0;
        let has_ended = engines.iter().any(|engine| !engine.times("end").is_empty());
        assert!(!was_left || has_ended, "an engine was left before the end");
    }
    assert_eq!(String::from_utf8(received).unwrap(), events(1..=51));
    assert_eq!(resumptions(&engines), 1);
    wait_for("the other engine is left", || async {
        abandoned(&engines) == 1
    })
    .await;
}

/// Guards against giving up a stream while the only engine that can go on is silent for a while.
#[tokio::test]
async fn broken_stream_waits_for_a_silent_backup() {
    let (site, first, second) = engines_with_backups(|request| {
        if is_resumption(request) {
            return vec![
                Reply::Pause(Duration::from_millis(1_500)),
                Reply::Bytes(sse(request.id(), 4..=5, true, true)),
            ];
        }
        vec![
            Reply::Bytes(sse(request.id(), 1..=3, true, false)),
            Reply::Close,
        ]
    })
    .await;
    let stream = call(&site, "/stream/x", "id-1").await;
    assert_eq!(stream.text().await.unwrap(), events(1..=5));
    assert_eq!(resumptions(&[&first, &second]), 1);
}

/// Guards against a caller that waits past its deadline for an engine to resume its generation.
#[tokio::test]
async fn resumption_ends_at_the_deadline_of_the_request() {
    let (site, _first, _second) = engines_with_backups(|request| {
        if is_resumption(request) {
            return vec![Reply::AwaitClose];
        }
        let id = request.id();
        vec![
            Reply::Bytes(sse(id, 1..=1, true, false)),
            Reply::Pause(Duration::from_millis(450)),
            Reply::Bytes(sse(id, 2..=2, false, false)),
            Reply::Pause(Duration::from_millis(450)),
            Reply::Close,
        ]
    })
    .await;
    let deadline_ms = 1_000;
    let sent_at = Instant::now();
    let request = patient_caller(&site, "/stream/x", "id-1", deadline_ms);
    let response = request.send().await.unwrap();
    assert!(response.bytes().await.is_err());
    let took = sent_at.elapsed();
    assert!(
        took <= Duration::from_millis(deadline_ms) + LATE_END_LIMIT,
        "the stream ended after {took:?}"
    );
}

/// Starts a stream at an engine without backups, which announces its shutdown and is stopped for
/// the migration of the generation. `on_stop` and `on_resumption` respond to the calls that stop it
/// and that resume it at the source, `at_target` to its resumption at the target. Returns the whole
/// stream, the source and the target.
async fn stream_of_stopped_engine(
    on_stop: impl Fn(u32) -> Vec<Reply> + Send + Sync + 'static,
    on_resumption: impl Fn(&Request) -> Vec<Reply> + Send + Sync + 'static,
    at_target: impl Fn(&Request) -> Vec<Reply> + Send + Sync + 'static,
) -> (Result<String, String>, Upstream, Upstream) {
    stream_of_stopped_engine_in("z1", None, on_stop, on_resumption, at_target).await
}

/// Does the same with a target in a zone. `evacuated` is evacuated before the engine announces its
/// shutdown.
async fn stream_of_stopped_engine_in(
    target_zone: &str,
    evacuated: Option<&str>,
    on_stop: impl Fn(u32) -> Vec<Reply> + Send + Sync + 'static,
    on_resumption: impl Fn(&Request) -> Vec<Reply> + Send + Sync + 'static,
    at_target: impl Fn(&Request) -> Vec<Reply> + Send + Sync + 'static,
) -> (Result<String, String>, Upstream, Upstream) {
    let mut without_copies = document(1);
    without_copies["services"][1]["engine"]["backups"] = json!(false);
    without_copies["routes"][2]["timeoutMs"] = json!(10_000);
    let mut site = Site::serving(&without_copies).await;
    let leaving = Arc::new(AtomicBool::new(false));
    let notice = Arc::clone(&leaving);
    let stops = AtomicU32::new(0);
    let report = json!({"kvCacheUsed": 4_000, "kvCacheTotal": 34_000});
    let calm = report.clone();
    let source = move |request: &Request| match request.path.as_str() {
        "/report" => {
            let mut report = report.clone();
            if notice.load(Ordering::SeqCst) {
                report["leaves_ms"] = json!(NOTICE_MS);
            }
            json_answer("200 OK", &report)
        }
        "/kv-move" if serde_json::from_slice::<Value>(&request.body).unwrap()["last"] == true => {
            on_stop(stops.fetch_add(1, Ordering::SeqCst))
        }
        "/kv-move" => json_answer("200 OK", &json!({"handle": "h7", "made": 3})),
        "/stream/x" if is_resumption(request) => on_resumption(request),
        "/stream/x" => vec![
            Reply::Bytes(sse(request.id(), 1..=3, true, false)),
            Reply::Pause(Duration::from_millis(NOTICE_MS)),
            Reply::Close,
        ],
        _ => vec![Reply::Bytes(sse(request.id(), 1..=1, true, true))],
    };
    let source = site.upstream("model", source).await;
    wait_routable(&site, "/stream/warm").await;
    site.start_sidecar(&source);
    let request = patient_caller(&site, "/stream/x", "id-1", 9_000);
    let mut stream = request.send().await.unwrap();
    let mut received = stream.chunk().await.unwrap().unwrap().to_vec();
    let target = site
        .upstream("model", move |request: &Request| {
            match request.path.as_str() {
                "/report" => json_answer("200 OK", &calm),
                "/stream/x" => at_target(request),
                _ => vec![Reply::Bytes(sse(request.id(), 1..=1, true, true))],
            }
        })
        .await;
    if let Some(entry) = site.list.lock().unwrap().last_mut() {
        entry["zone"] = json!(target_zone);
    }
    if let Some(zone) = evacuated {
        let url = site.operator_url(1, &format!("/Evacuation.Start/{zone}"));
        assert_eq!(client().post(url).send().await.unwrap().status(), 200);
    }
    leaving.store(true, Ordering::SeqCst);
    let result = loop {
        match stream.chunk().await {
            Ok(Some(chunk)) => received.extend_from_slice(&chunk),
            Ok(None) => break Ok(String::from_utf8(received).unwrap()),
            Err(error) => break Err(format!("{error:?}")),
        }
    };
    (result, source, target)
}

fn rest_of_stream(request: &Request) -> Vec<Reply> {
    vec![Reply::Bytes(sse(request.id(), 4..=5, true, true))]
}

/// Guards against a stream that is lost because the only engine that can go on asks for time.
#[tokio::test]
async fn generation_whose_engine_asks_for_time_goes_on_there() {
    let (stream, source, _target) = stream_of_stopped_engine(
        |_| {
            let failure = json_answer("503 Service Unavailable", &json!({"handle": "h7"}));
            with_header(failure, "Retry-After: 2")
        },
        rest_of_stream,
        not_executed,
    )
    .await;
    assert_eq!(stream.unwrap(), events(1..=5));
    assert_resumed_at(&source);
}

/// Asserts that the engine that was stopped got the generation back, from the memory it had kept.
fn assert_resumed_at(source: &Upstream) {
    let requests = source.requests("/stream/x");
    let resumed: Vec<&Request> = requests.iter().filter(|r| is_resumption(r)).collect();
    assert_eq!(resumed.len(), 1);
    let copy = format!("{}/h7", source.address);
    assert_eq!(resumed[0].header("kv-from"), Some(copy.as_str()));
    assert_eq!(resumed[0].header("last-event-id"), Some("3"));
}

/// Guards against losing a generation whose last copy finds no room at the target after the engine
/// has stopped it.
#[tokio::test]
async fn generation_whose_last_copy_fails_goes_on_at_its_engine() {
    let (stream, source, target) = stream_of_stopped_engine(
        |_| json_answer("503 Service Unavailable", &json!({"handle": "h7"})),
        rest_of_stream,
        not_executed,
    )
    .await;
    assert_eq!(stream.unwrap(), events(1..=5));
    assert_resumed_at(&source);
    assert!(target.requests("/stream/x").is_empty());
}

/// Guards against losing a generation whose copy the target refuses after the migration.
#[tokio::test]
async fn generation_that_its_target_refuses_goes_on_at_its_engine() {
    let (stream, source, target) = stream_of_stopped_engine(
        |_| json_answer("200 OK", &json!({"handle": "h7", "made": 3})),
        rest_of_stream,
        not_executed,
    )
    .await;
    assert_eq!(stream.unwrap(), events(1..=5));
    assert_resumed_at(&source);
    assert_eq!(target.requests("/stream/x").len(), 1);
}

/// Guards against a generation that returns to its engine although the zone was evacuated. It ends
/// without its end, as no other engine is left.
#[tokio::test]
async fn stopped_generation_does_not_return_to_an_evacuated_zone() {
    let (stream, source, target) = stream_of_stopped_engine_in(
        "z2",
        Some("z1"),
        |_| json_answer("200 OK", &json!({"handle": "h7", "made": 3})),
        rest_of_stream,
        not_executed,
    )
    .await;
    assert!(stream.is_err(), "{stream:?}");
    assert_eq!(target.requests("/stream/x").len(), 1);
    let requests = source.requests("/stream/x");
    assert!(!requests.iter().any(is_resumption));
}

/// Guards against a generation that cannot be moved out of an evacuated zone.
#[tokio::test]
async fn generation_moves_out_of_an_evacuated_zone() {
    let (stream, source, target) = stream_of_stopped_engine_in(
        "z2",
        Some("z1"),
        |_| json_answer("200 OK", &json!({"handle": "h7", "made": 3})),
        not_executed,
        rest_of_stream,
    )
    .await;
    assert_eq!(stream.unwrap(), events(1..=5));
    assert_eq!(target.requests("/stream/x").len(), 1);
    assert_eq!(source.requests("/stream/x").len(), 1);
}

/// Guards against losing a generation with the response to the call that stopped it.
#[tokio::test]
async fn lost_response_to_the_last_copy_is_asked_for_again() {
    let (stream, _source, target) = stream_of_stopped_engine(
        |stops| match stops {
            0 => vec![Reply::Close],
            _ => json_answer("200 OK", &json!({"handle": "h7", "made": 3})),
        },
        not_executed,
        rest_of_stream,
    )
    .await;
    assert_eq!(stream.unwrap(), events(1..=5));
    assert_eq!(target.requests("/stream/x").len(), 1);
}

/// Returns the response to a request that streams events 1 to 80, 50 ms apart.
fn steady_stream(request: &Request) -> Vec<Reply> {
    let mut replies = vec![Reply::Bytes(sse(request.id(), 1..=1, true, false))];
    for event in 2..=80 {
        replies.push(Reply::Pause(Duration::from_millis(50)));
        replies.push(Reply::Bytes(sse(request.id(), event..=event, false, false)));
    }
    replies.push(Reply::Bytes(sse(request.id(), 81..=81, false, true)));
    replies
}

/// Guards against generations that run twice because the entry was held up: the events of working
/// engines have arrived, but it has not read them when it finds that time has passed.
#[tokio::test]
async fn frozen_entry_does_not_resume_generations_of_working_engines() {
    let mut patient = document(1);
    patient["routes"][2]["timeoutMs"] = json!(15_000);
    let (site, first, second) =
        engines_with_backups_for(&patient, |request| match is_resumption(request) {
            true => vec![Reply::AwaitClose],
            false => steady_stream(request),
        })
        .await;
    let streams: Vec<_> = (0..3)
        .map(|number| patient_caller(&site, "/stream/x", &format!("id-{number}"), 12_000).send())
        .map(tokio::spawn)
        .collect();
    tokio::time::sleep(Duration::from_millis(800)).await;
    for _ in 0..2 {
        site.signal("entry-1", "STOP");
        tokio::time::sleep(Duration::from_millis(900)).await;
        site.signal("entry-1", "CONT");
        tokio::time::sleep(Duration::from_millis(400)).await;
    }
    for stream in streams {
        let response = stream.await.unwrap().unwrap();
        let text = response.text().await.unwrap();
        assert!(
            text == events(1..=81),
            "{}",
            &text[text.len().saturating_sub(300)..]
        );
    }
    assert_eq!(resumptions(&[&first, &second]), 0);
}
