//! RPC between the processes of the system: message types, services, codec and connections.

mod codec;
mod connection;
pub mod control;
pub mod directory;
mod link;
mod packed;
pub mod peer;
mod server;
pub mod sidecar;

use serde::{Deserialize, Serialize};

use crate::model::{InstanceRef, TableVersion};

pub use codec::{MAX_FRAME_BYTES, Postcard, Traffic, decode, encode, sent_traffic};
pub use connection::{
    ConnectError, FramedTransport, Service, accept_service, connect, deadline_after, wrap,
};
pub use link::{CallError, Link, control_link, directory_link, peer_link, sidecar_link};
pub use packed::Packed;
pub use server::{Handler, Services, serve};

/// The state of the sender, included in messages between processes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stamp {
    pub sender: InstanceRef,
    /// The highest version of the view that the sender has applied.
    pub table_version: TableVersion,
    /// True once the sender accepts no new work.
    pub leaving: bool,
}
