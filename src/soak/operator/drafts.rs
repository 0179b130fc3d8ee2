//! Draws successive documents.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};
use xxhash_rust::xxh3::xxh3_64;

use crate::soak::history::{SentDocument, SentRoute};

/// Number of routes of each kind that every document has.
const FIXED_ROUTES: usize = 2;

/// Bound on the routes that are added.
const MAX_ADDED_ROUTES: usize = 12;

/// What the documents of a run are made of.
#[derive(Debug, Clone)]
pub struct Catalog {
    pub host: Arc<str>,
    /// Services for plain calls, and those of inference engines; at least one of each. A service is
    /// named in a document once a route leads to it.
    pub plain: Vec<Arc<str>>,
    pub engines: Vec<Arc<str>>,
    /// The `engine` object of the engines' services.
    pub engine: Value,
    /// Longest time-out of a route.
    pub timeout_ms: u64,
}

/// One document as it is sent.
#[derive(Debug, Clone)]
pub struct Draft {
    pub body: Arc<[u8]>,
    /// Hash of the body.
    pub content: u64,
    pub sent: Arc<SentDocument>,
}

impl Draft {
    pub(super) fn new(body: Vec<u8>, sent: SentDocument) -> Self {
        Self {
            content: xxh3_64(&body),
            body: body.into(),
            sent: Arc::new(sent),
        }
    }
}

#[derive(Debug, Clone)]
struct RouteDraft {
    prefix: Arc<str>,
    kind: &'static str,
    timeout_ms: u64,
    max_attempts: u32,
    is_anonymous: bool,
    shares: Vec<(Arc<str>, u32)>,
}

/// A sequence of documents that is determined by its seed.
pub struct Drafts {
    pub(super) random: StdRng,
    catalog: Catalog,
    version: u64,
    routes: Vec<RouteDraft>,
    /// Keys by workspace.
    workspaces: BTreeMap<Arc<str>, BTreeSet<Arc<str>>>,
    /// Number of names given to routes, workspaces and keys.
    names: u64,
    /// Size that is reached with further routes, which no caller uses.
    padded_bytes: usize,
}

impl Drafts {
    /// Starts with two routes of each kind and two workspaces with two keys each.
    pub fn new(catalog: Catalog, seed: u64) -> Self {
        let mut drafts = Self {
            random: StdRng::seed_from_u64(seed),
            catalog,
            version: 0,
            routes: Vec::new(),
            workspaces: BTreeMap::new(),
            names: 0,
            padded_bytes: 0,
        };
        for kind in ["safe", "unsafe", "streaming"] {
            for _ in 0..FIXED_ROUTES {
                drafts.add_route(kind);
            }
        }
        for _ in 0..2 {
            drafts.add_workspace();
        }
        drafts
    }

    /// Returns the next valid document: a higher version with one to three changes.
    pub fn next_valid(&mut self) -> Draft {
        if self.version > 0 {
            for _ in 0..self.random.random_range(1..=3) {
                self.change();
            }
        }
        self.version += self.random.random_range(1..=9);
        self.draft()
    }

    /// Returns other content under the version of the last document.
    pub fn same_version(&mut self) -> Draft {
        let routes = self.routes.clone();
        let index = self.random.random_range(0..self.routes.len());
        self.routes[index].timeout_ms += 1;
        let draft = self.draft();
        self.routes = routes;
        draft
    }

    /// Pads further documents to about this size.
    pub fn pad(&mut self, bytes: usize) {
        self.padded_bytes = bytes;
    }

    fn next_name(&mut self, kind: &str) -> Arc<str> {
        self.names += 1;
        format!("{kind}{:x}-{}", self.random.random::<u16>(), self.names).into()
    }

    fn add_route(&mut self, kind: &'static str) {
        let name = self.next_name("r");
        let service = self.any_service(kind);
        self.routes.push(RouteDraft {
            prefix: format!("/{name}/").into(),
            kind,
            timeout_ms: self.catalog.timeout_ms,
            max_attempts: if kind == "safe" { 2 } else { 1 },
            is_anonymous: self.random.random_ratio(1, 4),
            shares: vec![(service, 1)],
        });
    }

    fn any_service(&mut self, kind: &str) -> Arc<str> {
        let services = match kind {
            "streaming" => &self.catalog.engines,
            _ => &self.catalog.plain,
        };
        let index = self.random.random_range(0..services.len());
        Arc::clone(&services[index])
    }

    fn add_workspace(&mut self) {
        let name = self.next_name("w");
        let keys = [self.next_name("k"), self.next_name("k")];
        self.workspaces.insert(name, keys.into());
    }

    /// Returns a random workspace.
    fn any_workspace(&mut self) -> Arc<str> {
        let index = self.random.random_range(0..self.workspaces.len());
        let name = self
            .workspaces
            .keys()
            .nth(index)
            .or_else(|| self.workspaces.keys().next());
        name.map(Arc::clone).unwrap_or_default()
    }

    fn change(&mut self) {
        let index = self.random.random_range(0..self.routes.len());
        let kind = self.routes[index].kind;
        let fixed = 3 * FIXED_ROUTES;
        match self.random.random_range(0..9) {
            0 | 1 => {
                let service = self.any_service(kind);
                self.routes[index].shares = vec![(service, 1)];
            }
            2 => {
                let split = [self.any_service(kind), self.any_service(kind)];
                let weight = self.random.random_range(0..100);
                let weights = [weight, 100 - weight];
                self.routes[index].shares = split.into_iter().zip(weights).collect();
            }
            3 => {
                let longest_ms = self.catalog.timeout_ms;
                self.routes[index].timeout_ms =
                    self.random.random_range(longest_ms / 2..=longest_ms);
            }
            4 | 5 if self.routes.len() < fixed + MAX_ADDED_ROUTES => {
                let kind = ["safe", "unsafe", "streaming"][self.random.random_range(0..3)];
                self.add_route(kind);
            }
            4..=6 if self.routes.len() > fixed => {
                let index = self.random.random_range(fixed..self.routes.len());
                self.routes.remove(index);
            }
            7 => self.change_keys(),
            _ if self.workspaces.len() < 5 => self.add_workspace(),
            _ => {
                let workspace = self.any_workspace();
                self.workspaces.remove(&workspace);
            }
        }
    }

    /// Gives a workspace a new key and takes its first one away if it has more than one.
    fn change_keys(&mut self) {
        let (workspace, added) = (self.any_workspace(), self.next_name("k"));
        let keys = self.workspaces.entry(workspace).or_default();
        if keys.len() > 1 {
            keys.pop_first();
        }
        keys.insert(added);
    }

    fn draft(&mut self) -> Draft {
        let mut wire = self.wire();
        let unpadded = wire.to_string().len();
        if let Some(routes) = wire["routes"].as_array_mut() {
            let example = routes[0].clone();
            let padding = self.padded_bytes.saturating_sub(unpadded) / example.to_string().len();
            for n in 0..padding {
                let mut route = example.clone();
                route["name"] = json!(format!("p-{n}"));
                route["host"] = json!(format!("padding-{}.example", n % 50));
                route["pathPrefix"] = json!(format!("/p{n}/"));
                routes.push(route);
            }
        }
        Draft::new(wire.to_string().into_bytes(), self.sent())
    }

    /// Returns the last document as JSON, without padding.
    pub(super) fn wire(&self) -> Value {
        let routes: Vec<Value> = self
            .routes
            .iter()
            .map(|route| self.wire_route(route))
            .collect();
        let named: BTreeSet<&Arc<str>> = self
            .routes
            .iter()
            .flat_map(|route| route.shares.iter().map(|(service, _)| service))
            .collect();
        let services: Vec<Value> = named
            .into_iter()
            .map(|name| {
                let mut service =
                    json!({"name": name, "healthCheckPath": "/health", "maxConnections": 200});
                if self.catalog.engines.contains(name) {
                    service["engine"] = self.catalog.engine.clone();
                }
                service
            })
            .collect();
        let workspaces: Vec<Value> = self
            .workspaces
            .iter()
            .map(|(name, keys)| json!({"name": name, "apiKeys": keys, "priority": 1}))
            .collect();
        json!({
            "version": self.version, "routes": routes, "services": services,
            "limits": {"maxHeaderBytes": 16_384, "maxBodyBytes": 4_194_304,
                "headerTimeoutMs": 3_000, "idleTimeoutMs": 15_000},
            "tenants": workspaces,
        })
    }

    fn wire_route(&self, route: &RouteDraft) -> Value {
        let mut wire = json!({
            "name": route.prefix.trim_matches('/'), "host": self.catalog.host,
            "pathPrefix": route.prefix, "kind": route.kind, "timeoutMs": route.timeout_ms,
            "targetLatencyMs": 1_500, "priority": 1, "maxAttempts": route.max_attempts,
            "allowAnonymous": route.is_anonymous, "gapTargetMs": 180,
        });
        match &route.shares[..] {
            [(service, _)] => wire["service"] = json!(service),
            shares => {
                let split = shares
                    .iter()
                    .map(|(service, weight)| json!({"service": service, "weight": weight}));
                wire["trafficSplit"] = split.collect();
            }
        }
        wire
    }

    /// Returns what the checker knows of the last document.
    pub(super) fn sent(&self) -> SentDocument {
        let routes = self.routes.iter().map(|route| {
            let used = route.shares.iter().filter(|(_, weight)| *weight > 0);
            SentRoute {
                host: Arc::clone(&self.catalog.host),
                prefix: Arc::clone(&route.prefix),
                services: used.map(|(service, _)| Arc::clone(service)).collect(),
                timeout_ms: route.timeout_ms,
                is_stream: route.kind == "streaming",
                is_safe: route.kind == "safe",
                max_attempts: route.max_attempts,
                is_anonymous: route.is_anonymous,
            }
        });
        let keys = self.workspaces.iter().flat_map(|(workspace, keys)| {
            let owned = keys.iter();
            owned.map(move |key| (Arc::clone(key), Arc::clone(workspace)))
        });
        SentDocument {
            version: self.version,
            fault: None,
            routes: routes.collect(),
            keys: keys.collect(),
        }
    }
}
