//! Sends requests of callers to the entry of machine 1.

use super::{Reply, Request, Site, answer, client, wait_for};

/// Returns a valid response to a plain call, with the request id and a seal.
pub fn proper(request: &Request) -> Vec<Reply> {
    let headers = [
        ("X-Lilacspindle-Request-Id", request.id()),
        ("X-Lilacspindle-Response-Seal", "seal"),
    ];
    vec![Reply::Bytes(answer("200 OK", &headers, b"proper"))]
}

/// Sends a request as a caller with the key `k1` and a deadline of 3 s.
pub async fn call(site: &Site, path: &str, id: &str) -> reqwest::Response {
    caller(site, path, id).send().await.unwrap()
}

/// Returns the request that `call` sends, to be modified or sent.
pub fn caller(site: &Site, path: &str, id: &str) -> reqwest::RequestBuilder {
    patient_caller(site, path, id, 3_000)
}

/// Returns such a request with a deadline of `deadline_ms`.
pub fn patient_caller(
    site: &Site,
    path: &str,
    id: &str,
    deadline_ms: u64,
) -> reqwest::RequestBuilder {
    client()
        .post(format!("http://{}{path}", site.caller_address(1)))
        .header("Host", "calls.example")
        .header("Authorization", "Bearer k1")
        .header("X-Lilacspindle-Request-Id", id)
        .header("X-Lilacspindle-Deadline-Milliseconds", deadline_ms)
        .header("X-Lilacspindle-Model", "m")
        .header("X-Lilacspindle-Token-Usage", "3000,800")
        .header("X-Lilacspindle-Length-Hint", "800")
        .body("the body")
}

/// Sends a request to the entry of a machine, and returns the response.
pub async fn call_entry(site: &Site, machine: u8, path: &str, id: &str) -> reqwest::Response {
    let call = client()
        .post(format!("http://{}{path}", site.caller_address(machine)))
        .header("Host", "calls.example")
        .header("Authorization", "Bearer k1")
        .header("X-Lilacspindle-Request-Id", id)
        .header("X-Lilacspindle-Deadline-Milliseconds", 3_000);
    call.body("the body").send().await.unwrap()
}

/// Waits until the entry knows an instance for `path`, which is when a call no longer gets a 503.
pub async fn wait_routable(site: &Site, path: &str) {
    wait_for("an instance is known", || async {
        call(site, path, "warm-up").await.status() != 503
    })
    .await;
}
