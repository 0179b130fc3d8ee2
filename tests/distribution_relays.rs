//! Distribution of the view through relays: all instances in one process, connected over TCP.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use lilacspindle::bench::distribution::fleet::{
    DaemonSpec, Process, edit, start_control, start_controls, start_daemon, wait_for_version,
    workspace_change,
};
use lilacspindle::domain::members::Role;
use lilacspindle::model::TableVersion;
use lilacspindle::roles::control::ControlRole;
use lilacspindle::roles::subscriber::InForce;

/// Required bound: an accepted edit is in force on 100 subscribers within 2 s.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(2);
const WAIT_LIMIT: Duration = Duration::from_secs(20);

async fn start_daemons(count: u64, control: &[SocketAddr], max_watchers: usize) -> Vec<Process> {
    let mut processes = Vec::new();
    for number in 0..count {
        let spec = DaemonSpec {
            max_watchers,
            ..DaemonSpec::new(&format!("d{number}"), number, Role::Sidecar)
        };
        processes.push(start_daemon(&spec, control).await.unwrap());
    }
    processes
}

async fn wait_all_ready(processes: &[Process], version: TableVersion) {
    for process in processes {
        assert!(wait_for_version(process, version, WAIT_LIMIT).await);
        let end = Instant::now() + WAIT_LIMIT;
        while !process.subscriber.is_ready() {
            assert!(
                Instant::now() < end,
                "{:?} is not ready",
                process.subscriber.me()
            );
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

/// Waits until the control instance counts exactly `count` processes and a version in force on all.
async fn wait_all_counted(role: &ControlRole, version: TableVersion, count: u32) {
    let expected = InForce {
        processes: count,
        known: count,
    };
    let end = Instant::now() + WAIT_LIMIT;
    while role.in_force(version) != expected {
        assert!(Instant::now() < end, "{:?}", role.in_force(version));
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against relays that delay edits, a control instance that serves more watchers than its
/// limit, and a report that a version is in force that comes too early or never.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn edit_is_in_force_on_100_subscribers_within_two_seconds() {
    let control = start_control(8).await.unwrap();
    let processes = start_daemons(100, &[control.address], 8).await;
    let version = edit(&control, "first", vec![workspace_change("w", None, 1)])
        .await
        .unwrap();
    wait_all_ready(&processes, version).await;
    let role = control.control.as_ref().unwrap();
    wait_all_counted(role, version, 101).await;
    for number in 2..6 {
        let began = Instant::now();
        let change = workspace_change("w", None, number);
        let version = edit(&control, &format!("edit-{number}"), vec![change])
            .await
            .unwrap();
        let in_force = role.wait_in_force(version, IN_FORCE_LIMIT).await;
        let took = began.elapsed();
        let behind = processes
            .iter()
            .filter(|process| process.subscriber.store().version() < version);
        assert_eq!(behind.count(), 0, "after {took:?}");
        assert_eq!((in_force.processes, in_force.known), (101, 101));
        println!("edit {number}: known to be in force on 100 subscribers after {took:?}");
    }
}

/// Guards against a leader that does not count the processes that watch other control instances.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn leader_counts_the_subtrees_of_all_control_instances() {
    let controls = start_controls(3, 4).await.unwrap();
    let addresses: Vec<_> = controls.iter().map(|control| control.address).collect();
    let processes = start_daemons(30, &addresses, 4).await;
    let version = edit(&controls[0], "first", vec![workspace_change("w", None, 1)])
        .await
        .unwrap();
    wait_all_ready(&processes, version).await;
    let role = controls[0].control.as_ref().unwrap();
    wait_all_counted(role, version, 33).await;
}

/// Guards against subscribers that keep watching a relay that has stopped.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn subscribers_leave_a_stopped_relay() {
    let control = start_control(2).await.unwrap();
    let mut processes = start_daemons(12, &[control.address], 2).await;
    let version = edit(&control, "first", vec![workspace_change("w", None, 1)])
        .await
        .unwrap();
    wait_all_ready(&processes, version).await;
    let relay = processes
        .iter()
        .position(|process| {
            let others = processes.iter();
            let source = Some(process.address);
            others
                .filter(|other| other.subscriber.source() == source)
                .count()
                > 0
        })
        .expect("some process is a relay");
    // Stopping the relay does not close the connections that it has accepted, so it is also marked
    // as leaving.
    let stopped = processes.remove(relay);
    stopped.subscriber.set_leaving();
    stopped.stop();
    let version = edit(&control, "second", vec![workspace_change("w", None, 2)])
        .await
        .unwrap();
    for process in &processes {
        assert!(wait_for_version(process, version, Duration::from_secs(12)).await);
    }
}
