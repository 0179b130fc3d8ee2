//! Arguments of the command line.

use std::path::PathBuf;

use clap::{Args, Parser, Subcommand};
use lilacspindle::{bench, capacity};

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
    /// Show the way of one request through the log files of processes, in order of time
    Explain {
        /// The id of the request, as the caller sent it
        request: String,
        /// Log files, best of all entries and control instances
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
    /// Drive load and measure; each figure of docs/measurements.md names its command
    #[command(subcommand)]
    Bench(Bench),
    /// Compute capacity tables from measured slopes
    Capacity(capacity::Options),
}

#[derive(Debug, Subcommand)]
pub enum Bench {
    #[command(flatten)]
    Tool(bench::Command),
    /// Measure the replicated state machine at the size designed for
    State,
    /// Measure the replicated log with real syncs: throughput, failover, restart
    Log(BenchLog),
    /// Measure how fast an edit is in force, and what a subscriber costs
    Distribution(BenchDistribution),
    /// Measure what tokens, calls and streams cost a running entry and sidecar
    Path(bench::path::PathOptions),
    /// Turn reports into the slopes file that `capacity` reads
    Slopes(bench::slopes::SlopesOptions),
}

#[derive(Debug, Args)]
pub struct BenchLog {
    /// Folder for data folders; its file system is the one that is measured
    #[arg(long, default_value = "lilacspindle-bench")]
    pub folder: PathBuf,
    #[arg(long, value_delimiter = ',', default_value = "3,5")]
    pub voters: Vec<usize>,
    /// Commands that are under way at once
    #[arg(long, value_delimiter = ',', default_value = "1,16,256")]
    pub clients: Vec<usize>,
    #[arg(long, default_value_t = 5)]
    pub seconds: u64,
    /// Kills of the leader
    #[arg(long, default_value_t = 30)]
    pub kills: usize,
    /// Commands before the restart
    #[arg(long, default_value_t = 10_000)]
    pub restart_commands: u64,
}

#[derive(Debug, Args)]
pub struct BenchDistribution {
    #[arg(long, value_delimiter = ',', default_value = "1,10,100,400")]
    pub subscribers: Vec<usize>,
    #[arg(long, value_delimiter = ',', default_value = "1000,20000")]
    pub rows: Vec<u32>,
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
