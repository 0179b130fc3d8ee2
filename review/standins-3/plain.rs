//! Plain servers crash while they write answers that have neither a length nor chunks.

use std::collections::BTreeMap;
use std::io::Write;
use std::process::Child;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::net::{Message, Reader, exchange};
use crate::site::{Plan, Record, Server, Site, cannot_run, client_request, respond, serve};

/// Bytes of an answer, the mean of the sheet, and how they are written: in four parts.
const BODY_BYTES: usize = 800;
const PARTS: usize = 4;
const PART_MS: u64 = 8;
/// One in so many answers of half of the servers has neither a length nor chunks.
const UNFRAMED_ONE_IN: u64 = 20;
const UNFRAMED_SERVERS: usize = 3;
/// Crashes of one of these servers each, and the time between them. A server is back after `DOWN`.
const CRASHES: usize = 24;
const BETWEEN: Duration = Duration::from_millis(3_300);
const DOWN: Duration = Duration::from_millis(1_000);
const CALLERS: usize = 36;

fn is_unframed(id: &str) -> bool {
    let number = id
        .get(8..)
        .and_then(|text| u64::from_str_radix(text, 16).ok());
    number.is_some_and(|number| number % UNFRAMED_ONE_IN == 7)
}

/// True for the servers of which one in twenty answers has no length: the first three of six.
fn may_unframe(identity: &str) -> bool {
    let number = identity.as_bytes().get(2).copied().unwrap_or(b'9');
    usize::from(number - b'0') < UNFRAMED_SERVERS
}

/// The whole answer to a request.
fn body_of(id: &str) -> Vec<u8> {
    id.bytes().cycle().take(BODY_BYTES).collect()
}

/// Serves as one plain server until this process is killed.
pub fn serve_plain(identity: &str, address: &str) -> ! {
    let own = identity.to_owned();
    let address = address.parse().unwrap_or_else(|_| cannot_run("no address"));
    serve(address, move |reader, request| {
        answer(&own, reader, &request)
    });
    loop {
        thread::sleep(Duration::from_secs(60));
    }
}

fn answer(own: &str, reader: &mut Reader, request: &Message) -> bool {
    let id = request
        .header("x-lilacspindle-request-id")
        .unwrap_or_default()
        .to_owned();
    if request.target() == "/health" {
        let headers = format!("X-Lilacspindle-Instance-Id: {own}\r\n");
        return respond(reader, "200 OK", &headers, b"");
    }
    let echo = format!("X-Lilacspindle-Request-Id: {id}\r\n");
    if request
        .header("x-lilacspindle-expected-instance")
        .is_some_and(|expected| expected != own)
    {
        let headers = format!("{echo}X-Lilacspindle-Not-Executed: 1\r\n");
        return respond(reader, "421 Misdirected Request", &headers, b"");
    }
    let is_unframed = may_unframe(own) && is_unframed(&id);
    let length = match is_unframed {
        true => String::new(),
        false => format!("Content-Length: {BODY_BYTES}\r\n"),
    };
    let mut bytes = format!(
        "HTTP/1.1 200 OK\r\n{echo}X-Lilacspindle-Response-Seal: {own}.{id}\r\n{length}\r\n"
    )
    .into_bytes();
    for part in body_of(&id).chunks(BODY_BYTES / PARTS) {
        thread::sleep(Duration::from_millis(PART_MS));
        bytes.extend_from_slice(part);
        if reader.stream.write_all(&bytes).is_err() {
            return false;
        }
        bytes.clear();
    }
    !is_unframed
}

/// What the callers have got.
#[derive(Default)]
struct Counts {
    by_status: BTreeMap<u16, usize>,
    short: usize,
}

pub fn run(record: &Record, trouble: bool) -> bool {
    let mut site = Site::prepare(record.clone(), &Plan::without_servers());
    let start = |site: &Site, server: &Server| {
        let arguments = [
            "plain".to_owned(),
            server.identity.clone(),
            server.address.to_string(),
        ];
        site.spawn_standin(&arguments)
    };
    let mut servers: Vec<(Server, Child)> = site
        .listed()
        .into_iter()
        .map(|server| (server.clone(), start(&site, &server)))
        .collect();
    site.start_all();
    if !site.publish(7) {
        cannot_run("no configuration was acknowledged");
    }
    if !site.is_served(0) || !site.is_served(1) {
        cannot_run("nothing is served");
    }
    let (ends, counts) = (
        Arc::new(AtomicBool::new(false)),
        Arc::new(Mutex::new(Counts::default())),
    );
    let callers: Vec<_> = (0..CALLERS)
        .map(|at| {
            let (entry, record) = (site.entries[at % 2], record.clone());
            let (ends, counts) = (Arc::clone(&ends), Arc::clone(&counts));
            thread::spawn(move || {
                for number in 0_u64.. {
                    if ends.load(Ordering::SeqCst) {
                        break;
                    }
                    let id = format!("{at:08x}{number:08x}");
                    let request = client_request("POST", "/pule252/2f", &id, "Content-Length: 2\r\n", b"hi");
                    let reply = exchange(entry, &request, Duration::from_millis(1_500));
                    let status = reply.as_ref().map_or(0, Message::status);
                    let is_short = reply.as_ref().is_ok_and(|reply| reply.status() == 200 && reply.body != body_of(&id));
                    let mut counts = counts.lock().unwrap_or_else(|e| e.into_inner());
                    *counts.by_status.entry(status).or_default() += 1;
                    if let (true, Ok(reply)) = (is_short, &reply) {
                        counts.short += 1;
                        record.line(&format!(
                            "client got 200 for {id} with {} of {BODY_BYTES} bytes, seal {:?}; without a length from its server: {}",
                            reply.body.len(),
                            reply.header("x-lilacspindle-response-seal"),
                            is_unframed(&id)
                        ));
                    }
                    drop(counts);
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(2));
    for crash in 0..CRASHES {
        let (server, process) = &mut servers[crash % UNFRAMED_SERVERS];
        if trouble {
            let _ = process.kill();
            let _ = process.wait();
            record.line(&format!("server {} was killed", server.identity));
        }
        thread::sleep(DOWN);
        if trouble {
            server.born += 60_000;
            site.set_born(&server.identity, server.born);
            *process = start(&site, server);
        }
        thread::sleep(BETWEEN - DOWN);
        let counts = counts.lock().unwrap_or_else(|e| e.into_inner());
        record.line(&format!(
            "calls sent and answered so far, by status (0: none): {:?}; 200 with a part of the answer: {}",
            counts.by_status, counts.short
        ));
        drop(counts);
    }
    ends.store(true, Ordering::SeqCst);
    for caller in callers {
        let _ = caller.join();
    }
    for (_, process) in &mut servers {
        let _ = process.kill();
        let _ = process.wait();
    }
    let counts = counts.lock().unwrap_or_else(|e| e.into_inner());
    record.line(&format!(
        "answers by status (0: none): {:?}; short ones with 200: {}",
        counts.by_status, counts.short
    ));
    counts.short > 0
}
