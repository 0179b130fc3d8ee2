//! Distribution of the view under faults: lagging relays, silent connections and loss of control.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use lilacspindle::adapters::clock::monotonic_ms;
use lilacspindle::bench::distribution::fleet::{
    DaemonSpec, Process, edit, instance_ref, start_control, start_daemon, wait_for_version,
    workspace_change,
};
use lilacspindle::domain::members::Role;
use lilacspindle::domain::state::View;
use lilacspindle::model::{RefusalCode, TableVersion};
use lilacspindle::roles::control::RelayService;
use lilacspindle::roles::subscriber::{Subscriber, SubscriberSettings, ViewStore, Watchers};
use lilacspindle::rpc::{Services, Stamp, serve};
use lilacspindle::settings::StalePolicy;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep, timeout};

const WAIT_LIMIT: Duration = Duration::from_secs(20);

/// Starts a relay whose view stays as given and was last confirmed `age_ms` ago.
async fn lagging_relay(view: View, age_ms: u64) -> (SocketAddr, Arc<ViewStore>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let store = Arc::new(ViewStore::default());
    store.replace(view);
    store.confirm(monotonic_ms().saturating_sub(age_ms));
    let relay = idle_subscriber("relay", 1, vec![address], 12_000, &store);
    let mut services = Services::default();
    RelayService::offer(relay, &mut services);
    tokio::spawn(serve(listener, services));
    (address, store)
}

/// Returns a subscriber that does not follow any source until it is run.
fn idle_subscriber(
    name: &str,
    incarnation: u64,
    control_addresses: Vec<SocketAddr>,
    stale_limit_ms: u64,
    store: &Arc<ViewStore>,
) -> Arc<Subscriber> {
    let settings = SubscriberSettings {
        me: instance_ref(name, incarnation),
        control_addresses,
        stale_policy: StalePolicy::Refuse,
        stale_limit_ms,
    };
    Subscriber::new(settings, Arc::clone(store), Watchers::default())
}

fn start_subscriber(name: &str, control: Vec<SocketAddr>, stale_limit_ms: u64) -> Arc<Subscriber> {
    let subscriber = idle_subscriber(name, 0, control, stale_limit_ms, &Arc::default());
    tokio::spawn(Arc::clone(&subscriber).run());
    subscriber
}

/// Accepts connections and reads from them, but never answers.
async fn silent_listener() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut buffer = [0; 1_024];
                while stream
                    .read(&mut buffer)
                    .await
                    .is_ok_and(|length| length > 0)
                {}
            });
        }
    });
    address
}

async fn ready_within(subscriber: &Subscriber, limit: Duration) -> bool {
    let ready = async {
        while !subscriber.is_ready() {
            sleep(Duration::from_millis(10)).await;
        }
    };
    timeout(limit, ready).await.is_ok()
}

async fn control_with_rows(rows: u32) -> (Process, TableVersion) {
    let control = start_control(32).await.unwrap();
    let changes = (0..rows)
        .map(|number| workspace_change(&format!("w{number}"), None, 1))
        .collect();
    let version = edit(&control, "rows", changes).await.unwrap();
    (control, version)
}

/// Guards against a restarted process that does new work under the old view of a lagging relay
/// although its previous run had applied a newer one.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn restarted_process_does_no_work_under_the_old_view_of_a_lagging_relay() {
    let (control, _) = control_with_rows(1).await;
    let old_view = (*control.subscriber.view()).clone();
    let (relay, _store) = lagging_relay(old_view.clone(), 2_000).await;
    let newer = edit(&control, "newer", vec![workspace_change("w0", None, 9)])
        .await
        .unwrap();
    let former = start_subscriber("d", vec![control.address], 12_000);
    assert!(ready_within(&former, WAIT_LIMIT).await);
    assert!(former.current().await.unwrap().version >= newer);
    drop(former);

    let restarted = start_subscriber("d", vec![relay], 12_000);
    let mut versions = restarted.store().versions();
    let seen = versions.wait_for(|version| *version >= old_view.version);
    assert!(
        timeout(WAIT_LIMIT, seen).await.is_ok(),
        "the relay's view arrives"
    );
    let refusal = restarted.current().await.unwrap_err();
    assert_eq!(refusal.code, RefusalCode::StaleTable);
}

/// Guards against a process that returns to an older version when it switches to a lagging source.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn applied_version_never_decreases() {
    let (control, old) = control_with_rows(1).await;
    let (relay, store) = lagging_relay((*control.subscriber.view()).clone(), 0).await;
    let keep_confirmed = tokio::spawn(async move {
        loop {
            store.confirm(monotonic_ms());
            sleep(Duration::from_millis(100)).await;
        }
    });
    let newer = edit(&control, "newer", vec![workspace_change("w0", None, 9)])
        .await
        .unwrap();
    let subscriber = start_subscriber("d", vec![control.address, relay], 12_000);
    assert!(ready_within(&subscriber, WAIT_LIMIT).await);
    // Watchers leave a source that is leaving immediately, even if the connection stays open.
    control.subscriber.set_leaving();
    control.stop();
    let mut highest = TableVersion::default();
    let end = Instant::now() + Duration::from_secs(6);
    while Instant::now() < end {
        let version = subscriber.view().version;
        assert!(version >= highest, "{version} after {highest}");
        highest = version;
        sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(highest, newer);
    assert!(old < newer);
    keep_confirmed.abort();
}

/// Guards against new work under a version older than the one in the stamp of a peer's message.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn newer_stamp_blocks_new_work_until_the_version_arrives() {
    let (control, version) = control_with_rows(1).await;
    let subscriber = start_subscriber("d", vec![control.address], 12_000);
    assert!(ready_within(&subscriber, WAIT_LIMIT).await);
    subscriber.observe(&Stamp {
        sender: instance_ref("peer", 1),
        table_version: TableVersion(version.0 + 1),
        leaving: false,
    });
    let refusal = subscriber.current().await.unwrap_err();
    assert_eq!(refusal.code, RefusalCode::StaleTable);
    edit(&control, "next", vec![workspace_change("w0", None, 2)])
        .await
        .unwrap();
    assert!(subscriber.current().await.is_ok());
}

/// Guards against a process that is sometimes ready because of a confirmation from one millisecond
/// before its start.
#[test]
fn confirmation_before_the_start_does_not_make_a_process_ready() {
    for _ in 0..50 {
        let store = Arc::new(ViewStore::default());
        let confirmed_ms = monotonic_ms();
        store.confirm(confirmed_ms);
        while monotonic_ms() == confirmed_ms {}
        let subscriber = idle_subscriber("d", 0, Vec::new(), 12_000, &store);
        let end_ms = monotonic_ms() + 10;
        while monotonic_ms() < end_ms {
            assert!(!subscriber.is_ready());
        }
    }
}

/// Guards against new work after the stale limit, and against a process that does not recover once
/// its view is confirmed again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn work_is_refused_after_the_stale_limit_until_the_view_is_confirmed() {
    // The limit is shortened from 12 s to keep the test short.
    let limit_ms = 3_000;
    let (control, _) = control_with_rows(1).await;
    let (address, store) = lagging_relay((*control.subscriber.view()).clone(), 0).await;
    let subscriber = start_subscriber("d", vec![address], limit_ms);
    // The subscriber dates a confirmation earlier by the travel time of a message, so the first one
    // may fall before its start.
    let end = Instant::now() + WAIT_LIMIT;
    while !subscriber.is_ready() {
        assert!(Instant::now() < end, "not ready");
        store.confirm(monotonic_ms());
        sleep(Duration::from_millis(20)).await;
    }
    let mut age_ms = 0;
    while age_ms <= limit_ms {
        let current = subscriber.current().await;
        age_ms = subscriber.store().confirmed_age_ms().unwrap();
        assert!(
            current.is_ok() || age_ms > limit_ms,
            "refused at {age_ms} ms: {current:?}"
        );
        sleep(Duration::from_millis(50)).await;
    }
    let refusal = subscriber.current().await.unwrap_err();
    assert_eq!(refusal.code, RefusalCode::StaleTable);
    let end = Instant::now() + WAIT_LIMIT;
    while subscriber.current().await.is_err() {
        assert!(Instant::now() < end, "not recovered");
        store.confirm(monotonic_ms());
        sleep(Duration::from_millis(50)).await;
    }
}

/// Guards against a subscriber that waits forever on a silent connection. Heartbeats detect the
/// silence within 2.5 s; the bound is half of the 12 s after which work is refused.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn subscriber_leaves_a_silent_source() {
    let (control, version) = control_with_rows(1).await;
    let silent = silent_listener().await;
    let subscriber = start_subscriber("d", vec![silent, control.address], 12_000);
    let mut versions = subscriber.store().versions();
    let seen = versions.wait_for(|applied| *applied >= version);
    let limit = Duration::from_secs(6);
    assert!(
        timeout(limit, seen).await.is_ok(),
        "still at the silent source"
    );
}

/// Guards against a process that never catches up because it is too far behind for deltas, or
/// because the pieces of its snapshot become outdated while versions follow each other quickly.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn process_far_behind_gets_a_snapshot_in_pieces() {
    let (control, _) = control_with_rows(20_000).await;
    let addresses = [control.address];
    let [one, two] = ["d1", "d2"].map(|name| DaemonSpec::new(name, 1, Role::Sidecar));
    let first = start_daemon(&one, &addresses).await.unwrap();
    let editing = async {
        for number in 0..20 {
            let change = workspace_change("w1", None, 100 + number);
            edit(&control, &format!("edit-{number}"), vec![change])
                .await
                .unwrap();
            sleep(Duration::from_millis(5)).await;
        }
    };
    let second = async { start_daemon(&two, &addresses).await.unwrap() };
    let ((), second) = tokio::join!(editing, second);
    let version = control.subscriber.store().version();
    for process in [&first, &second] {
        assert!(wait_for_version(process, version, WAIT_LIMIT).await);
        assert_eq!(*process.subscriber.view(), *control.subscriber.view());
    }
}
