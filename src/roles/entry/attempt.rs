//! One attempt to start a generation at a sidecar: accepted, refused, or in doubt.

use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::time::sleep;

use super::core::Entry;
use super::fleet::Peer;
use crate::adapters::clock::monotonic_ms;
use crate::model::{GenerationId, Refusal, RefusalCode};
use crate::rpc::CallError;
use crate::rpc::sidecar::{CancelReply, CancelRequest, StartReply, StartRequest};

/// Timeout of calls that the sidecar answers immediately; longer than the time after which a
/// silent connection is closed.
const CALL_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Number of times that an unanswered start is resent with the same generation identifier, if the
/// request may not run at another replica.
const START_RESENDS: u32 = 3;
/// Pause before an unanswered start is resent.
const RESEND_PAUSE: Duration = Duration::from_millis(50);
/// A generation that was not polled for this long has no reader: a poll is held for 2 s at most.
const UNREAD_LIMIT_MS: u64 = 2_500;
/// Interval of the checks whether a generation whose caller disconnected still has a reader.
const UNREAD_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of a cancel whose answer decides whether the caller gets `not_run`.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(500);

/// The outcome of a start request.
#[derive(Debug)]
pub(super) enum StartOutcome {
    Accepted,
    /// The generation was never sent, was refused, or is ruled out by a tombstone at the sidecar.
    NotRun(Refusal),
    /// The sidecar may have started the generation; holds the cause of the missing answer.
    InDoubt(String),
}

/// Starts a generation. An unanswered start is resent with the same generation identifier, which
/// the sidecar answers as it did the first time. A request that may run again isn't resent, so that
/// another replica is tried sooner.
pub(super) async fn start(
    entry: &Entry,
    peer: &Peer,
    request: &StartRequest,
    may_run_again: bool,
) -> StartOutcome {
    let tokens = u64::from(request.prompt_tokens) + u64::from(request.max_tokens);
    peer.load().record_sent(&request.upstream, tokens);
    let resends = match may_run_again {
        true => 0,
        false => START_RESENDS,
    };
    let sent = send(entry, peer, request, resends).await;
    peer.load().record_answered(&request.upstream, tokens);
    match sent {
        StartOutcome::InDoubt(cause) => {
            resolve_in_doubt(entry, peer, request.generation, cause).await
        }
        sent => sent,
    }
}

async fn send(entry: &Entry, peer: &Peer, request: &StartRequest, resends: u32) -> StartOutcome {
    let deadline_at_ms = monotonic_ms().saturating_add(request.remaining_ms);
    let mut doubt: Option<String> = None;
    for _ in 0..=resends {
        let mut request = request.clone();
        request.stamp = entry.subscriber.stamp();
        request.remaining_ms = deadline_at_ms.saturating_sub(monotonic_ms());
        if request.remaining_ms == 0 {
            break;
        }
        let limit = CALL_TIMEOUT.min(Duration::from_millis(request.remaining_ms));
        let answer = peer
            .calls
            .call(limit, |client, context| async move {
                client.start(context, request).await
            })
            .await;
        match (answer, &doubt) {
            (Ok(StartReply::Accepted { stamp, load }), _) => {
                entry.fleet.record_reply(peer, &stamp, &load);
                return StartOutcome::Accepted;
            }
            (
                Ok(StartReply::Refused {
                    stamp,
                    refusal,
                    load,
                }),
                _,
            ) => {
                entry.fleet.record_reply(peer, &stamp, &load);
                return StartOutcome::NotRun(refusal);
            }
            (Ok(StartReply::WrongIncarnation { stamp }), None) => {
                entry.subscriber.observe(&stamp);
                peer.load().mark_unreachable();
                return StartOutcome::NotRun(upstream_lost("the sidecar was restarted"));
            }
            (Ok(StartReply::Behind { stamp }), None) => {
                entry.subscriber.observe(&stamp);
                return StartOutcome::NotRun(Refusal {
                    code: RefusalCode::StaleTable,
                    message: "the sidecar has not reached this table version".to_owned(),
                    retry_after_ms: Some(1_000),
                });
            }
            (Err(CallError::NotSent(cause)), None) => {
                peer.load().mark_unreachable();
                return StartOutcome::NotRun(upstream_lost(&cause));
            }
            // The new incarnation doesn't know whether the previous one ran the generation.
            (Ok(StartReply::WrongIncarnation { .. }), Some(cause)) => {
                return StartOutcome::InDoubt(cause.clone());
            }
            (Err(CallError::Lost(cause)), _) => doubt = Some(cause),
            (Ok(StartReply::Behind { .. }) | Err(CallError::NotSent(_)), Some(_)) => {}
        }
        sleep(RESEND_PAUSE).await;
    }
    match doubt {
        Some(cause) => StartOutcome::InDoubt(cause),
        None => StartOutcome::NotRun(Refusal {
            code: RefusalCode::DeadlineExceeded,
            message: "the deadline passed before the request was sent".to_owned(),
            retry_after_ms: None,
        }),
    }
}

/// Cancels a start that is in doubt. If the sidecar answers with a tombstone, the generation has
/// not run and never will.
async fn resolve_in_doubt(
    entry: &Entry,
    peer: &Peer,
    generation: GenerationId,
    cause: String,
) -> StartOutcome {
    peer.load().mark_unreachable();
    match cancel(entry, peer, generation, CANCEL_TIMEOUT).await {
        Some(CancelReply::NotRun { .. }) => StartOutcome::NotRun(upstream_lost(&cause)),
        _ => StartOutcome::InDoubt(cause),
    }
}

/// Cancels a generation; returns `None` if the sidecar did not answer.
pub(super) async fn cancel(
    entry: &Entry,
    peer: &Peer,
    generation: GenerationId,
    limit: Duration,
) -> Option<CancelReply> {
    cancel_if_unread(entry, peer, generation, None, limit).await
}

/// Cancels a generation unless it was read within the last `unread_ms`; with `None` it is cancelled
/// in any case. Returns `None` if the sidecar did not answer.
async fn cancel_if_unread(
    entry: &Entry,
    peer: &Peer,
    generation: GenerationId,
    unread_ms: Option<u64>,
    limit: Duration,
) -> Option<CancelReply> {
    let request = CancelRequest {
        stamp: entry.subscriber.stamp(),
        incarnation: peer.instance.incarnation,
        generation,
        unread_ms,
    };
    let answer = peer
        .calls
        .call(limit, |client, context| async move {
            client.cancel(context, request).await
        })
        .await;
    match answer {
        Ok(reply) => Some(reply),
        Err(error) => {
            tracing::debug!(%generation, %error, "sidecar did not answer the cancel request");
            None
        }
    }
}

/// Cancels a generation whose caller disconnected as soon as no entry reads it any more. Returns
/// once the generation has ended or was cancelled, or after `limit`.
pub(super) async fn cancel_when_unread(
    entry: &Entry,
    peer: &Peer,
    generation: GenerationId,
    limit: Duration,
) {
    let end = Instant::now() + limit;
    while Instant::now() < end {
        if !peer.poller.is_read(generation) {
            let unread_ms = Some(UNREAD_LIMIT_MS);
            match cancel_if_unread(entry, peer, generation, unread_ms, CALL_TIMEOUT).await {
                Some(CancelReply::Read { .. }) | None => {}
                Some(_) => return,
            }
        }
        tokio::time::sleep(UNREAD_CHECK_INTERVAL).await;
    }
}

/// Cancels a generation in the background.
pub(super) fn cancel_later(entry: &Arc<Entry>, peer: &Arc<Peer>, generation: GenerationId) {
    let entry = Arc::clone(entry);
    let peer = Arc::clone(peer);
    tokio::spawn(async move {
        cancel(&entry, &peer, generation, CALL_TIMEOUT).await;
    });
}

fn upstream_lost(cause: &str) -> Refusal {
    Refusal {
        code: RefusalCode::UpstreamLost,
        message: cause.to_owned(),
        retry_after_ms: Some(1_000),
    }
}
