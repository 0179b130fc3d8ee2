//! Callers' requests through a real entry process to upstream instances that misbehave.

mod site_support;

use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use site_support::{
    Reply, Request, Site, answer, call, caller, client, document, patient_caller, proper, sse,
    wait_for, wait_routable,
};

const NOT_RUN: (&str, &str) = ("X-Lilacspindle-Not-Executed", "1");

/// Returns the header in which instances echo the request id.
fn echoed_id(request: &Request) -> (&str, &str) {
    ("X-Lilacspindle-Request-Id", request.id())
}

const SEALED: (&str, &str) = ("X-Lilacspindle-Response-Seal", "seal");

/// Guards against forwarding a changed body, the API key or system headers set by the caller, and
/// against requests without a deadline or an expected instance.
#[tokio::test]
async fn request_is_forwarded_unchanged_except_for_system_headers() {
    let mut site = Site::serving(&document(1)).await;
    let upstream = site.upstream("plain", proper).await;
    wait_routable(&site, "/once/x").await;
    let sent = caller(&site, "/once/a%2Fb?q=1", "id-1")
        .header("X-Lilacspindle-Tenant", "somebody")
        .header("X-Lilacspindle-Hold", "h")
        .header("X-Lilacspindle-Cache-Backup", "127.0.0.1:1")
        .header("Kv-From", "127.0.0.1:1/x")
        .header("X-Own", "kept");
    let answer = sent.send().await.unwrap();
    assert_eq!(answer.status(), 200);
    assert_eq!(answer.headers()["x-lilacspindle-response-seal"], "seal");
    assert_eq!(answer.bytes().await.unwrap(), "proper");
    let seen = upstream.requests("/once/a%2Fb?q=1");
    let request = &seen[0];
    assert_eq!(request.method, "POST");
    assert_eq!(request.body, b"the body");
    assert_eq!(request.header("host"), Some("calls.example"));
    assert_eq!(request.header("x-own"), Some("kept"));
    assert_eq!(request.header("x-lilacspindle-tenant"), Some("w1"));
    assert_eq!(
        request.header("x-lilacspindle-expected-instance"),
        Some(&*upstream.identity)
    );
    let deadline_ms: u64 = request
        .header("x-lilacspindle-deadline-milliseconds")
        .unwrap()
        .parse()
        .unwrap();
    assert!((2_000..=3_000).contains(&deadline_ms), "{deadline_ms}");
    for name in [
        "authorization",
        "x-lilacspindle-hold",
        "x-lilacspindle-cache-backup",
        "kv-from",
    ] {
        assert_eq!(request.header(name), None, "{name}");
    }
}

/// Guards against a wrong status for requests that the document does not allow.
#[tokio::test]
async fn denied_requests_get_the_right_status() {
    let mut site = Site::serving(&document(1)).await;
    let upstream = site.upstream("plain", proper).await;
    wait_routable(&site, "/once/x").await;
    let url = |path: &str| format!("http://{}{path}", site.caller_address(1));
    let status = async |path: &str, host: &str, key: &str, body: Vec<u8>| {
        let sent = client().post(url(path)).header("Host", host).body(body);
        let sent = sent.header("Authorization", format!("Bearer {key}"));
        sent.send().await.unwrap().status().as_u16()
    };
    assert_eq!(
        status("/once/x", "calls.example", "k1", Vec::new()).await,
        200
    );
    assert_eq!(
        status("/once/x", "other.example", "k1", Vec::new()).await,
        404
    );
    assert_eq!(
        status("/oncex", "calls.example", "k1", Vec::new()).await,
        404
    );
    assert_eq!(
        status("/once", "calls.example", "k1", Vec::new()).await,
        404
    );
    assert_eq!(
        status("/once/x", "calls.example", "unknown", Vec::new()).await,
        401
    );
    assert_eq!(
        status("/once/x", "calls.example", "k1", vec![0; 70_000]).await,
        413
    );
    let denied = upstream.requests("/").len();
    assert!(denied <= 2, "{denied} requests reached the instance");
}

/// Guards against forwarding malformed requests, including those that could smuggle a second
/// request.
#[tokio::test]
async fn malformed_requests_never_reach_an_instance() {
    let mut site = Site::serving(&document(1)).await;
    let upstream = site.upstream("plain", proper).await;
    wait_routable(&site, "/once/x").await;
    let head = "POST /once/raw HTTP/1.1\r\nHost: calls.example\r\nAuthorization: Bearer k1\r\n";
    let long = format!("{head}X-Long: {}\r\n\r\n", "x".repeat(40_000));
    let cases = [
        (
            format!("{head}Content-Length: 3\r\nContent-Length: 5\r\n\r\nabcde"),
            "400",
        ),
        (format!("{head}Content-Length: x\r\n\r\n"), "400"),
        (long, "431"),
    ];
    for (bytes, status) in cases {
        let mut stream = TcpStream::connect(site.caller_address(1)).await.unwrap();
        // Ignored: the entry may respond and close the connection before it has read everything.
        let _ = stream.write_all(bytes.as_bytes()).await;
        let mut answer = vec![0; 64];
        let length = stream.read(&mut answer).await.unwrap_or(0);
        let answer = String::from_utf8_lossy(&answer[..length]).into_owned();
        assert!(answer.contains(status), "expected {status}, got {answer:?}");
    }
    assert!(upstream.requests("/once/raw").is_empty());
}

/// Guards against executing a request twice when its response is lost after the instance has read
/// it.
#[tokio::test]
async fn non_repeatable_call_is_not_retried_after_a_lost_response() {
    let mut site = Site::serving(&document(1)).await;
    let script = |request: &Request| match request.path.as_str() {
        "/once/lost" => vec![Reply::Close],
        "/once/half" => {
            let mut half = answer("200 OK", &[echoed_id(request), SEALED], b"0123456789");
            half.truncate(half.len() - 4);
            vec![Reply::Bytes(half)]
        }
        _ => proper(request),
    };
    let first = site.upstream("plain", script).await;
    let second = site.upstream("plain", script).await;
    wait_routable(&site, "/once/x").await;
    for path in ["/once/lost", "/once/half"] {
        let lost = call(&site, path, "id-lost").await;
        assert_eq!(lost.status(), if path == "/once/lost" { 502 } else { 504 });
        assert!(lost.headers().get("x-lilacspindle-response-seal").is_none());
        let runs = first.requests(path).len() + second.requests(path).len();
        assert_eq!(runs, 1, "{path}");
    }
}

/// Guards against failing a repeatable call after a single lost response, and against sending it to
/// more instances than its route allows.
#[tokio::test]
async fn repeatable_call_is_retried_at_one_other_instance_only() {
    let mut site = Site::serving(&document(1)).await;
    let script = |request: &Request| match request.path.as_str() {
        "/safe/lost" => vec![Reply::Close],
        "/safe/fails" => vec![Reply::Bytes(answer(
            "500 Failed",
            &[("X-Seal", "s"), echoed_id(request)],
            b"bad",
        ))],
        _ => proper(request),
    };
    let mut upstreams = Vec::new();
    for _ in 0..3 {
        upstreams.push(site.upstream("plain", script).await);
    }
    wait_routable(&site, "/safe/x").await;
    wait_for("all instances are used", || async {
        call(&site, "/safe/x", "id-x").await;
        upstreams
            .iter()
            .all(|upstream| !upstream.requests("/safe/x").is_empty())
    })
    .await;
    assert_eq!(call(&site, "/safe/lost", "id-1").await.status(), 502);
    let failed = call(&site, "/safe/fails", "id-2").await;
    assert_eq!(failed.status(), 500);
    assert_eq!(failed.bytes().await.unwrap(), "bad");
    for path in ["/safe/lost", "/safe/fails"] {
        let sent: usize = upstreams
            .iter()
            .map(|upstream| upstream.requests(path).len())
            .sum();
        assert_eq!(sent, 2, "{path}");
    }
}

/// Guards against a wrong refusal, and against refusing a call while another instance is available.
#[tokio::test]
async fn call_refused_by_an_instance_is_retried_elsewhere_or_refused_with_503() {
    let mut site = Site::serving(&document(1)).await;
    let full = site
        .upstream("plain", |request: &Request| {
            let headers = [NOT_RUN, echoed_id(request)];
            vec![Reply::Bytes(answer("503 Full", &headers, b""))]
        })
        .await;
    wait_for("the full instance has received a request", || async {
        call(&site, "/once/x", "id-0").await;
        !full.requests("/").is_empty()
    })
    .await;
    let refused = call(&site, "/once/x", "id-1").await;
    assert_eq!(refused.status(), 503);
    let retry_after: f64 = refused.headers()["retry-after"]
        .to_str()
        .unwrap()
        .parse()
        .unwrap();
    assert!(retry_after > 0.0 && retry_after < 5.0, "{retry_after}");
    let free = site.upstream("plain", proper).await;
    wait_for("the free instance receives requests", || async {
        call(&site, "/once/y", "id-2").await.status() == 200
    })
    .await;
    assert!(!free.requests("/once/y").is_empty());
}

/// Guards against passing on a 503 of an instance that does not state that the request was not
/// executed: callers would retry a request that may have run.
#[tokio::test]
async fn ambiguous_503_of_an_instance_is_not_passed_on() {
    let mut site = Site::serving(&document(1)).await;
    let _upstream = site
        .upstream("plain", |request: &Request| match request.path.as_str() {
            "/once/x" => vec![Reply::Bytes(answer("503 Odd", &[echoed_id(request)], b""))],
            _ => proper(request),
        })
        .await;
    wait_routable(&site, "/once/warm").await;
    assert_eq!(call(&site, "/once/x", "id-1").await.status(), 502);
}

/// Guards against sending an instance the requests for the previous instance at its address.
#[tokio::test]
async fn misdirected_request_is_retried_at_another_instance() {
    let mut site = Site::serving(&document(1)).await;
    let other = site
        .upstream("plain", |request: &Request| {
            let headers = [
                ("X-Lilacspindle-Instance-Id", "i-other"),
                echoed_id(request),
            ];
            vec![Reply::Bytes(answer(
                "421 Misdirected Request",
                &headers,
                b"",
            ))]
        })
        .await;
    let right = site.upstream("plain", proper).await;
    wait_routable(&site, "/once/x").await;
    for attempt in 0..6 {
        let id = format!("id-{attempt}");
        assert_eq!(call(&site, "/once/x", &id).await.status(), 200);
    }
    // The first 421 tells the entry that the address belongs to a different instance.
    assert!(other.requests("/once/x").len() <= 1);
    assert!(right.requests("/once/x").len() >= 6);
}

/// Guards against giving a caller the response to another request: the instance sends a second
/// response on a keep-alive connection.
#[tokio::test]
async fn extra_response_on_a_reused_connection_reaches_no_caller() {
    let mut site = Site::serving(&document(1)).await;
    let _upstream = site
        .upstream("plain", |request: &Request| {
            let headers = [echoed_id(request), SEALED];
            let mut bytes = answer("200 OK", &headers, request.id().as_bytes());
            bytes.extend_from_slice(&answer("200 OK", &headers, b"extra"));
            vec![Reply::Bytes(bytes)]
        })
        .await;
    wait_routable(&site, "/once/x").await;
    for attempt in 0..20 {
        let id = format!("id-{attempt}");
        let got = call(&site, "/once/x", &id).await;
        let status = got.status();
        let body = got.bytes().await.unwrap();
        assert!(
            status == 502 || (status == 200 && body == id),
            "{status} {body:?}"
        );
    }
}

/// Guards against giving a caller the response to another request that arrives in place of its own.
#[tokio::test]
async fn response_with_another_request_id_reaches_no_caller() {
    let mut site = Site::serving(&document(1)).await;
    let upstream = site
        .upstream("plain", |request: &Request| match request.path.as_str() {
            "/once/crossed" => {
                let headers = [("X-Lilacspindle-Request-Id", "id-of-another"), SEALED];
                vec![Reply::Bytes(answer("200 OK", &headers, b"another's"))]
            }
            _ => proper(request),
        })
        .await;
    wait_routable(&site, "/once/x").await;
    let crossed = call(&site, "/once/crossed", "id-1").await;
    assert_eq!(crossed.status(), 502);
    assert_eq!(upstream.requests("/once/crossed").len(), 1);
    // The connection with the wrong response is not reused.
    assert_eq!(call(&site, "/once/x", "id-2").await.status(), 200);
}

/// Guards against giving a caller a late duplicate of an earlier response: it has no request id,
/// and arrives after the connection has been reused.
#[tokio::test]
async fn late_response_without_a_request_id_reaches_no_caller() {
    let mut site = Site::serving(&document(1)).await;
    let upstream = site
        .upstream("plain", |request: &Request| match request.path.as_str() {
            "/once/second" => vec![Reply::Bytes(answer("200 OK", &[SEALED], b"late copy"))],
            "/once/refused" => vec![Reply::Bytes(answer("503 Full", &[NOT_RUN], b""))],
            _ => proper(request),
        })
        .await;
    wait_routable(&site, "/once/x").await;
    for path in ["/once/second", "/once/refused"] {
        assert_eq!(call(&site, "/once/x", "id-1").await.status(), 200);
        let got = call(&site, path, "id-2").await;
        assert_eq!(got.status(), 502, "{path}");
        assert_eq!(upstream.requests(path).len(), 1, "{path}");
    }
    assert_eq!(call(&site, "/once/x", "id-3").await.status(), 200);
}

/// Guards against losing or truncating a response without a length, which ends when its connection
/// is closed.
#[tokio::test]
async fn response_without_a_length_ends_with_its_connection() {
    let mut site = Site::serving(&document(1)).await;
    let _upstream = site
        .upstream("plain", |_: &Request| {
            let bytes = b"HTTP/1.1 200 OK\r\nX-Lilacspindle-Response-Seal: s\r\n\r\nwhole".to_vec();
            vec![Reply::Bytes(bytes), Reply::Close]
        })
        .await;
    wait_routable(&site, "/once/x").await;
    let got = call(&site, "/once/x", "id-1").await;
    assert_eq!(
        (got.status().as_u16(), got.bytes().await.unwrap()),
        (200, "whole".into())
    );
}

/// Guards against an instance that goes on working for a caller that has disconnected.
#[tokio::test]
async fn disconnect_of_a_caller_reaches_the_instance() {
    let mut site = Site::serving(&document(1)).await;
    let plain = site
        .upstream("plain", |request: &Request| match request.path.as_str() {
            "/once/slow" => vec![Reply::AwaitClose],
            _ => proper(request),
        })
        .await;
    let model = site
        .upstream("model", |request: &Request| {
            vec![
                Reply::Bytes(sse(request.id(), 1..=2, true, false)),
                Reply::AwaitClose,
            ]
        })
        .await;
    wait_routable(&site, "/once/x").await;
    let waiting = caller(&site, "/once/slow", "id-1").timeout(Duration::from_millis(300));
    assert!(waiting.send().await.is_err());
    wait_for("the plain call is aborted at the instance", || async {
        *plain.abandoned.lock().unwrap() == 1
    })
    .await;
    let mut stream = call(&site, "/stream/x", "id-2").await;
    assert!(stream.chunk().await.unwrap().is_some());
    let left_at = Instant::now();
    drop(stream);
    wait_for("the stream is aborted at the instance", || async {
        *model.abandoned.lock().unwrap() >= 1
    })
    .await;
    assert!(left_at.elapsed() < Duration::from_secs(5));
}

/// Guards against a planned stop that aborts open requests, and against an entry that reports
/// itself ready while it is stopping.
#[tokio::test]
async fn planned_stop_finishes_open_requests() {
    let mut document = document(1);
    document["routes"][0]["timeoutMs"] = 10_000.into();
    let mut site = Site::serving(&document).await;
    let _upstream = site
        .upstream("plain", |request: &Request| match request.path.as_str() {
            "/once/slow" => {
                let mut replies = vec![Reply::Pause(Duration::from_millis(4_500))];
                replies.extend(proper(request));
                replies
            }
            _ => proper(request),
        })
        .await;
    wait_routable(&site, "/once/x").await;
    let slow = tokio::spawn(patient_caller(&site, "/once/slow", "id-1", 9_000).send());
    tokio::time::sleep(Duration::from_millis(300)).await;
    site.signal("entry-1", "TERM");
    wait_for("the entry is not ready", || async {
        site.readiness(1).await != Some(200)
    })
    .await;
    // A generation that could outlast the grace period is refused as not executed.
    let long = call(&site, "/stream/x", "id-2").await;
    assert_eq!(long.status(), 503);
    assert!(long.headers().contains_key("retry-after"));
    // Once the platform has had time to route callers elsewhere, no new connections are accepted,
    // even while older requests are still open.
    wait_for("new connections are refused", || async {
        TcpStream::connect(site.caller_address(1)).await.is_err()
    })
    .await;
    assert!(!slow.is_finished());
    assert_eq!(slow.await.unwrap().unwrap().status(), 200);
    assert!(site.ended("entry-1", Duration::from_secs(10)).await);
}
