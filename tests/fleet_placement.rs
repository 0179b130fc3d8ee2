//! Placement of generations by the hub, without I/O.

mod fleet_support;

use std::sync::Arc;

use fleet_support::{LONG, address, listed, report};
use lilacspindle::domain::fleet::{Candidate, Hub, Load, PlacementRequest};
use quickcheck::quickcheck;

const PLANNED_TOKENS: u64 = 20_000;
const ENTRY: &str = "entry-1";

fn hub(engines: u8) -> Hub {
    let mut hub = Hub::new(1);
    hub.list((0..engines).map(|number| listed(number, "a")).collect(), 0);
    hub
}

fn request(entry: &str, engines: impl Iterator<Item = u8>) -> PlacementRequest {
    PlacementRequest {
        entry: entry.into(),
        demand: LONG,
        planned_tokens: PLANNED_TOKENS,
        slots: 24,
        unread_limit_tokens: Some(u64::MAX),
        candidates: engines
            .map(|number| Candidate {
                identity: format!("i-{number}").into(),
                penalty_ms: 0,
            })
            .collect(),
    }
}

/// Returns the loads of an entry with `running` generations at one engine.
fn loads(number: u8, running: u32) -> Vec<Load> {
    let count = u64::from(running);
    vec![Load {
        identity: format!("i-{number}").into(),
        running,
        committed_tokens: count * LONG.total_tokens(),
        prefill_tokens: count * LONG.prompt_tokens,
        ..Load::default()
    }]
}

/// Generations that arrive between two syncs of their entries must not all be placed on one engine,
/// where they would wait for each other's prompts. This occurred on large fleets.
#[test]
fn concurrent_generations_get_different_engines() {
    let mut hub = hub(44);
    let mut given = [0; 44];
    for number in 0..44 {
        let request = request(&format!("entry-{}", number % 26), 0..44);
        given[hub.place(&request, 5).unwrap()] += 1;
    }
    assert_eq!(given, [1; 44]);
}

/// A generation must not count twice once its entry reports it, and must not be lost because the
/// entry's load was in flight when it was placed.
#[test]
fn reservation_counts_until_its_entry_reports_it() {
    let entry: Arc<str> = ENTRY.into();
    let other: Arc<str> = "entry-2".into();
    let mut hub = hub(1);
    assert_eq!(hub.place(&request(ENTRY, 0..1), 1_000), Some(0));
    let seen = |hub: &Hub, now_ms| {
        hub.instance_updates(&other, now_ms)
            .first()
            .map_or(0, |p| p.running)
    };
    hub.load(&entry, &[], 1_005);
    assert_eq!(seen(&hub, 1_010), 1);
    assert!(
        hub.instance_updates(&entry, 1_010).is_empty(),
        "an entry is not sent its own load"
    );
    hub.load(&entry, &loads(0, 1), 1_200);
    assert_eq!(seen(&hub, 1_210), 1);
    hub.load(&entry, &[], 1_400);
    assert_eq!(seen(&hub, 1_410), 0);
}

/// Room must not stay reserved for an entry that never reports its generation.
#[test]
fn reservation_of_a_silent_entry_expires() {
    let mut hub = hub(1);
    for _ in 0..5 {
        assert_eq!(hub.place(&request(ENTRY, 0..1), 0), Some(0));
    }
    assert_eq!(hub.place(&request(ENTRY, 0..1), 500), None);
    assert_eq!(hub.place(&request(ENTRY, 0..1), 700), Some(0));
}

/// A generation must not be placed on an engine that is leaving, gone or worse than another one.
#[test]
fn placement_is_at_the_best_engine_that_stays() {
    let entry: Arc<str> = ENTRY.into();
    let mut hub = hub(4);
    hub.report(address(0), report(0, Some(1_500)), 0);
    hub.load(&entry, &loads(1, 2), 0);
    let mut candidates = request(ENTRY, [9, 0, 1, 2, 3].into_iter());
    candidates.candidates[3].penalty_ms = 100;
    assert_eq!(hub.place(&candidates, 10), Some(4));
    assert_eq!(hub.place(&candidates, 10), Some(3));
    assert_eq!(hub.place(&request(ENTRY, 0..1), 10), None);
}

/// The generations of a leaving engine must not all be moved to one target. In a load test the
/// target refused those that it had no room for, and time was lost.
#[test]
fn concurrent_moves_get_targets_with_room() {
    let mut hub = hub(2);
    let moved = PlacementRequest {
        planned_tokens: LONG.total_tokens(),
        unread_limit_tokens: None,
        ..request(ENTRY, 0..2)
    };
    assert_eq!(hub.with_room(&moved, 0), [(0, address(0)), (1, address(1))]);
    hub.reserve(&moved, 0, 0);
    assert_eq!(hub.with_room(&moved, 0), [(1, address(1))]);
    let updates = hub.instance_updates("entry-2", 10);
    assert_eq!((updates[0].running, updates[0].prefill_tokens), (1, 0));
    // The memory in use that the engine reports counts too.
    hub.report(address(1), report(32_000, None), 10);
    assert!(hub.with_room(&moved, 10).is_empty());
}

quickcheck! {
    /// Entries that place between two reports of their load must not fill engines beyond the memory
    /// that may be committed.
    fn engines_are_never_planned_beyond_their_memory(steps: Vec<(u8, u8, u8, bool)>) -> bool {
        let mut hub = hub(3);
        let mut now_ms = 0;
        // The running generations of each entry by engine, and when it last reported them.
        let mut running = [[0u32; 3]; 4];
        let mut reported_ms = [0u64; 4];
        for (entry, engine, pause_ms, asks) in steps {
            now_ms += u64::from(pause_ms % 40);
            let (entry, engine) = (usize::from(entry % 4), engine % 3);
            if asks {
                let offered = [engine, (engine + 1) % 3];
                let request = request(&format!("entry-{entry}"), offered.into_iter());
                if let Some(at) = hub.place(&request, now_ms) {
                    running[entry][usize::from(offered[at])] += 1;
                }
            }
            // Every entry reports its loads within 250 ms.
            for (number, placed) in running.iter().enumerate() {
                let due = now_ms >= reported_ms[number] + 200 || (!asks && number == entry);
                if due {
                    reported_ms[number] = now_ms;
                    let reported: Vec<Load> = (0..3)
                        .flat_map(|at| loads(at, placed[usize::from(at)]))
                        .collect();
                    hub.load(&format!("entry-{number}").into(), &reported, now_ms);
                }
            }
        }
        (0..3).all(|engine| {
            let total: u32 = running.iter().map(|placed| placed[engine]).sum();
            u64::from(total) * LONG.total_tokens() <= PLANNED_TOKENS
        })
    }
}

/// After a reclaim on a large fleet, all waiting generations were placed on the next new engine at
/// once, and the last prompt was processed after two seconds.
#[test]
fn engine_gets_no_more_prompts_than_it_processes_in_time() {
    let mut hub = hub(1);
    let request = PlacementRequest {
        unread_limit_tokens: Some(2 * LONG.prompt_tokens + 500),
        ..request(ENTRY, 0..1)
    };
    let placed = (0..6).filter(|_| hub.place(&request, 10).is_some());
    assert_eq!(placed.count(), 2);
    // A generation that is moved together with its memory has no prompt to process.
    let moved = PlacementRequest {
        unread_limit_tokens: None,
        ..request.clone()
    };
    assert!(hub.place(&moved, 10).is_some());
    let read = Load {
        identity: "i-0".into(),
        running: 3,
        committed_tokens: 3 * LONG.total_tokens(),
        prefill_tokens: 0,
        ..Load::default()
    };
    hub.load(&request.entry, &[read], 100);
    assert!(hub.place(&request, 100).is_some());
}

/// A prompt that is too long for every engine's time limit must still be processed.
#[test]
fn idle_engine_accepts_every_prompt() {
    let mut hub = hub(1);
    let request = PlacementRequest {
        unread_limit_tokens: Some(10),
        ..request(ENTRY, 0..1)
    };
    assert!(hub.place(&request, 10).is_some());
    assert!(hub.place(&request, 10).is_none());
}
