//! Instances that request a pause, without I/O.

mod fleet_support;

use std::sync::Arc;

use fleet_support::{engine, query, view};
use lilacspindle::domain::fleet::{AskedPause, EngineQuery, View};

const ASKED_MS: u64 = 2_000;

fn paused(instances: u8, paused: u8) -> View {
    let mut view = view(instances);
    for number in 1..=paused {
        let asked = AskedPause::Ms(ASKED_MS + u64::from(number));
        view.extend_pause(&format!("i-{number}"), asked, 1_000);
    }
    view
}

/// A paused instance must get no requests, not even as a last resort.
#[test]
fn paused_instance_gets_no_requests() {
    let view = paused(2, 1);
    let only: [Arc<str>; 1] = ["i-2".into()];
    for now_ms in [1_000, 2_000, 3_000] {
        for random in 0..20 {
            let chosen = view.choose_plain("model", &[], now_ms, random).unwrap();
            assert_eq!(&*chosen.identity, "i-2");
        }
        assert_eq!(view.choose_plain("model", &only, now_ms, 0), None);
    }
    assert_eq!(engine(&view, &[]).as_deref(), Some("i-2"));
    assert!(view.choose_plain("model", &only, 3_001, 0).is_some());
}

/// Callers must not wait in vain, nor retry before an instance is available.
#[test]
fn end_of_first_pause_is_known_once_all_are_paused() {
    assert_eq!(paused(3, 2).all_paused_for_ms("model", 1_100), None);
    let view = paused(3, 3);
    assert_eq!(view.all_paused_for_ms("model", 1_100), Some(ASKED_MS - 99));
    assert_eq!(view.all_paused_for_ms("model", 3_001), None);
    let mut view = paused(2, 1);
    view.mark_leaving("i-2", 1_000);
    let left_ms = view.all_paused_for_ms("model", 1_000);
    assert_eq!(
        left_ms,
        Some(ASKED_MS + 1),
        "a leaving instance does not count"
    );
}

/// The requests of all entries must not reach an instance at the moment its pause ends.
#[test]
fn load_increases_in_steps_after_a_pause() {
    let mut view = paused(1, 1);
    let open_until_full = |view: &mut View, now_ms: u64| {
        let mut opened = 0;
        while opened < 24 {
            let query = EngineQuery {
                now_ms,
                ..query(&[])
            };
            let Some(chosen) = view.choose_engine(&query) else {
                break;
            };
            view.begin(&chosen.identity, None);
            opened += 1;
        }
        opened
    };
    assert_eq!(open_until_full(&mut view, 3_000), 0);
    assert_eq!(open_until_full(&mut view, 3_001), 1);
    assert_eq!(open_until_full(&mut view, 3_251), 1);
    assert_eq!(open_until_full(&mut view, 3_501), 2);
    assert_eq!(open_until_full(&mut view, 6_000), 20);
}

/// Pauses must be bounded, and one that cannot be parsed must not count as none.
#[test]
fn extreme_pauses_are_bounded() {
    assert_eq!(AskedPause::Ms(31_536_000_000).bounded_ms(), 300_000);
    assert_eq!(AskedPause::Ms(250).bounded_ms(), 250);
    assert_eq!(AskedPause::Unreadable.bounded_ms(), 1_000);
    let mut view = paused(1, 1);
    view.extend_pause("i-1", AskedPause::Ms(0), 1_500);
    assert_eq!(view.pause_left_ms("i-1", 1_500), ASKED_MS - 499);
}

/// A pause must not be lost because a list temporarily omits the instance.
#[test]
fn pause_outlasts_a_list_without_the_instance() {
    let mut view = paused(2, 1);
    let all = || (1..=2).map(|n| fleet_support::listed(n, "a")).collect();
    view.apply_platform_list(vec![fleet_support::listed(2, "a")], 1_200, 1_200);
    view.apply_platform_list(all(), 1_500, 1_500);
    assert_eq!(view.pause_left_ms("i-1", 1_500), ASKED_MS - 499);
}
