//! The load tool: seeded arrivals, measured results.

pub mod checker;
pub mod kinds;
pub mod log;
pub mod recorder;
pub mod report;
pub mod sim;
pub mod workload;
