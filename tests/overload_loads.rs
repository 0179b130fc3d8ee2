//! Loads that exceed the capacity of the fleet, replayed without a network. Each test names the load
//! pattern that it replays.

mod overload_support;

use lilacspindle::domain::fleet::Demand;
use lilacspindle::domain::overload::{PlacementQueue, WaitBounds};
use overload_support::{Kind, LONG, Replay, SHORT};
use quickcheck::quickcheck;

/// Twelve engines hold 72 long generations, about nine of which end per second.
const ENGINES: usize = 12;

/// Load pattern: a burst of long streams, twice what the fleet holds for six seconds, beside short
/// ones of better priority. Guards against refusing long streams whose callers would have waited, and
/// against delays of the short ones.
#[test]
fn burst_of_long_streams_waits_and_leaves_short_ones_alone() {
    for seed in 1..=8 {
        let long = Kind {
            per_s: |now_ms| {
                if (5_000..11_000).contains(&now_ms) {
                    16
                } else {
                    5
                }
            },
            ..LONG
        };
        let mut replay = Replay::new(ENGINES, &[SHORT, long], seed);
        replay.run(30_000, 70_000);
        let short = replay.percents(0);
        assert!(short.0 >= 99, "{short:?} of the short ones, seed {seed}");
        let (in_time, late) = replay.percents(1);
        assert!(in_time >= 80, "{in_time} % in time, seed {seed}");
        assert!(in_time + late >= 99, "{in_time} and {late}, seed {seed}");
        let twice = replay.refusals(1).get(&2).copied();
        assert_eq!(twice, None, "refused twice, seed {seed}");
    }
}

/// Load pattern: a burst of short streams of better priority beside long ones. Guards against short
/// streams that are held in vain, and against long ones that lose their turn for good.
#[test]
fn burst_of_short_streams_does_not_starve_long_ones() {
    for seed in 1..=8 {
        let short = Kind {
            per_s: |now_ms| {
                if (5_000..9_000).contains(&now_ms) {
                    160
                } else {
                    10
                }
            },
            ..SHORT
        };
        let long = Kind {
            per_s: |_| 7,
            ..LONG
        };
        let mut replay = Replay::new(ENGINES, &[short, long], seed);
        replay.run(30_000, 70_000);
        for kind in [0, 1] {
            let (in_time, late) = replay.percents(kind);
            assert!(in_time + late >= 98, "{in_time}, {late}, seed {seed}");
        }
        let (_, held) = replay.vain_waits();
        assert_eq!(held, 0, "held for half of their time in vain, seed {seed}");
    }
}

/// Load pattern: one large workspace asks for more than the fleet holds, beside three small ones.
/// Guards against small workspaces that lose their answers to a large one.
#[test]
fn large_workspace_does_not_crowd_out_small_ones() {
    for seed in 1..=8 {
        let of = |workspace, per_s| Kind {
            workspace,
            per_s,
            ..LONG
        };
        let kinds = [of("large", |_| 12), of("a", |_| 1), of("b", |_| 1)];
        let mut replay = Replay::new(ENGINES, &kinds, seed);
        replay.run(30_000, 70_000);
        for small in [1, 2] {
            // The fleet is full for the first time after five seconds, and no generation ends before
            // the eighth, so that nobody who arrives then can be in time.
            let calls = replay.of_kind(small).into_iter();
            let calls: Vec<_> = calls.filter(|call| call.arrived_ms > 8_000).collect();
            let kind = &replay.kinds[small];
            let in_time = calls.iter().filter(|call| call.is_in_time(kind)).count();
            assert!(
                in_time * 100 >= calls.len() * 90,
                "{in_time} of {}, seed {seed}",
                calls.len()
            );
            let refused = calls.iter().filter(|call| !call.refused.is_empty()).count();
            assert_eq!(refused, 0, "refused of a small workspace, seed {seed}");
        }
        let (in_time, _) = replay.percents(0);
        assert!(in_time >= 40, "{in_time} of the large one, seed {seed}");
    }
}

/// Load pattern: long and short streams of one priority on engines that short ones fill. Guards
/// against a long generation that never finds room because shorter ones take each gap.
#[test]
fn old_long_generation_is_not_starved_by_shorter_ones() {
    for seed in 1..=8 {
        let middle = Kind {
            demand: Demand {
                prompt_tokens: 600,
                output_tokens: 90,
                gap_target_ms: None,
            },
            workspace: "w",
            priority: 2,
            per_s: |_| 70,
            ..SHORT
        };
        let large = Kind {
            demand: Demand {
                prompt_tokens: 12_000,
                output_tokens: 400,
                gap_target_ms: None,
            },
            per_s: |now_ms| u64::from((5_000..15_000).contains(&now_ms)),
            ..LONG
        };
        let mut replay = Replay::new(4, &[middle, large], seed);
        replay.run(30_000, 70_000);
        let (in_time, late) = replay.percents(1);
        assert!(in_time + late >= 90, "{in_time}, {late}, seed {seed}");
    }
}

/// Load pattern: all engines begin long generations at once, so that room frees in a known while.
/// Guards against refusing callers who can wait for it, and against holding those who cannot, because
/// nothing has ended in the last 1.5 s.
#[test]
fn room_that_frees_in_a_known_while_is_waited_for() {
    let fill = Kind {
        per_s: |now_ms| if now_ms < 1_000 { 72 } else { 0 },
        ..LONG
    };
    let patient = Kind {
        per_s: |now_ms| {
            if (2_000..3_000).contains(&now_ms) {
                20
            } else {
                0
            }
        },
        ..LONG
    };
    let hurried = Kind {
        deadline_ms: 4_000,
        priority: 3,
        demand: SHORT.demand,
        ..patient.clone()
    };
    let mut replay = Replay::new(ENGINES, &[fill, patient, hurried], 1);
    replay.run_percent = (100, 100);
    replay.run(3_000, 40_000);
    assert_eq!(replay.percents(1), (0, 100));
    assert_eq!(
        replay.refusals(1).len(),
        0,
        "refused although there will be room"
    );
    let hurried = replay
        .of_kind(2)
        .into_iter()
        .filter(|call| !call.refused.is_empty());
    let held = hurried.filter(|call| call.refused[0].1 > 1_000).count();
    assert!(held <= 1, "{held} were held for room that comes too late");
}

/// Load pattern: lasting overload, whose callers return once. Guards against callers who return
/// together, or later than their time allows, and against second refusals in favour of late calls that
/// came afterwards.
#[test]
fn callers_return_one_after_the_other_and_in_their_order() {
    for seed in 1..=8 {
        let long = Kind {
            per_s: |_| 14,
            ..LONG
        };
        let mut replay = Replay::new(ENGINES, &[long], seed);
        replay.run(30_000, 70_000);
        let mut returns = [0; 1_400];
        for call in replay.of_kind(0) {
            for ((at_ms, ..), after_ms) in call.refused.iter().zip(&call.retry_after_ms) {
                let left_ms = call.arrived_ms + LONG.deadline_ms - at_ms;
                assert!(
                    after_ms * 140 / 100 <= left_ms / 3,
                    "{after_ms} of {left_ms}"
                );
                returns[usize::try_from((at_ms + after_ms) / 50).unwrap()] += 1;
            }
        }
        let most = returns.iter().max().unwrap();
        assert!(*most <= 8, "{most} return within 50 ms, seed {seed}");
    }
}

/// Guards against a wait that lets the answer come after the deadline, or after the caller has left,
/// and against a change where callers have no time beyond half of the target.
#[test]
fn wait_ends_while_the_answer_can_still_be_completed() {
    let bounds = |deadline_ms, patience_ms| {
        let bounds = WaitBounds {
            demand: LONG.demand,
            target_ms: 4_000,
            patience_ms,
            age_ms: 0,
            left_ms: deadline_ms,
        };
        bounds.remaining_ms()
    };
    // Prompt and network take 2,250 ms, and the generation runs for 7,740 ms.
    assert_eq!(bounds(39_000, 16_000), 13_750);
    assert_eq!(bounds(20_000, 16_000), 10_010);
    assert_eq!(bounds(10_000, 16_000), 2_000);
    assert_eq!(bounds(39_000, 4_000), 2_000);
    assert_eq!(bounds(1_000, 16_000), 1_000);
}

/// Returns two kinds of the given rates, in halves of a generation per second, and priorities.
fn random_kinds(long: bool, same_priority: bool) -> [Kind; 2] {
    let per_s: fn(u64) -> u64 = match long {
        true => |now_ms| 4 + 10 * u64::from(now_ms / 4_000 % 2 == 1),
        false => |now_ms| 8 + 60 * u64::from(now_ms / 3_000 % 3 == 1),
    };
    let priority = if same_priority { 0 } else { 2 };
    let of_long = Kind { priority, ..LONG };
    match long {
        true => [SHORT, Kind { per_s, ..of_long }],
        false => [Kind { per_s, ..SHORT }, of_long],
    }
}

quickcheck! {
    /// Random histories of two kinds. Guards against calls that are held to the end of their time and
    /// refused then, against a kind that is never served, and against engines beyond their room.
    fn nobody_is_held_to_the_end_and_no_kind_starves(
        seed: u64, long: bool, same_priority: bool, engines: u8
    ) -> bool {
        let engines = usize::from(engines % 12) + 6;
        let kinds = random_kinds(long, same_priority);
        let mut replay = Replay::new(engines, &kinds, seed);
        replay.run(20_000, 60_000);
        let (most_percent, _) = replay.vain_waits();
        let served = |kind| replay.of_kind(kind).iter().any(|call| call.placed_ms.is_some());
        assert!(most_percent < 100, "{most_percent} % of the time, seed {seed}, {engines} engines");
        served(0) && served(1) && replay.most_used <= overload_support::PLANNED_TOKENS
    }

    /// Random waiting generations. Guards against one that is placed before another of better
    /// priority that takes the same room.
    fn priorities_are_kept(waiting: Vec<(u8, bool, u16)>) -> bool {
        let mut queue = PlacementQueue::default();
        queue.expect(10_000);
        let mut priorities = std::collections::BTreeMap::new();
        for (priority, long, arrived_ms) in waiting {
            let kind = if long { LONG } else { SHORT };
            let pending = overload_support::pending(&kind, u32::from(priority % 4), u64::from(arrived_ms));
            let request = overload_support::request(&kind, 0..1);
            if let Ok(id) = queue.join(request, pending, u64::from(arrived_ms)) {
                priorities.insert(id, priority % 4);
            }
        }
        let decided = queue.serve(|_| Some(0), |_| None, u64::from(u16::MAX));
        let order: Vec<u8> = decided.iter().map(|(id, _)| priorities[id]).collect();
        order.is_sorted() && order.len() == priorities.len()
    }
}
