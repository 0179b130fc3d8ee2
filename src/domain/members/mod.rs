//! Cluster membership: the instances, their current incarnations and their phases.

mod merge;
mod registry;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::model::{
    Fence, Incarnation, InstanceName, ModelName, ServiceName, UpstreamName, ZoneName,
};

pub use merge::{MAX_CLOCK_OFFSET_MS, PlatformInstance, PlatformList, merge};
pub use registry::{GONE_RETENTION_MS, MAX_RETIRED_PER_INSTANCE, RETIRED_RETENTION_MS, Registry};

/// A role that an instance performs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Role {
    Entry,
    Sidecar,
    Control,
}

/// Lifecycle phase of an instance. Within one incarnation it never goes back to an earlier phase.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Phase {
    Live,
    Leaving,
    Gone,
}

/// What an upstream serves: the replica of a model, or a service.
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
    /// The loaded versions, as last reported; empty for services.
    pub versions: Vec<String>,
}

/// One member in its latest incarnation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    pub name: InstanceName,
    pub incarnation: Incarnation,
    /// Log index of the registration, used as fencing number.
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
