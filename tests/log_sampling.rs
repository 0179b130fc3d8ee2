//! Sampling of routine log lines.

use lilacspindle::adapters::telemetry::Sampler;

/// Returns which of `requests` requests have their line written in one second.
fn kept(sampler: &Sampler, requests: u32, now_ms: u64) -> Vec<u32> {
    let is_kept = |number: &u32| sampler.should_log(&format!("id-{number}"), now_ms);
    (0..requests).filter(is_kept).collect()
}

/// Guards against lines that are dropped at normal load.
#[test]
fn all_routine_lines_are_kept_below_the_rate() {
    let sampler = Sampler::default();
    for second in 0..5 {
        assert_eq!(kept(&sampler, 200, second * 1_000 + 10).len(), 200);
    }
}

/// Guards against a log volume that grows with the load, and against a burst that suppresses lines
/// in the seconds after it.
#[test]
fn routine_lines_are_bounded_above_the_rate() {
    let sampler = Sampler::default();
    let burst = kept(&sampler, 20_000, 500).len();
    assert!((1_200..=1_700).contains(&burst), "{burst}");
    assert_eq!(kept(&sampler, 100, 1_500).len(), 100);
}

/// Guards against processes that sample different requests, so that no request could be traced
/// across processes.
#[test]
fn processes_keep_the_lines_of_the_same_requests() {
    let (entry, other) = (Sampler::default(), Sampler::default());
    for sampler in [&entry, &other] {
        kept(sampler, 200, 0);
    }
    let sampled = kept(&entry, 5_000, 0);
    assert!(!sampled.is_empty());
    assert_eq!(kept(&other, 5_000, 0), sampled);
}
