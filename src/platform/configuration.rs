//! Decodes the operator's document.

use std::collections::BTreeSet;
use std::sync::Arc;

use serde::Deserialize;

use crate::domain::document::{
    CallerLimits, Document, EngineSpec, Repeat, Route, Service, Share, Workspace, validate,
};
use crate::findings::Findings;
use crate::model::WorkspaceName;

/// Bounds on what the document states about cold instances, so that times and rates can be added and
/// multiplied.
const MAX_COLD_START_MS: u64 = 3_600_000;
const MIN_COLD_LIMIT_MILLI_PER_S: u64 = 100;
const MAX_COLD_LIMIT_MILLI_PER_S: u64 = 1_000_000_000;

/// The document as it is sent. Error messages to operators contain the names of these types.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Wire {
    version: u64,
    routes: Vec<WireRoute>,
    services: Vec<WireService>,
    #[serde(default)]
    limits: WireLimits,
    /// The workspaces, under their name in the protocol.
    #[serde(default)]
    tenants: Vec<WireWorkspace>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireRoute {
    name: Arc<str>,
    host: Arc<str>,
    path_prefix: Arc<str>,
    kind: String,
    timeout_ms: u64,
    #[serde(default)]
    target_latency_ms: Option<u64>,
    #[serde(default)]
    gap_target_ms: Option<f64>,
    #[serde(default)]
    priority: u32,
    /// The only service; used if `traffic_split` is empty, and validated in any case.
    #[serde(default)]
    service: Option<Arc<str>>,
    #[serde(default)]
    traffic_split: Vec<WireShare>,
    #[serde(default)]
    max_attempts: Option<u32>,
    #[serde(default)]
    allow_anonymous: bool,
}

#[derive(Deserialize)]
struct WireShare {
    service: Arc<str>,
    weight: u32,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireService {
    name: Arc<str>,
    #[serde(default)]
    max_connections: Option<u32>,
    #[serde(default)]
    health_check_path: Option<Arc<str>>,
    #[serde(default)]
    engine: Option<WireEngine>,
    #[serde(default)]
    cold_start_s: Option<f64>,
    /// 0 means no limit.
    #[serde(default)]
    cold_per_s: Option<f64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireEngine {
    slots: u32,
    kv_cache_tokens: u64,
    #[serde(default)]
    kv_bytes: f64,
    #[serde(default)]
    link_mbps: f64,
    #[serde(default)]
    moves: bool,
    #[serde(default)]
    backups: bool,
    /// Number of tokens in one event.
    #[serde(default)]
    stride: Option<u32>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct WireLimits {
    max_header_bytes: usize,
    max_body_bytes: usize,
    header_timeout_ms: u64,
    idle_timeout_ms: u64,
}

/// Defaults for limits that the document omits, from the platform's published example.
impl Default for WireLimits {
    fn default() -> Self {
        Self {
            max_header_bytes: 16_384,
            max_body_bytes: 4_194_304,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireWorkspace {
    name: String,
    #[serde(default)]
    api_keys: Vec<Arc<str>>,
    #[serde(default)]
    priority: Option<u32>,
}

/// Decodes and validates a document. If it is invalid, returns all of its faults.
pub fn decode_document(body: &[u8]) -> Result<Document, Findings> {
    let wire: Wire = match serde_json::from_slice(body) {
        Ok(wire) => wire,
        Err(error) => {
            let mut findings = Findings::default();
            findings.add("document", format!("cannot be read: {error}"));
            return Err(findings);
        }
    };
    let mut findings = Findings::default();
    let services: BTreeSet<Arc<str>> = wire.services.iter().map(|s| Arc::clone(&s.name)).collect();
    let routes = wire.routes.into_iter();
    let document = Document {
        version: wire.version,
        routes: routes
            .map(|route| Arc::new(decode_route(route, &services, &mut findings)))
            .collect(),
        services: wire.services.into_iter().map(decode_service).collect(),
        workspaces: wire.tenants.into_iter().map(decode_workspace).collect(),
        limits: CallerLimits {
            header_bytes: wire.limits.max_header_bytes,
            body_bytes: wire.limits.max_body_bytes,
            header_timeout_ms: wire.limits.header_timeout_ms,
            idle_timeout_ms: wire.limits.idle_timeout_ms,
        },
    };
    findings.0.extend(validate(&document).0);
    findings.into_result(document)
}

fn decode_route(wire: WireRoute, services: &BTreeSet<Arc<str>>, findings: &mut Findings) -> Route {
    let repeat = match wire.kind.as_str() {
        "safe" => Repeat::Safe,
        "streaming" => Repeat::Stream,
        "unsafe" => Repeat::Once,
        other => {
            let reason =
                format!("has the unknown kind {other:?}; expected safe, unsafe or streaming");
            findings.add(format!("route {}", wire.name), reason);
            Repeat::Once
        }
    };
    let mut shares: Vec<Share> = wire
        .traffic_split
        .into_iter()
        .map(|share| Share {
            service: share.service,
            weight: share.weight,
        })
        .collect();
    match wire.service {
        Some(service) if shares.is_empty() => shares.push(Share { service, weight: 1 }),
        Some(service) if !service.is_empty() && !services.contains(&service) => {
            let reason = format!("names the unknown service {service}");
            findings.add(format!("route {}", wire.name), reason);
        }
        _ => {}
    }
    Route {
        name: wire.name,
        host: wire.host,
        prefix: wire.path_prefix,
        repeat,
        timeout_ms: wire.timeout_ms,
        target_ms: wire.target_latency_ms.unwrap_or(wire.timeout_ms),
        gap_target_ms: wire.gap_target_ms.map(to_integer),
        priority: wire.priority,
        shares,
        max_attempts: wire.max_attempts.unwrap_or(1).max(1),
        anonymous: wire.allow_anonymous,
    }
}

fn decode_service(wire: WireService) -> Service {
    let cold_per_s = wire.cold_per_s.filter(|per_s| *per_s > 0.0);
    let cold_start_s = wire.cold_start_s.unwrap_or_default();
    Service {
        cold_start_ms: to_integer(cold_start_s * 1_000.0).min(MAX_COLD_START_MS),
        // A limit below a request in ten seconds would take an instance out of service.
        cold_limit_milli_per_s: cold_per_s.map(|per_s| {
            to_integer(per_s * 1_000.0)
                .clamp(MIN_COLD_LIMIT_MILLI_PER_S, MAX_COLD_LIMIT_MILLI_PER_S)
        }),
        name: wire.name,
        max_connections: wire.max_connections.unwrap_or(u32::MAX),
        health_path: wire.health_check_path,
        engine: wire.engine.map(|engine| EngineSpec {
            slots: engine.slots,
            memory_tokens: engine.kv_cache_tokens,
            bytes_per_token: to_integer(engine.kv_bytes),
            link_mbps: to_integer(engine.link_mbps),
            tokens_per_event: engine.stride.unwrap_or(1),
            moves: engine.moves,
            backups: engine.backups,
        }),
    }
}

fn decode_workspace(wire: WireWorkspace) -> Workspace {
    Workspace {
        name: WorkspaceName::from(wire.name.as_str()),
        keys: wire.api_keys,
        priority: wire.priority,
    }
}

/// Truncates a whole number that the platform may write with a fraction; negative numbers give 0.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn to_integer(number: f64) -> u64 {
    number.max(0.0) as u64
}
