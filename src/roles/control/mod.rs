//! The control role: the replicated log and the services on it.

mod machine;
pub mod operator_api;
mod port;
pub mod replica;
mod replicated;
mod service;

pub use machine::Machine;
pub use port::{Leadership, LogError, LogPort, memory_log};
pub use replicated::replicated_log;
pub use service::{ControlRole, RelayService};
