//! One of three replicas answers one in fifty requests with bytes that are no answer of a replica.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, header};
use crate::site::{Garble, Replica, ReplicaSpec, Site, cannot_run, configuration};

/// The longest `garble` of the small sites.
const WINDOW: Duration = Duration::from_millis(5_500);
const WINDOWS: u32 = 3;

pub fn run(trouble: bool) {
    let site = Arc::new(Site::new("foreign-bytes", 3, 2));
    let replicas: Vec<Arc<Replica>> = (0..3)
        .map(|number| {
            let spec = ReplicaSpec {
                identity: format!("i-desk{number}"),
                service: "desk".to_owned(),
                address: site.at(60 + number, 6),
                engine: false,
                work: Duration::from_millis(25),
                events: 0,
                idle_s: Some(1),
            };
            Replica::start(spec, &site.record, &site.runs)
        })
        .collect();
    *site.listed.lock().unwrap() = replicas.iter().map(|replica| replica.entry()).collect();
    site.start_all(true);
    let document = configuration(3, &[("desk", false)], &[("/card/", "unsafe", "desk", 1_500)]);
    if !site.publish(3, &document, Duration::from_secs(20)) {
        cannot_run("the configuration was not acknowledged");
    }
    site.wait_until_ready();

    let stop = Arc::new(AtomicBool::new(false));
    let wave = Instant::now();
    let counts: [Arc<AtomicU64>; 3] = Default::default();
    let clients: Vec<_> = (0..16_usize)
        .map(|client| {
            let (site, stop) = (Arc::clone(&site), Arc::clone(&stop));
            let [sealed, unsealed, failed] = counts.clone();
            thread::spawn(move || {
                let mut turn = client;
                while !stop.load(Ordering::Relaxed) {
                    let begun = Instant::now();
                    turn += 1;
                    let id = site.next_id("f");
                    let headers = site.caller_headers(&id, 1_500);
                    let entry = site.entries[turn % site.entries.len()];
                    let answer = http::once(entry, "POST", "/card/1", &headers, b"card", Duration::from_secs(3));
                    let has_seal = header(&answer.headers, "x-lilacspindle-response-seal").is_some();
                    let is_success = (200..300).contains(&answer.status);
                    if !is_success || !has_seal {
                        let text = String::from_utf8_lossy(&answer.body).into_owned();
                        site.record.line(format!("{id} at {entry}: {}, seal {has_seal}, whole {}, body {text:?}", answer.status, answer.whole));
                    }
                    match (is_success, has_seal) {
                        (true, true) => sealed.fetch_add(1, Ordering::Relaxed),
                        (true, false) => unsealed.fetch_add(1, Ordering::Relaxed),
                        _ => failed.fetch_add(1, Ordering::Relaxed),
                    };
                    thread::sleep(Duration::from_millis(60).saturating_sub(begun.elapsed()));
                    // The clients come in waves, so that connections to replicas become idle and are closed.
                    while wave.elapsed().as_millis() % 2_000 >= 1_200 && !stop.load(Ordering::Relaxed) {
                        thread::sleep(Duration::from_millis(10));
                    }
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(2));
    for _ in 0..WINDOWS {
        if trouble {
            replicas[0].garble(Garble::Foreign);
        }
        thread::sleep(WINDOW);
        replicas[0].garble(Garble::Nothing);
        thread::sleep(Duration::from_secs(1));
    }
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let [sealed, unsealed, failed] = counts.map(|count| count.load(Ordering::Relaxed));
    if sealed < 200 {
        cannot_run("too few requests were answered");
    }
    site.finish(
        unsealed > 0,
        &format!("MIXED {}: {unsealed} successes without a replica's seal, {sealed} with one, {failed} other answers",
            if unsealed > 0 { "broken" } else { "held" }),
    );
}
