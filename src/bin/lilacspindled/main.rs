//! The daemon, which runs the roles in its settings.

mod cli;

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
use lilacspindle::adapters::telemetry::{flush_logs, init_logs};
use lilacspindle::findings::Findings;
use lilacspindle::roles::daemon::{Daemon, standalone_settings};
use lilacspindle::roles::site;
use lilacspindle::settings::Settings;

use cli::{Cli, Command, Standalone};

/// Exit code for invalid settings or arguments.
const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    let cli = Cli::parse();
    let (settings, file) = match cli.command {
        Command::Run { settings } => (Settings::load(&settings), Some(settings)),
        Command::Standalone(options) => (standalone(&options), None),
    };
    let settings = match settings {
        Ok(settings) => settings,
        Err(findings) => {
            eprintln!("{findings}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    init_logs(&settings.log_filter);
    let mut builder = match settings.serves_site() {
        // On a site's machines a process gets less than one core, so worker threads have no use.
        true => tokio::runtime::Builder::new_current_thread(),
        false => tokio::runtime::Builder::new_multi_thread(),
    };
    let runtime = match builder.enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("cannot start the async runtime: {error}");
            return ExitCode::FAILURE;
        }
    };
    let exit = match runtime.block_on(run(settings, file)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            tracing::error!(%error, "daemon failed");
            ExitCode::FAILURE
        }
    };
    flush_logs();
    exit
}

async fn run(settings: Settings, file: Option<PathBuf>) -> Result<(), Box<dyn std::error::Error>> {
    let standalone = match file {
        Some(file) if settings.serves_site() => return site::run(settings, file).await,
        file => file.is_none(),
    };
    let daemon = Daemon::start(settings).await?;
    tracing::info!(
        rpc = %daemon.rpc_address(),
        admin = %daemon.admin_address(),
        entry = ?daemon.entry_address(),
        "started"
    );
    if standalone {
        daemon.create_first_rows().await?;
    }
    daemon.run_until_stopped().await?;
    Ok(())
}

fn standalone(options: &Standalone) -> Result<Settings, Findings> {
    standalone_settings(
        options.entry_address,
        options.admin_address,
        options.engine_address,
        options.service_address,
        &options.data_folder,
    )
}
