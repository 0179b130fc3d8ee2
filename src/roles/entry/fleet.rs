//! The sidecars known to this entry, with their connections, pollers and loads.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};

use sha2::{Digest, Sha256};

use super::failure::Failure;
use super::input::RequestHeaders;
use super::load::PeerLoad;
use super::poller::Poller;
use crate::domain::members::{Phase, Role, Serves};
use crate::domain::route::{Place, name_hash};
use crate::domain::state::View;
use crate::domain::table::{Row, RowKey};
use crate::model::{
    InstanceName, InstanceRef, ModelName, RefusalCode, ServiceName, TableVersion, UpstreamName,
    WorkspaceName,
};
use crate::roles::subscriber::Subscriber;
use crate::rpc::sidecar::{LoadReport, SidecarClient};
use crate::rpc::{Link, Stamp, sidecar_link};

/// One incarnation of a sidecar, and the connections to it.
pub(super) struct Peer {
    pub instance: InstanceRef,
    pub address: SocketAddr,
    /// The connection for starts, cancels and service calls. Polls use a separate connection, so
    /// that small calls do not wait behind long replies.
    pub calls: Arc<Link<SidecarClient>>,
    pub poller: Arc<Poller>,
    load: Arc<Mutex<PeerLoad>>,
}

impl Peer {
    /// Locks and returns the load of this sidecar's upstreams.
    pub fn load(&self) -> MutexGuard<'_, PeerLoad> {
        self.load.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// One upstream that serves a model or service, and its sidecar.
#[derive(Clone)]
pub(super) struct Replica {
    pub peer: Arc<Peer>,
    pub upstream: UpstreamName,
    /// The loaded model versions, as last registered.
    pub versions: Vec<String>,
}

/// The replicas of one model or service; both lists have the same order.
#[derive(Default)]
pub(super) struct Replicas {
    pub replicas: Vec<Replica>,
    pub places: Vec<Place>,
}

#[derive(Default)]
struct Directory {
    version: TableVersion,
    models: BTreeMap<ModelName, Arc<Replicas>>,
    services: BTreeMap<ServiceName, Arc<Replicas>>,
    /// Workspaces by the SHA-256 of their API key, in hexadecimal.
    workspaces_by_key: BTreeMap<String, WorkspaceName>,
}

/// All sidecars known to this entry.
pub(super) struct Fleet {
    subscriber: Arc<Subscriber>,
    peers: Mutex<BTreeMap<InstanceRef, Arc<Peer>>>,
    directory: RwLock<Arc<Directory>>,
}

impl Fleet {
    /// Returns a fleet without sidecars.
    pub fn new(subscriber: Arc<Subscriber>) -> Self {
        Self {
            subscriber,
            peers: Mutex::default(),
            directory: RwLock::default(),
        }
    }

    /// Returns the replicas of a model at live members; leaving members are left out.
    pub fn model(&self, view: &View, model: &ModelName) -> Arc<Replicas> {
        let directory = self.directory(view);
        directory.models.get(model).cloned().unwrap_or_default()
    }

    /// Returns the replicas of a service at live members; leaving members are left out.
    pub fn service(&self, view: &View, service: &ServiceName) -> Arc<Replicas> {
        let directory = self.directory(view);
        directory.services.get(service).cloned().unwrap_or_default()
    }

    /// Returns the workspace of a caller: by its API key, or by name if no workspace has a key.
    pub fn workspace(
        &self,
        view: &View,
        request_headers: &RequestHeaders,
    ) -> Result<WorkspaceName, Failure> {
        let directory = self.directory(view);
        let refused =
            |message: &str| Failure::not_run(RefusalCode::BadRequest, message).with_status(401);
        if directory.workspaces_by_key.is_empty() {
            let Some(name) = &request_headers.workspace else {
                return Err(refused("header lilac-workspace is missing"));
            };
            let name = WorkspaceName::from(name.as_str());
            return match view.table.workspace(&name) {
                Some(_) => Ok(name),
                None => Err(refused("header lilac-workspace: no such workspace")),
            };
        }
        let Some(key) = &request_headers.api_key else {
            return Err(refused("header authorization: an API key is needed"));
        };
        let hash = format!("{:x}", Sha256::digest(key.as_bytes()));
        let found = directory.workspaces_by_key.get(&hash).cloned();
        found.ok_or_else(|| refused("header authorization: unknown API key"))
    }

    /// Returns an incarnation of a sidecar if this entry has a connection to it or if it is the
    /// registered one.
    pub fn find(&self, view: &View, instance: &InstanceRef) -> Option<Arc<Peer>> {
        let known = self.lock_peers().get(instance).cloned();
        known.or_else(|| {
            let member = view.members.members.get(&instance.name)?;
            (member.incarnation == instance.incarnation && member.phase != Phase::Gone)
                .then(|| self.peer(instance, member.rpc_address))
        })
    }

    /// Returns an incarnation of a sidecar at an address; connects to it if needed.
    pub fn peer(&self, instance: &InstanceRef, address: SocketAddr) -> Arc<Peer> {
        let mut peers = self.lock_peers();
        if let Some(peer) = peers.get(instance).filter(|peer| peer.address == address) {
            return Arc::clone(peer);
        }
        let peer = self.connect(instance, address);
        peers.insert(instance.clone(), Arc::clone(&peer));
        peer
    }

    /// Returns the registered incarnation of an instance and its address, or `None` if the instance
    /// is unknown or gone.
    pub fn registered(&self, name: &InstanceName) -> Option<(InstanceRef, SocketAddr)> {
        registered(&self.subscriber.view(), name)
    }

    /// Creates the connections to members that are new in a view.
    pub fn refresh(&self, view: &View) {
        self.directory(view);
    }

    /// Returns all known sidecars.
    pub fn peers(&self) -> Vec<Arc<Peer>> {
        self.lock_peers().values().cloned().collect()
    }

    fn lock_peers(&self) -> MutexGuard<'_, BTreeMap<InstanceRef, Arc<Peer>>> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn connect(&self, instance: &InstanceRef, address: SocketAddr) -> Arc<Peer> {
        let load: Arc<Mutex<PeerLoad>> = Arc::default();
        let subscriber = Arc::clone(&self.subscriber);
        let stamp_source = Arc::clone(&self.subscriber);
        let registry = Arc::clone(&self.subscriber);
        let name = instance.name.clone();
        let reported_load = Arc::clone(&load);
        let poller = Poller::start(
            instance.incarnation,
            sidecar_link(address),
            Arc::new(move || stamp_source.stamp()),
            Arc::new(move |reply| {
                record_reply(&subscriber, &reported_load, &reply.stamp, &reply.load);
            }),
            Arc::new(move || {
                registered(&registry.view(), &name).map(|(instance, _)| instance.incarnation)
            }),
        );
        Arc::new(Peer {
            instance: instance.clone(),
            address,
            calls: sidecar_link(address),
            poller,
            load,
        })
    }

    /// Records the stamp and the load report of a reply.
    pub fn record_reply(&self, peer: &Peer, stamp: &Stamp, report: &LoadReport) {
        record_reply(&self.subscriber, &peer.load, stamp, report);
    }

    fn directory(&self, view: &View) -> Arc<Directory> {
        let known = Arc::clone(
            &self
                .directory
                .read()
                .unwrap_or_else(PoisonError::into_inner),
        );
        if known.version >= view.version && view.version != TableVersion::default() {
            return known;
        }
        let directory = Arc::new(self.build(view));
        let mut current = self
            .directory
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        if current.version <= directory.version {
            *current = Arc::clone(&directory);
        }
        directory
    }

    fn build(&self, view: &View) -> Directory {
        let me = &self.subscriber.me().name;
        let zone = view.members.members.get(me).map(|member| &member.zone);
        let mut models: BTreeMap<ModelName, Replicas> = BTreeMap::new();
        let mut services: BTreeMap<ServiceName, Replicas> = BTreeMap::new();
        let sidecars =
            view.members.members.values().filter(|member| {
                member.phase == Phase::Live && member.roles.contains(&Role::Sidecar)
            });
        for member in sidecars {
            let instance = InstanceRef {
                name: member.name.clone(),
                incarnation: member.incarnation,
            };
            let peer = self.peer(&instance, member.rpc_address);
            for upstream in &member.upstreams {
                let replicas = match &upstream.serves {
                    Serves::Model(model) => models.entry(model.clone()).or_default(),
                    Serves::Service(service) => services.entry(service.clone()).or_default(),
                };
                replicas.places.push(Place {
                    hash: name_hash(upstream.name.as_str()),
                    same_zone: zone == Some(&member.zone),
                });
                replicas.replicas.push(Replica {
                    peer: Arc::clone(&peer),
                    upstream: upstream.name.clone(),
                    versions: upstream.versions.clone(),
                });
            }
        }
        self.drop_unregistered(view);
        Directory {
            version: view.version,
            models: into_shared(models),
            services: into_shared(services),
            workspaces_by_key: workspaces_by_key(view),
        }
    }

    /// Drops peers that are no longer registered, except those that open streams still use.
    fn drop_unregistered(&self, view: &View) {
        self.lock_peers().retain(|instance, peer| {
            let is_registered = registered(view, &instance.name)
                .is_some_and(|(registered, _)| registered == *instance);
            is_registered || Arc::strong_count(peer) > 1
        });
    }
}

fn workspaces_by_key(view: &View) -> BTreeMap<String, WorkspaceName> {
    let rows = view.table.rows.iter();
    rows.filter_map(|(key, (_, row))| match (key, row) {
        (RowKey::Workspace(name), Row::Workspace(row)) => {
            Some((row.api_key_sha256.clone()?, name.clone()))
        }
        _ => None,
    })
    .collect()
}

fn into_shared<K: Ord>(map: BTreeMap<K, Replicas>) -> BTreeMap<K, Arc<Replicas>> {
    map.into_iter()
        .map(|(name, replicas)| (name, Arc::new(replicas)))
        .collect()
}

fn registered(view: &View, name: &InstanceName) -> Option<(InstanceRef, SocketAddr)> {
    let member = view.members.members.get(name)?;
    let instance = InstanceRef {
        name: member.name.clone(),
        incarnation: member.incarnation,
    };
    (member.phase != Phase::Gone).then_some((instance, member.rpc_address))
}

fn record_reply(
    subscriber: &Subscriber,
    load: &Mutex<PeerLoad>,
    stamp: &Stamp,
    report: &LoadReport,
) {
    subscriber.observe(stamp);
    load.lock()
        .unwrap_or_else(PoisonError::into_inner)
        .record_report(stamp.leaving, report);
}
