//! Prefix cache of an engine, and the events published about its content.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use super::tokens::{BLOCK_TOKENS, mix};

/// The oldest events above this number are dropped.
const MAX_KEPT_EVENTS: usize = 4_096;
/// On average, one event in this many is never published, so that readers have to handle gaps.
const EVENTS_PER_GAP: u64 = 16;

/// A block of a prompt prefix was stored in the cache or evicted from it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number; a gap means that events were lost.
    pub n: u64,
    /// Hash of the prompt up to the end of the block, in hexadecimal.
    pub block: String,
    /// True if the block was stored, false if it was evicted.
    pub stored: bool,
}

/// Cache of prompt prefix blocks with a fixed capacity and least-recently-used eviction.
#[derive(Debug)]
pub(super) struct PrefixCache {
    capacity_blocks: usize,
    seed: u64,
    /// Incremented on every use of a block.
    use_counter: u64,
    /// Value of `use_counter` at the last use of each cached block, by block hash.
    last_use: BTreeMap<u64, u64>,
    /// Inverse of `last_use`, which gives the order of eviction.
    hash_by_use: BTreeMap<u64, u64>,
    next_event: u64,
    /// Events with the time at which they occurred, in microseconds.
    events: VecDeque<(u64, CacheEvent)>,
}

impl PrefixCache {
    pub(super) fn new(capacity_tokens: u64, seed: u64) -> Self {
        let blocks = capacity_tokens / u64::from(BLOCK_TOKENS);
        Self {
            capacity_blocks: usize::try_from(blocks).unwrap_or(usize::MAX),
            seed,
            use_counter: 0,
            last_use: BTreeMap::new(),
            hash_by_use: BTreeMap::new(),
            next_event: 1,
            events: VecDeque::new(),
        }
    }

    /// Returns the number of leading prompt tokens that are cached, and marks their blocks as used.
    pub(super) fn lookup(&mut self, block_hashes: &[u64]) -> u32 {
        let mut tokens = 0;
        for hash in block_hashes {
            if !self.last_use.contains_key(hash) {
                break;
            }
            self.touch(*hash);
            tokens += BLOCK_TOKENS;
        }
        tokens
    }

    /// Stores the blocks of a processed prompt. Evicts the least recently used blocks above the
    /// capacity.
    pub(super) fn store(&mut self, block_hashes: &[u64], now_us: u64) {
        for hash in block_hashes.iter().take(self.capacity_blocks) {
            let cached = self.last_use.contains_key(hash);
            self.touch(*hash);
            if !cached {
                self.record_event(*hash, true, now_us);
            }
        }
        while self.last_use.len() > self.capacity_blocks {
            let Some((_, hash)) = self.hash_by_use.pop_first() else {
                return;
            };
            self.last_use.remove(&hash);
            self.record_event(hash, false, now_us);
        }
    }

    pub(super) fn used_tokens(&self) -> u64 {
        self.last_use.len() as u64 * u64::from(BLOCK_TOKENS)
    }

    /// Returns the events numbered above `after` that are at least `lag_us` old, except those
    /// withheld as gaps.
    pub(super) fn events(&self, after: u64, now_us: u64, lag_us: u64) -> Vec<CacheEvent> {
        self.events
            .iter()
            .filter(|(at_us, event)| event.n > after && at_us + lag_us <= now_us)
            .filter(|(_, event)| !mix(self.seed, event.n).is_multiple_of(EVENTS_PER_GAP))
            .map(|(_, event)| event.clone())
            .collect()
    }

    fn touch(&mut self, hash: u64) {
        self.use_counter += 1;
        if let Some(previous) = self.last_use.insert(hash, self.use_counter) {
            self.hash_by_use.remove(&previous);
        }
        self.hash_by_use.insert(self.use_counter, hash);
    }

    fn record_event(&mut self, hash: u64, stored: bool, now_us: u64) {
        let event = CacheEvent {
            n: self.next_event,
            block: format!("{hash:016x}"),
            stored,
        };
        self.next_event += 1;
        self.events.push_back((now_us, event));
        if self.events.len() > MAX_KEPT_EVENTS {
            self.events.pop_front();
        }
    }
}
