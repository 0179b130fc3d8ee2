//! Forecast of the room that becomes free, from the expected ends of the running generations.

// Counts and times are far below the largest integer that an `f64` represents exactly.
#![allow(clippy::cast_precision_loss)]

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use super::arrivals::Ahead;

/// Period over which expected ends are compared with placements.
const COMPARISON_PERIOD_MS: f64 = 5_000.0;
/// Waits beyond this time count as infinite. No caller of the planned deployments waits longer.
pub(super) const HORIZON_MS: u64 = 40_000;
/// Upper bound on the ends that one simulation goes through. It bounds the cost for a large fleet of
/// short generations.
const MAX_STEPS: u32 = 20_000;
/// Engines count backup copies as running, of which the forecast knows nothing. It is therefore fully
/// trusted from this part of the running generations.
const FULL_COVERAGE: f64 = 0.5;

/// The running generations that the hub has placed, by their expected end.
#[derive(Debug, Default)]
pub(super) struct Forecast {
    ends: BTreeMap<u64, u32>,
    running: u32,
    /// Generations that run in the fleet, whoever placed them; `None` while unknown.
    fleet_running: Option<u32>,
    /// Expected ends and placements while generations waited, decaying.
    ended: f64,
    placed: f64,
    compared_ms: u64,
}

impl Forecast {
    /// Records a generation that has been placed.
    pub(super) fn start(&mut self, run_ms: u64, now_ms: u64) {
        *self.ends.entry(now_ms + run_ms).or_default() += 1;
        self.running += 1;
    }

    pub(super) fn set_fleet_running(&mut self, running: u32) {
        self.fleet_running = Some(running);
    }

    /// Removes the generations whose expected end has passed. While generations wait, compares their
    /// number with the `placed` ones.
    pub(super) fn advance(&mut self, placed: Option<usize>, now_ms: u64) {
        let later = self.ends.split_off(&(now_ms + 1));
        let ended: u32 = std::mem::replace(&mut self.ends, later).values().sum();
        self.running = self.running.saturating_sub(ended);
        if let Some(placed) = placed {
            let elapsed_ms = now_ms.saturating_sub(self.compared_ms) as f64;
            let kept = (-elapsed_ms / COMPARISON_PERIOD_MS).exp();
            self.ended = self.ended * kept + f64::from(ended);
            self.placed = self.placed * kept + placed as f64;
        }
        self.compared_ms = now_ms;
    }

    /// Returns how far the forecast is trusted, from 0 to 1: by the part of the running generations
    /// that it knows, and by how well expected ends have matched placements.
    pub(super) fn trust(&self) -> f64 {
        let Some(fleet_running) = self.fleet_running.filter(|running| *running > 0) else {
            return 0.0;
        };
        let coverage = f64::from(self.running) / f64::from(fleet_running) / FULL_COVERAGE;
        let (ended, placed) = (self.ended + 2.0, self.placed + 2.0);
        coverage.min(1.0) * ended.min(placed) / ended.max(placed)
    }

    /// Begins a simulation in which each generation that ends is replaced by the next one that
    /// waits.
    pub(super) fn simulate(&self, now_ms: u64) -> Simulation {
        let ends = self.ends.iter();
        let ends = ends.flat_map(|(end_ms, count)| (0..*count).map(|_| Reverse(*end_ms)));
        Simulation {
            ends: ends.collect(),
            begun_ms: now_ms,
            arrivals_placed: 0.0,
            steps: 0,
        }
    }
}

/// A simulation of ends and placements.
#[derive(Debug)]
pub(super) struct Simulation {
    ends: BinaryHeap<Reverse<u64>>,
    begun_ms: u64,
    /// Number of later arrivals that have been placed before those that wait.
    arrivals_placed: f64,
    steps: u32,
}

impl Simulation {
    /// Returns the time until the next waiting generation, which runs for `run_ms`, finds room, while
    /// others arrive that are placed before it.
    pub(super) fn next_ms(&mut self, run_ms: u64, ahead: Ahead) -> u64 {
        while let Some(Reverse(end_ms)) = self.ends.pop()
            && self.steps < MAX_STEPS
        {
            self.steps += 1;
            let elapsed_ms = end_ms.saturating_sub(self.begun_ms);
            if elapsed_ms > HORIZON_MS {
                break;
            }
            let begin_ms = end_ms.max(self.begun_ms);
            let arrived = ahead.per_s * elapsed_ms as f64 / 1_000.0;
            if self.arrivals_placed + 1.0 > arrived {
                self.ends.push(Reverse(begin_ms + run_ms));
                return elapsed_ms;
            }
            self.arrivals_placed += 1.0;
            self.ends
                .push(Reverse(begin_ms + truncate_ms(ahead.run_ms)));
        }
        HORIZON_MS
    }
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
pub(super) fn truncate_ms(time_ms: f64) -> u64 {
    time_ms as u64
}
