//! Updates from the hub to entries, without I/O.

mod fleet_support;

use std::collections::BTreeMap;
use std::sync::Arc;

use fleet_support::{LONG, address, engine, listed, report};
use lilacspindle::domain::fleet::{
    Candidate, FleetUpdate, Hub, InstanceUpdate, Listed, ListedState, Load, PlacementRequest,
    Position, View, WakeLimiter,
};
use lilacspindle::model::ZoneName;
use quickcheck::quickcheck;

fn zone() -> ZoneName {
    ZoneName::from("a")
}

/// The state that an entry has received.
#[derive(Default)]
struct EntryState {
    position: Option<Position>,
    listed: BTreeMap<Arc<str>, Listed>,
    instance_updates: BTreeMap<Arc<str>, InstanceUpdate>,
}

impl EntryState {
    fn apply_update(&mut self, update: FleetUpdate) {
        if update.whole {
            *self = Self::default();
        }
        for identity in update.gone.iter().chain(&update.dropped) {
            self.listed.remove(identity);
            self.instance_updates.remove(identity);
        }
        let listed = update.listed.into_iter();
        self.listed
            .extend(listed.map(|listed| (Arc::clone(&listed.identity), listed)));
        let updates = update.pulses.into_iter();
        self.instance_updates
            .extend(updates.map(|update| (Arc::clone(&update.identity), update)));
        self.position = Some(update.position);
    }

    /// Returns true if the state differs from a complete update by unnoticeable amounts only.
    fn matches(&self, whole: FleetUpdate) -> bool {
        let mut other = Self::default();
        other.apply_update(whole);
        let leaves =
            |update: &InstanceUpdate| update.report.is_some_and(|(report, _)| report.leaves());
        let near = |received: &InstanceUpdate, update: &InstanceUpdate| {
            received.report.is_some() == update.report.is_some()
                && leaves(received) == leaves(update)
                && received.committed_tokens.abs_diff(update.committed_tokens) <= 34_000 / 4
                && received.running.abs_diff(update.running) <= 8
        };
        let idle = InstanceUpdate {
            identity: "".into(),
            ..InstanceUpdate::default()
        };
        self.listed == other.listed
            && self.listed.keys().all(|identity| {
                let received = self.instance_updates.get(identity).unwrap_or(&idle);
                near(
                    received,
                    other.instance_updates.get(identity).unwrap_or(&idle),
                )
            })
    }
}

fn load(number: u8, running: u32) -> Load {
    Load {
        identity: format!("i-{number}").into(),
        running,
        committed_tokens: u64::from(running) * LONG.total_tokens(),
        prefill_tokens: u64::from(running) * LONG.prompt_tokens,
        ..Load::default()
    }
}

fn incremental_state_matches_a_complete_update(steps: Vec<(u8, u8, u8)>) -> bool {
    let mut hub = Hub::new(9);
    let mut now_ms = 0;
    hub.list((0..8).map(|number| listed(number, "a")).collect(), now_ms);
    let mut received = [EntryState::default(), EntryState::default()];
    steps.into_iter().all(|(step, number, value)| {
        now_ms += u64::from(value);
        let number = number % 8;
        match step % 6 {
            0 => {
                let state = match value % 2 {
                    0 => ListedState::Ready,
                    _ => ListedState::Draining,
                };
                let all = (0..8).filter(|n| value % 3 == 0 || *n != number);
                let all = all.map(|n| match n == value % 8 {
                    true => Listed {
                        state,
                        ..listed(n, "a")
                    },
                    false => listed(n, "a"),
                });
                hub.list(all.collect(), now_ms);
            }
            1 => {
                let leaves = (value % 4 == 0).then_some(1_500);
                hub.report(
                    address(number),
                    report(u64::from(value) * 130, leaves),
                    now_ms,
                );
            }
            2 | 3 => {
                let entry = format!("entry-{}", value % 3).into();
                let loads = [
                    load(number, u32::from(value % 5)),
                    load((number + 1) % 8, 1),
                ];
                hub.load(&entry, &loads, now_ms);
            }
            4 => {
                let candidate = Candidate {
                    identity: format!("i-{number}").into(),
                    penalty_ms: 0,
                };
                let request = PlacementRequest {
                    entry: format!("entry-{}", value % 3).into(),
                    demand: LONG,
                    planned_tokens: 34_000,
                    slots: 24,
                    unread_limit_tokens: Some(u64::MAX),
                    candidates: vec![candidate],
                };
                hub.place(&request, now_ms);
            }
            _ => {}
        }
        let at = usize::from(value % 2);
        let entry = format!("entry-{at}");
        let update = hub
            .updates_since(&entry, &zone(), received[at].position, now_ms)
            .unwrap();
        received[at].apply_update(update);
        received[at].matches(hub.updates_since(&entry, &zone(), None, now_ms).unwrap())
    })
}

quickcheck! {
    /// An entry must not be left with an outdated list, report or load.
    fn incremental_updates_match_a_complete_update(steps: Vec<(u8, u8, u8)>) -> bool {
        incremental_state_matches_a_complete_update(steps)
    }
}

/// A case that quickcheck found beside load.
#[test]
fn incremental_updates_match_after_the_loads_of_the_asking_entry_expire() {
    assert!(incremental_state_matches_a_complete_update(vec![
        (28, 105, 0),
        (0, 0, 145),
        (8, 0, 1),
        (0, 0, 20),
        (0, 0, 224),
        (0, 0, 91),
        (7, 105, 119),
        (128, 0, 176),
        (0, 0, 141),
        (0, 0, 255),
        (0, 0, 113),
        (0, 0, 75),
        (0, 0, 59),
        (0, 0, 24),
        (8, 1, 203),
    ]));
}

/// A case that quickcheck found in CI.
#[test]
fn incremental_updates_match_in_the_case_found_by_ci() {
    assert!(incremental_state_matches_a_complete_update(vec![
        (235, 238, 0),
        (8, 126, 222),
        (38, 45, 89),
        (8, 0, 0),
        (62, 230, 7),
        (0, 0, 0),
    ]));
}

fn sent_load(update: &FleetUpdate, identity: &str) -> Option<u32> {
    let updates = update.pulses.iter();
    updates
        .filter(|update| &*update.identity == identity)
        .map(|update| update.running)
        .next()
}

/// An entry must not treat an engine as empty if others have taken the room that it released there,
/// so that the total load is unchanged.
#[test]
fn entry_is_sent_an_engine_where_others_take_its_room() {
    let mut hub = Hub::new(9);
    hub.list(vec![listed(1, "a")], 0);
    hub.report(address(1), report(0, None), 0);
    hub.load(&"entry-1".into(), &[load(1, 6)], 10);
    let first = hub.updates_since("entry-1", &zone(), None, 10).unwrap();
    assert_eq!(sent_load(&first, "i-1").unwrap_or(0), 0);
    for moved in 1..=6 {
        hub.load(&"entry-2".into(), &[load(1, moved)], 20);
        hub.load(&"entry-1".into(), &[load(1, 6 - moved)], 20);
    }
    let next = hub
        .updates_since("entry-1", &zone(), Some(first.position), 30)
        .unwrap();
    assert_eq!(sent_load(&next, "i-1"), Some(6));
    // Nothing has changed since.
    let last = hub
        .updates_since("entry-1", &zone(), Some(next.position), 40)
        .unwrap();
    assert!(!last.whole && last.pulses.is_empty());
}

/// The same must hold after a time without syncs, in which the hub has discarded the entry's load.
#[test]
fn entry_that_did_not_sync_is_sent_a_complete_update() {
    let mut hub = Hub::new(9);
    hub.list(vec![listed(1, "a")], 0);
    hub.report(address(1), report(0, None), 0);
    hub.load(&"entry-1".into(), &[load(1, 2)], 0);
    let first = hub.updates_since("entry-1", &zone(), None, 0).unwrap();
    hub.load(&"entry-2".into(), &[], 1_600);
    hub.report(address(1), report(0, None), 1_600);
    hub.load(&"entry-2".into(), &[load(1, 2)], 1_700);
    let next = hub
        .updates_since("entry-1", &zone(), Some(first.position), 1_800)
        .unwrap();
    assert!(next.whole);
    assert_eq!(sent_load(&next, "i-1"), Some(2));
}

/// Unchanged instances must not be sent. On a large fleet each of 105 entries was sent each of 134
/// instances five times a second, whatever had changed.
#[test]
fn unchanged_instances_are_not_sent() {
    let mut hub = Hub::new(9);
    hub.list((0..134).map(|number| listed(number, "a")).collect(), 0);
    for number in 0..134 {
        hub.report(address(number), report(10_000, None), 0);
    }
    let first = hub.updates_since("entry-1", &zone(), None, 10).unwrap();
    assert!(first.whole);
    assert_eq!((first.listed.len(), first.pulses.len()), (134, 134));
    // One more generation of another entry, and reports that hardly differ.
    hub.load(&"entry-2".into(), &[load(1, 1)], 100);
    for number in 0..134 {
        hub.report(address(number), report(10_500, None), 200);
    }
    let next = hub
        .updates_since("entry-1", &zone(), Some(first.position), 210)
        .unwrap();
    assert!(!next.whole && next.listed.is_empty() && next.gone.is_empty());
    assert!(next.pulses.len() <= 1);
    // An instance that begins to leave is sent.
    hub.report(address(7), report(10_500, Some(1_500)), 300);
    let next = hub
        .updates_since("entry-1", &zone(), Some(next.position), 310)
        .unwrap();
    let received: Vec<&str> = next.pulses.iter().map(|update| &*update.identity).collect();
    assert_eq!(received, ["i-7"]);
}

/// An entry must not apply the changes of one hub to the state of another.
#[test]
fn entry_of_another_hub_is_sent_a_complete_update() {
    let (mut one, mut two) = (Hub::new(1), Hub::new(2));
    one.list(vec![listed(1, "a")], 0);
    assert!(
        two.updates_since("entry-1", &zone(), None, 0).is_none(),
        "its list was never read"
    );
    two.list(vec![listed(2, "a")], 0);
    let position = one
        .updates_since("entry-1", &zone(), None, 0)
        .unwrap()
        .position;
    assert!(
        !one.updates_since("entry-1", &zone(), Some(position), 0)
            .unwrap()
            .whole
    );
    assert!(
        two.updates_since("entry-1", &zone(), Some(position), 0)
            .unwrap()
            .whole
    );
}

/// After a power loss on a large fleet, entries first received the list of a control instance that
/// had read it 0.2 s after the leader. They then ignored the leader's list, which had the engines
/// that the platform did not show yet.
#[test]
fn list_of_the_hub_is_used_though_another_is_slightly_newer() {
    let (mut follower, mut leader) = (Hub::new(1), Hub::new(2));
    follower.list(vec![listed(1, "a")], 300);
    leader.list(vec![listed(1, "a")], 100);
    leader.announce(
        Listed {
            identity: "j-1".into(),
            ..listed(1, "a")
        },
        350,
    );
    let mut view = View::new(zone());
    view.apply_update(
        follower
            .updates_since("entry-1", &zone(), None, 400)
            .unwrap(),
        300,
        400,
    );
    assert_eq!(engine(&view, &[]).as_deref(), Some("i-1"));
    assert!(view.apply_update(
        leader.updates_since("entry-1", &zone(), None, 410).unwrap(),
        100,
        410
    ));
    assert_eq!(engine(&view, &[]).as_deref(), Some("j-1"));
}

/// After the same power loss, each of 128 engines that restarted within 130 ms woke each of 105
/// entries, which took the leader most of a second.
#[test]
fn updates_in_quick_succession_wake_entries_together() {
    let mut limiter = WakeLimiter::default();
    let mut due: Option<u64> = None;
    let mut woken = Vec::new();
    for now_ms in 0..200 {
        if now_ms < 130 {
            due = limiter.request(now_ms).or(due);
        }
        if due.is_some_and(|due_ms| due_ms <= now_ms) {
            limiter.done(None, now_ms);
            woken.push(now_ms);
            due = None;
        }
    }
    assert_eq!(woken.first(), Some(&0), "the first update is not delayed");
    assert!(woken.len() <= 7, "{woken:?}");
    assert!(woken.last().is_some_and(|last_ms| *last_ms >= 129));
}
