//! Placement of generations by the hub, with reservations.
//!
//! Answers the load of many entries that place at once: what each has placed reaches the others up
//! to 400 ms later, about the time in which a prompt is read. The hub counts a generation at its
//! engine from the moment of the reservation.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::choice::{Demand, waiting_ms};

/// A reservation that its entry has not reported in its loads counts for this long at most. Entries
/// sync every 200 ms, so that two lost calls in a row are borne.
const RESERVATION_KEPT_MS: u64 = 600;
/// Loads that were in flight when a reservation was made do not include it yet.
const LOADS_IN_FLIGHT_MS: u64 = 20;

/// An engine that a generation may run on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Candidate {
    pub identity: Arc<str>,
    /// What counts against the engine for this entry, beside its load: its zone, a cold start.
    pub penalty_ms: u64,
}

/// A generation that an entry wants to place.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementRequest {
    pub entry: Arc<str>,
    pub demand: Demand,
    /// How much of an engine's memory may be planned for.
    pub planned_tokens: u64,
    /// Generations that an engine runs at once.
    pub slots: u32,
    /// False for a generation that comes with its memory.
    pub reads_prompt: bool,
    pub candidates: Vec<Candidate>,
}

/// What runs at an engine, or is about to.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Usage {
    pub(super) running: u32,
    pub(super) committed_tokens: u64,
    pub(super) prefill_tokens: u64,
}

impl Usage {
    /// Adds what another source has there.
    pub(super) fn add(&mut self, other: Self) {
        self.running += other.running;
        self.committed_tokens += other.committed_tokens;
        self.prefill_tokens += other.prefill_tokens;
    }
}

#[derive(Debug, Clone)]
struct Reservation {
    entry: Arc<str>,
    usage: Usage,
    made_ms: u64,
}

/// The reservations that entries have not reported in their loads yet, by engine.
#[derive(Debug, Default)]
pub(super) struct Reservations {
    by_engine: BTreeMap<Arc<str>, Vec<Reservation>>,
}

impl Reservations {
    /// Returns the positions of the candidates with room, and the wait at each. `usage` returns what
    /// entries have reported of an engine, or none if it takes nothing new.
    pub(super) fn with_room(
        &self,
        request: &PlacementRequest,
        usage: impl Fn(&str) -> Option<Usage>,
        now_ms: u64,
    ) -> Vec<(usize, u64)> {
        let fitting = request
            .candidates
            .iter()
            .enumerate()
            .filter_map(|(at, candidate)| {
                let mut total = usage(&candidate.identity)?;
                total.add(self.reserved(&candidate.identity, None, now_ms));
                let needed = total.committed_tokens + request.demand.total_tokens();
                let fits = total.running < request.slots
                    && (needed <= request.planned_tokens || total.committed_tokens == 0);
                let load_ms = waiting_ms(
                    total.prefill_tokens,
                    total.committed_tokens,
                    request.planned_tokens,
                );
                fits.then_some((at, load_ms + candidate.penalty_ms))
            });
        fitting.collect()
    }

    /// Reserves the room that a generation needs at a candidate.
    pub(super) fn reserve(
        &mut self,
        request: &PlacementRequest,
        candidate: &Candidate,
        now_ms: u64,
    ) {
        let reservation = Reservation {
            entry: Arc::clone(&request.entry),
            usage: Usage {
                running: 1,
                committed_tokens: request.demand.total_tokens(),
                prefill_tokens: match request.reads_prompt {
                    true => request.demand.prompt_tokens,
                    false => 0,
                },
            },
            made_ms: now_ms,
        };
        let reserved = self.by_engine.entry(Arc::clone(&candidate.identity));
        reserved.or_default().push(reservation);
    }

    /// Returns what is reserved at an engine for other entries than `except`.
    pub(super) fn reserved(&self, identity: &str, except: Option<&str>, now_ms: u64) -> Usage {
        let mut total = Usage::default();
        for reservation in self.by_engine.get(identity).into_iter().flatten() {
            if except == Some(&*reservation.entry)
                || now_ms >= reservation.made_ms + RESERVATION_KEPT_MS
            {
                continue;
            }
            total.add(reservation.usage);
        }
        total
    }

    /// Drops the reservations of an entry that has just reported its loads, and old ones.
    pub(super) fn reported(&mut self, entry: &str, now_ms: u64) {
        self.by_engine.retain(|_, reservations| {
            reservations.retain(|reservation| {
                let reported = *reservation.entry == *entry
                    && now_ms >= reservation.made_ms + LOADS_IN_FLIGHT_MS;
                !reported && now_ms < reservation.made_ms + RESERVATION_KEPT_MS
            });
            !reservations.is_empty()
        });
    }
}
