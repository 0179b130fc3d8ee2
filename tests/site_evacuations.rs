//! Tests the evacuation of zones with real control instances and entries.

mod site_support;

use std::time::Duration;

use reqwest::{Method, StatusCode};
use serde_json::{Value, json};
use tokio::process::Command;

use site_support::{Site, Upstream, call_entry, client, document, listed, proper, wait_for};

/// Time from the acknowledgement of an order until no request may reach the zone.
const EVACUATION_LIMIT: Duration = Duration::from_secs(5);

/// Sends an order to a control instance until it is answered with a status below 500.
async fn order(site: &Site, machine: u8, method: Method, path: &str) -> (StatusCode, String) {
    let deadline = std::time::Instant::now() + site_support::READY_LIMIT;
    loop {
        let url = site.operator_url(machine, path);
        match client().request(method.clone(), url).send().await {
            Ok(answer) if answer.status().as_u16() < 500 => {
                return (answer.status(), answer.text().await.unwrap());
            }
            other => {
                let in_time = std::time::Instant::now() < deadline;
                assert!(in_time, "no answer from control: {other:?}");
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

async fn start(site: &Site, machine: u8, zone: &str) {
    let path = format!("/Evacuation.Start/{zone}");
    let (status, text) = order(site, machine, Method::POST, &path).await;
    assert_eq!(status, 200, "{text}");
}

async fn finish(site: &Site, machine: u8, zone: &str) {
    let path = format!("/Evacuation.Finish/{zone}");
    let (status, text) = order(site, machine, Method::POST, &path).await;
    assert_eq!(status, 200, "{text}");
}

async fn evacuations(site: &Site, machine: u8) -> Value {
    let (status, text) = order(site, machine, Method::GET, "/v1/evacuations").await;
    assert_eq!(status, 200, "{text}");
    serde_json::from_str(&text).unwrap()
}

/// Starts a plain upstream instance in a zone.
async fn upstream_in(site: &mut Site, zone: &str) -> Upstream {
    let upstream = site.unlisted_upstream(proper).await;
    let mut entry = listed("plain", &upstream, "ready");
    entry["zone"] = json!(zone);
    site.list.lock().unwrap().push(entry);
    upstream
}

async fn call(site: &Site, machine: u8) -> StatusCode {
    call_entry(site, machine, "/once/x", "id").await.status()
}

/// Waits until an entry sends requests to an instance.
async fn wait_used(site: &Site, machine: u8, upstream: &Upstream) {
    wait_for("the instance is used", || async {
        call(site, machine).await;
        !upstream.requests("/once/").is_empty()
    })
    .await;
}

/// Sends requests through an entry. Returns how many of them an instance got; all must succeed.
async fn requests_reaching(site: &Site, machine: u8, upstream: &Upstream) -> usize {
    let before = upstream.requests("/once/").len();
    for _ in 0..40 {
        assert_eq!(call(site, machine).await, 200);
    }
    upstream.requests("/once/").len() - before
}

/// Guards against an acknowledged evacuation that is lost with a leader or with all control processes,
/// and against an entry that starts and serves before it knows the evacuated zones.
#[tokio::test]
async fn acknowledged_evacuation_survives_lost_leaders_and_power() {
    let mut site = Site::new(3).await;
    for machine in 1..=3 {
        site.start_control(machine, true);
    }
    site.start_entry(1);
    assert_eq!(site.publish(1, &document(1)).await, 200);
    let kept = upstream_in(&mut site, "z2").await;
    // The entry's own zone, which it prefers.
    let evacuated = upstream_in(&mut site, "z1").await;
    wait_used(&site, 1, &evacuated).await;
    start(&site, 2, "z1").await;
    for machine in 1..=3 {
        site.kill(&format!("control-{machine}"));
    }
    for machine in 1..=3 {
        site.start_control(machine, false);
    }
    wait_for("the entry has learnt of the evacuation", || async {
        site.entry_metric(1, "lilac_gateway_evacuated_zones").await == Some(1.0)
    })
    .await;
    assert_eq!(requests_reaching(&site, 1, &evacuated).await, 0);
    // An entry that starts meanwhile has never used the zone when it serves its first callers.
    let before = evacuated.requests("/once/").len();
    site.start_entry(2);
    wait_for("the new entry serves", || async {
        site.readiness(2).await == Some(200) && call(&site, 2).await == 200
    })
    .await;
    assert_eq!(requests_reaching(&site, 2, &evacuated).await, 0);
    assert_eq!(evacuated.requests("/once/").len(), before);
    // The loss of each instance in turn includes that of the leader.
    for machine in 1..=3 {
        site.kill(&format!("control-{machine}"));
        let other = machine % 3 + 1;
        let listed = evacuations(&site, other).await;
        assert_eq!(listed["evacuated"], json!(["z1"]), "without {machine}");
        site.start_control(machine, false);
        wait_for("the killed instance answers", || async {
            evacuations(&site, machine).await["evacuated"] == json!(["z1"])
        })
        .await;
    }
    assert_eq!(requests_reaching(&site, 1, &evacuated).await, 0);
    finish(&site, 3, "z1").await;
    let before = evacuated.requests("/once/").len();
    wait_for("the zone is used again", || async {
        call(&site, 1).await;
        evacuated.requests("/once/").len() > before
    })
    .await;
    assert!(!kept.requests("/once/").is_empty());
}

/// Guards against an unknown zone that is accepted, orders that fail if they are repeated, and an
/// instance that does not lead and answers by itself.
#[tokio::test]
async fn orders_are_checked_repeated_and_redirected() {
    let mut site = Site::new(3).await;
    for machine in 1..=3 {
        site.start_control(machine, true);
    }
    let _upstreams = (
        upstream_in(&mut site, "z1").await,
        upstream_in(&mut site, "z%2").await,
    );
    assert_eq!(site.publish(1, &document(1)).await, 200);
    wait_for("the list was read", || async {
        let (status, _) = order(&site, 1, Method::DELETE, "/v1/evacuations/z1").await;
        status == 200
    })
    .await;
    let (status, text) = order(&site, 1, Method::POST, "/Evacuation.Start/z9").await;
    assert_eq!(status, 400);
    assert!(text.contains("known zones: z%2, z1"), "{text}");
    let (status, _) = order(&site, 2, Method::PUT, "/v1/evacuations/z%252").await;
    assert_eq!(status, 200);
    start(&site, 3, "z%252").await;
    assert_eq!(evacuations(&site, 1).await["evacuated"], json!(["z%2"]));
    // An order without a redirect is acknowledged by the leader only.
    let direct = reqwest::Client::builder()
        .redirect(reqwest::redirect::Policy::none())
        .build()
        .unwrap();
    let mut statuses = Vec::new();
    for machine in 1..=3 {
        let url = site.operator_url(machine, "/Evacuation.Start/z1");
        statuses.push(direct.post(url).send().await.unwrap().status().as_u16());
    }
    statuses.sort_unstable();
    assert_eq!(statuses, [200, 307, 307]);
    finish(&site, 1, "z%252").await;
    finish(&site, 2, "z%252").await;
    assert_eq!(evacuations(&site, 3).await["evacuated"], json!(["z1"]));
}

/// Runs `lilacspindle evacuation` with arguments. Returns its exit code and output.
async fn run_command(site: &Site, arguments: &[&str]) -> (Option<i32>, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_lilacspindle"))
        .args(["--control", &site.operator_url(1, ""), "evacuation"])
        .args(arguments)
        .output()
        .await
        .unwrap();
    let text = [output.stdout, output.stderr].concat();
    (output.status.code(), String::from_utf8(text).unwrap())
}

/// Guards against requests that still reach a zone 5 s after its evacuation was acknowledged, callers
/// that wait although all zones are evacuated, and a command that reports the wrong result.
#[tokio::test]
async fn requests_avoid_evacuated_zones_and_are_refused_without_any() {
    let mut site = Site::serving(&document(1)).await;
    let near = upstream_in(&mut site, "z1").await;
    let far = upstream_in(&mut site, "z2").await;
    wait_used(&site, 1, &near).await;
    let (code, text) = run_command(&site, &["start", "z1"]).await;
    assert_eq!(code, Some(0), "{text}");
    tokio::time::sleep(EVACUATION_LIMIT).await;
    assert_eq!(requests_reaching(&site, 1, &near).await, 0);
    assert!(!far.requests("/once/").is_empty());
    start(&site, 1, "z2").await;
    wait_for("both zones are evacuated", || async {
        site.entry_metric(1, "lilac_gateway_evacuated_zones").await == Some(2.0)
    })
    .await;
    for path in ["/once/x", "/safe/x"] {
        let refused = call_entry(&site, 1, path, "id").await;
        assert_eq!(refused.status(), 503);
        assert!(refused.headers().contains_key("retry-after"));
        let text = refused.text().await.unwrap();
        assert!(text.contains("zone_evacuated"), "{text}");
    }
    let (code, text) = run_command(&site, &["list"]).await;
    assert_eq!(code, Some(0));
    assert!(text.contains("evacuated: z1, z2"), "{text}");
    let (code, text) = run_command(&site, &["start", "z9"]).await;
    assert_eq!(code, Some(1));
    assert!(text.contains("known zones: z1, z2"), "{text}");
    let (code, text) = run_command(&site, &["finish", "z2"]).await;
    assert_eq!(code, Some(0), "{text}");
    wait_for("the zone is used again", || async {
        call(&site, 1).await == 200
    })
    .await;
    assert!(
        !site
            .log_lines("entry-1", "evacuated zones applied")
            .is_empty()
    );
    assert!(
        site.log_lines("control-1", "order for a zone applied")
            .len()
            >= 3
    );
}
