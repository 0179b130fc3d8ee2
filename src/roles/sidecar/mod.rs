//! The sidecar role: the only way to its upstreams.

use std::sync::Arc;

use crate::domain::members::UpstreamInfo;
use crate::roles::subscriber::Subscriber;
use crate::rpc::Services;
use crate::settings::SidecarSettings;

/// A running sidecar.
pub struct SidecarRole {
    subscriber: Arc<Subscriber>,
}

impl SidecarRole {
    /// Starts the sidecar's tasks.
    pub fn start(_settings: &SidecarSettings, subscriber: Arc<Subscriber>) -> Arc<Self> {
        Arc::new(Self { subscriber })
    }

    /// Adds the sidecar service to the listener of this process.
    pub fn offer(self: &Arc<Self>, _services: &mut Services) {}

    /// Returns what this sidecar registers of its upstreams.
    pub fn upstreams(&self) -> Vec<UpstreamInfo> {
        Vec::new()
    }

    /// Waits until no generation is left. New work is refused since the process is leaving.
    pub async fn drain(&self) {
        let _ = &self.subscriber;
    }
}
