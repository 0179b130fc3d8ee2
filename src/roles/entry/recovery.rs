//! Recovery of streams that their sidecar no longer delivers, and resumption of streams by callers.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;

use super::attempt::{cancel, cancel_later};
use super::claim::ClaimKey;
use super::core::Entry;
use super::events::EventId;
use super::failure::Failure;
use super::fleet::Peer;
use super::generation::{Attempt, Generation, Job, Step};
use super::reader_buffer::Trouble;
use super::room::SlotGuard;
use crate::adapters::clock::monotonic_ms;
use crate::domain::state::Claimed;
use crate::model::{Incarnation, InstanceRef, Outcome, Refusal, RefusalCode};
use crate::rpc::sidecar::{
    CancelReply, Cursor, PollRequest, ReadoptReply, ReadoptRequest, StreamUpdate,
};

/// Time for which a stream waits for its sidecar before it is given up, unless a new attempt can
/// replace it sooner.
const RECOVERY_LIMIT_MS: u64 = 15_000;
/// Timeout of a readopt call, during which the sidecar asks its engine.
const READOPT_TIMEOUT: Duration = Duration::from_secs(3);
/// Pause between tries of a readopt, and between lookups of a claimed generation.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Timeout of a lookup, which the sidecar answers at once.
const LOOKUP_TIMEOUT: Duration = Duration::from_secs(1);
/// Number of lookups of a claimed generation before it is treated as orphaned: the request that
/// claimed the key may not have sent its start yet.
const ORPHAN_LOOKUPS: u32 = 4;
/// Timeout of the cancel that resolves an orphaned claim.
const ORPHAN_CANCEL_TIMEOUT: Duration = Duration::from_secs(3);

/// Handles a stream that its sidecar no longer delivers: continues to read it, starts a new
/// attempt, or fails. Returns `None` if reading continues.
pub(super) async fn recover(
    generation: &mut Generation,
    trouble: Trouble,
) -> Result<Option<Step>, Failure> {
    let peer = Arc::clone(&generation.attempt.peer);
    tracing::info!(request = %generation.job.request, generation = %generation.attempt.generation,
        sidecar = %peer.instance.name, ?trouble, offset = generation.delivered(),
        "sidecar no longer delivers the stream");
    let is_replaceable = !generation.is_shown()
        && generation.job.params.repeatable
        && generation.job.claim.is_none();
    if trouble == Trouble::Unreachable && is_replaceable {
        cancel_later(&generation.entry, &peer, generation.attempt.generation);
        return end_attempt(generation, "the sidecar does not answer").await;
    }
    let since_ms = *generation.lost_since_ms.get_or_insert_with(monotonic_ms);
    let give_up_at_ms = since_ms.saturating_add(RECOVERY_LIMIT_MS);
    let mut trouble = trouble;
    loop {
        let result = match &trouble {
            Trouble::Unknown => readopt(generation, &peer.instance).await,
            Trouble::Restarted(incarnation) => {
                let instance = InstanceRef {
                    name: peer.instance.name.clone(),
                    incarnation: *incarnation,
                };
                readopt(generation, &instance).await
            }
            Trouble::Unreachable => {
                let is_gone = generation
                    .entry
                    .fleet
                    .registered(&peer.instance.name)
                    .is_none();
                if is_gone || monotonic_ms() >= give_up_at_ms {
                    return end_attempt(generation, "the sidecar does not answer").await;
                }
                continue_reading(generation, &peer);
                return Ok(None);
            }
        };
        match result {
            ReadoptOutcome::Adopted => return Ok(None),
            ReadoptOutcome::Lost(cause) => return end_attempt(generation, &cause).await,
            ReadoptOutcome::Restarted(incarnation) => trouble = Trouble::Restarted(incarnation),
            ReadoptOutcome::NoAnswer(cause) if monotonic_ms() >= give_up_at_ms => {
                return end_attempt(generation, &cause).await;
            }
            ReadoptOutcome::NoAnswer(_) => sleep(RETRY_PAUSE).await,
        }
    }
}

/// The outcome of asking a sidecar to readopt a stream.
enum ReadoptOutcome {
    Adopted,
    Lost(String),
    /// The sidecar runs as another incarnation.
    Restarted(Incarnation),
    NoAnswer(String),
}

/// Ends an attempt whose stream can't be recovered; starts a new one if the retry rules allow it.
async fn end_attempt(generation: &mut Generation, cause: &str) -> Result<Option<Step>, Failure> {
    let refusal = Refusal {
        code: RefusalCode::UpstreamLost,
        message: cause.to_owned(),
        retry_after_ms: None,
    };
    generation.retry_or_fail(Outcome::Unknown, refusal).await
}

/// Continues to read the generation at a peer, from the last received token on.
fn continue_reading(generation: &mut Generation, peer: &Arc<Peer>) {
    let attempt = &mut generation.attempt;
    attempt.reader = peer.poller.read(
        attempt.generation,
        &generation.job.params.workspace,
        attempt.reader.cursor(),
    );
    attempt.peer = Arc::clone(peer);
}

/// Asks an incarnation of the sidecar to take over the stream from its engine.
async fn readopt(generation: &mut Generation, instance: &InstanceRef) -> ReadoptOutcome {
    let entry = Arc::clone(&generation.entry);
    let attempt = &generation.attempt;
    let address = entry
        .fleet
        .registered(&instance.name)
        .filter(|(registered, _)| registered == instance)
        .map_or(attempt.peer.address, |(_, address)| address);
    let peer = entry.fleet.peer(instance, address);
    let (Some(start), Some(origin)) = (&attempt.start, &attempt.origin) else {
        // Only the request that started the generation can ask for this, and it may already have
        // done so.
        return match attempt.start.is_none() && attempt.peer.instance != *instance {
            true => {
                continue_reading(generation, &peer);
                ReadoptOutcome::Adopted
            }
            false => ReadoptOutcome::Lost("the sidecar lost the stream".to_owned()),
        };
    };
    let request = ReadoptRequest {
        stamp: entry.subscriber.stamp(),
        incarnation: peer.instance.incarnation,
        origin: origin.clone(),
        start: start.as_ref().clone(),
        from_offset: attempt.reader.cursor(),
    };
    let answer = peer
        .calls
        .call(READOPT_TIMEOUT, |client, context| async move {
            client.readopt(context, request).await
        })
        .await;
    match answer {
        Ok(ReadoptReply::Adopted { stamp }) => {
            entry.subscriber.observe(&stamp);
            continue_reading(generation, &peer);
            ReadoptOutcome::Adopted
        }
        Ok(ReadoptReply::Lost { .. }) => {
            ReadoptOutcome::Lost("the engine lost the stream".to_owned())
        }
        Ok(ReadoptReply::WrongIncarnation { stamp }) => {
            ReadoptOutcome::Restarted(stamp.sender.incarnation)
        }
        Err(error) => ReadoptOutcome::NoAnswer(error.to_string()),
    }
}

/// The outcome of asking a sidecar whether it knows a generation.
enum Lookup {
    /// The sidecar knows the generation and sent these updates, or it did not answer.
    Readable(Vec<StreamUpdate>),
    /// It does not know the generation, or another workspace started it.
    Unknown,
    /// The sidecar runs as another incarnation.
    Restarted,
}

/// Asks a sidecar whether it knows a generation.
async fn lookup(entry: &Entry, peer: &Peer, cursor: &Cursor) -> Lookup {
    let request = PollRequest {
        stamp: entry.subscriber.stamp(),
        incarnation: peer.instance.incarnation,
        cursors: vec![cursor.clone()],
        hold_ms: 0,
    };
    let answer = peer
        .calls
        .call(LOOKUP_TIMEOUT, |client, context| async move {
            client.poll(context, request).await
        })
        .await;
    match answer {
        Ok(reply) => {
            entry.subscriber.observe(&reply.stamp);
            let is_restarted = reply.stamp.sender.incarnation != peer.instance.incarnation;
            match reply.updates.iter().any(|update| update.unknown) {
                _ if is_restarted => Lookup::Restarted,
                true => Lookup::Unknown,
                false => Lookup::Readable(reply.updates),
            }
        }
        Err(error) => {
            tracing::debug!(generation = %cursor.generation, %error,
                "sidecar did not answer whether it knows the generation");
            Lookup::Readable(Vec::new())
        }
    }
}

/// Attaches to the generation that holds a claim. Returns `None` if the generation has provably not
/// run and its claim was released, so that the key can be claimed again.
pub(super) async fn attach(
    entry: &Arc<Entry>,
    job: &Job,
    claim: &ClaimKey,
    claimed: &Claimed,
    finished: bool,
) -> Result<Option<Attempt>, Failure> {
    let Some(peer) = entry.fleet.find(&entry.subscriber.view(), &claimed.sidecar) else {
        return Err(claim_outcome_unknown());
    };
    let cursor = Cursor {
        generation: claimed.generation,
        workspace: job.params.workspace.clone(),
        from_offset: 0,
    };
    for _ in 0..ORPHAN_LOOKUPS {
        match lookup(entry, &peer, &cursor).await {
            Lookup::Unknown => {}
            Lookup::Restarted => return Err(claim_outcome_unknown()),
            Lookup::Readable(updates) => {
                return Ok(Some(Attempt {
                    generation: cursor.generation,
                    reader: peer.poller.read_with(&cursor, &updates),
                    peer,
                    start: None,
                    origin: None,
                    owns_generation: false,
                }));
            }
        }
        if finished {
            return Err(Failure::unknown(
                RefusalCode::UpstreamLost,
                "the request of this key has ended; its answer is no longer kept",
            ));
        }
        sleep(RETRY_PAUSE).await;
    }
    match cancel(entry, &peer, claimed.generation, ORPHAN_CANCEL_TIMEOUT).await {
        Some(CancelReply::NotRun { .. }) => {
            claim.release(entry, claimed.generation).await;
            Ok(None)
        }
        _ => Err(claim_outcome_unknown()),
    }
}

/// Continues a generation after the last event that the caller received, at the sidecar incarnation
/// named in the event or at the one registered now.
pub(super) async fn resume(
    entry: &Arc<Entry>,
    job: Arc<Job>,
    id: &EventId,
) -> Result<Generation, Failure> {
    let interrupted = |message: &str| Failure::interrupted(RefusalCode::UpstreamLost, message);
    let view = entry.subscriber.view();
    let successor = || {
        let (instance, address) = entry.fleet.registered(&id.sidecar.name)?;
        Some(entry.fleet.peer(&instance, address))
    };
    let Some(peer) = entry.fleet.find(&view, &id.sidecar).or_else(successor) else {
        return Err(interrupted("the sidecar of the stream is gone"));
    };
    let cursor = Cursor {
        generation: id.generation,
        workspace: job.params.workspace.clone(),
        from_offset: id.offset,
    };
    let updates = match lookup(entry, &peer, &cursor).await {
        Lookup::Readable(updates) => updates,
        // The reader finds the other incarnation and continues there.
        Lookup::Restarted => Vec::new(),
        Lookup::Unknown => {
            return Err(interrupted(
                "the stream is not known: it was cancelled, or belongs to another workspace",
            ));
        }
    };
    let attempt = Attempt {
        generation: cursor.generation,
        reader: peer.poller.read_with(&cursor, &updates),
        peer,
        start: None,
        origin: None,
        owns_generation: true,
    };
    let adopted = adopt_slot(entry, &job, &id.entry);
    let mut generation = Generation::reading(entry, job, attempt, id.offset);
    generation.slot = adopted;
    Ok(generation)
}

/// Takes over the slot of a resumed generation if the entry that held it no longer responds. An
/// entry that is alive keeps the slot for as long as the generation is read.
///
/// The caller does not wait for this: the slot stays reserved for longer than the takeover takes.
fn adopt_slot(entry: &Arc<Entry>, job: &Job, from: &InstanceRef) -> Option<SlotGuard> {
    if from == entry.subscriber.me() || !job.params.needs_slot {
        return None;
    }
    let (workspace, kind) = (job.params.workspace.clone(), job.params.kind.clone());
    let adopting = (entry.room.adopt)(from.clone(), workspace, kind);
    let task = tokio::spawn(async move {
        match adopting.await {
            Ok(_slot) => std::future::pending().await,
            Err(refusal) => tracing::debug!(
                ?refusal,
                "slot of the resumed generation was not taken over"
            ),
        }
    });
    Some(SlotGuard::new(move || task.abort()))
}

fn claim_outcome_unknown() -> Failure {
    Failure::unknown(
        RefusalCode::UpstreamLost,
        "the sidecar that this key was claimed for cannot tell what became of the request",
    )
}
