//! Collects the history of a run.

use std::sync::{Mutex, MutexGuard};
use std::time::Instant;

use super::history::{Fault, FaultKind, History};
use crate::adapters::mutex::lock;

pub(super) struct Recorder {
    started_at: Instant,
    history: Mutex<History>,
}

impl Recorder {
    pub(super) fn new() -> Self {
        Self {
            started_at: Instant::now(),
            history: Mutex::default(),
        }
    }

    pub(super) fn started_at(&self) -> Instant {
        self.started_at
    }

    /// Returns the time since the start of the run.
    pub(super) fn now_ms(&self) -> u64 {
        u64::try_from(self.started_at.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    pub(super) fn history(&self) -> MutexGuard<'_, History> {
        lock(&self.history)
    }

    /// Records a fault that began at `at_ms` and is over now.
    pub(super) fn fault(&self, kind: FaultKind, target: &str, at_ms: u64) {
        let until_ms = self.now_ms();
        self.history().faults.push(Fault {
            kind,
            target: target.into(),
            at_ms,
            until_ms,
        });
    }
}
