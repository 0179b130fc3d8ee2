//! The choice of an instance for a request.

// Times in milliseconds and counts of tokens stay far below what a float holds exactly.
#![allow(clippy::cast_precision_loss)]

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::instance::Instance;
use super::placement::{Candidate, PlacementRequest, is_read_in_time};
use super::view::View;
use crate::domain::document::EngineSpec;
use crate::model::ZoneName;

/// Tokens that an engine reads of prompts per millisecond beside running generations. The
/// platform's engines read 112 tokens in a step that takes 7 ms longer than the reading itself.
const PREFILL_TOKENS_PER_MS: u64 = 7;
/// Part of an engine's memory that is planned for, in hundredths. The rest absorbs answers that are
/// longer than their estimate.
const PLANNED_MEMORY_PERCENT: u64 = 92;
/// Part that is planned for with short generations, which are over before the long ones beside them
/// have grown. Beyond all of the memory the newest long one would be preempted for them.
const SHORT_MEMORY_PERCENT: u64 = 100;
/// Generations that are expected to produce less end within a second.
const LONG_OUTPUT_TOKENS: u64 = 100;
/// Part that is planned for with generations that are moved, of which much would be lost. Few
/// generations reach their full length at the same time.
const MOVE_MEMORY_PERCENT: u64 = 105;
/// Part of an engine's memory up to which it takes copies of generations that run elsewhere. The
/// rest is for generations of its own, which would have to be preempted otherwise.
const BACKUP_MEMORY_PERCENT: u64 = 70;
/// No copies are made once this much of all engines' memory is planned for.
const BACKUP_FLEET_PERCENT: u64 = 58;
/// Weight of an engine's planned memory in its score: a full engine counts as this much waiting.
const MEMORY_WEIGHT_MS: u64 = 400;
/// Waiting that a choice in another zone has to save, for the bytes that cross zones. A zone whose
/// engines have a quarter more of their memory planned for than others overflows.
const ZONE_PENALTY_MS: u64 = 100;
/// The same for plain calls. It is below the 30 ms that one takes, so that a loaded zone overflows.
const PLAIN_ZONE_PENALTY_MS: u64 = 20;
/// The same for the engine that takes a copy of a generation's memory. A copy between zones takes
/// the link twice as long, and notices are too short for that if a near engine has room.
const COPY_ZONE_PENALTY_MS: u64 = 600;
/// Waiting added for an instance that has just started.
const COLD_PENALTY_MS: u64 = 150;
/// Upper bound of the random part of a score. Entries that share old information would otherwise
/// all choose the same instance.
const JITTER_MS: u64 = 25;
/// Engines at random that a generation chooses among. Loads of other entries are up to 400 ms old;
/// the best of all engines would get the generations of all entries until they show.
const SAMPLED_ENGINES: usize = 3;
/// Engines at random that the hub, which knows the newest loads, chooses among. Not compared with
/// other numbers; eight identities take about 0.2 KB.
const CANDIDATES: usize = 8;
/// How many of them are in the entry's own zone, as far as that has so many with room. A long answer
/// streams some 50 KB, which would otherwise cross zones nearly always.
const NEAR_CANDIDATES: usize = 5;
/// Expected time that counts against an instance that could not be reached, so that it is used only if
/// no other is left.
const AVOIDED_MS: f64 = 1e6;
/// The same for one that comes back to use after it has asked for time. It answers at least.
const HELD_BACK_MS: f64 = 1e5;
/// Expected time of a plain call before one was measured.
const FIRST_PLAIN_MS: f64 = 30.0;

/// What a generation is expected to need.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    pub prompt_tokens: u64,
    pub output_tokens: u64,
}

impl Demand {
    /// Returns the memory needed at the end.
    pub fn total_tokens(&self) -> u64 {
        self.prompt_tokens + self.output_tokens
    }

    /// Returns true for a generation that takes longer than about a second.
    pub fn is_long(&self) -> bool {
        self.output_tokens >= LONG_OUTPUT_TOKENS
    }
}

/// What an engine is looked for.
#[derive(Debug, Clone, Copy)]
pub struct Ask<'a> {
    pub service: &'a str,
    pub demand: Demand,
    pub engine: EngineSpec,
    pub excluded: &'a [Arc<str>],
    /// Time in which the prompt is to be read; none for a generation that comes with its memory.
    pub read_within_ms: Option<u64>,
    pub now_ms: u64,
    pub random: u64,
}

impl Ask<'_> {
    /// Returns how many prompt tokens an engine may have to read with this prompt.
    fn unread_limit_tokens(&self) -> Option<u64> {
        self.read_within_ms
            .map(|within_ms| within_ms * PREFILL_TOKENS_PER_MS)
    }
}

/// What is required of an engine for a generation, or for a copy of one.
#[derive(Debug, Clone, Copy)]
struct Wanted<'a> {
    /// Part of its memory that may be planned for, in hundredths.
    planned_percent: u64,
    near: &'a ZoneName,
    /// Engines of another zone count as this much waiting.
    zone_penalty_ms: u64,
}

impl Wanted<'_> {
    /// Returns how much of an engine's memory may be planned for.
    fn planned_tokens(&self, engine: EngineSpec) -> u64 {
        engine.memory_tokens * self.planned_percent / 100
    }

    /// Returns what counts against an engine beside its load.
    fn penalty_ms(&self, instance: &Instance, random: u64) -> u64 {
        let zone_ms = match instance.listed.zone == *self.near {
            true => 0,
            false => self.zone_penalty_ms,
        };
        zone_ms + fixed_penalty_ms(instance, random)
    }
}

/// A chosen instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Placed {
    pub identity: Arc<str>,
    pub address: SocketAddr,
    /// True if it is in the zone that it was looked for near.
    pub same_zone: bool,
    /// True if the hub chose it, by the newest loads of all entries.
    pub by_hub: bool,
}

impl View {
    /// Chooses an instance for a plain call, the one with the lowest expected time. `excluded` were
    /// tried before. Instances that are avoided are used only if no other is left.
    pub fn choose_plain(
        &self,
        service: &str,
        excluded: &[Arc<str>],
        now_ms: u64,
        random: u64,
    ) -> Option<Placed> {
        let open = |instance: &&Instance| {
            !excluded.contains(&instance.listed.identity) && instance.is_open(now_ms)
        };
        let typical_ms = self.typical_ms(service);
        let score = |instance: &Instance| {
            let waiting =
                f64::from(instance.total_running()) / f64::from(instance.listed.slots.max(1));
            let time_ms = instance.expected_ms(typical_ms, now_ms) * (1.0 + waiting);
            let avoided = match () {
                () if instance.avoid_until_ms > now_ms => AVOIDED_MS,
                () if instance.holds_back(now_ms) => HELD_BACK_MS,
                () => 0.0,
            };
            let away = instance.listed.zone != self.zone;
            let zone_ms = if away { PLAIN_ZONE_PENALTY_MS } else { 0 };
            time_ms + avoided + (zone_ms + fixed_penalty_ms(instance, random)) as f64
        };
        let best = self
            .members(service)
            .filter(open)
            .map(|instance| (score(instance), instance))
            .min_by(|(a, _), (b, _)| a.total_cmp(b));
        best.map(|(_, instance)| placed(instance, &self.zone))
    }

    /// Chooses an engine for a generation without the hub: one whose memory and slots are planned to
    /// hold it, with the shortest expected wait for the first token among a few at random. Returns
    /// none if no engine has room.
    pub fn choose_engine(&self, ask: &Ask<'_>) -> Option<Placed> {
        let wanted = self.wanted_for(ask.demand);
        let sample = sample(self.fitting(ask, wanted), ask, SAMPLED_ENGINES);
        let best = ranked(sample, ask, wanted, 1).pop();
        best.map(|instance| placed(instance, wanted.near))
    }

    /// Returns what an entry asks the hub for to place a generation, and its candidates: engines that
    /// have room, or, for one that waits, those that may have room next.
    pub fn placement_request(
        &self,
        ask: &Ask<'_>,
        entry: &Arc<str>,
        waits: bool,
    ) -> (PlacementRequest, Vec<Placed>) {
        let wanted = self.wanted_for(ask.demand);
        let sample = match waits {
            true => sample(self.open(ask).collect(), ask, CANDIDATES),
            false => sample_near(self.fitting(ask, wanted), ask, wanted.near),
        };
        let request = placement_request(ask, wanted, entry, &sample);
        let engines = sample.into_iter().map(|i| placed(i, &self.zone)).collect();
        (request, engines)
    }

    fn wanted_for(&self, demand: Demand) -> Wanted<'_> {
        Wanted {
            planned_percent: match demand.is_long() {
                true => PLANNED_MEMORY_PERCENT,
                false => SHORT_MEMORY_PERCENT,
            },
            near: &self.zone,
            zone_penalty_ms: ZONE_PENALTY_MS,
        }
    }

    /// Returns what an entry asks the hub for to move a generation from `source`, and its candidates,
    /// the best one first.
    pub fn targets(
        &self,
        ask: &Ask<'_>,
        source: &str,
        entry: &Arc<str>,
        most: usize,
    ) -> (PlacementRequest, Vec<Placed>) {
        let wanted = Wanted {
            planned_percent: MOVE_MEMORY_PERCENT,
            near: self.zone_of(source),
            zone_penalty_ms: COPY_ZONE_PENALTY_MS,
        };
        let best = ranked(self.fitting(ask, wanted), ask, wanted, most);
        let request = placement_request(ask, wanted, entry, &best);
        let engines = best.into_iter().map(|i| placed(i, wanted.near)).collect();
        (request, engines)
    }

    /// Chooses an engine that keeps a copy of a generation's memory that runs at `source`. Returns
    /// none if that would leave too little for others.
    pub fn choose_backup(&self, ask: &Ask<'_>, source: &str) -> Option<Placed> {
        if self.memory_percent(ask.service, ask.engine, ask.now_ms) > BACKUP_FLEET_PERCENT {
            return None;
        }
        let wanted = Wanted {
            planned_percent: BACKUP_MEMORY_PERCENT,
            near: self.zone_of(source),
            zone_penalty_ms: COPY_ZONE_PENALTY_MS,
        };
        let best = ranked(self.fitting(ask, wanted), ask, wanted, 1).pop();
        best.map(|instance| placed(instance, wanted.near))
    }

    /// Returns the engines that take generations.
    fn open<'a>(&'a self, ask: &'a Ask<'_>) -> impl Iterator<Item = &'a Instance> {
        let open = |instance: &&Instance| {
            instance.usable(ask.now_ms)
                && !instance.holds_back(ask.now_ms)
                && !ask.excluded.contains(&instance.listed.identity)
        };
        self.members(ask.service).filter(open)
    }

    /// Returns the engines that have what is wanted.
    fn fitting<'a>(&'a self, ask: &'a Ask<'_>, wanted: Wanted<'_>) -> Vec<&'a Instance> {
        let (demand, engine) = (ask.demand, ask.engine);
        let planned = wanted.planned_tokens(engine);
        let fits = |instance: &&Instance| {
            let committed = instance.total_committed();
            instance.holds_now(demand.prompt_tokens)
                && instance.total_running() < engine.slots
                && is_read_in_time(instance.total_prefill(), demand, ask.unread_limit_tokens())
                && (committed + demand.total_tokens() <= planned || committed == 0)
        };
        self.open(ask).filter(fits).collect()
    }

    /// Returns the average time of a plain call over the instances of a service. An instance that
    /// was not used yet counts as typical; a fixed time would keep it unused where calls are faster.
    fn typical_ms(&self, service: &str) -> f64 {
        let observed = self.members(service).filter(|i| i.answered);
        let (sum, count) = observed.fold((0.0, 0.0), |(sum, count), instance| {
            (sum + instance.average_ms, count + 1.0)
        });
        if count > 0.0 {
            sum / count
        } else {
            FIRST_PLAIN_MS
        }
    }

    fn zone_of(&self, identity: &str) -> &ZoneName {
        let instance = self.instances.get(identity);
        instance.map_or(&self.zone, |instance| &instance.listed.zone)
    }

    /// Returns the planned memory of a service's usable engines in use, in hundredths.
    pub fn memory_percent(&self, service: &str, engine: EngineSpec, now_ms: u64) -> u64 {
        let mut held = 0;
        let mut total = 0;
        for instance in self.members(service).filter(|i| i.usable(now_ms)) {
            held += instance.total_committed();
            total += engine.memory_tokens;
        }
        (100 * held).checked_div(total).unwrap_or(100)
    }
}

/// Returns up to `most` engines at random.
fn sample<'a>(mut engines: Vec<&'a Instance>, ask: &Ask<'_>, most: usize) -> Vec<&'a Instance> {
    engines.sort_by_key(|instance| order(instance, ask.random));
    engines.truncate(most);
    engines
}

/// Returns up to `CANDIDATES` engines at random, most of them in a zone.
fn sample_near<'a>(
    engines: Vec<&'a Instance>,
    ask: &Ask<'_>,
    zone: &ZoneName,
) -> Vec<&'a Instance> {
    let is_near = |instance: &&Instance| instance.listed.zone == *zone;
    let (near, far): (Vec<_>, Vec<_>) = engines.into_iter().partition(is_near);
    let most_far = CANDIDATES - near.len().min(NEAR_CANDIDATES);
    let mut candidates = sample(far, ask, most_far);
    let most_near = CANDIDATES - candidates.len();
    candidates.extend(sample(near, ask, most_near));
    candidates
}

/// Returns up to `most` engines, the best one first.
fn ranked<'a>(
    mut engines: Vec<&'a Instance>,
    ask: &Ask<'_>,
    wanted: Wanted<'_>,
    most: usize,
) -> Vec<&'a Instance> {
    let planned = wanted.planned_tokens(ask.engine);
    engines.sort_by_cached_key(|instance| {
        let (prefill, committed) = (instance.total_prefill(), instance.total_committed());
        waiting_ms(prefill, committed, planned) + wanted.penalty_ms(instance, ask.random)
    });
    engines.truncate(most);
    engines
}

fn placement_request(
    ask: &Ask<'_>,
    wanted: Wanted<'_>,
    entry: &Arc<str>,
    engines: &[&Instance],
) -> PlacementRequest {
    let candidate = |instance: &&Instance| Candidate {
        identity: Arc::clone(&instance.listed.identity),
        penalty_ms: wanted.penalty_ms(instance, ask.random),
    };
    PlacementRequest {
        entry: Arc::clone(entry),
        demand: ask.demand,
        planned_tokens: wanted.planned_tokens(ask.engine),
        slots: ask.engine.slots,
        unread_limit_tokens: ask.unread_limit_tokens(),
        candidates: engines.iter().map(candidate).collect(),
    }
}

fn placed(instance: &Instance, near: &ZoneName) -> Placed {
    Placed {
        identity: Arc::clone(&instance.listed.identity),
        address: instance.listed.address,
        same_zone: instance.listed.zone == *near,
        by_hub: false,
    }
}

fn fixed_penalty_ms(instance: &Instance, random: u64) -> u64 {
    let cold_ms = if instance.listed.cold {
        COLD_PENALTY_MS
    } else {
        0
    };
    cold_ms + order(instance, random) % JITTER_MS
}

/// Returns what an engine's load counts as, as time until a prompt is read there.
pub(super) fn waiting_ms(prefill_tokens: u64, committed_tokens: u64, planned_tokens: u64) -> u64 {
    let memory_ms = MEMORY_WEIGHT_MS * committed_tokens / planned_tokens.max(1);
    prefill_tokens / PREFILL_TOKENS_PER_MS + memory_ms
}

/// Returns the place of an instance in a random order.
fn order(instance: &Instance, random: u64) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(instance.listed.identity.as_bytes(), random)
}
