//! The platform's list of instances.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;
use serde::de::{DeserializeOwned, IgnoredAny};
use serde_json::Value;

use crate::domain::fleet::{Listed, ListedState};
use crate::model::ZoneName;

#[derive(Deserialize)]
struct Page<T> {
    instances: Vec<T>,
    #[serde(default)]
    next: Option<String>,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum MaybeEntry {
    Entry(Entry),
    Unreadable(IgnoredAny),
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
    let (entries, next): (Vec<Option<Entry>>, _) = match text.contains(char::REPLACEMENT_CHARACTER)
    {
        true => {
            let page: Page<Value> = read_page(&text)?;
            let entries = page.instances.into_iter().map(decode_damaged);
            (entries.collect(), page.next)
        }
        false => {
            let page: Page<MaybeEntry> = read_page(&text)?;
            let entries = page.instances.into_iter().map(|entry| match entry {
                MaybeEntry::Entry(entry) => Some(entry),
                MaybeEntry::Unreadable(_) => None,
            });
            (entries.collect(), page.next)
        }
    };
    let total = entries.len();
    let listed: Vec<Listed> = entries.into_iter().flatten().filter_map(listed).collect();
    if listed.len() < total {
        tracing::warn!(
            skipped = total - listed.len(),
            "list of instances has unreadable entries"
        );
    }
    Ok((listed, next))
}

fn read_page<T: DeserializeOwned>(text: &str) -> Result<Page<T>, String> {
    serde_json::from_str(text).map_err(|error| error.to_string())
}

/// Decodes an entry of a page that has bytes that are no text.
fn decode_damaged(value: Value) -> Option<Entry> {
    let is_damaged = value.to_string().contains(char::REPLACEMENT_CHARACTER);
    (!is_damaged)
        .then(|| serde_json::from_value(value).ok())
        .flatten()
}

fn listed(entry: Entry) -> Option<Listed> {
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
