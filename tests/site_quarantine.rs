//! Prompt parts that crash engines, through real control instances and entries.

mod site_support;

use std::time::{Duration, Instant};

use site_support::{Reply, Request, Site, Upstream, client, document, sse, wait_for};
use tokio::time::sleep;

const DEADLY: &str = "dead";

/// An engine that breaks off each response to a prompt with the deadly part after its head.
fn crashing_engine(request: &Request) -> Vec<Reply> {
    let parts = request.header("x-lilacspindle-prompt-prefix");
    match parts.is_some_and(|parts| parts.contains(DEADLY)) {
        true => {
            let no_events = std::ops::RangeInclusive::new(1, 0);
            let head = sse(request.id(), no_events, true, false);
            vec![Reply::Bytes(head), Reply::Close]
        }
        false => vec![Reply::Bytes(sse(request.id(), 1..=3, true, true))],
    }
}

async fn generate(site: &Site, machine: u8, id: &str, parts: &str) -> (u16, String) {
    let sent = client()
        .post(format!("http://{}/stream/x", site.caller_address(machine)))
        .header("Host", "calls.example")
        .header("Authorization", "Bearer k1")
        .header("X-Lilacspindle-Request-Id", id)
        .header("X-Lilacspindle-Prompt-Prefix", parts)
        .header("X-Lilacspindle-Token-Usage", "100,10");
    match sent.send().await {
        Ok(got) => (got.status().as_u16(), got.text().await.unwrap_or_default()),
        Err(error) => (0, error.to_string()),
    }
}

fn deadly_requests(engines: &[Upstream]) -> usize {
    let requests = engines
        .iter()
        .flat_map(|engine| engine.requests("/stream/"));
    requests
        .filter(|request| {
            let parts = request.header("x-lilacspindle-prompt-prefix");
            parts.is_some_and(|parts| parts.contains(DEADLY))
        })
        .count()
}

/// Guards against requests of one kind that crash engine after engine: any machine must refuse them
/// for good, also after the leader or an entry was restarted, and serve those that share other parts.
#[tokio::test]
async fn deadly_prompt_part_does_not_reach_further_engines() {
    let mut site = Site::new(1).await;
    site.start_control(1, true);
    site.start_entry(1);
    site.start_entry(2);
    assert_eq!(site.publish(1, &document(1)).await, 200);
    let mut engines = Vec::new();
    for _ in 0..4 {
        engines.push(site.upstream("model", crashing_engine).await);
    }
    for machine in 1..=2 {
        wait_for("the entries serve", || async {
            generate(&site, machine, "warm", "first:50,own:50").await.0 == 200
        })
        .await;
    }
    let is_quarantined =
        |(status, body): &(u16, String)| *status == 500 && body.contains("prompt_part_quarantined");
    let deadline = Instant::now() + Duration::from_secs(20);
    let mut sent = 0;
    let refused = loop {
        assert!(
            Instant::now() < deadline,
            "not quarantined after {sent} requests"
        );
        let machine = 1 + sent % 2;
        let parts = format!("first:50,{DEADLY}:50,own{sent}:9");
        let answer = generate(&site, machine, "deadly", &parts).await;
        if is_quarantined(&answer) {
            break answer;
        }
        sent += 1;
        // Engines take longer to restart, and a report takes up to 0.4 s.
        sleep(Duration::from_millis(1_100)).await;
    };
    assert!(
        refused.1.contains("\"retry_after_ms\":null"),
        "{}",
        refused.1
    );
    let reached = deadly_requests(&engines);
    assert!(reached <= 5, "{reached} requests reached engines");
    let deadly = format!("other:50,{DEADLY}:50,own:9");
    for machine in 1..=2 {
        wait_for("sound requests are served", || async {
            generate(&site, machine, "sound", "first:50,own:50").await.0 == 200
        })
        .await;
        assert!(is_quarantined(
            &generate(&site, machine, "deadly", &deadly).await
        ));
    }
    site.kill("control-1");
    site.start_control(1, false);
    wait_for("control is back", || async {
        generate(&site, 1, "sound", "first:50,own:50").await.0 == 200
            && site.readiness(1).await == Some(200)
    })
    .await;
    sleep(Duration::from_secs(1)).await;
    site.kill("entry-2");
    site.start_entry(2);
    wait_for("the entry is back", || async {
        generate(&site, 2, "sound", "first:50,own:50").await.0 == 200
    })
    .await;
    for machine in 1..=2 {
        assert!(is_quarantined(
            &generate(&site, machine, "deadly", &deadly).await
        ));
    }
    assert_eq!(deadly_requests(&engines), reached);
}
