//! Tests the replicated log of real control processes whose disks are full for some seconds.

mod site_support;

use std::time::{Duration, Instant};

use serde_json::Value;
use tokio::time::sleep;

use site_support::{Site, client, document, wait_for};

/// Required limit on the time until a change is acknowledged while control is stable.
const ACKNOWLEDGE_LIMIT: Duration = Duration::from_secs(4);
/// Required limit on the time until changes are acknowledged after the last fault.
const RECOVERY_LIMIT: Duration = Duration::from_secs(12);
/// Delay after which an operator tries another instance.
const OPERATOR_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Starts control instances whose disks can be filled, and publishes the first document.
async fn site_with_limited_disks(instances: u8) -> Site {
    let mut site = Site::new(instances.min(3)).await;
    for machine in 1..=instances {
        site.start_control(machine, true);
        site.restart_control_with_limited_disk(machine);
    }
    assert_eq!(site.publish(1, &document(1)).await, 200);
    for machine in 1..=instances {
        wait_for("all instances are voters", || async {
            let text = format!("\"voters\":{instances},\"learners\":0");
            let changes = site.log_lines(&format!("control-{machine}"), "members changed");
            changes.last().is_some_and(|line| line.contains(&text))
        })
        .await;
    }
    site
}

/// Sends a document to one instance after the other, as operators do, until one acknowledges it.
/// Returns how long that took; `None` after `limit`.
async fn publish_to_any(
    site: &Site,
    instances: u8,
    first: u8,
    document: &Value,
    limit: Duration,
) -> Option<Duration> {
    let begun = Instant::now();
    let body = document.to_string();
    for attempt in 0_u8.. {
        let machine = 1 + (first - 1 + attempt) % instances;
        let url = site.operator_url(machine, "/Configuration.Replace");
        let sent = client()
            .post(url)
            .timeout(OPERATOR_RETRY_INTERVAL)
            .body(body.clone())
            .send();
        let attempt_end = tokio::time::Instant::now() + OPERATOR_RETRY_INTERVAL;
        if sent.await.is_ok_and(|answer| answer.status() == 200) {
            return Some(begun.elapsed());
        }
        if begun.elapsed() >= limit {
            return None;
        }
        tokio::time::sleep_until(attempt_end).await;
    }
    None
}

/// Fills the disk of each instance for `full`, one after the other, while documents are published,
/// and checks that changes are acknowledged and read back at every instance afterwards.
async fn fill_one_disk_after_the_other(instances: u8, full: Duration) {
    let site = site_with_limited_disks(instances).await;
    let mut version = 1;
    let mut slow = Vec::new();
    for machine in 1..=instances {
        site.set_disk_full(machine, true);
        let full_until = Instant::now() + full;
        while Instant::now() < full_until {
            version += 1;
            let next = document(version);
            match publish_to_any(&site, instances, machine, &next, RECOVERY_LIMIT).await {
                Some(time) if time <= ACKNOWLEDGE_LIMIT => {}
                other => slow.push((machine, version, other)),
            }
            sleep(Duration::from_millis(100)).await;
        }
        site.set_disk_full(machine, false);
        sleep(Duration::from_secs(2)).await;
    }
    let recovered_by = Instant::now() + RECOVERY_LIMIT;
    version += 1;
    let last = document(version);
    let took = publish_to_any(&site, instances, 1, &last, RECOVERY_LIMIT).await;
    let dropped = |machine: u8| {
        let name = format!("control-{machine}");
        site.log_lines(&name, "dropped messages").last().cloned()
    };
    let dropped: Vec<_> = (1..=instances).filter_map(dropped).collect();
    assert!(
        took.is_some(),
        "no change is acknowledged; slow: {slow:?}; messages dropped: {dropped:?}"
    );
    assert!(slow.is_empty(), "acknowledged late or not: {slow:?}");
    let expected = last.to_string().into_bytes();
    for machine in 1..=instances {
        loop {
            let read = site.read_back(machine).await;
            if read.as_ref() == Some(&expected) {
                break;
            }
            assert!(
                Instant::now() < recovered_by,
                "machine {machine} does not confirm the newest document"
            );
            sleep(Duration::from_millis(50)).await;
        }
    }
}

/// Guards against a reopened log that no longer hears the other instances: after all disks were
/// full one after the other, no quorum was left.
#[tokio::test]
async fn changes_are_acknowledged_after_each_of_three_disks_was_full() {
    fill_one_disk_after_the_other(3, Duration::from_secs(3)).await;
}

/// The same with four voters, of which one is silent long enough to be removed.
#[tokio::test]
async fn changes_are_acknowledged_after_each_of_four_disks_was_full() {
    fill_one_disk_after_the_other(4, Duration::from_secs(10)).await;
}

/// The same with six voters.
#[tokio::test]
async fn changes_are_acknowledged_after_each_of_six_disks_was_full() {
    fill_one_disk_after_the_other(6, Duration::from_secs(3)).await;
}

/// The same with eight voters.
#[tokio::test]
async fn changes_are_acknowledged_after_each_of_eight_disks_was_full() {
    fill_one_disk_after_the_other(8, Duration::from_secs(3)).await;
}
