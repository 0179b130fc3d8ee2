//! Weighted fair queueing of workspaces, measured in produced tokens.

use std::collections::BTreeMap;

use crate::model::WorkspaceName;

#[derive(Debug, Clone)]
struct Share {
    weight: f64,
    /// Tokens charged, divided by the weight.
    virtual_time: f64,
    /// Number of requests that are queued or running.
    jobs: u32,
}

/// The virtual time of each workspace. The workspace with the lowest one is served next.
#[derive(Debug, Clone, Default)]
pub struct Shares {
    shares: BTreeMap<WorkspaceName, Share>,
    /// The highest virtual time at which a workspace was served. A workspace that was idle resumes
    /// from here at the earliest, so that it gets no credit for its idle time.
    virtual_now: f64,
}

impl Shares {
    /// Adds a request of a workspace, and sets the workspace's weight to that of the table.
    pub fn add_request(&mut self, workspace: &WorkspaceName, weight: u32) {
        let weight = f64::from(weight.max(1));
        let virtual_now = self.virtual_now;
        let share = self.shares.entry(workspace.clone()).or_insert(Share {
            weight,
            virtual_time: virtual_now,
            jobs: 0,
        });
        if share.jobs == 0 {
            share.virtual_time = share.virtual_time.max(virtual_now);
        }
        share.weight = weight;
        share.jobs += 1;
    }

    /// Removes a request of a workspace. A workspace without requests is dropped once its virtual
    /// time is not ahead of the current one, since a new workspace would start no earlier.
    pub fn remove_request(&mut self, workspace: &WorkspaceName) {
        let virtual_now = self.virtual_now;
        if let Some(share) = self.shares.get_mut(workspace) {
            share.jobs = share.jobs.saturating_sub(1);
        }
        self.shares
            .retain(|_, share| share.jobs > 0 || share.virtual_time > virtual_now);
    }

    /// Charges a workspace for tokens; a negative number is a refund.
    pub fn charge(&mut self, workspace: &WorkspaceName, tokens: f64) {
        if let Some(share) = self.shares.get_mut(workspace) {
            share.virtual_time += tokens / share.weight;
        }
    }

    /// Charges a workspace for tokens that other sidecars produced for it. The charge moves its
    /// virtual time at most to `max_ahead` beyond the current one, which bounds the time that the
    /// workspace waits here however many tokens it got elsewhere.
    pub fn charge_elsewhere(&mut self, workspace: &WorkspaceName, tokens: f64, max_ahead: f64) {
        let bound = self.virtual_now + max_ahead;
        if let Some(share) = self.shares.get_mut(workspace) {
            let charged = share.virtual_time + tokens / share.weight;
            share.virtual_time = charged.min(bound).max(share.virtual_time);
        }
    }

    /// Advances the current virtual time to that of a workspace that is about to be served.
    pub fn advance_to(&mut self, workspace: &WorkspaceName) {
        self.virtual_now = self.virtual_now.max(self.virtual_time(workspace));
    }

    /// Returns the virtual time of a workspace, or the current one if the workspace is unknown.
    pub fn virtual_time(&self, workspace: &WorkspaceName) -> f64 {
        self.shares
            .get(workspace)
            .map_or(self.virtual_now, |share| share.virtual_time)
    }

    /// Returns the workspace's fraction of the total weight of all workspaces with requests.
    pub fn weight_fraction(&self, workspace: &WorkspaceName) -> f64 {
        let active = self.shares.values().filter(|share| share.jobs > 0);
        let total: f64 = active.map(|share| share.weight).sum();
        let weight = self.shares.get(workspace).map_or(1.0, |share| share.weight);
        weight / total.max(weight)
    }

    /// Returns the total weight of all workspaces with requests.
    pub fn active_weight(&self) -> f64 {
        let active = self.shares.values().filter(|share| share.jobs > 0);
        active.map(|share| share.weight).sum()
    }
}
