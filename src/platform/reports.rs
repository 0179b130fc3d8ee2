//! Decodes the status report of a replica.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::Deserialize;

use crate::domain::fleet::Report;

#[derive(Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct WireReport {
    queued_requests: u32,
    active_requests: u32,
    /// Memory in use that cannot be evicted, in tokens.
    kv_cache_used: f64,
    kv_cache_total: f64,
    /// Milliseconds until the replica is gone; absent unless it is about to leave.
    #[serde(rename = "leaves_ms")]
    leaves_ms: Option<f64>,
    /// `ready`, or `draining` while the replica leaves. Other values are ignored.
    state: Option<String>,
    /// Start time of the replica in Unix milliseconds.
    born: Option<u64>,
}

/// Decodes a report. Fails if the body is not valid JSON or a field has the wrong type.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
pub fn decode_report(body: &[u8]) -> Result<Report, String> {
    let wire: WireReport = serde_json::from_slice(body).map_err(|error| error.to_string())?;
    Ok(Report {
        queued: wire.queued_requests,
        running: wire.active_requests,
        used_tokens: wire.kv_cache_used.max(0.0) as u64,
        total_tokens: wire.kv_cache_total.max(0.0) as u64,
        leaves_in_ms: wire.leaves_ms.map(|ms| ms.max(0.0) as u64),
        draining: wire.state.as_deref() == Some("draining"),
        born_ms: wire.born,
    })
}

/// The events made so far by the generations that a replica runs, by request id; `None` if its report
/// does not name them. The figures are some hundred milliseconds old.
pub type RunningGenerations = Option<Arc<BTreeMap<Arc<str>, u64>>>;

#[derive(Deserialize)]
struct WireRuns {
    /// Request id, tokens in memory, events made and priority of each generation.
    runs: Vec<(Arc<str>, f64, f64, f64)>,
}

/// Returns the generations that a report names.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
pub(super) fn decode_running(body: &[u8]) -> RunningGenerations {
    let wire: WireRuns = serde_json::from_slice(body).ok()?;
    let runs = wire.runs.into_iter();
    let made = runs.map(|(id, _, events, _)| (id, events.max(0.0) as u64));
    Some(Arc::new(made.collect()))
}
