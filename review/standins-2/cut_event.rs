//! A replica breaks a stream off inside an event, with the regular end of a body in chunks. The entry ends
//! the answer to its client as complete.

use std::sync::Arc;
use std::thread;

use crate::late_move::{CONTROLS, ENTRY, config, engine, generate};
use crate::world::{Replica, World, give_up, ms};
use crate::{Verdict, has_trouble};

/// Generations at work at the same time. One of them is broken off: a twentieth.
const GENERATIONS: u64 = 20;
/// Events of a whole answer.
const EVENTS: usize = 100;

pub fn play(world: &Arc<World>) -> Verdict {
    for control in CONTROLS {
        world.start_control(control, &CONTROLS);
    }
    let replicas: Vec<_> = (0..7)
        .map(|n| {
            let replica = engine(&format!("i-{n}"), "hall-a", 0);
            world.start_replica(
                31 + n,
                Replica {
                    events: EVENTS as u64,
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
        .note("traffic begins: generations of 100 events each, 100 ms apart");
    let clients: Vec<_> = (0..GENERATIONS)
        .map(|n| {
            thread::sleep(ms(50));
            let world = Arc::clone(world);
            thread::spawn(move || generate(&world, &format!("r{n}")))
        })
        .collect();
    thread::sleep(ms(3_000));
    let runs_first =
        |replica: &&Arc<Replica>| replica.state.lock().unwrap().runs.contains_key("r0");
    let source = replicas.iter().find(runs_first);
    let source = source.unwrap_or_else(|| give_up("no replica runs the generation"));
    if has_trouble() {
        source.state.lock().unwrap().cuts_answer_of = Some("r0".to_owned());
        world.record.note(&format!(
            "{} breaks the answer to r0 off inside an event",
            source.id
        ));
    }
    let mut early = Vec::new();
    let mut served = 0;
    for (n, client) in clients.into_iter().enumerate() {
        let got = client.join().unwrap_or_else(|_| give_up("a client failed"));
        world.record.note(&format!(
            "client r{n}: status {}, {} ids of events, regular end = {}",
            got.status,
            got.ids.len(),
            got.is_whole
        ));
        served += usize::from(got.status == 200 && got.ids.len() == EVENTS);
        if got.is_whole && got.ids.last() != Some(&(EVENTS as u64)) {
            early.push(format!(
                "r{n} ended as complete at event {:?}",
                got.ids.last()
            ));
        }
    }
    world.check_processes();
    if served < 15 {
        give_up("too few generations were served");
    }
    let text = match early.is_empty() {
        false => format!("{} of {EVENTS}", early.join("; ")),
        true => "no stream ended as complete before its last event".to_owned(),
    };
    Verdict {
        is_broken: !early.is_empty(),
        text,
    }
}
