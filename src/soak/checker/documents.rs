//! The documents of a run: when each was sent and acknowledged, and what it allows.

use std::collections::{BTreeMap, BTreeSet};

use crate::soak::history::{Call, History, Publication, SentDocument, SentRoute};

/// Statuses of a publication that do not settle whether the document is in force or refused.
const RETRIED: [u16; 2] = [408, 429];

/// How a request was handled, as far as the document decides it.
#[derive(Debug, Clone, Copy)]
pub(super) enum Handling<'a> {
    /// It ran at an instance of this service.
    Run(&'a str),
    /// An entry refused it for its route or its key.
    Refused,
}

/// Why a document must never be in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Void {
    Invalid,
    Refused,
    /// It was sent under a version whose other content had been acknowledged before.
    VersionTaken,
}

/// A document that was sent.
pub(super) struct Known<'a> {
    pub content: u64,
    pub document: &'a SentDocument,
    pub first_sent_ms: u64,
    pub acknowledged_ms: Option<u64>,
    pub void: Option<Void>,
    routes: BTreeMap<(String, &'a str), &'a SentRoute>,
}

/// Returns all documents that were sent, in the order of their versions.
pub(super) fn known_documents(history: &History) -> Vec<Known<'_>> {
    let mut sent: BTreeMap<u64, Vec<&Publication>> = BTreeMap::new();
    for publication in &history.publications {
        sent.entry(publication.content)
            .or_default()
            .push(publication);
    }
    let mut known: Vec<Known> = sent
        .iter()
        .filter_map(|(content, publications)| {
            let document = history.documents.get(content)?;
            let acknowledged = publications.iter().copied().filter(|p| is_acknowledged(p));
            Some(Known {
                content: *content,
                document,
                first_sent_ms: publications.iter().map(|p| p.sent_ms).min()?,
                acknowledged_ms: acknowledged.filter_map(|p| p.answered_ms).min(),
                void: match document.fault {
                    Some(_) => Some(Void::Invalid),
                    None => publications
                        .iter()
                        .all(|p| is_refused(p))
                        .then_some(Void::Refused),
                },
                routes: document
                    .routes
                    .iter()
                    .map(|route| ((host_name(&route.host), &*route.prefix), route))
                    .collect(),
            })
        })
        .collect();
    let late: BTreeSet<u64> = known
        .iter()
        .filter(|late| {
            known.iter().any(|first| {
                first.document.version == late.document.version
                    && first.content != late.content
                    && first.void.is_none()
                    && first
                        .acknowledged_ms
                        .is_some_and(|at_ms| at_ms < late.first_sent_ms)
            })
        })
        .map(|late| late.content)
        .collect();
    for document in &mut known {
        if document.void.is_none() && late.contains(&document.content) {
            document.void = Some(Void::VersionTaken);
        }
    }
    known.sort_by_key(|known| (known.document.version, known.content));
    known
}

pub(super) fn is_acknowledged(publication: &Publication) -> bool {
    publication.status == Some(200) && publication.answered_ms.is_some()
}

/// Returns true if the response says that the document will not be in force.
pub(super) fn is_refused(publication: &Publication) -> bool {
    publication
        .status
        .is_some_and(|status| (400..500).contains(&status) && !RETRIED.contains(&status))
}

/// Returns a host without its port, in lower case.
fn host_name(host: &str) -> String {
    let is_port = |port: &str| port.bytes().all(|digit| digit.is_ascii_digit());
    match host.rsplit_once(':') {
        Some((name, port)) if is_port(port) => name.to_ascii_lowercase(),
        _ => host.to_ascii_lowercase(),
    }
}

impl<'a> Known<'a> {
    /// Returns the route of a call: that of its host with the longest prefix of its path.
    pub fn route(&self, call: &Call) -> Option<&'a SentRoute> {
        let host = host_name(&call.host);
        let path = call.path.split('?').next().unwrap_or_default();
        let mut ends = path.rmatch_indices('/').map(|(index, _)| index + 1);
        ends.find_map(|end| self.routes.get(&(host.clone(), &path[..end])).copied())
    }

    /// Returns true if a call may use a route with its key.
    pub fn admits(&self, route: &SentRoute, call: &Call) -> bool {
        let keys = &self.document.keys;
        let held = call.key.as_ref().is_some_and(|key| keys.contains_key(key));
        held || route.is_anonymous || keys.is_empty()
    }

    /// Returns true if this document, in force, leads to such a handling of a call.
    pub fn allows(&self, call: &Call, handling: Handling) -> bool {
        let route = self.route(call).filter(|route| self.admits(route, call));
        match (handling, route) {
            (Handling::Run(service), Some(route)) => {
                route.services.iter().any(|name| &**name == service)
            }
            (Handling::Run(_), None) => false,
            (Handling::Refused, route) => route.is_none(),
        }
    }
}
