//! Formation of a cluster, and joining one.

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
use crate::rpc::peer::{HelloReply, HelloRequest, PeerClient};
use crate::rpc::{Service, connect, deadline_after};
use crate::settings::PeerAddress;

const HELLO_LIMIT: Duration = Duration::from_secs(1);
/// Time between attempts while the replica is not a member.
const ATTEMPT: Duration = Duration::from_millis(200);
/// Time between checks once it is one.
const CHECK: Duration = Duration::from_secs(1);

/// Forms or joins a cluster, and joins again if the own address has changed. Ends with the replica.
pub(super) async fn run(replica: Replica, peers: watch::Receiver<Peers>, own: Endpoint) {
    loop {
        let Peers { known, may_form } = peers.borrow().clone();
        // A single instance may name no peers at all.
        let listed = known.is_empty() || known.iter().any(|peer| peer.name == own.name);
        let others: Vec<PeerAddress> = known
            .into_iter()
            .filter(|peer| peer.name != own.name)
            .collect();
        let status = replica.status();
        if status.stopped.is_some() {
            return;
        }
        // The entry that added this replica may have been replaced by a new leader's.
        if is_member(&status, &own) && status.leader.is_some() {
            sleep(CHECK).await;
            continue;
        }
        let replies = join_all(others.iter().map(|peer| hello(peer, &own, status.identity))).await;
        let forms = may_form && listed;
        if let Some(input) = next_step(&status, &own, &others, &replies, forms) {
            // A full queue delays formation to the next attempt.
            let _ = replica.send(input);
        }
        sleep(ATTEMPT).await;
    }
}

fn is_member(status: &ReplicaStatus, own: &Endpoint) -> bool {
    let mut members = status.voters.iter().chain(&status.learners);
    members.any(|member| member.identity == status.identity && member.address == own.rpc_address)
}

/// Returns the step that the answers of all other configured instances allow.
fn next_step(
    status: &ReplicaStatus,
    own: &Endpoint,
    others: &[PeerAddress],
    replies: &[Option<HelloReply>],
    may_form: bool,
) -> Option<Input> {
    let answered = || {
        let pairs = others.iter().zip(replies);
        pairs.filter_map(|(peer, reply)| Some((peer, reply.as_ref()?)))
    };
    let clustered = answered().any(|(_, reply)| reply.cluster.is_some());
    if clustered || status.cluster.is_some() {
        let members = answered().filter(|(_, reply)| reply.cluster.is_some());
        let targets: BTreeMap<NodeId, SocketAddr> = members
            .flat_map(|(peer, reply)| {
                let leader = reply
                    .leader
                    .map(|(identity, address)| (NodeId(identity), address));
                std::iter::once((NodeId(reply.identity), peer.address)).chain(leader)
            })
            .filter(|(identity, _)| *identity != status.identity)
            .collect();
        let targets = targets.into_iter().collect();
        return Some(Input::Join {
            targets,
            name: own.name.clone(),
        });
    }
    let first = others.iter().all(|peer| own.name < peer.name);
    if !may_form || !first || answered().count() < others.len() {
        return None;
    }
    let mut members: BTreeMap<_, _> = answered()
        .map(|(peer, reply)| (NodeId(reply.identity), (peer.name.clone(), peer.address)))
        .collect();
    members.insert(status.identity, (own.name.clone(), own.rpc_address));
    // Two configured addresses that reach one instance do not make two members.
    let complete = members.len() == others.len() + 1;
    complete.then_some(Input::Bootstrap { members })
}

async fn hello(peer: &PeerAddress, own: &Endpoint, identity: NodeId) -> Option<HelloReply> {
    let transport = connect(peer.address, Service::Peer).await.ok()?;
    let client = PeerClient::new(client::Config::default(), transport).spawn();
    let request = HelloRequest {
        name: own.name.clone(),
        identity: identity.0,
    };
    let reply = client
        .hello(deadline_after(HELLO_LIMIT), request)
        .await
        .ok()?;
    if reply.name != peer.name {
        tracing::warn!(expected = %peer.name, found = %reply.name, address = %peer.address,
            "another instance answers at the address of a peer; check [control] peers");
        return None;
    }
    Some(reply)
}
