//! The document that a run publishes first.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde_json::{Value, json};
use tokio::time::sleep;
use xxhash_rust::xxh3::xxh3_64;

use super::recorder::Recorder;
use crate::platform::paths;
use crate::soak::history::{Publication, SentDocument, SentRoute};

pub(super) const PLAIN_SERVICE: &str = "sums";
pub(super) const ENGINE_SERVICE: &str = "essays";
const HOST: &str = "soak.example";
const STREAM_TIMEOUT_MS: u64 = 20_000;
const PLAIN_TIMEOUT_MS: u64 = 4_000;
const RETRY_DELAY: Duration = Duration::from_millis(100);
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

fn routes() -> Vec<SentRoute> {
    let route = |prefix: &str, service: &str, is_stream, is_safe| SentRoute {
        host: HOST.into(),
        prefix: prefix.into(),
        services: vec![service.into()],
        timeout_ms: if is_stream {
            STREAM_TIMEOUT_MS
        } else {
            PLAIN_TIMEOUT_MS
        },
        is_stream,
        is_safe,
        max_attempts: if is_safe { 2 } else { 1 },
        is_anonymous: prefix == "/open/",
    };
    vec![
        route("/once/", PLAIN_SERVICE, false, false),
        route("/safe/", PLAIN_SERVICE, false, true),
        route("/open/", PLAIN_SERVICE, false, true),
        // Most calls are streams.
        route("/essay-a/", ENGINE_SERVICE, true, false),
        route("/essay-b/", ENGINE_SERVICE, true, false),
        route("/essay-c/", ENGINE_SERVICE, true, false),
    ]
}

/// Returns the first document, and its body.
pub(super) fn first() -> (SentDocument, Vec<u8>) {
    let routes = routes();
    let wire: Vec<Value> = routes
        .iter()
        .map(|route| {
            let kind = match (route.is_stream, route.is_safe) {
                (true, _) => "streaming",
                (_, true) => "safe",
                _ => "unsafe",
            };
            json!({
                "name": route.prefix.trim_matches('/'), "host": route.host,
                "pathPrefix": route.prefix, "kind": kind, "timeoutMs": route.timeout_ms,
                "targetLatencyMs": 1_500, "priority": 1, "service": route.services[0],
                "maxAttempts": route.max_attempts, "allowAnonymous": route.is_anonymous,
                "stickySessions": route.is_stream, "gapTargetMs": 180,
            })
        })
        .collect();
    let body = json!({
        "version": 1, "routes": wire,
        "services": [
            {"name": PLAIN_SERVICE, "healthCheckPath": "/health", "maxConnections": 400},
            {"name": ENGINE_SERVICE, "healthCheckPath": "/health", "maxConnections": 400,
                "engine": {"slots": super::upstreams::SLOTS, "kvCacheTokens": 200_000,
                    "kvBytes": 163_840, "linkMbps": 24_000.0, "moves": true, "backups": true,
                    "stride": 4, "most": 12, "pinMs": 4000.0, "holdMs": 2000.0, "handleS": 5.0,
                    "models": [{"name": "m"}]}},
        ],
        "limits": {"maxHeaderBytes": 16_384, "maxBodyBytes": 4_194_304,
            "headerTimeoutMs": 3000, "idleTimeoutMs": 15_000},
        "tenants": [{"name": "w1", "apiKeys": ["key-1", "key-2"], "priority": 1},
            {"name": "w2", "apiKeys": ["key-3"], "priority": 1}],
    });
    let workspaces = [("key-1", "w1"), ("key-2", "w1"), ("key-3", "w2")];
    let keys = workspaces
        .iter()
        .map(|(key, workspace)| (Arc::from(*key), Arc::from(*workspace)))
        .collect();
    let sent = SentDocument {
        version: 1,
        fault: None,
        routes,
        keys,
    };
    (sent, body.to_string().into_bytes())
}

/// Publishes the first document through the control processes in turn until it is acknowledged.
pub(super) async fn publish_first(
    recorder: &Recorder,
    controls: &[(Arc<str>, SocketAddr)],
) -> reqwest::Result<Arc<SentDocument>> {
    let client = reqwest::Client::builder().timeout(ANSWER_TIMEOUT).build()?;
    let (sent, body) = first();
    let content = xxh3_64(&body);
    recorder.history().documents.insert(content, sent.clone());
    loop {
        for (process, address) in controls {
            let sent_ms = recorder.now_ms();
            let url = format!("http://{address}{}", paths::PUBLISH);
            let answer = client.post(url).body(body.clone()).send().await.ok();
            let status = answer.map(|answer| answer.status().as_u16());
            recorder.history().publications.push(Publication {
                version: sent.version,
                content,
                process: Arc::clone(process),
                sent_ms,
                answered_ms: status.map(|_| recorder.now_ms()),
                status,
            });
            if status == Some(200) {
                return Ok(Arc::new(sent));
            }
            sleep(RETRY_DELAY).await;
        }
    }
}
