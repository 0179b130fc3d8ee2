//! Notices when the process stood still: its machine was suspended, or it got no processor.

use std::sync::OnceLock;
use std::time::Duration;

use prometheus::{IntCounter, Opts};
use tokio::time::sleep;

use super::monotonic_ms;
use crate::adapters::telemetry::registry;

/// The message of the log line.
pub const STOOD_STILL: &str = "the process stood still";

/// Time between two looks at the clock.
const LOOK_EVERY_MS: u64 = 100;
/// A look that is late by more than this is told. Callers of the sites planned for give a plain call
/// 100 ms to 300 ms.
const NOTICED_MS: u64 = 200;

static STALLS: OnceLock<[IntCounter; 2]> = OnceLock::new();

fn counters() -> &'static [IntCounter; 2] {
    STALLS.get_or_init(|| {
        let names = [
            ("lilac_stalls_total", "Times that the process stood still."),
            (
                "lilac_stalled_ms_total",
                "Time that the process stood still.",
            ),
        ];
        names.map(|(name, help)| {
            let counter =
                IntCounter::with_opts(Opts::new(name, help)).expect("constant options are valid");
            // Registration fails only if the name is taken, which the OnceLock rules out.
            let _ = registry().register(Box::new(counter.clone()));
            counter
        })
    })
}

/// Returns how long the process stood still if a look is so late, or none if that is of no note.
pub fn stood_still_ms(due_ms: u64, now_ms: u64) -> Option<u64> {
    now_ms
        .checked_sub(due_ms)
        .filter(|late_ms| *late_ms > NOTICED_MS)
}

/// Logs and counts each time that the process stood still. Does not return.
pub async fn watch_for_stalls() {
    let [stalls, stalled_ms] = counters();
    loop {
        let due_ms = monotonic_ms() + LOOK_EVERY_MS;
        sleep(Duration::from_millis(LOOK_EVERY_MS)).await;
        if let Some(late_ms) = stood_still_ms(due_ms, monotonic_ms()) {
            stalls.inc();
            stalled_ms.inc_by(late_ms);
            tracing::warn!(for_ms = late_ms, "{STOOD_STILL}");
        }
    }
}
