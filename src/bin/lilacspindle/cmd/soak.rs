//! `soak`: runs the daemons under faults and checks what was seen.

use std::env;
use std::path::PathBuf;

use lilacspindle::soak::{self, Environment, Plan, Size};

use super::Exit;
use crate::cli::Soak;

pub fn run(options: &Soak) -> Exit {
    let size = Size::draw(
        options.seed,
        options.seconds,
        options.entries,
        options.controls,
    );
    let plan = Plan::draw(options.seed, options.kind, size);
    if options.plan {
        super::print_json(&plan);
        return Exit::Ok;
    }
    match run_plan(options, &plan) {
        Ok(exit) => exit,
        Err(error) => {
            eprintln!("lilacspindle: the soak could not be run: {error}");
            Exit::Unreachable
        }
    }
}

fn run_plan(options: &Soak, plan: &Plan) -> std::io::Result<Exit> {
    let daemon = match &options.daemon {
        Some(daemon) => daemon.clone(),
        None => env::current_exe()?.with_file_name("lilacspindled"),
    };
    let folder = options.folder.clone().unwrap_or_else(|| {
        let name = format!("lilac-soak-{}-{}", options.seed, std::process::id());
        env::temp_dir().join(name)
    });
    std::fs::create_dir_all(&folder)?;
    let environment = Environment {
        folder: absolute(folder)?,
        daemon: absolute(daemon)?,
        busy_threads: options.busy,
    };
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()?;
    let history = runtime.block_on(soak::run(plan, &environment))?;
    // Kills the processes of the run.
    drop(runtime);
    let violations = soak::check(&history);
    let summary = soak::summary(plan, &history, &violations);
    print_text!("{summary}");
    soak::write(&environment.folder, plan, &history, &summary)?;
    let failed = !violations.is_empty() || !history.unexpected_exits.is_empty();
    match failed {
        false if !options.keep => std::fs::remove_dir_all(&environment.folder)?,
        _ => print_line!("kept in {}", environment.folder.display()),
    }
    Ok(if failed { Exit::Refused } else { Exit::Ok })
}

fn absolute(path: PathBuf) -> std::io::Result<PathBuf> {
    std::path::absolute(path)
}
