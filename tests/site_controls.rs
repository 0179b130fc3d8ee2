//! Which control instance entries and sidecars call, against directories that are scripted here.

mod site_support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use lilacspindle::call_handler;
use lilacspindle::rpc::directory::{
    Directory, PlaceReply, PlaceRequest, Published, ReportReply, ReportRequest, SyncReply,
    SyncRequest, TurnReply, TurnRequest,
};
use lilacspindle::rpc::{Packed, Service, Services, serve};
use tarpc::context::Context;
use tokio::net::TcpListener;
use tokio::time::sleep;

use site_support::{Site, Upstream, answer, document, wait_for};

/// A control instance. One that is cut off from the others answers, but confirms nothing and knows
/// no leader; the other one believes that the first one leads.
#[derive(Clone)]
struct Scripted {
    cut_off: bool,
    leader: Option<SocketAddr>,
    answer_after: Duration,
    syncs: Arc<AtomicU32>,
    reports: Arc<AtomicU32>,
}

impl Directory for Scripted {
    async fn ping(self, _: Context) {}

    async fn sync(self, _: Context, request: SyncRequest) -> SyncReply {
        self.syncs.fetch_add(1, Ordering::SeqCst);
        sleep(self.answer_after).await;
        let published = Published {
            version: 1,
            body: document(1).to_string().into_bytes().into(),
        };
        SyncReply {
            confirmed: !self.cut_off,
            keeps_log: true,
            document: (!self.cut_off && request.version == 0)
                .then(|| Packed::new(&published).unwrap()),
            fleet: None,
            list_age_ms: None,
            entries: 1,
            leader: self.leader,
        }
    }

    async fn place(self, _: Context, _: PlaceRequest) -> PlaceReply {
        PlaceReply::NotLeader
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

async fn start(site: &Site, machine: u8, cut_off: bool, leader: Option<SocketAddr>) -> Scripted {
    start_slow(site, machine, cut_off, leader, Duration::from_millis(100)).await
}

async fn start_slow(
    site: &Site,
    machine: u8,
    cut_off: bool,
    leader: Option<SocketAddr>,
    answer_after: Duration,
) -> Scripted {
    let scripted = Scripted {
        cut_off,
        leader,
        answer_after,
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

/// Guards against an entry that stays with an instance which cannot confirm the document: on ten of
/// the first 80 hunted days it served an old document.
#[tokio::test]
async fn entry_leaves_an_instance_that_confirms_nothing() {
    let mut site = Site::new(2).await;
    let cut_off = start(&site, 1, true, None).await;
    let _sound = start(&site, 2, false, Some(site.rpc_address(1))).await;
    site.start_entry(1);
    site.wait_ready(1).await;
    // The sound one always sends it back, so that it has to leave the other one again and again.
    let before = cut_off.syncs.load(Ordering::SeqCst);
    for _ in 0..20 {
        sleep(Duration::from_millis(250)).await;
        assert_eq!(site.readiness(1).await, Some(200));
    }
    assert!(cut_off.syncs.load(Ordering::SeqCst) > before);
}

/// Guards against a sidecar whose reports go to an instance that neither leads nor knows a leader.
#[tokio::test]
async fn sidecar_leaves_an_instance_without_a_leader() {
    let mut site = Site::new(2).await;
    let cut_off = start(&site, 1, true, None).await;
    let sound = start(&site, 2, false, Some(site.rpc_address(1))).await;
    let engine: Upstream = site
        .upstream("model", |_| {
            vec![site_support::Reply::Bytes(answer("200 OK", &[], b"{}"))]
        })
        .await;
    site.start_sidecar(&engine);
    let (to_cut_off, to_sound) = (&cut_off.reports, &sound.reports);
    wait_for("reports reach both, several times", || async {
        to_sound.load(Ordering::SeqCst) >= 5 && to_cut_off.load(Ordering::SeqCst) >= 5
    })
    .await;
}

/// Guards against an entry that asks control instances one after the other when it starts: after a
/// loss of power several are not up yet or know no leader, and callers were refused for a second.
#[tokio::test]
async fn starting_entry_asks_all_named_instances_at_once() {
    let mut site = Site::new(5).await;
    let mut unsound = Vec::new();
    for machine in 1..=4 {
        unsound.push(start(&site, machine, true, None).await);
    }
    // It answers only after the others have surely been asked.
    let _sound = start_slow(&site, 5, false, None, Duration::from_millis(500)).await;
    site.start_entry(1);
    site.wait_ready(1).await;
    let asked = unsound
        .iter()
        .filter(|s| s.syncs.load(Ordering::SeqCst) > 0);
    assert_eq!(asked.count(), 4);
}
