//! The recent rate of arrivals by priority.

// Counts and times are far below the largest integer that an `f64` represents exactly.
#![allow(clippy::cast_precision_loss)]

use std::collections::BTreeMap;

/// Period over which arrivals are averaged. It is longer than the bursts seen on the planned
/// deployments, so that a burst does not count as lasting overload.
const AVERAGING_PERIOD_MS: f64 = 8_000.0;

#[derive(Debug, Clone, Copy)]
struct Count {
    decayed: f64,
    updated_ms: u64,
}

impl Count {
    fn at(self, now_ms: u64) -> f64 {
        let elapsed_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        self.decayed * (-elapsed_ms / AVERAGING_PERIOD_MS).exp()
    }
}

/// Arrivals of generations, by priority.
#[derive(Debug, Default)]
pub(super) struct Arrivals {
    since_ms: Option<u64>,
    by_priority: BTreeMap<u32, Count>,
}

impl Arrivals {
    pub(super) fn add(&mut self, priority: u32, now_ms: u64) {
        self.since_ms.get_or_insert(now_ms);
        let count = self.by_priority.entry(priority).or_insert(Count {
            decayed: 0.0,
            updated_ms: now_ms,
        });
        *count = Count {
            decayed: count.at(now_ms) + 1.0,
            updated_ms: now_ms,
        };
    }

    /// Returns the rate of the arrivals that are placed before a generation that waits: those of
    /// better priority and, before a late one, those of its own priority as well.
    pub(super) fn ahead_per_s(&self, priority: u32, late: bool, now_ms: u64) -> f64 {
        let ahead = self
            .by_priority
            .range(..priority.saturating_add(u32::from(late)));
        let count: f64 = ahead.map(|(_, count)| count.at(now_ms)).sum();
        let Some(since_ms) = self.since_ms else {
            return 0.0;
        };
        // Otherwise the rate of the first seconds would be underestimated. A lower bound keeps single
        // arrivals from counting as a high rate.
        let observed_ms = now_ms.saturating_sub(since_ms).max(1_000) as f64;
        let period_ms = AVERAGING_PERIOD_MS * (1.0 - (-observed_ms / AVERAGING_PERIOD_MS).exp());
        count * 1_000.0 / period_ms
    }
}
