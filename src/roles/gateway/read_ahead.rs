//! Buffers a stream between the instance that produces it and the caller that reads it.
//!
//! The instance is read in a task of its own, so that hand-overs, crashes, deadlines and the end of
//! its work are handled whether or not the caller reads. What callers have not taken yet is bounded
//! for each stream and over all streams of the gateway. At a bound the instance is not read, which
//! applies backpressure to it.

use std::collections::VecDeque;
use std::pin::{Pin, pin};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, Waker};

use bytes::{Bytes, BytesMut};
use futures::{Stream, StreamExt};
use hyper::body::Frame;
use tokio::sync::Notify;
use tokio::task::AbortHandle;
use tokio::time::Instant;

use super::metrics::ReadAheadMetrics;
use super::open_requests::OpenRequest;
use super::response::IncompleteBody;
use crate::adapters::mutex::lock;

/// Upper bound on the bytes buffered for one stream, besides the frame that exceeds it. The longest
/// answers of the deployments have 150 KB, so they are read to their end whatever their callers do.
const STREAM_LIMIT_BYTES: usize = 256 * 1024;
/// A stream may buffer this much even if others use the whole budget, so that slow callers do not
/// hold up those that read as fast as their instances write.
const RESERVED_BYTES: usize = 16 * 1024;
/// Events that wait are joined into frames of up to this size, as a frame of its own would take several
/// times the memory of a short event.
const JOINED_BYTES: usize = 16 * 1024;
/// Responses that end this much later than their streams get a log line of their own.
const LOGGED_LAG_MS: u64 = 100;

/// The memory of a gateway for stream data that callers have not taken yet.
pub(super) struct ReadAheadBudget {
    limit_bytes: usize,
    held_bytes: AtomicUsize,
    /// Notified when `held_bytes` falls below the limit.
    freed: Notify,
    metrics: ReadAheadMetrics,
}

impl ReadAheadBudget {
    pub(super) fn new(limit_bytes: usize, metrics: ReadAheadMetrics) -> Self {
        Self {
            limit_bytes,
            held_bytes: AtomicUsize::new(0),
            freed: Notify::new(),
            metrics,
        }
    }

    fn is_used_up(&self) -> bool {
        self.held_bytes.load(Ordering::Relaxed) >= self.limit_bytes
    }

    fn take(&self, bytes: usize) {
        let held = self.held_bytes.fetch_add(bytes, Ordering::Relaxed) + bytes;
        self.show(held);
    }

    fn give_back(&self, bytes: usize) {
        let before = self.held_bytes.fetch_sub(bytes, Ordering::Relaxed);
        let held = before.saturating_sub(bytes);
        self.show(held);
        if before >= self.limit_bytes && held < self.limit_bytes {
            self.freed.notify_waiters();
        }
    }

    fn show(&self, held_bytes: usize) {
        let held_bytes = i64::try_from(held_bytes).unwrap_or(i64::MAX);
        self.metrics.held_bytes.set(held_bytes);
    }
}

/// Whether the bound over all streams applies to a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Share {
    /// Beyond `RESERVED_BYTES`, the stream is read only while the budget is not used up.
    OfBudget,
    /// Only the bound of one stream applies: its engine is about to stop, and what it has sent has to
    /// be read before.
    OfStream,
}

/// The buffer of one stream.
pub(super) struct ReadAhead {
    budget: Arc<ReadAheadBudget>,
    state: Mutex<State>,
    /// Notified when the caller has taken data.
    taken: Notify,
}

#[derive(Default)]
struct State {
    frames: VecDeque<BytesMut>,
    held_bytes: usize,
    /// How and when the stream has ended; `None` before that.
    end: Option<(Result<(), String>, Instant)>,
    /// Wakes the reader once there is more to take.
    reader: Option<Waker>,
}

impl Drop for ReadAhead {
    fn drop(&mut self) {
        self.budget.give_back(lock(&self.state).held_bytes);
    }
}

impl ReadAhead {
    pub(super) fn new(budget: &Arc<ReadAheadBudget>) -> Arc<Self> {
        Arc::new(Self {
            budget: Arc::clone(budget),
            state: Mutex::default(),
            taken: Notify::new(),
        })
    }

    /// Returns true if the instance may be read.
    pub(super) fn has_room(&self, share: Share) -> bool {
        match lock(&self.state).held_bytes {
            held if held < RESERVED_BYTES => true,
            held if held >= STREAM_LIMIT_BYTES => false,
            _ => share == Share::OfStream || !self.budget.is_used_up(),
        }
    }

    /// Returns once the instance may be read.
    pub(super) async fn wait_for_room(&self, share: Share) {
        loop {
            let (taken, freed) = (self.taken.notified(), self.budget.freed.notified());
            if self.has_room(share) {
                return;
            }
            futures::future::select(pin!(taken), pin!(freed)).await;
        }
    }

    /// Counts that the instance is not read for lack of room, and returns the bytes held.
    pub(super) fn record_pause(&self) -> usize {
        self.budget.metrics.pauses.inc();
        lock(&self.state).held_bytes
    }

    fn push(&self, bytes: Bytes) {
        self.budget.take(bytes.len());
        let mut state = lock(&self.state);
        state.held_bytes += bytes.len();
        match state.frames.back_mut() {
            Some(last) if last.len() + bytes.len() <= JOINED_BYTES => {
                last.extend_from_slice(&bytes);
            }
            _ => state.frames.push_back(bytes.into()),
        }
        wake(state.reader.take());
    }

    /// Records the end of the stream; the first one counts.
    fn end(&self, result: Result<(), String>) {
        let mut state = lock(&self.state);
        state.end.get_or_insert_with(|| (result, Instant::now()));
        wake(state.reader.take());
    }
}

fn wake(reader: Option<Waker>) {
    if let Some(reader) = reader {
        reader.wake();
    }
}

/// Ends a buffer that has not ended when it is dropped, as the task that fills it has panicked.
struct EndOnDrop<'a>(&'a ReadAhead);

impl Drop for EndOnDrop<'_> {
    fn drop(&mut self) {
        self.0
            .end(Err("the task that reads the stream has failed".to_owned()));
    }
}

/// What a caller takes of a stream. Dropping it ends the task that reads the instance.
pub(super) struct CallerStream {
    read_ahead: Arc<ReadAhead>,
    reading: AbortHandle,
    /// The request counts as open until the caller has taken everything.
    open: Arc<OpenRequest>,
    deadline: Instant,
    /// How the response ended; `None` before that.
    outcome: Option<&'static str>,
}

impl CallerStream {
    /// Reads `stream` to its end in a task of its own. `read_ahead` is the buffer by which the
    /// stream decides whether it reads its instance. The response ends at `deadline` at the latest.
    pub(super) fn read(
        read_ahead: Arc<ReadAhead>,
        stream: impl Stream<Item = Result<Bytes, String>> + Send + 'static,
        open: Arc<OpenRequest>,
        deadline: Instant,
    ) -> Self {
        let buffer = Arc::clone(&read_ahead);
        let reading = tokio::spawn(async move {
            let _end = EndOnDrop(&buffer);
            let mut stream = pin!(stream);
            let mut result = Ok(());
            while let Some(part) = stream.next().await {
                match part {
                    Ok(bytes) => buffer.push(bytes),
                    Err(cause) => result = Err(cause),
                }
            }
            buffer.end(result);
        });
        Self {
            read_ahead,
            reading: reading.abort_handle(),
            open,
            deadline,
            outcome: None,
        }
    }
}

impl Stream for CallerStream {
    type Item = Result<Frame<Bytes>, IncompleteBody>;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let (next, outcome) = {
            let mut state = lock(&self.read_ahead.state);
            match (state.frames.pop_front(), &state.end) {
                _ if self.outcome.is_some() => return Poll::Ready(None),
                // Of a stream that has not ended, its own task reports that.
                (Some(_), Some(_)) if Instant::now() >= self.deadline => {
                    (Some(Err("out of time".to_owned())), Some("out_of_time"))
                }
                (Some(bytes), _) => {
                    state.held_bytes -= bytes.len();
                    self.read_ahead.budget.give_back(bytes.len());
                    (Some(Ok(bytes.freeze())), None)
                }
                (None, Some((Ok(()), _))) => (None, Some("delivered")),
                (None, Some((Err(cause), _))) => (Some(Err(cause.clone())), Some("broken")),
                (None, None) => {
                    state.reader = Some(context.waker().clone());
                    return Poll::Pending;
                }
            }
        };
        self.read_ahead.taken.notify_one();
        self.outcome = outcome;
        Poll::Ready(next.map(|next| next.map(Frame::data).map_err(IncompleteBody)))
    }
}

impl Drop for CallerStream {
    /// Ends the reading task, and logs how a response ended that took longer than its instance.
    fn drop(&mut self) {
        self.reading.abort();
        let state = lock(&self.read_ahead.state);
        let Some((_, ended_at)) = state.end else {
            return;
        };
        let after_ms = u64::try_from(ended_at.elapsed().as_millis()).unwrap_or(u64::MAX);
        if after_ms >= LOGGED_LAG_MS {
            tracing::info!(
                request = self.open.id(),
                outcome = self.outcome.unwrap_or("abandoned"),
                after_ms,
                untaken_bytes = state.held_bytes,
                "response ended after its stream"
            );
        }
    }
}
