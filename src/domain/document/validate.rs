//! Rules that a document must meet before it is published.

use std::collections::{BTreeMap, BTreeSet};

use super::{Document, Route};
use crate::findings::Findings;

/// Returns every fault of a document. The document may be published if there are none.
pub fn validate(document: &Document) -> Findings {
    let mut findings = Findings::default();
    let services: BTreeSet<&str> = document.services.iter().map(|s| &*s.name).collect();
    if services.len() < document.services.len() {
        findings.add("services", "two services have the same name");
    }
    let mut by_location = BTreeMap::new();
    for route in &document.routes {
        check_route(route, &services, &mut findings);
        if let Some(first) = by_location.insert((&*route.host, &*route.prefix), &route.name) {
            let reason = format!("has the host and prefix of route {first}");
            findings.add(format!("route {}", route.name), reason);
        }
    }
    let mut owners = BTreeMap::new();
    for (index, workspace) in document.workspaces.iter().enumerate() {
        for key in &workspace.keys {
            let owner = owners.insert(&**key, index);
            if let Some(other) = owner.filter(|other| *other != index) {
                let other = &document.workspaces[other].name;
                // The key is a secret, so the message does not contain it.
                let reason = format!("shares a key with workspace {other}");
                findings.add(format!("workspace {}", workspace.name), reason);
            }
        }
    }
    findings
}

fn check_route(route: &Route, services: &BTreeSet<&str>, findings: &mut Findings) {
    let place = format!("route {}", route.name);
    if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
        findings.add(&place, "the path prefix must begin and end with a slash");
    }
    if route.timeout_ms == 0 {
        findings.add(&place, "the time-out must be above 0 ms");
    }
    if route.shares.iter().all(|share| share.weight == 0) {
        findings.add(&place, "the weights of its services add up to 0");
    }
    for share in &route.shares {
        if !services.contains(&*share.service) {
            findings.add(
                &place,
                format!("names the unknown service {}", share.service),
            );
        }
    }
}
