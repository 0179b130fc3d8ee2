//! Start and stop of Rocket servers.

use std::time::Duration;

use lilacspindle::adapters::http;
use rocket::{get, routes};
use tokio::sync::mpsc;

/// Longer than the 3 s after which Rocket gives up waiting for open responses at shutdown.
const BUSY: Duration = Duration::from_secs(5);

struct Started(mpsc::UnboundedSender<()>);

#[get("/busy")]
fn busy(started: &rocket::State<Started>) {
    started.0.send(()).unwrap();
    // A handler that blocks its thread cannot be cancelled.
    std::thread::sleep(BUSY);
}

/// Guards against a panic in `Server::stop` when a response is still open at the end of Rocket's
/// shutdown, as happened in `an_engine_that_is_down_is_reported` on a loaded machine.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn server_stops_though_a_response_is_still_open() {
    let (sender, mut started) = mpsc::unbounded_channel();
    let server = http::start(([127, 0, 0, 1], 0).into(), 1_000, |rocket| {
        rocket.manage(Started(sender)).mount("/", routes![busy])
    });
    let server = server.await.unwrap();
    let url = format!("http://{}/busy", server.address);
    let call = tokio::spawn(async move { reqwest::get(url).await });
    started.recv().await.unwrap();
    server.stop().await;
    call.abort();
}
