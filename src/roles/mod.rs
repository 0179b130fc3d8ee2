//! The roles that a daemon can run. Each role connects the domain logic to the adapters.

pub mod control;
pub mod daemon;
pub mod directory;
pub mod entry;
pub mod gateway;
pub mod reporter;
pub mod rooms;
pub mod sidecar;
pub mod site;
pub mod standin;
pub mod subscriber;
