//! Tests reads of the platform's instance list over its published HTTP calls.

mod site_support;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use http::StatusCode;
use lilacspindle::platform::{CallFailure, read_list};
use serde_json::json;
use tokio::net::TcpListener;

use site_support::{Reply, Request, Upstream, answer};

const LIMIT: Duration = Duration::from_secs(10);
const PAGES: usize = 3;

async fn platform(reply: impl Fn(&Request) -> Vec<Reply> + Send + Sync + 'static) -> Upstream {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    Upstream::serving(listener, reply)
}

fn rate_limited() -> Vec<Reply> {
    vec![Reply::Bytes(answer("429 Too Many Requests", &[], b""))]
}

/// Returns the page that a path requests, with one instance.
fn page(path: &str) -> Vec<Reply> {
    let token = path.split_once("pageToken=p-");
    let number: usize = token.map_or(0, |(_, number)| number.parse().unwrap());
    let instance = json!({"identifier": format!("i-{number}"), "service": "model",
        "address": "127.0.0.1:8080", "zone": "z1", "slots": 24, "state": "ready"});
    let next = (number + 1 < PAGES).then(|| format!("p-{}", number + 1));
    let body = json!({"instances": [instance], "next": next}).to_string();
    vec![Reply::Bytes(answer("200 OK", &[], body.as_bytes()))]
}

/// Guards against a long list that is never read to its end: on a fleet of 2,998 instances it has
/// 60 pages, and reads that began again with the first page after each rejection kept many
/// processes reading.
#[tokio::test]
async fn rate_limited_page_is_requested_again() {
    let attempts = Arc::new(AtomicUsize::new(0));
    let platform = platform(move |request| {
        let is_second = request.path.ends_with("pageToken=p-1");
        match is_second && attempts.fetch_add(1, Ordering::SeqCst) < 2 {
            true => rate_limited(),
            false => page(&request.path),
        }
    })
    .await;
    let listed = read_list(platform.address, LIMIT).await.unwrap();
    let identities: Vec<&str> = listed.iter().map(|listed| &*listed.identity).collect();
    assert_eq!(identities, ["i-0", "i-1", "i-2"]);
    let calls = platform.seen.lock().unwrap().len();
    assert_eq!(
        calls,
        PAGES + 2,
        "only the second page is requested more than once"
    );
}

/// Guards against a read that never ends, and against one that hides the cause of its failure.
#[tokio::test]
async fn permanently_rate_limited_list_fails_with_the_status() {
    let platform = platform(|_| rate_limited()).await;
    let failure = read_list(platform.address, Duration::from_millis(300)).await;
    let failure = failure.unwrap_err();
    assert!(
        matches!(failure, CallFailure::Status(StatusCode::TOO_MANY_REQUESTS)),
        "{failure}"
    );
}
