//! The `capacity` command: computes what each role and each class of failure costs at the design
//! size, from measured slopes.

mod failures;
mod roles;
pub mod size;
mod slopes;
mod table;

use std::fmt::Write;
use std::path::PathBuf;

use clap::Args;

use crate::findings::Findings;
pub use slopes::{KNOWN_SLOPES, LinearFit, Slope, Slopes, SlopesFile};
use table::format_number;

/// Computes the cost of the design size from measured slopes.
#[derive(Debug, Clone, Args)]
pub struct Options {
    /// JSON file of measured slopes, as printed by `bench slopes`.
    #[arg(long)]
    pub slopes: PathBuf,
    /// Entry instances in the fleet.
    #[arg(long, default_value_t = 16)]
    pub entries: u32,
}

/// Returns the tables in Markdown, or all errors found in the slopes file.
pub fn run(options: &Options) -> Result<String, Findings> {
    Ok(render(&Slopes::load(&options.slopes)?, options.entries))
}

/// Returns the tables in Markdown. Costs per entry are computed for at least one entry.
pub fn render(slopes: &Slopes, entries: u32) -> String {
    let mut text = String::new();
    write_design_size(&mut text, entries);
    write_slopes(&mut text, slopes);
    roles::write_roles(&mut text, slopes, f64::from(entries.max(1)));
    failures::write_failures(&mut text, slopes);
    text
}

fn write_design_size(text: &mut String, entries: u32) {
    let figures = [
        (
            "daemons, replicas, accelerators",
            "400, 2,700, 5,300".to_owned(),
        ),
        (
            "regions, zones",
            format!("{}, {}", size::REGIONS, size::ZONES),
        ),
        ("entries (assumed)", entries.to_string()),
        ("requests/s", format_number(size::REQUESTS_PER_S)),
        ("tokens/s", format_number(size::TOKENS_PER_S)),
        (
            "streams open at once",
            format!(
                "{} × {} ms = {}",
                format_number(size::TOKENS_PER_S),
                size::INTER_TOKEN_P95_MS,
                format_number(size::OPEN_STREAMS)
            ),
        ),
        (
            "mean tokens per answer",
            format!(
                "{} / {} = {}",
                format_number(size::TOKENS_PER_S),
                format_number(size::REQUESTS_PER_S),
                format_number(size::TOKENS_PER_S / size::REQUESTS_PER_S)
            ),
        ),
        (
            "table rows",
            format!(
                "{} workspaces × {} rows (assumed) + {} models = {}",
                format_number(size::WORKSPACES),
                1.0 + size::KIND_ROWS_PER_WORKSPACE,
                size::MODELS,
                format_number(size::TABLE_ROWS)
            ),
        ),
        (
            "log commands/s",
            format!(
                "({} changes + {} × {} + {} × {}) / day + {} × {} keyed (assumed) × {} = {}",
                format_number(size::CHANGES_PER_DAY),
                size::FAILURES_PER_DAY,
                size::COMMANDS_PER_FAILURE,
                size::RESTARTS_PER_DAY,
                size::COMMANDS_PER_RESTART,
                format_number(size::REQUESTS_PER_S),
                size::KEYED_FRACTION,
                size::COMMANDS_PER_KEYED_REQUEST,
                format_number(size::COMMANDS_PER_S)
            ),
        ),
    ];
    // Writing to a `String` cannot fail.
    let _ = writeln!(text, "### Design size\n\n| figure | value |\n|---|---|");
    for (figure, value) in figures {
        let _ = writeln!(text, "| {figure} | {value} |");
    }
}

fn write_slopes(text: &mut String, slopes: &Slopes) {
    let _ = writeln!(
        text,
        "\n### Measured slopes\n\n| slope | unit | per | base | slope | R² | points | command |\n\
         |---|---|---|---|---|---|---|---|"
    );
    for (name, unit, x) in KNOWN_SLOPES {
        let _ = match slopes.fitted.get(name) {
            Some((slope, fit)) => writeln!(
                text,
                "| {name} | {unit} | {} | {} | {} | {:.4} | {} | `{}` |",
                slope.x,
                format_number(fit.intercept),
                format_number(fit.slope),
                fit.r_squared,
                slope.points.len(),
                slope.command
            ),
            None => writeln!(text, "| {name} | {unit} | {x} | | not measured | | 0 | |"),
        };
    }
}
