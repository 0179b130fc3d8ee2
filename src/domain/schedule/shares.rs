//! Weighted fair queueing between workspaces over produced tokens.

use std::collections::BTreeMap;

use crate::model::WorkspaceName;

#[derive(Debug, Clone)]
struct Share {
    weight: f64,
    /// Tokens served divided by the weight.
    virtual_time: f64,
    /// Requests queued or running.
    jobs: u32,
}

/// The virtual time of each workspace. The one with the lowest is served next.
#[derive(Debug, Clone, Default)]
pub struct Shares {
    shares: BTreeMap<WorkspaceName, Share>,
    /// The virtual time of the workspace that was last served. A workspace that was idle starts
    /// there, so that it neither owes nor has saved up anything.
    now: f64,
}

impl Shares {
    /// Notes a request of a workspace, with its weight in the table.
    pub fn join(&mut self, workspace: &WorkspaceName, weight: u32) {
        let weight = f64::from(weight.max(1));
        let now = self.now;
        let share = self.shares.entry(workspace.clone()).or_insert(Share {
            weight,
            virtual_time: now,
            jobs: 0,
        });
        if share.jobs == 0 {
            share.virtual_time = share.virtual_time.max(now);
        }
        share.weight = weight;
        share.jobs += 1;
    }

    /// Notes that a request is over. A workspace without requests is forgotten once nothing
    /// distinguishes it from a new one.
    pub fn leave(&mut self, workspace: &WorkspaceName) {
        let now = self.now;
        if let Some(share) = self.shares.get_mut(workspace) {
            share.jobs = share.jobs.saturating_sub(1);
        }
        self.shares
            .retain(|_, share| share.jobs > 0 || share.virtual_time > now);
    }

    /// Charges a workspace for tokens; a negative number gives some back.
    pub fn charge(&mut self, workspace: &WorkspaceName, tokens: f64) {
        if let Some(share) = self.shares.get_mut(workspace) {
            share.virtual_time += tokens / share.weight;
        }
    }

    /// Charges a workspace for tokens served elsewhere. The charge ends `most` beyond the
    /// workspace last served, so that the workspace waits a bounded time here however much it
    /// got elsewhere.
    pub fn charge_elsewhere(&mut self, workspace: &WorkspaceName, tokens: f64, most: f64) {
        let bound = self.now + most;
        if let Some(share) = self.shares.get_mut(workspace) {
            let charged = share.virtual_time + tokens / share.weight;
            share.virtual_time = charged.min(bound).max(share.virtual_time);
        }
    }

    /// Notes that a workspace is served next.
    pub fn serve(&mut self, workspace: &WorkspaceName) {
        self.now = self.now.max(self.virtual_time(workspace));
    }

    /// Returns the virtual time of a workspace.
    pub fn virtual_time(&self, workspace: &WorkspaceName) -> f64 {
        self.shares
            .get(workspace)
            .map_or(self.now, |share| share.virtual_time)
    }

    /// Returns the workspace's part of the weights of all workspaces with requests.
    pub fn part(&self, workspace: &WorkspaceName) -> f64 {
        let active = self.shares.values().filter(|share| share.jobs > 0);
        let total: f64 = active.map(|share| share.weight).sum();
        let weight = self.shares.get(workspace).map_or(1.0, |share| share.weight);
        weight / total.max(weight)
    }

    /// Returns the weights of all workspaces with requests.
    pub fn active_weight(&self) -> f64 {
        let active = self.shares.values().filter(|share| share.jobs > 0);
        active.map(|share| share.weight).sum()
    }
}
