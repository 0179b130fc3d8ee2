//! Engines whose free capacity is kept for a generation that has waited for long.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::domain::fleet::PlacementRequest;

/// Upper bound on the engines that are kept at once, so that waiting generations cannot leave a large
/// part of the fleet without new work.
const MAX_ENGINES: usize = 4;

#[derive(Debug, Clone, Copy)]
struct Holder {
    priority: u32,
    since_ms: u64,
}

/// The engines that are kept, each for one generation.
#[derive(Debug, Default)]
pub(super) struct ReservedEngines(BTreeMap<Arc<str>, Holder>);

impl ReservedEngines {
    /// Keeps an engine for a generation, unless it is kept for another one.
    pub(super) fn keep(&mut self, engine: &Arc<str>, priority: u32, since_ms: u64) {
        if self.0.len() < MAX_ENGINES {
            let holder = Holder { priority, since_ms };
            self.0.entry(Arc::clone(engine)).or_insert(holder);
        }
    }

    /// Places a generation with `place` on a candidate that is not kept for an earlier one of its own
    /// or a better priority. Returns the index of the candidate.
    pub(super) fn place(
        &self,
        request: &PlacementRequest,
        priority: u32,
        since_ms: u64,
        place: &mut impl FnMut(&PlacementRequest) -> Option<usize>,
    ) -> Option<usize> {
        let is_open = |engine: &str| {
            let holder = self.0.get(engine);
            holder.is_none_or(|holder| priority < holder.priority || since_ms <= holder.since_ms)
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
