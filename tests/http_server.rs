//! Rocket servers that the project drains itself.

use std::time::Duration;

use lilacspindle::adapters::http;
use rocket::{get, routes};
use tokio::sync::mpsc;

/// Longer than Rocket waits for a response before it gives up its shutdown, 3 s.
const BUSY: Duration = Duration::from_secs(5);

struct Begun(mpsc::UnboundedSender<()>);

#[get("/busy")]
fn busy(begun: &rocket::State<Begun>) {
    begun.0.send(()).unwrap();
    // Nothing can cut a handler that does not yield.
    std::thread::sleep(BUSY);
}

/// Guards against a stop that panics: CI beside load found one in `an_engine_that_is_down_is_reported`,
/// whose server still had something open at the end of its shutdown.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn server_stops_though_a_response_is_still_open() {
    let (sender, mut begun) = mpsc::unbounded_channel();
    let server = http::start(([127, 0, 0, 1], 0).into(), 1_000, |rocket| {
        rocket.manage(Begun(sender)).mount("/", routes![busy])
    });
    let server = server.await.unwrap();
    let url = format!("http://{}/busy", server.address);
    let call = tokio::spawn(async move { reqwest::get(url).await });
    begun.recv().await.unwrap();
    server.stop().await;
    call.abort();
}
