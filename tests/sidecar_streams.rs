//! Streams through a sidecar over real TCP, from a fake engine to a reader.

mod sidecar_support;

use lilacspindle::model::{Outcome, RefusalCode};
use lilacspindle::rpc::sidecar::{CancelReply, End, StartReply};
use sidecar_support::{start_request, start_sidecar, text};

fn finished() -> End {
    End::Finished {
        reason: "stop".to_owned(),
    }
}

/// Guards against lost, duplicated or reordered tokens on the way from the engine to the reader.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_arrives_complete_and_in_order() {
    let sidecar = start_sidecar("").await;
    let reply = sidecar
        .start(start_request(1, r#"{"tokens": 50, "step_ms": 1}"#))
        .await;
    assert!(matches!(reply, StartReply::Accepted { .. }), "{reply:?}");
    let read = sidecar.read(1, 0).await;
    assert_eq!(read.text, text(0, 50));
    assert_eq!(read.end, Some(finished()));
}

/// Guards against a second run when a start is repeated, during the run and after it.
#[tokio::test(flavor = "multi_thread")]
async fn a_repeated_start_runs_once() {
    let sidecar = start_sidecar("").await;
    let request = start_request(1, r#"{"tokens": 20, "step_ms": 2}"#);
    for _ in 0..3 {
        let reply = sidecar.start(request.clone()).await;
        assert!(matches!(reply, StartReply::Accepted { .. }), "{reply:?}");
    }
    assert_eq!(sidecar.read(1, 0).await.text, text(0, 20));
    let reply = sidecar.start(request).await;
    assert!(matches!(reply, StartReply::Accepted { .. }), "{reply:?}");
    assert_eq!(sidecar.engine.state.started.lock().unwrap().len(), 1);
}

/// Guards against running a generation after a cancel was answered with `NotRun`.
#[tokio::test(flavor = "multi_thread")]
async fn a_start_after_its_cancel_is_refused() {
    let sidecar = start_sidecar("").await;
    let reply = sidecar.cancel(1).await;
    assert!(matches!(reply, CancelReply::NotRun { .. }), "{reply:?}");
    match sidecar.start(start_request(1, r#"{"tokens": 5}"#)).await {
        StartReply::Refused { refusal, .. } => assert_eq!(refusal.code, RefusalCode::Cancelled),
        reply => panic!("{reply:?}"),
    }
    assert!(sidecar.engine.state.started.lock().unwrap().is_empty());
}

/// Guards against a cancel that leaves the generation running at the engine.
#[tokio::test(flavor = "multi_thread")]
async fn a_cancel_stops_the_engine() {
    let sidecar = start_sidecar("").await;
    sidecar
        .start(start_request(1, r#"{"tokens": 10000, "step_ms": 5}"#))
        .await;
    sidecar.poll(1, 0, 1_000).await;
    let reply = sidecar.cancel(1).await;
    assert!(matches!(reply, CancelReply::Stopped { .. }), "{reply:?}");
    let cancelled = &sidecar.engine.state.cancelled;
    sidecar_support::until("cancel at the engine", || {
        !cancelled.lock().unwrap().is_empty()
    })
    .await;
    match sidecar.read(1, 0).await.end {
        Some(End::Failed { outcome, .. }) => assert_eq!(outcome, Outcome::Interrupted),
        end => panic!("{end:?}"),
    }
}

/// Guards against one workspace reading another one's answer.
#[tokio::test(flavor = "multi_thread")]
async fn a_poll_from_another_workspace_gets_no_tokens() {
    let sidecar = start_sidecar("").await;
    sidecar.start(start_request(1, r#"{"tokens": 5}"#)).await;
    let reply = sidecar.poll_as(1, 0, 200, "other").await;
    assert!(
        reply
            .updates
            .iter()
            .all(|update| update.unknown && update.chunk.is_none())
    );
    assert_eq!(sidecar.read(1, 0).await.text, text(0, 5));
}
