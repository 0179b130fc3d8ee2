//! A directory instance without a data folder. It is no member of the cluster and confirms nothing;
//! it leads operators, entries, sidecars and new members to the leader.

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

/// Time between rounds of questions. A leader that changes is known this much later.
const ASK_EVERY: Duration = Duration::from_millis(300);
/// Upper bound on the leader's answer; without one all known instances are asked.
const LEADER_LIMIT: Duration = Duration::from_millis(400);
/// Members call each second, so an instance that nobody with a log has called for this long has none.
const ALONE_AFTER: Duration = Duration::from_secs(5);
/// Callers remembered; a cluster has fewer members.
const MAX_CALLERS: usize = 64;

/// What an instance without a data folder knows of the cluster.
pub(crate) struct Observer {
    own: Endpoint,
    peers: watch::Receiver<Peers>,
    known: Mutex<Known>,
}

#[derive(Default)]
struct Known {
    /// Instances that keep the log and have called. The settings may name none of them.
    callers: BTreeMap<InstanceName, SocketAddr>,
    cluster: Option<u64>,
    leader: Option<Leader>,
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
        let known = Mutex::default();
        Arc::new(Self { own, peers, known })
    }

    fn lock(&self) -> MutexGuard<'_, Known> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the RPC address of the leader, if one is known.
    pub(super) fn leader(&self) -> Option<SocketAddr> {
        self.lock().leader.map(|leader| leader.address)
    }

    /// Asks the known instances for the leader until `stopping` is set.
    pub(super) async fn run(self: Arc<Self>, mut stopping: watch::Receiver<bool>) {
        let mut alone_since = Instant::now();
        let mut is_told = false;
        // Kept, since as many instances ask the leader as a large fleet has.
        let mut link: Option<Arc<Link<PeerClient>>> = None;
        while !*stopping.borrow_and_update() {
            if let Some(leader) = self.leader() {
                let held = link.take().filter(|link| link.address() == leader);
                let held = held.unwrap_or_else(|| peer_link(leader));
                if self.still_leads(&held).await {
                    link = Some(held);
                    alone_since = Instant::now();
                    tokio::select! {
                        () = sleep(ASK_EVERY) => {}
                        _ = stopping.changed() => {}
                    }
                    continue;
                }
            }
            let caller = Caller {
                own: &self.own,
                identity: None,
            };
            let asked = self.asked();
            let replies = join_all(asked.iter().map(|peer| hello(peer, caller))).await;
            self.forget_silent(&asked, &replies);
            self.learn(replies.iter().flatten());
            let mut found = replies.iter().flatten();
            if found.any(|reply| reply.identity.is_some()) {
                (alone_since, is_told) = (Instant::now(), false);
            } else if alone_since.elapsed() > ALONE_AFTER && !std::mem::replace(&mut is_told, true)
            {
                tracing::error!(
                    asked = asked.len(),
                    "no control instance keeps the log; give at least one a data_folder in [directory]"
                );
            }
            tokio::select! {
                () = sleep(ASK_EVERY) => {}
                _ = stopping.changed() => {}
            }
        }
    }

    /// Asks an instance whether it leads the cluster.
    async fn still_leads(&self, link: &Link<PeerClient>) -> bool {
        let request = HelloRequest {
            name: self.own.name.clone(),
            address: self.own.rpc_address,
            identity: None,
        };
        let call =
            |client: PeerClient, context| async move { client.hello(context, request).await };
        let Ok(reply) = link.call(LEADER_LIMIT, call).await else {
            return false;
        };
        let leads = reply
            .leader
            .is_some_and(|(_, address)| address == link.address());
        if leads {
            self.learn(std::iter::once(&reply));
        }
        leads
    }

    /// Returns the instances that the settings name and those that have called.
    fn asked(&self) -> Vec<PeerAddress> {
        let mut asked: BTreeMap<InstanceName, SocketAddr> = self.lock().callers.clone();
        let peers = self.peers.borrow();
        let named = peers.known.iter();
        asked.extend(named.map(|peer| (peer.name.clone(), peer.address)));
        asked.remove(&self.own.name);
        let asked = asked.into_iter();
        asked
            .map(|(name, address)| PeerAddress { name, address })
            .collect()
    }

    /// Forgets callers that do not answer. Members call every second, so those that are back are
    /// known again, and replaced ones do not hold up the questions.
    fn forget_silent(&self, asked: &[PeerAddress], replies: &[Option<HelloReply>]) {
        let mut known = self.lock();
        for (peer, _) in asked
            .iter()
            .zip(replies)
            .filter(|(_, reply)| reply.is_none())
        {
            known.callers.remove(&peer.name);
        }
    }

    /// Takes the leader of the highest term. An instance that was cut off names an older one.
    fn learn<'a>(&self, mut replies: impl Iterator<Item = &'a HelloReply> + Clone) {
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
        let mut known = self.lock();
        known.cluster = known.cluster.or(cluster);
        if known.leader != leader {
            let (address, term) = leader.map(|leader| (leader.address, leader.term)).unzip();
            tracing::info!(address = ?address, term, "leader of the cluster");
            known.leader = leader;
        }
    }
}

/// Answers calls of other control instances.
#[derive(Clone)]
pub(super) struct ObserverServer(pub(super) Arc<Observer>);

impl Peer for ObserverServer {
    async fn ping(self, _: Context) {}

    /// An instance without a log is no member, so nothing is meant for it.
    async fn deliver(self, _: Context, _: Envelope) {}

    async fn hello(self, _: Context, request: HelloRequest) -> HelloReply {
        let may_form = self.0.peers.borrow().may_form;
        let mut known = self.0.lock();
        if request.identity.is_some() {
            if known.callers.len() < MAX_CALLERS {
                known.callers.insert(request.name.clone(), request.address);
            }
            if may_form && known.cluster.is_none() && known.bootstrap_instance.is_none() {
                known.bootstrap_instance = Some(request.name);
            }
        }
        let leader = known.leader;
        HelloReply {
            name: self.0.own.name.clone(),
            identity: None,
            cluster: known.cluster,
            term: leader.map_or(0, |leader| leader.term),
            leader: leader.map(|leader| (leader.identity, leader.address)),
            bootstrap_instance: known.bootstrap_instance.clone(),
        }
    }
}
