//! The engine core in virtual time, with random and with fixed requests.

use std::collections::BTreeMap;

use lilacspindle::roles::standin::{
    EndReason, Engine, EngineConfig, Event, SequenceId, SequenceRequest, tokens,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Returns the seeds from 0, 20 by default or as many as `LILAC_SEEDS` says.
fn seeds() -> std::ops::Range<u64> {
    let count = std::env::var("LILAC_SEEDS").ok();
    0..count.and_then(|count| count.parse().ok()).unwrap_or(20)
}

fn small_config(seed: u64) -> EngineConfig {
    EngineConfig {
        capacity_tokens: 600,
        max_batch: 8,
        cache_tokens: 256,
        seed,
        ..EngineConfig::default()
    }
}

fn request(prompt_tokens: u32, target_tokens: u32, priority: u8) -> SequenceRequest {
    SequenceRequest {
        priority,
        prompt_tokens,
        max_tokens: 10_000,
        target_tokens,
        block_hashes: Vec::new(),
    }
}

fn random_request(rng: &mut StdRng) -> SequenceRequest {
    let prefix_group = rng.random_range(0..3u64);
    let prompt_tokens = rng.random_range(1..200u32);
    SequenceRequest {
        priority: rng.random_range(0..10),
        prompt_tokens,
        max_tokens: rng.random_range(1..400),
        target_tokens: rng.random_range(1..700),
        block_hashes: (0..u64::from(prompt_tokens / tokens::BLOCK_TOKENS))
            .map(|block| prefix_group * 100 + block)
            .collect(),
    }
}

/// Follows the events of each sequence and fails on a lost, duplicated or reordered token.
#[derive(Default)]
struct EventChecker {
    live: BTreeMap<SequenceId, (SequenceRequest, u32)>,
    ended: u32,
    preempted: u64,
}

impl EventChecker {
    fn apply(&mut self, event: Event, seed: u64) {
        match event {
            Event::Token { id, offset, .. } => {
                let (_, produced) = self.live.get_mut(&id).expect("token of a live sequence");
                assert_eq!(
                    offset, *produced,
                    "seed {seed}: token of {id:?} out of order"
                );
                *produced += 1;
            }
            Event::End {
                id,
                produced,
                reason,
                ..
            } => {
                let (request, counted) = self.live.remove(&id).expect("end of a live sequence");
                assert_eq!(
                    produced, counted,
                    "seed {seed}: wrong token count of {id:?}"
                );
                if reason == EndReason::Stop {
                    assert_eq!(produced, request.target_tokens, "seed {seed}");
                }
                self.ended += 1;
            }
            Event::Preempted { .. } => self.preempted += 1,
        }
    }
}

/// Guards against memory use above the capacity, tokens that a preemption loses, duplicates or
/// reorders, memory that stays in use after a cancellation, and sequences that never end.
#[test]
fn randomised_runs_keep_memory_and_order() {
    let mut preempted = 0;
    for seed in seeds() {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut engine = Engine::new(small_config(seed));
        let mut checker = EventChecker::default();
        let mut events = Vec::new();
        let mut now_us = 0;
        for _ in 0..2_000 {
            now_us += rng.random_range(0..20_000);
            apply_random_action(&mut engine, &mut checker, &mut rng, now_us);
            engine.step(now_us, &mut events);
            let load = engine.load();
            assert!(load.used_tokens <= load.capacity_tokens, "seed {seed}");
            assert!(load.running <= 8, "seed {seed}");
            for event in events.drain(..) {
                checker.apply(event, seed);
            }
        }
        run_remaining(&mut engine, &mut checker, now_us, seed);
        assert_eq!(engine.load().used_tokens, 0, "seed {seed}");
        assert_eq!(checker.preempted, engine.counters().preemptions);
        preempted += checker.preempted;
    }
    assert!(preempted > 0, "no seed led to a preemption");
}

fn apply_random_action(
    engine: &mut Engine,
    checker: &mut EventChecker,
    rng: &mut StdRng,
    now_us: u64,
) {
    let target_id = checker
        .live
        .keys()
        .nth(rng.random_range(0..10))
        .copied()
        .unwrap_or(SequenceId(1));
    match rng.random_range(0..20) {
        0..3 => {
            let request = random_request(rng);
            let id = engine.submit(now_us, request.clone()).expect("fits");
            checker.live.insert(id, (request, 0));
        }
        3 => {
            let was_live = checker.live.remove(&target_id).is_some();
            assert_eq!(engine.cancel(target_id), was_live);
        }
        4 => {
            engine.pause(target_id);
        }
        5 => {
            engine.unpause(now_us, target_id);
        }
        _ => {}
    }
}

/// Resumes all paused sequences and runs the engine until it is idle. Fails if a sequence has not
/// ended.
fn run_remaining(engine: &mut Engine, checker: &mut EventChecker, mut now_us: u64, seed: u64) {
    let mut events = Vec::new();
    let ids: Vec<_> = checker.live.keys().copied().collect();
    for id in ids {
        engine.unpause(now_us, id);
    }
    for _ in 0..200_000 {
        let Some(due_us) = engine.due_us() else { break };
        now_us = now_us.max(due_us);
        engine.step(now_us, &mut events);
        for event in events.drain(..) {
            checker.apply(event, seed);
        }
    }
    assert!(checker.live.is_empty(), "seed {seed}: {:?}", checker.live);
}

fn run_to_end(engine: &mut Engine) -> Vec<Event> {
    let mut events = Vec::new();
    while let Some(due_us) = engine.due_us() {
        engine.step(due_us, &mut events);
    }
    events
}

/// Guards against preempting the sequence of higher priority, and against recomputed tokens that
/// are not counted.
#[test]
fn low_priority_is_preempted_first() {
    let mut engine = Engine::new(small_config(1));
    let high = engine.submit(0, request(100, 250, 9)).expect("fits");
    let low = engine.submit(0, request(100, 250, 0)).expect("fits");
    let events = run_to_end(&mut engine);
    let victims: Vec<_> = events
        .iter()
        .filter_map(|event| match event {
            Event::Preempted { id, .. } => Some(*id),
            _ => None,
        })
        .collect();
    assert_eq!(victims, [low]);
    assert!(engine.counters().recomputed_tokens >= 300);
    let first_end = events.iter().find_map(|event| match event {
        Event::End { id, .. } => Some(*id),
        _ => None,
    });
    assert_eq!(first_end, Some(high));
}

/// Guards against a prefix cache that does not reduce prompt processing or exceeds its capacity.
#[test]
fn cached_prefix_is_not_processed_again() {
    let mut engine = Engine::new(small_config(1));
    let prompt = "word ".repeat(128);
    let mut request = request(128, 5, 0);
    request.block_hashes = tokens::prefix_hashes(&prompt);
    engine.submit(0, request.clone()).expect("fits");
    run_to_end(&mut engine);
    assert_eq!(engine.counters().prompt_tokens, 128);
    engine.submit(1_000_000, request).expect("fits");
    run_to_end(&mut engine);
    assert_eq!(engine.counters().prompt_tokens, 129);
    assert_eq!(engine.counters().cached_prompt_tokens, 127);
    assert!(engine.cached_tokens() <= 256);
}

/// Guards against a load and cache events that are reported without the configured lag.
#[test]
fn load_and_cache_events_are_delayed() {
    let mut engine = Engine::new(small_config(1));
    let mut request = request(64, 500, 0);
    request.block_hashes = vec![1, 2];
    engine.submit(0, request).expect("fits");
    let mut events = Vec::new();
    engine.step(500_000, &mut events);
    assert_eq!(engine.load().running, 1);
    assert_eq!(engine.reported_load(500_000).running, 0);
    assert!(engine.cache_events(0, 500_000).is_empty());
    engine.step(1_600_000, &mut events);
    assert_eq!(engine.reported_load(1_600_000).running, 1);
    assert!(!engine.cache_events(0, 1_600_000).is_empty());
}

/// Guards against a step time that does not depend on batch size or slowdown.
#[test]
fn step_time_grows_with_batch_and_slowdown() {
    let time = |sequences: u32, factor: f64| {
        let mut engine = Engine::new(EngineConfig::default());
        engine.set_slowdown(factor);
        for _ in 0..sequences {
            engine.submit(0, request(1, 100, 0)).expect("fits");
        }
        let mut end_us = 0;
        for event in run_to_end(&mut engine) {
            if let Event::End { at_us, .. } = event {
                end_us = at_us;
            }
        }
        end_us
    };
    assert!(time(64, 1.0) > time(1, 1.0) * 3 / 2);
    assert!(time(1, 3.0) > time(1, 1.0) * 29 / 10);
}
