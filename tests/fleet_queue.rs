//! The queue of generations that wait for room, without I/O.

mod fleet_support;

use fleet_support::LONG;
use lilacspindle::domain::fleet::{
    Candidate, Demand, Outlook, PlacementRequest, RoomQueue, TurnedAway, Verdict, Wish,
};
use quickcheck::quickcheck;

const SHORT: Demand = Demand {
    prompt_tokens: 2_200,
    output_tokens: 12,
};
/// Time for which a generation may wait in these tests.
const LIMIT_MS: u64 = 900;
/// Time between two looks for room.
const LOOK_MS: u64 = 20;

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

/// Returns the wish of a generation that has just come.
fn wish(demand: Demand, since_ms: u64) -> Wish {
    Wish::new(demand, since_ms, LIMIT_MS, LIMIT_MS, since_ms)
}

fn join(queue: &mut RoomQueue, wish: Wish, now_ms: u64) -> Result<u64, Outlook> {
    queue.join(request(wish.demand), wish, now_ms)
}

/// Returns the numbers of the generations in the order in which they find room, one at each look.
fn order(queue: &mut RoomQueue, now_ms: u64) -> Vec<u64> {
    let mut found = Vec::new();
    for look in 0..100 {
        let mut rooms = 1;
        let place = |_: &PlacementRequest| {
            rooms -= 1;
            (rooms == 0).then_some(0)
        };
        for (id, verdict) in queue.serve(place, now_ms + look) {
            assert_eq!(verdict, Verdict::Placed(0));
            found.push(id);
        }
    }
    found
}

/// Guards against small calls that wait behind long ones.
#[test]
fn short_generations_are_placed_before_long_ones() {
    let mut queue = RoomQueue::default();
    let long = join(&mut queue, wish(LONG, 0), 0).unwrap();
    let short = join(&mut queue, wish(SHORT, 50), 50).unwrap();
    let next = join(&mut queue, wish(SHORT, 60), 60).unwrap();
    assert_eq!(order(&mut queue, 100), [short, next, long]);
}

/// Guards against the longest generations that wait for ever, and against as many shorter ones that are
/// turned away for one long one: what holds its room for longer counts as if it came later, within
/// limits.
#[test]
fn longer_generations_count_as_if_they_came_later() {
    let of_tokens = |output_tokens| Demand {
        output_tokens,
        ..LONG
    };
    let mut queue = RoomQueue::default();
    let longest = join(&mut queue, wish(of_tokens(20_000), 0), 0).unwrap();
    let long = join(&mut queue, wish(of_tokens(800), 100), 100).unwrap();
    let middle = join(&mut queue, wish(of_tokens(200), 200), 200).unwrap();
    let last = join(&mut queue, wish(of_tokens(200), 390), 390).unwrap();
    assert_eq!(order(&mut queue, 400), [middle, long, longest, last]);
}

/// Guards against the load of a fleet that is asked for too much over many seconds: room went to calls
/// that came back too late for their target, and new ones were turned away for it.
#[test]
fn calls_that_are_late_anyway_are_placed_after_those_in_time() {
    let mut turned_away = TurnedAway::default();
    let mut queue = RoomQueue::default();
    assert_eq!(turned_away.first_ms(7, 1_000), 1_000);
    turned_away.remember(7, 1_000, 1_000);
    // It is back within its time, and keeps its place before one that came meanwhile.
    let first_ms = turned_away.first_ms(7, 1_500);
    let new = join(&mut queue, wish(LONG, 1_200), 1_500).unwrap();
    let back = join(&mut queue, wish(LONG, first_ms), 1_500).unwrap();
    let late = Wish::new(LONG, 100, LIMIT_MS, LIMIT_MS, 1_500);
    assert!(late.late);
    let late = join(&mut queue, late, 1_500).unwrap();
    assert_eq!(order(&mut queue, 1_510), [back, new, late]);
    turned_away.forget(7);
    assert_eq!(turned_away.first_ms(7, 1_600), 1_600);
}

/// Guards against calls that are remembered for good: a call of the same content that comes later is
/// another one.
#[test]
fn calls_that_do_not_come_back_are_forgotten() {
    let mut turned_away = TurnedAway::default();
    turned_away.remember(7, 0, 0);
    assert_eq!(turned_away.first_ms(7, 14_000), 0);
    assert_eq!(turned_away.first_ms(7, 16_000), 16_000);
    for call in 0..50_000 {
        turned_away.remember(call, call, call);
    }
    assert_eq!(turned_away.first_ms(49_999, 50_100), 49_999);
}

/// Guards against callers that are held although no room can be expected in time: they are turned
/// away at once, with the time in which those that wait find room.
#[test]
fn hopeless_generations_are_refused_at_once() {
    let mut queue = RoomQueue::default();
    let mut joined = 0;
    let refused = loop {
        match join(&mut queue, wish(LONG, 0), 0) {
            Ok(_) => joined += 1,
            Err(outlook) => break outlook,
        }
    };
    assert!(joined > 3, "some may wait: {joined}");
    assert_eq!(refused.ahead, joined);
    assert!(refused.expected_ms > LIMIT_MS);
    assert!(refused.retry_after_ms >= LIMIT_MS);
    // Nobody finds room; the last ones are refused first, and all before their time is up.
    let mut refusals = Vec::new();
    for now_ms in (0..=LIMIT_MS).step_by(usize::try_from(LOOK_MS).unwrap()) {
        let verdicts = queue.serve(|_| None, now_ms);
        refusals.extend(verdicts.into_iter().map(|(id, _)| (id, now_ms)));
    }
    assert!(queue.is_empty());
    assert!(refusals.iter().any(|(_, at_ms)| *at_ms < LIMIT_MS / 2));
    let first_in_line = refusals.iter().find(|(id, _)| *id == 0).unwrap();
    assert_eq!(refusals.last(), Some(first_in_line));
}

/// Guards against the load after a loss of power on the large site: all engines were free, and callers
/// were turned away by the rate of a small fleet.
#[test]
fn first_rate_follows_the_size_of_the_fleet() {
    let joined_at = |engines| {
        let mut queue = RoomQueue::default();
        queue.expect(engines);
        let joins = (0..1_000).take_while(|_| join(&mut queue, wish(LONG, 0), 0).is_ok());
        joins.count()
    };
    let (small, large) = (joined_at(14), joined_at(128));
    assert!(large > 8 * small, "{large} of {small}");
}

/// Guards against a call of an earlier term of the leader that takes a later one out of the queue.
#[test]
fn numbers_are_not_given_again() {
    let mut queue = RoomQueue::default();
    let before = join(&mut queue, wish(LONG, 0), 0).unwrap();
    queue.clear();
    assert!(queue.is_empty());
    let after = join(&mut queue, wish(LONG, 10), 10).unwrap();
    queue.leave(before);
    assert_eq!(order(&mut queue, 20), [after]);
}

/// Returns how many wait at most when rooms come at a constant rate.
fn admitted(rooms_per_look: usize) -> usize {
    let mut queue = RoomQueue::default();
    let mut waiting = 0_usize;
    for now_ms in (0..10_000).step_by(usize::try_from(LOOK_MS).unwrap()) {
        while join(&mut queue, wish(LONG, now_ms), now_ms).is_ok() {
            waiting += 1;
        }
        let mut left = rooms_per_look;
        let place = |_: &PlacementRequest| {
            left = left.checked_sub(1)?;
            Some(0)
        };
        waiting -= queue.serve(place, now_ms).len();
    }
    waiting
}

/// Guards against a queue that is as long for a small fleet as for a large one.
#[test]
fn more_may_wait_where_more_room_is_found() {
    let (small, large) = (admitted(1), admitted(4));
    // 50 rooms a second let 45 wait for 0.9 s.
    assert!((30..=60).contains(&small), "{small}");
    assert!(large > 3 * small, "{large} of {small}");
}

/// Guards against a queue that nobody can join any more: the rate is measured only while somebody
/// waits, and fell to nothing while engines made no room.
#[test]
fn queue_opens_again_after_a_standstill() {
    let mut queue = RoomQueue::default();
    for now_ms in (0..20_000).step_by(usize::try_from(LOOK_MS).unwrap()) {
        let _ = join(&mut queue, wish(LONG, now_ms), now_ms);
        queue.serve(|_| None, now_ms);
    }
    // Rooms come again, one at each look.
    let mut placed = 0;
    for now_ms in (30_000..40_000).step_by(usize::try_from(LOOK_MS).unwrap()) {
        while join(&mut queue, wish(LONG, now_ms), now_ms).is_ok() {}
        let mut rooms = 1;
        let place = |_: &PlacementRequest| {
            rooms -= 1;
            (rooms == 0).then_some(0)
        };
        let verdicts = queue.serve(place, now_ms).into_iter();
        placed += verdicts.filter(|(_, v)| *v == Verdict::Placed(0)).count();
    }
    assert!(placed > 450, "{placed} of 500 rooms were used");
}

quickcheck! {
    /// Guards against a generation that is placed twice, forgotten, or served after it has left.
    fn each_generation_gets_one_verdict(steps: Vec<(u8, u8)>) -> bool {
        let mut queue = RoomQueue::default();
        let mut open = Vec::new();
        let mut now_ms = 0;
        for (step, value) in steps {
            match step % 4 {
                0 | 1 => {
                    let demand = if value % 2 == 0 { SHORT } else { LONG };
                    open.extend(join(&mut queue, wish(demand, now_ms), now_ms));
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

/// Guards against the load after a loss of power: dozens of generations come before the engines are
/// known, and most of them were refused by a rate that says nothing of empty engines.
#[test]
fn nobody_is_refused_by_the_rate_before_the_engines_are_known() {
    let mut queue = RoomQueue::default();
    queue.expect(0);
    queue.expect_engines();
    for _ in 0..60 {
        join(&mut queue, wish(LONG, 0), 0).unwrap();
    }
    for now_ms in (20..=160).step_by(20) {
        assert_eq!(queue.serve(|_| None, now_ms), []);
    }
    let mut rooms = 0..45;
    let verdicts = queue.serve(|_| rooms.next(), 180);
    assert_eq!(verdicts.len(), 45);
    // Without more room the measured rate counts.
    let refused = (200..=2_200)
        .step_by(20)
        .flat_map(|now_ms| queue.serve(|_| None, now_ms));
    assert_eq!(refused.count(), 15);
}
