//! A configuration raises `maxHeaderBytes`. Connections that were opened before keep the old limit, and
//! proper requests on them are refused for good.

use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::thread;

use crate::late_move::engine;
use crate::world::{Kind, Replica, State, World, give_up, ms, read_message};
use crate::{Verdict, has_trouble};

const CONTROLS: [u8; 3] = [11, 12, 13];
const ENTRY: u8 = 21;
/// Kept connections, each of which carries one request before the change and one after it.
const CONNECTIONS: usize = 20;
/// `configurationApplyMs`, and two seconds more.
const APPLY_MS: u64 = 4_000;

fn config(version: u32, header_bytes: u32) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"scan\",\"host\":\"depot.example\",\
         \"pathPrefix\":\"/scan/\",\"kind\":\"safe\",\"timeoutMs\":1000,\"targetLatencyMs\":100,\
         \"priority\":2,\"service\":\"app\",\"maxAttempts\":2,\"allowAnonymous\":false,\
         \"stickySessions\":false,\"resumeStreams\":false}}],\"services\":[{{\"name\":\"app\",\
         \"healthCheckPath\":\"/health\",\"maxConnections\":120,\"protocol\":\"h1\",\
         \"tls\":false}}],\"limits\":{{\"maxHeaderBytes\":{header_bytes},\
         \"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\
         \"tenants\":[{{\"name\":\"depot\",\"apiKeys\":[\"key-depot\"],\"priority\":1}}]}}"
    )
}

/// A kept connection of a client.
struct Kept {
    to: TcpStream,
    from: BufReader<TcpStream>,
}

impl Kept {
    fn open(world: &World) -> Self {
        let to = TcpStream::connect(world.front(ENTRY)).unwrap_or_else(|e| give_up(&e.to_string()));
        let _ = to.set_read_timeout(Some(ms(2_000)));
        let from = BufReader::new(to.try_clone().unwrap());
        Self { to, from }
    }

    /// Sends a request with `lines` header lines of about a kilobyte. Returns its status.
    fn get(&mut self, id: &str, lines: usize) -> u16 {
        let padding: String = (0..lines)
            .map(|n| format!("X-Padding-{n}: {}\r\n", "p".repeat(1_000)))
            .collect();
        let request = format!(
            "GET /scan/1 HTTP/1.1\r\nHost: depot.example\r\nX-Lilacspindle-Request-Id: {id}\r\n\
             X-Lilacspindle-Deadline-Milliseconds: 1000\r\nAuthorization: Bearer key-depot\r\n\
             {padding}\r\n"
        );
        let _ = self.to.write_all(request.as_bytes());
        read_message(&mut self.from).map_or(0, |answer| answer.status())
    }
}

pub fn play(world: &Arc<World>) -> Verdict {
    for control in CONTROLS {
        world.start_control(control, &CONTROLS);
    }
    for n in 0..3 {
        let replica = Replica {
            service: "app",
            kind: Kind::App,
            pace: ms(10),
            state: Mutex::new(State::default()),
            ..engine(&format!("i-app-{n}"), "hall-a", 0)
        };
        world.start_replica(31 + n, replica);
    }
    let before = if has_trouble() { 16_384 } else { 65_536 };
    world.start_entry(ENTRY, &CONTROLS);
    world.publish(&CONTROLS, &config(1, before));
    world.wait_until_ready(ENTRY);
    thread::sleep(ms(3_000));
    let mut kept: Vec<Kept> = (0..CONNECTIONS).map(|_| Kept::open(world)).collect();
    for (n, connection) in kept.iter_mut().enumerate() {
        if connection.get(&format!("small-{n}"), 0) != 200 {
            give_up("a small request was not served");
        }
    }
    world.publish(&CONTROLS, &config(2, 65_536));
    thread::sleep(ms(APPLY_MS));
    let statuses: Vec<u16> = kept
        .iter_mut()
        .enumerate()
        .map(|(n, connection)| connection.get(&format!("large-{n}"), 30))
        .collect();
    let on_new = Kept::open(world).get("large-new", 30);
    world.check_processes();
    world.record.note(&format!(
        "large requests on kept connections: {statuses:?}; on a new one: {on_new}"
    ));
    let denied = statuses.iter().filter(|status| **status == 431).count();
    let all = 2 * CONNECTIONS + 1;
    Verdict {
        is_broken: denied > 5 + all / 500,
        text: format!("{denied} of {all} requests were refused with 431 though they are proper"),
    }
}
