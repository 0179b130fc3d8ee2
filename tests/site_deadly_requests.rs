//! Requests that crash each instance that runs them, through real control instances and entries.

mod site_support;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use site_support::{Reply, Request, Site, Upstream, client, document, listed, proper, sse};
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::time::sleep;

const DEADLY: &str = "the deadly body";
/// Time for which a crashed instance is down.
const DOWN_TIME: Duration = Duration::from_millis(300);
/// Retries that may reach instances after the third crash and the time of connectivity.
const MAX_RETRIES: usize = 3;
/// The limit on the time until a quarantine is in force, which is the shortest time of connectivity
/// of a site.
const CONNECTIVITY_TIME: Duration = Duration::from_secs(3);

/// Instances of one service that crash when they run a deadly request, and come back.
#[derive(Default)]
struct Fleet {
    deadly_runs: Mutex<Vec<Instant>>,
    crashes: AtomicUsize,
}

fn is_deadly(request: &Request) -> bool {
    request.body == DEADLY.as_bytes()
}

fn answer_soundly(request: &Request) -> Vec<Reply> {
    match request.path.starts_with("/stream") {
        true => vec![Reply::Bytes(sse(request.id(), 1..=3, true, true))],
        false => proper(request),
    }
}

/// Runs an instance at an address; it is listed and keeps its identity.
fn run_instance(fleet: &Arc<Fleet>, address: SocketAddr) {
    let fleet = Arc::clone(fleet);
    tokio::spawn(async move {
        loop {
            let Ok(listener) = TcpListener::bind(address).await else {
                sleep(Duration::from_millis(10)).await;
                continue;
            };
            let crashed = Arc::new(Notify::new());
            let (crashing, runs) = (Arc::clone(&crashed), Arc::clone(&fleet));
            let upstream = Upstream::serving(listener, move |request: &Request| {
                if !is_deadly(request) {
                    return answer_soundly(request);
                }
                runs.deadly_runs.lock().unwrap().push(Instant::now());
                crashing.notify_one();
                vec![Reply::AwaitClose]
            });
            crashed.notified().await;
            // Others may be at work too.
            sleep(Duration::from_millis(20)).await;
            upstream.stop().await;
            fleet.crashes.fetch_add(1, Ordering::SeqCst);
            sleep(DOWN_TIME).await;
        }
    });
}

async fn start_fleet(site: &mut Site, service: &str, count: usize) -> Arc<Fleet> {
    let fleet = Arc::new(Fleet::default());
    for _ in 0..count {
        // Finds a free address, which the instance then takes.
        let unused = site.unlisted_upstream(proper).await;
        let entry = listed(service, &unused, "ready");
        let address = unused.address;
        unused.stop().await;
        run_instance(&fleet, address);
        site.list.lock().unwrap().push(entry);
    }
    fleet
}

async fn send(site: &Site, machine: u8, path: &str, key: &str, body: &str) -> (u16, String) {
    let id = format!("{:016x}", rand::random::<u64>());
    let sent = client()
        .post(format!("http://{}{path}", site.caller_address(machine)))
        .header("Host", "calls.example")
        .header("Authorization", format!("Bearer {key}"))
        .header("X-Lilacspindle-Request-Id", &id)
        .header("X-Lilacspindle-Deadline-Milliseconds", 3_000)
        .header("X-Lilacspindle-Model", "m")
        .header("X-Lilacspindle-Token-Usage", "100,10")
        .header("X-Lilacspindle-Prompt-Prefix", format!("{id}:100"))
        .body(body.to_owned());
    match sent.send().await {
        Ok(got) => (got.status().as_u16(), got.text().await.unwrap_or_default()),
        Err(error) => (0, error.to_string()),
    }
}

async fn two_entries(site: &mut Site) {
    site.start_control(1, true);
    site.start_entry(1);
    site.start_entry(2);
    assert_eq!(site.publish(1, &document(1)).await, 200);
    site.wait_ready(1).await;
    site.wait_ready(2).await;
}

async fn wait_until_served(site: &Site, path: &str) {
    let deadline = Instant::now() + site_support::READY_LIMIT;
    for machine in 1..=2 {
        while send(site, machine, path, "k1", "sound").await.0 != 200 {
            assert!(Instant::now() < deadline, "entry {machine} serves {path}");
            sleep(Duration::from_millis(20)).await;
        }
    }
}

/// Sends the deadly request to both entries in turn until it has crashed three instances.
async fn crash_three(site: &Site, fleet: &Fleet, path: &str) {
    let deadline = Instant::now() + site_support::READY_LIMIT;
    let mut sent = 0;
    while fleet.crashes.load(Ordering::SeqCst) < 3 {
        assert!(Instant::now() < deadline, "{path}: {sent} sent");
        send(site, 1 + sent % 2, path, "k1", DEADLY).await;
        sent += 1;
        sleep(Duration::from_millis(600)).await;
    }
}

/// Guards against a request that comes again and crashes instance after instance, at any entry, and
/// against sound ones that are refused beside it.
#[tokio::test]
async fn deadly_request_does_not_reach_further_instances() {
    for (service, prefix) in [("plain", "/once"), ("plain", "/safe"), ("model", "/stream")] {
        let mut site = Site::new(1).await;
        two_entries(&mut site).await;
        let fleet = start_fleet(&mut site, service, 4).await;
        let path = format!("{prefix}/x");
        wait_until_served(&site, &path).await;
        crash_three(&site, &fleet, &path).await;
        sleep(CONNECTIVITY_TIME).await;
        let runs_before = fleet.deadly_runs.lock().unwrap().len();
        let mut refused = Vec::new();
        for number in 0..12 {
            let machine = 1 + number % 2;
            refused.push(send(&site, machine, &path, "k1", DEADLY).await);
            // The same path with another body, and the same body of another workspace's caller.
            let sound = send(&site, machine, &path, "k1", "sound").await;
            assert_eq!(sound.0, 200, "{prefix}: {sound:?}");
            sleep(Duration::from_millis(200)).await;
        }
        let retries = fleet.deadly_runs.lock().unwrap().len() - runs_before;
        assert!(
            retries <= MAX_RETRIES,
            "{prefix}: {retries} retries, {refused:?}"
        );
        let is_final = |(status, body): &(u16, String)| *status == 500 && body.contains("not_run");
        assert!(refused[4..].iter().all(is_final), "{prefix}: {refused:?}");
    }
}
