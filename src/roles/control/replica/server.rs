//! The RPC service that other replicas call.

use std::sync::mpsc::SyncSender;

use tarpc::context::Context;
use tokio::sync::watch;

use super::driver::Input;
use super::status::ReplicaStatus;
use crate::domain::log::NodeId;
use crate::model::InstanceName;
use crate::rpc::peer::{Envelope, HelloReply, HelloRequest, Peer};

/// Handles calls from other replicas.
#[derive(Clone)]
pub struct PeerServer {
    inputs: SyncSender<Input>,
    status: watch::Receiver<ReplicaStatus>,
    name: InstanceName,
}

impl PeerServer {
    pub(super) fn new(
        inputs: SyncSender<Input>,
        status: watch::Receiver<ReplicaStatus>,
        name: InstanceName,
    ) -> Self {
        Self {
            inputs,
            status,
            name,
        }
    }
}

impl Peer for PeerServer {
    async fn ping(self, _: Context) {}

    async fn deliver(self, _: Context, envelope: Envelope) {
        if envelope.to != self.status.borrow().identity.0 {
            return;
        }
        let from = NodeId(envelope.from);
        let messages = envelope.messages;
        // The messages are dropped if the queue is full; the sender's core sends them again.
        let _ = self.inputs.try_send(Input::Deliver { from, messages });
    }

    async fn hello(self, _: Context, _: HelloRequest) -> HelloReply {
        let status = self.status.borrow();
        HelloReply {
            name: self.name.clone(),
            identity: Some(status.identity.0),
            cluster: status.cluster,
            term: status.term,
            leader: status
                .leader
                .as_ref()
                .map(|leader| (leader.identity.0, leader.address)),
            bootstrap_instance: None,
        }
    }
}
