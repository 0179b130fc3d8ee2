//! The order in which generations wait for room, kept by the hub.
//!
//! Answers the load of a fleet that is asked for somewhat more than its memory holds. While each entry
//! let its own generations wait, room went to whoever asked first: on one day (grown chalkline scale-1)
//! 198 of the 226 that were refused had waited in vain for most of their time. The hub sees all that
//! wait: it gives room in one order, and refuses those that cannot expect any in time early.

// Counts and times stay far below what a float holds exactly.
#![allow(clippy::cast_precision_loss)]

use serde::{Deserialize, Serialize};

use super::{Demand, PlacementRequest};
use crate::domain::admission::retry_after_ms;

/// A long generation is placed as if it had come later by this part of a millisecond for each token
/// that it is expected to produce, a fortieth of the time that it will hold its room.
const HANDICAP_MS_PER_TOKEN: f64 = 0.25;
/// Upper bound of that, so that the longest ones get room as well.
const LONGEST_HANDICAP_MS: f64 = 400.0;
/// Rate at which room is found while neither the fleet nor the rate is known: the smaller of the sites
/// planned for ends about this many generations a second.
const FIRST_ROOMS_PER_S: f64 = 12.0;
/// The same for each engine that reports: those of the sites planned for end about this many.
const FIRST_ROOMS_PER_ENGINE_S: f64 = 0.9;
/// Rate while engines are about to be known. After a loss of power all of them are empty.
const UNKNOWN_ROOMS_PER_S: f64 = 1_000.0;
/// Time over which that rate is averaged; engines leave and come every few seconds.
const AVERAGE_OVER_MS: f64 = 1_500.0;
/// One that waits is refused once room is expected only after this many times the time that it has
/// left. The estimate is rough, and a caller that is refused comes back once.
const HOPELESS_FACTOR: u64 = 2;

/// What a generation that waits can expect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outlook {
    /// How many are placed before it.
    pub ahead: u32,
    /// Time until it finds room, at the recent rate.
    pub expected_ms: u64,
    /// When its caller should come back if it is turned away: once all that wait now have found room.
    pub retry_after_ms: u64,
    /// True if it cannot start in time for its target any more, so that others go before it.
    pub late: bool,
}

impl Outlook {
    /// Returns true if room may come within `left_ms`. The first in line may always wait: room may
    /// come at any time, and the rate is measured only while somebody waits.
    pub fn has_hope(&self, left_ms: u64) -> bool {
        left_ms > 0 && (self.ahead == 0 || self.expected_ms <= left_ms)
    }
}

/// What becomes of a generation that waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The position of its candidate.
    Placed(usize),
    /// It cannot expect room in time.
    Refused(Outlook),
}

/// A generation that is to be placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Wish {
    pub demand: Demand,
    /// When its caller first asked.
    pub since_ms: u64,
    /// Room is of no use later.
    pub until_ms: u64,
    /// True if it cannot start in time for its target any more.
    pub late: bool,
}

impl Wish {
    /// Returns the wish of a generation whose caller first asked at `since_ms`. It may wait `left_ms`
    /// more, and starts in time if it finds room within `in_time_ms` of the first attempt.
    pub fn new(demand: Demand, since_ms: u64, in_time_ms: u64, left_ms: u64, now_ms: u64) -> Self {
        Self {
            demand,
            since_ms,
            until_ms: now_ms + left_ms,
            late: now_ms > since_ms + in_time_ms,
        }
    }
}

/// Position in the order: short generations first, then those that can start in time, then by
/// arrival and size.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    long: bool,
    late: bool,
    counts_from_ms: u64,
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
pub struct RoomQueue {
    waiters: Vec<Waiter>,
    next_id: u64,
    rooms_per_s: f64,
    /// True once the rate comes from what was seen.
    is_measured: bool,
    /// Until when the rate has been measured; none while nobody waits.
    measured_ms: Option<u64>,
}

impl Default for RoomQueue {
    fn default() -> Self {
        Self {
            waiters: Vec::new(),
            next_id: 0,
            rooms_per_s: FIRST_ROOMS_PER_S,
            is_measured: false,
            measured_ms: None,
        }
    }
}

impl RoomQueue {
    /// Returns true if nobody waits.
    pub fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }

    /// Takes the number of engines that report, from which the rate is estimated until it was measured.
    pub fn expect(&mut self, engines: usize) {
        if !self.is_measured && engines > 0 {
            self.rooms_per_s = engines as f64 * FIRST_ROOMS_PER_ENGINE_S;
        }
    }

    /// Takes note that engines are about to be known, of which it is not known how full they are: nobody
    /// is refused by the rate.
    pub fn expect_engines(&mut self) {
        self.rooms_per_s = self.rooms_per_s.max(UNKNOWN_ROOMS_PER_S);
    }

    /// Returns what a generation can expect.
    pub fn outlook(&self, wish: Wish) -> Outlook {
        let rank = rank(wish, self.next_id);
        let ahead = self.waiters.partition_point(|waiter| waiter.rank < rank);
        self.outlook_at(ahead, wish.late)
    }

    /// Takes a generation in. Returns its number; fails if it cannot expect room in time.
    pub fn join(
        &mut self,
        request: PlacementRequest,
        wish: Wish,
        now_ms: u64,
    ) -> Result<u64, Outlook> {
        let id = self.next_id;
        let rank = rank(wish, id);
        let at = self.waiters.partition_point(|waiter| waiter.rank < rank);
        let outlook = self.outlook_at(at, wish.late);
        if !outlook.has_hope(wish.until_ms.saturating_sub(now_ms)) {
            return Err(outlook);
        }
        self.next_id += 1;
        self.measured_ms.get_or_insert(now_ms);
        let waiter = Waiter {
            rank,
            request,
            until_ms: wish.until_ms,
        };
        self.waiters.insert(at, waiter);
        Ok(id)
    }

    /// Forgets a generation that waits no longer.
    pub fn leave(&mut self, id: u64) {
        self.waiters.retain(|waiter| waiter.rank.id != id);
        if self.waiters.is_empty() {
            self.measured_ms = None;
        }
    }

    /// Forgets all that wait. Their numbers are not given again.
    pub fn clear(&mut self) {
        self.waiters.clear();
        self.measured_ms = None;
        self.is_measured = false;
    }

    /// Offers room to all that wait, in their order; `place` reserves it. Returns the numbers of
    /// those that wait no longer, and what becomes of them.
    pub fn serve(
        &mut self,
        mut place: impl FnMut(&PlacementRequest) -> Option<usize>,
        now_ms: u64,
    ) -> Vec<(u64, Verdict)> {
        let mut verdicts = Vec::new();
        self.waiters.retain(|waiter| {
            let placed = place(&waiter.request);
            if let Some(at) = placed {
                verdicts.push((waiter.rank.id, Verdict::Placed(at)));
            }
            placed.is_none()
        });
        self.measure(verdicts.len(), now_ms);
        let mut ahead = 0;
        while let Some(waiter) = self.waiters.get(ahead) {
            let outlook = self.outlook_at(ahead, waiter.rank.late);
            let left_ms = waiter.until_ms.saturating_sub(now_ms);
            if outlook.has_hope(left_ms * HOPELESS_FACTOR) {
                ahead += 1;
            } else {
                let refused = self.waiters.remove(ahead);
                verdicts.push((refused.rank.id, Verdict::Refused(outlook)));
            }
        }
        if self.waiters.is_empty() {
            self.measured_ms = None;
        }
        verdicts
    }

    fn measure(&mut self, placed: usize, now_ms: u64) {
        let Some(since_ms) = self.measured_ms.replace(now_ms) else {
            return;
        };
        self.is_measured = true;
        let passed_ms = now_ms.saturating_sub(since_ms).max(1) as f64;
        let seen_per_s = placed as f64 * 1_000.0 / passed_ms;
        let weight = (passed_ms / AVERAGE_OVER_MS).min(1.0);
        self.rooms_per_s += (seen_per_s - self.rooms_per_s) * weight;
    }

    fn outlook_at(&self, ahead: usize, late: bool) -> Outlook {
        let until_room = |count: usize| (count + 1) as f64 * 1_000.0 / self.rooms_per_s.max(0.1);
        Outlook {
            ahead: u32::try_from(ahead).unwrap_or(u32::MAX),
            expected_ms: whole_ms(until_room(ahead)),
            retry_after_ms: retry_after_ms(whole_ms(until_room(self.waiters.len()))),
            late,
        }
    }
}

fn rank(wish: Wish, id: u64) -> Rank {
    let handicap_ms = wish.demand.output_tokens as f64 * HANDICAP_MS_PER_TOKEN;
    let counts_from_ms = wish.since_ms + whole_ms(handicap_ms.min(LONGEST_HANDICAP_MS));
    Rank {
        long: wish.demand.is_long(),
        late: wish.late,
        counts_from_ms,
        id,
    }
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn whole_ms(time_ms: f64) -> u64 {
    time_ms as u64
}
