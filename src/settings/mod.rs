//! Settings of a daemon, read from an INI file. All errors are reported at once.

mod reader;
mod roles;
mod site;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::Path;

use crate::findings::Findings;
use crate::model::{InstanceName, ZoneName};
use reader::Reader;

pub use roles::{
    ControlSettings, EntrySettings, PeerAddress, SidecarSettings, StalePolicy, StandinSettings,
    UpstreamKind, UpstreamSettings,
};
pub use site::{DirectorySettings, GatewaySettings, ReporterSettings};

/// The settings of one daemon.
#[derive(Debug, Clone)]
pub struct Settings {
    pub instance: InstanceName,
    pub zone: ZoneName,
    /// Where this process accepts RPC connections from other processes of the system.
    pub rpc_address: SocketAddr,
    /// The RPC address that this process announces to others; none means `rpc_address`.
    pub advertised_rpc_address: Option<SocketAddr>,
    /// Serves metrics, health and readiness, and the operators' API if the process has the control
    /// role.
    pub admin_address: SocketAddr,
    /// Bearer token of the operators' API.
    pub admin_token: Option<String>,
    /// Log filter in the syntax of `tracing_subscriber`'s `EnvFilter`.
    pub log_filter: String,
    /// The RPC addresses of control instances; only the hosts count if `control_rpc_port` is set.
    pub control_addresses: Vec<SocketAddr>,
    /// What to do with new work while the table is not confirmed to be current.
    pub stale_policy: StalePolicy,
    pub stale_limit_ms: u64,
    pub entry: Option<EntrySettings>,
    pub sidecar: Option<SidecarSettings>,
    pub control: Option<ControlSettings>,
    pub standin: Option<StandinSettings>,
    pub gateway: Option<GatewaySettings>,
    pub directory: Option<DirectorySettings>,
    pub reporter: Option<ReporterSettings>,
    /// The RPC port of control instances, for sites where `control_addresses` holds the port of the
    /// operators' API; none if it holds the RPC port.
    pub control_rpc_port: Option<u16>,
}

impl Settings {
    /// Reads a file; fails with every error found in it.
    pub fn load(path: &Path) -> Result<Self, Findings> {
        match std::fs::read_to_string(path) {
            Ok(text) => Self::parse(&path.display().to_string(), &text),
            Err(error) => {
                let mut findings = Findings::default();
                findings.add(
                    path.display().to_string(),
                    format!("cannot be read: {error}"),
                );
                Err(findings)
            }
        }
    }

    /// Parses settings; `file` is the name used in the locations of errors.
    pub fn parse(file: &str, text: &str) -> Result<Self, Findings> {
        let mut reader = Reader::new(file, text)?;
        let settings = Self::read(&mut reader);
        reader.finish(settings)
    }

    /// Returns true if the settings contain the gateway, directory or reporter role, which run a
    /// site by a shared document.
    pub fn serves_site(&self) -> bool {
        self.gateway.is_some() || self.directory.is_some() || self.reporter.is_some()
    }

    /// Returns the RPC addresses of control instances.
    pub fn control_rpc_addresses(&self) -> Vec<SocketAddr> {
        let addresses = self.control_addresses.iter();
        addresses
            .map(|address| match self.control_rpc_port {
                Some(port) => SocketAddr::new(address.ip(), port),
                None => *address,
            })
            .collect()
    }

    /// Returns the sections and keys that a settings file can have; a test compares them with the
    /// documentation.
    pub fn known_keys() -> BTreeSet<(String, String)> {
        let sections = "[entry]\n[sidecar]\n[upstream NAME]\n[control]\n[standin]\n\
            [gateway]\n[directory]\n[reporter]\n";
        match Reader::new("all sections", sections) {
            Ok(mut reader) => {
                Self::read(&mut reader);
                reader.requested_keys()
            }
            Err(_) => BTreeSet::new(),
        }
    }

    fn read(reader: &mut Reader) -> Self {
        let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
        let section = "instance";
        let settings = Self {
            instance: InstanceName::from(reader.name(section, "name").as_str()),
            zone: ZoneName::from(reader.name(section, "zone").as_str()),
            rpc_address: reader.required(section, "rpc_address").unwrap_or(loopback),
            advertised_rpc_address: reader.optional(section, "advertised_rpc_address"),
            admin_address: reader
                .required(section, "admin_address")
                .unwrap_or(loopback),
            admin_token: reader.optional(section, "admin_token"),
            log_filter: reader.or_default(section, "log_filter", "info".to_owned()),
            control_addresses: reader.list(section, "control_addresses"),
            stale_policy: reader.or_default(section, "stale_policy", StalePolicy::Refuse),
            stale_limit_ms: reader.bounded(section, "stale_limit_ms", 12_000, 1_000..=600_000),
            entry: EntrySettings::read(reader),
            sidecar: SidecarSettings::read(reader),
            control: ControlSettings::read(reader),
            standin: StandinSettings::read(reader),
            gateway: GatewaySettings::read(reader),
            directory: DirectorySettings::read(reader),
            reporter: ReporterSettings::read(reader),
            control_rpc_port: reader.optional(section, "control_rpc_port"),
        };
        let has_role = settings.entry.is_some()
            || settings.sidecar.is_some()
            || settings.control.is_some()
            || settings.standin.is_some()
            || settings.serves_site();
        if !has_role {
            reader.add_file_error(
                "names no role; add a section [entry], [sidecar], [control], [standin], [gateway], \
                 [directory] or [reporter]",
            );
        }
        let subscribes =
            settings.entry.is_some() || settings.sidecar.is_some() || settings.serves_site();
        if settings.control_addresses.is_empty() && subscribes && settings.control.is_none() {
            reader.add_error(
                section,
                "control_addresses",
                "is missing; every role but control and standin needs it unless control runs in the \
                 same process",
            );
        }
        settings
    }
}
