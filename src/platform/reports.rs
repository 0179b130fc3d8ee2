//! The report that a replica gives of itself.

use serde::Deserialize;

use crate::domain::fleet::Report;

#[derive(Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct Wire {
    queued_requests: u32,
    active_requests: u32,
    /// Memory that cannot yield.
    kv_cache_used: f64,
    kv_cache_total: f64,
    /// Time until the replica is gone, once it knows.
    #[serde(rename = "leaves_ms")]
    leaves_ms: Option<f64>,
    /// `ready`, or another word while the replica leaves.
    state: Option<String>,
    /// Unix milliseconds of the start.
    born: Option<u64>,
}

/// Decodes a report; fails if it is not one.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
pub fn decode_report(body: &[u8]) -> Result<Report, String> {
    let wire: Wire = serde_json::from_slice(body).map_err(|error| error.to_string())?;
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
