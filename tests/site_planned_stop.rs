//! Requests that arrive late in a planned stop of an entry. Tested through real processes.

mod site_support;

use std::time::{Duration, Instant};

use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::sleep;

use site_support::{
    Reply, Request, Site, call, document, patient_caller, proper, sse, wait_routable,
};

/// Grace period of the entries of the site, after which they end.
const GRACE: Duration = Duration::from_secs(5);

/// Sends the head of a request at once and its body after `body_delay`. Returns the response; it is
/// empty if the connection is closed without one.
async fn send_slowly(site: &Site, path: &str, body_delay: Duration) -> String {
    let mut connection = TcpStream::connect(site.caller_address(1)).await.unwrap();
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: calls.example\r\nAuthorization: Bearer k1\r\n\
         X-Lilacspindle-Request-Id: id-slow\r\nContent-Length: 4\r\n\r\n"
    );
    connection.write_all(head.as_bytes()).await.unwrap();
    sleep(body_delay).await;
    // Fails if the entry has closed the connection.
    let _ = connection.write_all(b"body").await;
    let mut response = Vec::new();
    let _ = connection.read_to_end(&mut response).await;
    String::from_utf8_lossy(&response).into_owned()
}

async fn site_with_slow_instance() -> (Site, site_support::Upstream) {
    let mut site = Site::serving(&document(1)).await;
    let upstream = site
        .upstream("plain", |request: &Request| {
            let mut replies = proper(request);
            if request.path.starts_with("/once/slow") {
                replies.insert(0, Reply::Pause(Duration::from_secs(3)));
            }
            replies
        })
        .await;
    wait_routable(&site, "/once/warm-up").await;
    (site, upstream)
}

/// Guards against a request that is passed on late in a planned stop, since its body ends late, and
/// cut off without a response at the end of the grace period.
#[tokio::test]
async fn request_whose_body_ends_late_in_a_stop_is_refused() {
    let (site, upstream) = site_with_slow_instance().await;
    site.signal("entry-1", "TERM");
    sleep(Duration::from_millis(1_500)).await;
    let response = send_slowly(&site, "/once/slow", Duration::from_secs(2)).await;
    assert!(response.starts_with("HTTP/1.1 503"), "{response:?}");
    assert!(response.contains("retry-after"), "{response:?}");
    assert!(upstream.requests("/once/slow").is_empty());
}

/// Guards against connections that are closed without a response at the end of the grace period.
#[tokio::test]
async fn request_that_outlasts_a_stop_is_answered() {
    let (mut site, upstream) = site_with_slow_instance().await;
    site.signal("entry-1", "TERM");
    sleep(Duration::from_millis(2_200)).await;
    let unfinished = send_slowly(&site, "/once/never", GRACE);
    let running = send_slowly(&site, "/once/slow", Duration::ZERO);
    let (unfinished, running) = tokio::join!(unfinished, running);
    assert!(unfinished.starts_with("HTTP/1.1 503"), "{unfinished:?}");
    assert!(running.starts_with("HTTP/1.1 504"), "{running:?}");
    assert_eq!(upstream.requests("/once/slow").len(), 1);
    assert!(upstream.requests("/once/never").is_empty());
    assert!(site.ended("entry-1", Duration::from_secs(2)).await);
}

/// A caller's connection that is kept for several requests.
struct KeptConnection {
    stream: TcpStream,
    received: Vec<u8>,
}

impl KeptConnection {
    async fn open(site: &Site) -> std::io::Result<Self> {
        Ok(Self {
            stream: TcpStream::connect(site.caller_address(1)).await?,
            received: Vec::new(),
        })
    }

    /// Sends a plain call and returns the head of its response; empty if there is none.
    async fn call(&mut self, path: &str, id: &str) -> String {
        let request = format!(
            "POST {path} HTTP/1.1\r\nHost: calls.example\r\nAuthorization: Bearer k1\r\n\
             X-Lilacspindle-Request-Id: {id}\r\nContent-Length: 4\r\n\r\nbody"
        );
        // Fails if the entry has closed the connection.
        let _ = self.stream.write_all(request.as_bytes()).await;
        loop {
            let text = String::from_utf8_lossy(&self.received).to_lowercase();
            if let Some((head, body)) = text.split_once("\r\n\r\n") {
                let length = head
                    .lines()
                    .find_map(|line| line.strip_prefix("content-length: "));
                if body.len() >= length.map_or(0, |length| length.parse().unwrap()) {
                    self.received.clear();
                    return head.to_owned();
                }
            }
            match self.stream.read_buf(&mut self.received).await {
                Ok(0) | Err(_) => return String::new(),
                Ok(_) => {}
            }
        }
    }
}

/// Guards against requests on kept connections that a planned stop resets, since idle connections
/// are closed at once.
#[tokio::test]
async fn kept_connection_is_served_once_more_in_a_stop() {
    let (site, upstream) = site_with_slow_instance().await;
    let mut kept = KeptConnection::open(&site).await.unwrap();
    let head = kept.call("/once/x", "id-1").await;
    assert!(head.starts_with("http/1.1 200"), "{head:?}");
    assert!(!head.contains("connection: close"), "{head:?}");
    site.signal("entry-1", "TERM");
    sleep(Duration::from_secs(1)).await;
    let head = kept.call("/once/x", "id-2").await;
    assert!(head.starts_with("http/1.1 200"), "{head:?}");
    assert!(head.contains("connection: close"), "{head:?}");
    assert_eq!(upstream.requests("/once/x").len(), 2);
}

/// Guards against requests that are passed on in a planned stop and get no answer, while callers
/// send back to back on kept connections.
#[tokio::test]
async fn requests_sent_over_a_stop_are_answered_if_they_are_passed_on() {
    let (site, upstream) = site_with_slow_instance().await;
    let callers = (0..16).map(|caller| {
        let site = &site;
        async move {
            let mut answered = Vec::new();
            'connections: while let Ok(mut kept) = KeptConnection::open(site).await {
                loop {
                    let id = format!("id-{caller}-{}", answered.len());
                    let head = kept.call("/once/x", &id).await;
                    if head.is_empty() {
                        break 'connections;
                    }
                    let closes = head.contains("connection: close");
                    answered.push((id, head));
                    if closes {
                        break;
                    }
                }
            }
            answered
        }
    });
    let stop = async {
        sleep(Duration::from_millis(300)).await;
        site.signal("entry-1", "TERM");
    };
    let (answered, ()) = tokio::join!(futures::future::join_all(callers), stop);
    let answered: std::collections::BTreeMap<String, String> =
        answered.into_iter().flatten().collect();
    for request in upstream.requests("/once/x") {
        let head = answered.get(request.id()).map(String::as_str);
        assert!(
            head.is_some_and(|head| head.starts_with("http/1.1 200")),
            "{} was passed on and got {head:?}",
            request.id()
        );
    }
}

/// Guards against requests that are accepted after the time for which the platform excuses a stop,
/// because the process has noticed the signal late.
#[tokio::test]
async fn time_of_a_stop_runs_from_its_signal() {
    let (site, upstream) = site_with_slow_instance().await;
    let mut kept = KeptConnection::open(&site).await.unwrap();
    kept.call("/once/x", "id-1").await;
    site.signal("entry-1", "STOP");
    let signalled_at = Instant::now();
    site.signal("entry-1", "TERM");
    sleep(Duration::from_secs(1)).await;
    site.signal("entry-1", "CONT");
    sleep(Duration::from_secs(3).saturating_sub(signalled_at.elapsed())).await;
    kept.call("/once/late", "id-2").await;
    if let Ok(mut fresh) = KeptConnection::open(&site).await {
        fresh.call("/once/late", "id-3").await;
    }
    assert!(upstream.requests("/once/late").is_empty());
}

/// Guards against a grace period that is shorter by the time in which the process was held up before
/// its signal.
#[tokio::test]
async fn hold_up_before_a_stop_does_not_shorten_its_grace_period() {
    let mut patient = document(1);
    patient["routes"][2]["timeoutMs"] = json!(30_000);
    let mut site = Site::serving(&patient).await;
    let _engine = site
        .upstream("model", |request: &Request| {
            let pause = if request.path == "/stream/x" { 5 } else { 0 };
            vec![
                Reply::Bytes(sse(request.id(), 1..=1, true, false)),
                Reply::Pause(Duration::from_secs(pause)),
                Reply::Bytes(sse(request.id(), 2..=2, false, true)),
            ]
        })
        .await;
    wait_routable(&site, "/stream/warm").await;
    let call = patient_caller(&site, "/stream/x", "id-1", 20_000);
    let mut stream = call.send().await.unwrap();
    assert!(stream.chunk().await.unwrap().is_some());
    site.signal("entry-1", "STOP");
    sleep(Duration::from_millis(1_500)).await;
    site.signal("entry-1", "TERM");
    site.signal("entry-1", "CONT");
    assert_eq!(stream.text().await.unwrap(), "id: 2\ndata: piece 2\n\n");
}

/// Returns a site with an engine whose streams take 1.5 s.
async fn site_with_streams() -> (Site, site_support::Upstream) {
    let mut site = Site::serving(&document(1)).await;
    let engine = site
        .upstream("model", |request: &Request| {
            let id = request.id();
            if request.path != "/stream/x" {
                return vec![Reply::Bytes(sse(id, 1..=1, true, true))];
            }
            vec![
                Reply::Bytes(sse(id, 1..=1, true, false)),
                Reply::Pause(Duration::from_millis(1_500)),
                Reply::Bytes(sse(id, 2..=2, false, true)),
            ]
        })
        .await;
    wait_routable(&site, "/stream/warm").await;
    (site, engine)
}

/// Guards against a second signal that cuts off what the first one lets finish.
#[tokio::test]
async fn stream_outlasts_repeated_signals() {
    let (mut site, _engine) = site_with_streams().await;
    let mut stream = call(&site, "/stream/x", "id-1").await;
    assert!(stream.chunk().await.unwrap().is_some());
    for signal in ["HUP", "TERM", "TERM", "HUP"] {
        site.signal("entry-1", signal);
        sleep(Duration::from_millis(100)).await;
    }
    assert_eq!(stream.text().await.unwrap(), "id: 2\ndata: piece 2\n\n");
    assert!(site.ended("entry-1", Duration::from_secs(4)).await);
}

/// Guards against a stream that is cut off by new settings or a new document.
#[tokio::test]
async fn stream_outlasts_a_reload_and_a_new_document() {
    let (site, _engine) = site_with_streams().await;
    let mut stream = call(&site, "/stream/x", "id-1").await;
    assert!(stream.chunk().await.unwrap().is_some());
    site.signal("entry-1", "HUP");
    let mut without_streams = document(2);
    without_streams["routes"].as_array_mut().unwrap().pop();
    assert_eq!(site.publish(1, &without_streams).await, 200);
    assert_eq!(stream.text().await.unwrap(), "id: 2\ndata: piece 2\n\n");
}

/// Number of events of a stream that does not fit into the socket buffers of a caller with a small
/// window and its entry.
const MANY_EVENTS: u64 = 100_000;

/// Opens a stream over a connection with a small receive buffer, waits for `pause` before the rest
/// of the response is read, and returns whether it is complete.
async fn read_after_pause(site: &Site, pause: Duration) -> bool {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(8_192).unwrap();
    let mut caller = socket.connect(site.caller_address(1)).await.unwrap();
    let request = "POST /stream/x HTTP/1.1\r\nHost: calls.example\r\nAuthorization: Bearer k1\r\n\
         X-Lilacspindle-Request-Id: id-1\r\nX-Lilacspindle-Deadline-Milliseconds: 30000\r\n\
         X-Lilacspindle-Token-Usage: 300,80\r\nContent-Length: 4\r\n\r\nbody";
    caller.write_all(request.as_bytes()).await.unwrap();
    caller.readable().await.unwrap();
    sleep(pause).await;
    let mut response = Vec::new();
    while !response.ends_with(b"\r\n0\r\n\r\n") {
        match caller.read_buf(&mut response).await {
            Ok(0) | Err(_) => return false,
            Ok(_) => {}
        }
    }
    true
}

async fn site_with_large_stream() -> (Site, site_support::Upstream) {
    let mut patient = document(1);
    patient["routes"][2]["timeoutMs"] = json!(30_000);
    let mut site = Site::serving(&patient).await;
    let engine = site
        .upstream("model", |request: &Request| {
            let last = if request.path == "/stream/x" {
                MANY_EVENTS
            } else {
                1
            };
            vec![
                Reply::Bytes(sse(request.id(), 1..=last, true, true)),
                Reply::Close,
            ]
        })
        .await;
    wait_routable(&site, "/stream/warm").await;
    (site, engine)
}

/// Guards against taking a caller that does not read for some seconds for a dead one.
#[tokio::test]
async fn caller_that_pauses_gets_its_whole_stream() {
    let (site, _engine) = site_with_large_stream().await;
    assert!(read_after_pause(&site, Duration::from_secs(7)).await);
}

/// Guards against losing the rest of a stream that has ended at its engine, for a caller that reads
/// it late in a planned stop.
#[tokio::test]
async fn slow_caller_gets_its_whole_stream_in_a_stop() {
    let (site, _engine) = site_with_large_stream().await;
    let stop = async {
        sleep(Duration::from_millis(500)).await;
        site.signal("entry-1", "TERM");
    };
    let reading = read_after_pause(&site, Duration::from_millis(3_500));
    let (is_whole, ()) = tokio::join!(reading, stop);
    assert!(is_whole);
}
