//! Decodes the platform's list of instances.

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
    /// Token of the next page; absent on the last one.
    next: Option<String>,
}

/// An entry of the list, or a value that is not a valid one.
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
    /// Milliseconds for which the instance is still slow after its start.
    #[serde(default)]
    cold_remaining_ms: f64,
    /// Start time of the instance in Unix milliseconds.
    born: Option<u64>,
}

/// Decodes one page of the list; returns its instances and the token of the next page, which is
/// `None` on the last page. Malformed entries are skipped and their number is logged, so that they
/// do not hide the valid ones. Fails if the page itself is malformed.
pub fn decode_instances(body: &[u8]) -> Result<(Vec<Listed>, Option<String>), String> {
    // Invalid UTF-8 invalidates only the entry that contains it, not the page.
    let text = String::from_utf8_lossy(body);
    let (entries, next): (Vec<Option<Entry>>, _) = match text.contains(char::REPLACEMENT_CHARACTER)
    {
        true => {
            let page: Page<Value> = parse_page(&text)?;
            let entries = page.instances.into_iter().map(decode_if_valid_text);
            (entries.collect(), page.next)
        }
        false => {
            let page: Page<MaybeEntry> = parse_page(&text)?;
            let entries = page.instances.into_iter().map(|entry| match entry {
                MaybeEntry::Entry(entry) => Some(entry),
                MaybeEntry::Unreadable(_) => None,
            });
            (entries.collect(), page.next)
        }
    };
    let total = entries.len();
    let listed: Vec<Listed> = entries
        .into_iter()
        .flatten()
        .filter_map(to_listed)
        .collect();
    if listed.len() < total {
        tracing::warn!(
            skipped = total - listed.len(),
            "skipped malformed entries of the instance list"
        );
    }
    Ok((listed, next))
}

fn parse_page<T: DeserializeOwned>(text: &str) -> Result<Page<T>, String> {
    serde_json::from_str(text).map_err(|error| error.to_string())
}

/// Decodes an entry of a page that contains invalid UTF-8; `None` if the entry contains it itself
/// or is malformed.
fn decode_if_valid_text(value: Value) -> Option<Entry> {
    let has_invalid_text = value.to_string().contains(char::REPLACEMENT_CHARACTER);
    (!has_invalid_text)
        .then(|| serde_json::from_value(value).ok())
        .flatten()
}

/// Converts an entry; `None` if its state is unknown.
fn to_listed(entry: Entry) -> Option<Listed> {
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
        cold_remaining_ms: rounded_up(entry.cold_remaining_ms),
        born_ms: entry.born,
    })
}

/// Rounds a time up to milliseconds; negative numbers give 0. The conversion bounds large numbers.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn rounded_up(ms: f64) -> u64 {
    ms.max(0.0).ceil() as u64
}
