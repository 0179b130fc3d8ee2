//! A bounded queue of log lines that a background thread writes to standard output.

use std::io::{self, Write};
use std::sync::OnceLock;
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread::sleep;
use std::time::{Duration, Instant};

use prometheus::{IntCounter, IntCounterVec, Opts};
use tracing::{Level, Metadata};
use tracing_subscriber::fmt::MakeWriter;

use super::{ROUTINE, registry};

/// Capacity of the queue. At about 500 bytes a line, a full queue takes 1 MB.
const QUEUE_LINES: usize = 2_048;
/// Time-out for the queued lines to be written when the process ends.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval at which a flush tries to enter a full queue.
const FLUSH_RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// The queue of this process, once logging has started.
static QUEUE: OnceLock<SyncSender<QueueItem>> = OnceLock::new();

enum QueueItem {
    Line {
        text: Vec<u8>,
        /// Incremented if the line cannot be written.
        dropped: IntCounter,
    },
    /// Answered once all earlier lines have been written or counted.
    Flush(SyncSender<()>),
}

/// Creates the writers that put formatted lines into the queue.
pub(super) struct LineQueue {
    queue: SyncSender<QueueItem>,
    dropped: DroppedCounters,
}

/// Counters of dropped lines, by the `kind` label.
struct DroppedCounters {
    routine: IntCounter,
    info: IntCounter,
    warning: IntCounter,
    error: IntCounter,
}

impl DroppedCounters {
    fn for_line(&self, line: &Metadata<'_>) -> &IntCounter {
        match *line.level() {
            Level::ERROR => &self.error,
            Level::WARN => &self.warning,
            _ if line.target() == ROUTINE => &self.routine,
            _ => &self.info,
        }
    }
}

impl LineQueue {
    /// Starts the thread that writes to standard output.
    pub(super) fn start() -> Self {
        let (queue, items) = sync_channel(QUEUE_LINES);
        // If the thread cannot be started, every line is counted as dropped.
        let _ = std::thread::Builder::new()
            .name("log-lines".to_owned())
            .spawn(move || write_lines(&items));
        // Fails only if logging was already started in this process.
        let _ = QUEUE.set(queue.clone());
        Self::with_queue(queue)
    }

    fn with_queue(queue: SyncSender<QueueItem>) -> Self {
        let opts = Opts::new(
            "lilac_log_lines_dropped_total",
            "Log lines dropped because standard output did not take them, by kind.",
        );
        let counter = IntCounterVec::new(opts, &["kind"]).expect("constant options are valid");
        // Registration fails only if logging was already started in this process.
        let _ = registry().register(Box::new(counter.clone()));
        let dropped = DroppedCounters {
            routine: counter.with_label_values(&["routine"]),
            info: counter.with_label_values(&["info"]),
            warning: counter.with_label_values(&["warning"]),
            error: counter.with_label_values(&["error"]),
        };
        Self { queue, dropped }
    }
}

/// Waits until the lines queued so far have been written or counted as dropped, at most
/// `FLUSH_TIMEOUT`.
pub(super) fn flush() {
    let Some(queue) = QUEUE.get() else {
        return;
    };
    let deadline = Instant::now() + FLUSH_TIMEOUT;
    let (done, is_done) = sync_channel(1);
    while let Err(TrySendError::Full(_)) = queue.try_send(QueueItem::Flush(done.clone())) {
        if Instant::now() >= deadline {
            return;
        }
        sleep(FLUSH_RETRY_INTERVAL);
    }
    drop(done);
    // After the time-out the process ends without the remaining lines.
    let _ = is_done.recv_timeout(deadline.saturating_duration_since(Instant::now()));
}

fn write_lines(items: &Receiver<QueueItem>) {
    let mut output = io::stdout().lock();
    let mut may_be_torn = false;
    while let Ok(item) = items.recv() {
        match item {
            QueueItem::Flush(done) => {
                // The flush may have timed out.
                let _ = done.try_send(());
            }
            QueueItem::Line { text, dropped } => {
                if write_line(&mut output, &text, &mut may_be_torn).is_err() {
                    dropped.inc();
                }
            }
        }
    }
}

/// Writes a line. It begins with a line break if the last write failed, since that may have written
/// a part of its line; `may_be_torn` keeps this between calls.
fn write_line(output: &mut impl Write, text: &[u8], may_be_torn: &mut bool) -> io::Result<()> {
    if *may_be_torn {
        output.write_all(b"\n")?;
    }
    *may_be_torn = true;
    output.write_all(text)?;
    output.flush()?;
    *may_be_torn = false;
    Ok(())
}

/// Puts one formatted line into the queue, or drops and counts it if the queue is full.
pub(super) struct LineWriter {
    queue: SyncSender<QueueItem>,
    dropped: IntCounter,
}

impl Write for LineWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let item = QueueItem::Line {
            text: line.to_vec(),
            dropped: self.dropped.clone(),
        };
        match self.queue.try_send(item) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => self.dropped.inc(),
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl<'a> MakeWriter<'a> for LineQueue {
    type Writer = LineWriter;

    fn make_writer(&'a self) -> LineWriter {
        LineWriter {
            queue: self.queue.clone(),
            dropped: self.dropped.info.clone(),
        }
    }

    fn make_writer_for(&'a self, line: &Metadata<'_>) -> LineWriter {
        LineWriter {
            queue: self.queue.clone(),
            dropped: self.dropped.for_line(line).clone(),
        }
    }
}
