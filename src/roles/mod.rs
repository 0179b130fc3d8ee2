//! The roles that a daemon can take, each a thin shell that connects domain and adapters.

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
