//! Previous engines that are still listed after a power loss, without I/O.

mod fleet_support;

use std::sync::Arc;

use fleet_support::{ENGINE, LONG, address, listed, report};
use lilacspindle::domain::fleet::{Candidate, Hub, Listed, PlacementRequest};

const STARTED_MS: u64 = 10_000;

/// Returns a hub that has just started, with previous engines in its list.
fn started_hub() -> Hub {
    let mut hub = Hub::new(0);
    hub.expect_reports(STARTED_MS);
    hub.list(vec![listed(1, "a"), listed(2, "a")], STARTED_MS);
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

/// After a power loss, generations placed on the previous engines were refused three times and
/// rejected, 50 ms before the first new engine was identified.
#[test]
fn previous_engines_get_no_work_while_new_ones_are_identified() {
    let mut hub = started_hub();
    assert!(!place(&mut hub, "i-1", STARTED_MS + 1), "no report yet");
    hub.report(address(1), report(0, None), STARTED_MS + 40);
    hub.hear_sidecar(address(1), true, STARTED_MS + 40);
    assert!(
        !place(&mut hub, "i-1", STARTED_MS + 80),
        "not identified yet"
    );
    let identity: Arc<str> = "j-1".into();
    let started = Listed {
        identity: Arc::clone(&identity),
        ..listed(1, "a")
    };
    hub.hear_sidecar(address(1), false, STARTED_MS + 90);
    hub.announce(started, STARTED_MS + 90);
    assert!(!place(&mut hub, "i-1", STARTED_MS + 91), "it is gone");
    assert!(place(&mut hub, "j-1", STARTED_MS + 91));
}

/// Engines must not stay unused because their sidecars do not report or fail to identify them, nor
/// in a deployment without sidecars.
#[test]
fn unidentified_engines_are_used_after_a_timeout() {
    let mut hub = started_hub();
    hub.hear_sidecar(address(1), true, STARTED_MS + 40);
    assert!(place(&mut hub, "i-2", STARTED_MS + 150));
    hub.hear_sidecar(address(2), true, STARTED_MS + 160);
    assert!(!place(&mut hub, "i-2", STARTED_MS + 161));
    hub.hear_sidecar(address(2), false, STARTED_MS + 240);
    assert!(
        place(&mut hub, "i-2", STARTED_MS + 241),
        "its sidecar has stopped identifying it"
    );
    assert!(!place(&mut hub, "i-1", STARTED_MS + 1_039));
    assert!(place(&mut hub, "i-1", STARTED_MS + 1_040));
}

/// The hub must not wait again whenever a sidecar reports an engine that it identified long ago.
#[test]
fn identified_engines_are_used_at_once() {
    let mut hub = started_hub();
    hub.hear_sidecar(address(1), false, STARTED_MS + 20);
    assert!(place(&mut hub, "i-1", STARTED_MS + 21));
    assert!(hub.expects_engines(STARTED_MS + 149));
    assert!(!hub.expects_engines(STARTED_MS + 150));
    // The engine restarts, and the new start is not identified yet.
    hub.hear_sidecar(address(1), true, STARTED_MS + 9_000);
    assert!(!place(&mut hub, "i-1", STARTED_MS + 9_001));
    assert!(
        !hub.expects_engines(STARTED_MS + 9_001),
        "the other engines are identified"
    );
}
