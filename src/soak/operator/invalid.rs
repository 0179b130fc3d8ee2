//! Documents that the protocol calls invalid.

use rand::RngExt;
use serde_json::{Value, json};

use super::drafts::{Draft, Drafts};

type Spoil = fn(&mut Value);

/// What makes a document invalid, and the change that does so.
const FAULTS: [(&str, Spoil); 9] = [
    ("a route names an unknown service", |wire| {
        split_of(wire, &json!([{"service": "unknown", "weight": 1}]));
    }),
    ("a split route names an unknown service", |wire| {
        let known = wire["services"][0]["name"].clone();
        split_of(wire, &json!([{"service": known, "weight": 1}]));
        wire["routes"][0]["service"] = json!("unknown");
    }),
    ("two routes share a host and prefix", |wire| {
        wire["routes"][1]["pathPrefix"] = wire["routes"][0]["pathPrefix"].clone();
    }),
    ("the weights of a route add up to 0", |wire| {
        let known = wire["services"][0]["name"].clone();
        split_of(wire, &json!([{"service": known, "weight": 0}]));
    }),
    ("a route has no service", |wire| split_of(wire, &json!([]))),
    ("a time-out is 0", |wire| {
        wire["routes"][0]["timeoutMs"] = json!(0);
    }),
    ("two workspaces share a key", |wire| {
        let owner = wire["tenants"][0].clone();
        share_key(wire, &owner, "thief");
    }),
    ("two workspaces of one name share a key", |wire| {
        let owner = wire["tenants"][0].clone();
        share_key(wire, &owner, owner["name"].as_str().unwrap_or_default());
    }),
    ("a prefix does not end with a slash", |wire| {
        wire["routes"][0]["pathPrefix"] = json!("/open");
    }),
];

/// Number of ways in which bytes are spoiled so that they cannot be read in full.
const BYTE_FAULTS: usize = 2;

/// Number of kinds of invalid documents.
pub(super) const KINDS: usize = FAULTS.len() + BYTE_FAULTS;

fn split_of(wire: &mut Value, split: &Value) {
    if let Some(route) = wire["routes"][0].as_object_mut() {
        route.remove("service");
        route.insert("trafficSplit".to_owned(), split.clone());
    }
}

fn share_key(wire: &mut Value, owner: &Value, name: &str) {
    if let Some(workspaces) = wire["tenants"].as_array_mut() {
        workspaces.push(json!({"name": name, "apiKeys": owner["apiKeys"]}));
    }
}

impl Drafts {
    /// Returns an invalid document with a version above that of the last one.
    pub fn next_invalid(&mut self) -> Draft {
        let kind = self.random.random_range(0..KINDS);
        self.invalid(kind)
    }

    /// Returns one invalid document of each kind.
    pub fn every_invalid(&mut self) -> Vec<Draft> {
        (0..KINDS).map(|kind| self.invalid(kind)).collect()
    }

    fn invalid(&mut self, kind: usize) -> Draft {
        let (mut wire, mut sent) = (self.wire(), self.sent());
        sent.version += self.random.random_range(1..=3);
        wire["version"] = json!(sent.version);
        let fault = match FAULTS.get(kind) {
            Some((fault, spoil)) => {
                spoil(&mut wire);
                fault
            }
            None if kind == FAULTS.len() => "cut short",
            None => "bytes after the end",
        };
        let mut body = wire.to_string().into_bytes();
        match fault {
            "cut short" => body.truncate(self.random.random_range(0..body.len())),
            "bytes after the end" => body.extend_from_slice(b"}"),
            _ => {}
        }
        sent.fault = Some(fault.into());
        Draft::new(body, sent)
    }
}
