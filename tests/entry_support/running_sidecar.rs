//! A fake sidecar that is served over TCP.

use std::net::SocketAddr;
use std::sync::Arc;

use lilacspindle::call_handler;
use lilacspindle::domain::members::{Member, Phase, Role, Serves, UpstreamInfo};
use lilacspindle::model::*;
use lilacspindle::rpc::sidecar::Sidecar;
use lilacspindle::rpc::{Service, Services, serve};
use tokio::net::TcpListener;
use tokio::runtime::Runtime;

use super::fake_sidecar::{Fake, FakeServer};

/// A fake sidecar with threads of its own, so that it can be killed with its connections.
pub struct RunningFake {
    pub fake: Arc<Fake>,
    pub address: SocketAddr,
    runtime: Option<Runtime>,
}

impl RunningFake {
    pub fn start(fake: Fake) -> Self {
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
            call_handler!(Service::Sidecar, FakeServer(Arc::clone(&fake))),
        );
        runtime.spawn(serve(listener, services));
        Self {
            fake,
            address,
            runtime: Some(runtime),
        }
    }

    pub fn kill(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }

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

impl Drop for RunningFake {
    fn drop(&mut self) {
        self.kill();
    }
}
