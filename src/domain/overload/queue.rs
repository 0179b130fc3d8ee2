//! The queue of generations that wait for room, held by the hub.
//!
//! When generations queued at each entry, and the fleet was asked for somewhat more than its memory
//! holds, room went to whichever entry asked first: in one load test, 198 of the 226 refused
//! generations had waited in vain for most of their time. The hub sees all waiting generations: it
//! assigns room in one order, and refuses early those that cannot expect any in time.

// Counts and times are far below the largest integer that an `f64` represents exactly.
#![allow(clippy::cast_precision_loss)]

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::arrivals::{Ahead, Arrivals};
use super::forecast::{Forecast, HORIZON_MS, Simulation, truncate_ms};
use super::reserved::ReservedEngines;
use super::shares::Shares;
use super::wait::expected_run_ms;
use crate::domain::admission::retry_after_ms;
use crate::domain::fleet::{Demand, PlacementRequest};

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
/// A generation that can still meet its target waits until its expected wait exceeds its remaining
/// time by this factor. The estimate is rough, and a refused caller retries once.
const IN_TIME_PATIENCE_PERCENT: u64 = 200;
/// The same for late generations, whose remaining time is several times as long, and for callers that
/// were refused before.
const LATE_PATIENCE_PERCENT: u64 = 150;
/// A late generation that has waited for this percentage of its time is placed like one in time. Without
/// that, those that others overtook until the end of their time would be held in vain. With 75 %, late
/// answers took the room of too many in time in replays of lasting overload.
const DUE_PERCENT: u64 = 90;
/// A long generation that has waited for this long is old: an engine is kept for it from smaller ones. Generations that may wait for half of a target of 1.8 s never reach it.
const OLD_MS: u64 = 1_500;
/// From this trust in the forecast on, the first in the queue is refused as well if it is late and no
/// room is expected in its time.
const MIN_TRUST: f64 = 0.5;
/// Part of the arrivals in time that are expected to take room before a late generation. The others do
/// not fit where room becomes free, or are refused themselves. In replays with a part of 1, 3 to 10 callers
/// were refused twice in bursts whose late answers all had room, with 0.8 none; with 0.5 fewer long
/// streams were in time in lasting overload.
const ARRIVALS_PLACED_FIRST: f64 = 0.7;
/// Interval between the promised returns of refused callers at a rate of zero.
const MAX_RETURN_INTERVAL_MS: f64 = 250.0;
/// The last part (one in N) of the longest retry time is for callers that cannot expect room within
/// it. They are spread over that part.
const LAST_RETURNS_DIVISOR: u64 = 2;

/// Why a generation is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum RefusalReason {
    /// Its time to wait is over.
    TimeOver,
    /// Those ahead of it take the room that is expected to become free in its time.
    NoRoomInTime,
    /// Arrivals that rank before it are expected to take all room.
    Outranked,
}

impl RefusalReason {
    pub fn name(self) -> &'static str {
        match self {
            Self::TimeOver => "time_over",
            Self::NoRoomInTime => "no_room_in_time",
            Self::Outranked => "outranked",
        }
    }
}

/// The expected wait of a generation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outlook {
    /// Number of generations that are placed before it.
    pub ahead: u32,
    /// Expected time until it is placed.
    pub expected_ms: u64,
    /// Time after which its caller should retry if it is refused.
    pub retry_after_ms: u64,
    /// True if it cannot meet its target, so that others are placed first.
    pub late: bool,
    /// Why it is refused; `None` if it may wait.
    pub refused: Option<RefusalReason>,
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
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PendingGeneration {
    pub demand: Demand,
    /// 0 is the most urgent.
    pub priority: u32,
    pub workspace: Arc<str>,
    /// When its caller first made the request.
    pub since_ms: u64,
    /// The time until which it has to be placed to meet its target.
    pub in_time_until_ms: u64,
    /// The time after which it can no longer use room.
    pub until_ms: u64,
    /// True if it has waited before, or its caller was refused before. It is refused only if its
    /// prospects have become clearly worse.
    pub is_known: bool,
}

impl PendingGeneration {
    fn can_be_in_time(&self, now_ms: u64) -> bool {
        now_ms <= self.in_time_until_ms
    }

    /// Returns true if most of its time is over and its answer would be late.
    fn is_due(&self, now_ms: u64) -> bool {
        let waited_ms = now_ms.saturating_sub(self.since_ms);
        let whole_ms = self.until_ms.saturating_sub(self.since_ms);
        !self.can_be_in_time(now_ms) && waited_ms * 100 >= whole_ms * DUE_PERCENT
    }
}

/// Position in the queue: by priority; within one, those that can still meet their target before the
/// others, short generations before long ones, workspaces within their share before those over it;
/// then by arrival time, delayed by size.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    priority: u32,
    late: bool,
    long: bool,
    over_share: bool,
    ordered_from_ms: u64,
    id: u64,
}

#[derive(Debug)]
struct Waiter {
    rank: Rank,
    request: PlacementRequest,
    pending: PendingGeneration,
}

impl Waiter {
    fn is_old(&self, now_ms: u64) -> bool {
        self.rank.long && now_ms >= self.pending.since_ms + OLD_MS
    }
}

/// The generations that wait for room, in their order.
#[derive(Debug)]
pub struct PlacementQueue {
    waiters: Vec<Waiter>,
    next_id: u64,
    placements_per_s: f64,
    /// The part of them that were late.
    late_placements_per_s: f64,
    /// True once the rate has been measured.
    is_measured: bool,
    /// End of the period that the measured rate covers; `None` while no generation waits.
    measured_until_ms: Option<u64>,
    arrivals: Arrivals,
    shares: Shares,
    forecast: Forecast,
    reserved: ReservedEngines,
    /// Number of engines that report.
    engines: usize,
    /// Until when refused callers have been told to return.
    promised_ms: f64,
    /// Number of refused callers that could not be told when there will be room.
    unpromised: u64,
}

impl Default for PlacementQueue {
    fn default() -> Self {
        Self {
            waiters: Vec::new(),
            next_id: 0,
            placements_per_s: INITIAL_PLACEMENTS_PER_S,
            late_placements_per_s: 0.0,
            is_measured: false,
            measured_until_ms: None,
            arrivals: Arrivals::default(),
            shares: Shares::default(),
            forecast: Forecast::default(),
            reserved: ReservedEngines::default(),
            engines: 0,
            promised_ms: 0.0,
            unpromised: 0,
        }
    }
}

impl PlacementQueue {
    /// Returns true if no generation waits.
    pub fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }

    /// Returns the number of waiting generations by priority.
    pub fn waiting(&self) -> BTreeMap<u32, u32> {
        let mut waiting = BTreeMap::new();
        for waiter in &self.waiters {
            *waiting.entry(waiter.rank.priority).or_default() += 1;
        }
        waiting
    }

    /// Records the number of engines that report, from which the rate is estimated until it has been
    /// measured.
    pub fn expect(&mut self, engines: usize) {
        self.engines = engines;
        if !self.is_measured && engines > 0 {
            self.placements_per_s = engines as f64 * INITIAL_PLACEMENTS_PER_ENGINE_S;
        }
    }

    /// Records that engines are still being identified, whose load is unknown: no generation is
    /// refused because of the rate.
    pub fn expect_engines(&mut self) {
        self.placements_per_s = self.placements_per_s.max(UNIDENTIFIED_PLACEMENTS_PER_S);
    }

    /// Records how many generations run in the fleet, whoever placed them. The forecast is trusted by
    /// the part of them that it knows.
    pub fn set_fleet_running(&mut self, running: u32) {
        self.forecast.set_fleet_running(running);
    }

    /// Counts the arrival of a generation that was not placed at once. One that asks again is not
    /// counted.
    pub fn record_arrival(&mut self, pending: &PendingGeneration, now_ms: u64) {
        let run_ms = expected_run_ms(pending.demand);
        self.arrivals.add(pending.priority, run_ms, now_ms);
    }

    /// Places a generation at once, if none waits that is placed before it. `place` reserves room and
    /// returns the index of the candidate.
    pub fn place_now(
        &mut self,
        request: &PlacementRequest,
        pending: &PendingGeneration,
        mut place: impl FnMut(&PlacementRequest) -> Option<usize>,
        now_ms: u64,
    ) -> Option<usize> {
        let late = !pending.can_be_in_time(now_ms) && !pending.is_due(now_ms);
        if self.position(self.rank(pending, late, self.next_id)) > 0 {
            return None;
        }
        let at = self.reserved.place(request, pending, &mut place)?;
        self.record_grant(pending, now_ms);
        Some(at)
    }

    /// Returns the outlook of a generation if it joined the queue now.
    pub fn outlook(&self, pending: &PendingGeneration, now_ms: u64) -> Outlook {
        let left_ms = pending.until_ms.saturating_sub(now_ms);
        if pending.can_be_in_time(now_ms) {
            let in_time_ms = left_ms.min(pending.in_time_until_ms - now_ms);
            let outlook = self.outlook_as(pending, false, now_ms);
            if in_time_ms > 0 && (outlook.ahead == 0 || outlook.expected_ms <= in_time_ms) {
                return outlook;
            }
        }
        let percent = match pending.is_known {
            true => LATE_PATIENCE_PERCENT,
            false => 100,
        };
        let outlook = self.outlook_as(pending, !pending.is_due(now_ms), now_ms);
        let outlook = Outlook {
            late: true,
            ..outlook
        };
        self.refuse_late(outlook, pending, percent, now_ms)
    }

    /// Adds a generation to the queue and returns its id. Fails with its outlook if it cannot
    /// expect room in time.
    pub fn join(
        &mut self,
        request: PlacementRequest,
        pending: PendingGeneration,
        now_ms: u64,
    ) -> Result<u64, Outlook> {
        let outlook = self.outlook(&pending, now_ms);
        if outlook.refused.is_some() {
            return Err(self.promise_return(outlook, now_ms));
        }
        let id = self.next_id;
        let rank = self.rank(&pending, outlook.late && !pending.is_due(now_ms), id);
        let at = self.position(rank);
        self.next_id += 1;
        self.measured_until_ms.get_or_insert(now_ms);
        let waiter = Waiter {
            rank,
            request,
            pending,
        };
        self.waiters.insert(at, waiter);
        Ok(id)
    }

    /// Removes a generation that no longer waits.
    pub fn leave(&mut self, id: u64) {
        self.waiters.retain(|waiter| waiter.rank.id != id);
        self.end_if_empty();
    }

    /// Removes all generations. Their ids are not reused.
    pub fn clear(&mut self) {
        *self = Self {
            next_id: self.next_id,
            placements_per_s: self.placements_per_s,
            engines: self.engines,
            ..Self::default()
        };
    }

    /// Tries to place each generation in order; `place` reserves room and returns the index of the
    /// candidate. `first_free` returns the index of the candidate that is expected to have room
    /// first. Returns the ids of the generations that leave the queue, and the decision on each.
    pub fn serve(
        &mut self,
        mut place: impl FnMut(&PlacementRequest) -> Option<usize>,
        first_free: impl Fn(&PlacementRequest) -> Option<usize>,
        now_ms: u64,
    ) -> Vec<(u64, PlacementDecision)> {
        self.update_ranks(now_ms);
        let mut decisions = Vec::new();
        self.reserved = self.reserve_engines(first_free, now_ms);
        let mut late_placed = 0;
        let waiters = std::mem::take(&mut self.waiters);
        for waiter in waiters {
            let (request, pending) = (&waiter.request, &waiter.pending);
            match self.reserved.place(request, pending, &mut place) {
                Some(at) => {
                    decisions.push((waiter.rank.id, PlacementDecision::Placed(at)));
                    self.record_grant(pending, now_ms);
                    late_placed += usize::from(waiter.rank.late);
                }
                None => self.waiters.push(waiter),
            }
        }
        self.measure(decisions.len(), late_placed, now_ms);
        self.demote(now_ms);
        decisions.extend(self.refuse_hopeless(now_ms));
        self.end_if_empty();
        decisions
    }

    /// Returns the retry time of a caller that was refused with an outlook. Callers return one after
    /// the other, at the rate at which room becomes free.
    pub fn promise_return(&mut self, outlook: Outlook, now_ms: u64) -> Outlook {
        let interval_ms = (1_000.0 / self.placements_per_s.max(0.1)).min(MAX_RETURN_INTERVAL_MS);
        let expected_ms = (now_ms + outlook.expected_ms) as f64;
        let return_ms = expected_ms.max(self.promised_ms + interval_ms);
        let after_ms = truncate_ms(return_ms).saturating_sub(now_ms);
        let usable_ms = retry_after_ms(after_ms);
        let retry_after_ms = if usable_ms < after_ms {
            // Multiples of the golden ratio are spread evenly, however many there are.
            let part = (self.unpromised as f64 * 0.618).fract();
            self.unpromised += 1;
            let last_ms = (usable_ms / LAST_RETURNS_DIVISOR) as f64;
            usable_ms - truncate_ms(part * last_ms)
        } else {
            self.promised_ms = return_ms;
            usable_ms
        };
        Outlook {
            retry_after_ms,
            ..outlook
        }
    }

    /// Returns the engines that are kept for old generations, the first ones in the order.
    fn reserve_engines(
        &self,
        first_free: impl Fn(&PlacementRequest) -> Option<usize>,
        now_ms: u64,
    ) -> ReservedEngines {
        let mut reserved = ReservedEngines::default();
        for waiter in self.waiters.iter().filter(|waiter| waiter.is_old(now_ms)) {
            if reserved.is_full(self.engines) {
                break;
            }
            let candidates = &waiter.request.candidates;
            if let Some(candidate) = first_free(&waiter.request).and_then(|at| candidates.get(at)) {
                reserved.keep(&candidate.identity, &waiter.pending);
            }
        }
        reserved
    }

    fn end_if_empty(&mut self) {
        if self.waiters.is_empty() {
            self.measured_until_ms = None;
            self.reserved = ReservedEngines::default();
        }
    }

    fn record_grant(&mut self, pending: &PendingGeneration, now_ms: u64) {
        let run_ms = expected_run_ms(pending.demand);
        let tokens = pending.demand.total_tokens();
        self.shares
            .grant(&pending.workspace, tokens, run_ms, now_ms);
        if self.measured_until_ms.is_none() {
            self.forecast.advance(None, now_ms);
        }
        self.forecast.start(run_ms, now_ms);
    }

    fn rank(&self, pending: &PendingGeneration, late: bool, id: u64) -> Rank {
        let order_delay_ms = pending.demand.output_tokens as f64 * ORDER_DELAY_MS_PER_TOKEN;
        Rank {
            priority: pending.priority,
            late,
            long: pending.demand.is_long(),
            over_share: self.shares.is_over_share(&pending.workspace),
            ordered_from_ms: pending.since_ms + truncate_ms(order_delay_ms.min(MAX_ORDER_DELAY_MS)),
            id,
        }
    }

    fn position(&self, rank: Rank) -> usize {
        self.waiters.partition_point(|waiter| waiter.rank < rank)
    }

    /// Updates the order after grants and with the time that has passed.
    fn update_ranks(&mut self, now_ms: u64) {
        for waiter in &mut self.waiters {
            waiter.rank.late = (waiter.rank.late || !waiter.pending.can_be_in_time(now_ms))
                && !waiter.pending.is_due(now_ms);
            waiter.rank.over_share = self.shares.is_over_share(&waiter.pending.workspace);
        }
        self.waiters.sort_by_key(|waiter| waiter.rank);
    }

    /// Marks generations as late that cannot expect room in time for their target. Room goes to those
    /// that arrived later and can, as long as there are any.
    fn demote(&mut self, now_ms: u64) {
        let outlooks = self.outlooks(now_ms);
        for (waiter, outlook) in self.waiters.iter_mut().zip(outlooks) {
            let until_ms = waiter.pending.until_ms.min(waiter.pending.in_time_until_ms);
            let left_ms = until_ms.saturating_sub(now_ms);
            let can_be_in_time = left_ms > 0
                && (outlook.ahead == 0
                    || outlook.expected_ms * 100 <= left_ms * IN_TIME_PATIENCE_PERCENT);
            waiter.rank.late |= !can_be_in_time && !waiter.pending.is_due(now_ms);
        }
        self.waiters.sort_by_key(|waiter| waiter.rank);
    }

    /// Removes the late generations that cannot expect room while they can use it.
    fn refuse_hopeless(&mut self, now_ms: u64) -> Vec<(u64, PlacementDecision)> {
        let outlooks = self.outlooks(now_ms);
        let waiters = std::mem::take(&mut self.waiters);
        let mut refused = Vec::new();
        for (waiter, outlook) in waiters.into_iter().zip(outlooks) {
            let (pending, percent) = (&waiter.pending, LATE_PATIENCE_PERCENT);
            let can_be_in_time = !waiter.rank.late && pending.can_be_in_time(now_ms);
            let outlook = match can_be_in_time {
                true => outlook,
                false => self.refuse_late(outlook, pending, percent, now_ms),
            };
            if outlook.refused.is_some() {
                let outlook = self.promise_return(outlook, now_ms);
                refused.push((waiter.rank.id, PlacementDecision::Refused(outlook)));
            } else {
                self.waiters.push(waiter);
            }
        }
        refused
    }

    /// Refuses a late generation unless its expected wait is within `percent` of the time that is
    /// left to it. The first in the queue may wait while the forecast is not trusted: room may become
    /// free at any time, and the rate is measured only while generations wait.
    fn refuse_late(
        &self,
        outlook: Outlook,
        pending: &PendingGeneration,
        percent: u64,
        now_ms: u64,
    ) -> Outlook {
        let left_ms = pending.until_ms.saturating_sub(now_ms);
        let is_first = outlook.ahead == 0 && self.forecast.trust() < MIN_TRUST;
        let refused = if left_ms == 0 {
            Some(RefusalReason::TimeOver)
        } else if is_first || outlook.expected_ms * 100 <= left_ms * percent {
            None
        } else if outlook.expected_ms >= HORIZON_MS {
            Some(RefusalReason::Outranked)
        } else {
            Some(RefusalReason::NoRoomInTime)
        };
        Outlook { refused, ..outlook }
    }

    /// Returns the outlooks of all waiting generations, in their order.
    fn outlooks(&self, now_ms: u64) -> Vec<Outlook> {
        let mut simulation = self.forecast.simulate(now_ms);
        let waiters = self.waiters.iter().enumerate();
        let outlooks = waiters.map(|(ahead, waiter)| {
            self.next_outlook(&mut simulation, ahead, &waiter.pending, waiter.rank, now_ms)
        });
        outlooks.collect()
    }

    /// Returns the outlook of a generation that would join the queue as in time or as late.
    fn outlook_as(&self, pending: &PendingGeneration, late: bool, now_ms: u64) -> Outlook {
        let rank = self.rank(pending, late, self.next_id);
        let ahead = self.position(rank);
        let mut simulation = self.forecast.simulate(now_ms);
        for waiter in self.waiters.iter().take(ahead) {
            let run_ms = expected_run_ms(waiter.pending.demand);
            simulation.next_ms(run_ms, self.arrivals_ahead(waiter.rank, now_ms));
        }
        self.next_outlook(&mut simulation, ahead, pending, rank, now_ms)
    }

    /// Returns the outlook of a generation behind those that the simulation has placed: the forecast
    /// and the rate measured recently, weighted by the trust in the forecast.
    fn next_outlook(
        &self,
        simulation: &mut Simulation,
        ahead: usize,
        pending: &PendingGeneration,
        rank: Rank,
        now_ms: u64,
    ) -> Outlook {
        let arrivals = self.arrivals_ahead(rank, now_ms);
        let rate_per_s = (self.placements_per_s - arrivals.per_s).max(0.1);
        let by_rate_ms = (ahead + 1) as f64 * 1_000.0 / rate_per_s;
        let forecast_ms = simulation.next_ms(expected_run_ms(pending.demand), arrivals) as f64;
        let trust = self.forecast.trust();
        let expected_ms = truncate_ms(by_rate_ms * (1.0 - trust) + forecast_ms * trust);
        Outlook {
            ahead: u32::try_from(ahead).unwrap_or(u32::MAX),
            expected_ms,
            retry_after_ms: retry_after_ms(expected_ms),
            late: rank.late,
            refused: None,
        }
    }

    /// Returns the arrivals that are expected to be placed before a generation that waits. They leave
    /// late ones at least the room that late ones have found recently: not each arrival can use the
    /// room that is free.
    fn arrivals_ahead(&self, rank: Rank, now_ms: u64) -> Ahead {
        let arrivals = self.arrivals.ahead(rank.priority, rank.late, now_ms);
        let room_per_s = self.placements_per_s - self.late_placements_per_s;
        match rank.late {
            true => Ahead {
                per_s: arrivals.per_s.min(room_per_s) * ARRIVALS_PLACED_FIRST,
                ..arrivals
            },
            false => arrivals,
        }
    }

    /// Updates the average rates with the numbers of generations just placed, and compares them with
    /// the forecast.
    fn measure(&mut self, placed: usize, late_placed: usize, now_ms: u64) {
        let Some(since_ms) = self.measured_until_ms.replace(now_ms) else {
            return;
        };
        self.forecast.advance(Some(placed), now_ms);
        self.is_measured = true;
        let elapsed_ms = now_ms.saturating_sub(since_ms).max(1) as f64;
        let weight = (elapsed_ms / AVERAGING_PERIOD_MS).min(1.0);
        let update = |rate_per_s: &mut f64, count: usize| {
            *rate_per_s += (count as f64 * 1_000.0 / elapsed_ms - *rate_per_s) * weight;
        };
        update(&mut self.placements_per_s, placed);
        update(&mut self.late_placements_per_s, late_placed);
    }
}
