//! What all requests of an entry share.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use rand::random;
use tokio::time::sleep;

use super::failure::Failure;
use super::fleet::{Fleet, Peer, Replica, Replicas};
use super::metrics::{OpenRequests, metrics};
use super::room::RoomPort;
use super::terms::Terms;
use crate::adapters::clock::monotonic_ms;
use crate::domain::retry::{Budget, Ended, may_repeat, pause_ms};
use crate::domain::route::{Ask, choose, name_hash};
use crate::model::{Outcome, RefusalCode, UpstreamName, WorkspaceName};
use crate::roles::subscriber::Subscriber;
use crate::settings::EntrySettings;

/// Retries that one process may have saved up.
const PROCESS_RETRIES: u64 = 500;
/// Retries that one workspace may have saved up.
const WORKSPACE_RETRIES: u64 = 50;
/// Locks over the counts of workspaces.
const SHARDS: usize = 16;

/// The shared parts of an entry.
pub(super) struct Entry {
    pub settings: EntrySettings,
    pub subscriber: Arc<Subscriber>,
    pub fleet: Fleet,
    pub room: RoomPort,
    pub open: OpenRequests,
    process_budget: Mutex<Budget>,
    workspaces: [Mutex<BTreeMap<WorkspaceName, PerWorkspace>>; SHARDS],
}

/// What is counted for one workspace.
struct PerWorkspace {
    budget: Budget,
    /// Tokens produced for this entry at all sidecars.
    served_tokens: u64,
}

/// The attempts of one request so far.
#[derive(Debug, Default)]
pub(super) struct Tries {
    tried: Vec<UpstreamName>,
    retries: u32,
    pub overloaded: u32,
    /// True once an attempt may have run, so that `not_run` is no longer true of the request.
    pub may_have_run: bool,
}

impl Tries {
    /// Returns what the caller is told when there is no further attempt.
    pub fn conclude(&self, failure: Failure) -> Failure {
        match failure.outcome {
            Outcome::NotRun if self.may_have_run => {
                Failure::unknown(failure.refusal.code, failure.refusal.message)
            }
            _ => failure,
        }
    }
}

impl Entry {
    /// Returns an entry without connections.
    pub fn new(settings: EntrySettings, subscriber: Arc<Subscriber>, room: RoomPort) -> Arc<Self> {
        Arc::new(Self {
            settings,
            fleet: Fleet::new(Arc::clone(&subscriber)),
            subscriber,
            room,
            open: OpenRequests::default(),
            process_budget: Mutex::new(Budget::new(PROCESS_RETRIES, monotonic_ms())),
            workspaces: Default::default(),
        })
    }

    /// Chooses a replica that was not tried yet, and remembers it as tried. When all were tried,
    /// they may be tried again.
    pub fn choose(
        replicas: &Replicas,
        version: Option<&str>,
        ask: &Ask,
        tries: &mut Tries,
    ) -> Result<Replica, Failure> {
        let load = |index: usize, skip_tried: bool| {
            let replica = &replicas.replicas[index];
            if skip_tried && tries.tried.contains(&replica.upstream) {
                return None;
            }
            replica
                .peer
                .load()
                .of(&replica.upstream, version, &replica.versions)
        };
        let chosen = choose(&replicas.places, ask, |index| load(index, true), random)
            .or_else(|| choose(&replicas.places, ask, |index| load(index, false), random));
        let Some(replica) = chosen.and_then(|index| replicas.replicas.get(index)) else {
            return Err(Failure::not_run(
                RefusalCode::NoReplica,
                "no replica that serves this is available now",
            ));
        };
        if !tries.tried.contains(&replica.upstream) {
            tries.tried.push(replica.upstream.clone());
        }
        Ok(replica.clone())
    }

    /// Waits before a new attempt, or returns the failure if there may be none.
    pub async fn pause_before_retry(
        &self,
        terms: &Terms,
        tries: &mut Tries,
        ended: &Ended,
        failure: Failure,
    ) -> Result<(), Failure> {
        let pause_ms = pause_ms(tries.retries, random());
        if !may_repeat(ended) || pause_ms >= terms.remaining_ms() {
            return Err(failure);
        }
        if !self.take_retry(&terms.workspace) {
            return Err(failure);
        }
        tries.retries += 1;
        tries.overloaded += u32::from(ended.overloaded);
        metrics().retries.inc();
        sleep(Duration::from_millis(pause_ms)).await;
        Ok(())
    }

    /// Counts a success for the retry budgets.
    pub fn note_success(&self, workspace: &WorkspaceName) {
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

    /// Counts tokens that a workspace was served at a sidecar.
    pub fn note_served(&self, workspace: &WorkspaceName, peer: &Peer, tokens: u64) {
        peer.load().note_served(workspace, tokens);
        self.with_workspace(workspace, |counts| {
            counts.served_tokens = counts.served_tokens.saturating_add(tokens);
        });
    }

    /// Returns the tokens that a workspace was served elsewhere since its last start at a sidecar.
    pub fn take_served_elsewhere(&self, workspace: &WorkspaceName, peer: &Peer) -> u64 {
        let total = self.with_workspace(workspace, |counts| counts.served_tokens);
        peer.load().take_served_elsewhere(workspace, total)
    }

    fn with_workspace<T>(
        &self,
        workspace: &WorkspaceName,
        act: impl FnOnce(&mut PerWorkspace) -> T,
    ) -> T {
        let shards = u64::try_from(SHARDS).unwrap_or(1);
        let shard = usize::try_from(name_hash(workspace.as_str()) % shards).unwrap_or_default();
        let mut workspaces = self.workspaces[shard]
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(counts) = workspaces.get_mut(workspace) {
            return act(counts);
        }
        let counts = workspaces
            .entry(workspace.clone())
            .or_insert_with(|| PerWorkspace {
                budget: Budget::new(WORKSPACE_RETRIES, monotonic_ms()),
                served_tokens: 0,
            });
        act(counts)
    }
}
