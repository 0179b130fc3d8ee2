//! Past generations: tombstones of those that never ran, and those whose log was dropped.

use std::collections::{BTreeMap, VecDeque};

use crate::model::{GenerationId, RefusalCode};

/// How long a past generation is remembered, so that a delayed start request never runs it again.
/// Equal to the retention period of idempotency keys.
pub const PAST_RETENTION_MS: u64 = 600_000;

/// The maximum number of exact records. Further generations go to a Bloom filter of fixed size.
pub const MAX_PAST: usize = 65_536;

/// The number of bits in each half of the filter.
const FILTER_BITS: u64 = 1 << 20;

/// The record of a past generation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PastRecord {
    /// Tombstone: the generation has not run and will not run.
    Refused {
        code: RefusalCode,
        retry_after_ms: Option<u64>,
    },
    /// The generation ran and its log was dropped.
    Ran,
    /// Found only in the filter: the generation was refused or ran, or it is a false positive.
    /// Refusing a new generation by mistake is safe; running an old one again is not.
    Maybe,
}

/// Remembers generations for at least `PAST_RETENTION_MS` in bounded memory.
#[derive(Debug)]
pub struct PastGenerations {
    max_records: usize,
    records: BTreeMap<GenerationId, PastRecord>,
    expiries: VecDeque<(u64, GenerationId)>,
    filter: Filter,
}

impl PastGenerations {
    /// Returns an empty set of records, of which at most `max_records` are exact.
    pub fn new(max_records: usize) -> Self {
        Self {
            max_records,
            records: BTreeMap::new(),
            expiries: VecDeque::new(),
            filter: Filter::default(),
        }
    }

    /// Returns the record of a generation; `None` if it is not remembered.
    pub fn get(&self, generation: GenerationId) -> Option<PastRecord> {
        let exact = self.records.get(&generation).copied();
        exact.or_else(|| {
            self.filter
                .contains(generation)
                .then_some(PastRecord::Maybe)
        })
    }

    /// Returns the number of exact records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns true if there are no exact records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Records a generation. An existing record of it is kept.
    pub fn insert(&mut self, now_ms: u64, generation: GenerationId, record: PastRecord) {
        self.expire(now_ms);
        match self.records.len() {
            _ if self.records.contains_key(&generation) => {}
            count if count >= self.max_records => self.filter.insert(now_ms, generation),
            _ => {
                self.records.insert(generation, record);
                let expires_at_ms = now_ms + PAST_RETENTION_MS;
                self.expiries.push_back((expires_at_ms, generation));
            }
        }
    }

    /// Removes records whose retention period has ended.
    pub fn expire(&mut self, now_ms: u64) {
        while let Some((expires_at_ms, generation)) = self.expiries.front()
            && *expires_at_ms <= now_ms
        {
            self.records.remove(generation);
            self.expiries.pop_front();
        }
        self.filter.expire(now_ms);
    }
}

/// A rotating Bloom filter of two halves, so that each entry is kept for one to two retention
/// periods. The memory is allocated on first use.
#[derive(Debug, Default)]
struct Filter {
    current: Vec<u64>,
    previous: Vec<u64>,
    rotated_at_ms: u64,
}

impl Filter {
    fn bit_positions(generation: GenerationId) -> [(usize, u64); 4] {
        // Generation identifiers are random, so their parts serve as independent hashes.
        [0, 32, 64, 96].map(|shift| {
            let bit = u64::try_from((generation.0 >> shift) & u128::from(FILTER_BITS - 1));
            let bit = bit.unwrap_or_default();
            (
                usize::try_from(bit / 64).unwrap_or_default(),
                1 << (bit % 64),
            )
        })
    }

    fn contains(&self, generation: GenerationId) -> bool {
        let in_half = |half: &Vec<u64>| {
            !half.is_empty()
                && Self::bit_positions(generation)
                    .into_iter()
                    .all(|(word, mask)| half[word] & mask != 0)
        };
        in_half(&self.current) || in_half(&self.previous)
    }

    fn insert(&mut self, now_ms: u64, generation: GenerationId) {
        self.expire(now_ms);
        if self.current.is_empty() {
            let words = usize::try_from(FILTER_BITS / 64).unwrap_or_default();
            self.current = vec![0; words];
            self.rotated_at_ms = now_ms;
        }
        for (word, mask) in Self::bit_positions(generation) {
            self.current[word] |= mask;
        }
    }

    fn expire(&mut self, now_ms: u64) {
        let used = !self.current.is_empty() || !self.previous.is_empty();
        if used && now_ms >= self.rotated_at_ms + PAST_RETENTION_MS {
            self.previous = std::mem::take(&mut self.current);
            self.rotated_at_ms = now_ms;
        }
    }
}
