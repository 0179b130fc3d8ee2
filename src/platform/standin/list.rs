//! Encodes the list of instances.

use serde_json::{Value, json};

use crate::domain::fleet::{Listed, ListedState};

const VERSION: &str = "v1";
/// Prefix of the page tokens that the stand-in gives out.
const PAGE_TOKEN_PREFIX: &str = "p-";

/// Encodes a page; `next` is the index of the first instance of the next one.
pub(crate) fn encode_page(page: &[Listed], next: Option<usize>) -> Vec<u8> {
    let instances: Vec<Value> = page.iter().map(encode_instance).collect();
    let next = next.map(|first| format!("{PAGE_TOKEN_PREFIX}{first}"));
    json!({"instances": instances, "next": next})
        .to_string()
        .into_bytes()
}

/// Returns the index of the first instance of the page that a call to `target` asks for.
pub(crate) fn first_of_page(target: &str) -> usize {
    let token = target.split_once("pageToken=");
    let first = token.and_then(|(_, token)| token.strip_prefix(PAGE_TOKEN_PREFIX));
    first.and_then(|first| first.parse().ok()).unwrap_or(0)
}

fn encode_instance(instance: &Listed) -> Value {
    let state = match instance.state {
        ListedState::Ready => "ready",
        ListedState::Draining => "draining",
    };
    json!({
        "identifier": instance.identity, "service": instance.service,
        "address": instance.address.to_string(), "zone": instance.zone.as_str(),
        "version": VERSION, "slots": instance.slots, "state": state,
        "coldRemainingMs": instance.cold_remaining_ms,
    })
}
