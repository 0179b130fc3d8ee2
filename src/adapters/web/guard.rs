//! Checks on the bytes of a caller's connection that the HTTP library does not make.
//!
//! The library closes a connection whose request head is late without an answer, and takes a request
//! that has a length and chunks by its chunks. Callers get 408 and 400 instead.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, OnceLock};
use std::task::{Context, Poll};
use std::time::Duration;

use hyper::body::{Body, Frame, SizeHint};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Sleep, sleep};

/// Why a request head is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeadFault {
    /// It did not come in time.
    Late,
    /// It gives the body's length and sends the body in chunks.
    TwoLengths,
}

impl HeadFault {
    /// Returns the code for logs and metrics.
    pub fn code(self) -> &'static str {
        match self {
            Self::Late => "head_late",
            Self::TwoLengths => "two_lengths",
        }
    }

    fn answer(self) -> &'static [u8] {
        match self {
            Self::Late => {
                b"HTTP/1.1 408 Request Timeout\r\ncontent-length: 0\r\nconnection: close\r\n\r\n"
            }
            Self::TwoLengths => {
                b"HTTP/1.1 400 Bad Request\r\ncontent-length: 0\r\nconnection: close\r\n\r\n"
            }
        }
    }
}

/// What the guard of a connection and the one who serves it tell each other.
#[derive(Debug, Default)]
pub struct ConnectionState {
    /// True from a request's head to the end of its answer.
    open: AtomicBool,
    /// Requests whose heads have been read.
    requests: AtomicU64,
    fault: OnceLock<HeadFault>,
}

impl ConnectionState {
    /// Marks a request as open until the result is dropped.
    pub fn open(self: &Arc<Self>) -> OpenRequest {
        self.open.store(true, Ordering::Relaxed);
        self.requests.fetch_add(1, Ordering::Relaxed);
        OpenRequest(Arc::clone(self))
    }

    /// Returns why the connection was ended, if it was the guard that ended it.
    pub fn fault(&self) -> Option<HeadFault> {
        self.fault.get().copied()
    }
}

/// An open request of a connection.
pub struct OpenRequest(Arc<ConnectionState>);

impl OpenRequest {
    /// Returns an answer's body that closes the request at its end.
    pub fn until_end_of<B>(self, body: B) -> AnswerBody<B> {
        AnswerBody {
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

/// The body of the answer to an open request.
pub struct AnswerBody<B> {
    body: B,
    _request: OpenRequest,
}

impl<B: Body + Unpin> Body for AnswerBody<B> {
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
struct Head {
    bytes: Vec<u8>,
    late: Pin<Box<Sleep>>,
    /// Requests of the connection before this one.
    after_requests: u64,
}

impl Head {
    /// Returns true if the head is there as a whole, and names a length and chunks.
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

/// A caller's connection whose request heads are checked.
pub struct GuardedStream {
    stream: TcpStream,
    state: Arc<ConnectionState>,
    head_limit: Duration,
    head: Option<Head>,
}

impl GuardedStream {
    /// Returns a connection whose request heads must come within `head_limit` of their first byte.
    pub fn new(stream: TcpStream, state: Arc<ConnectionState>, head_limit: Duration) -> Self {
        Self {
            stream,
            state,
            head_limit,
            head: None,
        }
    }

    /// Answers a faulty head, as far as the connection takes bytes, and ends the connection.
    fn refuse(&mut self, fault: HeadFault) -> Poll<io::Result<()>> {
        self.head = None;
        // A caller that does not read gets no answer.
        let _ = self.stream.try_write(fault.answer());
        let _ = self.state.fault.set(fault);
        Poll::Ready(Err(io::Error::other(fault.code())))
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
            let head = self.head.get_or_insert_with(|| Head {
                bytes: Vec::new(),
                late: Box::pin(sleep(limit)),
                after_requests: requests,
            });
            head.bytes.extend_from_slice(new);
            if head.has_two_lengths() {
                return self.refuse(HeadFault::TwoLengths);
            }
        }
        let late = match &mut self.head {
            Some(head) if read.is_pending() => head.late.as_mut().poll(cx).is_ready(),
            _ => false,
        };
        if late {
            return self.refuse(HeadFault::Late);
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
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
