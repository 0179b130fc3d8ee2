//! Instances that name a limit on their request rate, which applies to all entries together. Tested
//! through real processes.

mod site_support;

use std::time::{Duration, Instant};

use site_support::{
    Limit, Reply, Request, Site, Upstream, answer, assert_within_limit, call_entry, document,
    limited, proper, send_load, sse, wait_for,
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

/// Guards against callers that wait until their deadline, or are told to return at once, when all
/// instances have reached their limits, and against refusals without an explanation in the logs.
#[tokio::test]
async fn callers_are_refused_at_once_when_all_limits_are_reached() {
    let mut site = site_with_entries().await;
    let limits = [Limit::default(), Limit::default()];
    let one = site.upstream("plain", limited(&limits[0], proper)).await;
    let two = site.upstream("plain", limited(&limits[1], proper)).await;
    wait_used(&site, &[&one, &two]).await;
    let named_at = Instant::now();
    limits[0].set(Some("2"));
    limits[1].set(Some("3"));
    let load = send_load(&site, &ENTRIES, "/once/load", 30, Duration::from_secs(8)).await;
    assert_within_limit(&one, "/once/load", 2.0, named_at);
    assert_within_limit(&two, "/once/load", 3.0, named_at);
    // Most of the 40 requests that the limits allow in this time.
    assert!(load.served >= 30 && load.failed == 0, "{load:?}");
    for (retry_after_s, took) in &load.refused {
        assert!((0.001..=4.001).contains(retry_after_s), "{retry_after_s}");
        assert!(*took < Duration::from_secs(1), "refused after {took:?}");
    }
    let refused = site.log_lines("entry-1", "\"code\":\"all_at_limit\"");
    let request = refused[0].split("\"request\":\"").nth(1).unwrap();
    let (request, _) = request.split_once('"').unwrap();
    let permits = site.log_lines("entry-1", "permit for a request");
    assert!(
        permits.iter().any(|line| line.contains(request)),
        "{request}"
    );
    let name = "lilac_gateway_permits_total{by=\"hub\",outcome=\"refused\"}";
    assert!(site.entry_metric(1, name).await.unwrap() > 0.0);
}

/// Plays a day on which a limit falls and ends, while the hub stops answering and an entry restarts.
#[tokio::test]
async fn limit_is_kept_without_the_hub_and_after_a_restart() {
    let mut site = site_with_entries().await;
    let limit = Limit::default();
    let slow = site.upstream("plain", limited(&limit, proper)).await;
    let free = site.upstream("plain", proper).await;
    wait_used(&site, &[&slow, &free]).await;
    let named_at = Instant::now();
    limit.set(Some("4"));
    let send = async |path, seconds| {
        let load = send_load(&site, &[1, 2], path, 40, Duration::from_secs(seconds)).await;
        assert_eq!(load.refused.len() + load.failed, 0, "{load:?}");
    };
    send("/once/day/hub", 4).await;
    // Entries serve callers for 3 s without a confirmed document.
    site.signal("control-1", "STOP");
    send("/once/day/frozen", 2).await;
    site.signal("control-1", "CONT");
    let by_entry = "lilac_gateway_permits_total{by=\"entry\"";
    assert!(site.entry_metric(1, by_entry).await.is_some());
    send("/once/day/back", 3).await;
    assert_within_limit(&slow, "/once/day", 4.0, named_at);
    limit.set(Some("1"));
    let fallen_at = Instant::now();
    send("/once/day/fallen", 2).await;
    site.start_entry(3);
    site.wait_ready(3).await;
    let load = send_load(&site, &ENTRIES, "/once/low", 40, Duration::from_secs(5)).await;
    assert_eq!(load.served, 200, "{load:?}");
    assert_within_limit(&slow, "/once/low", 1.0, fallen_at);
    limit.set(None);
    wait_for("the instance is used without a limit", || async {
        let before = slow.requests("/once/free").len();
        send_load(&site, &ENTRIES, "/once/free", 40, Duration::from_secs(1)).await;
        slow.requests("/once/free").len() >= before + 10
    })
    .await;
}

/// Guards against generations beyond the limit of an engine, and against a limit that is known only
/// once a caller's request has met it: reports name it as well.
#[tokio::test]
async fn engine_gets_no_more_generations_than_the_limit_in_its_reports() {
    let mut site = site_with_entries().await;
    let limit = Limit::default();
    limit.set(Some("1.5"));
    let respond = |request: &Request| match request.path.as_str() {
        "/report" => vec![Reply::Bytes(answer("200 OK", &[], b"{}"))],
        _ => vec![Reply::Bytes(sse(request.id(), 1..=2, true, true))],
    };
    let engine = site.upstream("model", limited(&limit, respond)).await;
    let _other = site.upstream("model", respond).await;
    let named_at = Instant::now();
    site.start_sidecar(&engine);
    wait_for("the hub knows the limit", || async {
        !site
            .log_lines("control-1", "request limit of an instance changed")
            .is_empty()
    })
    .await;
    let load = send_load(&site, &ENTRIES, "/stream/load", 20, Duration::from_secs(5)).await;
    assert_eq!(load.served, 100, "{load:?}");
    assert!(!engine.requests("/stream/load").is_empty());
    assert_within_limit(&engine, "/stream/load", 1.5, named_at);
    limit.set(None);
    wait_for("the limit ends with the reports that name it", || async {
        let ended = "instance names no request limit any more";
        let by_report = "request limit of the engine changed";
        site.log_lines("sidecar-1", by_report).len() == 2
            || !site.log_lines("entry-1", ended).is_empty()
    })
    .await;
}
