//! Replicas in one process, over loopback connections and real disks.

use std::path::PathBuf;
use std::time::Duration;

use lilacspindle::bench::log::{Cluster, ClusterOptions};

const LIMIT: Duration = Duration::from_secs(20);
/// The stated bound on failover of control.
const FAILOVER: Duration = Duration::from_secs(5);

/// A folder that is removed when the test ends.
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
    }
}

async fn submit_all(cluster: &Cluster, commands: std::ops::Range<u64>) {
    for number in commands {
        let answer = cluster.submit(&number.to_le_bytes(), LIMIT).await;
        assert!(answer.is_some(), "command {number} was not answered");
    }
}

fn distinct(cluster: &Cluster, number: usize) -> usize {
    let mut commands = cluster.register(number).commands();
    commands.sort();
    commands.dedup();
    commands.len()
}

/// Guards against a single voter that forgets commands over a restart, with and without snapshots.
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
    assert_eq!(distinct(&cluster, 0), 401);
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
    assert_eq!(distinct(&cluster, follower), 311);
}
