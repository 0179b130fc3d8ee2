//! The service stand-in over HTTP.

use std::net::SocketAddr;

use lilacspindle::roles::standin::{RunCounts, StandinServer, start_service};
use reqwest::Client;
use serde_json::json;

async fn call(service: &StandinServer, key: &str) -> u16 {
    let response = Client::new()
        .post(format!("{}/gate/3/scan", service.url()))
        .header("Idempotency-Key", key)
        .body("plate 7")
        .send()
        .await;
    response.expect("service answers").status().as_u16()
}

/// Guards against uncounted runs, above all those after which the call was answered with an error,
/// and against counting calls that failed before they ran.
#[tokio::test(flavor = "multi_thread")]
async fn runs_are_counted_per_key() {
    let service = start_service(SocketAddr::from(([127, 0, 0, 1], 0)))
        .await
        .expect("service starts");
    assert_eq!(call(&service, "1-a").await, 200);
    assert_eq!(call(&service, "1-a").await, 200);
    for (fault, status) in [
        (json!({"fail_after_run_status": 500}), 500),
        (json!({"fail_status": 503}), 503),
    ] {
        let url = format!("{}/standin/fault", service.url());
        let set = Client::new().post(url).json(&fault).send().await;
        assert_eq!(set.expect("fault is set").status(), 200);
        assert_eq!(call(&service, "1-b").await, status);
    }
    let url = format!("{}/standin/runs", service.url());
    let runs = Client::new().get(url).send().await.expect("runs");
    let runs: RunCounts = runs.json().await.expect("JSON");
    assert_eq!(runs.by_key.get("1-a"), Some(&2));
    assert_eq!(runs.by_key.get("1-b"), Some(&1));
    assert_eq!(runs.total, 3);
    assert_eq!(runs.running, 0);
}
