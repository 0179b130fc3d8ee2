//! Detects stalls of the process: its machine was suspended, or it was not scheduled on a CPU.

use std::sync::OnceLock;
use std::time::Duration;

use prometheus::{IntCounter, Opts};
use tokio::time::sleep;

use super::monotonic_ms;
use crate::adapters::telemetry::registry;

/// The message of the log line for a stall; `lilacspindle explain` looks for it.
pub const STOOD_STILL: &str = "the process stood still";

/// Time between two checks of the clock.
const CHECK_INTERVAL_MS: u64 = 100;
/// A stall is reported if a check is late by more than this. Callers of the supported sites time
/// out a plain call after 100 ms to 300 ms.
const REPORT_ABOVE_MS: u64 = 200;

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

/// Returns how late a check that was due at `due_ms` is, or `None` if the delay is too short to
/// report.
pub fn reportable_stall_ms(due_ms: u64, now_ms: u64) -> Option<u64> {
    now_ms
        .checked_sub(due_ms)
        .filter(|late_ms| *late_ms > REPORT_ABOVE_MS)
}

/// Logs and counts each stall of the process. Never returns.
pub async fn watch_for_stalls() {
    let [stalls, stalled_ms] = counters();
    loop {
        let due_ms = monotonic_ms() + CHECK_INTERVAL_MS;
        sleep(Duration::from_millis(CHECK_INTERVAL_MS)).await;
        if let Some(late_ms) = reportable_stall_ms(due_ms, monotonic_ms()) {
            stalls.inc();
            stalled_ms.inc_by(late_ms);
            tracing::warn!(for_ms = late_ms, "{STOOD_STILL}");
        }
    }
}
