//! The operators' command line.

mod cli;
mod cmd;

use std::process::ExitCode;

use clap::Parser;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let cli = cli::Cli::parse();
    let exit = cmd::run(&cli).await;
    ExitCode::from(exit as u8)
}
