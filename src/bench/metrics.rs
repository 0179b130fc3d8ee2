//! Reads preemption and memory metrics from the engines under test.

use std::time::Duration;

/// Time limit of a read; an engine that exceeds it yields no metrics.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// The engine metrics that reports contain. A metric that is missing or not an integer is zero.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EngineMetrics {
    pub preemptions: u64,
    pub recomputed_tokens: u64,
    pub used_tokens: u64,
    pub capacity_tokens: u64,
}

/// Returns the metrics of the engine at a base URL, or `None` if it does not answer.
pub(super) async fn read_metrics(http: &reqwest::Client, url: &str) -> Option<EngineMetrics> {
    let url = format!("{}/metrics", url.trim_end_matches('/'));
    let response = http.get(url).timeout(READ_TIMEOUT).send().await.ok()?;
    Some(parse_metrics(&response.text().await.ok()?))
}

fn parse_metrics(text: &str) -> EngineMetrics {
    let value = |name: &str| {
        text.lines()
            .filter_map(|line| line.split_once(' '))
            .find(|(key, _)| *key == name)
            .and_then(|(_, value)| value.parse().ok())
            .unwrap_or(0)
    };
    EngineMetrics {
        preemptions: value("preemptions_total"),
        recomputed_tokens: value("recomputed_tokens_total"),
        used_tokens: value("used_tokens"),
        capacity_tokens: value("capacity_tokens"),
    }
}
