//! Instances that name a limit on their request rate, and load that tests whether it is kept.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use futures::future;
use tokio::time::sleep;

use super::{Reply, Request, Site, Upstream, call_entry, with_header};

/// Window in which the requests at an instance are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// The users' rule on limits holds from this long after an instance has first named one.
const SETTLING_TIME: Duration = Duration::from_secs(3);

/// The value of the limit header that an instance sends; `None` sends no header.
#[derive(Clone, Default)]
pub struct Limit(Arc<Mutex<Option<&'static str>>>);

impl Limit {
    pub fn set(&self, value: Option<&'static str>) {
        *self.0.lock().unwrap() = value;
    }
}

/// Returns a script that responds like `script` and names the limit.
pub fn limited(
    limit: &Limit,
    script: impl Fn(&Request) -> Vec<Reply> + Send + Sync + 'static,
) -> impl Fn(&Request) -> Vec<Reply> + Send + Sync + 'static {
    let limit = limit.clone();
    move |request| match *limit.0.lock().unwrap() {
        Some(value) => with_header(script(request), &format!("Server-Limit: {value}")),
        None => script(request),
    }
}

/// The responses to a load.
#[derive(Debug, Default)]
pub struct Load {
    pub served: usize,
    /// `Retry-After` of each refusal in seconds, and how long its caller waited for it.
    pub refused: Vec<(f64, Duration)>,
    /// Responses that are neither successes nor refusals.
    pub failed: usize,
}

/// Sends calls at a constant rate for `duration`, to the entries in turn.
pub async fn send_load(
    site: &Site,
    entries: &[u8],
    path: &str,
    per_s: u32,
    duration: Duration,
) -> Load {
    let started_at = Instant::now();
    let mut calls = Vec::new();
    for number in 0.. {
        let due = Duration::from_secs(1) / per_s * number;
        if due >= duration {
            break;
        }
        let machine = entries[number as usize % entries.len()];
        calls.push(async move {
            sleep(due.saturating_sub(started_at.elapsed())).await;
            let sent_at = Instant::now();
            let id = format!("load-{number}");
            (
                call_entry(site, machine, path, &id).await,
                sent_at.elapsed(),
            )
        });
    }
    let mut load = Load::default();
    for (response, took) in future::join_all(calls).await {
        match response.status().as_u16() {
            200 => load.served += 1,
            503 => {
                let retry_after = response.headers()["retry-after"].to_str().unwrap();
                load.refused.push((retry_after.parse().unwrap(), took));
            }
            _ => load.failed += 1,
        }
    }
    load
}

/// Asserts the users' rule on an instance that has named a limit of `per_s` since `named_at`: in no
/// window it gets more than one and a half times what the limit allows, and five requests.
pub fn assert_within_limit(upstream: &Upstream, path: &str, per_s: f64, named_at: Instant) {
    let allowed = 1.5 * per_s * WINDOW.as_secs_f64() + 5.0;
    let requests = upstream.requests(path);
    let received: Vec<Instant> = requests.iter().map(|request| request.received_at).collect();
    for end in received
        .iter()
        .filter(|at| **at >= named_at + SETTLING_TIME)
    {
        let in_window = received
            .iter()
            .filter(|at| *at <= end && **at + WINDOW > *end);
        let count = in_window.count();
        assert!(
            f64::from(u32::try_from(count).unwrap()) <= allowed,
            "{count} requests within 4 s at a limit of {per_s} per second, allowed {allowed}"
        );
    }
}
