//! The gateway: takes callers' requests, finds their route in the shared document, and passes each
//! to one upstream instance.

mod answer;
mod collect;
mod events;
mod generation;
mod heed;
mod metrics;
mod migrate;
mod plain;
mod relay;
mod request;
mod sync;
mod ticket;
mod upstream;

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use http::{Method, StatusCode};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, watch};
use tokio::time::{sleep, timeout};

use crate::adapters::clock::monotonic_ms;
use crate::adapters::web::{self, ConnectionState, GuardedStream};
use crate::domain::admission::Waiting;
use crate::domain::document::Index;
use crate::domain::fleet::{ListReads, View};
use crate::domain::length::HintedLengths;
use crate::domain::retry::WindowBudget;
use crate::model::{InstanceName, ZoneName};
use crate::platform::paths;
use crate::rpc::Link;
use crate::rpc::directory::DirectoryClient;
use crate::settings::GatewaySettings;

use metrics::Metrics;
use upstream::Pool;

/// A caller that does not acknowledge bytes for this long is gone.
const CALLER_SILENCE_LIMIT: Duration = Duration::from_secs(5);
/// Pause after a failed accept, which is most likely for want of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Time between checks for idle connections to close.
const CLOSE_IDLE_EVERY: Duration = Duration::from_millis(500);
/// Limits of connections that are accepted before a document is known.
const FIRST_HEADER_BYTES: usize = 16_384;
const FIRST_IDLE_MS: u64 = 15_000;
const FIRST_HEAD_MS: u64 = 3_000;
/// Smallest buffer that the HTTP library accepts.
const MIN_HEADER_BYTES: usize = 8_192;
/// After SIGTERM new connections are still served for this long: the platform needs two failed
/// probes, a second apart, to send them elsewhere.
const ACCEPT_AFTER_STOP: Duration = Duration::from_millis(2_500);

/// The gateway role of one process.
pub struct Gateway {
    settings: GatewaySettings,
    name: Arc<str>,
    index: watch::Sender<Option<Arc<Index>>>,
    /// When the document was last known to be the newest; 0 for never.
    confirmed_ms: AtomicU64,
    view: Mutex<View>,
    /// Reads of the platform's list by this entry itself.
    list_reads: Mutex<ListReads>,
    /// Changes when an instance begins to leave.
    leaving_news: watch::Sender<u64>,
    budgets: Mutex<BTreeMap<Arc<str>, WindowBudget>>,
    lengths: Mutex<HintedLengths>,
    /// Gateways that share the retry budget.
    gateways: AtomicU32,
    pool: Pool,
    /// The control instance that answered last.
    control: Mutex<Option<Arc<Link<DirectoryClient>>>>,
    waiting: Mutex<Waiting>,
    /// True while the control instances that answer keep no log and know none that does.
    control_without_log: AtomicBool,
    /// Told when an engine may have room again.
    room_news: Notify,
    metrics: Metrics,
    stopping: watch::Sender<bool>,
    /// True once requests that still come are refused.
    closed: watch::Sender<bool>,
    /// One receiver for each open connection.
    open: watch::Sender<()>,
}

impl Gateway {
    /// Starts the role; fails if an address is in use.
    pub async fn start(
        settings: &GatewaySettings,
        name: InstanceName,
        zone: ZoneName,
        seeds: watch::Receiver<Vec<SocketAddr>>,
    ) -> std::io::Result<Arc<Self>> {
        let gateway = Arc::new(Self {
            settings: settings.clone(),
            name: name.0,
            index: watch::Sender::new(None),
            confirmed_ms: AtomicU64::new(0),
            view: Mutex::new(View::new(zone)),
            list_reads: Mutex::default(),
            leaving_news: watch::Sender::new(0),
            budgets: Mutex::default(),
            lengths: Mutex::default(),
            gateways: AtomicU32::new(1),
            pool: Pool::default(),
            control: Mutex::default(),
            waiting: Mutex::default(),
            control_without_log: AtomicBool::new(false),
            room_news: Notify::new(),
            metrics: Metrics::new(),
            stopping: watch::Sender::new(false),
            closed: watch::Sender::new(false),
            open: watch::Sender::new(()),
        });
        let listener = TcpListener::bind(settings.http_address).await?;
        let observed = Arc::clone(&gateway);
        web::serve(settings.ready_address, move |request| {
            let ready = observed.ready();
            async move {
                match (request.method(), request.uri().path(), ready) {
                    (&Method::GET, paths::READINESS, Ok(())) => {
                        web::text(StatusCode::OK, "ready\n")
                    }
                    (&Method::GET, paths::READINESS, Err(reason)) => {
                        web::text(StatusCode::SERVICE_UNAVAILABLE, reason)
                    }
                    _ => web::text(StatusCode::NOT_FOUND, "no such page\n"),
                }
            }
        })
        .await?;
        tokio::spawn(Arc::clone(&gateway).sync(seeds));
        tokio::spawn(Arc::clone(&gateway).accept(listener));
        tokio::spawn(Arc::clone(&gateway).close_idle());
        Ok(gateway)
    }

    /// Takes no new connections after a short time, lets open requests end, and returns once all
    /// have or the grace time is over.
    pub async fn drain(&self, grace: Duration) {
        self.stopping.send_replace(true);
        let done = async {
            sleep(ACCEPT_AFTER_STOP.min(grace)).await;
            self.closed.send_replace(true);
            self.open.closed().await;
        };
        if timeout(grace, done).await.is_err() {
            tracing::warn!(
                open = self.open.receiver_count(),
                "grace time is over; closing"
            );
        }
    }

    /// Returns why the gateway takes no new connections, if it does not.
    fn ready(&self) -> Result<(), &'static str> {
        match () {
            () if *self.stopping.borrow() => Err("leaving\n"),
            () if self.index.borrow().is_none()
                && self.control_without_log.load(Ordering::Relaxed) =>
            {
                Err("control keeps no log; give an instance a data_folder in [directory]\n")
            }
            () if self.index.borrow().is_none() => Err("no document is known yet\n"),
            () if !self.is_confirmed() => Err("the document cannot be confirmed\n"),
            () => Ok(()),
        }
    }

    /// Returns how long ago the document was known to be the newest, or none if it never was.
    fn confirmed_age_ms(&self) -> Option<u64> {
        match self.confirmed_ms.load(Ordering::Relaxed) {
            0 => None,
            confirmed_ms => Some(monotonic_ms().saturating_sub(confirmed_ms)),
        }
    }

    /// Returns true if the document was the newest a short time ago.
    fn is_confirmed(&self) -> bool {
        let age_ms = self.confirmed_age_ms();
        age_ms.is_some_and(|age_ms| age_ms < self.settings.confirm_limit_ms)
    }

    fn with_view<T>(&self, use_view: impl FnOnce(&mut View) -> T) -> T {
        use_view(&mut self.view.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Returns the control instance that answered last.
    fn control_link(&self) -> Option<Arc<Link<DirectoryClient>>> {
        let link = self.control.lock().unwrap_or_else(PoisonError::into_inner);
        link.clone()
    }

    fn with_waiting<T>(&self, use_it: impl FnOnce(&mut Waiting) -> T) -> T {
        use_it(&mut self.waiting.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn with_lengths<T>(&self, use_it: impl FnOnce(&mut HintedLengths) -> T) -> T {
        use_it(&mut self.lengths.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Uses the retry budget of a service.
    fn with_budget<T>(&self, service: &Arc<str>, use_it: impl FnOnce(&mut WindowBudget) -> T) -> T {
        let mut budgets = self.budgets.lock().unwrap_or_else(PoisonError::into_inner);
        let settings = &self.settings;
        let budget = budgets.entry(Arc::clone(service)).or_insert_with(|| {
            WindowBudget::new(settings.retry_window_ms, settings.retry_permille)
        });
        use_it(budget)
    }

    /// Takes a repeat from the retry budget of a service; returns false if none is left.
    fn may_repeat(&self, service: &Arc<str>) -> bool {
        let gateways = u64::from(self.gateways.load(Ordering::Relaxed).max(1));
        let slack = self.settings.retry_slack / gateways;
        self.with_budget(service, |budget| budget.take(slack, monotonic_ms()))
    }

    async fn close_idle(self: Arc<Self>) {
        loop {
            sleep(CLOSE_IDLE_EVERY).await;
            self.pool.close_idle();
        }
    }

    async fn accept(self: Arc<Self>, listener: TcpListener) {
        let mut closed = self.closed.subscribe();
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = is_set(&mut closed) => return,
            };
            match accepted {
                Ok((stream, _)) => {
                    tokio::spawn(Arc::clone(&self).serve(stream));
                }
                Err(error) => {
                    tracing::error!(%error, "cannot accept a caller's connection");
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    async fn serve(self: Arc<Self>, stream: TcpStream) {
        // Failures show when the connection is used.
        let _ = stream.set_nodelay(true);
        let _ = SockRef::from(&stream).set_tcp_user_timeout(Some(CALLER_SILENCE_LIMIT));
        let _open = self.open.subscribe();
        // A connection that comes while the gateway stops is served one request.
        let kept = !*self.stopping.borrow();
        let mut close = if kept {
            self.stopping.subscribe()
        } else {
            self.closed.subscribe()
        };
        let limits = self
            .index
            .borrow()
            .as_ref()
            .map(|index| index.document().limits);
        let header_bytes = limits.map_or(FIRST_HEADER_BYTES, |limits| limits.header_bytes);
        let idle_ms = limits.map_or(FIRST_IDLE_MS, |limits| limits.idle_timeout_ms);
        let head_ms = limits.map_or(FIRST_HEAD_MS, |limits| limits.header_timeout_ms);
        let state = Arc::new(ConnectionState::default());
        let stream = GuardedStream::new(
            stream,
            Arc::clone(&state),
            Duration::from_millis(head_ms.max(1)),
        );
        let (gateway, requests) = (Arc::clone(&self), Arc::clone(&state));
        let service = service_fn(move |request| {
            let gateway = Arc::clone(&gateway);
            let open = requests.open();
            async move {
                let answer = gateway.answer(request).await;
                Ok::<_, Infallible>(answer.map(|body| open.until_end_of(body)))
            }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .keep_alive(kept)
            .header_read_timeout(Duration::from_millis(idle_ms.max(1)))
            .max_buf_size(header_bytes.max(MIN_HEADER_BYTES))
            .serve_connection(TokioIo::new(stream), service);
        tokio::pin!(connection);
        let ended = tokio::select! {
            ended = &mut connection => ended,
            () = is_set(&mut close) => {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        };
        let Err(error) = ended else {
            return;
        };
        let code = match state.fault() {
            Some(fault) => fault.code(),
            None if error.is_parse_too_large() => "head_too_large",
            None if error.is_parse() => "malformed",
            None => {
                tracing::debug!(%error, "caller's connection ended");
                return;
            }
        };
        self.metrics.refused(code);
        tracing::info!(code, %error, "request head refused");
    }
}

/// Returns once a flag of the gateway is set.
async fn is_set(flag: &mut watch::Receiver<bool>) {
    // The gateway holds the sender for as long as it serves connections.
    let _ = flag.wait_for(|set| *set).await;
}
