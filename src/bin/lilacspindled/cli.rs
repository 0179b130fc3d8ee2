//! Arguments of the daemon.

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
    /// Runs the roles of a settings file.
    Run {
        /// INI file; `lilacspindle check` reports its faults.
        settings: PathBuf,
    },
    /// Runs every role and the engine and service stand-ins in one process, for a trial.
    Standalone(Standalone),
}

#[derive(Debug, Args)]
pub(crate) struct Standalone {
    /// Where callers connect.
    #[arg(long, default_value = "127.0.0.1:8080")]
    pub(crate) entry_address: SocketAddr,
    /// Metrics and the operators' API.
    #[arg(long, default_value = "127.0.0.1:8081")]
    pub(crate) admin_address: SocketAddr,
    /// The engine stand-in.
    #[arg(long, default_value = "127.0.0.1:8082")]
    pub(crate) engine_address: SocketAddr,
    /// The service stand-in.
    #[arg(long, default_value = "127.0.0.1:8083")]
    pub(crate) service_address: SocketAddr,
    /// Folder for the replicated log.
    #[arg(long, default_value = "lilacspindle-data")]
    pub(crate) data_folder: PathBuf,
}
