//! The prefix cache of an engine, and what it publishes of it.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use super::tokens::{BLOCK_TOKENS, mix};

/// Events kept for readers.
const KEPT_EVENTS: usize = 4_096;
/// One event in this many is never published.
const GAP_EVERY: u64 = 16;

/// A block of a prompt prefix entered or left the cache.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Position in the engine's sequence of events; a gap means that events were lost.
    pub n: u64,
    /// Hash of the prompt up to the end of the block, in hexadecimal.
    pub block: String,
    /// True if the block was stored, false if it was evicted.
    pub stored: bool,
}

/// Blocks of prompt prefixes in limited memory, least recently used first out.
#[derive(Debug)]
pub(super) struct PrefixCache {
    capacity_blocks: usize,
    seed: u64,
    clock: u64,
    blocks: BTreeMap<u64, u64>,
    by_use: BTreeMap<u64, u64>,
    next_event: u64,
    events: VecDeque<(u64, CacheEvent)>,
}

impl PrefixCache {
    pub(super) fn new(capacity_tokens: u64, seed: u64) -> Self {
        let blocks = capacity_tokens / u64::from(BLOCK_TOKENS);
        Self {
            capacity_blocks: usize::try_from(blocks).unwrap_or(usize::MAX),
            seed,
            clock: 0,
            blocks: BTreeMap::new(),
            by_use: BTreeMap::new(),
            next_event: 1,
            events: VecDeque::new(),
        }
    }

    /// Returns how many leading tokens of the prompt are cached, and marks them as used.
    pub(super) fn lookup(&mut self, prefix: &[u64]) -> u32 {
        let mut tokens = 0;
        for hash in prefix {
            if !self.blocks.contains_key(hash) {
                break;
            }
            self.touch(*hash);
            tokens += BLOCK_TOKENS;
        }
        tokens
    }

    /// Stores the blocks of a processed prompt; evicts the least recently used.
    pub(super) fn store(&mut self, prefix: &[u64], now_us: u64) {
        for hash in prefix.iter().take(self.capacity_blocks) {
            let known = self.blocks.contains_key(hash);
            self.touch(*hash);
            if !known {
                self.publish(*hash, true, now_us);
            }
        }
        while self.blocks.len() > self.capacity_blocks {
            let Some((_, hash)) = self.by_use.pop_first() else {
                return;
            };
            self.blocks.remove(&hash);
            self.publish(hash, false, now_us);
        }
    }

    pub(super) fn used_tokens(&self) -> u64 {
        self.blocks.len() as u64 * u64::from(BLOCK_TOKENS)
    }

    /// Returns the events after `after` that are at least `lag_us` old, without the lost ones.
    pub(super) fn events(&self, after: u64, now_us: u64, lag_us: u64) -> Vec<CacheEvent> {
        self.events
            .iter()
            .filter(|(at_us, event)| event.n > after && at_us + lag_us <= now_us)
            .filter(|(_, event)| !mix(self.seed, event.n).is_multiple_of(GAP_EVERY))
            .map(|(_, event)| event.clone())
            .collect()
    }

    fn touch(&mut self, hash: u64) {
        self.clock += 1;
        if let Some(previous) = self.blocks.insert(hash, self.clock) {
            self.by_use.remove(&previous);
        }
        self.by_use.insert(self.clock, hash);
    }

    fn publish(&mut self, hash: u64, stored: bool, now_us: u64) {
        let event = CacheEvent {
            n: self.next_event,
            block: format!("{hash:016x}"),
            stored,
        };
        self.next_event += 1;
        self.events.push_back((now_us, event));
        if self.events.len() > KEPT_EVENTS {
            self.events.pop_front();
        }
    }
}
