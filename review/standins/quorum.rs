//! A control instance is replaced as planned. Just after it has left, another one loses its disk
//! right after it has acknowledged a configuration.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::site::{Replica, ReplicaSpec, Site, cannot_run, configuration};

const RECOVERY: Duration = Duration::from_secs(12);
/// `catchUpS` is 4: from then on the machine that is replaced does not count as lost.
const CATCH_UP: Duration = Duration::from_secs(6);
/// Time between the planned end of the replaced machine and the loss of the disk.
const BETWEEN: Duration = Duration::from_millis(400);
const BETWEEN_WITHOUT_TROUBLE: Duration = Duration::from_secs(6);

#[derive(Default)]
struct Counts {
    sent: AtomicU64,
    served: AtomicU64,
}

pub fn run(trouble: bool) {
    let site = Arc::new(Site::new("quorum", 3, 2));
    let replicas: Vec<Arc<Replica>> = (0..2)
        .map(|number| {
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
        })
        .collect();
    *site.listed.lock().unwrap() = replicas.iter().map(|replica| replica.entry()).collect();
    site.start_all(true);
    let document = |version| configuration(version, &[("desk", false)], &[("/card/", "safe", "desk", 1_500)]);
    if site.publish_to(3, &document(3), &[0, 1, 2], Duration::from_secs(20)).is_none() {
        cannot_run("the first configuration was not acknowledged");
    }
    site.wait_until_ready();

    let counts: [Arc<Counts>; 3] = Default::default();
    let phase = Arc::new(AtomicU64::new(0));
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..4_usize)
        .map(|client| {
            let (site, phase, stop) = (Arc::clone(&site), Arc::clone(&phase), Arc::clone(&stop));
            let counts = counts.clone();
            thread::spawn(move || {
                let mut turn = client;
                while !stop.load(Ordering::Relaxed) {
                    let begun = Instant::now();
                    turn += 1;
                    let entry = site.entries[turn % site.entries.len()];
                    let counts = &counts[phase.load(Ordering::Relaxed) as usize];
                    let id = site.next_id("q");
                    let answer = http::once(entry, "GET", "/card/1", &site.caller_headers(&id, 1_500), b"", Duration::from_secs(2));
                    let is_served = answer.status == 200 && answer.whole;
                    counts.sent.fetch_add(1, Ordering::Relaxed);
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

    thread::sleep(Duration::from_secs(2));
    site.record.line("planned replacement of control-2: control-3 starts, at another address and with an empty disk");
    site.start_control(3, false);
    thread::sleep(CATCH_UP);
    site.signal("control-2", "TERM");
    if !site.wait_for_end("control-2", Duration::from_secs(8)) {
        cannot_run("control-2 did not end within gracePeriodS");
    }
    site.record.line("control-2 has ended, and is removed for good");
    thread::sleep(if trouble { BETWEEN } else { BETWEEN_WITHOUT_TROUBLE });
    let Some(acknowledged_by) = site.publish_to(8, &document(8), &[0, 1, 3], Duration::from_secs(4)) else {
        cannot_run("the second configuration was not acknowledged");
    };
    site.kill(&format!("control-{acknowledged_by}"));
    site.wipe_control(acknowledged_by);
    site.record.line(format!("control-{acknowledged_by} has acknowledged version 8, and loses its disk"));
    phase.store(1, Ordering::Relaxed);
    thread::sleep(Duration::from_secs(2));
    site.start_control(acknowledged_by, false);
    thread::sleep(RECOVERY);
    phase.store(2, Ordering::Relaxed);
    site.record.line("12 s after the machine is back: from here RECOVER counts");
    let mut read_back = 0;
    let read_until = Instant::now() + Duration::from_secs(10);
    while Instant::now() < read_until {
        for control in [0, 1, 3] {
            let answer = site.read_configuration(control);
            let is_current = answer.status == 200 && String::from_utf8_lossy(&answer.body).contains("\"version\":8,");
            read_back += u64::from(is_current);
            site.record.line(format!("operator reads the configuration at control-{control}: {}, current {is_current}", answer.status));
        }
        thread::sleep(Duration::from_millis(500));
    }
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let [before, _, after] = counts.map(|counts| (counts.served.load(Ordering::Relaxed), counts.sent.load(Ordering::Relaxed)));
    if before.1 == 0 || before.0 * 4 < before.1 || after.1 == 0 {
        cannot_run("too little was served before the fault");
    }
    let broken = after.0 * 4 < after.1;
    site.finish(
        broken,
        &format!(
            "RECOVER {}: served {} of {} before the fault, {} of {} sent later than 12 s after the machine was back; the acknowledged version 8 was read back {read_back} times in 10 s",
            if broken { "broken" } else { "held" }, before.0, before.1, after.0, after.1
        ),
    );
}
