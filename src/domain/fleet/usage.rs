//! The usage of each engine, as running totals of the loads that entries report.
//!
//! Summing the loads of all entries, for each candidate of each generation and for each engine in
//! each update, would cost entries times engines.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::Load;
use crate::domain::pace::PacedStreams;

/// The load that runs on an engine or is reserved there.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Usage {
    pub(super) running: u32,
    pub(super) committed_tokens: u64,
    pub(super) prefill_tokens: u64,
    pub(super) paced: PacedStreams,
}

impl Usage {
    /// Adds the usage from another source.
    pub(super) fn add(&mut self, other: Self) {
        self.running += other.running;
        self.committed_tokens += other.committed_tokens;
        self.prefill_tokens += other.prefill_tokens;
        self.paced.add(other.paced);
    }

    /// Subtracts usage that was added before.
    pub(super) fn subtract(&mut self, other: Self) {
        self.running = self.running.saturating_sub(other.running);
        self.committed_tokens = self.committed_tokens.saturating_sub(other.committed_tokens);
        self.prefill_tokens = self.prefill_tokens.saturating_sub(other.prefill_tokens);
        self.paced.subtract(other.paced);
    }
}

impl From<&Load> for Usage {
    fn from(load: &Load) -> Self {
        Self {
            running: load.running,
            committed_tokens: load.committed_tokens,
            prefill_tokens: load.prefill_tokens,
            paced: load.paced,
        }
    }
}

/// Usage by engine. Engines without any usage are left out.
#[derive(Debug, Default)]
pub(super) struct UsageByEngine(BTreeMap<Arc<str>, Usage>);

impl UsageByEngine {
    pub(super) fn of(&self, engine: &str) -> Usage {
        self.0.get(engine).copied().unwrap_or_default()
    }

    pub(super) fn add(&mut self, engine: &Arc<str>, usage: Usage) {
        self.0.entry(Arc::clone(engine)).or_default().add(usage);
    }

    pub(super) fn subtract(&mut self, engine: &str, usage: Usage) {
        if let Some(total) = self.0.get_mut(engine) {
            total.subtract(usage);
            if *total == Usage::default() {
                self.0.remove(engine);
            }
        }
    }
}

#[derive(Debug)]
struct EntryLoads {
    expires_ms: u64,
    by_engine: BTreeMap<Arc<str>, Usage>,
}

/// The loads that entries have reported, by entry and in total.
#[derive(Debug, Default)]
pub(super) struct Loads {
    by_entry: BTreeMap<Arc<str>, EntryLoads>,
    total: UsageByEngine,
}

impl Loads {
    /// Replaces the load of an entry, which counts until `expires_ms`. Returns the engines whose
    /// usage changes.
    pub(super) fn replace(
        &mut self,
        entry: &Arc<str>,
        loads: &[Load],
        expires_ms: u64,
    ) -> Vec<Arc<str>> {
        let before = self.remove(entry);
        let mut by_engine = BTreeMap::new();
        for load in loads {
            self.total.add(&load.identity, load.into());
            by_engine.insert(Arc::clone(&load.identity), load.into());
        }
        let is_changed = |engine: &&Arc<str>| before.get(*engine) != by_engine.get(*engine);
        let ended = before
            .keys()
            .filter(|engine| !by_engine.contains_key(*engine));
        let changed = by_engine.keys().filter(is_changed).chain(ended);
        let changed = changed.cloned().collect();
        let loads = EntryLoads {
            expires_ms,
            by_engine,
        };
        self.by_entry.insert(Arc::clone(entry), loads);
        changed
    }

    /// Removes the loads that have expired. Returns their entries and the engines whose usage
    /// changes.
    pub(super) fn expire(&mut self, now_ms: u64) -> Vec<(Arc<str>, Vec<Arc<str>>)> {
        let expired: Vec<Arc<str>> = self
            .by_entry
            .iter()
            .filter(|(_, loads)| now_ms >= loads.expires_ms)
            .map(|(entry, _)| Arc::clone(entry))
            .collect();
        let engines = |entry: Arc<str>| {
            let engines = self.remove(&entry).into_keys().collect();
            (entry, engines)
        };
        expired.into_iter().map(engines).collect()
    }

    /// Removes the load of an entry and returns it.
    fn remove(&mut self, entry: &str) -> BTreeMap<Arc<str>, Usage> {
        let removed = self.by_entry.remove(entry);
        let by_engine = removed.map_or_else(BTreeMap::new, |loads| loads.by_engine);
        for (engine, usage) in &by_engine {
            self.total.subtract(engine, *usage);
        }
        by_engine
    }

    /// Returns the load of all entries on an engine.
    pub(super) fn total(&self, engine: &str) -> Usage {
        self.total.of(engine)
    }

    /// Returns the load of one entry on an engine.
    pub(super) fn of_entry(&self, entry: &str, engine: &str) -> Usage {
        let loads = self.by_entry.get(entry);
        let usage = loads.and_then(|loads| loads.by_engine.get(engine));
        usage.copied().unwrap_or_default()
    }

    /// Returns the engines that one entry has load on.
    pub(super) fn engines_of(&self, entry: &str) -> impl Iterator<Item = &Arc<str>> {
        let loads = self.by_entry.get(entry).into_iter();
        loads.flat_map(|loads| loads.by_engine.keys())
    }

    /// Returns the number of entries with a current load.
    pub(super) fn entries(&self) -> usize {
        self.by_entry.len()
    }
}
