//! The pace of engines and placement by it, without I/O.

mod fleet_support;

use std::sync::Arc;

use fleet_support::{ENGINE, listed};
use lilacspindle::domain::document::EngineSpec;
use lilacspindle::domain::fleet::{Demand, EngineQuery, Hub, View};
use lilacspindle::model::ZoneName;

const ENGINES: u8 = 55;
const ENTRIES: usize = 16;
const GAP_TARGET_MS: u64 = 180;
const SPEEDS: [f64; 3] = [0.6, 1.0, 1.6];
const NEIGHBOUR_SPELL_MS: u64 = 600;

/// Returns pseudo-random numbers.
struct Random(u64);

impl Random {
    fn next(&mut self) -> u64 {
        self.0 = xxhash_rust::xxh3::xxh3_64(&self.0.to_le_bytes());
        self.0
    }

    fn chance(&mut self, probability: f64) -> bool {
        (self.next() % 1_000_000) as f64 <= probability * 1e6
    }
}

struct Stream {
    entry: usize,
    demand: Demand,
    arrived_ms: u64,
    unread_tokens: u64,
    made_tokens: u64,
    event_at_ms: Option<f64>,
    is_late: bool,
}

#[derive(Default)]
struct Engine {
    speed: f64,
    slowed_until_ms: u64,
    /// End of the current step.
    time_ms: f64,
    streams: Vec<Stream>,
}

#[derive(Debug, Default)]
struct Counts {
    long: u32,
    late_long: u32,
    short: u32,
    late_short: u32,
    waited_ms: u64,
}

/// A fleet of simulated engines with the real hub and the real views of entries.
struct Fleet {
    hub: Hub,
    views: Vec<View>,
    names: Vec<Arc<str>>,
    engines: Vec<Engine>,
    counts: Counts,
}

impl Fleet {
    fn new(speeds: &[f64]) -> Self {
        let list: Vec<_> = (0..ENGINES).map(|number| listed(number, "a")).collect();
        let mut hub = Hub::new(1);
        hub.list(list.clone(), 0);
        let engine = |number: usize| Engine {
            speed: speeds[number % speeds.len()],
            ..Engine::default()
        };
        Self {
            hub,
            views: (0..ENTRIES)
                .map(|_| View::new(ZoneName::from("a")))
                .collect(),
            names: (0..ENTRIES).map(|n| format!("entry-{n}").into()).collect(),
            engines: (0..usize::from(ENGINES)).map(engine).collect(),
            counts: Counts::default(),
        }
    }

    fn sync(&mut self, entry: usize, now_ms: u64) {
        let (view, name) = (&mut self.views[entry], &self.names[entry]);
        self.hub.load(name, &view.take_loads(now_ms), now_ms);
        let since = view.position();
        let update = self
            .hub
            .updates_since(name, &ZoneName::from("a"), since, now_ms);
        view.apply_update(update.unwrap(), now_ms, now_ms);
    }

    /// Places a generation and returns true, or returns false if there is no room.
    fn place(
        &mut self,
        entry: usize,
        demand: Demand,
        arrived_ms: u64,
        now_ms: u64,
        random: u64,
    ) -> bool {
        let query = EngineQuery {
            service: "model",
            demand,
            engine: EngineSpec {
                memory_tokens: 26_954,
                ..ENGINE
            },
            excluded: &[],
            read_within_ms: Some(900),
            now_ms,
            random,
        };
        let view = &mut self.views[entry];
        let (request, engines) = view.placement_request(&query, &self.names[entry], false);
        let Some(at) = self.hub.place(&request, now_ms) else {
            return false;
        };
        let identity = &engines[at].identity;
        view.begin(identity, Some(demand));
        let number: usize = identity.strip_prefix("i-").unwrap().parse().unwrap();
        self.engines[number].streams.push(Stream {
            entry,
            demand,
            arrived_ms,
            unread_tokens: demand.prompt_tokens,
            made_tokens: 0,
            event_at_ms: None,
            is_late: false,
        });
        true
    }

    /// Runs the steps of an engine that end by `now_ms`.
    fn run_engine(&mut self, number: usize, now_ms: u64) {
        let identity = format!("i-{number}");
        let engine = &mut self.engines[number];
        let now = now_ms as f64;
        if engine.streams.is_empty() {
            engine.time_ms = now;
        }
        while engine.time_ms < now && !engine.streams.is_empty() {
            let reading = engine
                .streams
                .iter()
                .position(|stream| stream.unread_tokens > 0);
            let decoding = engine
                .streams
                .iter()
                .filter(|stream| stream.unread_tokens == 0);
            let step_ms =
                7.0 + 0.12 * decoding.count() as f64 + if reading.is_some() { 8.0 } else { 0.0 };
            let slowed = if now_ms < engine.slowed_until_ms {
                2.5
            } else {
                1.0
            };
            engine.time_ms += step_ms * engine.speed * slowed;
            for (at, stream) in engine.streams.iter_mut().enumerate() {
                if Some(at) == reading {
                    stream.unread_tokens = stream.unread_tokens.saturating_sub(112);
                }
                if stream.unread_tokens > 0 || Some(at) == reading {
                    continue;
                }
                stream.made_tokens += 1;
                if stream.made_tokens % 4 != 0 {
                    continue;
                }
                let view = &mut self.views[stream.entry];
                match stream.event_at_ms.replace(engine.time_ms) {
                    Some(before_ms) => {
                        let gap_ms = (engine.time_ms - before_ms).round() as u64;
                        view.record_gap(&identity, gap_ms, 1);
                        stream.is_late |= gap_ms > GAP_TARGET_MS;
                    }
                    None => {
                        view.prompt_read(&identity, stream.demand);
                        let target_ms = if stream.demand.is_long() {
                            1_800.0
                        } else {
                            1_500.0
                        };
                        stream.is_late = engine.time_ms - stream.arrived_ms as f64 > target_ms;
                    }
                }
            }
            let is_done = |stream: &mut Stream| stream.made_tokens >= stream.demand.output_tokens;
            for done in engine.streams.extract_if(.., is_done) {
                self.views[done.entry].end(&identity, Some(done.demand), true);
                let late = u32::from(done.is_late);
                let counts = &mut self.counts;
                match done.demand.is_long() {
                    true => {
                        (counts.long, counts.late_long) = (counts.long + 1, counts.late_long + late)
                    }
                    false => {
                        (counts.short, counts.late_short) =
                            (counts.short + 1, counts.late_short + late)
                    }
                }
            }
        }
    }
}

/// Replays the load of the planned deployment: 26.7 long and 30 short generations a second.
fn replay(speeds: &[f64], gap_target_ms: Option<u64>, seconds: u64) -> Fleet {
    let mut fleet = Fleet::new(speeds);
    let mut random = Random(7);
    let demand = |prompt_tokens, output_tokens| Demand {
        prompt_tokens,
        output_tokens,
        gap_target_ms,
    };
    let mut waiting: Vec<(usize, Demand, u64)> = Vec::new();
    for now_ms in 0..seconds * 1_000 {
        for (kind, per_ms) in [(demand(3_080, 748), 0.0267), (demand(2_550, 12), 0.03)] {
            if random.chance(per_ms) {
                waiting.push((random.next() as usize % ENTRIES, kind, now_ms));
            }
        }
        for entry in
            (0..ENTRIES).filter(|entry| (now_ms + 13 * *entry as u64) % 200 == 0 || now_ms == 0)
        {
            fleet.sync(entry, now_ms);
        }
        waiting.retain(|(entry, demand, arrived_ms)| {
            let tries = (now_ms - arrived_ms) % 20 == 0;
            !(tries && fleet.place(*entry, *demand, *arrived_ms, now_ms, random.next()))
        });
        fleet.counts.waited_ms += waiting.len() as u64;
        for number in 0..fleet.engines.len() {
            // 15 percent of the time in spells.
            let engine = &mut fleet.engines[number];
            if now_ms >= engine.slowed_until_ms
                && random.chance(0.15 / 0.85 / NEIGHBOUR_SPELL_MS as f64)
            {
                engine.slowed_until_ms = now_ms + NEIGHBOUR_SPELL_MS;
            }
            fleet.run_engine(number, now_ms);
        }
    }
    fleet
}

/// Long streams on the slowest third of the engines missed their gap targets whenever a prompt was
/// processed beside them while a neighbour slowed the engine: 107 of 811 on a quiet day.
#[test]
fn long_streams_keep_their_gap_targets_on_uneven_engines() {
    let without = replay(&SPEEDS, None, 40).counts;
    let with = replay(&SPEEDS, Some(GAP_TARGET_MS), 40).counts;
    println!("without: {without:?}\nwith: {with:?}");
    assert!(
        4 * with.late_long <= without.late_long,
        "{without:?} {with:?}"
    );
    assert!(
        with.late_short <= without.late_short,
        "{without:?} {with:?}"
    );
    assert!(
        with.waited_ms <= without.waited_ms + 1_000,
        "{without:?} {with:?}"
    );
}
