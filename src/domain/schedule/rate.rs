//! Measures how fast a lane drains its queue and the time between tokens.

/// Length of one measurement window.
const WINDOW_MS: u64 = 250;
/// Weight of the newest window in the exponentially weighted averages.
const SMOOTHING_FACTOR: f64 = 0.2;

/// Measures the token rate of one lane.
#[derive(Debug, Clone, Default)]
pub struct RateMeter {
    window_start_ms: u64,
    tokens: u32,
    /// Integral of the number of running generations over the window, in milliseconds.
    generation_ms: u64,
    last_advance_ms: u64,
    /// True if the queue has not been empty in this window so far.
    saturated: bool,
    tokens_per_s: f64,
    drain_tokens_per_s: f64,
    token_ms: f64,
}

impl RateMeter {
    /// Advances to `now_ms`. `running` generations ran since the last call; `queued` tells whether
    /// requests were waiting.
    pub fn advance(&mut self, now_ms: u64, running: u32, queued: bool) {
        self.generation_ms += now_ms.saturating_sub(self.last_advance_ms) * u64::from(running);
        self.last_advance_ms = self.last_advance_ms.max(now_ms);
        self.saturated &= queued;
        let passed_ms = now_ms.saturating_sub(self.window_start_ms);
        if passed_ms >= WINDOW_MS {
            self.close_window(passed_ms);
            self.window_start_ms = now_ms;
            self.saturated = queued;
        }
    }

    /// Counts one produced token.
    pub fn count(&mut self) {
        self.tokens = self.tokens.saturating_add(1);
    }

    /// Returns the moving average of tokens per second.
    pub fn tokens_per_s(&self) -> f64 {
        self.tokens_per_s
    }

    /// Returns the moving average of tokens per second over windows in which the queue was never
    /// empty, or `None` if there was no such window yet.
    pub fn drain_tokens_per_s(&self) -> Option<f64> {
        (self.drain_tokens_per_s > 0.0).then_some(self.drain_tokens_per_s)
    }

    /// Returns the time between two tokens of one generation in milliseconds; zero while unknown.
    pub fn token_ms(&self) -> f64 {
        self.token_ms
    }

    fn close_window(&mut self, passed_ms: u64) {
        let tokens = f64::from(std::mem::take(&mut self.tokens));
        let rate = tokens * 1_000.0 / to_f64(passed_ms);
        // The time between tokens comes from busy time, not from the length of the window: idle
        // time says nothing about it and would dominate.
        let busy_ms = std::mem::take(&mut self.generation_ms);
        update_average(&mut self.tokens_per_s, rate);
        if self.saturated {
            update_average(&mut self.drain_tokens_per_s, rate);
        }
        if tokens > 0.0 {
            update_average(&mut self.token_ms, to_f64(busy_ms) / tokens);
        }
    }
}

fn update_average(average: &mut f64, sample: f64) {
    *average = match *average > 0.0 {
        true => *average + SMOOTHING_FACTOR * (sample - *average),
        false => sample,
    };
}

/// Durations in milliseconds are far below 2^52, so the conversion is exact.
#[allow(clippy::cast_precision_loss)]
fn to_f64(number: u64) -> f64 {
    number as f64
}
