//! Tests which control instance entries and sidecars call. The control instances are scripted.

mod site_support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use lilacspindle::call_handler;
use lilacspindle::domain::quarantine::{KnownParts, KnownRequests};
use lilacspindle::rpc::directory::{
    Directory, PermitReply, PermitRequest, PlaceReply, PlaceRequest, Published, ReportReply,
    ReportRequest, SyncReply, SyncRequest, TurnReply, TurnRequest,
};
use lilacspindle::rpc::{Packed, Service, Services, serve};
use tarpc::context::Context;
use tokio::net::TcpListener;
use tokio::time::sleep;

use site_support::{Site, Upstream, answer, document, wait_for};

/// A scripted control instance. One that is partitioned from the others answers, but confirms
/// nothing and knows no leader. One that is not names `leader` as the leader.
#[derive(Clone)]
struct ScriptedControl {
    partitioned: bool,
    leader: Option<SocketAddr>,
    answer_delay: Duration,
    syncs: Arc<AtomicU32>,
    reports: Arc<AtomicU32>,
}

impl Directory for ScriptedControl {
    async fn ping(self, _: Context) {}

    async fn sync(self, _: Context, request: SyncRequest) -> SyncReply {
        self.syncs.fetch_add(1, Ordering::SeqCst);
        sleep(self.answer_delay).await;
        let published = Published {
            version: 1,
            body: document(1).to_string().into_bytes().into(),
        };
        SyncReply {
            confirmed: !self.partitioned,
            keeps_log: true,
            document: (!self.partitioned && request.version == 0)
                .then(|| Packed::new(&published).unwrap()),
            evacuations: None,
            fleet: None,
            list_age_ms: None,
            entries: 1,
            leader: self.leader,
            parts: KnownParts::default(),
            requests: KnownRequests::default(),
        }
    }

    async fn place(self, _: Context, _: PlaceRequest) -> PlaceReply {
        PlaceReply::NotLeader
    }

    async fn permit(self, _: Context, _: PermitRequest) -> PermitReply {
        PermitReply::NotLeader
    }

    async fn turn(self, _: Context, _: TurnRequest) -> Option<TurnReply> {
        None
    }

    async fn report(self, _: Context, _: ReportRequest) -> ReportReply {
        self.reports.fetch_add(1, Ordering::SeqCst);
        ReportReply {
            leads: false,
            leader: self.leader,
            health_path: None,
        }
    }
}

async fn start(
    site: &Site,
    machine: u8,
    partitioned: bool,
    leader: Option<SocketAddr>,
) -> ScriptedControl {
    start_slow(
        site,
        machine,
        partitioned,
        leader,
        Duration::from_millis(100),
    )
    .await
}

async fn start_slow(
    site: &Site,
    machine: u8,
    partitioned: bool,
    leader: Option<SocketAddr>,
    answer_delay: Duration,
) -> ScriptedControl {
    let scripted = ScriptedControl {
        partitioned,
        leader,
        answer_delay,
        syncs: Arc::default(),
        reports: Arc::default(),
    };
    let listener = TcpListener::bind(site.rpc_address(machine)).await.unwrap();
    let mut services = Services::default();
    let handler = call_handler!(Service::Directory, scripted.clone());
    services.offer(Service::Directory, handler);
    tokio::spawn(serve(listener, services));
    scripted
}

/// Guards against an entry that keeps calling an instance which cannot confirm the document: it
/// then served an outdated document on 10 of the first 80 days of randomized faults.
#[tokio::test]
async fn entry_leaves_an_instance_that_cannot_confirm() {
    let mut site = Site::new(2).await;
    let partitioned = start(&site, 1, true, None).await;
    let _healthy = start(&site, 2, false, Some(site.rpc_address(1))).await;
    site.start_entry(1);
    site.wait_ready(1).await;
    // The healthy one always redirects it to the other one, which it has to leave repeatedly.
    let before = partitioned.syncs.load(Ordering::SeqCst);
    for _ in 0..20 {
        sleep(Duration::from_millis(250)).await;
        assert_eq!(site.readiness(1).await, Some(200));
    }
    assert!(partitioned.syncs.load(Ordering::SeqCst) > before);
}

/// Guards against a sidecar that keeps reporting to an instance that neither leads nor knows a
/// leader.
#[tokio::test]
async fn sidecar_leaves_an_instance_without_a_leader() {
    let mut site = Site::new(2).await;
    let partitioned = start(&site, 1, true, None).await;
    let healthy = start(&site, 2, false, Some(site.rpc_address(1))).await;
    let engine: Upstream = site
        .upstream("model", |_| {
            vec![site_support::Reply::Bytes(answer("200 OK", &[], b"{}"))]
        })
        .await;
    site.start_sidecar(&engine);
    let (to_partitioned, to_healthy) = (&partitioned.reports, &healthy.reports);
    wait_for("both instances received at least five reports", || async {
        to_healthy.load(Ordering::SeqCst) >= 5 && to_partitioned.load(Ordering::SeqCst) >= 5
    })
    .await;
}

/// Guards against an entry that queries control instances one after the other when it starts: after
/// a power failure several are still down or know no leader, and callers were rejected for 1 s.
#[tokio::test]
async fn starting_entry_queries_all_configured_instances_concurrently() {
    let mut site = Site::new(5).await;
    let mut partitioned = Vec::new();
    for machine in 1..=4 {
        partitioned.push(start(&site, machine, true, None).await);
    }
    // It answers only after all others have been queried.
    let _healthy = start_slow(&site, 5, false, None, Duration::from_millis(500)).await;
    site.start_entry(1);
    site.wait_ready(1).await;
    let queried = partitioned
        .iter()
        .filter(|s| s.syncs.load(Ordering::SeqCst) > 0);
    assert_eq!(queried.count(), 4);
}
