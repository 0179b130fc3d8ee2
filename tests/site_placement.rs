//! Generations that wait for engine capacity, tested with real processes.

mod site_support;

use std::time::Duration;

use serde_json::Value;
use tokio::time::Instant;

use site_support::{Reply, Request, Site, document, patient_caller, sse, wait_routable};

/// Returns a document whose engines have memory for a single generation of these tests.
fn small_engines() -> Value {
    let mut document = document(1);
    document["services"][1]["engine"]["kvCacheTokens"] = 4_000.into();
    document
}

/// Starts an entry and an engine whose generations for `/stream/x` take the given time.
async fn site_with_engine(generation: Duration) -> (Site, site_support::Upstream) {
    let mut site = Site::serving(&small_engines()).await;
    let script = move |request: &Request| {
        let id = request.id();
        vec![
            Reply::Bytes(sse(id, 1..=1, true, false)),
            Reply::Pause(match request.path.as_str() {
                "/stream/x" => generation,
                _ => Duration::ZERO,
            }),
            Reply::Bytes(sse(id, 2..=2, false, true)),
        ]
    };
    let upstream = site.upstream("model", script).await;
    wait_routable(&site, "/stream/warm").await;
    (site, upstream)
}

/// Guards against refusing a generation although an engine will have capacity shortly.
#[tokio::test]
async fn generation_waits_for_capacity_at_the_hub() {
    let (site, _upstream) = site_with_engine(Duration::from_millis(150)).await;
    let first = patient_caller(&site, "/stream/x", "id-1", 5_000).send();
    let first = first.await.unwrap();
    let second = patient_caller(&site, "/stream/x", "id-2", 5_000).send();
    let second = second.await.unwrap();
    assert_eq!(first.status(), 200);
    assert_eq!(second.status(), 200);
    first.bytes().await.unwrap();
    second.bytes().await.unwrap();
    let waited = site.log_lines("entry-1", "waiting for engine capacity");
    assert!(
        waited.iter().any(|line| line.contains("id-2")),
        "{waited:?}"
    );
    let found = site.log_lines("entry-1", "engine with free capacity found");
    assert!(
        found.iter().any(|line| line.contains("\"by_hub\":true")),
        "{found:?}"
    );
}

/// Guards against a generation that waits longer than its latency target, and against sending it to
/// an engine without capacity after the wait.
#[tokio::test]
async fn generation_without_capacity_is_refused_within_its_latency_target() {
    let (site, upstream) = site_with_engine(Duration::from_secs(3)).await;
    let first = patient_caller(&site, "/stream/x", "id-1", 5_000).send();
    let _first = first.await.unwrap();
    let begun = Instant::now();
    let refused = patient_caller(&site, "/stream/x", "id-2", 5_000).send();
    let refused = refused.await.unwrap();
    assert_eq!(refused.status(), 503);
    assert!(refused.headers().contains_key("retry-after"));
    // The target of the route is one second.
    assert!(begun.elapsed() < Duration::from_millis(800));
    assert_eq!(upstream.requests("/stream/x").len(), 1);
}
