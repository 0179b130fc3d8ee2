//! The histograms of all workspaces and kinds.

use std::collections::BTreeMap;

use super::{Curve, Histogram};
use crate::model::{KindName, WorkspaceName};

/// Histograms kept per level; the one unused for longest makes room for a new one. About 600
/// bytes each.
pub const MAX_KEYS: usize = 4_096;

/// Weight of all workspaces' answers of a kind in the estimate for one workspace, in
/// observations: after some dozens of its own answers a workspace is judged by them.
const KIND_OBSERVATIONS: f64 = 30.0;
/// Weight of the prior. With nothing known, half of all answers are expected to exceed 362
/// tokens and a tenth 40,000, so that a cold start admits few at first.
const PRIOR_OBSERVATIONS: f64 = 2.0;

#[derive(Debug, Clone, Default)]
struct Entry {
    histogram: Histogram,
    used_at: u64,
}

/// Learns the lengths of answers and estimates those of running ones.
#[derive(Debug, Clone, Default)]
pub struct Estimator {
    own: BTreeMap<(WorkspaceName, KindName), Entry>,
    kinds: BTreeMap<KindName, Entry>,
    /// Counts observations; orders entries by their last use.
    clock: u64,
}

impl Estimator {
    /// Learns from a complete answer. Answers that were cut off must not be counted: they would
    /// make long answers look short.
    pub fn observe(&mut self, workspace: &WorkspaceName, kind: &KindName, length: u32) {
        self.clock += 1;
        let clock = self.clock;
        let key = (workspace.clone(), kind.clone());
        observe_at(&mut self.own, key, length, clock);
        observe_at(&mut self.kinds, kind.clone(), length, clock);
    }

    /// Returns the lengths expected of a workspace and kind, from its own answers, those of the
    /// kind, and the prior.
    pub fn curve(&self, workspace: &WorkspaceName, kind: &KindName) -> Curve {
        let own = self.own.get(&(workspace.clone(), kind.clone()));
        let kind = self.kinds.get(kind);
        let parts: Vec<_> = own
            .map(|entry| (&entry.histogram, f64::INFINITY))
            .into_iter()
            .chain(kind.map(|entry| (&entry.histogram, KIND_OBSERVATIONS)))
            .collect();
        Curve::new(&parts, PRIOR_OBSERVATIONS)
    }

    /// Returns the number of histograms.
    pub fn keys(&self) -> usize {
        self.own.len() + self.kinds.len()
    }
}

fn observe_at<K: Ord + Clone>(entries: &mut BTreeMap<K, Entry>, key: K, length: u32, clock: u64) {
    if entries.len() >= MAX_KEYS && !entries.contains_key(&key) {
        let oldest = entries.iter().min_by_key(|(_, entry)| entry.used_at);
        if let Some(oldest) = oldest.map(|(key, _)| key.clone()) {
            entries.remove(&oldest);
        }
    }
    let entry = entries.entry(key).or_default();
    entry.histogram.observe(length);
    entry.used_at = clock;
}
