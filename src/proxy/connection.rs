//! One proxied connection.

use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep, sleep_until};
use tokio_util::sync::CancellationToken;

use super::rules::{Direction, Rules};

/// Size of the read buffer.
const READ_BYTES: usize = 16 * 1_024;
/// Maximum number of chunks buffered in one direction; further bytes stay in the sender's socket.
const CHUNKS_IN_FLIGHT: usize = 256;
/// Writes per second into which a throttled chunk is split.
const THROTTLE_SLICES_PER_S: u64 = 50;

/// Faults that apply to one connection.
#[derive(Debug, Default)]
pub(super) struct Connection {
    silent_to_target: AtomicBool,
    silent_to_client: AtomicBool,
    reset: CancellationToken,
}

impl Connection {
    pub(super) fn silence(&self) {
        self.silence_direction(Direction::ToTarget);
        self.silence_direction(Direction::ToClient);
    }

    pub(super) fn reset(&self) {
        self.reset.cancel();
    }

    fn silence_direction(&self, direction: Direction) {
        self.silent_flag(direction).store(true, Ordering::SeqCst);
    }

    fn is_silent(&self, direction: Direction) -> bool {
        self.silent_flag(direction).load(Ordering::SeqCst)
    }

    fn silent_flag(&self, direction: Direction) -> &AtomicBool {
        match direction {
            Direction::ToClient => &self.silent_to_client,
            Direction::ToTarget | Direction::Both => &self.silent_to_target,
        }
    }
}

/// Makes the connection close with a TCP reset when it is dropped.
pub(super) fn reset(stream: &TcpStream) {
    // If the option cannot be set, the peer sees an ordinary close.
    let _ = stream.set_zero_linger();
}

/// Relays both directions until both are closed, one fails, or the connection is reset.
pub(super) async fn relay(
    connection: &Connection,
    rules: watch::Receiver<Rules>,
    mut client: TcpStream,
    mut server: TcpStream,
    seed: u64,
) {
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let intact = {
        let (client_read, client_write) = client.split();
        let (server_read, server_write) = server.split();
        let to_target = Pipe::new(connection, rules.clone(), Direction::ToTarget, seed);
        let to_client = Pipe::new(connection, rules, Direction::ToClient, seed ^ 1);
        let both = async {
            tokio::try_join!(
                to_target.run(client_read, server_write),
                to_client.run(server_read, client_write)
            )
        };
        tokio::select! {
            result = both => result.is_ok(),
            () = connection.reset.cancelled() => false,
        }
    };
    if !intact {
        reset(&client);
        reset(&server);
    }
}

/// The relay of one direction of a connection.
struct Pipe<'a> {
    connection: &'a Connection,
    rules: watch::Receiver<Rules>,
    direction: Direction,
    rng: StdRng,
}

impl<'a> Pipe<'a> {
    fn new(
        connection: &'a Connection,
        rules: watch::Receiver<Rules>,
        direction: Direction,
        seed: u64,
    ) -> Self {
        Self {
            connection,
            rules,
            direction,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    async fn run(self, read: ReadHalf<'_>, write: WriteHalf<'_>) -> io::Result<()> {
        let (sender, receiver) = mpsc::channel(CHUNKS_IN_FLIGHT);
        let rules = self.rules.clone();
        let (connection, direction) = (self.connection, self.direction);
        let sent = self.receive(read, sender);
        let written = deliver(connection, rules, direction, receiver, write);
        tokio::try_join!(sent, written).map(|_| ())
    }

    /// Reads chunks and passes each on with the time at which it is to be written.
    async fn receive(
        mut self,
        mut read: ReadHalf<'_>,
        sender: mpsc::Sender<(Instant, Bytes)>,
    ) -> io::Result<()> {
        let mut buffer = vec![0; READ_BYTES];
        let mut last_due = Instant::now();
        loop {
            let count = match read.read(&mut buffer).await {
                Ok(count) => count,
                // A silent connection simulates a dead link, which would not transmit the reset.
                Err(_) if self.connection.is_silent(self.direction) => return Ok(()),
                Err(error) => return Err(error),
            };
            let faults = self.rules.borrow().for_direction(self.direction);
            let delay_ms = faults.delay_ms + self.rng.random_range(0..=faults.jitter_ms);
            last_due = last_due.max(Instant::now() + Duration::from_millis(delay_ms));
            let chunk = Bytes::copy_from_slice(&buffer[..count]);
            if sender.send((last_due, chunk)).await.is_err() || count == 0 {
                return Ok(());
            }
        }
    }
}

/// Writes chunks when they are due; an empty chunk marks the end of the stream.
async fn deliver(
    connection: &Connection,
    mut rules: watch::Receiver<Rules>,
    direction: Direction,
    mut chunks: mpsc::Receiver<(Instant, Bytes)>,
    mut write: WriteHalf<'_>,
) -> io::Result<()> {
    while let Some((due, chunk)) = chunks.recv().await {
        sleep_until(due).await;
        let faults = match rules
            .wait_for(|rules| !rules.for_direction(direction).paused)
            .await
        {
            Ok(rules) => rules.for_direction(direction),
            Err(_) => return Ok(()),
        };
        if faults.dropped {
            // The receiver could not make sense of bytes that follow lost ones.
            connection.silence_direction(direction);
        }
        if connection.is_silent(direction) {
            continue;
        }
        if chunk.is_empty() {
            return write.shutdown().await;
        }
        match faults.bytes_per_s {
            Some(rate) => write_throttled(&mut write, &chunk, rate.max(1)).await?,
            None => write.write_all(&chunk).await?,
        }
    }
    Ok(())
}

async fn write_throttled(write: &mut WriteHalf<'_>, chunk: &[u8], rate: u64) -> io::Result<()> {
    let slice = usize::try_from(rate / THROTTLE_SLICES_PER_S).unwrap_or(READ_BYTES);
    for part in chunk.chunks(slice.max(1)) {
        write.write_all(part).await?;
        sleep(Duration::from_micros(part.len() as u64 * 1_000_000 / rate)).await;
    }
    Ok(())
}
