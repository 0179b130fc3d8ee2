//! One request for a generation, over all of its attempts.

use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::random;
use tokio::time::timeout;

use super::attempt::{self, Sent, cancel, cancel_later, cancel_when_unread};
use super::claim::{ClaimKey, Claiming};
use super::core::{Entry, Tries};
use super::failure::Failure;
use super::fleet::{Peer, Replica};
use super::inbox::News;
use super::metrics::TokenTimes;
use super::poller::Reader;
use super::prompt::Prompt;
use super::recovery;
use super::room::SlotGuard;
use super::terms::Terms;
use crate::adapters::telemetry::invariant;
use crate::domain::retry::{Ended, Proof};
use crate::domain::route::Ask;
use crate::domain::state::View;
use crate::model::{GenerationId, ModelName, Outcome, Refusal, RefusalCode, RequestId};
use crate::rpc::sidecar::{CancelReply, End, Origin, StartRequest};

/// Limit of the cancel when the deadline passes; its answer decides between outcomes.
const DEADLINE_PROOF_LIMIT: Duration = Duration::from_millis(200);

/// A request for a generation.
pub(super) struct Job {
    pub request: RequestId,
    pub terms: Terms,
    pub prompt: Prompt,
    pub model: ModelName,
    pub max_tokens: u32,
    pub priority: u8,
    /// True if tokens are shown to the caller as they come.
    pub shown: bool,
    pub claim: Option<ClaimKey>,
    pub arrived: Instant,
}

impl Job {
    /// Returns whether the request may run more than once: no claim names one attempt of it.
    pub fn runs_again(&self) -> bool {
        self.terms.repeatable && self.claim.is_none()
    }
}

/// The attempt that is being read.
pub(super) struct Attempt {
    pub generation: GenerationId,
    pub peer: Arc<Peer>,
    /// The start as it was sent; none if another request started the generation.
    pub start: Option<Box<StartRequest>>,
    pub reader: Reader,
    pub origin: Option<Origin>,
    /// True if the generation is to be cancelled once this request no longer reads it.
    pub is_ours: bool,
}

/// What a generation brings next.
pub(super) enum Step {
    Tokens {
        offset: u32,
        tokens: Vec<String>,
    },
    /// A new attempt replaced one of which nothing was shown; its tokens count no more.
    Replaced,
    Finished {
        total: u32,
        reason: String,
    },
    Failed(Failure),
}

/// A running generation. Dropping it before its end cancels it, for streams after the time in
/// which the caller may resume.
pub(super) struct Generation {
    pub entry: Arc<Entry>,
    pub job: Arc<Job>,
    pub attempt: Attempt,
    tries: Tries,
    /// Tokens that were handed out of the current attempt.
    given: u32,
    /// Since when the sidecar has brought nothing that it could have.
    pub lost_since_ms: Option<u64>,
    ended: bool,
    times: TokenTimes,
    /// Held until the generation is dropped.
    pub(super) slot: Option<SlotGuard>,
}

impl Generation {
    /// Starts a generation at a replica; tries others as far as the rules for retries allow.
    pub async fn launch(entry: &Arc<Entry>, job: Arc<Job>) -> Result<Self, Failure> {
        let slot = acquire_slot(entry, &job).await?;
        let mut tries = Tries::default();
        let attempt = match attempt(entry, &job, &mut tries).await {
            Ok(attempt) => attempt,
            Err(failure) => return Err(tries.conclude(failure)),
        };
        let mut generation = Self::reading(entry, job, attempt, 0);
        generation.tries = tries;
        generation.slot = Some(slot);
        Ok(generation)
    }

    /// Returns a generation that runs already and of which the caller has `given` tokens.
    pub fn reading(entry: &Arc<Entry>, job: Arc<Job>, attempt: Attempt, given: u32) -> Self {
        Self {
            entry: Arc::clone(entry),
            times: TokenTimes::new(job.arrived),
            job,
            attempt,
            tries: Tries::default(),
            given,
            lost_since_ms: None,
            ended: false,
            slot: None,
        }
    }

    /// Waits for the next step. After `Finished` or `Failed` there is none.
    pub async fn next(&mut self) -> Step {
        loop {
            let remaining = Duration::from_millis(self.job.terms.remaining_ms());
            let Ok(news) = timeout(remaining, self.attempt.reader.next()).await else {
                return self.give_up_at_deadline().await;
            };
            if self.attempt.origin.is_none() {
                self.attempt.origin = self.attempt.reader.origin();
            }
            let result = match news {
                News::Tokens { offset, tokens } => return self.hand_out(offset, tokens),
                News::Ended {
                    total,
                    end: End::Finished { reason },
                } => return self.finish(total, reason),
                News::Ended {
                    end: End::Failed { outcome, refusal },
                    ..
                } => self.replace(outcome, refusal).await,
                News::Trouble(trouble) => recovery::recover(self, trouble).await,
            };
            match result {
                Ok(Some(step)) => return step,
                Ok(None) => {}
                Err(failure) => return self.fail(failure),
            }
        }
    }

    /// Returns the number of tokens handed out.
    pub fn given(&self) -> u32 {
        self.given
    }

    /// Returns true if the caller has seen part of the answer.
    pub fn is_shown(&self) -> bool {
        self.job.shown && self.given > 0
    }

    /// Starts a new attempt if the rules allow it, else returns the failure.
    pub async fn replace(
        &mut self,
        outcome: Outcome,
        refusal: Refusal,
    ) -> Result<Option<Step>, Failure> {
        let is_not_run = outcome == Outcome::NotRun;
        let is_repeated = is_worth_repeating(refusal.code);
        let ended = self.ended(is_not_run, refusal.code == RefusalCode::Overload);
        let failure = match self.is_shown() {
            true => Failure::interrupted(refusal.code, refusal.message),
            false if is_not_run => Failure::from(refusal),
            false => Failure::unknown(refusal.code, refusal.message),
        };
        self.tries.may_have_run |= !is_not_run;
        let is_own = self.attempt.start.is_some();
        let may_claim_again = self.job.claim.as_ref().is_none_or(|claim| claim.is_callers);
        let is_repeated = is_repeated && may_claim_again && is_own;
        match self.job.claim.as_ref().filter(|_| is_own && is_not_run) {
            Some(claim) if is_repeated => {
                claim.release(&self.entry, self.attempt.generation).await;
            }
            Some(claim) => claim.release_later(&self.entry, self.attempt.generation),
            None => {}
        }
        if !is_repeated {
            return Err(failure);
        }
        self.entry
            .pause_before_retry(&self.job.terms, &mut self.tries, &ended, failure)
            .await?;
        self.attempt = attempt(&self.entry, &self.job, &mut self.tries).await?;
        self.given = 0;
        Ok(Some(Step::Replaced))
    }

    fn ended(&self, is_not_run: bool, overloaded: bool) -> Ended {
        Ended {
            proof: match is_not_run {
                true => Proof::NotRun,
                false => Proof::Stopped,
            },
            shown: self.is_shown(),
            runs_again: self.job.runs_again(),
            overloaded,
            overloaded_before: self.tries.overloaded,
        }
    }

    fn hand_out(&mut self, offset: u32, tokens: Vec<String>) -> Step {
        let count = tokens.len();
        invariant(offset == self.given, "stream_follows_its_offset", || {
            format!(
                "generation {}: tokens at {offset} after {}",
                self.attempt.generation, self.given
            )
        });
        self.lost_since_ms = None;
        self.given = self
            .given
            .saturating_add(u32::try_from(count).unwrap_or(u32::MAX));
        self.times.note(count);
        let tokens_served = u64::try_from(count).unwrap_or(u64::MAX);
        self.entry
            .note_served(&self.job.terms.workspace, &self.attempt.peer, tokens_served);
        Step::Tokens { offset, tokens }
    }

    fn finish(&mut self, total: u32, reason: String) -> Step {
        self.ended = true;
        self.entry.note_success(&self.job.terms.workspace);
        self.finish_claim();
        Step::Finished { total, reason }
    }

    fn fail(&mut self, failure: Failure) -> Step {
        self.ended = true;
        let failure = self.tries.conclude(failure);
        if failure.outcome != Outcome::NotRun {
            self.finish_claim();
        }
        Step::Failed(failure)
    }

    fn finish_claim(&self) {
        if let Some(claim) = &self.job.claim
            && self.attempt.start.is_some()
        {
            claim.finish_later(&self.entry, self.attempt.generation);
        }
    }

    /// Stops the generation at the deadline. A tombstone proves that it has not run.
    async fn give_up_at_deadline(&mut self) -> Step {
        let message = "the deadline passed before the answer was complete";
        let code = RefusalCode::DeadlineExceeded;
        // A generation that another request started is left to that request.
        let is_ours = self.attempt.is_ours;
        if self.is_shown() || !is_ours {
            if is_ours {
                cancel_later(&self.entry, &self.attempt.peer, self.attempt.generation);
            }
            return match self.is_shown() {
                true => self.fail(Failure::interrupted(code, message)),
                false => self.fail(Failure::unknown(code, message)),
            };
        }
        let generation = self.attempt.generation;
        let reply = cancel(
            &self.entry,
            &self.attempt.peer,
            generation,
            DEADLINE_PROOF_LIMIT,
        )
        .await;
        match reply {
            Some(CancelReply::NotRun { .. }) => {
                if let Some(claim) = &self.job.claim {
                    claim.release_later(&self.entry, generation);
                }
                self.fail(Failure::not_run(code, message))
            }
            Some(_) => self.fail(Failure::unknown(code, message)),
            None => {
                cancel_later(&self.entry, &self.attempt.peer, generation);
                self.fail(Failure::unknown(code, message))
            }
        }
    }
}

impl Drop for Generation {
    fn drop(&mut self) {
        if self.ended || !self.attempt.is_ours {
            return;
        }
        let entry = Arc::clone(&self.entry);
        let peer = Arc::clone(&self.attempt.peer);
        let generation = self.attempt.generation;
        if !self.job.shown {
            cancel_later(&entry, &peer, generation);
            return;
        }
        let slot = self.slot.take();
        let limit = Duration::from_millis(self.job.terms.remaining_ms());
        tokio::spawn(async move {
            let _held_while_it_runs = slot;
            tokio::time::sleep(Duration::from_millis(entry.settings.reconnect_grace_ms)).await;
            cancel_when_unread(&entry, &peer, generation, limit).await;
        });
    }
}

async fn acquire_slot(entry: &Entry, job: &Job) -> Result<SlotGuard, Failure> {
    if !job.terms.limited_room {
        return Ok(SlotGuard::default());
    }
    let slot = (entry.room.acquire)(job.terms.workspace.clone(), job.terms.kind.clone());
    let remaining = Duration::from_millis(job.terms.remaining_ms());
    match timeout(remaining, slot).await {
        Ok(slot) => Ok(slot?),
        Err(_) => Err(Failure::not_run(
            RefusalCode::NoRoom,
            "the workspace used all of its room until the deadline",
        )),
    }
}

/// Sends the request to replicas until one accepts it.
async fn attempt(
    entry: &Arc<Entry>,
    job: &Arc<Job>,
    tries: &mut Tries,
) -> Result<Attempt, Failure> {
    loop {
        if job.terms.remaining_ms() == 0 {
            let message = "the deadline passed before a replica accepted the request";
            return Err(Failure::not_run(RefusalCode::DeadlineExceeded, message));
        }
        let view = entry.subscriber.current().await?;
        let replica = choose(entry, job, &view, tries)?;
        let peer = Arc::clone(&replica.peer);
        let generation = GenerationId(random());
        if let Some(claim) = &job.claim {
            let claiming = claim
                .claim(entry, &job.terms, generation, &peer.instance)
                .await?;
            if let Claiming::Held { claimed, finished } = claiming {
                match recovery::attach(entry, job, claim, &claimed, finished).await? {
                    Some(attempt) => return Ok(attempt),
                    None => continue,
                }
            }
        }
        let start = start_request(entry, job, &view, &replica, generation);
        let (ended, failure) = match attempt::start(entry, &peer, &start, job.runs_again()).await {
            Sent::Accepted => {
                let reader = peer.poller.read(generation, &job.terms.workspace, 0);
                return Ok(Attempt {
                    generation,
                    peer,
                    start: Some(Box::new(start)),
                    reader,
                    origin: None,
                    is_ours: true,
                });
            }
            Sent::NotRun(refusal) => not_run(entry, job, tries, generation, refusal).await?,
            Sent::Doubt(cause) => {
                cancel_later(entry, &peer, generation);
                tries.may_have_run = true;
                let code = match job.terms.remaining_ms() {
                    0 => RefusalCode::DeadlineExceeded,
                    _ => RefusalCode::UpstreamLost,
                };
                let failure = Failure::unknown(code, cause);
                (ended(job, tries, Proof::Stopped, false), failure)
            }
        };
        tracing::debug!(request = %job.request, %generation, upstream = %replica.upstream,
            cause = %failure.refusal.message, "attempt gave no result");
        entry
            .pause_before_retry(&job.terms, tries, &ended, failure)
            .await?;
    }
}

/// Gives the claim of a refused start up. Fails if the refusal is final.
async fn not_run(
    entry: &Arc<Entry>,
    job: &Job,
    tries: &Tries,
    generation: GenerationId,
    refusal: Refusal,
) -> Result<(Ended, Failure), Failure> {
    let may_claim_again = job.claim.as_ref().is_none_or(|claim| claim.is_callers);
    let is_repeated = may_claim_again && is_worth_repeating(refusal.code);
    match &job.claim {
        Some(claim) if is_repeated => claim.release(entry, generation).await,
        Some(claim) => claim.release_later(entry, generation),
        None => {}
    }
    let overloaded = refusal.code == RefusalCode::Overload;
    let failure = Failure::from(refusal);
    match is_repeated {
        true => Ok((ended(job, tries, Proof::NotRun, overloaded), failure)),
        false => Err(failure),
    }
}

fn ended(job: &Job, tries: &Tries, proof: Proof, overloaded: bool) -> Ended {
    Ended {
        proof,
        shown: false,
        runs_again: job.runs_again(),
        overloaded,
        overloaded_before: tries.overloaded,
    }
}

/// Returns whether another replica, or the same one later, may answer differently.
pub(super) fn is_worth_repeating(code: RefusalCode) -> bool {
    matches!(
        code,
        RefusalCode::Overload
            | RefusalCode::StaleTable
            | RefusalCode::Leaving
            | RefusalCode::NoReplica
            | RefusalCode::UpstreamLost
    )
}

fn choose(entry: &Entry, job: &Job, view: &View, tries: &mut Tries) -> Result<Replica, Failure> {
    let version = view
        .table
        .model(&job.model)
        .map(|row| row.version.as_str())
        .ok_or_else(|| Failure::not_found(format!("no model {:?}", job.model.as_str())))?;
    let ask = Ask {
        prompt_tokens: f64::from(job.prompt.tokens),
        prefix: job.prompt.prefix,
    };
    let replicas = entry.fleet.model(view, &job.model);
    Entry::choose(&replicas, Some(version), &ask, tries)
}

fn start_request(
    entry: &Entry,
    job: &Job,
    view: &View,
    replica: &Replica,
    generation: GenerationId,
) -> StartRequest {
    let workspace = &job.terms.workspace;
    let version = view.table.model(&job.model).map(|row| row.version.clone());
    StartRequest {
        stamp: entry.subscriber.stamp(),
        incarnation: replica.peer.instance.incarnation,
        request: job.request,
        generation,
        workspace: workspace.clone(),
        kind: job.terms.kind.clone(),
        lane: job.terms.lane,
        model: job.model.clone(),
        version: version.unwrap_or_default(),
        upstream: replica.upstream.clone(),
        api: job.prompt.api,
        body: job.prompt.engine_body(job.model.as_str()),
        prompt_tokens: job.prompt.tokens,
        max_tokens: job.max_tokens,
        priority: job.priority,
        remaining_ms: job.terms.remaining_ms(),
        served_elsewhere_tokens: entry.take_served_elsewhere(workspace, &replica.peer),
        shown: job.shown,
    }
}
