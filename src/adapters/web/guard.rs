//! Checks of incoming request heads that the HTTP library does not make.
//!
//! The library closes a connection without a response if a request head does not arrive in time,
//! and it accepts a request that has both `content-length` and `transfer-encoding`, reading it as
//! chunked. The guard responds with 408 and 400 instead.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, OnceLock};
use std::task::{Context, Poll};
use std::time::Duration;

use hyper::body::{Body, Frame, SizeHint};
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Sleep, sleep};

/// Send buffer of a connection whose process is about to end. The kernel bounds it too.
const LAST_SEND_BUFFER_BYTES: usize = 1024 * 1024;

/// Why a request head is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeadError {
    /// It did not arrive in time.
    TimedOut,
    /// It has both `content-length` and `transfer-encoding`.
    TwoLengths,
}

impl HeadError {
    /// Returns the code for logs and metrics.
    pub fn code(self) -> &'static str {
        match self {
            Self::TimedOut => "head_late",
            Self::TwoLengths => "two_lengths",
        }
    }

    fn response(self) -> &'static [u8] {
        match self {
            Self::TimedOut => {
                b"HTTP/1.1 408 Request Timeout\r\ncontent-length: 0\r\nconnection: close\r\n\r\n"
            }
            Self::TwoLengths => {
                b"HTTP/1.1 400 Bad Request\r\ncontent-length: 0\r\nconnection: close\r\n\r\n"
            }
        }
    }
}

/// State of one connection that its guard shares with its request handler.
#[derive(Debug, Default)]
pub struct ConnectionState {
    /// True from the end of a request's head to the end of its response.
    open: AtomicBool,
    /// Requests whose heads have been read.
    requests: AtomicU64,
    /// True once the process is about to end.
    is_last: AtomicBool,
    fault: OnceLock<HeadError>,
}

impl ConnectionState {
    /// Marks a request as open until the returned value is dropped.
    pub fn open(self: &Arc<Self>) -> OpenRequest {
        self.open.store(true, Ordering::Relaxed);
        self.requests.fetch_add(1, Ordering::Relaxed);
        OpenRequest(Arc::clone(self))
    }

    /// Lets the kernel take as much of a response as it can hold, since it goes on sending to a slow
    /// reader after the process has ended. Takes effect when the connection is polled next.
    pub fn hand_to_kernel(&self) {
        self.is_last.store(true, Ordering::Relaxed);
    }

    /// Returns why the guard closed the connection; none if it did not.
    pub fn fault(&self) -> Option<HeadError> {
        self.fault.get().copied()
    }
}

/// A request that is open until this value is dropped.
pub struct OpenRequest(Arc<ConnectionState>);

impl OpenRequest {
    /// Wraps a response body so that the request ends when the body is dropped.
    pub fn until_end_of<B>(self, body: B) -> TrackedBody<B> {
        TrackedBody {
            body,
            _request: self,
        }
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.open.store(false, Ordering::Relaxed);
    }
}

/// A response body that keeps its request open.
pub struct TrackedBody<B> {
    body: B,
    _request: OpenRequest,
}

impl<B: Body + Unpin> Body for TrackedBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Self::Data>, Self::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// A request head that has not been read to its end.
struct PartialHead {
    bytes: Vec<u8>,
    deadline: Pin<Box<Sleep>>,
    /// Number of requests on the connection before this one.
    after_requests: u64,
}

impl PartialHead {
    /// Returns true if the head is complete and has both `content-length` and `transfer-encoding`.
    fn has_two_lengths(&self) -> bool {
        let Some(end) = self.bytes.windows(4).position(|part| part == b"\r\n\r\n") else {
            return false;
        };
        let lines = self.bytes[..end].split(|byte| *byte == b'\n').skip(1);
        let names = lines.filter_map(|line| line.split(|byte| *byte == b':').next());
        let (mut length, mut chunks) = (false, false);
        for name in names {
            length |= name.eq_ignore_ascii_case(b"content-length");
            chunks |= name.eq_ignore_ascii_case(b"transfer-encoding");
        }
        length && chunks
    }
}

/// A caller's connection that checks request heads as they are read.
pub struct GuardedStream {
    stream: TcpStream,
    state: Arc<ConnectionState>,
    head_limit: Duration,
    head: Option<PartialHead>,
    has_last_buffer: bool,
}

impl GuardedStream {
    /// Wraps a connection. Each request head must arrive within `head_limit` of its first byte.
    pub fn new(stream: TcpStream, state: Arc<ConnectionState>, head_limit: Duration) -> Self {
        Self {
            stream,
            state,
            head_limit,
            head: None,
            has_last_buffer: false,
        }
    }

    fn grow_last_buffer(&mut self) {
        if !self.has_last_buffer && self.state.is_last.load(Ordering::Relaxed) {
            self.has_last_buffer = true;
            let socket = SockRef::from(&self.stream);
            if let Err(error) = socket.set_send_buffer_size(LAST_SEND_BUFFER_BYTES) {
                tracing::debug!(%error, "cannot grow the send buffer of a connection");
            }
        }
    }

    /// Sends the error response without waiting, and fails the read so that the connection closes.
    fn reject(&mut self, error: HeadError) -> Poll<io::Result<()>> {
        self.head = None;
        // A caller whose receive buffer is full gets no response.
        let _ = self.stream.try_write(error.response());
        let _ = self.state.fault.set(error);
        Poll::Ready(Err(io::Error::other(error.code())))
    }
}

impl AsyncRead for GuardedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        let requests = self.state.requests.load(Ordering::Relaxed);
        self.head.take_if(|head| head.after_requests < requests);
        if self.state.open.load(Ordering::Relaxed) {
            return read;
        }
        let new = &buf.filled()[before..];
        if !new.is_empty() {
            let limit = self.head_limit;
            let head = self.head.get_or_insert_with(|| PartialHead {
                bytes: Vec::new(),
                deadline: Box::pin(sleep(limit)),
                after_requests: requests,
            });
            head.bytes.extend_from_slice(new);
            if head.has_two_lengths() {
                return self.reject(HeadError::TwoLengths);
            }
        }
        let timed_out = match &mut self.head {
            Some(head) if read.is_pending() => head.deadline.as_mut().poll(cx).is_ready(),
            _ => false,
        };
        if timed_out {
            return self.reject(HeadError::TimedOut);
        }
        read
    }
}

impl AsyncWrite for GuardedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.grow_last_buffer();
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.grow_last_buffer();
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
