//! Forming a new cluster and joining an existing one.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use futures::future::join_all;
use tarpc::client;
use tokio::sync::watch;
use tokio::time::sleep;

use super::driver::Input;
use super::{Endpoint, Peers, Replica, ReplicaStatus};
use crate::domain::log::NodeId;
use crate::model::InstanceName;
use crate::rpc::peer::{HelloReply, HelloRequest, PeerClient};
use crate::rpc::{Service, connect, deadline_after};
use crate::settings::PeerAddress;

const HELLO_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval between attempts while the replica is not a member of a cluster.
const JOIN_RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Interval between membership checks once the replica is a member.
const MEMBERSHIP_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Forms or joins a cluster, and rejoins if this replica's address has changed. Returns once the
/// replica has stopped.
pub(super) async fn run(replica: Replica, peers: watch::Receiver<Peers>, own: Endpoint) {
    loop {
        let Peers { known, may_form } = peers.borrow().clone();
        // A single instance may be configured without peers.
        let lists_self = known.is_empty() || known.iter().any(|peer| peer.name == own.name);
        let others: Vec<PeerAddress> = known
            .into_iter()
            .filter(|peer| peer.name != own.name)
            .collect();
        let status = replica.status();
        if status.stopped.is_some() {
            return;
        }
        let caller = Caller {
            own: &own,
            identity: Some(status.identity),
        };
        // Without a leader the membership may be outdated: a new leader may have overwritten the
        // log entry that added this replica.
        if is_member(&status, &own) && status.leader.is_some() {
            // Configured instances without a log learn about the cluster from these calls.
            let not_members = others.iter().filter(|peer| !is_listed(&status, &peer.name));
            join_all(not_members.map(|peer| hello(peer, caller))).await;
            sleep(MEMBERSHIP_CHECK_INTERVAL).await;
            continue;
        }
        let replies = join_all(others.iter().map(|peer| hello(peer, caller))).await;
        let peers = ConfiguredPeers {
            others: &others,
            replies: &replies,
            may_form,
            lists_self,
        };
        if let Some(input) = next_step(&status, &own, &peers) {
            // If the input queue is full, the next attempt sends the step again.
            let _ = replica.send(input);
        }
        sleep(JOIN_RETRY_INTERVAL).await;
    }
}

fn is_member(status: &ReplicaStatus, own: &Endpoint) -> bool {
    let mut members = status.voters.iter().chain(&status.learners);
    members.any(|member| member.identity == status.identity && member.address == own.rpc_address)
}

fn is_listed(status: &ReplicaStatus, name: &InstanceName) -> bool {
    let mut members = status.voters.iter().chain(&status.learners);
    members.any(|member| member.name == *name)
}

/// The other configured instances and their answers.
struct ConfiguredPeers<'a> {
    others: &'a [PeerAddress],
    replies: &'a [Option<HelloReply>],
    may_form: bool,
    /// True if this instance is configured as a peer itself, or no peers are configured.
    lists_self: bool,
}

impl ConfiguredPeers<'_> {
    fn answered(&self) -> impl Iterator<Item = (&PeerAddress, &HelloReply)> {
        let pairs = self.others.iter().zip(self.replies);
        pairs.filter_map(|(peer, reply)| Some((peer, reply.as_ref()?)))
    }
}

/// Returns the next step towards membership that the answers of the other configured instances
/// allow: joining a cluster that one of them knows, or forming a new one once all of them have
/// answered.
fn next_step(status: &ReplicaStatus, own: &Endpoint, peers: &ConfiguredPeers) -> Option<Input> {
    let answered = || peers.answered();
    let clustered = answered().any(|(_, reply)| reply.cluster.is_some());
    if clustered || status.cluster.is_some() {
        let members = answered().filter(|(_, reply)| reply.cluster.is_some());
        let targets: BTreeMap<NodeId, SocketAddr> = members
            .flat_map(|(peer, reply)| {
                let leader = reply
                    .leader
                    .map(|(identity, address)| (NodeId(identity), address));
                let member = reply
                    .identity
                    .map(|identity| (NodeId(identity), peer.address));
                member.into_iter().chain(leader)
            })
            .filter(|(identity, _)| *identity != status.identity)
            .collect();
        let targets = targets.into_iter().collect();
        return Some(Input::Join {
            targets,
            name: own.name.clone(),
        });
    }
    if !peers.may_form || answered().count() < peers.others.len() {
        return None;
    }
    let with_log = || answered().filter_map(|(peer, reply)| Some((peer, NodeId(reply.identity?))));
    let forms = match peers.lists_self {
        true => with_log().all(|(peer, _)| own.name < peer.name),
        false if with_log().next().is_none() => bootstrap_instance(peers) == Some(&own.name),
        false => false,
    };
    if !forms {
        return None;
    }
    let mut members: BTreeMap<_, _> = with_log()
        .map(|(peer, identity)| (identity, (peer.name.clone(), peer.address)))
        .collect();
    members.insert(status.identity, (own.name.clone(), own.rpc_address));
    // Two configured addresses may reach the same instance; the cluster is then not formed.
    let complete = members.len() == with_log().count() + 1;
    complete.then_some(Input::Bootstrap { members })
}

/// Returns the instance that forms the cluster if no configured instance keeps a log. All instances
/// use the answer of the configured instance with the lowest name, so they agree on one.
fn bootstrap_instance<'a>(peers: &'a ConfiguredPeers) -> Option<&'a InstanceName> {
    let (_, first) = peers.answered().min_by_key(|(peer, _)| &peer.name)?;
    first.bootstrap_instance.as_ref()
}

/// The sender of a hello call.
#[derive(Clone, Copy)]
pub(crate) struct Caller<'a> {
    pub own: &'a Endpoint,
    /// `None` if the caller keeps no log.
    pub identity: Option<NodeId>,
}

/// Calls `hello` on a peer. Returns `None` if it does not answer, or if another instance answers at
/// its address.
pub(crate) async fn hello(peer: &PeerAddress, caller: Caller<'_>) -> Option<HelloReply> {
    let transport = connect(peer.address, Service::Peer).await.ok()?;
    let client = PeerClient::new(client::Config::default(), transport).spawn();
    let request = HelloRequest {
        name: caller.own.name.clone(),
        address: caller.own.rpc_address,
        identity: caller.identity.map(|identity| identity.0),
    };
    let reply = client
        .hello(deadline_after(HELLO_TIMEOUT), request)
        .await
        .ok()?;
    if reply.name != peer.name {
        tracing::warn!(expected = %peer.name, found = %reply.name, address = %peer.address,
            "another instance answered at the address of a peer; check [control] peers");
        return None;
    }
    Some(reply)
}
