//! Places of generations, given out at one point.
//!
//! Answers the load of many entries that place at once: what each has placed reaches the others up
//! to 400 ms later, about the time in which a prompt is read. The hub counts a generation at its
//! engine from the moment when it gives the place.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::choice::{Demand, waiting_ms};

/// A place that is not yet told in its entry's loads counts for this long at most: two syncs.
const PLACE_KEPT_MS: u64 = 600;
/// The loads of an entry that were on their way when it got a place do not hold it yet.
const LOADS_ON_THE_WAY_MS: u64 = 20;

/// An engine that an entry offers for a generation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Offer {
    pub identity: Arc<str>,
    /// What counts against the engine for this entry, beside its load: its zone, a cold start.
    pub penalty_ms: u64,
}

/// What an entry wants to place.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Wish {
    pub entry: Arc<str>,
    pub demand: Demand,
    /// How much of an engine's memory may be planned for.
    pub planned_tokens: u64,
    /// Generations that an engine runs at once.
    pub slots: u32,
    /// False for a generation that comes with its memory.
    pub reads_prompt: bool,
    pub offers: Vec<Offer>,
}

/// What runs at an engine, or is about to.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Held {
    pub(super) running: u32,
    pub(super) committed_tokens: u64,
    pub(super) prefill_tokens: u64,
}

impl Held {
    /// Adds what another source has there.
    pub(super) fn add(&mut self, other: Self) {
        self.running += other.running;
        self.committed_tokens += other.committed_tokens;
        self.prefill_tokens += other.prefill_tokens;
    }
}

#[derive(Debug, Clone)]
struct Place {
    entry: Arc<str>,
    held: Held,
    given_ms: u64,
}

/// The places that were given out lately, by engine.
#[derive(Debug, Default)]
pub(super) struct Places {
    given: BTreeMap<Arc<str>, Vec<Place>>,
}

impl Places {
    /// Returns the positions of the offers with room, and the wait at each. `held` returns what
    /// entries have told of an engine, or none if it takes nothing new.
    pub(super) fn rooms(
        &self,
        wish: &Wish,
        held: impl Fn(&str) -> Option<Held>,
        now_ms: u64,
    ) -> Vec<(usize, u64)> {
        let rooms = wish.offers.iter().enumerate().filter_map(|(at, offer)| {
            let mut total = held(&offer.identity)?;
            total.add(self.of_others(&offer.identity, None, now_ms));
            let needed = total.committed_tokens + wish.demand.total_tokens();
            let fits = total.running < wish.slots
                && (needed <= wish.planned_tokens || total.committed_tokens == 0);
            let load_ms = waiting_ms(
                total.prefill_tokens,
                total.committed_tokens,
                wish.planned_tokens,
            );
            fits.then_some((at, load_ms + offer.penalty_ms))
        });
        rooms.collect()
    }

    /// Gives a place at the engine of an offer.
    pub(super) fn give(&mut self, wish: &Wish, offer: &Offer, now_ms: u64) {
        let place = Place {
            entry: Arc::clone(&wish.entry),
            held: Held {
                running: 1,
                committed_tokens: wish.demand.total_tokens(),
                prefill_tokens: match wish.reads_prompt {
                    true => wish.demand.prompt_tokens,
                    false => 0,
                },
            },
            given_ms: now_ms,
        };
        let given = self.given.entry(Arc::clone(&offer.identity));
        given.or_default().push(place);
    }

    /// Returns what was given at an engine to other entries than `entry`.
    pub(super) fn of_others(&self, identity: &str, entry: Option<&str>, now_ms: u64) -> Held {
        let mut total = Held::default();
        for place in self.given.get(identity).into_iter().flatten() {
            if entry == Some(&*place.entry) || now_ms >= place.given_ms + PLACE_KEPT_MS {
                continue;
            }
            total.add(place.held);
        }
        total
    }

    /// Forgets the places of an entry that has just told its loads, and old ones.
    pub(super) fn told(&mut self, entry: &str, now_ms: u64) {
        self.given.retain(|_, places| {
            places.retain(|place| {
                let told = *place.entry == *entry && now_ms >= place.given_ms + LOADS_ON_THE_WAY_MS;
                !told && now_ms < place.given_ms + PLACE_KEPT_MS
            });
            !places.is_empty()
        });
    }
}
