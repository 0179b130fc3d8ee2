//! Settings of the roles that serve a site by a shared document: gateway, directory and reporter.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use super::reader::Reader;
use crate::model::ZoneName;

/// Default of `read_ahead_bytes`: 50 whole answers of the longest kind, in a tenth of the 88 MB of the
/// smallest entries.
const DEFAULT_READ_AHEAD_BYTES: usize = 8 * 1024 * 1024;

/// The gateway role, which accepts callers' requests.
#[derive(Debug, Clone)]
pub struct GatewaySettings {
    /// Where callers connect over HTTP.
    pub http_address: SocketAddr,
    /// Serves the readiness probe.
    pub ready_address: SocketAddr,
    /// Address of the platform's list of instances, which is used while no control instance
    /// answers.
    pub list_address: Option<SocketAddr>,
    /// Requests with an API key are refused once the document has not been confirmed for this long;
    /// all requests if control answers that it cannot confirm it.
    pub confirm_limit_ms: u64,
    /// Time between the start of a planned stop and the exit of the process.
    pub grace_ms: u64,
    /// Retry budget: retries allowed per request in a window, in thousandths.
    pub retry_permille: u64,
    /// Retries allowed in a window on top of `retry_permille`, for all gateways together.
    pub retry_slack: u64,
    pub retry_window_ms: u64,
    /// Bytes of all streams together that may be buffered for callers that read slowly.
    pub read_ahead_bytes: usize,
}

impl GatewaySettings {
    pub(super) fn read(reader: &mut Reader) -> Option<Self> {
        let section = "gateway";
        let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
        reader.has_section(section).then(|| Self {
            http_address: reader.required(section, "http_address").unwrap_or(loopback),
            ready_address: reader
                .required(section, "ready_address")
                .unwrap_or(loopback),
            list_address: reader.optional(section, "list_address"),
            confirm_limit_ms: reader.bounded(section, "confirm_limit_ms", 3_000, 500..=600_000),
            grace_ms: reader.bounded(section, "grace_ms", 8_000, 500..=600_000),
            retry_permille: read_thousandths(reader, section, "retry_ratio", 0.2),
            retry_slack: read_thousandths(reader, section, "retry_slack", 50.0) / 1_000,
            retry_window_ms: read_thousandths(reader, section, "retry_window_s", 10.0).max(1_000),
            read_ahead_bytes: reader.bounded(
                section,
                "read_ahead_bytes",
                DEFAULT_READ_AHEAD_BYTES,
                0..=1 << 30,
            ),
        })
    }
}

/// Returns a decimal number in thousandths.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn read_thousandths(reader: &mut Reader, section: &str, key: &str, default: f64) -> u64 {
    (reader.bounded(section, key, default, 0.0..=1_000_000.0) * 1_000.0).round() as u64
}

/// The directory role, which keeps the shared document and the list of instances.
#[derive(Debug, Clone)]
pub struct DirectorySettings {
    /// Where the operators' API is served.
    pub operator_address: SocketAddr,
    /// None on a machine without a disk: the instance then keeps no log and directs callers to
    /// instances that do.
    pub data_folder: Option<PathBuf>,
    /// Address of the platform's list of instances.
    pub list_address: Option<SocketAddr>,
    /// The availability zones of the site, which orders of operators may name. Zones of listed
    /// instances count too.
    pub zones: Vec<ZoneName>,
    /// True at the first start of the whole system, when the configured control instances may form
    /// a new cluster.
    pub may_form: bool,
    /// Lost instances that the log has to tolerate; silent ones are not removed without a replacement
    /// below the voters that this takes.
    pub tolerated_losses: usize,
    /// Time from SIGTERM until the process is killed.
    pub grace_ms: u64,
    /// Minimum election timeout; the heartbeat interval is a fifth of it.
    pub election_ms: u64,
    /// Number of document versions between snapshots.
    pub snapshot_entries: u64,
}

impl DirectorySettings {
    pub(super) fn read(reader: &mut Reader) -> Option<Self> {
        let section = "directory";
        let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
        reader.has_section(section).then(|| Self {
            operator_address: reader
                .required(section, "operator_address")
                .unwrap_or(loopback),
            data_folder: reader
                .optional(section, "data_folder")
                .filter(|folder: &PathBuf| !folder.as_os_str().is_empty()),
            list_address: reader.optional(section, "list_address"),
            zones: read_zones(reader, section),
            may_form: reader.or_default(section, "may_form", false),
            tolerated_losses: reader.bounded(section, "tolerated_losses", 1, 0..=4),
            grace_ms: reader.bounded(section, "grace_ms", 8_000, 500..=600_000),
            election_ms: reader.bounded(section, "election_ms", 350, 100..=60_000),
            snapshot_entries: reader.bounded(section, "snapshot_entries", 32, 16..=1_000_000),
        })
    }
}

fn read_zones(reader: &mut Reader, section: &str) -> Vec<ZoneName> {
    let names: Vec<String> = reader.list(section, "zones");
    let names = names.iter().map(String::as_str);
    names.map(ZoneName::from).collect()
}

/// The reporter role, which reports the state of the engine on its machine to the directory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReporterSettings {
    /// The engine on the same machine.
    pub engine_address: SocketAddr,
    /// The service that the engine belongs to. If none, the engine takes requests as soon as the
    /// platform lists it.
    pub engine_service: Option<Arc<str>>,
    /// The address of an engine that has ended is not assigned to another service before this time.
    pub reuse_after_ms: u64,
}

impl ReporterSettings {
    pub(super) fn read(reader: &mut Reader) -> Option<Self> {
        let section = "reporter";
        reader.has_section(section).then(|| Self {
            engine_address: reader
                .required(section, "engine_address")
                .unwrap_or(SocketAddr::from(([127, 0, 0, 1], 0))),
            engine_service: reader
                .optional(section, "engine_service")
                .filter(|service: &String| !service.is_empty())
                .map(Arc::from),
            reuse_after_ms: read_thousandths(reader, section, "reuse_after_s", 2.0),
        })
    }
}
