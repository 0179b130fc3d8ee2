//! Failures of engines, services, readers and the sidecar itself, over real TCP.

mod sidecar_support;

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use lilacspindle::adapters::upstream::{EngineClient, PlainCall, ServiceClient, UpstreamError};
use lilacspindle::domain::state::{View, ViewChange, ViewDelta};
use lilacspindle::domain::table::{ModelRow, Row, RowKey};
use lilacspindle::model::{Outcome, RefusalCode, TableVersion};
use lilacspindle::rpc::sidecar::{
    CallReply, CancelReply, End, Origin, ReadoptReply, StartReply, StartRequest,
};
use sidecar_support::engine::fake_engine;
use sidecar_support::{
    LIMIT, Read, TestSidecar, start_request, start_sidecar, start_sidecar_with_engine, text, until,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

fn outcome(read: &Read) -> Outcome {
    match &read.end {
        Some(End::Failed { outcome, .. }) => *outcome,
        end => panic!("{end:?}"),
    }
}

fn origin(generation: u128) -> Origin {
    Origin {
        upstream: "e1".into(),
        engine_stream: format!("{generation:032x}"),
    }
}

async fn accepted(sidecar: &TestSidecar, request: StartRequest) {
    let reply = sidecar.start(request).await;
    assert!(matches!(reply, StartReply::Accepted { .. }), "{reply:?}");
}

/// Guards against ending an answer when its connection breaks although the engine continues.
#[tokio::test(flavor = "multi_thread")]
async fn a_broken_stream_is_resumed_at_its_offset() {
    let sidecar = start_sidecar("").await;
    let script = r#"{"tokens": 40, "step_ms": 2, "break_after": 7}"#;
    accepted(&sidecar, start_request(1, script)).await;
    let read = sidecar.read(1, 0).await;
    assert_eq!(read.text, text(0, 40));
    assert!(matches!(read.end, Some(End::Finished { .. })));
    assert_eq!(sidecar.engine.state.started.lock().unwrap().len(), 1);
}

/// Guards against a connection that stays open but sends no more tokens, so that the answer is
/// held up for longer than the read deadline.
#[tokio::test(flavor = "multi_thread")]
async fn a_silent_stream_is_resumed() {
    let sidecar = start_sidecar("").await;
    let script = r#"{"tokens": 40, "step_ms": 2, "silent_after": 7}"#;
    accepted(&sidecar, start_request(1, script)).await;
    assert_eq!(sidecar.read(1, 0).await.text, text(0, 40));
    assert_eq!(sidecar.engine.state.started.lock().unwrap().len(), 1);
}

/// Guards against a second run after tokens were given to the reader, and against a wrong outcome:
/// it is `Interrupted` if tokens were given, `Unknown` if not, and `NotRun` only if the engine
/// refused the request.
#[tokio::test(flavor = "multi_thread")]
async fn a_lost_generation_reports_the_correct_outcome() {
    let sidecar = start_sidecar("").await;
    let script = r#"{"tokens": 40, "step_ms": 20, "break_after": 5, "forget": true}"#;
    accepted(&sidecar, start_request(1, script)).await;
    let shown = sidecar.read(1, 0).await;
    assert_eq!(
        (outcome(&shown), shown.text),
        (Outcome::Interrupted, text(0, 5))
    );
    let script = r#"{"tokens": 40, "break_after": 0, "forget": true}"#;
    accepted(&sidecar, start_request(2, script)).await;
    assert_eq!(outcome(&sidecar.read(2, 0).await), Outcome::Unknown);
    let mut refused = start_request(3, r#"{"tokens": 5}"#);
    refused.version = "v0".to_owned();
    accepted(&sidecar, refused).await;
    assert_eq!(outcome(&sidecar.read(3, 0).await), Outcome::NotRun);
    assert_eq!(sidecar.engine.state.started.lock().unwrap().len(), 2);
}

/// Guards against taking the refusal of a resume for proof that the request before, which an engine
/// that is held up may still begin, has not run.
#[tokio::test(flavor = "multi_thread")]
async fn a_refused_resume_does_not_show_that_the_generation_has_not_run() {
    let sidecar = start_sidecar("").await;
    let script = r#"{"tokens": 40, "break_after": 0, "refuse_resume": true}"#;
    accepted(&sidecar, start_request(1, script)).await;
    assert_eq!(outcome(&sidecar.read(1, 0).await), Outcome::Unknown);
    let cancelled = &sidecar.engine.state.cancelled;
    until("cancel of the generation at the engine", || {
        !cancelled.lock().unwrap().is_empty()
    })
    .await;
}

/// Guards against generations that keep running without a reader.
#[tokio::test(flavor = "multi_thread")]
async fn an_unread_generation_is_cancelled() {
    let sidecar = start_sidecar("orphan_ms = 1000").await;
    accepted(
        &sidecar,
        start_request(1, r#"{"tokens": 100000, "step_ms": 5}"#),
    )
    .await;
    let cancelled = &sidecar.engine.state.cancelled;
    until("cancel of the unread generation at the engine", || {
        !cancelled.lock().unwrap().is_empty()
    })
    .await;
    assert!(matches!(sidecar.cancel(1).await, CancelReply::Ended { .. }));
}

/// Guards against a planned shutdown that truncates an answer or accepts new work. The drain must
/// wait until the end of the answer was read.
#[tokio::test(flavor = "multi_thread")]
async fn a_drain_waits_for_running_answers() {
    let sidecar = start_sidecar("").await;
    accepted(
        &sidecar,
        start_request(1, r#"{"tokens": 100, "step_ms": 10}"#),
    )
    .await;
    sidecar.subscriber.set_leaving();
    let role = std::sync::Arc::clone(&sidecar.role);
    let drained = tokio::spawn(async move { role.drain().await });
    match sidecar.start(start_request(2, r#"{"tokens": 1}"#)).await {
        StartReply::Refused { refusal, .. } => assert_eq!(refusal.code, RefusalCode::Leaving),
        reply => panic!("{reply:?}"),
    }
    // The engine finishes after 1 s.
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    assert!(
        !drained.is_finished(),
        "the drain ended before the end of the answer was read"
    );
    assert_eq!(sidecar.read(1, 0).await.text, text(0, 100));
    tokio::time::timeout(sidecar_support::LIMIT, drained)
        .await
        .unwrap()
        .unwrap();
}

/// Guards against a drain that ignores `drain_limit_ms`.
#[tokio::test(flavor = "multi_thread")]
async fn a_drain_ends_at_its_limit() {
    let sidecar = start_sidecar("drain_limit_ms = 300").await;
    accepted(
        &sidecar,
        start_request(1, r#"{"tokens": 100000, "step_ms": 100}"#),
    )
    .await;
    let began = Instant::now();
    sidecar.role.drain().await;
    assert!(began.elapsed() >= Duration::from_millis(300));
}

/// Guards against losing answers when a sidecar restarts while its engine keeps running, and
/// against a token log that does not start at the first token. The reply for a generation that the
/// engine does not have is `Lost`.
#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_sidecar_readopts_generations() {
    let engine = fake_engine().await;
    let former = start_sidecar_with_engine(engine, "", 1).await;
    let request = start_request(1, r#"{"tokens": 60, "step_ms": 10}"#);
    accepted(&former, request.clone()).await;
    let first = former.poll(1, 0, 1_000).await;
    assert_eq!(first.updates[0].origin, Some(origin(1)));
    // A new incarnation replaces the former sidecar, which no reader uses any more.
    let sidecar = start_sidecar_with_engine(former.engine, "", 2).await;
    let stale = sidecar.start(request.clone()).await;
    assert!(
        matches!(stale, StartReply::WrongIncarnation { .. }),
        "{stale:?}"
    );
    let reply = sidecar.readopt(request.clone(), origin(1), 1).await;
    assert!(matches!(reply, ReadoptReply::Adopted { .. }), "{reply:?}");
    assert_eq!(sidecar.read(1, 1).await.text, text(1, 60));
    assert_eq!(sidecar.read(1, 0).await.text, text(0, 60));
    let mut other = request;
    other.generation.0 = 2;
    let reply = sidecar.readopt(other, origin(2), 0).await;
    assert!(matches!(reply, ReadoptReply::Lost { .. }), "{reply:?}");
}

/// Guards against sending a plain call twice, and against a wrong outcome of a failed call.
#[tokio::test(flavor = "multi_thread")]
async fn a_call_runs_once_and_reports_the_correct_outcome() {
    let sidecar = start_sidecar("").await;
    let calls = &sidecar.engine.state.calls;
    for _ in 0..3 {
        match sidecar.call(1, "s1", "/echo").await {
            CallReply::Response { response, .. } => assert_eq!(response.body, b"body"),
            reply => panic!("{reply:?}"),
        }
    }
    assert_eq!(*calls.lock().unwrap(), 1);
    for (generation, upstream, path, expected) in [
        (2, "s1", "/cut", Outcome::Unknown),
        (3, "gone", "/echo", Outcome::NotRun),
    ] {
        for _ in 0..2 {
            match sidecar.call(generation, upstream, path).await {
                CallReply::Refused { outcome, .. } => assert_eq!(outcome, expected),
                reply => panic!("{reply:?}"),
            }
        }
    }
    assert_eq!(*calls.lock().unwrap(), 2);
    assert!(matches!(
        sidecar.cancel(4).await,
        CancelReply::NotRun { .. }
    ));
    match sidecar.call(4, "s1", "/echo").await {
        CallReply::Refused {
            outcome, refusal, ..
        } => {
            assert_eq!(
                (outcome, refusal.code),
                (Outcome::NotRun, RefusalCode::Cancelled)
            );
        }
        reply => panic!("{reply:?}"),
    }
    assert_eq!(*calls.lock().unwrap(), 2);
}

/// Guards against requests that stay queued for ever in a full sidecar, and against counts of
/// running requests, queued requests or used tokens that do not return to zero.
#[tokio::test(flavor = "multi_thread")]
async fn more_requests_than_slots_all_end() {
    let sidecar = start_sidecar("").await;
    for generation in 1..=40 {
        accepted(
            &sidecar,
            start_request(generation, r#"{"tokens": 20, "step_ms": 2}"#),
        )
        .await;
    }
    for generation in 1..=40 {
        assert_eq!(sidecar.read(generation, 0).await.text, text(0, 20));
    }
    let load = sidecar.poll(1, 20, 0).await.load;
    let engine = &load.upstreams[0];
    assert_eq!(
        (engine.running, engine.queued, engine.used_tokens),
        (0, 0, 0)
    );
}

/// Guards against a preemption for memory that loses an answer, mixes the tokens of two runs, or
/// leaves the first run at the engine. Three answers that are not shown as they arrive need 10,800
/// tokens of memory; the engine has 10,000.
#[tokio::test(flavor = "multi_thread")]
async fn an_unshown_answer_is_preempted_for_memory_and_runs_again() {
    let sidecar = start_sidecar("").await;
    for generation in 1..=3 {
        let mut request = start_request(generation, r#"{"tokens": 1500, "step_ms": 1}"#);
        request.shown = false;
        request.prompt_tokens = 2_100;
        request.max_tokens = 2_000;
        accepted(&sidecar, request).await;
    }
    for generation in 1..=3 {
        let read = sidecar.read(generation, 0).await;
        assert_eq!(read.text, text(0, 1_500));
        assert!(matches!(read.end, Some(End::Finished { .. })));
    }
    let started = sidecar.engine.state.started.lock().unwrap().clone();
    let cancelled = sidecar.engine.state.cancelled.lock().unwrap().clone();
    assert_eq!(
        started.len(),
        3 + cancelled.len(),
        "{started:?}, {cancelled:?}"
    );
    assert!(!cancelled.is_empty());
}

/// Guards against versions that are never prepared, orders without the fencing number, and orders
/// that are repeated although the version is loaded.
#[tokio::test(flavor = "multi_thread")]
async fn a_prepared_version_is_ordered_once_with_the_fence() {
    let sidecar = start_sidecar("").await;
    let row = Row::Model(ModelRow {
        version: "v1".to_owned(),
        prepare_version: Some("v2".to_owned()),
        adapter: None,
    });
    let delta = ViewDelta {
        base: View::clone(&sidecar.subscriber.view()).version,
        version: TableVersion(2),
        changes: vec![ViewChange::SetRow {
            key: RowKey::Model("tutor".into()),
            row,
        }],
    };
    sidecar.subscriber.store().apply(&[delta]);
    let role = &sidecar.role;
    until("v2 loaded", || role.upstreams()[0].versions == ["v1", "v2"]).await;
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    let orders = sidecar.engine.state.orders.lock().unwrap().clone();
    assert_eq!(orders.len(), 1, "{orders:?}");
    assert_eq!(orders[0]["fence"], 7);
    assert_eq!(orders[0]["action"], "load");
}

/// Guards against accepting work under an old table although a peer has a newer one.
#[tokio::test(flavor = "multi_thread")]
async fn a_start_under_a_newer_table_is_not_run() {
    let sidecar = start_sidecar("").await;
    let mut request = start_request(1, r#"{"tokens": 5}"#);
    request.stamp.table_version = TableVersion(9);
    let reply = sidecar.start(request).await;
    assert!(matches!(reply, StartReply::Behind { .. }), "{reply:?}");
    // From now on the sidecar refuses all starts, because it knows that there is a newer table.
    match sidecar.start(start_request(2, r#"{"tokens": 5}"#)).await {
        StartReply::Refused { refusal, .. } => assert_eq!(refusal.code, RefusalCode::StaleTable),
        reply => panic!("{reply:?}"),
    }
    assert!(sidecar.engine.state.started.lock().unwrap().is_empty());
}

/// Guards against reporting an engine as healthy while it is down, so that it still gets all
/// requests, and against the outcome `Unknown` for a request that never reached it.
#[tokio::test(flavor = "multi_thread")]
async fn an_engine_that_is_down_is_reported() {
    let mut sidecar = start_sidecar("").await;
    let other = fake_engine().await;
    std::mem::replace(&mut sidecar.engine, other)
        .server
        .stop()
        .await;
    let deadline = Instant::now() + sidecar_support::LIMIT;
    while sidecar.poll(9, 0, 0).await.load.upstreams[0].healthy {
        assert!(
            Instant::now() < deadline,
            "the engine still counts as healthy"
        );
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    accepted(&sidecar, start_request(1, r#"{"tokens": 5}"#)).await;
    assert_eq!(outcome(&sidecar.read(1, 0).await), Outcome::NotRun);
}

/// Guards against a status outside 200 to 599 that is passed on as the answer, and against further
/// requests on its connection.
#[tokio::test(flavor = "multi_thread")]
async fn a_status_that_is_not_final_is_no_answer() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    let status = Arc::new(Mutex::new("200"));
    let connections = Arc::new(AtomicUsize::new(0));
    let (answered_with, accepted) = (Arc::clone(&status), Arc::clone(&connections));
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            accepted.fetch_add(1, Ordering::SeqCst);
            let status = Arc::clone(&answered_with);
            tokio::spawn(async move {
                let mut head = [0; 4096];
                while stream.read(&mut head).await.is_ok_and(|read| read > 0) {
                    let status = *status.lock().unwrap();
                    let bytes = format!("HTTP/1.1 {status} X\r\ncontent-length: 2\r\n\r\n{{}}");
                    let _ = stream.write_all(bytes.as_bytes()).await;
                }
            });
        }
    });
    let (service, engine) = (ServiceClient::new(&url, true), EngineClient::new(&url));
    let call = PlainCall {
        method: "GET".to_owned(),
        path_and_query: "/".to_owned(),
        headers: Vec::new(),
        body: Vec::new(),
    };
    for wrong in ["101", "600", "700", "999"] {
        *status.lock().unwrap() = wrong;
        let answered = service.call(&call, LIMIT).await;
        assert!(
            matches!(answered, Err(UpstreamError::Broken(_))),
            "{wrong}: {answered:?}"
        );
        let loaded = engine.load().await;
        assert!(
            matches!(loaded, Err(UpstreamError::Broken(_))),
            "{wrong}: {loaded:?}"
        );
        *status.lock().unwrap() = "200";
        let before = connections.load(Ordering::SeqCst);
        assert_eq!(service.call(&call, LIMIT).await.unwrap().status, 200);
        engine.load().await.unwrap();
        assert_eq!(connections.load(Ordering::SeqCst), before + 2, "{wrong}");
    }
}
