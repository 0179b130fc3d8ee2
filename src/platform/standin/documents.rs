//! Encodes documents as operators send them.

use serde_json::{Value, json};

use crate::domain::document::{Document, EngineSpec, Repeat, Route, Service, Share, Workspace};
use crate::platform::standin::MODEL;

pub(crate) fn encode_document(document: &Document) -> Vec<u8> {
    to_value(document).to_string().into_bytes()
}

pub(crate) fn encode_route(route: &Route) -> Vec<u8> {
    route_to_value(route).to_string().into_bytes()
}

/// Decodes the version of a document; `None` if it has none.
pub(crate) fn decode_version(body: &[u8]) -> Option<u64> {
    let wire: Value = serde_json::from_slice(body).ok()?;
    wire["version"].as_u64()
}

pub(super) fn to_value(document: &Document) -> Value {
    let routes = document.routes.iter().map(|route| route_to_value(route));
    let services = document.services.iter().map(service_to_value);
    let workspaces = document.workspaces.iter().map(workspace_to_value);
    json!({
        "version": document.version,
        "routes": routes.collect::<Vec<_>>(),
        "services": services.collect::<Vec<_>>(),
        "limits": {
            "maxHeaderBytes": document.limits.header_bytes,
            "maxBodyBytes": document.limits.body_bytes,
            "headerTimeoutMs": document.limits.header_timeout_ms,
            "idleTimeoutMs": document.limits.idle_timeout_ms,
        },
        "tenants": workspaces.collect::<Vec<_>>(),
    })
}

fn route_to_value(route: &Route) -> Value {
    let kind = match route.repeat {
        Repeat::Safe => "safe",
        Repeat::Once => "unsafe",
        Repeat::Stream => "streaming",
    };
    let mut wire = json!({
        "name": route.name, "host": route.host, "pathPrefix": route.prefix, "kind": kind,
        "timeoutMs": route.timeout_ms, "targetLatencyMs": route.target_ms,
        "priority": route.priority, "maxAttempts": route.max_attempts,
        "allowAnonymous": route.anonymous,
    });
    if let Some(gap_target_ms) = route.gap_target_ms {
        wire["gapTargetMs"] = json!(gap_target_ms);
    }
    match &route.shares[..] {
        [Share { service, weight: 1 }] => wire["service"] = json!(service),
        shares => {
            let split = shares
                .iter()
                .map(|share| json!({"service": share.service, "weight": share.weight}));
            wire["trafficSplit"] = split.collect();
        }
    }
    wire
}

fn service_to_value(service: &Service) -> Value {
    let mut wire = json!({"name": service.name, "maxConnections": service.max_connections});
    if let Some(path) = &service.health_path {
        wire["healthCheckPath"] = json!(path);
    }
    if let Some(engine) = &service.engine {
        wire["engine"] = engine_to_value(engine);
    }
    wire
}

// The platform writes bandwidths with a fraction.
#[allow(clippy::cast_precision_loss)]
fn engine_to_value(engine: &EngineSpec) -> Value {
    json!({
        "slots": engine.slots, "kvCacheTokens": engine.memory_tokens,
        "kvBytes": engine.bytes_per_token, "linkMbps": engine.link_mbps as f64,
        "moves": engine.moves, "backups": engine.backups, "stride": engine.tokens_per_event,
        "most": 12, "pinMs": 4_000.0, "holdMs": 2_000.0, "handleS": 5.0,
        "models": [{"name": MODEL}],
    })
}

fn workspace_to_value(workspace: &Workspace) -> Value {
    let mut wire = json!({"name": workspace.name.as_str(), "apiKeys": workspace.keys});
    if let Some(priority) = workspace.priority {
        wire["priority"] = json!(priority);
    }
    wire
}
