//! Evacuation of zones, without I/O: orders on the replicated log, stored data, the hub and the
//! entries' choices.

mod fleet_support;

use std::collections::BTreeSet;
use std::sync::Arc;

use fleet_support::{LONG, engine, listed, query};
use lilacspindle::domain::evacuation::{Action, Evacuations, ZoneOrder, check_zone};
use lilacspindle::domain::fleet::{Candidate, ColdRule, Hub, ListChange, PlacementRequest, View};
use lilacspindle::model::ZoneName;
use lilacspindle::roles::directory::{Command, PutDocument, Snapshot};
use lilacspindle::rpc::directory::Published;
use quickcheck::{TestResult, quickcheck};

const REPLICAS: usize = 3;
const ENTRIES: usize = 2;

fn zone(number: u8) -> ZoneName {
    ZoneName::from(["a", "b", "c"][usize::from(number % 3)])
}

fn zones(names: &[&str]) -> BTreeSet<ZoneName> {
    names.iter().map(|name| ZoneName::from(*name)).collect()
}

fn order(action: Action, zone: ZoneName) -> ZoneOrder {
    ZoneOrder { zone, action }
}

/// A replica: its applied state, and the snapshot and log index that are on its disk.
#[derive(Clone, Default)]
struct Replica {
    state: Evacuations,
    applied: usize,
    snapshot: Vec<u8>,
    snapshot_at: usize,
}

/// A log with the replicas that apply it and the entries that read from them.
#[derive(Default)]
struct Model {
    log: Vec<Vec<u8>>,
    replicas: [Replica; REPLICAS],
    entries: [Evacuations; ENTRIES],
}

impl Model {
    /// Commits an order; a lost answer makes no difference to the log.
    fn commit(&mut self, order: ZoneOrder) {
        let command = Command::Evacuation(order).encode().unwrap();
        self.log.push(command);
    }

    /// Applies the log at a replica up to an index.
    fn apply(&mut self, replica: usize, until: usize) {
        let replica = &mut self.replicas[replica];
        for at in replica.applied..until.min(self.log.len()) {
            let Ok(Command::Evacuation(order)) = Command::decode(&self.log[at]) else {
                panic!("entry {at} is an order");
            };
            replica.state.apply(&order, log_index(at));
            replica.applied = at + 1;
        }
    }

    fn save(&mut self, replica: usize) {
        let replica = &mut self.replicas[replica];
        let snapshot = Snapshot {
            published: None,
            evacuations: replica.state.clone(),
        };
        replica.snapshot = snapshot.encode().unwrap();
        replica.snapshot_at = replica.applied;
    }

    /// Reopens the log of a replica, whose process may have been killed.
    fn reopen(&mut self, replica: usize, killed: bool) {
        let replica = &mut self.replicas[replica];
        if killed {
            replica.state = Evacuations::default();
        }
        if !replica.snapshot.is_empty() {
            let restored = Snapshot::decode(&replica.snapshot).unwrap();
            replica.state.adopt(restored.evacuations);
        }
        replica.applied = replica.snapshot_at;
    }

    /// Returns the set that follows from the log alone.
    fn expected(&self) -> BTreeSet<ZoneName> {
        let mut zones = BTreeSet::new();
        for command in &self.log {
            match Command::decode(command) {
                Ok(Command::Evacuation(ZoneOrder { zone, action })) => match action {
                    Action::Start => zones.insert(zone),
                    Action::Finish => zones.remove(&zone),
                },
                other => panic!("{other:?} is no order"),
            };
        }
        zones
    }
}

/// Entries of the log count from 1.
fn log_index(at: usize) -> u64 {
    at as u64 + 1
}

quickcheck! {
    /// Guards against replicas or entries that disagree on the evacuated zones, and entries that go
    /// back to an older set: after crossed and repeated orders, replicas that lag, are killed or are
    /// reopened with an older snapshot, and syncs with any of them.
    fn replicas_and_entries_agree_after_any_history(steps: Vec<(u8, u8, u8)>) -> bool {
        let mut model = Model::default();
        for (step, number, extra) in steps {
            let replica = usize::from(number) % REPLICAS;
            let entry = usize::from(extra) % ENTRIES;
            match step % 9 {
                0..=2 => {
                    let action = if extra % 2 == 0 { Action::Start } else { Action::Finish };
                    let repeats = 1 + extra / 2 % 2;
                    (0..repeats).for_each(|_| model.commit(order(action, zone(number))));
                }
                3 => model.apply(replica, usize::from(extra)),
                4 => model.apply(replica, usize::MAX),
                5 => model.save(replica),
                6 => model.reopen(replica, extra % 2 == 0),
                7 => {
                    // A reply of a replica that lags, as one that was sent before a newer one.
                    let before = model.entries[entry].clone();
                    model.entries[entry].adopt(model.replicas[replica].state.clone());
                    let after = &model.entries[entry];
                    if after.revision() < before.revision()
                        || (after.revision() == before.revision() && *after != before)
                    {
                        return false;
                    }
                }
                _ => {
                    // A confirmed reply.
                    model.apply(replica, usize::MAX);
                    model.entries[entry].adopt(model.replicas[replica].state.clone());
                    if *model.entries[entry].zones() != model.expected() {
                        return false;
                    }
                }
            }
        }
        (0..REPLICAS).for_each(|replica| model.apply(replica, usize::MAX));
        let first = &model.replicas[0].state;
        model.replicas.iter().all(|replica| replica.state == *first)
            && *first.zones() == model.expected()
    }

    /// Guards against a document that is taken for another command, or the reverse, and against log
    /// entries of earlier versions that can no longer be read.
    fn commands_are_told_apart(version: u64, body: Vec<u8>, number: u8) -> TestResult {
        let put = PutDocument { version, body };
        let as_before = postcard::to_stdvec(&put).unwrap();
        let stored = Command::Put(put.clone()).encode().unwrap();
        if stored != as_before {
            return TestResult::failed();
        }
        let order = Command::Evacuation(order(Action::Start, zone(number)));
        let decoded = Command::decode(&order.encode().unwrap()).unwrap();
        TestResult::from_bool(
            decoded == order && Command::decode(&as_before).unwrap() == Command::Put(put),
        )
    }
}

/// Guards against logs and snapshots of earlier versions that can no longer be read. The bytes are
/// those that the version before evacuations wrote.
#[test]
fn data_of_earlier_versions_is_read() {
    let put = Command::Put(PutDocument {
        version: 300,
        body: b"{}".to_vec(),
    });
    assert_eq!(Command::decode(b"\xac\x02\x02{}").unwrap(), put);
    let highest = Command::Put(PutDocument {
        version: u64::MAX,
        body: Vec::new(),
    });
    let bytes = highest.encode().unwrap();
    assert_eq!(Command::decode(&bytes).unwrap(), highest);
    let document = Snapshot {
        published: Some(Published {
            version: 300,
            body: b"{}".to_vec().into(),
        }),
        evacuations: Evacuations::default(),
    };
    assert_eq!(Snapshot::decode(b"\x01\xac\x02\x02{}").unwrap(), document);
    assert_eq!(document.encode().unwrap(), b"\x01\xac\x02\x02{}");
    assert_eq!(Snapshot::decode(b"\x00").unwrap(), Snapshot::default());
}

/// Guards against a snapshot that loses the evacuated zones or the document, also when the last zone
/// was used again: without the revision, an entry would keep the zone.
#[test]
fn snapshots_keep_evacuations() {
    let mut snapshot = Snapshot {
        published: Some(Published {
            version: 7,
            body: b"{}".to_vec().into(),
        }),
        evacuations: Evacuations::default(),
    };
    for (action, index) in [(Action::Start, 5), (Action::Finish, 9)] {
        assert!(snapshot.evacuations.apply(&order(action, zone(0)), index));
        let stored = snapshot.encode().unwrap();
        assert_eq!(Snapshot::decode(&stored).unwrap(), snapshot);
        assert_eq!(snapshot.evacuations.revision(), index);
        let truncated = &stored[..stored.len() - 1];
        assert!(Snapshot::decode(truncated).is_err());
    }
}

/// Guards against an unknown zone that is accepted, and an answer that does not name the known ones.
#[test]
fn unknown_zones_are_rejected_with_the_known_ones() {
    let known = zones(&["a", "b"]);
    assert!(check_zone(&zone(0), known.clone()).is_ok());
    let unknown = check_zone(&ZoneName::from("d"), known).unwrap_err();
    assert_eq!(
        unknown.to_string(),
        r#"unknown zone "d"; known zones: a, b"#
    );
}

fn placement(candidates: &[u8]) -> PlacementRequest {
    let candidate = |number: &u8| Candidate {
        identity: format!("i-{number}").into(),
        penalty_ms: 0,
    };
    PlacementRequest {
        entry: "entry-1".into(),
        demand: LONG,
        planned_tokens: 20_000,
        slots: 24,
        unread_limit_tokens: Some(u64::MAX),
        candidates: candidates.iter().map(candidate).collect(),
    }
}

/// Guards against a hub that places or moves a generation into an evacuated zone, and one that leaves
/// its instances out after the end of the evacuation.
#[test]
fn hub_places_nothing_in_an_evacuated_zone() {
    let mut hub = Hub::new(1);
    let rule = ColdRule {
        start_ms: 1_000,
        limit_milli_per_s: Some(33_000),
    };
    hub.set_cold_rules([(Arc::from("model"), rule)].into_iter().collect(), 0);
    hub.list(vec![listed(1, "a"), listed(2, "b"), listed(3, "a")], 0);
    hub.set_evacuated(zones(&["a"]));
    for _ in 0..3 {
        assert_eq!(hub.place(&placement(&[1, 2, 3]), 10), Some(1));
    }
    let targets = hub.with_room(&placement(&[1, 2, 3]), 10);
    assert_eq!(targets.len(), 1);
    assert_eq!(hub.place(&placement(&[1, 3]), 10), None);
    hub.set_evacuated(BTreeSet::new());
    // The instances of the zone, and only those, are cold from then on.
    let changes = hub.zone_restored(&ZoneName::from("a"), 20);
    let cold = changes.iter().filter_map(|change| match change {
        ListChange::Listed(listed) => Some(&*listed.identity),
        ListChange::Gone(_) => None,
    });
    assert_eq!(cold.collect::<Vec<_>>(), ["i-1", "i-3"]);
    assert_eq!(hub.place(&placement(&[1]), 1_020), Some(0));
}

fn plain(view: &View, excluded: &[Arc<str>]) -> Option<Arc<str>> {
    let chosen = view.choose_plain("model", excluded, 1_000, 7)?;
    Some(chosen.identity)
}

/// Guards against an entry that chooses an instance of an evacuated zone for a plain call, a
/// generation, the target of a move or a backup copy, or offers one to the hub; also if a list
/// arrives after the order.
#[test]
fn entry_chooses_nothing_in_an_evacuated_zone() {
    let mut view = View::new(ZoneName::from("a"));
    let list = vec![listed(1, "a"), listed(2, "b"), listed(3, "a")];
    view.apply_platform_list(list, 0, 0);
    view.set_evacuated(zones(&["a"]));
    let list = vec![
        listed(1, "a"),
        listed(2, "b"),
        listed(3, "a"),
        listed(4, "a"),
    ];
    view.apply_platform_list(list, 900, 900);
    let only: [Arc<str>; 1] = ["i-2".into()];
    assert_eq!(plain(&view, &[]).as_deref(), Some("i-2"));
    assert_eq!(plain(&view, &only), None);
    assert_eq!(engine(&view, &[]).as_deref(), Some("i-2"));
    assert_eq!(engine(&view, &only), None);
    let entry: Arc<str> = "entry-1".into();
    for waits in [false, true] {
        let (request, chosen) = view.placement_request(&query(&[]), &entry, waits);
        assert_eq!(request.candidates.len(), 1);
        assert_eq!(chosen[0].identity, only[0]);
    }
    let (_, targets) = view.targets(&query(&[]), "i-1", &entry, 5);
    assert_eq!(targets.len(), 1);
    assert_eq!(targets[0].identity, only[0]);
    let backup = view.choose_backup(&query(&[]), "i-1").unwrap();
    assert_eq!(backup.identity, only[0]);
    assert!(view.choose_backup(&query(&only), "i-2").is_none());
    assert_eq!(view.usable("model", 1_000), 1);
    assert!(view.is_evacuated("i-1") && !view.is_evacuated("i-2"));
    assert!(!view.all_evacuated("model"));
}

/// Guards against callers that wait although every zone is evacuated, and against instances that
/// count as leaving because of an evacuation: what runs there goes on, and they are used again.
#[test]
fn evacuated_instances_keep_their_work_and_return() {
    let mut view = View::new(ZoneName::from("a"));
    view.apply_platform_list(vec![listed(1, "a"), listed(2, "b")], 0, 0);
    view.begin("i-1", Some(LONG));
    view.set_evacuated(zones(&["a", "b"]));
    assert!(view.all_evacuated("model"));
    assert!(!view.all_evacuated("other"));
    assert_eq!(view.usable("model", 1_000), 0);
    assert!(view.leaving("i-1").is_none());
    assert_eq!(view.loads().len(), 1);
    view.set_evacuated(BTreeSet::new());
    assert_eq!(view.usable("model", 1_000), 2);
    assert!(plain(&view, &[]).is_some());
}
