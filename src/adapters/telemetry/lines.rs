//! A bounded queue of log lines in front of standard output.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};

use prometheus::{IntCounter, IntCounterVec, Opts};
use tracing::{Level, Metadata};
use tracing_subscriber::fmt::MakeWriter;

use super::{ROUTINE, registry};

/// Lines that wait for standard output. At 500 bytes a line they take at most 1 MB.
const QUEUED_LINES: usize = 2_048;

/// Makes writers that put whole lines into the queue.
pub(super) struct Lines {
    queue: SyncSender<Vec<u8>>,
    dropped: Dropped,
}

/// Counters of dropped lines, by kind.
struct Dropped {
    routine: IntCounter,
    info: IntCounter,
    warning: IntCounter,
    error: IntCounter,
}

impl Dropped {
    fn of(&self, line: &Metadata<'_>) -> &IntCounter {
        match *line.level() {
            Level::ERROR => &self.error,
            Level::WARN => &self.warning,
            _ if line.target() == ROUTINE => &self.routine,
            _ => &self.info,
        }
    }
}

impl Lines {
    /// Starts the thread that writes to standard output.
    pub(super) fn start() -> Self {
        let (queue, lines) = sync_channel(QUEUED_LINES);
        // Without the thread every line is counted as dropped.
        let _ = std::thread::Builder::new()
            .name("log-lines".to_owned())
            .spawn(move || write_lines(&lines));
        Self::over(queue)
    }

    fn over(queue: SyncSender<Vec<u8>>) -> Self {
        let opts = Opts::new(
            "lilac_log_lines_dropped_total",
            "Log lines dropped because standard output did not take them, by kind.",
        );
        let counter = IntCounterVec::new(opts, &["kind"]).expect("constant options are valid");
        // Registration fails only if logging was started before in this process.
        let _ = registry().register(Box::new(counter.clone()));
        let dropped = Dropped {
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
        // Nothing is left to tell of a standard output that is gone.
        let _ = output.write_all(&line);
        let _ = output.flush();
    }
}

/// Writes one line.
pub(super) struct Line {
    queue: SyncSender<Vec<u8>>,
    dropped: IntCounter,
}

impl Write for Line {
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

impl<'a> MakeWriter<'a> for Lines {
    type Writer = Line;

    fn make_writer(&'a self) -> Line {
        Line {
            queue: self.queue.clone(),
            dropped: self.dropped.info.clone(),
        }
    }

    fn make_writer_for(&'a self, line: &Metadata<'_>) -> Line {
        Line {
            queue: self.queue.clone(),
            dropped: self.dropped.of(line).clone(),
        }
    }
}
