//! One entry's view of the fleet.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::departures::{Departure, Departures};
use super::instance::{Instance, Known, Leaving, Others, Outcome, Reachability};
use super::news::{News, Position};
use super::pause::AskedPause;
use super::{Demand, Listed, ListedState, Load, Pulse, Report};
use crate::model::ZoneName;

/// What the platform's list says may be this old when it is read.
const LIST_LAG_MS: u64 = 800;

/// The instances that an entry knows.
#[derive(Debug)]
pub struct View {
    pub(super) zone: ZoneName,
    pub(super) instances: BTreeMap<Arc<str>, Instance>,
    by_service: BTreeMap<Arc<str>, BTreeSet<Arc<str>>>,
    /// The list as the hub has told it.
    told: BTreeMap<Arc<str>, Listed>,
    /// Instances that the hub no longer tells of, though they may be listed. They end what runs.
    dropped: BTreeSet<Arc<str>>,
    /// What instances have said to this entry of their leaving.
    departures: Departures,
    /// How much of the hub's news is known; none if the list is from somewhere else.
    position: Option<Position>,
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
            told: BTreeMap::new(),
            dropped: BTreeSet::new(),
            departures: Departures::default(),
            position: None,
            listed_ms: None,
        }
    }

    /// Returns the zone of the entry.
    pub fn zone(&self) -> &ZoneName {
        &self.zone
    }

    /// Returns how much of a hub's news is known.
    pub fn position(&self) -> Option<Position> {
        self.position
    }

    /// Takes the news of a hub whose list was read at `read_ms`. Returns true if the list has changed
    /// or an instance has begun to leave. The list of another hub that is older than the last is
    /// ignored: a hub that did not lead for a while still has the list of then.
    pub fn learn(&mut self, news: News, read_ms: u64, now_ms: u64) -> bool {
        let is_same_hub = self
            .position
            .is_some_and(|position| position.hub == news.position.hub);
        if !is_same_hub && self.is_outdated(read_ms) {
            self.position = None;
            return false;
        }
        if news.whole {
            self.told.clear();
            self.dropped.clear();
            for instance in self.instances.values_mut() {
                instance.others = None;
            }
            if news.is_subset {
                self.dropped.extend(self.instances.keys().cloned());
            }
        }
        let is_told_of_fewer = !news.gone.is_empty() || !news.dropped.is_empty();
        let list_changed = news.whole || !news.listed.is_empty() || is_told_of_fewer;
        for identity in news.gone.iter().chain(&news.dropped) {
            self.told.remove(identity);
        }
        self.dropped.extend(news.dropped);
        for identity in &news.gone {
            self.dropped.remove(identity);
        }
        for listed in news.listed {
            self.dropped.remove(&listed.identity);
            self.told.insert(Arc::clone(&listed.identity), listed);
        }
        if list_changed {
            let listed = self.told.values().cloned().collect();
            self.apply_list(listed, read_ms, now_ms);
        }
        self.position = Some(news.position);
        self.pulse(news.pulses, now_ms) || list_changed
    }

    /// Takes a list that was read from the platform at `read_ms`. One that is older than the last is
    /// ignored.
    pub fn list(&mut self, listed: Vec<Listed>, read_ms: u64, now_ms: u64) {
        if !self.is_outdated(read_ms) {
            self.position = None;
            self.dropped.clear();
            self.apply_list(listed, read_ms, now_ms);
        }
    }

    /// Returns true for a list that is older than the last by more than the platform's own lag. Among
    /// younger ones the hub's goes first: it knows engines that the platform does not show yet.
    fn is_outdated(&self, read_ms: u64) -> bool {
        self.listed_ms
            .is_some_and(|before_ms| read_ms + LIST_LAG_MS < before_ms)
    }

    /// Instances that are no longer listed are forgotten once nothing of this entry runs there.
    fn apply_list(&mut self, listed: Vec<Listed>, read_ms: u64, now_ms: u64) {
        self.listed_ms = self.listed_ms.max(Some(read_ms));
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
            instance.list(listed, read_ms);
            if self.departures.has(&instance.listed) {
                instance.leave(None);
            }
        }
        for (identity, instance) in &mut self.instances {
            if !names.contains(identity) && !self.dropped.contains(identity) {
                instance.delist(Some(now_ms), read_ms);
            }
        }
        self.instances
            .retain(|identity, i| names.contains(identity) || i.is_remembered(now_ms));
        self.dropped
            .retain(|identity| self.instances.contains_key(identity));
        self.by_service.clear();
        let listed = self.instances.iter();
        for (identity, instance) in listed.filter(|(identity, _)| names.contains(*identity)) {
            let members = self.by_service.entry(Arc::clone(&instance.listed.service));
            members.or_default().insert(Arc::clone(identity));
        }
    }

    /// Takes what the hub says of some instances. Returns true if one has begun to leave.
    pub fn pulse(&mut self, pulses: Vec<Pulse>, now_ms: u64) -> bool {
        let mut news = false;
        for mut pulse in pulses {
            let Some(instance) = self.instances.get_mut(&pulse.identity) else {
                continue;
            };
            let current = |(report, _): &(Report, u64)| instance.accept_start(report.born_ms);
            pulse.report = pulse.report.filter(current);
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
            instance.others = Some(Others {
                report: pulse
                    .report
                    .map(|(report, age_ms)| (report, now_ms.saturating_sub(age_ms))),
                running: pulse.running,
                committed_tokens: pulse.committed_tokens,
                prefill_tokens: pulse.prefill_tokens,
            });
        }
        news
    }

    /// Takes word from an instance that it leaves. Returns true if that is news.
    pub fn says_leaving(&mut self, identity: &str, now_ms: u64) -> bool {
        let Some(instance) = self.instances.get_mut(identity) else {
            return false;
        };
        instance.leave(None);
        self.departures.add((&instance.listed).into(), now_ms)
    }

    /// Returns the departures that the hub does not tell of yet.
    pub fn departures(&self) -> Vec<Departure> {
        let is_untold =
            |listed: &&Listed| listed.state == ListedState::Ready && self.departures.has(listed);
        let untold = self.told.values().filter(is_untold);
        untold.map(Departure::from).collect()
    }

    /// Takes word from an instance that it wants no requests for some time.
    pub fn asks_for_time(&mut self, identity: &str, asked: AskedPause, now_ms: u64) {
        if let Some(instance) = self.instances.get_mut(identity) {
            instance.pause.ask(asked, now_ms);
        }
    }

    /// Returns how much longer an instance wants no requests; 0 if it takes them.
    pub fn pause_left_ms(&self, identity: &str, now_ms: u64) -> u64 {
        let instance = self.instances.get(identity);
        instance.map_or(0, |instance| instance.pause.left_ms(now_ms))
    }

    /// Returns when the first instance of a service takes requests again, if all that stay have asked
    /// for time.
    pub fn all_paused_for_ms(&self, service: &str, now_ms: u64) -> Option<u64> {
        let staying = self.members(service).filter(|i| i.leaving.is_none());
        let soonest_ms = staying.map(|i| i.pause.left_ms(now_ms)).min()?;
        (soonest_ms > 0).then_some(soonest_ms)
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
    pub fn observe(&mut self, identity: &str, outcome: Outcome, now_ms: u64) -> Reachability {
        match self.instances.get_mut(identity) {
            Some(instance) => instance.observe(outcome, now_ms),
            None => Reachability::Unchanged,
        }
    }

    /// Takes word from the instance at an address that it is not the one that is listed there. It is
    /// used again once the list has shown it gone, elsewhere or with a later start.
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
    pub fn known(&self, identity: &str, now_ms: u64) -> Known {
        let instance = self.instances.get(identity);
        instance.map_or_else(Known::default, |instance| instance.known(now_ms))
    }

    pub(super) fn members(&self, service: &str) -> impl Iterator<Item = &Instance> {
        let members = self.by_service.get(service).into_iter().flatten();
        members.filter_map(|identity| self.instances.get(identity))
    }
}
