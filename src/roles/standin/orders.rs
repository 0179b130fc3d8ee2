//! Orders to an engine, which load or unload model versions and change its role.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};

use serde::{Deserialize, Serialize};

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderAction {
    Load,
    Unload,
    /// Sets the engine's role to `Order::role`.
    Role,
}

/// An order to an engine. The fields that its action does not use may be absent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing number of the sender.
    pub fence: u64,
    pub action: OrderAction,
    #[serde(default)]
    pub model: String,
    #[serde(default)]
    pub version: String,
    #[serde(default)]
    pub role: String,
}

/// An order was refused because an earlier one had a higher fencing number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct OldFence {
    /// Highest fencing number seen.
    pub current: u64,
}

/// Loading state of a model version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelStatus {
    pub model: String,
    pub version: String,
    /// Whether the weights are loaded and requests are served.
    pub ready: bool,
}

/// Source of model weights that serves one load at a time at a fixed rate.
#[derive(Debug)]
pub struct WeightStore {
    bytes_per_s: u64,
    /// Time at which the last queued load completes.
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

    /// Queues a load and returns the time at which it completes, in milliseconds.
    pub fn load(&mut self, now_ms: u64, bytes: u64) -> u64 {
        let start_ms = self.busy_until_ms.max(now_ms);
        self.busy_until_ms = start_ms + bytes * 1_000 / self.bytes_per_s;
        self.loads += 1;
        self.busy_until_ms
    }

    /// Returns the number of loads queued since the store was created.
    pub fn loads(&self) -> u64 {
        self.loads
    }
}

/// Model versions and role of one engine. Times are on the clock of the weight store.
#[derive(Debug)]
pub struct Models {
    checks_fence: bool,
    /// Highest fencing number seen.
    fence: u64,
    role: String,
    weight_bytes: u64,
    store: Arc<Mutex<WeightStore>>,
    /// Time from which each (model, version) serves requests.
    ready_at_ms: BTreeMap<(String, String), u64>,
}

impl Models {
    /// Versions in `loaded` are ready at once. Each later load takes `weight_bytes` from the store.
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

    /// Applies an order. Fails if fencing numbers are checked and the order's one is lower than an
    /// earlier one.
    pub fn apply(&mut self, now_ms: u64, order: &Order) -> Result<(), OldFence> {
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

    /// Returns the ready version for `name`, which is `model` or `model@version`; for `model`, the
    /// version that became ready last.
    pub fn ready_version(&self, now_ms: u64, name: &str) -> Option<&str> {
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

    pub fn list(&self, now_ms: u64) -> Vec<ModelStatus> {
        self.ready_at_ms
            .iter()
            .map(|((model, version), ready)| ModelStatus {
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
