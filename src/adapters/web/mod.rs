//! Minimal HTTP servers for operators, probes and metrics.

mod guard;

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;
use tokio::time::sleep;

use crate::adapters::telemetry::render_metrics;

pub use guard::{ConnectionState, GuardedStream};

/// A connection is closed if no request head arrives within this time.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Pause after a failed accept, most likely because the process ran out of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// A response with a complete, in-memory body.
pub type Page = Response<Full<Bytes>>;

/// Returns a response with a text body.
pub fn text(status: StatusCode, text: &str) -> Page {
    let mut page = Response::new(Full::new(Bytes::copy_from_slice(text.as_bytes())));
    *page.status_mut() = status;
    page
}

/// Serves requests at an address in a background task; fails if the address is in use.
pub async fn serve<F, Fut>(address: SocketAddr, answer: F) -> std::io::Result<()>
where
    F: Fn(Request<Incoming>) -> Fut + Send + Sync + 'static,
    Fut: Future<Output = Page> + Send + 'static,
{
    let listener = TcpListener::bind(address).await?;
    let answer = Arc::new(answer);
    tokio::spawn(async move {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                sleep(ACCEPT_PAUSE).await;
                continue;
            };
            let answer = Arc::clone(&answer);
            tokio::spawn(async move {
                let service = service_fn(move |request| {
                    let page = answer(request);
                    async move { Ok::<_, Infallible>(page.await) }
                });
                let connection = http1::Builder::new()
                    .timer(TokioTimer::new())
                    .header_read_timeout(IDLE_TIMEOUT)
                    .serve_connection(TokioIo::new(stream), service);
                if let Err(error) = connection.await {
                    tracing::debug!(%error, "connection ended with an error");
                }
            });
        }
    });
    Ok(())
}

/// Serves the metrics of this process; fails if the address is in use.
pub async fn serve_metrics(address: SocketAddr) -> std::io::Result<()> {
    serve(address, |_| async {
        text(StatusCode::OK, &render_metrics())
    })
    .await
}
