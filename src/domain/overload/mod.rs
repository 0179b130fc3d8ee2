//! Insufficient capacity: which generations are admitted, which wait, which are refused and when, and
//! who returns first. The hub decides for the generations of all entries.

mod arrivals;
mod forecast;
mod queue;
mod refused_calls;
mod reserved;
mod shares;
mod wait;

pub use queue::{Outlook, PendingGeneration, PlacementDecision, PlacementQueue, RefusalReason};
pub use refused_calls::RefusedCalls;
pub use wait::{WaitBounds, expected_run_ms, usable_retry_ms};
