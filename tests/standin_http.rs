//! The engine stand-in over HTTP.

use std::time::Duration;

use futures::StreamExt;
use lilacspindle::roles::standin::{
    CrashFault, EngineConfig, EngineFault, EngineOptions, StandinServer, start_engine,
};
use reqwest::{Client, Response, StatusCode};
use serde_json::{Value, json};

async fn engine(change: impl FnOnce(&mut EngineOptions)) -> StandinServer {
    let mut options = EngineOptions {
        engine: EngineConfig {
            step_us: 2_000,
            load_lag_ms: 0,
            ..EngineConfig::default()
        },
        ..EngineOptions::default()
    };
    change(&mut options);
    start_engine(options).await.expect("engine starts")
}

fn body(target_tokens: u32, name: &str) -> Value {
    json!({"model": "tutor", "prompt": "write an essay", "max_tokens": 100_000,
           "target_tokens": target_tokens, "stream": true, "stream_id": name})
}

async fn start(engine: &StandinServer, body: &Value) -> Response {
    let url = format!("{}/v1/completions", engine.url());
    let response = Client::new().post(url).json(body).send().await;
    response.expect("engine answers")
}

/// Reads up to `limit` token texts. The flag tells whether `[DONE]` was received.
async fn read(response: Response, limit: usize) -> (Vec<String>, bool) {
    let mut texts = Vec::new();
    let mut buffer = String::new();
    let mut stream = response.bytes_stream();
    while let Some(Ok(bytes)) = stream.next().await {
        buffer.push_str(&String::from_utf8_lossy(&bytes));
        while let Some((event, rest)) = buffer.split_once("\n\n") {
            let event = event.to_owned();
            buffer = rest.to_owned();
            let Some(data) = event.strip_prefix("data: ") else {
                continue;
            };
            if data == "[DONE]" {
                return (texts, true);
            }
            let chunk: Value = serde_json::from_str(data).expect("chunk is JSON");
            let text = chunk["choices"][0]["text"].as_str().expect("text");
            if !text.is_empty() {
                texts.push(text.to_owned());
            }
            if texts.len() == limit {
                return (texts, false);
            }
        }
    }
    (texts, false)
}

async fn load(engine: &StandinServer) -> Value {
    let url = format!("{}/load", engine.url());
    let response = Client::new().get(url).send().await.expect("load");
    response.json().await.expect("load is JSON")
}

/// Waits up to 5 s until the engine has no running or waiting sequences. Returns false on
/// time-out.
async fn wait_idle(engine: &StandinServer) -> bool {
    for _ in 0..250 {
        let load = load(engine).await;
        if load["used_tokens"] == 0 && load["running"] == 0 && load["waiting"] == 0 {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    false
}

/// Guards against tokens that are lost or duplicated when a stream is resumed by offset after a
/// closed connection.
#[tokio::test(flavor = "multi_thread")]
async fn dropped_stream_resumes_by_offset() {
    let engine = engine(|_| {}).await;
    let (mut texts, _) = read(start(&engine, &body(200, "s1")).await, 20).await;
    let url = format!("{}/v1/streams/s1?from=20", engine.url());
    let response = Client::new().get(url).send().await.expect("resume");
    assert_eq!(response.status(), StatusCode::OK);
    let (rest, done) = read(response, 10_000).await;
    texts.extend(rest);
    assert!(done);
    let whole = Client::new()
        .get(format!("{}/v1/streams/s1", engine.url()))
        .send()
        .await
        .expect("reread");
    assert_eq!(texts, read(whole, 10_000).await.0);
    assert_eq!(texts.len(), 200);
}

/// Guards against a generation that keeps running after its last reader has left.
#[tokio::test(flavor = "multi_thread")]
async fn unread_generation_is_cancelled_after_the_window() {
    let engine = engine(|options| options.resume_window_ms = 200).await;
    read(start(&engine, &body(1_000_000, "s1")).await, 5).await;
    assert!(wait_idle(&engine).await);
    let url = format!("{}/v1/streams/s1", engine.url());
    let response = Client::new().get(url).send().await.expect("resume");
    assert_eq!(response.status(), StatusCode::GONE);
}

/// Guards against memory that stays in use after a cancellation.
#[tokio::test(flavor = "multi_thread")]
async fn cancel_frees_memory_at_once() {
    let engine = engine(|_| {}).await;
    let response = start(&engine, &body(1_000_000, "s1")).await;
    let url = format!("{}/v1/streams/s1", engine.url());
    let cancel = Client::new().delete(url).send().await.expect("cancel");
    assert_eq!(cancel.status(), StatusCode::OK);
    assert_eq!(load(&engine).await["used_tokens"], 0);
    assert!(!read(response, usize::MAX).await.1);
}

/// Guards against an order with a lower fencing number than an earlier one being accepted while
/// fencing numbers are checked, or refused while they are not.
#[tokio::test(flavor = "multi_thread")]
async fn old_fence_is_refused_or_ignored() {
    for checks_fence in [true, false] {
        let engine = engine(|options| options.checks_fence = checks_fence).await;
        let order = |fence: u64| {
            let order = json!({"fence": fence, "action": "unload", "model": "tutor",
                               "version": "v1"});
            let url = format!("{}/orders", engine.url());
            Client::new().post(url).json(&order).send()
        };
        assert_eq!(order(7).await.expect("order").status(), StatusCode::OK);
        let old = order(6).await.expect("order");
        if checks_fence {
            assert_eq!(old.status(), StatusCode::CONFLICT);
            let body: Value = old.json().await.expect("JSON");
            assert_eq!(body["fence"], 7);
        } else {
            assert_eq!(old.status(), StatusCode::OK);
        }
        let refused = start(&engine, &body(5, "s1")).await;
        assert_eq!(refused.status(), StatusCode::NOT_FOUND);
    }
}

/// Guards against a model version that serves requests before its weights are loaded.
#[tokio::test(flavor = "multi_thread")]
async fn loading_takes_time() {
    let engine = engine(|options| options.weight_bytes = 4_000_000_000).await;
    let order = json!({"fence": 1, "action": "load", "model": "tutor", "version": "v2"});
    let url = format!("{}/orders", engine.url());
    let sent = Client::new().post(url).json(&order).send().await;
    assert_eq!(sent.expect("order").status(), StatusCode::OK);
    let mut request = body(5, "s1");
    request["model"] = json!("tutor@v2");
    let early = start(&engine, &request).await;
    assert_eq!(early.status(), StatusCode::NOT_FOUND);
    for _ in 0..100 {
        tokio::time::sleep(Duration::from_millis(100)).await;
        if start(&engine, &request).await.status() == StatusCode::OK {
            return;
        }
    }
    panic!("version v2 was not ready after 10 s, although its load takes 2 s");
}

/// Guards against a dropped generation that clients take for a complete output.
#[tokio::test(flavor = "multi_thread")]
async fn crashed_stream_has_no_end() {
    let engine = engine(|_| {}).await;
    engine.inject(EngineFault {
        crash: Some(CrashFault {
            stream_id: None,
            after_tokens: 10,
        }),
        ..EngineFault::default()
    });
    let (texts, done) = read(start(&engine, &body(50, "s1")).await, 1_000).await;
    assert!(!done);
    assert_eq!(texts.len(), 10);
    assert_eq!(load(&engine).await["used_tokens"], 0);
}

/// Guards against a hung engine that answers, and against one that loses an accepted request.
#[tokio::test(flavor = "multi_thread")]
async fn hung_engine_accepts_but_never_answers() {
    let engine = engine(|_| {}).await;
    let hang = |hang| EngineFault {
        hang: Some(hang),
        ..EngineFault::default()
    };
    engine.inject(hang(true));
    let request = body(5, "s1");
    let answer = start(&engine, &request);
    tokio::pin!(answer);
    let waited = tokio::time::timeout(Duration::from_millis(300), &mut answer).await;
    assert!(waited.is_err());
    engine.inject(hang(false));
    let (texts, done) = read(answer.await, 100).await;
    assert!(done);
    assert_eq!(texts.len(), 5);
}

/// Guards against a chat response without streaming that ignores `max_tokens` or lacks text, usage
/// or finish reason.
#[tokio::test(flavor = "multi_thread")]
async fn whole_chat_answer_has_text_and_usage() {
    let engine = engine(|_| {}).await;
    let request = json!({"model": "advisor", "max_tokens": 10, "target_tokens": 30,
                         "messages": [{"role": "user", "content": "why is it worn"}]});
    let url = format!("{}/v1/chat/completions", engine.url());
    let response = Client::new().post(url).json(&request).send().await;
    let answer: Value = response.expect("answer").json().await.expect("JSON");
    assert_eq!(answer["usage"]["completion_tokens"], 10);
    assert_eq!(answer["choices"][0]["finish_reason"], "length");
    let text = answer["choices"][0]["message"]["content"].as_str();
    assert_eq!(text.expect("text").split_whitespace().count(), 10);
}
