//! Length estimates from histograms per workspace and kind.

use std::collections::BTreeMap;

use super::{Histogram, SurvivalCurve};
use crate::model::{KindName, WorkspaceName};

/// Maximum number of histograms per workspace and kind, and also of those per kind. The least
/// recently updated one is evicted for a new one. A histogram takes about 600 bytes.
pub const MAX_HISTOGRAMS: usize = 4_096;

/// Weight, in observations, of all workspaces' answers of a kind in the estimate for one workspace.
/// After some dozens of answers, a workspace's own answers dominate its estimate.
const KIND_OBSERVATIONS: f64 = 30.0;
/// Weight of the prior, in observations. Without any observation, half of all answers are expected
/// to exceed 362 tokens and a tenth 40,000, so that a cold start admits few requests at first.
const PRIOR_OBSERVATIONS: f64 = 2.0;

#[derive(Debug, Clone, Default)]
struct Entry {
    histogram: Histogram,
    updated_at: u64,
}

/// Learns the lengths of answers and estimates those of running ones.
#[derive(Debug, Clone, Default)]
pub struct Estimator {
    own: BTreeMap<(WorkspaceName, KindName), Entry>,
    kinds: BTreeMap<KindName, Entry>,
    /// Number of observations; orders entries by their last update.
    clock: u64,
}

impl Estimator {
    /// Records the length of a complete answer in tokens. Truncated answers must not be recorded:
    /// they would make long answers look short.
    pub fn observe(&mut self, workspace: &WorkspaceName, kind: &KindName, length: u32) {
        self.clock += 1;
        let clock = self.clock;
        let key = (workspace.clone(), kind.clone());
        observe_in(&mut self.own, key, length, clock);
        observe_in(&mut self.kinds, kind.clone(), length, clock);
    }

    /// Returns the survival curve of the lengths for a workspace and kind. It combines the
    /// workspace's own answers, all answers of the kind, and the prior.
    pub fn curve(&self, workspace: &WorkspaceName, kind: &KindName) -> SurvivalCurve {
        let own = self.own.get(&(workspace.clone(), kind.clone()));
        let kind = self.kinds.get(kind);
        let parts: Vec<_> = own
            .map(|entry| (&entry.histogram, f64::INFINITY))
            .into_iter()
            .chain(kind.map(|entry| (&entry.histogram, KIND_OBSERVATIONS)))
            .collect();
        SurvivalCurve::new(&parts, PRIOR_OBSERVATIONS)
    }

    pub fn histogram_count(&self) -> usize {
        self.own.len() + self.kinds.len()
    }
}

fn observe_in<K: Ord + Clone>(entries: &mut BTreeMap<K, Entry>, key: K, length: u32, clock: u64) {
    if entries.len() >= MAX_HISTOGRAMS && !entries.contains_key(&key) {
        let oldest = entries.iter().min_by_key(|(_, entry)| entry.updated_at);
        if let Some(oldest) = oldest.map(|(key, _)| key.clone()) {
            entries.remove(&oldest);
        }
    }
    let entry = entries.entry(key).or_default();
    entry.histogram.observe(length);
    entry.updated_at = clock;
}
