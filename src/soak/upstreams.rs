//! Stand-ins for inference engines and plain services, by the platform's published protocol. They
//! record what arrives.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Duration;

use serde_json::Value;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use super::recorder::Recorder;
use super::services::{self, Health};
use super::wire::{Head, Input, json_response, response};
use crate::adapters::mutex::lock;
use crate::domain::fleet::Report;
use crate::platform::standin::ReplicaRequest;
use crate::platform::{paths, standin};
use crate::soak::history::{Execution, ExecutionEnd};

pub(super) const SLOTS: u32 = 64;
pub(super) const MEMORY_TOKENS: u64 = 200_000;
pub(super) const TOKENS_PER_EVENT: u32 = 4;
pub(super) const HEALTH_PATH: &str = "/health";
/// Time that a copy of a generation's memory takes, and time between updates of a backup.
const COPY_MS: u64 = 40;
const BACKUP_INTERVAL_MS: u64 = 250;
const SILENCE_POLL_MS: u64 = 10;
const CLOSE_POLL_MS: u64 = 5;

/// A generation that runs at an engine.
struct Run {
    made: AtomicU64,
    /// When the first event was made; unset before that.
    began_ms: OnceLock<u64>,
    total: u64,
    stopped: CancellationToken,
}

/// A copy of a generation's memory.
struct Moved {
    id: Arc<str>,
    /// The instances that hold the memory: the source, and the target if it was reached.
    holders: Vec<Arc<str>>,
    /// True if the generation was stopped for it, so that it may go on.
    is_stopped: bool,
}

/// One start of an upstream instance.
pub(super) struct Upstream {
    pub(super) identity: Arc<str>,
    pub(super) service: Arc<str>,
    /// The address under which the instance is listed.
    pub(super) address: SocketAddr,
    is_engine: bool,
    fleet: Arc<Fleet>,
    silent_until_ms: AtomicU64,
    /// Time at which the instance will be gone; 0 if it does not leave.
    gone_at_ms: AtomicU64,
    gone: CancellationToken,
    active: AtomicU32,
    runs: Mutex<BTreeMap<Arc<str>, Arc<Run>>>,
    /// Events covered by the backups that are kept here, by request.
    backups: Mutex<BTreeMap<Arc<str>, u64>>,
    /// How an instance of a plain service treats its requests.
    pub(super) health: Arc<Health>,
}

/// All instances of a run, by their listed address.
pub(super) struct Fleet {
    recorder: Arc<Recorder>,
    by_address: Mutex<BTreeMap<SocketAddr, Arc<Upstream>>>,
    /// Copies, by the address of their source and their handle.
    moved: Mutex<BTreeMap<(SocketAddr, String), Moved>>,
    next_handle: AtomicU64,
}

impl Fleet {
    pub(super) fn new(recorder: Arc<Recorder>) -> Self {
        Self {
            recorder,
            by_address: Mutex::default(),
            moved: Mutex::default(),
            next_handle: AtomicU64::new(1),
        }
    }

    fn at(&self, address: SocketAddr) -> Option<Arc<Upstream>> {
        let by_address = lock(&self.by_address);
        let found = by_address.get(&address).cloned();
        found.filter(|upstream| !upstream.gone.is_cancelled())
    }

    /// Starts an instance that is reached at `address` and serves the connections of `listener`.
    pub(super) fn start(
        self: &Arc<Self>,
        identity: Arc<str>,
        service: Arc<str>,
        address: SocketAddr,
        is_engine: bool,
        health: Arc<Health>,
        listener: TcpListener,
    ) -> Arc<Upstream> {
        let upstream = Arc::new(Upstream {
            health,
            identity,
            service,
            address,
            is_engine,
            fleet: Arc::clone(self),
            silent_until_ms: AtomicU64::new(0),
            gone_at_ms: AtomicU64::new(0),
            gone: CancellationToken::new(),
            active: AtomicU32::new(0),
            runs: Mutex::default(),
            backups: Mutex::default(),
        });
        lock(&self.by_address).insert(address, Arc::clone(&upstream));
        let accepting = Arc::clone(&upstream);
        tokio::spawn(async move {
            let gone = accepting.gone.clone();
            gone.run_until_cancelled(accept(accepting, listener)).await;
        });
        upstream
    }
}

async fn accept(upstream: Arc<Upstream>, listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        let upstream = Arc::clone(&upstream);
        // A connection ends with an error when its caller closes it.
        tokio::spawn(async move {
            let gone = upstream.gone.clone();
            gone.run_until_cancelled(upstream.serve(stream)).await
        });
    }
}

/// Records an execution when it ends, also if its task is cancelled.
pub(super) struct Recorded {
    recorder: Arc<Recorder>,
    gone: CancellationToken,
    run: Option<(Arc<Upstream>, Arc<Run>)>,
    execution: Execution,
    is_decided: bool,
}

impl Recorded {
    pub(super) fn id(&self) -> &str {
        &self.execution.id
    }

    pub(super) fn begin(&mut self, now_ms: u64) {
        self.execution.began_ms = Some(now_ms);
    }

    pub(super) fn end(&mut self, end: ExecutionEnd) {
        self.execution.end = end;
        self.execution.ended_ms = self.recorder.now_ms();
        self.is_decided = true;
    }
}

impl Drop for Recorded {
    fn drop(&mut self) {
        if !self.is_decided {
            self.end(match self.gone.is_cancelled() {
                true => ExecutionEnd::BrokenOff,
                false => ExecutionEnd::Dropped,
            });
        }
        if let Some((upstream, run)) = &self.run {
            self.execution.last_event = run.made.load(Ordering::Relaxed);
            self.execution.began_ms = run.began_ms.get().copied();
            let mut runs = lock(&upstream.runs);
            let is_own = |own: &Arc<Run>| Arc::ptr_eq(own, run);
            // A run that was stopped for a copy keeps its memory until it is resumed.
            if runs.get(&self.execution.id).is_some_and(is_own) {
                runs.remove(&self.execution.id);
            }
        }
        let execution = self.execution.clone();
        self.recorder.history().executions.push(execution);
    }
}

/// Counts a running request.
struct Active(Arc<Upstream>);

impl Active {
    fn begin(upstream: &Arc<Upstream>) -> Self {
        upstream.active.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(upstream))
    }
}

impl Drop for Active {
    fn drop(&mut self) {
        self.0.active.fetch_sub(1, Ordering::Relaxed);
    }
}

pub(super) type Reader<'a> = Input<ReadHalf<'a>>;

impl Upstream {
    /// Makes no progress, answers nothing and notices no close until `until_ms`. What has arrived
    /// meanwhile is begun then.
    pub(super) fn silence(&self, until_ms: u64) {
        self.silent_until_ms.fetch_max(until_ms, Ordering::Relaxed);
    }

    /// Announces in reports that the instance is gone at `gone_at_ms`.
    pub(super) fn announce_leave(&self, gone_at_ms: u64) {
        self.gone_at_ms.store(gone_at_ms, Ordering::Relaxed);
    }

    pub(super) fn is_leaving(&self) -> bool {
        self.gone_at_ms.load(Ordering::Relaxed) > 0
    }

    /// Closes all connections; the instance is gone.
    pub(super) fn leave(&self) {
        self.gone.cancel();
    }

    pub(super) fn now_ms(&self) -> u64 {
        self.fleet.recorder.now_ms()
    }

    pub(super) async fn wait_unless_silent(&self) {
        while self.is_silent() {
            sleep(Duration::from_millis(SILENCE_POLL_MS)).await;
        }
    }

    /// Waits until the caller closes its connection and this instance notices: with its next event,
    /// and not while it is silent.
    async fn closed(&self, input: &mut Reader<'_>, run: &Run) -> io::Result<()> {
        let made = || run.made.load(Ordering::Relaxed);
        let ended = input.fill().await;
        let made_before = made();
        while self.is_silent() || made() == made_before {
            sleep(Duration::from_millis(CLOSE_POLL_MS)).await;
        }
        ended
    }

    fn is_silent(&self) -> bool {
        self.fleet.recorder.now_ms() < self.silent_until_ms.load(Ordering::Relaxed)
    }

    async fn serve(self: &Arc<Self>, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        if !self.is_engine {
            return services::serve(self, stream).await;
        }
        let (reader, mut writer) = stream.split();
        let mut input = Input::new(reader);
        loop {
            let head = input.head().await?;
            let body = input.body(&head).await?;
            let path = head.word(1);
            let answer = match self.page(path) {
                Some(page) => {
                    self.wait_unless_silent().await;
                    page
                }
                None if path == paths::MOVE => {
                    self.wait_unless_silent().await;
                    self.copy_memory(&body).await
                }
                None if path.starts_with(paths::MEMORY_PREFIX) => response("200 OK", "", b""),
                None => {
                    self.run(&head, &body, &mut input, &mut writer).await?;
                    continue;
                }
            };
            writer.write_all(&answer).await?;
        }
    }

    /// Returns what the instance says of itself at a path; `None` for other paths.
    pub(super) fn page(&self, path: &str) -> Option<Vec<u8>> {
        match path {
            paths::REPORT => Some(self.report()),
            HEALTH_PATH => Some(self.health()),
            _ => None,
        }
    }

    /// Begins to record a request that has arrived.
    pub(super) fn record_arrival(
        &self,
        request: &ReplicaRequest,
        path: &str,
        total_events: u64,
    ) -> Recorded {
        let arrived_ms = self.now_ms();
        Recorded {
            recorder: Arc::clone(&self.fleet.recorder),
            gone: self.gone.clone(),
            run: None,
            is_decided: false,
            execution: Execution {
                id: Arc::clone(&request.id),
                instance: Arc::clone(&self.identity),
                service: Arc::clone(&self.service),
                path: path.into(),
                workspace: request.workspace.clone(),
                arrived_ms,
                began_ms: None,
                ended_ms: arrived_ms,
                end: ExecutionEnd::Open,
                resumed_after: request.last_event,
                last_event: 0,
                total_events,
                deadline_ms: request.deadline_ms,
            },
        }
    }

    fn report(&self) -> Vec<u8> {
        let now_ms = self.fleet.recorder.now_ms();
        let gone_at_ms = self.gone_at_ms.load(Ordering::Relaxed);
        let made = |run: &Arc<Run>| run.made.load(Ordering::Relaxed);
        let used: u64 = lock(&self.runs).values().map(made).sum();
        let report = Report {
            queued: 0,
            running: self.active.load(Ordering::Relaxed),
            used_tokens: used * u64::from(TOKENS_PER_EVENT),
            total_tokens: MEMORY_TOKENS,
            leaves_in_ms: (gone_at_ms > 0).then(|| gone_at_ms.saturating_sub(now_ms)),
            draining: gone_at_ms > 0,
            born_ms: None,
        };
        json_response("200 OK", &standin::encode_report(&report))
    }

    fn health(&self) -> Vec<u8> {
        let status = match self.is_leaving() {
            true => "503 Service Unavailable",
            false => "200 OK",
        };
        response(status, &standin::encode_identity(&self.identity), b"")
    }

    /// Copies the memory of a running generation to another engine.
    async fn copy_memory(&self, body: &[u8]) -> Vec<u8> {
        let call = standin::decode_move_call(body);
        let run = lock(&self.runs).get(&call.id).cloned();
        let Some(run) = run else {
            return json_response("404 Not Found", &standin::encode_no_copy());
        };
        if call.stops {
            run.stopped.cancel();
        }
        sleep(Duration::from_millis(COPY_MS)).await;
        let made = run.made.load(Ordering::Relaxed);
        let number = self.fleet.next_handle.fetch_add(1, Ordering::Relaxed);
        let handle = format!("h{number}");
        let reached = call.target.and_then(|target| self.fleet.at(target));
        let target = reached.as_ref().map(|target| Arc::clone(&target.identity));
        let moved = Moved {
            id: call.id,
            holders: target
                .into_iter()
                .chain([Arc::clone(&self.identity)])
                .collect(),
            is_stopped: call.stops,
        };
        lock(&self.fleet.moved).insert((self.address, handle.clone()), moved);
        let body = standin::encode_copy(&handle, made);
        match reached {
            Some(_) => json_response("200 OK", &body),
            None if call.stops => json_response("503 Service Unavailable", &body),
            None => json_response("503 Service Unavailable", &standin::encode_no_copy()),
        }
    }

    /// Takes the copy that a request names, if this instance may go on from it.
    fn take_copy(&self, from: &str, id: &str) -> bool {
        let Some((source, handle)) = standin::parse_copy(from) else {
            return false;
        };
        if handle == id && source == self.address {
            return lock(&self.backups).remove(id).is_some();
        }
        let named = (source, handle.to_owned());
        let mut moved = lock(&self.fleet.moved);
        let usable = moved.get(&named).is_some_and(|moved| {
            &*moved.id == id && moved.is_stopped && moved.holders.contains(&self.identity)
        });
        usable && moved.remove(&named).is_some()
    }

    async fn run(
        self: &Arc<Self>,
        head: &Head,
        body: &[u8],
        input: &mut Reader<'_>,
        writer: &mut WriteHalf<'_>,
    ) -> io::Result<()> {
        let request = standin::decode_request(|name| head.header(name.as_str()));
        let id = Arc::clone(&request.id);
        let ask: Value = serde_json::from_slice(body).unwrap_or_default();
        let total = ask["events"].as_u64().unwrap_or(0);
        let resumed_after = request.last_event;
        let mut recorded = self.record_arrival(&request, head.word(1), total);
        self.wait_unless_silent().await;
        let active = self.active.load(Ordering::Relaxed);
        let refusal = match &request.expected_instance {
            Some(expected) if *expected != self.identity => Some("421 Misdirected Request"),
            _ if id.is_empty() => Some("400 Bad Request"),
            _ if active >= SLOTS => Some("503 Service Unavailable"),
            _ if request
                .continue_from
                .is_some_and(|from| !self.take_copy(&from, &id)) =>
            {
                Some("503 Service Unavailable")
            }
            _ => None,
        };
        if let Some(status) = refusal {
            recorded.end(ExecutionEnd::Refused);
            let headers = standin::encode_execution(&id, standin::Execution::NotExecuted);
            return writer.write_all(&response(status, &headers, b"")).await;
        }
        let _active = Active::begin(self);
        let headers = standin::encode_execution(&id, standin::Execution::Executed);
        let run = Arc::new(Run {
            made: AtomicU64::new(resumed_after.unwrap_or(0)),
            began_ms: OnceLock::new(),
            total,
            stopped: CancellationToken::new(),
        });
        recorded.run = Some((Arc::clone(self), Arc::clone(&run)));
        lock(&self.runs).insert(Arc::clone(&id), Arc::clone(&run));
        if let Some(backup) = request.backup {
            self.keep_backup(&run, Arc::clone(&id), backup);
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\
             Transfer-Encoding: chunked\r\n{headers}\r\n"
        );
        writer.write_all(head.as_bytes()).await?;
        let step_ms = ask["step_ms"].as_u64().unwrap_or(30);
        let padding_bytes = usize::try_from(ask["event_bytes"].as_u64().unwrap_or(0)).unwrap_or(0);
        let text = format!("{}{id}", " ".repeat(padding_bytes));
        let made = run.stopped.run_until_cancelled(async {
            tokio::select! {
                made = self.make_events(&run, &text, step_ms, writer) => made,
                // Only the end of the connection is expected here.
                ended = self.closed(input, &run) => ended.and(Err(io::ErrorKind::InvalidData.into())),
            }
        });
        match made.await {
            None => {
                recorded.end(ExecutionEnd::Stopped);
                // The stream closes without its end.
                Err(io::ErrorKind::ConnectionAborted.into())
            }
            Some(made) => {
                made?;
                recorded.end(ExecutionEnd::Complete);
                Ok(())
            }
        }
    }

    async fn make_events(
        &self,
        run: &Run,
        text: &str,
        step_ms: u64,
        writer: &mut WriteHalf<'_>,
    ) -> io::Result<()> {
        while run.made.load(Ordering::Relaxed) < run.total {
            sleep(Duration::from_millis(step_ms)).await;
            self.wait_unless_silent().await;
            run.began_ms.get_or_init(|| self.fleet.recorder.now_ms());
            let event = run.made.fetch_add(1, Ordering::Relaxed) + 1;
            let event = format!("id: {event}\ndata: {text} {event}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            writer.write_all(chunk.as_bytes()).await?;
        }
        writer.write_all(b"0\r\n\r\n").await
    }

    /// Sends the memory of a run to another engine as it grows. The copy there appears late.
    fn keep_backup(self: &Arc<Self>, run: &Arc<Run>, id: Arc<str>, target: SocketAddr) {
        let (source, run) = (Arc::clone(self), Arc::downgrade(run));
        tokio::spawn(async move {
            while let Some(run) = run.upgrade() {
                let made = run.made.load(Ordering::Relaxed);
                drop(run);
                sleep(Duration::from_millis(BACKUP_INTERVAL_MS)).await;
                if source.gone.is_cancelled() {
                    return;
                }
                if let Some(target) = source.fleet.at(target) {
                    lock(&target.backups).insert(Arc::clone(&id), made);
                }
            }
        });
    }
}
