//! The command-line tool for operators.

mod cli;
mod cmd;

use std::process::ExitCode;

use clap::Parser;

fn main() -> ExitCode {
    let cli = cli::Cli::parse();
    let exit = cmd::run(&cli);
    ExitCode::from(exit as u8)
}
