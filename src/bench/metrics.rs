//! Reads the metrics of engines.

use std::time::Duration;

/// An engine that does not answer within this time is left out.
const TIMEOUT: Duration = Duration::from_secs(2);

/// What the load tool needs of an engine's metrics.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EngineMetrics {
    pub preemptions: u64,
    pub recomputed_tokens: u64,
    pub used_tokens: u64,
    pub capacity_tokens: u64,
}

/// Returns the metrics of the engine at a base URL, if it answers.
pub(super) async fn read_metrics(http: &reqwest::Client, url: &str) -> Option<EngineMetrics> {
    let url = format!("{}/metrics", url.trim_end_matches('/'));
    let response = http.get(url).timeout(TIMEOUT).send().await.ok()?;
    Some(parse(&response.text().await.ok()?))
}

fn parse(text: &str) -> EngineMetrics {
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
