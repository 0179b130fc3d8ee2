//! The room that a replicated log of large commands takes on disk.

use std::path::{Path, PathBuf};
use std::time::Duration;

use lilacspindle::bench::log::{Cluster, ClusterOptions};

const LIMIT: Duration = Duration::from_secs(20);
/// Half of the smallest disk of the platform, which holds 64 MB: a replica that receives a snapshot
/// keeps its old log meanwhile.
const ROOM_BYTES: u64 = 32_000_000;
/// Nearly the largest command.
const COMMAND_BYTES: usize = 2_000_000;

/// A temporary folder, removed when the test ends.
struct Folder(PathBuf);

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Returns the bytes of the files in a data folder. Files that are removed meanwhile count nothing.
fn used_bytes(folder: &Path) -> u64 {
    let files = std::fs::read_dir(folder).unwrap();
    let lengths = files.filter_map(|file| Some(file.ok()?.metadata().ok()?.len()));
    lengths.sum()
}

/// Submits large commands and returns the most bytes that any of the replicas took on disk.
async fn submit_large(cluster: &Cluster, count: u8) -> u64 {
    let mut most = 0;
    for number in 0..count {
        let command = vec![number; COMMAND_BYTES];
        assert!(cluster.submit(&command, LIMIT).await.is_some(), "{number}");
        let used = (0..3).map(|replica| used_bytes(cluster.folder(replica)));
        most = used.max().max(Some(most)).unwrap_or(most);
    }
    most
}

/// Guards against a log of few but large commands that fills the disk, also while a replica is away
/// and has to be sent a snapshot.
#[tokio::test(flavor = "multi_thread")]
async fn log_of_large_commands_leaves_room_on_the_disk() {
    let name = format!("lilac-room-{:016x}", rand::random::<u64>());
    let folder = Folder(std::env::temp_dir().join(name));
    let options = ClusterOptions {
        replicas: 3,
        election_ms: 500,
        snapshot_entries: 32,
        keep_commands: false,
    };
    let mut cluster = Cluster::start(&folder.0, options).await.unwrap();
    let mut most = submit_large(&cluster, 40).await;
    let away = (cluster.leader().unwrap() + 1) % 3;
    cluster.kill(away).await;
    most = most.max(submit_large(&cluster, 40).await);
    cluster.open(away).unwrap();
    most = most.max(submit_large(&cluster, 40).await);
    let has_all = |cluster: &Cluster| cluster.command_counter(away).count() >= 120;
    assert!(cluster.wait(LIMIT, has_all).await, "no snapshot arrived");
    assert!(most <= ROOM_BYTES, "{most} bytes on one disk");
}
