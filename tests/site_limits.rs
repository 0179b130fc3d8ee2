//! Instances that name a limit on their request rate, which applies to all entries together. Tested
//! through real processes.

mod site_support;

use std::time::{Duration, Instant};

use site_support::{
    Limit, Site, Upstream, assert_within_limit, call_entry, document, limited, proper, send_load,
    wait_for,
};

const ENTRIES: [u8; 3] = [1, 2, 3];

/// Returns a site with three entries, all of them ready.
async fn site_with_entries() -> Site {
    let mut site = Site::serving(&document(1)).await;
    for machine in &ENTRIES[1..] {
        site.start_entry(*machine);
    }
    for machine in ENTRIES {
        site.wait_ready(machine).await;
    }
    site
}

/// Waits until every entry has sent requests to each of the instances.
async fn wait_used(site: &Site, upstreams: &[&Upstream]) {
    for machine in ENTRIES {
        let path = format!("/once/warm-up-{machine}");
        wait_for("the entry uses all instances", || async {
            call_entry(site, machine, &path, "id-x").await;
            let is_used = |upstream: &&Upstream| !upstream.requests(&path).is_empty();
            upstreams.iter().all(is_used)
        })
        .await;
    }
}

/// Guards against entries that ignore a named limit, or that each send as many requests as it
/// allows to all of them. Callers must be served by the instance without a limit meanwhile.
#[tokio::test]
async fn limited_instance_gets_more_requests_than_it_names() {
    let mut site = site_with_entries().await;
    let limits = [Limit::default(), Limit::default()];
    let slow = site.upstream("plain", limited(&limits[0], proper)).await;
    let slower = site.upstream("plain", limited(&limits[1], proper)).await;
    let free = site.upstream("plain", proper).await;
    wait_used(&site, &[&slow, &slower, &free]).await;
    limits[0].set(Some("3.8"));
    limits[1].set(Some("2"));
    let named_at = Instant::now();
    let load = send_load(&site, &ENTRIES, "/once/load", 40, Duration::from_secs(9)).await;
    assert_eq!(load.served, 360, "{load:?}");
    assert_within_limit(&slow, "/once/load", 3.8, named_at);
    assert_within_limit(&slower, "/once/load", 2.0, named_at);
}
