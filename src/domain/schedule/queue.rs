//! The queue of one lane, ordered by fair shares and deadlines.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use super::Shares;
use crate::model::{GenerationId, WorkspaceName};

/// The queued requests of one workspace.
#[derive(Debug, Clone, Default)]
struct WorkspaceQueue {
    /// Ordered by deadline, then by submission.
    by_deadline: BTreeSet<(u64, u64, GenerationId)>,
    expected_tokens: u64,
}

/// A queued request.
#[derive(Debug, Clone)]
pub(super) struct QueueEntry {
    pub(super) id: GenerationId,
    pub(super) workspace: WorkspaceName,
    pub(super) deadline_ms: u64,
    pub(super) sequence: u64,
    pub(super) expected_tokens: u32,
}

impl QueueEntry {
    fn sort_key(&self) -> (u64, u64, GenerationId) {
        (self.deadline_ms, self.sequence, self.id)
    }
}

/// The waiting requests of one lane.
#[derive(Debug, Clone, Default)]
pub(super) struct LaneQueue {
    /// Requests whose runs were stopped to free memory. They are served first.
    preempted: VecDeque<QueueEntry>,
    workspaces: BTreeMap<WorkspaceName, WorkspaceQueue>,
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

    /// Returns the tokens expected of all waiting requests.
    pub(super) fn expected_tokens(&self) -> u64 {
        self.expected_tokens
    }

    /// Returns the tokens expected of the waiting requests of one workspace. Preempted requests are
    /// not included.
    pub(super) fn expected_tokens_of(&self, workspace: &WorkspaceName) -> u64 {
        self.workspaces
            .get(workspace)
            .map_or(0, |queue| queue.expected_tokens)
    }

    pub(super) fn push(&mut self, entry: &QueueEntry) {
        let queue = self.workspaces.entry(entry.workspace.clone()).or_default();
        queue.by_deadline.insert(entry.sort_key());
        queue.expected_tokens += u64::from(entry.expected_tokens);
        self.count += 1;
        self.expected_tokens += u64::from(entry.expected_tokens);
    }

    pub(super) fn push_preempted(&mut self, entry: QueueEntry) {
        self.count += 1;
        self.expected_tokens += u64::from(entry.expected_tokens);
        self.preempted.push_back(entry);
    }

    /// Returns the request to serve next: a preempted one if there is any, otherwise the one with
    /// the earliest deadline of the workspace that is furthest behind its fair share.
    pub(super) fn first(&self, shares: &Shares) -> Option<GenerationId> {
        if let Some(entry) = self.preempted.front() {
            return Some(entry.id);
        }
        let workspaces = self.workspaces.iter();
        let (_, queue) = workspaces.min_by(|(left, _), (right, _)| {
            let times = (shares.virtual_time(left), shares.virtual_time(right));
            times.0.total_cmp(&times.1)
        })?;
        queue.by_deadline.first().map(|(_, _, id)| *id)
    }

    pub(super) fn remove(&mut self, entry: &QueueEntry) {
        let tokens = u64::from(entry.expected_tokens);
        if let Some(index) = self
            .preempted
            .iter()
            .position(|queued| queued.id == entry.id)
        {
            self.preempted.remove(index);
        } else if let Some(queue) = self.workspaces.get_mut(&entry.workspace)
            && queue.by_deadline.remove(&entry.sort_key())
        {
            queue.expected_tokens -= tokens;
            if queue.by_deadline.is_empty() {
                self.workspaces.remove(&entry.workspace);
            }
        } else {
            return;
        }
        self.count -= 1;
        self.expected_tokens -= tokens;
    }
}
