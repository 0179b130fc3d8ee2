//! Callers: raw HTTP/1.1 on kept connections.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::json;
use socket2::SockRef;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpSocket;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};
use tokio_util::sync::CancellationToken;

use super::platform::Platform;
use super::processes::{Layout, entry_name};
use super::recorder::Recorder;
use super::wire::{Head, Input};
use crate::platform::headers;
use crate::platform::standin::{CallHead, GenerationSize, encode_call_head};
use crate::soak::history::{Call, CallEnd, SentRoute};
use crate::soak::operator::News;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after the deadline for which a caller still waits for the response.
const PATIENCE: Duration = Duration::from_secs(2);
const STEP_MS: u64 = 30;
const PLAIN_DEADLINE_MS: u64 = 3_000;
/// Deadline of plain calls in runs that have mostly such calls.
const SHORT_DEADLINE_MS: u64 = 1_000;
/// Size of the bodies of a few calls, which take several reads.
const LARGE_BODY_BYTES: usize = 200_000;
/// Pause between reads of a caller that reads slowly.
const SLOW_READ_PAUSE_MS: u64 = 40;
/// Receive buffer and largest segment of connections with a small window.
const SMALL_BUFFER_BYTES: u32 = 4_096;
const SMALL_SEGMENT_BYTES: u32 = 1_460;
/// Size of the events of streams that are read slowly: what an engine makes in some seconds exceeds
/// the send buffer of the entry.
const LARGE_EVENT_BYTES: usize = 900;
const PROMPT_TOKENS: u64 = 400;
/// Output tokens that a caller allows for each event.
const TOKENS_PER_EVENT: u64 = 4;

/// What the callers of a run share.
pub(super) struct Callers {
    pub(super) recorder: Arc<Recorder>,
    pub(super) platform: Arc<Platform>,
    pub(super) layout: Arc<Layout>,
    pub(super) entries: usize,
    /// The newest acknowledged document.
    pub(super) news: watch::Receiver<News>,
    /// Callers begin no more requests once this is set.
    pub(super) ending: CancellationToken,
    pub(super) seed: u64,
    /// True for callers of which nine in ten requests are plain calls, in quick succession.
    pub(super) prefers_plain: bool,
    pub(super) next_connection: AtomicU64,
}

/// How a caller behaves during one request.
struct Behaviour {
    events: u64,
    takes_ms: u64,
    /// Pause between reads of a stream.
    read_pause_ms: u64,
    /// A longer pause, once.
    long_pause: Option<LongPause>,
    /// Bytes that the data of an event has at least.
    event_bytes: usize,
    /// Bytes that the body has beside what the instance reads.
    padding_bytes: usize,
    sends_in_chunks: bool,
    /// `None` if the body follows the head of the request at once.
    sends_body_at: Option<Instant>,
    gives_up_at: Instant,
}

/// Stops reading a stream for some time.
#[derive(Clone, Copy)]
struct LongPause {
    after_events: usize,
    pause_ms: u64,
}

struct Connection {
    number: u64,
    requests: u32,
    has_small_window: bool,
    input: Input<OwnedReadHalf>,
    writer: OwnedWriteHalf,
}

impl Callers {
    /// Sends requests, one after the other, until the run ends.
    pub(super) async fn run(self: Arc<Self>, caller: u64) {
        let mut random = StdRng::seed_from_u64(self.seed ^ caller.wrapping_mul(0x9e37_79b9));
        while !self.ending.is_cancelled() {
            let in_rotation = self.platform.in_rotation(self.entries);
            let entry = in_rotation[random.random_range(0..in_rotation.len())];
            let address = self.layout.caller_address(entry);
            let has_small_window = random.random_ratio(1, 4);
            let connecting = connect(address, has_small_window);
            let connected = timeout(CONNECT_TIMEOUT, connecting).await;
            if let Ok(Ok((input, writer))) = connected {
                let number = self.next_connection.fetch_add(1, Ordering::Relaxed);
                let connection = Connection {
                    number,
                    requests: 0,
                    has_small_window,
                    input,
                    writer,
                };
                self.use_connection(connection, entry, &mut random).await;
            }
            sleep(Duration::from_millis(random.random_range(20..400))).await;
        }
    }

    async fn use_connection(&self, mut connection: Connection, entry: usize, random: &mut StdRng) {
        // The entry's socket counts the time without room over several requests (issue 68).
        let most = match connection.has_small_window {
            true => 1,
            false => random.random_range(1..=8),
        };
        while connection.requests < most && !self.ending.is_cancelled() {
            let news = self.news.borrow().clone();
            let Some((route, key)) = draw_target(&news, self.prefers_plain, random) else {
                return;
            };
            let deadline_ms = self.deadline_ms(&route);
            let behaviour =
                draw_behaviour(&route, deadline_ms, connection.has_small_window, random);
            let mut call = self.begin(&connection, entry, &route, key, random);
            let may_go_on = self
                .exchange(&mut connection, &mut call, &route, &behaviour)
                .await;
            call.ended_ms = self.recorder.now_ms();
            self.recorder.history().calls.push(call);
            connection.requests += 1;
            if !may_go_on {
                return;
            }
            let most_ms = if self.prefers_plain { 60 } else { 300 };
            sleep(Duration::from_millis(random.random_range(0..most_ms))).await;
        }
    }

    fn deadline_ms(&self, route: &SentRoute) -> u64 {
        match route.is_stream {
            true => route.timeout_ms,
            false if self.prefers_plain => SHORT_DEADLINE_MS.min(route.timeout_ms),
            false => PLAIN_DEADLINE_MS.min(route.timeout_ms),
        }
    }

    fn begin(
        &self,
        connection: &Connection,
        entry: usize,
        route: &SentRoute,
        key: Option<Arc<str>>,
        random: &mut StdRng,
    ) -> Call {
        let id = format!("{:016x}", random.random::<u64>());
        let now_ms = self.recorder.now_ms();
        Call {
            path: format!("{}{id}", route.prefix).into(),
            id: id.into(),
            process: entry_name(entry).into(),
            connection: connection.number,
            number_on_connection: connection.requests,
            host: Arc::clone(&route.host),
            key,
            is_stream: route.is_stream,
            may_repeat: route.is_safe,
            deadline_ms: self.deadline_ms(route),
            sent_ms: now_ms,
            sent_whole_ms: None,
            head_ms: None,
            status: None,
            is_sealed: false,
            is_own_body: false,
            events: Vec::new(),
            ended_ms: now_ms,
            paused_ms: 0,
            end: CallEnd::Open,
        }
    }

    /// Sends a request and reads its response. Returns true if the connection can be used again.
    async fn exchange(
        &self,
        connection: &mut Connection,
        call: &mut Call,
        route: &SentRoute,
        behaviour: &Behaviour,
    ) -> bool {
        let body = json!({
            "events": behaviour.events, "step_ms": STEP_MS, "takes_ms": behaviour.takes_ms,
            "padding": " ".repeat(behaviour.padding_bytes), "event_bytes": behaviour.event_bytes,
        })
        .to_string();
        let head = encode_call_head(&CallHead {
            path: &call.path,
            host: &call.host,
            id: &call.id,
            deadline_ms: call.deadline_ms,
            key: call.key.as_deref(),
            generation: route.is_stream.then(|| GenerationSize {
                prompt_tokens: PROMPT_TOKENS,
                max_output_tokens: behaviour.events * TOKENS_PER_EVENT,
                session: connection.number + 1,
            }),
            body_bytes: (!behaviour.sends_in_chunks).then_some(body.len()),
        });
        let body = match behaviour.sends_in_chunks {
            true => encode_chunks(&body),
            false => body,
        };
        call.sent_ms = self.recorder.now_ms();
        let sent = async {
            connection.writer.write_all(head.as_bytes()).await?;
            if let Some(sends_body_at) = behaviour.sends_body_at {
                sleep_until(sends_body_at).await;
            }
            connection.writer.write_all(body.as_bytes()).await
        };
        if sent.await.is_err() {
            call.end = CallEnd::NotSent;
            return false;
        }
        call.sent_whole_ms = Some(self.recorder.now_ms());
        let read = self.read_response(&mut connection.input, call, behaviour);
        match timeout_at(behaviour.gives_up_at, read).await {
            Ok(Ok(head)) => {
                call.end = CallEnd::Complete;
                !head.closes()
            }
            Ok(Err(_)) => {
                call.end = CallEnd::Cut;
                false
            }
            Err(_) => {
                call.end = CallEnd::Abandoned;
                false
            }
        }
    }

    async fn read_response(
        &self,
        input: &mut Input<OwnedReadHalf>,
        call: &mut Call,
        behaviour: &Behaviour,
    ) -> io::Result<Head> {
        let head = input.head().await?;
        call.head_ms = Some(self.recorder.now_ms());
        call.status = head.word(1).parse().ok();
        call.is_sealed = head.header(headers::SEAL.as_str()).is_some();
        if !(call.is_stream && head.is_chunked()) {
            let body = input.body(&head).await?;
            call.is_own_body = body == format!("answer to {}", call.id).into_bytes();
            return Ok(head);
        }
        call.is_own_body = true;
        let mut long_pause = behaviour.long_pause;
        let mut rest = String::new();
        loop {
            let chunk = input.chunk().await?;
            if chunk.is_empty() {
                call.is_own_body &= rest.is_empty();
                return Ok(head);
            }
            rest.push_str(&String::from_utf8_lossy(&chunk));
            while let Some((event, others)) = rest.split_once("\n\n") {
                let id = event.lines().find_map(|line| line.strip_prefix("id: "));
                let id = id.and_then(|id| id.parse().ok()).unwrap_or(0);
                call.is_own_body &= event.ends_with(&format!(" {} {id}", call.id));
                call.events.push(id);
                rest = others.to_owned();
            }
            let received = call.events.len();
            let long_pause = long_pause.take_if(|pause| received >= pause.after_events);
            // Counted before, as the caller may give up meanwhile.
            call.paused_ms += long_pause.map_or(0, |pause| pause.pause_ms);
            let pause_ms = long_pause.map_or(behaviour.read_pause_ms, |pause| pause.pause_ms);
            if pause_ms > 0 {
                sleep(Duration::from_millis(pause_ms)).await;
            }
        }
    }
}

async fn connect(
    address: SocketAddr,
    has_small_window: bool,
) -> io::Result<(Input<OwnedReadHalf>, OwnedWriteHalf)> {
    let socket = TcpSocket::new_v4()?;
    if has_small_window {
        socket.set_recv_buffer_size(SMALL_BUFFER_BYTES)?;
        SockRef::from(&socket).set_tcp_mss(SMALL_SEGMENT_BYTES)?;
    }
    let stream = socket.connect(address).await?;
    stream.set_nodelay(true)?;
    let (reader, writer) = stream.into_split();
    Ok((Input::new(reader), writer))
}

/// Draws a route and a key: usually those of the newest document, sometimes a route that it has added
/// or removed, or a key that it has revoked.
fn draw_target(
    news: &News,
    prefers_plain: bool,
    random: &mut StdRng,
) -> Option<(SentRoute, Option<Arc<str>>)> {
    let document = news.document.as_ref()?;
    if prefers_plain && random.random_range(0..10) > 0 {
        let plain = document.routes.iter().filter(|route| !route.is_stream);
        let route = pick(&plain.collect::<Vec<_>>(), random).copied()?.clone();
        let keys: Vec<&Arc<str>> = document.keys.keys().collect();
        let key = pick(&keys, random).filter(|_| !route.is_anonymous);
        return Some((route, key.map(|key| Arc::clone(key))));
    }
    let routes = match random.random_range(0..20) {
        0 if !news.added.is_empty() => &news.added,
        1 if !news.removed.is_empty() => &news.removed,
        _ => &document.routes,
    };
    let route = pick(routes, random)?.clone();
    let keys: Vec<Arc<str>> = match random.random_range(0..20) {
        0 if !news.revoked_keys.is_empty() => news.revoked_keys.clone(),
        _ => document.keys.keys().cloned().collect(),
    };
    let key = pick(&keys, random).filter(|_| !route.is_anonymous).cloned();
    Some((route, key))
}

fn pick<'a, T>(items: &'a [T], random: &mut StdRng) -> Option<&'a T> {
    match items.len() {
        0 => None,
        count => items.get(random.random_range(0..count)),
    }
}

/// Encodes a body in two chunks.
fn encode_chunks(body: &str) -> String {
    let (first, second) = body.split_at(body.len() / 2);
    let chunk = |part: &str| format!("{:x}\r\n{part}\r\n", part.len());
    format!("{}{}0\r\n\r\n", chunk(first), chunk(second))
}

fn draw_behaviour(
    route: &SentRoute,
    deadline_ms: u64,
    has_small_window: bool,
    random: &mut StdRng,
) -> Behaviour {
    let events = match route.is_stream {
        true => random.random_range(100..=280),
        false => 0,
    };
    let longest_ms = match route.is_stream {
        true => events * STEP_MS,
        false => 300,
    };
    let abandons = random.random_ratio(1, 20);
    let takes_ms = random.random_range(5..250);
    let (read_pause_ms, long_pause) = match random.random_range(0..6) {
        0 => (SLOW_READ_PAUSE_MS, None),
        1 | 2 if has_small_window => {
            let pause = LongPause {
                after_events: random.random_range(1..100),
                pause_ms: random.random_range(1_000..6_000),
            };
            (0, Some(pause))
        }
        _ => (0, None),
    };
    let event_bytes = match has_small_window {
        true => LARGE_EVENT_BYTES,
        false => 0,
    };
    let now = Instant::now();
    let sends_body_at = match random.random_range(0..20) {
        0 => Some(now + Duration::from_millis(random.random_range(50..800))),
        _ => None,
    };
    let patience = match abandons {
        true => Duration::from_millis(random.random_range(5..longest_ms)),
        false => Duration::from_millis(deadline_ms) + PATIENCE,
    };
    let padding_bytes = match random.random_range(0..20) {
        0 if !route.is_stream => LARGE_BODY_BYTES,
        _ => random.random_range(0..2_000),
    };
    Behaviour {
        events,
        takes_ms,
        read_pause_ms,
        long_pause,
        event_bytes,
        padding_bytes,
        sends_in_chunks: random.random_range(0..4) == 0,
        sends_body_at,
        gives_up_at: sends_body_at.unwrap_or(now) + patience,
    }
}
