//! State shared by all requests of an entry.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use rand::random;
use tokio::time::sleep;

use super::failure::Failure;
use super::fleet::{Fleet, Peer, Replica, Replicas};
use super::metrics::{OpenRequests, metrics};
use super::params::RequestParams;
use super::room::RoomPort;
use crate::adapters::clock::monotonic_ms;
use crate::domain::retry::{Budget, FailedAttempt, may_repeat, pause_ms};
use crate::domain::route::{RequestProfile, choose, name_hash};
use crate::model::{Outcome, RefusalCode, UpstreamName, WorkspaceName};
use crate::roles::subscriber::Subscriber;
use crate::settings::EntrySettings;

/// Largest number of unused retries that the process accumulates.
const PROCESS_RETRY_BUDGET: u64 = 500;
/// Largest number of unused retries that one workspace accumulates.
const WORKSPACE_RETRY_BUDGET: u64 = 50;
/// Number of locks that the workspace counters are spread over.
const WORKSPACE_SHARDS: usize = 16;

/// State shared by all requests of an entry.
pub(super) struct Entry {
    pub settings: EntrySettings,
    pub subscriber: Arc<Subscriber>,
    pub fleet: Fleet,
    pub room: RoomPort,
    pub open_requests: OpenRequests,
    process_budget: Mutex<Budget>,
    workspaces: [Mutex<BTreeMap<WorkspaceName, WorkspaceCounters>>; WORKSPACE_SHARDS],
}

/// Counters of one workspace.
struct WorkspaceCounters {
    budget: Budget,
    /// Tokens that all sidecars produced for this entry.
    served_tokens: u64,
}

/// The attempts made so far for one request.
#[derive(Debug, Default)]
pub(super) struct RetryState {
    tried: Vec<UpstreamName>,
    retries: u32,
    pub overloaded: u32,
    /// True once an attempt may have run; the request can then no longer end as `not_run`.
    pub may_have_run: bool,
}

impl RetryState {
    /// Returns the failure reported to the caller when no further attempt is made: `not_run`
    /// becomes `unknown` if an earlier attempt may have run.
    pub fn final_failure(&self, failure: Failure) -> Failure {
        match failure.outcome {
            Outcome::NotRun if self.may_have_run => {
                Failure::unknown(failure.refusal.code, failure.refusal.message)
            }
            _ => failure,
        }
    }
}

impl Entry {
    /// Returns an entry that has no connections yet.
    pub fn new(settings: EntrySettings, subscriber: Arc<Subscriber>, room: RoomPort) -> Arc<Self> {
        Arc::new(Self {
            settings,
            fleet: Fleet::new(Arc::clone(&subscriber)),
            subscriber,
            room,
            open_requests: OpenRequests::default(),
            process_budget: Mutex::new(Budget::new(PROCESS_RETRY_BUDGET, monotonic_ms())),
            workspaces: Default::default(),
        })
    }

    /// Chooses a replica and records it as tried. Prefers untried replicas; if none of them is
    /// available, replicas that were already tried may be chosen again.
    pub fn choose(
        replicas: &Replicas,
        version: Option<&str>,
        profile: &RequestProfile,
        retry_state: &mut RetryState,
    ) -> Result<Replica, Failure> {
        let load = |index: usize, skip_tried: bool| {
            let replica = &replicas.replicas[index];
            if skip_tried && retry_state.tried.contains(&replica.upstream) {
                return None;
            }
            replica
                .peer
                .load()
                .load_of(&replica.upstream, version, &replica.versions)
        };
        let chosen =
            choose(&replicas.places, profile, |index| load(index, true), random).or_else(|| {
                choose(
                    &replicas.places,
                    profile,
                    |index| load(index, false),
                    random,
                )
            });
        let Some(replica) = chosen.and_then(|index| replicas.replicas.get(index)) else {
            return Err(Failure::not_run(
                RefusalCode::NoReplica,
                "no replica that serves this is available now",
            ));
        };
        if !retry_state.tried.contains(&replica.upstream) {
            retry_state.tried.push(replica.upstream.clone());
        }
        Ok(replica.clone())
    }

    /// Waits out the pause before a retry. Returns the failure if the retry rules, the deadline or
    /// the retry budgets forbid another attempt.
    pub async fn pause_before_retry(
        &self,
        params: &RequestParams,
        retry_state: &mut RetryState,
        failed: &FailedAttempt,
        failure: Failure,
    ) -> Result<(), Failure> {
        let pause_ms = pause_ms(retry_state.retries, random());
        if !may_repeat(failed) || pause_ms >= params.remaining_ms() {
            return Err(failure);
        }
        if !self.take_retry(&params.workspace) {
            return Err(failure);
        }
        retry_state.retries += 1;
        retry_state.overloaded += u32::from(failed.overloaded);
        metrics().retries.inc();
        sleep(Duration::from_millis(pause_ms)).await;
        Ok(())
    }

    /// Credits a successful request to the retry budgets of the process and the workspace.
    pub fn record_success(&self, workspace: &WorkspaceName) {
        self.process_budget
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .succeed();
        self.with_workspace(workspace, |counts| counts.budget.succeed());
    }

    fn take_retry(&self, workspace: &WorkspaceName) -> bool {
        let now_ms = monotonic_ms();
        if !self.with_workspace(workspace, |counts| counts.budget.has_retry(now_ms)) {
            return false;
        }
        let taken = self
            .process_budget
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take(now_ms);
        taken && self.with_workspace(workspace, |counts| counts.budget.take(now_ms))
    }

    /// Counts tokens that a sidecar produced for a workspace.
    pub fn record_served(&self, workspace: &WorkspaceName, peer: &Peer, tokens: u64) {
        peer.load().record_served(workspace, tokens);
        self.with_workspace(workspace, |counts| {
            counts.served_tokens = counts.served_tokens.saturating_add(tokens);
        });
    }

    /// Returns the number of tokens that other sidecars produced for a workspace since its last
    /// start at this one.
    pub fn take_served_elsewhere(&self, workspace: &WorkspaceName, peer: &Peer) -> u64 {
        let total = self.with_workspace(workspace, |counts| counts.served_tokens);
        peer.load().take_served_elsewhere(workspace, total)
    }

    fn with_workspace<T>(
        &self,
        workspace: &WorkspaceName,
        act: impl FnOnce(&mut WorkspaceCounters) -> T,
    ) -> T {
        let shards = u64::try_from(WORKSPACE_SHARDS).unwrap_or(1);
        let shard = usize::try_from(name_hash(workspace.as_str()) % shards).unwrap_or_default();
        let mut workspaces = self.workspaces[shard]
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(counts) = workspaces.get_mut(workspace) {
            return act(counts);
        }
        let counts = workspaces
            .entry(workspace.clone())
            .or_insert_with(|| WorkspaceCounters {
                budget: Budget::new(WORKSPACE_RETRY_BUDGET, monotonic_ms()),
                served_tokens: 0,
            });
        act(counts)
    }
}
