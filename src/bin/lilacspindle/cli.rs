//! Arguments of the command line.

use std::path::PathBuf;

use clap::{Args, Parser, Subcommand};

/// Reads and edits the table of a lilacspindle fleet, and drains instances.
///
/// Exit codes: 0 ok, 1 refused, 2 usage, 3 unreachable, 4 undecided (the edit may have been
/// accepted; repeat it with the same edit id).
#[derive(Parser)]
#[command(name = "lilacspindle", version)]
pub struct Cli {
    #[command(flatten)]
    pub options: Options,
    #[command(subcommand)]
    pub command: Command,
}

#[derive(Args)]
pub struct Options {
    /// URLs of control instances, separated by commas [env: `LILAC_CONTROL`]
    #[arg(long, global = true, value_delimiter = ',')]
    pub control: Vec<String>,
    /// Token of operators; the environment hides it from other users [env: `LILAC_TOKEN`]
    #[arg(long, global = true)]
    pub token: Option<String>,
    /// Name in the history [default: `USER`]
    #[arg(long, global = true)]
    pub author: Option<String>,
    /// Identifies an edit; repeat an undecided edit with the same id
    #[arg(long, global = true)]
    pub edit_id: Option<String>,
    /// Print JSON
    #[arg(long, global = true)]
    pub json: bool,
    /// How long to try, in milliseconds
    #[arg(long, global = true, default_value_t = 15_000)]
    pub limit_ms: u64,
}

#[derive(Debug, Subcommand)]
pub enum Command {
    /// Read and edit the table of weights and limits
    #[command(subcommand)]
    Table(TableCommand),
    /// Show the status of every control instance
    Status,
    /// Make an instance finish its work and leave
    Drain { instance: String },
    /// Check settings files and report every fault
    Check {
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
    /// Run the load tool; `bench state` measures the replicated state machine
    Bench {
        #[arg(trailing_var_arg = true, allow_hyphen_values = true)]
        arguments: Vec<String>,
    },
    /// Compute capacity tables from measured slopes
    Capacity {
        #[arg(trailing_var_arg = true, allow_hyphen_values = true)]
        arguments: Vec<String>,
    },
}

#[derive(Debug, Subcommand)]
pub enum TableCommand {
    /// Show all rows, one row such as kind/*/hint, or all rows of a type such as workspace
    Get { row: Option<String> },
    /// Set fields of a row; an empty value removes an optional field
    Set {
        row: String,
        /// Fields as name=value
        #[arg(required = true)]
        fields: Vec<String>,
        /// Only say whether the edit would be accepted
        #[arg(long)]
        dry_run: bool,
    },
    /// Delete a row
    Delete {
        row: String,
        /// Only say whether the edit would be accepted
        #[arg(long)]
        dry_run: bool,
    },
    /// Make the table equal to an INI file in one edit, and print the difference
    Apply {
        file: PathBuf,
        /// Only print the difference and say whether the edit would be accepted
        #[arg(long)]
        dry_run: bool,
    },
    /// Print the whole table as INI
    Export,
    /// Show the newest edits, of one row if it is given
    History {
        row: Option<String>,
        #[arg(long, default_value_t = 50)]
        limit: usize,
    },
}
