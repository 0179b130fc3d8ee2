//! Stand-ins for the two kinds of upstream: a model engine and a plain service.
//!
//! The engine core does no I/O and gets the time from its caller, so simulations run it in virtual
//! time; `start_engine` serves it over HTTP with the usual completion API. Tokens are words.

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
pub use engine::{Engine, EngineConfig, EngineCounters, EngineLoad, PromptTooLarge};
pub use fault::{CrashFault, EngineFault};
pub use options::EngineOptions;
pub use orders::{ModelStatus, Models, OldFence, Order, OrderAction, WeightStore};
pub use sequence::{EndReason, Event, SequenceId, SequenceRequest};
pub use server::{
    StandinError, StandinServer, run_engine, run_service, start_engine, start_service,
};
pub use service::{RunCounts, ServiceFault};
