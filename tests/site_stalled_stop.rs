//! A planned stop of an entry process that gets no processor time for a while.

mod site_support;

use std::time::Duration;

use tokio::time::sleep;

use site_support::{Site, document, patient_caller, proper, wait_routable};

/// Guards against requests that wait in the sockets of a busy entry when it stops accepting
/// connections, and are then reset.
#[tokio::test]
async fn requests_unread_at_the_end_of_accepting_are_answered() {
    let mut site = Site::serving(&document(1)).await;
    let _upstream = site.upstream("plain", proper).await;
    wait_routable(&site, "/safe/").await;
    site.signal("entry-1", "TERM");
    sleep(Duration::from_millis(200)).await;
    site.signal("entry-1", "STOP");
    let calls: Vec<_> = (0..5)
        .map(|n| patient_caller(&site, "/safe/waiting", &format!("id-{n}"), 9_000))
        .map(|call| tokio::spawn(call.send()))
        .collect();
    sleep(Duration::from_millis(2_600)).await;
    site.signal("entry-1", "CONT");
    let mut answers = Vec::new();
    for call in calls {
        answers.push(call.await.unwrap().map(|answer| answer.status().as_u16()));
    }
    assert!(
        answers.iter().all(Result::is_ok),
        "some callers got no answer: {answers:?}"
    );
}
