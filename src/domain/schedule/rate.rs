//! Measured rates: how fast a lane drains its queue, and the time between tokens.

/// Length of one measurement.
const WINDOW_MS: u64 = 250;
/// Part of the newest measurement in the average.
const NEWEST: f64 = 0.2;

/// Measures the tokens per second of one lane.
#[derive(Debug, Clone, Default)]
pub struct RateMeter {
    began_at_ms: u64,
    tokens: u32,
    /// Sum over the window of running generations times milliseconds.
    running_ms: u64,
    seen_at_ms: u64,
    /// True while the queue was never empty in this window.
    saturated: bool,
    tokens_per_s: f64,
    saturated_per_s: f64,
    token_ms: f64,
}

impl RateMeter {
    /// Notes the time that passed with a number of running generations and a queue.
    pub fn advance(&mut self, now_ms: u64, running: u32, queued: bool) {
        self.running_ms += now_ms.saturating_sub(self.seen_at_ms) * u64::from(running);
        self.seen_at_ms = self.seen_at_ms.max(now_ms);
        self.saturated &= queued;
        let passed_ms = now_ms.saturating_sub(self.began_at_ms);
        if passed_ms >= WINDOW_MS {
            self.close(passed_ms);
            self.began_at_ms = now_ms;
            self.saturated = queued;
        }
    }

    /// Counts a token.
    pub fn count(&mut self) {
        self.tokens = self.tokens.saturating_add(1);
    }

    /// Returns the tokens per second of the last windows.
    pub fn tokens_per_s(&self) -> f64 {
        self.tokens_per_s
    }

    /// Returns the rate at which a queue is worked off; none if there was none yet.
    pub fn drain_per_s(&self) -> Option<f64> {
        (self.saturated_per_s > 0.0).then_some(self.saturated_per_s)
    }

    /// Returns the time between two tokens of one generation; zero while unknown.
    pub fn token_ms(&self) -> f64 {
        self.token_ms
    }

    fn close(&mut self, passed_ms: u64) {
        let tokens = f64::from(std::mem::take(&mut self.tokens));
        let rate = tokens * 1_000.0 / to_f64(passed_ms);
        // An idle period says nothing of the rate; its length would dominate the window.
        let busy = std::mem::take(&mut self.running_ms);
        average(&mut self.tokens_per_s, rate);
        if self.saturated {
            average(&mut self.saturated_per_s, rate);
        }
        if tokens > 0.0 {
            average(&mut self.token_ms, to_f64(busy) / tokens);
        }
    }
}

fn average(value: &mut f64, newest: f64) {
    *value = match *value > 0.0 {
        true => *value + NEWEST * (newest - *value),
        false => newest,
    };
}

/// Durations in milliseconds are far below 2^52, so the conversion is exact.
#[allow(clippy::cast_precision_loss)]
fn to_f64(number: u64) -> f64 {
    number as f64
}
