//! What a stand-in is started with.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use super::engine::EngineConfig;
use super::orders::WeightStore;
use crate::settings::StandinSettings;

/// Models that an engine has loaded unless told otherwise, as (name, version).
const DEFAULT_MODELS: [(&str, &str); 2] = [("tutor", "v1"), ("advisor", "v1")];
/// Size of the weights of one model version.
const WEIGHT_BYTES: u64 = 2_000_000_000;
/// Rate of the weight store; one load takes a second.
const STORE_BYTES_PER_S: u64 = 2_000_000_000;

/// An engine stand-in.
#[derive(Debug, Clone)]
pub struct EngineOptions {
    pub address: SocketAddr,
    pub engine: EngineConfig,
    /// The loaded model versions, as (name, version).
    pub models: Vec<(String, String)>,
    /// True to refuse orders with an old fencing number.
    pub checks_fence: bool,
    /// How long a generation runs on while nobody reads it.
    pub resume_window_ms: u64,
    pub weight_bytes: u64,
    /// Shared by the engines of one process.
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
            weight_bytes: WEIGHT_BYTES,
            store: Arc::new(Mutex::new(WeightStore::new(STORE_BYTES_PER_S))),
        }
    }
}

impl EngineOptions {
    /// Returns the engine of a settings file; none if it names no address for one.
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
