//! The document that operators publish: routes, services, keys of workspaces and limits of callers.
//!
//! The highest version is in force. A document replaces the one before it as a whole.

mod index;
mod validate;

use std::sync::Arc;

use crate::model::WorkspaceName;

pub use index::{Access, Index};
pub use validate::validate;

/// What may be repeated of a route's requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Repeat {
    /// Requests may run any number of times.
    Safe,
    /// Requests run at most once.
    Once,
    /// Requests run at most once and answer with a stream of events.
    Stream,
}

/// One service that a route sends requests to, and its share of them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Share {
    pub service: Arc<str>,
    pub weight: u32,
}

/// One route, chosen by host and longest path prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    pub name: Arc<str>,
    pub host: Arc<str>,
    /// Begins and ends with a slash.
    pub prefix: Arc<str>,
    pub repeat: Repeat,
    /// The longest time that a caller is kept waiting.
    pub timeout_ms: u64,
    /// The time within which an answer counts as on time; for streams, its first event.
    pub target_ms: u64,
    /// The longest pause between two events of a stream that counts as on time.
    pub gap_target_ms: Option<u64>,
    /// 0 is the most urgent.
    pub priority: u32,
    pub shares: Vec<Share>,
    /// Upstreams that one request may be sent to.
    pub max_attempts: u32,
    /// True if requests need no key.
    pub anonymous: bool,
}

/// What a service's engines hold and can do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineSpec {
    pub slots: u32,
    pub memory_tokens: u64,
    pub bytes_per_token: u64,
    /// Bandwidth of an engine's link for moves of memory.
    pub link_mbps: u64,
    /// Tokens of one event of a stream.
    pub tokens_per_event: u32,
    /// True if running generations can be moved to another engine.
    pub moves: bool,
    /// True if the memory of a running generation can be copied while it grows.
    pub backups: bool,
}

/// A service and its limits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    pub name: Arc<str>,
    pub max_connections: u32,
    /// Where an instance says that it is healthy, and which one it is.
    pub health_path: Option<Arc<str>>,
    pub engine: Option<EngineSpec>,
}

/// A workspace with its keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Workspace {
    pub name: WorkspaceName,
    pub keys: Vec<Arc<str>>,
    /// 0 is the most urgent; goes before the priority of the route.
    pub priority: Option<u32>,
}

/// What a caller may send, and how long it may take.
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
