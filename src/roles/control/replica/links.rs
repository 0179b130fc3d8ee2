//! Connections to other replicas, one per replica identity.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use prometheus::IntCounter;
use tarpc::client;
use tokio::runtime::Handle;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::time::sleep;

use crate::domain::log::NodeId;
use crate::rpc::peer::{Envelope, PeerClient};
use crate::rpc::{Service, connect, deadline_after};

/// A call without an answer for this long fails, and the connection to the peer is replaced.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
const BACKOFF_MIN: Duration = Duration::from_millis(20);
const BACKOFF_MAX: Duration = Duration::from_millis(500);
/// Bytes after which no more messages are added to a call. Well below the largest frame, because
/// the last message added may exceed this size.
const MAX_ENVELOPE_BYTES: usize = 1024 * 1024;
/// Limit on the bytes queued for one peer. Further messages are dropped; the core sends them again.
const MAX_QUEUED_BYTES: usize = 16 * 1024 * 1024;
/// Limit on connections, which may include identities that are no longer members. When it is
/// reached, all are closed and reopened as needed.
const MAX_LINKS: usize = 64;

struct Link {
    address: SocketAddr,
    queue: UnboundedSender<Vec<u8>>,
    queued_bytes: Arc<AtomicUsize>,
}

/// The receiving half of a link, run by a task.
struct LinkTask {
    from: NodeId,
    to: NodeId,
    address: SocketAddr,
    queue: UnboundedReceiver<Vec<u8>>,
    queued_bytes: Arc<AtomicUsize>,
    sent_bytes: IntCounter,
}

/// All connections of a replica.
pub(super) struct Links {
    own: NodeId,
    runtime: Handle,
    by_peer: BTreeMap<NodeId, Link>,
    sent_bytes: IntCounter,
}

impl Links {
    pub fn new(own: NodeId, runtime: Handle, sent_bytes: IntCounter) -> Self {
        Self {
            own,
            runtime,
            by_peer: BTreeMap::new(),
            sent_bytes,
        }
    }

    /// Sets the address of a peer. Opens a new link if the address has changed.
    pub fn set_address(&mut self, peer: NodeId, address: SocketAddr) {
        if self
            .by_peer
            .get(&peer)
            .is_some_and(|link| link.address == address)
        {
            return;
        }
        if self.by_peer.len() >= MAX_LINKS {
            self.by_peer.clear();
        }
        let (queue, received) = unbounded_channel();
        let queued_bytes = Arc::new(AtomicUsize::new(0));
        let task = LinkTask {
            from: self.own,
            to: peer,
            address,
            queue: received,
            queued_bytes: queued_bytes.clone(),
            sent_bytes: self.sent_bytes.clone(),
        };
        self.runtime.spawn(task.run());
        self.by_peer.insert(
            peer,
            Link {
                address,
                queue,
                queued_bytes,
            },
        );
    }

    /// Returns true if the address of a peer is known.
    pub fn contains(&self, peer: NodeId) -> bool {
        self.by_peer.contains_key(&peer)
    }

    /// Queues a message for a peer. Drops it if the peer is unknown or its queue is full.
    pub fn send(&self, peer: NodeId, message: Vec<u8>) {
        let Some(link) = self.by_peer.get(&peer) else {
            return;
        };
        let size = message.len();
        if link.queued_bytes.load(Ordering::Relaxed) + size > MAX_QUEUED_BYTES {
            return;
        }
        link.queued_bytes.fetch_add(size, Ordering::Relaxed);
        // The receiving task runs for as long as this sender exists.
        let _ = link.queue.send(message);
    }
}

impl LinkTask {
    async fn run(mut self) {
        let mut client = None;
        let mut backoff = BACKOFF_MIN;
        while let Some(first) = self.queue.recv().await {
            let messages = self.next_batch(first);
            if client.is_none() {
                client = self.connect().await;
            }
            let delivered = match &client {
                Some(client) => self.deliver(client, messages).await,
                None => false,
            };
            if delivered {
                backoff = BACKOFF_MIN;
                continue;
            }
            // Dropping the client closes the connection. Messages queued meanwhile are outdated and
            // are discarded after the backoff.
            client = None;
            sleep(backoff / 2 + backoff.mul_f64(rand::random::<f64>() / 2.0)).await;
            backoff = (backoff * 2).min(BACKOFF_MAX);
            while let Ok(message) = self.queue.try_recv() {
                self.queued_bytes
                    .fetch_sub(message.len(), Ordering::Relaxed);
            }
        }
    }

    /// Returns `first` and the messages queued behind it, until they reach
    /// `MAX_ENVELOPE_BYTES`.
    fn next_batch(&mut self, first: Vec<u8>) -> Vec<Vec<u8>> {
        let mut size = first.len();
        let mut messages = vec![first];
        while size < MAX_ENVELOPE_BYTES {
            let Ok(message) = self.queue.try_recv() else {
                break;
            };
            size += message.len();
            messages.push(message);
        }
        self.queued_bytes.fetch_sub(size, Ordering::Relaxed);
        messages
    }

    async fn connect(&self) -> Option<PeerClient> {
        match connect(self.address, Service::Peer).await {
            Ok(transport) => Some(PeerClient::new(client::Config::default(), transport).spawn()),
            Err(error) => {
                tracing::debug!(peer = %self.to, %error, "cannot connect to peer");
                None
            }
        }
    }

    async fn deliver(&self, client: &PeerClient, messages: Vec<Vec<u8>>) -> bool {
        let size: usize = messages.iter().map(Vec::len).sum();
        let envelope = Envelope {
            from: self.from.0,
            to: self.to.0,
            messages,
        };
        let call = client.deliver(deadline_after(CALL_TIMEOUT), envelope);
        match call.await {
            Ok(()) => {
                self.sent_bytes.inc_by(size as u64);
                true
            }
            Err(error) => {
                tracing::debug!(peer = %self.to, address = %self.address, %error, "peer did not answer");
                false
            }
        }
    }
}
