//! A fake sidecar served over TCP.

use std::net::SocketAddr;
use std::sync::Arc;

use lilacspindle::call_handler;
use lilacspindle::domain::members::{Member, Phase, Role, Serves, UpstreamInfo};
use lilacspindle::model::*;
use lilacspindle::rpc::sidecar::Sidecar;
use lilacspindle::rpc::{Service, Services, serve};
use tokio::net::TcpListener;
use tokio::runtime::Runtime;

use super::fake_sidecar::{FakeSidecar, FakeSidecarService};

/// A fake sidecar with its own runtime, so that it can be killed together with its connections.
pub struct RunningSidecar {
    pub fake: Arc<FakeSidecar>,
    pub address: SocketAddr,
    runtime: Option<Runtime>,
}

impl RunningSidecar {
    pub fn start(fake: FakeSidecar) -> Self {
        let fake = Arc::new(fake);
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .unwrap();
        let listener = std::thread::scope(|scope| {
            scope
                .spawn(|| runtime.block_on(TcpListener::bind("127.0.0.1:0")).unwrap())
                .join()
                .unwrap()
        });
        let address = listener.local_addr().unwrap();
        let mut services = Services::default();
        services.offer(
            Service::Sidecar,
            call_handler!(Service::Sidecar, FakeSidecarService(Arc::clone(&fake))),
        );
        runtime.spawn(serve(listener, services));
        Self {
            fake,
            address,
            runtime: Some(runtime),
        }
    }

    /// Stops the sidecar and closes its connections without notice.
    pub fn kill(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }

    /// Returns the sidecar's entry in the member list.
    pub fn member(&self) -> Member {
        let upstream = |name: UpstreamName, serves| UpstreamInfo {
            name,
            serves,
            versions: vec!["v1".to_owned()],
        };
        let service = UpstreamName::from(format!("{}-service", self.fake.me.name).as_str());
        Member {
            name: self.fake.me.name.clone(),
            incarnation: self.fake.me.incarnation,
            fence: Fence(1),
            roles: vec![Role::Sidecar],
            zone: "z1".into(),
            rpc_address: self.address,
            phase: Phase::Live,
            upstreams: vec![
                upstream(self.fake.upstream.clone(), Serves::Model("tutor".into())),
                upstream(service, Serves::Service("cards".into())),
            ],
        }
    }
}

impl Drop for RunningSidecar {
    fn drop(&mut self) {
        self.kill();
    }
}
