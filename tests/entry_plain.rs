//! Plain calls pass through; those that may not be repeated run at most once.

mod entry_support;

use entry_support::*;

/// Guards against calls that lose their method, path, query, status or body on the way.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_plain_call_passes_through() {
    let sidecar = RunningFake::start(Fake::new("s1", 1, tokens(1)));
    let control = FakeControl::default().serve().await;
    let entry = start_entry("e1", view(&[&sidecar]), control).await;
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
