//! Look-up of routes and keys in one version of the document.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::{Document, Route, Service, Workspace};

/// A document with its look-up tables.
#[derive(Debug)]
pub struct Index {
    document: Document,
    /// Positions of routes by host, the longest prefix first.
    by_host: BTreeMap<Arc<str>, Vec<usize>>,
    by_key: BTreeMap<Arc<str>, usize>,
    services: BTreeMap<Arc<str>, usize>,
}

/// Whether a request's key gives it access to a route.
#[derive(Debug)]
pub enum Access<'a> {
    /// The request belongs to this workspace.
    Workspace(&'a Workspace),
    /// The route needs no key, or the document names no workspaces.
    Anonymous,
    Denied,
}

impl Index {
    /// Builds the tables of a valid document.
    pub fn new(document: Document) -> Self {
        let mut by_host: BTreeMap<Arc<str>, Vec<usize>> = BTreeMap::new();
        for (position, route) in document.routes.iter().enumerate() {
            by_host
                .entry(Arc::clone(&route.host))
                .or_default()
                .push(position);
        }
        for positions in by_host.values_mut() {
            positions.sort_by_key(|p| std::cmp::Reverse(document.routes[*p].prefix.len()));
        }
        let workspaces = document.workspaces.iter().enumerate();
        let by_key = workspaces
            .flat_map(|(position, w)| w.keys.iter().map(move |key| (Arc::clone(key), position)))
            .collect();
        let services = document.services.iter().enumerate();
        let services = services
            .map(|(position, s)| (Arc::clone(&s.name), position))
            .collect();
        Self {
            document,
            by_host,
            by_key,
            services,
        }
    }

    /// Returns the version.
    pub fn version(&self) -> u64 {
        self.document.version
    }

    /// Returns the document.
    pub fn document(&self) -> &Document {
        &self.document
    }

    /// Returns the route with the longest prefix of `path` among those of `host`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.rsplit_once(':').map_or(host, |(name, port)| {
            if port.bytes().all(|digit| digit.is_ascii_digit()) {
                name
            } else {
                host
            }
        });
        let positions = match self.by_host.get(host) {
            Some(positions) => positions,
            None => self.by_host.get(host.to_ascii_lowercase().as_str())?,
        };
        let mut candidates = positions.iter().map(|p| &self.document.routes[*p]);
        candidates.find(|route| path.starts_with(&*route.prefix))
    }

    /// Returns whether a key gives access to a route.
    pub fn access(&self, route: &Route, key: Option<&str>) -> Access<'_> {
        let held = key.and_then(|key| self.by_key.get(key));
        match held {
            Some(position) => Access::Workspace(&self.document.workspaces[*position]),
            None if route.anonymous || self.document.workspaces.is_empty() => Access::Anonymous,
            None => Access::Denied,
        }
    }

    /// Returns a service by name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services
            .get(name)
            .map(|position| &self.document.services[*position])
    }

    /// Returns the service that a route sends a request to, given a random number.
    pub fn choose_service(route: &Route, random: u64) -> Option<&Arc<str>> {
        let total: u64 = route
            .shares
            .iter()
            .map(|share| u64::from(share.weight))
            .sum();
        let mut rest = random.checked_rem(total)?;
        for share in &route.shares {
            match rest.checked_sub(u64::from(share.weight)) {
                Some(left) => rest = left,
                None => return Some(&share.service),
            }
        }
        None
    }
}
