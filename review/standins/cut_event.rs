//! One of three engines truncates one in fifty of its streams inside an event, with the regular end
//! of a chunked body.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use crate::http;
use crate::site::{Garble, Replica, ReplicaSpec, Site, cannot_run, configuration};

const EVENTS: u64 = 6;
/// The longest `garble` of the small sites.
const WINDOW: Duration = Duration::from_millis(5_500);
const WINDOWS: u32 = 2;

pub fn run(trouble: bool) {
    let site = Arc::new(Site::new("cut-event", 3, 2));
    let engines: Vec<Arc<Replica>> = (0..3)
        .map(|number| {
            let spec = ReplicaSpec {
                identity: format!("i-alpha{number}"),
                service: "alpha".to_owned(),
                address: site.at(60 + number, 6),
                engine: true,
                work: Duration::from_millis(30),
                events: EVENTS,
                idle_s: None,
            };
            Replica::start(spec, &site.record, &site.runs)
        })
        .collect();
    *site.listed.lock().unwrap() = engines.iter().map(|engine| engine.entry()).collect();
    site.start_all(true);
    for (number, engine) in engines.iter().enumerate() {
        site.start_sidecar(number, engine.spec.address, "alpha");
    }
    let document = configuration(3, &[("alpha", true)], &[("/alpha/", "streaming", "alpha", 6_000)]);
    if !site.publish(3, &document, Duration::from_secs(20)) {
        cannot_run("the configuration was not acknowledged");
    }
    site.wait_until_ready();
    thread::sleep(Duration::from_secs(1));

    let stop = Arc::new(AtomicBool::new(false));
    let counts: [Arc<AtomicU64>; 2] = [Arc::default(), Arc::default()];
    let clients: Vec<_> = (0..12_usize)
        .map(|client| {
            let (site, stop) = (Arc::clone(&site), Arc::clone(&stop));
            let [whole, cut] = counts.clone();
            thread::spawn(move || {
                let mut turn = client;
                while !stop.load(Ordering::Relaxed) {
                    turn += 1;
                    let id = site.next_id("c");
                    let mut headers = site.caller_headers(&id, 6_000);
                    headers.push(("X-Lilacspindle-Model", "m".to_owned()));
                    headers.push(("X-Lilacspindle-Token-Usage", "200,24".to_owned()));
                    headers.push(("X-Lilacspindle-Prompt-Prefix", format!("5c1e07a2:150,{turn:08x}:50")));
                    let entry = site.entries[turn % site.entries.len()];
                    let answer = http::once(entry, "POST", "/alpha/1", &headers, b"prompt", Duration::from_secs(7));
                    let text = String::from_utf8_lossy(&answer.body).into_owned();
                    let has_last = text.contains(&format!("id: {EVENTS}\ndata: piece {EVENTS} of {EVENTS} of {id}\n\n"));
                    let looks_complete = answer.status == 200 && answer.whole;
                    if !(looks_complete && has_last) {
                        site.record.line(format!(
                            "{id} at {entry}: {}, looks complete {looks_complete}, has its last piece {has_last}, ends with {:?} {}",
                            answer.status, &text[text.len().saturating_sub(24)..], answer.error
                        ));
                    }
                    whole.fetch_add(u64::from(looks_complete && has_last), Ordering::Relaxed);
                    cut.fetch_add(u64::from(looks_complete && !has_last), Ordering::Relaxed);
                }
            })
        })
        .collect();
    for _ in 0..WINDOWS {
        if trouble {
            engines[0].garble(Garble::CutEvent);
        }
        thread::sleep(WINDOW);
        engines[0].garble(Garble::Nothing);
        thread::sleep(Duration::from_secs(1));
    }
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let [whole, cut] = counts.map(|count| count.load(Ordering::Relaxed));
    if whole < 100 {
        cannot_run("too few streams were served");
    }
    site.finish(
        cut > 0,
        &format!("ORDER {}: {cut} streams ended as complete before their last piece, {whole} were whole",
            if cut > 0 { "broken" } else { "held" }),
    );
}
