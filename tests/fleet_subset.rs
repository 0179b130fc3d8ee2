//! The subset of a large fleet that an entry is sent, without I/O.

mod fleet_support;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use fleet_support::{ENGINE, LONG, engine};
use lilacspindle::domain::fleet::{
    EngineQuery, FleetUpdate, Hub, Listed, ListedState, Load, Position, View,
};
use lilacspindle::model::ZoneName;
use quickcheck::quickcheck;

/// Number of instances of a service that an entry is sent at most.
const MAX_INSTANCES: usize = 256;

fn zone(number: usize) -> ZoneName {
    ZoneName::from(["a", "b", "c", "d", "e", "f"][number % 6])
}

fn instance(number: usize) -> Listed {
    let number_u32 = u32::try_from(number).unwrap();
    Listed {
        identity: format!("i-{number}").into(),
        service: "model".into(),
        address: SocketAddr::from(((0x0a00_0000 + number_u32).to_be_bytes(), 8_000)),
        zone: zone(number),
        slots: 24,
        state: ListedState::Ready,
        cold_remaining_ms: 0,
        born_ms: None,
    }
}

fn fleet(instances: usize) -> Vec<Listed> {
    (0..instances).map(instance).collect()
}

fn load(number: usize, running: u32) -> Load {
    Load {
        identity: format!("i-{number}").into(),
        running,
        committed_tokens: u64::from(running) * LONG.total_tokens(),
        prefill_tokens: 0,
        ..Load::default()
    }
}

fn names(update: &FleetUpdate) -> BTreeSet<Arc<str>> {
    let listed = update.listed.iter();
    listed.map(|listed| Arc::clone(&listed.identity)).collect()
}

/// Updates must not cost entries times instances: a large fleet has 135 entries and 2,998
/// instances.
#[test]
fn entry_of_a_large_fleet_is_sent_a_subset() {
    let mut hub = Hub::new(9);
    hub.list(fleet(2_998), 0);
    let mut recipients: BTreeMap<Arc<str>, usize> = BTreeMap::new();
    for number in 0..135 {
        let update = hub
            .updates_since(&format!("entry-{number}"), &zone(number), None, 0)
            .unwrap();
        assert!(update.whole && update.is_subset);
        assert_eq!(update.listed.len(), MAX_INSTANCES);
        let near = update.listed.iter().filter(|l| l.zone == zone(number));
        assert!(
            near.count() >= MAX_INSTANCES / 2,
            "most of them are in the same zone"
        );
        for identity in names(&update) {
            *recipients.entry(identity).or_default() += 1;
        }
    }
    assert_eq!(recipients.len(), 2_998, "each instance is sent to an entry");
}

#[test]
fn entry_of_a_small_fleet_is_sent_all_instances() {
    let mut hub = Hub::new(9);
    hub.list(fleet(MAX_INSTANCES), 0);
    let update = hub.updates_since("entry-1", &zone(0), None, 0).unwrap();
    assert!(!update.is_subset);
    assert_eq!(update.listed.len(), MAX_INSTANCES);
}

/// Changes must not be sent to all entries of a large fleet.
#[test]
fn change_is_sent_only_to_entries_that_have_the_instance() {
    let mut hub = Hub::new(9);
    hub.list(fleet(2_000), 0);
    let entries: Vec<String> = (0..40).map(|number| format!("entry-{number}")).collect();
    let mut first = BTreeMap::new();
    for (number, entry) in entries.iter().enumerate() {
        let update = hub.updates_since(entry, &zone(number), None, 0).unwrap();
        first.insert(entry, (update.position, names(&update)));
    }
    hub.list(fleet(2_000).split_off(1), 10);
    let lost: Arc<str> = "i-0".into();
    let mut notified = 0;
    for (number, entry) in entries.iter().enumerate() {
        let (position, known) = &first[entry];
        let update = hub
            .updates_since(entry, &zone(number), Some(*position), 10)
            .unwrap();
        assert!(!update.whole);
        let knew = known.contains(&lost);
        notified += usize::from(knew);
        assert_eq!(update.gone, Vec::from_iter(knew.then(|| Arc::clone(&lost))));
        // Another instance replaces it.
        assert_eq!(update.listed.len(), usize::from(knew));
        assert!(update.dropped.is_empty());
    }
    assert!(
        (1..20).contains(&notified),
        "{notified} entries had the instance"
    );
}

/// An entry must keep receiving updates on an engine that runs its generations.
#[test]
fn entry_is_sent_engines_that_run_its_generations() {
    let mut hub = Hub::new(9);
    hub.list(fleet(2_000), 0);
    let first = hub.updates_since("entry-1", &zone(0), None, 0).unwrap();
    let known = names(&first);
    let other = (0..2_000)
        .find(|number| !known.contains(&*instance(*number).identity))
        .unwrap();
    hub.load(&"entry-1".into(), &[load(other, 1)], 10);
    let next = hub
        .updates_since("entry-1", &zone(0), Some(first.position), 10)
        .unwrap();
    assert_eq!(names(&next), BTreeSet::from([instance(other).identity]));
    // It learns that the engine is gone, though it was sent it for its own load only.
    let rest = fleet(2_000)
        .into_iter()
        .filter(|listed| listed.identity != instance(other).identity);
    hub.list(rest.collect(), 20);
    let last = hub
        .updates_since("entry-1", &zone(0), Some(next.position), 20)
        .unwrap();
    assert!(last.gone.contains(&instance(other).identity));
}

/// Generations must not be moved away from an engine that is still there but no longer in the
/// entry's subset.
#[test]
fn dropped_instance_finishes_its_generations_and_gets_no_more() {
    let update = |listed: Vec<Listed>, dropped: Vec<Arc<str>>, whole, list_revision| FleetUpdate {
        position: Position {
            hub: 1,
            list_revision,
            load_revision: 0,
        },
        whole,
        is_subset: true,
        listed,
        gone: Vec::new(),
        dropped,
        pulses: Vec::new(),
    };
    let query = EngineQuery {
        service: "model",
        demand: LONG,
        engine: ENGINE,
        excluded: &[],
        read_within_ms: None,
        now_ms: 100,
        random: 1,
    };
    let (one, two) = (instance(1), instance(2));
    let mut view = View::new(zone(0));
    view.apply_update(update(vec![one.clone()], Vec::new(), true, 1), 0, 0);
    view.begin(&one.identity, Some(LONG));
    let dropped = vec![Arc::clone(&one.identity)];
    view.apply_update(update(vec![two.clone()], dropped, false, 2), 10, 10);
    assert_eq!(view.leaving(&one.identity), None, "it is still there");
    let chosen = view.choose_engine(&query).unwrap();
    assert_eq!(chosen.identity, two.identity);
    // The same after a complete update.
    view.apply_update(update(vec![two.clone()], Vec::new(), true, 3), 20, 20);
    assert_eq!(view.leaving(&one.identity), None);
    view.end(&one.identity, Some(LONG), true);
    view.apply_update(update(vec![two], Vec::new(), true, 4), 30, 30);
    assert!(
        view.leaving(&one.identity).is_some(),
        "it is no longer known"
    );
    assert!(engine(&view, &[]).is_some());
}

/// The state that one entry has received.
#[derive(Default)]
struct Entry {
    position: Option<Position>,
    listed: BTreeMap<Arc<str>, Listed>,
}

impl Entry {
    fn apply_update(&mut self, update: FleetUpdate) {
        if update.whole {
            self.listed.clear();
        }
        for identity in update.gone.iter().chain(&update.dropped) {
            self.listed.remove(identity);
        }
        let listed = update.listed.into_iter();
        self.listed
            .extend(listed.map(|listed| (Arc::clone(&listed.identity), listed)));
        self.position = Some(update.position);
    }
}

fn subset_matches_a_complete_update(steps: Vec<(u16, u8, bool)>) -> bool {
    let mut hub = Hub::new(9);
    let mut size = 300;
    hub.list(fleet(size), 0);
    let mut entry = Entry::default();
    steps
        .into_iter()
        .enumerate()
        .all(|(step, (number, what, is_lost))| {
            let now_ms = 100 * step as u64;
            let number = usize::from(number);
            match what % 4 {
                0 => size = 200 + number % 200,
                1 => hub.load(&"entry-1".into(), &[load(number % 400, 1)], now_ms),
                2 => hub.load(&"entry-1".into(), &[], now_ms),
                _ => {}
            }
            let drains = |listed: Listed| match listed.identity == instance(number % 400).identity {
                true => Listed {
                    state: ListedState::Draining,
                    ..listed
                },
                false => listed,
            };
            hub.list(fleet(size).into_iter().map(drains).collect(), now_ms);
            let update = hub
                .updates_since("entry-1", &zone(0), entry.position, now_ms)
                .unwrap();
            if is_lost {
                return true;
            }
            entry.apply_update(update);
            let mut other = Entry::default();
            other.apply_update(
                hub.updates_since("entry-1", &zone(0), None, now_ms)
                    .unwrap(),
            );
            entry.listed == other.listed
        })
}

/// A case that quickcheck found: the response in which the fleet became small was lost.
#[test]
fn entry_has_all_instances_of_a_fleet_that_became_small() {
    assert!(subset_matches_a_complete_update(vec![
        (0, 1, false),
        (0, 0, true),
        (0, 0, false)
    ]));
}

quickcheck! {
    /// An entry must not be left with instances that are gone or without some of its own, while the
    /// fleet changes between small and large and responses are lost.
    fn entry_has_its_subset(steps: Vec<(u16, u8, bool)>) -> bool {
        subset_matches_a_complete_update(steps)
    }
}
