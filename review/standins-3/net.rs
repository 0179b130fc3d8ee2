//! Small HTTP/1.1 helpers on blocking sockets.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A request or response as it was read.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// The request line or the status line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut found = self
            .headers
            .iter()
            .filter(|(n, _)| n.eq_ignore_ascii_case(name));
        found.next().map(|(_, value)| value.as_str())
    }

    /// The status of a response; 0 if the status line cannot be read.
    pub fn status(&self) -> u16 {
        let word = self.start.split(' ').nth(1).unwrap_or_default();
        word.parse().unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }
}

/// Reads messages from a connection; keeps what was read beyond the end of one.
pub struct Reader {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    fn fill(&mut self) -> io::Result<bool> {
        let mut chunk = [0; 16 * 1024];
        let read = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..read]);
        Ok(read > 0)
    }

    fn line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=end).collect();
                return Ok(Some(String::from_utf8_lossy(&line).trim_end().to_owned()));
            }
            if !self.fill()? {
                return Ok(None);
            }
        }
    }

    fn exactly(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            if !self.fill()? {
                return Err(io::Error::new(
                    io::ErrorKind::UnexpectedEof,
                    "cut in the body",
                ));
            }
        }
        Ok(self.buffer.drain(..length).collect())
    }

    /// Reads one message; `None` if the connection ended before one began. A response without
    /// length and chunks ends with the connection.
    pub fn message(&mut self) -> io::Result<Option<Message>> {
        let Some(start) = self.line()? else {
            return Ok(None);
        };
        let mut message = Message {
            start,
            ..Message::default()
        };
        loop {
            match self.line()? {
                Some(line) if line.is_empty() => break,
                Some(line) => {
                    let (name, value) = line.split_once(':').unwrap_or((&line, ""));
                    message
                        .headers
                        .push((name.to_owned(), value.trim().to_owned()));
                }
                None => {
                    return Err(io::Error::new(
                        io::ErrorKind::UnexpectedEof,
                        "cut in the head",
                    ));
                }
            }
        }
        let chunked = message
            .header("transfer-encoding")
            .is_some_and(|v| v.contains("chunked"));
        let length = message
            .header("content-length")
            .and_then(|v| v.parse().ok());
        if chunked {
            loop {
                let size = self.line()?.unwrap_or_default();
                let size = size.split(';').next().unwrap_or_default().trim();
                let size = usize::from_str_radix(size, 16)
                    .map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))?;
                let part = self.exactly(size)?;
                message.body.extend_from_slice(&part);
                self.line()?;
                if size == 0 {
                    break;
                }
            }
        } else if let Some(length) = length {
            message.body = self.exactly(length)?;
        } else if message.start.starts_with("HTTP/") {
            while self.fill()? {}
            message.body = std::mem::take(&mut self.buffer);
        }
        Ok(Some(message))
    }
}

pub fn connect(address: SocketAddr, limit: Duration) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, limit)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_write_timeout(Some(limit))?;
    Ok(stream)
}

/// Sends one request over a connection of its own and returns the response.
pub fn exchange(address: SocketAddr, request: &[u8], limit: Duration) -> io::Result<Message> {
    let stream = connect(address, limit)?;
    let mut reader = Reader::new(stream);
    reader.stream.write_all(request)?;
    let message = reader.message()?;
    message.ok_or_else(|| io::Error::new(io::ErrorKind::UnexpectedEof, "closed without an answer"))
}

/// Waits until `done` returns true, at most for `limit`. Returns whether it did.
pub fn wait_for(limit: Duration, mut done: impl FnMut() -> bool) -> bool {
    let begun = Instant::now();
    while begun.elapsed() < limit {
        if done() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    false
}
