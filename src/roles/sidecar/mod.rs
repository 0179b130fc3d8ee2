//! The sidecar role: queues, runs and forwards all requests to its upstreams.

mod call;
mod core;
mod drive;
mod metrics;
mod observe;
mod orders;
mod poll;
mod run;
mod service;
mod start;
mod upstream;

use std::sync::Arc;

use crate::call_handler;
use crate::domain::members::UpstreamInfo;
use crate::roles::subscriber::Subscriber;
use crate::rpc::sidecar::Sidecar;
use crate::rpc::{Service, Services};
use crate::settings::SidecarSettings;

use self::core::Core;
use self::service::SidecarService;

pub use self::orders::{Permits, VersionLoad};

/// A running sidecar.
pub struct SidecarRole {
    core: Arc<Core>,
}

impl SidecarRole {
    /// Starts the sidecar's background tasks. Loads from the weight store need no permit.
    pub fn start(settings: &SidecarSettings, subscriber: Arc<Subscriber>) -> Arc<Self> {
        Self::with_permits(settings, subscriber, Permits::unlimited())
    }

    /// Starts the sidecar's background tasks. Each load from the weight store needs a permit.
    pub fn with_permits(
        settings: &SidecarSettings,
        subscriber: Arc<Subscriber>,
        permits: Permits,
    ) -> Arc<Self> {
        let core = Core::new(settings, subscriber, permits);
        tokio::spawn(Arc::clone(&core).expire());
        tokio::spawn(Arc::clone(&core).observe_upstreams());
        Arc::new(Self { core })
    }

    /// Adds the sidecar's RPC service to the listener of this process.
    pub fn offer(self: &Arc<Self>, services: &mut Services) {
        let server = SidecarService {
            core: Arc::clone(&self.core),
        };
        services.offer(Service::Sidecar, call_handler!(Service::Sidecar, server));
    }

    /// Returns the upstreams and their loaded versions, as this sidecar registers them at control.
    pub fn upstreams(&self) -> Vec<UpstreamInfo> {
        self.core.upstream_infos()
    }

    /// Waits until no generation or call is open, or `drain_limit_ms` has passed. The process must
    /// already be marked as leaving, so that new work is refused.
    pub async fn drain(&self) {
        self.core.drain().await;
    }
}
