//! Engines of before that are still listed after a loss of power, without I/O.

mod fleet_support;

use std::sync::Arc;

use fleet_support::{ENGINE, LONG, address, listed, report};
use lilacspindle::domain::fleet::{Candidate, Hub, Listed, PlacementRequest};

const BEGUN_MS: u64 = 10_000;

/// Returns a hub that has just begun, with engines of before in its list.
fn begun() -> Hub {
    let mut hub = Hub::new(0);
    hub.expect_reports(BEGUN_MS);
    hub.list(vec![listed(1, "a"), listed(2, "a")], BEGUN_MS);
    hub
}

fn place(hub: &mut Hub, identity: &str, now_ms: u64) -> bool {
    let request = PlacementRequest {
        entry: "entry-1".into(),
        demand: LONG,
        planned_tokens: ENGINE.memory_tokens,
        slots: ENGINE.slots,
        unread_limit_tokens: Some(u64::MAX),
        candidates: vec![Candidate {
            identity: identity.into(),
            penalty_ms: 0,
        }],
    };
    hub.place(&request, now_ms).is_some()
}

/// Guards against the load after a loss of power: generations placed on the engines of before were
/// refused three times and turned away, 50 ms before the first new engine was known.
#[test]
fn engines_of_before_get_nothing_until_the_new_ones_are_known() {
    let mut hub = begun();
    assert!(!place(&mut hub, "i-1", BEGUN_MS + 1), "no report yet");
    hub.report(address(1), report(0, None), BEGUN_MS + 40);
    hub.hear_sidecar(address(1), true, BEGUN_MS + 40);
    assert!(!place(&mut hub, "i-1", BEGUN_MS + 80), "not identified yet");
    let identity: Arc<str> = "j-1".into();
    let started = Listed {
        identity: Arc::clone(&identity),
        ..listed(1, "a")
    };
    hub.hear_sidecar(address(1), false, BEGUN_MS + 90);
    hub.announce(started, BEGUN_MS + 90);
    assert!(!place(&mut hub, "i-1", BEGUN_MS + 91), "it is gone");
    assert!(place(&mut hub, "j-1", BEGUN_MS + 91));
}

/// Guards against engines that are never used because their sidecars are silent or fail to identify
/// them, and against those of a deployment without sidecars.
#[test]
fn doubts_end_by_themselves() {
    let mut hub = begun();
    hub.hear_sidecar(address(1), true, BEGUN_MS + 40);
    assert!(place(&mut hub, "i-2", BEGUN_MS + 150));
    hub.hear_sidecar(address(2), true, BEGUN_MS + 160);
    assert!(!place(&mut hub, "i-2", BEGUN_MS + 161));
    hub.hear_sidecar(address(2), false, BEGUN_MS + 240);
    assert!(
        place(&mut hub, "i-2", BEGUN_MS + 241),
        "its sidecar has given up"
    );
    assert!(!place(&mut hub, "i-1", BEGUN_MS + 1_039));
    assert!(place(&mut hub, "i-1", BEGUN_MS + 1_040));
}

/// Guards against a hub that waits again whenever a sidecar reports what it has long identified.
#[test]
fn identified_engines_are_used_at_once() {
    let mut hub = begun();
    hub.hear_sidecar(address(1), false, BEGUN_MS + 20);
    assert!(place(&mut hub, "i-1", BEGUN_MS + 21));
    assert!(hub.expects_engines(BEGUN_MS + 149));
    assert!(!hub.expects_engines(BEGUN_MS + 150));
    // The engine starts again, and another one is not known yet.
    hub.hear_sidecar(address(1), true, BEGUN_MS + 9_000);
    assert!(!place(&mut hub, "i-1", BEGUN_MS + 9_001));
    assert!(
        !hub.expects_engines(BEGUN_MS + 9_001),
        "the others are known"
    );
}
