//! Clients for upstreams: model engines, which stream server-sent events, and plain HTTP services.

mod connections;
mod engine;
mod error;
mod service;
mod sse;

pub use engine::{
    EngineClient, EngineLoad, EngineRequest, Order, OrderAnswer, StreamEvent, TokenStream,
};
pub use error::UpstreamError;
pub use service::{PlainCall, ServiceClient};
pub use sse::SseParser;
