//! Orders to an engine: which model versions it loads, and its role.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};

use serde::{Deserialize, Serialize};

/// What an order changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderAction {
    Load,
    Unload,
    /// Changes the engine's role to the text in `role`.
    Role,
}

/// An order from whoever directs the engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    pub fence: u64,
    pub action: OrderAction,
    #[serde(default)]
    pub model: String,
    #[serde(default)]
    pub version: String,
    #[serde(default)]
    pub role: String,
}

/// The order carries an older fencing number than one seen before.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct OldFence {
    /// The highest fencing number seen.
    pub current: u64,
}

/// A model version, and whether it can be used yet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadedModel {
    pub model: String,
    pub version: String,
    pub ready: bool,
}

/// A weight store that serves one load after another at a limited rate.
#[derive(Debug)]
pub struct WeightStore {
    bytes_per_s: u64,
    busy_until_ms: u64,
    loads: u64,
}

impl WeightStore {
    pub fn new(bytes_per_s: u64) -> Self {
        Self {
            bytes_per_s: bytes_per_s.max(1),
            busy_until_ms: 0,
            loads: 0,
        }
    }

    /// Queues a load and returns when it is complete.
    pub fn load(&mut self, now_ms: u64, bytes: u64) -> u64 {
        let start_ms = self.busy_until_ms.max(now_ms);
        self.busy_until_ms = start_ms + bytes * 1_000 / self.bytes_per_s;
        self.loads += 1;
        self.busy_until_ms
    }

    /// Returns how many loads were ever queued.
    pub fn loads(&self) -> u64 {
        self.loads
    }
}

/// The model versions and the role of one engine. Time is the weight store's.
#[derive(Debug)]
pub struct Models {
    checks_fence: bool,
    fence: u64,
    role: String,
    weight_bytes: u64,
    store: Arc<Mutex<WeightStore>>,
    /// When each version can be used.
    ready_at_ms: BTreeMap<(String, String), u64>,
}

impl Models {
    /// `loaded` are usable at once; every later load takes `weight_bytes` from the store.
    pub fn new(
        loaded: &[(String, String)],
        checks_fence: bool,
        weight_bytes: u64,
        store: Arc<Mutex<WeightStore>>,
    ) -> Self {
        Self {
            checks_fence,
            fence: 0,
            role: "serve".to_owned(),
            weight_bytes,
            store,
            ready_at_ms: loaded.iter().map(|key| (key.clone(), 0)).collect(),
        }
    }

    /// Carries an order out, or refuses it for its fencing number.
    pub fn order(&mut self, now_ms: u64, order: &Order) -> Result<(), OldFence> {
        if self.checks_fence && order.fence < self.fence {
            return Err(OldFence {
                current: self.fence,
            });
        }
        self.fence = self.fence.max(order.fence);
        let key = (order.model.clone(), order.version.clone());
        match order.action {
            OrderAction::Load => self.load(now_ms, key),
            OrderAction::Unload => {
                self.ready_at_ms.remove(&key);
            }
            OrderAction::Role => order.role.clone_into(&mut self.role),
        }
        Ok(())
    }

    /// Returns the version that serves `name`, which is `model` or `model@version`.
    ///
    /// Without a version it is the one that became ready last.
    pub fn version(&self, now_ms: u64, name: &str) -> Option<&str> {
        let (model, version) = match name.split_once('@') {
            Some((model, version)) => (model, Some(version)),
            None => (name, None),
        };
        self.ready_at_ms
            .iter()
            .filter(|((loaded, _), ready)| loaded == model && **ready <= now_ms)
            .filter(|((_, loaded), _)| version.is_none_or(|version| version == loaded))
            .max_by_key(|(_, ready)| **ready)
            .map(|((_, version), _)| version.as_str())
    }

    pub fn list(&self, now_ms: u64) -> Vec<LoadedModel> {
        self.ready_at_ms
            .iter()
            .map(|((model, version), ready)| LoadedModel {
                model: model.clone(),
                version: version.clone(),
                ready: *ready <= now_ms,
            })
            .collect()
    }

    pub fn fence(&self) -> u64 {
        self.fence
    }

    pub fn role(&self) -> &str {
        &self.role
    }

    fn load(&mut self, now_ms: u64, key: (String, String)) {
        if self.ready_at_ms.contains_key(&key) {
            return;
        }
        let mut store = self.store.lock().unwrap_or_else(PoisonError::into_inner);
        let ready_ms = store.load(now_ms, self.weight_bytes);
        self.ready_at_ms.insert(key, ready_ms);
    }
}
