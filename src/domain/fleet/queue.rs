//! The queue of generations that wait for room, held by the hub.
//!
//! When generations queued at each entry, and the fleet was asked for somewhat more than its memory
//! holds, room went to whichever entry asked first: in one load test, 198 of the 226 refused
//! generations had waited in vain for most of their time. The hub sees all waiting generations: it
//! assigns room in one order, and refuses early those that cannot expect any in time.

// Counts and times are far below the largest integer that an `f64` represents exactly.
#![allow(clippy::cast_precision_loss)]

use serde::{Deserialize, Serialize};

use super::{Demand, PlacementRequest};
use crate::domain::admission::retry_after_ms;

/// A generation is ordered as if it had arrived later by this many milliseconds per token that it
/// is expected to produce: a fortieth of the time for which it will occupy its room.
const ORDER_DELAY_MS_PER_TOKEN: f64 = 0.25;
/// Upper bound of that delay, so that the longest generations are placed as well.
const MAX_ORDER_DELAY_MS: f64 = 400.0;
/// Assumed rate of placements while neither the number of engines nor the rate is known. On the
/// smaller planned deployment about this many generations end per second.
const INITIAL_PLACEMENTS_PER_S: f64 = 12.0;
/// The same per engine that reports: on the planned deployments about this many generations end per
/// second and engine.
const INITIAL_PLACEMENTS_PER_ENGINE_S: f64 = 0.9;
/// Assumed rate while the engines are still being identified. After a power loss all of them are
/// empty.
const UNIDENTIFIED_PLACEMENTS_PER_S: f64 = 1_000.0;
/// Period over which the rate is averaged. Engines are replaced every few seconds.
const AVERAGING_PERIOD_MS: f64 = 1_500.0;
/// A waiting generation is refused once its expected wait exceeds its remaining time by this
/// factor. The estimate is rough, and a refused caller retries once.
const REFUSAL_FACTOR: u64 = 2;

/// The expected wait of a generation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outlook {
    /// Number of generations that are placed before it.
    pub ahead: u32,
    /// Expected time until it is placed, at the recent rate.
    pub expected_ms: u64,
    /// Time after which its caller should retry if it is refused: once all that wait now have been
    /// placed.
    pub retry_after_ms: u64,
    /// True if it can no longer meet its target, so that others are placed first.
    pub late: bool,
}

impl Outlook {
    /// Returns true if the generation can be placed within `left_ms`. The first in the queue may
    /// always wait: room may become free at any time, and the rate is measured only while
    /// generations wait.
    pub fn can_be_placed_within(&self, left_ms: u64) -> bool {
        left_ms > 0 && (self.ahead == 0 || self.expected_ms <= left_ms)
    }
}

/// The decision on a waiting generation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlacementDecision {
    /// Placed on the candidate with this index.
    Placed(usize),
    /// Refused, since no room is expected in time.
    Refused(Outlook),
}

/// A generation to be placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PendingGeneration {
    pub demand: Demand,
    /// When its caller first made the request.
    pub since_ms: u64,
    /// The time after which it can no longer use room.
    pub until_ms: u64,
    /// True if it can no longer meet its target.
    pub late: bool,
}

impl PendingGeneration {
    /// Returns a generation whose caller first made the request at `since_ms`. It may wait for
    /// another `left_ms`, and meets its target if it is placed within `in_time_ms` of the first
    /// attempt.
    pub fn new(demand: Demand, since_ms: u64, in_time_ms: u64, left_ms: u64, now_ms: u64) -> Self {
        Self {
            demand,
            since_ms,
            until_ms: now_ms + left_ms,
            late: now_ms > since_ms + in_time_ms,
        }
    }
}

/// Position in the queue: short generations first, then those that can still meet their target,
/// then by arrival time, delayed by size.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    long: bool,
    late: bool,
    ordered_from_ms: u64,
    id: u64,
}

#[derive(Debug)]
struct Waiter {
    rank: Rank,
    request: PlacementRequest,
    until_ms: u64,
}

/// The generations that wait for room, in their order.
#[derive(Debug)]
pub struct PlacementQueue {
    waiters: Vec<Waiter>,
    next_id: u64,
    placements_per_s: f64,
    /// True once the rate has been measured.
    is_measured: bool,
    /// End of the period that the measured rate covers; `None` while no generation waits.
    measured_until_ms: Option<u64>,
}

impl Default for PlacementQueue {
    fn default() -> Self {
        Self {
            waiters: Vec::new(),
            next_id: 0,
            placements_per_s: INITIAL_PLACEMENTS_PER_S,
            is_measured: false,
            measured_until_ms: None,
        }
    }
}

impl PlacementQueue {
    /// Returns true if no generation waits.
    pub fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }

    /// Estimates the rate from the number of engines that report, until it has been measured.
    pub fn expect(&mut self, engines: usize) {
        if !self.is_measured && engines > 0 {
            self.placements_per_s = engines as f64 * INITIAL_PLACEMENTS_PER_ENGINE_S;
        }
    }

    /// Records that engines are still being identified, whose load is unknown: no generation is
    /// refused because of the rate.
    pub fn expect_engines(&mut self) {
        self.placements_per_s = self.placements_per_s.max(UNIDENTIFIED_PLACEMENTS_PER_S);
    }

    /// Returns the outlook of a generation if it joined the queue now.
    pub fn outlook(&self, pending: PendingGeneration) -> Outlook {
        let rank = rank(pending, self.next_id);
        let ahead = self.waiters.partition_point(|waiter| waiter.rank < rank);
        self.outlook_at(ahead, pending.late)
    }

    /// Adds a generation to the queue and returns its id. Fails with its outlook if it cannot
    /// expect room in time.
    pub fn join(
        &mut self,
        request: PlacementRequest,
        pending: PendingGeneration,
        now_ms: u64,
    ) -> Result<u64, Outlook> {
        let id = self.next_id;
        let rank = rank(pending, id);
        let at = self.waiters.partition_point(|waiter| waiter.rank < rank);
        let outlook = self.outlook_at(at, pending.late);
        if !outlook.can_be_placed_within(pending.until_ms.saturating_sub(now_ms)) {
            return Err(outlook);
        }
        self.next_id += 1;
        self.measured_until_ms.get_or_insert(now_ms);
        let waiter = Waiter {
            rank,
            request,
            until_ms: pending.until_ms,
        };
        self.waiters.insert(at, waiter);
        Ok(id)
    }

    /// Removes a generation that no longer waits.
    pub fn leave(&mut self, id: u64) {
        self.waiters.retain(|waiter| waiter.rank.id != id);
        if self.waiters.is_empty() {
            self.measured_until_ms = None;
        }
    }

    /// Removes all generations. Their ids are not reused.
    pub fn clear(&mut self) {
        self.waiters.clear();
        self.measured_until_ms = None;
        self.is_measured = false;
    }

    /// Tries to place each generation in order; `place` reserves room and returns the index of the
    /// candidate. Returns the ids of the generations that leave the queue, and the decision on
    /// each.
    pub fn serve(
        &mut self,
        mut place: impl FnMut(&PlacementRequest) -> Option<usize>,
        now_ms: u64,
    ) -> Vec<(u64, PlacementDecision)> {
        let mut decisions = Vec::new();
        self.waiters.retain(|waiter| {
            let placed = place(&waiter.request);
            if let Some(at) = placed {
                decisions.push((waiter.rank.id, PlacementDecision::Placed(at)));
            }
            placed.is_none()
        });
        self.measure(decisions.len(), now_ms);
        let mut ahead = 0;
        while let Some(waiter) = self.waiters.get(ahead) {
            let outlook = self.outlook_at(ahead, waiter.rank.late);
            let left_ms = waiter.until_ms.saturating_sub(now_ms);
            if outlook.can_be_placed_within(left_ms * REFUSAL_FACTOR) {
                ahead += 1;
            } else {
                let refused = self.waiters.remove(ahead);
                decisions.push((refused.rank.id, PlacementDecision::Refused(outlook)));
            }
        }
        if self.waiters.is_empty() {
            self.measured_until_ms = None;
        }
        decisions
    }

    /// Updates the average rate with the number of generations just placed.
    fn measure(&mut self, placed: usize, now_ms: u64) {
        let Some(since_ms) = self.measured_until_ms.replace(now_ms) else {
            return;
        };
        self.is_measured = true;
        let elapsed_ms = now_ms.saturating_sub(since_ms).max(1) as f64;
        let observed_per_s = placed as f64 * 1_000.0 / elapsed_ms;
        let weight = (elapsed_ms / AVERAGING_PERIOD_MS).min(1.0);
        self.placements_per_s += (observed_per_s - self.placements_per_s) * weight;
    }

    fn outlook_at(&self, ahead: usize, late: bool) -> Outlook {
        let wait_ms = |count: usize| (count + 1) as f64 * 1_000.0 / self.placements_per_s.max(0.1);
        Outlook {
            ahead: u32::try_from(ahead).unwrap_or(u32::MAX),
            expected_ms: truncate_ms(wait_ms(ahead)),
            retry_after_ms: retry_after_ms(truncate_ms(wait_ms(self.waiters.len()))),
            late,
        }
    }
}

fn rank(pending: PendingGeneration, id: u64) -> Rank {
    let order_delay_ms = pending.demand.output_tokens as f64 * ORDER_DELAY_MS_PER_TOKEN;
    let ordered_from_ms = pending.since_ms + truncate_ms(order_delay_ms.min(MAX_ORDER_DELAY_MS));
    Rank {
        long: pending.demand.is_long(),
        late: pending.late,
        ordered_from_ms,
        id,
    }
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn truncate_ms(time_ms: f64) -> u64 {
    time_ms as u64
}
