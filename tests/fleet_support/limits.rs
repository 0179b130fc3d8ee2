//! The users' rule on request limits, and updates between the hub and entries.

use std::collections::VecDeque;

use lilacspindle::domain::fleet::{Hub, View};
use lilacspindle::model::ZoneName;

/// Window in which the users count requests, and the requests that they allow beyond one and a half
/// times the limit.
const WINDOW_MS: u64 = 4_000;
const ALLOWED_BEYOND: f64 = 5.0;

/// Sends an update of the hub to a view, and what the view has heard to the hub.
pub fn sync(view: &mut View, hub: &mut Hub, entry: &str, now_ms: u64) {
    hub.hear_limits(&view.limit_notices(now_ms), now_ms);
    let zone = ZoneName::from("a");
    let update = hub.updates_since(entry, &zone, view.position(), now_ms);
    view.apply_update(update.unwrap(), now_ms, now_ms);
}

/// Asserts the users' rule for requests at `sent_ms`, in order. `limit_per_s` returns the limit in
/// force at a time.
pub fn assert_within(
    sent_ms: &[u64],
    from_ms: u64,
    limit_per_s: impl Fn(u64) -> Option<f64>,
    what: &str,
) {
    let mut window = VecDeque::new();
    for at_ms in sent_ms {
        window.push_back(*at_ms);
        while window
            .front()
            .is_some_and(|first| first + WINDOW_MS <= *at_ms)
        {
            window.pop_front();
        }
        let steps = (at_ms.saturating_sub(WINDOW_MS)..*at_ms).step_by(50);
        let limits: Option<Vec<f64>> = steps.map(&limit_per_s).collect();
        let (Some(limits), true) = (limits, *at_ms >= from_ms) else {
            continue;
        };
        let allowed = 1.5 * limits.iter().sum::<f64>() * 0.05 + ALLOWED_BEYOND;
        let count = u32::try_from(window.len()).unwrap();
        assert!(
            f64::from(count) <= allowed,
            "{what}: {count} requests in the 4 s before {at_ms} ms, allowed {allowed}"
        );
    }
}
