//! `explain`: traces one request through log files.

use std::path::PathBuf;
use std::sync::Arc;

use lilacspindle::explain::explain;

use super::Exit;

pub fn run(request: &str, files: &[PathBuf]) -> Exit {
    let mut texts = Vec::new();
    for file in files {
        match std::fs::read_to_string(file) {
            Ok(text) => {
                let name = file.file_stem().unwrap_or_default().to_string_lossy();
                texts.push((Arc::from(&*name), text));
            }
            Err(error) => {
                eprintln!("lilacspindle: {}: cannot be read: {error}", file.display());
                return Exit::Usage;
            }
        }
    }
    let lines = explain(request, &texts);
    for line in &lines {
        print_line!("{line}");
    }
    match lines.is_empty() {
        true => {
            eprintln!("lilacspindle: no log line has the request id {request}; pass all log files");
            Exit::Refused
        }
        false => Exit::Ok,
    }
}
