//! The load of one sidecar as this entry knows it.

use std::collections::BTreeMap;

use crate::adapters::clock::monotonic_ms;
use crate::domain::route::Load;
use crate::model::{UpstreamName, WorkspaceName};
use crate::rpc::sidecar::{LoadReport, UpstreamLoad};

/// Age assumed of a replica that has not reported: its load is taken from the others.
const UNKNOWN_AGE_MS: f64 = 60_000.0;
/// Time for which a sidecar that did not answer is avoided, unless it reports before.
const AVOIDED_MS: u64 = 2_000;
/// Age of a report after which an idle sidecar is probed.
const IDLE_PROBE_MS: u64 = 5_000;
/// Age of a report after which a sidecar that is unhealthy or did not answer is probed.
const HELD_BACK_PROBE_MS: u64 = 500;

/// Number of workspaces beyond which idle ones are forgotten: with 20,000 workspaces and 400
/// sidecars the counts would take several hundred megabytes.
const MANY_WORKSPACES: usize = 512;
/// Time after which a workspace without tokens or starts is idle.
const IDLE_WORKSPACE_MS: u64 = 60_000;

#[derive(Debug, Default)]
struct Known {
    reported: Option<(u64, UpstreamLoad)>,
    /// Time per token when it was last measured.
    token_ms: Option<f64>,
    /// Starts whose answer, and with it a report that includes them, has not arrived.
    unreported: u32,
    unreported_tokens: u64,
}

/// The last report of a sidecar and what was sent to it since.
#[derive(Debug, Default)]
pub(super) struct PeerLoad {
    upstreams: BTreeMap<UpstreamName, Known>,
    leaving: bool,
    unreachable_at_ms: Option<u64>,
    probing: bool,
    served: BTreeMap<WorkspaceName, Served>,
}

/// Tokens of one workspace, produced for this entry.
#[derive(Debug, Default)]
struct Served {
    here: u64,
    /// Tokens produced elsewhere up to the last start here; none before the first start.
    elsewhere_told: Option<u64>,
    used_at_ms: u64,
}

impl PeerLoad {
    /// Notes a report.
    pub fn note_report(&mut self, leaving: bool, report: &LoadReport) {
        // Replies cross, but within one incarnation a sidecar never takes leaving back.
        self.leaving |= leaving;
        self.unreachable_at_ms = None;
        let now_ms = monotonic_ms();
        for load in &report.upstreams {
            let known = self.upstreams.entry(load.upstream.clone()).or_default();
            if load.running > 0 && load.tokens_per_s > 0 {
                let rate = f64::from(load.tokens_per_s) / f64::from(load.running);
                known.token_ms = Some(1_000.0 / rate);
            }
            known.reported = Some((now_ms, load.clone()));
        }
    }

    /// Notes that the sidecar did not answer; it is avoided for a while.
    pub fn note_unreachable(&mut self) {
        self.unreachable_at_ms = Some(monotonic_ms());
    }

    /// Returns true if the caller is to send a probe. One is sent at a time, and only if the
    /// report is missing or old. Upstreams that are held back from new work are probed sooner:
    /// nothing else would bring a new report of them.
    pub fn begin_probe(&mut self) -> bool {
        let begins = !self.probing && self.wants_probe();
        self.probing |= begins;
        begins
    }

    /// Notes that the probe has ended.
    pub fn end_probe(&mut self) {
        self.probing = false;
    }

    fn wants_probe(&self) -> bool {
        let now_ms = monotonic_ms();
        let is_old = |limit_ms| {
            self.upstreams.values().all(|known| {
                known
                    .reported
                    .as_ref()
                    .is_none_or(|(at_ms, _)| at_ms + limit_ms <= now_ms)
            })
        };
        let is_held_back = self.unreachable_at_ms.is_some()
            || self.upstreams.values().any(|known| {
                let report = known.reported.as_ref();
                report.is_some_and(|(_, load)| !load.healthy)
            });
        match is_held_back {
            true => is_old(HELD_BACK_PROBE_MS),
            false => is_old(IDLE_PROBE_MS),
        }
    }

    /// Notes that work is being sent to an upstream.
    pub fn note_sent(&mut self, upstream: &UpstreamName, tokens: u64) {
        let known = self.upstreams.entry(upstream.clone()).or_default();
        known.unreported += 1;
        known.unreported_tokens += tokens;
    }

    /// Notes that the answer to that work, with a report, has arrived or will not come.
    pub fn note_answered(&mut self, upstream: &UpstreamName, tokens: u64) {
        if let Some(known) = self.upstreams.get_mut(upstream) {
            known.unreported = known.unreported.saturating_sub(1);
            known.unreported_tokens = known.unreported_tokens.saturating_sub(tokens);
        }
    }

    /// Counts tokens that a workspace was served here.
    pub fn note_served(&mut self, workspace: &WorkspaceName, tokens: u64) {
        let served = self.served_of(workspace);
        served.here = served.here.saturating_add(tokens);
    }

    /// Returns the tokens that a workspace was served elsewhere since its last start here, out of
    /// a total over all sidecars.
    pub fn take_served_elsewhere(&mut self, workspace: &WorkspaceName, total: u64) -> u64 {
        let served = self.served_of(workspace);
        let elsewhere = total.saturating_sub(served.here);
        let told = served.elsewhere_told.replace(elsewhere);
        told.map_or(0, |told| elsewhere.saturating_sub(told))
    }

    fn served_of(&mut self, workspace: &WorkspaceName) -> &mut Served {
        let now_ms = monotonic_ms();
        if self.served.len() >= MANY_WORKSPACES && !self.served.contains_key(workspace) {
            self.served
                .retain(|_, served| served.used_at_ms + IDLE_WORKSPACE_MS > now_ms);
        }
        let served = self.served.entry(workspace.clone()).or_default();
        served.used_at_ms = now_ms;
        served
    }

    /// Returns the load of an upstream, or none if it takes no new work or lacks a version.
    /// `registered` are the versions that the member list names.
    pub fn of(
        &self,
        upstream: &UpstreamName,
        version: Option<&str>,
        registered: &[String],
    ) -> Option<Load> {
        let is_avoided = |at_ms: u64| monotonic_ms() < at_ms + AVOIDED_MS;
        if self.leaving || self.unreachable_at_ms.is_some_and(is_avoided) {
            return None;
        }
        let known = self.upstreams.get(upstream);
        let reported = known.and_then(|known| known.reported.as_ref());
        // Either may be the newer one; a sidecar that has dropped the version refuses the start.
        let reported_versions = reported.map_or(&[][..], |(_, load)| &load.versions);
        let mut versions = registered.iter().chain(reported_versions);
        if version.is_some_and(|version| !versions.any(|loaded| loaded == version)) {
            return None;
        }
        if reported.is_some_and(|(_, load)| load.leaving || !load.healthy) {
            return None;
        }
        Some(known.map_or_else(unknown_load, Known::load))
    }
}

impl Known {
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

/// Loads only compare; the precision lost above 2^52 does not matter.
#[allow(clippy::cast_precision_loss)]
fn as_f64(value: u64) -> f64 {
    value as f64
}
