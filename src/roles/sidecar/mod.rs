//! The sidecar role: the only way to its upstreams.

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

pub use self::orders::{Load, Permits};

/// A running sidecar.
pub struct SidecarRole {
    core: Arc<Core>,
}

impl SidecarRole {
    /// Starts the sidecar's tasks.
    pub fn start(settings: &SidecarSettings, subscriber: Arc<Subscriber>) -> Arc<Self> {
        Self::with_permits(settings, subscriber, Permits::unlimited())
    }

    /// Starts the sidecar's tasks; loads from the weight store need a permit.
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

    /// Adds the sidecar service to the listener of this process.
    pub fn offer(self: &Arc<Self>, services: &mut Services) {
        let server = SidecarService {
            core: Arc::clone(&self.core),
        };
        services.offer(Service::Sidecar, call_handler!(Service::Sidecar, server));
    }

    /// Returns what this sidecar registers of its upstreams.
    pub fn upstreams(&self) -> Vec<UpstreamInfo> {
        self.core.upstream_infos()
    }

    /// Waits until no generation is left. New work is refused since the process is leaving.
    pub async fn drain(&self) {
        self.core.drain().await;
    }
}
