//! Generations that are over: tombstones, and generations whose log was dropped.

use std::collections::{BTreeMap, VecDeque};

use crate::model::{GenerationId, RefusalCode};

/// How long a generation that is over is remembered, so that a delayed start never runs it again.
/// The same window as that of idempotency keys.
pub const PAST_KEPT_MS: u64 = 600_000;

/// Records kept exactly. Further ones go to a filter of fixed size.
pub const MAX_PAST: usize = 65_536;

/// Bits of one half of the filter.
const FILTER_BITS: u64 = 1 << 20;

/// What is remembered of a generation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PastRecord {
    /// A tombstone: it has not run and will not.
    Refused {
        code: RefusalCode,
        retry_after_ms: Option<u64>,
    },
    /// It ran and its log was dropped.
    Ran,
    /// Remembered by the filter only: it was refused or ran, or it merely looks so. Refusing a
    /// new generation by mistake is safe; running an old one again is not.
    Maybe,
}

/// Remembers generations for at least `PAST_KEPT_MS` in bounded memory.
#[derive(Debug)]
pub struct Past {
    max_records: usize,
    records: BTreeMap<GenerationId, PastRecord>,
    expiries: VecDeque<(u64, GenerationId)>,
    filter: Filter,
}

impl Past {
    /// Returns an empty memory of at most `max_records` exact records.
    pub fn new(max_records: usize) -> Self {
        Self {
            max_records,
            records: BTreeMap::new(),
            expiries: VecDeque::new(),
            filter: Filter::default(),
        }
    }

    /// Returns what is remembered of a generation.
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

    /// Remembers a generation. The first record of one stands.
    pub fn insert(&mut self, now_ms: u64, generation: GenerationId, record: PastRecord) {
        self.expire(now_ms);
        match self.records.len() {
            _ if self.records.contains_key(&generation) => {}
            count if count >= self.max_records => self.filter.insert(now_ms, generation),
            _ => {
                self.records.insert(generation, record);
                let expires_at_ms = now_ms + PAST_KEPT_MS;
                self.expiries.push_back((expires_at_ms, generation));
            }
        }
    }

    /// Forgets what has been kept long enough.
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

/// A Bloom filter in two halves that take turns, so that each entry is kept for one to two
/// windows. The memory is taken on first use.
#[derive(Debug, Default)]
struct Filter {
    current: Vec<u64>,
    former: Vec<u64>,
    turned_at_ms: u64,
}

impl Filter {
    fn places(generation: GenerationId) -> [(usize, u64); 4] {
        // Generation ids are random, so their parts serve as independent hashes.
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
                && Self::places(generation)
                    .into_iter()
                    .all(|(word, mask)| half[word] & mask != 0)
        };
        in_half(&self.current) || in_half(&self.former)
    }

    fn insert(&mut self, now_ms: u64, generation: GenerationId) {
        self.expire(now_ms);
        if self.current.is_empty() {
            let words = usize::try_from(FILTER_BITS / 64).unwrap_or_default();
            self.current = vec![0; words];
            self.turned_at_ms = now_ms;
        }
        for (word, mask) in Self::places(generation) {
            self.current[word] |= mask;
        }
    }

    fn expire(&mut self, now_ms: u64) {
        let used = !self.current.is_empty() || !self.former.is_empty();
        if used && now_ms >= self.turned_at_ms + PAST_KEPT_MS {
            self.former = std::mem::take(&mut self.current);
            self.turned_at_ms = now_ms;
        }
    }
}
