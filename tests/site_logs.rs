//! Tests logging under load.

mod site_support;

use futures::{StreamExt, stream};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use site_support::{Site, call, document, proper, wait_for, wait_routable};

/// Number of requests whose log lines exceed a pipe of 64 KiB and the queue of 2,048 lines.
const REQUESTS: usize = 4_000;

/// Guards against requests that block because nobody reads the log.
#[tokio::test]
async fn unread_log_does_not_block_requests() {
    let mut site = Site::serving(&document(1)).await;
    site.restart_entry_with_unread_output(1);
    site.wait_ready(1).await;
    let mut stream = TcpStream::connect(site.caller_address(1)).await.unwrap();
    let mut answer = vec![0; 4_096];
    for _ in 0..REQUESTS {
        stream
            .write_all(b"GET /none HTTP/1.1\r\nHost: calls.example\r\n\r\n")
            .await
            .unwrap();
        let length = stream.read(&mut answer).await.unwrap();
        assert!(answer[..length].starts_with(b"HTTP/1.1 404"));
    }
    let dropped = site
        .entry_metric(1, "lilac_log_lines_dropped_total{kind=\"info\"}")
        .await
        .unwrap();
    assert!(dropped > 0.0 && dropped < 4_000.0, "{dropped}");
}

/// Guards against routine log lines that are lost without being counted, at any rate of calls.
#[tokio::test]
async fn every_routine_line_is_written_or_counted() {
    const CALLS: u32 = 1_000;
    let mut site = Site::serving(&document(1)).await;
    let _plain = site.upstream("plain", proper).await;
    wait_routable(&site, "/safe/warm").await;
    let calls = (0..CALLS).map(|n| {
        let site = &site;
        async move { call(site, "/safe/x", &format!("id-{n}")).await.status() }
    });
    let statuses: Vec<_> = stream::iter(calls).buffer_unordered(16).collect().await;
    assert!(statuses.iter().all(|status| *status == 200));
    let metric = async |name: &str| site.entry_metric(1, name).await.unwrap();
    let lost = metric("lilac_log_lines_sampled_out_total").await
        + metric("lilac_log_lines_dropped_total{kind=\"routine\"}").await;
    wait_for("all lines that were not dropped are written", || async {
        let lines = site.log_lines("entry-1", "\"request\":\"id-");
        f64::from(u32::try_from(lines.len()).unwrap()) + lost >= f64::from(CALLS)
    })
    .await;
}

/// Guards against a log line of a plain call without the data by which its instance was chosen: one
/// of several faulty instances could not be found afterwards.
#[tokio::test]
async fn plain_call_logs_the_data_by_which_its_instance_was_chosen() {
    let mut site = Site::serving(&document(1)).await;
    let _plain = site.upstream("plain", proper).await;
    wait_routable(&site, "/safe/warm").await;
    assert_eq!(call(&site, "/safe/x", "id-7").await.status(), 200);
    wait_for("the line is written", || async {
        !site.log_lines("entry-1", "id-7").is_empty()
    })
    .await;
    let line = site.log_lines("entry-1", "id-7").remove(0);
    for field in [
        "attempt",
        "running",
        "average_ms",
        "failed_percent",
        "observed_age_ms",
    ] {
        assert!(line.contains(&format!("\"{field}\":")), "{field}: {line}");
    }
}
