//! The RPC service that other replicas call.

use std::sync::mpsc::{SyncSender, TrySendError};

use prometheus::IntCounter;
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
    dropped_messages: IntCounter,
}

impl PeerServer {
    pub(super) fn new(
        inputs: SyncSender<Input>,
        status: watch::Receiver<ReplicaStatus>,
        name: InstanceName,
        dropped_messages: IntCounter,
    ) -> Self {
        Self {
            inputs,
            status,
            name,
            dropped_messages,
        }
    }

    /// Counts messages that cannot be handed to the log; the sender's core sends them again. Logs
    /// the first one, and then whenever their number has doubled.
    fn record_dropped(&self, from: NodeId, count: usize, error: &TrySendError<Input>) {
        let before = self.dropped_messages.get();
        self.dropped_messages.inc_by(count as u64);
        let total = self.dropped_messages.get();
        if before == 0 || before.ilog2() < total.ilog2() {
            let has_stopped = matches!(error, TrySendError::Disconnected(_));
            tracing::warn!(instance = %self.name, %from, total, has_stopped,
                "dropped messages of another replica");
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
        let count = messages.len();
        if let Err(error) = self.inputs.try_send(Input::Deliver { from, messages }) {
            self.record_dropped(from, count, &error);
        }
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
