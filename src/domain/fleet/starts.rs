//! Whether a listed engine is still the one that runs at its address.
//!
//! Answers the load after a loss of power: the platform lists the engines of before for most of a second,
//! each refuses what is meant for its predecessor, and a generation that tries three of them is turned
//! away just before the sidecars have identified the new ones.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::Listed;

/// After a hub has begun, engines whose sidecars have not reported yet are left out for this long.
/// Sidecars look for the leader every 40 ms.
const FIRST_REPORTS_MS: u64 = 150;
/// Engines are left out for this long at most while their sidecars identify them, which takes a health
/// check.
const IDENTIFIED_WITHIN_MS: u64 = 1_000;
/// A sidecar that was silent for this long counts as new; sidecars report every 300 ms.
const SILENT_MS: u64 = 2_000;

#[derive(Debug)]
struct Sidecar {
    first_ms: u64,
    told_ms: u64,
    /// True until it has identified its engine, or given up.
    is_identifying: bool,
}

impl Sidecar {
    fn is_doubtful(&self, now_ms: u64) -> bool {
        self.is_identifying && now_ms < self.first_ms + IDENTIFIED_WITHIN_MS
    }
}

/// The sidecars that have reported, by the address of their engine.
#[derive(Debug, Default)]
pub(super) struct Starts {
    sidecars: BTreeMap<SocketAddr, Sidecar>,
    /// When the hub has begun, and no sidecar had reported yet.
    begun_ms: Option<u64>,
}

impl Starts {
    /// Expects first reports from now on.
    pub(super) fn begin(&mut self, now_ms: u64) {
        self.begun_ms = Some(now_ms);
    }

    /// Takes note of the sidecar of an engine, and whether it is about to identify that.
    pub(super) fn tell(&mut self, engine: SocketAddr, is_identifying: bool, now_ms: u64) {
        self.sidecars
            .retain(|_, sidecar| now_ms < sidecar.told_ms + SILENT_MS);
        let sidecar = self.sidecars.entry(engine).or_insert(Sidecar {
            first_ms: now_ms,
            told_ms: now_ms,
            is_identifying,
        });
        if is_identifying && !sidecar.is_identifying {
            // Its engine has started again.
            sidecar.first_ms = now_ms;
        }
        sidecar.told_ms = now_ms;
        sidecar.is_identifying = is_identifying;
    }

    /// Returns true if an earlier engine may be listed at the address of the one that runs.
    pub(super) fn is_doubtful(&self, listed: &Listed, now_ms: u64) -> bool {
        match self.sidecars.get(&listed.address) {
            Some(sidecar) => sidecar.is_doubtful(now_ms),
            None => self.is_within(FIRST_REPORTS_MS, now_ms),
        }
    }

    /// Returns true while the hub has just begun, and engines are about to be known.
    pub(super) fn are_incomplete(&self, now_ms: u64) -> bool {
        let mut sidecars = self.sidecars.values();
        self.is_within(FIRST_REPORTS_MS, now_ms)
            || self.is_within(IDENTIFIED_WITHIN_MS, now_ms)
                && sidecars.any(|sidecar| sidecar.is_doubtful(now_ms))
    }

    fn is_within(&self, time_ms: u64, now_ms: u64) -> bool {
        self.begun_ms
            .is_some_and(|begun_ms| now_ms < begun_ms + time_ms)
    }
}
