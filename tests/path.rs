//! End-to-end tests with real processes: entries, sidecars, control, and stand-ins for engines and
//! services.

mod common;

use std::time::Duration;

use common::{Fleet, client, completion, read_stream, workspace_row};
use lilacspindle::bench::checker::check_answer;
use lilacspindle::domain::state::RowChange;
use lilacspindle::domain::table::RowKey;
use lilacspindle::model::WorkspaceName;

/// Guards against answers that are lost, duplicated or mixed up between caller and engine, and
/// against a table edit that does not reach the entries.
#[tokio::test(flavor = "multi_thread")]
async fn every_kind_of_call_is_served_and_an_edit_limits_the_next_request() {
    let mut fleet = Fleet::new();
    fleet.start_path(1).await;

    // A streamed answer.
    let answer = completion(&fleet.url("entry-1"), "essay", "a long essay", 300, true)
        .send()
        .await
        .unwrap();
    assert_eq!(answer.status(), 200);
    assert!(answer.headers().contains_key("lilac-request-id"));
    let streamed = read_stream(answer, |_| false).await;
    assert!(streamed.done, "{streamed:?}");
    check_answer(&["v1"], "a long essay", &streamed.text, Some(300)).unwrap();

    // An answer that is not streamed.
    let answer = completion(&fleet.url("entry-2"), "hint", "a word", 20, false)
        .send()
        .await
        .unwrap();
    let body: serde_json::Value = answer.json().await.unwrap();
    check_answer(
        &["v1"],
        "a word",
        body["choices"][0]["text"].as_str().unwrap(),
        Some(20),
    )
    .unwrap();

    // A chat completion.
    let body = serde_json::json!({
        "model": "tutor", "max_tokens": 100, "target_tokens": 10,
        "messages": [{"role": "user", "content": "hello"}],
    });
    let answer = client()
        .post(format!("{}/v1/chat/completions", fleet.url("entry-1")))
        .header("Lilac-Workspace", "demo")
        .header("Lilac-Kind", "hint")
        .json(&body)
        .send()
        .await
        .unwrap();
    assert_eq!(answer.status(), 200);
    let body: serde_json::Value = answer.json().await.unwrap();
    assert!(
        !body["choices"][0]["message"]["content"]
            .as_str()
            .unwrap()
            .is_empty()
    );

    // A service call.
    let answer = client()
        .post(format!("{}/svc/cards/progress/17", fleet.url("entry-1")))
        .header("Lilac-Workspace", "demo")
        .header("Lilac-Kind", "card")
        .body("{}")
        .send()
        .await
        .unwrap();
    assert_eq!(answer.status(), 200);

    // The edit limits the workspace to one slot. While a long answer uses it, both entries refuse
    // further requests.
    let change = RowChange {
        key: RowKey::Workspace(WorkspaceName::from("demo")),
        row: Some(workspace_row(Some(1))),
    };
    let version = fleet
        .edit("room", fleet.rows_version, vec![change])
        .await
        .unwrap();
    assert!(version > fleet.rows_version);
    tokio::time::sleep(Duration::from_secs(2)).await;
    let running = completion(
        &fleet.url("entry-1"),
        "essay",
        "in the only slot",
        3_000,
        true,
    )
    .send()
    .await
    .unwrap();
    assert_eq!(running.status(), 200);
    for entry in ["entry-1", "entry-2"] {
        let answer = completion(&fleet.url(entry), "hint", "a word", 5, false)
            .send()
            .await
            .unwrap();
        let status = answer.status();
        let body: serde_json::Value = answer.json().await.unwrap();
        assert_eq!(status, 429, "{body}");
        assert_eq!(body["error"]["outcome"], "not_run");
    }
    fleet.assert_no_violations().await;
}

/// Guards against a graceful stop of an entry or a sidecar that cuts off an open answer, and
/// against requests that fail afterwards.
#[tokio::test(flavor = "multi_thread")]
async fn a_graceful_stop_of_an_entry_and_a_sidecar_cuts_off_no_answer() {
    let mut fleet = Fleet::new();
    fleet.start_path(1).await;
    let mut readers = Vec::new();
    for entry in ["entry-1", "entry-2"] {
        for number in 0..4 {
            let prompt = format!("report {number} through {entry}");
            let answer = completion(&fleet.url(entry), "essay", &prompt, 400, true)
                .send()
                .await
                .unwrap();
            readers.push((prompt, tokio::spawn(read_stream(answer, |_| false))));
        }
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    fleet.signal("entry-1", "TERM");
    fleet.signal("sidecar-1", "TERM");
    for (prompt, reader) in readers {
        let streamed = reader.await.unwrap();
        assert!(streamed.done, "{prompt}: {streamed:?}");
        check_answer(&["v1"], &prompt, &streamed.text, Some(400)).unwrap();
    }
    fleet.wait_ended("entry-1", Duration::from_secs(20)).await;
    fleet.wait_ended("sidecar-1", Duration::from_mins(1)).await;
    let answer = completion(&fleet.url("entry-2"), "hint", "after the stop", 5, false)
        .send()
        .await
        .unwrap();
    assert_eq!(answer.status(), 200);
    fleet.assert_no_violations().await;
}
