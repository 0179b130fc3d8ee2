//! Schedules memory copies on the links of engines.
//!
//! Copies queue on an engine's link. A generation that is moved is copied once while it runs, and a
//! short last copy follows after it has stopped. When an engine leaves that runs more generations
//! than its link can copy in time, an unordered queue loses all of them: the short last copies wait
//! behind first copies that cannot complete. The hub admits only as many copies as end in time, and
//! spreads the last copies over the remaining time. Generations on a leaving engine ask within
//! milliseconds of each other; the hub prefers those that are worth most for their time on the
//! link, since one long copy may displace three short ones.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::sync::Arc;

use super::Demand;

/// Minimum time between the stop of a generation and the departure of its engine. A last copy takes
/// some 50 ms; the rest is a margin for delays.
const LAST_COPY_MARGIN_MS: u64 = 120;
/// Interval between two last copies. The output since the first copy takes some 10 ms of the link,
/// twice that between zones.
const LAST_COPY_INTERVAL_MS: u64 = 25;
/// A grant counts towards the pending last copies of its engine for this long after its copy. The
/// notice before an engine is reclaimed is shorter than this plus the duration of a copy.
const GRANT_RETENTION_MS: u64 = 2_000;
/// Producing one token costs an engine about as much as processing ten prompt tokens.
const PROMPT_TOKENS_PER_OUTPUT: u64 = 10;

/// An engine that may receive a copy, and how long the copy takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Target {
    pub address: SocketAddr,
    pub takes_ms: u64,
}

/// A copy that an entry wants to make.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CopyPlan {
    /// The request whose generation is copied. If it asks again, its earlier turn is released.
    pub request: Arc<str>,
    pub source: SocketAddr,
    /// In order of preference, the best one first.
    pub targets: Vec<Target>,
    /// When the source is gone; `None` if that is not known.
    pub gone_at_ms: Option<u64>,
}

/// When a copy may begin, and when its generation has to stop for the last copy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Turn {
    pub target: SocketAddr,
    pub copy_at_ms: u64,
    pub stop_at_ms: u64,
}

/// Sorts generations that ask at the same time, by worth per time on the link in descending order.
/// `of` returns the demand of a generation and the duration of its copy.
pub fn sort_by_worth<T>(pending: &mut [T], of: impl Fn(&T) -> (Demand, u64)) {
    pending.sort_by_cached_key(|turn| {
        let (demand, takes_ms) = of(turn);
        let tokens = demand.prompt_tokens + PROMPT_TOKENS_PER_OUTPUT * demand.output_tokens;
        Reverse(tokens * 1_000 / takes_ms.max(1))
    });
}

/// A granted copy, which occupies the links of both engines.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Grant {
    request: Arc<str>,
    source: SocketAddr,
    target: SocketAddr,
    begin_ms: u64,
    end_ms: u64,
}

impl Grant {
    fn uses(&self, address: SocketAddr) -> bool {
        self.source == address || self.target == address
    }
}

/// The granted copies.
#[derive(Debug, Default)]
pub struct CopySchedule {
    grants: Vec<Grant>,
}

impl CopySchedule {
    /// Grants a turn for a copy to the target where it ends first; returns `None` if it cannot end
    /// in time. The turn may precede copies that were granted earlier, if both links are free until
    /// those begin.
    pub fn grant(&mut self, plan: &CopyPlan, now_ms: u64) -> Option<Turn> {
        self.grants.retain(|grant| {
            grant.end_ms + GRANT_RETENTION_MS > now_ms && grant.request != plan.request
        });
        let ends = plan.targets.iter().map(|target| {
            let begin_ms = self.first_free_ms(plan.source, target, now_ms);
            (begin_ms + target.takes_ms, begin_ms, target.address)
        });
        let (end_ms, begin_ms, target) = ends.min_by_key(|(end_ms, ..)| *end_ms)?;
        let of_source = |grant: &&Grant| grant.source == plan.source;
        let last_copies = self.grants.iter().filter(of_source).count() as u64;
        // The generation whose copy is granted last stops first, since its first copy is the most
        // recent.
        let margin_ms = LAST_COPY_MARGIN_MS + last_copies * LAST_COPY_INTERVAL_MS;
        let latest_ms = plan.gone_at_ms.map(|at_ms| at_ms.saturating_sub(margin_ms));
        if latest_ms.is_some_and(|latest_ms| end_ms > latest_ms) {
            return None;
        }
        self.grants.push(Grant {
            request: Arc::clone(&plan.request),
            source: plan.source,
            target,
            begin_ms,
            end_ms,
        });
        Some(Turn {
            target,
            copy_at_ms: begin_ms,
            stop_at_ms: latest_ms.unwrap_or(end_ms),
        })
    }

    /// Returns the earliest time at which both links are free for the duration of a copy.
    fn first_free_ms(&self, source: SocketAddr, target: &Target, now_ms: u64) -> u64 {
        let mut begin_ms = now_ms;
        loop {
            let overlapping = self.grants.iter().filter(|grant| {
                (grant.uses(source) || grant.uses(target.address))
                    && grant.begin_ms < begin_ms + target.takes_ms
                    && begin_ms < grant.end_ms
            });
            match overlapping.map(|grant| grant.end_ms).max() {
                Some(end_ms) => begin_ms = end_ms,
                None => return begin_ms,
            }
        }
    }
}
