//! The queue of generations that wait for room, without I/O.

mod fleet_support;

use fleet_support::LONG;
use lilacspindle::domain::fleet::{
    Candidate, Demand, Outlook, PendingGeneration, PlacementDecision, PlacementQueue,
    PlacementRequest, RefusedCalls,
};
use quickcheck::quickcheck;

const SHORT: Demand = Demand {
    prompt_tokens: 2_200,
    output_tokens: 12,
    gap_target_ms: None,
};
/// Time for which a generation may wait in these tests.
const LIMIT_MS: u64 = 900;
/// Interval between two calls of `serve`.
const SERVE_INTERVAL_MS: u64 = 20;

fn request(demand: Demand) -> PlacementRequest {
    PlacementRequest {
        entry: "entry-1".into(),
        demand,
        planned_tokens: 20_000,
        slots: 24,
        unread_limit_tokens: Some(u64::MAX),
        candidates: vec![Candidate {
            identity: "i-1".into(),
            penalty_ms: 0,
        }],
    }
}

/// Returns a generation that has just arrived.
fn pending(demand: Demand, since_ms: u64) -> PendingGeneration {
    PendingGeneration::new(demand, since_ms, LIMIT_MS, LIMIT_MS, since_ms)
}

fn join(
    queue: &mut PlacementQueue,
    pending: PendingGeneration,
    now_ms: u64,
) -> Result<u64, Outlook> {
    queue.join(request(pending.demand), pending, now_ms)
}

/// Returns the ids of the generations in the order in which they are placed, one per call of
/// `serve`.
fn order(queue: &mut PlacementQueue, now_ms: u64) -> Vec<u64> {
    let mut found = Vec::new();
    for call in 0..100 {
        let mut rooms = 1;
        let place = |_: &PlacementRequest| {
            rooms -= 1;
            (rooms == 0).then_some(0)
        };
        for (id, decision) in queue.serve(place, now_ms + call) {
            assert_eq!(decision, PlacementDecision::Placed(0));
            found.push(id);
        }
    }
    found
}

/// Short generations must not wait behind long ones.
#[test]
fn short_generations_are_placed_before_long_ones() {
    let mut queue = PlacementQueue::default();
    let long = join(&mut queue, pending(LONG, 0), 0).unwrap();
    let short = join(&mut queue, pending(SHORT, 50), 50).unwrap();
    let next = join(&mut queue, pending(SHORT, 60), 60).unwrap();
    assert_eq!(order(&mut queue, 100), [short, next, long]);
}

/// The longest generations must not wait forever, and several shorter ones must not be refused in
/// favour of one long one. A generation that occupies its room for longer is ordered as if it had
/// arrived later, up to a limit.
#[test]
fn longer_generations_are_ordered_as_if_they_arrived_later() {
    let of_tokens = |output_tokens| Demand {
        output_tokens,
        ..LONG
    };
    let mut queue = PlacementQueue::default();
    let longest = join(&mut queue, pending(of_tokens(20_000), 0), 0).unwrap();
    let long = join(&mut queue, pending(of_tokens(800), 100), 100).unwrap();
    let middle = join(&mut queue, pending(of_tokens(200), 200), 200).unwrap();
    let last = join(&mut queue, pending(of_tokens(200), 390), 390).unwrap();
    assert_eq!(order(&mut queue, 400), [middle, long, longest, last]);
}

/// While a fleet was asked for too much for many seconds, room went to retries that were too late
/// for their target, and new calls were refused for it.
#[test]
fn late_calls_are_placed_after_those_in_time() {
    let mut refused_calls = RefusedCalls::default();
    let mut queue = PlacementQueue::default();
    assert_eq!(refused_calls.first_ms(7, 1_000), 1_000);
    refused_calls.remember(7, 1_000, 1_000);
    // The retry is in time, and keeps its position before a call that arrived in the meantime.
    let first_ms = refused_calls.first_ms(7, 1_500);
    let new = join(&mut queue, pending(LONG, 1_200), 1_500).unwrap();
    let back = join(&mut queue, pending(LONG, first_ms), 1_500).unwrap();
    let late = PendingGeneration::new(LONG, 100, LIMIT_MS, LIMIT_MS, 1_500);
    assert!(late.late);
    let late = join(&mut queue, late, 1_500).unwrap();
    assert_eq!(order(&mut queue, 1_510), [back, new, late]);
    refused_calls.forget(7);
    assert_eq!(refused_calls.first_ms(7, 1_600), 1_600);
}

/// Refused calls must not be stored forever: a later call with the same content is a different one.
#[test]
fn calls_that_are_not_retried_expire() {
    let mut refused_calls = RefusedCalls::default();
    refused_calls.remember(7, 0, 0);
    assert_eq!(refused_calls.first_ms(7, 14_000), 0);
    assert_eq!(refused_calls.first_ms(7, 16_000), 16_000);
    for call in 0..50_000 {
        refused_calls.remember(call, call, call);
    }
    assert_eq!(refused_calls.first_ms(49_999, 50_100), 49_999);
}

/// Callers must not be kept waiting if no room can be expected in time. They are refused at once,
/// with the time until those that wait are placed.
#[test]
fn generations_without_room_in_time_are_refused_at_once() {
    let mut queue = PlacementQueue::default();
    let mut joined = 0;
    let refused = loop {
        match join(&mut queue, pending(LONG, 0), 0) {
            Ok(_) => joined += 1,
            Err(outlook) => break outlook,
        }
    };
    assert!(joined > 3, "some may wait: {joined}");
    assert_eq!(refused.ahead, joined);
    assert!(refused.expected_ms > LIMIT_MS);
    assert!(refused.retry_after_ms >= LIMIT_MS);
    // Room never becomes free. The last ones are refused first, and all before their time is up.
    let mut refusals = Vec::new();
    for now_ms in (0..=LIMIT_MS).step_by(usize::try_from(SERVE_INTERVAL_MS).unwrap()) {
        let decisions = queue.serve(|_| None, now_ms);
        refusals.extend(decisions.into_iter().map(|(id, _)| (id, now_ms)));
    }
    assert!(queue.is_empty());
    assert!(refusals.iter().any(|(_, at_ms)| *at_ms < LIMIT_MS / 2));
    let first_in_line = refusals.iter().find(|(id, _)| *id == 0).unwrap();
    assert_eq!(refusals.last(), Some(first_in_line));
}

/// After a power loss on a large fleet all engines were free, and callers were refused based on the
/// rate of a small fleet.
#[test]
fn first_rate_follows_the_size_of_the_fleet() {
    let joined_at = |engines| {
        let mut queue = PlacementQueue::default();
        queue.expect(engines);
        let joins = (0..1_000).take_while(|_| join(&mut queue, pending(LONG, 0), 0).is_ok());
        joins.count()
    };
    let (small, large) = (joined_at(14), joined_at(128));
    assert!(large > 8 * small, "{large} of {small}");
}

/// A call from an earlier term of the leader must not remove a later one from the queue.
#[test]
fn ids_are_not_reused() {
    let mut queue = PlacementQueue::default();
    let before = join(&mut queue, pending(LONG, 0), 0).unwrap();
    queue.clear();
    assert!(queue.is_empty());
    let after = join(&mut queue, pending(LONG, 10), 10).unwrap();
    queue.leave(before);
    assert_eq!(order(&mut queue, 20), [after]);
}

/// Returns the number of generations that wait when room becomes free at a constant rate.
fn admitted(rooms_per_call: usize) -> usize {
    let mut queue = PlacementQueue::default();
    let mut waiting = 0_usize;
    for now_ms in (0..10_000).step_by(usize::try_from(SERVE_INTERVAL_MS).unwrap()) {
        while join(&mut queue, pending(LONG, now_ms), now_ms).is_ok() {
            waiting += 1;
        }
        let mut left = rooms_per_call;
        let place = |_: &PlacementRequest| {
            left = left.checked_sub(1)?;
            Some(0)
        };
        waiting -= queue.serve(place, now_ms).len();
    }
    waiting
}

/// The length of the queue must depend on the size of the fleet.
#[test]
fn more_may_wait_where_more_room_is_found() {
    let (small, large) = (admitted(1), admitted(4));
    // At 50 placements a second, 45 wait for 0.9 s.
    assert!((30..=60).contains(&small), "{small}");
    assert!(large > 3 * small, "{large} of {small}");
}

/// The queue must not stay closed. The rate is measured only while generations wait, and dropped to
/// zero while engines made no room.
#[test]
fn queue_reopens_after_a_time_without_room() {
    let mut queue = PlacementQueue::default();
    for now_ms in (0..20_000).step_by(usize::try_from(SERVE_INTERVAL_MS).unwrap()) {
        let _ = join(&mut queue, pending(LONG, now_ms), now_ms);
        queue.serve(|_| None, now_ms);
    }
    // Room becomes free again, once per call of `serve`.
    let mut placed = 0;
    for now_ms in (30_000..40_000).step_by(usize::try_from(SERVE_INTERVAL_MS).unwrap()) {
        while join(&mut queue, pending(LONG, now_ms), now_ms).is_ok() {}
        let mut rooms = 1;
        let place = |_: &PlacementRequest| {
            rooms -= 1;
            (rooms == 0).then_some(0)
        };
        let decisions = queue.serve(place, now_ms).into_iter();
        placed += decisions
            .filter(|(_, decision)| *decision == PlacementDecision::Placed(0))
            .count();
    }
    assert!(placed > 450, "{placed} of 500 rooms were used");
}

quickcheck! {
    /// A generation must not be placed twice, lost, or served after it has left.
    fn each_generation_gets_one_decision(steps: Vec<(u8, u8)>) -> bool {
        let mut queue = PlacementQueue::default();
        let mut open = Vec::new();
        let mut now_ms = 0;
        for (step, value) in steps {
            match step % 4 {
                0 | 1 => {
                    let demand = if value % 2 == 0 { SHORT } else { LONG };
                    open.extend(join(&mut queue, pending(demand, now_ms), now_ms));
                }
                2 if !open.is_empty() => {
                    queue.leave(open.swap_remove(usize::from(value) % open.len()));
                }
                _ => {
                    now_ms += u64::from(value);
                    let mut rooms = value % 3;
                    let place = |_: &PlacementRequest| {
                        rooms = rooms.checked_sub(1)?;
                        Some(0)
                    };
                    for (id, _) in queue.serve(place, now_ms) {
                        let Some(at) = open.iter().position(|held| *held == id) else {
                            return false;
                        };
                        open.swap_remove(at);
                    }
                }
            }
        }
        queue.is_empty() == open.is_empty()
    }
}

/// After a power loss, dozens of generations arrive before the engines are identified. Most of them
/// were refused based on a rate that says nothing about empty engines.
#[test]
fn no_generation_is_refused_before_the_engines_are_identified() {
    let mut queue = PlacementQueue::default();
    queue.expect(0);
    queue.expect_engines();
    for _ in 0..60 {
        join(&mut queue, pending(LONG, 0), 0).unwrap();
    }
    for now_ms in (20..=160).step_by(20) {
        assert_eq!(queue.serve(|_| None, now_ms), []);
    }
    let mut rooms = 0..45;
    let decisions = queue.serve(|_| rooms.next(), 180);
    assert_eq!(decisions.len(), 45);
    // Once no more room becomes free, the measured rate applies.
    let refused = (200..=2_200)
        .step_by(20)
        .flat_map(|now_ms| queue.serve(|_| None, now_ms));
    assert_eq!(refused.count(), 15);
}
