//! The control role: the replicated log and the services built on it.

mod machine;
pub mod operator_api;
mod operators;
mod permits;
mod port;
pub mod replica;
mod replicated;
mod rooms;
mod service;

pub use machine::Machine;
pub use operators::{Status, operator_port};
pub use permits::{LOADS_LIMIT, Permits};
pub use port::{Leadership, LogError, LogPort, memory_log};
pub use replicated::replicated_log;
pub use rooms::RoomBroker;
pub use service::{ControlRole, RelayService};
