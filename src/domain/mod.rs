//! Decision logic without I/O. Callers pass in the time, messages and random numbers.

pub mod admission;
pub mod document;
pub mod evacuation;
pub mod fleet;
pub mod ledger;
pub mod length;
pub mod log;
pub mod members;
pub mod orders;
pub mod pace;
pub mod quarantine;
pub mod retry;
pub mod room;
pub mod route;
pub mod schedule;
pub mod state;
pub mod stream;
pub mod table;
