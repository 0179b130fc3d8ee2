//! The commands and the functions that they share.

/// Prints a line to standard output. Errors are ignored, since a reader such as `head` may close
/// the pipe early.
macro_rules! print_line {
    ($($text:tt)*) => {{
        use std::io::Write;
        let _ = writeln!(std::io::stdout(), $($text)*);
    }};
}

/// Prints text to standard output without a line break at its end.
macro_rules! print_text {
    ($($text:tt)*) => {{
        use std::io::Write;
        let _ = write!(std::io::stdout(), $($text)*);
    }};
}

mod bench;
mod check;
mod drain;
mod evacuation;
mod explain;
mod soak;
mod status;
mod table;

use std::env;
use std::time::Duration;

use lilacspindle::roles::control::operator_api::{Client, ClientError, ErrorReply};
use serde::Serialize;
use serde_json::json;

use crate::cli::{Cli, Command, Options};

/// Exit codes of the program.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    Ok = 0,
    Refused = 1,
    Usage = 2,
    Unreachable = 3,
    Undecided = 4,
}

/// Runs a command.
pub fn run(cli: &Cli) -> Exit {
    let options = &cli.options;
    match &cli.command {
        Command::Check { files } => check::run(options, files),
        Command::Explain { request, files } => explain::run(request, files),
        // These commands create their own async runtimes if they need one.
        Command::Bench(command) => bench::run(options, command),
        Command::Capacity(arguments) => bench::capacity(arguments),
        Command::Soak(options) => soak::run(options),
        command => match tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
        {
            Ok(runtime) => runtime.block_on(call_control(options, command)),
            Err(error) => {
                eprintln!("lilacspindle: cannot start the async runtime: {error}");
                Exit::Unreachable
            }
        },
    }
}

async fn call_control(options: &Options, command: &Command) -> Exit {
    match command {
        Command::Table(command) => table::run(options, command).await,
        Command::Evacuation(command) => evacuation::run(options, command).await,
        Command::Drain { instance } => drain::run(options, instance).await,
        _ => status::run(options).await,
    }
}

/// Returns a client for the configured control instances; on a missing or wrong setting prints the
/// error and returns the exit code.
fn client(options: &Options) -> Result<Client, Exit> {
    let addresses = control_addresses(options);
    let token = options
        .token
        .clone()
        .or_else(|| env::var("LILAC_TOKEN").ok());
    let limit = Duration::from_millis(options.limit_ms);
    Client::new(&addresses, &token.unwrap_or_default(), limit)
        .map_err(|error| print_error(options, &error))
}

/// Returns the addresses of control instances that the options or the environment name.
fn control_addresses(options: &Options) -> Vec<String> {
    let from_env = env::var("LILAC_CONTROL").unwrap_or_default();
    let addresses: Vec<String> = match options.control.as_slice() {
        [] => from_env.split(',').map(str::to_owned).collect(),
        given => given.to_vec(),
    };
    addresses
        .into_iter()
        .filter(|address| !address.trim().is_empty())
        .collect()
}

/// Prints the error of a request and returns the exit code.
fn print_error(options: &Options, error: &ClientError) -> Exit {
    let (exit, name) = match error {
        ClientError::Refused(_) => (Exit::Refused, "refused"),
        ClientError::Unreachable(_) => (Exit::Unreachable, "unreachable"),
        ClientError::Undecided(_) => (Exit::Undecided, "undecided"),
        ClientError::Usage(_) => (Exit::Usage, "usage"),
    };
    if options.json {
        match error {
            ClientError::Refused(reply) => print_json::<ErrorReply>(reply),
            _ => print_json(&json!({ "error": name, "message": error.to_string() })),
        }
    }
    eprintln!("lilacspindle: {error}");
    exit
}

fn print_json<T: Serialize>(value: &T) {
    match serde_json::to_string_pretty(value) {
        Ok(text) => print_line!("{text}"),
        Err(error) => eprintln!("lilacspindle: cannot print the answer as JSON: {error}"),
    }
}
