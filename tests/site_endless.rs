//! Faulty upstream instances that send endless responses. Tested through real entry processes.

mod site_support;

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use futures::future::join_all;
use site_support::{
    Reply, Request, Site, Upstream, call, caller, document, proper, sse, wait_for, wait_routable,
};

/// Upper bound on the memory of an entry on the smallest supported machines.
const MAX_MEMORY_KB: u64 = 88_000;
const STATUS: &str = "HTTP/1.1 200 OK";
/// Start of a valid head for the requests with this id.
const OK: &str = "HTTP/1.1 200 OK\r\nX-Lilacspindle-Request-Id: id-1\r\n\
                  X-Lilacspindle-Response-Seal: seal\r\n";
const CHUNKED: &str = "Transfer-Encoding: chunked\r\n\r\n";

/// The start of a response, and the bytes that are repeated endlessly after it.
type Endless = (String, Vec<u8>);

/// Returns the kinds of endless responses, with a name for each.
fn shapes() -> Vec<(&'static str, Endless)> {
    let line = || b"X-More: more and more\r\n".to_vec();
    vec![
        ("header lines", (OK.to_owned(), line())),
        (
            "one long header",
            (format!("{OK}X-Long: "), vec![b'x'; 4_096]),
        ),
        (
            "one long status line",
            (STATUS.to_owned(), vec![b'x'; 4_096]),
        ),
        (
            "informational answers",
            (String::new(), b"HTTP/1.1 100 Continue\r\n\r\n".to_vec()),
        ),
        ("no length", (format!("{OK}\r\n"), vec![b'x'; 16_384])),
        (
            "chunks",
            (format!("{OK}{CHUNKED}"), b"4\r\nmore\r\n".repeat(512)),
        ),
        (
            "a chunk extension",
            (format!("{OK}{CHUNKED}4;ext="), vec![b'x'; 4_096]),
        ),
        ("trailers", (format!("{OK}{CHUNKED}0\r\n"), line())),
    ]
}

/// Responds to `/once/N` with the endless response of kind N, and normally to other paths.
fn endless(request: &Request, pause: Duration) -> Vec<Reply> {
    let number = request.path.rsplit('/').next().and_then(|n| n.parse().ok());
    let shape = number.and_then(|n: usize| shapes().into_iter().nth(n));
    match shape {
        Some((_, (start, rest))) => {
            vec![
                Reply::Bytes(start.into_bytes()),
                Reply::Forever(rest, pause),
            ]
        }
        None => proper(request),
    }
}

async fn wait_closed(upstream: &Upstream, connections: u32) {
    wait_for("the connections are closed", || async {
        *upstream.abandoned.lock().unwrap() >= connections
    })
    .await;
}

/// Guards against callers that wait forever for an endless response, against one that is considered
/// complete, and against its connection staying open.
#[tokio::test]
async fn endless_response_is_aborted() {
    let mut site = Site::serving(&document(1)).await;
    let pause = Duration::from_micros(200);
    let upstream = site
        .upstream("plain", move |request| endless(request, pause))
        .await;
    wait_routable(&site, "/once/warm").await;
    for (number, (shape, _)) in shapes().iter().enumerate() {
        let asked_at = Instant::now();
        let path = format!("/once/{number}");
        let answer = call(&site, &path, "id-1").await;
        let status = answer.status().as_u16();
        assert!(matches!(status, 502 | 504), "{shape}: {status}");
        assert!(asked_at.elapsed() < Duration::from_millis(3_500), "{shape}");
        wait_closed(&upstream, u32::try_from(number).unwrap() + 1).await;
        assert_eq!(
            upstream.requests(&path).len(),
            1,
            "{shape}: retried although it may have been executed"
        );
    }
    assert_eq!(call(&site, "/once/after", "id-2").await.status(), 200);
}

/// Guards against a stream that never completes an event, or that continues after its deadline.
#[tokio::test]
async fn endless_stream_is_aborted() {
    let mut site = Site::serving(&document(1)).await;
    let engine = site
        .upstream("model", |request: &Request| {
            let mut replies = vec![Reply::Bytes(sse(request.id(), 1..=1, true, false))];
            let part = "data: more\n";
            replies.push(match request.path.as_str() {
                "/stream/event" => {
                    let chunk = format!("{:x}\r\n{}\r\n", part.len() * 100, part.repeat(100));
                    Reply::Forever(chunk.into_bytes(), Duration::ZERO)
                }
                "/stream/byte" => {
                    Reply::Forever(b"1\r\nx\r\n".to_vec(), Duration::from_millis(100))
                }
                "/stream/events" => Reply::Forever(sse("", 2..=2, false, false), Duration::ZERO),
                _ => Reply::Bytes(sse("", 2..=2, false, true)),
            });
            replies
        })
        .await;
    wait_routable(&site, "/stream/x").await;
    for (number, path) in ["/stream/event", "/stream/byte", "/stream/events"]
        .into_iter()
        .enumerate()
    {
        let asked_at = Instant::now();
        let mut answer = call(&site, path, "id-1").await;
        assert_eq!(answer.status(), 200, "{path}");
        let end = loop {
            match answer.chunk().await {
                Ok(Some(_)) => {}
                end => break end,
            }
        };
        assert!(end.is_err(), "{path} looks complete");
        assert!(asked_at.elapsed() < Duration::from_millis(3_500), "{path}");
        wait_closed(&engine, u32::try_from(number).unwrap() + 1).await;
    }
}

/// Returns the peak resident memory of a process.
fn memory_kb(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
    let line = status
        .lines()
        .find(|line| line.starts_with("VmHWM:"))
        .unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

/// Guards against many endless responses that exhaust the memory of an entry or keep it from
/// serving other callers.
#[tokio::test]
async fn many_endless_responses_do_not_block_other_calls() {
    let mut site = Site::serving(&document(1)).await;
    let script = |request: &Request| match request.path.as_str() {
        "/once/large" => {
            let start = format!("{OK}\r\n").replace("id-1", request.id());
            vec![
                Reply::Bytes(start.into_bytes()),
                Reply::Forever(vec![b'x'; 65_536], Duration::ZERO),
            ]
        }
        _ => proper(request),
    };
    let _one = site.upstream("plain", script).await;
    let _two = site.upstream("plain", script).await;
    wait_routable(&site, "/once/warm").await;
    let statuses = Arc::new(Mutex::new(Vec::new()));
    let endless = (0..200).map(|n| {
        let sent = caller(&site, "/once/large", &format!("id-{n}")).send();
        let statuses = Arc::clone(&statuses);
        tokio::spawn(async move {
            let status = sent.await.unwrap().status().as_u16();
            statuses.lock().unwrap().push(status);
        })
    });
    let endless: Vec<_> = endless.collect();
    tokio::time::sleep(Duration::from_millis(300)).await;
    for attempt in 0..10 {
        let id = format!("id-small-{attempt}");
        assert_eq!(call(&site, "/once/small", &id).await.status(), 200);
    }
    join_all(endless).await;
    let served: Vec<u16> = statuses.lock().unwrap().clone();
    // 503 is for calls that could not be sent because no connection was available.
    assert!(
        served.iter().all(|status| matches!(status, 502..=504)),
        "{served:?}"
    );
    let memory_kb = memory_kb(site.process_id("entry-1"));
    assert!(memory_kb < MAX_MEMORY_KB, "{memory_kb} KB");
}

/// Guards against endless reports, health checks and lists, any of which would block the process
/// that reads them, as it makes one call at a time.
#[tokio::test]
async fn endless_platform_responses_are_aborted() {
    use lilacspindle::platform::{ReportReader, read_identity, read_list};
    let limit = Duration::from_millis(400);
    for (shape, _) in shapes() {
        let mut site = Site::new(1).await;
        let upstream = site
            .unlisted_upstream(move |_| {
                let (_, (start, rest)) = shapes().into_iter().find(|(s, _)| *s == shape).unwrap();
                let pause = Duration::from_micros(200);
                vec![
                    Reply::Bytes(start.into_bytes()),
                    Reply::Forever(rest, pause),
                ]
            })
            .await;
        let asked_at = Instant::now();
        assert!(read_list(upstream.address, limit).await.is_err(), "{shape}");
        let mut reader = ReportReader::default();
        assert!(
            reader.read(upstream.address, limit).await.is_err(),
            "{shape}"
        );
        let identity = read_identity(upstream.address, "/health", limit).await;
        assert!(identity.is_err(), "{shape}");
        assert!(
            asked_at.elapsed() < 3 * limit + Duration::from_secs(1),
            "{shape}"
        );
        wait_closed(&upstream, 3).await;
    }
}
