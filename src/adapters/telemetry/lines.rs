//! A bounded queue of log lines that a background thread writes to standard output.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};

use prometheus::{IntCounter, IntCounterVec, Opts};
use tracing::{Level, Metadata};
use tracing_subscriber::fmt::MakeWriter;

use super::{ROUTINE, registry};

/// Capacity of the queue. At about 500 bytes a line, a full queue takes 1 MB.
const QUEUE_LINES: usize = 2_048;

/// Creates the writers that put formatted lines into the queue.
pub(super) struct LineQueue {
    queue: SyncSender<Vec<u8>>,
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
        let (queue, lines) = sync_channel(QUEUE_LINES);
        // If the thread cannot be started, every line is counted as dropped.
        let _ = std::thread::Builder::new()
            .name("log-lines".to_owned())
            .spawn(move || write_lines(&lines));
        Self::with_queue(queue)
    }

    fn with_queue(queue: SyncSender<Vec<u8>>) -> Self {
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

fn write_lines(lines: &Receiver<Vec<u8>>) {
    let mut output = io::stdout().lock();
    while let Ok(line) = lines.recv() {
        // There is nowhere left to report that standard output was closed.
        let _ = output.write_all(&line);
        let _ = output.flush();
    }
}

/// Puts one formatted line into the queue, or drops and counts it if the queue is full.
pub(super) struct LineWriter {
    queue: SyncSender<Vec<u8>>,
    dropped: IntCounter,
}

impl Write for LineWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        match self.queue.try_send(line.to_vec()) {
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
