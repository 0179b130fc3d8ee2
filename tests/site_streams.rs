//! Event streams through a real entry process: relayed, resumed at another engine, and aborted.

mod site_support;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use serde_json::{Value, json};

use site_support::{
    Reply, Request, Site, Upstream, answer, call, document, patient_caller, sse, wait_for,
    wait_routable,
};

/// Guards against events that are delayed, reassembled wrongly or lost.
#[tokio::test]
async fn stream_is_relayed_event_by_event() {
    let mut site = Site::serving(&document(1)).await;
    let _upstream = site
        .upstream("model", |request: &Request| {
            let id = request.id();
            let rest = sse(id, 2..=3, false, true);
            let (a, b) = rest.split_at(11);
            vec![
                Reply::Bytes(sse(id, 1..=1, true, false)),
                Reply::Pause(Duration::from_millis(300)),
                Reply::Bytes(a.to_vec()),
                Reply::Pause(Duration::from_millis(50)),
                Reply::Bytes(b.to_vec()),
            ]
        })
        .await;
    wait_routable(&site, "/stream/x").await;
    let mut stream = call(&site, "/stream/x", "id-1").await;
    assert_eq!(
        stream.chunk().await.unwrap().unwrap(),
        "id: 1\ndata: piece 1\n\n"
    );
    let mut rest = Vec::new();
    while let Some(chunk) = stream.chunk().await.unwrap() {
        rest.extend_from_slice(&chunk);
    }
    assert_eq!(rest, b"id: 2\ndata: piece 2\n\nid: 3\ndata: piece 3\n\n");
}

/// Guards against losing a generation with its engine although another engine holds a backup of its
/// KV cache, and against events that are repeated or missing where the stream is resumed.
#[tokio::test]
async fn broken_stream_is_resumed_from_its_backup() {
    let mut site = Site::serving(&document(1)).await;
    let script = |request: &Request| {
        let id = request.id();
        match request.header("kv-from") {
            // The engine has dropped the generation with its connection.
            _ if request.path == "/kv-move" => {
                vec![Reply::Bytes(answer("404 Not Found", &[], b"{}"))]
            }
            _ if request.path != "/stream/x" => vec![Reply::Bytes(sse(id, 1..=1, true, true))],
            None => vec![Reply::Bytes(sse(id, 1..=3, true, false)), Reply::Close],
            // The engine may repeat events that were sent before.
            Some(_) => vec![Reply::Bytes(sse(id, 3..=5, true, true))],
        }
    };
    let first = site.upstream("model", script).await;
    let second = site.upstream("model", script).await;
    wait_for("both engines are known", || async {
        let _ = call(&site, "/stream/warm", "warm").await.bytes().await;
        let all = || {
            first
                .requests("/stream/warm")
                .into_iter()
                .chain(second.requests("/stream/warm"))
        };
        all().any(|request| request.header("x-lilacspindle-cache-backup").is_some())
    })
    .await;
    let got = call(&site, "/stream/x", "id-1").await;
    let events: Vec<String> = (1..=5)
        .map(|n| format!("id: {n}\ndata: piece {n}\n\n"))
        .collect();
    let expected = events.concat();
    assert_eq!(got.text().await.unwrap(), expected);
    let mut requests = first.requests("/stream/x");
    requests.extend(second.requests("/stream/x"));
    assert_eq!(requests.len(), 2);
    let next = requests
        .iter()
        .find(|r| r.header("kv-from").is_some())
        .unwrap();
    let begun = requests
        .iter()
        .find(|r| r.header("kv-from").is_none())
        .unwrap();
    let copy = format!(
        "{}/id-1",
        begun.header("x-lilacspindle-cache-backup").unwrap()
    );
    assert_eq!(next.header("kv-from"), Some(copy.as_str()));
    assert_eq!(next.header("last-event-id"), Some("3"));
}

/// Guards against a stream that appears complete to the caller although its engine failed and there
/// is no backup.
#[tokio::test]
async fn broken_stream_without_a_backup_ends_with_an_error() {
    let mut site = Site::serving(&document(1)).await;
    let _upstream = site
        .upstream("model", |request: &Request| {
            vec![
                Reply::Bytes(sse(request.id(), 1..=2, true, request.path != "/stream/x")),
                Reply::Close,
            ]
        })
        .await;
    wait_routable(&site, "/stream/warm").await;
    let got = call(&site, "/stream/x", "id-1").await;
    assert_eq!(got.status(), 200);
    assert!(got.bytes().await.is_err());
}

/// Returns the script of an engine that can resume generations. Once `leaving` is set, its reports
/// announce its shutdown. Streams that it has started itself are closed without an end.
fn migratable_engine(
    leaving: Arc<AtomicBool>,
    notice_ms: u64,
) -> impl Fn(&Request) -> Vec<Reply> + Send + Sync {
    move |request: &Request| {
        let id = request.id();
        let moved = request.header("kv-from").is_some();
        let report = match leaving.load(Ordering::SeqCst) {
            true => json!({"kvCacheUsed": 4_000, "kvCacheTotal": 34_000, "leaves_ms": notice_ms}),
            false => json!({"kvCacheUsed": 4_000, "kvCacheTotal": 34_000}),
        };
        let json_answer = |body: &serde_json::Value| {
            vec![Reply::Bytes(answer(
                "200 OK",
                &[],
                body.to_string().as_bytes(),
            ))]
        };
        match request.path.as_str() {
            "/report" => json_answer(&report),
            "/kv-move" => json_answer(&json!({"handle": "h7", "made": 3})),
            "/stream/x" if moved => vec![Reply::Bytes(sse(id, 4..=5, true, true))],
            "/stream/x" => vec![
                Reply::Bytes(sse(id, 1..=3, true, false)),
                Reply::Pause(Duration::from_millis(notice_ms + 1_000)),
                Reply::Close,
            ],
            _ => vec![Reply::Bytes(sse(id, 1..=1, true, true))],
        }
    }
}

/// Guards against losing a generation with an engine that announces its shutdown: the notice has to
/// reach the entry through the sidecar, the KV cache has to be copied before the generation is
/// stopped, and the generation has to resume at the engine with the copy.
#[tokio::test]
async fn generation_is_migrated_before_its_engine_leaves() {
    let mut without_copies = document(1);
    without_copies["services"][1]["engine"]["backups"] = json!(false);
    let mut site = Site::serving(&without_copies).await;
    let leaving = Arc::new(AtomicBool::new(false));
    let source = site
        .upstream("model", migratable_engine(Arc::clone(&leaving), 1_500))
        .await;
    wait_routable(&site, "/stream/warm").await;
    site.start_sidecar(&source);
    let mut stream = call(&site, "/stream/x", "id-1").await;
    assert!(stream.chunk().await.unwrap().is_some());
    let target = site
        .upstream("model", migratable_engine(Arc::default(), 1_500))
        .await;
    leaving.store(true, Ordering::SeqCst);
    let mut rest = Vec::new();
    while let Some(chunk) = stream.chunk().await.unwrap() {
        rest.extend_from_slice(&chunk);
    }
    assert!(rest.ends_with(b"id: 4\ndata: piece 4\n\nid: 5\ndata: piece 5\n\n"));
    let moves: Vec<Value> = source
        .requests("/kv-move")
        .iter()
        .map(|request| serde_json::from_slice(&request.body).unwrap())
        .collect();
    let stops: Vec<&Value> = moves.iter().map(|call| &call["last"]).collect();
    assert_eq!(stops, [&json!(false), &json!(true)]);
    assert!(moves.iter().all(|call| call["identifier"] == "id-1"));
    assert!(
        moves
            .iter()
            .all(|call| call["to"] == target.address.to_string())
    );
    let continued = &target.requests("/stream/x")[0];
    let copy = format!("{}/h7", source.address);
    assert_eq!(continued.header("kv-from"), Some(copy.as_str()));
    assert_eq!(continued.header("last-event-id"), Some("3"));
}

/// Guards against a copy that keeps waiting for its turn although its target has begun to leave,
/// and then fails when there is no time left for another one. The platform reclaims several engines
/// at once.
#[tokio::test]
async fn target_that_leaves_before_its_copy_is_replaced_at_once() {
    let notice_ms = 4_000;
    let mut slow_links = document(1);
    slow_links["services"][1]["engine"]["backups"] = json!(false);
    slow_links["routes"][2]["timeoutMs"] = json!(20_000);
    // At this speed copying 3,000 tokens takes 1.6 s.
    slow_links["services"][1]["engine"]["linkMbps"] = json!(2_400.0);
    let mut site = Site::serving(&slow_links).await;
    let leaving = Arc::new(AtomicBool::new(false));
    let source = migratable_engine(Arc::clone(&leaving), notice_ms);
    let source = site.upstream("model", source).await;
    wait_routable(&site, "/stream/warm").await;
    site.start_sidecar(&source);
    let mut streams = Vec::new();
    for id in ["id-1", "id-2"] {
        let request = patient_caller(&site, "/stream/x", id, 20_000);
        let mut stream = request.send().await.unwrap();
        assert!(stream.chunk().await.unwrap().is_some());
        streams.push(stream);
    }
    let first = site
        .upstream("model", migratable_engine(Arc::default(), notice_ms))
        .await;
    leaving.store(true, Ordering::SeqCst);
    wait_for("one copy has begun", || async {
        source.requests("/kv-move").len() == 1
    })
    .await;
    // The other copy waits 1.6 s for the network link of the source.
    let second = site
        .upstream("model", migratable_engine(Arc::default(), notice_ms))
        .await;
    site.list.lock().unwrap()[1]["state"] = json!("draining");
    for mut stream in streams {
        let mut last = Vec::new();
        while let Some(chunk) = stream.chunk().await.unwrap() {
            last = chunk.to_vec();
        }
        assert!(last.ends_with(b"id: 5\ndata: piece 5\n\n"));
    }
    let moves = source.requests("/kv-move");
    let targets_of = |id: &str| -> BTreeSet<String> {
        let calls = moves
            .iter()
            .map(|request| serde_json::from_slice::<Value>(&request.body).unwrap());
        calls
            .filter(|call| call["identifier"] == id)
            .map(|call| call["to"].as_str().unwrap().to_owned())
            .collect()
    };
    let mut targets = [targets_of("id-1"), targets_of("id-2")];
    targets.sort_by_key(|targets| targets.contains(&second.address.to_string()));
    let only = |upstream: &Upstream| BTreeSet::from([upstream.address.to_string()]);
    assert_eq!(targets, [only(&first), only(&second)]);
}

/// Time between an engine's notice and its shutdown; the shortest on the supported sites.
const NOTICE_MS: u64 = 1_500;

/// Starts a stream at an engine without backups, lets the engine announce its shutdown, and returns
/// the rest of the stream, the source and the target. `script` overrides responses of the source.
async fn stream_of_leaving_engine(
    script: impl Fn(&Request) -> Option<Vec<Reply>> + Send + Sync + 'static,
) -> (Vec<u8>, Upstream, Upstream) {
    let mut without_copies = document(1);
    without_copies["services"][1]["engine"]["backups"] = json!(false);
    let mut site = Site::serving(&without_copies).await;
    let leaving = Arc::new(AtomicBool::new(false));
    let others = migratable_engine(Arc::clone(&leaving), NOTICE_MS);
    let source = move |request: &Request| script(request).unwrap_or_else(|| others(request));
    let source = site.upstream("model", source).await;
    wait_routable(&site, "/stream/warm").await;
    site.start_sidecar(&source);
    let mut stream = call(&site, "/stream/x", "id-1").await;
    assert!(stream.chunk().await.unwrap().is_some());
    let target = migratable_engine(Arc::default(), NOTICE_MS);
    let target = site.upstream("model", target).await;
    leaving.store(true, Ordering::SeqCst);
    let mut rest = Vec::new();
    while let Some(chunk) = stream.chunk().await.unwrap() {
        rest.extend_from_slice(&chunk);
    }
    (rest, source, target)
}

/// Guards against discarding a complete stream. A generation may end while its engine is asked to
/// stop it for a migration, or after that call has failed; its caller must not get a broken stream.
/// Found with the enlarged chalkline mix, seed 782453374709.
#[tokio::test]
async fn stream_that_ends_during_its_migration_is_complete() {
    let (rest, source, _) = stream_of_leaving_engine(|request| {
        let id = request.id();
        let stops = || serde_json::from_slice::<Value>(&request.body).unwrap()["last"] == true;
        match request.path.as_str() {
            "/kv-move" if stops() => Some(vec![Reply::Bytes(answer("404 Not Found", &[], b"{}"))]),
            "/stream/x" => Some(vec![
                Reply::Bytes(sse(id, 1..=3, true, false)),
                Reply::Pause(Duration::from_millis(NOTICE_MS + 1_000)),
                Reply::Bytes(sse(id, 4..=5, false, true)),
            ]),
            _ => None,
        }
    })
    .await;
    assert!(rest.ends_with(b"id: 5\ndata: piece 5\n\n"));
    // The second call asked the engine to stop the generation, before its stream ended.
    assert_eq!(source.requests("/kv-move").len(), 2);
}

/// Guards against considering a stopped stream complete because its body ends with its connection.
#[tokio::test]
async fn stopped_stream_without_explicit_end_is_resumed_after_its_migration() {
    let (rest, _, target) = stream_of_leaving_engine(|request| {
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\
             X-Lilacspindle-Request-Id: {}\r\nX-Lilacspindle-Response-Seal: seal\r\n\r\n",
            request.id()
        );
        let events = "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\nid: 3\ndata: piece 3\n\n";
        (request.path == "/stream/x").then(|| {
            vec![
                Reply::Bytes([head.as_bytes(), events.as_bytes()].concat()),
                Reply::Pause(Duration::from_millis(NOTICE_MS + 1_000)),
                Reply::Close,
            ]
        })
    })
    .await;
    assert!(rest.ends_with(b"id: 4\ndata: piece 4\n\nid: 5\ndata: piece 5\n\n"));
    assert_eq!(target.requests("/stream/x").len(), 1);
}

/// Guards against a stream without length or chunks that breaks off inside an event and looks
/// complete to its caller.
#[tokio::test]
async fn stream_that_ends_inside_an_event_is_broken_off() {
    let mut site = Site::serving(&document(1)).await;
    let _upstream = site
        .upstream("model", |request: &Request| {
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\
                 X-Lilacspindle-Request-Id: {}\r\nX-Lilacspindle-Response-Seal: seal\r\n\r\n",
                request.id()
            );
            let events: &[u8] = match request.path.as_str() {
                "/stream/broken" => b"id: 1\ndata: a\n\nid: 2\nda",
                _ => b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
            };
            vec![
                Reply::Bytes([head.as_bytes(), events].concat()),
                Reply::Close,
            ]
        })
        .await;
    wait_routable(&site, "/stream/x").await;
    let whole = call(&site, "/stream/x", "id-1").await;
    assert_eq!(
        whole.text().await.unwrap(),
        "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
    );
    let mut broken = call(&site, "/stream/broken", "id-2").await;
    let end = loop {
        match broken.chunk().await {
            Ok(Some(chunk)) => assert_eq!(chunk, "id: 1\ndata: a\n\n"),
            end => break end,
        }
    };
    assert!(end.is_err(), "the stream looks complete");
}
