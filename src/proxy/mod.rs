//! A TCP proxy that injects faults, for tests.
//!
//! The test sets every fault explicitly; only the jitter of delays is random, and it is seeded.

mod connection;
mod rules;

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use connection::{Connection, relay, reset};
pub use rules::{Direction, Rules, Way};

/// Pause after a failed accept, which happens when the process has run out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// A running proxy. Dropping it closes the listener and all connections.
#[derive(Debug)]
pub struct Proxy {
    address: SocketAddr,
    shared: Arc<Shared>,
    accept: JoinHandle<()>,
}

#[derive(Debug)]
struct Shared {
    seed: u64,
    rules: watch::Sender<Rules>,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    target: SocketAddr,
    refuse_new: bool,
    next_number: u64,
    open: BTreeMap<u64, Arc<Connection>>,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Proxy {
    /// Starts a proxy to `target` on a free loopback port.
    pub async fn start(target: SocketAddr) -> io::Result<Self> {
        Self::start_seeded(target, 0).await
    }

    /// Starts a proxy whose jitter is seeded by `seed` and the number of each connection.
    pub async fn start_seeded(target: SocketAddr, seed: u64) -> io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            seed,
            rules: watch::Sender::new(Rules::default()),
            state: Mutex::new(State {
                target,
                refuse_new: false,
                next_number: 0,
                open: BTreeMap::new(),
            }),
        });
        let accept = tokio::spawn(accept(listener, shared.clone()));
        Ok(Self {
            address,
            shared,
            accept,
        })
    }

    /// Returns the address to which clients connect.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends new connections to another target, such as a restarted process.
    pub fn retarget(&self, target: SocketAddr) {
        self.shared.lock().target = target;
    }

    /// Changes the rules of all connections, open and new.
    pub fn update(&self, change: impl FnOnce(&mut Rules)) {
        self.shared.rules.send_modify(change);
    }

    /// Delays each byte by `delay_ms` plus a random time of up to `jitter_ms`.
    pub fn delay(&self, direction: Direction, delay_ms: u64, jitter_ms: u64) {
        self.update(|rules| {
            rules.each(direction, |way| {
                way.delay_ms = delay_ms;
                way.jitter_ms = jitter_ms;
            });
        });
    }

    /// Limits the rate of each connection; none removes the limit.
    pub fn throttle(&self, direction: Direction, bytes_per_s: Option<u64>) {
        self.update(|rules| rules.each(direction, |way| way.bytes_per_s = bytes_per_s));
    }

    /// Discards all bytes without closing anything, until `heal`.
    ///
    /// A connection that lost bytes never delivers again in that direction; connections opened
    /// after `heal` work.
    pub fn drop_silently(&self, direction: Direction) {
        self.update(|rules| rules.each(direction, |way| way.dropped = true));
    }

    /// Holds back all bytes until `resume`.
    pub fn pause(&self, direction: Direction) {
        self.update(|rules| rules.each(direction, |way| way.paused = true));
    }

    /// Delivers what `pause` held back.
    pub fn resume(&self, direction: Direction) {
        self.update(|rules| rules.each(direction, |way| way.paused = false));
    }

    /// Removes all delays, limits, drops, pauses and refusals. Silent connections stay silent.
    pub fn heal(&self) {
        self.update(|rules| *rules = Rules::default());
        self.refuse_new(false);
    }

    /// Permanently discards all bytes of the currently open connections, in both directions,
    /// without closing them; new connections work.
    pub fn silence_open(&self) {
        for connection in self.shared.lock().open.values() {
            connection.silence();
        }
    }

    /// Closes the currently open connections with a TCP reset to both ends.
    pub fn reset_open(&self) {
        for connection in self.shared.lock().open.values() {
            connection.reset();
        }
    }

    /// Sets whether new connections are reset as soon as they are accepted.
    pub fn refuse_new(&self, refuse: bool) {
        self.shared.lock().refuse_new = refuse;
    }

    /// Returns the number of open connections.
    pub fn open_connections(&self) -> usize {
        self.shared.lock().open.len()
    }

    /// Returns the number of connections accepted since the start.
    pub fn accepted_connections(&self) -> u64 {
        self.shared.lock().next_number
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.accept.abort();
        self.reset_open();
    }
}

async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    loop {
        match listener.accept().await {
            Ok((client, _)) => {
                let (number, target) = {
                    let mut state = shared.lock();
                    state.next_number += 1;
                    let target = (!state.refuse_new).then_some(state.target);
                    (state.next_number, target)
                };
                match target {
                    Some(target) => {
                        tokio::spawn(serve(shared.clone(), number, client, target));
                    }
                    None => reset(&client),
                }
            }
            Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

async fn serve(shared: Arc<Shared>, number: u64, client: TcpStream, target: SocketAddr) {
    let connection = Arc::new(Connection::default());
    shared.lock().open.insert(number, connection.clone());
    match TcpStream::connect(target).await {
        Ok(server) => {
            let seed = shared.seed ^ number.rotate_left(32);
            relay(&connection, shared.rules.subscribe(), client, server, seed).await;
        }
        Err(_) => reset(&client),
    }
    shared.lock().open.remove(&number);
}
