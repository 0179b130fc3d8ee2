//! Claims on idempotency keys, so that a request runs at most once.

use std::sync::Arc;
use std::time::Duration;

use rand::random;
use xxhash_rust::xxh3::xxh3_64;

use super::core::Entry;
use super::failure::Failure;
use super::input::{RequestHeaders, header};
use super::params::RequestParams;
use crate::adapters::clock::unix_ms;
use crate::domain::ledger::parse_key;
use crate::domain::state::{ClaimAnswer, ClaimRefusal, Claimed, Command, KeyId, Response};
use crate::model::{GenerationId, InstanceRef, RefusalCode};

/// Timeout of a claim; long enough for a leader election, which takes less than 5 s.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(5);
/// Timeout of a release; a retry waits for it before it claims the key again.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(2);

/// An idempotency key that is claimed before the request is sent to a sidecar.
#[derive(Debug, Clone)]
pub(super) struct ClaimKey {
    pub id: KeyId,
    /// Hash of the parts that are the same in a request and in its repeats.
    pub fingerprint: u64,
    /// True if the caller gave the key. False if the entry made it, for a request without a key
    /// that may not be repeated; such a request is sent only once.
    pub from_caller: bool,
}

/// The answer to a claim.
pub(super) enum ClaimOutcome {
    Granted,
    Held { claimed: Claimed, finished: bool },
}

impl ClaimKey {
    /// Returns the caller's key, or a new one if the request has none and may not be repeated, or
    /// `None` if it has none and may be repeated. `parts` are hashed to recognize a repeat.
    pub fn of(
        request_headers: &RequestHeaders,
        params: &RequestParams,
        parts: &[&[u8]],
    ) -> Result<Option<Self>, Failure> {
        let text = match &request_headers.idempotency_key {
            Some(text) => text.clone(),
            None if params.repeatable => return Ok(None),
            None => format!("{}-{:032x}", unix_ms(), random::<u128>()),
        };
        let id = parse_key(&params.workspace, &text)
            .map_err(|error| Failure::bad_input(&header("idempotency-key"), error))?;
        Ok(Some(Self {
            id,
            fingerprint: fingerprint(parts),
            from_caller: request_headers.idempotency_key.is_some(),
        }))
    }

    /// Claims the key for a generation at a sidecar. Fails if the claim was refused or is
    /// undecided; the request must not run then.
    pub async fn claim(
        &self,
        entry: &Arc<Entry>,
        params: &RequestParams,
        generation: GenerationId,
        sidecar: &InstanceRef,
    ) -> Result<ClaimOutcome, Failure> {
        let command = Command::Claim {
            key: self.id.clone(),
            fingerprint: self.fingerprint,
            claimed: Claimed {
                generation,
                sidecar: sidecar.clone(),
            },
            now_ms: unix_ms(),
        };
        let limit = CLAIM_TIMEOUT.min(Duration::from_millis(params.remaining_ms()));
        match entry.subscriber.submit(&command, limit).await {
            Ok(Response::Claim(ClaimAnswer::Granted)) => Ok(ClaimOutcome::Granted),
            Ok(Response::Claim(ClaimAnswer::Held { claimed, finished })) => {
                Ok(ClaimOutcome::Held { claimed, finished })
            }
            Ok(Response::Claim(ClaimAnswer::Refused(refusal))) => Err(refused(&refusal)),
            Ok(_) => Err(undecided("control gave the answer to another command")),
            Err(error) => {
                // The claim may have been recorded, but nothing was sent under this generation.
                self.release_later(entry, generation);
                Err(undecided(&error.to_string()))
            }
        }
    }

    /// Releases the claim of a generation that has provably not run.
    pub async fn release(&self, entry: &Entry, generation: GenerationId) {
        let command = Command::Release {
            key: self.id.clone(),
            generation,
            now_ms: unix_ms(),
        };
        // If the release fails, the next claim of the key finds the tombstone of this generation
        // and releases it.
        if let Err(error) = entry.subscriber.submit(&command, RELEASE_TIMEOUT).await {
            tracing::warn!(%generation, %error,
                "failed to release the claim on an idempotency key");
        }
    }

    /// Releases the claim in the background.
    pub fn release_later(&self, entry: &Arc<Entry>, generation: GenerationId) {
        let (key, entry) = (self.clone(), Arc::clone(entry));
        tokio::spawn(async move { key.release(&entry, generation).await });
    }

    /// Records in the background that the generation of the claim has ended.
    pub fn finish_later(&self, entry: &Arc<Entry>, generation: GenerationId) {
        let command = Command::Finish {
            key: self.id.clone(),
            generation,
            now_ms: unix_ms(),
        };
        let entry = Arc::clone(entry);
        tokio::spawn(async move {
            if let Err(error) = entry.subscriber.submit(&command, CLAIM_TIMEOUT).await {
                tracing::warn!(%generation, %error,
                    "failed to record the end of a claimed generation");
            }
        });
    }
}

/// Hashes each part with its length, so that moving bytes between parts changes the hash.
fn fingerprint(parts: &[&[u8]]) -> u64 {
    let mut bytes = Vec::new();
    for part in parts {
        bytes.extend_from_slice(&part.len().to_le_bytes());
        bytes.extend_from_slice(part);
    }
    xxh3_64(&bytes)
}

fn refused(refusal: &ClaimRefusal) -> Failure {
    let key = header("idempotency-key");
    match refusal {
        ClaimRefusal::Expired => Failure::not_run(
            RefusalCode::KeyExpired,
            format!("{key}: its time is older than the kept window"),
        ),
        ClaimRefusal::Future => Failure::not_run(
            RefusalCode::KeyExpired,
            format!("{key}: its time lies in the future"),
        ),
        ClaimRefusal::OtherBody => Failure::not_run(
            RefusalCode::KeyConflict,
            format!("{key}: was used with another body"),
        ),
        ClaimRefusal::Released => undecided("the claim was released meanwhile"),
        ClaimRefusal::Full => Failure::not_run(
            RefusalCode::Overload,
            "the ledger holds as many claims as it may",
        ),
    }
}

fn undecided(cause: &str) -> Failure {
    Failure::not_run(
        RefusalCode::ClaimUndecided,
        format!("the claim on the idempotency key is not decided: {cause}"),
    )
}
