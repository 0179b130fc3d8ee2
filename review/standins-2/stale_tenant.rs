//! A key is moved to another tenant while an entry is cut off from control. The entry goes on naming
//! the tenant that held the key before.

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

use crate::world::{Kind, Replica, State, World, call, give_up, ms};
use crate::{Verdict, has_trouble};

const CONTROLS: [u8; 3] = [11, 12, 13];
const ENTRY: u8 = 21;
const PROXY: u8 = 22;
/// `revokeMs`: after this time no machine, in touch or not, may obey a configuration that has taken
/// a key away.
const REVOKE_MS: u64 = 5_000;
/// How long the entry is cut off from the counted machines.
const CUT_MS: u64 = 5_500;
/// Time between two requests of the client.
const REQUEST_GAP_MS: u64 = 50;

fn config(version: u32, depot: &str, pit: &str) -> String {
    let route = |name: &str, anonymous: bool| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"depot.example\",\"pathPrefix\":\"/{name}/\",\
             \"kind\":\"safe\",\"timeoutMs\":1000,\"targetLatencyMs\":100,\"priority\":2,\
             \"service\":\"app\",\"maxAttempts\":2,\"allowAnonymous\":{anonymous},\
             \"stickySessions\":false,\"resumeStreams\":false}}"
        )
    };
    format!(
        "{{\"version\":{version},\"routes\":[{},{}],\"services\":[{{\"name\":\"app\",\
         \"healthCheckPath\":\"/health\",\"maxConnections\":120,\"protocol\":\"h1\",\
         \"tls\":false}}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\
         \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\"tenants\":[\
         {{\"name\":\"depot\",\"apiKeys\":[{depot}],\"priority\":1}},\
         {{\"name\":\"pit\",\"apiKeys\":[{pit}],\"priority\":1}}]}}",
        route("open", true),
        route("kept", false)
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
        pace: ms(5),
        cold_ms: 0,
        drops_closed: true,
        weights: 2,
        slots: 6,
        born_ms: 0,
        started: Instant::now(),
        state: Mutex::new(State::default()),
    }
}

/// A request of the client: its id and when it was sent.
type Sent = (String, Instant);

fn get(world: &World, id: &str, route: &str) -> (Sent, u16) {
    let request = format!(
        "GET /{route}/scan HTTP/1.1\r\nHost: depot.example\r\nX-Lilacspindle-Request-Id: {id}\r\n\
         X-Lilacspindle-Deadline-Milliseconds: 1000\r\nAuthorization: Bearer key-moved\r\n\r\n"
    );
    let sent = (id.to_owned(), Instant::now());
    let answer = call(world.front(ENTRY), &request, ms(1_500));
    (sent, answer.map_or(0, |answer| answer.status()))
}

pub fn play(world: &Arc<World>) -> Verdict {
    for control in CONTROLS {
        world.start_control(control, &CONTROLS);
    }
    let replicas = [
        world.start_replica(31, app("i-app-0")),
        world.start_replica(32, app("i-app-1")),
    ];
    let first = config(1, "\"key-moved\"", "\"key-pit\"");
    world.publish(&CONTROLS, &first);
    let leader = world.leader(&CONTROLS, &first);
    world.record.note(&format!("control-{leader} leads"));
    // The entry reaches the leader through the proxy only.
    let proxy = world.start_proxy(PROXY, leader);
    world.start_entry(ENTRY, &[PROXY]);
    // Two more machines that take requests; one machine in six is cut off.
    world.start_entry(23, &CONTROLS);
    world.start_entry(24, &CONTROLS);
    world.wait_until_ready(ENTRY);
    thread::sleep(ms(2_000));
    let (_, status) = get(world, "before-open", "open");
    let (_, status_kept) = get(world, "before-kept", "kept");
    if (status, status_kept) != (200, 200) {
        give_up(&format!("not served before: {status}, {status_kept}"));
    }
    let cut_at = Instant::now();
    if has_trouble() {
        proxy.set_cut(true);
        world.record.note(&format!(
            "the entry is cut off from control for {CUT_MS} ms"
        ));
    }
    // The key moves from the tenant `depot` to the tenant `pit`.
    let second = config(2, "\"key-depot\"", "\"key-pit\",\"key-moved\"");
    let acknowledged = world.publish(&[leader], &second);
    let mut sent = Vec::new();
    let mut kept = Vec::new();
    let mut number = 0;
    while cut_at.elapsed() < ms(CUT_MS) {
        number += 1;
        let (one, status) = get(world, &format!("open-{number}"), "open");
        sent.push((one, status));
        kept.push(get(world, &format!("kept-{number}"), "kept"));
        thread::sleep(ms(REQUEST_GAP_MS));
    }
    proxy.set_cut(false);
    world.record.note("the cut has ended");
    world.check_processes();
    let still = kept
        .iter()
        .filter(|((_, at), _)| *at > acknowledged + ms(REVOKE_MS));
    let still: Vec<u16> = still.map(|(_, status)| *status).collect();
    world.record.note(&format!(
        "statuses on the route that needs a key, {REVOKE_MS} ms after the acknowledgement: {still:?}"
    ));
    let mut wrong = Vec::new();
    let mut served = 0;
    for ((id, at), status) in sent
        .iter()
        .filter(|((_, at), _)| *at > acknowledged + ms(REVOKE_MS))
    {
        served += usize::from(*status == 200);
        for replica in &replicas {
            let state = replica.state.lock().unwrap();
            let ran = state.arrivals.iter().filter(|a| a.ran && a.id == *id);
            for arrival in ran.filter(|a| a.tenant.as_deref() != Some("pit")) {
                let after = at.duration_since(acknowledged).as_millis();
                wrong.push(format!(
                    "{id}, sent {after} ms after the acknowledgement, ran at {} for tenant {:?}",
                    replica.id, arrival.tenant
                ));
            }
        }
    }
    let text = match wrong.first() {
        Some(first) => format!(
            "{} requests ran for a tenant that does not hold the client's key; the first: {first}",
            wrong.len()
        ),
        None => format!("no request ran for another tenant; {served} were served that late"),
    };
    Verdict {
        is_broken: !wrong.is_empty(),
        text,
    }
}
