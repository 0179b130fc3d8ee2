//! Tests the shared document: it is published through real control instances and takes effect at
//! real entries.

mod site_support;

use std::time::{Duration, Instant};

use serde_json::{Value, json};
use tokio::time::sleep;

use site_support::{
    Reply, Request, Site, answer, client, document, patient_caller, proper, wait_for,
};

/// Returns a script that answers every request with `name`.
fn reply_with(name: &'static str) -> impl Fn(&Request) -> Vec<Reply> + Send + Sync {
    move |request| {
        let headers = [
            ("X-Lilacspindle-Request-Id", request.id()),
            ("X-Lilacspindle-Response-Seal", "seal"),
        ];
        vec![Reply::Bytes(answer("200 OK", &headers, name.as_bytes()))]
    }
}

async fn call(site: &Site, path: &str, key: &str) -> (u16, String) {
    let sent = client()
        .get(format!("http://{}{path}", site.caller_address(1)))
        .header("Host", "calls.example")
        .header("Authorization", format!("Bearer {key}"));
    match sent.send().await {
        Ok(got) => (got.status().as_u16(), got.text().await.unwrap_or_default()),
        Err(error) => (0, error.to_string()),
    }
}

/// Returns a document whose routes, except streaming ones, use `service`.
fn routing_to(version: u64, service: &str) -> Value {
    let mut document = document(version);
    for route in document["routes"].as_array_mut().unwrap() {
        if route["kind"] != "streaming" {
            route["service"] = json!(service);
        }
    }
    let services = document["services"].as_array_mut().unwrap();
    services.push(json!({"name": "other", "healthCheckPath": "/health", "maxConnections": 9}));
    document
}

/// Guards against a document that is read back altered, a lower version that takes effect, a
/// repeated publication that is rejected, and a version that is overwritten with other content.
#[tokio::test]
async fn highest_version_takes_effect_and_is_read_back_unchanged() {
    let mut site = Site::new(1).await;
    site.start_control(1, true);
    let fifth = document(5).to_string().into_bytes();
    assert_eq!(site.publish_bytes(1, fifth.clone()).await, 200);
    assert_eq!(site.publish_bytes(1, fifth.clone()).await, 200);
    assert_eq!(site.publish(1, &document(4)).await, 200);
    assert_eq!(site.publish(1, &routing_to(5, "other")).await, 200);
    assert_eq!(site.read_back(1).await, Some(fifth));
    let ninth = document(9).to_string().into_bytes();
    assert_eq!(site.publish_bytes(1, ninth.clone()).await, 200);
    assert_eq!(site.read_back(1).await, Some(ninth));
}

/// Guards against an invalid document that is acknowledged or takes effect.
#[tokio::test]
async fn invalid_documents_are_rejected() {
    let mut site = Site::new(1).await;
    site.start_control(1, true);
    let first = document(1).to_string().into_bytes();
    assert_eq!(site.publish_bytes(1, first.clone()).await, 200);
    let change = |change: &dyn Fn(&mut Value)| {
        let mut document = document(2);
        change(&mut document);
        document.to_string().into_bytes()
    };
    let truncated = document(2).to_string().into_bytes()[..300].to_vec();
    let cases: [(&str, Vec<u8>); 6] = [
        ("truncated", truncated),
        (
            "unknown service",
            change(&|d| d["routes"][0]["service"] = json!("nobody")),
        ),
        (
            "duplicate prefix",
            change(&|d| d["routes"][1]["pathPrefix"] = json!("/once/")),
        ),
        (
            "zero weight",
            change(&|d| {
                d["routes"][0]["trafficSplit"] = json!([{"service": "plain", "weight": 0}]);
            }),
        ),
        (
            "zero timeout",
            change(&|d| d["routes"][0]["timeoutMs"] = json!(0)),
        ),
        (
            "shared key",
            change(&|d| d["tenants"][1]["apiKeys"] = json!(["k2"])),
        ),
    ];
    for (case, body) in cases {
        assert_eq!(site.publish_bytes(1, body).await, 400, "{case}");
    }
    assert_eq!(site.read_back(1).await, Some(first));
}

/// Guards against an entry that applies an outdated document or accepts a revoked key.
#[tokio::test]
async fn new_document_takes_effect_at_the_entry_within_two_seconds() {
    let mut site = Site::serving(&routing_to(1, "plain")).await;
    let _plain = site.upstream("plain", reply_with("plain")).await;
    let _other = site.upstream("other", reply_with("other")).await;
    wait_for("the first document has taken effect", || async {
        call(&site, "/safe/x", "k2").await == (200, "plain".to_owned())
    })
    .await;
    let mut next = routing_to(2, "other");
    next["tenants"][0]["apiKeys"] = json!(["k1"]);
    assert_eq!(site.publish(1, &next).await, 200);
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert_eq!(
        call(&site, "/safe/x", "k1").await,
        (200, "other".to_owned())
    );
    assert_eq!(call(&site, "/safe/x", "k2").await.0, 401);
}

/// Guards against an entry that accepts keys it cannot confirm, and one that answers 401 or 404 or
/// reports to be ready while it has no document.
#[tokio::test]
async fn entry_without_control_answers_503() {
    let mut site = Site::new(1).await;
    site.start_entry(1);
    wait_for("the entry answers", || async {
        site.readiness(1).await == Some(503)
    })
    .await;
    assert_eq!(call(&site, "/safe/x", "k1").await.0, 503);
    site.start_control(1, true);
    assert_eq!(site.publish(1, &document(1)).await, 200);
    let _plain = site.upstream("plain", reply_with("plain")).await;
    wait_for("the entry serves", || async {
        call(&site, "/safe/x", "k1").await.0 == 200
    })
    .await;
    site.kill("control-1");
    wait_for("keys are no longer accepted", || async {
        call(&site, "/safe/x", "k1").await.0 == 503
    })
    .await;
    assert_eq!(site.readiness(1).await, Some(503));
    site.start_control(1, false);
    wait_for("the entry serves again", || async {
        call(&site, "/safe/x", "k1").await.0 == 200
    })
    .await;
}

/// Returns a document whose route `/safe/` needs no key.
fn keyless_document() -> Value {
    let mut document = document(1);
    document["routes"][1]["allowAnonymous"] = json!(true);
    document
}

/// Guards against an entry that obeys a document, or answers 404 by it, although the control
/// instances that it reaches cannot tell whether a newer one was acknowledged.
#[tokio::test]
async fn document_that_control_cannot_confirm_is_not_obeyed() {
    let mut site = Site::new(3).await;
    for machine in 1..=3 {
        site.start_control(machine, true);
    }
    site.start_entry(1);
    assert_eq!(site.publish(1, &keyless_document()).await, 200);
    let _plain = site.upstream("plain", reply_with("plain")).await;
    wait_for("the entry serves", || async {
        call(&site, "/safe/x", "").await.0 == 200
    })
    .await;
    assert_eq!(call(&site, "/unknown/x", "").await.0, 404);
    site.kill("control-2");
    site.kill("control-3");
    // The limit is 3 s without a confirmation.
    tokio::time::sleep(Duration::from_secs(4)).await;
    assert_eq!(call(&site, "/safe/x", "").await.0, 503);
    assert_eq!(call(&site, "/unknown/x", "").await.0, 503);
    site.start_control(2, false);
    wait_for("the entry serves again", || async {
        call(&site, "/safe/x", "").await.0 == 200
    })
    .await;
}

/// Guards against an entry that is cut off from control and stops serving what needs no key, or
/// answers 404 for a route that it may not have heard of.
#[tokio::test]
async fn entry_cut_off_from_control_serves_keyless_routes() {
    let mut site = Site::serving(&keyless_document()).await;
    let _plain = site.upstream("plain", reply_with("plain")).await;
    wait_for("the entry serves", || async {
        call(&site, "/safe/x", "").await.0 == 200
    })
    .await;
    site.kill("control-1");
    tokio::time::sleep(Duration::from_secs(4)).await;
    assert_eq!(call(&site, "/safe/x", "").await.0, 200);
    assert_eq!(call(&site, "/once/x", "k1").await.0, 503);
    assert_eq!(call(&site, "/unknown/x", "").await.0, 503);
}

/// Guards against a cluster that does not form while a seed is late, loses an acknowledged document
/// with one disk, or does not admit a replaced machine.
#[tokio::test]
async fn cluster_forms_from_its_seeds_and_survives_a_lost_disk() {
    let mut site = Site::new(3).await;
    site.start_control(1, true);
    site.start_control(2, true);
    tokio::time::sleep(Duration::from_millis(500)).await;
    site.start_control(3, true);
    // Machine 4 is not among the seeds.
    site.start_control(4, true);
    let first = document(1).to_string().into_bytes();
    for machine in 1..=4 {
        assert_eq!(
            site.publish_bytes(machine, first.clone()).await,
            200,
            "machine {machine}"
        );
    }
    site.kill("control-1");
    std::fs::remove_dir_all(site.data_folder(1)).unwrap();
    site.start_control(1, false);
    let second = document(2).to_string().into_bytes();
    assert_eq!(site.publish_bytes(2, second.clone()).await, 200);
    for machine in 1..=4 {
        wait_for("the document is read back", || async {
            site.read_back(machine).await.as_ref() == Some(&second)
        })
        .await;
    }
    // All are killed; acknowledged documents must be on their disks.
    for machine in 1..=4 {
        site.kill(&format!("control-{machine}"));
    }
    for machine in 1..=4 {
        site.start_control(machine, false);
    }
    wait_for("the document was recovered", || async {
        site.read_back(3).await.as_ref() == Some(&second)
    })
    .await;
}

/// Guards against an instance without a majority that acknowledges documents or answers reads.
#[tokio::test]
async fn minority_neither_answers_reads_nor_acknowledges_documents() {
    let mut site = Site::new(3).await;
    for machine in 1..=3 {
        site.start_control(machine, true);
    }
    assert_eq!(site.publish(1, &document(1)).await, 200);
    site.kill("control-2");
    site.kill("control-3");
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert_eq!(site.read_back(1).await, None);
    let url = site.operator_url(1, "/Configuration.Replace");
    let sent = client()
        .post(url)
        .body(document(2).to_string())
        .send()
        .await;
    assert!(sent.is_err() || sent.is_ok_and(|answer| answer.status().is_server_error()));
}

/// Guards against a replaced machine that stays a voter for ever: the cluster has to keep working
/// after it has lost two machines, one after the other.
#[tokio::test]
async fn replaced_machines_do_not_count_against_the_majority() {
    let mut site = Site::new(3).await;
    for machine in 1..=3 {
        site.start_control(machine, true);
    }
    assert_eq!(site.publish(1, &document(1)).await, 200);
    site.start_control(4, false);
    site.kill("control-1");
    // The new machine takes its place, or it is removed as one of four.
    wait_for("the killed member is removed", || async {
        let removals = |n: u8| site.log_lines(&format!("control-{n}"), "member was removed");
        (2..=4).any(|machine| !removals(machine).is_empty())
    })
    .await;
    site.kill("control-2");
    assert_eq!(site.publish(3, &document(2)).await, 200);
    assert_eq!(site.publish(4, &document(3)).await, 200);
}

/// Guards against callers that fail after a power failure, when entries are up before control has a
/// leader: callers that are rejected then have used up their attempts when it has one. A caller
/// with a short deadline still gets its rejection soon.
#[tokio::test]
async fn requests_wait_briefly_for_the_first_document() {
    let mut site = Site::new(1).await;
    let upstream = site.upstream("plain", proper).await;
    site.start_control(1, true);
    site.start_entry(1);
    assert_eq!(site.publish_bytes(1, b"no document".to_vec()).await, 400);
    wait_for("the entry accepts connections", || async {
        site.readiness(1).await.is_some()
    })
    .await;
    let sent_at = Instant::now();
    let hurried = patient_caller(&site, "/once/hurried", "id-1", 600).send();
    let rejected = hurried.await.unwrap();
    assert_eq!(rejected.status(), 503);
    assert!(rejected.headers().contains_key("retry-after"));
    assert!(sent_at.elapsed() < Duration::from_millis(500));
    let patient = tokio::spawn(patient_caller(&site, "/once/patient", "id-2", 9_000).send());
    sleep(Duration::from_millis(200)).await;
    assert_eq!(site.publish(1, &document(1)).await, 200);
    let answer = patient.await.unwrap().unwrap();
    assert_eq!(answer.status(), 200);
    assert_eq!(upstream.requests("/once/patient").len(), 1);
}
