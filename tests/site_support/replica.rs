//! A scripted upstream instance that records what reaches it.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// A request as it reached the instance.
#[derive(Debug, Clone)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    /// Returns a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(held, _)| held.eq_ignore_ascii_case(name))?;
        Some(&found.1)
    }

    /// Returns the id of the caller's attempt.
    pub fn id(&self) -> &str {
        self.header("x-lilacspindle-request-id").unwrap_or_default()
    }
}

/// What the instance does in answer to a request.
#[derive(Debug, Clone)]
pub enum Reply {
    Bytes(Vec<u8>),
    Pause(Duration),
    /// Ends the connection.
    Close,
    /// Waits until the sender closes the connection, and records that it did.
    AwaitClose,
    /// Sends the same bytes again and again, with a pause, until the sender closes the connection, and
    /// records that it did.
    Forever(Vec<u8>, Duration),
}

/// A running instance.
pub struct Upstream {
    pub address: SocketAddr,
    pub identity: Arc<str>,
    pub seen: Arc<Mutex<Vec<Request>>>,
    /// Connections that were closed while the instance was at work.
    pub abandoned: Arc<Mutex<u32>>,
    task: JoinHandle<()>,
}

impl Drop for Upstream {
    fn drop(&mut self) {
        self.task.abort();
    }
}

type Script = Arc<dyn Fn(&Request) -> Vec<Reply> + Send + Sync>;

impl Upstream {
    /// Starts an instance at an address.
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
        let script: Script = Arc::new(script);
        let (recorded, counted) = (Arc::clone(&seen), Arc::clone(&abandoned));
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (script, seen) = (Arc::clone(&script), Arc::clone(&recorded));
                tokio::spawn(serve(stream, script, seen, Arc::clone(&counted)));
            }
        });
        Self {
            address,
            identity: format!("i-{}", address.port()).into(),
            seen,
            abandoned,
            task,
        }
    }

    /// Returns the requests that reached the instance at a path.
    pub fn requests(&self, path: &str) -> Vec<Request> {
        let seen = self.seen.lock().unwrap();
        seen.iter()
            .filter(|request| request.path.starts_with(path))
            .cloned()
            .collect()
    }
}

async fn serve(
    mut stream: TcpStream,
    script: Script,
    seen: Arc<Mutex<Vec<Request>>>,
    abandoned: Arc<Mutex<u32>>,
) {
    let mut held = Vec::new();
    while let Some(request) = read_request(&mut stream, &mut held).await {
        seen.lock().unwrap().push(request.clone());
        for reply in script(&request) {
            match reply {
                Reply::Bytes(bytes) if stream.write_all(&bytes).await.is_err() => return,
                Reply::Bytes(_) => {}
                Reply::Pause(pause) => sleep(pause).await,
                Reply::Close => return,
                Reply::Forever(bytes, pause) => {
                    while stream.write_all(&bytes).await.is_ok() {
                        sleep(pause).await;
                    }
                    *abandoned.lock().unwrap() += 1;
                    return;
                }
                Reply::AwaitClose => {
                    if matches!(stream.read(&mut [0; 64]).await, Ok(0) | Err(_)) {
                        *abandoned.lock().unwrap() += 1;
                    }
                    return;
                }
            }
        }
    }
}

async fn read_request(stream: &mut TcpStream, held: &mut Vec<u8>) -> Option<Request> {
    let head_end = loop {
        if let Some(end) = held.windows(4).position(|window| window == b"\r\n\r\n") {
            break end + 4;
        }
        read_more(stream, held).await?;
    };
    let text = String::from_utf8_lossy(&held[..head_end]).into_owned();
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
    while held.len() < head_end + length {
        read_more(stream, held).await?;
    }
    let body = held[head_end..head_end + length].to_vec();
    held.drain(..head_end + length);
    Some(Request {
        method,
        path,
        headers,
        body,
    })
}

async fn read_more(stream: &mut TcpStream, held: &mut Vec<u8>) -> Option<()> {
    let mut part = [0; 4096];
    let length = stream.read(&mut part).await.ok()?;
    held.extend_from_slice(&part[..length]);
    (length > 0).then_some(())
}

/// Returns a complete answer with its length.
pub fn answer(status: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len()).into_bytes();
    for (name, value) in headers {
        bytes.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    bytes.extend_from_slice(b"\r\n");
    bytes.extend_from_slice(body);
    bytes
}

/// Returns chunks of a stream: the head for the first event, and the end after the last one.
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
