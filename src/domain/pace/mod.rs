//! The pace of engines: how slowly they run at present, and which placements would break the gap
//! targets of streams.
//!
//! Engines of one service may run at different speeds, which nothing announces, and neighbours on
//! their machines slow them for short spells. While an engine processes a prompt, the events of its
//! running streams are further apart; on a slow engine that can exceed the gap target of a route.

mod learning;

use serde::{Deserialize, Serialize};

pub use learning::{Observed, PaceSummary, Paces};

/// The slowness of an engine that is as fast as the others of its service, or whose pace is unknown.
pub const USUAL_PERMILLE: u32 = 1_000;
/// Added to the wait at an engine where a gap target would be missed. Longer than any wait, so that
/// such an engine is chosen only if no other has room.
const AVOIDED_MS: u64 = 10_000;
/// Added for each stream that would miss its gap target, so that the least harm is done if no other
/// engine has room.
const HARMED_STREAM_MS: u64 = 50;
/// Added to the wait of a short generation at all engines but those that long ones avoid. Longer
/// than the difference in prefill time between the slowest and the fastest engine.
const NOT_PREFERRED_MS: u64 = 1_000;

/// Gaps between events of an entry's streams from one instance, since its last sync.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gaps {
    pub count: u32,
    pub sum_ms: u64,
    pub longest_ms: u64,
}

impl Gaps {
    /// Adds `events` events that were received together, `gap_ms` after the ones before. They count
    /// as that many equal gaps.
    pub fn record(&mut self, gap_ms: u64, events: u32) {
        self.count = self.count.saturating_add(events);
        self.sum_ms = self.sum_ms.saturating_add(gap_ms);
        self.longest_ms = self.longest_ms.max(gap_ms / u64::from(events.max(1)));
    }
}

/// The running streams with a gap target. Additive, so that totals can be kept without the parts.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PacedStreams {
    pub count: u32,
    /// Sum of their gap targets.
    pub gap_targets_ms: u64,
}

impl PacedStreams {
    /// Returns one stream with this gap target, or none.
    pub fn one(gap_target_ms: Option<u64>) -> Self {
        gap_target_ms.map_or_else(Self::default, |gap_targets_ms| Self {
            count: 1,
            gap_targets_ms,
        })
    }

    pub fn add(&mut self, other: Self) {
        self.count = self.count.saturating_add(other.count);
        self.gap_targets_ms = self.gap_targets_ms.saturating_add(other.gap_targets_ms);
    }

    pub fn subtract(&mut self, other: Self) {
        self.count = self.count.saturating_sub(other.count);
        self.gap_targets_ms = self.gap_targets_ms.saturating_sub(other.gap_targets_ms);
    }

    /// Returns the mean gap target; `None` if there are no streams. The smallest one would need the
    /// parts of the totals, and the routes of a service have similar targets.
    fn mean_gap_target_ms(&self) -> Option<u64> {
        self.gap_targets_ms.checked_div(u64::from(self.count))
    }
}

/// The estimated pace of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PaceEstimate {
    /// Time per step in thousandths of the median of its service, 1,000 if it is unknown or differs
    /// little from the median.
    pub slowness_permille: u32,
    /// A high quantile of the gaps between events, as they are while a prompt is processed and a
    /// neighbour takes its share of the machine; 0 if it is unknown.
    pub prefill_gap_ms: u64,
}

impl Default for PaceEstimate {
    fn default() -> Self {
        Self {
            slowness_permille: USUAL_PERMILLE,
            prefill_gap_ms: 0,
        }
    }
}

impl PaceEstimate {
    /// Returns true if the difference is large enough to be sent to entries: over 10 percent of
    /// slowness, or that of an engine that has become usual or ceased to be.
    pub fn differs(&self, new: &Self) -> bool {
        let (before, now) = (self.slowness_permille, new.slowness_permille);
        let is_usual = |permille: u32| permille == USUAL_PERMILLE;
        let is_slow = |permille: u32| permille > USUAL_PERMILLE;
        is_usual(before) != is_usual(now)
            || 10 * before.abs_diff(now) > before
            || (is_slow(now)
                && 10 * self.prefill_gap_ms.abs_diff(new.prefill_gap_ms) > self.prefill_gap_ms)
    }

    /// Converts a time at an engine of the usual speed to the time at this one.
    pub fn scale(&self, time: u64) -> u64 {
        time.saturating_mul(u64::from(self.slowness_permille)) / u64::from(USUAL_PERMILLE)
    }

    /// Returns true if a stream with this gap target would miss it here. Engines that are not slower
    /// than the others never count as such: where all would miss it, none is to be avoided.
    fn breaks(&self, gap_target_ms: u64) -> bool {
        self.slowness_permille > USUAL_PERMILLE && self.prefill_gap_ms > gap_target_ms
    }
}

/// A generation to be placed.
#[derive(Debug, Clone, Copy)]
pub struct PacedDemand {
    /// `None` if its route names none; its placement is then independent of the pace.
    pub gap_target_ms: Option<u64>,
    pub is_long: bool,
    /// Tokens that are processed before its first event; 0 if it is moved with its memory.
    pub unread_tokens: u64,
    /// Tokens that an engine of the usual speed processes in time. `None` means no limit.
    pub unread_limit_tokens: Option<u64>,
}

/// What is known of an engine that a generation may be placed on.
#[derive(Debug, Clone, Copy)]
pub struct PacedEngine {
    pub pace: PaceEstimate,
    pub paced: PacedStreams,
}

/// How the pace of an engine suits a generation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Suitability {
    /// A short generation at an idle engine that is too slow for long ones.
    Preferred,
    Neutral,
    /// Its prompt would make running streams miss their gap targets.
    BreaksOthers,
    /// It would miss its own gap target during prefills.
    BreaksOwn,
}

impl Suitability {
    /// Returns the label of the suitability in metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Preferred => "preferred_for_short",
            Self::Neutral => "neutral",
            Self::BreaksOthers => "other_streams",
            Self::BreaksOwn => "own_gaps",
        }
    }
}

/// Judges an engine for a generation.
pub fn suitability(demand: &PacedDemand, engine: &PacedEngine) -> Suitability {
    let Some(gap_target_ms) = demand.gap_target_ms else {
        return Suitability::Neutral;
    };
    let others_ms = engine.paced.mean_gap_target_ms();
    let reads_in_time = demand
        .unread_limit_tokens
        .is_none_or(|limit| engine.pace.scale(demand.unread_tokens) <= limit);
    let breaks_own = engine.pace.breaks(gap_target_ms);
    match () {
        () if breaks_own && demand.is_long => Suitability::BreaksOwn,
        () if demand.unread_tokens > 0
            && others_ms.is_some_and(|target_ms| engine.pace.breaks(target_ms)) =>
        {
            Suitability::BreaksOthers
        }
        () if breaks_own && others_ms.is_none() && reads_in_time => Suitability::Preferred,
        () => Suitability::Neutral,
    }
}

/// Returns what the pace of an engine adds to the expected wait there.
pub fn penalty_ms(demand: &PacedDemand, engine: &PacedEngine) -> u64 {
    match suitability(demand, engine) {
        Suitability::Preferred => 0,
        Suitability::Neutral if demand.is_long || demand.gap_target_ms.is_none() => 0,
        Suitability::Neutral => NOT_PREFERRED_MS,
        Suitability::BreaksOthers | Suitability::BreaksOwn => {
            AVOIDED_MS + u64::from(engine.paced.count) * HARMED_STREAM_MS
        }
    }
}
