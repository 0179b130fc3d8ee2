//! Requests that name the weights with which they are to be run, through a real entry process.

mod site_support;

use site_support::{
    Reply, Request, Site, Upstream, answer, call, caller, document, proper, sse, wait_for,
};

/// Returns the script of an instance that has other weights than requests name.
fn with_other_weights(respond: fn(&Request) -> Vec<Reply>) -> impl Fn(&Request) -> Vec<Reply> {
    move |request| match request.header("X-Lilacspindle-Expected-Version") {
        None => respond(request),
        Some(_) => {
            let headers = [
                ("X-Lilacspindle-Request-Id", request.id()),
                ("X-Lilacspindle-Not-Executed", "1"),
            ];
            vec![Reply::Bytes(answer(
                "421 Misdirected Request",
                &headers,
                b"",
            ))]
        }
    }
}

fn stream(request: &Request) -> Vec<Reply> {
    vec![Reply::Bytes(sse(request.id(), 1..=2, true, true))]
}

/// Guards against a caller who takes all instances of a service out of use: each one refuses requests
/// that name weights it doesn't have, with the status of an instance that is not the expected one. Drill
/// `asked-weights` of the review.
#[tokio::test]
async fn refusal_because_of_weights_takes_no_instance_out_of_use() {
    let mut site = Site::serving(&document(1)).await;
    let mut engines = Vec::new();
    for _ in 0..2 {
        engines.push(site.upstream("model", with_other_weights(stream)).await);
    }
    let _plain = site.upstream("plain", with_other_weights(proper)).await;
    for prefix in ["/stream", "/safe", "/once"] {
        let path = format!("{prefix}/x");
        wait_for("an instance is used", || async {
            call(&site, &path, "warm").await.status() == 200
        })
        .await;
        let named = format!("{prefix}/named");
        let mut refusals = Vec::new();
        for n in 0..4 {
            let request = caller(&site, &named, &format!("named-{n}"));
            let request = request.header("X-Lilacspindle-Expected-Version", "7");
            refusals.push(request.send().await.unwrap());
        }
        for n in 0..10 {
            let answered = call(&site, &path, &format!("id-{n}")).await;
            assert_eq!(answered.status(), 200, "{prefix}, request {n}");
        }
        for refused in refusals {
            assert_eq!(refused.status(), 421, "{prefix}");
            let text = refused.text().await.unwrap();
            assert!(text.contains("not_run"), "{prefix}: {text}");
        }
    }
    // Each one was sent once: sending it again would use up the retries of all callers.
    let sent = |engine: &Upstream| engine.requests("/stream/named").len();
    assert_eq!(engines.iter().map(sent).sum::<usize>(), 4);
}
