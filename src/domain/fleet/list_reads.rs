//! When an entry reads the platform's list itself, while control cannot tell it.
//!
//! Answers the loss of control on a large fleet: over a hundred entries that read a list of thousands
//! of instances at once, and again as soon as they fail, keep the platform from answering anyone,
//! the control instances included.

/// Shortest time between two reads.
const EVERY_MS: u64 = 700;
/// Pause for each entry of the fleet, so that all of them together read the list a hundred times a
/// second at most. The large site's platform answers 1,000 calls a second.
const EVERY_MS_PER_ENTRY: u64 = 10;
/// After failures the time doubles, up to this many times.
const MOST_DOUBLINGS: u32 = 3;

/// The reads of one entry.
#[derive(Debug, Default)]
pub struct ListReads {
    /// When the next read is due; none while control tells the list.
    due_ms: Option<u64>,
    failures: u32,
    is_reading: bool,
}

impl ListReads {
    /// Takes note that control tells the list.
    pub fn told(&mut self) {
        self.due_ms = None;
        self.failures = 0;
    }

    /// Returns true if the list is to be read now that control has not told it for too long. `entries`
    /// is the size of the fleet.
    pub fn begin(&mut self, entries: u32, random: u64, now_ms: u64) -> bool {
        let pause_ms = (EVERY_MS_PER_ENTRY * u64::from(entries)).max(EVERY_MS);
        // A small fleet need not spread its first reads.
        let first_ms = random % (pause_ms - EVERY_MS + 1);
        let due_ms = *self.due_ms.get_or_insert(now_ms + first_ms);
        if self.is_reading || now_ms < due_ms {
            return false;
        }
        self.is_reading = true;
        let pause_ms = pause_ms << self.failures.min(MOST_DOUBLINGS);
        let spread_ms = match self.failures {
            0 => 0,
            _ => random % pause_ms,
        };
        self.due_ms = Some(now_ms + pause_ms + spread_ms);
        true
    }

    /// Takes how a read has ended.
    pub fn end(&mut self, succeeded: bool) {
        self.is_reading = false;
        self.failures = match succeeded {
            true => 0,
            false => self.failures + 1,
        };
    }
}
