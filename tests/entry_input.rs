//! Malformed requests are rejected with an error that names the field at fault, and nothing runs.

mod entry_support;

use entry_support::*;
use lilacspindle::domain::table::{Row, RowKey};
use sha2::{Digest, Sha256};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const VALID_BODY: &str = r#"{"model":"tutor","prompt":"hello"}"#;

/// Header, value, expected status and expected start of the message.
const HEADERS: &str = "\
Lilac-Deadline-Ms|soon|400|header lilac-deadline-ms
Lilac-Deadline-Ms|0|400|header lilac-deadline-ms
Lilac-Deadline-Ms|99999999999999999999|400|header lilac-deadline-ms
Lilac-Priority|10|400|header lilac-priority
Lilac-Priority|+1|400|header lilac-priority
Lilac-Kind|none|404|no kind
Lilac-Kind|scan|400|header lilac-kind
Lilac-Request-Id|xyz|400|header lilac-request-id
Idempotency-Key|abc|400|header idempotency-key
Last-Event-ID|s1.2.3|400|header last-event-id
Last-Event-ID|s1.zz.0.1|400|header last-event-id
Authorization|Basic c2VjcmV0|400|header authorization
Lilac-Workspace|b|400|header lilac-workspace
";
/// Completion body, expected status and expected start of the message.
const BODIES: &str = r#"[]|400|body
{"model":"tutor"}|400|body field prompt
{"model":"tutor","prompt":7}|400|body field prompt
{"model":7,"prompt":"p"}|400|body field model
{"prompt":"p"}|400|body field model
{"model":"none","prompt":"p"}|404|no model
{"model":"tutor","prompt":"p","max_tokens":-1}|400|body field max_tokens
{"model":"tutor","prompt":"p","max_tokens":1e99}|400|body field max_tokens
{"model":"tutor","prompt":"p","stream":"yes"}|400|body field stream
{"model":"tutor","prompt":"p","n":2}|400|body field n
"#;
/// Chat body and expected start of the message.
const CHATS: &str = r#"{"model":"tutor"}|body field messages
{"model":"tutor","messages":[]}|body field messages
{"model":"tutor","messages":[1]}|body field messages[0]
{"model":"tutor","messages":[{"role":1}]}|body field messages[0].role
{"model":"tutor","messages":[{"role":"u","content":1}]}|body field messages[0].content
"#;

fn rows<const N: usize>(table: &'static str) -> impl Iterator<Item = [&'static str; N]> {
    let cells = |line: &'static str| line.split('|').collect::<Vec<_>>().try_into().unwrap();
    table.lines().map(cells)
}

/// Guards against malformed input that is forwarded to a sidecar, rejected without naming the field
/// at fault, or causes a panic.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn malformed_requests_are_rejected_with_their_location() {
    let (sidecar, entry) = start_entry_and_sidecar(tokens(1)).await;
    rejects_malformed_bodies(&entry).await;
    for [name, value, status, location] in rows(HEADERS) {
        let (got, text) =
            send(post(&entry, "/v1/completions", VALID_BODY).header(name, value)).await;
        assert_rejected(got, &text, status.parse().unwrap(), location);
        assert!(!text.contains("c2VjcmV0"), "the answer contains a secret");
    }
    for (path, status, location) in [
        ("/nowhere", 404, "no route"),
        ("/svc/none/x", 404, "no service"),
    ] {
        let (got, text) = send(post(&entry, path, VALID_BODY)).await;
        assert_rejected(got, &text, status, location);
    }
    let recorded = sidecar.fake.recorded();
    assert!(
        recorded.starts.is_empty() && recorded.calls.is_empty(),
        "malformed input was forwarded to the sidecar"
    );
}

async fn rejects_malformed_bodies(entry: &RunningEntry) {
    let long = format!(r#"{{"model":"tutor","prompt":"{}"}}"#, "x".repeat(20_000));
    let deep = format!(
        r#"{{"prompt":{}1{}}}"#,
        "[".repeat(4_000),
        "]".repeat(4_000)
    );
    let bodies = [
        ("", 400),
        ("{", 400),
        ("\u{0}", 400),
        (deep.as_str(), 400),
        (long.as_str(), 413),
    ];
    for (body, status) in bodies {
        let (got, text) = send(post(entry, "/v1/completions", body)).await;
        assert_rejected(got, &text, status, "body");
    }
    for [body, status, location] in rows(BODIES) {
        let (got, text) = send(post(entry, "/v1/completions", body)).await;
        assert_rejected(got, &text, status.parse().unwrap(), location);
    }
    for [body, location] in rows(CHATS) {
        let (got, text) = send(post(entry, "/v1/chat/completions", body)).await;
        assert_rejected(got, &text, 400, location);
    }
}

fn assert_rejected(got: u16, text: &str, status: u16, location: &str) {
    let (outcome, code, message) = parse_error(text);
    assert_eq!(
        (got, outcome.as_str(), code.as_str()),
        (status, "not_run", "bad_request"),
        "{text}"
    );
    assert!(
        message.starts_with(location),
        "message does not start with {location}: {message}"
    );
}

/// Guards against dot segments, which would lead to a path outside of the service. Sends raw bytes,
/// since HTTP client libraries remove such segments.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn dot_segments_are_refused() {
    let (sidecar, entry) = start_entry_and_sidecar(tokens(1)).await;
    for path in ["/svc/cards/a/%2e%2E/b", "/svc/cards/../b", "/svc/cards/./b"] {
        let mut stream = TcpStream::connect(entry.role.address()).await.unwrap();
        let head = "Host: e\r\nLilac-Workspace: a\r\nConnection: close\r\n\r\n";
        let request = format!("GET {path} HTTP/1.1\r\n{head}");
        stream.write_all(request.as_bytes()).await.unwrap();
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await.unwrap();
        assert!(answer.starts_with("HTTP/1.1 400"), "{path}: {answer}");
        assert_rejected(400, answer.split("\r\n\r\n").nth(1).unwrap(), 400, "path");
    }
    assert!(sidecar.fake.recorded().calls.is_empty());
}

/// Guards against bytes that are not HTTP causing a panic or stopping the server.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn server_survives_bytes_that_are_not_http() {
    let (_sidecar, entry) = start_entry_and_sidecar(tokens(1)).await;
    for bytes in [
        &b"\x16\x03\x01\x00"[..],
        b"GET\r\n\r\n",
        b"POST /v1/completions HTTP/1.1\r\nContent-Length: -5\r\n\r\n",
    ] {
        let mut stream = TcpStream::connect(entry.role.address()).await.unwrap();
        stream.write_all(bytes).await.unwrap();
        stream.shutdown().await.unwrap();
        let mut answer = Vec::new();
        // The server may reset the connection instead of answering.
        let _ = stream.read_to_end(&mut answer).await;
        assert!(
            !answer.starts_with(b"HTTP/1.1 2"),
            "{}",
            String::from_utf8_lossy(&answer)
        );
    }
    assert_eq!(
        send(post(&entry, "/v1/completions", VALID_BODY)).await.0,
        200
    );
}

/// Guards against accepting callers without an API key once a workspace has one, and against
/// accepting unknown workspace names.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn callers_are_identified_by_api_key_or_workspace_name() {
    let sidecar = RunningSidecar::start(FakeSidecar::new("s1", 1, tokens(1)));
    let control = FakeControl::default().listen().await;
    let open = start_entry("e1", view(&[&sidecar]), control).await;
    let mut keyed = view(&[&sidecar]);
    if let Some((_, Row::Workspace(row))) = keyed.table.rows.get_mut(&RowKey::Workspace("a".into()))
    {
        row.api_key_sha256 = Some(format!("{:x}", Sha256::digest("right")));
    }
    let closed = start_entry("e2", keyed, control).await;
    let ask = |entry: &RunningEntry, header: &'static str, value: &'static str| {
        let request = reqwest::Client::new().get(format!("{}/v1/models", entry.url));
        send(request.header(header, value))
    };
    for (entry, header, value, status) in [
        (&open, "Lilac-Workspace", "a", 200),
        (&open, "Lilac-Workspace", "nobody", 401),
        (&open, "Accept", "*/*", 401),
        (&closed, "Lilac-Workspace", "a", 401),
        (&closed, "Authorization", "Bearer wrong", 401),
        (&closed, "Authorization", "Bearer right", 200),
    ] {
        let (got, text) = ask(entry, header, value).await;
        assert_eq!(got, status, "{header}: {value}: {text}");
    }
}
