//! The service between control instances, which carries the messages of the replicated log.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::model::InstanceName;

/// Messages of the replicated log, in its own encoding.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Envelope {
    /// The identity of the sender's data folder.
    pub from: u64,
    /// The identity of the intended receiver; an instance with another identity drops the messages.
    pub to: u64,
    pub messages: Vec<Vec<u8>>,
}

/// Asks an instance for its identity and cluster, before forming or joining a cluster.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HelloRequest {
    pub name: InstanceName,
    pub address: SocketAddr,
    /// `None` if the caller has no data folder and so cannot be a member of the cluster.
    pub identity: Option<u64>,
}

/// The answer to a hello.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HelloReply {
    pub name: InstanceName,
    /// `None` if the instance has no data folder and only tells others how to reach the cluster.
    pub identity: Option<u64>,
    /// The cluster that the instance belongs to, or that it knows of if it keeps no log; `None`
    /// while its data folder is empty.
    pub cluster: Option<u64>,
    pub term: u64,
    /// Identity and address of the leader, if known. It may be missing from the configured peers of
    /// the caller.
    pub leader: Option<(u64, SocketAddr)>,
    /// The instance that forms the cluster if none of the configured instances keeps the log. Set
    /// by instances that keep no log.
    pub bootstrap_instance: Option<InstanceName>,
}

/// The methods that control instances call on each other.
#[tarpc::service]
pub trait Peer {
    /// Heartbeat of a connection; answered immediately.
    async fn ping();
    async fn deliver(envelope: Envelope);
    async fn hello(request: HelloRequest) -> HelloReply;
}
