//! A generation that has not begun loses its replica, and goes on at the one with its backup, which
//! leaves and was listed as draining long before.

use std::sync::Arc;
use std::thread;

use crate::late_move::{CONTROLS, ENTRY, LEAVES_IN_MS, LIST_LAG_MS, config, engine, generate};
use crate::world::{DRAIN_MS, Replica, World, give_up, ms};
use crate::{Verdict, has_trouble};

/// Time from the notice of the one replica to the crash of the other. The caller waits longer for its
/// first event: four times the objective of 1.8 s.
const CRASH_AFTER_MS: u64 = 5_000;
/// The list is read several times a second; this much later it is known.
const LIST_READ_MS: u64 = 1_000;

pub fn play(world: &Arc<World>) -> Verdict {
    for control in CONTROLS {
        world.start_control(control, &CONTROLS);
    }
    let replicas: Vec<_> = (0..7)
        .map(|n| {
            // The first event of an answer comes after some seconds.
            let replica = engine(&format!("i-{n}"), "hall-a", 0);
            world.start_replica(
                31 + n,
                Replica {
                    events: 3,
                    pace: ms(6_500),
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
        .note("traffic begins: one generation, whose first event comes after 6500 ms");
    let client = {
        let world = Arc::clone(world);
        thread::spawn(move || generate(&world, "r1"))
    };
    thread::sleep(ms(500));
    let arrivals = |replica: &Arc<Replica>| replica.state.lock().unwrap().arrivals.clone();
    let source = replicas
        .iter()
        .find(|replica| !arrivals(replica).is_empty());
    let source = source.unwrap_or_else(|| give_up("no replica got the generation"));
    let backup = arrivals(source)[0].backup.clone();
    let keeper = replicas
        .iter()
        .find(|r| backup == Some(r.address.to_string()));
    let keeper = keeper.unwrap_or_else(|| give_up("the generation has no backup"));
    if has_trouble() {
        keeper.drain(ms(LEAVES_IN_MS), ms(LIST_LAG_MS));
        world.record.note(&format!(
            "{} drains; it serves for {LEAVES_IN_MS} ms more, the list shows it in {LIST_LAG_MS} ms",
            keeper.id
        ));
        thread::sleep(ms(CRASH_AFTER_MS));
        source.state.lock().unwrap().gone = true;
        source.close_all();
        world.record.note(&format!("{} crashes", source.id));
    }
    let got = client
        .join()
        .unwrap_or_else(|_| give_up("the client failed"));
    world.record.note(&format!(
        "client: status {}, {} events",
        got.status,
        got.ids.len()
    ));
    world.check_processes();
    if !has_trouble() && got.status != 200 {
        give_up("the generation was not served");
    }
    let mut late = Vec::new();
    for replica in &replicas {
        let state = replica.state.lock().unwrap();
        let Some(listed) = state.listed_draining else {
            continue;
        };
        let bound = listed + ms(LIST_READ_MS + DRAIN_MS);
        for arrival in state.arrivals.iter().filter(|a| a.at > bound) {
            let after = arrival.at.duration_since(listed).as_millis();
            late.push(format!(
                "request {} reached {} {after} ms after the list showed it as draining (Kv-From = {:?})",
                arrival.id, replica.id, arrival.kv_from
            ));
        }
    }
    let text = match late.is_empty() {
        false => late.join("; "),
        true => "no request reached a draining replica late".to_owned(),
    };
    Verdict {
        is_broken: !late.is_empty(),
        text,
    }
}
