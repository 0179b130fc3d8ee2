//! Monotonic and wall-clock time, and detection of process stalls.

mod stall;

use std::sync::OnceLock;
use std::time::{SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};

pub use stall::{STOOD_STILL, reportable_stall_ms, watch_for_stalls};

static START_MS: OnceLock<u64> = OnceLock::new();

/// Returns monotonic milliseconds since the first call in this process. The clock keeps running
/// while the machine is suspended, so that a lease cannot outlive a suspension of its holder.
pub fn monotonic_ms() -> u64 {
    let now = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(now.tv_sec).unwrap_or_default();
    let nanoseconds = u64::try_from(now.tv_nsec).unwrap_or_default();
    let now_ms = seconds * 1_000 + nanoseconds / 1_000_000;
    now_ms.saturating_sub(*START_MS.get_or_init(|| now_ms))
}

/// Returns wall-clock milliseconds since the Unix epoch.
pub fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}
