//! Instance selection by an entry, admission at an entry and the retry budget, without I/O.

mod fleet_support;

use std::collections::BTreeMap;
use std::sync::Arc;

use fleet_support::{LONG, address, engine, instance_update, listed, query, report, view};
use lilacspindle::domain::admission::AdmissionQueue;
use lilacspindle::domain::fleet::{
    EngineQuery, InstanceUpdate, Listed, ListedState, Outcome, Report, View,
};
use lilacspindle::domain::retry::WindowBudget;
use lilacspindle::model::ZoneName;

/// Engines must not be filled beyond the part of their memory that may be committed: their
/// generations would preempt each other.
#[test]
fn generations_fill_engines_up_to_their_planned_memory() {
    let mut view = view(2);
    let mut placed = 0;
    while let Some(identity) = engine(&view, &[]) {
        view.begin(&identity, Some(LONG));
        placed += 1;
    }
    // 92 percent of 34,000 tokens hold seven generations of 4,000.
    assert_eq!(placed, 14);
    view.end("i-1", Some(LONG), false);
    assert_eq!(engine(&view, &[]).as_deref(), Some("i-1"));
}

/// An entry must count the load of other entries and the reported memory, not only the load that it
/// has placed itself.
#[test]
fn loads_of_other_entries_and_reported_memory_count() {
    let mut view = view(3);
    view.apply_instance_updates(
        vec![
            instance_update(1, None, 30_000),
            instance_update(2, Some(report(33_000, None)), 0),
        ],
        1_000,
    );
    for _ in 0..3 {
        let identity = engine(&view, &[]).unwrap();
        assert_eq!(&*identity, "i-3");
        view.begin(&identity, Some(LONG));
    }
}

/// Many entries with the same outdated loads must not all choose the engine that has just started.
/// This overloaded such engines on large fleets.
#[test]
fn entries_with_old_loads_choose_different_engines() {
    let mut view = view(40);
    view.apply_instance_updates(
        (2..=40).map(|n| instance_update(n, None, 8_000)).collect(),
        1_000,
    );
    let chosen = (0..30).filter(|entry| {
        let query = EngineQuery {
            random: *entry,
            ..query(&[])
        };
        &*view.choose_engine(&query).unwrap().identity == "i-1"
    });
    assert!(chosen.count() <= 6);
}

/// Entries that have lost the hub must not all choose the engines that had no unprocessed prompts in
/// its last update. On a deployment with 105 entries, first events then took up to 7 s.
#[test]
fn entries_without_the_hub_spread_over_engines() {
    let mut chosen = BTreeMap::new();
    for entry in 0..20 {
        let mut view = view(40);
        let with_prompts = |n| InstanceUpdate {
            prefill_tokens: 6_000,
            ..instance_update(n, None, 8_000)
        };
        let idle = |n| instance_update(n, None, 8_000);
        let updates = (1..=4).map(idle).chain((5..=40).map(with_prompts));
        view.apply_instance_updates(updates.collect(), 1_000);
        for call in 0..4 {
            let query = EngineQuery {
                read_within_ms: Some(750),
                random: 100 * entry + call,
                ..query(&[])
            };
            let engine = view.choose_engine(&query).unwrap().identity;
            view.begin(&engine, Some(LONG));
            *chosen.entry(engine).or_insert(0) += 1;
        }
    }
    let most = chosen.values().max().unwrap();
    assert!(*most <= 8, "80 generations on 40 engines: {chosen:?}");
}

/// An instance that is leaving must get no new work, whether its report or the list says so.
#[test]
fn leaving_instances_get_no_work() {
    let mut view = view(3);
    assert!(view.apply_instance_updates(
        vec![instance_update(1, Some(report(0, Some(1_500))), 0)],
        1_000
    ));
    assert_eq!(view.leaving("i-1").unwrap().gone_at_ms, Some(2_400));
    let mut second = listed(2, "a");
    second.state = ListedState::Draining;
    view.apply_platform_list(vec![listed(1, "a"), second, listed(3, "a")], 10, 1_000);
    for _ in 0..5 {
        assert_eq!(engine(&view, &[]).as_deref(), Some("i-3"));
    }
    view.apply_platform_list(vec![listed(1, "a")], 20, 1_000);
    assert!(view.leaving("i-3").is_some());
    assert_eq!(engine(&view, &[]), None);
}

/// An outdated list must not make every instance look gone. In one load test a control instance
/// that had read the list only once became the one that entries asked.
#[test]
fn older_list_is_ignored() {
    let mut view = View::new(ZoneName::from("a"));
    view.apply_platform_list(vec![listed(7, "a")], 5_000, 5_100);
    view.apply_platform_list(vec![listed(1, "a")], 200, 9_000);
    assert_eq!(engine(&view, &[]).as_deref(), Some("i-7"));
    assert!(view.leaving("i-7").is_none());
}

/// An instance that has left may restart under the same identity and must be used again.
#[test]
fn instance_that_starts_again_is_used_again() {
    let ready = || listed(1, "a");
    let draining = || Listed {
        state: ListedState::Draining,
        ..ready()
    };
    let mut view = View::new(ZoneName::from("a"));
    let list =
        |view: &mut View, listed, read_ms| view.apply_platform_list(listed, read_ms, read_ms);
    list(&mut view, vec![ready()], 0);
    view.begin("i-1", Some(LONG));
    list(&mut view, vec![draining()], 1_000);
    // This response lags further behind than the previous one.
    list(&mut view, vec![ready()], 1_700);
    assert_eq!(view.usable("model", 1_700), 0);
    list(&mut view, vec![], 2_000);
    list(&mut view, vec![ready()], 4_000);
    assert_eq!(view.usable("model", 4_000), 1);
    assert_eq!(view.loads()[0].running, 1, "a request is still open there");
    // A later start time takes effect at once.
    let born = |born_ms| Listed {
        born_ms: Some(born_ms),
        ..ready()
    };
    list(&mut view, vec![born(10)], 5_000);
    view.misdirected("i-1", 5_100);
    assert_eq!(view.usable("model", 5_100), 0);
    list(&mut view, vec![born(11)], 5_200);
    assert_eq!(view.usable("model", 5_200), 1);
}

/// A report of an earlier start must not make the restarted instance look leaving, and a list that
/// lags behind the report of the new start must not either.
#[test]
fn reports_count_for_one_start_of_an_instance() {
    let born = |born_ms, report| Report {
        born_ms: Some(born_ms),
        ..report
    };
    let mut view = View::new(ZoneName::from("a"));
    let first = Listed {
        born_ms: Some(10),
        ..listed(1, "a")
    };
    view.apply_platform_list(vec![first.clone()], 0, 0);
    let leaves = instance_update(1, Some(born(9, report(0, Some(500)))), 0);
    assert!(!view.apply_instance_updates(vec![leaves], 100));
    assert_eq!(view.usable("model", 100), 1);
    let leaves = instance_update(1, Some(born(10, report(0, Some(500)))), 0);
    assert!(view.apply_instance_updates(vec![leaves], 200));
    assert_eq!(view.usable("model", 200), 0);
    view.apply_instance_updates(
        vec![instance_update(1, Some(born(11, report(0, None))), 0)],
        900,
    );
    assert_eq!(view.usable("model", 900), 1);
    // The list still shows the previous start.
    let draining = Listed {
        state: ListedState::Draining,
        ..first
    };
    view.apply_platform_list(vec![draining], 1_000, 1_000);
    assert_eq!(view.usable("model", 1_000), 1);
}

/// Copies must not take the room of generations once engines are filled.
#[test]
fn copies_are_made_only_while_memory_is_free() {
    let mut view = view(4);
    let backup = |view: &View| view.choose_backup(&query(&[]), "i-1");
    assert!(backup(&view).is_some());
    for _ in 0..21 {
        let identity = engine(&view, &[]).unwrap();
        view.begin(&identity, Some(LONG));
    }
    assert!(backup(&view).is_none());
    assert!(engine(&view, &[]).is_some());
}

/// An unreachable instance must not get every call because nothing runs there.
#[test]
fn unreachable_instance_is_avoided_for_a_while() {
    let mut view = view(2);
    view.observe("i-1", Outcome::Unreachable, 1_000);
    for random in 0..50 {
        let chosen = view.choose_plain("model", &[], 1_100, random).unwrap();
        assert_eq!(&*chosen.identity, "i-2");
    }
    // It is still used if no other is left.
    let excluded: [Arc<str>; 1] = ["i-2".into()];
    let chosen = view.choose_plain("model", &excluded, 1_100, 0).unwrap();
    assert_eq!(&*chosen.identity, "i-1");
    let used = |random| {
        view.choose_plain("model", &[], 6_000, random)
            .unwrap()
            .identity
    };
    assert!((0..200).any(|random| &*used(random) == "i-1"));
}

/// One instance must not get all calls of a fast service because the unused ones are assumed to be
/// slower.
#[test]
fn unused_instances_of_a_fast_service_are_tried() {
    let mut view = view(3);
    for _ in 0..50 {
        view.observe("i-1", Outcome::Answered { took_ms: 1 }, 1_000);
    }
    let mut used = std::collections::BTreeSet::new();
    for random in 0..50 {
        used.insert(
            view.choose_plain("model", &[], 1_010, random)
                .unwrap()
                .identity,
        );
    }
    assert_eq!(used.len(), 3);
}

/// An instance that passes health checks but fails calls must not keep its share of them.
#[test]
fn instance_that_fails_calls_gets_fewer() {
    let mut view = view(2);
    for _ in 0..10 {
        view.observe("i-1", Outcome::Failed, 1_000);
        view.observe("i-2", Outcome::Answered { took_ms: 30 }, 1_000);
    }
    let calls = (0..100).filter(|random| {
        let chosen = view.choose_plain("model", &[], 1_000, *random).unwrap();
        &*chosen.identity == "i-1"
    });
    assert!(calls.count() < 10);
}

/// Calls must stay in the entry's zone while an instance there is available, but must not overload
/// that zone.
#[test]
fn own_zone_comes_first_until_it_is_loaded() {
    let mut view = View::new(ZoneName::from("a"));
    view.apply_platform_list(vec![listed(1, "a"), listed(2, "b")], 0, 0);
    assert!(view.choose_plain("model", &[], 0, 3).unwrap().same_zone);
    for _ in 0..60 {
        view.begin("i-1", None);
    }
    assert!(!view.choose_plain("model", &[], 0, 3).unwrap().same_zone);
}

/// A copy must not go to another zone, where it occupies the link twice as long, while an engine in
/// the zone of the source has room. The entry's own zone does not matter.
#[test]
fn targets_are_near_their_source() {
    let mut view = View::new(ZoneName::from("a"));
    let all = vec![
        listed(1, "b"),
        listed(2, "a"),
        listed(3, "b"),
        listed(4, "a"),
    ];
    view.apply_platform_list(all, 0, 0);
    let excluded: [Arc<str>; 1] = ["i-1".into()];
    let (request, targets) = view.targets(&query(&excluded), "i-1", &"entry-1".into(), 2);
    assert_eq!(request.candidates[0].identity, targets[0].identity);
    assert_eq!(&*targets[0].identity, "i-3");
    assert!(targets[0].same_zone && !targets[1].same_zone);
    assert_eq!(
        view.choose_backup(&query(&excluded), "i-1")
            .unwrap()
            .address,
        address(3)
    );
}

/// Callers must not wait if room cannot become free in time, and the retry time must follow the
/// drain rate.
#[test]
fn burst_is_refused_beyond_what_drains_in_time() {
    let mut queue = AdmissionQueue::default();
    for end in 0..40 {
        queue.ended(end * 200);
    }
    let limit_ms = AdmissionQueue::limit_ms(1_800);
    assert_eq!(limit_ms, 900);
    let admitted = (0..20).filter(|_| queue.join(limit_ms).is_ok()).count();
    // One generation ends every 200 ms, so some five find room within 900 ms.
    assert!((4..=6).contains(&admitted), "{admitted}");
    let retry_after_ms = queue.join(limit_ms).unwrap_err();
    assert!((900..=1_300).contains(&retry_after_ms), "{retry_after_ms}");
    queue.leave();
    queue.leave();
    assert!(queue.join(limit_ms).is_ok());
}

/// Retries must not exceed the budget in any window, and the budget must recover.
#[test]
fn retries_stay_within_the_window_budget() {
    let mut budget = WindowBudget::new(10_000, 200);
    for request in 0..100 {
        budget.request(request * 10);
    }
    // Three quarters of 20 + 8.
    let taken = (0..100).filter(|_| budget.take(8, 1_000)).count();
    assert_eq!(taken, 21);
    assert!(!budget.take(8, 9_000));
    assert!(budget.take(8, 12_000));
}

/// Long answers must not cross zones needlessly. On a deployment with six zones, one of eight
/// random candidates was in the entry's zone, and five in six long answers were streamed through
/// another zone.
#[test]
fn most_candidates_are_in_the_own_zone_while_it_has_room() {
    let zone = |number: u8| if number <= 20 { "a" } else { "b" };
    let mut view = View::new(ZoneName::from("a"));
    view.apply_platform_list((1..=120).map(|n| listed(n, zone(n))).collect(), 0, 0);
    let near = |view: &View| {
        let (_, engines) = view.placement_request(&query(&[]), &"entry-1".into(), false);
        assert_eq!(engines.len(), 8);
        engines.iter().filter(|chosen| chosen.same_zone).count()
    };
    assert_eq!(near(&view), 5);
    // Without room there, engines of other zones become candidates.
    view.apply_instance_updates(
        (2..=20).map(|n| instance_update(n, None, 34_000)).collect(),
        1_000,
    );
    assert_eq!(near(&view), 1);
    let none_far = (21..=120).map(|n| instance_update(n, None, 34_000));
    view.apply_instance_updates(none_far.collect(), 1_000);
    view.apply_instance_updates(
        (2..=20).map(|n| instance_update(n, None, 0)).collect(),
        1_000,
    );
    assert_eq!(near(&view), 8);
}
