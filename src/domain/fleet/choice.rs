//! Selection of an instance for a request.

// Times in milliseconds and token counts are far below the largest integer that an `f64` represents
// exactly.
#![allow(clippy::cast_precision_loss)]

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::instance::Instance;
use super::placement::{Candidate, PlacementRequest, is_read_in_time};
use super::view::View;
use crate::domain::document::EngineSpec;
use crate::domain::pace::{self, PacedDemand, PacedEngine, Suitability};
use crate::model::ZoneName;

/// Prompt tokens that an engine processes per millisecond while it also runs generations. The
/// platform's engines process 112 tokens in a step that takes 7 ms longer than the prompt
/// processing itself.
const PREFILL_TOKENS_PER_MS: u64 = 7;
/// Percentage of an engine's memory that placements of long generations may commit. The rest
/// absorbs answers that are longer than estimated.
const LONG_MEMORY_PERCENT: u64 = 92;
/// The same for short generations, which end before the long ones beside them have grown. With more
/// than 100 percent, the newest long generation would be preempted for them.
const SHORT_MEMORY_PERCENT: u64 = 100;
/// Generations that are expected to produce fewer tokens than this end within a second.
const MIN_LONG_OUTPUT_TOKENS: u64 = 100;
/// Percentage that placements may commit when a generation is moved, which would lose much of its
/// work otherwise. It may exceed 100 percent because few generations reach their full length at the
/// same time.
const MOVE_MEMORY_PERCENT: u64 = 105;
/// Percentage of an engine's memory up to which it accepts copies of generations that run
/// elsewhere. The rest is for its own generations, which would have to be preempted otherwise.
const BACKUP_MEMORY_PERCENT: u64 = 70;
/// No copies are made once this percentage of all engines' memory is committed.
const BACKUP_FLEET_PERCENT: u64 = 58;
/// Weight of an engine's committed memory in its score: a full engine counts as this much waiting
/// time.
const MEMORY_WEIGHT_MS: u64 = 400;
/// Waiting time that an engine in another zone has to save to be chosen, since its traffic crosses
/// zones. Requests overflow to other zones once a zone's engines have a quarter more of their
/// memory committed than those elsewhere.
const ZONE_PENALTY_MS: u64 = 100;
/// The same for plain calls. It is below the 30 ms that a call takes, so that a loaded zone
/// overflows.
const PLAIN_ZONE_PENALTY_MS: u64 = 20;
/// Zone penalty for the target of a memory copy. A copy between zones occupies the link twice as
/// long, and the notice before an engine is reclaimed is too short for that if a nearby engine has
/// room.
const COPY_ZONE_PENALTY_MS: u64 = 600;
/// Waiting time added for an instance that has just started.
const COLD_PENALTY_MS: u64 = 150;
/// Upper bound of the random part of a score. Entries that share outdated loads would otherwise all
/// choose the same instance.
const JITTER_MS: u64 = 25;
/// Number of randomly sampled engines that a generation chooses among without the hub. Loads of
/// other entries are up to 400 ms old; if every entry chose the best of all engines, all would
/// choose the same one until their loads are visible.
const SAMPLED_ENGINES: usize = 3;
/// Number of randomly sampled engines that the hub, which knows the newest loads, chooses among.
/// Eight identities take about 0.2 KB.
const MAX_CANDIDATES: usize = 8;
/// How many of them are engines that long generations avoid, for a short one. The others give it a
/// choice if these have become busy since their loads were reported.
const PREFERRED_CANDIDATES: usize = 4;
/// How many of them are in the entry's own zone, if that many there have room. A long answer
/// streams some 50 KB, which would otherwise cross zones nearly always.
const SAME_ZONE_CANDIDATES: usize = 5;
/// Penalty for an instance that could not be reached, so that it is used only if no other is left.
const UNREACHABLE_PENALTY_MS: f64 = 1e6;
/// Penalty for an instance whose load is limited after a pause that it asked for. Unlike an
/// unreachable one, it does answer.
const RAMP_UP_PENALTY_MS: f64 = 1e5;
/// Number of instances with request limits that the hub is asked about for one call.
const MAX_LIMITED_CANDIDATES: usize = 8;
/// Expected duration of a plain call before any has completed.
const INITIAL_PLAIN_CALL_MS: f64 = 30.0;

/// The tokens that a generation is expected to need, and how steadily it has to be produced.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    pub prompt_tokens: u64,
    pub output_tokens: u64,
    /// Maximum gap between two of its events that counts as on time. `None` if its route names none,
    /// and for copies, which produce no events.
    pub gap_target_ms: Option<u64>,
}

impl Demand {
    /// Returns the memory in use at the end of the generation, in tokens.
    pub fn total_tokens(&self) -> u64 {
        self.prompt_tokens + self.output_tokens
    }

    /// Returns the demand of a copy of the generation's memory, which produces no events.
    #[must_use]
    pub fn of_copy(self) -> Self {
        Self {
            gap_target_ms: None,
            ..self
        }
    }

    /// Returns true for a generation that takes longer than about a second.
    pub fn is_long(&self) -> bool {
        self.output_tokens >= MIN_LONG_OUTPUT_TOKENS
    }

    /// Returns what the pace of engines matters for. `unread_limit_tokens` is `None` for a generation
    /// that is moved together with its memory.
    fn paced(&self, unread_limit_tokens: Option<u64>) -> PacedDemand {
        PacedDemand {
            gap_target_ms: self.gap_target_ms,
            is_long: self.is_long(),
            unread_tokens: unread_limit_tokens.map_or(0, |_| self.prompt_tokens),
            unread_limit_tokens,
        }
    }
}

/// The criteria by which an engine is selected.
#[derive(Debug, Clone, Copy)]
pub struct EngineQuery<'a> {
    pub service: &'a str,
    pub demand: Demand,
    pub engine: EngineSpec,
    pub excluded: &'a [Arc<str>],
    /// Time within which the prompt has to be processed. `None` for a generation that is moved
    /// together with its memory.
    pub read_within_ms: Option<u64>,
    pub now_ms: u64,
    pub random: u64,
}

impl EngineQuery<'_> {
    /// Returns the largest number of unprocessed prompt tokens that an engine may have, this prompt
    /// included. `None` means no limit.
    fn unread_limit_tokens(&self) -> Option<u64> {
        self.read_within_ms
            .map(|within_ms| within_ms * PREFILL_TOKENS_PER_MS)
    }

    fn paced(&self) -> PacedDemand {
        self.demand.paced(self.unread_limit_tokens())
    }
}

/// Requirements on an engine for a generation or for a copy of one.
#[derive(Debug, Clone, Copy)]
struct Requirements<'a> {
    /// Percentage of its memory that may be committed.
    planned_percent: u64,
    near: &'a ZoneName,
    /// Penalty for engines of other zones.
    zone_penalty_ms: u64,
}

impl Requirements<'_> {
    /// Returns how much of an engine's memory may be committed.
    fn planned_tokens(&self, engine: EngineSpec) -> u64 {
        engine.memory_tokens * self.planned_percent / 100
    }

    /// Returns the penalty of an engine, its load aside.
    fn penalty_ms(&self, instance: &Instance, now_ms: u64, random: u64) -> u64 {
        let zone_ms = match instance.listed.zone == *self.near {
            true => 0,
            false => self.zone_penalty_ms,
        };
        zone_ms + fixed_penalty_ms(instance, now_ms, random)
    }
}

/// A chosen instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChosenInstance {
    pub identity: Arc<str>,
    pub address: SocketAddr,
    /// True if it is in the zone that was preferred.
    pub same_zone: bool,
    /// True if the hub chose it, based on the newest loads of all entries.
    pub by_hub: bool,
}

/// The instances that a plain call may be sent to.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PlainCandidates {
    /// Instances with request limits, named or of a cold time, that are preferred to `unlimited`,
    /// best first. They need the hub's permit.
    pub limited: Vec<ChosenInstance>,
    /// The best instance without a limit.
    pub unlimited: Option<ChosenInstance>,
}

impl View {
    /// Returns the candidates for a plain call, by expected time. `excluded` are those already
    /// tried. Instances that could not be reached are used only if no other is left. Instances that
    /// have reached their limits are included only if there is none without a limit.
    pub fn plain_candidates(
        &self,
        service: &str,
        excluded: &[Arc<str>],
        now_ms: u64,
        random: u64,
    ) -> PlainCandidates {
        let scored = self.scored_plain(service, excluded, now_ms, random);
        let (mut limited, unlimited): (Vec<_>, Vec<_>) =
            scored.partition(|(_, instance)| instance.needs_permit(now_ms));
        let by_score = |(a, _): &(f64, _), (b, _): &(f64, _)| a.total_cmp(b);
        let unlimited = unlimited.into_iter().min_by(by_score);
        if let Some((best, _)) = unlimited {
            limited
                .retain(|(score, instance)| *score < best && instance.at_limit_until_ms <= now_ms);
        }
        limited.sort_by(by_score);
        limited.truncate(MAX_LIMITED_CANDIDATES);
        let chosen = |(_, instance): (f64, &Instance)| chosen(instance, &self.zone);
        PlainCandidates {
            limited: limited.into_iter().map(chosen).collect(),
            unlimited: unlimited.map(chosen),
        }
    }

    /// Chooses the instance without a request limit with the lowest expected time for a plain call.
    pub fn choose_plain(
        &self,
        service: &str,
        excluded: &[Arc<str>],
        now_ms: u64,
        random: u64,
    ) -> Option<ChosenInstance> {
        self.plain_candidates(service, excluded, now_ms, random)
            .unlimited
    }

    /// Returns the instances that accept plain calls, with the expected time and penalties of each.
    fn scored_plain<'a>(
        &'a self,
        service: &'a str,
        excluded: &'a [Arc<str>],
        now_ms: u64,
        random: u64,
    ) -> impl Iterator<Item = (f64, &'a Instance)> {
        let open = move |instance: &&Instance| {
            !excluded.contains(&instance.listed.identity) && instance.is_open(now_ms)
        };
        let typical_ms = self.typical_ms(service);
        let score = move |instance: &Instance| {
            let waiting =
                f64::from(instance.total_running()) / f64::from(instance.listed.slots.max(1));
            let time_ms = instance.expected_ms(typical_ms, now_ms) * (1.0 + waiting);
            let penalty_ms = match () {
                () if instance.avoid_until_ms > now_ms => UNREACHABLE_PENALTY_MS,
                () if instance.at_concurrency_limit(now_ms) => RAMP_UP_PENALTY_MS,
                () => 0.0,
            };
            let away = instance.listed.zone != self.zone;
            let zone_ms = if away { PLAIN_ZONE_PENALTY_MS } else { 0 };
            time_ms + penalty_ms + (zone_ms + fixed_penalty_ms(instance, now_ms, random)) as f64
        };
        let open = self.members(service).filter(open);
        open.map(move |instance| (score(instance), instance))
    }

    /// Chooses an engine for a generation without the hub: among a few random engines with enough
    /// uncommitted memory and slots, the one with the shortest expected wait for the first token.
    /// Returns `None` if no engine has room.
    ///
    /// Only prompts of this entry count as unprocessed. What is known of other entries' prompts is
    /// older than the time in which they are processed, and all entries would choose the few
    /// engines that had none when the hub was lost.
    pub fn choose_engine(&self, query: &EngineQuery<'_>) -> Option<ChosenInstance> {
        let required = self.requirements_for(query.demand);
        let own_prefill = |instance: &Instance| instance.prefill_tokens;
        let mut fitting = self.with_room(query, required, own_prefill);
        fitting.retain(|instance| instance.allows_without_hub(self.share, query.now_ms));
        let (mut preferred, rest) = self.by_pace(fitting, query, SAMPLED_ENGINES);
        preferred.truncate(SAMPLED_ENGINES);
        let most = SAMPLED_ENGINES - preferred.len();
        preferred.extend(sample(rest, query, most));
        let best = self
            .ranked(preferred, query, required, own_prefill, 1)
            .pop();
        best.map(|instance| chosen(instance, required.near))
    }

    /// Returns the request that an entry sends to the hub to place a generation, and its
    /// candidates: engines that have room or, if the generation `waits`, engines that may have room
    /// next.
    pub fn placement_request(
        &self,
        query: &EngineQuery<'_>,
        entry: &Arc<str>,
        waits: bool,
    ) -> (PlacementRequest, Vec<ChosenInstance>) {
        let required = self.requirements_for(query.demand);
        let sample = match waits {
            true => sample(self.open(query).collect(), query, MAX_CANDIDATES),
            false => {
                let fitting = self.with_room(query, required, Instance::total_prefill);
                let (mut candidates, rest) = self.by_pace(fitting, query, MAX_CANDIDATES);
                let most = MAX_CANDIDATES - candidates.len();
                candidates.extend(sample_near(rest, query, required.near, most));
                candidates
            }
        };
        let request = placement_request(query, required, entry, &sample);
        let engines = sample.into_iter().map(|i| chosen(i, &self.zone)).collect();
        (request, engines)
    }

    fn requirements_for(&self, demand: Demand) -> Requirements<'_> {
        Requirements {
            planned_percent: match demand.is_long() {
                true => LONG_MEMORY_PERCENT,
                false => SHORT_MEMORY_PERCENT,
            },
            near: &self.zone,
            zone_penalty_ms: ZONE_PENALTY_MS,
        }
    }

    /// Returns the request that an entry sends to the hub to move a generation from `source`, and
    /// its candidates, the best one first.
    pub fn targets(
        &self,
        query: &EngineQuery<'_>,
        source: &str,
        entry: &Arc<str>,
        most: usize,
    ) -> (PlacementRequest, Vec<ChosenInstance>) {
        let required = Requirements {
            planned_percent: MOVE_MEMORY_PERCENT,
            near: self.zone_of(source),
            zone_penalty_ms: COPY_ZONE_PENALTY_MS,
        };
        let mut fitting = self.with_room(query, required, Instance::total_prefill);
        fitting.retain(|instance| !instance.is_limited());
        let best = self.ranked(fitting, query, required, Instance::total_prefill, most);
        let request = placement_request(query, required, entry, &best);
        let engines = best.into_iter().map(|i| chosen(i, required.near)).collect();
        (request, engines)
    }

    /// Chooses an engine that keeps a copy of the memory of a generation that runs at `source`.
    /// Returns `None` if that would leave too little memory for other generations.
    pub fn choose_backup(&self, query: &EngineQuery<'_>, source: &str) -> Option<ChosenInstance> {
        if self.memory_percent(query.service, query.engine, query.now_ms) > BACKUP_FLEET_PERCENT {
            return None;
        }
        let required = Requirements {
            planned_percent: BACKUP_MEMORY_PERCENT,
            near: self.zone_of(source),
            zone_penalty_ms: COPY_ZONE_PENALTY_MS,
        };
        let mut fitting = self.with_room(query, required, Instance::total_prefill);
        fitting.retain(|instance| !instance.is_limited());
        let best = self
            .ranked(fitting, query, required, Instance::total_prefill, 1)
            .pop();
        best.map(|instance| chosen(instance, required.near))
    }

    /// Returns the engines of the service that accept generations and are not excluded.
    fn open<'a>(&'a self, query: &'a EngineQuery<'_>) -> impl Iterator<Item = &'a Instance> {
        let open = |instance: &&Instance| {
            instance.usable(query.now_ms)
                && !instance.at_concurrency_limit(query.now_ms)
                && !query.excluded.contains(&instance.listed.identity)
        };
        self.members(query.service).filter(open)
    }

    /// Returns the engines that meet the requirements and have room for the demand.
    /// `prefill_tokens` returns the number of unprocessed prompt tokens of an engine.
    fn with_room<'a>(
        &'a self,
        query: &'a EngineQuery<'_>,
        required: Requirements<'_>,
        prefill_tokens: fn(&Instance) -> u64,
    ) -> Vec<&'a Instance> {
        let (demand, engine) = (query.demand, query.engine);
        let planned = required.planned_tokens(engine);
        let fits = |instance: &&Instance| {
            let committed = instance.total_committed();
            instance.has_memory_for(demand.prompt_tokens)
                && instance.total_running() < engine.slots
                && is_read_in_time(
                    prefill_tokens(instance),
                    demand,
                    query.unread_limit_tokens(),
                )
                && (committed + demand.total_tokens() <= planned || committed == 0)
        };
        self.open(query).filter(fits).collect()
    }

    /// Returns the pace of an instance, and the streams that run there.
    fn paced_engine(&self, instance: &Instance) -> PacedEngine {
        PacedEngine {
            pace: self.pace(instance).unwrap_or_default(),
            paced: instance.total_paced(),
        }
    }

    /// Returns how the pace of engines affects the choice for a generation: reasons why some are
    /// avoided, and whether `chosen` is preferred. For metrics.
    pub fn pace_effects(&self, query: &EngineQuery<'_>, chosen: &str) -> BTreeSet<Suitability> {
        let demand = query.paced();
        if demand.gap_target_ms.is_none() {
            return BTreeSet::new();
        }
        let open = self.open(query).map(|instance| {
            let suitability = pace::suitability(&demand, &self.paced_engine(instance));
            (&instance.listed.identity, suitability)
        });
        let affected = open.filter(|(identity, suitability)| match suitability {
            Suitability::Preferred => ***identity == *chosen,
            Suitability::Neutral => false,
            Suitability::BreaksOthers | Suitability::BreaksOwn => ***identity != *chosen,
        });
        affected.map(|(_, suitability)| suitability).collect()
    }

    /// Divides engines by how their pace suits a generation that can choose among `most`. Returns
    /// those that have to be among its candidates, fewer than `most`, and those that the others are
    /// sampled from.
    fn by_pace<'a>(
        &self,
        engines: Vec<&'a Instance>,
        query: &EngineQuery<'_>,
        most: usize,
    ) -> (Vec<&'a Instance>, Vec<&'a Instance>) {
        let demand = query.paced();
        let (mut preferred, mut neutral, mut avoided) = (Vec::new(), Vec::new(), Vec::new());
        for instance in engines {
            match pace::suitability(&demand, &self.paced_engine(instance)) {
                Suitability::Preferred => preferred.push(instance),
                Suitability::Neutral => neutral.push(instance),
                Suitability::BreaksOthers | Suitability::BreaksOwn => avoided.push(instance),
            }
        }
        preferred.sort_by_key(|instance| random_order(instance, query.random));
        let most_preferred = PREFERRED_CANDIDATES.min(most / 2);
        neutral.extend(preferred.drain(preferred.len().min(most_preferred)..));
        if preferred.len() + neutral.len() >= most {
            return (preferred, neutral);
        }
        preferred.extend(neutral);
        (preferred, avoided)
    }

    /// Returns up to `most` engines, the best one first.
    fn ranked<'a>(
        &self,
        mut engines: Vec<&'a Instance>,
        query: &EngineQuery<'_>,
        required: Requirements<'_>,
        prefill_tokens: fn(&Instance) -> u64,
        most: usize,
    ) -> Vec<&'a Instance> {
        engines.sort_by_cached_key(|instance| {
            let load = EngineLoad {
                prefill_tokens: prefill_tokens(instance),
                committed_tokens: instance.total_committed(),
                planned_tokens: required.planned_tokens(query.engine),
                engine: self.paced_engine(instance),
            };
            paced_waiting_ms(query.demand, query.unread_limit_tokens(), load)
                + required.penalty_ms(instance, query.now_ms, query.random)
        });
        engines.truncate(most);
        engines
    }

    /// Returns the average time of a plain call over the instances of a service. An instance
    /// without calls so far is assumed to be average: with a fixed assumed time it would never be
    /// used where calls are faster.
    fn typical_ms(&self, service: &str) -> f64 {
        let observed = self.members(service).filter(|i| i.answered);
        let (sum, count) = observed.fold((0.0, 0.0), |(sum, count), instance| {
            (sum + instance.average_ms, count + 1.0)
        });
        if count > 0.0 {
            sum / count
        } else {
            INITIAL_PLAIN_CALL_MS
        }
    }

    fn zone_of(&self, identity: &str) -> &ZoneName {
        let instance = self.instances.get(identity);
        instance.map_or(&self.zone, |instance| &instance.listed.zone)
    }

    /// Returns the percentage of the memory of a service's usable engines that is committed; 100 if
    /// there are none.
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

/// Returns up to `most` randomly sampled engines.
fn sample<'a>(
    mut engines: Vec<&'a Instance>,
    query: &EngineQuery<'_>,
    most: usize,
) -> Vec<&'a Instance> {
    engines.sort_by_key(|instance| random_order(instance, query.random));
    engines.truncate(most);
    engines
}

/// Returns up to `most` randomly sampled engines, most of them in `zone`.
fn sample_near<'a>(
    engines: Vec<&'a Instance>,
    query: &EngineQuery<'_>,
    zone: &ZoneName,
    most: usize,
) -> Vec<&'a Instance> {
    let is_near = |instance: &&Instance| instance.listed.zone == *zone;
    let (near, far): (Vec<_>, Vec<_>) = engines.into_iter().partition(is_near);
    let most_far = most - near.len().min(SAME_ZONE_CANDIDATES.min(most));
    let mut candidates = sample(far, query, most_far);
    let most_near = most - candidates.len();
    candidates.extend(sample(near, query, most_near));
    candidates
}

fn placement_request(
    query: &EngineQuery<'_>,
    required: Requirements<'_>,
    entry: &Arc<str>,
    engines: &[&Instance],
) -> PlacementRequest {
    let candidate = |instance: &&Instance| Candidate {
        identity: Arc::clone(&instance.listed.identity),
        penalty_ms: required.penalty_ms(instance, query.now_ms, query.random),
    };
    PlacementRequest {
        entry: Arc::clone(entry),
        demand: query.demand,
        planned_tokens: required.planned_tokens(query.engine),
        slots: query.engine.slots,
        unread_limit_tokens: query.unread_limit_tokens(),
        candidates: engines.iter().map(candidate).collect(),
    }
}

fn chosen(instance: &Instance, near: &ZoneName) -> ChosenInstance {
    ChosenInstance {
        identity: Arc::clone(&instance.listed.identity),
        address: instance.listed.address,
        same_zone: instance.listed.zone == *near,
        by_hub: false,
    }
}

fn fixed_penalty_ms(instance: &Instance, now_ms: u64, random: u64) -> u64 {
    let cold_ms = if instance.cold.is_cold(now_ms) {
        COLD_PENALTY_MS
    } else {
        0
    };
    cold_ms + random_order(instance, random) % JITTER_MS
}

/// The load and the pace of an engine that a generation may be placed on.
#[derive(Debug, Clone, Copy)]
pub(super) struct EngineLoad {
    /// Unprocessed prompt tokens.
    pub(super) prefill_tokens: u64,
    pub(super) committed_tokens: u64,
    /// How much of its memory may be committed.
    pub(super) planned_tokens: u64,
    pub(super) engine: PacedEngine,
}

/// Converts an engine's load to the expected time until a new prompt is processed there. For a
/// generation with a gap target, that time includes its own prompt at the pace of the engine, and
/// a penalty where gap targets would be missed.
pub(super) fn paced_waiting_ms(
    demand: Demand,
    unread_limit_tokens: Option<u64>,
    load: EngineLoad,
) -> u64 {
    let memory_ms = MEMORY_WEIGHT_MS * load.committed_tokens / load.planned_tokens.max(1);
    if demand.gap_target_ms.is_none() {
        return load.prefill_tokens / PREFILL_TOKENS_PER_MS + memory_ms;
    }
    let demand = demand.paced(unread_limit_tokens);
    // Divided separately, so that engines of one speed rank as they do without a gap target.
    let ahead_ms = load.engine.pace.scale(load.prefill_tokens) / PREFILL_TOKENS_PER_MS;
    let own_ms = load.engine.pace.scale(demand.unread_tokens) / PREFILL_TOKENS_PER_MS;
    ahead_ms + own_ms + memory_ms + pace::penalty_ms(&demand, &load.engine)
}

/// Returns the sort key of an instance in a random order.
fn random_order(instance: &Instance, random: u64) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(instance.listed.identity.as_bytes(), random)
}
