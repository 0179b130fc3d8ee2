//! Plain calls, passed through to a service.

use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::random;
use rocket::http::Status;
use tokio::time::sleep;

use super::attempt::{cancel, cancel_later};
use super::claim::{ClaimKey, Claiming};
use super::core::{Entry, Tries};
use super::failure::Failure;
use super::fleet::{Peer, Replica};
use super::generation::is_worth_repeating;
use super::input::Envelope;
use super::metrics::Recorder;
use super::reply::{Body, Reply};
use super::terms::{Terms, call_terms};
use crate::domain::retry::{Ended, Proof};
use crate::domain::route::Ask;
use crate::model::{GenerationId, Outcome, Refusal, RefusalCode, ServiceName, UpstreamName};
use crate::rpc::CallError;
use crate::rpc::sidecar::{CallReply, CallRequest, CancelReply, ServiceResponse};

/// Pause before the state of a call is asked for again.
const REPEAT_PAUSE: Duration = Duration::from_millis(50);
/// Time for which the state of a call that may not be repeated is asked for: a silent connection
/// is noticed and replaced within 3 s.
const DOUBT_LIMIT: Duration = Duration::from_secs(5);
/// The same for a call that may be repeated elsewhere.
const SHORT_DOUBT_LIMIT: Duration = Duration::from_millis(250);
/// Time kept of the deadline to ask for a tombstone.
const PROOF_LIMIT: Duration = Duration::from_millis(200);
/// Headers that concern one connection, are set anew, or hold a caller's secret for this system.
const NOT_PASSED_ON: [&str; 13] = [
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

/// A plain call as the caller sent it.
pub(super) struct PlainCall {
    pub service: ServiceName,
    pub method: String,
    pub path_and_query: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

/// Returns whether a header goes on to the service, or back to the caller.
pub(super) fn is_passed_on(name: &str) -> bool {
    let name = name.to_ascii_lowercase();
    !name.starts_with("lilac-") && !NOT_PASSED_ON.contains(&name.as_str())
}

/// What is known of one attempt.
enum Called {
    Response(ServiceResponse),
    Refused { outcome: Outcome, refusal: Refusal },
    NotRun(Refusal),
    Doubt(String),
}

/// Answers a plain call.
pub(super) async fn call(
    entry: &Arc<Entry>,
    envelope: &Envelope,
    call: PlainCall,
    recorder: &mut Recorder,
) -> Result<Reply, Failure> {
    let view = entry.subscriber.current().await?;
    let workspace = entry.fleet.workspace(&view, envelope)?;
    let terms = call_terms(&view, envelope, workspace, &call.service)?;
    recorder.set_lane(terms.lane);
    let parts: [&[u8]; 4] = [
        call.service.as_str().as_bytes(),
        call.method.as_bytes(),
        call.path_and_query.as_bytes(),
        &call.body,
    ];
    let claim = ClaimKey::of(envelope, &terms, &parts)?;
    let mut tries = Tries::default();
    let request = Request {
        entry,
        envelope,
        terms: &terms,
        call: &call,
        claim: claim.as_ref(),
    };
    match request.run(&mut tries).await {
        Ok(response) => {
            entry.note_success(&terms.workspace);
            Ok(reply(response))
        }
        Err(failure) => Err(tries.conclude(failure)),
    }
}

fn reply(response: ServiceResponse) -> Reply {
    let headers = response.headers.into_iter();
    Reply {
        status: Status::new(response.status),
        content_type: None,
        headers: headers.filter(|(name, _)| is_passed_on(name)).collect(),
        body: Body::Whole(response.body),
    }
}

struct Request<'a> {
    entry: &'a Arc<Entry>,
    envelope: &'a Envelope,
    terms: &'a Terms,
    call: &'a PlainCall,
    claim: Option<&'a ClaimKey>,
}

impl Request<'_> {
    async fn run(&self, tries: &mut Tries) -> Result<ServiceResponse, Failure> {
        loop {
            let view = self.entry.subscriber.current().await?;
            let replicas = self.entry.fleet.service(&view, &self.call.service);
            let ask = Ask {
                prompt_tokens: 0.0,
                prefix: None,
            };
            let replica = Entry::choose(&replicas, None, &ask, tries)?;
            let generation = GenerationId(random());
            if let Some(claim) = self.claim {
                let claiming = claim
                    .claim(self.entry, self.terms, generation, &replica.peer.instance)
                    .await?;
                if let Claiming::Held { claimed, .. } = claiming {
                    let found = self.entry.fleet.find(&view, &claimed.sidecar);
                    let Some(peer) = found else {
                        return Err(Failure::unknown(
                            RefusalCode::UpstreamLost,
                            "the sidecar that this key was claimed for is gone",
                        ));
                    };
                    // The holder may be about to send the call, so it must name an upstream that its
                    // sidecar has.
                    let holder = replicas
                        .replicas
                        .iter()
                        .find(|replica| replica.peer.instance == claimed.sidecar)
                        .unwrap_or(&replica);
                    return self
                        .repeat_claimed(peer, holder, claim, claimed.generation)
                        .await;
                }
            }
            let called = self.attempt(&replica, generation).await;
            if let Some(response) = self.conclude(tries, &replica, generation, called).await? {
                return Ok(response);
            }
        }
    }

    /// Returns whether the call may run more than once: no claim names one attempt of it.
    fn runs_again(&self) -> bool {
        self.terms.repeatable && self.claim.is_none()
    }

    /// Sends the call under the generation that holds the key: its sidecar answers with the first
    /// answer, or runs it now if it never arrived.
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
            Called::Response(response) => Ok(response),
            Called::Refused { outcome, refusal } => {
                // A tombstone stands under the claimed generation; without the release every
                // repeat of the key would be refused until the claim expires.
                if outcome == Outcome::NotRun {
                    claim.release_later(self.entry, generation);
                }
                Err(Failure::new(outcome, refusal))
            }
            // The first request may have run it.
            Called::NotRun(refusal) => Err(Failure::unknown(refusal.code, refusal.message)),
            Called::Doubt(cause) => Err(Failure::unknown(RefusalCode::UpstreamLost, cause)),
        }
    }

    /// Returns the response, or none if there is to be a new attempt.
    async fn conclude(
        &self,
        tries: &mut Tries,
        replica: &Replica,
        generation: GenerationId,
        called: Called,
    ) -> Result<Option<ServiceResponse>, Failure> {
        let (proof, failure) = match called {
            Called::Response(response) => {
                if let Some(claim) = self.claim {
                    claim.finish_later(self.entry, generation);
                }
                return Ok(Some(response));
            }
            Called::NotRun(refusal)
            | Called::Refused {
                outcome: Outcome::NotRun,
                refusal,
            } => (Proof::NotRun, Failure::from(refusal)),
            Called::Refused { outcome, refusal } => {
                (Proof::Stopped, Failure::new(outcome, refusal))
            }
            Called::Doubt(cause) => {
                cancel_later(self.entry, &replica.peer, generation);
                let code = match self.terms.remaining_ms() {
                    0 => RefusalCode::DeadlineExceeded,
                    _ => RefusalCode::UpstreamLost,
                };
                (Proof::Stopped, Failure::unknown(code, cause))
            }
        };
        tries.may_have_run |= proof == Proof::Stopped;
        let may_claim_again = self.claim.is_none_or(|claim| claim.is_callers);
        let is_repeated = may_claim_again && is_worth_repeating(failure.refusal.code);
        match (self.claim, proof) {
            (Some(claim), Proof::NotRun) if is_repeated => {
                claim.release(self.entry, generation).await;
            }
            (Some(claim), Proof::NotRun) => claim.release_later(self.entry, generation),
            (Some(claim), Proof::Stopped) => claim.finish_later(self.entry, generation),
            (None, _) => {}
        }
        if !is_repeated {
            return Err(failure);
        }
        let ended = Ended {
            proof,
            shown: false,
            runs_again: self.runs_again(),
            overloaded: failure.refusal.code == RefusalCode::Overload,
            overloaded_before: tries.overloaded,
        };
        self.entry
            .pause_before_retry(self.terms, tries, &ended, failure)
            .await?;
        Ok(None)
    }

    async fn attempt(&self, replica: &Replica, generation: GenerationId) -> Called {
        let peer = &replica.peer;
        peer.load().note_sent(&replica.upstream, 0);
        let called = self.send(peer, &replica.upstream, generation).await;
        peer.load().note_answered(&replica.upstream, 0);
        let Called::Doubt(cause) = called else {
            return called;
        };
        peer.load().note_unreachable();
        match cancel(self.entry, peer, generation, PROOF_LIMIT).await {
            Some(CancelReply::NotRun { .. }) => Called::NotRun(lost(&cause)),
            _ => Called::Doubt(cause),
        }
    }

    /// Sends the call. While it has no answer, its state is asked for by sending the same
    /// generation again, which never runs it a second time.
    async fn send(&self, peer: &Peer, upstream: &UpstreamName, generation: GenerationId) -> Called {
        let mut doubt: Option<String> = None;
        let mut doubted_at: Option<Instant> = None;
        let doubt_limit = match self.runs_again() {
            true => SHORT_DOUBT_LIMIT,
            false => DOUBT_LIMIT,
        };
        loop {
            if let Some(cause) = &doubt
                && doubted_at.get_or_insert_with(Instant::now).elapsed() >= doubt_limit
            {
                return Called::Doubt(cause.clone());
            }
            let remaining = Duration::from_millis(self.terms.remaining_ms());
            let Some(limit) = remaining
                .checked_sub(PROOF_LIMIT)
                .filter(|limit| !limit.is_zero())
            else {
                return doubt.map_or_else(|| Called::NotRun(too_late()), Called::Doubt);
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
                    self.entry.fleet.note(peer, &stamp, &load);
                    return Called::Response(response);
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
                    self.entry.fleet.note(peer, &stamp, &load);
                    return Called::Refused { outcome, refusal };
                }
                (Ok(CallReply::WrongIncarnation { .. }), None) => {
                    peer.load().note_unreachable();
                    return Called::NotRun(lost("the sidecar was restarted"));
                }
                (Ok(CallReply::Behind { stamp }), None) => {
                    self.entry.subscriber.observe(&stamp);
                    return Called::NotRun(lost("the sidecar has not reached this table version"));
                }
                (Err(CallError::NotSent(cause)), None) => {
                    peer.load().note_unreachable();
                    return Called::NotRun(lost(&cause));
                }
                // Another incarnation cannot tell what the former one did.
                (Ok(CallReply::WrongIncarnation { .. }), Some(cause)) => {
                    return Called::Doubt(cause.clone());
                }
                (Err(CallError::Lost(cause)), _) => doubt = Some(cause),
                (Ok(CallReply::Behind { .. }) | Err(CallError::NotSent(_)), Some(_)) => {}
            }
            sleep(REPEAT_PAUSE).await;
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
            request: self.envelope.request,
            generation,
            workspace: self.terms.workspace.clone(),
            service: self.call.service.clone(),
            upstream: upstream.clone(),
            method: self.call.method.clone(),
            path_and_query: self.call.path_and_query.clone(),
            headers: self.call.headers.clone(),
            body: self.call.body.clone(),
            remaining_ms: self.terms.remaining_ms(),
            repeatable: self.terms.repeatable,
        }
    }
}

fn too_late() -> Refusal {
    Refusal {
        code: RefusalCode::DeadlineExceeded,
        message: "the deadline passed before the call was sent".to_owned(),
        retry_after_ms: None,
    }
}

fn lost(cause: &str) -> Refusal {
    Refusal {
        code: RefusalCode::UpstreamLost,
        message: cause.to_owned(),
        retry_after_ms: Some(1_000),
    }
}
