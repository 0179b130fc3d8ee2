//! A few clients ask for weights that the replicas had before. The replicas answer 421, and the entry uses
//! none of them again, for any request.

use std::sync::{Arc, Mutex};
use std::thread;

use crate::late_move::{CONTROLS, ENTRY, engine, generate_on};
use crate::world::{Kind, Replica, State, World, call, give_up, ms};
use crate::{Verdict, has_trouble};

/// Ordinary requests on each of the two routes; the rule asks for 20 or more on the added one.
const REQUESTS: usize = 40;
/// Requests that ask for the weights of before.
const WITH_VERSION: usize = 4;
/// Requests on the added route before these.
const BEFORE: usize = 5;

fn config(version: u32, with_added: bool) -> String {
    let scan = "{\"name\":\"scan\",\"host\":\"depot.example\",\"pathPrefix\":\"/scan/\",\
                \"kind\":\"safe\",\"timeoutMs\":1000,\"targetLatencyMs\":100,\"priority\":2,\
                \"service\":\"app\",\"maxAttempts\":2,\"allowAnonymous\":false,\
                \"stickySessions\":false,\"resumeStreams\":false}";
    let report = ",{\"name\":\"report\",\"host\":\"depot.example\",\"pathPrefix\":\"/report/\",\
                  \"kind\":\"streaming\",\"timeoutMs\":39000,\"targetLatencyMs\":1800,\
                  \"priority\":0,\"service\":\"llm\",\"maxAttempts\":1,\
                  \"allowAnonymous\":false,\"stickySessions\":true,\"resumeStreams\":false,\
                  \"gapTargetMs\":180}";
    let added = if with_added { report } else { "" };
    format!(
        "{{\"version\":{version},\"routes\":[{scan}{added}],\"services\":[{{\"name\":\"app\",\
         \"healthCheckPath\":\"/health\",\"maxConnections\":120,\"protocol\":\"h1\",\
         \"tls\":false}},{{\"name\":\"llm\",\"healthCheckPath\":\"/health\",\
         \"maxConnections\":242,\"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":24,\
         \"kvCacheTokens\":34342,\"kvBytes\":163840,\"linkMbps\":24000.0,\"moves\":true,\
         \"backups\":true,\"stride\":4,\"most\":12,\"pinMs\":4000.0,\"holdMs\":2000.0,\
         \"handleS\":5.0,\"models\":[{{\"name\":\"m\"}}]}}}}],\"limits\":{{\
         \"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}},\"tenants\":[{{\"name\":\"depot\",\
         \"apiKeys\":[\"key-depot\"],\"priority\":1}}]}}"
    )
}

fn scan(world: &World, id: &str) -> bool {
    let request = format!(
        "GET /scan/1 HTTP/1.1\r\nHost: depot.example\r\nX-Lilacspindle-Request-Id: {id}\r\n\
         X-Lilacspindle-Deadline-Milliseconds: 1000\r\nAuthorization: Bearer key-depot\r\n\r\n"
    );
    call(world.front(ENTRY), &request, ms(1_500)).is_some_and(|answer| answer.status() == 200)
}

pub fn play(world: &Arc<World>) -> Verdict {
    for control in CONTROLS {
        world.start_control(control, &CONTROLS);
    }
    let models: Vec<_> = (0..7)
        .map(|n| {
            let replica = engine(&format!("i-llm-{n}"), "hall-a", 0);
            world.start_replica(
                31 + n,
                Replica {
                    events: 3,
                    ..replica
                },
            )
        })
        .collect();
    for replica in &models {
        world.start_sidecar(replica, &CONTROLS);
    }
    for n in 0..3 {
        let replica = Replica {
            service: "app",
            kind: Kind::App,
            pace: ms(10),
            state: Mutex::new(State::default()),
            ..engine(&format!("i-app-{n}"), "hall-a", 0)
        };
        world.start_replica(51 + n, replica);
    }
    world.start_entry(ENTRY, &CONTROLS);
    world.publish(&CONTROLS, &config(1, false));
    world.wait_until_ready(ENTRY);
    thread::sleep(ms(3_000));
    world.publish(&CONTROLS, &config(2, true));
    world
        .record
        .note("the configuration adds the route report to the service llm");
    thread::sleep(ms(5_000));
    let mut statuses = Vec::new();
    let mut served = [0, 0];
    for n in 0..REQUESTS {
        if n == BEFORE && has_trouble() {
            let asked: Vec<u16> = (0..WITH_VERSION)
                .map(|n| {
                    let header = "X-Lilacspindle-Expected-Version: 1\r\n";
                    generate_on(world, "report", &format!("old-{n}"), header).status
                })
                .collect();
            world.record.note(&format!(
                "{WITH_VERSION} requests ask for weights 1, which the replicas had before: {asked:?}"
            ));
        }
        served[0] += usize::from(scan(world, &format!("scan-{n}")));
        let got = generate_on(world, "report", &format!("report-{n}"), "");
        served[1] += usize::from(got.status == 200 && got.is_whole);
        statuses.push(got.status);
        thread::sleep(ms(200));
    }
    world.record.note(&format!(
        "ordinary requests on the added route: {statuses:?}"
    ));
    world.check_processes();
    if served[0] < REQUESTS / 2 {
        give_up("too few requests of the first route were served");
    }
    Verdict {
        is_broken: 4 * served[1] < served[0],
        text: format!(
            "{} of {REQUESTS} ordinary requests on the added route were served, {} of {REQUESTS} on the \
             first one",
            served[1], served[0]
        ),
    }
}
