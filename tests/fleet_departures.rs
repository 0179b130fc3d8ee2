//! Instances that announce their shutdown, as entries and the hub record it, without I/O.

mod fleet_support;

use std::sync::Arc;

use fleet_support::{address, engine, instance_update, listed, report};
use lilacspindle::domain::fleet::{Departure, Hub, ListChange, Listed, ListedState, Report, View};
use lilacspindle::model::ZoneName;

fn born(number: u8, born_ms: u64) -> Listed {
    Listed {
        born_ms: Some(born_ms),
        ..listed(number, "a")
    }
}

fn list(view: &mut View, listed: Vec<Listed>, read_ms: u64) {
    view.apply_platform_list(listed, read_ms, read_ms);
}

/// During a planned replacement under load, outdated lists and reports must not put an instance
/// back into use after it has announced its shutdown.
#[test]
fn only_a_later_start_revokes_a_departure() {
    let mut view = View::new(ZoneName::from("a"));
    list(&mut view, vec![born(1, 10), born(2, 10)], 0);
    assert!(view.mark_leaving("i-1", 100));
    assert!(!view.mark_leaving("i-1", 110), "it was already known");
    assert_eq!(view.usable("model", 100), 1);
    for read_ms in [200, 900, 5_000] {
        list(&mut view, vec![born(1, 10), born(2, 10)], read_ms);
        assert_eq!(view.usable("model", read_ms), 1);
    }
    // A list that temporarily omits the instance, then an outdated report.
    list(&mut view, vec![born(2, 10)], 6_000);
    list(&mut view, vec![born(1, 10), born(2, 10)], 9_000);
    let earlier = Report {
        born_ms: Some(10),
        ..report(0, None)
    };
    view.apply_instance_updates(vec![instance_update(1, Some(earlier), 0)], 9_100);
    assert_eq!(view.usable("model", 9_100), 1);
    let later = Report {
        born_ms: Some(11),
        ..report(0, None)
    };
    view.apply_instance_updates(vec![instance_update(1, Some(later), 0)], 9_200);
    assert_eq!(view.usable("model", 9_200), 2);
    list(&mut view, vec![born(1, 11), born(2, 10)], 9_900);
    assert_eq!(view.usable("model", 9_900), 2);
}

/// An instance without a start time is recognized as restarted only by a new address.
#[test]
fn another_address_is_another_start() {
    let mut view = View::new(ZoneName::from("a"));
    list(&mut view, vec![listed(1, "a")], 0);
    view.mark_leaving("i-1", 100);
    list(&mut view, vec![listed(1, "a")], 4_000);
    assert_eq!(view.usable("model", 4_000), 0);
    let elsewhere = Listed {
        address: address(9),
        ..listed(1, "a")
    };
    list(&mut view, vec![elsewhere], 4_300);
    assert_eq!(view.usable("model", 4_300), 1);
}

/// Other entries, including those that start later, must not place on an instance that one entry
/// knows to be leaving, also after a change of the hub.
#[test]
fn departure_reaches_all_entries_through_every_hub() {
    let entry: Arc<str> = "entry-1".into();
    let zone = ZoneName::from("a");
    let mut view = View::new(zone.clone());
    let mut now_ms = 1_000;
    for id in [1, 2] {
        let mut hub = Hub::new(id);
        hub.list(vec![born(1, 10), born(2, 10)], now_ms);
        let update = hub
            .updates_since(&entry, &zone, view.position(), now_ms)
            .unwrap();
        view.apply_update(update, now_ms, now_ms);
        if id == 1 {
            view.mark_leaving("i-1", now_ms);
        }
        let departures = view.departures();
        let departure = Departure::from(&born(1, 10));
        assert_eq!(
            departures,
            [departure],
            "hub {id} does not know the departure yet"
        );
        let draining = Listed {
            state: ListedState::Draining,
            ..born(1, 10)
        };
        let changes = hub.depart(departures, now_ms);
        assert_eq!(changes, [ListChange::Listed(draining)]);
        let update = hub
            .updates_since(&entry, &zone, view.position(), now_ms)
            .unwrap();
        view.apply_update(update, now_ms, now_ms);
        assert_eq!(view.departures(), [], "hub {id} knows the departure");
        let mut started = View::new(zone.clone());
        let started_entry: Arc<str> = "entry-2".into();
        let whole = hub
            .updates_since(&started_entry, &zone, None, now_ms)
            .unwrap();
        started.apply_update(whole, now_ms, now_ms);
        assert_eq!(engine(&started, &[]).as_deref(), Some("i-2"));
        // The platform still lists the instance as ready.
        hub.list(vec![born(1, 10), born(2, 10)], now_ms + 300);
        assert_eq!(hub.listed()[0].state, ListedState::Draining);
        hub.list(vec![born(1, 12), born(2, 10)], now_ms + 600);
        assert_eq!(hub.listed()[0].state, ListedState::Ready);
        now_ms += 10_000;
    }
}

/// An older report must not revoke the departure that a newer one has announced.
#[test]
fn report_of_a_leaving_engine_is_a_departure() {
    let mut hub = Hub::new(0);
    hub.list(vec![born(1, 10)], 0);
    let draining = Report {
        draining: true,
        ..report(0, None)
    };
    let departure = hub.departure_at(address(1), draining).unwrap();
    assert_eq!(departure.born_ms, Some(10));
    hub.depart(vec![departure], 100);
    hub.report(address(1), report(0, None), 200);
    hub.list(vec![born(1, 10)], 300);
    assert_eq!(hub.listed()[0].state, ListedState::Draining);
}

/// Guards against taking an engine that does not respond for one that the platform has ended: only a
/// list without it, or the end of its notice, shows that.
#[test]
fn instance_has_ended_after_its_notice_or_its_time_on_the_list() {
    let mut view = View::new(ZoneName::from("a"));
    list(&mut view, vec![born(1, 10), born(2, 10)], 0);
    view.mark_leaving("i-1", 100);
    let notice = Report {
        born_ms: Some(10),
        ..report(0, Some(1_600))
    };
    view.apply_instance_updates(vec![instance_update(2, Some(notice), 0)], 100);
    assert!(!view.has_ended("i-1", 1_000) && !view.has_ended("i-2", 1_000));
    assert!(view.has_ended("i-2", 1_600), "its notice is over");
    view.begin("i-1", None);
    list(&mut view, vec![born(2, 10)], 1_700);
    assert!(view.has_ended("i-1", 1_700), "it is not listed");
    assert!(view.has_ended("i-3", 1_700));
}
