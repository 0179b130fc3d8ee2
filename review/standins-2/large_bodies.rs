//! More callers than before send requests as large as the configuration allows. The entry holds all
//! their bodies, uses more than its memory and is killed by the platform, with the requests that
//! replicas are working on.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

use crate::world::{Kind, Replica, State, World, give_up, ms, read_message};
use crate::{Verdict, has_trouble};

const CONTROLS: [u8; 3] = [11, 12, 13];
const ENTRY: u8 = 21;
/// `maxBodyBytes` of the configuration; no request is larger.
const BODY_BYTES: usize = 4_194_304;
/// `memoryMb` of a `frontend` machine of `chalkline-lilac`.
const MEMORY_MB: u64 = 110;
/// Callers at a time, and how many more come with a burst of x = 1.66.
const CALLERS: u32 = 18;
const MORE_CALLERS: u32 = 12;
/// How long a replica works on a request.
const WORK_MS: u64 = 4_000;
/// A machine in touch may close so many kept connections without an answer.
const MOST_CLOSED: usize = 3;

fn config() -> String {
    format!(
        "{{\"version\":1,\"routes\":[{{\"name\":\"scan\",\"host\":\"depot.example\",\
         \"pathPrefix\":\"/scan/\",\"kind\":\"unsafe\",\"timeoutMs\":20000,\
         \"targetLatencyMs\":5000,\"priority\":2,\"service\":\"app\",\"maxAttempts\":1,\
         \"allowAnonymous\":false,\"stickySessions\":false,\"resumeStreams\":false}}],\
         \"services\":[{{\"name\":\"app\",\"healthCheckPath\":\"/health\",\
         \"maxConnections\":242,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":{BODY_BYTES},\
         \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\
         \"tenants\":[{{\"name\":\"depot\",\"apiKeys\":[\"key-depot\"],\"priority\":1}}]}}"
    )
}

fn app(id: &str) -> Replica {
    Replica {
        id: id.to_owned(),
        address: ([127, 0, 0, 1], 0).into(),
        zone: "hall-a",
        service: "app",
        kind: Kind::App,
        events: 0,
        pace: ms(WORK_MS),
        cold_ms: 0,
        drops_closed: true,
        weights: 2,
        slots: 24,
        born_ms: 0,
        started: Instant::now(),
        state: Mutex::new(State::default()),
    }
}

/// Sends a large request over a connection that has carried a small one. Returns the status; 0 if
/// the connection ended without an answer.
fn send_large(front: SocketAddr, id: &str) -> u16 {
    let head = |id: &str, length: usize| {
        format!(
            "POST /scan/1 HTTP/1.1\r\nHost: depot.example\r\nX-Lilacspindle-Request-Id: {id}\r\n\
             X-Lilacspindle-Deadline-Milliseconds: 20000\r\nAuthorization: Bearer key-depot\r\n\
             Content-Length: {length}\r\n\r\n"
        )
    };
    let Ok(mut stream) = TcpStream::connect(front) else {
        return 0;
    };
    let _ = stream.set_read_timeout(Some(ms(25_000)));
    let Ok(other) = stream.try_clone() else {
        return 0;
    };
    let mut from = BufReader::new(other);
    if stream
        .write_all(head(&format!("{id}-small"), 0).as_bytes())
        .is_err()
    {
        return 0;
    }
    if read_message(&mut from).is_none_or(|answer| answer.status() != 200) {
        return 0;
    }
    let _ = stream.write_all(head(id, BODY_BYTES).as_bytes());
    let _ = stream.write_all(&vec![b'x'; BODY_BYTES]);
    read_message(&mut from).map_or(0, |answer| answer.status())
}

pub fn play(world: &Arc<World>) -> Verdict {
    for control in CONTROLS {
        world.start_control(control, &CONTROLS);
    }
    let replicas: Vec<_> = (0..4)
        .map(|n| world.start_replica(31 + n, app(&format!("i-app-{n}"))))
        .collect();
    world.start_entry(ENTRY, &CONTROLS);
    world.publish(&CONTROLS, &config());
    world.wait_until_ready(ENTRY);
    thread::sleep(ms(3_000));
    let name = format!("entry-{ENTRY}");
    let is_over = Arc::new(AtomicBool::new(false));
    let (peak, was_killed) = (
        Arc::new(AtomicU64::new(0)),
        Arc::new(AtomicBool::new(false)),
    );
    let platform = {
        let (world, name) = (Arc::clone(world), name.clone());
        let (is_over, peak, was_killed) = (is_over.clone(), peak.clone(), was_killed.clone());
        thread::spawn(move || {
            while !is_over.load(Ordering::SeqCst) {
                let used = world.memory_mb(&name);
                peak.fetch_max(used, Ordering::SeqCst);
                if used > MEMORY_MB {
                    world.kill(&name);
                    was_killed.store(true, Ordering::SeqCst);
                    world.record.note(&format!(
                        "{name} uses {used} MB of {MEMORY_MB} MB and is killed by the platform"
                    ));
                    return;
                }
                thread::sleep(ms(10));
            }
        })
    };
    world.record.note(&format!(
        "{CALLERS} callers, each with a request of {BODY_BYTES} bytes"
    ));
    let callers = match has_trouble() {
        true => CALLERS + MORE_CALLERS,
        false => CALLERS,
    };
    let mut clients = Vec::new();
    for n in 0..callers {
        let front = world.front(ENTRY);
        if n == CALLERS {
            world
                .record
                .note(&format!("burst: {MORE_CALLERS} more callers"));
        }
        thread::sleep(ms(60));
        clients.push(thread::spawn(move || send_large(front, &format!("r{n}"))));
    }
    let statuses: Vec<u16> = clients.into_iter().map(|c| c.join().unwrap_or(0)).collect();
    is_over.store(true, Ordering::SeqCst);
    let _ = platform.join();
    let reached = |id: &str| {
        let ran = |replica: &Arc<Replica>| {
            replica
                .state
                .lock()
                .unwrap()
                .arrivals
                .iter()
                .any(|a| a.ran && a.id == id)
        };
        replicas.iter().any(ran)
    };
    let closed: Vec<String> = statuses
        .iter()
        .enumerate()
        .filter(|(n, status)| **status == 0 && reached(&format!("r{n}")))
        .map(|(n, _)| format!("r{n}"))
        .collect();
    world.record.note(&format!(
        "statuses {statuses:?} (0: the connection ended without an answer); peak {} MB",
        peak.load(Ordering::SeqCst)
    ));
    if !was_killed.load(Ordering::SeqCst) {
        world.check_processes();
        if statuses.iter().any(|status| *status != 200) {
            give_up("not all requests were served");
        }
    }
    let text = format!(
        "{} requests of kept connections had been passed on to replicas and ended without an answer",
        closed.len()
    );
    Verdict {
        is_broken: closed.len() > MOST_CLOSED,
        text,
    }
}
