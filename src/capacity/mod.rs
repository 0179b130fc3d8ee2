//! Capacity tables from measured slopes.

mod failures;
mod roles;
pub mod size;
mod slopes;
mod table;

use std::fmt::Write;
use std::path::PathBuf;

use clap::Args;

use crate::findings::Findings;
pub use slopes::{Line, NAMES, Slope, Slopes, SlopesFile};
use table::number;

/// Derives what the design size costs from measured slopes.
#[derive(Debug, Clone, Args)]
pub struct Options {
    /// JSON file of measured slopes.
    #[arg(long)]
    pub slopes: PathBuf,
    /// Entry instances in the fleet.
    #[arg(long, default_value_t = 16)]
    pub entries: u32,
}

/// Returns the tables in Markdown; fails with every fault of the slopes file.
pub fn run(options: &Options) -> Result<String, Findings> {
    Ok(render(&Slopes::load(&options.slopes)?, options.entries))
}

/// Returns the tables in Markdown.
pub fn render(slopes: &Slopes, entries: u32) -> String {
    let mut text = String::new();
    write_size(&mut text, entries);
    write_slopes(&mut text, slopes);
    roles::write_roles(&mut text, slopes, f64::from(entries.max(1)));
    failures::write_failures(&mut text, slopes);
    text
}

fn write_size(text: &mut String, entries: u32) {
    let rows = [
        (
            "daemons, replicas, accelerators",
            "400, 2,700, 5,300".to_owned(),
        ),
        (
            "regions, zones",
            format!("{}, {}", size::REGIONS, size::ZONES),
        ),
        ("entries (assumed)", entries.to_string()),
        ("requests/s", number(size::REQUESTS_PER_S)),
        ("tokens/s", number(size::TOKENS_PER_S)),
        (
            "streams open at once",
            format!(
                "{} × {} ms = {}",
                number(size::TOKENS_PER_S),
                size::BETWEEN_TOKENS_MS,
                number(size::OPEN_STREAMS)
            ),
        ),
        (
            "mean tokens per answer",
            format!(
                "{} / {} = {}",
                number(size::TOKENS_PER_S),
                number(size::REQUESTS_PER_S),
                number(size::TOKENS_PER_S / size::REQUESTS_PER_S)
            ),
        ),
        (
            "table rows",
            format!(
                "{} workspaces × {} rows (assumed) + {} models = {}",
                number(size::WORKSPACES),
                1.0 + size::KIND_ROWS_PER_WORKSPACE,
                size::MODELS,
                number(size::TABLE_ROWS)
            ),
        ),
        (
            "log commands/s",
            format!(
                "({} changes + {} × {} + {} × {}) / day + {} × {} keyed (assumed) × {} = {}",
                number(size::CHANGES_PER_DAY),
                size::FAILURES_PER_DAY,
                size::COMMANDS_PER_FAILURE,
                size::RESTARTS_PER_DAY,
                size::COMMANDS_PER_RESTART,
                number(size::REQUESTS_PER_S),
                size::KEYED_PART,
                size::COMMANDS_PER_KEYED,
                number(size::COMMANDS_PER_S)
            ),
        ),
    ];
    // Writing to a string does not fail.
    let _ = writeln!(text, "### Design size\n\n| figure | value |\n|---|---|");
    for (figure, value) in rows {
        let _ = writeln!(text, "| {figure} | {value} |");
    }
}

fn write_slopes(text: &mut String, slopes: &Slopes) {
    let _ = writeln!(
        text,
        "\n### Measured slopes\n\n| slope | unit | per | base | slope | R² | points | command |\n\
         |---|---|---|---|---|---|---|---|"
    );
    for (name, unit, x) in NAMES {
        let _ = match slopes.fitted.get(name) {
            Some((slope, line)) => writeln!(
                text,
                "| {name} | {unit} | {} | {} | {} | {:.4} | {} | `{}` |",
                slope.x,
                number(line.base),
                number(line.per_x),
                line.r_squared,
                slope.points.len(),
                slope.command
            ),
            None => writeln!(text, "| {name} | {unit} | {x} | | not measured | | 0 | |"),
        };
    }
}
