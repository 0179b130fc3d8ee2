//! Randomised runs of claims against a reference implementation, and tests of key parsing.

mod state_support;

use std::collections::{BTreeMap, BTreeSet};

use lilacspindle::domain::ledger::{KeyError, Ledger, MAX_CLAIMS, parse_key};
use lilacspindle::domain::state::{
    ClaimAnswer, ClaimRefusal, Claimed, Command, KeyId, Response, State,
};
use lilacspindle::model::{GenerationId, Incarnation, InstanceRef};
use state_support::{Source, check, seeds};

const KEY_RETENTION_MS: u64 = 600_000;

/// Reference implementation of the ledger that never removes a record.
#[derive(Default)]
struct ReferenceLedger {
    now_ms: u64,
    granted: BTreeMap<KeyId, Claimed>,
    finished: BTreeSet<KeyId>,
    released: BTreeSet<(KeyId, GenerationId)>,
    fingerprints: BTreeMap<KeyId, u64>,
}

impl ReferenceLedger {
    fn is_kept(&self, key: &KeyId) -> bool {
        let age_ms = self.now_ms.saturating_sub(key.created_at_ms);
        age_ms <= KEY_RETENTION_MS && key.created_at_ms <= self.now_ms + 60_000
    }

    fn holds(&self, key: &KeyId, generation: GenerationId) -> bool {
        let holder = self.granted.get(key);
        holder.is_some_and(|holder| holder.generation == generation)
    }

    fn claim(&mut self, key: &KeyId, fingerprint: u64, claimed: &Claimed) -> ClaimAnswer {
        if key.created_at_ms > self.now_ms + 60_000 {
            return ClaimAnswer::Refused(ClaimRefusal::Future);
        }
        if !self.is_kept(key) {
            return ClaimAnswer::Refused(ClaimRefusal::Expired);
        }
        if self
            .fingerprints
            .get(key)
            .is_some_and(|first| *first != fingerprint)
        {
            return ClaimAnswer::Refused(ClaimRefusal::OtherBody);
        }
        if self.released.contains(&(key.clone(), claimed.generation)) {
            return ClaimAnswer::Refused(ClaimRefusal::Released);
        }
        let finished = self.finished.contains(key);
        match self.granted.get(key) {
            Some(holder) if holder == claimed && !finished => ClaimAnswer::Granted,
            Some(holder) => ClaimAnswer::Held {
                claimed: holder.clone(),
                finished,
            },
            None => {
                self.granted.insert(key.clone(), claimed.clone());
                self.fingerprints.insert(key.clone(), fingerprint);
                ClaimAnswer::Granted
            }
        }
    }

    fn apply(&mut self, command: &Command) -> Option<ClaimAnswer> {
        self.now_ms = self.now_ms.max(command.now_ms());
        match command {
            Command::Claim {
                key,
                fingerprint,
                claimed,
                ..
            } => {
                return Some(self.claim(key, *fingerprint, claimed));
            }
            Command::Finish {
                key, generation, ..
            } if self.is_kept(key) && self.holds(key, *generation) => {
                self.finished.insert(key.clone());
            }
            Command::Release {
                key, generation, ..
            } if self.is_kept(key) => {
                let holds = self.holds(key, *generation);
                if holds && self.finished.contains(key) {
                    return None;
                }
                if holds {
                    self.granted.remove(key);
                }
                self.released.insert((key.clone(), *generation));
            }
            _ => {}
        }
        None
    }
}

/// Guards against two generations running under one key, and against claims that are lost or
/// granted again, with duplicated and reordered commands, proposers whose clocks lag, and restored
/// snapshots.
#[test]
fn claims_match_the_reference() {
    let (mut grants, mut held) = (0, 0);
    for seed in seeds() {
        let mut source = Source::new(seed);
        let (mut state, mut reference) = (State::default(), ReferenceLedger::default());
        let mut delayed: Vec<Command> = Vec::new();
        // For each key, the generation that was granted last and has not been released.
        let mut running: BTreeMap<KeyId, GenerationId> = BTreeMap::new();
        for index in 1..=4_000 {
            source.now_ms += if source.chance(1) { 90_000 } else { 300 };
            let mut command = source.ledger_command();
            if source.chance(30) && !delayed.is_empty() {
                let position = usize::try_from(index).unwrap() % delayed.len();
                command = delayed[position].clone();
            }
            if source.chance(2) {
                state = State::restore(&state.snapshot()).unwrap();
            }
            let (response, _) = state.apply(index, &command);
            let expected = reference.apply(&command);
            match (&command, response) {
                (Command::Claim { key, claimed, .. }, Response::Claim(answer)) => {
                    assert_eq!(Some(&answer), expected.as_ref(), "seed {seed}: {command:?}");
                    held += usize::from(matches!(answer, ClaimAnswer::Held { .. }));
                    if answer == ClaimAnswer::Granted {
                        grants += 1;
                        let first = running.insert(key.clone(), claimed.generation);
                        let alone = first.is_none_or(|first| first == claimed.generation);
                        assert!(alone, "seed {seed}: two generations run under {key:?}");
                    }
                }
                (
                    Command::Release {
                        key, generation, ..
                    },
                    _,
                ) => {
                    let ended = reference.finished.contains(key);
                    if !ended && running.get(key) == Some(generation) {
                        running.remove(key);
                    }
                }
                _ => {}
            }
            delayed.push(command);
            if delayed.len() > 60 {
                delayed.remove(0);
            }
        }
        let kept = reference
            .fingerprints
            .keys()
            .filter(|key| reference.is_kept(key))
            .count();
        assert!(
            state.ledger().len() >= kept,
            "seed {seed}: a claim was lost"
        );
    }
    assert!(
        grants > 1_000 && held > 1_000,
        "{grants} grants, {held} held"
    );
}

/// Guards against keys that are parsed with a wrong creation time, or accepted without one.
#[test]
fn keys_are_parsed_with_their_creation_time() {
    let parse = |text: &str| parse_key(&"w".into(), text).map(|key| key.created_at_ms);
    assert_eq!(
        parse("017F22E2-79B0-7CC3-98C4-DC0C0C07398F"),
        Ok(0x017F_22E2_79B0)
    );
    assert_eq!(parse("1700000000000-scan-7"), Ok(1_700_000_000_000));
    assert_eq!(
        parse("919108f7-52d1-4320-9bac-f847db4148a8"),
        Err(KeyError::WrongUuidVersion)
    );
    assert_eq!(
        parse("17000000-0000-4000-8000-000000000000"),
        Err(KeyError::WrongUuidVersion)
    );
    assert_eq!(parse(""), Err(KeyError::Empty));
    assert_eq!(parse("1700000000-seconds"), Err(KeyError::NoTime));
    assert_eq!(parse("1700000000000-"), Err(KeyError::NoTime));
    assert_eq!(parse("+700000000000-x"), Err(KeyError::NoTime));
    assert_eq!(
        parse("1700000000000-a b"),
        Err(KeyError::BadCharacter { offset: 15 })
    );
    assert_eq!(
        parse(&"1".repeat(129)),
        Err(KeyError::TooLong { bytes: 129 })
    );
    let ascii_only = |text: String| parse_key(&"w".into(), &text).is_ok() <= text.is_ascii();
    check(ascii_only as fn(String) -> bool);
}

fn fresh_claim(number: u64, created_at_ms: u64) -> (KeyId, Claimed) {
    let claimed = Claimed {
        generation: GenerationId(number.into()),
        sidecar: InstanceRef {
            name: "i".into(),
            incarnation: Incarnation(1),
        },
    };
    let text = format!("{created_at_ms}-{number}");
    (parse_key(&"w".into(), &text).unwrap(), claimed)
}

/// Guards against unbounded memory, and records that are kept after their retention period.
#[test]
fn the_number_of_claims_is_bounded() {
    let now_ms = 1_700_000_000_000;
    let mut ledger = Ledger::default();
    for number in 0..MAX_CLAIMS as u64 {
        let (key, claimed) = fresh_claim(number, now_ms);
        assert_eq!(
            ledger.claim(&key, 1, &claimed, now_ms),
            ClaimAnswer::Granted
        );
    }
    let (first, claimed) = fresh_claim(0, now_ms);
    let (more, other) = fresh_claim(u64::MAX, now_ms);
    let full = ClaimAnswer::Refused(ClaimRefusal::Full);
    assert_eq!(ledger.claim(&more, 1, &other, now_ms), full);
    ledger.release(&more, other.generation, now_ms);
    assert_eq!(ledger.len(), MAX_CLAIMS);
    assert_eq!(
        ledger.claim(&first, 1, &claimed, now_ms),
        ClaimAnswer::Granted,
        "keys with a record are still granted"
    );
    ledger.expire(now_ms + KEY_RETENTION_MS);
    assert_eq!(ledger.len(), MAX_CLAIMS);
    ledger.expire(now_ms + KEY_RETENTION_MS + 1);
    assert!(ledger.is_empty());
}

/// Guards against a proposer with a wrong clock that makes the keys of all others expire.
#[test]
fn a_clock_far_ahead_is_limited_by_the_leader() {
    let now_ms = 1_700_000_000_000;
    let (key, claimed) = fresh_claim(1, now_ms);
    let mut ahead = Command::Finish {
        key: key.clone(),
        generation: claimed.generation,
        now_ms: now_ms + 86_400_000,
    };
    ahead.limit_now_ms(now_ms + 60_000);
    let mut state = State::default();
    state.apply(1, &ahead);
    let claim = Command::Claim {
        key,
        fingerprint: 1,
        claimed,
        now_ms,
    };
    assert_eq!(
        state.apply(2, &claim).0,
        Response::Claim(ClaimAnswer::Granted)
    );
}
