//! A scripted upstream instance that records the requests it receives.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::{sleep, timeout};

/// A request that the instance received.
#[derive(Debug, Clone)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Number of the connection on which it arrived.
    pub connection: usize,
    /// When it had been received as a whole.
    pub received_at: Instant,
}

impl Request {
    /// Returns the value of a header; the case of `name` is ignored.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(own, _)| own.eq_ignore_ascii_case(name))?;
        Some(&found.1)
    }

    /// Returns the id of the caller's attempt; empty if the request has none.
    pub fn id(&self) -> &str {
        self.header("x-lilacspindle-request-id").unwrap_or_default()
    }
}

/// One step of the response to a request.
#[derive(Debug, Clone)]
pub enum Reply {
    /// Sends bytes.
    Bytes(Vec<u8>),
    Pause(Duration),
    /// Adds the label and the time to `recorded`.
    Record(&'static str),
    /// Closes the connection.
    Close,
    /// Waits until the client closes the connection, and counts it in `abandoned`.
    AwaitClose,
    /// Sends the bytes repeatedly, with a pause, until the client closes the connection, and counts
    /// it in `abandoned`.
    Forever(Vec<u8>, Duration),
}

/// A running instance; it stops accepting connections when dropped.
pub struct Upstream {
    pub address: SocketAddr,
    pub identity: Arc<str>,
    pub seen: Arc<Mutex<Vec<Request>>>,
    /// Number of connections that the client closed during a response.
    pub abandoned: Arc<Mutex<u32>>,
    pub recorded: Recorded,
    /// Notified when no further connections are to be accepted.
    closing: Arc<Notify>,
    /// Notified when no further connections are to be accepted, while the address stays open.
    ignoring: Arc<Notify>,
    task: JoinHandle<()>,
}

/// Labels and times of the `Record` steps of responses.
type Recorded = Arc<Mutex<Vec<(&'static str, Instant)>>>;

impl Drop for Upstream {
    fn drop(&mut self) {
        self.task.abort();
    }
}

type Script = Box<dyn Fn(&Request) -> Vec<Reply> + Send + Sync>;

/// What the connections of an instance share.
struct Server {
    script: Script,
    seen: Arc<Mutex<Vec<Request>>>,
    abandoned: Arc<Mutex<u32>>,
    recorded: Recorded,
}

impl Upstream {
    /// Starts an instance at `address`.
    pub async fn start(
        address: SocketAddr,
        script: impl Fn(&Request) -> Vec<Reply> + Send + Sync + 'static,
    ) -> Self {
        Self::serving(TcpListener::bind(address).await.unwrap(), script)
    }

    /// Starts an instance on a listener.
    pub fn serving(
        listener: TcpListener,
        script: impl Fn(&Request) -> Vec<Reply> + Send + Sync + 'static,
    ) -> Self {
        let address = listener.local_addr().unwrap();
        let seen = Arc::new(Mutex::new(Vec::new()));
        let abandoned = Arc::new(Mutex::new(0));
        let recorded = Recorded::default();
        let closing = Arc::new(Notify::new());
        let server = Arc::new(Server {
            script: Box::new(script),
            seen: Arc::clone(&seen),
            abandoned: Arc::clone(&abandoned),
            recorded: Arc::clone(&recorded),
        });
        let closed = Arc::clone(&closing);
        let ignoring = Arc::new(Notify::new());
        let ignored = Arc::clone(&ignoring);
        let task = tokio::spawn(async move {
            let mut connections = JoinSet::new();
            for number in 0.. {
                tokio::select! {
                    accepted = listener.accept() => match accepted {
                        Ok((stream, _)) => {
                            connections.spawn(serve(stream, number, Arc::clone(&server)))
                        }
                        Err(_) => break,
                    },
                    () = closed.notified() => break,
                    () = ignored.notified() => {
                        SockRef::from(&listener).listen(0).unwrap();
                        match std::future::pending::<Infallible>().await {}
                    }
                };
            }
            drop(listener);
            while connections.join_next().await.is_some() {}
        });
        Self {
            address,
            identity: format!("i-{}", address.port()).into(),
            seen,
            abandoned,
            recorded,
            closing,
            ignoring,
            task,
        }
    }

    /// Refuses further connections; those that are open stay so.
    pub fn refuse_connections(&self) {
        self.closing.notify_one();
    }

    /// Ignores further connections, as a machine that is lost or a process that is held up with a
    /// full queue of new connections does. Returns the connections that fill the queue.
    pub async fn ignore_connections(&self) -> Vec<TcpStream> {
        self.ignoring.notify_one();
        let mut queue = Vec::new();
        let limit = Duration::from_millis(200);
        while let Ok(opened) = timeout(limit, TcpStream::connect(self.address)).await {
            queue.push(opened.unwrap());
        }
        queue
    }

    /// Returns when a `Record` step with this label was reached, in order.
    pub fn times(&self, label: &str) -> Vec<Instant> {
        let recorded = self.recorded.lock().unwrap();
        let found = recorded.iter().filter(|(own, _)| *own == label);
        found.map(|(_, at)| *at).collect()
    }

    /// Ends the instance with its connections. Returns once its address is free.
    pub async fn stop(mut self) {
        self.task.abort();
        let _ = (&mut self.task).await;
    }

    /// Returns the received requests whose path starts with `path`.
    pub fn requests(&self, path: &str) -> Vec<Request> {
        let seen = self.seen.lock().unwrap();
        seen.iter()
            .filter(|request| request.path.starts_with(path))
            .cloned()
            .collect()
    }
}

async fn serve(mut stream: TcpStream, connection: usize, server: Arc<Server>) {
    let mut buffer = Vec::new();
    while let Some(mut request) = read_request(&mut stream, &mut buffer).await {
        request.connection = connection;
        server.seen.lock().unwrap().push(request.clone());
        for reply in (server.script)(&request) {
            match reply {
                Reply::Record(label) => {
                    let mut recorded = server.recorded.lock().unwrap();
                    recorded.push((label, Instant::now()));
                }
                Reply::Bytes(bytes) if stream.write_all(&bytes).await.is_err() => return,
                Reply::Bytes(_) => {}
                Reply::Pause(pause) => sleep(pause).await,
                Reply::Close => return,
                Reply::Forever(bytes, pause) => {
                    while stream.write_all(&bytes).await.is_ok() {
                        sleep(pause).await;
                    }
                    *server.abandoned.lock().unwrap() += 1;
                    return;
                }
                Reply::AwaitClose => {
                    if matches!(stream.read(&mut [0; 64]).await, Ok(0) | Err(_)) {
                        *server.abandoned.lock().unwrap() += 1;
                    }
                    return;
                }
            }
        }
    }
}

async fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Request> {
    let head_end = loop {
        if let Some(end) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            break end + 4;
        }
        read_more(stream, buffer).await?;
    };
    let text = String::from_utf8_lossy(&buffer[..head_end]).into_owned();
    let mut lines = text.lines();
    let mut words = lines.next()?.split(' ');
    let (method, path) = (words.next()?.to_owned(), words.next()?.to_owned());
    let headers: Vec<(String, String)> = lines
        .filter_map(|line| line.split_once(": "))
        .map(|(name, value)| (name.to_owned(), value.to_owned()))
        .collect();
    let length = headers
        .iter()
        .find(|(name, _)| name.eq_ignore_ascii_case("content-length"))
        .map_or(0, |(_, length)| length.parse().unwrap());
    while buffer.len() < head_end + length {
        read_more(stream, buffer).await?;
    }
    let body = buffer[head_end..head_end + length].to_vec();
    buffer.drain(..head_end + length);
    Some(Request {
        method,
        path,
        headers,
        body,
        connection: 0,
        received_at: Instant::now(),
    })
}

async fn read_more(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<()> {
    let mut part = [0; 4096];
    let length = stream.read(&mut part).await.ok()?;
    buffer.extend_from_slice(&part[..length]);
    (length > 0).then_some(())
}

/// Returns a complete HTTP response with a `Content-Length`.
pub fn answer(status: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len()).into_bytes();
    for (name, value) in headers {
        bytes.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    bytes.extend_from_slice(b"\r\n");
    bytes.extend_from_slice(body);
    bytes
}

/// Adds a header to the head of a response.
pub fn with_header(mut replies: Vec<Reply>, header: &str) -> Vec<Reply> {
    let Some(Reply::Bytes(bytes)) = replies.first_mut() else {
        panic!("the first reply has the head");
    };
    let line_end = bytes.iter().position(|byte| *byte == b'\n').unwrap() + 1;
    bytes.splice(line_end..line_end, format!("{header}\r\n").into_bytes());
    replies
}

/// Returns the events of a stream as HTTP chunks, after the response head if `head` is set, and
/// followed by the last chunk if `end` is set.
pub fn sse(id: &str, events: std::ops::RangeInclusive<u64>, head: bool, end: bool) -> Vec<u8> {
    let mut bytes = Vec::new();
    if head {
        bytes.extend_from_slice(
            format!(
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\
                 Transfer-Encoding: chunked\r\nX-Lilacspindle-Request-Id: {id}\r\n\
                 X-Lilacspindle-Response-Seal: seal\r\n\r\n"
            )
            .as_bytes(),
        );
    }
    for event in events {
        let text = format!("id: {event}\ndata: piece {event}\n\n");
        bytes.extend_from_slice(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes());
    }
    if end {
        bytes.extend_from_slice(b"0\r\n\r\n");
    }
    bytes
}
