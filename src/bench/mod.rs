//! The load tool: seeded arrivals, measured results.

pub mod distribution;
