//! Command-line arguments of `lilacspindled`.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Args, Parser, Subcommand};

/// The daemon of lilacspindle.
#[derive(Debug, Parser)]
#[command(name = "lilacspindled", version)]
pub(crate) struct Cli {
    #[command(subcommand)]
    pub(crate) command: Command,
}

#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// Runs the roles configured in a settings file.
    Run {
        /// Settings file in INI format; `lilacspindle check` reports its errors.
        settings: PathBuf,
    },
    /// Runs the entry, sidecar and control roles with simulated upstreams in one process, for a
    /// trial.
    Standalone(Standalone),
}

#[derive(Debug, Args)]
pub(crate) struct Standalone {
    /// Address for callers.
    #[arg(long, default_value = "127.0.0.1:8080")]
    pub(crate) entry_address: SocketAddr,
    /// Address of metrics and the operators' API.
    #[arg(long, default_value = "127.0.0.1:8081")]
    pub(crate) admin_address: SocketAddr,
    /// Address of the simulated engine.
    #[arg(long, default_value = "127.0.0.1:8082")]
    pub(crate) engine_address: SocketAddr,
    /// Address of the simulated service.
    #[arg(long, default_value = "127.0.0.1:8083")]
    pub(crate) service_address: SocketAddr,
    /// Data folder of the replicated log.
    #[arg(long, default_value = "lilacspindle-data")]
    pub(crate) data_folder: PathBuf,
}
