//! `check`: reports every error in settings files.

use std::path::PathBuf;

use lilacspindle::findings::Finding;
use lilacspindle::settings::Settings;
use serde_json::json;

use super::{Exit, print_json};
use crate::cli::Options;

pub fn run(options: &Options, files: &[PathBuf]) -> Exit {
    let errors: Vec<Finding> = files
        .iter()
        .filter_map(|file| Settings::load(file).err())
        .flat_map(|findings| findings.0)
        .collect();
    if options.json {
        print_json(&json!({ "findings": errors }));
    } else {
        for error in &errors {
            print_line!("{}: {}", error.place, error.reason);
        }
    }
    if errors.is_empty() {
        Exit::Ok
    } else {
        Exit::Refused
    }
}
