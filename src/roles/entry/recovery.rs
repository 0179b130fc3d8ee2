//! Streams that their sidecar no longer brings: taken back from the engine, or ended.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::{sleep, timeout};

use super::attempt::{cancel, cancel_later};
use super::claim::ClaimKey;
use super::core::Entry;
use super::events::EventId;
use super::failure::Failure;
use super::fleet::Peer;
use super::generation::{Attempt, Generation, Job, Step};
use super::inbox::Trouble;
use super::room::SlotGuard;
use crate::adapters::clock::monotonic_ms;
use crate::domain::state::Claimed;
use crate::model::{Incarnation, InstanceRef, Outcome, Refusal, RefusalCode};
use crate::rpc::sidecar::{CancelReply, ReadoptReply, ReadoptRequest};

/// Time that a stream whose tokens were shown waits for its sidecar.
const RECOVERY_LIMIT_MS: u64 = 15_000;
/// Limit of one readopt; the sidecar asks its engine.
const READOPT_LIMIT: Duration = Duration::from_secs(3);
/// Pause between tries.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Time in which a sidecar says that it does not know a generation. A poll that is held longer
/// means that it knows it.
const KNOWN_LIMIT: Duration = Duration::from_millis(300);
/// Looks for a claimed generation before it counts as an orphan: its holder may be about to start.
const ORPHAN_LOOKS: u32 = 4;
/// Limit of the cancel that resolves an orphan.
const ORPHAN_LIMIT: Duration = Duration::from_secs(3);

/// Goes on after trouble: reads on, starts a new attempt, or fails.
pub(super) async fn recover(
    generation: &mut Generation,
    trouble: Trouble,
) -> Result<Option<Step>, Failure> {
    let peer = Arc::clone(&generation.attempt.peer);
    tracing::info!(request = %generation.job.request, generation = %generation.attempt.generation,
        sidecar = %peer.instance.name, ?trouble, offset = generation.given(), "stream is lost");
    let is_replaceable =
        !generation.is_shown() && generation.job.terms.repeatable && generation.job.claim.is_none();
    if trouble == Trouble::Unreachable && is_replaceable {
        cancel_later(&generation.entry, &peer, generation.attempt.generation);
        return lost(generation, "the sidecar does not answer").await;
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
                    return lost(generation, "the sidecar does not answer").await;
                }
                read_on(generation, &peer);
                return Ok(None);
            }
        };
        match result {
            Readopted::Adopted => return Ok(None),
            Readopted::Lost(cause) => return lost(generation, &cause).await,
            Readopted::Restarted(incarnation) => trouble = Trouble::Restarted(incarnation),
            Readopted::NoAnswer(cause) if monotonic_ms() >= give_up_at_ms => {
                return lost(generation, &cause).await;
            }
            Readopted::NoAnswer(_) => sleep(RETRY_PAUSE).await,
        }
    }
}

enum Readopted {
    Adopted,
    Lost(String),
    Restarted(Incarnation),
    NoAnswer(String),
}

/// Ends an attempt whose stream will not come back.
async fn lost(generation: &mut Generation, cause: &str) -> Result<Option<Step>, Failure> {
    let refusal = Refusal {
        code: RefusalCode::UpstreamLost,
        message: cause.to_owned(),
        retry_after_ms: None,
    };
    generation.replace(Outcome::Unknown, refusal).await
}

/// Reads the generation at a peer from what was handed out on.
fn read_on(generation: &mut Generation, peer: &Arc<Peer>) {
    let attempt = &mut generation.attempt;
    attempt.reader = peer.poller.read(
        attempt.generation,
        &generation.job.terms.workspace,
        attempt.reader.cursor(),
    );
    attempt.peer = Arc::clone(peer);
}

/// Asks an incarnation to take the stream back from its engine.
async fn readopt(generation: &mut Generation, instance: &InstanceRef) -> Readopted {
    let entry = Arc::clone(&generation.entry);
    let attempt = &generation.attempt;
    let address = entry
        .fleet
        .registered(&instance.name)
        .filter(|(registered, _)| registered == instance)
        .map_or(attempt.peer.address, |(_, address)| address);
    let peer = entry.fleet.peer(instance, address);
    let (Some(start), Some(origin)) = (&attempt.start, &attempt.origin) else {
        // The request that started the generation may have had it taken back.
        return match attempt.start.is_none() && attempt.peer.instance != *instance {
            true => {
                read_on(generation, &peer);
                Readopted::Adopted
            }
            false => Readopted::Lost("the sidecar lost the stream".to_owned()),
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
        .call(READOPT_LIMIT, |client, context| async move {
            client.readopt(context, request).await
        })
        .await;
    match answer {
        Ok(ReadoptReply::Adopted { stamp }) => {
            entry.subscriber.observe(&stamp);
            read_on(generation, &peer);
            Readopted::Adopted
        }
        Ok(ReadoptReply::Lost { .. }) => Readopted::Lost("the engine lost the stream".to_owned()),
        Ok(ReadoptReply::WrongIncarnation { stamp }) => {
            Readopted::Restarted(stamp.sender.incarnation)
        }
        Err(error) => Readopted::NoAnswer(error.to_string()),
    }
}

/// Reads the generation that holds a claim. Returns none if it has provably not run and the claim
/// was given up, so that the key may be claimed again.
pub(super) async fn attach(
    entry: &Arc<Entry>,
    job: &Job,
    claim: &ClaimKey,
    claimed: &Claimed,
    finished: bool,
) -> Result<Option<Attempt>, Failure> {
    let Some(peer) = entry.fleet.find(&entry.subscriber.view(), &claimed.sidecar) else {
        return Err(gone());
    };
    for _ in 0..ORPHAN_LOOKS {
        let reader = peer
            .poller
            .read(claimed.generation, &job.terms.workspace, 0);
        match timeout(KNOWN_LIMIT, reader.wait()).await {
            Ok(Some(Trouble::Unknown)) => {}
            Ok(Some(Trouble::Restarted(_))) => return Err(gone()),
            Ok(_) | Err(_) => {
                return Ok(Some(Attempt {
                    generation: claimed.generation,
                    peer,
                    start: None,
                    reader,
                    origin: None,
                    is_ours: false,
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
    match cancel(entry, &peer, claimed.generation, ORPHAN_LIMIT).await {
        Some(CancelReply::NotRun { .. }) => {
            claim.release(entry, claimed.generation).await;
            Ok(None)
        }
        _ => Err(gone()),
    }
}

/// Reads a generation on from what the caller has, at the sidecar that the caller names or at its
/// successor.
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
    let workspace = &job.terms.workspace;
    let reader = peer.poller.read(id.generation, workspace, id.offset);
    if let Ok(Some(Trouble::Unknown)) = timeout(KNOWN_LIMIT, reader.wait()).await {
        return Err(interrupted(
            "the stream is not known: it was cancelled, or belongs to another workspace",
        ));
    }
    let attempt = Attempt {
        generation: id.generation,
        peer,
        start: None,
        reader,
        origin: None,
        is_ours: true,
    };
    let adopted = adopt_slot(entry, &job, &id.entry);
    let mut generation = Generation::reading(entry, job, attempt, id.offset);
    generation.slot = adopted;
    Ok(generation)
}

/// Moves the slot of a resumed generation here if the entry that held it has fallen silent. An
/// entry that is alive keeps the slot for as long as the generation is read.
///
/// The caller does not wait: the broker keeps the slot reserved for longer than the move takes.
fn adopt_slot(entry: &Arc<Entry>, job: &Job, from: &InstanceRef) -> Option<SlotGuard> {
    if from == entry.subscriber.me() || !job.terms.limited_room {
        return None;
    }
    let (workspace, kind) = (job.terms.workspace.clone(), job.terms.kind.clone());
    let adopting = (entry.room.adopt)(from.clone(), workspace, kind);
    let task = tokio::spawn(async move {
        match adopting.await {
            Ok(_slot) => std::future::pending().await,
            Err(refusal) => tracing::debug!(?refusal, "the former entry keeps the slot"),
        }
    });
    Some(SlotGuard::new(move || task.abort()))
}

fn gone() -> Failure {
    Failure::unknown(
        RefusalCode::UpstreamLost,
        "the sidecar that this key was claimed for cannot tell what became of the request",
    )
}
