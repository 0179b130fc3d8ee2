//! Probes the upstreams and reports their loaded versions to control.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;

use super::core::Core;
use super::orders::PendingOrder;
use super::upstream::Upstream;
use crate::adapters::clock::unix_ms;
use crate::domain::members::{Serves, UpstreamInfo};
use crate::domain::state::Command;
use crate::settings::UpstreamKind;

/// Interval between probes of an upstream, and between checks of the member list.
const OBSERVE_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of one report to control.
const REPORT_TIMEOUT: Duration = Duration::from_secs(2);

impl Core {
    /// Returns the upstreams and their loaded versions, as this sidecar registers them at control.
    pub(super) fn upstream_infos(&self) -> Vec<UpstreamInfo> {
        let info = |upstream: &Arc<Upstream>| UpstreamInfo {
            name: upstream.settings.name.clone(),
            serves: match &upstream.settings.kind {
                UpstreamKind::Model(name) => Serves::Model(name.clone()),
                UpstreamKind::Service(name) => Serves::Service(name.clone()),
            },
            versions: upstream.versions(),
        };
        self.upstreams.values().map(info).collect()
    }

    /// Starts the tasks that probe the upstreams, and keeps the member list at control up to date
    /// with the loaded versions. Does not return.
    pub(super) async fn observe_upstreams(self: Arc<Self>) {
        for upstream in self.upstreams.values() {
            match upstream.model() {
                Some(_) => {
                    tokio::spawn(Arc::clone(&self).observe_engine(Arc::clone(upstream)));
                    tokio::spawn(Arc::clone(&self).dispatch_queued(Arc::clone(upstream)));
                }
                None => {
                    tokio::spawn(observe_service(Arc::clone(upstream)));
                }
            }
        }
        for sequence in 1.. {
            sleep(OBSERVE_INTERVAL).await;
            self.report_upstreams(sequence).await;
        }
    }

    /// Reports the loaded versions to control if the member list differs from them.
    async fn report_upstreams(&self, sequence: u64) {
        let me = self.subscriber.me();
        let upstreams = self.upstream_infos();
        let view = self.subscriber.view();
        let differs = view.members.members.get(&me.name).is_some_and(|member| {
            member.incarnation == me.incarnation && member.upstreams != upstreams
        });
        if !differs {
            return;
        }
        let command = Command::SetUpstreams {
            instance: me.clone(),
            sequence,
            upstreams,
            now_ms: unix_ms(),
        };
        if let Err(error) = self.subscriber.submit(&command, REPORT_TIMEOUT).await {
            tracing::warn!(%error, "failed to report the loaded versions to control; retrying");
        }
    }

    /// Probes an engine, records its loaded versions and sends it load orders. Does not return.
    async fn observe_engine(self: Arc<Self>, upstream: Arc<Upstream>) {
        let Some(model) = upstream.model() else {
            return;
        };
        let mut pending = PendingOrder::default();
        loop {
            match upstream.engine.versions(model).await {
                Ok(versions) => {
                    upstream.record_success();
                    upstream.set_versions(versions.clone());
                    self.order_load(&upstream, &versions, &mut pending).await;
                }
                Err(error) => {
                    upstream.record_failure(&error);
                    tracing::debug!(
                        upstream = %upstream.settings.name, %error,
                        "failed to read the loaded versions from the engine"
                    );
                }
            }
            sleep(OBSERVE_INTERVAL).await;
        }
    }
}

/// Probes a service while it is unhealthy, so that it becomes healthy again once it is reachable.
/// Does not return.
async fn observe_service(upstream: Arc<Upstream>) {
    loop {
        sleep(OBSERVE_INTERVAL).await;
        if !upstream.healthy() && upstream.service.reachable().await {
            upstream.record_success();
        }
    }
}
