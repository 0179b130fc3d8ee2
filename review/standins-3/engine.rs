//! Model servers as `PROTOCOL.md` describes them: event streams, copies of a run's memory at a backup,
//! `/kv-move` and `Kv-From`. Each event that a server makes is recorded as work.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::net::{Message, Reader};
use crate::site::{Record, Server, respond, serve};

/// Time between two events, of four tokens each: a step takes 7 ms and more, on a server of speed 0.6 of
/// the sheet 11.5 ms. Here it is 10 ms.
pub const EVENT_MS: u64 = 40;
/// Time in which a prompt is read, and the rest of one of which there is a copy.
const PROMPT_MS: u64 = 150;
const REST_MS: u64 = 30;
/// A server cuts off a response that remains unread for so long.
const UNREAD_LIMIT: Duration = Duration::from_secs(5);
/// Bytes of an event's data.
const DATA_BYTES: usize = 340;

/// One event that a server has made.
#[derive(Clone, Debug)]
pub struct Work {
    pub at: Instant,
    pub server: String,
    pub request: String,
}

#[derive(Default)]
struct State {
    /// Copies of runs at a backup: its address and the request id.
    copies: BTreeSet<(String, String)>,
    /// Runs by server and request id, with the events made.
    running: BTreeMap<(String, String), u64>,
    /// Runs that were told to stop.
    stopped: BTreeSet<(String, String)>,
    /// Handles by source address, with the request id and the address of the target.
    handles: BTreeMap<String, (String, String)>,
    leaving: BTreeSet<String>,
    work: Vec<Work>,
}

/// All engines of the deployment.
#[derive(Clone)]
pub struct Engines {
    state: Arc<Mutex<State>>,
    unframed: fn(&str) -> bool,
    record: Record,
}

impl Engines {
    /// Starts the engines, which make `events` events of each stream. `unframed` returns true for requests
    /// whose answers come without a length and without chunks.
    pub fn start(
        servers: &[Server],
        events: u64,
        unframed: fn(&str) -> bool,
        record: &Record,
    ) -> Self {
        let engines = Self {
            state: Arc::default(),
            unframed,
            record: record.clone(),
        };
        for server in servers {
            let (engines, server) = (engines.clone(), server.clone());
            serve(server.address, move |reader, request| {
                engines.answer(&server, events, reader, &request)
            });
        }
        engines
    }

    fn with<T>(&self, use_it: impl FnOnce(&mut State) -> T) -> T {
        use_it(&mut self.state.lock().unwrap_or_else(|e| e.into_inner()))
    }

    /// The server leaves: it says so in all that it says of itself, and goes on serving.
    pub fn leave(&self, identity: &str) {
        self.with(|state| state.leaving.insert(identity.to_owned()));
    }

    pub fn work(&self) -> Vec<Work> {
        self.with(|state| state.work.clone())
    }

    /// Returns the servers that run a request now.
    pub fn running(&self, request: &str) -> Vec<String> {
        self.with(|state| {
            let runs = state.running.keys().filter(|(_, id)| id == request);
            runs.map(|(server, _)| server.clone()).collect()
        })
    }

    fn answer(&self, server: &Server, events: u64, reader: &mut Reader, request: &Message) -> bool {
        let is_leaving = self.with(|state| state.leaving.contains(&server.identity));
        let leaving = if is_leaving {
            "Server-Leaving: 1\r\n"
        } else {
            ""
        };
        match (request.method(), request.target()) {
            ("GET", "/health") => {
                let status = if is_leaving {
                    "503 Service Unavailable"
                } else {
                    "200 OK"
                };
                let headers = format!(
                    "{leaving}X-Lilacspindle-Instance-Id: {}\r\n",
                    server.identity
                );
                respond(reader, status, &headers, b"")
            }
            ("GET", "/report") => {
                let body = self.report(server, is_leaving);
                let headers = format!("{leaving}Content-Type: application/json\r\n");
                respond(reader, "200 OK", &headers, body.as_bytes())
            }
            ("POST", "/kv-move") => self.move_run(server, reader, request),
            _ => self.generate(server, events, leaving, reader, request),
        }
    }

    fn report(&self, server: &Server, is_leaving: bool) -> String {
        let runs = self.with(|state| {
            let own = state
                .running
                .iter()
                .filter(|((identity, _), _)| *identity == server.identity);
            own.map(|((_, id), made)| format!("[\"{id}\",{},{made},0]", 1_460 + made * 4))
                .collect::<Vec<_>>()
        });
        let state = if is_leaving { "draining" } else { "ready" };
        format!(
            "{{\"stage\":\"both\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"busy\":false,\
             \"sequence\":0,\"queuedRequests\":0,\"activeRequests\":{},\"kvCacheUsed\":{},\"kvCacheTotal\":26954,\
             \"handles\":0,\"state\":\"{state}\",\"next\":0,\"pinned\":0,\"held\":0,\"born\":{},\"runs\":[{}]}}",
            runs.len(),
            runs.len() * 2_000,
            server.born,
            runs.join(",")
        )
    }

    fn move_run(&self, server: &Server, reader: &mut Reader, request: &Message) -> bool {
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let text = |name: &str| {
            let rest = body.split(&format!("\"{name}\":\"")).nth(1)?;
            Some(rest.split('"').next()?.to_owned())
        };
        let (Some(id), Some(to)) = (text("identifier"), text("to")) else {
            return respond(reader, "400 Bad Request", "", b"");
        };
        let key = (server.identity.clone(), id.clone());
        let stops = body.contains("\"last\":true");
        let made = self.with(|state| {
            let made = state.running.get(&key).copied()?;
            state.handles.insert(
                format!("{}/h-{id}", server.address),
                (id.clone(), to.clone()),
            );
            if stops {
                state.stopped.insert(key.clone());
            }
            Some(made)
        });
        self.record.line(&format!(
            "server {} is asked to move {id} to {to}, last {stops}: {made:?}",
            server.identity
        ));
        match made {
            Some(made) => {
                thread::sleep(Duration::from_millis(60));
                let body = format!("{{\"handle\":\"h-{id}\",\"made\":{made}}}");
                respond(
                    reader,
                    "200 OK",
                    "Content-Type: application/json\r\n",
                    body.as_bytes(),
                )
            }
            None => respond(reader, "404 Not Found", "", b""),
        }
    }

    /// Runs a request and writes its stream. The run ends early if the connection is closed.
    fn generate(
        &self,
        server: &Server,
        events: u64,
        leaving: &str,
        reader: &mut Reader,
        request: &Message,
    ) -> bool {
        let id = request
            .header("x-lilacspindle-request-id")
            .unwrap_or_default()
            .to_owned();
        let refuse = |reader: &mut Reader, status: &str| {
            let headers = format!(
                "{leaving}X-Lilacspindle-Request-Id: {id}\r\nX-Lilacspindle-Not-Executed: 1\r\n"
            );
            respond(reader, status, &headers, b"")
        };
        let expected = request.header("x-lilacspindle-expected-instance");
        if expected.is_some_and(|expected| expected != server.identity) {
            return refuse(reader, "421 Misdirected Request");
        }
        let mut made = 0;
        let mut wait_ms = PROMPT_MS;
        if let Some(from) = request.header("kv-from") {
            let (address, copy) = from.split_once('/').unwrap_or((from, ""));
            let is_held = self.with(|state| {
                let of_backup = state.copies.remove(&(address.to_owned(), copy.to_owned()))
                    && address == server.address.to_string();
                of_backup
                    || state.handles.remove(from).is_some_and(|(of, to)| {
                        of == id
                            && (to == server.address.to_string()
                                || address == server.address.to_string())
                    })
            });
            if !is_held {
                self.record
                    .line(&format!("server {} holds no copy {from}", server.identity));
                return refuse(reader, "503 Service Unavailable");
            }
            made = request
                .header("last-event-id")
                .and_then(|id| id.parse().ok())
                .unwrap_or(0);
            wait_ms = REST_MS;
        }
        let from = request.header("kv-from").unwrap_or("the prompt");
        self.record.line(&format!(
            "server {} takes {id} from {from}, after event {made}",
            server.identity
        ));
        let key = (server.identity.clone(), id.clone());
        let backup = request
            .header("x-lilacspindle-cache-backup")
            .map(str::to_owned);
        self.with(|state| {
            state.running.insert(key.clone(), made);
            state.stopped.remove(&key);
        });
        thread::sleep(Duration::from_millis(wait_ms));
        let _ = reader.stream.set_write_timeout(Some(UNREAD_LIMIT));
        let is_unframed = (self.unframed)(&id);
        let framing = if is_unframed {
            ""
        } else {
            "Transfer-Encoding: chunked\r\n"
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\n{leaving}X-Lilacspindle-Request-Id: {id}\r\n\
             X-Lilacspindle-Response-Seal: {}.{id}\r\nX-Lilacspindle-Weight-Versions: 1\r\n\
             Content-Type: text/event-stream\r\n{framing}\r\n",
            server.identity
        );
        let mut next = Instant::now();
        let mut outcome = "complete";
        let mut first = true;
        while made < events {
            if self.with(|state| state.stopped.contains(&key)) {
                outcome = "stopped";
                break;
            }
            if is_closed(&reader.stream) {
                outcome = "dropped, its connection was closed";
                break;
            }
            made += 1;
            self.with(|state| {
                state.running.insert(key.clone(), made);
                state.work.push(Work {
                    at: Instant::now(),
                    server: server.identity.clone(),
                    request: id.clone(),
                });
                if let (Some(backup), true) = (&backup, made % 10 == 5) {
                    state.copies.insert((backup.clone(), id.clone()));
                }
            });
            let event = format!("id: {made}\ndata: {}\n\n", "x".repeat(DATA_BYTES));
            let chunk = match is_unframed {
                true => event,
                false => format!("{:x}\r\n{event}\r\n", event.len()),
            };
            let bytes = if first {
                format!("{head}{chunk}")
            } else {
                chunk
            };
            if first {
                self.record.line(&format!(
                    "server {} runs {id}, event {made}",
                    server.identity
                ));
            }
            first = false;
            if reader.stream.write_all(bytes.as_bytes()).is_err() {
                outcome = "cut, its stream was not read or was closed";
                break;
            }
            next += Duration::from_millis(EVENT_MS);
            thread::sleep(next.saturating_duration_since(Instant::now()));
        }
        let is_complete = outcome == "complete";
        self.with(|state| {
            state.running.remove(&key);
            if let (Some(backup), true) = (&backup, is_complete) {
                state.copies.remove(&(backup.clone(), id.clone()));
            }
        });
        self.record.line(&format!(
            "server {} ends {id} after event {made}: {outcome}",
            server.identity
        ));
        is_complete && !is_unframed && reader.stream.write_all(b"0\r\n\r\n").is_ok()
    }
}

/// Returns true if the caller has closed its connection.
fn is_closed(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let read = stream.peek(&mut [0]);
    let _ = stream.set_nonblocking(false);
    match read {
        Ok(0) => true,
        Ok(_) => false,
        Err(error) => error.kind() != ErrorKind::WouldBlock,
    }
}

/// Sets the largest segment and the receive buffer of a connection that is about to be opened, as on
/// links with small windows, and opens it.
pub fn connect_narrow(
    address: SocketAddr,
    segment: i32,
    buffer: i32,
) -> std::io::Result<TcpStream> {
    use std::os::fd::FromRawFd;
    const AF_INET: i32 = 2;
    const SOCK_STREAM: i32 = 1;
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    const IPPROTO_TCP: i32 = 6;
    const TCP_MAXSEG: i32 = 2;
    unsafe extern "C" {
        fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
        fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
        fn connect(socket: i32, address: *const u8, length: u32) -> i32;
    }
    let SocketAddr::V4(address) = address else {
        return Err(ErrorKind::Unsupported.into());
    };
    let mut raw = [0_u8; 16];
    raw[..2].copy_from_slice(&(AF_INET as u16).to_ne_bytes());
    raw[2..4].copy_from_slice(&address.port().to_be_bytes());
    raw[4..8].copy_from_slice(&address.ip().octets());
    // SAFETY: the calls get a socket of this function and values that outlive them; the socket is owned
    // by the stream from then on.
    unsafe {
        let fd = socket(AF_INET, SOCK_STREAM, 0);
        if fd < 0 {
            return Err(std::io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(fd);
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &buffer, 4);
        setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &segment, 4);
        if connect(fd, raw.as_ptr(), 16) < 0 {
            return Err(std::io::Error::last_os_error());
        }
        Ok(stream)
    }
}
