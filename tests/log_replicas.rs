//! Tests of replicas in one process, over loopback connections and real files.

use std::path::PathBuf;
use std::time::Duration;

use lilacspindle::adapters::disk::FileOps;
use lilacspindle::bench::log::{Cluster, ClusterOptions};
use lilacspindle::model::InstanceName;
use lilacspindle::roles::control::replica::{Replica, SubmitError};

const LIMIT: Duration = Duration::from_secs(20);
/// Required limit on the time of a control failover.
const FAILOVER: Duration = Duration::from_secs(5);
/// Required time after which an unresponsive connection is replaced.
const SILENCE: Duration = Duration::from_secs(2);

/// A temporary folder, removed when the test ends.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let unique = format!(
            "lilac-{name}-{}-{:016x}",
            std::process::id(),
            rand::random::<u64>()
        );
        let path = std::env::temp_dir().join(unique);
        std::fs::create_dir_all(&path).unwrap();
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn options(replicas: usize) -> ClusterOptions {
    ClusterOptions {
        replicas,
        election_ms: 500,
        snapshot_entries: 64,
        keep_commands: true,
    }
}

async fn submit_all(cluster: &Cluster, commands: std::ops::Range<u64>) {
    for number in commands {
        let answer = cluster.submit(&number.to_le_bytes(), LIMIT).await;
        assert!(answer.is_some(), "command {number} was not answered");
    }
}

fn distinct_commands(cluster: &Cluster, number: usize) -> usize {
    let mut commands = cluster.command_counter(number).commands();
    commands.sort();
    commands.dedup();
    commands.len()
}

/// Guards against a single voter that loses commands on restart, with and without snapshots.
#[tokio::test(flavor = "multi_thread")]
async fn single_voter_keeps_commands_over_restarts() {
    let folder = Folder::new("single");
    let mut cluster = Cluster::start(&folder.0, options(1)).await.unwrap();
    for round in 0..4 {
        submit_all(&cluster, round * 100..(round + 1) * 100).await;
        cluster.kill(0).await;
        cluster.open(0).unwrap();
    }
    assert!(cluster.submit(b"last", LIMIT).await.is_some());
    assert_eq!(distinct_commands(&cluster, 0), 401);
}

/// Guards against a cluster that does not form, loses commands when all replicas restart, or does
/// not elect another leader in time.
#[tokio::test(flavor = "multi_thread")]
async fn three_voters_survive_restarts_and_a_lost_leader() {
    let folder = Folder::new("three");
    let mut cluster = Cluster::start(&folder.0, options(3)).await.unwrap();
    submit_all(&cluster, 0..300).await;
    for number in 0..3 {
        cluster.kill(number).await;
    }
    for number in 0..3 {
        cluster.open(number).unwrap();
    }
    submit_all(&cluster, 300..310).await;
    let leader = cluster.leader().unwrap();
    cluster.kill(leader).await;
    assert!(
        cluster.submit(b"after", FAILOVER).await.is_some(),
        "no new leader in 5 s"
    );
    let follower = (leader + 1) % 3;
    let index = cluster
        .replica(follower)
        .unwrap()
        .confirm(LIMIT)
        .await
        .unwrap();
    assert!(index >= 311);
    assert_eq!(distinct_commands(&cluster, follower), 311);
}

/// Waits until every instance is a voter under exactly one identity, the given instance under its
/// present one, and no learners are left. Returns false on time-out.
async fn wait_until_rejoined(cluster: &Cluster, replicas: usize, number: usize) -> bool {
    let name = InstanceName::from(format!("control-{number}").as_str());
    let done = |cluster: &Cluster| {
        let Some(own) = cluster
            .replica(number)
            .map(|replica| replica.status().identity.0)
        else {
            return false;
        };
        let Some(leader) = cluster.leader() else {
            return false;
        };
        let voters = cluster.voters(leader);
        let status = cluster.replica(leader).map(Replica::status);
        voters.len() == replicas
            && voters.values().all(|identities| identities.len() == 1)
            && voters.get(&name) == Some(&vec![own])
            && status.is_some_and(|status| status.learners.is_empty())
    };
    cluster.wait(LIMIT, done).await
}

/// Commits hundreds of commands, loses the leader's disk, and right after the repair loses another
/// instance permanently. In a cluster of five, a third instance is lost as well, which leaves a
/// quorum of three.
async fn lose_disk_then_other_instances(replicas: usize) {
    let folder = Folder::new("repair");
    let mut cluster = Cluster::start(&folder.0, options(replicas)).await.unwrap();
    submit_all(&cluster, 0..300).await;
    let lost = cluster.leader().unwrap();
    let old = cluster.replica(lost).unwrap().status().identity;
    cluster.kill(lost).await;
    cluster.delete_data_folder(lost).unwrap();
    cluster.open(lost).unwrap();
    assert_ne!(cluster.replica(lost).unwrap().status().identity, old);
    assert!(
        wait_until_rejoined(&cluster, replicas, lost).await,
        "the replica did not rejoin after the loss of its disk"
    );
    for gone in 1..=replicas / 2 {
        let gone = (lost + gone) % replicas;
        cluster.kill(gone).await;
        cluster.delete_data_folder(gone).unwrap();
    }
    assert!(
        cluster
            .submit(&300u64.to_le_bytes(), FAILOVER)
            .await
            .is_some(),
        "no quorum in 5 s"
    );
    let index = cluster.replica(lost).unwrap().confirm(LIMIT).await.unwrap();
    assert!(index > 300);
    assert_eq!(distinct_commands(&cluster, lost), 301, "commands were lost");
}

/// Guards against a rejoined replica that lacks committed data, with three voters.
#[tokio::test(flavor = "multi_thread")]
async fn three_voters_lose_a_disk_and_then_an_instance() {
    lose_disk_then_other_instances(3).await;
}

/// Guards against a rejoined replica that lacks committed data, with five voters.
#[tokio::test(flavor = "multi_thread")]
async fn five_voters_lose_a_disk_and_then_two_instances() {
    lose_disk_then_other_instances(5).await;
}

/// Guards against a leadership transfer that loses commands or leaves no leader, and followers that
/// confirm reads without a quorum.
#[tokio::test(flavor = "multi_thread")]
async fn leadership_transfer_keeps_commands_and_reads_need_a_quorum() {
    let folder = Folder::new("leadership-transfer");
    let mut cluster = Cluster::start(&folder.0, options(3)).await.unwrap();
    submit_all(&cluster, 0..20).await;
    let before = cluster.leader().unwrap();
    assert!(cluster.replica(before).unwrap().transfer_leadership().await);
    let moved = |cluster: &Cluster| cluster.leader().is_some_and(|leader| leader != before);
    assert!(
        cluster.wait(FAILOVER, moved).await,
        "leadership was not transferred"
    );
    submit_all(&cluster, 20..30).await;
    for number in 0..3 {
        cluster
            .replica(number)
            .unwrap()
            .confirm(LIMIT)
            .await
            .unwrap();
        assert_eq!(distinct_commands(&cluster, number), 30);
    }
    let refused = cluster
        .replica(before)
        .unwrap()
        .submit(vec![1], LIMIT)
        .await;
    let leader = cluster
        .replica(before)
        .unwrap()
        .status()
        .leader
        .map(|leader| leader.address);
    assert_eq!(refused, Err(SubmitError::NotLeader { leader }));
    // Without a quorum nothing is confirmed.
    cluster.kill((before + 1) % 3).await;
    cluster.kill((before + 2) % 3).await;
    let alone = cluster.replica(before).unwrap();
    let unconfirmed = alone.confirm(Duration::from_secs(2)).await;
    assert_eq!(unconfirmed, Err(SubmitError::Undecided));
}

/// Guards against a replica that continues after a failed sync, and a failed replica that stops the
/// whole cluster.
#[tokio::test(flavor = "multi_thread")]
async fn failed_sync_stops_only_the_replica() {
    let folder = Folder::new("sync");
    let mut cluster = Cluster::bind(&folder.0, options(3)).await.unwrap();
    let mut ops = FileOps::real();
    let mut real_sync = std::mem::replace(&mut ops.sync, Box::new(|_| Ok(())));
    let mut syncs = 0;
    ops.sync = Box::new(move |path| {
        syncs += 1;
        if syncs > 30 {
            return Err(std::io::Error::other("input/output error"));
        }
        real_sync(path)
    });
    cluster.open_with(0, ops).unwrap();
    cluster.open(1).unwrap();
    cluster.open(2).unwrap();
    submit_all(&cluster, 0..60).await;
    let stopped = |cluster: &Cluster| cluster.replica(0).unwrap().status().stopped.is_some();
    assert!(cluster.wait(LIMIT, stopped).await);
    let reason = cluster.replica(0).unwrap().status().stopped.unwrap();
    assert!(
        reason.contains("cannot sync") && reason.contains("check the disk"),
        "{reason}"
    );
    let refused = cluster.replica(0).unwrap().submit(vec![1], LIMIT).await;
    assert_eq!(refused, Err(SubmitError::Stopped));
    submit_all(&cluster, 60..70).await;
}

/// Guards against replicas that wait forever on connections that stay open but never answer.
#[tokio::test(flavor = "multi_thread")]
async fn silent_connections_are_replaced() {
    let folder = Folder::new("silent");
    let cluster = Cluster::start(&folder.0, options(3)).await.unwrap();
    submit_all(&cluster, 0..20).await;
    for number in 0..3 {
        cluster.silence_connections(number);
    }
    let answer = cluster
        .submit(&20u64.to_le_bytes(), SILENCE + FAILOVER)
        .await;
    assert!(
        answer.is_some(),
        "no command was committed after the connections went silent"
    );
    // A majority may recover over connections that were not used before, so every replica is
    // checked.
    for number in 0..3 {
        let confirmed = cluster
            .replica(number)
            .unwrap()
            .confirm(SILENCE + FAILOVER)
            .await;
        assert!(confirmed.is_ok(), "instance {number}: {confirmed:?}");
        assert_eq!(distinct_commands(&cluster, number), 21);
    }
}

/// Guards against a new cluster being formed before every configured instance has answered, since
/// one that has not may belong to an existing cluster.
#[tokio::test(flavor = "multi_thread")]
async fn no_cluster_forms_before_all_peers_answer() {
    let folder = Folder::new("formation");
    let mut cluster = Cluster::bind(&folder.0, options(3)).await.unwrap();
    cluster.open(0).unwrap();
    cluster.open(1).unwrap();
    assert_eq!(cluster.submit(b"early", Duration::from_secs(1)).await, None);
    for number in 0..2 {
        assert_eq!(cluster.replica(number).unwrap().status().cluster, None);
    }
    cluster.open(2).unwrap();
    submit_all(&cluster, 0..5).await;
    let known = |number| cluster.replica(number).unwrap().status().cluster;
    assert!(
        cluster
            .wait(LIMIT, |_| known(1) == known(0) && known(2) == known(0))
            .await
    );
}
