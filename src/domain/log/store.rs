//! The part of the log that is held in memory.

use std::collections::VecDeque;
use std::sync::Arc;

use super::types::Entry;

/// Contiguous entries after a base entry, of which only the index and term are kept.
#[derive(Debug, Clone, Default)]
pub struct LogStore {
    base_index: u64,
    base_term: u64,
    entries: VecDeque<Arc<Entry>>,
}

impl LogStore {
    /// Returns an empty log that continues after the given entry.
    pub fn after(base_index: u64, base_term: u64) -> Self {
        Self {
            base_index,
            base_term,
            entries: VecDeque::new(),
        }
    }

    /// Returns the index before the first entry held.
    pub fn base(&self) -> u64 {
        self.base_index
    }

    /// Returns the index of the last entry.
    pub fn last_index(&self) -> u64 {
        self.base_index + self.entries.len() as u64
    }

    /// Returns the term of the last entry.
    pub fn last_term(&self) -> u64 {
        self.entries
            .back()
            .map_or(self.base_term, |entry| entry.term)
    }

    /// Returns the term of an entry, or `None` if it is not held.
    pub fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// Returns an entry, or `None` if it is not held.
    pub fn get(&self, index: u64) -> Option<&Arc<Entry>> {
        let position = index.checked_sub(self.base_index + 1)?;
        self.entries.get(usize::try_from(position).ok()?)
    }

    /// Appends the next entry; returns false if its index does not follow.
    pub fn push(&mut self, entry: Arc<Entry>) -> bool {
        if entry.index != self.last_index() + 1 {
            return false;
        }
        self.entries.push_back(entry);
        true
    }

    /// Removes all entries from `index` on.
    pub fn truncate(&mut self, index: u64) {
        let keep = index.saturating_sub(self.base_index + 1);
        self.entries
            .truncate(usize::try_from(keep).unwrap_or(usize::MAX));
    }

    /// Returns the index after which the entries up to `last` take at most `limit_bytes`; at least
    /// `first`.
    pub fn start_of_last(&self, first: u64, last: u64, limit_bytes: usize) -> u64 {
        let mut size = 0;
        let mut start = last;
        while let Some(entry) = self.get(start).filter(|_| start > first) {
            size += entry.size_bytes();
            if size > limit_bytes {
                break;
            }
            start -= 1;
        }
        start
    }

    /// Drops entries up to and including `index` from memory.
    pub fn compact(&mut self, index: u64) {
        while self.base_index < index {
            let Some(entry) = self.entries.pop_front() else {
                return;
            };
            self.base_index = entry.index;
            self.base_term = entry.term;
        }
    }

    /// Returns entries from `first` on, as many as fit in `limit_bytes`, but at least one if held.
    pub fn batch(&self, first: u64, limit_bytes: usize) -> Vec<Arc<Entry>> {
        let mut batch = Vec::new();
        let mut size = 0;
        let mut index = first;
        while let Some(entry) = self.get(index) {
            size += entry.size_bytes();
            if size > limit_bytes && !batch.is_empty() {
                break;
            }
            batch.push(entry.clone());
            index += 1;
        }
        batch
    }

    /// Returns the entries from `first` to `last`.
    pub fn range(&self, first: u64, last: u64) -> Vec<Arc<Entry>> {
        (first..=last)
            .filter_map(|index| self.get(index).cloned())
            .collect()
    }
}
