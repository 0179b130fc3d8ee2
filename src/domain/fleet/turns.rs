//! Turns of copies on the links of engines.
//!
//! Copies of memory queue on an engine's link. When an engine leaves that runs more generations
//! than its link can copy in time, an unordered queue loses them all: the short last copies wait
//! behind first copies that will never be of use. The hub lets only as many copies begin as end in
//! time, and spreads the last copies over the time that is left. Generations whose engine leaves ask
//! within milliseconds of each other; of those the hub prefers what is worth most for its time on
//! the link, since one long copy may cost three short ones their turn.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::sync::Arc;

use super::Demand;

/// Time from the stop of a generation until its engine is gone, at least. A last copy takes some
/// 50 ms; the rest is for what runs late.
const LAST_COPY_MARGIN_MS: u64 = 120;
/// Time between two last copies: what was produced since the first one takes some 10 ms of the
/// link, twice that between zones.
const LAST_COPY_MS: u64 = 25;
/// A grant counts among the last copies of its engine for this long after its copy. Notices are
/// shorter than this plus the time of a copy.
const KEPT_MS: u64 = 2_000;
/// A token that is produced costs an engine about as much as ten that are read.
const READ_TOKENS_PER_OUTPUT: u64 = 10;

/// An engine that may take a copy, and how long the copy takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Target {
    pub address: SocketAddr,
    pub takes_ms: u64,
}

/// A copy that an entry wants to make.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CopyPlan {
    /// The request whose generation is copied. If it asks again, it gives its earlier turn back.
    pub request: Arc<str>,
    pub source: SocketAddr,
    /// The best one first.
    pub targets: Vec<Target>,
    /// When the source is gone, if that is known.
    pub gone_at_ms: Option<u64>,
}

/// When a copy may begin, and when its generation is to be stopped for the last one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Turn {
    pub target: SocketAddr,
    pub copy_at_ms: u64,
    pub stop_at_ms: u64,
}

/// Sorts generations that ask at the same time: what is worth most for its time on the link comes
/// first. `of` returns what a generation needs in all, and how long its copy takes.
pub fn sort_by_worth<T>(pending: &mut [T], of: impl Fn(&T) -> (Demand, u64)) {
    pending.sort_by_cached_key(|turn| {
        let (demand, takes_ms) = of(turn);
        let tokens = demand.prompt_tokens + READ_TOKENS_PER_OUTPUT * demand.output_tokens;
        Reverse(tokens * 1_000 / takes_ms.max(1))
    });
}

/// A copy that was granted; it takes the links of both engines.
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

/// The copies that were granted.
#[derive(Debug, Default)]
pub struct Turns {
    grants: Vec<Grant>,
}

impl Turns {
    /// Returns the turn of a copy, to the target where it ends first, or none if it cannot end in
    /// time. It may come before copies that were granted earlier, if both links are free until then.
    pub fn grant(&mut self, plan: &CopyPlan, now_ms: u64) -> Option<Turn> {
        self.grants
            .retain(|grant| grant.end_ms + KEPT_MS > now_ms && grant.request != plan.request);
        let ends = plan.targets.iter().map(|target| {
            let begin_ms = self.first_free_ms(plan.source, target, now_ms);
            (begin_ms + target.takes_ms, begin_ms, target.address)
        });
        let (end_ms, begin_ms, target) = ends.min_by_key(|(end_ms, ..)| *end_ms)?;
        let of_source = |grant: &&Grant| grant.source == plan.source;
        let last_copies = self.grants.iter().filter(of_source).count() as u64;
        // The copy that is granted last is the first to be completed, after it has just been made.
        let margin_ms = LAST_COPY_MARGIN_MS + last_copies * LAST_COPY_MS;
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

    /// Returns when both links are free for a copy.
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
