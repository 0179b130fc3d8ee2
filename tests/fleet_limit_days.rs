//! Random days of a site whose instances name, change and end request limits, while hubs are lost or
//! do not answer and entries restart or lose the hub. `LILAC_SEEDS` sets the number of days.

mod fleet_support;

use std::sync::Arc;

use fleet_support::limits::{assert_within, sync};
use fleet_support::{listed, view};
use lilacspindle::domain::fleet::{Hub, Listed, NamedLimit, Permit, View};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const DAY_MS: u64 = 40_000;
const STEP_MS: u64 = 10;
/// The rule holds from this long after an instance has first named a limit, and counts the requests
/// of entries that it has told this long before.
const SETTLING_MS: u64 = 3_000;
const TOLD_MS: u64 = 500;

/// One instance: its limit at each time, and the requests that count by the users' rule.
struct Server {
    /// Times of change and the limit from then on.
    limits: Vec<(u64, Option<u64>)>,
    /// When each entry was first told of the limit by the instance itself, since its start.
    told_ms: Vec<Option<u64>>,
    counted_ms: Vec<u64>,
    /// Number of requests of all entries under a limit.
    limited: u32,
}

impl Server {
    fn limit(&self, at_ms: u64) -> Option<u64> {
        let mut before = self.limits.iter().rev();
        before.find(|(from_ms, _)| *from_ms <= at_ms)?.1
    }
}

struct Day {
    random: StdRng,
    servers: Vec<Server>,
    views: Vec<View>,
    hub: Hub,
    hub_away_until_ms: u64,
    cut_until_ms: Vec<u64>,
    served_without_limit: u32,
}

fn list() -> Vec<Listed> {
    (1..=3).map(|number| listed(number, "a")).collect()
}

fn new_view(number: usize, entries: usize) -> View {
    let mut view = view(3);
    view.set_seed(xxhash_rust::xxh3::xxh3_64(&number.to_le_bytes()));
    view.set_entries(u32::try_from(entries).unwrap());
    view
}

impl Day {
    fn new(seed: u64, entries: usize) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let servers = (0..3).map(|number| {
            let from_ms = random.random_range(1_000..6_000);
            let mut limits = vec![(from_ms, Some(random.random_range(1_000..6_000)))];
            if number > 0 {
                let change_ms = from_ms + random.random_range(8_000..14_000);
                limits.push((change_ms, Some(random.random_range(500..12_000))));
            }
            if number > 1 {
                limits.push((DAY_MS - 8_000, None));
            }
            Server {
                limits,
                told_ms: vec![None; entries],
                counted_ms: Vec::new(),
                limited: 0,
            }
        });
        let servers = servers.collect();
        let mut hub = Hub::new(9);
        hub.list(list(), 0);
        Self {
            random,
            servers,
            views: (0..entries)
                .map(|number| new_view(number, entries))
                .collect(),
            hub,
            hub_away_until_ms: 0,
            cut_until_ms: vec![0; entries],
            served_without_limit: 0,
        }
    }

    /// Loses the hub every 5 s on average, cuts an entry off every 3 s and restarts one every 4 s.
    fn disturb(&mut self, now_ms: u64) {
        let entries = self.views.len();
        if self.random.random_bool(1.0 / 500.0) {
            self.hub = Hub::new(self.random.random());
            self.hub.list(list(), now_ms);
            self.hub_away_until_ms = now_ms + self.random.random_range(0..2_500);
        }
        if self.random.random_bool(1.0 / 300.0) {
            let cut = self.random.random_range(0..entries);
            self.cut_until_ms[cut] = now_ms + self.random.random_range(500..4_000);
        }
        if self.random.random_bool(1.0 / 400.0) {
            let restarted = self.random.random_range(0..entries);
            self.views[restarted] = new_view(restarted, entries);
            for server in &mut self.servers {
                server.told_ms[restarted] = None;
            }
        }
    }

    fn has_hub(&self, entry: usize, now_ms: u64) -> bool {
        now_ms >= self.hub_away_until_ms && now_ms >= self.cut_until_ms[entry]
    }

    /// Lets entries sync, each every 200 ms and at its own time.
    fn sync(&mut self, now_ms: u64) {
        for entry in 0..self.views.len() {
            let is_due = (now_ms / STEP_MS + entry as u64).is_multiple_of(20);
            if is_due && self.has_hub(entry, now_ms) {
                let name = format!("entry-{entry}");
                sync(&mut self.views[entry], &mut self.hub, &name, now_ms);
            }
        }
    }

    /// Asks for a permit, as an entry does.
    fn permit(&mut self, entry: usize, limited: &[Arc<str>], now_ms: u64) -> Option<usize> {
        let has_hub = self.has_hub(entry, now_ms);
        let view = &mut self.views[entry];
        match limited.is_empty() {
            true => None,
            false if has_hub => {
                let notices = view.limit_notices_of(limited, now_ms);
                self.hub.hear_limits(&notices, now_ms);
                match self.hub.permit(&notices, now_ms) {
                    Permit::Granted(at) => Some(at),
                    Permit::Refused(reached) => {
                        for (identity, ready_in_ms) in limited.iter().zip(reached.ready_in_ms) {
                            view.set_at_limit(identity, ready_in_ms, now_ms);
                        }
                        None
                    }
                }
            }
            false => view.take_local_permit(limited, now_ms),
        }
    }

    /// Sends a request from a random entry to the instance that it chooses.
    fn request(&mut self, now_ms: u64) {
        let entry = self.random.random_range(0..self.views.len());
        let random = self.random.random();
        let candidates = self.views[entry].plain_candidates("model", &[], now_ms, random);
        let limited = candidates.limited.iter();
        let limited: Vec<Arc<str>> = limited.map(|i| Arc::clone(&i.identity)).collect();
        let permit = self.permit(entry, &limited, now_ms);
        let chosen = match permit {
            Some(at) => candidates.limited.get(at),
            None => candidates.unlimited.as_ref(),
        };
        let Some(chosen) = chosen else {
            return;
        };
        let at = chosen.identity[2..].parse::<usize>().unwrap() - 1;
        let server = &mut self.servers[at];
        if server.told_ms[entry].is_some_and(|told_ms| told_ms + TOLD_MS <= now_ms) {
            server.counted_ms.push(now_ms);
        }
        let limit = server.limit(now_ms);
        match limit {
            Some(_) => {
                server.told_ms[entry].get_or_insert(now_ms);
                server.limited += 1;
            }
            None => self.served_without_limit += 1,
        }
        let named = limit.map(NamedLimit::MilliPerS);
        self.views[entry].hear_limit(&chosen.identity, named, now_ms, now_ms);
    }
}

fn play(seed: u64, entries: usize) {
    let mut day = Day::new(seed, entries);
    for now_ms in (0..DAY_MS).step_by(10) {
        day.disturb(now_ms);
        day.sync(now_ms);
        // 50 requests per second.
        if day.random.random_bool(0.5) {
            day.request(now_ms);
        }
    }
    for (at, server) in day.servers.iter().enumerate() {
        // The users apply the first limit to the whole of a window that begins before it.
        let limit = |at_ms: u64| {
            let limit = server.limit(at_ms.max(server.limits[0].0))?;
            Some(f64::from(u32::try_from(limit).unwrap()) / 1_000.0)
        };
        let from_ms = server.limits[0].0 + SETTLING_MS;
        let what = format!("seed {seed}, {entries} entries, instance {at}");
        assert_within(&server.counted_ms, from_ms, limit, &what);
        assert!(server.limited > 10, "{what}: the limit is used");
    }
    let served = day.served_without_limit;
    assert!(served > 100, "seed {seed}: load returns after a limit");
}

#[test]
fn random_days_keep_to_limits() {
    let seeds = std::env::var("LILAC_SEEDS").ok();
    let seeds: u64 = seeds.and_then(|seeds| seeds.parse().ok()).unwrap_or(20);
    for seed in 0..seeds {
        play(seed, 3);
        play(seed, 30);
    }
    for seed in 0..seeds.div_ceil(10) {
        play(seed, 300);
    }
}
