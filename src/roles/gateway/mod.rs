//! HTTP gateway: matches callers' requests against the routes of the configuration document and
//! forwards each request to an upstream instance.

mod collect;
mod crashes;
mod events;
mod generation;
mod instance_signals;
mod metrics;
mod migrate;
mod open_requests;
mod pace_metrics;
mod permits;
mod plain;
mod plain_stream;
mod read_ahead;
mod relay;
mod release;
mod request;
mod response;
mod resume;
mod sync;
mod ticket;
mod upstream;

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use http::{HeaderValue, Method, StatusCode, header};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};
use xxhash_rust::xxh3::xxh3_64;

use crate::adapters::clock::monotonic_ms;
use crate::adapters::web::{self, ConnectionState, GuardedStream};
use crate::domain::admission::AdmissionQueue;
use crate::domain::document::Index;
use crate::domain::evacuation::Evacuations;
use crate::domain::fleet::{ListReads, View};
use crate::domain::length::HintedLengths;
use crate::domain::quarantine::{PartWatch, RequestWatch};
use crate::domain::retry::WindowBudget;
use crate::model::{InstanceName, ZoneName};
use crate::platform::paths;
use crate::rpc::Link;
use crate::rpc::directory::DirectoryClient;
use crate::settings::GatewaySettings;

use metrics::Metrics;
use open_requests::OpenRequests;
use pace_metrics::PaceMetrics;
use read_ahead::ReadAheadBudget;
use release::LivenessChecks;
use upstream::ConnectionPool;

/// Delay after a failed accept; the usual cause is a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Interval at which expired idle upstream connections are closed.
const IDLE_SWEEP_INTERVAL: Duration = Duration::from_millis(500);
/// Limits for connections that are accepted before the first document has been received.
const DEFAULT_HEADER_BYTES: usize = 16_384;
const DEFAULT_IDLE_TIMEOUT_MS: u64 = 15_000;
const DEFAULT_HEAD_TIMEOUT_MS: u64 = 3_000;
/// Smallest read buffer that hyper accepts.
const MIN_HEADER_BYTES: usize = 8_192;
/// New connections are still accepted for this long after SIGTERM: the platform's load balancer
/// needs two failed readiness probes, one second apart, to route callers elsewhere.
const ACCEPT_AFTER_SIGTERM: Duration = Duration::from_millis(2_500);

/// The end of the grace period is at most this much earlier than a whole period after the signal was
/// noticed. It is below the sixth of the period in which the platform excuses streams that are cut.
const MAX_GRACE_SHIFT: Duration = Duration::from_millis(400);

/// Time after which connections and requests that had arrived before the end of `ACCEPT_AFTER_SIGTERM`
/// have been read. Timers are only checked after sockets are, so a short time is enough.
const LAST_READS_TIME: Duration = Duration::from_millis(100);

/// Time after the grace period of a planned stop for the responses to requests that are still open
/// then. It takes a few milliseconds for a response to reach its caller.
const LAST_RESPONSES_TIME: Duration = Duration::from_millis(250);

/// State of the gateway role of one process.
pub struct Gateway {
    settings: GatewaySettings,
    name: Arc<str>,
    /// Lookup index of the document in force; `None` until the first document has been received.
    index: watch::Sender<Option<Arc<Index>>>,
    /// Monotonic time at which the document was last confirmed to be the newest; 0 for never.
    confirmed_ms: AtomicU64,
    /// Monotonic time of the last answer of a control instance with a log that could not confirm the
    /// document; 0 for never.
    unconfirmed_reply_ms: AtomicU64,
    /// The evacuated zones of the newest confirmed reply.
    evacuations: watch::Sender<Evacuations>,
    /// Instances and their loads as known to this entry.
    view: Mutex<View>,
    /// Schedule of this entry's own reads of the platform's instance list.
    list_reads: Mutex<ListReads>,
    /// Counter that is incremented when an instance may have begun to leave.
    departure_changes: watch::Sender<u64>,
    /// Retry budgets by service.
    budgets: Mutex<BTreeMap<Arc<str>, WindowBudget>>,
    /// Observed output lengths, from which the length of a generation is estimated.
    lengths: Mutex<HintedLengths>,
    /// Number of entries, whose gateways share the retry slack.
    entry_count: AtomicU32,
    pool: ConnectionPool,
    read_ahead: Arc<ReadAheadBudget>,
    liveness_checks: LivenessChecks,
    /// Link to the control instance that answered last.
    control: Mutex<Option<Arc<Link<DirectoryClient>>>>,
    /// Control is not asked for permits before this monotonic time.
    hub_retry_at_ms: AtomicU64,
    /// Generations that wait at this entry for an engine while control is unreachable.
    admission_queue: Mutex<AdmissionQueue>,
    /// True while the control instances that answer keep no replicated log and know no leader.
    control_without_log: AtomicBool,
    /// Notified when an engine may have free capacity again.
    capacity_changes: Notify,
    /// Prompt parts on which engines crash.
    part_watch: Mutex<PartWatch>,
    /// Requests on which instances crash.
    request_watch: Mutex<RequestWatch>,
    metrics: Metrics,
    pace_metrics: PaceMetrics,
    /// True once a planned stop has begun.
    stopping: watch::Sender<bool>,
    /// When the grace period of a planned stop ends; `None` before the stop.
    grace_ends_at: watch::Sender<Option<Instant>>,
    /// When new requests are refused and the listener is to be closed; `None` before a planned stop.
    closes_at: watch::Sender<Option<Instant>>,
    /// True once the listener is closed.
    closed: watch::Sender<bool>,
    /// Has one receiver per open caller connection; closes when the last one has ended.
    open_connections: watch::Sender<()>,
    open_requests: Arc<OpenRequests>,
}

impl Gateway {
    /// Starts the role. Fails if an address cannot be bound.
    pub async fn start(
        settings: &GatewaySettings,
        name: InstanceName,
        zone: ZoneName,
        seeds: watch::Receiver<Vec<SocketAddr>>,
    ) -> std::io::Result<Arc<Self>> {
        let metrics = Metrics::new();
        let read_ahead =
            ReadAheadBudget::new(settings.read_ahead_bytes, metrics.read_ahead.clone());
        let gateway = Arc::new(Self {
            settings: settings.clone(),
            name: name.0,
            index: watch::Sender::new(None),
            confirmed_ms: AtomicU64::new(0),
            unconfirmed_reply_ms: AtomicU64::new(0),
            evacuations: watch::Sender::default(),
            view: Mutex::new(View::new(zone)),
            list_reads: Mutex::default(),
            departure_changes: watch::Sender::new(0),
            budgets: Mutex::default(),
            lengths: Mutex::default(),
            entry_count: AtomicU32::new(1),
            pool: ConnectionPool::default(),
            read_ahead: Arc::new(read_ahead),
            liveness_checks: LivenessChecks::default(),
            control: Mutex::default(),
            hub_retry_at_ms: AtomicU64::new(0),
            admission_queue: Mutex::default(),
            control_without_log: AtomicBool::new(false),
            capacity_changes: Notify::new(),
            part_watch: Mutex::default(),
            request_watch: Mutex::default(),
            metrics,
            pace_metrics: PaceMetrics::new(),
            stopping: watch::Sender::new(false),
            grace_ends_at: watch::Sender::new(None),
            closes_at: watch::Sender::new(None),
            closed: watch::Sender::new(false),
            open_connections: watch::Sender::new(()),
            open_requests: Arc::default(),
        });
        let seed = xxh3_64(gateway.name.as_bytes());
        gateway.with_view(|view| view.set_seed(seed));
        let listener = TcpListener::bind(settings.http_address).await?;
        let probed = Arc::clone(&gateway);
        web::serve(settings.ready_address, move |request| {
            let ready = probed.ready();
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
        let open = gateway.open_connections.subscribe();
        tokio::spawn(Arc::clone(&gateway).accept(listener, open));
        tokio::spawn(Arc::clone(&gateway).close_idle_connections());
        Ok(gateway)
    }

    /// Stops accepting connections `ACCEPT_AFTER_SIGTERM` after `unsignalled_at`, the last moment at
    /// which the signal had certainly not been sent, and returns once all open requests have
    /// finished. Those that are still open at the end of the grace period are answered as unknown
    /// or, if they were not forwarded, as not run.
    pub async fn drain(&self, unsignalled_at: Instant, grace: Duration) {
        // A process that was held up before its signal must not end streams that much earlier.
        let earliest = Instant::now()
            .checked_sub(MAX_GRACE_SHIFT)
            .unwrap_or(unsignalled_at);
        let grace_ends_at = unsignalled_at.max(earliest) + grace;
        let closes_at = unsignalled_at + ACCEPT_AFTER_SIGTERM.min(grace);
        self.grace_ends_at.send_replace(Some(grace_ends_at));
        self.closes_at.send_replace(Some(closes_at));
        self.stopping.send_replace(true);
        let done = async {
            sleep_until(closes_at).await;
            self.closed.send_replace(true);
            self.open_connections.closed().await;
        };
        tokio::pin!(done);
        if timeout_at(grace_ends_at, &mut done).await.is_ok() {
            return;
        }
        let requests = self.open_requests.log_all();
        tracing::warn!(
            open = self.open_connections.receiver_count(),
            requests,
            "grace period expired with connections still open"
        );
        // Those that are still open then were named above.
        let _ = timeout(LAST_RESPONSES_TIME, done).await;
    }

    /// Returns true from the time at which the listener is to be closed. A process that is short of
    /// CPU time may close it later.
    fn is_closed(&self) -> bool {
        self.closes_at
            .borrow()
            .is_some_and(|closes_at| Instant::now() >= closes_at)
    }

    /// Returns at the end of the grace period of a planned stop, while there is still time to answer
    /// callers.
    async fn grace_expires(&self) {
        let mut grace_ends_at = self.grace_ends_at.subscribe();
        // Cannot fail: the gateway keeps the sender.
        let ends_at = match grace_ends_at.wait_for(Option::is_some).await {
            Ok(ends_at) => *ends_at,
            Err(_) => None,
        };
        match ends_at {
            Some(ends_at) => sleep_until(ends_at).await,
            None => std::future::pending().await,
        }
    }

    /// Fails with the reason, as text for the readiness probe, if the gateway is not ready.
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

    /// Returns how long ago the document was last confirmed to be the newest; `None` if never.
    fn confirmed_age_ms(&self) -> Option<u64> {
        age_ms(&self.confirmed_ms)
    }

    /// Returns true if the document was confirmed to be the newest within `confirm_limit_ms`.
    fn is_confirmed(&self) -> bool {
        self.is_recent(self.confirmed_age_ms())
    }

    /// Returns true if control has answered within `confirm_limit_ms`, but could not confirm the
    /// document. Unlike an entry that is cut off, this one must obey changes that control has
    /// acknowledged, and cannot know them.
    fn is_unconfirmed_by_control(&self) -> bool {
        !self.is_confirmed() && self.is_recent(age_ms(&self.unconfirmed_reply_ms))
    }

    fn is_recent(&self, age_ms: Option<u64>) -> bool {
        age_ms.is_some_and(|age_ms| age_ms < self.settings.confirm_limit_ms)
    }

    fn with_view<T>(&self, use_it: impl FnOnce(&mut View) -> T) -> T {
        use_it(&mut self.view.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn with_part_watch<T>(&self, use_it: impl FnOnce(&mut PartWatch) -> T) -> T {
        use_it(
            &mut self
                .part_watch
                .lock()
                .unwrap_or_else(PoisonError::into_inner),
        )
    }

    /// Returns the link to the control instance that answered last.
    fn control_link(&self) -> Option<Arc<Link<DirectoryClient>>> {
        let link = self.control.lock().unwrap_or_else(PoisonError::into_inner);
        link.clone()
    }

    fn with_admission_queue<T>(&self, use_it: impl FnOnce(&mut AdmissionQueue) -> T) -> T {
        use_it(
            &mut self
                .admission_queue
                .lock()
                .unwrap_or_else(PoisonError::into_inner),
        )
    }

    fn with_lengths<T>(&self, use_it: impl FnOnce(&mut HintedLengths) -> T) -> T {
        use_it(&mut self.lengths.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Calls `use_it` with the retry budget of a service, which is created on first use.
    fn with_budget<T>(&self, service: &Arc<str>, use_it: impl FnOnce(&mut WindowBudget) -> T) -> T {
        let mut budgets = self.budgets.lock().unwrap_or_else(PoisonError::into_inner);
        let settings = &self.settings;
        let budget = budgets.entry(Arc::clone(service)).or_insert_with(|| {
            WindowBudget::new(settings.retry_window_ms, settings.retry_permille)
        });
        use_it(budget)
    }

    /// Takes one retry from the budget of a service; returns false if it is exhausted.
    fn may_retry(&self, service: &Arc<str>) -> bool {
        let gateways = u64::from(self.entry_count.load(Ordering::Relaxed).max(1));
        let slack = self.settings.retry_slack / gateways;
        self.with_budget(service, |budget| budget.take(slack, monotonic_ms()))
    }

    async fn close_idle_connections(self: Arc<Self>) {
        loop {
            sleep(IDLE_SWEEP_INTERVAL).await;
            self.pool.close_idle_connections();
        }
    }

    /// Accepts connections until a planned stop closes the listener. `_open` keeps the stop from
    /// ending before that.
    async fn accept(self: Arc<Self>, listener: TcpListener, _open: watch::Receiver<()>) {
        let closing = wait_until_read(self.closed.subscribe());
        tokio::pin!(closing);
        loop {
            let accepted = tokio::select! {
                biased;
                accepted = listener.accept() => accepted,
                () = &mut closing => break,
            };
            match accepted {
                Ok((stream, _)) => {
                    let open = self.open_connections.subscribe();
                    tokio::spawn(Arc::clone(&self).serve(stream, open));
                }
                Err(error) => {
                    tracing::error!(%error, "cannot accept a caller connection");
                    sleep(ACCEPT_RETRY_DELAY).await;
                    if *self.closed.borrow() {
                        break;
                    }
                }
            }
        }
        let open = self.open_connections.receiver_count().saturating_sub(1);
        tracing::info!(open, "listener closed");
    }

    async fn serve(self: Arc<Self>, stream: TcpStream, _open: watch::Receiver<()>) {
        // Ignored: a broken socket fails again on first use.
        let _ = stream.set_nodelay(true);
        let limits = self
            .index
            .borrow()
            .as_ref()
            .map(|index| index.document().limits);
        let header_bytes = limits.map_or(DEFAULT_HEADER_BYTES, |limits| limits.header_bytes);
        let idle_ms = limits.map_or(DEFAULT_IDLE_TIMEOUT_MS, |limits| limits.idle_timeout_ms);
        let head_ms = limits.map_or(DEFAULT_HEAD_TIMEOUT_MS, |limits| limits.header_timeout_ms);
        // Linux counts the time in which a caller does not read too, so this is no shorter than the
        // time for which a caller may be idle.
        let user_timeout = Duration::from_millis(idle_ms.max(1));
        let _ = SockRef::from(&stream).set_tcp_user_timeout(Some(user_timeout));
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
                let mut response = Arc::clone(&gateway).handle(request).await;
                // During a planned stop, each connection is closed after its next response.
                if *gateway.stopping.borrow() {
                    let close = HeaderValue::from_static("close");
                    response.headers_mut().insert(header::CONNECTION, close);
                }
                Ok::<_, Infallible>(response.map(|body| open.until_end_of(body)))
            }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(Duration::from_millis(idle_ms.max(1)))
            .max_buf_size(header_bytes.max(MIN_HEADER_BYTES))
            .serve_connection(TokioIo::new(stream), service);
        tokio::pin!(connection);
        let ended = tokio::select! {
            biased;
            ended = &mut connection => ended,
            () = wait_until_read(self.closed.subscribe()) => {
                connection.as_mut().graceful_shutdown();
                tokio::select! {
                    biased;
                    ended = &mut connection => ended,
                    () = self.grace_expires() => {
                        state.hand_to_kernel();
                        connection.await
                    }
                }
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
                tracing::debug!(%error, "caller connection ended with an error");
                return;
            }
        };
        self.metrics.count_refusal(code);
        tracing::info!(code, %error, "request head rejected");
    }
}

/// Returns some time after `closed` is set, when connections and requests that had arrived by then
/// can be read. Sockets that are closed before they are read are reset, and a process that was held
/// up finds its listener due to be closed before it has read anything.
async fn wait_until_read(mut closed: watch::Receiver<bool>) {
    // Cannot fail: the gateway keeps the sender for as long as it serves connections.
    let _ = closed.wait_for(|set| *set).await;
    sleep(LAST_READS_TIME).await;
}

/// Returns the time since a monotonic time; `None` if that is 0, for never.
fn age_ms(time_ms: &AtomicU64) -> Option<u64> {
    match time_ms.load(Ordering::Relaxed) {
        0 => None,
        time_ms => Some(monotonic_ms().saturating_sub(time_ms)),
    }
}
