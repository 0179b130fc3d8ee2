//! The configuration document that operators publish: routes, services, workspaces with their API
//! keys, and limits on requests.
//!
//! The document with the highest version is active. It replaces the previous one as a whole.

mod index;
mod validate;

use std::sync::Arc;

use crate::model::WorkspaceName;

pub use index::{Access, Index};
pub use validate::validate;

/// Whether the requests of a route may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Repeat {
    /// Requests may run any number of times.
    Safe,
    /// Requests run at most once.
    Once,
    /// Requests run at most once; the response is a stream of events.
    Stream,
}

/// One service that a route sends requests to, with its weight relative to the route's other
/// services.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Share {
    pub service: Arc<str>,
    pub weight: u32,
}

/// One route. A request uses the route of its host with the longest matching path prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    pub name: Arc<str>,
    pub host: Arc<str>,
    /// Begins and ends with a slash.
    pub prefix: Arc<str>,
    pub repeat: Repeat,
    /// Maximum time that a caller waits for an answer.
    pub timeout_ms: u64,
    /// Latency within which an answer counts as on time; for streams, the latency of the first
    /// event.
    pub target_ms: u64,
    /// Maximum gap between two events of a stream that counts as on time.
    pub gap_target_ms: Option<u64>,
    /// Priority of the route's requests; 0 is the most urgent.
    pub priority: u32,
    pub shares: Vec<Share>,
    /// Maximum number of upstreams that one request is sent to.
    pub max_attempts: u32,
    /// True if requests need no key.
    pub anonymous: bool,
}

/// Capacity and features of a service's inference engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineSpec {
    pub slots: u32,
    pub memory_tokens: u64,
    pub bytes_per_token: u64,
    /// Bandwidth of an engine's network link for transfers of KV-cache memory, in Mbit/s.
    pub link_mbps: u64,
    /// Number of tokens in one event of a stream.
    pub tokens_per_event: u32,
    /// True if running generations can be moved to another engine.
    pub moves: bool,
    /// True if the memory of a running generation can be copied to another engine while it grows.
    pub backups: bool,
}

/// A service with its limits and engine properties.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    pub name: Arc<str>,
    pub max_connections: u32,
    /// Path at which an instance reports that it is healthy, and its instance id.
    pub health_path: Option<Arc<str>>,
    pub engine: Option<EngineSpec>,
    /// How long an instance is cold after its start.
    pub cold_start_ms: u64,
    /// Requests per second that a cold instance bears from all machines together, in thousandths;
    /// `None` means no limit.
    pub cold_limit_milli_per_s: Option<u64>,
}

/// A workspace with its API keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Workspace {
    pub name: WorkspaceName,
    pub keys: Vec<Arc<str>>,
    /// 0 is the most urgent; takes precedence over the priority of the route.
    pub priority: Option<u32>,
}

/// Limits on the size of callers' requests, and timeouts of their connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    pub header_bytes: usize,
    pub body_bytes: usize,
    pub header_timeout_ms: u64,
    pub idle_timeout_ms: u64,
}

/// One version of the document.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Document {
    pub version: u64,
    pub routes: Vec<Arc<Route>>,
    pub services: Vec<Service>,
    pub workspaces: Vec<Workspace>,
    pub limits: CallerLimits,
}
