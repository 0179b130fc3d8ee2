//! Engine metrics in the Prometheus text format.

use std::fmt::Write;

use super::engine::Engine;

/// Returns the metrics of one engine. They are not kept in a registry of the process, because
/// several engines of one process report separately.
pub(super) fn render(engine: &Engine) -> String {
    let counters = engine.counters();
    let load = engine.load();
    let totals = [
        ("preemptions_total", counters.preemptions),
        ("recomputed_tokens_total", counters.recomputed_tokens),
        ("prompt_tokens_total", counters.prompt_tokens),
        ("cached_prompt_tokens_total", counters.cached_prompt_tokens),
        ("produced_tokens_total", counters.produced_tokens),
        ("finished_total", counters.finished),
        ("cancelled_total", counters.cancelled),
        ("steps_total", counters.steps),
    ];
    let gauges = [
        ("running", u64::from(load.running)),
        ("waiting", u64::from(load.waiting)),
        ("used_tokens", load.used_tokens),
        ("capacity_tokens", load.capacity_tokens),
        ("prefix_cache_tokens", engine.cached_tokens()),
    ];
    let mut text = String::new();
    append(&mut text, "counter", &totals);
    append(&mut text, "gauge", &gauges);
    text
}

fn append(text: &mut String, kind: &str, values: &[(&str, u64)]) {
    for (name, value) in values {
        // Writing to a `String` cannot fail.
        let _ = writeln!(text, "# TYPE {name} {kind}\n{name} {value}");
    }
}
