//! The shared retry budget: repeats in a sliding window against the requests in it.

use std::collections::VecDeque;

/// Parts that a window is counted in.
const PARTS: u64 = 20;
/// Part of the budget that one process uses, in hundredths: callers spread unevenly over processes,
/// and a process knows only its own share of the requests.
const USED_PERCENT: u64 = 75;

#[derive(Debug, Clone, Copy, Default)]
struct Part {
    number: u64,
    requests: u64,
    repeats: u64,
}

/// Counts requests to a service and their repeats, of one process.
#[derive(Debug, Clone)]
pub struct WindowBudget {
    part_ms: u64,
    permille: u64,
    parts: VecDeque<Part>,
}

impl WindowBudget {
    /// Returns a budget of `permille` thousandths of the requests in a window.
    pub fn new(window_ms: u64, permille: u64) -> Self {
        Self {
            part_ms: (window_ms / PARTS).max(1),
            permille,
            parts: VecDeque::new(),
        }
    }

    /// Counts a request.
    pub fn request(&mut self, now_ms: u64) {
        self.part(now_ms).requests += 1;
    }

    /// Takes a repeat and returns true, or returns false if none is left. `slack` is this process's
    /// share of the repeats that are allowed besides.
    pub fn take(&mut self, slack: u64, now_ms: u64) -> bool {
        self.part(now_ms);
        let (requests, repeats) = self
            .parts
            .iter()
            .fold((0, 0), |(a, b), part| (a + part.requests, b + part.repeats));
        let allowed = (requests * self.permille / 1_000 + slack) * USED_PERCENT / 100;
        if repeats >= allowed {
            return false;
        }
        self.part(now_ms).repeats += 1;
        true
    }

    fn part(&mut self, now_ms: u64) -> &mut Part {
        let number = now_ms / self.part_ms;
        while self
            .parts
            .front()
            .is_some_and(|part| part.number + PARTS <= number)
        {
            self.parts.pop_front();
        }
        if self.parts.back().is_none_or(|part| part.number < number) {
            self.parts.push_back(Part {
                number,
                ..Part::default()
            });
        }
        let last = self.parts.len() - 1;
        &mut self.parts[last]
    }
}
