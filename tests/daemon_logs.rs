//! Log lines of a daemon whose standard output is full or slow.

mod common;

use std::fs::OpenOptions;
use std::io::{Read, Write};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use common::Fleet;
use tokio::time::sleep;

/// Number of bytes that a pipe takes before a write to it blocks.
const PIPE_BYTES: usize = 65_536;
const METRIC_TIMEOUT: Duration = Duration::from_secs(10);

fn spawn(settings: &Path, output: impl Into<Stdio>) -> Child {
    Command::new(env!("CARGO_BIN_EXE_lilacspindled"))
        .arg("run")
        .arg(settings)
        .stdout(output)
        .spawn()
        .unwrap()
}

/// Guards against lines that are lost without a count if writing them fails, as on a full disk.
#[tokio::test(flavor = "multi_thread")]
async fn lines_that_cannot_be_written_are_counted() {
    let mut fleet = Fleet::new();
    fleet.start_control(1).await;
    fleet.kill("control-1");
    let full = OpenOptions::new().write(true).open("/dev/full").unwrap();
    let mut daemon = spawn(&fleet.daemons["control-1"].settings, full);
    fleet.wait_ready("control-1").await;
    let deadline = Instant::now() + METRIC_TIMEOUT;
    let dropped = loop {
        let metrics = fleet.metrics("control-1").await;
        let prefix = "lilac_log_lines_dropped_total{kind=\"info\"} ";
        let value = metrics.lines().find_map(|line| line.strip_prefix(prefix));
        let dropped: f64 = value.unwrap().parse().unwrap();
        if dropped > 0.0 || Instant::now() > deadline {
            break dropped;
        }
        sleep(Duration::from_millis(20)).await;
    };
    daemon.kill().unwrap();
    daemon.wait().unwrap();
    assert!(dropped > 0.0, "no line was counted");
}

/// Guards against a daemon that ends before the line with the cause of its end is written.
#[tokio::test(flavor = "multi_thread")]
async fn cause_of_a_failed_start_is_written_before_the_end() {
    let mut fleet = Fleet::new();
    fleet.start_control(1).await;
    let (mut output, mut input) = std::io::pipe().unwrap();
    // Fills the pipe, so that the line waits until the pipe is read.
    input.write_all(&vec![b'\n'; PIPE_BYTES]).unwrap();
    let mut second = spawn(&fleet.daemons["control-1"].settings, input);
    sleep(Duration::from_millis(200)).await;
    let mut text = String::new();
    output.read_to_string(&mut text).unwrap();
    assert!(!second.wait().unwrap().success());
    assert!(
        text.contains("cannot listen on rpc_address"),
        "{}",
        text.trim()
    );
}
