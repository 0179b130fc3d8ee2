//! A generation is taken away from a replica that leaves, and goes on at another one, while the first
//! still works on it: the entry closes the connection, but does not tell the replica to stop.

use std::sync::Arc;
use std::thread;
use std::time::Instant;

use crate::late_move::{CONTROLS, ENTRY, LEAVES_IN_MS, LIST_LAG_MS, config, engine, generate};
use crate::world::{Replica, World, give_up, ms};
use crate::{Verdict, has_trouble};

/// Generations at work at the same time, over seven replicas.
const GENERATIONS: u64 = 20;
/// The replica before may work on for this long after the request goes on elsewhere.
const STILL_AT_WORK_MS: u64 = 400;

pub fn play(world: &Arc<World>) -> Verdict {
    for control in CONTROLS {
        world.start_control(control, &CONTROLS);
    }
    let replicas: Vec<_> = (0..7)
        .map(|n| {
            // Most replicas drop a request when its connection closes; the first one does not.
            let replica = engine(&format!("i-{n}"), "hall-a", 0);
            world.start_replica(
                31 + n,
                Replica {
                    drops_closed: n > 0,
                    ..replica
                },
            )
        })
        .collect();
    for replica in &replicas {
        world.start_sidecar(replica, &CONTROLS);
    }
    world.start_entry(ENTRY, &CONTROLS);
    world.publish(&CONTROLS, &config());
    world.wait_until_ready(ENTRY);
    thread::sleep(ms(3_000));
    world
        .record
        .note("traffic begins: generations of 150 events each, 100 ms apart");
    let clients: Vec<_> = (0..GENERATIONS)
        .map(|n| {
            thread::sleep(ms(50));
            let world = Arc::clone(world);
            thread::spawn(move || generate(&world, &format!("r{n}")))
        })
        .collect();
    thread::sleep(ms(2_500));
    let source = &replicas[0];
    if source.state.lock().unwrap().runs.is_empty() {
        give_up("the replica that leaves runs no generation");
    }
    if has_trouble() {
        source.drain(ms(LEAVES_IN_MS), ms(LIST_LAG_MS));
        world.record.note(&format!(
            "{} drains; it serves for {LEAVES_IN_MS} ms more, the list shows it in {LIST_LAG_MS} ms",
            source.id
        ));
    }
    let mut served = 0;
    for (n, client) in clients.into_iter().enumerate() {
        let got = client.join().unwrap_or_else(|_| give_up("a client failed"));
        served += usize::from(got.status == 200);
        world.record.note(&format!(
            "client r{n}: status {}, {} events, whole = {}",
            got.status,
            got.ids.len(),
            got.is_whole
        ));
    }
    world.check_processes();
    if served < 15 {
        give_up("too few generations were served");
    }
    verdict(&find_twice(&replicas))
}

/// Returns the requests that went on at another replica while the one before still worked on them.
pub fn find_twice(replicas: &[Arc<Replica>]) -> Vec<String> {
    let mut twice = Vec::new();
    let now = Instant::now();
    for later in replicas {
        let later_state = later.state.lock().unwrap();
        for (id, run) in later_state.runs.iter().filter(|(_, run)| run.goes_on) {
            let begun = run.begun;
            for before in replicas.iter().filter(|before| before.id != later.id) {
                let state = before.state.lock().unwrap();
                let Some(other) = state.runs.get(id).filter(|other| other.begun < begun) else {
                    continue;
                };
                let beside = other.ended.unwrap_or(now).saturating_duration_since(begun);
                if beside > ms(STILL_AT_WORK_MS) {
                    twice.push(format!(
                        "request {id} went on at {} while {} worked on it for {} ms more, up to event {}",
                        later.id,
                        before.id,
                        beside.as_millis(),
                        other.made
                    ));
                }
            }
        }
    }
    twice
}

pub fn verdict(twice: &[String]) -> Verdict {
    let text = match twice.is_empty() {
        false => twice.join("; "),
        true => "no two replicas worked on one request".to_owned(),
    };
    Verdict {
        is_broken: !twice.is_empty(),
        text,
    }
}
