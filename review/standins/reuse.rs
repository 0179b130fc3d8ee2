//! The address of an engine that is gone goes to a replica of another service, which has engines too.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use crate::http::{self, header};
use crate::site::{Replica, ReplicaSpec, Site, cannot_run, configuration};

/// Engines of the service; one of them is a share of 0.143.
const ALPHAS: usize = 7;
const CLIENTS: usize = 45;
/// `reuseAfterS` is 2.
const REUSE_AFTER: Duration = Duration::from_millis(2_500);
/// `maxLagMs` of the platform's list is 800.
const LIST_LAG: Duration = Duration::from_millis(700);

pub fn run(trouble: bool) {
    let site = Arc::new(Site::new("reuse", 3, 2));
    let engine = |identity: &str, service: &str, machine| {
        let spec = ReplicaSpec {
            identity: identity.to_owned(),
            service: service.to_owned(),
            address: site.at(machine, 6),
            engine: true,
            // A prompt of 2,200 tokens, of which an engine reads 14 in a millisecond.
            work: Duration::from_millis(160),
            events: 3,
            idle_s: None,
        };
        Replica::start(spec, &site.record, &site.runs)
    };
    let alphas: Vec<_> = (0..ALPHAS).map(|number| engine(&format!("i-alpha{number}"), "alpha", 60 + number)).collect();
    let b1 = engine("i-beta1", "beta", 60 + ALPHAS);
    let list = |replicas: &[&Arc<Replica>]| {
        *site.listed.lock().unwrap() = replicas.iter().map(|replica| replica.entry()).collect();
        let names: Vec<&str> = replicas.iter().map(|replica| &*replica.spec.identity).collect();
        site.record.line(format!("the list shows {}", names.join(", ")));
    };
    let (a0, others) = alphas.split_first().unwrap();
    let mut stable: Vec<&Arc<Replica>> = others.iter().collect();
    stable.push(&b1);
    list(&[stable.clone(), vec![a0]].concat());
    site.start_all(true);
    for (number, engine) in alphas.iter().chain([&b1]).enumerate() {
        site.start_sidecar(number, engine.spec.address, &engine.spec.service);
    }
    let document = configuration(
        3,
        &[("alpha", true), ("beta", true)],
        &[("/alpha/", "streaming", "alpha", 6_000), ("/beta/", "streaming", "beta", 6_000)],
    );
    if !site.publish(3, &document, Duration::from_secs(20)) {
        cannot_run("the configuration was not acknowledged");
    }
    site.wait_until_ready();

    let stop = Arc::new(AtomicBool::new(false));
    let (sent, served) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (site, stop) = (Arc::clone(&site), Arc::clone(&stop));
            let (sent, served) = (Arc::clone(&sent), Arc::clone(&served));
            thread::spawn(move || {
                let mut turn = client;
                while !stop.load(Ordering::Relaxed) {
                    turn += 1;
                    let path = if client == 0 { "/beta/1" } else { "/alpha/1" };
                    let id = site.next_id("r");
                    let mut headers = site.caller_headers(&id, 6_000);
                    headers.push(("X-Lilacspindle-Model", "m".to_owned()));
                    headers.push(("X-Lilacspindle-Token-Usage", "2200,12".to_owned()));
                    headers.push(("X-Lilacspindle-Prompt-Prefix", format!("5c1e07a2:350,{turn:08x}:1850")));
                    let entry = site.entries[turn % site.entries.len()];
                    let answer = http::once(entry, "POST", path, &headers, b"prompt", Duration::from_secs(7));
                    sent.fetch_add(1, Ordering::Relaxed);
                    served.fetch_add(u64::from(answer.status == 200 && answer.whole), Ordering::Relaxed);
                    let seal = header(&answer.headers, "x-lilacspindle-response-seal").unwrap_or("-");
                    site.record.line(format!("{id} {path} at {entry}: {} whole {} seal {seal} {}", answer.status, answer.whole, answer.error));
                    // A client that is refused waits as it is told.
                    let told_s = header(&answer.headers, "retry-after").and_then(|text| text.parse::<f64>().ok());
                    thread::sleep(Duration::from_millis(50).max(Duration::from_secs_f64(told_s.unwrap_or(0.0).clamp(0.0, 2.0))));
                }
            })
        })
        .collect();

    thread::sleep(Duration::from_secs(4));
    a0.crash();
    thread::sleep(REUSE_AFTER);
    if trouble {
        let b2 = engine("i-beta2", "beta", 60);
        // The settings of the machine change with it.
        let (name, _) = site.sidecar_settings(0, b2.spec.address, "beta");
        site.signal(&name, "HUP");
        thread::sleep(LIST_LAG);
        list(&[stable.clone(), vec![&b2]].concat());
    } else {
        thread::sleep(LIST_LAG);
        list(&stable);
    }
    thread::sleep(Duration::from_secs(5));
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let runs = site.runs.lock().unwrap().clone();
    let foreign: Vec<_> = runs.iter().filter(|run| !run.path.starts_with(&format!("/{}/", run.service))).collect();
    for run in &foreign {
        site.record.line(format!("foreign: {} {} was run by {} of {}", run.request, run.path, run.replica, run.service));
    }
    let (sent, served) = (sent.load(Ordering::Relaxed), served.load(Ordering::Relaxed));
    if served < 200 {
        cannot_run("too few requests were served");
    }
    let broken = !foreign.is_empty();
    site.finish(
        broken,
        &format!(
            "ROUTE {}: {} of {} runs were of requests that no configuration allows at that service; {served} of {sent} requests served",
            if broken { "broken" } else { "held" }, foreign.len(), runs.len()
        ),
    );
}
