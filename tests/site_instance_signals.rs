//! Instances that signal in their response headers that they are shutting down, or that they want
//! no requests for some time. Tested through real entry processes.

mod site_support;

use std::time::{Duration, Instant};

use tokio::time::sleep;

use site_support::{
    Reply, Request, Site, Upstream, answer, call, document, proper, sse, wait_for, with_header,
};

const NOT_RUN: (&str, &str) = ("X-Lilacspindle-Not-Executed", "1");

/// Responds normally; responses to `/once/last` announce that the instance is shutting down.
fn leaves_when_asked(request: &Request) -> Vec<Reply> {
    match request.path.as_str() {
        "/once/last" => with_header(proper(request), "Server-Leaving: 1"),
        _ => proper(request),
    }
}

async fn wait_used(site: &Site, upstreams: &[&Upstream]) {
    wait_for("all instances are used", || async {
        call(site, "/once/x", "id-x").await;
        let is_used = |upstream: &&Upstream| !upstream.requests("/once/x").is_empty();
        upstreams.iter().all(is_used)
    })
    .await;
}

/// Guards against new requests for an instance that has announced its shutdown in a response while
/// the platform still lists it as ready: from the entry that got the response, from another entry,
/// and from one that starts later.
#[tokio::test]
async fn instance_that_announces_its_shutdown_gets_no_new_requests() {
    let mut site = Site::serving(&document(1)).await;
    site.start_entry(2);
    let one = site.upstream("plain", leaves_when_asked).await;
    let two = site.upstream("plain", leaves_when_asked).await;
    site.wait_ready(2).await;
    wait_used(&site, &[&one, &two]).await;
    assert_eq!(call(&site, "/once/last", "id-1").await.status(), 200);
    let (gone, left) = match one.requests("/once/last").len() {
        1 => (one, two),
        _ => (two, one),
    };
    for attempt in 0..20 {
        let id = format!("id-2-{attempt}");
        assert_eq!(call(&site, "/once/after", &id).await.status(), 200);
    }
    assert!(gone.requests("/once/after").is_empty());
    wait_for("the hub reports the instance as draining", || async {
        !site.log_lines("control-1", "Draining").is_empty()
    })
    .await;
    site.start_entry(3);
    site.wait_ready(3).await;
    sleep(Duration::from_millis(500)).await;
    for machine in [2, 3] {
        for _ in 0..20 {
            let url = format!("http://{}/once/other", site.caller_address(machine));
            let sent = site_support::client()
                .post(url)
                .header("Host", "calls.example");
            let sent = sent.header("Authorization", "Bearer k1").send().await;
            assert_eq!(sent.unwrap().status(), 200);
        }
    }
    assert!(gone.requests("/once/other").is_empty());
    assert_eq!(left.requests("/once/other").len(), 40);
}

/// Guards against an entry that handles the shutdown header of a streamed response only when the
/// stream ends, seconds later, and against callers that wait for an engine while all are leaving.
#[tokio::test]
async fn shutdown_header_of_a_stream_takes_effect_at_once() {
    let mut site = Site::serving(&document(1)).await;
    let engine = site
        .upstream("model", |request: &Request| {
            let id = request.id();
            with_header(
                vec![
                    Reply::Bytes(sse(id, 1..=1, true, false)),
                    Reply::Pause(Duration::from_millis(1_500)),
                    Reply::Bytes(sse(id, 2..=2, false, true)),
                ],
                "Server-Leaving: 1",
            )
        })
        .await;
    wait_for("the engine receives requests", || async {
        call(&site, "/stream/x", "id-1").await.status() == 200
    })
    .await;
    let asked_at = Instant::now();
    let refused = call(&site, "/stream/x", "id-2").await;
    assert_eq!(refused.status(), 503);
    assert!(refused.headers().contains_key("retry-after"));
    assert!(
        asked_at.elapsed() < Duration::from_millis(900),
        "refused at once"
    );
    assert_eq!(engine.requests("/stream/x").len(), 1);
}

/// Guards against requests for an instance that has asked for a pause, and against a `Retry-After`
/// that ends before any instance is available again.
#[tokio::test]
async fn instance_gets_no_requests_during_the_pause_it_asked_for() {
    let mut site = Site::serving(&document(1)).await;
    let busy = |request: &Request| match request.path.as_str() {
        "/once/busy" => {
            let id = ("X-Lilacspindle-Request-Id", request.id());
            let headers = [NOT_RUN, id, ("Retry-After", "2.5")];
            vec![Reply::Bytes(answer("503 Busy", &headers, b""))]
        }
        _ => proper(request),
    };
    let one = site.upstream("plain", busy).await;
    let two = site.upstream("plain", busy).await;
    wait_used(&site, &[&one, &two]).await;
    let asked_at = Instant::now();
    // Both instances refuse this request and are paused.
    let refused = call(&site, "/once/busy", "id-1").await;
    assert_eq!(refused.status(), 503);
    let retry_after = refused.headers()["retry-after"].to_str().unwrap();
    let retry_after: f64 = retry_after.parse().unwrap();
    assert!((1.5..=3.6).contains(&retry_after), "{retry_after}");
    while asked_at.elapsed() < Duration::from_secs(2) {
        assert_eq!(call(&site, "/once/after", "id-2").await.status(), 503);
        sleep(Duration::from_millis(50)).await;
    }
    let reached = one.requests("/once/after").len() + two.requests("/once/after").len();
    assert_eq!(reached, 0);
    wait_for("the instances are used again", || async {
        call(&site, "/once/again", "id-3").await.status() == 200
    })
    .await;
    assert!(asked_at.elapsed() >= Duration::from_millis(2_400));
}

/// Guards against a refused request that is not retried at another instance because the refusal
/// came with a `Retry-After`.
#[tokio::test]
async fn refusal_with_retry_after_is_retried_at_another_instance() {
    let mut site = Site::serving(&document(1)).await;
    let _busy = site
        .upstream("plain", |request: &Request| {
            let id = ("X-Lilacspindle-Request-Id", request.id());
            let headers = [NOT_RUN, id, ("Retry-After", "60")];
            vec![Reply::Bytes(answer("503 Busy", &headers, b""))]
        })
        .await;
    let free = site.upstream("plain", proper).await;
    wait_for("the free instance receives requests", || async {
        call(&site, "/once/x", "id-0").await.status() == 200
    })
    .await;
    for attempt in 0..20 {
        let id = format!("id-{attempt}");
        assert_eq!(call(&site, "/once/y", &id).await.status(), 200);
    }
    assert_eq!(free.requests("/once/y").len(), 20);
}

/// Guards against reading the reports or the health of an engine that has asked for a pause.
#[tokio::test]
async fn sidecar_does_not_call_its_engine_during_the_pause_it_asked_for() {
    let mut site = Site::serving(&document(1)).await;
    let engine = site
        .upstream("model", |request: &Request| match request.path.as_str() {
            "/report" => vec![Reply::Bytes(answer(
                "503 Busy",
                &[("Retry-After", "1.5")],
                b"",
            ))],
            _ => proper(request),
        })
        .await;
    site.start_sidecar(&engine);
    wait_for("the sidecar has read the report", || async {
        !engine.requests("/report").is_empty()
    })
    .await;
    sleep(Duration::from_millis(1_200)).await;
    assert_eq!(engine.requests("/").len(), 1);
    wait_for("the sidecar reads the report again", || async {
        engine.requests("/report").len() == 2
    })
    .await;
}
