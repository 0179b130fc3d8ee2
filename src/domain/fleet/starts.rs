//! Tracks whether a listed engine may have been replaced at its address.
//!
//! After a power loss the platform lists the previous engines for most of a second. The engines now
//! at their addresses refuse requests meant for those, and a generation that tries three of them is
//! refused just before the sidecars have identified the new engines.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::Listed;

/// After a hub's start, engines whose sidecars have not reported yet are not used for this long.
/// Sidecars look for the leader every 40 ms.
const FIRST_REPORT_TIMEOUT_MS: u64 = 150;
/// Engines are not used for at most this long while their sidecars identify them, which takes a
/// health check.
const IDENTIFICATION_TIMEOUT_MS: u64 = 1_000;
/// A sidecar that reports again after this long without a report counts as new. Sidecars report
/// every 300 ms.
const SIDECAR_TTL_MS: u64 = 2_000;

#[derive(Debug)]
struct Sidecar {
    identifying_since_ms: u64,
    last_report_ms: u64,
    /// True until it has identified its engine or stopped trying.
    is_identifying: bool,
}

impl Sidecar {
    fn is_unverified(&self, now_ms: u64) -> bool {
        self.is_identifying && now_ms < self.identifying_since_ms + IDENTIFICATION_TIMEOUT_MS
    }
}

/// The sidecars that have reported, by the address of their engine.
#[derive(Debug, Default)]
pub(super) struct SidecarStarts {
    sidecars: BTreeMap<SocketAddr, Sidecar>,
    /// When the hub started; no sidecar had reported before. `None` if that was not recorded.
    started_ms: Option<u64>,
}

impl SidecarStarts {
    /// Records the start of the hub.
    pub(super) fn begin(&mut self, now_ms: u64) {
        self.started_ms = Some(now_ms);
    }

    /// Records a report of an engine's sidecar, and whether it is still identifying the engine.
    pub(super) fn record_report(&mut self, engine: SocketAddr, is_identifying: bool, now_ms: u64) {
        self.sidecars
            .retain(|_, sidecar| now_ms < sidecar.last_report_ms + SIDECAR_TTL_MS);
        let sidecar = self.sidecars.entry(engine).or_insert(Sidecar {
            identifying_since_ms: now_ms,
            last_report_ms: now_ms,
            is_identifying,
        });
        if is_identifying && !sidecar.is_identifying {
            // Its engine has restarted.
            sidecar.identifying_since_ms = now_ms;
        }
        sidecar.last_report_ms = now_ms;
        sidecar.is_identifying = is_identifying;
    }

    /// Returns true if the listed engine may have been replaced at its address.
    pub(super) fn is_unverified(&self, listed: &Listed, now_ms: u64) -> bool {
        match self.sidecars.get(&listed.address) {
            Some(sidecar) => sidecar.is_unverified(now_ms),
            None => self.started_within(FIRST_REPORT_TIMEOUT_MS, now_ms),
        }
    }

    /// Returns true shortly after the hub's start, while running engines are still being
    /// identified.
    pub(super) fn is_identifying_engines(&self, now_ms: u64) -> bool {
        let mut sidecars = self.sidecars.values();
        self.started_within(FIRST_REPORT_TIMEOUT_MS, now_ms)
            || self.started_within(IDENTIFICATION_TIMEOUT_MS, now_ms)
                && sidecars.any(|sidecar| sidecar.is_unverified(now_ms))
    }

    fn started_within(&self, time_ms: u64, now_ms: u64) -> bool {
        self.started_ms
            .is_some_and(|started_ms| now_ms < started_ms + time_ms)
    }
}
