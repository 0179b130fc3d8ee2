//! Generations whose sidecar refuses, restarts or is lost.

mod entry_support;

use std::time::Duration;

use entry_support::*;
use lilacspindle::model::{Outcome, RefusalCode};
use tokio::time::timeout;

const STREAM: &str = r#"{"model":"tutor","prompt":"hello","stream":true}"#;
const WHOLE: &str = r#"{"model":"tutor","prompt":"hello"}"#;

fn slow(count: u32) -> Plan {
    Plan::Tokens {
        count,
        step_ms: 10,
        stall_at: None,
    }
}

/// Returns an entry that reaches the sidecar through a proxy.
async fn start_behind_proxy(sidecar: &RunningFake) -> (Proxy, RunningEntry) {
    let proxy = Proxy::start(sidecar.address).await;
    let mut view = view(&[sidecar]);
    for member in view.members.members.values_mut() {
        member.rpc_address = proxy.address;
    }
    let control = FakeControl::default().listen().await;
    (proxy, start_entry("e1", view, control).await)
}

/// Restarts the sidecar after some tokens were shown; returns the events of the stream and the
/// number of readopts.
async fn stream_over_restart(adopts: bool) -> (Vec<Event>, usize) {
    let mut first = RunningFake::start(Fake::new("s1", 1, slow(100)));
    let (proxy, entry) = start_behind_proxy(&first).await;
    let reading = tokio::spawn(text_of(post(&entry, "/v1/completions", STREAM)));
    tokio::time::sleep(Duration::from_millis(400)).await;
    first.kill();
    let mut fake = Fake::new("s1", 2, slow(100));
    fake.adopts = adopts;
    let second = RunningFake::start(fake);
    *proxy.target.lock().unwrap() = second.address;
    let (status, text) = reading.await.unwrap();
    assert_eq!(status, 200, "{text}");
    let readopts = second.fake.seen().readopts.len();
    (parse_events(&text), readopts)
}

/// Guards against streams that are cut, or that repeat or skip tokens, when a sidecar restarts
/// beside an engine that runs on.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_restarted_sidecar_takes_the_stream_back() {
    let (events, readopts) = stream_over_restart(true).await;
    assert_eq!(shown(&events), expected(100));
    assert_eq!(events.last().unwrap().data, "[DONE]");
    assert_eq!(readopts, 1);
    assert!(
        events[99].id.starts_with("s1.0000000000000002."),
        "{}",
        events[99].id
    );
}

/// Guards against tokens of a second generation after tokens of a first were shown.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_that_is_lost_after_its_first_token_is_interrupted() {
    let (events, _) = stream_over_restart(false).await;
    let last = events.last().unwrap();
    assert_eq!(last.name, "error");
    assert_eq!(error_of(&last.data).0, "interrupted", "{}", last.data);
    let text = shown(&events);
    assert!(
        !text.is_empty() && expected(100).starts_with(&text),
        "{text}"
    );
}

/// Guards against giving up while another replica would have answered, and against mixing tokens
/// of two attempts in a whole answer.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_unseen_failure_is_retried_on_another_replica() {
    for plan in [
        Plan::Refuse(RefusalCode::Overload),
        Plan::Refuse(RefusalCode::Leaving),
        Plan::Fail {
            after: 5,
            outcome: Outcome::Unknown,
        },
    ] {
        let bad = RunningFake::start(Fake::new("s1", 1, plan.clone()));
        let good = RunningFake::start(Fake::new("s2", 1, tokens(10)));
        let control = FakeControl::default().listen().await;
        let entry = start_entry("e1", view(&[&bad, &good]), control).await;
        // Either replica may be chosen for each request; of 120 runs with eight requests two never
        // asked the failing one.
        let mut sent = 0;
        while sent < 8 || (bad.fake.seen().starts.is_empty() && sent < 64) {
            sent += 1;
            let (status, text) = text_of(post(&entry, "/v1/completions", WHOLE)).await;
            assert_eq!(status, 200, "{plan:?}: {text}");
            let answer: serde_json::Value = serde_json::from_str(&text).unwrap();
            assert_eq!(
                answer["choices"][0]["text"],
                expected(10).as_str(),
                "{plan:?}"
            );
        }
        assert!(
            !bad.fake.seen().starts.is_empty(),
            "the failing replica was never asked"
        );
    }
}

/// Guards against retrying overload without end, and against refusals that do not say when to
/// come back.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn overload_is_retried_once_and_then_answered_with_retry_after() {
    let plan = Plan::Refuse(RefusalCode::Overload);
    let fakes: Vec<_> = ["s1", "s2", "s3"]
        .map(|name| RunningFake::start(Fake::new(name, 1, plan.clone())))
        .into();
    let control = FakeControl::default().listen().await;
    let entry = start_entry("e1", view(&fakes.iter().collect::<Vec<_>>()), control).await;
    let response = post(&entry, "/v1/completions", WHOLE).send().await.unwrap();
    assert_eq!(response.status().as_u16(), 429);
    assert_eq!(response.headers()["retry-after"], "2");
    assert!(response.headers().contains_key("lilac-request-id"));
    assert_eq!(error_of(&response.text().await.unwrap()).0, "not_run");
    let starts: usize = fakes.iter().map(|fake| fake.fake.seen().starts.len()).sum();
    assert_eq!(starts, 2);
}

/// Guards against a whole answer that is lost with its sidecar, and against `not_run` for a
/// request that ran in part.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_whole_answer_survives_the_loss_of_its_sidecar() {
    let mut doomed = RunningFake::start(Fake::new("s1", 1, slow(500)));
    let control = FakeControl::default().listen().await;
    let entry = start_entry("e1", view(&[&doomed]), control).await;
    let reading = tokio::spawn(text_of(post(&entry, "/v1/completions", WHOLE)));
    until("the start", || !doomed.fake.seen().starts.is_empty()).await;
    let good = RunningFake::start(Fake::new("s2", 1, tokens(10)));
    let mut larger = view(&[&doomed, &good]);
    larger.version.0 = 2;
    entry.store.replace(larger);
    doomed.kill();
    let (status, text) = reading.await.unwrap();
    assert_eq!(status, 200, "{text}");
    assert!(text.contains(&expected(10)), "{text}");
}

/// Guards against waiting beyond the deadline, and against `not_run` without a tombstone.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_deadline_ends_a_request_with_what_is_known() {
    let stalls = Plan::Tokens {
        count: 10,
        step_ms: 1,
        stall_at: Some(3),
    };
    for (plan, status, outcome) in [
        (stalls, 504, "unknown"),
        (Plan::Swallow { runs: false }, 503, "not_run"),
        (Plan::Swallow { runs: true }, 504, "unknown"),
    ] {
        let (_sidecar, entry) = start_one(plan).await;
        let request = post(&entry, "/v1/completions", WHOLE).header("Lilac-Deadline-Ms", "600");
        let (got, text) = text_of(request).await;
        assert_eq!(
            (got, error_of(&text).0.as_str()),
            (status, outcome),
            "{text}"
        );
    }
}

/// Guards against streams that hang, repeat or skip when open connections go silent for good while
/// new ones work.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_survives_silent_connections() {
    let sidecar = RunningFake::start(Fake::new("s1", 1, slow(100)));
    let (proxy, entry) = start_behind_proxy(&sidecar).await;
    let reading = tokio::spawn(text_of(post(&entry, "/v1/completions", STREAM)));
    tokio::time::sleep(Duration::from_millis(300)).await;
    proxy.mute();
    let (status, text) = timeout(Duration::from_secs(10), reading)
        .await
        .unwrap()
        .unwrap();
    assert_eq!(status, 200, "{text}");
    assert_eq!(shown(&parse_events(&text)), expected(100));
    assert_eq!(sidecar.fake.seen().starts.len(), 1);
}

/// Guards against new work at a sidecar whose replies say that it leaves, while the member list
/// does not know yet.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_leaving_stamp_counts_at_once() {
    let leaving = RunningFake::start(Fake::new("s1", 1, tokens(3)));
    let other = RunningFake::start(Fake::new("s2", 1, tokens(3)));
    let control = FakeControl::default().listen().await;
    let entry = start_entry("e1", view(&[&leaving, &other]), control).await;
    *leaving.fake.leaving.lock().unwrap() = true;
    for _ in 0..40 {
        assert_eq!(text_of(post(&entry, "/v1/completions", WHOLE)).await.0, 200);
    }
    let starts = leaving.fake.seen().starts.len();
    assert!(starts <= 1, "{starts} starts at the leaving sidecar");
}

/// Guards against shares that forget what a workspace was served at other sidecars.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn starts_tell_what_was_served_elsewhere() {
    let fakes = ["s1", "s2"].map(|name| RunningFake::start(Fake::new(name, 1, tokens(10))));
    let control = FakeControl::default().listen().await;
    let entry = start_entry("e1", view(&[&fakes[0], &fakes[1]]), control).await;
    let mut last_start = [None; 2];
    for turn in 0..20_u64 {
        let before = fakes.each_ref().map(|fake| fake.fake.seen().starts.len());
        assert_eq!(text_of(post(&entry, "/v1/completions", WHOLE)).await.0, 200);
        for (index, fake) in fakes.iter().enumerate() {
            let seen = fake.fake.seen();
            if let Some(start) = seen.starts.get(before[index]) {
                let elsewhere = last_start[index].map_or(0, |last| (turn - last - 1) * 10);
                assert_eq!(start.served_elsewhere_tokens, elsewhere, "turn {turn}");
                last_start[index] = Some(turn);
            }
        }
    }
    assert!(
        last_start.iter().all(Option::is_some),
        "one sidecar got all requests"
    );
}
