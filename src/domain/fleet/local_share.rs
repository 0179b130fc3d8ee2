//! The requests that an entry sends to an instance with a limit while the hub does not answer.
//!
//! Without the hub, each entry uses its part of half of the limit, so that all entries together stay
//! within one and a half times the limit even if the hub still answers some of them. With hundreds
//! of entries that part is far below one request per second: whole requests are then drawn by lot,
//! and those not used expire. If they were saved, the entries that had saved one could send more
//! than the limit allows at the same time.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Requests are allotted for periods of this length.
const PERIOD_MS: u64 = 1_000;
/// Percentage of a named limit that all entries together use without the hub.
pub(super) const NAMED_LIMIT_PERCENT: u64 = 50;
const REQUEST_MICRO: u64 = 1_000_000;

/// This entry's place among the entries.
#[derive(Debug, Clone, Copy)]
pub(super) struct EntryShare {
    /// Number of entries that share the limits.
    pub(super) entries: u32,
    /// Differs between entries, so that they do not draw the same lots.
    pub(super) seed: u64,
}

/// The requests that were sent to one instance in the current period.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct LocalUse {
    period: u64,
    sent: u64,
}

impl LocalUse {
    /// Returns true if the entry may send another request to an instance in this period, if all
    /// entries together use `used_percent` of the limit.
    pub(super) fn allows(
        &self,
        identity: &str,
        limit_milli_per_s: u64,
        used_percent: u64,
        share: EntryShare,
        now_ms: u64,
    ) -> bool {
        let period = now_ms / PERIOD_MS;
        let sent = match period == self.period {
            true => self.sent,
            false => 0,
        };
        let part_micro =
            limit_milli_per_s * PERIOD_MS * used_percent / 100 / u64::from(share.entries.max(1));
        let lot = xxh3_64_with_seed(identity.as_bytes(), share.seed.wrapping_add(period));
        let is_drawn = lot % REQUEST_MICRO < part_micro % REQUEST_MICRO;
        sent < part_micro / REQUEST_MICRO + u64::from(is_drawn)
    }

    /// Counts a request.
    pub(super) fn count(&mut self, now_ms: u64) {
        let period = now_ms / PERIOD_MS;
        if period != self.period {
            *self = Self { period, sent: 0 };
        }
        self.sent += 1;
    }
}
