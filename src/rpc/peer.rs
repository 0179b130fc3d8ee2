//! The service between control instances, which carries the messages of the replicated log.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::model::InstanceName;

/// Messages of the log core, encoded by it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Envelope {
    /// The identity (data folder) of the sender.
    pub from: u64,
    /// The identity that the messages are for; another one drops them.
    pub to: u64,
    pub messages: Vec<Vec<u8>>,
}

/// Asks an instance about its identity and cluster, for formation and joining.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HelloRequest {
    pub name: InstanceName,
    pub address: SocketAddr,
    /// None if the caller has no data folder, and so cannot be a member of the cluster.
    pub identity: Option<u64>,
}

/// The answer to a hello.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HelloReply {
    pub name: InstanceName,
    /// None if the instance has no data folder and only leads others to the cluster.
    pub identity: Option<u64>,
    /// The cluster that the instance belongs to, or knows if it keeps no log; none while its data
    /// folder is empty.
    pub cluster: Option<u64>,
    pub term: u64,
    /// The leader that the instance knows: identity and address. It may not be among the peers that
    /// the asking instance was told of.
    pub leader: Option<(u64, SocketAddr)>,
    /// The instance that forms the cluster if none of the named instances keeps the log. Told by
    /// instances that keep none.
    pub bootstrap_instance: Option<InstanceName>,
}

/// The calls between control instances.
#[tarpc::service]
pub trait Peer {
    /// Answered at once; the heartbeat of a connection.
    async fn ping();
    async fn deliver(envelope: Envelope);
    async fn hello(request: HelloRequest) -> HelloReply;
}
