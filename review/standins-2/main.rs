//! Plays one case of the review: `drill-2 CASE RECORD`. Exits with 1 if the rule was broken, 0 if it
//! held, 2 if the case could not be played. With `TROUBLE=0` in the environment the disruption is left
//! out.

mod asked_weights;
mod cut_event;
mod held_stream;
mod large_bodies;
mod late_backup;
mod late_move;
mod lost_answer;
mod old_limits;
mod stale_tenant;
mod unstopped_run;
mod world;

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::process::exit;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use world::World;

/// No case takes longer than this.
const TIME_LIMIT: Duration = Duration::from_secs(100);

/// What a case has found.
pub struct Verdict {
    pub is_broken: bool,
    pub text: String,
}

pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let (Some(case), Some(record)) = (args.get(1), args.get(2)) else {
        eprintln!("usage: drill-2 CASE RECORD");
        exit(2);
    };
    let play: fn(&Arc<World>) -> Verdict = match case.as_str() {
        "asked-weights" => asked_weights::play,
        "cut-event" => cut_event::play,
        "held-stream" => held_stream::play,
        "large-bodies" => large_bodies::play,
        "late-backup" => late_backup::play,
        "late-move" => late_move::play,
        "lost-answer" => lost_answer::play,
        "old-limits" => old_limits::play,
        "stale-tenant" => stale_tenant::play,
        "unstopped-run" => unstopped_run::play,
        _ => {
            eprintln!("no such case: {case}");
            exit(2);
        }
    };
    let Ok(world) = catch_unwind(|| World::new(record)) else {
        exit(2);
    };
    let watched = Arc::clone(&world);
    thread::spawn(move || {
        thread::sleep(TIME_LIMIT);
        watched.record.note("the case takes too long");
        watched.end();
        exit(2);
    });
    let trouble = if has_trouble() { "with" } else { "without" };
    world
        .record
        .note(&format!("case {case}, {trouble} its disruption"));
    let played = catch_unwind(AssertUnwindSafe(|| play(&world)));
    world.end();
    let Ok(verdict) = played else {
        world.record.note("the case could not be played");
        exit(2);
    };
    let word = if verdict.is_broken { "BROKEN" } else { "held" };
    world.record.note(&format!("{word}: {}", verdict.text));
    exit(i32::from(verdict.is_broken));
}
