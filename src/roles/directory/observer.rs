//! A directory instance without a data folder. It is not a member of the cluster and confirms no
//! reads or writes; it redirects operators, entries, sidecars and new members to the leader.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures::future::join_all;
use tarpc::context::Context;
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

use crate::model::InstanceName;
use crate::roles::control::replica::{Caller, Endpoint, Peers, hello};
use crate::rpc::peer::{Envelope, HelloReply, HelloRequest, Peer, PeerClient};
use crate::rpc::{Link, peer_link};
use crate::settings::PeerAddress;

/// Time between queries for the leader, and so the delay after which a new leader is known.
const QUERY_INTERVAL: Duration = Duration::from_millis(300);
/// Timeout for the leader's answer; after it, all known instances are queried.
const LEADER_TIMEOUT: Duration = Duration::from_millis(400);
/// Time without any member of the cluster after which the missing data folder is reported. Members
/// call every second, so silence for this long means that there is none.
const NO_MEMBER_TIMEOUT: Duration = Duration::from_secs(5);
/// Upper bound on the remembered callers; a cluster has fewer members.
const MAX_CALLERS: usize = 64;

/// Tracks the leader of the cluster from an instance without a data folder.
pub(crate) struct Observer {
    own: Endpoint,
    peers: watch::Receiver<Peers>,
    view: Mutex<ClusterView>,
}

#[derive(Default)]
struct ClusterView {
    /// Members of the cluster that have called; the settings may name none of them.
    callers: BTreeMap<InstanceName, SocketAddr>,
    cluster: Option<u64>,
    leader: Option<Leader>,
    /// The instance that may form the cluster, since no named instance keeps the log.
    bootstrap_instance: Option<InstanceName>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Leader {
    identity: u64,
    address: SocketAddr,
    term: u64,
}

impl Observer {
    pub(super) fn new(own: Endpoint, peers: watch::Receiver<Peers>) -> Arc<Self> {
        let view = Mutex::default();
        Arc::new(Self { own, peers, view })
    }

    fn lock(&self) -> MutexGuard<'_, ClusterView> {
        self.view.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the RPC address of the leader, if one is known.
    pub(super) fn leader(&self) -> Option<SocketAddr> {
        self.lock().leader.map(|leader| leader.address)
    }

    /// Queries the known instances for the leader until `stopping` is set.
    pub(super) async fn run(self: Arc<Self>, mut stopping: watch::Receiver<bool>) {
        let mut no_member_since = Instant::now();
        let mut is_reported = false;
        // The connection is reused, since every instance of a large fleet may query the leader.
        let mut link: Option<Arc<Link<PeerClient>>> = None;
        while !*stopping.borrow_and_update() {
            if let Some(leader) = self.leader() {
                let kept = link.take().filter(|link| link.address() == leader);
                let leader_link = kept.unwrap_or_else(|| peer_link(leader));
                if self.still_leads(&leader_link).await {
                    link = Some(leader_link);
                    no_member_since = Instant::now();
                    tokio::select! {
                        () = sleep(QUERY_INTERVAL) => {}
                        _ = stopping.changed() => {}
                    }
                    continue;
                }
            }
            let caller = Caller {
                own: &self.own,
                identity: None,
            };
            let queried = self.query_targets();
            let replies = join_all(queried.iter().map(|peer| hello(peer, caller))).await;
            self.forget_unresponsive(&queried, &replies);
            self.update_leader(replies.iter().flatten());
            let mut found = replies.iter().flatten();
            if found.any(|reply| reply.identity.is_some()) {
                (no_member_since, is_reported) = (Instant::now(), false);
            } else if no_member_since.elapsed() > NO_MEMBER_TIMEOUT
                && !std::mem::replace(&mut is_reported, true)
            {
                tracing::error!(
                    asked = queried.len(),
                    "no control instance keeps the replicated log; set data_folder in [directory] of at least one"
                );
            }
            tokio::select! {
                () = sleep(QUERY_INTERVAL) => {}
                _ = stopping.changed() => {}
            }
        }
    }

    /// Returns true if the instance answers that it leads the cluster.
    async fn still_leads(&self, link: &Link<PeerClient>) -> bool {
        let request = HelloRequest {
            name: self.own.name.clone(),
            address: self.own.rpc_address,
            identity: None,
        };
        let call =
            |client: PeerClient, context| async move { client.hello(context, request).await };
        let Ok(reply) = link.call(LEADER_TIMEOUT, call).await else {
            return false;
        };
        let leads = reply
            .leader
            .is_some_and(|(_, address)| address == link.address());
        if leads {
            self.update_leader(std::iter::once(&reply));
        }
        leads
    }

    /// Returns the instances to query: those that the settings name and those that have called.
    fn query_targets(&self) -> Vec<PeerAddress> {
        let mut targets: BTreeMap<InstanceName, SocketAddr> = self.lock().callers.clone();
        let peers = self.peers.borrow();
        let named = peers.known.iter();
        targets.extend(named.map(|peer| (peer.name.clone(), peer.address)));
        targets.remove(&self.own.name);
        let targets = targets.into_iter();
        targets
            .map(|(name, address)| PeerAddress { name, address })
            .collect()
    }

    /// Forgets callers that do not answer, so that replaced members do not delay the queries. A
    /// member that returns is known again within a second, since members call every second.
    fn forget_unresponsive(&self, queried: &[PeerAddress], replies: &[Option<HelloReply>]) {
        let mut view = self.lock();
        for (peer, _) in queried
            .iter()
            .zip(replies)
            .filter(|(_, reply)| reply.is_none())
        {
            view.callers.remove(&peer.name);
        }
    }

    /// Adopts the leader with the highest term among the replies; an instance that was partitioned
    /// from the others may name an older one.
    fn update_leader<'a>(&self, mut replies: impl Iterator<Item = &'a HelloReply> + Clone) {
        let leader = replies
            .clone()
            .filter_map(|reply| {
                let (identity, address) = reply.leader?;
                Some(Leader {
                    identity,
                    address,
                    term: reply.term,
                })
            })
            .max_by_key(|leader| leader.term);
        let cluster = replies.find_map(|reply| reply.cluster);
        let mut view = self.lock();
        view.cluster = view.cluster.or(cluster);
        if view.leader != leader {
            let (address, term) = leader.map(|leader| (leader.address, leader.term)).unzip();
            tracing::info!(address = ?address, term, "the known leader of the cluster changed");
            view.leader = leader;
        }
    }
}

/// Answers the calls of other control instances.
#[derive(Clone)]
pub(super) struct ObserverServer(pub(super) Arc<Observer>);

impl Peer for ObserverServer {
    async fn ping(self, _: Context) {}

    /// Ignored: log messages are addressed to members, and an instance without a log is none.
    async fn deliver(self, _: Context, _: Envelope) {}

    async fn hello(self, _: Context, request: HelloRequest) -> HelloReply {
        let may_form = self.0.peers.borrow().may_form;
        let mut view = self.0.lock();
        if request.identity.is_some() {
            if view.callers.len() < MAX_CALLERS {
                view.callers.insert(request.name.clone(), request.address);
            }
            if may_form && view.cluster.is_none() && view.bootstrap_instance.is_none() {
                view.bootstrap_instance = Some(request.name);
            }
        }
        let leader = view.leader;
        HelloReply {
            name: self.0.own.name.clone(),
            identity: None,
            cluster: view.cluster,
            term: leader.map_or(0, |leader| leader.term),
            leader: leader.map(|leader| (leader.identity, leader.address)),
            bootstrap_instance: view.bootstrap_instance.clone(),
        }
    }
}
