//! A configuration adds a streaming route to a service whose replicas are no model replicas. The entry
//! holds each stream back until its end, and the clients give up before.

use std::sync::Arc;
use std::thread;

use crate::late_move::{CONTROLS, ENTRY, Stream, engine, generate_on};
use crate::world::{Replica, World, give_up, ms};
use crate::{Verdict, has_trouble};

/// Requests on each of the two routes; the rule asks for 20 or more on the added one.
const REQUESTS: u64 = 24;

fn config(version: u32, with_added: bool) -> String {
    let route = |name: &str, service: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"depot.example\",\"pathPrefix\":\"/{name}/\",\
             \"kind\":\"streaming\",\"timeoutMs\":39000,\"targetLatencyMs\":1800,\"priority\":0,\
             \"service\":\"{service}\",\"maxAttempts\":1,\"allowAnonymous\":false,\
             \"stickySessions\":true,\"resumeStreams\":false,\"gapTargetMs\":180}}"
        )
    };
    let mut routes = vec![route("report", "llm")];
    if with_added {
        routes.push(route("digest", "desk"));
    }
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"llm\",\
         \"healthCheckPath\":\"/health\",\"maxConnections\":242,\"protocol\":\"h1\",\"tls\":false,\
         \"engine\":{{\"slots\":24,\"kvCacheTokens\":34342,\"kvBytes\":163840,\
         \"linkMbps\":24000.0,\"moves\":true,\"backups\":true,\"stride\":4,\"most\":12,\
         \"pinMs\":4000.0,\"holdMs\":2000.0,\"handleS\":5.0,\"models\":[{{\"name\":\"m\"}}]}}}},\
         {{\"name\":\"desk\",\"healthCheckPath\":\"/health\",\"maxConnections\":120,\
         \"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\
         \"tenants\":[{{\"name\":\"depot\",\"apiKeys\":[\"key-depot\"],\"priority\":1}}]}}",
        routes.join(",")
    )
}

/// Sends requests on a route, one every 100 ms. Returns what the clients have got.
fn stream_all(world: &Arc<World>, route: &'static str) -> thread::JoinHandle<Vec<Stream>> {
    let world = Arc::clone(world);
    thread::spawn(move || {
        let clients: Vec<_> = (0..REQUESTS)
            .map(|n| {
                thread::sleep(ms(100));
                let world = Arc::clone(&world);
                thread::spawn(move || generate_on(&world, route, &format!("{route}-{n}"), ""))
            })
            .collect();
        let join = |client: thread::JoinHandle<Stream>| {
            client.join().unwrap_or_else(|_| give_up("a client failed"))
        };
        clients.into_iter().map(join).collect()
    })
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
                    events: 100,
                    ..replica
                },
            )
        })
        .collect();
    for replica in &models {
        world.start_sidecar(replica, &CONTROLS);
    }
    for n in 0..3 {
        let replica = engine(&format!("i-desk-{n}"), "hall-a", 0);
        let replica = Replica {
            events: 100,
            service: "desk",
            ..replica
        };
        world.start_replica(51 + n, replica);
    }
    world.start_entry(ENTRY, &CONTROLS);
    world.publish(&CONTROLS, &config(1, false));
    world.wait_until_ready(ENTRY);
    thread::sleep(ms(3_000));
    if has_trouble() {
        world.publish(&CONTROLS, &config(2, true));
        world
            .record
            .note("the configuration adds the route digest to the service desk");
    }
    // Steady state: long after `configurationApplyMs`.
    thread::sleep(ms(5_000));
    world
        .record
        .note("traffic begins: streams of 100 events, 100 ms apart, on each route");
    let first = stream_all(world, "report");
    let added = has_trouble().then(|| stream_all(world, "digest"));
    let count = |got: &[Stream], route: &str| {
        for (n, stream) in got.iter().enumerate() {
            world.record.note(&format!(
                "client {route}-{n}: status {}, {} events, whole = {}",
                stream.status,
                stream.ids.len(),
                stream.is_whole
            ));
        }
        got.iter()
            .filter(|stream| stream.status == 200 && stream.is_whole)
            .count()
    };
    let first = first
        .join()
        .unwrap_or_else(|_| give_up("the clients failed"));
    let served_first = count(&first, "report");
    let added = added.map(|added| {
        added
            .join()
            .unwrap_or_else(|_| give_up("the clients failed"))
    });
    let served_added = added.map(|added| count(&added, "digest"));
    world.check_processes();
    if served_first < 12 {
        give_up("too few requests of the first route were served");
    }
    let text = match served_added {
        Some(served) => format!(
            "{served} of {REQUESTS} requests on the added route were served, {served_first} of \
             {REQUESTS} on the first one"
        ),
        None => format!("{served_first} of {REQUESTS} requests on the first route were served"),
    };
    Verdict {
        is_broken: served_added.is_some_and(|served| 4 * served < served_first),
        text,
    }
}
