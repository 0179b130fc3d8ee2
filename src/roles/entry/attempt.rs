//! One attempt at a sidecar: sent, refused, or in doubt.

use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::time::sleep;

use super::core::Entry;
use super::fleet::Peer;
use crate::adapters::clock::monotonic_ms;
use crate::model::{GenerationId, Refusal, RefusalCode};
use crate::rpc::CallError;
use crate::rpc::sidecar::{CancelReply, CancelRequest, StartReply, StartRequest};

/// Limit of a call that the sidecar answers at once; longer than the time in which a silent
/// connection is given up.
const CALL_LIMIT: Duration = Duration::from_millis(2_500);
/// Times that a start without an answer is repeated with the same generation, if the request may
/// not run again elsewhere.
const START_REPEATS: u32 = 3;
/// Pause before a repeat.
const REPEAT_PAUSE: Duration = Duration::from_millis(50);
/// A stream that nobody polled for this long is not read: a poll is held for 2 s at most.
const UNREAD_MS: u64 = 2_500;
/// Time between looks whether a stream that a caller has left is read.
const UNREAD_CHECK: Duration = Duration::from_secs(1);
/// Limit of a cancel whose answer decides what the caller is told.
const PROOF_LIMIT: Duration = Duration::from_millis(500);

/// What is known of a start.
#[derive(Debug)]
pub(super) enum Sent {
    Accepted,
    /// Never sent, refused, or a confirmed tombstone.
    NotRun(Refusal),
    /// The sidecar may have started it.
    Doubt(String),
}

/// Starts a generation. A start without an answer is repeated with the same generation, which the
/// sidecar answers as it did first; a request that may run again goes elsewhere sooner.
pub(super) async fn start(
    entry: &Entry,
    peer: &Peer,
    request: &StartRequest,
    runs_again: bool,
) -> Sent {
    let tokens = u64::from(request.prompt_tokens) + u64::from(request.max_tokens);
    peer.load().note_sent(&request.upstream, tokens);
    let repeats = match runs_again {
        true => 0,
        false => START_REPEATS,
    };
    let sent = send(entry, peer, request, repeats).await;
    peer.load().note_answered(&request.upstream, tokens);
    match sent {
        Sent::Doubt(cause) => resolve(entry, peer, request.generation, cause).await,
        sent => sent,
    }
}

async fn send(entry: &Entry, peer: &Peer, request: &StartRequest, repeats: u32) -> Sent {
    let deadline_at_ms = monotonic_ms().saturating_add(request.remaining_ms);
    let mut doubt: Option<String> = None;
    for _ in 0..=repeats {
        let mut request = request.clone();
        request.stamp = entry.subscriber.stamp();
        request.remaining_ms = deadline_at_ms.saturating_sub(monotonic_ms());
        if request.remaining_ms == 0 {
            break;
        }
        let limit = CALL_LIMIT.min(Duration::from_millis(request.remaining_ms));
        let answer = peer
            .calls
            .call(limit, |client, context| async move {
                client.start(context, request).await
            })
            .await;
        match (answer, &doubt) {
            (Ok(StartReply::Accepted { stamp, load }), _) => {
                entry.fleet.note(peer, &stamp, &load);
                return Sent::Accepted;
            }
            (
                Ok(StartReply::Refused {
                    stamp,
                    refusal,
                    load,
                }),
                _,
            ) => {
                entry.fleet.note(peer, &stamp, &load);
                return Sent::NotRun(refusal);
            }
            (Ok(StartReply::WrongIncarnation { stamp }), None) => {
                entry.subscriber.observe(&stamp);
                peer.load().note_unreachable();
                return Sent::NotRun(lost("the sidecar was restarted"));
            }
            (Ok(StartReply::Behind { stamp }), None) => {
                entry.subscriber.observe(&stamp);
                return Sent::NotRun(Refusal {
                    code: RefusalCode::StaleTable,
                    message: "the sidecar has not reached this table version".to_owned(),
                    retry_after_ms: Some(1_000),
                });
            }
            (Err(CallError::NotSent(cause)), None) => {
                peer.load().note_unreachable();
                return Sent::NotRun(lost(&cause));
            }
            // Another incarnation cannot tell what the former one did.
            (Ok(StartReply::WrongIncarnation { .. }), Some(cause)) => {
                return Sent::Doubt(cause.clone());
            }
            (Err(CallError::Lost(cause)), _) => doubt = Some(cause),
            (Ok(StartReply::Behind { .. }) | Err(CallError::NotSent(_)), Some(_)) => {}
        }
        sleep(REPEAT_PAUSE).await;
    }
    match doubt {
        Some(cause) => Sent::Doubt(cause),
        None => Sent::NotRun(Refusal {
            code: RefusalCode::DeadlineExceeded,
            message: "the deadline passed before the request was sent".to_owned(),
            retry_after_ms: None,
        }),
    }
}

/// Asks for a tombstone, which proves that a doubtful start has not run and will not.
async fn resolve(entry: &Entry, peer: &Peer, generation: GenerationId, cause: String) -> Sent {
    peer.load().note_unreachable();
    match cancel(entry, peer, generation, PROOF_LIMIT).await {
        Some(CancelReply::NotRun { .. }) => Sent::NotRun(lost(&cause)),
        _ => Sent::Doubt(cause),
    }
}

/// Cancels a generation; returns none if the sidecar did not answer.
pub(super) async fn cancel(
    entry: &Entry,
    peer: &Peer,
    generation: GenerationId,
    limit: Duration,
) -> Option<CancelReply> {
    cancel_if_unread(entry, peer, generation, None, limit).await
}

/// Cancels a generation unless somebody read it within the last `unread_ms`; returns none if the
/// sidecar did not answer.
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
            tracing::debug!(%generation, %error, "cancel was not answered");
            None
        }
    }
}

/// Waits until a generation that a caller has left has ended, and cancels it once nobody reads it,
/// here or through another entry. Gives up after `limit`.
pub(super) async fn cancel_when_unread(
    entry: &Entry,
    peer: &Peer,
    generation: GenerationId,
    limit: Duration,
) {
    let end = Instant::now() + limit;
    while Instant::now() < end {
        if !peer.poller.is_read(generation) {
            let unread_ms = Some(UNREAD_MS);
            match cancel_if_unread(entry, peer, generation, unread_ms, CALL_LIMIT).await {
                Some(CancelReply::Read { .. }) | None => {}
                Some(_) => return,
            }
        }
        tokio::time::sleep(UNREAD_CHECK).await;
    }
}

/// Cancels a generation whose outcome no caller waits for.
pub(super) fn cancel_later(entry: &Arc<Entry>, peer: &Arc<Peer>, generation: GenerationId) {
    let entry = Arc::clone(entry);
    let peer = Arc::clone(peer);
    tokio::spawn(async move {
        cancel(&entry, &peer, generation, CALL_LIMIT).await;
    });
}

fn lost(cause: &str) -> Refusal {
    Refusal {
        code: RefusalCode::UpstreamLost,
        message: cause.to_owned(),
        retry_after_ms: Some(1_000),
    }
}
