//! The sidecars that this entry knows: connections, polls and loads.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};

use sha2::{Digest, Sha256};

use super::failure::Failure;
use super::input::Envelope;
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

/// One incarnation of a sidecar.
pub(super) struct Peer {
    pub instance: InstanceRef,
    pub address: SocketAddr,
    /// For starts, cancels and plain calls; polls have a connection of their own, so that small
    /// calls do not wait behind long replies.
    pub calls: Arc<Link<SidecarClient>>,
    pub poller: Arc<Poller>,
    load: Arc<Mutex<PeerLoad>>,
}

impl Peer {
    /// Returns the load of this sidecar's upstreams.
    pub fn load(&self) -> MutexGuard<'_, PeerLoad> {
        self.load.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// One upstream that a request may be sent to.
#[derive(Clone)]
pub(super) struct Replica {
    pub peer: Arc<Peer>,
    pub upstream: UpstreamName,
    /// The versions loaded, as last registered.
    pub versions: Vec<String>,
}

/// The replicas of one model or service.
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
    /// Workspaces by the hash of their API key.
    keys: BTreeMap<String, WorkspaceName>,
}

/// All sidecars that this entry knows.
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

    /// Returns the replicas of a model; leaving members are not among them.
    pub fn model(&self, view: &View, model: &ModelName) -> Arc<Replicas> {
        let directory = self.directory(view);
        directory.models.get(model).cloned().unwrap_or_default()
    }

    /// Returns the replicas of a service; leaving members are not among them.
    pub fn service(&self, view: &View, service: &ServiceName) -> Arc<Replicas> {
        let directory = self.directory(view);
        directory.services.get(service).cloned().unwrap_or_default()
    }

    /// Returns the workspace of a caller: by its key, or by name if no row has a key.
    pub fn workspace(&self, view: &View, envelope: &Envelope) -> Result<WorkspaceName, Failure> {
        let directory = self.directory(view);
        let refused =
            |message: &str| Failure::not_run(RefusalCode::BadRequest, message).with_status(401);
        if directory.keys.is_empty() {
            let Some(name) = &envelope.workspace else {
                return Err(refused("header lilac-workspace is missing"));
            };
            let name = WorkspaceName::from(name.as_str());
            return match view.table.workspace(&name) {
                Some(_) => Ok(name),
                None => Err(refused("header lilac-workspace: no such workspace")),
            };
        }
        let Some(key) = &envelope.api_key else {
            return Err(refused("header authorization: an API key is needed"));
        };
        let hash = format!("{:x}", Sha256::digest(key.as_bytes()));
        let found = directory.keys.get(&hash).cloned();
        found.ok_or_else(|| refused("header authorization: unknown API key"))
    }

    /// Returns an incarnation of a sidecar, if it is known here or is the registered one.
    pub fn find(&self, view: &View, instance: &InstanceRef) -> Option<Arc<Peer>> {
        let known = self.lock_peers().get(instance).cloned();
        known.or_else(|| {
            let member = view.members.members.get(&instance.name)?;
            (member.incarnation == instance.incarnation && member.phase != Phase::Gone)
                .then(|| self.peer(instance, member.rpc_address))
        })
    }

    /// Returns an incarnation of a sidecar at an address.
    pub fn peer(&self, instance: &InstanceRef, address: SocketAddr) -> Arc<Peer> {
        let mut peers = self.lock_peers();
        if let Some(peer) = peers.get(instance).filter(|peer| peer.address == address) {
            return Arc::clone(peer);
        }
        let peer = self.connect(instance, address);
        peers.insert(instance.clone(), Arc::clone(&peer));
        peer
    }

    /// Returns the registered incarnation of an instance that is not gone, and its address.
    pub fn registered(&self, name: &InstanceName) -> Option<(InstanceRef, SocketAddr)> {
        registered(&self.subscriber.view(), name)
    }

    /// Makes the connections of members that are new in a view.
    pub fn refresh(&self, view: &View) {
        self.directory(view);
    }

    /// Returns all sidecars.
    pub fn peers(&self) -> Vec<Arc<Peer>> {
        self.lock_peers().values().cloned().collect()
    }

    fn lock_peers(&self) -> MutexGuard<'_, BTreeMap<InstanceRef, Arc<Peer>>> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn connect(&self, instance: &InstanceRef, address: SocketAddr) -> Arc<Peer> {
        let load: Arc<Mutex<PeerLoad>> = Arc::default();
        let subscriber = Arc::clone(&self.subscriber);
        let stamping = Arc::clone(&self.subscriber);
        let registry = Arc::clone(&self.subscriber);
        let name = instance.name.clone();
        let noted = Arc::clone(&load);
        let poller = Poller::start(
            instance.incarnation,
            sidecar_link(address),
            Arc::new(move || stamping.stamp()),
            Arc::new(move |reply| note(&subscriber, &noted, &reply.stamp, &reply.load)),
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

    /// Notes the stamp and the load report of a reply.
    pub fn note(&self, peer: &Peer, stamp: &Stamp, report: &LoadReport) {
        note(&self.subscriber, &peer.load, stamp, report);
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
        self.forget_gone(view);
        Directory {
            version: view.version,
            models: shared(models),
            services: shared(services),
            keys: keys(view),
        }
    }

    /// Drops peers that are no longer registered; open streams keep theirs.
    fn forget_gone(&self, view: &View) {
        self.lock_peers().retain(|instance, peer| {
            let is_registered = registered(view, &instance.name)
                .is_some_and(|(registered, _)| registered == *instance);
            is_registered || Arc::strong_count(peer) > 1
        });
    }
}

fn keys(view: &View) -> BTreeMap<String, WorkspaceName> {
    let rows = view.table.rows.iter();
    rows.filter_map(|(key, (_, row))| match (key, row) {
        (RowKey::Workspace(name), Row::Workspace(row)) => {
            Some((row.api_key_sha256.clone()?, name.clone()))
        }
        _ => None,
    })
    .collect()
}

fn shared<K: Ord>(map: BTreeMap<K, Replicas>) -> BTreeMap<K, Arc<Replicas>> {
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

fn note(subscriber: &Subscriber, load: &Mutex<PeerLoad>, stamp: &Stamp, report: &LoadReport) {
    subscriber.observe(stamp);
    load.lock()
        .unwrap_or_else(PoisonError::into_inner)
        .note_report(stamp.leaving, report);
}
