//! The platform's list of instances.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;
use serde_json::Value;

use crate::domain::fleet::{Listed, ListedState};
use crate::model::ZoneName;

#[derive(Deserialize)]
struct Page {
    instances: Vec<Value>,
    #[serde(default)]
    next: Option<String>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Entry {
    identifier: Arc<str>,
    service: Arc<str>,
    address: SocketAddr,
    zone: Arc<str>,
    slots: u32,
    state: String,
    /// How much longer the instance is slow after its start.
    #[serde(default)]
    cold_remaining_ms: f64,
    /// Unix milliseconds of the start.
    born: Option<u64>,
}

/// Decodes one page of the list; returns its instances and the token of the next page. Entries that
/// cannot be read name no instance to use, so they are counted and left out. Fails if the page
/// itself cannot be read.
pub fn decode_instances(body: &[u8]) -> Result<(Vec<Listed>, Option<String>), String> {
    // Bytes that are no text spoil the entry that they are in, not the page.
    let text = String::from_utf8_lossy(body);
    let page: Page = serde_json::from_str(&text).map_err(|error| error.to_string())?;
    let total = page.instances.len();
    let listed: Vec<Listed> = page
        .instances
        .into_iter()
        .filter_map(decode_entry)
        .collect();
    if listed.len() < total {
        tracing::warn!(
            skipped = total - listed.len(),
            "list of instances has unreadable entries"
        );
    }
    Ok((listed, page.next))
}

fn decode_entry(value: Value) -> Option<Listed> {
    if value.to_string().contains(char::REPLACEMENT_CHARACTER) {
        return None;
    }
    let entry: Entry = serde_json::from_value(value).ok()?;
    let state = match entry.state.as_str() {
        "ready" => ListedState::Ready,
        "draining" => ListedState::Draining,
        _ => return None,
    };
    Some(Listed {
        identity: entry.identifier,
        service: entry.service,
        address: entry.address,
        zone: ZoneName(entry.zone),
        slots: entry.slots,
        state,
        cold: entry.cold_remaining_ms > 0.0,
        born_ms: entry.born,
    })
}
