//! A running generation is moved from a replica that leaves to one that leaves as well, and goes on
//! there long after `drainMs`.

use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

use crate::world::{Arrival, DRAIN_MS, Kind, Replica, State, World, give_up, ms};
use crate::{Verdict, has_trouble};

pub const CONTROLS: [u8; 3] = [11, 12, 13];
pub const ENTRY: u8 = 21;
/// How long a replica serves after it was listed as draining: `drainMs` and some seconds.
pub const LEAVES_IN_MS: u64 = 8_000;
/// How far the platform's list is behind; `maxLagMs` is 800.
pub const LIST_LAG_MS: u64 = 500;
/// The list is read several times a second; this much later it is known.
const LIST_READ_MS: u64 = 1_000;
/// Time between two replacements (`gap_s`).
const GAP_MS: u64 = 1_000;

pub fn config() -> String {
    "{\"version\":1,\"routes\":[{\"name\":\"report\",\"host\":\"depot.example\",\
     \"pathPrefix\":\"/report/\",\"kind\":\"streaming\",\"timeoutMs\":39000,\
     \"targetLatencyMs\":1800,\"priority\":0,\"service\":\"llm\",\"maxAttempts\":1,\
     \"allowAnonymous\":false,\"stickySessions\":true,\"resumeStreams\":false,\
     \"gapTargetMs\":180}],\"services\":[{\"name\":\"llm\",\"healthCheckPath\":\"/health\",\
     \"maxConnections\":242,\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":24,\
     \"kvCacheTokens\":34342,\"kvBytes\":163840,\"linkMbps\":24000.0,\"moves\":true,\
     \"backups\":true,\"stride\":4,\"most\":12,\"pinMs\":4000.0,\"holdMs\":2000.0,\
     \"handleS\":5.0,\"models\":[{\"name\":\"m\"}]}}],\"limits\":{\"maxHeaderBytes\":16384,\
     \"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\
     \"tenants\":[{\"name\":\"depot\",\"apiKeys\":[\"key-depot\"],\"priority\":1}]}"
        .to_owned()
}

pub fn engine(id: &str, zone: &'static str, cold_ms: u64) -> Replica {
    Replica {
        id: id.to_owned(),
        address: ([127, 0, 0, 1], 0).into(),
        zone,
        service: "llm",
        kind: Kind::Model,
        events: 150,
        pace: ms(100),
        cold_ms,
        drops_closed: true,
        weights: 2,
        slots: 24,
        born_ms: 0,
        started: Instant::now(),
        state: Mutex::new(State::default()),
    }
}

/// What a client has got of its stream.
pub struct Stream {
    pub status: u16,
    pub ids: Vec<u64>,
    pub is_whole: bool,
}

/// Sends one generation and reads its stream to the end.
pub fn generate(world: &Arc<World>, id: &str) -> Stream {
    generate_on(world, "report", id, "")
}

/// The same on another route, with further header lines.
pub fn generate_on(world: &Arc<World>, route: &str, id: &str, headers: &str) -> Stream {
    let body = "{}";
    let request = format!(
        "POST /{route}/1 HTTP/1.1\r\nHost: depot.example\r\nX-Lilacspindle-Request-Id: {id}\r\n\
         X-Lilacspindle-Model: m\r\nX-Lilacspindle-Token-Usage: 3000,600\r\n\
         X-Lilacspindle-Prompt-Prefix: 5c1e07a2:800,e4402b7d:2200\r\n\
         X-Lilacspindle-Deadline-Milliseconds: 39000\r\nAuthorization: Bearer key-depot\r\n\
         {headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let mut stream =
        TcpStream::connect(world.front(ENTRY)).unwrap_or_else(|e| give_up(&e.to_string()));
    // Clients abandon a stream after a gap of four times the objective.
    stream.set_read_timeout(Some(ms(7_200))).unwrap();
    stream.write_all(request.as_bytes()).unwrap();
    let mut from = BufReader::new(stream);
    let mut got = Stream {
        status: 0,
        ids: Vec::new(),
        is_whole: false,
    };
    let mut line = String::new();
    while matches!(from.read_line(&mut line), Ok(n) if n > 0) {
        let text = line.trim().to_owned();
        line.clear();
        if let (0, Some(code)) = (got.status, text.split(' ').nth(1)) {
            got.status = code.parse().unwrap_or(0);
        }
        if let Some(id) = text.strip_prefix("id:") {
            got.ids.push(id.trim().parse().unwrap_or(0));
        }
        if text.is_empty() && got.status != 200 {
            break;
        }
        if text == "0" {
            got.is_whole = true;
            break;
        }
    }
    got
}

pub fn play(world: &Arc<World>) -> Verdict {
    for control in CONTROLS {
        world.start_control(control, &CONTROLS);
    }
    // Seven replicas, of which the three of one zone are replaced one after the other.
    let near: Vec<_> = (0..3)
        .map(|n| world.start_replica(31 + n, engine(&format!("i-near-{n}"), "hall-a", 0)))
        .collect();
    let far: Vec<_> = (0..4)
        .map(|n| world.start_replica(41 + n, engine(&format!("i-far-{n}"), "hall-b", 0)))
        .collect();
    for replica in near.iter().chain(&far) {
        world.start_sidecar(replica, &CONTROLS);
    }
    world.start_entry(ENTRY, &CONTROLS);
    world.publish(&CONTROLS, &config());
    world.wait_until_ready(ENTRY);
    thread::sleep(ms(3_000));
    world
        .record
        .note("traffic begins: one generation of 150 events, 100 ms apart");
    let client = {
        let world = Arc::clone(world);
        thread::spawn(move || generate(&world, "r1"))
    };
    thread::sleep(ms(1_500));
    let all = || near.iter().chain(&far).cloned();
    let arrivals = |replica: &Arc<Replica>| replica.state.lock().unwrap().arrivals.clone();
    let source = all().find(|replica| !arrivals(replica).is_empty());
    let source = source.unwrap_or_else(|| give_up("no replica got the generation"));
    let first: Arrival = arrivals(&source)[0].clone();
    let backup = all().find(|r| first.backup.as_deref() == Some(&r.address.to_string()));
    // The order in which the replicas of the zone are replaced: the one that keeps the backup, the
    // one that runs the generation, the third.
    let mut order: Vec<Arc<Replica>> = backup.into_iter().collect();
    order.push(Arc::clone(&source));
    let rest = near
        .iter()
        .filter(|r| !order.iter().any(|o| o.id == r.id))
        .cloned();
    order.extend(rest.collect::<Vec<_>>());
    if has_trouble() {
        let mut host = 51;
        for replica in &order {
            // The new one starts first, the old one drains.
            let new = engine(&format!("i-new-{host}"), "hall-a", 4_000);
            let new = world.start_replica(host, new);
            world.start_sidecar(&new, &CONTROLS);
            host += 1;
            thread::sleep(ms(GAP_MS));
            replica.drain(ms(LEAVES_IN_MS), ms(LIST_LAG_MS));
            world.record.note(&format!(
                "{} drains; it serves for {LEAVES_IN_MS} ms more, the list shows it in {LIST_LAG_MS} ms",
                replica.id
            ));
        }
    }
    let got = client
        .join()
        .unwrap_or_else(|_| give_up("the client failed"));
    world.record.note(&format!(
        "client: status {}, {} events, whole = {}",
        got.status,
        got.ids.len(),
        got.is_whole
    ));
    world.check_processes();
    if got.status != 200 {
        give_up("the generation was not served");
    }
    let mut late = Vec::new();
    for replica in world.replicas.lock().unwrap().iter() {
        let state = replica.state.lock().unwrap();
        let Some(listed) = state.listed_draining else {
            continue;
        };
        let bound = listed + ms(LIST_READ_MS + DRAIN_MS);
        for arrival in state.arrivals.iter().filter(|a| a.ran && a.at > bound) {
            let after = arrival.at.duration_since(listed).as_millis();
            late.push(format!(
                "request {} reached {} {after} ms after the list showed it as draining (Kv-From = {:?})",
                arrival.id, replica.id, arrival.kv_from
            ));
        }
    }
    let order_holds = got.ids.windows(2).all(|pair| pair[1] == pair[0] + 1);
    let text = match late.is_empty() {
        false => late.join("; "),
        true => {
            format!("no request reached a draining replica late; events in order = {order_holds}")
        }
    };
    Verdict {
        is_broken: !late.is_empty(),
        text,
    }
}
