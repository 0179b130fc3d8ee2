//! Measures the gaps between the events of a generation.

use tokio::time::Instant;

use super::Relay;

/// The gaps of one generation.
#[derive(Debug, Default)]
pub(super) struct EventGaps {
    /// When the last events were received; `None` if the next ones end no gap: before the first
    /// events and after a resumption.
    since: Option<Instant>,
    /// True once a gap was longer than the route's gap target.
    missed_target: bool,
}

impl EventGaps {
    /// Begins anew at another engine.
    pub(super) fn restart(&mut self) {
        self.since = None;
    }
}

impl Relay {
    /// Records the gap before `events` events that have just been received together. The gap of an
    /// engine that was checked for its silence shows no pace, but may have missed the target.
    pub(super) fn record_gap(&mut self, events: u32, was_silent: bool) {
        let now = Instant::now();
        let (Some(since), Some(source)) = (self.gaps.since.replace(now), &self.source) else {
            return;
        };
        let gap_ms = u64::try_from((now - since).as_millis()).unwrap_or(u64::MAX);
        let gap_target_ms = self.job.route.gap_target_ms.unwrap_or(u64::MAX);
        let metrics = &self.gateway.pace_metrics;
        if gap_ms > gap_target_ms && !std::mem::replace(&mut self.gaps.missed_target, true) {
            metrics.count_missed_target();
        }
        if !was_silent {
            metrics.observe_gap(gap_ms, events);
            let identity = &source.ticket.identity;
            self.gateway
                .with_view(|view| view.record_gap(identity, gap_ms, events));
        }
    }
}
