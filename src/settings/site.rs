//! Settings of the roles that serve callers by a shared document: gateway, directory and reporter.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use super::reader::Reader;

/// The gateway role: the callers' front door.
#[derive(Debug, Clone)]
pub struct GatewaySettings {
    /// Where callers connect.
    pub http_address: SocketAddr,
    /// Answers whether the gateway takes new connections.
    pub ready_address: SocketAddr,
    /// The platform's list of instances, for when no control instance answers.
    pub list_address: Option<SocketAddr>,
    /// Requests with a key are refused once the document was not confirmed for this long.
    pub confirm_limit_ms: u64,
    /// Time from a planned stop to the end of the process.
    pub grace_ms: u64,
    /// Further sends allowed per request in a window, in thousandths.
    pub retry_permille: u64,
    /// Further sends allowed in a window besides, by all gateways together.
    pub retry_slack: u64,
    pub retry_window_ms: u64,
}

impl GatewaySettings {
    pub(super) fn read(reader: &mut Reader) -> Option<Self> {
        let section = "gateway";
        let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
        reader.has(section).then(|| Self {
            http_address: reader.required(section, "http_address").unwrap_or(loopback),
            ready_address: reader
                .required(section, "ready_address")
                .unwrap_or(loopback),
            list_address: reader.optional(section, "list_address"),
            confirm_limit_ms: reader.bounded(section, "confirm_limit_ms", 3_000, 500..=600_000),
            grace_ms: reader.bounded(section, "grace_ms", 8_000, 500..=600_000),
            retry_permille: fraction(reader, section, "retry_ratio", 0.2),
            retry_slack: fraction(reader, section, "retry_slack", 50.0) / 1_000,
            retry_window_ms: fraction(reader, section, "retry_window_s", 10.0).max(1_000),
        })
    }
}

/// Returns a number that may have a fraction, in thousandths.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn fraction(reader: &mut Reader, section: &str, key: &str, default: f64) -> u64 {
    (reader.bounded(section, key, default, 0.0..=1_000_000.0) * 1_000.0).round() as u64
}

/// The directory role: the shared document and the fleet.
#[derive(Debug, Clone)]
pub struct DirectorySettings {
    /// Where operators call.
    pub operator_address: SocketAddr,
    /// None on a machine without a disk: the instance then keeps no log and leads callers to those
    /// that do.
    pub data_folder: Option<PathBuf>,
    /// The platform's list of instances.
    pub list_address: Option<SocketAddr>,
    /// True at the first start of the whole system, when the named control instances may form a
    /// cluster.
    pub may_form: bool,
    /// Shortest election timeout; heartbeats go out at a fifth of it.
    pub election_ms: u64,
    /// Documents between snapshots.
    pub snapshot_entries: u64,
}

impl DirectorySettings {
    pub(super) fn read(reader: &mut Reader) -> Option<Self> {
        let section = "directory";
        let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
        reader.has(section).then(|| Self {
            operator_address: reader
                .required(section, "operator_address")
                .unwrap_or(loopback),
            data_folder: reader
                .optional(section, "data_folder")
                .filter(|folder: &PathBuf| !folder.as_os_str().is_empty()),
            list_address: reader.optional(section, "list_address"),
            may_form: reader.or(section, "may_form", false),
            election_ms: reader.bounded(section, "election_ms", 350, 100..=60_000),
            snapshot_entries: reader.bounded(section, "snapshot_entries", 32, 16..=1_000_000),
        })
    }
}

/// The reporter role: tells the directory what the engine beside it says of itself.
#[derive(Debug, Clone)]
pub struct ReporterSettings {
    /// The engine on the same machine.
    pub engine_address: SocketAddr,
    /// The engine's service. Without it, the engine takes requests once the platform lists it.
    pub engine_service: Option<Arc<str>>,
}

impl ReporterSettings {
    pub(super) fn read(reader: &mut Reader) -> Option<Self> {
        let section = "reporter";
        reader.has(section).then(|| Self {
            engine_address: reader
                .required(section, "engine_address")
                .unwrap_or(SocketAddr::from(([127, 0, 0, 1], 0))),
            engine_service: reader
                .optional(section, "engine_service")
                .filter(|service: &String| !service.is_empty())
                .map(Arc::from),
        })
    }
}
