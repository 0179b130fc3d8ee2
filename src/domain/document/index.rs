//! Look-up of routes, API keys and services in one version of the document.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::{Document, Route, Service, Workspace};

/// A document with its look-up tables.
#[derive(Debug)]
pub struct Index {
    document: Document,
    /// Indices of routes by host as written, longest path prefix first.
    by_host: BTreeMap<Arc<str>, Vec<usize>>,
    /// The same by the host's name in lower case, without a port.
    by_host_name: BTreeMap<String, Vec<usize>>,
    /// Index of the workspace that owns each API key.
    by_key: BTreeMap<Arc<str>, usize>,
    /// Index of each service by name.
    services: BTreeMap<Arc<str>, usize>,
}

/// Whether a request with a given API key may use a route.
#[derive(Debug)]
pub enum Access<'a> {
    /// The key belongs to this workspace.
    Workspace(&'a Workspace),
    /// The key is missing or unknown, but the route needs no key or the document has no workspaces.
    Anonymous,
    /// The key is missing or unknown, and the route needs one.
    Denied,
}

impl Index {
    /// Builds the look-up tables. The document must have passed [`super::validate()`].
    pub fn new(document: Document) -> Self {
        let mut by_host: BTreeMap<Arc<str>, Vec<usize>> = BTreeMap::new();
        let mut by_host_name: BTreeMap<String, Vec<usize>> = BTreeMap::new();
        for (index, route) in document.routes.iter().enumerate() {
            let written = by_host.entry(Arc::clone(&route.host)).or_default();
            written.push(index);
            let name = without_port(&route.host).to_ascii_lowercase();
            by_host_name.entry(name).or_default().push(index);
        }
        for indices in by_host.values_mut().chain(by_host_name.values_mut()) {
            indices.sort_by_key(|p| std::cmp::Reverse(document.routes[*p].prefix.len()));
        }
        let workspaces = document.workspaces.iter().enumerate();
        let by_key = workspaces
            .flat_map(|(index, w)| w.keys.iter().map(move |key| (Arc::clone(key), index)))
            .collect();
        let services = document.services.iter().enumerate();
        let services = services
            .map(|(index, s)| (Arc::clone(&s.name), index))
            .collect();
        Self {
            document,
            by_host,
            by_host_name,
            by_key,
            services,
        }
    }

    pub fn version(&self) -> u64 {
        self.document.version
    }

    pub fn document(&self) -> &Document {
        &self.document
    }

    /// Returns the route of `host` with the longest prefix that matches `path`. If no route of the
    /// host as given matches, its port and then its case are ignored.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let find = |indices: Option<&Vec<usize>>| {
            let mut candidates = indices?.iter().map(|p| &self.document.routes[*p]);
            candidates.find(|route| path.starts_with(&*route.prefix))
        };
        let name = without_port(host);
        find(self.by_host.get(host))
            .or_else(|| find(self.by_host.get(name)))
            .or_else(|| find(self.by_host_name.get(&name.to_ascii_lowercase())))
    }

    /// Returns the access that a request with this key has to a route; `None` is a request without
    /// a key.
    pub fn access(&self, route: &Route, key: Option<&str>) -> Access<'_> {
        let owner = key.and_then(|key| self.by_key.get(key));
        match owner {
            Some(index) => Access::Workspace(&self.document.workspaces[*index]),
            None if route.anonymous || self.document.workspaces.is_empty() => Access::Anonymous,
            None => Access::Denied,
        }
    }

    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services
            .get(name)
            .map(|index| &self.document.services[*index])
    }

    /// Returns the service that a request is sent to: a weighted choice among the route's services
    /// by a uniformly distributed random number. Returns `None` if the weights add up to 0.
    pub fn choose_service(route: &Route, random: u64) -> Option<&Arc<str>> {
        let total: u64 = route
            .shares
            .iter()
            .map(|share| u64::from(share.weight))
            .sum();
        let mut remaining = random.checked_rem(total)?;
        for share in &route.shares {
            match remaining.checked_sub(u64::from(share.weight)) {
                Some(left) => remaining = left,
                None => return Some(&share.service),
            }
        }
        None
    }
}

/// Returns a host without its port.
fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|digit| digit.is_ascii_digit()) => name,
        _ => host,
    }
}
