//! A faulty replica breaks streams off inside an event, with the regular end of a chunked body.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::http;
use crate::site::{Replica, ReplicaSpec, Site, StreamEnd, cannot_run, configuration};

const EVENTS: u64 = 12;

pub fn run(trouble: bool) {
    let site = Arc::new(Site::new("cut-event", 3, 2));
    let spec = ReplicaSpec {
        identity: "i-alpha1".to_owned(),
        service: "alpha".to_owned(),
        address: site.at(60, 6),
        engine: true,
        work: Duration::from_millis(60),
        events: EVENTS,
    };
    let replica = Replica::start(spec, &site.record, &site.runs);
    *site.listed.lock().unwrap() = vec![replica.entry()];
    site.start_all(true);
    site.start_sidecar(0, replica.spec.address, "alpha");
    let document = configuration(3, &[("alpha", true)], &[("/alpha/", "streaming", "alpha", 6_000)]);
    if !site.publish(3, &document, Duration::from_secs(20)) {
        cannot_run("the configuration was not acknowledged");
    }
    site.wait_until_ready();
    thread::sleep(Duration::from_secs(1));
    let (mut complete, mut cut) = (0, 0);
    for turn in 0..20_usize {
        if trouble && turn == 10 {
            *replica.stream_end.lock().unwrap() = StreamEnd::InsideEvent;
        }
        let id = site.next_id("c");
        let mut headers = site.caller_headers(&id, 6_000);
        headers.push(("X-Lilacspindle-Model", "m".to_owned()));
        headers.push(("X-Lilacspindle-Token-Usage", "200,48".to_owned()));
        headers.push(("X-Lilacspindle-Prompt-Prefix", format!("5c1e07a2:150,{turn:08x}:50")));
        let entry = site.entries[turn % site.entries.len()];
        let answer = http::once(entry, "POST", "/alpha/1", &headers, b"prompt", Duration::from_secs(7));
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        let has_last = text.contains(&format!("id: {EVENTS}\ndata: piece {EVENTS} of {EVENTS} of {id}\n\n"));
        let looks_complete = answer.status == 200 && answer.whole;
        site.record.line(format!("{id} at {entry}: {} looks complete {looks_complete} has last piece {has_last}; ends with {:?}",
            answer.status, &text[text.len().saturating_sub(24)..]));
        complete += u64::from(looks_complete && has_last);
        cut += u64::from(looks_complete && !has_last);
    }
    if complete < 5 {
        cannot_run("too few streams were served");
    }
    site.finish(
        cut > 0,
        &format!("ORDER {}: {cut} streams ended as complete before their last piece, {complete} were whole",
            if cut > 0 { "broken" } else { "held" }),
    );
}
