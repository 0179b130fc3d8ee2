//! The engine core: continuous batching in limited memory, driven by time.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use super::cache::{CacheEvent, PrefixCache};
use super::sequence::{EndReason, Event, Plan, Sequence, SequenceId, SequenceRequest};
use crate::adapters::telemetry::invariant;

/// Shortest time between two samples of the load.
const SAMPLE_US: u64 = 50_000;

/// The size and speed of an engine.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineConfig {
    /// Memory for prompt and produced tokens of running sequences.
    pub capacity_tokens: u64,
    /// Sequences that run at once.
    pub max_batch: u32,
    /// Time of a decoding step of a full batch; a single sequence takes half of it.
    pub step_us: u64,
    /// Rate of prompt processing.
    pub prompt_tokens_per_s: u64,
    /// Prompt tokens processed in one step, so that long prompts don't stop decoding.
    pub prompt_chunk_tokens: u32,
    /// Memory of the prefix cache, apart from that of running sequences.
    pub cache_tokens: u64,
    /// Age of the load that is reported.
    pub load_lag_ms: u64,
    /// Age of the cache events that are published.
    pub cache_lag_ms: u64,
    pub seed: u64,
}

impl Default for EngineConfig {
    fn default() -> Self {
        Self {
            capacity_tokens: 100_000,
            max_batch: 64,
            step_us: 10_000,
            prompt_tokens_per_s: 50_000,
            prompt_chunk_tokens: 512,
            cache_tokens: 50_000,
            load_lag_ms: 1_000,
            cache_lag_ms: 1_000,
            seed: 1,
        }
    }
}

/// The load of an engine at one moment.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLoad {
    pub running: u32,
    pub waiting: u32,
    pub used_tokens: u64,
    pub capacity_tokens: u64,
}

/// Totals since the engine started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineCounters {
    pub preemptions: u64,
    /// Processed or produced tokens that a preemption discarded.
    pub recomputed_tokens: u64,
    pub prompt_tokens: u64,
    pub cached_prompt_tokens: u64,
    pub produced_tokens: u64,
    pub finished: u64,
    pub cancelled: u64,
    pub steps: u64,
}

/// A request can never fit into the engine's memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TooLarge {
    pub prompt_tokens: u32,
    pub capacity_tokens: u64,
}

/// A model engine without input and output. Time is passed in.
#[derive(Debug)]
pub struct Engine {
    config: EngineConfig,
    running: Vec<Sequence>,
    /// By descending priority, then by age.
    waiting: BTreeMap<(u8, u64), Sequence>,
    paused: BTreeMap<SequenceId, Sequence>,
    used_tokens: u64,
    next_id: u64,
    next_admission: u64,
    due_us: Option<u64>,
    slowdown: f64,
    hung: bool,
    cache: PrefixCache,
    counters: EngineCounters,
    samples: VecDeque<(u64, EngineLoad)>,
}

impl Engine {
    pub fn new(config: EngineConfig) -> Self {
        let cache = PrefixCache::new(config.cache_tokens, config.seed);
        Self {
            config,
            running: Vec::new(),
            waiting: BTreeMap::new(),
            paused: BTreeMap::new(),
            used_tokens: 0,
            next_id: 1,
            next_admission: 1,
            due_us: None,
            slowdown: 1.0,
            hung: false,
            cache,
            counters: EngineCounters::default(),
            samples: VecDeque::new(),
        }
    }

    /// Queues a request; fails if it could never run.
    pub fn submit(
        &mut self,
        now_us: u64,
        request: SequenceRequest,
    ) -> Result<SequenceId, TooLarge> {
        if u64::from(request.prompt_tokens) + 1 > self.config.capacity_tokens {
            return Err(TooLarge {
                prompt_tokens: request.prompt_tokens,
                capacity_tokens: self.config.capacity_tokens,
            });
        }
        let id = SequenceId(self.next_id);
        self.next_id += 1;
        self.enqueue(Sequence::new(id, request));
        self.start_if_idle(now_us);
        Ok(id)
    }

    /// Removes a sequence and frees its memory; returns false if it isn't here.
    pub fn cancel(&mut self, id: SequenceId) -> bool {
        let found = self.take(id).is_some();
        if found {
            self.counters.cancelled += 1;
        }
        found
    }

    /// Takes a sequence out of the batch and frees its memory until `unpause`.
    pub fn pause(&mut self, id: SequenceId) -> bool {
        let Some(mut sequence) = self.take(id) else {
            return false;
        };
        sequence.plan = Plan::Idle;
        self.paused.insert(id, sequence);
        true
    }

    /// Queues a paused sequence again; its tokens are recomputed.
    pub fn unpause(&mut self, now_us: u64, id: SequenceId) -> bool {
        let Some(sequence) = self.paused.remove(&id) else {
            return false;
        };
        self.enqueue(sequence);
        self.start_if_idle(now_us);
        true
    }

    /// Completes every step that is due and appends what happened.
    pub fn step(&mut self, now_us: u64, events: &mut Vec<Event>) {
        while let Some(due_us) = self.due_us.filter(|due_us| *due_us <= now_us) {
            if self.hung {
                return;
            }
            self.finish_step(due_us, events);
            self.begin_step(due_us, events);
        }
    }

    /// Returns when the current step ends; none if the engine is idle or hung.
    pub fn due_us(&self) -> Option<u64> {
        self.due_us.filter(|_| !self.hung)
    }

    /// Multiplies the time of each following step.
    pub fn slow_down(&mut self, factor: f64) {
        self.slowdown = factor.max(0.01);
    }

    /// Stops or continues all work.
    pub fn hang(&mut self, now_us: u64, hung: bool) {
        self.hung = hung;
        if !hung {
            self.due_us = self.due_us.map(|due_us| due_us.max(now_us));
        }
    }

    pub fn config(&self) -> &EngineConfig {
        &self.config
    }

    pub fn counters(&self) -> EngineCounters {
        self.counters
    }

    /// Returns the tokens held by the prefix cache.
    pub fn cached_tokens(&self) -> u64 {
        self.cache.used_tokens()
    }

    /// Returns the load without lag.
    pub fn load(&self) -> EngineLoad {
        EngineLoad {
            running: u32::try_from(self.running.len()).unwrap_or(u32::MAX),
            waiting: u32::try_from(self.waiting.len()).unwrap_or(u32::MAX),
            used_tokens: self.used_tokens,
            capacity_tokens: self.config.capacity_tokens,
        }
    }

    /// Returns the load as it was before the configured lag.
    pub fn reported_load(&self, now_us: u64) -> EngineLoad {
        let lag_us = self.config.load_lag_ms * 1_000;
        if lag_us == 0 {
            return self.load();
        }
        let known = |(at_us, _): &&(u64, EngineLoad)| at_us + lag_us <= now_us;
        match self.samples.iter().rev().find(known) {
            Some((_, load)) => *load,
            None => EngineLoad {
                capacity_tokens: self.config.capacity_tokens,
                ..EngineLoad::default()
            },
        }
    }

    /// Returns published cache events after `after`.
    pub fn cache_events(&self, after: u64, now_us: u64) -> Vec<CacheEvent> {
        let lag_us = self.config.cache_lag_ms * 1_000;
        self.cache.events(after, now_us, lag_us)
    }

    /// Records the load for later reports; the caller does this at least every 100 ms.
    pub fn sample_load(&mut self, now_us: u64) {
        let last_us = self.samples.back().map(|(at_us, _)| *at_us);
        if last_us.is_some_and(|last_us| last_us + SAMPLE_US > now_us) {
            return;
        }
        self.samples.push_back((now_us, self.load()));
        let keep_us = self.config.load_lag_ms * 1_000 + 1_000_000;
        while self
            .samples
            .front()
            .is_some_and(|(at_us, _)| at_us + keep_us < now_us)
        {
            self.samples.pop_front();
        }
    }

    fn enqueue(&mut self, sequence: Sequence) {
        let key = (9 - sequence.request.priority.min(9), sequence.id.0);
        self.waiting.insert(key, sequence);
    }

    fn start_if_idle(&mut self, now_us: u64) {
        if self.due_us.is_none() {
            // An empty step at once; the first real step begins when it ends.
            self.due_us = Some(now_us);
        }
    }

    /// Removes a sequence from wherever it is and frees its memory.
    fn take(&mut self, id: SequenceId) -> Option<Sequence> {
        if let Some(index) = self.running.iter().position(|sequence| sequence.id == id) {
            let sequence = self.running.remove(index);
            self.used_tokens -= sequence.memory_tokens();
            return Some(sequence);
        }
        let key = self
            .waiting
            .iter()
            .find_map(|(key, sequence)| (sequence.id == id).then_some(*key));
        match key {
            Some(key) => self.waiting.remove(&key),
            None => self.paused.remove(&id),
        }
    }

    fn begin_step(&mut self, now_us: u64, events: &mut Vec<Event>) {
        self.admit();
        self.plan(now_us, events);
        self.sample_load(now_us);
        if self.running.is_empty() && self.waiting.is_empty() {
            self.due_us = None;
            return;
        }
        let duration_us = self.step_duration_us();
        self.due_us = Some(now_us + duration_us);
    }

    fn admit(&mut self) {
        while self.running.len() < self.config.max_batch as usize {
            let Some(entry) = self.waiting.first_entry() else {
                return;
            };
            // A sequence as large as the whole memory is let in alone, so that it can end.
            let need_tokens = (entry.get().memory_tokens() + 1).min(self.config.capacity_tokens);
            if self.used_tokens + need_tokens > self.config.capacity_tokens {
                return;
            }
            let mut sequence = entry.remove();
            self.used_tokens += sequence.memory_tokens();
            sequence.admission = self.next_admission;
            self.next_admission += 1;
            let prompt = sequence.request.prompt_tokens;
            let cached = self.cache.lookup(&sequence.request.prefix);
            // At least one token is processed, because the last one yields the first output.
            let cached = cached.min(prompt.saturating_sub(1));
            self.counters.cached_prompt_tokens += u64::from(cached);
            sequence.unprocessed = prompt + sequence.produced - cached;
            self.running.push(sequence);
        }
    }

    /// Decides what each running sequence does, and preempts until the step fits into memory.
    fn plan(&mut self, now_us: u64, events: &mut Vec<Event>) {
        self.free_memory(now_us, events);
        let mut budget = self.config.prompt_chunk_tokens;
        self.running
            .sort_by_key(|sequence| (9 - sequence.request.priority.min(9), sequence.admission));
        for sequence in &mut self.running {
            if sequence.unprocessed == 0 {
                sequence.plan = Plan::Decode;
                continue;
            }
            let chunk = sequence.unprocessed.min(budget);
            budget -= chunk;
            sequence.plan = Plan::Prompt(chunk);
        }
    }

    fn free_memory(&mut self, now_us: u64, events: &mut Vec<Event>) {
        loop {
            let decoding = self.running.iter().filter(|s| s.unprocessed == 0).count() as u64;
            if self.used_tokens + decoding <= self.config.capacity_tokens {
                return;
            }
            // A single sequence that fills the memory can't be helped by a preemption.
            if self.running.len() == 1 {
                self.end_at(0, EndReason::Length, now_us, events);
                return;
            }
            self.preempt(now_us, events);
        }
    }

    /// Preempts the sequence of the lowest priority that was admitted last.
    fn preempt(&mut self, now_us: u64, events: &mut Vec<Event>) {
        let victim = self
            .running
            .iter()
            .enumerate()
            .min_by_key(|(_, s)| (s.request.priority, u64::MAX - s.admission))
            .map(|(index, _)| index);
        let Some(index) = victim else { return };
        let mut sequence = self.running.remove(index);
        self.used_tokens -= sequence.memory_tokens();
        let held = sequence.request.prompt_tokens + sequence.produced;
        self.counters.preemptions += 1;
        self.counters.recomputed_tokens += u64::from(held - sequence.unprocessed);
        sequence.plan = Plan::Idle;
        events.push(Event::Preempted {
            id: sequence.id,
            at_us: now_us,
        });
        self.enqueue(sequence);
    }

    fn finish_step(&mut self, now_us: u64, events: &mut Vec<Event>) {
        self.counters.steps += 1;
        let mut index = 0;
        while index < self.running.len() {
            let sequence = &mut self.running[index];
            match std::mem::replace(&mut sequence.plan, Plan::Idle) {
                Plan::Idle => {}
                Plan::Prompt(chunk) => {
                    sequence.unprocessed -= chunk;
                    self.counters.prompt_tokens += u64::from(chunk);
                    if sequence.unprocessed == 0 {
                        self.cache.store(&sequence.request.prefix, now_us);
                    }
                }
                Plan::Decode => {
                    events.push(Event::Token {
                        id: sequence.id,
                        offset: sequence.produced,
                        at_us: now_us,
                    });
                    sequence.produced += 1;
                    self.used_tokens += 1;
                    self.counters.produced_tokens += 1;
                    let (length, reason) = sequence.end();
                    if sequence.produced >= length {
                        self.end_at(index, reason, now_us, events);
                        continue;
                    }
                }
            }
            index += 1;
        }
        self.check();
    }

    fn end_at(&mut self, index: usize, reason: EndReason, at_us: u64, events: &mut Vec<Event>) {
        let sequence = self.running.remove(index);
        self.used_tokens -= sequence.memory_tokens();
        self.counters.finished += 1;
        events.push(Event::End {
            id: sequence.id,
            produced: sequence.produced,
            reason,
            at_us,
        });
    }

    fn step_duration_us(&self) -> u64 {
        let prompt: u64 = self.running.iter().map(|s| prompt_chunk(s.plan)).sum();
        let base = self.config.step_us / 2;
        let batch = base * self.running.len() as u64 / u64::from(self.config.max_batch.max(1));
        let prompt_us = prompt * 1_000_000 / self.config.prompt_tokens_per_s.max(1);
        let total = (base + batch + prompt_us).max(1);
        scale(total, self.slowdown)
    }

    fn check(&self) {
        let sum: u64 = self.running.iter().map(Sequence::memory_tokens).sum();
        invariant(sum == self.used_tokens, "standin_memory_sum", || {
            format!("sequences hold {sum}, accounted {}", self.used_tokens)
        });
        let capacity = self.config.capacity_tokens;
        invariant(
            self.used_tokens <= capacity,
            "standin_memory_capacity",
            || format!("{} tokens used of {capacity}", self.used_tokens),
        );
    }
}

fn prompt_chunk(plan: Plan) -> u64 {
    match plan {
        Plan::Prompt(chunk) => u64::from(chunk),
        Plan::Idle | Plan::Decode => 0,
    }
}

/// Returns a time multiplied by a factor, at least 1.
#[allow(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss
)]
fn scale(time_us: u64, factor: f64) -> u64 {
    (time_us as f64 * factor).max(1.0) as u64
}
