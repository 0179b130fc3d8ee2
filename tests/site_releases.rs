//! Silent and leaving engines that are checked before another one is asked: what the check finds, and
//! what happens while it runs.

mod site_support;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::Duration;

use lilacspindle::platform::{CallFailure, Liveness, check_liveness, move_generation};
use serde_json::{Value, json};
use tokio::sync::Notify;

use site_support::{
    Reply, Request, Site, Upstream, document, engines_with_backups, events, is_resumption,
    json_answer, not_executed, patient_caller, sse,
};

const STEP: Duration = Duration::from_millis(50);

fn warm(request: &Request) -> Vec<Reply> {
    vec![Reply::Bytes(sse(request.id(), 1..=1, true, true))]
}
async fn engines(
    script: impl Fn(&Request) -> Vec<Reply> + Clone + Send + Sync + 'static,
) -> (Site, Upstream, Upstream) {
    let mut patient = document(1);
    patient["routes"][2]["timeoutMs"] = json!(15_000);
    engines_with_backups(&patient, script).await
}
async fn stream(site: &Site, after_first: impl FnOnce()) -> Result<String, String> {
    let sent = patient_caller(site, "/stream/x", "id-1", 12_000).send();
    let mut stream = sent.await.unwrap();
    let mut received = stream.chunk().await.unwrap().unwrap().to_vec();
    after_first();
    loop {
        match stream.chunk().await {
            Ok(Some(chunk)) => received.extend_from_slice(&chunk),
            Ok(None) => return Ok(String::from_utf8(received).unwrap()),
            Err(error) => return Err(format!("{error} after {} bytes", received.len())),
        }
    }
}
/// Returns the report of an engine that has made events which the entry has not received: its
/// connection is dead.
fn report_of_later_events() -> Vec<Reply> {
    json_answer("200 OK", &json!({"runs": [["id-1", 100, 5, 5]]}))
}

/// Guards against a stream without an explicit end that looks complete, as its engine was told to
/// stop it and has not answered.
#[tokio::test]
async fn stream_that_was_stopped_without_a_response_is_not_complete() {
    let stops = Arc::new(AtomicU32::new(0));
    let (site, _first, _second) = engines(move |request| match request.path.as_str() {
        "/stream/x" if is_resumption(request) => {
            vec![Reply::Bytes(sse(request.id(), 4..=6, true, true))]
        }
        "/stream/x" => {
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\
                X-Lilacspindle-Request-Id: {}\r\nX-Lilacspindle-Response-Seal: seal\r\n\r\n{}",
                request.id(),
                events(1..=3)
            );
            vec![
                Reply::Bytes(head.into_bytes()),
                Reply::Pause(Duration::from_millis(900)),
                Reply::Close,
            ]
        }
        "/kv-move" => match stops.fetch_add(1, Ordering::SeqCst) {
            0..=1 => vec![Reply::Close],
            // Only now it is known that the engine does not work on.
            _ => json_answer("404 Not Found", &json!({})),
        },
        "/report" => report_of_later_events(),
        _ => warm(request),
    })
    .await;
    let text = stream(&site, || {}).await;
    assert_eq!(text, Ok(events(1..=6)));
}

/// Guards against losing a stream that breaks off while its backup, which is late, is checked.
#[tokio::test]
async fn stream_that_breaks_during_the_check_of_a_late_backup_goes_on() {
    let is_late = Arc::new(AtomicBool::new(false));
    let backup_is_late = Arc::clone(&is_late);
    let (site, first, _second) = engines(move |request| match request.path.as_str() {
        "/stream/x" if is_resumption(request) => {
            let last: u64 = request.header("last-event-id").unwrap().parse().unwrap();
            vec![
                Reply::Pause(Duration::from_millis(300)),
                Reply::Bytes(sse(request.id(), last + 1..=40, true, true)),
            ]
        }
        "/stream/x" => {
            let mut replies = vec![Reply::Bytes(sse(request.id(), 1..=1, true, false))];
            for event in 2..=26 {
                replies.push(Reply::Pause(STEP));
                replies.push(Reply::Bytes(sse(request.id(), event..=event, false, false)));
            }
            replies.push(Reply::Close);
            replies
        }
        "/kv-move" => json_answer("404 Not Found", &json!({})),
        "/report" if backup_is_late.load(Ordering::SeqCst) => {
            let mut replies = vec![Reply::Pause(Duration::from_millis(600))];
            replies.extend(json_answer(
                "200 OK",
                &json!({"kvCacheUsed": 4_000, "kvCacheTotal": 34_000}),
            ));
            replies
        }
        _ => warm(request),
    })
    .await;
    let text = stream(&site, || {
        is_late.store(true, Ordering::SeqCst);
        let source = usize::from(first.requests("/stream/x").is_empty());
        site.list.lock().unwrap()[source]["state"] = json!("draining");
    })
    .await;
    assert_eq!(text, Ok(events(1..=40)));
}

/// Guards against stopping a generation that only pauses, as after a preemption, while its engine
/// responds to calls.
#[tokio::test]
async fn generation_that_pauses_is_not_stopped() {
    let (site, first, second) = engines(|request| match request.path.as_str() {
        "/stream/x" if is_resumption(request) => not_executed(request),
        "/stream/x" => vec![
            Reply::Bytes(sse(request.id(), 1..=3, true, false)),
            Reply::Pause(Duration::from_millis(700)),
            Reply::Bytes(sse(request.id(), 4..=6, false, true)),
        ],
        "/kv-move" => json_answer(
            "503 Service Unavailable",
            &json!({"handle": "h7", "made": 3}),
        ),
        "/report" => json_answer("200 OK", &json!({"runs": [["id-1", 100, 3, 5]]})),
        _ => warm(request),
    })
    .await;
    let text = stream(&site, || {}).await;
    assert_eq!(text, Ok(events(1..=6)));
    for engine in [&first, &second] {
        assert!(engine.requests("/kv-move").is_empty());
        assert!(!engine.requests("/stream/x").iter().any(is_resumption));
    }
}

/// Guards against two engines that work on one generation: the one that leaves is held up while the
/// other one is checked.
#[tokio::test]
async fn leaving_engine_that_stalls_during_the_check_does_not_work_beside_the_backup() {
    let (site, first, second) = engines(|request| match request.path.as_str() {
        "/stream/x" => {
            let last: u64 = request
                .header("last-event-id")
                .map_or(0, |last| last.parse().unwrap());
            let mut replies = vec![Reply::Record("begin")];
            for event in last + 1..=61 {
                replies.push(Reply::Record("event"));
                replies.push(Reply::Bytes(sse(
                    request.id(),
                    event..=event,
                    event == last + 1,
                    event == 61,
                )));
                replies.push(Reply::Pause(STEP));
                if !is_resumption(request) && event == 25 {
                    replies.push(Reply::Pause(Duration::from_millis(1_500)));
                }
            }
            replies
        }
        "/report" => {
            let mut replies = vec![Reply::Pause(Duration::from_millis(200))];
            replies.extend(warm(request));
            replies
        }
        _ => warm(request),
    })
    .await;
    let text = stream(&site, || {
        let source = usize::from(first.requests("/stream/x").is_empty());
        site.list.lock().unwrap()[source]["state"] = json!("draining");
    })
    .await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert_eq!(text, Ok(events(1..=61)));
    for (engine, other) in [(&first, &second), (&second, &first)] {
        for begun in engine.times("begin") {
            let before = other.times("begin").iter().any(|at| *at < begun);
            let late: Vec<u128> = other
                .times("event")
                .into_iter()
                .filter(|at| before && *at > begun + Duration::from_millis(400))
                .map(|at| (at - begun).as_millis())
                .collect();
            assert!(
                late.is_empty(),
                "events of the engine before at {late:?} ms after the begin"
            );
        }
    }
}

/// Guards against taking a process for unreachable that is held up while its queue of new connections
/// is full.
#[tokio::test]
async fn held_up_process_with_a_full_backlog_is_not_unreachable() {
    let socket = tokio::net::TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(100).unwrap();
    let address = listener.local_addr().unwrap();
    // Nothing is accepted: the process is held up. Each caller checks once and gives up.
    for check in 0..130 {
        let liveness = check_liveness(address, Duration::from_millis(5)).await;
        assert_eq!(liveness, Liveness::Late, "check {check}");
    }
}

/// Guards against avoiding an engine that closes a stream because it was told to stop it.
#[tokio::test]
async fn engine_that_obeys_a_stop_is_not_excluded() {
    let (site, _first, _second) = engines(|request| match request.path.as_str() {
        "/stream/x" if is_resumption(request) => {
            vec![Reply::Bytes(sse(request.id(), 4..=6, true, true))]
        }
        "/stream/x" => vec![
            Reply::Bytes(sse(request.id(), 1..=3, true, false)),
            Reply::Pause(Duration::from_millis(650)),
            Reply::Close,
        ],
        "/kv-move" => {
            let mut replies = vec![Reply::Pause(Duration::from_millis(300))];
            replies.extend(json_answer("200 OK", &json!({"handle": "h7", "made": 3})));
            replies
        }
        "/report" => report_of_later_events(),
        _ => warm(request),
    })
    .await;
    let text = stream(&site, || {}).await;
    assert_eq!(text, Ok(events(1..=6)));
    let excluded = site.log_lines("entry-1", "temporarily excluded");
    assert!(excluded.is_empty(), "{excluded:?}");
}

/// Guards against two engines that work on one generation after the response to its resumption was
/// lost: the engine that was asked may have begun it.
#[tokio::test]
async fn engine_whose_response_was_lost_is_told_to_stop() {
    let (site, first, second) = engines(|request| match request.path.as_str() {
        "/stream/x" if is_resumption(request) => {
            vec![
                Reply::Bytes(sse("another-id", 2..=2, true, false)),
                Reply::AwaitClose,
            ]
        }
        "/stream/x" => {
            let mut replies = vec![Reply::Bytes(sse(request.id(), 1..=1, true, false))];
            for event in 2..=40 {
                replies.push(Reply::Pause(STEP));
                replies.push(Reply::Bytes(sse(
                    request.id(),
                    event..=event,
                    false,
                    event == 40,
                )));
            }
            replies
        }
        "/kv-move" => json_answer("404 Not Found", &json!({})),
        _ => warm(request),
    })
    .await;
    let text = stream(&site, || {
        let source = usize::from(first.requests("/stream/x").is_empty());
        site.list.lock().unwrap()[source]["state"] = json!("draining");
    })
    .await;
    assert_eq!(text, Ok(events(1..=40)));
    let asked = [&first, &second]
        .into_iter()
        .find(|engine| engine.requests("/stream/x").iter().any(is_resumption))
        .unwrap();
    let stops = asked.requests("/kv-move");
    let call: Value = serde_json::from_slice(&stops[0].body).unwrap();
    assert_eq!(
        (&call["identifier"], &call["last"]),
        (&json!("id-1"), &json!(true))
    );
}

/// Guards against a handle, or a sign of life, that is taken from a response without a final status.
#[tokio::test]
async fn call_answered_without_a_final_status_has_failed() {
    for status in [
        "101 Switching Protocols",
        "600 High",
        "700 High",
        "999 High",
    ] {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let handle = json!({"handle": "h7", "made": 3});
        let engine = Upstream::serving(listener, move |_| json_answer(status, &handle));
        let (address, limit) = (engine.address, Duration::from_secs(2));
        let failure = move_generation(address, "id-1", address, true, limit)
            .await
            .unwrap_err();
        assert!(matches!(failure.cause, CallFailure::Failed(_)), "{failure}");
        assert_eq!(failure.handle, None, "{status}");
        assert_eq!(
            check_liveness(address, limit).await,
            Liveness::Late,
            "{status}"
        );
    }
}

/// Guards against a generation that is resumed while its engine may be held up with a full queue of
/// new connections, and against one that waits in vain for an engine whose machine is lost.
#[tokio::test]
async fn engine_that_ignores_connections_is_left_once_it_is_not_listed() {
    let (site, first, second) = engines(|request| match request.path.as_str() {
        "/stream/x" if is_resumption(request) => {
            vec![Reply::Bytes(sse(request.id(), 4..=6, true, true))]
        }
        "/stream/x" => vec![
            Reply::Bytes(sse(request.id(), 1..=3, true, false)),
            Reply::AwaitClose,
        ],
        _ => warm(request),
    })
    .await;
    let (began, is_delisted) = (Notify::new(), AtomicBool::new(false));
    let lose = async {
        began.notified().await;
        let is_first = !first.requests("/stream/x").is_empty();
        let (source, backup) = match is_first {
            true => (&first, &second),
            false => (&second, &first),
        };
        let _queue = source.ignore_connections().await;
        tokio::time::sleep(Duration::from_millis(2_600)).await;
        let asked = backup.requests("/stream/x");
        assert!(asked.is_empty(), "resumed while the engine is listed");
        site.list.lock().unwrap().remove(usize::from(!is_first));
        is_delisted.store(true, Ordering::SeqCst);
        std::future::pending::<()>().await;
    };
    let text = tokio::select! {
        text = stream(&site, || began.notify_one()) => text,
        () = lose => unreachable!(),
    };
    assert!(
        is_delisted.load(Ordering::SeqCst),
        "{text:?} while the engine is listed"
    );
    assert_eq!(text, Ok(events(1..=6)));
}
