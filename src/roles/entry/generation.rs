//! One completion request, over all of its attempts.

use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::time::timeout;

use super::attempt::{cancel, cancel_later, cancel_when_unread};
use super::claim::ClaimKey;
use super::core::{Entry, RetryState};
use super::failure::Failure;
use super::fleet::Peer;
use super::metrics::TokenTimes;
use super::params::RequestParams;
use super::poller::Reader;
use super::prompt::Prompt;
use super::reader_buffer::ReaderEvent;
use super::recovery;
use super::room::SlotGuard;
use super::start::{acquire_slot, is_retryable, start_attempt};
use crate::adapters::telemetry::invariant;
use crate::domain::retry::{ExecutionStatus, FailedAttempt};
use crate::model::{GenerationId, ModelName, Outcome, Refusal, RefusalCode, RequestId};
use crate::rpc::sidecar::{CancelReply, End, Origin, StartRequest};

/// Timeout of the cancel that is sent when the deadline passes; its answer decides between
/// `not_run` and `unknown`.
const DEADLINE_CANCEL_TIMEOUT: Duration = Duration::from_millis(200);

/// A parsed completion request.
pub(super) struct Job {
    pub request: RequestId,
    pub params: RequestParams,
    pub prompt: Prompt,
    pub model: ModelName,
    pub max_tokens: u32,
    pub priority: u8,
    /// True if tokens are sent to the caller as they arrive.
    pub shown: bool,
    pub claim: Option<ClaimKey>,
    pub arrived: Instant,
}

impl Job {
    /// Returns whether the request may run more than once. A claim ties it to a single attempt.
    pub fn may_run_again(&self) -> bool {
        self.params.repeatable && self.claim.is_none()
    }
}

/// The attempt whose output is being read.
pub(super) struct Attempt {
    pub generation: GenerationId,
    pub peer: Arc<Peer>,
    /// The start as it was sent; `None` if another request started the generation.
    pub start: Option<Box<StartRequest>>,
    pub reader: Reader,
    pub origin: Option<Origin>,
    /// True if this request cancels the generation once it no longer reads it.
    pub owns_generation: bool,
}

/// The next part of a generation's output.
pub(super) enum Step {
    Tokens {
        offset: u32,
        tokens: Vec<String>,
    },
    /// A new attempt replaced one of which the caller had received nothing; the tokens returned so
    /// far are void.
    Replaced,
    Finished {
        total: u32,
        reason: String,
    },
    Failed(Failure),
}

/// A running generation. Dropping it before its end cancels it; a stream is cancelled only after
/// the time within which its caller may resume.
pub(super) struct Generation {
    pub entry: Arc<Entry>,
    pub job: Arc<Job>,
    pub attempt: Attempt,
    retry_state: RetryState,
    /// Number of tokens of the current attempt that `next` has returned.
    delivered: u32,
    /// Monotonic time since which the sidecar has delivered nothing after a fault; `None` while the
    /// stream works.
    pub lost_since_ms: Option<u64>,
    ended: bool,
    times: TokenTimes,
    /// Held until the generation is dropped, for streams until it has ended or was cancelled.
    pub(super) slot: Option<SlotGuard>,
}

impl Generation {
    /// Starts a generation at a replica; tries other replicas as far as the retry rules allow.
    pub async fn launch(entry: &Arc<Entry>, job: Arc<Job>) -> Result<Self, Failure> {
        let slot = acquire_slot(entry, &job).await?;
        let mut retry_state = RetryState::default();
        let attempt = match start_attempt(entry, &job, &mut retry_state).await {
            Ok(attempt) => attempt,
            Err(failure) => return Err(retry_state.final_failure(failure)),
        };
        let mut generation = Self::reading(entry, job, attempt, 0);
        generation.retry_state = retry_state;
        generation.slot = Some(slot);
        Ok(generation)
    }

    /// Returns a generation that is already running and of which the caller has the first
    /// `delivered` tokens.
    pub fn reading(entry: &Arc<Entry>, job: Arc<Job>, attempt: Attempt, delivered: u32) -> Self {
        Self {
            entry: Arc::clone(entry),
            times: TokenTimes::new(job.arrived),
            job,
            attempt,
            retry_state: RetryState::default(),
            delivered,
            lost_since_ms: None,
            ended: false,
            slot: None,
        }
    }

    /// Waits for the next step. Must not be called again after `Finished` or `Failed`.
    pub async fn next(&mut self) -> Step {
        loop {
            let remaining = Duration::from_millis(self.job.params.remaining_ms());
            let Ok(event) = timeout(remaining, self.attempt.reader.next()).await else {
                return self.stop_at_deadline().await;
            };
            if self.attempt.origin.is_none() {
                self.attempt.origin = self.attempt.reader.origin();
            }
            let result = match event {
                ReaderEvent::Tokens { offset, tokens } => return self.deliver(offset, tokens),
                ReaderEvent::Ended {
                    total,
                    end: End::Finished { reason },
                } => return self.finish(total, reason),
                ReaderEvent::Ended {
                    end: End::Failed { outcome, refusal },
                    ..
                } => self.retry_or_fail(outcome, refusal).await,
                ReaderEvent::Trouble(trouble) => recovery::recover(self, trouble).await,
            };
            match result {
                Ok(Some(step)) => return step,
                Ok(None) => {}
                Err(failure) => return self.fail(failure),
            }
        }
    }

    /// Returns the number of tokens of the current attempt that `next` has returned.
    pub fn delivered(&self) -> u32 {
        self.delivered
    }

    /// Returns true if the caller has received part of the answer.
    pub fn is_shown(&self) -> bool {
        self.job.shown && self.delivered > 0
    }

    /// Starts a new attempt if the retry rules allow it, else returns the failure.
    pub async fn retry_or_fail(
        &mut self,
        outcome: Outcome,
        refusal: Refusal,
    ) -> Result<Option<Step>, Failure> {
        let is_not_run = outcome == Outcome::NotRun;
        let will_retry = is_retryable(refusal.code);
        let failed = self.failed_attempt(is_not_run, refusal.code == RefusalCode::Overload);
        let failure = match self.is_shown() {
            true => Failure::interrupted(refusal.code, refusal.message),
            false if is_not_run => Failure::from(refusal),
            false => Failure::unknown(refusal.code, refusal.message),
        };
        self.retry_state.may_have_run |= !is_not_run;
        let started_here = self.attempt.start.is_some();
        let may_claim_again = self
            .job
            .claim
            .as_ref()
            .is_none_or(|claim| claim.from_caller);
        let will_retry = will_retry && may_claim_again && started_here;
        match self
            .job
            .claim
            .as_ref()
            .filter(|_| started_here && is_not_run)
        {
            Some(claim) if will_retry => {
                claim.release(&self.entry, self.attempt.generation).await;
            }
            Some(claim) => claim.release_later(&self.entry, self.attempt.generation),
            None => {}
        }
        if !will_retry {
            return Err(failure);
        }
        self.entry
            .pause_before_retry(&self.job.params, &mut self.retry_state, &failed, failure)
            .await?;
        self.attempt = start_attempt(&self.entry, &self.job, &mut self.retry_state).await?;
        self.delivered = 0;
        Ok(Some(Step::Replaced))
    }

    fn failed_attempt(&self, is_not_run: bool, overloaded: bool) -> FailedAttempt {
        FailedAttempt {
            execution: match is_not_run {
                true => ExecutionStatus::NotRun,
                false => ExecutionStatus::Stopped,
            },
            shown: self.is_shown(),
            runs_again: self.job.may_run_again(),
            overloaded,
            overloaded_before: self.retry_state.overloaded,
        }
    }

    fn deliver(&mut self, offset: u32, tokens: Vec<String>) -> Step {
        let count = tokens.len();
        invariant(
            offset == self.delivered,
            "stream_follows_its_offset",
            || {
                format!(
                    "generation {}: received tokens at offset {offset}, expected offset {}",
                    self.attempt.generation, self.delivered
                )
            },
        );
        self.lost_since_ms = None;
        self.delivered = self
            .delivered
            .saturating_add(u32::try_from(count).unwrap_or(u32::MAX));
        self.times.record(count);
        let tokens_served = u64::try_from(count).unwrap_or(u64::MAX);
        self.entry.record_served(
            &self.job.params.workspace,
            &self.attempt.peer,
            tokens_served,
        );
        Step::Tokens { offset, tokens }
    }

    fn finish(&mut self, total: u32, reason: String) -> Step {
        self.ended = true;
        self.entry.record_success(&self.job.params.workspace);
        self.finish_claim();
        Step::Finished { total, reason }
    }

    fn fail(&mut self, failure: Failure) -> Step {
        self.ended = true;
        let failure = self.retry_state.final_failure(failure);
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

    /// Stops the generation at the deadline. If the sidecar answers the cancel with a tombstone,
    /// the generation has not run.
    async fn stop_at_deadline(&mut self) -> Step {
        let message = "the deadline passed before the answer was complete";
        let code = RefusalCode::DeadlineExceeded;
        // A generation that another request started is left running for that request.
        let owns_generation = self.attempt.owns_generation;
        if self.is_shown() || !owns_generation {
            if owns_generation {
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
            DEADLINE_CANCEL_TIMEOUT,
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
        if self.ended || !self.attempt.owns_generation {
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
        let limit = Duration::from_millis(self.job.params.remaining_ms());
        tokio::spawn(async move {
            let _held_until_end = slot;
            tokio::time::sleep(Duration::from_millis(entry.settings.reconnect_grace_ms)).await;
            cancel_when_unread(&entry, &peer, generation, limit).await;
        });
    }
}
