//! One entry of the platform's list has text that cannot be read. Then all processes are killed
//! right after a configuration was acknowledged, and start again.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::site::{Replica, ReplicaSpec, Site, cannot_run, configuration};

const RECOVERY: Duration = Duration::from_secs(12);

/// Counts of requests by the time at which they were sent.
#[derive(Default)]
struct Counts {
    sent: AtomicU64,
    served: AtomicU64,
}

pub fn run(trouble: bool) {
    let site = Arc::new(Site::new("unreadable", 3, 3));
    let replicas: Vec<Arc<Replica>> = (0..3).map(|number| replica(&site, number)).collect();
    *site.listed.lock().unwrap() = replicas.iter().map(|replica| replica.entry()).collect();
    site.start_all(true);
    let document = |version| configuration(version, &[("desk", false)], &[("/card/", "safe", "desk", 1_500)]);
    if !site.publish(3, &document(3), Duration::from_secs(20)) {
        cannot_run("the first configuration was not acknowledged");
    }
    site.wait_until_ready();

    let (before, between, after) = (Arc::new(Counts::default()), Arc::new(Counts::default()), Arc::new(Counts::default()));
    let phase = Arc::new(AtomicU64::new(0));
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..6)
        .map(|client| {
            let (site, phase, stop) = (Arc::clone(&site), Arc::clone(&phase), Arc::clone(&stop));
            let counts = [Arc::clone(&before), Arc::clone(&between), Arc::clone(&after)];
            thread::spawn(move || {
                let mut turn = client;
                while !stop.load(Ordering::Relaxed) {
                    let begun = Instant::now();
                    turn += 1;
                    let entry = site.entries[turn % site.entries.len()];
                    let counts = &counts[phase.load(Ordering::Relaxed) as usize];
                    let id = site.next_id("u");
                    let headers = site.caller_headers(&id, 1_500);
                    let answer = http::once(entry, "GET", "/card/1", &headers, b"", Duration::from_secs(2));
                    counts.sent.fetch_add(1, Ordering::Relaxed);
                    let is_served = answer.status == 200 && answer.whole;
                    counts.served.fetch_add(u64::from(is_served), Ordering::Relaxed);
                    if !is_served {
                        let body = String::from_utf8_lossy(&answer.body).into_owned();
                        site.record.line(format!("{id} at {entry}: {} {} {body}", answer.status, answer.error));
                    }
                    thread::sleep(Duration::from_millis(200).saturating_sub(begun.elapsed()));
                }
            })
        })
        .collect();

    thread::sleep(Duration::from_secs(3));
    site.listed.lock().unwrap().push(foreign_entry(trouble, &site));
    site.record.line(match trouble {
        true => "the list has an entry of another writer, with text that cannot be read",
        false => "the list has an entry of another writer, in a state that is not named",
    });
    thread::sleep(Duration::from_secs(3));
    if !site.publish(8, &document(8), Duration::from_secs(10)) {
        cannot_run("the second configuration was not acknowledged");
    }
    phase.store(1, Ordering::Relaxed);
    site.kill("");
    thread::sleep(Duration::from_secs(1));
    site.start_all(false);
    thread::sleep(RECOVERY);
    phase.store(2, Ordering::Relaxed);
    site.record.line("12 s after the machines are back: from here the rule counts");
    thread::sleep(Duration::from_secs(8));
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let share = |counts: &Counts| (counts.served.load(Ordering::Relaxed), counts.sent.load(Ordering::Relaxed));
    let (served_before, sent_before) = share(&before);
    let (served_after, sent_after) = share(&after);
    if sent_before == 0 || served_before * 4 < sent_before || sent_after == 0 {
        cannot_run("too little was served before the final fault");
    }
    let broken = served_after * 4 < sent_after;
    site.finish(
        broken,
        &format!(
            "RECOVER {}: served {served_before} of {sent_before} before the final fault, {served_after} of {sent_after} sent later than 12 s after the machines were back",
            if broken { "broken" } else { "held" }
        ),
    );
}

fn replica(site: &Site, number: usize) -> Arc<Replica> {
    let spec = ReplicaSpec {
        identity: format!("i-desk{number}"),
        service: "desk".to_owned(),
        address: site.at(60 + number, 6),
        engine: false,
        work: Duration::from_millis(20),
        events: 0,
        idle_s: None,
    };
    Replica::start(spec, &site.record, &site.runs)
}

/// Returns an entry that names no replica to use. In trouble its zone is half of a surrogate pair,
/// which is a JSON string but no text.
fn foreign_entry(trouble: bool, site: &Site) -> Vec<u8> {
    let (zone, state) = match trouble {
        true => (r"\ud83d", "ready"),
        false => ("z1", "parked"),
    };
    let address = site.at(90, 6);
    format!(r#"{{"service":"other","address":"{address}","zone":"{zone}","version":"v1","slots":4,"state":"{state}","coldRemainingMs":0,"identifier":"x-1","born":1}}"#)
        .into_bytes()
}
