//! The core of the replicated log: Raft with pre-vote, quorum check, leader leases, read rounds,
//! snapshots in pieces and membership changes of one member at a time.
//!
//! The core does no I/O, reads no clock and draws no randomness. Every call takes the current time;
//! `Core::output` returns what the caller has to persist, send and apply, in this order:
//!
//! 1. send `early`,
//! 2. persist and sync `persist`, then call `Core::synced`,
//! 3. send `late`,
//! 4. `restore`, then `apply`, then answer `reads`,
//! 5. take a snapshot if `take_snapshot` is set.

mod append;
mod core;
mod election;
mod members;
mod reads;
mod state;
mod store;
mod transfer;
mod types;

pub use core::Core;
pub use state::{Limits, Options, Recovered, RoleName, Status};
pub use store::LogStore;
pub use types::{
    Body, Config, Echo, Entry, HardState, Member, NodeId, Output, Packet, Payload, Persist,
    ReadDone, Snapshot, SnapshotWrite, Violation,
};
