//! Stand-ins for a model engine and a plain service.
//!
//! The engine core is driven by time and does no input or output; `start_engine` serves it over
//! HTTP by the usual model API. A token of the stand-in is a word.

pub(crate) mod api;
mod cache;
mod engine;
mod fault;
mod http;
mod metrics;
mod options;
mod orders;
mod sequence;
mod server;
mod service;
mod shared;
pub mod tokens;

pub use cache::CacheEvent;
pub use engine::{Engine, EngineConfig, EngineCounters, EngineLoad, TooLarge};
pub use fault::{CrashFault, EngineFault};
pub use options::EngineOptions;
pub use orders::{LoadedModel, Models, OldFence, Order, OrderAction, WeightStore};
pub use sequence::{EndReason, Event, SequenceId, SequenceRequest};
pub use server::{Running, StandinError, run_engine, run_service, start_engine, start_service};
pub use service::{Runs, ServiceFault};
