//! Pairs of scripted engines that back up each other's generations, and their responses.

use std::ops::RangeInclusive;

use serde_json::Value;

use super::{Reply, Request, Site, Upstream, answer, call, sse, wait_for};

/// Returns the events of a stream as its caller receives them.
pub fn events(ids: RangeInclusive<u64>) -> String {
    let events: Vec<String> = ids
        .map(|n| format!("id: {n}\ndata: piece {n}\n\n"))
        .collect();
    events.concat()
}

/// Returns the head of a streamed response with a header that tells how its body is framed.
pub fn stream_head(request: &Request, framing: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{framing}\r\n\
         X-Lilacspindle-Request-Id: {}\r\nX-Lilacspindle-Response-Seal: seal\r\n\r\n",
        request.id()
    )
}

/// Returns true if a request asks the engine to resume a generation.
pub fn is_resumption(request: &Request) -> bool {
    request.header("kv-from").is_some()
}

/// Returns the response to a call other than that of a caller.
pub fn json_answer(status: &str, body: &Value) -> Vec<Reply> {
    let bytes = body.to_string().into_bytes();
    vec![Reply::Bytes(answer(status, &[], &bytes))]
}

/// Returns the response with which an instance refuses a request that it does not execute.
pub fn not_executed(request: &Request) -> Vec<Reply> {
    let headers = [
        ("X-Lilacspindle-Request-Id", request.id()),
        ("X-Lilacspindle-Not-Executed", "1"),
    ];
    vec![Reply::Bytes(answer(
        "503 Service Unavailable",
        &headers,
        b"",
    ))]
}

/// Starts two engines with the same script, and a site with a document. Returns them once the entry
/// uses both. The script is not asked for `/stream/warm`.
pub async fn engines_with_backups(
    document: &Value,
    script: impl Fn(&Request) -> Vec<Reply> + Clone + Send + Sync + 'static,
) -> (Site, Upstream, Upstream) {
    let mut site = Site::serving(document).await;
    let engine = move |request: &Request| match request.path.as_str() {
        "/stream/warm" => vec![Reply::Bytes(sse(request.id(), 1..=1, true, true))],
        _ => script(request),
    };
    let first = site.upstream("model", engine.clone()).await;
    let second = site.upstream("model", engine).await;
    wait_for("both engines are known", || async {
        let _ = call(&site, "/stream/warm", "warm").await.bytes().await;
        let mut all = first.requests("/stream/warm");
        all.extend(second.requests("/stream/warm"));
        all.iter()
            .any(|request| request.header("x-lilacspindle-cache-backup").is_some())
    })
    .await;
    (site, first, second)
}

/// Returns the engine that runs the generation of `path`, and the other one.
pub fn source_and_other<'a>(
    path: &str,
    first: &'a Upstream,
    second: &'a Upstream,
) -> (&'a Upstream, &'a Upstream) {
    match first.requests(path).first() {
        Some(request) if !is_resumption(request) => (first, second),
        _ => (second, first),
    }
}
