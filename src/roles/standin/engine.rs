//! Engine core: continuous batching in limited memory, advanced by the caller's clock.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use super::cache::{CacheEvent, PrefixCache};
use super::sequence::{EndReason, Event, Plan, Sequence, SequenceId, SequenceRequest};
use crate::adapters::telemetry::invariant;

const LOAD_SAMPLE_INTERVAL_US: u64 = 50_000;

/// The size and speed of an engine.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineConfig {
    /// Memory for the prompt and output tokens of running sequences.
    pub capacity_tokens: u64,
    /// Upper bound on the sequences that run at once.
    pub max_batch: u32,
    /// Duration of a decoding step with a full batch. It is linear in the batch size, with half of
    /// this time as the fixed part.
    pub step_us: u64,
    pub prompt_tokens_per_s: u64,
    /// Upper bound on the prompt tokens processed in one step, so that long prompts don't stall
    /// decoding.
    pub prompt_chunk_tokens: u32,
    /// Capacity of the prefix cache, in addition to the memory of running sequences.
    pub cache_tokens: u64,
    /// Age of the load that `reported_load` returns.
    pub load_lag_ms: u64,
    /// Minimum age of the events that `cache_events` returns.
    pub cache_lag_ms: u64,
    /// Seed of drawn output lengths and of gaps in the cache events.
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
    /// Prompt and output tokens that preemptions discarded.
    pub recomputed_tokens: u64,
    pub prompt_tokens: u64,
    pub cached_prompt_tokens: u64,
    pub produced_tokens: u64,
    pub finished: u64,
    pub cancelled: u64,
    pub steps: u64,
}

/// The prompt and one output token do not fit into the engine's memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptTooLarge {
    pub prompt_tokens: u32,
    pub capacity_tokens: u64,
}

/// A model engine without I/O. All times are passed in by the caller.
#[derive(Debug)]
pub struct Engine {
    config: EngineConfig,
    running: Vec<Sequence>,
    /// Keyed by inverted priority, then by id, so the first entry is the next one to admit.
    waiting: BTreeMap<(u8, u64), Sequence>,
    paused: BTreeMap<SequenceId, Sequence>,
    used_tokens: u64,
    next_id: u64,
    next_admission: u64,
    /// End of the current step; `None` while idle.
    due_us: Option<u64>,
    /// Factor on the duration of each step.
    slowdown: f64,
    hung: bool,
    cache: PrefixCache,
    counters: EngineCounters,
    /// Past loads with their times in microseconds, oldest first.
    load_samples: VecDeque<(u64, EngineLoad)>,
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
            load_samples: VecDeque::new(),
        }
    }

    /// Queues a request. Fails if it could never run.
    pub fn submit(
        &mut self,
        now_us: u64,
        request: SequenceRequest,
    ) -> Result<SequenceId, PromptTooLarge> {
        if u64::from(request.prompt_tokens) + 1 > self.config.capacity_tokens {
            return Err(PromptTooLarge {
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

    /// Removes a sequence and frees its memory. Returns false if the engine does not have it.
    pub fn cancel(&mut self, id: SequenceId) -> bool {
        let found = self.remove(id).is_some();
        if found {
            self.counters.cancelled += 1;
        }
        found
    }

    /// Suspends a sequence and frees its memory until `unpause`. Returns false if the engine does
    /// not have it.
    pub fn pause(&mut self, id: SequenceId) -> bool {
        let Some(mut sequence) = self.remove(id) else {
            return false;
        };
        sequence.plan = Plan::Idle;
        self.paused.insert(id, sequence);
        true
    }

    /// Queues a paused sequence again. Its tokens are recomputed. Returns false if it was not
    /// paused.
    pub fn unpause(&mut self, now_us: u64, id: SequenceId) -> bool {
        let Some(sequence) = self.paused.remove(&id) else {
            return false;
        };
        self.enqueue(sequence);
        self.start_if_idle(now_us);
        true
    }

    /// Completes every step that is due and appends its events.
    pub fn step(&mut self, now_us: u64, events: &mut Vec<Event>) {
        while let Some(due_us) = self.due_us.filter(|due_us| *due_us <= now_us) {
            if self.hung {
                return;
            }
            self.finish_step(due_us, events);
            self.begin_step(due_us, events);
        }
    }

    /// Returns the end of the current step, or `None` if the engine is idle or hung.
    pub fn due_us(&self) -> Option<u64> {
        self.due_us.filter(|_| !self.hung)
    }

    /// Multiplies the duration of each following step by `factor`; 1 is normal speed.
    pub fn set_slowdown(&mut self, factor: f64) {
        self.slowdown = factor.max(0.01);
    }

    /// Stops or resumes all processing. A step that was due meanwhile ends at `now_us`.
    pub fn set_hung(&mut self, now_us: u64, hung: bool) {
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

    /// Returns the current load, without the configured lag.
    pub fn load(&self) -> EngineLoad {
        EngineLoad {
            running: u32::try_from(self.running.len()).unwrap_or(u32::MAX),
            waiting: u32::try_from(self.waiting.len()).unwrap_or(u32::MAX),
            used_tokens: self.used_tokens,
            capacity_tokens: self.config.capacity_tokens,
        }
    }

    /// Returns the load as it was `load_lag_ms` ago. Without a sample of that age the engine
    /// counts as empty.
    pub fn reported_load(&self, now_us: u64) -> EngineLoad {
        let lag_us = self.config.load_lag_ms * 1_000;
        if lag_us == 0 {
            return self.load();
        }
        let old_enough = |(at_us, _): &&(u64, EngineLoad)| at_us + lag_us <= now_us;
        match self.load_samples.iter().rev().find(old_enough) {
            Some((_, load)) => *load,
            None => EngineLoad {
                capacity_tokens: self.config.capacity_tokens,
                ..EngineLoad::default()
            },
        }
    }

    /// Returns the published cache events numbered above `after`.
    pub fn cache_events(&self, after: u64, now_us: u64) -> Vec<CacheEvent> {
        let lag_us = self.config.cache_lag_ms * 1_000;
        self.cache.events(after, now_us, lag_us)
    }

    /// Records the load for `reported_load`. The caller calls this at least every 100 ms.
    pub fn sample_load(&mut self, now_us: u64) {
        let last_us = self.load_samples.back().map(|(at_us, _)| *at_us);
        if last_us.is_some_and(|last_us| last_us + LOAD_SAMPLE_INTERVAL_US > now_us) {
            return;
        }
        self.load_samples.push_back((now_us, self.load()));
        let retention_us = self.config.load_lag_ms * 1_000 + 1_000_000;
        while self
            .load_samples
            .front()
            .is_some_and(|(at_us, _)| at_us + retention_us < now_us)
        {
            self.load_samples.pop_front();
        }
    }

    fn enqueue(&mut self, sequence: Sequence) {
        let key = (9 - sequence.request.priority.min(9), sequence.id.0);
        self.waiting.insert(key, sequence);
    }

    fn start_if_idle(&mut self, now_us: u64) {
        if self.due_us.is_none() {
            // Schedules an empty step that ends at once; the first real step begins at its end.
            self.due_us = Some(now_us);
        }
    }

    /// Removes a running, waiting or paused sequence and frees its memory.
    fn remove(&mut self, id: SequenceId) -> Option<Sequence> {
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
        self.plan_step(now_us, events);
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
            // A sequence that fills the whole memory is admitted alone, so that it can finish.
            let required_tokens =
                (entry.get().memory_tokens() + 1).min(self.config.capacity_tokens);
            if self.used_tokens + required_tokens > self.config.capacity_tokens {
                return;
            }
            let mut sequence = entry.remove();
            self.used_tokens += sequence.memory_tokens();
            sequence.admission = self.next_admission;
            self.next_admission += 1;
            let prompt_tokens = sequence.request.prompt_tokens;
            let cached_tokens = self.cache.lookup(&sequence.request.block_hashes);
            // The last prompt token is always processed, because it yields the first output token.
            let cached_tokens = cached_tokens.min(prompt_tokens.saturating_sub(1));
            self.counters.cached_prompt_tokens += u64::from(cached_tokens);
            sequence.unprocessed_tokens = prompt_tokens + sequence.produced - cached_tokens;
            self.running.push(sequence);
        }
    }

    /// Plans the next step: preempts sequences until it fits into memory, then splits the prompt
    /// budget by priority.
    fn plan_step(&mut self, now_us: u64, events: &mut Vec<Event>) {
        self.free_memory(now_us, events);
        let mut budget_tokens = self.config.prompt_chunk_tokens;
        self.running
            .sort_by_key(|sequence| (9 - sequence.request.priority.min(9), sequence.admission));
        for sequence in &mut self.running {
            if sequence.unprocessed_tokens == 0 {
                sequence.plan = Plan::Decode;
                continue;
            }
            let chunk_tokens = sequence.unprocessed_tokens.min(budget_tokens);
            budget_tokens -= chunk_tokens;
            sequence.plan = Plan::Prefill(chunk_tokens);
        }
    }

    fn free_memory(&mut self, now_us: u64, events: &mut Vec<Event>) {
        loop {
            let decoding = self
                .running
                .iter()
                .filter(|s| s.unprocessed_tokens == 0)
                .count() as u64;
            if self.used_tokens + decoding <= self.config.capacity_tokens {
                return;
            }
            // Preempting the only sequence would not make it fit, so it ends here.
            if self.running.len() == 1 {
                self.finish_sequence(0, EndReason::Length, now_us, events);
                return;
            }
            self.preempt(now_us, events);
        }
    }

    /// Preempts the sequence with the lowest priority; among equals, the one admitted last.
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
        let held_tokens = sequence.request.prompt_tokens + sequence.produced;
        self.counters.preemptions += 1;
        self.counters.recomputed_tokens += u64::from(held_tokens - sequence.unprocessed_tokens);
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
                Plan::Prefill(chunk_tokens) => {
                    sequence.unprocessed_tokens -= chunk_tokens;
                    self.counters.prompt_tokens += u64::from(chunk_tokens);
                    if sequence.unprocessed_tokens == 0 {
                        self.cache.store(&sequence.request.block_hashes, now_us);
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
                    let (length, reason) = sequence.final_length();
                    if sequence.produced >= length {
                        self.finish_sequence(index, reason, now_us, events);
                        continue;
                    }
                }
            }
            index += 1;
        }
        self.check_memory();
    }

    fn finish_sequence(
        &mut self,
        index: usize,
        reason: EndReason,
        at_us: u64,
        events: &mut Vec<Event>,
    ) {
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
        let prompt_tokens: u64 = self
            .running
            .iter()
            .map(|s| prompt_chunk_tokens(s.plan))
            .sum();
        let fixed_us = self.config.step_us / 2;
        let batch_us =
            fixed_us * self.running.len() as u64 / u64::from(self.config.max_batch.max(1));
        let prompt_us = prompt_tokens * 1_000_000 / self.config.prompt_tokens_per_s.max(1);
        let total_us = (fixed_us + batch_us + prompt_us).max(1);
        scale_us(total_us, self.slowdown)
    }

    fn check_memory(&self) {
        let sum: u64 = self.running.iter().map(Sequence::memory_tokens).sum();
        invariant(sum == self.used_tokens, "standin_memory_sum", || {
            format!(
                "running sequences hold {sum} tokens, but {} are accounted as used",
                self.used_tokens
            )
        });
        let capacity = self.config.capacity_tokens;
        invariant(
            self.used_tokens <= capacity,
            "standin_memory_capacity",
            || format!("{} tokens used, capacity {capacity}", self.used_tokens),
        );
    }
}

fn prompt_chunk_tokens(plan: Plan) -> u64 {
    match plan {
        Plan::Prefill(chunk_tokens) => u64::from(chunk_tokens),
        Plan::Idle | Plan::Decode => 0,
    }
}

/// Returns `time_us` multiplied by `factor`, but at least 1.
#[allow(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss
)]
fn scale_us(time_us: u64, factor: f64) -> u64 {
    (time_us as f64 * factor).max(1.0) as u64
}
