//! Slow, malformed and refused input from callers and the platform. Tested through real entry
//! processes.

mod site_support;

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use site_support::{Reply, Request, Site, call, document, proper, sse, wait_for, wait_routable};

const HEAD: &str = "POST /once/raw HTTP/1.1\r\nHost: calls.example\r\nAuthorization: Bearer k1\r\n";

/// Returns a document with a timeout of 500 ms for request heads.
fn short_head_limit() -> Value {
    let mut document = document(1);
    document["limits"]["headerTimeoutMs"] = 500.into();
    document
}

/// Reads until the connection ends, or until a response head and `body_bytes` more bytes have
/// arrived.
async fn read_answer(stream: &mut TcpStream, body_bytes: usize) -> String {
    let mut bytes = Vec::new();
    let mut part = [0; 1_024];
    loop {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        let head = text.find("\r\n\r\n").map(|head| head + 4);
        if head.is_some_and(|head| bytes.len() >= head + body_bytes) {
            return text;
        }
        match stream.read(&mut part).await {
            Ok(0) | Err(_) => return text,
            Ok(length) => bytes.extend_from_slice(&part[..length]),
        }
    }
}

/// Guards against callers that occupy a connection with an incomplete request head, and against
/// closing such a connection without a response.
#[tokio::test]
async fn late_head_gets_408() {
    let mut site = Site::serving(&short_head_limit()).await;
    let upstream = site.upstream("plain", proper).await;
    wait_routable(&site, "/once/x").await;
    let mut stream = TcpStream::connect(site.caller_address(1)).await.unwrap();
    stream.write_all(HEAD.as_bytes()).await.unwrap();
    let begun = Instant::now();
    let answer = read_answer(&mut stream, 0).await;
    assert!(answer.starts_with("HTTP/1.1 408 "), "{answer:?}");
    assert!(begun.elapsed() >= Duration::from_millis(400));
    assert!(upstream.requests("/once/raw").is_empty());
    wait_for("the refusal is counted", || async {
        let name = "lilac_gateway_refused_total{code=\"head_late\"}";
        site.entry_metric(1, name).await == Some(1.0)
    })
    .await;
}

/// Guards against a timeout for request heads that also closes idle connections or aborts slow
/// responses.
#[tokio::test]
async fn head_timeout_does_not_apply_to_idle_connections_or_slow_responses() {
    let mut site = Site::serving(&short_head_limit()).await;
    let _upstream = site
        .upstream("plain", |request: &Request| {
            let mut replies = vec![Reply::Pause(Duration::from_millis(1_200))];
            replies.extend(proper(request));
            match request.path.as_str() {
                "/once/raw" => replies,
                _ => proper(request),
            }
        })
        .await;
    wait_routable(&site, "/once/x").await;
    let mut stream = TcpStream::connect(site.caller_address(1)).await.unwrap();
    for _ in 0..2 {
        let request = format!("{HEAD}Content-Length: 0\r\n\r\n");
        stream.write_all(request.as_bytes()).await.unwrap();
        // The start of the next request is sent while this one is being processed.
        stream.write_all(&HEAD.as_bytes()[..20]).await.unwrap();
        let answer = read_answer(&mut stream, 6).await;
        assert!(answer.starts_with("HTTP/1.1 200 "), "{answer:?}");
        let rest = format!("{}Content-Length: 0\r\n\r\n", &HEAD[20..]);
        stream.write_all(rest.as_bytes()).await.unwrap();
        let answer = read_answer(&mut stream, 6).await;
        assert!(answer.starts_with("HTTP/1.1 200 "), "{answer:?}");
        tokio::time::sleep(Duration::from_millis(900)).await;
    }
}

/// Guards against request smuggling by a request with both a content length and chunked encoding.
#[tokio::test]
async fn length_with_chunks_gets_400() {
    let mut site = Site::serving(&document(1)).await;
    let upstream = site.upstream("plain", proper).await;
    wait_routable(&site, "/once/x").await;
    let inner = "POST /once/inner HTTP/1.1\r\nHost: calls.example\r\n\r\n";
    let smuggled = format!(
        "{HEAD}Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{inner}\r\n0\r\n\r\n",
        inner.len()
    );
    let (first, second) = smuggled.split_at(90);
    let mut stream = TcpStream::connect(site.caller_address(1)).await.unwrap();
    stream.write_all(first.as_bytes()).await.unwrap();
    tokio::time::sleep(Duration::from_millis(50)).await;
    stream.write_all(second.as_bytes()).await.unwrap();
    let answer = read_answer(&mut stream, 0).await;
    assert!(answer.starts_with("HTTP/1.1 400 "), "{answer:?}");
    assert!(upstream.requests("/once/inner").is_empty());
    assert!(upstream.requests("/once/raw").is_empty());
}

/// Guards against waiting forever for an incomplete body: the deadline also applies while the body
/// is read, and the status says that the request was not executed.
#[tokio::test]
async fn late_body_gets_408_at_the_deadline() {
    let mut site = Site::serving(&document(1)).await;
    let upstream = site.upstream("plain", proper).await;
    wait_routable(&site, "/once/x").await;
    let mut stream = TcpStream::connect(site.caller_address(1)).await.unwrap();
    let head = format!(
        "{HEAD}X-Lilacspindle-Deadline-Milliseconds: 600\r\nContent-Length: 10\r\n\r\n12345"
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    let answer = read_answer(&mut stream, 0).await;
    assert!(answer.starts_with("HTTP/1.1 408 "), "{answer:?}");
    assert!(upstream.requests("/once/raw").is_empty());
}

/// Guards against dropping known instances, and against giving up on the instance list, while the
/// platform refuses to return it.
#[tokio::test]
async fn refused_list_leaves_the_known_instances_in_use() {
    let mut site = Site::serving(&document(1)).await;
    let _plain = site.upstream("plain", proper).await;
    wait_routable(&site, "/once/x").await;
    site.list_refuses.store(true, Ordering::Relaxed);
    let _model = site
        .upstream("model", |request: &Request| {
            vec![Reply::Bytes(sse(request.id(), 1..=1, true, true))]
        })
        .await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert_eq!(call(&site, "/once/x", "id-1").await.status(), 200);
    let unknown = call(&site, "/stream/x", "id-2").await;
    assert_eq!(unknown.status(), 503);
    assert!(unknown.headers().contains_key("retry-after"));
    assert!(
        !site
            .log_lines("control-1", "cannot read the platform")
            .is_empty()
    );
    site.list_refuses.store(false, Ordering::Relaxed);
    wait_routable(&site, "/stream/x").await;
}
