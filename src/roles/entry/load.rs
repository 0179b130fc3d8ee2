//! The load of one sidecar as this entry knows it.

use std::collections::BTreeMap;

use crate::adapters::clock::monotonic_ms;
use crate::domain::route::Load;
use crate::model::{UpstreamName, WorkspaceName};
use crate::rpc::sidecar::{LoadReport, UpstreamLoad};

/// Age assumed for a replica without a report; at this age its load is estimated from the others.
const UNKNOWN_AGE_MS: f64 = 60_000.0;
/// Time for which a sidecar that did not answer gets no requests, unless it reports earlier.
const UNREACHABLE_AVOID_MS: u64 = 2_000;
/// Report age after which a sidecar is probed.
const IDLE_PROBE_MS: u64 = 5_000;
/// Report age after which a sidecar that did not answer or has an unhealthy upstream is probed.
const UNAVAILABLE_PROBE_MS: u64 = 500;

/// Number of workspaces from which on the counters of idle ones are dropped: with 20,000 workspaces
/// and 400 sidecars the counters would take several hundred megabytes.
const WORKSPACE_PRUNE_THRESHOLD: usize = 512;
/// Time after which a workspace without tokens or starts is idle.
const IDLE_WORKSPACE_MS: u64 = 60_000;

/// The load of one upstream.
#[derive(Debug, Default)]
struct UpstreamState {
    /// The last report and the monotonic time of its arrival.
    reported: Option<(u64, UpstreamLoad)>,
    /// Time per token of one generation, from the last report with running generations.
    token_ms: Option<f64>,
    /// Requests sent whose answer, with a report that includes them, has not arrived.
    unreported: u32,
    unreported_tokens: u64,
}

/// The last report of a sidecar and the work sent to it since.
#[derive(Debug, Default)]
pub(super) struct PeerLoad {
    upstreams: BTreeMap<UpstreamName, UpstreamState>,
    leaving: bool,
    unreachable_at_ms: Option<u64>,
    probing: bool,
    served: BTreeMap<WorkspaceName, ServedTokens>,
}

/// Number of tokens of one workspace that were produced for this entry.
#[derive(Debug, Default)]
struct ServedTokens {
    local: u64,
    /// Tokens produced at other sidecars up to the last start at this one; `None` before the first
    /// start.
    elsewhere_reported: Option<u64>,
    last_used_ms: u64,
}

impl PeerLoad {
    /// Records a load report.
    pub fn record_report(&mut self, leaving: bool, report: &LoadReport) {
        // Replies may arrive out of order, but a sidecar that is leaving never stops leaving within
        // one incarnation.
        self.leaving |= leaving;
        self.unreachable_at_ms = None;
        let now_ms = monotonic_ms();
        for load in &report.upstreams {
            let state = self.upstreams.entry(load.upstream.clone()).or_default();
            if load.running > 0 && load.tokens_per_s > 0 {
                let rate = f64::from(load.tokens_per_s) / f64::from(load.running);
                state.token_ms = Some(1_000.0 / rate);
            }
            state.reported = Some((now_ms, load.clone()));
        }
    }

    /// Records that the sidecar did not answer; it gets no requests for `UNREACHABLE_AVOID_MS`.
    pub fn mark_unreachable(&mut self) {
        self.unreachable_at_ms = Some(monotonic_ms());
    }

    /// Returns true if the caller is to send a probe. Only one probe runs at a time, and only if
    /// the last report is missing or old. A sidecar that gets no new work because it is unhealthy
    /// or did not answer is probed sooner: nothing else would bring a new report.
    pub fn begin_probe(&mut self) -> bool {
        let begins = !self.probing && self.wants_probe();
        self.probing |= begins;
        begins
    }

    /// Records that the probe has ended.
    pub fn end_probe(&mut self) {
        self.probing = false;
    }

    fn wants_probe(&self) -> bool {
        let now_ms = monotonic_ms();
        let is_old = |limit_ms| {
            self.upstreams.values().all(|state| {
                state
                    .reported
                    .as_ref()
                    .is_none_or(|(at_ms, _)| at_ms + limit_ms <= now_ms)
            })
        };
        let is_unavailable = self.unreachable_at_ms.is_some()
            || self.upstreams.values().any(|state| {
                let report = state.reported.as_ref();
                report.is_some_and(|(_, load)| !load.healthy)
            });
        match is_unavailable {
            true => is_old(UNAVAILABLE_PROBE_MS),
            false => is_old(IDLE_PROBE_MS),
        }
    }

    /// Records that work is being sent to an upstream.
    pub fn record_sent(&mut self, upstream: &UpstreamName, tokens: u64) {
        let state = self.upstreams.entry(upstream.clone()).or_default();
        state.unreported += 1;
        state.unreported_tokens += tokens;
    }

    /// Records that the answer to that work has arrived, with a report, or will not arrive.
    pub fn record_answered(&mut self, upstream: &UpstreamName, tokens: u64) {
        if let Some(state) = self.upstreams.get_mut(upstream) {
            state.unreported = state.unreported.saturating_sub(1);
            state.unreported_tokens = state.unreported_tokens.saturating_sub(tokens);
        }
    }

    /// Counts tokens that this sidecar produced for a workspace.
    pub fn record_served(&mut self, workspace: &WorkspaceName, tokens: u64) {
        let served = self.served_mut(workspace);
        served.local = served.local.saturating_add(tokens);
    }

    /// Returns the number of tokens that other sidecars produced for a workspace since its last
    /// start at this one. `total` is the number over all sidecars.
    pub fn take_served_elsewhere(&mut self, workspace: &WorkspaceName, total: u64) -> u64 {
        let served = self.served_mut(workspace);
        let elsewhere = total.saturating_sub(served.local);
        let reported = served.elsewhere_reported.replace(elsewhere);
        reported.map_or(0, |reported| elsewhere.saturating_sub(reported))
    }

    fn served_mut(&mut self, workspace: &WorkspaceName) -> &mut ServedTokens {
        let now_ms = monotonic_ms();
        if self.served.len() >= WORKSPACE_PRUNE_THRESHOLD && !self.served.contains_key(workspace) {
            self.served
                .retain(|_, served| served.last_used_ms + IDLE_WORKSPACE_MS > now_ms);
        }
        let served = self.served.entry(workspace.clone()).or_default();
        served.last_used_ms = now_ms;
        served
    }

    /// Returns the load of an upstream, or `None` if it accepts no new work or lacks the version.
    /// `registered` are its versions according to the member list.
    pub fn load_of(
        &self,
        upstream: &UpstreamName,
        version: Option<&str>,
        registered: &[String],
    ) -> Option<Load> {
        let is_avoided = |at_ms: u64| monotonic_ms() < at_ms + UNREACHABLE_AVOID_MS;
        if self.leaving || self.unreachable_at_ms.is_some_and(is_avoided) {
            return None;
        }
        let state = self.upstreams.get(upstream);
        let reported = state.and_then(|state| state.reported.as_ref());
        // Either list may be the newer one; a sidecar that has unloaded the version refuses the
        // start.
        let reported_versions = reported.map_or(&[][..], |(_, load)| &load.versions);
        let mut versions = registered.iter().chain(reported_versions);
        if version.is_some_and(|version| !versions.any(|loaded| loaded == version)) {
            return None;
        }
        if reported.is_some_and(|(_, load)| load.leaving || !load.healthy) {
            return None;
        }
        Some(state.map_or_else(unknown_load, UpstreamState::load))
    }
}

impl UpstreamState {
    fn load(&self) -> Load {
        let sent = f64::from(self.unreported);
        let Some((at_ms, load)) = &self.reported else {
            return Load {
                open: sent,
                demand_tokens: as_f64(self.unreported_tokens),
                ..unknown_load()
            };
        };
        Load {
            open: f64::from(load.running) + f64::from(load.queued) + sent,
            queued: f64::from(load.queued),
            demand_tokens: as_f64(load.used_tokens + load.backlog_tokens + self.unreported_tokens),
            capacity_tokens: as_f64(load.capacity_tokens),
            token_ms: self.token_ms,
            age_ms: as_f64(monotonic_ms().saturating_sub(*at_ms)),
        }
    }
}

fn unknown_load() -> Load {
    Load {
        open: 0.0,
        queued: 0.0,
        demand_tokens: 0.0,
        capacity_tokens: 0.0,
        token_ms: None,
        age_ms: UNKNOWN_AGE_MS,
    }
}

/// Loads are only compared with each other, so the precision lost above 2^52 does not matter.
#[allow(clippy::cast_precision_loss)]
fn as_f64(value: u64) -> f64 {
    value as f64
}
