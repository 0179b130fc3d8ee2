//! A bounded queue of log lines that a background thread writes to standard output.

use std::fs::File;
use std::io::{self, Write};
use std::os::fd::AsFd;
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
    // Standard output itself would keep a part of a line that it could not write.
    let output = io::stdout().as_fd().try_clone_to_owned().map(File::from);
    let mut is_torn = false;
    while let Ok(item) = items.recv() {
        match (item, &output) {
            (QueueItem::Flush(done), _) => {
                // The flush may have timed out.
                let _ = done.try_send(());
            }
            (QueueItem::Line { text, dropped }, Ok(output)) => {
                if write_line(output, &text, &mut is_torn).is_err() {
                    dropped.inc();
                }
            }
            (QueueItem::Line { dropped, .. }, Err(_)) => dropped.inc(),
        }
    }
}

/// Writes a line, on a new line if the last one was written in part. `is_torn` says whether that
/// was so, and is set to whether this line was.
fn write_line(mut output: impl Write, text: &[u8], is_torn: &mut bool) -> io::Result<()> {
    if *is_torn {
        output.write_all(b"\n")?;
        *is_torn = false;
    }
    let mut rest = text;
    while !rest.is_empty() {
        match output.write(rest) {
            Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
            Ok(count) => {
                rest = &rest[count..];
                *is_torn = !rest.is_empty();
            }
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => return Err(error),
        }
    }
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
