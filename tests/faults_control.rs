//! Fault tests with control instances as real processes: kills, frozen processes, network
//! isolation, lost disks and racing edits.

mod common;

use std::time::{Duration, Instant};

use common::{Fleet, client, workspace_row};
use lilacspindle::domain::state::{EditRefusal, RowChange};
use lilacspindle::domain::table::RowKey;
use lilacspindle::model::{TableVersion, WorkspaceName};
use lilacspindle::proxy::Direction;
use serde_json::Value;

/// Required limit on the time of a control failover.
const FAILOVER: Duration = Duration::from_secs(5);
/// Log lines of each instance that are shown if there is no leader.
const LAST_LOG_LINES: usize = 40;

fn change(name: &str, room: u32) -> RowChange {
    RowChange {
        key: RowKey::Workspace(WorkspaceName::from(name)),
        row: Some(workspace_row(Some(room))),
    }
}

/// Sends a GET request to the operators' API of an instance. Returns `None` unless it answers with
/// status 200 in time.
async fn get(fleet: &Fleet, name: &str, path: &str) -> Option<Value> {
    let url = format!("http://{}{path}", fleet.daemons[name].admin);
    let call = client()
        .get(url)
        .bearer_auth("secret")
        .timeout(Duration::from_secs(4))
        .send();
    let answer = call.await.ok()?;
    match answer.status().as_u16() {
        200 => answer.json().await.ok(),
        _ => None,
    }
}

/// Waits until a running instance that is not in `except` leads, and returns its name.
async fn leader(fleet: &Fleet, except: &[&str], limit: Duration) -> String {
    let start = Instant::now();
    let names: Vec<String> = fleet.peers.iter().map(|(name, _)| name.clone()).collect();
    while start.elapsed() < limit {
        for name in names.iter().filter(|name| !except.contains(&name.as_str())) {
            let status = get(fleet, name, "/v1/status").await;
            if status.is_some_and(|status| status["log"]["role"] == "leader") {
                return name.clone();
            }
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let mut seen = Vec::new();
    for name in names.iter().filter(|name| !except.contains(&name.as_str())) {
        let status = get(fleet, name, "/v1/status").await.unwrap_or_default();
        let log = std::fs::read_to_string(fleet.log_file(name)).unwrap_or_default();
        let lines: Vec<&str> = log.lines().rev().take(LAST_LOG_LINES).collect();
        let lines: Vec<&str> = lines.into_iter().rev().collect();
        seen.push(format!("{name}: {}\n{}", status["log"], lines.join("\n")));
    }
    panic!(
        "no leader within {limit:?}; without {except:?}:\n{}",
        seen.join("\n")
    );
}

/// Returns the voters (name, identity and address) according to an instance's status.
async fn voters(fleet: &Fleet, name: &str) -> Vec<String> {
    let status = get(fleet, name, "/v1/status").await.unwrap_or_default();
    let voters = status["log"]["voters"]
        .as_array()
        .cloned()
        .unwrap_or_default();
    voters
        .iter()
        .map(|voter| voter.as_str().unwrap().to_owned())
        .collect()
}

/// Returns `room_slots` of a workspace from a confirmed read on an instance; `None` if the read
/// fails.
async fn room(fleet: &Fleet, name: &str, workspace: &str) -> Option<u64> {
    let rows = get(fleet, name, &format!("/v1/table/workspace/{workspace}")).await?;
    let row = rows["rows"].as_array()?.first()?;
    let field = &row["fields"]["room_slots"];
    field.as_u64().or_else(|| field.as_str()?.parse().ok())
}

/// Guards against edits that are lost when a leader is killed, loses its disk and rejoins, another
/// leader is killed right after that, and all instances restart after hundreds of edits.
#[tokio::test(flavor = "multi_thread")]
async fn edits_survive_kills_a_lost_disk_and_a_second_loss() {
    let mut fleet = Fleet::new();
    fleet.start_control(3).await;
    let mut base = TableVersion(0);
    for number in 0..150 {
        base = fleet
            .edit(
                &format!("a{number}"),
                base,
                vec![change("steady", number + 1)],
            )
            .await
            .unwrap();
    }
    let first = leader(&fleet, &[], FAILOVER).await;
    fleet.kill(&first);
    base = fleet
        .edit("after-kill", base, vec![change("kill", 7)])
        .await
        .unwrap();

    // The killed leader restarts with an empty data folder, under an identity that has never voted.
    std::fs::remove_dir_all(fleet.data_folder(&first)).unwrap();
    fleet.restart(&first);
    let second = leader(&fleet, &[&first], FAILOVER).await;
    let before = voters(&fleet, &second).await;
    let start = Instant::now();
    loop {
        let now = voters(&fleet, &second).await;
        if now.len() == 3 && now != before {
            break;
        }
        assert!(
            start.elapsed() < Duration::from_secs(20),
            "the new identity is not a voter: {now:?}"
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    fleet.kill(&second);
    let start = Instant::now();
    base = fleet
        .edit("after-second-loss", base, vec![change("second", 8)])
        .await
        .unwrap();
    assert!(start.elapsed() < FAILOVER, "{:?}", start.elapsed());
    let mut last_base = base;
    for number in 0..150 {
        last_base = base;
        base = fleet
            .edit(
                &format!("b{number}"),
                base,
                vec![change("steady", number + 1_000)],
            )
            .await
            .unwrap();
    }
    for (name, _) in fleet.peers.clone() {
        fleet.restart(&name);
    }
    for (name, _) in fleet.peers.clone() {
        fleet.wait_ready(&name).await;
        assert_eq!(room(&fleet, &name, "steady").await, Some(1_149), "{name}");
        assert_eq!(room(&fleet, &name, "kill").await, Some(7), "{name}");
        assert_eq!(room(&fleet, &name, "second").await, Some(8), "{name}");
    }
    // The edit history was kept, and a resent edit is answered as accepted again.
    let history = get(&fleet, "control-1", "/v1/table/history?limit=5")
        .await
        .unwrap();
    assert_eq!(history["entries"].as_array().unwrap().len(), 5);
    let resent = fleet
        .edit("b149", last_base, vec![change("steady", 1_149)])
        .await;
    assert!(resent.is_ok(), "{resent:?}");
    fleet.assert_no_violations().await;
}

/// Guards against a frozen leader that serves stale reads under its expired lease after it resumes,
/// and a failover that takes too long.
#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_leader_serves_nothing_stale() {
    let mut fleet = Fleet::new();
    fleet.start_control(3).await;
    let mut base = fleet
        .edit("first", TableVersion(0), vec![change("frozen", 1)])
        .await
        .unwrap();
    for round in 2..4 {
        let old = leader(&fleet, &[], FAILOVER).await;
        fleet.signal(&old, "STOP");
        let start = Instant::now();
        leader(&fleet, &[&old], FAILOVER).await;
        assert!(start.elapsed() < FAILOVER);
        base = fleet
            .edit(
                &format!("round-{round}"),
                base,
                vec![change("frozen", round)],
            )
            .await
            .unwrap();
        fleet.signal(&old, "CONT");
        for _ in 0..20 {
            // The read may be refused, but must not return an older value.
            let seen = room(&fleet, &old, "frozen").await;
            assert!(
                seen.is_none_or(|seen| seen == u64::from(round)),
                "round {round}: {seen:?}"
            );
        }
    }
    fleet.assert_no_violations().await;
}

/// Guards against more than one accepted edit among concurrent edits with the same base version,
/// and a resent edit that takes effect twice or gets a different answer.
#[tokio::test(flavor = "multi_thread")]
async fn racing_edits_have_one_winner_and_resends_get_the_first_answer() {
    let mut fleet = Fleet::new();
    fleet.start_control(3).await;
    let base = fleet
        .edit("first", TableVersion(0), vec![change("raced", 1)])
        .await
        .unwrap();
    let fleet = std::sync::Arc::new(fleet);
    let racers: Vec<_> = (0..8u32)
        .map(|number| {
            let fleet = std::sync::Arc::clone(&fleet);
            tokio::spawn(async move {
                let id = format!("racer-{number}");
                let answers = [
                    fleet
                        .edit(&id, base, vec![change("raced", 10 + number)])
                        .await,
                    fleet
                        .edit(&id, base, vec![change("raced", 10 + number)])
                        .await,
                ];
                assert_eq!(
                    answers[0], answers[1],
                    "a resend of {id} got a different answer"
                );
                let [answer, _] = answers;
                answer
            })
        })
        .collect();
    let mut winners = Vec::new();
    let mut named = Vec::new();
    for (number, racer) in racers.into_iter().enumerate() {
        match racer.await.unwrap() {
            Ok(_) => winners.push(format!("racer-{number}")),
            Err(EditRefusal::Conflict { winner, .. }) => named.push(winner.0),
            Err(other) => panic!("{other:?}"),
        }
    }
    assert_eq!(winners.len(), 1);
    assert!(
        named.iter().all(|winner| *winner == winners[0]),
        "{named:?}"
    );
    fleet.assert_no_violations().await;
}

/// Guards against an isolated leader that serves stale reads or forces an election before or after
/// it returns, and a majority that stops accepting edits meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn an_isolated_instance_neither_disturbs_nor_answers() {
    let mut fleet = Fleet::new();
    let proxies = fleet.start_proxied_control(3).await;
    let mut base = fleet
        .edit("first", TableVersion(0), vec![change("cut", 1)])
        .await
        .unwrap();
    let old = leader(&fleet, &[], FAILOVER).await;
    // A one-way partition: calls from the others to the leader are dropped, while the leader's own
    // calls still reach them.
    proxies[&old].drop_silently(Direction::Both);
    fleet
        .control
        .retain(|address| *address != proxies[&old].address());
    base = fleet
        .edit("while-cut", base, vec![change("cut", 2)])
        .await
        .unwrap();
    let term = |status: Value| status["log"]["term"].as_u64().unwrap();
    let new = leader(&fleet, &[&old], FAILOVER).await;
    let before = term(get(&fleet, &new, "/v1/status").await.unwrap());
    tokio::time::sleep(Duration::from_secs(4)).await;
    let stale = room(&fleet, &old, "cut").await;
    assert!(
        stale.is_none_or(|seen| seen == 2),
        "read {stale:?} at the isolated instance"
    );
    proxies[&old].heal();
    tokio::time::sleep(Duration::from_secs(2)).await;
    fleet
        .edit("after", base, vec![change("cut", 3)])
        .await
        .unwrap();
    let after = term(get(&fleet, &new, "/v1/status").await.unwrap());
    assert_eq!(before, after, "the returning instance forced an election");
    fleet.assert_no_violations().await;
}
