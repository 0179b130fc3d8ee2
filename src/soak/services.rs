//! Stand-ins for plain services, as rude as the platform's protocol allows: they queue requests up to
//! their deadlines, refuse them early or late, reset connections, lose and garble responses, and
//! write them twice.

use std::collections::BTreeMap;
use std::io;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::WriteHalf;
use tokio::sync::Semaphore;
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};

use super::upstreams::{Reader, Recorded, Upstream};
use super::wire::{Head, Input, response};
use crate::adapters::mutex::lock;
use crate::platform::standin;
use crate::soak::history::ExecutionEnd;

/// Number of requests that an instance works on at once, and that may wait for that.
const SLOTS: usize = 6;
const MAX_QUEUED: u32 = 24;
/// Factor by which an instance that is busy works more slowly.
const BUSY_FACTOR: u64 = 8;
/// One request in this many is not dropped when its connection closes.
const DEAF_ONE_IN: u32 = 8;
const MAX_LATE_REFUSAL_MS: u32 = 600;
const MAX_REPEAT_DELAY_MS: u32 = 300;
const DEFAULT_DEADLINE_MS: u64 = 3_000;
/// Longest time after which an idle connection is closed.
const MAX_IDLE_MS: u32 = 1_500;
/// Status lines that are no final status between 200 and 599.
const NO_FINAL_STATUS: [&str; 10] = [
    "000 Low", "099 Low", "101 Odd", "103 Odd", "600 High", "700 High", "999 High", "+200 OK",
    "2000 OK", "",
];
/// Number of shapes of a garbled response; each status line is one.
const GARBLED_SHAPES: u32 = 15;
/// One response in this many announces that its connection is closed.
const CLOSE_ONE_IN: u32 = 20;

/// What an instance does with two in five of its requests while it is ill.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Illness {
    /// Works slowly, on all requests, so that others wait up to their deadlines.
    Busy,
    /// Refuses them, some before their bodies are in, some late.
    Refuses,
    /// Begins them and works until the deadline.
    Hangs,
    /// Resets their connections, before it begins them or after it has run them.
    Resets,
    /// Runs them and closes the connection without a response.
    LosesResponses,
    /// Runs them and writes a part of the response, or bytes that are no response.
    Garbles,
    /// Writes responses and refusals twice: at once, after a while, or where the next one is due.
    Repeats,
}

impl Illness {
    pub(super) const ALL: [Self; 7] = [
        Self::Busy,
        Self::Refuses,
        Self::Hangs,
        Self::Resets,
        Self::LosesResponses,
        Self::Garbles,
        Self::Repeats,
    ];
}

/// What decides how an instance treats its requests.
pub(super) struct Health {
    random: Mutex<StdRng>,
    /// Until when each illness lasts.
    ill_until_ms: Mutex<BTreeMap<Illness, u64>>,
    slots: Semaphore,
    queued: AtomicU32,
}

impl Health {
    pub(super) fn new(seed: u64) -> Self {
        Self {
            random: Mutex::new(StdRng::seed_from_u64(seed)),
            ill_until_ms: Mutex::default(),
            slots: Semaphore::new(SLOTS),
            queued: AtomicU32::new(0),
        }
    }

    pub(super) fn sicken(&self, illness: Illness, until_ms: u64) {
        let mut ill_until_ms = lock(&self.ill_until_ms);
        let until = ill_until_ms.entry(illness).or_default();
        *until = until_ms.max(*until);
    }

    fn is_ill(&self, illness: Illness, now_ms: u64) -> bool {
        let ill_until_ms = lock(&self.ill_until_ms);
        ill_until_ms
            .get(&illness)
            .is_some_and(|until_ms| now_ms < *until_ms)
    }

    /// Draws whether an illness concerns a request.
    fn strikes(&self, illness: Illness, now_ms: u64) -> bool {
        self.is_ill(illness, now_ms) && self.draw(5) < 2
    }

    fn draw(&self, below: u32) -> u32 {
        lock(&self.random).random_range(0..below)
    }
}

/// Counts a request as queued until it is dropped.
struct Queued<'a>(&'a AtomicU32);

impl Drop for Queued<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A connection of a caller.
struct Connection<'a> {
    upstream: &'a Arc<Upstream>,
    input: Reader<'a>,
    writer: WriteHalf<'a>,
    /// A response to be written once more before the next one.
    late_repeat: Vec<u8>,
    idle_limit: Duration,
}

/// Serves a connection to its end.
pub(super) async fn serve(upstream: &Arc<Upstream>, mut stream: TcpStream) -> io::Result<()> {
    let (reader, writer) = stream.split();
    let idle_ms = upstream.health.draw(MAX_IDLE_MS);
    let mut connection = Connection {
        idle_limit: Duration::from_millis(idle_ms.into()),
        upstream,
        input: Input::new(reader),
        writer,
        late_repeat: Vec::new(),
    };
    let ended = loop {
        if let Err(error) = connection.next_request().await {
            break error;
        }
    };
    if ended.kind() == io::ErrorKind::ConnectionReset {
        stream.set_zero_linger()?;
    }
    Err(ended)
}

impl Connection<'_> {
    async fn next_request(&mut self) -> io::Result<()> {
        let head = match timeout(self.idle_limit, self.input.head()).await {
            Ok(head) => head?,
            Err(_) => return Err(io::ErrorKind::TimedOut.into()),
        };
        match self.upstream.page(head.word(1)) {
            Some(page) => {
                self.upstream.wait_unless_silent().await;
                self.input.body(&head).await?;
                self.writer.write_all(&page).await
            }
            None => self.call(&head).await,
        }
    }

    /// Refuses or runs a request, of which only the head has been read.
    async fn call(&mut self, head: &Head) -> io::Result<()> {
        let upstream = self.upstream;
        let (health, now_ms) = (&upstream.health, upstream.now_ms());
        let request = standin::decode_request(|name| head.header(name.as_str()));
        let mut recorded = upstream.record_arrival(&request, head.word(1), 0);
        upstream.wait_unless_silent().await;
        let refusal = match &request.expected_instance {
            Some(expected) if *expected != upstream.identity => Some("421 Misdirected Request"),
            _ if request.id.is_empty() => Some("400 Bad Request"),
            _ if health.strikes(Illness::Refuses, now_ms) => Some("503 Service Unavailable"),
            _ => None,
        };
        if let Some(status) = refusal {
            let is_early = health.draw(2) == 0;
            if !is_early {
                self.input.body(head).await?;
            }
            if health.is_ill(Illness::Refuses, now_ms) && health.draw(4) == 0 {
                let delay_ms = health.draw(MAX_LATE_REFUSAL_MS);
                sleep(Duration::from_millis(delay_ms.into())).await;
            }
            self.refuse(&mut recorded, status).await?;
            if is_early {
                self.input.body(head).await?;
            }
            return Ok(());
        }
        let body = self.input.body(head).await?;
        if health.strikes(Illness::Resets, now_ms) && health.draw(3) == 0 {
            recorded.end(ExecutionEnd::Refused);
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        let deadline_ms = request.deadline_ms.unwrap_or(DEFAULT_DEADLINE_MS);
        let deadline = Instant::now() + Duration::from_millis(deadline_ms);
        let is_deaf = health.draw(DEAF_ONE_IN) == 0;
        let queued = Queued(&health.queued);
        if health.queued.fetch_add(1, Ordering::Relaxed) >= MAX_QUEUED {
            return self.refuse(&mut recorded, "503 Service Unavailable").await;
        }
        let slot = tokio::select! {
            slot = timeout_at(deadline, health.slots.acquire()) => slot,
            ended = self.input.fill(), if !is_deaf => {
                recorded.end(ExecutionEnd::Refused);
                return ended.and(Err(io::ErrorKind::InvalidData.into()));
            }
        };
        drop(queued);
        let Ok(slot) = slot else {
            return self.refuse(&mut recorded, "503 Service Unavailable").await;
        };
        let _slot = slot.map_err(io::Error::other)?;
        upstream.wait_unless_silent().await;
        recorded.begin(upstream.now_ms());
        let ask: Value = serde_json::from_slice(&body).unwrap_or_default();
        let mut takes_ms = ask["takes_ms"].as_u64().unwrap_or(0);
        if health.is_ill(Illness::Busy, now_ms) {
            takes_ms *= BUSY_FACTOR;
        }
        let done_at = match health.strikes(Illness::Hangs, now_ms) {
            true => deadline,
            false => deadline.min(Instant::now() + Duration::from_millis(takes_ms)),
        };
        tokio::select! {
            () = sleep_until(done_at) => {}
            ended = self.input.fill(), if !is_deaf => {
                return ended.and(Err(io::ErrorKind::InvalidData.into()));
            }
        }
        upstream.wait_unless_silent().await;
        self.respond(&mut recorded, done_at >= deadline, now_ms)
            .await
    }

    async fn refuse(&mut self, recorded: &mut Recorded, status: &str) -> io::Result<()> {
        recorded.end(ExecutionEnd::Refused);
        let headers = standin::encode_execution(recorded.id(), standin::Execution::NotExecuted);
        let now_ms = self.upstream.now_ms();
        self.write(&response(status, &headers, b""), now_ms).await
    }

    /// Writes the response to a request that has been run, unless the instance is ill.
    async fn respond(
        &mut self,
        recorded: &mut Recorded,
        is_late: bool,
        now_ms: u64,
    ) -> io::Result<()> {
        let health = &self.upstream.health;
        let headers = standin::encode_execution(recorded.id(), standin::Execution::Executed);
        let body = format!("answer to {}", recorded.id()).into_bytes();
        let status = match is_late {
            true => "504 Gateway Timeout",
            false => "200 OK",
        };
        let bytes = response(status, &headers, &body);
        if health.strikes(Illness::Resets, now_ms) {
            recorded.end(ExecutionEnd::BrokenOff);
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        if health.strikes(Illness::LosesResponses, now_ms) {
            recorded.end(ExecutionEnd::BrokenOff);
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        if health.strikes(Illness::Garbles, now_ms) {
            recorded.end(ExecutionEnd::BrokenOff);
            self.writer
                .write_all(&garbled(&bytes, health.draw(GARBLED_SHAPES)))
                .await?;
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        recorded.end(ExecutionEnd::Complete);
        if health.draw(CLOSE_ONE_IN) > 0 {
            return self.write(&bytes, now_ms).await;
        }
        let closing = response(status, &format!("{headers}Connection: close\r\n"), &body);
        self.write(&closing, now_ms).await?;
        Err(io::ErrorKind::ConnectionAborted.into())
    }

    /// Writes a response, behind the earlier one that is to be written once more, if there is one.
    async fn write(&mut self, bytes: &[u8], now_ms: u64) -> io::Result<()> {
        let repeat = std::mem::take(&mut self.late_repeat);
        self.writer.write_all(&repeat).await?;
        self.writer.write_all(bytes).await?;
        let health = &self.upstream.health;
        if !health.strikes(Illness::Repeats, now_ms) {
            return Ok(());
        }
        match health.draw(3) {
            0 => self.writer.write_all(bytes).await,
            1 => {
                let delay_ms = health.draw(MAX_REPEAT_DELAY_MS);
                sleep(Duration::from_millis(delay_ms.into())).await;
                self.writer.write_all(bytes).await
            }
            _ => {
                self.late_repeat = bytes.to_vec();
                Ok(())
            }
        }
    }
}

/// Returns a part of a response, or bytes that are none.
fn garbled(bytes: &[u8], shape: u32) -> Vec<u8> {
    let page = b"<html>It works!</html>";
    match shape {
        0 => bytes[..bytes.len() / 2].to_vec(),
        1 => bytes[..bytes.len() - 3].to_vec(),
        2 => response("200 OK", "Content-Type: text/html\r\n", page),
        3 => response(
            "421 Misdirected Request",
            "Content-Type: text/html\r\n",
            page,
        ),
        4 => b"\x16\x03\x01\x02\x00\r\n\r\n".to_vec(),
        _ => {
            let line = NO_FINAL_STATUS[shape as usize % NO_FINAL_STATUS.len()];
            let end = bytes.iter().position(|byte| *byte == b'\r').unwrap_or(0);
            [format!("HTTP/1.1 {line}").as_bytes(), &bytes[end..]].concat()
        }
    }
}
