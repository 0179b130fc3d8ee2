//! Command-line arguments of `lilacspindle`.

use std::path::PathBuf;

use clap::{Args, Parser, Subcommand};
use lilacspindle::{bench, capacity, soak};

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
    /// URLs of control instances, comma-separated [env: `LILAC_CONTROL`]
    #[arg(long, global = true, value_delimiter = ',')]
    pub control: Vec<String>,
    /// Operator token; the environment hides it from other users [env: `LILAC_TOKEN`]
    #[arg(long, global = true)]
    pub token: Option<String>,
    /// Author recorded in the history [default: `USER`]
    #[arg(long, global = true)]
    pub author: Option<String>,
    /// Id of the edit; repeat an undecided edit with the same id
    #[arg(long, global = true)]
    pub edit_id: Option<String>,
    /// Print output as JSON
    #[arg(long, global = true)]
    pub json: bool,
    /// Time limit of the command, in milliseconds
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
    /// Let an instance finish its work and leave the system
    Drain { instance: String },
    /// Stop sending new work to the instances of an availability zone; `--control` names the
    /// operators' addresses
    #[command(subcommand)]
    Evacuation(EvacuationCommand),
    /// Check settings files and report every error
    Check {
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
    /// Trace one request through the log files of processes, ordered by time
    Explain {
        /// The id of the request, as the caller sent it
        request: String,
        /// Log files, preferably of all entries and control instances
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
    /// Generate load and measure; docs/measurements.md gives the command behind each figure
    #[command(subcommand)]
    Bench(Bench),
    /// Compute capacity tables from measured slopes
    Capacity(capacity::Options),
    /// Run the daemons as processes on loopback under faults, and check what callers see
    Soak(Soak),
}

#[derive(Debug, Subcommand)]
pub enum Bench {
    #[command(flatten)]
    Tool(bench::Command),
    /// Measure the replicated state machine at its design size
    State,
    /// Measure throughput, failover and restart of the replicated log with real disk syncs
    Log(BenchLog),
    /// Measure how fast an edit takes effect, and what a subscriber costs
    Distribution(BenchDistribution),
    /// Measure the cost of tokens, calls and streams for a running entry and sidecar
    Path(bench::path::PathOptions),
    /// Compute the slopes file that `capacity` reads from reports
    Slopes(bench::slopes::SlopesOptions),
}

#[derive(Debug, Args)]
pub struct Soak {
    /// Decides the plan of the run
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Length of the run
    #[arg(long, default_value_t = 120)]
    pub seconds: u64,
    #[arg(long, value_enum, default_value = "mixed")]
    pub kind: soak::PlanKind,
    /// Number of entries, 4 to 30 [default: by the seed]
    #[arg(long)]
    pub entries: Option<usize>,
    /// Number of control processes, 3 to 9 [default: by the seed]
    #[arg(long)]
    pub controls: Option<usize>,
    /// Number of threads that only use processor time
    #[arg(long, default_value_t = 0)]
    pub busy: usize,
    /// Only print the plan
    #[arg(long)]
    pub plan: bool,
    /// Folder of the run [default: a new one for temporary files]
    #[arg(long)]
    pub folder: Option<PathBuf>,
    /// Keep the folder although nothing failed
    #[arg(long)]
    pub keep: bool,
    /// The daemon's program [default: `lilacspindled` beside this one]
    #[arg(long)]
    pub daemon: Option<PathBuf>,
}

#[derive(Debug, Args)]
pub struct BenchLog {
    /// Folder for the data folders; determines which file system is measured
    #[arg(long, default_value = "lilacspindle-bench")]
    pub folder: PathBuf,
    #[arg(long, value_delimiter = ',', default_value = "3,5")]
    pub voters: Vec<usize>,
    /// Number of concurrent commands
    #[arg(long, value_delimiter = ',', default_value = "1,16,256")]
    pub clients: Vec<usize>,
    #[arg(long, default_value_t = 5)]
    pub seconds: u64,
    /// Number of times the leader is killed
    #[arg(long, default_value_t = 30)]
    pub kills: usize,
    /// Number of commands before the restart
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
pub enum EvacuationCommand {
    /// Send nothing new to the instances of a zone
    Start { zone: String },
    /// Use the instances of a zone again
    Finish { zone: String },
    /// Show the evacuated zones and the known ones
    List,
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
        /// Only check whether the edit would be accepted
        #[arg(long)]
        dry_run: bool,
    },
    /// Delete a row
    Delete {
        row: String,
        /// Only check whether the edit would be accepted
        #[arg(long)]
        dry_run: bool,
    },
    /// Replace the table with the rows of an INI file in one edit, and print the difference
    Apply {
        file: PathBuf,
        /// Only print the difference and check whether the edit would be accepted
        #[arg(long)]
        dry_run: bool,
    },
    /// Print the whole table as INI
    Export,
    /// Show the newest edits of the table, or of one row
    History {
        row: Option<String>,
        #[arg(long, default_value_t = 50)]
        limit: usize,
    },
}
