//! Callers read their streams slowly while a model server leaves.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use crate::engine::{EVENT_MS, Engines, connect_narrow};
use crate::site::{Plan, Record, Site, cannot_run, client_request};

/// Events of a stream, the largest `trek-plan` of the sheet.
const EVENTS: u64 = 442;
/// The server leaves when it has made about so many events of each stream.
const LEAVES_AFTER: u64 = 310;
/// What each caller reads, in bytes a second. A server makes about 8,900.
const RATES: [f64; 6] = [2_000.0, 2_250.0, 2_500.0, 2_750.0, 3_000.0, 3_250.0];
/// Number of callers, of which each of the eight servers gets about six.
const CALLERS: usize = 48;
/// Largest segment and receive buffer of a caller: an ordinary link with a small window.
const SEGMENT: i32 = 1_460;
const BUFFER: i32 = 4_096;
/// A run may go on elsewhere while the server before works on it for so long.
const TWICE_MS: u64 = 400;
const DEADLINE: Duration = Duration::from_secs(39);

pub fn run(record: &Record, trouble: bool) -> bool {
    let mut site = Site::prepare(record.clone(), &Plan::with_engines());
    let engines = Engines::start(site.engines(), EVENTS, |_| false, record);
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
            let (entry, record) = (site.entries[0], record.clone());
            let rate = trouble.then_some(RATES[at / 8 % RATES.len()]);
            thread::sleep(Duration::from_millis(10));
            thread::spawn(move || call(entry, &id(at), rate, &record))
        })
        .collect();
    thread::sleep(Duration::from_millis(EVENT_MS * LEAVES_AFTER));
    let mut by_server: BTreeMap<String, usize> = BTreeMap::new();
    for at in 0..CALLERS {
        for server in engines.running(&id(at)) {
            *by_server.entry(server).or_default() += 1;
        }
    }
    let Some((leaving, runs)) = by_server.into_iter().max_by_key(|(_, runs)| *runs) else {
        cannot_run("no stream is run");
    };
    record.line(&format!(
        "server {leaving}, which runs {runs} streams, begins to leave"
    ));
    engines.leave(&leaving);
    site.set_draining(&leaving);
    // Both servers have ended all streams by then, whatever their callers read.
    thread::sleep(
        Duration::from_millis(EVENT_MS * (EVENTS - LEAVES_AFTER)) + Duration::from_secs(16),
    );
    let work = engines.work();
    let mut broken = false;
    for request in (0..CALLERS).map(id) {
        let own = work.iter().filter(|work| work.request == request);
        let mut begun: BTreeMap<&str, (Instant, Instant)> = BTreeMap::new();
        for work in own {
            let times = begun.entry(&work.server).or_insert((work.at, work.at));
            times.1 = work.at;
        }
        let Some((_, left)) = begun.get(leaving.as_str()).copied() else {
            continue;
        };
        for (server, (taken, _)) in begun.iter().filter(|(server, _)| **server != leaving) {
            let both_ms = left.saturating_duration_since(*taken).as_millis();
            record.line(&format!(
                "{request} went on at {server}; {leaving} worked on it for another {both_ms} ms"
            ));
            broken |= both_ms > u128::from(TWICE_MS);
        }
    }
    for caller in callers {
        let _ = caller.join();
    }
    broken
}

pub fn id(at: usize) -> String {
    format!("9c41d07be2a35f{at:02x}")
}

/// Sends one request and reads its stream, at `rate` bytes a second if there is one.
pub fn call(entry: SocketAddr, id: &str, rate: Option<f64>, record: &Record) -> Answer {
    let headers = "X-Lilacspindle-Model: m\r\nX-Lilacspindle-Token-Usage: 300,1768\r\nX-Lilacspindle-Length-Hint: 700\r\n\
        X-Lilacspindle-Prompt-Prefix: 5c1e07a2:40,91bd3f06:30,e4402b7d:230\r\nContent-Length: 3\r\n";
    let request = client_request("POST", "/mofa118/2f", id, headers, b"abc");
    let mut stream =
        connect_narrow(entry, SEGMENT, BUFFER).unwrap_or_else(|e| cannot_run(&e.to_string()));
    let _ = stream.set_read_timeout(Some(Duration::from_secs(8)));
    if stream.write_all(&request).is_err() {
        cannot_run("a request could not be sent");
    }
    record.line(&format!(
        "client sent {id}, which it reads at {rate:?} bytes a second"
    ));
    let begun = Instant::now();
    let mut read: Vec<u8> = Vec::new();
    let mut chunk = [0; 512];
    let end = loop {
        match stream.read(&mut chunk) {
            Ok(0) => break "closed".to_owned(),
            Ok(length) => read.extend_from_slice(&chunk[..length]),
            Err(error) => break error.to_string(),
        }
        if read.ends_with(b"\r\n0\r\n\r\n") {
            break "complete".to_owned();
        }
        if begun.elapsed() > DEADLINE {
            break "given up at the deadline".to_owned();
        }
        if let Some(rate) = rate {
            let due = Duration::from_secs_f64(read.len() as f64 / rate);
            thread::sleep(due.saturating_sub(begun.elapsed()));
        }
    };
    record.line(&format!("client of {id}: {end} after {} bytes", read.len()));
    let text = String::from_utf8_lossy(&read);
    let events = text.lines().filter(|line| line.starts_with("id: ")).count();
    Answer {
        is_complete: end == "complete",
        events: u64::try_from(events).unwrap_or(u64::MAX),
    }
}

/// What a caller has got.
pub struct Answer {
    /// True if the response had its regular end.
    pub is_complete: bool,
    pub events: u64,
}
