//! Admission of generations that wait for room at an entry, and the time after which refused
//! callers should retry. Generations wait at an entry only while control does not respond, and at
//! the hub otherwise.

/// The newest interval between two ends has a weight of one in this many in the average.
const AVERAGING_WINDOW: f64 = 8.0;
/// Assumed interval between two ends of generations before one was observed: on the planned
/// deployments an entry ends one generation in this time.
const INITIAL_DRAIN_MS: f64 = 600.0;
/// Upper bound of an observed interval. A longer one says nothing about the drain rate under load.
const MAX_DRAIN_MS: f64 = 2_000.0;
/// Percentage of a generation's target time for which it may wait for room. The rest is for
/// processing its prompt.
const WAIT_PERCENT: u64 = 50;
/// Lower bound of the retry time. A caller that retries sooner finds the same engines without room,
/// and costs the entry another request.
const MIN_RETRY_MS: u64 = 250;
/// Upper bound of the retry time. Longer estimates are meaningless, since engines are replaced
/// within this time on the planned deployments.
const MAX_RETRY_MS: u64 = 5_000;

/// Returns the time after which a refused caller should retry if room is expected in `expected_ms`.
pub fn retry_after_ms(expected_ms: u64) -> u64 {
    expected_ms.clamp(MIN_RETRY_MS, MAX_RETRY_MS)
}

/// The generations of one entry that wait for room.
///
/// During a burst on full engines, generations that are expected to be placed within the time to
/// their target wait. The others are refused at once instead of being started too late.
#[derive(Debug)]
pub struct AdmissionQueue {
    count: u32,
    average_drain_ms: f64,
    ended_ms: Option<u64>,
}

impl Default for AdmissionQueue {
    fn default() -> Self {
        Self {
            count: 0,
            average_drain_ms: INITIAL_DRAIN_MS,
            ended_ms: None,
        }
    }
}

impl AdmissionQueue {
    /// Returns how long a generation with this target may wait.
    pub fn limit_ms(target_ms: u64) -> u64 {
        target_ms * WAIT_PERCENT / 100
    }

    /// Returns the time within which the prompt of a generation with this target has to be
    /// processed once it is placed.
    pub fn read_within_ms(target_ms: u64) -> u64 {
        target_ms - Self::limit_ms(target_ms)
    }

    /// Adds a generation that may wait for `limit_ms`. Fails with the time after which the caller
    /// should retry if room is not expected within that limit.
    pub fn join(&mut self, limit_ms: u64) -> Result<(), u64> {
        if self.expected_ms() > limit_ms {
            return Err(self.retry_after_ms());
        }
        self.count += 1;
        Ok(())
    }

    /// Removes a generation that no longer waits.
    pub fn leave(&mut self) {
        self.count = self.count.saturating_sub(1);
    }

    /// Counts the end of a generation, which makes room.
    #[allow(clippy::cast_precision_loss)]
    pub fn ended(&mut self, now_ms: u64) {
        if let Some(before_ms) = self.ended_ms.replace(now_ms) {
            let interval_ms = now_ms.saturating_sub(before_ms) as f64;
            let observed_ms = interval_ms.min(MAX_DRAIN_MS);
            self.average_drain_ms += (observed_ms - self.average_drain_ms) / AVERAGING_WINDOW;
        }
    }

    /// Returns the time after which a refused caller should retry: once those that wait now have
    /// been placed.
    pub fn retry_after_ms(&self) -> u64 {
        retry_after_ms(self.expected_ms())
    }

    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn expected_ms(&self) -> u64 {
        (f64::from(self.count) * self.average_drain_ms) as u64
    }
}
