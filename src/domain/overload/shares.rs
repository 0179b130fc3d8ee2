//! The share of each workspace in the capacity granted recently.

// Tokens and times are far below the largest integer that an `f64` represents exactly.
#![allow(clippy::cast_precision_loss)]

use std::collections::BTreeMap;
use std::sync::Arc;

/// Time after which a grant counts for 1/e of its size, about the time that a long generation runs on
/// the planned deployments.
const DECAY_MS: f64 = 10_000.0;
/// After this time the weights are reduced to their current values, before they become too large.
const RESCALE_MS: u64 = 100_000;
/// A workspace is over its share if it holds more than this multiple of the mean. Workspaces of equal
/// size would change places with each grant otherwise.
const TOLERANCE: f64 = 1.25;
/// A workspace with a smaller part of the total is removed when the weights are reduced.
const MIN_PART: f64 = 1e-4;

/// Capacity granted to workspaces, in tokens times expected duration, decaying with time.
#[derive(Debug, Default)]
pub(super) struct Shares {
    /// The time at which a grant has its own size as weight. Later ones weigh more, which equals a
    /// decay of all earlier ones without an update of each.
    base_ms: u64,
    by_workspace: BTreeMap<Arc<str>, f64>,
    total: f64,
}

impl Shares {
    /// Records a grant of `tokens` for `run_ms`.
    pub(super) fn grant(&mut self, workspace: &Arc<str>, tokens: u64, run_ms: u64, now_ms: u64) {
        if now_ms >= self.base_ms + RESCALE_MS {
            self.rescale(now_ms);
        }
        let weight = (now_ms.saturating_sub(self.base_ms) as f64 / DECAY_MS).exp();
        let size = tokens as f64 * run_ms as f64 * weight;
        *self.by_workspace.entry(Arc::clone(workspace)).or_default() += size;
        self.total += size;
    }

    /// Returns true if a workspace has been granted more than an equal share among the workspaces
    /// that were granted any capacity recently.
    pub(super) fn is_over_share(&self, workspace: &str) -> bool {
        let held = self.by_workspace.get(workspace).copied();
        held.is_some_and(|held| held * self.by_workspace.len() as f64 > self.total * TOLERANCE)
    }

    fn rescale(&mut self, now_ms: u64) {
        let factor = (-(now_ms.saturating_sub(self.base_ms) as f64) / DECAY_MS).exp();
        let min = self.total * MIN_PART;
        self.by_workspace.retain(|_, held| *held >= min);
        for held in self.by_workspace.values_mut() {
            *held *= factor;
        }
        self.total = self.by_workspace.values().sum();
        self.base_ms = now_ms;
    }
}
