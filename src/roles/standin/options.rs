//! Options of the engine stand-in.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use super::engine::EngineConfig;
use super::orders::WeightStore;
use crate::settings::StandinSettings;

/// Model versions loaded at start by default, as (name, version).
const DEFAULT_MODELS: [(&str, &str); 2] = [("tutor", "v1"), ("advisor", "v1")];
const DEFAULT_WEIGHT_BYTES: u64 = 2_000_000_000;
/// Loading the default weights takes 1 s at this rate.
const DEFAULT_STORE_BYTES_PER_S: u64 = 2_000_000_000;

/// Options of one engine stand-in.
#[derive(Debug, Clone)]
pub struct EngineOptions {
    pub address: SocketAddr,
    pub engine: EngineConfig,
    /// Model versions loaded at start, as (name, version).
    pub models: Vec<(String, String)>,
    /// Whether orders with a lower fencing number than an earlier one are refused.
    pub checks_fence: bool,
    /// A generation without readers is cancelled after this time.
    pub resume_window_ms: u64,
    /// Size of the weights that each load order transfers from the store.
    pub weight_bytes: u64,
    /// Engines with the same store load their weights one after another.
    pub store: Arc<Mutex<WeightStore>>,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            engine: EngineConfig::default(),
            models: DEFAULT_MODELS
                .iter()
                .map(|(model, version)| ((*model).to_owned(), (*version).to_owned()))
                .collect(),
            checks_fence: true,
            resume_window_ms: 10_000,
            weight_bytes: DEFAULT_WEIGHT_BYTES,
            store: Arc::new(Mutex::new(WeightStore::new(DEFAULT_STORE_BYTES_PER_S))),
        }
    }
}

impl EngineOptions {
    /// Returns the options of the engine configured in `settings`, or `None` if they have no
    /// engine address.
    pub fn from_settings(settings: &StandinSettings) -> Option<Self> {
        let engine = EngineConfig {
            capacity_tokens: settings.capacity_tokens,
            max_batch: settings.max_batch,
            step_us: settings.step_ms * 1_000,
            cache_tokens: settings.capacity_tokens / 2,
            seed: settings.seed,
            ..EngineConfig::default()
        };
        Some(Self {
            address: settings.engine_address?,
            engine,
            checks_fence: settings.checks_fence,
            ..Self::default()
        })
    }
}
