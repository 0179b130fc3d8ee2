//! Plain calls pass through; those that may not be repeated run at most once.

mod entry_support;

use entry_support::*;
use lilacspindle::adapters::clock::unix_ms;
use lilacspindle::domain::ledger::parse_key;
use lilacspindle::domain::state::{Claimed, Command};
use lilacspindle::model::{GenerationId, Incarnation, InstanceRef};

/// Guards against calls that lose their method, path, query, status or body on the way.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_plain_call_passes_through() {
    let (sidecar, entry) = start_one(tokens(1)).await;
    let call = post(&entry, "/svc/cards/users/7?x=1", "{}").header("Authorization", "Bearer key");
    let (status, text) = text_of(call).await;
    assert_eq!((status, text.as_str()), (201, "run 0 of POST /users/7?x=1"));
    let seen = sidecar.fake.seen();
    assert_eq!(seen.calls[0].body, b"{}");
    let secret = seen.calls[0]
        .headers
        .iter()
        .find(|(name, _)| name == "authorization");
    assert!(
        secret.is_none(),
        "the caller's key was passed to the service"
    );
}

fn scan(entry: &RunningEntry, key: Option<&str>, body: &str) -> reqwest::RequestBuilder {
    let call = post(entry, "/svc/cards/scan", body).header("Lilac-Kind", "scan");
    match key {
        Some(key) => call.header("Idempotency-Key", key),
        None => call,
    }
}

fn new_key(text: &str) -> String {
    format!("{}-{text}", unix_ms())
}

/// Returns the runs of all generations at several sidecars.
fn runs(fakes: &[&RunningFake]) -> u32 {
    let runs = |fake: &&RunningFake| fake.fake.seen().runs.values().sum::<u32>();
    fakes.iter().map(runs).sum()
}

/// Guards against a second run of a call that may not be repeated when its answer is lost, and
/// against keeping the caller from the first answer.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_lost_answer_is_asked_for_and_never_run_again() {
    let mut sidecar = RunningFake::start(Fake::new("s1", 1, tokens(1)));
    let other = RunningFake::start(Fake::new("s2", 1, tokens(1)));
    let control = FakeControl::default().listen().await;
    let mut only_first = view(&[&sidecar]);
    let entry = start_entry("e1", only_first.clone(), control).await;
    *sidecar.fake.mute_calls.lock().unwrap() = 1;
    let key = new_key("lost");
    let first = tokio::spawn(text_of(scan(&entry, Some(&key), "{}")));
    until("the call", || !sidecar.fake.seen().calls.is_empty()).await;
    // The same key again, while the first answer is outstanding.
    let (status, text) = text_of(scan(&entry, Some(&key), "{}")).await;
    assert_eq!((status, text.as_str()), (201, "run 0 of POST /scan"));
    // The sidecar is lost with the answer of the first request: its state cannot be known.
    only_first
        .members
        .members
        .insert("s2".into(), other.member());
    only_first.version.0 = 2;
    entry.store.replace(only_first);
    sidecar.kill();
    let (status, text) = first.await.unwrap();
    assert!(status == 502 || status == 504, "{text}");
    assert_eq!(error_of(&text).0, "unknown", "{text}");
    assert_eq!(runs(&[&sidecar, &other]), 1);
}

/// Guards against running a key twice, also at once and through two entries.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn one_key_runs_once() {
    let fakes: Vec<_> = ["s1", "s2"]
        .map(|name| RunningFake::start(Fake::new(name, 1, tokens(5))))
        .into();
    let fleet: Vec<_> = fakes.iter().collect();
    let control = FakeControl::default().listen().await;
    let entries = [
        start_entry("e1", view(&fleet), control).await,
        start_entry("e2", view(&fleet), control).await,
    ];
    let key = new_key("same");
    let calls = (0..10).map(|n| text_of(scan(&entries[n % 2], Some(&key), "{}")));
    for (status, text) in futures::future::join_all(calls).await {
        assert_eq!((status, text.as_str()), (201, "run 0 of POST /scan"));
    }
    assert_eq!(runs(&fleet), 1);
    let body = r#"{"prompt":"p","stream":true}"#;
    let key = new_key("stream");
    let calls = (0..6).map(|n| {
        let call = post(&entries[n % 2], "/v1/completions", body).header("Lilac-Kind", "once");
        text_of(call.header("Idempotency-Key", &key))
    });
    for (status, text) in futures::future::join_all(calls).await {
        assert_eq!(status, 200, "{text}");
        assert_eq!(shown(&parse_events(&text)), expected(5));
    }
    assert_eq!(runs(&fleet), 2);
}

/// Guards against a key that runs with two bodies, outside its time, or without a decided claim.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn keys_that_cannot_be_claimed_are_not_run() {
    let sidecar = RunningFake::start(Fake::new("s1", 1, tokens(1)));
    let fake_control = FakeControl::default();
    let control = fake_control.listen().await;
    let entry = start_entry("e1", view(&[&sidecar]), control).await;
    let key = new_key("used");
    assert_eq!(text_of(scan(&entry, Some(&key), "{}")).await.0, 201);
    let old = format!("{}-old", unix_ms() - 700_000);
    let future = format!("{}-future", unix_ms() + 120_000);
    let cases = [
        (key.as_str(), 422, "key_conflict"),
        (old.as_str(), 409, "key_expired"),
        (future.as_str(), 409, "key_expired"),
        ("no-time", 400, "bad_request"),
    ];
    for (key, status, code) in cases {
        let (got, text) = text_of(scan(&entry, Some(key), "{\"other\":1}")).await;
        let (outcome, got_code, _) = error_of(&text);
        assert_eq!(
            (got, outcome.as_str(), got_code.as_str()),
            (status, "not_run", code)
        );
    }
    *fake_control.undecided.lock().unwrap() = true;
    let call = scan(&entry, Some(&new_key("undecided")), "{}").header("Lilac-Deadline-Ms", "700");
    let (status, text) = text_of(call).await;
    let (outcome, code, _) = error_of(&text);
    assert_eq!(
        (status, outcome.as_str(), code.as_str()),
        (503, "not_run", "claim_undecided")
    );
    assert_eq!(runs(&[&sidecar]), 1);
}

/// Guards against losing a key whose first request was claimed but never sent, and against taking
/// a call for not run without a tombstone.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_orphaned_claim_is_resolved() {
    let sidecar = RunningFake::start(Fake::new("s1", 1, tokens(5)));
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
    let (status, text) = text_of(call(&key)).await;
    assert_eq!(status, 200, "{text}");
    assert!(
        sidecar.fake.seen().cancels.contains(&GenerationId(99)),
        "no tombstone was asked for"
    );
    let gone = InstanceRef {
        name: "s1".into(),
        incarnation: Incarnation(55),
    };
    let key = new_key("gone");
    claim(gone, &key);
    let (status, text) = text_of(call(&key)).await;
    assert_eq!(
        (status, error_of(&text).0.as_str()),
        (502, "unknown"),
        "{text}"
    );
    assert_eq!(runs(&[&sidecar]), 1);
}

/// Guards against retrying a call without a key that may not be repeated, even if refused.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_call_without_a_key_is_sent_once() {
    let fakes: Vec<_> = ["s1", "s2"]
        .map(|name| RunningFake::start(Fake::new(name, 1, tokens(1))))
        .into();
    let fleet: Vec<_> = fakes.iter().collect();
    let control = FakeControl::default().listen().await;
    let entry = start_entry("e1", view(&fleet), control).await;
    for fake in &fakes {
        *fake.fake.refuse_calls.lock().unwrap() = true;
    }
    let (status, text) = text_of(scan(&entry, None, "{}")).await;
    assert_eq!(
        (status, error_of(&text).0.as_str()),
        (429, "not_run"),
        "{text}"
    );
    let sent = |fakes: &[&RunningFake]| -> usize {
        fakes.iter().map(|fake| fake.fake.seen().calls.len()).sum()
    };
    assert_eq!(sent(&fleet), 1);
    // A repeatable call goes to the other replica.
    let (status, _) = text_of(post(&entry, "/svc/cards/scan", "{}")).await;
    assert_eq!((status, sent(&fleet)), (429, 3));
}
