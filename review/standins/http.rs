//! Small HTTP/1.1 helpers for stand-ins: reading requests and responses from a socket.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Header names are kept in lower case.
pub type Headers = Vec<(String, String)>;

pub fn header<'a>(headers: &'a Headers, name: &str) -> Option<&'a str> {
    let found = headers.iter().find(|(key, _)| key == name);
    found.map(|(_, value)| value.as_str())
}

pub struct Reader {
    stream: TcpStream,
    buffer: Vec<u8>,
}

/// Why a message could not be read to its end.
pub type Broken = String;

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, buffer: Vec::new() }
    }

    fn fill(&mut self) -> Result<usize, Broken> {
        let mut chunk = [0_u8; 65_536];
        let count = self.stream.read(&mut chunk).map_err(|error| error.to_string())?;
        self.buffer.extend_from_slice(&chunk[..count]);
        Ok(count)
    }

    /// Returns the first line and the headers; `None` if the peer has closed the connection.
    pub fn head(&mut self) -> Result<Option<(String, Headers)>, Broken> {
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n\r\n") {
                let head: Vec<u8> = self.buffer.drain(..end + 4).collect();
                let text = String::from_utf8_lossy(&head).into_owned();
                let mut lines = text.split("\r\n");
                let first = lines.next().unwrap_or_default().to_owned();
                let headers = lines
                    .filter_map(|line| line.split_once(':'))
                    .map(|(name, value)| (name.trim().to_ascii_lowercase(), value.trim().to_owned()))
                    .collect();
                return Ok(Some((first, headers)));
            }
            if self.fill()? == 0 {
                return match self.buffer.is_empty() {
                    true => Ok(None),
                    false => Err("closed inside a head".to_owned()),
                };
            }
        }
    }

    fn exactly(&mut self, count: usize, body: &mut Vec<u8>) -> Result<(), Broken> {
        while self.buffer.len() < count {
            if self.fill()? == 0 {
                body.append(&mut self.buffer);
                return Err("closed inside a body".to_owned());
            }
        }
        body.extend(self.buffer.drain(..count));
        Ok(())
    }

    fn line(&mut self) -> Result<String, Broken> {
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..end + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            if self.fill()? == 0 {
                return Err("closed inside a chunk head".to_owned());
            }
        }
    }

    /// Reads a body by its framing. What was received before a failure is in `body`.
    pub fn body(&mut self, headers: &Headers, is_response: bool, body: &mut Vec<u8>) -> Result<(), Broken> {
        if header(headers, "transfer-encoding").is_some_and(|value| value.contains("chunked")) {
            loop {
                let line = self.line()?;
                let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16)
                    .map_err(|_| format!("bad chunk size {line:?}"))?;
                if size == 0 {
                    while !self.line()?.is_empty() {}
                    return Ok(());
                }
                self.exactly(size, body)?;
                self.line()?;
            }
        }
        if let Some(length) = header(headers, "content-length") {
            let length = length.parse().map_err(|_| "bad content-length".to_owned())?;
            return self.exactly(length, body);
        }
        if is_response {
            while self.fill()? > 0 {}
            body.append(&mut self.buffer);
        }
        Ok(())
    }
}

pub fn find(bytes: &[u8], part: &[u8]) -> Option<usize> {
    bytes.windows(part.len()).position(|window| window == part)
}

/// What a client saw of one request.
#[derive(Debug, Clone, Default)]
pub struct Answer {
    /// 0 if no response head was received.
    pub status: u16,
    pub headers: Headers,
    pub body: Vec<u8>,
    /// True if the body was received to the end that its framing gives.
    pub whole: bool,
    /// Why there is no whole answer.
    pub error: String,
}

/// A client's connection, which may be kept for many requests.
pub struct Client {
    stream: TcpStream,
    reader: Reader,
    /// Bytes of a body sent in each 25 ms; `None` for all at once.
    pub pace_bytes: Option<usize>,
}

impl Client {
    pub fn open(address: SocketAddr, limit: Duration) -> Result<Self, Broken> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).map_err(|e| e.to_string())?;
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(limit));
        let _ = stream.set_write_timeout(Some(limit));
        let reader = Reader::new(stream.try_clone().map_err(|e| e.to_string())?);
        Ok(Self { stream, reader, pace_bytes: None })
    }

    fn send(&mut self, head: &[u8], body: &[u8]) -> std::io::Result<()> {
        self.stream.write_all(head)?;
        let Some(pace_bytes) = self.pace_bytes else {
            return self.stream.write_all(body);
        };
        for part in body.chunks(pace_bytes) {
            let due = Instant::now() + Duration::from_millis(25);
            self.stream.write_all(part)?;
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
        }
        Ok(())
    }

    /// Sends a request and returns what came back.
    pub fn request(&mut self, method: &str, path: &str, headers: &[(&str, String)], body: &[u8]) -> Answer {
        let mut answer = Answer::default();
        let mut head = format!("{method} {path} HTTP/1.1\r\n");
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        if method != "GET" || !body.is_empty() {
            head.push_str(&format!("Content-Length: {}\r\n", body.len()));
        }
        head.push_str("\r\n");
        if let Err(error) = self.send(head.as_bytes(), body) {
            answer.error = format!("sending: {error}");
            return answer;
        }
        match self.reader.head() {
            Ok(Some((first, headers))) => {
                answer.status = first.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0);
                answer.headers = headers;
            }
            Ok(None) => {
                answer.error = "closed without an answer".to_owned();
                return answer;
            }
            Err(error) => {
                answer.error = error;
                return answer;
            }
        }
        let headers = answer.headers.clone();
        match self.reader.body(&headers, true, &mut answer.body) {
            Ok(()) => answer.whole = true,
            Err(error) => answer.error = error,
        }
        answer
    }
}

/// Sends one request over a connection of its own.
pub fn once(address: SocketAddr, method: &str, path: &str, headers: &[(&str, String)], body: &[u8], limit: Duration) -> Answer {
    match Client::open(address, limit) {
        Ok(mut client) => client.request(method, path, headers, body),
        Err(error) => Answer { error: format!("connecting: {error}"), ..Answer::default() },
    }
}

/// Waits until `ready` returns true. Returns false after `limit`.
pub fn wait_for(limit: Duration, mut ready: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + limit;
    while Instant::now() < end {
        if ready() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    false
}
