//! `bench` runs measurements; `capacity` computes tables from measured slopes.

use std::fmt::{self, Display};

use lilacspindle::bench;
use lilacspindle::bench::{distribution, log, path, slopes, state};
use lilacspindle::capacity;
use serde::Serialize;

use super::{Exit, print_json};
use crate::cli::{Bench, Options};

/// Runs a measurement and prints its report.
pub(super) fn run(options: &Options, command: &Bench) -> Exit {
    match command {
        Bench::Tool(command) => {
            let tool = bench::Options {
                command: command.clone(),
            };
            print_report(options, bench::run(&tool))
        }
        Bench::State => print_report(options, Ok::<_, String>(state::run())),
        Bench::Log(arguments) => print_report(options, log::run(&log_options(arguments))),
        Bench::Path(arguments) => {
            let runtime = match tokio::runtime::Runtime::new() {
                Ok(runtime) => runtime,
                Err(error) => return print_report::<String, _>(options, Err(error)),
            };
            print_report(options, runtime.block_on(path::run(arguments)))
        }
        Bench::Slopes(arguments) => match slopes::run(arguments) {
            Ok(slopes) => {
                print_json(&slopes);
                Exit::Ok
            }
            Err(error) => print_report::<String, _>(options, Err(error)),
        },
        Bench::Distribution(arguments) => {
            let distribution_options = distribution::Options {
                subscribers: arguments.subscribers.clone(),
                rows: arguments.rows.clone(),
                ..distribution::Options::default()
            };
            let runtime = match tokio::runtime::Runtime::new() {
                Ok(runtime) => runtime,
                Err(error) => return print_report::<String, _>(options, Err(error)),
            };
            let report = runtime.block_on(distribution::run(&distribution_options));
            print_report(options, report.map(ReportTable))
        }
    }
}

/// Prints the capacity tables.
pub(super) fn capacity(arguments: &capacity::Options) -> Exit {
    match capacity::run(arguments) {
        Ok(tables) => {
            print_text!("{tables}");
            Exit::Ok
        }
        Err(findings) => {
            eprintln!("{findings}");
            Exit::Usage
        }
    }
}

fn log_options(arguments: &crate::cli::BenchLog) -> log::LogOptions {
    log::LogOptions {
        folder: arguments.folder.clone(),
        voters: arguments.voters.clone(),
        clients: arguments.clients.clone(),
        duration_s: arguments.seconds,
        command_bytes: 128,
        kills: arguments.kills,
        restart_commands: arguments.restart_commands,
        election_ms: 1_000,
        snapshot_entries: 4_096,
    }
}

/// The report of the distribution benchmark, displayed as a table.
#[derive(Serialize)]
#[serde(transparent)]
struct ReportTable(distribution::Report);

impl Display for ReportTable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0.to_table())
    }
}

fn print_report<T: Display + Serialize, E: Display>(
    options: &Options,
    report: Result<T, E>,
) -> Exit {
    match report {
        Ok(report) if options.json => {
            print_json(&report);
            Exit::Ok
        }
        Ok(report) => {
            print_line!("{report}");
            Exit::Ok
        }
        Err(error) => {
            eprintln!("lilacspindle: {error}");
            Exit::Refused
        }
    }
}
