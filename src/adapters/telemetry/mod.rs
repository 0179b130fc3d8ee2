//! JSON logs, Prometheus metrics and invariant checks.

mod lines;
mod routine;

use std::sync::{LazyLock, OnceLock};

use prometheus::{Encoder, IntCounter, IntCounterVec, Opts, Registry, TextEncoder};
use tracing_subscriber::EnvFilter;

use super::clock::monotonic_ms;

pub use routine::{ROUTINE, Sampler};

/// Log filter for libraries, which log every request and setting: only their errors are kept. The
/// filter from the settings is appended to it and may override it.
const LIBRARY_FILTER: &str = "rocket=error,tarpc=error,hyper=error";

static INVARIANTS: OnceLock<IntCounterVec> = OnceLock::new();
static ROUTINE_SAMPLER: Sampler = Sampler::new();
static SAMPLED_OUT: LazyLock<IntCounter> = LazyLock::new(|| {
    let help = "Routine log lines that were not written, as there were too many.";
    let counter = IntCounter::new("lilac_log_lines_sampled_out_total", help)
        .expect("constant options are valid");
    // Registration fails only if the name is taken, which the LazyLock rules out.
    let _ = registry().register(Box::new(counter.clone()));
    counter
});

/// Starts logging JSON lines to standard output. Logging never blocks: while standard output does
/// not accept lines, they are dropped and counted. `filter` has the syntax of
/// [`EnvFilter`]; if it is invalid, the level is `info`.
///
/// A second call in the same process has no effect.
pub fn init_logs(filter: &str) {
    // Registers the counter now, so that it is exported as zero before the first sampled-out line.
    LazyLock::force(&SAMPLED_OUT);
    let filter = EnvFilter::try_new(format!("{LIBRARY_FILTER},{filter}"))
        .unwrap_or_else(|_| EnvFilter::new(format!("{LIBRARY_FILTER},info")));
    // Fails if logging was already started, as in a test process that starts several daemons; the
    // first call wins.
    let _ = tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_env_filter(filter)
        .with_writer(lines::LineQueue::start())
        .try_init();
}

/// Waits until the lines logged so far have been written, for a limited time. To be called before
/// the process ends.
pub fn flush_logs() {
    lines::flush();
}

/// Returns true if a routine line of the request is to be written; otherwise counts it as sampled
/// out. The caller logs the line with the target [`ROUTINE`].
pub fn keeps_routine(request: &str) -> bool {
    let kept = ROUTINE_SAMPLER.should_log(request, monotonic_ms());
    if !kept {
        SAMPLED_OUT.inc();
    }
    kept
}

/// Returns the registry of all metrics of this process.
pub fn registry() -> &'static Registry {
    prometheus::default_registry()
}

/// Returns all metrics in the Prometheus text format.
pub fn render_metrics() -> String {
    let mut buffer = Vec::new();
    match TextEncoder::new().encode(&registry().gather(), &mut buffer) {
        Ok(()) => String::from_utf8_lossy(&buffer).into_owned(),
        Err(error) => format!("# cannot encode metrics: {error}\n"),
    }
}

fn invariants() -> &'static IntCounterVec {
    INVARIANTS.get_or_init(|| {
        let opts = Opts::new(
            "lilac_invariant_violations_total",
            "Violated invariants by name; any value above zero is a defect.",
        );
        let counter = IntCounterVec::new(opts, &["invariant"]).expect("constant options are valid");
        // Registration fails only if the name is taken, which the OnceLock rules out.
        let _ = registry().register(Box::new(counter.clone()));
        counter
    })
}

/// Checks an invariant: if `holds` is false, counts and logs the violation, and panics in debug
/// builds. Returns `holds`.
pub fn invariant(holds: bool, name: &str, detail: impl FnOnce() -> String) -> bool {
    let counter = invariants().with_label_values(&[name]);
    if holds {
        return true;
    }
    counter.inc();
    let detail = detail();
    tracing::error!(invariant = name, detail, "invariant violated");
    debug_assert!(holds, "invariant {name} violated: {detail}");
    false
}
