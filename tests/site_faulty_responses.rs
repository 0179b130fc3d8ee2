//! Faulty responses of instances: repeated on a kept connection, or cut off in their head. Tested
//! through real processes.

mod site_support;

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use site_support::{
    Reply, Request, Site, Upstream, answer, call, document, listed, patient_caller, proper, sse,
    wait_for, with_header,
};

fn refusal(id: Option<&str>) -> Vec<u8> {
    let mut headers = vec![("X-Lilacspindle-Not-Executed", "1")];
    headers.extend(id.map(|id| ("X-Lilacspindle-Request-Id", id)));
    answer("503 Service Unavailable", &headers, b"")
}

/// Returns a script that refuses the first request of a pair, and writes that refusal once more in
/// place of the response to the second one, which it runs.
fn repeats_refusal(
    names_request: bool,
    respond: fn(&Request) -> Vec<Reply>,
) -> impl Fn(&Request) -> Vec<Reply> + Send + Sync + 'static {
    let refused = Mutex::new(String::new());
    move |request: &Request| {
        let mut refused = refused.lock().unwrap();
        let refusal_of = |id: &str| Reply::Bytes(refusal(names_request.then_some(id)));
        match request.path.as_str() {
            path if path.ends_with("/refused") => {
                request.id().clone_into(&mut refused);
                vec![refusal_of(&refused)]
            }
            path if path.ends_with("/run") => {
                let mut replies = vec![
                    refusal_of(&refused),
                    Reply::Pause(Duration::from_millis(100)),
                ];
                replies.extend(respond(request));
                replies
            }
            // The request to be refused then uses a new connection.
            path if path.ends_with("/warm-up") => {
                with_header(respond(request), "Connection: close")
            }
            _ => respond(request),
        }
    }
}

fn stream(request: &Request) -> Vec<Reply> {
    vec![Reply::Bytes(sse(request.id(), 1..=2, true, true))]
}

/// Guards against the refusal of an earlier request that is taken for the response to the next one
/// on its connection: the caller would repeat a request that runs.
#[tokio::test]
async fn repeated_refusal_is_not_the_answer_to_the_next_request() {
    for names_request in [true, false] {
        let mut site = Site::serving(&document(1)).await;
        let plain = site
            .upstream("plain", repeats_refusal(names_request, proper))
            .await;
        let model = site
            .upstream("model", repeats_refusal(names_request, stream))
            .await;
        for (upstream, prefix) in [(&plain, "/once"), (&model, "/stream")] {
            let path = |end: &str| format!("{prefix}/{end}");
            wait_for("the instance is used", || async {
                call(&site, &path("warm-up"), "id-0").await.status() == 200
            })
            .await;
            let refused = call(&site, &path("refused"), "id-1").await;
            // Without the id, nothing shows that the instance has refused this request.
            let expected = if names_request { 503 } else { 502 };
            assert_eq!(refused.status(), expected, "{prefix}");
            // Leaves a kept connection also where the refusal has closed its own.
            wait_for("the instance is used again", || async {
                let whole = call(&site, &path("whole"), "id-w").await;
                whole.status() == 200 && whole.bytes().await.is_ok()
            })
            .await;
            // A second instance, to which a request that was not run may be sent.
            let other = match prefix {
                "/once" => site.upstream("plain", proper).await,
                _ => site.upstream("model", stream).await,
            };
            // After an answer that proves nothing, the second instance is preferred for a while.
            let mut attempt = 0;
            let (id, answered) = loop {
                let id = format!("id-run-{attempt}");
                let answered = call(&site, &path("run"), &id).await.status();
                if !upstream.requests(&path("run")).is_empty() {
                    break (id, answered);
                }
                assert_eq!(answered, 200, "{prefix}, at the second instance");
                attempt += 1;
                assert!(attempt < 500, "{prefix}: the first instance is not used");
                tokio::time::sleep(Duration::from_millis(10)).await;
            };
            assert_eq!(upstream.requests(&path("run")).len(), 1);
            assert_eq!(answered, 502, "{prefix}, with id: {names_request}");
            let sent_again = other.requests(&path("run"));
            assert!(sent_again.iter().all(|request| request.id() != id));
        }
    }
}

/// Guards against the repeated refusal that arrives while its connection is idle.
#[tokio::test]
async fn refusal_that_is_repeated_while_idle_is_dropped() {
    let mut site = Site::serving(&document(1)).await;
    let upstream = site
        .upstream("plain", |request: &Request| match request.path.as_str() {
            "/once/refused" => {
                let refused = Reply::Bytes(refusal(Some(request.id())));
                let pause = Reply::Pause(Duration::from_millis(100));
                vec![refused.clone(), pause, refused]
            }
            _ => proper(request),
        })
        .await;
    wait_for("the instance is used", || async {
        call(&site, "/once/warm-up", "id-0").await.status() == 200
    })
    .await;
    assert_eq!(call(&site, "/once/refused", "id-1").await.status(), 503);
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(call(&site, "/once/run", "id-2").await.status(), 200);
    assert_eq!(upstream.requests("/once/run").len(), 1);
}

/// Guards against a response that is cut off in its head and passed on as one with an empty body.
#[tokio::test]
async fn response_cut_off_in_its_head_is_not_passed_on() {
    let mut site = Site::serving(&document(1)).await;
    let whole = |request: &Request| match request.path.starts_with("/once") {
        true => proper(request),
        false => stream(request),
    };
    let cut_at = Arc::new(AtomicUsize::new(0));
    let script = |cut_at: Arc<AtomicUsize>| {
        move |request: &Request| {
            let Some(Reply::Bytes(bytes)) = whole(request).into_iter().next() else {
                panic!("the first reply has the head");
            };
            let head = bytes.windows(4).position(|end| end == b"\r\n\r\n").unwrap() + 3;
            match request.path.ends_with("/cut") {
                // Each request is cut off 9 bytes later, up to the last byte of the head.
                true => {
                    let at = cut_at.fetch_add(9, Ordering::SeqCst).min(head);
                    vec![Reply::Bytes(bytes[..at].to_vec()), Reply::Close]
                }
                false => whole(request),
            }
        }
    };
    let plain = site.upstream("plain", script(Arc::clone(&cut_at))).await;
    let mut engines = Vec::new();
    for _ in 0..20 {
        engines.push(site.upstream("model", script(Arc::clone(&cut_at))).await);
    }
    for path in ["/once", "/stream"] {
        wait_for("the instances are used", || async {
            call(&site, &format!("{path}/warm-up"), "id-0")
                .await
                .status()
                == 200
        })
        .await;
        cut_at.store(0, Ordering::SeqCst);
        for number in 0..20 {
            // The request before leaves a connection that is used again.
            call(&site, &format!("{path}/whole"), &format!("id-w{number}")).await;
            let answered = call(&site, &format!("{path}/cut"), &format!("id-{number}")).await;
            assert_eq!(answered.status(), 502, "{path}, number {number}");
        }
    }
    assert_eq!(plain.requests("/once/cut").len(), 20);
    let cut = engines
        .iter()
        .map(|engine| engine.requests("/stream/cut").len());
    assert_eq!(cut.sum::<usize>(), 20);
}

/// Returns responses that prove neither that an instance gave them nor whether the request has run.
fn unproved(request: &Request) -> Vec<(&'static str, Vec<u8>)> {
    let (id, not_run) = (
        ("X-Lilacspindle-Request-Id", request.id()),
        ("X-Lilacspindle-Not-Executed", "1"),
    );
    let sealed = ("X-Lilacspindle-Response-Seal", "seal");
    let leaving = ("Server-Leaving", "1");
    let asks = ("Retry-After", "2");
    let html = b"<html>It works!</html>";
    vec![
        ("foreign", answer("200 OK", &[], html)),
        ("unsealed", answer("200 OK", &[id], html)),
        ("moved", answer("421 Misdirected Request", &[], b"")),
        ("full", answer("503 Service Unavailable", &[not_run], b"")),
        (
            "left",
            answer("503 Service Unavailable", &[not_run, leaving, asks], b""),
        ),
        ("error", answer("500 Internal Server Error", &[], html)),
        ("both", answer("503 Full", &[id, not_run, sealed], b"")),
        ("elsewhere", answer("421 Elsewhere", &[id, sealed], b"")),
    ]
}

/// Guards against bytes that are passed on as the answer, or taken as proof that a request has not
/// run or that an instance leaves, although no instance gave them: a faulty instance writes a page
/// of its web server as the first response of a connection.
#[tokio::test]
async fn response_that_no_instance_has_given_proves_nothing() {
    let mut site = Site::serving(&document(1)).await;
    let script = |request: &Request| {
        let mut shapes = unproved(request).into_iter();
        let shape = shapes.find(|(shape, _)| request.path.ends_with(shape));
        let replies = match shape {
            Some((_, bytes)) => vec![Reply::Bytes(bytes)],
            None if request.path.starts_with("/stream") => stream(request),
            None => proper(request),
        };
        // Each request gets a connection of its own.
        with_header(replies, "Connection: close")
    };
    let plain = site.upstream("plain", script).await;
    let model = site.upstream("model", script).await;
    let second_plain = site.upstream("plain", script).await;
    let second_model = site.upstream("model", script).await;
    let sent = |path: &str| {
        let upstreams = [&plain, &model, &second_plain, &second_model];
        let counts = upstreams.map(|upstream| upstream.requests(path).len());
        counts.iter().sum::<usize>()
    };
    let shapes = [
        "foreign",
        "unsealed",
        "moved",
        "full",
        "left",
        "error",
        "both",
        "elsewhere",
    ];
    for prefix in ["/once", "/stream"] {
        for shape in shapes {
            wait_for("an instance is usable after the fault before", || async {
                let path = format!("{prefix}/whole");
                call(&site, &path, "id-0").await.status() == 200
            })
            .await;
            let path = format!("{prefix}/{shape}");
            let answered = call(&site, &path, "id-1").await;
            assert_eq!(answered.status(), 502, "{path}");
            assert!(answered.text().await.unwrap().contains("unknown"), "{path}");
            assert_eq!(
                sent(&path),
                1,
                "{path}: sent again although it may have run"
            );
        }
    }
    // None of them counts as leaving or as asking for time.
    drop((second_plain, second_model));
    for (upstream, prefix) in [(&plain, "/once"), (&model, "/stream")] {
        let path = format!("{prefix}/after");
        wait_for("the first instance is used again", || async {
            call(&site, &path, "id-2").await;
            !upstream.requests(&path).is_empty()
        })
        .await;
    }
}

/// Guards against the refusal of one attempt that is taken for the response to the next attempt of
/// the same request: an instance that has taken the address of another one refuses a request to the
/// old one, writes that refusal once more in place of the response to the second attempt, and runs it.
#[tokio::test]
async fn repeated_refusal_is_not_the_answer_to_the_next_attempt_at_its_address() {
    let mut document = document(1);
    // A service whose new instance shows that the entry has the list of a round.
    for (list, field) in [("routes", "service"), ("services", "name")] {
        let mut added = document[list][0].clone();
        added["name"] = "marker".into();
        added["pathPrefix"] = "/marker/".into();
        added[field] = "marker".into();
        document[list].as_array_mut().unwrap().push(added);
    }
    let mut site = Site::serving(&document).await;
    // The last refusal, with the connection and the id of its request.
    let refused: Mutex<Option<(usize, String, Vec<u8>)>> = Mutex::default();
    let own = Arc::new(Mutex::new(String::from("i-own-0")));
    let identity = Arc::clone(&own);
    let upstream = site
        .unlisted_upstream(move |request: &Request| {
            let expected = request.header("X-Lilacspindle-Expected-Instance");
            let mut refused = refused.lock().unwrap();
            if expected != Some(&*identity.lock().unwrap()) {
                let headers = [
                    ("X-Lilacspindle-Not-Executed", "1"),
                    ("X-Lilacspindle-Request-Id", request.id()),
                ];
                let bytes = answer("421 Misdirected Request", &headers, b"");
                *refused = Some((request.connection, request.id().to_owned(), bytes.clone()));
                return vec![Reply::Bytes(bytes)];
            }
            let repeat = refused.take_if(|(connection, id, _)| {
                *connection == request.connection && *id == request.id()
            });
            let mut replies: Vec<Reply> = repeat
                .map(|(_, _, bytes)| Reply::Bytes(bytes))
                .into_iter()
                .collect();
            replies.push(Reply::Pause(Duration::from_millis(50)));
            replies.extend(proper(request));
            replies
        })
        .await;
    let other = site.unlisted_upstream(proper).await;
    let marker = site.unlisted_upstream(proper).await;
    let mut asked_twice = 0;
    for round in 1.. {
        let (before, after) = (format!("i-before-{round}"), format!("i-own-{round}"));
        own.lock().unwrap().clone_from(&after);
        let shown = format!("i-marker-{round}");
        let entry = |service: &str, identity: &str, zone: &str, upstream: &Upstream| {
            let mut entry = listed(service, upstream, "ready");
            entry["identifier"] = identity.into();
            entry["zone"] = zone.into();
            entry
        };
        // Instances in the zone of the entry are preferred, here the one that has gone.
        *site.list.lock().unwrap() = vec![
            entry("plain", &before, "z1", &upstream),
            entry("plain", &after, "z2", &upstream),
            entry("plain", &format!("i-other-{round}"), "z3", &other),
            entry("marker", &shown, "z1", &marker),
        ];
        wait_for("the entry has the list", || async {
            call(&site, "/marker/list", "id-list").await;
            let requests = marker.requests("/marker/list");
            let expected = requests
                .iter()
                .map(|request| request.header("X-Lilacspindle-Expected-Instance"));
            expected
                .into_iter()
                .any(|identity| identity == Some(&shown))
        })
        .await;
        let id = format!("id-{round}");
        let status = call(&site, "/once/run", &id).await.status();
        let attempts = |upstream: &Upstream| {
            let mut requests = upstream.requests("/once/run");
            requests.retain(|request| request.id() == id);
            requests
        };
        let expects_own =
            |request: &&Request| request.header("X-Lilacspindle-Expected-Instance") == Some(&after);
        let asked = attempts(&upstream);
        let runs = asked.iter().filter(expects_own).count() + attempts(&other).len();
        assert_eq!(runs, 1, "round {round}");
        assert_eq!(status, 200, "round {round}");
        asked_twice += usize::from(asked.len() == 2);
        if asked_twice == 3 {
            return;
        }
        assert!(round < 50, "asked twice in {asked_twice} rounds");
    }
}

/// Guards against the refusal of a caller's first attempt that is taken for the response to its next
/// one under the same id: the instance runs that one, and the caller would be told that it has not.
#[tokio::test]
async fn repeated_refusal_is_not_the_answer_to_a_caller_that_returns() {
    let mut site = Site::serving(&document(1)).await;
    let script = |respond: fn(&Request) -> Vec<Reply>| {
        // Connection of the refusal that is to be repeated.
        let refused = Mutex::new(None);
        move |request: &Request| {
            if !request.path.ends_with("/returns") {
                return respond(request);
            }
            let mut refused = refused.lock().unwrap();
            let refusal = Reply::Bytes(refusal(Some(request.id())));
            match refused.replace(request.connection) {
                None => vec![refusal],
                Some(connection) => {
                    let is_same = connection == request.connection;
                    let mut replies: Vec<Reply> = is_same.then_some(refusal).into_iter().collect();
                    replies.push(Reply::Pause(Duration::from_millis(100)));
                    replies.extend(respond(request));
                    replies
                }
            }
        }
    };
    let plain = site.upstream("plain", script(proper)).await;
    let model = site.upstream("model", script(stream)).await;
    for (upstream, prefix) in [(&plain, "/once"), (&model, "/stream")] {
        wait_for("the instance is used", || async {
            call(&site, &format!("{prefix}/warm-up"), "id-0")
                .await
                .status()
                == 200
        })
        .await;
        let path = format!("{prefix}/returns");
        assert_eq!(call(&site, &path, "id-1").await.status(), 503, "{prefix}");
        let answered = loop {
            let answered = call(&site, &path, "id-1").await.status();
            if upstream.requests(&path).len() > 1 {
                break answered;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        };
        assert_eq!(answered, 200, "{prefix}");
        assert_eq!(upstream.requests(&path).len(), 2, "{prefix}");
    }
}

/// First lines of responses that are no final status between 200 and 599.
const NO_FINAL_STATUS: [&str; 16] = [
    "HTTP/1.1 000 None",
    "HTTP/1.1 099 Low",
    "HTTP/1.1 100 Continue",
    "HTTP/1.1 101 Switching Protocols",
    "HTTP/1.1 103 Early Hints",
    "HTTP/1.1 600 High",
    "HTTP/1.1 700 High",
    "HTTP/1.1 999 High",
    "HTTP/1.1 -200 OK",
    "HTTP/1.1 +200 OK",
    "HTTP/1.1  200 OK",
    "HTTP/1.1 2 0 OK",
    "HTTP/1.1 20 OK",
    "HTTP/1.1 2000 OK",
    "HTTP/1.1 OK",
    "HTTP/1.1",
];

/// Returns a response with another first line.
fn with_first_line(mut replies: Vec<Reply>, line: &str) -> Vec<Reply> {
    let Some(Reply::Bytes(bytes)) = replies.first_mut() else {
        panic!("the first reply has the head");
    };
    let end = bytes.iter().position(|byte| *byte == b'\r').unwrap();
    bytes.splice(..end, line.bytes());
    replies
}

/// Guards against a status line that is no final status and is passed on as the answer, or taken for
/// proof that a request has not run, and against further requests on its connection.
#[tokio::test]
async fn status_line_without_a_final_status_is_no_answer() {
    let mut site = Site::serving(&document(1)).await;
    let script = |request: &Request| {
        let whole = match request.path.starts_with("/stream") {
            true => stream(request),
            false => proper(request),
        };
        let (kind, line) = match request.path.rsplit_once('-') {
            Some((kind, number)) => (kind, NO_FINAL_STATUS[number.parse::<usize>().unwrap()]),
            None => return whole,
        };
        match kind.ends_with("refused") {
            true => with_first_line(vec![Reply::Bytes(refusal(Some(request.id())))], line),
            false => with_first_line(whole, line),
        }
    };
    let mut upstreams = Vec::new();
    for service in ["plain", "plain", "model", "model"] {
        upstreams.push(site.upstream(service, script).await);
    }
    for prefix in ["/once", "/stream"] {
        for kind in ["answered", "refused"] {
            for (number, line) in NO_FINAL_STATUS.iter().enumerate() {
                wait_for("an instance is usable after the fault before", || async {
                    let path = format!("{prefix}/whole");
                    call(&site, &path, "id-0").await.status() == 200
                })
                .await;
                let path = format!("{prefix}/{kind}-{number}");
                let id = format!("id-{kind}-{number}");
                // An instance may wait with the rest of a response after a status of 1xx.
                let sent = patient_caller(&site, &path, &id, 1_000).send();
                let answered = sent.await.unwrap();
                let status = answered.status().as_u16();
                assert!([502, 504].contains(&status), "{path}, {line}: {status}");
                assert!(answered.text().await.unwrap().contains("unknown"), "{path}");
                let sent: usize = upstreams
                    .iter()
                    .flat_map(|upstream| upstream.requests(&path))
                    .filter(|request| request.path == path)
                    .count();
                assert_eq!(sent, 1, "{path}, {line}: sent again");
            }
        }
    }
    for upstream in &upstreams {
        let seen = upstream.requests("/");
        let is_faulty = |request: &&Request| request.path.contains('-');
        for faulty in seen.iter().filter(is_faulty) {
            let mut on_connection = seen.iter().rev();
            let last = on_connection.find(|other| other.connection == faulty.connection);
            assert_eq!(last.unwrap().path, faulty.path, "connection used again");
        }
    }
}
