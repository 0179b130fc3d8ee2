//! Request limits that instances name, without I/O: at the hub and at entries.

mod fleet_support;

use std::sync::Arc;

use fleet_support::limits::{assert_within, sync};
use fleet_support::{engine, listed, query, view};
use lilacspindle::domain::fleet::{
    Candidate, Hub, LimitChange, LimitNotice, LimitStatement, Listed, NamedLimit, Permit,
    PlacementRequest, View,
};
use lilacspindle::model::ZoneName;

fn identity(number: u8) -> Arc<str> {
    format!("i-{number}").into()
}

fn notice(number: u8, limit_milli_per_s: Option<u64>, age_ms: u64) -> LimitNotice {
    LimitNotice {
        identity: identity(number),
        born_ms: None,
        statement: Some(LimitStatement {
            limit_milli_per_s,
            age_ms,
        }),
    }
}

fn hub(instances: u8) -> Hub {
    let mut hub = Hub::new(9);
    hub.list((1..=instances).map(|n| listed(n, "a")).collect(), 0);
    hub
}

fn ask(hub: &mut Hub, numbers: &[u8], now_ms: u64) -> Permit {
    let candidates: Vec<LimitNotice> = numbers
        .iter()
        .map(|number| LimitNotice {
            identity: identity(*number),
            born_ms: None,
            statement: None,
        })
        .collect();
    hub.permit(&candidates, now_ms)
}

fn return_in_ms(permit: &Permit) -> u64 {
    match permit {
        Permit::Refused(reached) => reached.return_in_ms,
        Permit::Granted(_) => panic!("the request is granted"),
    }
}

fn hear(view: &mut View, number: u8, limit: Option<u64>, now_ms: u64) -> LimitChange {
    let named = limit.map(NamedLimit::MilliPerS);
    view.hear_limit(&identity(number), named, now_ms, now_ms)
}

/// Guards against a limit that is exceeded in bursts, and against one that is hardly used.
#[test]
fn hub_grants_what_the_limit_allows() {
    for limit_milli_per_s in [100, 2_600, 3_900, 40_000] {
        let mut hub = hub(1);
        hub.hear_limits(&[notice(1, Some(limit_milli_per_s), 0)], 0);
        let asked = (0..60_000).step_by(10);
        let granted: Vec<u64> = asked
            .filter(|now_ms| ask(&mut hub, &[1], *now_ms) == Permit::Granted(0))
            .collect();
        let limit_per_s = f64::from(u32::try_from(limit_milli_per_s).unwrap()) / 1_000.0;
        assert_within(&granted, 0, |_| Some(limit_per_s), "hub");
        let count = f64::from(u32::try_from(granted.len()).unwrap());
        assert!(
            count >= 0.9 * 60.0 * limit_per_s - 1.0,
            "{count} at {limit_per_s}"
        );
    }
}

/// Guards against callers that are told to return at a time at which others have taken the room.
#[test]
fn refused_callers_are_served_when_they_return() {
    let mut hub = hub(2);
    hub.hear_limits(&[notice(1, Some(2_000), 0), notice(2, Some(1_000), 0)], 0);
    let mut returns: Vec<u64> = (0..9)
        .map(|_| return_in_ms(&ask(&mut hub, &[1, 2], 0)))
        .collect();
    returns.sort_unstable();
    assert_eq!(returns[0], 500);
    for now_ms in returns {
        let permit = ask(&mut hub, &[1, 2], now_ms);
        assert!(matches!(permit, Permit::Granted(_)), "at {now_ms} ms");
    }
}

/// Instances without a limit and those that have not reached theirs come before a refusal.
#[test]
fn other_instances_come_before_a_refusal() {
    let mut hub = hub(3);
    hub.hear_limits(&[notice(1, Some(1_000), 0), notice(2, Some(1_000), 0)], 0);
    assert_eq!(ask(&mut hub, &[1, 2], 1_000), Permit::Granted(0));
    assert_eq!(ask(&mut hub, &[1, 2], 1_000), Permit::Granted(1));
    assert_eq!(ask(&mut hub, &[1, 2, 3], 1_000), Permit::Granted(2));
    let mut view = view(3);
    hear(&mut view, 1, Some(1_000), 1_000);
    hear(&mut view, 2, Some(1_000), 1_000);
    for random in 0..20 {
        let candidates = view.plain_candidates("model", &[], 1_100, random);
        assert_eq!(&*candidates.unlimited.unwrap().identity, "i-3");
    }
    view.set_at_limit("i-1", 500, 1_100);
    view.set_at_limit("i-2", 500, 1_100);
    let at = |view: &View, excluded: &[Arc<str>], now_ms| {
        view.plain_candidates("model", excluded, now_ms, 1)
            .limited
            .len()
    };
    assert_eq!(at(&view, &[], 1_200), 0, "both have reached their limits");
    assert_eq!(at(&view, &[identity(3)], 1_200), 2, "nothing else is left");
    assert!(!view.all_limited("model", 1_200));
}

/// Guards against responses, reports and hubs that restore a limit after its end, and against
/// overtaken responses that end one.
#[test]
fn newest_statement_counts() {
    let mut view = view(2);
    let mut hub = hub(2);
    assert_eq!(
        hear(&mut view, 1, Some(2_000), 1_000),
        LimitChange::Named {
            limit_milli_per_s: 2_000
        }
    );
    assert_eq!(
        view.hear_limit("i-1", None, 900, 1_100),
        LimitChange::Unchanged,
        "the response was requested before the limit was heard"
    );
    sync(&mut view, &mut hub, "entry-1", 1_200);
    assert_eq!(
        view.hear_limit("i-1", None, 1_500, 1_600),
        LimitChange::Ended
    );
    let outdated = hub.instance_updates("entry-1", 1_700);
    view.apply_instance_updates(outdated, 1_700);
    assert!(!view.is_limited("i-1"));
    sync(&mut view, &mut hub, "entry-1", 1_800);
    assert_eq!(ask(&mut hub, &[1], 1_800), Permit::Granted(0));
    hub.hear_limits(&[notice(1, Some(2_000), 700)], 1_900);
    assert_eq!(ask(&mut hub, &[1], 1_900), Permit::Granted(0), "outdated");
    hub.hear_limits(&[notice(1, Some(2_000), 100)], 1_900);
    assert_ne!(ask(&mut hub, &[1], 1_900), Permit::Granted(0));
}

/// A limit that cannot be parsed continues the one before. Without one before, the instance still
/// is in need.
#[test]
fn unreadable_limit_is_a_limit() {
    let mut view = view(1);
    let unreadable = Some(NamedLimit::Unreadable);
    let named = view.hear_limit("i-1", unreadable, 1_000, 1_000);
    assert_eq!(
        named,
        LimitChange::Named {
            limit_milli_per_s: 1_000
        }
    );
    hear(&mut view, 1, Some(5_000), 1_100);
    let repeated = view.hear_limit("i-1", unreadable, 1_200, 1_200);
    assert_eq!(repeated, LimitChange::Unchanged);
    for (named, bounded) in [(0, 100), (u64::MAX, 1_000_000_000)] {
        let named = NamedLimit::MilliPerS(named);
        assert_eq!(named.bounded_milli_per_s(None), bounded);
    }
}

/// The limit of an earlier start must not apply to a later one.
#[test]
fn later_start_has_no_limit() {
    let born = |born_ms| Listed {
        born_ms: Some(born_ms),
        ..listed(1, "a")
    };
    let named_by = |born_ms, age_ms| LimitNotice {
        born_ms: Some(born_ms),
        ..notice(1, Some(1_000), age_ms)
    };
    let mut hub = Hub::new(9);
    hub.list(vec![born(1)], 0);
    hub.hear_limits(&[named_by(1, 0)], 100);
    assert_ne!(ask(&mut hub, &[1], 100), Permit::Granted(0));
    hub.list(vec![born(2)], 200);
    assert_eq!(ask(&mut hub, &[1], 200), Permit::Granted(0));
    hub.hear_limits(&[named_by(1, 0)], 300);
    assert_eq!(ask(&mut hub, &[1], 300), Permit::Granted(0));
    let mut view = View::new(ZoneName::from("a"));
    view.apply_platform_list(vec![born(1)], 0, 0);
    hear(&mut view, 1, Some(1_000), 100);
    view.apply_platform_list(vec![born(2)], 200, 200);
    assert!(!view.is_limited("i-1"));
}

/// Guards against a new hub, or an entry that starts, that does not know a limit.
#[test]
fn new_hub_and_new_entry_learn_limits() {
    let mut first = view(2);
    hear(&mut first, 1, Some(1_000), 900);
    let mut old = hub(2);
    sync(&mut first, &mut old, "entry-1", 1_000);
    let mut second = view(2);
    sync(&mut second, &mut old, "entry-2", 1_100);
    assert!(second.is_limited("i-1"));
    assert!(second.limit_notices(1_100).is_empty());
    let mut new = Hub::new(10);
    new.list((1..=2).map(|n| listed(n, "a")).collect(), 1_200);
    sync(&mut second, &mut new, "entry-2", 1_300);
    sync(&mut second, &mut new, "entry-2", 1_400);
    assert_ne!(ask(&mut new, &[1], 1_500), Permit::Granted(0));
    let mut third = view(2);
    sync(&mut third, &mut new, "entry-3", 1_600);
    assert!(third.is_limited("i-1"));
}

/// Load must not return at once when a limit ends.
#[test]
fn load_increases_in_steps_after_a_limit() {
    let mut view = view(1);
    hear(&mut view, 1, Some(1_000), 800);
    hear(&mut view, 1, None, 900);
    assert_eq!(engine(&view, &[]).as_deref(), Some("i-1"));
    view.begin("i-1", None);
    assert_eq!(engine(&view, &[]), None, "one request is open");
    let mut later = query(&[]);
    later.now_ms = 2_500;
    assert!(view.choose_engine(&later).is_some());
}

/// An instance in need must not receive copies of other generations. One that has a copy already
/// resumes the generation before it takes new requests, though within bounds.
#[test]
fn moved_generations_avoid_limited_instances() {
    let mut view = view(3);
    hear(&mut view, 2, Some(1_000), 900);
    let excluded = [identity(1)];
    for random in 0..20 {
        let mut query = query(&excluded);
        query.random = random;
        let backup = view.choose_backup(&query, "i-1").unwrap();
        assert_eq!(&*backup.identity, "i-3");
        let (_, targets) = view.targets(&query, "i-1", &"entry-1".into(), 5);
        assert_eq!(targets.len(), 1);
    }
    let mut hub = hub(2);
    hub.hear_limits(&[notice(2, Some(1_000), 0)], 1_000);
    let resumed = (0..5).filter(|_| {
        let permit = hub.permit_resumption(&identity(2), 1_000);
        permit == Permit::Granted(0)
    });
    assert_eq!(resumed.count(), 2);
    assert!(return_in_ms(&ask(&mut hub, &[2], 1_000)) >= 3_000);
    let third = hub.permit_resumption(&identity(2), 1_000);
    assert_eq!(
        return_in_ms(&third),
        1_000,
        "it does not queue behind callers"
    );
}

fn placement(numbers: &[u8]) -> PlacementRequest {
    PlacementRequest {
        entry: "entry-1".into(),
        demand: fleet_support::LONG,
        planned_tokens: 30_000,
        slots: 24,
        unread_limit_tokens: None,
        candidates: numbers
            .iter()
            .map(|number| Candidate {
                identity: identity(*number),
                penalty_ms: 0,
            })
            .collect(),
    }
}

/// Generations must keep to limits as well. They are refused at once only if every engine of the
/// service has a limit.
#[test]
fn generations_are_placed_within_limits() {
    let mut hub = hub(3);
    hub.hear_limits(&[notice(1, Some(1_000), 0), notice(2, Some(1_000), 0)], 0);
    let both = placement(&[1, 2]);
    assert_eq!(hub.place(&both, 500), None);
    assert_eq!(
        hub.limits_reached(&both, 500),
        None,
        "engine 3 has no limit"
    );
    let placed: Vec<Option<usize>> = (0..3).map(|_| hub.place(&both, 1_000)).collect();
    assert_eq!(placed.iter().flatten().count(), 2, "{placed:?}");
    hub.hear_limits(&[notice(3, Some(1_000), 0)], 1_000);
    let reached = hub.limits_reached(&both, 1_000).unwrap();
    assert_eq!(reached.return_in_ms, 1_000);
    assert!(hub.with_room(&both, 5_000).is_empty(), "targets of copies");
}

/// Guards against hundreds of entries that each send a request when the hub is lost, having sent
/// none for a long time.
#[test]
fn entries_without_a_hub_keep_to_the_limit_together() {
    for entries in [3, 300] {
        let mut views: Vec<View> = (0..entries).map(|_| view(1)).collect();
        for (seed, view) in views.iter_mut().enumerate() {
            view.set_seed(xxhash_rust::xxh3::xxh3_64(&seed.to_le_bytes()));
            view.set_entries(entries);
            hear(view, 1, Some(2_600), 1_000);
        }
        let mut sent = Vec::new();
        for now_ms in (100_000..160_000).step_by(100) {
            for view in &mut views {
                if view.take_local_permit(&[identity(1)], now_ms).is_some() {
                    sent.push(now_ms);
                }
            }
        }
        assert_within(&sent, 0, |_| Some(2.6), "entries");
        let allowed = 60 * 2_600 / 1_000 / 2;
        assert!(sent.len() >= allowed / 2, "{} of {allowed}", sent.len());
    }
}
