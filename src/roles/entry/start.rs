//! Starts an attempt: sends the request to one replica after another.

use std::sync::Arc;
use std::time::Duration;

use rand::random;
use tokio::time::timeout;

use super::attempt::{self, StartOutcome, cancel_later};
use super::claim::ClaimOutcome;
use super::core::{Entry, RetryState};
use super::failure::Failure;
use super::fleet::Replica;
use super::generation::{Attempt, Job};
use super::recovery;
use super::room::SlotGuard;
use crate::domain::retry::{ExecutionStatus, FailedAttempt};
use crate::domain::route::RequestProfile;
use crate::domain::state::View;
use crate::model::{GenerationId, Refusal, RefusalCode};
use crate::rpc::sidecar::StartRequest;

pub(super) async fn acquire_slot(entry: &Entry, job: &Job) -> Result<SlotGuard, Failure> {
    if !job.params.needs_slot {
        return Ok(SlotGuard::default());
    }
    let slot = (entry.room.acquire)(job.params.workspace.clone(), job.params.kind.clone());
    let remaining = Duration::from_millis(job.params.remaining_ms());
    match timeout(remaining, slot).await {
        Ok(slot) => Ok(slot?),
        Err(_) => Err(Failure::not_run(
            RefusalCode::NoRoom,
            "the workspace used all of its room until the deadline",
        )),
    }
}

/// Sends the request to one replica after another until one accepts it.
pub(super) async fn start_attempt(
    entry: &Arc<Entry>,
    job: &Arc<Job>,
    retry_state: &mut RetryState,
) -> Result<Attempt, Failure> {
    loop {
        if job.params.remaining_ms() == 0 {
            let message = "the deadline passed before a replica accepted the request";
            return Err(Failure::not_run(RefusalCode::DeadlineExceeded, message));
        }
        let view = entry.subscriber.current().await?;
        let replica = choose(entry, job, &view, retry_state)?;
        let peer = Arc::clone(&replica.peer);
        let generation = GenerationId(random());
        if let Some(claim) = &job.claim {
            let claim_outcome = claim
                .claim(entry, &job.params, generation, &peer.instance)
                .await?;
            if let ClaimOutcome::Held { claimed, finished } = claim_outcome {
                match recovery::attach(entry, job, claim, &claimed, finished).await? {
                    Some(attempt) => return Ok(attempt),
                    None => continue,
                }
            }
        }
        let start = start_request(entry, job, &view, &replica, generation);
        let (failed, failure) =
            match attempt::start(entry, &peer, &start, job.may_run_again()).await {
                StartOutcome::Accepted => {
                    let reader = peer.poller.read(generation, &job.params.workspace, 0);
                    return Ok(Attempt {
                        generation,
                        peer,
                        start: Some(Box::new(start)),
                        reader,
                        origin: None,
                        owns_generation: true,
                    });
                }
                StartOutcome::NotRun(refusal) => {
                    handle_refusal(entry, job, retry_state, generation, refusal).await?
                }
                StartOutcome::InDoubt(cause) => {
                    cancel_later(entry, &peer, generation);
                    retry_state.may_have_run = true;
                    let code = match job.params.remaining_ms() {
                        0 => RefusalCode::DeadlineExceeded,
                        _ => RefusalCode::UpstreamLost,
                    };
                    let failure = Failure::unknown(code, cause);
                    (
                        failed_attempt(job, retry_state, ExecutionStatus::Stopped, false),
                        failure,
                    )
                }
            };
        tracing::debug!(request = %job.request, %generation, upstream = %replica.upstream,
            cause = %failure.refusal.message, "attempt failed");
        entry
            .pause_before_retry(&job.params, retry_state, &failed, failure)
            .await?;
    }
}

/// Releases the claim of a refused start. Fails if the refusal must not be retried.
async fn handle_refusal(
    entry: &Arc<Entry>,
    job: &Job,
    retry_state: &RetryState,
    generation: GenerationId,
    refusal: Refusal,
) -> Result<(FailedAttempt, Failure), Failure> {
    let may_claim_again = job.claim.as_ref().is_none_or(|claim| claim.from_caller);
    let will_retry = may_claim_again && is_retryable(refusal.code);
    match &job.claim {
        Some(claim) if will_retry => claim.release(entry, generation).await,
        Some(claim) => claim.release_later(entry, generation),
        None => {}
    }
    let overloaded = refusal.code == RefusalCode::Overload;
    let failure = Failure::from(refusal);
    match will_retry {
        true => Ok((
            failed_attempt(job, retry_state, ExecutionStatus::NotRun, overloaded),
            failure,
        )),
        false => Err(failure),
    }
}

fn failed_attempt(
    job: &Job,
    retry_state: &RetryState,
    execution: ExecutionStatus,
    overloaded: bool,
) -> FailedAttempt {
    FailedAttempt {
        execution,
        shown: false,
        runs_again: job.may_run_again(),
        overloaded,
        overloaded_before: retry_state.overloaded,
    }
}

/// Returns whether another replica, or the same one later, may accept the request.
pub(super) fn is_retryable(code: RefusalCode) -> bool {
    matches!(
        code,
        RefusalCode::Overload
            | RefusalCode::StaleTable
            | RefusalCode::Leaving
            | RefusalCode::NoReplica
            | RefusalCode::UpstreamLost
    )
}

fn choose(
    entry: &Entry,
    job: &Job,
    view: &View,
    retry_state: &mut RetryState,
) -> Result<Replica, Failure> {
    let version = view
        .table
        .model(&job.model)
        .map(|row| row.version.as_str())
        .ok_or_else(|| Failure::not_found(format!("no model {:?}", job.model.as_str())))?;
    let profile = RequestProfile {
        prompt_tokens: f64::from(job.prompt.tokens),
        prefix: job.prompt.prefix,
    };
    let replicas = entry.fleet.model(view, &job.model);
    Entry::choose(&replicas, Some(version), &profile, retry_state)
}

fn start_request(
    entry: &Entry,
    job: &Job,
    view: &View,
    replica: &Replica,
    generation: GenerationId,
) -> StartRequest {
    let workspace = &job.params.workspace;
    let version = view.table.model(&job.model).map(|row| row.version.clone());
    StartRequest {
        stamp: entry.subscriber.stamp(),
        incarnation: replica.peer.instance.incarnation,
        request: job.request,
        generation,
        workspace: workspace.clone(),
        kind: job.params.kind.clone(),
        lane: job.params.lane,
        model: job.model.clone(),
        version: version.unwrap_or_default(),
        upstream: replica.upstream.clone(),
        api: job.prompt.api,
        body: job.prompt.engine_body(job.model.as_str()),
        prompt_tokens: job.prompt.tokens,
        max_tokens: job.max_tokens,
        priority: job.priority,
        remaining_ms: job.params.remaining_ms(),
        served_elsewhere_tokens: entry.take_served_elsewhere(workspace, &replica.peer),
        shown: job.shown,
    }
}
