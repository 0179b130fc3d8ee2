//! A replica runs a generation and its answer is lost on the way: the connection closes and the run
//! goes on. The entry lets the generation go on at the replica with the backup at once, without asking
//! the first one, which answers all calls.

use std::sync::Arc;
use std::thread;

use crate::late_move::{CONTROLS, ENTRY, config, engine, generate};
use crate::unstopped_run::{find_twice, verdict};
use crate::world::{Replica, World, give_up, ms};
use crate::{Verdict, has_trouble};

/// Generations at work at the same time. One of them loses its answer: a twentieth.
const GENERATIONS: u64 = 20;

pub fn play(world: &Arc<World>) -> Verdict {
    for control in CONTROLS {
        world.start_control(control, &CONTROLS);
    }
    let replicas: Vec<_> = (0..7)
        .map(|n| world.start_replica(31 + n, engine(&format!("i-{n}"), "hall-a", 0)))
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
    thread::sleep(ms(3_000));
    let runs_first =
        |replica: &&Arc<Replica>| replica.state.lock().unwrap().runs.contains_key("r0");
    let source = replicas.iter().find(runs_first);
    let source = source.unwrap_or_else(|| give_up("no replica runs the generation"));
    if has_trouble() {
        source.state.lock().unwrap().loses_answer_of = Some("r0".to_owned());
        world.record.note(&format!(
            "{} loses the answer to r0, which it goes on to run",
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
