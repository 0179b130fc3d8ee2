//! Schedules an entry's own reads of the platform's list while control is unreachable.
//!
//! On a large fleet that loses control, over a hundred entries reading a list of thousands of
//! instances at once, and again as soon as a read fails, would keep the platform from responding to
//! anyone, the control instances included.

/// Shortest interval between two reads.
const MIN_INTERVAL_MS: u64 = 700;
/// Interval per entry of the fleet, so that all entries together read the list at most a hundred
/// times a second. The platform of the largest planned deployment handles 1,000 calls a second.
const INTERVAL_MS_PER_ENTRY: u64 = 10;
/// The interval doubles with each failure in a row, up to this many times.
const MAX_DOUBLINGS: u32 = 3;

/// The read schedule of one entry.
#[derive(Debug, Default)]
pub struct ListReads {
    /// When the next read is due; `None` while control sends the list.
    due_ms: Option<u64>,
    failures: u32,
    is_reading: bool,
}

impl ListReads {
    /// Records that control has sent the list.
    pub fn list_received(&mut self) {
        self.due_ms = None;
        self.failures = 0;
    }

    /// Returns true if the list should be read now, after control has not sent it for too long.
    /// `entries` is the number of entries in the fleet.
    pub fn begin(&mut self, entries: u32, random: u64, now_ms: u64) -> bool {
        let interval_ms = (INTERVAL_MS_PER_ENTRY * u64::from(entries)).max(MIN_INTERVAL_MS);
        // A small fleet does not need to spread its first reads.
        let first_ms = random % (interval_ms - MIN_INTERVAL_MS + 1);
        let due_ms = *self.due_ms.get_or_insert(now_ms + first_ms);
        if self.is_reading || now_ms < due_ms {
            return false;
        }
        self.is_reading = true;
        let interval_ms = interval_ms << self.failures.min(MAX_DOUBLINGS);
        let jitter_ms = match self.failures {
            0 => 0,
            _ => random % interval_ms,
        };
        self.due_ms = Some(now_ms + interval_ms + jitter_ms);
        true
    }

    /// Records the result of a read.
    pub fn end(&mut self, succeeded: bool) {
        self.is_reading = false;
        self.failures = match succeeded {
            true => 0,
            false => self.failures + 1,
        };
    }
}
