//! Retry budget over a sliding window: limits retries to a part of the requests in the window. The
//! limit applies to all processes together; each process counts its own requests.

use std::collections::VecDeque;

/// Number of buckets of a window.
const BUCKETS: u64 = 20;
/// Percentage of its budget that a process uses. The margin covers the uneven spread of callers
/// over processes, as a process knows only its own requests.
const USED_PERCENT: u64 = 75;

/// Counts for one part of the window.
#[derive(Debug, Clone, Copy, Default)]
struct Bucket {
    /// Time divided by the duration of a bucket.
    index: u64,
    requests: u64,
    retries: u64,
}

/// Counts the requests of one process to a service, and their retries.
#[derive(Debug, Clone)]
pub struct WindowBudget {
    bucket_ms: u64,
    permille: u64,
    buckets: VecDeque<Bucket>,
}

impl WindowBudget {
    /// Creates a budget that allows retries for `permille` thousandths of the requests in a window.
    pub fn new(window_ms: u64, permille: u64) -> Self {
        Self {
            bucket_ms: (window_ms / BUCKETS).max(1),
            permille,
            buckets: VecDeque::new(),
        }
    }

    /// Counts a request.
    pub fn request(&mut self, now_ms: u64) {
        self.bucket(now_ms).requests += 1;
    }

    /// Takes a retry and returns true, or returns false if the budget does not allow one. `slack`
    /// is this process's share of the retries that are allowed in addition to the part of the
    /// requests.
    pub fn take(&mut self, slack: u64, now_ms: u64) -> bool {
        self.bucket(now_ms);
        let (requests, retries) = self.buckets.iter().fold((0, 0), |(a, b), bucket| {
            (a + bucket.requests, b + bucket.retries)
        });
        let allowed = (requests * self.permille / 1_000 + slack) * USED_PERCENT / 100;
        if retries >= allowed {
            return false;
        }
        self.bucket(now_ms).retries += 1;
        true
    }

    /// Drops expired buckets and returns the bucket of the current time.
    fn bucket(&mut self, now_ms: u64) -> &mut Bucket {
        let index = now_ms / self.bucket_ms;
        while self
            .buckets
            .front()
            .is_some_and(|bucket| bucket.index + BUCKETS <= index)
        {
            self.buckets.pop_front();
        }
        if self
            .buckets
            .back()
            .is_none_or(|bucket| bucket.index < index)
        {
            self.buckets.push_back(Bucket {
                index,
                ..Bucket::default()
            });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}
