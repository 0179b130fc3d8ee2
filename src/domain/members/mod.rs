//! Members: which instances there are, in which incarnation, and which are leaving.

mod merge;
mod registry;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::model::{
    Fence, Incarnation, InstanceName, ModelName, ServiceName, UpstreamName, ZoneName,
};

pub use merge::{CLOCK_MARGIN_MS, PlatformInstance, PlatformList, merge};
pub use registry::{GONE_KEPT_MS, MAX_RETIRED, RETIRED_KEPT_MS, Registry};

/// What an instance does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Role {
    Entry,
    Sidecar,
    Control,
}

/// Where an instance is in its life. Within one incarnation the phase only rises.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Phase {
    Live,
    Leaving,
    Gone,
}

/// What an upstream serves.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Serves {
    Model(ModelName),
    Service(ServiceName),
}

/// An upstream instance behind a sidecar.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamInfo {
    pub name: UpstreamName,
    pub serves: Serves,
    /// The versions loaded, as last registered; empty for services.
    pub versions: Vec<String>,
}

/// One member in its latest incarnation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    pub name: InstanceName,
    pub incarnation: Incarnation,
    /// The log index of the registration.
    pub fence: Fence,
    pub roles: Vec<Role>,
    pub zone: ZoneName,
    pub rpc_address: SocketAddr,
    pub phase: Phase,
    pub upstreams: Vec<UpstreamInfo>,
}

/// All members by name.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members {
    pub members: BTreeMap<InstanceName, Member>,
}
