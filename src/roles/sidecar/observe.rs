//! Looks at what upstreams have loaded and keeps the member list in line with it.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;

use super::core::Core;
use super::orders::InFlight;
use super::upstream::Upstream;
use crate::adapters::clock::unix_ms;
use crate::domain::members::{Serves, UpstreamInfo};
use crate::domain::state::Command;
use crate::settings::UpstreamKind;

/// Time between looks at each engine.
const OBSERVE_INTERVAL: Duration = Duration::from_millis(500);
/// Limit of one report to control.
const REPORT_LIMIT: Duration = Duration::from_secs(2);

impl Core {
    /// Returns what this sidecar registers of its upstreams.
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

    /// Keeps the versions of all engines current, here and at control. Does not return.
    pub(super) async fn observe_upstreams(self: Arc<Self>) {
        for upstream in self.upstreams.values() {
            match upstream.model() {
                Some(_) => {
                    tokio::spawn(Arc::clone(&self).observe_engine(Arc::clone(upstream)));
                    tokio::spawn(Arc::clone(&self).drive_queue(Arc::clone(upstream)));
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

    /// Tells control what the upstreams have loaded if the member list says otherwise.
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
        if let Err(error) = self.subscriber.submit(&command, REPORT_LIMIT).await {
            tracing::warn!(%error, "control does not know the loaded versions yet");
        }
    }

    /// Probes an engine, notes what it has loaded and gives it orders. Does not return.
    async fn observe_engine(self: Arc<Self>, upstream: Arc<Upstream>) {
        let Some(model) = upstream.model() else {
            return;
        };
        let mut in_flight = InFlight::default();
        loop {
            match upstream.engine.versions(model).await {
                Ok(versions) => {
                    upstream.succeeded();
                    upstream.set_versions(versions.clone());
                    self.order(&upstream, &versions, &mut in_flight).await;
                }
                Err(error) => {
                    upstream.failed(&error);
                    tracing::debug!(
                        upstream = %upstream.settings.name, %error, "engine does not answer"
                    );
                }
            }
            sleep(OBSERVE_INTERVAL).await;
        }
    }
}

/// Probes a service that failed, so that calls come back to it. Does not return.
async fn observe_service(upstream: Arc<Upstream>) {
    loop {
        sleep(OBSERVE_INTERVAL).await;
        if !upstream.healthy() && upstream.service.reachable().await {
            upstream.succeeded();
        }
    }
}
