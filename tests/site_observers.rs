//! Tests control instances on machines without a disk, and the loss of as many disks as the cluster
//! tolerates.

mod site_support;

use site_support::{Site, document, wait_for};

async fn is_in_force(site: &Site, machine: u8, body: &[u8]) -> bool {
    site.read_back(machine).await.as_deref() == Some(body)
}

/// Guards against a cluster that never forms because one of the configured machines has no disk,
/// and against operators and entries that do not get from such a machine to the leader.
#[tokio::test]
async fn configured_machine_without_a_disk_redirects_to_the_leader() {
    let mut site = Site::new(3).await;
    site.start_observer(1, true);
    for machine in 2..=4 {
        site.start_control(machine, true);
    }
    let body = document(1).to_string().into_bytes();
    assert_eq!(site.publish_bytes(1, body.clone()).await, 200);
    for machine in 1..=4 {
        wait_for("the document is read back", || {
            is_in_force(&site, machine, &body)
        })
        .await;
    }
    site.set_seeds(&[1]);
    site.start_entry(1);
    site.wait_ready(1).await;
    // It may be the leader that the instance without a disk has named so far.
    site.kill("control-2");
    let body = document(2).to_string().into_bytes();
    assert_eq!(site.publish_bytes(1, body.clone()).await, 200);
    wait_for("the document is read back", || is_in_force(&site, 1, &body)).await;
}

/// Guards against two clusters, or none, when none of the configured machines has a disk.
#[tokio::test]
async fn one_cluster_forms_when_no_configured_machine_has_a_disk() {
    let mut site = Site::new(3).await;
    for machine in 1..=3 {
        site.start_observer(machine, true);
    }
    for machine in 4..=6 {
        site.start_control(machine, true);
    }
    let body = document(1).to_string().into_bytes();
    assert_eq!(site.publish_bytes(2, body.clone()).await, 200);
    for machine in 4..=6 {
        wait_for("the document is read back", || {
            is_in_force(&site, machine, &body)
        })
        .await;
    }
    // Machines without a disk forget the cluster when they restart; its members call them.
    for machine in 1..=3 {
        site.kill(&format!("control-{machine}"));
    }
    for machine in 1..=3 {
        site.start_observer(machine, false);
    }
    site.start_entry(1);
    site.wait_ready(1).await;
}

/// Guards against a cluster of five that does not recover from two lost disks. In the load scenario
/// trouble-2 of the enlarged site chalkline, seed 805347995861, it had four voters, and two disks
/// were left.
#[tokio::test]
async fn five_instances_survive_the_loss_of_two_disks_while_all_are_down() {
    let mut site = Site::new(3).await;
    for machine in 1..=5 {
        site.start_control(machine, true);
    }
    let body = document(1).to_string().into_bytes();
    assert_eq!(site.publish_bytes(1, body.clone()).await, 200);
    wait_for("all five instances are voters", || async {
        let logs_five_voters = |machine: u8| {
            let name = format!("control-{machine}");
            !site.log_lines(&name, "\"voters\":5").is_empty()
        };
        (1..=5).any(logs_five_voters)
    })
    .await;
    for machine in 1..=5 {
        site.kill(&format!("control-{machine}"));
    }
    for machine in [1, 4] {
        std::fs::remove_dir_all(site.data_folder(machine)).unwrap();
    }
    for machine in 1..=5 {
        site.start_control(machine, false);
    }
    for machine in 1..=5 {
        wait_for("the document was recovered", || {
            is_in_force(&site, machine, &body)
        })
        .await;
    }
}

/// Guards against a site that never becomes ready and does not report the reason: no control
/// instance has a disk.
#[tokio::test]
async fn site_without_any_disk_reports_the_reason() {
    let mut site = Site::new(3).await;
    for machine in 1..=2 {
        site.start_observer(machine, true);
    }
    site.start_entry(1);
    wait_for("the entry reports why it is not ready", || async {
        let page = site.readiness_page(1).await;
        page.is_some_and(|page| page.contains("data_folder"))
    })
    .await;
    wait_for("the instance logs the missing setting", || async {
        let lines = site.log_lines("control-1", "no control instance keeps the replicated log");
        !lines.is_empty()
    })
    .await;
}
