//! Settings of the entry, sidecar, control and stand-in roles.

use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;

use super::reader::Reader;
use crate::domain::schedule::Policy;
use crate::model::{InstanceName, ModelName, ServiceName, UpstreamName};

/// What a process does with new work while its table is not confirmed to be current.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StalePolicy {
    Refuse,
    Serve,
}

impl FromStr for StalePolicy {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "refuse" => Ok(Self::Refuse),
            "serve" => Ok(Self::Serve),
            _ => Err("expected refuse or serve"),
        }
    }
}

/// The entry role.
#[derive(Debug, Clone)]
pub struct EntrySettings {
    /// Where callers connect over HTTP.
    pub http_address: SocketAddr,
    /// Maximum size of a request body.
    pub body_limit_bytes: u64,
    /// Time for a disconnected streaming caller to reconnect before its generation is cancelled.
    pub reconnect_grace_ms: u64,
    /// Deadline of requests that have none themselves and whose kind has none.
    pub default_deadline_ms: u64,
}

impl EntrySettings {
    pub(super) fn read(reader: &mut Reader) -> Option<Self> {
        let section = "entry";
        reader.has_section(section).then(|| Self {
            http_address: reader
                .required(section, "http_address")
                .unwrap_or(SocketAddr::from(([127, 0, 0, 1], 0))),
            body_limit_bytes: reader.bounded(
                section,
                "body_limit_bytes",
                2_097_152,
                1_024..=4_000_000,
            ),
            reconnect_grace_ms: reader.bounded(section, "reconnect_grace_ms", 3_000, 0..=60_000),
            default_deadline_ms: reader.bounded(
                section,
                "default_deadline_ms",
                600_000,
                100..=86_400_000,
            ),
        })
    }
}

/// What an upstream serves, which decides its protocol.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum UpstreamKind {
    Model(ModelName),
    Service(ServiceName),
}

/// One upstream instance, from a section `[upstream <name>]`.
#[derive(Debug, Clone)]
pub struct UpstreamSettings {
    pub name: UpstreamName,
    pub kind: UpstreamKind,
    /// Base URL, such as `http://10.0.0.5:8000`.
    pub url: String,
    /// Memory for cached prompt and output tokens; only used for models.
    pub capacity_tokens: u64,
    /// Maximum number of concurrent generations or calls.
    pub max_running: u32,
    /// True if the engine rejects orders with an outdated fencing number.
    pub checks_fence: bool,
}

/// The sidecar role.
#[derive(Debug, Clone)]
pub struct SidecarSettings {
    pub upstreams: Vec<UpstreamSettings>,
    /// Time after which a generation that nobody reads is cancelled.
    pub orphan_ms: u64,
    /// Maximum duration of a drain; if none, the process waits for the last generation.
    pub drain_limit_ms: Option<u64>,
    /// Name of the admission policy: `adaptive`, `none`, `fixed` or `worst_case`.
    pub policy: String,
}

impl SidecarSettings {
    pub(super) fn read(reader: &mut Reader) -> Option<Self> {
        let section = "sidecar";
        if !reader.has_section(section) {
            return None;
        }
        let names = reader.sections_with_prefix("upstream ");
        if names.is_empty() {
            reader.add_error(
                section,
                "",
                "has no upstreams; add a section [upstream NAME]",
            );
        }
        let policy = reader.or_default(section, "policy", "adaptive".to_owned());
        if Policy::by_name(&policy).is_none() {
            let reason = format!("is {policy:?}; expected adaptive, none, fixed or worst_case");
            reader.add_error(section, "policy", &reason);
        }
        Some(Self {
            upstreams: names
                .iter()
                .map(|name| UpstreamSettings::read(reader, name))
                .collect(),
            orphan_ms: reader.bounded(section, "orphan_ms", 30_000, 1_000..=600_000),
            drain_limit_ms: reader.optional(section, "drain_limit_ms"),
            policy,
        })
    }
}

impl UpstreamSettings {
    fn read(reader: &mut Reader, name: &str) -> Self {
        let section = format!("upstream {name}");
        let model: Option<String> = reader.optional(&section, "model");
        let service: Option<String> = reader.optional(&section, "service");
        let kind = match (model, service) {
            (Some(model), None) => UpstreamKind::Model(ModelName::from(model.as_str())),
            (None, Some(service)) => UpstreamKind::Service(ServiceName::from(service.as_str())),
            _ => {
                reader.add_error(
                    &section,
                    "model",
                    "exactly one of model and service is needed",
                );
                UpstreamKind::Service(ServiceName::from(""))
            }
        };
        Self {
            name: UpstreamName::from(name),
            kind,
            url: reader.required(&section, "url").unwrap_or_default(),
            capacity_tokens: reader.bounded(
                &section,
                "capacity_tokens",
                100_000,
                256..=1_000_000_000,
            ),
            max_running: reader.bounded(&section, "max_running", 64, 1..=100_000),
            checks_fence: reader.or_default(&section, "checks_fence", false),
        }
    }
}

/// Name and RPC address of a control instance, written `name@address`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerAddress {
    pub name: InstanceName,
    pub address: SocketAddr,
}

impl FromStr for PeerAddress {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let Some((name, address)) = text.split_once('@') else {
            return Err("expected name@address:port".to_owned());
        };
        let address = address.parse().map_err(|error| format!("{error}"))?;
        Ok(Self {
            name: InstanceName::from(name),
            address,
        })
    }
}

impl fmt::Display for PeerAddress {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.name, self.address)
    }
}

/// The control role.
#[derive(Debug, Clone)]
pub struct ControlSettings {
    pub data_folder: PathBuf,
    /// All control instances, including this one, for forming or joining a cluster.
    pub peers: Vec<PeerAddress>,
    /// Minimum election timeout; the heartbeat interval is a fifth of it.
    pub election_ms: u64,
    /// Number of log entries between snapshots.
    pub snapshot_entries: u64,
    /// JSON file with the platform's list of instances, which the platform keeps up to date.
    pub platform_list: Option<PathBuf>,
}

impl ControlSettings {
    pub(super) fn read(reader: &mut Reader) -> Option<Self> {
        let section = "control";
        reader.has_section(section).then(|| Self {
            data_folder: reader.required(section, "data_folder").unwrap_or_default(),
            peers: reader.list(section, "peers"),
            election_ms: reader.bounded(section, "election_ms", 1_000, 100..=60_000),
            snapshot_entries: reader.bounded(section, "snapshot_entries", 4_096, 16..=1_000_000),
            platform_list: reader.optional(section, "platform_list"),
        })
    }
}

/// The stand-in role: simulated upstreams for trials and tests.
#[derive(Debug, Clone)]
pub struct StandinSettings {
    pub engine_address: Option<SocketAddr>,
    pub service_address: Option<SocketAddr>,
    pub capacity_tokens: u64,
    pub max_batch: u32,
    /// Duration of one decoding step of the whole batch.
    pub step_ms: u64,
    pub seed: u64,
    /// True if the stand-in engine rejects orders with an outdated fencing number.
    pub checks_fence: bool,
}

impl StandinSettings {
    pub(super) fn read(reader: &mut Reader) -> Option<Self> {
        let section = "standin";
        reader.has_section(section).then(|| Self {
            engine_address: reader.optional(section, "engine_address"),
            service_address: reader.optional(section, "service_address"),
            capacity_tokens: reader.bounded(
                section,
                "capacity_tokens",
                100_000,
                256..=1_000_000_000,
            ),
            max_batch: reader.bounded(section, "max_batch", 64, 1..=100_000),
            step_ms: reader.bounded(section, "step_ms", 10, 1..=10_000),
            seed: reader.or_default(section, "seed", 1),
            checks_fence: reader.or_default(section, "checks_fence", true),
        })
    }
}
