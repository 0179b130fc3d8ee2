//! Claims on idempotency keys, so that a request runs at most once.

use std::sync::Arc;
use std::time::Duration;

use rand::random;
use xxhash_rust::xxh3::xxh3_64;

use super::core::Entry;
use super::failure::Failure;
use super::input::{Envelope, header};
use super::terms::Terms;
use crate::adapters::clock::unix_ms;
use crate::domain::ledger::parse_key;
use crate::domain::state::{ClaimAnswer, ClaimRefusal, Claimed, Command, KeyId, Response};
use crate::model::{GenerationId, InstanceRef, RefusalCode};

/// Limit of a claim; a leader election takes less than 5 s.
const CLAIM_LIMIT: Duration = Duration::from_secs(5);
/// Limit of a release that a new claim waits for.
const RELEASE_LIMIT: Duration = Duration::from_secs(2);

/// A key to claim before anything is sent.
#[derive(Debug, Clone)]
pub(super) struct ClaimKey {
    pub id: KeyId,
    /// Hash of everything that makes a request the same as its repeat.
    pub fingerprint: u64,
    /// False if the key was made here, for a request that may not be repeated. Such a request is
    /// sent once.
    pub is_callers: bool,
}

/// The answer to a claim.
pub(super) enum Claiming {
    Granted,
    Held { claimed: Claimed, finished: bool },
}

impl ClaimKey {
    /// Returns the key of a request: the caller's, or a new one if it may not be repeated.
    /// `parts` are what a repeat of the request has in common with it.
    pub fn of(
        envelope: &Envelope,
        terms: &Terms,
        parts: &[&[u8]],
    ) -> Result<Option<Self>, Failure> {
        let text = match &envelope.key {
            Some(text) => text.clone(),
            None if terms.repeatable => return Ok(None),
            None => format!("{}-{:032x}", unix_ms(), random::<u128>()),
        };
        let id = parse_key(&terms.workspace, &text)
            .map_err(|error| Failure::bad_input(&header("idempotency-key"), error))?;
        Ok(Some(Self {
            id,
            fingerprint: fingerprint(parts),
            is_callers: envelope.key.is_some(),
        }))
    }

    /// Claims the key for a generation at a sidecar. Fails if nothing may run.
    pub async fn claim(
        &self,
        entry: &Arc<Entry>,
        terms: &Terms,
        generation: GenerationId,
        sidecar: &InstanceRef,
    ) -> Result<Claiming, Failure> {
        let command = Command::Claim {
            key: self.id.clone(),
            fingerprint: self.fingerprint,
            claimed: Claimed {
                generation,
                sidecar: sidecar.clone(),
            },
            now_ms: unix_ms(),
        };
        let limit = CLAIM_LIMIT.min(Duration::from_millis(terms.remaining_ms()));
        match entry.subscriber.submit(&command, limit).await {
            Ok(Response::Claim(ClaimAnswer::Granted)) => Ok(Claiming::Granted),
            Ok(Response::Claim(ClaimAnswer::Held { claimed, finished })) => {
                Ok(Claiming::Held { claimed, finished })
            }
            Ok(Response::Claim(ClaimAnswer::Refused(refusal))) => Err(refused(&refusal)),
            Ok(_) => Err(undecided("control gave the answer to another command")),
            Err(error) => {
                // Nothing was sent under this generation, so its claim may go.
                self.release_later(entry, generation);
                Err(undecided(&error.to_string()))
            }
        }
    }

    /// Gives the claim of a generation up that has provably not run.
    pub async fn release(&self, entry: &Entry, generation: GenerationId) {
        let command = Command::Release {
            key: self.id.clone(),
            generation,
            now_ms: unix_ms(),
        };
        // If it fails, the next claim finds the tombstone of this generation and releases it.
        if let Err(error) = entry.subscriber.submit(&command, RELEASE_LIMIT).await {
            tracing::warn!(%generation, %error, "claim was not released");
        }
    }

    /// Gives the claim up while nobody waits.
    pub fn release_later(&self, entry: &Arc<Entry>, generation: GenerationId) {
        let (key, entry) = (self.clone(), Arc::clone(entry));
        tokio::spawn(async move { key.release(&entry, generation).await });
    }

    /// Records that the generation of the claim has ended.
    pub fn finish_later(&self, entry: &Arc<Entry>, generation: GenerationId) {
        let command = Command::Finish {
            key: self.id.clone(),
            generation,
            now_ms: unix_ms(),
        };
        let entry = Arc::clone(entry);
        tokio::spawn(async move {
            if let Err(error) = entry.subscriber.submit(&command, CLAIM_LIMIT).await {
                tracing::warn!(%generation, %error, "end of a claimed generation was not recorded");
            }
        });
    }
}

/// Hashes parts with their lengths, so that no two lists of parts run together.
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
