//! A model server crashes while a stream runs whose answer has neither a length nor chunks.

use std::collections::BTreeMap;
use std::process::Child;
use std::thread;
use std::time::Duration;

use crate::engine::{EVENT_MS, Engines};
use crate::net::{Message, exchange};
use crate::site::{Plan, Record, Server, Site, cannot_run};
use crate::slow::{self, Answer};

const EVENTS: u64 = 187;
const CALLERS: usize = 48;
/// One in so many answers has neither a length nor chunks.
const UNFRAMED_ONE_IN: u64 = 24;
/// Events of each stream, about, when the server crashes.
const CRASHES_AFTER: u64 = 90;

fn is_unframed(id: &str) -> bool {
    let number = id
        .get(14..)
        .and_then(|text| u64::from_str_radix(text, 16).ok());
    number.is_some_and(|number| number % UNFRAMED_ONE_IN == 0)
}

/// Runs one engine in this process until it is killed.
pub fn serve_engine(identity: &str, address: &str, born: &str, record: &Record) -> ! {
    let server = Server {
        identity: identity.to_owned(),
        service: String::new(),
        address: address.parse().unwrap_or_else(|_| cannot_run("no address")),
        zone: String::new(),
        state: "ready".to_owned(),
        born: born
            .parse()
            .unwrap_or_else(|_| cannot_run("no time of start")),
    };
    Engines::start(&[server], EVENTS, is_unframed, record);
    loop {
        thread::sleep(Duration::from_secs(60));
    }
}

pub fn run(record: &Record, trouble: bool) -> bool {
    let mut site = Site::prepare(record.clone(), &Plan::with_engines());
    let mut engines: Vec<(Server, Child)> = Vec::new();
    for server in site.engines() {
        let arguments = [
            "engine".to_owned(),
            server.identity.clone(),
            server.address.to_string(),
            server.born.to_string(),
            site.file(&format!("{}.txt", server.identity)),
        ];
        engines.push((server.clone(), site.spawn_standin(&arguments)));
    }
    site.start_all();
    if !site.publish(7) {
        cannot_run("no configuration was acknowledged");
    }
    if !site.is_served(0) {
        cannot_run("nothing is served");
    }
    thread::sleep(Duration::from_secs(1));
    let callers: Vec<_> = (0..CALLERS)
        .map(|at| {
            let (entry, record) = (site.entries[at % 2], record.clone());
            thread::sleep(Duration::from_millis(10));
            thread::spawn(move || {
                (
                    slow::id(at),
                    slow::call(entry, &slow::id(at), None, &record),
                )
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(EVENT_MS * CRASHES_AFTER));
    let unframed = (0..CALLERS)
        .map(slow::id)
        .find(|id| is_unframed(id))
        .unwrap_or_default();
    let Some(at) = engines
        .iter()
        .position(|(server, _)| runs(server).contains(&unframed))
    else {
        cannot_run("no server runs the stream without a length");
    };
    record.line(&format!(
        "server {} runs {unframed}, whose answer has no length",
        engines[at].0.identity
    ));
    if trouble {
        let (server, engine) = &mut engines[at];
        let _ = engine.kill();
        let _ = engine.wait();
        record.line(&format!("server {} was killed", server.identity));
    }
    let answers: BTreeMap<String, Answer> =
        callers.into_iter().filter_map(|c| c.join().ok()).collect();
    let mut broken = false;
    for (id, answer) in &answers {
        if answer.is_complete && answer.events < EVENTS {
            record.line(&format!(
                "{id} looks complete after {} of {EVENTS} events; without a length: {}",
                answer.events,
                is_unframed(id)
            ));
            broken = true;
        }
    }
    let whole = answers
        .values()
        .filter(|answer| answer.is_complete && answer.events == EVENTS)
        .count();
    record.line(&format!("{whole} of {CALLERS} streams came whole"));
    for (server, engine) in &mut engines {
        let _ = engine.kill();
        let _ = engine.wait();
        let text = std::fs::read_to_string(site.file(&format!("{}.txt", server.identity)));
        for line in text
            .unwrap_or_default()
            .lines()
            .filter(|line| line.contains(&unframed))
        {
            record.line(&format!(
                "by the clock of server {}: {}",
                server.identity,
                line.trim()
            ));
        }
    }
    broken
}

/// Returns what a server says of its runs.
fn runs(server: &Server) -> String {
    let request = format!(
        "GET /report HTTP/1.1\r\nHost: {}\r\nConnection: close\r\n\r\n",
        server.address
    );
    let report = exchange(server.address, request.as_bytes(), Duration::from_secs(1));
    String::from_utf8_lossy(
        &report
            .map(|report: Message| report.body)
            .unwrap_or_default(),
    )
    .into_owned()
}
