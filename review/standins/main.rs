//! Cases of the review. Usage: `RECORD=FILE TROUBLE=0|1 standins CASE`, in the repository's root.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not be run.

mod http;
mod site;

mod foreign_bytes;
mod memory;
mod quorum;
mod reuse;
mod unreadable;

fn main() {
    let case = std::env::args().nth(1).unwrap_or_default();
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    std::panic::set_hook(Box::new(|info| {
        eprintln!("{info}");
        site::end_processes();
        std::process::exit(2);
    }));
    match case.as_str() {
        "unreadable" => unreadable::run(trouble),
        "quorum" => quorum::run(trouble),
        "reuse" => reuse::run(trouble),
        "foreign-bytes" => foreign_bytes::run(trouble),
        "memory" => memory::run(trouble),
        _ => site::cannot_run("unknown case"),
    }
}
