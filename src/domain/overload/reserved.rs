//! Engines whose free capacity is kept for a generation that has waited for long.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::PendingGeneration;
use crate::domain::fleet::PlacementRequest;

/// Upper bound on the engines that are kept at once, and the part of the fleet (one in N) that they may
/// be: waiting generations must not leave a large part of the fleet without new work.
const MAX_ENGINES: usize = 4;
const FLEET_DIVISOR: usize = 10;
/// An engine is kept from generations that need at most this part (one in N) of the memory of its
/// holder. Those of similar size find the same gaps, so that their order decides: with a limit by run
/// time, short streams lost 8 to 13 % of their answers in time in replays of lasting overload.
const SMALLER_DIVISOR: u64 = 2;

#[derive(Debug, Clone, Copy)]
struct Holder {
    priority: u32,
    since_ms: u64,
    tokens: u64,
}

/// The engines that are kept, each for one generation.
#[derive(Debug, Default)]
pub(super) struct ReservedEngines(BTreeMap<Arc<str>, Holder>);

impl ReservedEngines {
    /// Returns true if no further engine of a fleet may be kept.
    pub(super) fn is_full(&self, fleet_engines: usize) -> bool {
        self.0.len() >= (fleet_engines / FLEET_DIVISOR).clamp(1, MAX_ENGINES)
    }

    /// Keeps an engine for a generation, unless it is kept for another one.
    pub(super) fn keep(&mut self, engine: &Arc<str>, pending: &PendingGeneration) {
        let holder = Holder {
            priority: pending.priority,
            since_ms: pending.since_ms,
            tokens: pending.demand.total_tokens(),
        };
        self.0.entry(Arc::clone(engine)).or_insert(holder);
    }

    /// Places a generation with `place` on a candidate that is not kept for an earlier and larger one
    /// of its own or a better priority. Returns the index of the candidate.
    pub(super) fn place(
        &self,
        request: &PlacementRequest,
        pending: &PendingGeneration,
        place: &mut impl FnMut(&PlacementRequest) -> Option<usize>,
    ) -> Option<usize> {
        let is_open = |engine: &str| {
            let holder = self.0.get(engine);
            holder.is_none_or(|holder| {
                pending.priority < holder.priority
                    || pending.since_ms <= holder.since_ms
                    || pending.demand.total_tokens() * SMALLER_DIVISOR > holder.tokens
            })
        };
        let candidates = request.candidates.iter().enumerate();
        let open = candidates.filter(|(_, candidate)| is_open(&candidate.identity));
        let open: Vec<usize> = open.map(|(at, _)| at).collect();
        if open.len() == request.candidates.len() {
            return place(request);
        }
        if open.is_empty() {
            return None;
        }
        let request = PlacementRequest {
            candidates: open
                .iter()
                .map(|at| request.candidates[*at].clone())
                .collect(),
            ..request.clone()
        };
        open.get(place(&request)?).copied()
    }
}
