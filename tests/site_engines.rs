//! Engines that their sidecars identify before they appear in the platform's instance list.

mod site_support;

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use serde_json::{Value, json};
use tokio::time::sleep;

use site_support::{
    Reply, Request, Site, Upstream, answer, call, document, sse, wait_for, wait_routable,
};

/// Simulates an engine that can be restarted: its identity contains the number of the start, and it
/// executes only requests that are addressed to this identity.
fn engine(start: &Arc<AtomicU64>) -> impl Fn(&Request) -> Vec<Reply> + Send + Sync + 'static {
    let start = Arc::clone(start);
    move |request: &Request| {
        let born = start.load(Ordering::SeqCst);
        let identity = format!("i-start-{born}");
        let headers = [("X-Lilacspindle-Instance-Id", identity.as_str())];
        let reply = match request.path.as_str() {
            "/report" => answer(
                "200 OK",
                &[],
                json!({ "born": born }).to_string().as_bytes(),
            ),
            "/health" => answer("200 OK", &headers, b""),
            _ if request.header("x-lilacspindle-expected-instance") == Some(&identity) => {
                sse(request.id(), 1..=2, true, true)
            }
            _ => {
                let id = ("X-Lilacspindle-Request-Id", request.id());
                answer("421 Misdirected Request", &[id], b"")
            }
        };
        vec![Reply::Bytes(reply)]
    }
}

/// Returns a document with a second service of engines, `other`, for `/other/`.
fn document_with_two_engine_services() -> Value {
    let mut document = document(1);
    let mut service = document["services"][1].clone();
    service["name"] = json!("other");
    document["services"].as_array_mut().unwrap().push(service);
    let mut route = document["routes"][2].clone();
    route["name"] = json!("other");
    route["pathPrefix"] = json!("/other/");
    route["service"] = json!("other");
    document["routes"].as_array_mut().unwrap().push(route);
    document
}

/// Returns the number of health checks, which return the identity, that an engine has received.
fn health_checks(engine: &Upstream) -> usize {
    engine.requests("/health").len()
}

/// Guards against an engine that gets no requests until it is listed, and against repeated health
/// checks, which the platform charges for.
#[tokio::test]
async fn engine_serves_before_it_is_listed() {
    let mut site = Site::serving(&document(1)).await;
    let start = Arc::new(AtomicU64::new(1));
    let upstream = site.unlisted_upstream(engine(&start)).await;
    site.start_sidecar(&upstream);
    wait_routable(&site, "/stream/x").await;
    let got = call(&site, "/stream/x", "id-1").await;
    assert_eq!(got.status(), 200);
    sleep(Duration::from_millis(700)).await;
    assert_eq!(health_checks(&upstream), 1);
}

/// Guards against requests that are addressed to the identity that an engine had before its
/// restart. After a power loss the list contains the old identities for most of a second, and
/// callers are refused.
#[tokio::test]
async fn restarted_engine_is_identified_again() {
    let mut site = Site::serving(&document(1)).await;
    let start = Arc::new(AtomicU64::new(1));
    let upstream = site.unlisted_upstream(engine(&start)).await;
    site.start_sidecar(&upstream);
    wait_routable(&site, "/stream/x").await;
    start.store(2, Ordering::SeqCst);
    wait_for("the restarted engine receives requests", || async {
        call(&site, "/stream/x", "id-1").await.status() == 200
    })
    .await;
    assert_eq!(health_checks(&upstream), 2);
}

/// Guards against repeated health checks of an engine because some of its reports lack the start
/// time.
#[tokio::test]
async fn report_without_a_start_time_keeps_the_known_identity() {
    let mut site = Site::serving(&document(1)).await;
    let reads = Arc::new(AtomicU64::new(0));
    let complete = engine(&Arc::new(AtomicU64::new(1)));
    let count = Arc::clone(&reads);
    let script = move |request: &Request| match request.path.as_str() {
        "/report" if count.fetch_add(1, Ordering::SeqCst) % 2 == 1 => {
            vec![Reply::Bytes(answer("200 OK", &[], b"{}"))]
        }
        _ => complete(request),
    };
    let upstream = site.unlisted_upstream(script).await;
    site.start_sidecar(&upstream);
    wait_routable(&site, "/stream/x").await;
    let before = reads.load(Ordering::SeqCst);
    wait_for("more reports are read", || async {
        reads.load(Ordering::SeqCst) > before + 10
    })
    .await;
    assert_eq!(health_checks(&upstream), 1);
}

/// Guards against requests that are sent to an engine of another service: the address of an engine
/// that has ended was assigned to it, and the sidecar still has the settings from before.
#[tokio::test]
async fn engine_of_another_service_at_the_address_is_not_announced() {
    for is_reloaded in [true, false] {
        let mut site = Site::serving(&document_with_two_engine_services()).await;
        let first = site
            .unlisted_upstream(engine(&Arc::new(AtomicU64::new(1))))
            .await;
        let address = first.address;
        site.start_sidecar(&first);
        wait_routable(&site, "/stream/x").await;
        first.stop().await;
        // An address is not assigned again before 2 s have passed.
        sleep(Duration::from_millis(2_300)).await;
        let other = Upstream::start(address, engine(&Arc::new(AtomicU64::new(2)))).await;
        if is_reloaded {
            site.set_sidecar_engine(address, "other");
            site.signal("sidecar-1", "HUP");
        }
        for attempt in 0..20 {
            call(&site, "/stream/x", &format!("id-{attempt}")).await;
            sleep(Duration::from_millis(50)).await;
        }
        assert!(other.requests("/stream/").is_empty(), "{is_reloaded}");
        if is_reloaded {
            wait_for("the engine serves its own service", || async {
                call(&site, "/other/x", "id-o").await.status() == 200
            })
            .await;
        }
    }
}

/// Guards against an engine that gets no requests after a longer restart with its identity, although
/// that shows to which service it belongs.
#[tokio::test]
async fn engine_that_returns_with_its_identity_is_announced_again() {
    let mut site = Site::serving(&document(1)).await;
    let start = Arc::new(AtomicU64::new(1));
    let first = site.unlisted_upstream(engine(&start)).await;
    let address = first.address;
    site.start_sidecar(&first);
    wait_routable(&site, "/stream/x").await;
    first.stop().await;
    sleep(Duration::from_millis(2_300)).await;
    let again = Upstream::start(address, engine(&start)).await;
    wait_for("the engine receives requests again", || async {
        call(&site, "/stream/x", "id-1").await.status() == 200
    })
    .await;
    assert_eq!(health_checks(&again), 1);
}
