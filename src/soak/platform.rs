//! Stand-in of the platform: its list of instances, and the probes that decide which entries
//! receive new connections.

use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

use super::plan::Plan;
use super::processes::Layout;
use super::recorder::Recorder;
use super::wire::{Head, Input, json_response, response};
use crate::adapters::mutex::lock;
use crate::domain::fleet::{Listed, ListedState};
use crate::model::ZoneName;
use crate::platform::{paths, standin};

const LIST_LAG_MS: u64 = 600;
const PAGE_ENTRIES: usize = 50;
const LIST_CALLS_PER_S: u32 = 40;
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
const PROBE_TIMEOUT: Duration = Duration::from_millis(900);
/// Misses in a row that take an entry out of rotation.
const MAX_MISSES: u32 = 2;

/// One entry of the list, and when it became true.
struct ListEntry {
    instance: Listed,
    since_ms: u64,
    /// When the instance began to drain, and when it ended.
    draining_ms: Option<u64>,
    ended_ms: Option<u64>,
}

/// Number of calls in the current second.
#[derive(Default)]
struct Rate {
    second: u64,
    calls: u32,
}

pub(super) struct Platform {
    recorder: Arc<Recorder>,
    listed: Mutex<Vec<ListEntry>>,
    rate: Mutex<Rate>,
    /// Numbers of the entries in rotation.
    rotation: Mutex<BTreeSet<usize>>,
}

impl Platform {
    pub(super) fn new(recorder: Arc<Recorder>) -> Self {
        Self {
            recorder,
            listed: Mutex::default(),
            rate: Mutex::default(),
            rotation: Mutex::default(),
        }
    }

    /// Adds an instance that has just started.
    pub(super) fn add(
        &self,
        identity: &Arc<str>,
        service: &str,
        address: SocketAddr,
        machine: usize,
        slots: u32,
    ) {
        let instance = Listed {
            identity: Arc::clone(identity),
            service: service.into(),
            address,
            zone: ZoneName(format!("z{}", Plan::zone(machine)).into()),
            slots,
            state: ListedState::Ready,
            cold_remaining_ms: 0,
            born_ms: None,
        };
        lock(&self.listed).push(ListEntry {
            instance,
            since_ms: self.recorder.now_ms(),
            draining_ms: None,
            ended_ms: None,
        });
    }

    pub(super) fn drain(&self, identity: &str) {
        let now_ms = self.recorder.now_ms();
        for listed in lock(&self.listed).iter_mut() {
            if &*listed.instance.identity == identity {
                listed.draining_ms = Some(now_ms);
            }
        }
    }

    pub(super) fn end(&self, identity: &str) {
        let now_ms = self.recorder.now_ms();
        for listed in lock(&self.listed).iter_mut() {
            if &*listed.instance.identity == identity {
                listed.ended_ms = Some(now_ms);
            }
        }
    }

    /// Returns the list as of some time ago.
    fn lagging_list(&self) -> Vec<Listed> {
        let as_of_ms = self.recorder.now_ms().saturating_sub(LIST_LAG_MS);
        let listed = lock(&self.listed);
        let current = listed.iter().filter(|listed| {
            // What is there at the start of a run is listed at once.
            let is_known = listed.since_ms <= as_of_ms.max(LIST_LAG_MS);
            is_known && listed.ended_ms.is_none_or(|ended_ms| ended_ms > as_of_ms)
        });
        let entries = current.map(|listed| {
            let mut instance = listed.instance.clone();
            if listed.draining_ms.is_some_and(|at_ms| at_ms <= as_of_ms) {
                instance.state = ListedState::Draining;
            }
            instance
        });
        entries.collect()
    }

    /// Counts a call; returns false if it exceeds the rate.
    fn admits_call(&self) -> bool {
        let second = self.recorder.now_ms() / 1_000;
        let mut rate = lock(&self.rate);
        if rate.second != second {
            *rate = Rate { second, calls: 0 };
        }
        rate.calls += 1;
        rate.calls <= LIST_CALLS_PER_S
    }

    pub(super) async fn serve_list(self: Arc<Self>, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let platform = Arc::clone(&self);
            // A caller that closes its connection ends the task with an error.
            tokio::spawn(async move { platform.serve_connection(stream).await });
        }
    }

    async fn serve_connection(&self, mut stream: TcpStream) -> io::Result<()> {
        let (reader, mut writer) = stream.split();
        let mut input = Input::new(reader);
        loop {
            let head = input.head().await?;
            writer.write_all(&self.list_response(&head)).await?;
        }
    }

    fn list_response(&self, head: &Head) -> Vec<u8> {
        if !self.admits_call() {
            return response("429 Too Many Requests", "", b"");
        }
        let list = self.lagging_list();
        let first = standin::first_of_page(head.word(1)).min(list.len());
        let next = list.len().min(first + PAGE_ENTRIES);
        let body = standin::encode_page(&list[first..next], (next < list.len()).then_some(next));
        json_response("200 OK", &body)
    }

    /// Probes an entry once per second and keeps its place in the rotation.
    pub(super) async fn probe(self: Arc<Self>, layout: Arc<Layout>, entry: usize) {
        let mut misses = MAX_MISSES;
        loop {
            let probe = probe(layout.ready_address(entry));
            let is_ready = matches!(timeout(PROBE_TIMEOUT, probe).await, Ok(Ok(true)));
            misses = if is_ready { 0 } else { misses + 1 };
            self.rotate(entry, misses);
            sleep(PROBE_INTERVAL).await;
        }
    }

    fn rotate(&self, entry: usize, misses: u32) {
        let mut rotation = lock(&self.rotation);
        match misses {
            0 => rotation.insert(entry),
            MAX_MISSES.. => rotation.remove(&entry),
            _ => false,
        };
    }

    /// Returns the entries that receive new connections: those in rotation, or all if fewer than
    /// half are.
    pub(super) fn in_rotation(&self, entries: usize) -> Vec<usize> {
        let rotation = lock(&self.rotation);
        match rotation.len() * 2 < entries {
            true => (0..entries).collect(),
            false => rotation.iter().copied().collect(),
        }
    }

    pub(super) fn ready_entries(&self) -> usize {
        lock(&self.rotation).len()
    }
}

async fn probe(address: SocketAddr) -> io::Result<bool> {
    let mut stream = TcpStream::connect(address).await?;
    let request = format!(
        "GET {} HTTP/1.1\r\nHost: platform\r\nConnection: close\r\n\r\n",
        paths::READINESS
    );
    stream.write_all(request.as_bytes()).await?;
    let head = Input::new(&mut stream).head().await?;
    Ok(head.word(1) == "200")
}
