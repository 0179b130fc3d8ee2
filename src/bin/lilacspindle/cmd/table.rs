//! `table`: rows, edits and history.

use std::env;
use std::fs;
use std::path::Path;

use lilacspindle::domain::table::{RowKey, from_ini, render_diff, to_ini};
use lilacspindle::findings::Findings;
use lilacspindle::roles::control::operator_api::{
    Author, Client, ClientError, EditOutcome, EditReply, HistoryEntry, apply, delete_row, history,
    read_rows, set_row,
};
use serde_json::json;

use super::{Exit, client, failed, print_json};
use crate::cli::{Options, TableCommand};

pub async fn run(options: &Options, command: &TableCommand) -> Exit {
    let client = match client(options) {
        Ok(client) => client,
        Err(exit) => return exit,
    };
    match command {
        TableCommand::Get { row } => get(options, &client, row.as_deref()).await,
        TableCommand::Export => get(options, &client, None).await,
        TableCommand::History { row, limit } => {
            show_history(options, &client, row.as_deref(), *limit).await
        }
        TableCommand::Set {
            row,
            fields,
            dry_run,
        } => set(options, &client, row, fields, *dry_run).await,
        TableCommand::Delete { row, dry_run } => match row.parse::<RowKey>() {
            Ok(key) => {
                let author = author(options, *dry_run);
                let outcome = delete_row(&client, &author, &key).await;
                show_edit(options, &author, outcome)
            }
            Err(reason) => usage(options, row, reason),
        },
        TableCommand::Apply { file, dry_run } => apply_file(options, &client, file, *dry_run).await,
    }
}

fn author(options: &Options, dry_run: bool) -> Author {
    let user = env::var("USER").ok().filter(|user| !user.is_empty());
    let name = options.author.clone().or(user);
    let random_id = || format!("{:032x}", rand::random::<u128>());
    Author {
        name: name.unwrap_or_else(|| "operator".to_owned()),
        edit_id: options.edit_id.clone().unwrap_or_else(random_id),
        dry_run,
    }
}

async fn get(options: &Options, client: &Client, row: Option<&str>) -> Exit {
    let table = match read_rows(client, row).await {
        Ok(table) => table,
        Err(error) => return failed(options, &error),
    };
    if options.json {
        print_json(&table);
        return Exit::Ok;
    }
    match table.rows() {
        Ok(rows) => {
            say!("# table at version {}", table.version);
            say_raw!("{}", to_ini(&rows));
            Exit::Ok
        }
        Err(findings) => malformed(options, &findings),
    }
}

async fn set(
    options: &Options,
    client: &Client,
    row: &str,
    fields: &[String],
    dry_run: bool,
) -> Exit {
    let key = match row.parse::<RowKey>() {
        Ok(key) => key,
        Err(reason) => return usage(options, row, reason),
    };
    let mut assignments = Vec::new();
    for (position, field) in fields.iter().enumerate() {
        let Some((name, value)) = field.split_once('=') else {
            let place = format!("field {}", position + 1);
            return usage(options, &place, "expected name=value");
        };
        assignments.push((name.to_owned(), value.to_owned()));
    }
    let author = author(options, dry_run);
    let outcome = set_row(client, &author, &key, &assignments).await;
    show_edit(options, &author, outcome)
}

async fn apply_file(options: &Options, client: &Client, file: &Path, dry_run: bool) -> Exit {
    let name = file.display().to_string();
    let text = match fs::read_to_string(file) {
        Ok(text) => text,
        Err(error) => return usage(options, &name, &format!("cannot be read: {error}")),
    };
    let rows = match from_ini(&name, &text) {
        Ok(rows) => rows,
        Err(findings) => return malformed(options, &findings),
    };
    let author = author(options, dry_run);
    let outcome = apply(client, &author, &rows).await;
    show_edit(options, &author, outcome)
}

async fn show_history(options: &Options, client: &Client, row: Option<&str>, limit: usize) -> Exit {
    match history(client, row, limit).await {
        Ok(reply) if options.json => print_json(&reply),
        Ok(reply) => reply.entries.iter().for_each(print_entry),
        Err(error) => return failed(options, &error),
    }
    Exit::Ok
}

fn print_entry(entry: &HistoryEntry) {
    let HistoryEntry {
        id,
        author,
        at_ms,
        base,
        ..
    } = entry;
    match (entry.version, &entry.reason) {
        (Some(version), _) => say!("version {version}: {author}, edit {id}, at {at_ms} ms"),
        (None, reason) => {
            let reason = reason.as_deref().unwrap_or_default();
            say!("refused: {author}, edit {id}, base {base}, at {at_ms} ms: {reason}");
        }
    }
    for row in &entry.rows {
        let side = |fields: &Option<_>| json!(fields).to_string();
        say!(
            "  {}: {} -> {}",
            row.row,
            side(&row.before),
            side(&row.after)
        );
    }
}

/// Prints the answer to an edit. With `--json` only the JSON goes to standard output.
fn show_edit(
    options: &Options,
    author: &Author,
    outcome: Result<EditOutcome, ClientError>,
) -> Exit {
    let (before, changes, reply) = match outcome {
        Ok(EditOutcome::Answered {
            before,
            changes,
            reply,
        }) => (before, changes, reply),
        Ok(EditOutcome::NoChange { version }) => {
            if options.json {
                print_json(&json!({ "result": "no_change", "version": version }));
            } else {
                say!("no change; the table says so at version {version}");
            }
            return Exit::Ok;
        }
        Ok(EditOutcome::Malformed(findings)) => return malformed(options, &findings),
        Err(error) => {
            let exit = failed(options, &error);
            if exit == Exit::Undecided {
                eprintln!("lilacspindle: repeat with --edit-id {}", author.edit_id);
            }
            return exit;
        }
    };
    if options.json {
        print_json(&reply);
    } else {
        say_raw!("{}", render_diff(&before, &changes));
        print_reply(&reply);
    }
    match reply {
        EditReply::Accepted { .. } | EditReply::WouldBeAccepted { .. } => Exit::Ok,
        EditReply::Invalid { .. } | EditReply::Conflict { .. } => Exit::Refused,
    }
}

fn print_reply(reply: &EditReply) {
    match reply {
        EditReply::Accepted { version } => say!("accepted at version {version}"),
        EditReply::WouldBeAccepted { version, rows } => {
            say!(
                "would be accepted at version {version}: {} rows",
                rows.len()
            );
        }
        EditReply::Invalid { findings } => {
            say!("refused:");
            for finding in findings {
                say!("  {}: {}", finding.place, finding.reason);
            }
        }
        EditReply::Conflict {
            winner,
            author,
            version,
            rows,
        } => {
            say!("refused: {author} changed it first (edit {winner}, version {version}):");
            for row in rows {
                say!("  {row}");
            }
        }
    }
}

fn malformed(options: &Options, findings: &Findings) -> Exit {
    if options.json {
        print_json(&EditReply::Invalid {
            findings: findings.0.clone(),
        });
    } else {
        say!("{findings}");
    }
    Exit::Refused
}

fn usage(options: &Options, place: &str, reason: &str) -> Exit {
    failed(options, &ClientError::Usage(format!("{place}: {reason}")))
}
