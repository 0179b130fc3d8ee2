//! Pauses in which a relay does not read its engine, because its caller has too much to take. What an
//! engine sends meanwhile waits in its socket, so a pause shows nothing of the engine.

use std::time::Duration;

use tokio::time::Instant;

use super::super::read_ahead::Share;
use super::Relay;

/// Time after a pause in which events may be read that have waited in the socket.
const BACKLOG_TIME: Duration = Duration::from_millis(150);

/// The last pause of a relay.
#[derive(Debug, Default)]
pub(super) struct ReadPause {
    is_paused: bool,
    /// True once a pause was logged; the others are only counted.
    is_logged: bool,
    /// When events show again that their engine is at work; `None` if there was no pause.
    backlog_read_at: Option<Instant>,
}

impl ReadPause {
    pub(super) fn is_paused(&self) -> bool {
        self.is_paused
    }

    /// Returns true if events that are read now have just been made.
    pub(super) fn is_over(&self) -> bool {
        !self.is_paused
            && self
                .backlog_read_at
                .is_none_or(|read_at| Instant::now() >= read_at)
    }
}

impl Relay {
    /// Returns true if the engine may be read. Begins or ends a pause.
    pub(super) fn update_pause(&mut self) -> bool {
        let may_read = self.read_ahead.has_room(self.share());
        match (self.pause.is_paused, may_read) {
            (false, false) => {
                self.pause.is_paused = true;
                let held_bytes = self.read_ahead.record_pause();
                if !std::mem::replace(&mut self.pause.is_logged, true) {
                    tracing::info!(
                        request = &*self.job.id,
                        instance = self.source_identity().as_deref(),
                        held_bytes,
                        last_event = self.last_event,
                        "engine not read until the caller has taken more"
                    );
                }
            }
            (true, true) => {
                let now = Instant::now();
                self.pause.is_paused = false;
                self.pause.backlog_read_at = Some(now + BACKLOG_TIME);
                self.last_event_at = now;
                self.silence_recheck_at = None;
                self.gaps.restart();
            }
            _ => {}
        }
        may_read
    }

    /// Returns the share of the memory that the stream may use. A generation that is about to pass to
    /// another engine is read on, as only its next events show that its engine is prompt, and only
    /// the end of its stream shows that it was stopped.
    pub(super) fn share(&self) -> Share {
        let passes_on = self.switch_at_ms.is_some()
            || self.migration.is_some()
            || self.release.is_some()
            || self.resumption.is_some();
        match passes_on {
            true => Share::OfStream,
            false => Share::OfBudget,
        }
    }
}
