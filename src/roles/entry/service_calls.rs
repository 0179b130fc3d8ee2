//! Service calls: HTTP requests that are forwarded to a service.

use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::random;
use rocket::http::Status;
use tokio::time::sleep;

use super::attempt::{cancel, cancel_later};
use super::claim::{ClaimKey, ClaimOutcome};
use super::core::{Entry, RetryState};
use super::failure::Failure;
use super::fleet::{Peer, Replica};
use super::input::RequestHeaders;
use super::metrics::OutcomeRecorder;
use super::params::{RequestParams, service_call_params};
use super::reply::{Body, Reply};
use super::start::is_retryable;
use crate::domain::retry::{ExecutionStatus, FailedAttempt};
use crate::domain::route::RequestProfile;
use crate::model::{GenerationId, Outcome, Refusal, RefusalCode, ServiceName, UpstreamName};
use crate::rpc::CallError;
use crate::rpc::sidecar::{CallReply, CallRequest, CancelReply, ServiceResponse};

/// Pause before an unanswered call is resent.
const RESEND_PAUSE: Duration = Duration::from_millis(50);
/// Time for which an unanswered call that may not run again is resent. Longer than the 3 s within
/// which a silent connection is noticed and replaced.
const RESEND_LIMIT: Duration = Duration::from_secs(5);
/// The same for a call that may run again at another replica.
const REPEATABLE_RESEND_LIMIT: Duration = Duration::from_millis(250);
/// Timeout of the cancel that asks for a tombstone, and the time reserved for it before the
/// deadline.
const TOMBSTONE_TIMEOUT: Duration = Duration::from_millis(200);
/// Headers that apply to one connection only, are set anew, or are meant for this system, such as
/// the caller's API key.
const NOT_FORWARDED: [&str; 13] = [
    "authorization",
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "last-event-id",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// A service call as the caller sent it.
pub(super) struct ServiceCall {
    pub service: ServiceName,
    pub method: String,
    pub path_and_query: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

/// Returns whether a header is forwarded between caller and service, in either direction.
pub(super) fn is_forwarded(name: &str) -> bool {
    let name = name.to_ascii_lowercase();
    !name.starts_with("lilac-") && !NOT_FORWARDED.contains(&name.as_str())
}

/// The outcome of one attempt.
enum CallOutcome {
    Response(ServiceResponse),
    /// The sidecar answered with a refusal.
    Refused {
        outcome: Outcome,
        refusal: Refusal,
    },
    /// The call was never sent, or is ruled out by a tombstone at the sidecar.
    NotRun(Refusal),
    /// The call may have run; holds the cause of the missing answer.
    InDoubt(String),
}

/// Answers a service call.
pub(super) async fn call(
    entry: &Arc<Entry>,
    request_headers: &RequestHeaders,
    call: ServiceCall,
    recorder: &mut OutcomeRecorder,
) -> Result<Reply, Failure> {
    let view = entry.subscriber.current().await?;
    let workspace = entry.fleet.workspace(&view, request_headers)?;
    let params = service_call_params(&view, request_headers, workspace, &call.service)?;
    recorder.set_lane(params.lane);
    let parts: [&[u8]; 4] = [
        call.service.as_str().as_bytes(),
        call.method.as_bytes(),
        call.path_and_query.as_bytes(),
        &call.body,
    ];
    let claim = ClaimKey::of(request_headers, &params, &parts)?;
    let mut retry_state = RetryState::default();
    let context = CallContext {
        entry,
        request_headers,
        params: &params,
        call: &call,
        claim: claim.as_ref(),
    };
    match context.run(&mut retry_state).await {
        Ok(response) => {
            entry.record_success(&params.workspace);
            Ok(reply(response))
        }
        Err(failure) => Err(retry_state.final_failure(failure)),
    }
}

fn reply(response: ServiceResponse) -> Reply {
    let headers = response.headers.into_iter();
    Reply {
        status: Status::new(response.status),
        content_type: None,
        headers: headers.filter(|(name, _)| is_forwarded(name)).collect(),
        body: Body::Buffered(response.body),
    }
}

/// A service call with what its attempts have in common.
struct CallContext<'a> {
    entry: &'a Arc<Entry>,
    request_headers: &'a RequestHeaders,
    params: &'a RequestParams,
    call: &'a ServiceCall,
    claim: Option<&'a ClaimKey>,
}

impl CallContext<'_> {
    async fn run(&self, retry_state: &mut RetryState) -> Result<ServiceResponse, Failure> {
        loop {
            let view = self.entry.subscriber.current().await?;
            let replicas = self.entry.fleet.service(&view, &self.call.service);
            let profile = RequestProfile {
                prompt_tokens: 0.0,
                prefix: None,
            };
            let replica = Entry::choose(&replicas, None, &profile, retry_state)?;
            let generation = GenerationId(random());
            if let Some(claim) = self.claim {
                let claim_outcome = claim
                    .claim(self.entry, self.params, generation, &replica.peer.instance)
                    .await?;
                if let ClaimOutcome::Held { claimed, .. } = claim_outcome {
                    let found = self.entry.fleet.find(&view, &claimed.sidecar);
                    let Some(peer) = found else {
                        return Err(Failure::unknown(
                            RefusalCode::UpstreamLost,
                            "the sidecar that this key was claimed for is gone",
                        ));
                    };
                    // The request that holds the key may not have sent its call yet, in which case
                    // this one runs; so it must name an upstream of the claimed sidecar.
                    let claimed_replica = replicas
                        .replicas
                        .iter()
                        .find(|replica| replica.peer.instance == claimed.sidecar)
                        .unwrap_or(&replica);
                    return self
                        .repeat_claimed(peer, claimed_replica, claim, claimed.generation)
                        .await;
                }
            }
            let outcome = self.attempt(&replica, generation).await;
            if let Some(response) = self
                .handle_outcome(retry_state, &replica, generation, outcome)
                .await?
            {
                return Ok(response);
            }
        }
    }

    /// Returns whether the call may run more than once. A claim ties it to a single attempt.
    fn may_run_again(&self) -> bool {
        self.params.repeatable && self.claim.is_none()
    }

    /// Sends the call under the generation that holds the key. The sidecar repeats the first
    /// answer, or runs the call now if it had not arrived before.
    async fn repeat_claimed(
        &self,
        peer: Arc<Peer>,
        replica: &Replica,
        claim: &ClaimKey,
        generation: GenerationId,
    ) -> Result<ServiceResponse, Failure> {
        let replica = Replica {
            peer,
            ..replica.clone()
        };
        match self.attempt(&replica, generation).await {
            CallOutcome::Response(response) => Ok(response),
            CallOutcome::Refused { outcome, refusal } => {
                // The sidecar has a tombstone for the claimed generation. Without the release every
                // repeat of the key would be refused until the claim expires.
                if outcome == Outcome::NotRun {
                    claim.release_later(self.entry, generation);
                }
                Err(Failure::new(outcome, refusal))
            }
            // This attempt did not run, but the first request may have run the call.
            CallOutcome::NotRun(refusal) => Err(Failure::unknown(refusal.code, refusal.message)),
            CallOutcome::InDoubt(cause) => Err(Failure::unknown(RefusalCode::UpstreamLost, cause)),
        }
    }

    /// Handles the outcome of an attempt. Returns the response, or `None` if the call is to be
    /// attempted again.
    async fn handle_outcome(
        &self,
        retry_state: &mut RetryState,
        replica: &Replica,
        generation: GenerationId,
        call_outcome: CallOutcome,
    ) -> Result<Option<ServiceResponse>, Failure> {
        let (execution, failure) = match call_outcome {
            CallOutcome::Response(response) => {
                if let Some(claim) = self.claim {
                    claim.finish_later(self.entry, generation);
                }
                return Ok(Some(response));
            }
            CallOutcome::NotRun(refusal)
            | CallOutcome::Refused {
                outcome: Outcome::NotRun,
                refusal,
            } => (ExecutionStatus::NotRun, Failure::from(refusal)),
            CallOutcome::Refused { outcome, refusal } => {
                (ExecutionStatus::Stopped, Failure::new(outcome, refusal))
            }
            CallOutcome::InDoubt(cause) => {
                cancel_later(self.entry, &replica.peer, generation);
                let code = match self.params.remaining_ms() {
                    0 => RefusalCode::DeadlineExceeded,
                    _ => RefusalCode::UpstreamLost,
                };
                (ExecutionStatus::Stopped, Failure::unknown(code, cause))
            }
        };
        retry_state.may_have_run |= execution == ExecutionStatus::Stopped;
        let may_claim_again = self.claim.is_none_or(|claim| claim.from_caller);
        let will_retry = may_claim_again && is_retryable(failure.refusal.code);
        match (self.claim, execution) {
            (Some(claim), ExecutionStatus::NotRun) if will_retry => {
                claim.release(self.entry, generation).await;
            }
            (Some(claim), ExecutionStatus::NotRun) => claim.release_later(self.entry, generation),
            (Some(claim), ExecutionStatus::Stopped) => claim.finish_later(self.entry, generation),
            (None, _) => {}
        }
        if !will_retry {
            return Err(failure);
        }
        let failed = FailedAttempt {
            execution,
            shown: false,
            runs_again: self.may_run_again(),
            overloaded: failure.refusal.code == RefusalCode::Overload,
            overloaded_before: retry_state.overloaded,
        };
        self.entry
            .pause_before_retry(self.params, retry_state, &failed, failure)
            .await?;
        Ok(None)
    }

    async fn attempt(&self, replica: &Replica, generation: GenerationId) -> CallOutcome {
        let peer = &replica.peer;
        peer.load().record_sent(&replica.upstream, 0);
        let outcome = self.send(peer, &replica.upstream, generation).await;
        peer.load().record_answered(&replica.upstream, 0);
        let CallOutcome::InDoubt(cause) = outcome else {
            return outcome;
        };
        peer.load().mark_unreachable();
        match cancel(self.entry, peer, generation, TOMBSTONE_TIMEOUT).await {
            Some(CancelReply::NotRun { .. }) => CallOutcome::NotRun(upstream_lost(&cause)),
            _ => CallOutcome::InDoubt(cause),
        }
    }

    /// Sends the call. While there is no answer, the call is resent with the same generation
    /// identifier, which the sidecar never runs a second time.
    async fn send(
        &self,
        peer: &Peer,
        upstream: &UpstreamName,
        generation: GenerationId,
    ) -> CallOutcome {
        let mut doubt: Option<String> = None;
        let mut in_doubt_since: Option<Instant> = None;
        let resend_limit = match self.may_run_again() {
            true => REPEATABLE_RESEND_LIMIT,
            false => RESEND_LIMIT,
        };
        loop {
            if let Some(cause) = &doubt
                && in_doubt_since.get_or_insert_with(Instant::now).elapsed() >= resend_limit
            {
                return CallOutcome::InDoubt(cause.clone());
            }
            let remaining = Duration::from_millis(self.params.remaining_ms());
            let Some(limit) = remaining
                .checked_sub(TOMBSTONE_TIMEOUT)
                .filter(|limit| !limit.is_zero())
            else {
                return doubt.map_or_else(
                    || CallOutcome::NotRun(deadline_exceeded()),
                    CallOutcome::InDoubt,
                );
            };
            let request = self.request(peer, upstream, generation);
            let answer = peer
                .calls
                .call(limit, |client, context| async move {
                    client.call(context, request).await
                })
                .await;
            match (answer, &doubt) {
                (
                    Ok(CallReply::Response {
                        stamp,
                        response,
                        load,
                    }),
                    _,
                ) => {
                    self.entry.fleet.record_reply(peer, &stamp, &load);
                    return CallOutcome::Response(response);
                }
                (
                    Ok(CallReply::Refused {
                        stamp,
                        outcome,
                        refusal,
                        load,
                    }),
                    _,
                ) => {
                    self.entry.fleet.record_reply(peer, &stamp, &load);
                    return CallOutcome::Refused { outcome, refusal };
                }
                (Ok(CallReply::WrongIncarnation { .. }), None) => {
                    peer.load().mark_unreachable();
                    return CallOutcome::NotRun(upstream_lost("the sidecar was restarted"));
                }
                (Ok(CallReply::Behind { stamp }), None) => {
                    self.entry.subscriber.observe(&stamp);
                    return CallOutcome::NotRun(upstream_lost(
                        "the sidecar has not reached this table version",
                    ));
                }
                (Err(CallError::NotSent(cause)), None) => {
                    peer.load().mark_unreachable();
                    return CallOutcome::NotRun(upstream_lost(&cause));
                }
                // The new incarnation doesn't know whether the previous one ran the call.
                (Ok(CallReply::WrongIncarnation { .. }), Some(cause)) => {
                    return CallOutcome::InDoubt(cause.clone());
                }
                (Err(CallError::Lost(cause)), _) => doubt = Some(cause),
                (Ok(CallReply::Behind { .. }) | Err(CallError::NotSent(_)), Some(_)) => {}
            }
            sleep(RESEND_PAUSE).await;
        }
    }

    fn request(
        &self,
        peer: &Peer,
        upstream: &UpstreamName,
        generation: GenerationId,
    ) -> CallRequest {
        CallRequest {
            stamp: self.entry.subscriber.stamp(),
            incarnation: peer.instance.incarnation,
            request: self.request_headers.request,
            generation,
            workspace: self.params.workspace.clone(),
            service: self.call.service.clone(),
            upstream: upstream.clone(),
            method: self.call.method.clone(),
            path_and_query: self.call.path_and_query.clone(),
            headers: self.call.headers.clone(),
            body: self.call.body.clone(),
            remaining_ms: self.params.remaining_ms(),
            repeatable: self.params.repeatable,
        }
    }
}

fn deadline_exceeded() -> Refusal {
    Refusal {
        code: RefusalCode::DeadlineExceeded,
        message: "the deadline passed before the call was sent".to_owned(),
        retry_after_ms: None,
    }
}

fn upstream_lost(cause: &str) -> Refusal {
    Refusal {
        code: RefusalCode::UpstreamLost,
        message: cause.to_owned(),
        retry_after_ms: Some(1_000),
    }
}
