//! `table`: reads and edits rows and shows their history.

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

use super::{Exit, client, print_error, print_json};
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
            Err(reason) => usage_error(options, row, reason),
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
        Err(error) => return print_error(options, &error),
    };
    if options.json {
        print_json(&table);
        return Exit::Ok;
    }
    match table.rows() {
        Ok(rows) => {
            print_line!("# table at version {}", table.version);
            print_text!("{}", to_ini(&rows));
            Exit::Ok
        }
        Err(findings) => print_findings(options, &findings),
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
        Err(reason) => return usage_error(options, row, reason),
    };
    let mut assignments = Vec::new();
    for (position, field) in fields.iter().enumerate() {
        let Some((name, value)) = field.split_once('=') else {
            let place = format!("field {}", position + 1);
            return usage_error(options, &place, "expected name=value");
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
        Err(error) => return usage_error(options, &name, &format!("cannot be read: {error}")),
    };
    let rows = match from_ini(&name, &text) {
        Ok(rows) => rows,
        Err(findings) => return print_findings(options, &findings),
    };
    let author = author(options, dry_run);
    let outcome = apply(client, &author, &rows).await;
    show_edit(options, &author, outcome)
}

async fn show_history(options: &Options, client: &Client, row: Option<&str>, limit: usize) -> Exit {
    match history(client, row, limit).await {
        Ok(reply) if options.json => print_json(&reply),
        Ok(reply) => reply.entries.iter().for_each(print_entry),
        Err(error) => return print_error(options, &error),
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
        (Some(version), _) => print_line!("version {version}: {author}, edit {id}, at {at_ms} ms"),
        (None, reason) => {
            let reason = reason.as_deref().unwrap_or_default();
            print_line!("refused: {author}, edit {id}, base {base}, at {at_ms} ms: {reason}");
        }
    }
    for row in &entry.rows {
        let as_json = |fields: &Option<_>| json!(fields).to_string();
        print_line!(
            "  {}: {} -> {}",
            row.row,
            as_json(&row.before),
            as_json(&row.after)
        );
    }
}

/// Prints the result of an edit. With `--json`, standard output only contains the JSON.
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
                print_line!("no change; the table says so at version {version}");
            }
            return Exit::Ok;
        }
        Ok(EditOutcome::Malformed(findings)) => return print_findings(options, &findings),
        Err(error) => {
            let exit = print_error(options, &error);
            if exit == Exit::Undecided {
                eprintln!("lilacspindle: repeat with --edit-id {}", author.edit_id);
            }
            return exit;
        }
    };
    if options.json {
        print_json(&reply);
    } else {
        print_text!("{}", render_diff(&before, &changes));
        print_reply(&reply);
    }
    match reply {
        EditReply::Accepted { .. } | EditReply::WouldBeAccepted { .. } => Exit::Ok,
        EditReply::Invalid { .. } | EditReply::Conflict { .. } => Exit::Refused,
    }
}

fn print_reply(reply: &EditReply) {
    match reply {
        EditReply::Accepted { version } => print_line!("accepted at version {version}"),
        EditReply::WouldBeAccepted { version, rows } => {
            print_line!(
                "would be accepted at version {version}: {} rows",
                rows.len()
            );
        }
        EditReply::Invalid { findings } => {
            print_line!("refused:");
            for finding in findings {
                print_line!("  {}: {}", finding.place, finding.reason);
            }
        }
        EditReply::Conflict {
            winner,
            author,
            version,
            rows,
        } => {
            print_line!("refused: {author} changed it first (edit {winner}, version {version}):");
            for row in rows {
                print_line!("  {row}");
            }
        }
    }
}

fn print_findings(options: &Options, findings: &Findings) -> Exit {
    if options.json {
        print_json(&EditReply::Invalid {
            findings: findings.0.clone(),
        });
    } else {
        print_line!("{findings}");
    }
    Exit::Refused
}

fn usage_error(options: &Options, place: &str, reason: &str) -> Exit {
    print_error(options, &ClientError::Usage(format!("{place}: {reason}")))
}
