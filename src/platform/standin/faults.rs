//! Documents that the protocol calls invalid.

use serde_json::{Value, json};

use super::documents::to_value;
use crate::domain::document::Document;

/// What makes a document invalid, and the change that does so.
pub(crate) struct DocumentFault {
    pub(crate) reason: &'static str,
    apply: fn(&mut Value),
}

/// Faults of documents that have at least two routes, a service and a workspace.
pub(crate) const DOCUMENT_FAULTS: [DocumentFault; 9] = [
    DocumentFault {
        reason: "a route names an unknown service",
        apply: |wire| set_split(wire, &json!([{"service": "unknown", "weight": 1}])),
    },
    DocumentFault {
        reason: "a split route names an unknown service",
        apply: |wire| {
            let known = wire["services"][0]["name"].clone();
            set_split(wire, &json!([{"service": known, "weight": 1}]));
            wire["routes"][0]["service"] = json!("unknown");
        },
    },
    DocumentFault {
        reason: "two routes share a host and prefix",
        apply: |wire| {
            wire["routes"][1]["pathPrefix"] = wire["routes"][0]["pathPrefix"].clone();
        },
    },
    DocumentFault {
        reason: "the weights of a route add up to 0",
        apply: |wire| {
            let known = wire["services"][0]["name"].clone();
            set_split(wire, &json!([{"service": known, "weight": 0}]));
        },
    },
    DocumentFault {
        reason: "a route has no service",
        apply: |wire| set_split(wire, &json!([])),
    },
    DocumentFault {
        reason: "a time-out is 0",
        apply: |wire| wire["routes"][0]["timeoutMs"] = json!(0),
    },
    DocumentFault {
        reason: "two workspaces share a key",
        apply: |wire| {
            let owner = wire["tenants"][0].clone();
            share_key(wire, &owner, "thief");
        },
    },
    DocumentFault {
        reason: "two workspaces of one name share a key",
        apply: |wire| {
            let owner = wire["tenants"][0].clone();
            share_key(wire, &owner, owner["name"].as_str().unwrap_or_default());
        },
    },
    DocumentFault {
        reason: "a prefix does not end with a slash",
        apply: |wire| wire["routes"][0]["pathPrefix"] = json!("/open"),
    },
];

/// Encodes a document with a fault.
pub(crate) fn encode_faulty_document(document: &Document, fault: &DocumentFault) -> Vec<u8> {
    let mut wire = to_value(document);
    (fault.apply)(&mut wire);
    wire.to_string().into_bytes()
}

fn set_split(wire: &mut Value, split: &Value) {
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
