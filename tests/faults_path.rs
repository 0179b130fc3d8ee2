//! Faults on the path of a request, from entry to engine: killed processes and silent connections.

mod common;

use std::time::Duration;

use common::{Fleet, Streamed, client, completion, read_stream};
use lilacspindle::adapters::clock::unix_ms;
use lilacspindle::bench::checker::check_answer;

const ESSAY_TOKENS: u32 = 600;

/// Returns the sidecar that serves a stream, from the id of its first event.
fn sidecar_of(streamed: &Streamed) -> String {
    streamed.ids[0].split('.').next().unwrap().to_owned()
}

/// Opens a stream and reads at least `tokens` tokens of it.
async fn open_stream(
    fleet: &Fleet,
    entry: &str,
    prompt: &str,
    tokens: usize,
) -> (reqwest::Response, Streamed) {
    let mut answer = completion(&fleet.url(entry), "essay", prompt, ESSAY_TOKENS, true)
        .send()
        .await
        .unwrap();
    assert_eq!(answer.status(), 200);
    let mut streamed = Streamed::default();
    while streamed.ids.len() < tokens {
        streamed.read_chunk(&mut answer).await;
    }
    (answer, streamed)
}

/// Guards against a lost or duplicated token when the sidecar of a stream is killed and restarted
/// while its engine keeps running.
#[tokio::test(flavor = "multi_thread")]
async fn restarted_sidecar_resumes_its_streams() {
    let mut fleet = Fleet::new();
    fleet.start_path(1).await;
    let (mut answer, mut streamed) = open_stream(&fleet, "entry-1", "kept over a restart", 5).await;
    let sidecar = sidecar_of(&streamed);
    fleet.restart(&sidecar);
    while streamed.read_chunk(&mut answer).await {}
    assert!(streamed.done, "{streamed:?}");
    check_answer(
        &["v1"],
        "kept over a restart",
        &streamed.text,
        Some(ESSAY_TOKENS),
    )
    .unwrap();
    fleet.assert_no_violations().await;
}

/// Guards against a stream that ends without an error, or continues with another generation, when
/// its engine is lost after the caller has received tokens.
#[tokio::test(flavor = "multi_thread")]
async fn stream_ends_as_interrupted_when_its_engine_is_lost() {
    let mut fleet = Fleet::new();
    fleet.start_path(1).await;
    let (mut answer, mut streamed) = open_stream(&fleet, "entry-1", "cut in the middle", 5).await;
    let standin = sidecar_of(&streamed).replace("sidecar", "standin");
    fleet.kill(&standin);
    while streamed.read_chunk(&mut answer).await {}
    assert!(!streamed.done);
    let error = streamed.error.as_ref().expect("an error event");
    assert_eq!(error["error"]["outcome"], "interrupted", "{error}");
    check_answer(&["v1"], "cut in the middle", &streamed.text, None).unwrap();
    fleet.assert_no_violations().await;
}

/// Guards against a non-streamed answer that is lost with one sidecar or engine process.
#[tokio::test(flavor = "multi_thread")]
async fn non_streamed_answers_survive_the_loss_of_a_sidecar_or_an_engine() {
    for lost in ["sidecar-1", "standin-2"] {
        let mut fleet = Fleet::new();
        fleet.start_path(1).await;
        let mut calls = Vec::new();
        for number in 0..8 {
            let prompt = format!("answer {number}");
            let call = completion(&fleet.url("entry-1"), "essay", &prompt, 200, false).send();
            calls.push((prompt, tokio::spawn(call)));
        }
        tokio::time::sleep(Duration::from_millis(400)).await;
        fleet.kill(lost);
        for (prompt, call) in calls {
            let answer = call.await.unwrap().unwrap();
            let status = answer.status();
            let body: serde_json::Value = answer.json().await.unwrap();
            assert_eq!(status, 200, "{lost}: {body}");
            check_answer(
                &["v1"],
                &prompt,
                body["choices"][0]["text"].as_str().unwrap(),
                Some(200),
            )
            .unwrap();
        }
        fleet.assert_no_violations().await;
    }
}

/// Guards against a lost or duplicated token when the entry of a stream is killed and the caller
/// resumes at another entry, and against a stream that another workspace can read.
#[tokio::test(flavor = "multi_thread")]
async fn stream_resumes_at_another_entry() {
    let mut fleet = Fleet::new();
    fleet.start_path(1).await;
    let (_, mut streamed) = open_stream(&fleet, "entry-1", "on two entries", 5).await;
    fleet.kill("entry-1");
    let resumed = completion(
        &fleet.url("entry-2"),
        "essay",
        "on two entries",
        ESSAY_TOKENS,
        true,
    )
    .header("Last-Event-ID", streamed.ids.last().unwrap())
    .send()
    .await
    .unwrap();
    assert_eq!(resumed.status(), 200);
    let rest = read_stream(resumed, |_| false).await;
    assert!(rest.done, "{rest:?}");
    streamed.text.push_str(&rest.text);
    check_answer(
        &["v1"],
        "on two entries",
        &streamed.text,
        Some(ESSAY_TOKENS),
    )
    .unwrap();

    let other_workspace = completion(
        &fleet.url("entry-2"),
        "essay",
        "on two entries",
        ESSAY_TOKENS,
        true,
    )
    .header("Lilac-Workspace", "other")
    .header("Last-Event-ID", streamed.ids.last().unwrap())
    .send()
    .await
    .unwrap();
    assert_ne!(
        other_workspace.status(),
        200,
        "another workspace must not read the stream"
    );
    fleet.assert_no_violations().await;
}

/// Guards against an entry that cancels the stream of a caller that has resumed at another entry.
#[tokio::test(flavor = "multi_thread")]
async fn resumed_stream_outlives_the_grace_period_of_its_first_entry() {
    let mut fleet = Fleet::new();
    fleet.start_path(1).await;
    let tokens = 2_500;
    let prompt = "moved between entries";
    let mut answer = completion(&fleet.url("entry-1"), "essay", prompt, tokens, true)
        .send()
        .await
        .unwrap();
    let mut streamed = Streamed::default();
    while streamed.ids.len() < 5 {
        streamed.read_chunk(&mut answer).await;
    }
    drop(answer);
    let mut resumed = completion(&fleet.url("entry-2"), "essay", prompt, tokens, true)
        .header("Last-Event-ID", streamed.ids.last().unwrap())
        .send()
        .await
        .unwrap();
    let start = std::time::Instant::now();
    while streamed.read_chunk(&mut resumed).await {}
    assert!(streamed.done, "{streamed:?}");
    check_answer(&["v1"], prompt, &streamed.text, Some(tokens)).unwrap();
    // The test is only meaningful if the answer takes longer than the grace period.
    assert!(
        start.elapsed() > Duration::from_secs(4),
        "{:?}",
        start.elapsed()
    );
    fleet.assert_no_violations().await;
}

/// Guards against a stream that hangs or duplicates tokens when the open connection between entry
/// and sidecar goes silent permanently while new connections work.
#[tokio::test(flavor = "multi_thread")]
async fn silent_connections_are_replaced() {
    let mut fleet = Fleet::new();
    fleet.start_control(1).await;
    fleet.rows_version = fleet
        .edit("rows", fleet.rows_version, common::rows())
        .await
        .unwrap();
    let (engine, service) = fleet.start_standin("standin-1", "step_ms = 5");
    let proxy = fleet
        .start_proxied_sidecar("sidecar-1", engine, service)
        .await;
    fleet.start_entry("entry-1");
    fleet.start_entry("entry-2");
    fleet.wait_routable().await;
    let (mut answer, mut streamed) = open_stream(&fleet, "entry-1", "through silence", 5).await;
    proxy.silence_open();
    while streamed.read_chunk(&mut answer).await {}
    assert!(streamed.done, "{streamed:?}");
    check_answer(
        &["v1"],
        "through silence",
        &streamed.text,
        Some(ESSAY_TOKENS),
    )
    .unwrap();

    // A call that must not be repeated has run once, although its answer is lost in the silence.
    let key = format!("{}-silent", unix_ms());
    let url = fleet.url("entry-1");
    delay_answers(service, 1_500).await;
    let call = tokio::spawn(scan(&url, &key).send());
    tokio::time::sleep(Duration::from_millis(300)).await;
    proxy.silence_open();
    let answer = call.await.unwrap().unwrap();
    let status = answer.status();
    let body = answer.text().await.unwrap();
    assert!(status == 200 || body.contains("unknown"), "{status} {body}");
    assert_eq!(runs(service, &key).await, 1);
    fleet.assert_no_violations().await;
}

/// Guards against a call that must not be repeated but runs twice: with the same key sent to both
/// entries at once, repeated after the answer, and after a restart of an entry, a sidecar and a
/// control instance.
#[tokio::test(flavor = "multi_thread")]
async fn call_with_an_idempotency_key_runs_at_most_once() {
    let mut fleet = Fleet::new();
    fleet.start_path(3).await;
    let services: Vec<_> = ["standin-1", "standin-2"]
        .map(|name| fleet.daemons[name].service.unwrap())
        .into();
    for service in &services {
        delay_answers(*service, 200).await;
    }
    let total = |key: String| {
        let services = services.clone();
        async move {
            let mut sum = 0;
            for service in services {
                sum += runs(service, &key).await;
            }
            sum
        }
    };
    for round in 0..6 {
        let key = format!("{}-round-{round}", unix_ms());
        let urls = [fleet.url("entry-1"), fleet.url("entry-2")];
        let calls: Vec<_> = (0..6)
            .map(|number| tokio::spawn(scan(&urls[number % 2], &key).send()))
            .collect();
        tokio::time::sleep(Duration::from_millis(100)).await;
        match round {
            3 => fleet.restart("entry-1"),
            4 => fleet.restart("sidecar-1"),
            5 => fleet.restart("control-1"),
            _ => {}
        }
        let mut served = 0;
        for call in calls {
            match call.await.unwrap() {
                Ok(answer) if answer.status() == 200 => served += 1,
                Ok(answer) => {
                    let body = answer.text().await.unwrap();
                    assert!(
                        round >= 3 && body.contains("outcome"),
                        "round {round}: {body}"
                    );
                }
                Err(_) => assert_eq!(round, 3, "only a killed entry breaks a connection"),
            }
        }
        assert!(
            round >= 3 || served == 6,
            "round {round}: only {served} of 6 callers got the answer"
        );
        fleet.wait_ready("entry-1").await;
        fleet.wait_ready("control-1").await;
        let again = scan(&urls[1], &key).send().await.unwrap();
        let status = again.status();
        let body = again.text().await.unwrap();
        assert!(
            round >= 3 || status == 200,
            "round {round}: {status} {body}"
        );
        let ran = total(key.clone()).await;
        assert!(ran <= 1, "round {round}: ran {ran} times");
        assert!(ran == 1 || !body.contains("\"unknown\"") || round >= 3);
        assert!(
            ran == 0 || !body.contains("\"not_run\""),
            "round {round}: ran, but {body}"
        );
    }
    fleet.assert_no_violations().await;
}

/// Makes a stand-in service delay its answers after it has run a call.
async fn delay_answers(service: std::net::SocketAddr, answer_delay_ms: u64) {
    let fault = serde_json::json!({ "answer_delay_ms": answer_delay_ms });
    let url = format!("http://{service}/standin/fault");
    let answer = client().post(url).json(&fault).send().await.unwrap();
    assert!(answer.status().is_success());
}

/// Returns a gate scan request, a call that may run at most once.
fn scan(url: &str, key: &str) -> reqwest::RequestBuilder {
    client()
        .post(format!("{url}/svc/cards/scan"))
        .header("Lilac-Workspace", "demo")
        .header("Lilac-Kind", "scan")
        .header("Idempotency-Key", key)
        .body("{\"casing\": 17}")
}

/// Returns how often a stand-in service ran the call with a key.
async fn runs(service: std::net::SocketAddr, key: &str) -> u64 {
    let answer = client()
        .get(format!("http://{service}/standin/runs"))
        .send()
        .await
        .unwrap();
    let body: serde_json::Value = answer.json().await.unwrap();
    body["by_key"][key].as_u64().unwrap_or(0)
}
