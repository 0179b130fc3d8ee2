//! One entry's view of the fleet, and the choice of an instance for a request.

// Times in milliseconds and counts of tokens stay far below what a float holds exactly.
#![allow(clippy::cast_precision_loss)]

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use super::{Listed, ListedState, Load, Pulse, Report};
use crate::domain::document::EngineSpec;
use crate::model::ZoneName;

/// Tokens that an engine reads of prompts per millisecond beside running generations. The
/// platform's engines read 112 tokens in a step that takes 7 ms longer than the reading itself.
const PREFILL_TOKENS_PER_MS: u64 = 7;
/// Part of an engine's memory that is planned for, in hundredths. The rest absorbs answers that are
/// longer than their estimate.
const PLANNED_MEMORY_PERCENT: u64 = 92;
/// The same for short generations: they are over before the long ones beside them have grown.
const SHORT_MEMORY_PERCENT: u64 = 110;
/// Generations that are expected to produce less end within a second.
const LONG_OUTPUT_TOKENS: u64 = 100;
/// The same for generations that are moved, of which much would be lost. Few generations reach
/// their full length at the same time.
const MOVE_MEMORY_PERCENT: u64 = 105;
/// Part of an engine's memory up to which it takes copies of generations that run elsewhere. The
/// rest is for generations of its own, which would have to be preempted otherwise.
const BACKUP_MEMORY_PERCENT: u64 = 70;
/// No copies are made once this much of all engines' memory is planned for.
const BACKUP_FLEET_PERCENT: u64 = 58;
/// Weight of an engine's planned memory in its score: a full engine counts as this much waiting.
const MEMORY_WEIGHT_MS: u64 = 400;
/// Waiting that a choice in another zone has to save, for the bytes that cross zones.
const ZONE_PENALTY_MS: u64 = 40;
/// The same for plain calls, which take some 30 ms.
const PLAIN_ZONE_PENALTY_MS: u64 = 20;
/// The same for the engine that takes a copy of a generation's memory: a copy between zones takes
/// the link twice as long, and the generation may go on there.
const COPY_ZONE_PENALTY_MS: u64 = 600;
/// Waiting added for an instance that has just started.
const COLD_PENALTY_MS: u64 = 150;
/// Upper bound of the random part of a score. Entries that share old information would otherwise
/// all choose the same instance.
const JITTER_MS: u64 = 25;
/// Time for which an instance that could not be reached is avoided; doubled for each failure.
const AVOID_FIRST_MS: u64 = 400;
const AVOID_MOST_MS: u64 = 4_000;
/// Weight of the newest answer in an instance's running averages, one in this many.
const AVERAGE_OVER: f64 = 12.0;
/// Expected time of a plain call before one was measured.
const FIRST_PLAIN_MS: f64 = 30.0;
/// Time in which what was learned of an instance counts half. Without it an instance that failed
/// once would never be tried again while others are free.
const MEMORY_HALF_LIFE_MS: f64 = 3_000.0;
/// An instance that fails all its requests counts as this many times as slow.
const FAILURE_WEIGHT: f64 = 12.0;

/// What a generation is expected to need.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
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
    pub now_ms: u64,
    pub random: u64,
}

/// What an engine has to offer for a generation, or for a copy of one.
#[derive(Debug, Clone, Copy)]
struct Wanted<'a> {
    /// Part of its memory that may be planned for, in hundredths.
    planned_percent: u64,
    near: &'a ZoneName,
    /// Engines of another zone count as this much waiting.
    zone_penalty_ms: u64,
}

/// A chosen instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Placed {
    pub identity: Arc<str>,
    pub address: SocketAddr,
    /// True if it is in the zone that it was looked for near.
    pub same_zone: bool,
}

/// What an entry knew of an instance.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Known {
    pub running: u32,
    pub committed_tokens: u64,
    pub prefill_tokens: u64,
    /// Memory in use by the newest report, and the report's age at the hub.
    pub used_tokens: Option<u64>,
    pub report_age_ms: Option<u64>,
}

/// That an instance is leaving, and when it will be gone if that is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Leaving {
    pub gone_at_ms: Option<u64>,
}

/// How a request ended at an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    Answered {
        took_ms: u64,
    },
    /// The instance answered with a failure of its own.
    Failed,
    /// The instance did not run the request.
    Refused,
    /// No connection, or no complete answer.
    Unreachable,
}

#[derive(Debug, Clone)]
struct Instance {
    listed: Listed,
    /// What this entry has placed there.
    running: u32,
    committed_tokens: u64,
    prefill_tokens: u64,
    /// What the others have, as of the last sync.
    others: Option<Pulse>,
    leaving: Option<Leaving>,
    avoid_until_ms: u64,
    failures_in_row: u32,
    average_ms: f64,
    failure_rate: f64,
    /// When the last request ended.
    observed_ms: u64,
}

impl Instance {
    fn new(listed: Listed) -> Self {
        Self {
            listed,
            running: 0,
            committed_tokens: 0,
            prefill_tokens: 0,
            others: None,
            leaving: None,
            avoid_until_ms: 0,
            failures_in_row: 0,
            average_ms: FIRST_PLAIN_MS,
            failure_rate: 0.0,
            observed_ms: 0,
        }
    }

    fn usable(&self, now_ms: u64) -> bool {
        self.listed.state == ListedState::Ready
            && self.leaving.is_none()
            && self.avoid_until_ms <= now_ms
    }

    fn total_running(&self) -> u32 {
        self.running + self.others.as_ref().map_or(0, |pulse| pulse.running)
    }

    fn total_committed(&self) -> u64 {
        self.committed_tokens
            + self
                .others
                .as_ref()
                .map_or(0, |pulse| pulse.committed_tokens)
    }

    fn total_prefill(&self) -> u64 {
        self.prefill_tokens + self.others.as_ref().map_or(0, |pulse| pulse.prefill_tokens)
    }

    /// Returns the expected time of a plain call on an idle instance. What was learned of it fades
    /// into what is typical of its service.
    fn expected_ms(&self, typical_ms: f64, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.observed_ms) as f64;
        let kept = (-age_ms / MEMORY_HALF_LIFE_MS).exp2();
        let average_ms = match self.observed_ms {
            0 => typical_ms,
            _ => typical_ms + (self.average_ms - typical_ms) * kept,
        };
        average_ms * (1.0 + FAILURE_WEIGHT * self.failure_rate * kept)
    }

    /// Returns true if the memory in use, as last reported, leaves room for so many tokens. Copies
    /// that nobody takes up are not counted in what entries have placed.
    fn holds_now(&self, tokens: u64, memory_tokens: u64) -> bool {
        let used = self.report().map_or(0, |report| report.used_tokens);
        used == 0 || used + tokens <= memory_tokens
    }

    fn report(&self) -> Option<&Report> {
        self.others
            .as_ref()?
            .report
            .as_ref()
            .map(|(report, _)| report)
    }
}

/// The instances that an entry knows.
#[derive(Debug)]
pub struct View {
    zone: ZoneName,
    instances: BTreeMap<Arc<str>, Instance>,
    by_service: BTreeMap<Arc<str>, BTreeSet<Arc<str>>>,
    /// The revision of the list at the hub that it came from.
    pub revision: Option<u64>,
    /// When the list was read from the platform.
    listed_ms: Option<u64>,
}

impl View {
    /// Returns an empty view of an entry in a zone.
    pub fn new(zone: ZoneName) -> Self {
        Self {
            zone,
            instances: BTreeMap::new(),
            by_service: BTreeMap::new(),
            revision: None,
            listed_ms: None,
        }
    }

    /// Takes a list that was read at `read_ms`. One that is older than the last is ignored: a hub
    /// that did not lead for a while still has the list of then. Instances that are no longer
    /// listed are forgotten once nothing of this entry runs there.
    pub fn list(&mut self, listed: Vec<Listed>, revision: Option<u64>, read_ms: u64, now_ms: u64) {
        if self.listed_ms.is_some_and(|before_ms| read_ms < before_ms) {
            return;
        }
        self.listed_ms = Some(read_ms);
        let names: BTreeSet<Arc<str>> = listed
            .iter()
            .map(|listed| Arc::clone(&listed.identity))
            .collect();
        for listed in listed {
            let identity = Arc::clone(&listed.identity);
            let instance = self
                .instances
                .entry(identity)
                .or_insert_with(|| Instance::new(listed.clone()));
            // A replica may start again under its old identity, at another address.
            instance.listed = listed;
            if instance.listed.state == ListedState::Draining && instance.leaving.is_none() {
                instance.leaving = Some(Leaving { gone_at_ms: None });
            }
        }
        for (identity, instance) in &mut self.instances {
            if !names.contains(identity) && instance.leaving.is_none() {
                instance.leaving = Some(Leaving {
                    gone_at_ms: Some(now_ms),
                });
            }
        }
        self.instances
            .retain(|identity, i| names.contains(identity) || i.running > 0);
        self.by_service.clear();
        for (identity, instance) in &self.instances {
            let members = self.by_service.entry(Arc::clone(&instance.listed.service));
            members.or_default().insert(Arc::clone(identity));
        }
        self.revision = revision;
    }

    /// Takes what the hub knows. Returns true if an instance has begun to leave.
    pub fn pulse(&mut self, pulses: Vec<Pulse>, now_ms: u64) -> bool {
        for instance in self.instances.values_mut() {
            instance.others = None;
        }
        let mut news = false;
        for pulse in pulses {
            let Some(instance) = self.instances.get_mut(&pulse.identity) else {
                continue;
            };
            if let Some((report, age_ms)) = pulse.report.filter(|(report, _)| report.leaves()) {
                let gone_at_ms = report
                    .leaves_in_ms
                    .map(|leaves_in_ms| (now_ms + leaves_in_ms).saturating_sub(age_ms));
                let known = instance
                    .leaving
                    .is_some_and(|leaving| leaving.gone_at_ms.is_some());
                if !known {
                    news |= instance.leaving.is_none() || gone_at_ms.is_some();
                    instance.leaving = Some(Leaving { gone_at_ms });
                }
            }
            instance.others = Some(pulse);
        }
        news
    }

    /// Returns whether an instance is leaving; one that is not known is gone.
    pub fn leaving(&self, identity: &str) -> Option<Leaving> {
        match self.instances.get(identity) {
            Some(instance) => instance.leaving,
            None => Some(Leaving {
                gone_at_ms: Some(0),
            }),
        }
    }

    /// Returns the number of instances of a service that take requests.
    pub fn usable(&self, service: &str, now_ms: u64) -> usize {
        self.members(service).filter(|i| i.usable(now_ms)).count()
    }

    /// Returns the identity of the instance at an address.
    pub fn identity_at(&self, address: SocketAddr) -> Option<Arc<str>> {
        let mut instances = self.instances.values();
        let found = instances.find(|i| i.listed.address == address && i.leaving.is_none())?;
        Some(Arc::clone(&found.listed.identity))
    }

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
            !excluded.contains(&instance.listed.identity)
                && instance.listed.state == ListedState::Ready
                && instance.leaving.is_none()
        };
        let typical_ms = self.typical_ms(service);
        let score = |instance: &Instance| {
            let waiting =
                f64::from(instance.total_running()) / f64::from(instance.listed.slots.max(1));
            let time_ms = instance.expected_ms(typical_ms, now_ms) * (1.0 + waiting);
            let avoided = if instance.avoid_until_ms > now_ms {
                1e6
            } else {
                0.0
            };
            let away = instance.listed.zone != self.zone;
            let zone_ms = if away { PLAIN_ZONE_PENALTY_MS } else { 0 };
            time_ms + avoided + zone_ms as f64 + fixed_penalty_ms(instance, random)
        };
        let best = self
            .members(service)
            .filter(open)
            .map(|instance| (score(instance), instance))
            .min_by(|(a, _), (b, _)| a.total_cmp(b));
        best.map(|(_, instance)| placed(instance, &self.zone))
    }

    /// Chooses an engine for a generation: one whose memory and slots are planned to hold it, with
    /// the shortest expected wait for the first token. Returns none if no engine has room.
    pub fn choose_engine(&self, ask: &Ask<'_>) -> Option<Placed> {
        let wanted = Wanted {
            planned_percent: match ask.demand.is_long() {
                true => PLANNED_MEMORY_PERCENT,
                false => SHORT_MEMORY_PERCENT,
            },
            near: &self.zone,
            zone_penalty_ms: ZONE_PENALTY_MS,
        };
        self.ranked(ask, wanted, 1).pop()
    }

    /// Returns engines that a generation may be moved to from `source`, the best one first.
    pub fn targets(&self, ask: &Ask<'_>, source: &str, most: usize) -> Vec<Placed> {
        let wanted = Wanted {
            planned_percent: MOVE_MEMORY_PERCENT,
            near: self.zone_of(source),
            zone_penalty_ms: COPY_ZONE_PENALTY_MS,
        };
        self.ranked(ask, wanted, most)
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
        self.ranked(ask, wanted, 1).pop()
    }

    /// Returns up to `most` engines that have what is wanted, the best one first.
    fn ranked(&self, ask: &Ask<'_>, wanted: Wanted<'_>, most: usize) -> Vec<Placed> {
        let (demand, engine, now_ms) = (ask.demand, ask.engine, ask.now_ms);
        let planned = engine.memory_tokens * wanted.planned_percent / 100;
        let fits = |instance: &&Instance| {
            let committed = instance.total_committed();
            instance.usable(now_ms)
                && instance.holds_now(demand.prompt_tokens, engine.memory_tokens)
                && !ask.excluded.contains(&instance.listed.identity)
                && instance.total_running() < engine.slots
                && (committed + demand.total_tokens() <= planned || committed == 0)
        };
        let score = |instance: &Instance| {
            let prefill_ms = instance.total_prefill() / PREFILL_TOKENS_PER_MS;
            let memory_ms = MEMORY_WEIGHT_MS * instance.total_committed() / planned.max(1);
            let zone_ms = match instance.listed.zone == *wanted.near {
                true => 0,
                false => wanted.zone_penalty_ms,
            };
            (prefill_ms + memory_ms + zone_ms) as f64 + fixed_penalty_ms(instance, ask.random)
        };
        let fitting = self.members(ask.service).filter(fits);
        let mut ranked: Vec<(f64, &Instance)> = fitting.map(|i| (score(i), i)).collect();
        ranked.sort_by(|(a, _), (b, _)| a.total_cmp(b));
        ranked
            .into_iter()
            .take(most)
            .map(|(_, instance)| placed(instance, wanted.near))
            .collect()
    }

    /// Returns the average time of a plain call over the instances of a service. An instance that
    /// was not used yet counts as typical; a fixed time would keep it unused where calls are faster.
    fn typical_ms(&self, service: &str) -> f64 {
        let observed = self.members(service).filter(|i| i.observed_ms > 0);
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

    /// Counts a request that is sent to an instance.
    pub fn begin(&mut self, identity: &str, demand: Option<Demand>) {
        if let Some(instance) = self.instances.get_mut(identity) {
            instance.running += 1;
            if let Some(demand) = demand {
                instance.committed_tokens += demand.total_tokens();
                instance.prefill_tokens += demand.prompt_tokens;
            }
        }
    }

    /// Counts the first event of a generation, whose prompt has been read.
    pub fn prompt_read(&mut self, identity: &str, demand: Demand) {
        if let Some(instance) = self.instances.get_mut(identity) {
            instance.prefill_tokens = instance.prefill_tokens.saturating_sub(demand.prompt_tokens);
        }
    }

    /// Counts the end of a request.
    pub fn end(&mut self, identity: &str, demand: Option<Demand>, prompt_read: bool) {
        if let Some(instance) = self.instances.get_mut(identity) {
            instance.running = instance.running.saturating_sub(1);
            if let Some(demand) = demand {
                instance.committed_tokens = instance
                    .committed_tokens
                    .saturating_sub(demand.total_tokens());
                if !prompt_read {
                    instance.prefill_tokens =
                        instance.prefill_tokens.saturating_sub(demand.prompt_tokens);
                }
            }
        }
    }

    /// Learns from how a request ended.
    pub fn observe(&mut self, identity: &str, outcome: Outcome, now_ms: u64) {
        let Some(instance) = self.instances.get_mut(identity) else {
            return;
        };
        let failed = match outcome {
            Outcome::Answered { took_ms } => {
                instance.average_ms += (took_ms as f64 - instance.average_ms) / AVERAGE_OVER;
                0.0
            }
            Outcome::Failed => 1.0,
            Outcome::Refused => 0.5,
            Outcome::Unreachable => {
                let avoid_ms = AVOID_FIRST_MS << instance.failures_in_row.min(8);
                instance.avoid_until_ms = now_ms + avoid_ms.min(AVOID_MOST_MS);
                instance.failures_in_row += 1;
                1.0
            }
        };
        if outcome != Outcome::Unreachable {
            instance.failures_in_row = 0;
        }
        instance.observed_ms = now_ms;
        instance.failure_rate += (failed - instance.failure_rate) / AVERAGE_OVER;
    }

    /// Takes word from the instance at an address that it is not the one that is listed there.
    pub fn misdirected(&mut self, identity: &str, now_ms: u64) {
        if let Some(instance) = self.instances.get_mut(identity) {
            instance.leaving = Some(Leaving {
                gone_at_ms: Some(now_ms),
            });
        }
    }

    /// Returns what this entry has placed, for the hub.
    pub fn loads(&self) -> Vec<Load> {
        self.instances
            .values()
            .filter(|instance| instance.running > 0)
            .map(|instance| Load {
                identity: Arc::clone(&instance.listed.identity),
                running: instance.running,
                committed_tokens: instance.committed_tokens,
                prefill_tokens: instance.prefill_tokens,
            })
            .collect()
    }

    /// Returns what a choice of an instance was based on, for the log.
    pub fn known(&self, identity: &str) -> Known {
        let Some(instance) = self.instances.get(identity) else {
            return Known::default();
        };
        let report = instance.others.as_ref().and_then(|pulse| pulse.report);
        Known {
            running: instance.total_running(),
            committed_tokens: instance.total_committed(),
            prefill_tokens: instance.total_prefill(),
            used_tokens: report.map(|(report, _)| report.used_tokens),
            report_age_ms: report.map(|(_, age_ms)| age_ms),
        }
    }

    fn members(&self, service: &str) -> impl Iterator<Item = &Instance> {
        let members = self.by_service.get(service).into_iter().flatten();
        members.filter_map(|identity| self.instances.get(identity))
    }
}

fn placed(instance: &Instance, near: &ZoneName) -> Placed {
    Placed {
        identity: Arc::clone(&instance.listed.identity),
        address: instance.listed.address,
        same_zone: instance.listed.zone == *near,
    }
}

fn fixed_penalty_ms(instance: &Instance, random: u64) -> f64 {
    let cold_ms = if instance.listed.cold {
        COLD_PENALTY_MS
    } else {
        0
    };
    let bytes = instance.listed.identity.as_bytes();
    let jitter_ms = xxhash_rust::xxh3::xxh3_64_with_seed(bytes, random) % JITTER_MS;
    (cold_ms + jitter_ms) as f64
}
