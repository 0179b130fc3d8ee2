//! Tests that the load tool resumes broken streams by event id.

use std::fmt::Write;
use std::sync::Arc;

use lilacspindle::bench::client::Targets;
use lilacspindle::bench::load::replay_arrivals;
use lilacspindle::bench::report::RunReport;
use lilacspindle::bench::workload::{Mix, Workload, WorkloadOptions};
use lilacspindle::roles::standin::tokens::TokenSource;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Reads a request and returns the number in `Last-Event-ID`, if any, and the JSON body.
async fn read_request(stream: &mut TcpStream) -> Option<(Option<u32>, Value)> {
    let mut bytes = Vec::new();
    loop {
        stream.read_buf(&mut bytes).await.ok().filter(|n| *n > 0)?;
        let text = String::from_utf8_lossy(&bytes).into_owned();
        let Some((head, body)) = text.split_once("\r\n\r\n") else {
            continue;
        };
        if let Ok(body) = serde_json::from_str(body) {
            let head = head.to_lowercase();
            let id = head
                .lines()
                .find_map(|line| line.strip_prefix("last-event-id: "));
            return Some((id.and_then(|id| id.parse().ok()), body));
        }
    }
}

/// Sends the first half of a stream to a request without an event id, and to one that resumes, the
/// rest after the event id without its first `skip` tokens.
async fn answer(stream: &mut TcpStream, skip: u32) -> Option<()> {
    let (id, body) = read_request(stream).await?;
    let prompt = body["prompt"].as_str()?;
    let length = u32::try_from(body["target_tokens"].as_u64()?).ok()?;
    let length = length.min(u32::try_from(body["max_tokens"].as_u64()?).ok()?);
    let source = TokenSource::new("v1", prompt, 9);
    let (from, to) = match id {
        None => (0, length.div_ceil(2)),
        Some(id) => (id + skip, length),
    };
    let mut events = String::new();
    for offset in from..to {
        let chunk = json!({"choices": [{"text": source.token(offset)}]});
        let _ = write!(events, "id: {}\ndata: {chunk}\n\n", offset + 1);
    }
    if id.is_some() {
        events.push_str("data: [DONE]\n\n");
    }
    let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nconnection: close\r\n\r\n";
    stream.write_all(head.as_bytes()).await.ok()?;
    stream.write_all(events.as_bytes()).await.ok()
}

async fn replay(skip: u32) -> (RunReport, u64) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let url = format!("http://{}", listener.local_addr().expect("address"));
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move { answer(&mut stream, skip).await });
        }
    });
    let mut workload = Workload::draw(&WorkloadOptions {
        mix: Mix::Chalkline,
        seed: 7,
        requests_per_s: 300.0,
        duration_ms: 500,
        length_scale: 0.05,
        even_traffic: false,
    });
    // Keeps only essays, as the server handles no other requests, and of more than 8 tokens, so
    // that both halves have some.
    workload
        .arrivals
        .retain(|arrival| arrival.kind == 0 && arrival.target_tokens > 8);
    let total = workload.arrivals.len() as u64;
    assert!(total > 5);
    let targets = Targets {
        urls: vec![url],
        versions: vec!["v1".to_owned()],
        ..Targets::default()
    };
    let recorder = replay_arrivals("resume", targets, &Arc::new(workload), 1.0).await;
    (recorder.expect("the replay runs").report(), total)
}

/// Guards against broken streams that are not resumed, or are resumed at the wrong token.
#[tokio::test(flavor = "multi_thread")]
async fn broken_streams_are_resumed() {
    let (report, total) = replay(0).await;
    assert_eq!(report.faults, Vec::<String>::new());
    assert_eq!(report.outcomes.get("complete"), Some(&total));
}

/// Guards against a token that is lost where a stream broke, but not detected.
#[tokio::test(flavor = "multi_thread")]
async fn a_token_lost_at_the_break_is_found() {
    let (report, total) = replay(1).await;
    assert_eq!(report.outcomes.get("wrong"), Some(&total));
    // A stream that restarted from its first token would be reported as a duplicate token.
    let fault = &report.faults[0];
    assert!(
        fault.contains("tokens missing: offset") && !fault.contains("repeated"),
        "{fault}"
    );
}
