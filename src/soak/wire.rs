//! Reads and writes HTTP/1.1 messages on plain sockets, so that the record shows what happened on
//! the connection itself.

use std::io;

use tokio::io::{AsyncRead, AsyncReadExt};

/// Upper bound on a message head.
const MAX_HEAD_BYTES: usize = 64 * 1_024;

/// The head of a request or response.
#[derive(Debug, Clone, Default)]
pub(super) struct Head {
    /// The first line, without its line break.
    pub(super) first_line: String,
    headers: Vec<(String, String)>,
}

impl Head {
    /// Returns the value of a header; `name` is in lower case.
    pub(super) fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers
            .find(|(own, _)| own == name)
            .map(|(_, value)| value.as_str())
    }

    pub(super) fn number(&self, name: &str) -> Option<u64> {
        self.header(name)?.parse().ok()
    }

    /// Returns a word of the first line.
    pub(super) fn word(&self, index: usize) -> &str {
        self.first_line.split(' ').nth(index).unwrap_or_default()
    }

    pub(super) fn is_chunked(&self) -> bool {
        self.header("transfer-encoding")
            .is_some_and(|value| value.eq_ignore_ascii_case("chunked"))
    }

    pub(super) fn closes(&self) -> bool {
        self.header("connection")
            .is_some_and(|value| value.to_ascii_lowercase().contains("close"))
    }
}

/// Bytes that were read from a connection.
pub(super) struct Input<R> {
    reader: R,
    buffer: Vec<u8>,
}

impl<R: AsyncRead + Unpin> Input<R> {
    pub(super) fn new(reader: R) -> Self {
        Self {
            reader,
            buffer: Vec::new(),
        }
    }

    /// Reads more bytes; fails at the end of the connection.
    pub(super) async fn fill(&mut self) -> io::Result<()> {
        match self.reader.read_buf(&mut self.buffer).await? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            _ => Ok(()),
        }
    }

    pub(super) async fn head(&mut self) -> io::Result<Head> {
        let end = loop {
            let mut windows = self.buffer.windows(4);
            match windows.position(|window| window == b"\r\n\r\n") {
                Some(end) => break end + 4,
                None if self.buffer.len() > MAX_HEAD_BYTES => {
                    return Err(io::ErrorKind::InvalidData.into());
                }
                None => self.fill().await?,
            }
        };
        let bytes = self.take(end).await?;
        let text = String::from_utf8_lossy(&bytes);
        let mut lines = text.lines();
        let first_line = lines.next().unwrap_or_default().to_owned();
        let headers = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
            .collect();
        Ok(Head {
            first_line,
            headers,
        })
    }

    pub(super) async fn take(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            self.fill().await?;
        }
        Ok(self.buffer.drain(..length).collect())
    }

    /// Reads a chunk of a chunked body; the last one is empty.
    pub(super) async fn chunk(&mut self) -> io::Result<Vec<u8>> {
        let line_end = loop {
            let mut windows = self.buffer.windows(2);
            match windows.position(|window| window == b"\r\n") {
                Some(end) => break end,
                None => self.fill().await?,
            }
        };
        let line = self.take(line_end + 2).await?;
        let size = String::from_utf8_lossy(&line);
        let size = usize::from_str_radix(size.trim(), 16)
            .map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))?;
        let mut bytes = self.take(size + 2).await?;
        bytes.truncate(size);
        Ok(bytes)
    }

    /// Reads a body with a `Content-Length` or in chunks.
    pub(super) async fn body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        if !head.is_chunked() {
            let length = head.number("content-length").unwrap_or(0);
            return self.take(usize::try_from(length).unwrap_or(0)).await;
        }
        let mut body = Vec::new();
        loop {
            match self.chunk().await? {
                chunk if chunk.is_empty() => return Ok(body),
                chunk => body.extend_from_slice(&chunk),
            }
        }
    }
}

/// Returns a response with a `Content-Length`. Each header ends with a line break.
pub(super) fn response(status: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let length = body.len();
    let mut bytes =
        format!("HTTP/1.1 {status}\r\nContent-Length: {length}\r\n{headers}\r\n").into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Returns a response with a JSON body.
pub(super) fn json_response(status: &str, body: &[u8]) -> Vec<u8> {
    response(status, "Content-Type: application/json\r\n", body)
}
