//! Draws successive documents.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use xxhash_rust::xxh3::xxh3_64;

use crate::domain::document::{
    CallerLimits, Document, EngineSpec, Repeat, Route, Service, Share, Workspace,
};
use crate::model::WorkspaceName;
use crate::platform::standin;
use crate::soak::history::{SentDocument, SentRoute};
use crate::soak::upstreams::HEALTH_PATH;

/// Number of routes of each kind that every document has.
const FIXED_ROUTES: usize = 2;

/// Bound on the routes that are added.
const MAX_ADDED_ROUTES: usize = 12;

const REPEATS: [Repeat; 3] = [Repeat::Safe, Repeat::Once, Repeat::Stream];
const TARGET_MS: u64 = 1_500;
const GAP_TARGET_MS: u64 = 180;
const PRIORITY: u32 = 1;
const MAX_CONNECTIONS: u32 = 200;
const LIMITS: CallerLimits = CallerLimits {
    header_bytes: 16_384,
    body_bytes: 4_194_304,
    header_timeout_ms: 3_000,
    idle_timeout_ms: 15_000,
};

/// What the documents of a run are made of.
#[derive(Debug, Clone)]
pub struct Catalog {
    pub host: Arc<str>,
    /// Services for plain calls, and those of inference engines; at least one of each. A service is
    /// named in a document once a route leads to it.
    pub plain: Vec<Arc<str>>,
    pub engines: Vec<Arc<str>>,
    pub engine: EngineSpec,
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

/// A sequence of documents that is determined by its seed.
pub struct Drafts {
    pub(super) random: StdRng,
    catalog: Catalog,
    version: u64,
    routes: Vec<Route>,
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
        for repeat in REPEATS {
            for _ in 0..FIXED_ROUTES {
                drafts.add_route(repeat);
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

    fn add_route(&mut self, repeat: Repeat) {
        let name = self.next_name("r");
        let service = self.any_service(repeat);
        self.routes.push(Route {
            host: Arc::clone(&self.catalog.host),
            prefix: format!("/{name}/").into(),
            name,
            repeat,
            timeout_ms: self.catalog.timeout_ms,
            target_ms: TARGET_MS,
            gap_target_ms: Some(GAP_TARGET_MS),
            priority: PRIORITY,
            max_attempts: if repeat == Repeat::Safe { 2 } else { 1 },
            anonymous: self.random.random_ratio(1, 4),
            shares: vec![Share { service, weight: 1 }],
        });
    }

    fn any_service(&mut self, repeat: Repeat) -> Arc<str> {
        let services = match repeat {
            Repeat::Stream => &self.catalog.engines,
            Repeat::Safe | Repeat::Once => &self.catalog.plain,
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
        let repeat = self.routes[index].repeat;
        let fixed = 3 * FIXED_ROUTES;
        match self.random.random_range(0..9) {
            0 | 1 => {
                let service = self.any_service(repeat);
                self.routes[index].shares = vec![Share { service, weight: 1 }];
            }
            2 => {
                let split = [self.any_service(repeat), self.any_service(repeat)];
                let weight = self.random.random_range(0..100);
                let shares = split.into_iter().zip([weight, 100 - weight]);
                self.routes[index].shares = shares
                    .map(|(service, weight)| Share { service, weight })
                    .collect();
            }
            3 => {
                let longest_ms = self.catalog.timeout_ms;
                self.routes[index].timeout_ms =
                    self.random.random_range(longest_ms / 2..=longest_ms);
            }
            4 | 5 if self.routes.len() < fixed + MAX_ADDED_ROUTES => {
                let repeat = REPEATS[self.random.random_range(0..3)];
                self.add_route(repeat);
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

    fn draft(&self) -> Draft {
        let mut document = self.document();
        let mut body = standin::encode_document(&document);
        let padding = document.routes.first().map_or(0, |example| {
            let missing_bytes = self.padded_bytes.saturating_sub(body.len());
            missing_bytes / standin::encode_route(example).len()
        });
        if padding > 0 {
            let example = Route::clone(&document.routes[0]);
            let routes = (0..padding).map(|n| {
                Arc::new(Route {
                    name: format!("p-{n}").into(),
                    host: format!("padding-{}.example", n % 50).into(),
                    prefix: format!("/p{n}/").into(),
                    ..example.clone()
                })
            });
            document.routes.extend(routes);
            body = standin::encode_document(&document);
        }
        Draft::new(body, self.sent())
    }

    /// Returns the last document, without padding.
    pub(super) fn document(&self) -> Document {
        let named: BTreeSet<&Arc<str>> = self
            .routes
            .iter()
            .flat_map(|route| route.shares.iter().map(|share| &share.service))
            .collect();
        let services = named.into_iter().map(|name| Service {
            name: Arc::clone(name),
            max_connections: MAX_CONNECTIONS,
            health_path: Some(HEALTH_PATH.into()),
            engine: self
                .catalog
                .engines
                .contains(name)
                .then_some(self.catalog.engine),
            cold_start_ms: 0,
            cold_limit_milli_per_s: None,
        });
        let workspaces = self.workspaces.iter().map(|(name, keys)| Workspace {
            name: WorkspaceName(Arc::clone(name)),
            keys: keys.iter().map(Arc::clone).collect(),
            priority: Some(PRIORITY),
        });
        Document {
            version: self.version,
            routes: self.routes.iter().cloned().map(Arc::new).collect(),
            services: services.collect(),
            workspaces: workspaces.collect(),
            limits: LIMITS,
        }
    }

    /// Returns what the checker knows of the last document.
    pub(super) fn sent(&self) -> SentDocument {
        let routes = self.routes.iter().map(|route| {
            let used = route.shares.iter().filter(|share| share.weight > 0);
            SentRoute {
                host: Arc::clone(&route.host),
                prefix: Arc::clone(&route.prefix),
                services: used.map(|share| Arc::clone(&share.service)).collect(),
                timeout_ms: route.timeout_ms,
                is_stream: route.repeat == Repeat::Stream,
                is_safe: route.repeat == Repeat::Safe,
                max_attempts: route.max_attempts,
                is_anonymous: route.anonymous,
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
