//! The core of the replicated log: Raft with pre-vote, quorum check, linearizable reads through
//! leader leases or heartbeat rounds, snapshots sent in pieces, and membership changes of one
//! member at a time. A voter is replaced by joint consensus, so that the number of voters stays. One
//! that stops as planned gives up its vote first.
//!
//! The core does no I/O, reads no clock and has no source of randomness: the caller passes the
//! current time and a random seed. `Core::output` returns what the caller has to persist, send and
//! apply, in this order:
//!
//! 1. send `before_persist`,
//! 2. persist and sync `persist`, then call `Core::synced`,
//! 3. send `after_persist`,
//! 4. `restore`, then `apply`, then answer `reads`,
//! 5. if `take_snapshot` is set, pass a snapshot of the state machine to `Core::snapshot_taken`.

mod append;
mod compaction;
mod core;
mod election;
mod leave;
mod members;
mod reads;
mod state;
mod store;
mod transfer;
mod types;

pub use core::Core;
pub use leave::LeaveResult;
pub use state::{Options, QuorumStatus, RecoveredState, ReplicaSettings, RoleName, Status};
pub use store::LogStore;
pub use types::{
    Body, Config, Echo, Entry, HardState, Member, NodeId, Output, Packet, Payload, Persist,
    ReadDone, Snapshot, SnapshotWrite, Suffrage, Violation,
};
