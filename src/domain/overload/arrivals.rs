//! The recent rate of arrivals that found no room at once, by priority.

// Counts and times are far below the largest integer that an `f64` represents exactly.
#![allow(clippy::cast_precision_loss)]

use std::collections::BTreeMap;

/// Period over which arrivals are averaged. It is longer than the bursts seen on the planned
/// deployments, so that a burst does not count as lasting overload.
const AVERAGING_PERIOD_MS: f64 = 8_000.0;

#[derive(Debug, Clone, Copy, Default)]
struct Decayed {
    count: f64,
    run_ms: f64,
    updated_ms: u64,
}

impl Decayed {
    fn at(self, now_ms: u64) -> Self {
        let elapsed_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        let kept = (-elapsed_ms / AVERAGING_PERIOD_MS).exp();
        Self {
            count: self.count * kept,
            run_ms: self.run_ms * kept,
            updated_ms: now_ms,
        }
    }
}

/// Arrivals that are expected to be placed before a generation that waits.
#[derive(Debug, Clone, Copy)]
pub(super) struct Ahead {
    pub(super) per_s: f64,
    /// Expected time for which each of them runs.
    pub(super) run_ms: f64,
}

/// Arrivals of generations that found no room at once, by priority. Those that are placed at once take
/// no room from the ones that wait, which are measured by the placements from the queue.
#[derive(Debug, Default)]
pub(super) struct Arrivals {
    since_ms: Option<u64>,
    by_priority: BTreeMap<u32, Decayed>,
}

impl Arrivals {
    pub(super) fn add(&mut self, priority: u32, run_ms: u64, now_ms: u64) {
        self.since_ms.get_or_insert(now_ms);
        let before = self.at(priority, now_ms);
        let after = Decayed {
            count: before.count + 1.0,
            run_ms: before.run_ms + run_ms as f64,
            updated_ms: now_ms,
        };
        self.by_priority.insert(priority, after);
    }

    fn at(&self, priority: u32, now_ms: u64) -> Decayed {
        let found = self.by_priority.get(&priority).copied();
        found.unwrap_or_default().at(now_ms)
    }

    /// Returns the arrivals that are placed before a generation that waits: those of better priority
    /// and, before a late one, those of its own priority as well.
    pub(super) fn ahead(&self, priority: u32, late: bool, now_ms: u64) -> Ahead {
        let ahead = self
            .by_priority
            .range(..priority.saturating_add(u32::from(late)));
        let (count, run_ms) = ahead.fold((0.0, 0.0), |(count, run_ms), (_, decayed)| {
            let decayed = decayed.at(now_ms);
            (count + decayed.count, run_ms + decayed.run_ms)
        });
        // Otherwise the rate of the first seconds would be underestimated. A lower bound keeps single
        // arrivals from counting as a high rate.
        let observed_ms = now_ms
            .saturating_sub(self.since_ms.unwrap_or(now_ms))
            .max(1_000) as f64;
        let period_ms = AVERAGING_PERIOD_MS * (1.0 - (-observed_ms / AVERAGING_PERIOD_MS).exp());
        Ahead {
            per_s: count * 1_000.0 / period_ms,
            run_ms: if count > 0.0 { run_ms / count } else { 0.0 },
        }
    }
}
