//! Service calls are forwarded; those that may not be repeated run at most once.

mod entry_support;

use entry_support::*;
use lilacspindle::adapters::clock::unix_ms;
use lilacspindle::domain::ledger::parse_key;
use lilacspindle::domain::state::{Claimed, Command};
use lilacspindle::model::{GenerationId, Incarnation, InstanceRef};

/// Guards against calls that lose their method, path, query, status or body, and against forwarding
/// the caller's API key.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn service_call_is_forwarded() {
    let (sidecar, entry) = start_entry_and_sidecar(tokens(1)).await;
    let call = post(&entry, "/svc/cards/users/7?x=1", "{}").header("Authorization", "Bearer key");
    let (status, text) = send(call).await;
    assert_eq!((status, text.as_str()), (201, "run 0 of POST /users/7?x=1"));
    let recorded = sidecar.fake.recorded();
    assert_eq!(recorded.calls[0].body, b"{}");
    let secret = recorded.calls[0]
        .headers
        .iter()
        .find(|(name, _)| name == "authorization");
    assert!(
        secret.is_none(),
        "the caller's API key was forwarded to the service"
    );
}

fn scan_call(entry: &RunningEntry, key: Option<&str>, body: &str) -> reqwest::RequestBuilder {
    let call = post(entry, "/svc/cards/scan", body).header("Lilac-Kind", "scan");
    match key {
        Some(key) => call.header("Idempotency-Key", key),
        None => call,
    }
}

fn new_key(text: &str) -> String {
    format!("{}-{text}", unix_ms())
}

/// Returns how often calls and generations were run at the given sidecars, in total.
fn total_runs(fakes: &[&RunningSidecar]) -> u32 {
    let runs = |fake: &&RunningSidecar| fake.fake.recorded().runs.values().sum::<u32>();
    fakes.iter().map(runs).sum()
}

/// Guards against running a call that may not be repeated a second time after its answer was lost,
/// and against not returning the first answer to a repeat of the request.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn call_with_a_lost_answer_is_resent_but_never_run_again() {
    let mut sidecar = RunningSidecar::start(FakeSidecar::new("s1", 1, tokens(1)));
    let other = RunningSidecar::start(FakeSidecar::new("s2", 1, tokens(1)));
    let control = FakeControl::default().listen().await;
    let mut only_first = view(&[&sidecar]);
    let entry = start_entry("e1", only_first.clone(), control).await;
    *sidecar.fake.unanswered_calls.lock().unwrap() = 1;
    let key = new_key("lost");
    let first = tokio::spawn(send(scan_call(&entry, Some(&key), "{}")));
    wait_until("the call", || !sidecar.fake.recorded().calls.is_empty()).await;
    // Repeat the request with the same key while the first answer is outstanding.
    let (status, text) = send(scan_call(&entry, Some(&key), "{}")).await;
    assert_eq!((status, text.as_str()), (201, "run 0 of POST /scan"));
    // Kill the sidecar before it answers the first request, whose outcome is then unknown.
    only_first
        .members
        .members
        .insert("s2".into(), other.member());
    only_first.version.0 = 2;
    entry.store.replace(only_first);
    sidecar.kill();
    let (status, text) = first.await.unwrap();
    assert!(status == 502 || status == 504, "{text}");
    assert_eq!(parse_error(&text).0, "unknown", "{text}");
    assert_eq!(total_runs(&[&sidecar, &other]), 1);
}

/// Guards against running requests with the same key twice, also if they are sent concurrently and
/// through two entries.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_with_the_same_key_run_once() {
    let fakes: Vec<_> = ["s1", "s2"]
        .map(|name| RunningSidecar::start(FakeSidecar::new(name, 1, tokens(5))))
        .into();
    let fleet: Vec<_> = fakes.iter().collect();
    let control = FakeControl::default().listen().await;
    let entries = [
        start_entry("e1", view(&fleet), control).await,
        start_entry("e2", view(&fleet), control).await,
    ];
    let key = new_key("same");
    let calls = (0..10).map(|n| send(scan_call(&entries[n % 2], Some(&key), "{}")));
    for (status, text) in futures::future::join_all(calls).await {
        assert_eq!((status, text.as_str()), (201, "run 0 of POST /scan"));
    }
    assert_eq!(total_runs(&fleet), 1);
    let body = r#"{"prompt":"p","stream":true}"#;
    let key = new_key("stream");
    let calls = (0..6).map(|n| {
        let call = post(&entries[n % 2], "/v1/completions", body).header("Lilac-Kind", "once");
        send(call.header("Idempotency-Key", &key))
    });
    for (status, text) in futures::future::join_all(calls).await {
        assert_eq!(status, 200, "{text}");
        assert_eq!(event_text(&parse_events(&text)), expected_text(5));
    }
    assert_eq!(total_runs(&fleet), 2);
}

/// Guards against failing a request, or a repeat of it, because a poll of the repeat reached the
/// sidecar before the start of the request and its answer, `unknown`, arrived after it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn late_answer_to_a_poll_before_the_start_fails_no_request() {
    for late_ms in [0, 600] {
        let behavior = Behavior::Tokens {
            count: 3,
            step_ms: 500,
            stall_at: None,
        };
        let mut fake = FakeSidecar::new("s1", 1, behavior);
        fake.late_unknown_ms = Some(late_ms);
        let sidecar = RunningSidecar::start(fake);
        let control = FakeControl::default().listen().await;
        let entry = start_entry("e1", view(&[&sidecar]), control).await;
        let key = new_key("late");
        let body = r#"{"prompt":"p","stream":true}"#;
        let call = || {
            let call = post(&entry, "/v1/completions", body).header("Lilac-Kind", "once");
            tokio::spawn(send(call.header("Idempotency-Key", &key)))
        };
        let first = call();
        wait_until("the start", || !sidecar.fake.recorded().starts.is_empty()).await;
        let repeat = call();
        for (name, call) in [("first", first), ("repeat", repeat)] {
            let (status, text) = call.await.unwrap();
            assert_eq!(status, 200, "{name}, {late_ms} ms late: {text}");
            assert_eq!(event_text(&parse_events(&text)), expected_text(3), "{name}");
        }
        assert_eq!(sidecar.fake.recorded().unknown.len(), 1);
        assert_eq!(total_runs(&[&sidecar]), 1);
    }
}

/// Guards against running a request whose key was used with another body, is too old or from the
/// future, or whose claim is undecided.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_whose_key_cannot_be_claimed_are_not_run() {
    let sidecar = RunningSidecar::start(FakeSidecar::new("s1", 1, tokens(1)));
    let fake_control = FakeControl::default();
    let control = fake_control.listen().await;
    let entry = start_entry("e1", view(&[&sidecar]), control).await;
    let key = new_key("used");
    assert_eq!(send(scan_call(&entry, Some(&key), "{}")).await.0, 201);
    let old = format!("{}-old", unix_ms() - 700_000);
    let future = format!("{}-future", unix_ms() + 120_000);
    let cases = [
        (key.as_str(), 422, "key_conflict"),
        (old.as_str(), 409, "key_expired"),
        (future.as_str(), 409, "key_expired"),
        ("no-time", 400, "bad_request"),
    ];
    for (key, status, code) in cases {
        let (got, text) = send(scan_call(&entry, Some(key), "{\"other\":1}")).await;
        let (outcome, got_code, _) = parse_error(&text);
        assert_eq!(
            (got, outcome.as_str(), got_code.as_str()),
            (status, "not_run", code)
        );
    }
    *fake_control.undecided.lock().unwrap() = true;
    let call =
        scan_call(&entry, Some(&new_key("undecided")), "{}").header("Lilac-Deadline-Ms", "700");
    let (status, text) = send(call).await;
    let (outcome, code, _) = parse_error(&text);
    assert_eq!(
        (status, outcome.as_str(), code.as_str()),
        (503, "not_run", "claim_undecided")
    );
    assert_eq!(total_runs(&[&sidecar]), 1);
}

/// Guards against a key that stays unusable after its first request was claimed but never sent, and
/// against reporting `not_run` without a tombstone.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_orphaned_claim_is_resolved() {
    let sidecar = RunningSidecar::start(FakeSidecar::new("s1", 1, tokens(5)));
    let control = FakeControl::default();
    let address = control.listen().await;
    let entry = start_entry("e1", view(&[&sidecar]), address).await;
    let body = r#"{"prompt":"p"}"#;
    let key = new_key("orphan");
    let claim = |sidecar: InstanceRef, key: &str| {
        let mut hashed = Vec::new();
        for part in [&[0_u8][..], body.as_bytes()] {
            hashed.extend(part.len().to_le_bytes());
            hashed.extend(part);
        }
        control.apply(&Command::Claim {
            key: parse_key(&"a".into(), key).unwrap(),
            fingerprint: xxhash_rust::xxh3::xxh3_64(&hashed),
            claimed: Claimed {
                generation: GenerationId(99),
                sidecar,
            },
            now_ms: unix_ms(),
        });
    };
    claim(sidecar.fake.me.clone(), &key);
    let call = |key: &str| {
        let call = post(&entry, "/v1/completions", body).header("Lilac-Kind", "once");
        call.header("Idempotency-Key", key)
    };
    let (status, text) = send(call(&key)).await;
    assert_eq!(status, 200, "{text}");
    assert!(
        sidecar.fake.recorded().cancels.contains(&GenerationId(99)),
        "the claimed generation was not cancelled"
    );
    let gone = InstanceRef {
        name: "s1".into(),
        incarnation: Incarnation(55),
    };
    let key = new_key("gone");
    claim(gone, &key);
    let (status, text) = send(call(&key)).await;
    assert_eq!(
        (status, parse_error(&text).0.as_str()),
        (502, "unknown"),
        "{text}"
    );
    assert_eq!(total_runs(&[&sidecar]), 1);
}

/// Guards against retrying a call that may not be repeated and has no key, even if it was refused.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_call_without_a_key_that_may_not_be_repeated_is_sent_once() {
    let fakes: Vec<_> = ["s1", "s2"]
        .map(|name| RunningSidecar::start(FakeSidecar::new(name, 1, tokens(1))))
        .into();
    let fleet: Vec<_> = fakes.iter().collect();
    let control = FakeControl::default().listen().await;
    let entry = start_entry("e1", view(&fleet), control).await;
    for fake in &fakes {
        *fake.fake.refuse_calls.lock().unwrap() = true;
    }
    let (status, text) = send(scan_call(&entry, None, "{}")).await;
    assert_eq!(
        (status, parse_error(&text).0.as_str()),
        (429, "not_run"),
        "{text}"
    );
    let sent = |fakes: &[&RunningSidecar]| -> usize {
        fakes
            .iter()
            .map(|fake| fake.fake.recorded().calls.len())
            .sum()
    };
    assert_eq!(sent(&fleet), 1);
    // A repeatable call goes to the other replica.
    let (status, _) = send(post(&entry, "/svc/cards/scan", "{}")).await;
    assert_eq!((status, sent(&fleet)), (429, 3));
}
