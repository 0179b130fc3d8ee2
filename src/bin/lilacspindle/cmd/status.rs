//! `status`: shows the status of every control instance.

use serde_json::{Value, json};

use super::{Exit, client, print_json};
use crate::cli::Options;

pub async fn run(options: &Options) -> Exit {
    let client = match client(options) {
        Ok(client) => client,
        Err(exit) => return exit,
    };
    let statuses = client.statuses().await;
    let answered = statuses.iter().any(|(_, status)| status.is_ok());
    if options.json {
        let values = statuses.iter().map(|(address, status)| match status {
            Ok(status) => json!({ "address": address, "status": status }),
            Err(error) => json!({ "address": address, "error": error.to_string() }),
        });
        print_json(&values.collect::<Vec<_>>());
    } else {
        for (address, status) in &statuses {
            match status {
                Ok(status) => print_status(address, status),
                Err(error) => print_line!("{address}: {error}"),
            }
        }
    }
    if answered {
        Exit::Ok
    } else {
        Exit::Unreachable
    }
}

fn print_status(address: &str, status: &Value) {
    print_line!("{address}");
    match status {
        Value::Object(fields) => {
            for (name, value) in fields {
                print_line!("  {name}: {value}");
            }
        }
        other => print_line!("  {other}"),
    }
}
