//! The roles that a daemon can take, each a thin shell that connects domain and adapters.

pub mod control;
pub mod daemon;
pub mod entry;
pub mod rooms;
pub mod sidecar;
pub mod standin;
pub mod subscriber;
