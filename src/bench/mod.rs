//! The load tool: seeded arrivals, measured results.
