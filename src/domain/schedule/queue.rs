//! The queue of one lane.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use super::Shares;
use crate::model::{GenerationId, WorkspaceName};

/// What is queued of one workspace.
#[derive(Debug, Clone, Default)]
struct Line {
    /// By deadline, then by arrival.
    order: BTreeSet<(u64, u64, GenerationId)>,
    expected_tokens: u64,
}

/// A request's place.
#[derive(Debug, Clone)]
pub(super) struct Place {
    pub(super) id: GenerationId,
    pub(super) workspace: WorkspaceName,
    pub(super) deadline_ms: u64,
    pub(super) sequence: u64,
    pub(super) expected_tokens: u32,
}

impl Place {
    fn order(&self) -> (u64, u64, GenerationId) {
        (self.deadline_ms, self.sequence, self.id)
    }
}

/// The requests of one lane that wait.
#[derive(Debug, Clone, Default)]
pub(super) struct LaneQueue {
    /// Runs that were stopped for memory; they go first.
    front: VecDeque<Place>,
    lines: BTreeMap<WorkspaceName, Line>,
    count: usize,
    expected_tokens: u64,
}

impl LaneQueue {
    pub(super) fn len(&self) -> usize {
        self.count
    }

    pub(super) fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Returns the tokens expected of all that waits.
    pub(super) fn expected_tokens(&self) -> u64 {
        self.expected_tokens
    }

    /// Returns the tokens expected of what waits of one workspace.
    pub(super) fn expected_of(&self, workspace: &WorkspaceName) -> u64 {
        self.lines
            .get(workspace)
            .map_or(0, |line| line.expected_tokens)
    }

    pub(super) fn push(&mut self, place: &Place) {
        let line = self.lines.entry(place.workspace.clone()).or_default();
        line.order.insert(place.order());
        line.expected_tokens += u64::from(place.expected_tokens);
        self.count += 1;
        self.expected_tokens += u64::from(place.expected_tokens);
    }

    pub(super) fn push_front(&mut self, place: Place) {
        self.count += 1;
        self.expected_tokens += u64::from(place.expected_tokens);
        self.front.push_back(place);
    }

    /// Returns the request to serve next: a stopped run, else the most urgent of the workspace
    /// that is furthest behind its share.
    pub(super) fn first(&self, shares: &Shares) -> Option<GenerationId> {
        if let Some(place) = self.front.front() {
            return Some(place.id);
        }
        let lines = self.lines.iter();
        let (_, line) = lines.min_by(|(left, _), (right, _)| {
            let times = (shares.virtual_time(left), shares.virtual_time(right));
            times.0.total_cmp(&times.1)
        })?;
        line.order.first().map(|(_, _, id)| *id)
    }

    pub(super) fn remove(&mut self, place: &Place) {
        let tokens = u64::from(place.expected_tokens);
        if let Some(index) = self.front.iter().position(|front| front.id == place.id) {
            self.front.remove(index);
        } else if let Some(line) = self.lines.get_mut(&place.workspace)
            && line.order.remove(&place.order())
        {
            line.expected_tokens -= tokens;
            if line.order.is_empty() {
                self.lines.remove(&place.workspace);
            }
        } else {
            return;
        }
        self.count -= 1;
        self.expected_tokens -= tokens;
    }
}
