//! Placement of generations by the hub, with reservations.
//!
//! The load that an entry places reaches the other entries up to 400 ms later, about the time that
//! it takes to process a prompt, so entries that place at the same time would choose the same
//! engines. The hub counts a generation at its engine from the moment of the reservation.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::choice::{Demand, EngineLoad, paced_waiting_ms};
use super::usage::{Usage, UsageByEngine};
use crate::domain::pace::{PaceEstimate, PacedEngine, PacedStreams};

/// A reservation counts for at most this long if its entry has not reported the generation in its
/// load. Entries sync every 200 ms, so that two failed calls in a row are tolerated.
const RESERVATION_TTL_MS: u64 = 600;
/// A load that arrives within this time after a reservation may have been sent before it, and does
/// not include it.
const LOADS_IN_FLIGHT_MS: u64 = 20;

/// An engine that a generation may be placed on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Candidate {
    pub identity: Arc<str>,
    /// Penalty of the engine for this entry, its load aside: for its zone or a recent start.
    pub penalty_ms: u64,
}

/// A generation that an entry wants to place.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementRequest {
    pub entry: Arc<str>,
    pub demand: Demand,
    /// How much of an engine's memory may be committed.
    pub planned_tokens: u64,
    /// Number of generations that an engine runs at once.
    pub slots: u32,
    /// Unprocessed prompt tokens that an engine may have, the generation's own included. `None` for
    /// a generation that is moved together with its memory.
    pub unread_limit_tokens: Option<u64>,
    pub candidates: Vec<Candidate>,
}

impl PlacementRequest {
    /// Returns true if an engine with `unread_tokens` processes the prompt in time.
    fn is_read_in_time(&self, unread_tokens: u64) -> bool {
        is_read_in_time(unread_tokens, self.demand, self.unread_limit_tokens)
    }
}

/// Returns true if a prompt may be queued behind `unread_tokens`. An engine without unprocessed
/// tokens accepts every prompt.
pub(super) fn is_read_in_time(
    unread_tokens: u64,
    demand: Demand,
    limit_tokens: Option<u64>,
) -> bool {
    let total_tokens = unread_tokens + demand.prompt_tokens;
    unread_tokens == 0 || limit_tokens.is_none_or(|limit_tokens| total_tokens <= limit_tokens)
}

#[derive(Debug, Clone)]
struct Reservation {
    entry: Arc<str>,
    engine: Arc<str>,
    usage: Usage,
    made_ms: u64,
}

/// The reservations that entries have not reported in their loads yet.
#[derive(Debug, Default)]
pub(super) struct Reservations {
    /// By number, in order of creation.
    by_number: BTreeMap<u64, Reservation>,
    next_number: u64,
    by_entry: BTreeMap<Arc<str>, BTreeSet<u64>>,
    total: UsageByEngine,
}

impl Reservations {
    /// Returns the indices of the candidates with room, and the wait at each. `usage` returns what
    /// runs at an engine, reservations included, and its pace, or `None` if it accepts nothing new.
    pub(super) fn with_room(
        request: &PlacementRequest,
        usage: impl Fn(&str) -> Option<(Usage, PaceEstimate)>,
    ) -> Vec<(usize, u64)> {
        let fitting = request
            .candidates
            .iter()
            .enumerate()
            .filter_map(|(at, candidate)| {
                let (total, pace) = usage(&candidate.identity)?;
                let needed = total.committed_tokens + request.demand.total_tokens();
                let fits = total.running < request.slots
                    && request.is_read_in_time(total.prefill_tokens)
                    && (needed <= request.planned_tokens || total.committed_tokens == 0);
                let load = EngineLoad {
                    prefill_tokens: total.prefill_tokens,
                    committed_tokens: total.committed_tokens,
                    planned_tokens: request.planned_tokens,
                    engine: PacedEngine {
                        pace,
                        paced: total.paced,
                    },
                };
                let load_ms = paced_waiting_ms(request.demand, request.unread_limit_tokens, load);
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
        let usage = Usage {
            running: 1,
            committed_tokens: request.demand.total_tokens(),
            prefill_tokens: match request.unread_limit_tokens {
                Some(_) => request.demand.prompt_tokens,
                None => 0,
            },
            paced: PacedStreams::one(request.demand.gap_target_ms),
        };
        let reservation = Reservation {
            entry: Arc::clone(&request.entry),
            engine: Arc::clone(&candidate.identity),
            usage,
            made_ms: now_ms,
        };
        self.total.add(&candidate.identity, usage);
        let of_entry = self.by_entry.entry(Arc::clone(&request.entry));
        of_entry.or_default().insert(self.next_number);
        self.by_number.insert(self.next_number, reservation);
        self.next_number += 1;
    }

    /// Returns the reserved usage of an engine.
    pub(super) fn total(&self, engine: &str) -> Usage {
        self.total.of(engine)
    }

    /// Returns the usage of an engine that is reserved for one entry.
    pub(super) fn of_entry(&self, entry: &str, engine: &str) -> Usage {
        let mut total = Usage::default();
        let numbers = self.by_entry.get(entry).into_iter().flatten();
        let reservations = numbers.filter_map(|number| self.by_number.get(number));
        for reservation in reservations.filter(|reservation| *reservation.engine == *engine) {
            total.add(reservation.usage);
        }
        total
    }

    /// Returns the engines where room is reserved for one entry.
    pub(super) fn engines_of(&self, entry: &str) -> impl Iterator<Item = &Arc<str>> {
        let numbers = self.by_entry.get(entry).into_iter().flatten();
        let reservations = numbers.filter_map(|number| self.by_number.get(number));
        reservations.map(|reservation| &reservation.engine)
    }

    /// Drops the reservations that the latest load of an entry includes. Returns their engines.
    pub(super) fn release_reported(&mut self, entry: &str, now_ms: u64) -> Vec<Arc<str>> {
        let numbers = self.by_entry.get(entry).into_iter().flatten();
        let reported: Vec<u64> = numbers
            .filter(|number| {
                let made = self.by_number.get(number);
                made.is_some_and(|made| now_ms >= made.made_ms + LOADS_IN_FLIGHT_MS)
            })
            .copied()
            .collect();
        let dropped = reported.into_iter().filter_map(|number| self.drop(number));
        dropped.map(|dropped| dropped.engine).collect()
    }

    /// Drops expired reservations. Returns the entry and the engine of each.
    pub(super) fn expire(&mut self, now_ms: u64) -> Vec<(Arc<str>, Arc<str>)> {
        let mut expired = Vec::new();
        while let Some((number, reservation)) = self.by_number.first_key_value()
            && now_ms >= reservation.made_ms + RESERVATION_TTL_MS
        {
            let number = *number;
            let dropped = self.drop(number);
            expired.extend(dropped.map(|dropped| (dropped.entry, dropped.engine)));
        }
        expired
    }

    fn drop(&mut self, number: u64) -> Option<Reservation> {
        let dropped = self.by_number.remove(&number)?;
        self.total.subtract(&dropped.engine, dropped.usage);
        if let Some(numbers) = self.by_entry.get_mut(&dropped.entry) {
            numbers.remove(&number);
            if numbers.is_empty() {
                self.by_entry.remove(&dropped.entry);
            }
        }
        Some(dropped)
    }
}
