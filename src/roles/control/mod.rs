//! The control role: the replicated log and the services on it.

mod machine;
mod port;
pub mod replica;
mod service;

pub use machine::Machine;
pub use port::{Leadership, LogError, LogPort, memory_log};
pub use service::{ControlRole, RelayService};
