//! Turns of copies on the links of engines.
//!
//! Copies of memory queue on an engine's link. When an engine leaves that runs more generations
//! than its link can copy in time, an unordered queue loses them all: the short last copies wait
//! behind first copies that will never be of use. The hub lets only as many copies begin as end in
//! time, and spreads the last copies over the time that is left.

use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Time kept free before an engine is gone, for the last copies of its generations.
const LAST_COPIES_MS: u64 = 320;
/// Time between two last copies: what was produced since the first one takes some 10 ms of the
/// link, twice that between zones.
const LAST_COPY_MS: u64 = 25;
/// Last copies that fit before the engine is gone.
const MAX_LAST_COPIES: u64 = 10;

/// An engine that may take a copy, and how long the copy takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Target {
    pub address: SocketAddr,
    pub takes_ms: u64,
}

/// A copy that an entry wants to make.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CopyPlan {
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

#[derive(Debug, Clone, Copy, Default)]
struct Link {
    busy_until_ms: u64,
    last_copies: u64,
}

/// The links that copies were granted on.
#[derive(Debug, Default)]
pub struct Turns {
    links: BTreeMap<SocketAddr, Link>,
}

impl Turns {
    /// Takes a turn back that could not be used. The turns granted after it keep their times.
    pub fn give_back(&mut self, source: SocketAddr, target: SocketAddr, takes_ms: u64) {
        for address in [source, target] {
            if let Some(link) = self.links.get_mut(&address) {
                link.busy_until_ms = link.busy_until_ms.saturating_sub(takes_ms);
            }
        }
    }

    /// Returns the turn of a copy, to the target where it ends first, or none if it cannot end in
    /// time.
    pub fn grant(&mut self, plan: &CopyPlan, now_ms: u64) -> Option<Turn> {
        self.links
            .retain(|_, link| link.busy_until_ms + 2 * LAST_COPIES_MS > now_ms);
        let busy_until_ms = |address| self.links.get(address).map_or(0, |link| link.busy_until_ms);
        let source_free_ms = now_ms.max(busy_until_ms(&plan.source));
        let ends = plan.targets.iter().map(|target| {
            let copy_at_ms = source_free_ms.max(busy_until_ms(&target.address));
            (copy_at_ms + target.takes_ms, copy_at_ms, target.address)
        });
        let (end_ms, copy_at_ms, target) = ends.min_by_key(|(end_ms, ..)| *end_ms)?;
        let latest_ms = plan
            .gone_at_ms
            .map(|at_ms| at_ms.saturating_sub(LAST_COPIES_MS));
        if latest_ms.is_some_and(|latest_ms| end_ms > latest_ms) {
            return None;
        }
        let source = self.links.entry(plan.source).or_default();
        source.busy_until_ms = end_ms;
        let place = source.last_copies % MAX_LAST_COPIES;
        source.last_copies += 1;
        self.links.entry(target).or_default().busy_until_ms = end_ms;
        Some(Turn {
            target,
            copy_at_ms,
            stop_at_ms: latest_ms.map_or(end_ms, |at_ms| at_ms + place * LAST_COPY_MS),
        })
    }
}
