//! Probes of sidecars whose load report is missing or old.

use std::sync::{Arc, Weak};
use std::time::Duration;

use tokio::time::sleep;

use super::core::Entry;
use super::fleet::Peer;
use crate::rpc::sidecar::ProbeRequest;

/// Interval at which the ages of the load reports are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Timeout of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// Probes sidecars until the entry is dropped.
pub(super) async fn probe_sidecars(entry: Weak<Entry>) {
    loop {
        let Some(entry) = entry.upgrade() else {
            return;
        };
        // Connects to new members before the first request needs the connection.
        entry.fleet.refresh(&entry.subscriber.view());
        for peer in entry.fleet.peers() {
            let registered = entry.fleet.registered(&peer.instance.name);
            let is_current = registered.is_some_and(|(instance, _)| instance == peer.instance);
            if is_current && peer.load().begin_probe() {
                tokio::spawn(probe(Arc::clone(&entry), peer));
            }
        }
        drop(entry);
        sleep(CHECK_INTERVAL).await;
    }
}

async fn probe(entry: Arc<Entry>, peer: Arc<Peer>) {
    let request = ProbeRequest {
        stamp: entry.subscriber.stamp(),
        sender: entry.subscriber.me().clone(),
    };
    let answer = peer
        .calls
        .call(PROBE_TIMEOUT, |client, context| async move {
            client.probe(context, request).await
        })
        .await;
    match answer {
        Ok(reply) if reply.stamp.sender == peer.instance => {
            entry.fleet.record_reply(&peer, &reply.stamp, &reply.load);
        }
        Ok(_) => peer.load().mark_unreachable(),
        Err(error) => {
            tracing::debug!(sidecar = %peer.instance.name, %error, "probe of sidecar failed");
            peer.load().mark_unreachable();
        }
    }
    peer.load().end_probe();
}
