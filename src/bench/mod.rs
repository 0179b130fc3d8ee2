//! Benchmarks: a load generator with seeded arrivals, a simulation of scheduling policies, and
//! measurements of single components.

pub mod added;
pub mod checker;
pub mod client;
pub mod kinds;
pub mod load;
pub mod log;
mod metrics;
mod options;
pub mod path;
mod plot;
pub mod recorder;
pub mod report;
pub mod sim;
pub mod slopes;
pub mod sse;
pub mod workload;

pub use load::BenchError;
pub use options::{
    AddedLatencyOptions, ArrivalOptions, Command, CompareOptions, LoadOptions, Options,
    OutputOptions, SimulateOptions, run, run_with,
};
pub use plot::write_plots;
pub use report::Report;
pub mod distribution;
pub mod state;
