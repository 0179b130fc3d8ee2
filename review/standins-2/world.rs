//! Stand-ins for the platform's list, replicas, clients and the operator, on loopback addresses, and
//! the start of the project's own processes. Standard library only.

use std::collections::{BTreeMap, BTreeSet};
use std::fs::{self, File};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const DRAIN_MS: u64 = 3_000;
/// Ports as in the settings of a small deployment.
const OPERATOR_PORT: u16 = 8748;
const FRONT_PORT: u16 = 8740;
const READY_PORT: u16 = 8749;
const REPLICA_PORT: u16 = 8080;
const LIST_PORT: u16 = 8742;
/// The port at which control instances call each other and are called by entries and sidecars.
const CONTROL_RPC_PORT: u16 = 7200;
/// Time after which a backup holds the memory of a prompt.
const BACKUP_MS: u64 = 300;

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Ends the run: the case could not be played.
pub fn give_up(why: &str) -> ! {
    panic!("cannot run: {why}")
}

/// The record of one run.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    begun: Instant,
}

impl Record {
    pub fn note(&self, line: &str) {
        let at = self.begun.elapsed().as_millis();
        let text = format!("{:>7} ms  {line}\n", at);
        print!("{text}");
        let mut file = self.file.lock().unwrap();
        let _ = file.write_all(text.as_bytes());
    }
}

/// One HTTP message without its framing.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, v)| v.as_str())
    }

    pub fn path(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        let code = self.line.split(' ').nth(1).unwrap_or("");
        code.parse().unwrap_or(0)
    }
}

fn read_head(from: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if from.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        match (message.line.is_empty(), line.is_empty()) {
            (true, true) => {}
            (true, false) => message.line = line.to_owned(),
            (false, true) => return Some(message),
            (false, false) => {
                let (name, value) = line.split_once(':')?;
                message
                    .headers
                    .push((name.to_owned(), value.trim().to_owned()));
            }
        }
    }
}

fn read_chunk(from: &mut BufReader<TcpStream>) -> Option<Vec<u8>> {
    let mut line = String::new();
    from.read_line(&mut line).ok()?;
    let length = usize::from_str_radix(line.trim().split(';').next()?, 16).ok()?;
    let mut chunk = vec![0; length + 2];
    from.read_exact(&mut chunk).ok()?;
    chunk.truncate(length);
    Some(chunk)
}

/// Reads a request, or a response that has a length or chunks.
pub fn read_message(from: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut message = read_head(from)?;
    let is_chunked = message.header("transfer-encoding").is_some();
    let length = message
        .header("content-length")
        .and_then(|l| l.parse().ok());
    if is_chunked {
        loop {
            let chunk = read_chunk(from)?;
            if chunk.is_empty() {
                break;
            }
            message.body.extend(chunk);
        }
    } else if let Some(length) = length {
        message.body = vec![0; length];
        from.read_exact(&mut message.body).ok()?;
    }
    Some(message)
}

fn respond(to: &mut TcpStream, status: &str, headers: &[(&str, &str)], body: &str) -> bool {
    let mut text = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += "\r\n";
    text += body;
    to.write_all(text.as_bytes()).is_ok()
}

/// A value of a flat JSON text, without quotes.
fn json_value(text: &str, key: &str) -> String {
    let Some(at) = text.find(&format!("\"{key}\"")) else {
        return String::new();
    };
    let rest = &text[at + key.len() + 2..];
    let rest = rest.trim_start().trim_start_matches(':').trim_start();
    match rest.strip_prefix('"') {
        Some(rest) => rest.split('"').next().unwrap_or("").to_owned(),
        None => rest
            .split([',', '}'])
            .next()
            .unwrap_or("")
            .trim()
            .to_owned(),
    }
}

/// What a replica does when it gets a request.
#[derive(Clone, Copy, PartialEq)]
pub enum Kind {
    /// Answers with a stream of events, as a model replica.
    Model,
    /// Answers at once, as an application service.
    App,
}

/// One run of a request.
pub struct Run {
    pub made: u64,
    stop: bool,
    pub running: bool,
    pub begun: Instant,
    pub ended: Option<Instant>,
    /// True if it goes on from the memory of a run elsewhere.
    pub goes_on: bool,
}

#[derive(Default)]
pub struct State {
    /// Since when the replica itself says that it is leaving, and when it ends.
    pub leaving: Option<(Instant, Instant)>,
    /// When the platform's list begins to show it as draining.
    pub listed_draining: Option<Instant>,
    pub gone: bool,
    pub runs: BTreeMap<String, Run>,
    copies: BTreeSet<String>,
    streams: Vec<TcpStream>,
    /// The answer to this request ends inside an event, with the regular end of its body.
    pub cuts_answer_of: Option<String>,
    /// The answer to this request is lost: its connection closes, and the run goes on.
    pub loses_answer_of: Option<String>,
    /// Requests of clients that have arrived: time, request id, tenant and `Kv-From`.
    pub arrivals: Vec<Arrival>,
}

#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Instant,
    pub id: String,
    pub path: String,
    pub tenant: Option<String>,
    pub kv_from: Option<String>,
    pub backup: Option<String>,
    pub ran: bool,
}

/// A replica.
pub struct Replica {
    pub id: String,
    pub address: SocketAddr,
    pub zone: &'static str,
    pub service: &'static str,
    pub kind: Kind,
    /// Events of each answer, and the time between two of them.
    pub events: u64,
    pub pace: Duration,
    pub cold_ms: u64,
    /// Most replicas drop a request when its connection closes. If false, this one does not: it
    /// works on until the end, or until it is told to stop.
    pub drops_closed: bool,
    /// Version of the weights of a model replica.
    pub weights: u32,
    pub slots: u32,
    pub born_ms: u64,
    pub started: Instant,
    pub state: Mutex<State>,
}

impl Replica {
    /// The replica begins to leave: its own report says so at once, the platform's list after `lag`.
    pub fn drain(&self, leaves_in: Duration, lag: Duration) {
        let now = Instant::now();
        let mut state = self.state.lock().unwrap();
        state.leaving = Some((now, now + leaves_in));
        state.listed_draining = Some(now + lag);
    }

    /// Closes all connections, as those of a process that has ended.
    pub fn close_all(&self) {
        for stream in &self.state.lock().unwrap().streams {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    fn is_gone(&self) -> bool {
        let state = self.state.lock().unwrap();
        state.gone
            || state
                .leaving
                .is_some_and(|(_, ends)| Instant::now() >= ends)
    }

    fn report(&self) -> String {
        let state = self.state.lock().unwrap();
        let running: Vec<_> = state.runs.iter().filter(|(_, run)| run.running).collect();
        let runs: Vec<String> = running
            .iter()
            .map(|(id, run)| format!("[\"{id}\",{},{},5]", 3_000 + 4 * run.made, run.made))
            .collect();
        let leaves = match state.leaving {
            Some((_, ends)) => format!(
                "\"draining\",\"leaves_ms\":{}",
                ends.saturating_duration_since(Instant::now()).as_millis()
            ),
            None => "\"ready\"".to_owned(),
        };
        format!(
            "{{\"stage\":\"both\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\
             \"busy\":false,\"sequence\":0,\"queuedRequests\":0,\"activeRequests\":{},\
             \"kvCacheUsed\":{},\"kvCacheTotal\":34342,\"handles\":0,\"next\":0,\"born\":{},\
             \"runs\":[{}],\"state\":{leaves}}}",
            runs.len(),
            3_500 * runs.len(),
            self.born_ms,
            runs.join(",")
        )
    }
}

/// All stand-ins and processes of one run.
pub struct World {
    pub record: Record,
    net: [u8; 2],
    folder: PathBuf,
    pub replicas: Mutex<Vec<Arc<Replica>>>,
    processes: Mutex<Vec<(String, Child)>>,
    ended: AtomicBool,
}

impl World {
    pub fn new(record: &str) -> Arc<Self> {
        let file = File::create(record).unwrap_or_else(|e| give_up(&format!("{record}: {e}")));
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        let seed = now.as_nanos() as u64 ^ (u64::from(std::process::id()) << 20);
        let net = [(seed >> 8) as u8 % 200 + 20, (seed >> 20) as u8];
        let folder =
            std::env::temp_dir().join(format!("lilac-drill-{}-{seed}", std::process::id()));
        fs::create_dir_all(&folder).unwrap_or_else(|e| give_up(&e.to_string()));
        let record = Record {
            file: Arc::new(Mutex::new(file)),
            begun: Instant::now(),
        };
        let world = Arc::new(Self {
            record,
            net,
            folder,
            replicas: Mutex::default(),
            processes: Mutex::default(),
            ended: AtomicBool::new(false),
        });
        world.serve_list();
        world
    }

    pub fn ip(&self, host: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.net[0], self.net[1], host))
    }

    pub fn at(&self, host: u8, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip(host), port)
    }

    pub fn front(&self, host: u8) -> SocketAddr {
        self.at(host, FRONT_PORT)
    }

    pub fn ready(&self, host: u8) -> SocketAddr {
        self.at(host, READY_PORT)
    }

    fn processes(&self) -> MutexGuard<'_, Vec<(String, Child)>> {
        self.processes
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Ends all processes and removes the folder of the run.
    pub fn end(&self) {
        if self.ended.swap(true, Ordering::SeqCst) {
            return;
        }
        for (_, child) in self.processes().iter_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }

    /// Fails the run if a process has ended by itself.
    pub fn check_processes(&self) {
        for (name, child) in self.processes().iter_mut() {
            if let Ok(Some(status)) = child.try_wait() {
                give_up(&format!("{name} has ended: {status}"));
            }
        }
    }

    /// Returns the anonymous memory of a process in MB. The program's own pages don't count.
    pub fn memory_mb(&self, name: &str) -> u64 {
        let processes = self.processes();
        let found = processes.iter().find(|(n, _)| n == name);
        let id = found.map_or_else(|| give_up(name), |(_, child)| child.id());
        let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("RssAnon:"));
        let kb = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
        kb.unwrap_or(0) / 1_024
    }

    /// Kills a process, as the platform does with one that uses more than its memory.
    pub fn kill(&self, name: &str) {
        let mut processes = self.processes();
        if let Some((_, child)) = processes.iter_mut().find(|(n, _)| n == name) {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    fn start(&self, name: &str, settings: &str) {
        let file = self.folder.join(format!("{name}.ini"));
        fs::write(&file, settings).unwrap_or_else(|e| give_up(&e.to_string()));
        let program = std::env::var("LILACSPINDLED")
            .unwrap_or_else(|_| "target/release/lilacspindled".to_owned());
        let log = match std::env::var("DRILL_LOGS") {
            Ok(folder) => {
                let file = File::create(PathBuf::from(folder).join(format!("{name}.log")));
                Stdio::from(file.unwrap_or_else(|e| give_up(&e.to_string())))
            }
            Err(_) => Stdio::null(),
        };
        let child = Command::new(&program)
            .arg("run")
            .arg(&file)
            .stdin(Stdio::null())
            .stderr(Stdio::null())
            .stdout(log)
            .spawn()
            .unwrap_or_else(|e| give_up(&format!("{program}: {e}")));
        self.record.note(&format!("started {name}"));
        self.processes().push((name.to_owned(), child));
    }

    fn instance(&self, name: &str, zone: &str, host: u8, ports: [u16; 2], seeds: &[u8]) -> String {
        let seeds: Vec<String> = seeds
            .iter()
            .map(|seed| self.at(*seed, OPERATOR_PORT).to_string())
            .collect();
        format!(
            "[instance]\nname = {name}\nzone = {zone}\nrpc_address = {}\nadmin_address = {}\n\
             control_addresses = {}\ncontrol_rpc_port = 7200\n\n",
            self.at(host, ports[0]),
            self.at(host, ports[1]),
            seeds.join(",")
        )
    }

    /// Starts a process with the settings of `deploy/control.ini.tmpl`.
    pub fn start_control(&self, host: u8, seeds: &[u8]) {
        let name = format!("control-{host}");
        let settings = self.instance(&name, "hall-a", host, [7200, 7201], seeds)
            + &format!(
                "[directory]\noperator_address = {}\ndata_folder = {}\nlist_address = {}\n\
                 zones = hall-a,hall-b\nmay_form = true\ntolerated_losses = 1\ngrace_ms = 8000\n",
                self.at(host, OPERATOR_PORT),
                self.folder.join(format!("data-{host}")).display(),
                self.at(2, LIST_PORT),
            );
        self.start(&name, &settings);
    }

    /// Starts a process with the settings of `deploy/entry.ini.tmpl`.
    pub fn start_entry(&self, host: u8, seeds: &[u8]) {
        let name = format!("entry-{host}");
        let settings = self.instance(&name, "hall-a", host, [7202, 7203], seeds)
            + &format!(
                "[gateway]\nhttp_address = {}\nready_address = {}\nlist_address = {}\n\
                 grace_ms = 8000\nretry_ratio = 0.2\nretry_slack = 60\nretry_window_s = 10\n",
                self.front(host),
                self.ready(host),
                self.at(2, LIST_PORT),
            );
        self.start(&name, &settings);
    }

    /// Starts a process with the settings of `deploy/sidecar.ini.tmpl` beside a model replica.
    pub fn start_sidecar(&self, replica: &Replica, seeds: &[u8]) {
        let IpAddr::V4(ip) = replica.address.ip() else {
            give_up("no IPv4 address")
        };
        let host = ip.octets()[3];
        let name = format!("sidecar-{host}");
        let settings = self.instance(&name, replica.zone, host, [7204, 7205], seeds)
            + &format!(
                "[reporter]\nengine_address = {}\nengine_service = {}\nreuse_after_s = 2\n",
                replica.address, replica.service
            );
        self.start(&name, &settings);
    }

    /// Starts a replica on a machine of its own.
    pub fn start_replica(self: &Arc<Self>, host: u8, mut replica: Replica) -> Arc<Replica> {
        replica.address = self.at(host, REPLICA_PORT);
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        replica.born_ms = born.as_millis() as u64;
        replica.started = Instant::now();
        let replica = Arc::new(replica);
        let listener = TcpListener::bind(replica.address)
            .unwrap_or_else(|e| give_up(&format!("{}: {e}", replica.address)));
        listener.set_nonblocking(true).unwrap();
        self.replicas.lock().unwrap().push(Arc::clone(&replica));
        let (world, served) = (Arc::downgrade(self), Arc::clone(&replica));
        thread::spawn(move || {
            while !served.is_gone() {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let (served, world) = (Arc::clone(&served), world.clone());
                        thread::spawn(move || {
                            let _ = stream.set_nonblocking(false);
                            let _ = stream.set_nodelay(true);
                            if let Some(world) = world.upgrade() {
                                let replicas = world.replicas.lock().unwrap().clone();
                                let record = world.record.clone();
                                drop(world);
                                let ended = stream.try_clone();
                                serve_replica(&served, &replicas, &record, stream);
                                if let Ok(ended) = ended {
                                    let _ = ended.shutdown(std::net::Shutdown::Both);
                                }
                            }
                        });
                    }
                    Err(_) => thread::sleep(ms(2)),
                }
            }
        });
        replica
    }

    /// Starts a proxy before the RPC port of a control instance, through which an entry calls it.
    pub fn start_proxy(&self, host: u8, control: u8) -> Proxy {
        let (own, to) = (
            self.at(host, CONTROL_RPC_PORT),
            self.at(control, CONTROL_RPC_PORT),
        );
        let listener = TcpListener::bind(own).unwrap_or_else(|e| give_up(&format!("{own}: {e}")));
        let proxy = Proxy(Arc::default());
        let cut = Arc::clone(&proxy.0);
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let cut = Arc::clone(&cut);
                thread::spawn(move || {
                    wait_while(&cut);
                    let Ok(far) = TcpStream::connect(to) else {
                        return;
                    };
                    let _ = (near.set_nodelay(true), far.set_nodelay(true));
                    let (near2, far2) = (near.try_clone().unwrap(), far.try_clone().unwrap());
                    let other = Arc::clone(&cut);
                    thread::spawn(move || pass_on(near, far, &cut));
                    pass_on(far2, near2, &other);
                });
            }
        });
        proxy
    }

    /// The platform's list: `GET /instances`.
    fn serve_list(self: &Arc<Self>) {
        let address = self.at(2, LIST_PORT);
        let listener =
            TcpListener::bind(address).unwrap_or_else(|e| give_up(&format!("{address}: {e}")));
        let world = Arc::downgrade(self);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let Some(world) = world.upgrade() else { return };
                thread::spawn(move || {
                    let mut from = BufReader::new(stream.try_clone().unwrap());
                    let mut to = stream;
                    while read_message(&mut from).is_some() {
                        let body = world.list();
                        let kind = [("Content-Type", "application/json")];
                        if !respond(&mut to, "200 OK", &kind, &body) {
                            return;
                        }
                    }
                });
            }
        });
    }

    fn list(&self) -> String {
        let now = Instant::now();
        let replicas = self.replicas.lock().unwrap();
        let listed = replicas.iter().filter(|replica| !replica.is_gone());
        let entries: Vec<String> = listed
            .map(|replica| {
                let state = replica.state.lock().unwrap();
                let drains = state.listed_draining.is_some_and(|at| now >= at);
                let up_ms = replica.started.elapsed().as_millis() as u64;
                format!(
                    "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
                     \"slots\":{},\"state\":\"{}\",\"coldRemainingMs\":{},\"stage\":\"both\",\
                     \"born\":{},\"identifier\":\"{}\"}}",
                    replica.service,
                    replica.address,
                    replica.zone,
                    replica.slots,
                    if drains { "draining" } else { "ready" },
                    replica.cold_ms.saturating_sub(up_ms),
                    replica.born_ms,
                    replica.id
                )
            })
            .collect();
        format!("{{\"instances\":[{}],\"next\":null}}", entries.join(","))
    }

    /// Publishes a configuration as the operator does. Returns when it was acknowledged.
    pub fn publish(&self, controls: &[u8], config: &str) -> Instant {
        let deadline = Instant::now() + ms(15_000);
        let mut at = 0;
        while Instant::now() < deadline {
            let mut address = self.at(controls[at % controls.len()], OPERATOR_PORT);
            at += 1;
            for _ in 0..3 {
                let request = format!(
                    "POST /Configuration.Replace HTTP/1.1\r\nHost: control\r\n\
                     Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{config}",
                    config.len()
                );
                let Some(answer) = call(address, &request, ms(1_000)) else {
                    break;
                };
                match (answer.status(), answer.header("location")) {
                    (200, _) => {
                        let version = json_value(config, "version");
                        self.record
                            .note(&format!("configuration {version} acknowledged"));
                        return Instant::now();
                    }
                    (307, Some(to)) => {
                        let to = to.trim_start_matches("http://");
                        let to = to.split('/').next().unwrap_or("");
                        match to.parse() {
                            Ok(to) => address = to,
                            Err(_) => break,
                        }
                    }
                    (400, _) => give_up(&String::from_utf8_lossy(&answer.body)),
                    _ => break,
                }
            }
            thread::sleep(ms(200));
        }
        give_up("the configuration was not acknowledged")
    }

    /// Returns the control instance that leads: it acknowledges an order itself.
    pub fn leader(&self, controls: &[u8], config: &str) -> u8 {
        let deadline = Instant::now() + ms(15_000);
        while Instant::now() < deadline {
            for control in controls {
                let request = format!(
                    "POST /Configuration.Replace HTTP/1.1\r\nHost: control\r\n\
                     Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{config}",
                    config.len()
                );
                let answer = call(self.at(*control, OPERATOR_PORT), &request, ms(1_000));
                if answer.is_some_and(|answer| answer.status() == 200) {
                    return *control;
                }
            }
            thread::sleep(ms(100));
        }
        give_up("no control instance leads")
    }

    pub fn wait_until_ready(&self, host: u8) {
        let deadline = Instant::now() + ms(20_000);
        while Instant::now() < deadline {
            self.check_processes();
            let answer = call(
                self.ready(host),
                "GET /readiness HTTP/1.1\r\nHost: ready\r\n\r\n",
                ms(1_000),
            );
            if answer.is_some_and(|answer| answer.status() == 200) {
                self.record.note(&format!("entry-{host} is ready"));
                return;
            }
            thread::sleep(ms(50));
        }
        give_up("the entry did not become ready")
    }
}

/// Sends a request over a new connection and returns the whole response.
pub fn call(to: SocketAddr, request: &str, limit: Duration) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&to, limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    stream.write_all(request.as_bytes()).ok()?;
    read_message(&mut BufReader::new(stream))
}

/// Serves one connection of a replica.
fn serve_replica(
    replica: &Arc<Replica>,
    replicas: &[Arc<Replica>],
    record: &Record,
    stream: TcpStream,
) {
    if let Ok(kept) = stream.try_clone() {
        replica.state.lock().unwrap().streams.push(kept);
    }
    let mut from = BufReader::new(stream.try_clone().unwrap());
    let mut to = stream;
    while let Some(request) = read_message(&mut from) {
        if replica.is_gone() {
            return;
        }
        let is_open = match (request.line.split(' ').next(), request.path()) {
            (Some("GET"), "/report") => {
                let kind = [("Content-Type", "application/json")];
                respond(&mut to, "200 OK", &kind, &replica.report())
            }
            (Some("GET"), "/health") => {
                let id = [("X-Lilacspindle-Instance-Id", replica.id.as_str())];
                let leaves = replica.state.lock().unwrap().leaving.is_some();
                let status = if leaves {
                    "503 Service Unavailable"
                } else {
                    "200 OK"
                };
                respond(&mut to, status, &id, "")
            }
            (Some("POST"), "/kv-move") => move_run(replica, replicas, record, &request, &mut to),
            _ => serve_request(replica, replicas, record, &request, &mut to),
        };
        if !is_open {
            return;
        }
    }
}

/// Copies the memory of a run to another replica; with `last`, the run stops first.
fn move_run(
    replica: &Arc<Replica>,
    replicas: &[Arc<Replica>],
    record: &Record,
    request: &Message,
    to: &mut TcpStream,
) -> bool {
    let body = String::from_utf8_lossy(&request.body).into_owned();
    let (id, target) = (json_value(&body, "identifier"), json_value(&body, "to"));
    let is_last = json_value(&body, "last") == "true";
    let handle = format!("h{id}");
    let made = {
        let mut state = replica.state.lock().unwrap();
        let Some(run) = state.runs.get_mut(&id) else {
            return respond(to, "404 Not Found", &[], "{}");
        };
        run.stop |= is_last;
        run.made
    };
    // A copy of some 500 MB over 24 Gbit/s.
    thread::sleep(ms(if is_last { 20 } else { 150 }));
    let made = match is_last {
        false => made,
        true => loop {
            let state = replica.state.lock().unwrap();
            match state.runs.get(&id) {
                Some(run) if run.running => {
                    drop(state);
                    thread::sleep(ms(2));
                }
                Some(run) => break run.made,
                None => break made,
            }
        },
    };
    let found = replicas
        .iter()
        .find(|other| other.address.to_string() == target);
    let Some(found) = found.filter(|other| !other.is_gone()) else {
        record.note(&format!(
            "{}: kv-move of {id} to {target}: unreachable",
            replica.id
        ));
        let body = format!("{{\"handle\":\"{handle}\",\"made\":{made}}}");
        return respond(to, "503 Service Unavailable", &[], &body);
    };
    let copy = format!("{}/{handle}", replica.address);
    found.state.lock().unwrap().copies.insert(copy);
    record.note(&format!(
        "{}: kv-move of {id} to {}, last = {is_last}, made = {made}",
        replica.id, found.id
    ));
    let body = format!("{{\"handle\":\"{handle}\",\"made\":{made}}}");
    respond(to, "200 OK", &[("Content-Type", "application/json")], &body)
}

/// Serves one request of a client. Returns false if the connection is to be closed.
fn serve_request(
    replica: &Arc<Replica>,
    replicas: &[Arc<Replica>],
    record: &Record,
    request: &Message,
    to: &mut TcpStream,
) -> bool {
    let text = |name: &str| request.header(name).map(str::to_owned);
    let id = text("X-Lilacspindle-Request-Id").unwrap_or_default();
    let expected = text("X-Lilacspindle-Expected-Instance");
    let kv_from = text("Kv-From");
    let last_event = text("Last-Event-Id")
        .and_then(|n| n.parse().ok())
        .unwrap_or(0);
    let arrival = Arrival {
        at: Instant::now(),
        id: id.clone(),
        path: request.path().to_owned(),
        tenant: text("X-Lilacspindle-Tenant"),
        kv_from: kv_from.clone(),
        backup: text("X-Lilacspindle-Cache-Backup"),
        ran: false,
    };
    record.note(&format!(
        "{}: request {id} {} arrives, tenant = {:?}, Kv-From = {:?}, Last-Event-Id = {last_event}, backup = {:?}",
        replica.id, arrival.path, arrival.tenant, arrival.kv_from, arrival.backup
    ));
    let at = {
        let mut state = replica.state.lock().unwrap();
        state.arrivals.push(arrival);
        state.arrivals.len() - 1
    };
    let echo = ("X-Lilacspindle-Request-Id", id.as_str());
    let not_run = ("X-Lilacspindle-Not-Executed", "1");
    let asked_weights = text("X-Lilacspindle-Expected-Version");
    if asked_weights.is_some_and(|asked| asked != replica.weights.to_string()) {
        record.note(&format!(
            "{}: has weights {}; not run",
            replica.id, replica.weights
        ));
        return respond(to, "421 Misdirected Request", &[echo, not_run], "");
    }
    if expected.is_some_and(|expected| expected != replica.id) {
        return respond(to, "421 Misdirected Request", &[echo, not_run], "");
    }
    if let Some(copy) = &kv_from {
        let mut state = replica.state.lock().unwrap();
        let is_own = copy.starts_with(&format!("{}/", replica.address));
        let is_stopped = state.runs.get(&id).is_some_and(|run| !run.running);
        let is_known = state.copies.remove(copy) || (is_own && is_stopped);
        drop(state);
        if !is_known {
            record.note(&format!("{}: no copy {copy}; not run", replica.id));
            return respond(to, "503 Service Unavailable", &[echo, not_run], "");
        }
    }
    let seal = format!("{}.{}", replica.id, id);
    let seal = ("X-Lilacspindle-Response-Seal", seal.as_str());
    replica.state.lock().unwrap().arrivals[at].ran = true;
    if replica.kind == Kind::App {
        thread::sleep(replica.pace);
        return respond(to, "200 OK", &[echo, seal], "{\"ok\":true}");
    }
    let run = Run {
        made: last_event,
        stop: false,
        running: true,
        begun: Instant::now(),
        ended: None,
        goes_on: kv_from.is_some(),
    };
    replica.state.lock().unwrap().runs.insert(id.clone(), run);
    // The memory of the run is sent to the replica of the backup as it grows.
    let backup = text("X-Lilacspindle-Cache-Backup");
    let keeper = replicas
        .iter()
        .find(|other| backup == Some(other.address.to_string()));
    if let Some(keeper) = keeper.filter(|keeper| !keeper.is_gone()).cloned() {
        let copy = format!("{}/{id}", keeper.address);
        thread::spawn(move || {
            thread::sleep(ms(BACKUP_MS));
            keeper.state.lock().unwrap().copies.insert(copy);
        });
    }
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
         {}: {}\r\n{}: {}\r\nX-Lilacspindle-Weight-Versions: {}\r\n\r\n",
        echo.0, echo.1, seal.0, seal.1, replica.weights
    );
    let is_complete = stream_events(replica, &id, last_event, head, to);
    let mut state = replica.state.lock().unwrap();
    if let Some(run) = state.runs.get_mut(&id) {
        run.running = false;
        run.ended = Some(Instant::now());
        record.note(&format!(
            "{}: run {id} ends after event {}, complete = {is_complete}",
            replica.id, run.made
        ));
    }
    is_complete
}

fn stream_events(
    replica: &Replica,
    id: &str,
    after: u64,
    head: String,
    to: &mut TcpStream,
) -> bool {
    if to.write_all(head.as_bytes()).is_err() {
        return false;
    }
    let mut is_closed = false;
    for event in after + 1..=replica.events {
        thread::sleep(replica.pace);
        if replica.is_gone() {
            return false;
        }
        let (is_lost, is_cut) = {
            let mut state = replica.state.lock().unwrap();
            match state.runs.get_mut(id) {
                Some(run) if !run.stop => run.made = event,
                _ => return false,
            }
            (
                state.loses_answer_of.as_deref() == Some(id),
                state.cuts_answer_of.as_deref() == Some(id),
            )
        };
        if is_cut {
            let text = format!("id: {event}\ndata: {{\"te");
            let _ = to.write_all(format!("{:x}\r\n{text}\r\n0\r\n\r\n", text.len()).as_bytes());
            return false;
        }
        if is_lost {
            if !is_closed {
                let _ = to.shutdown(std::net::Shutdown::Both);
                is_closed = true;
            }
            continue;
        }
        let text = format!("id: {event}\ndata: {{\"text\":\"w{event}\"}}\n\n");
        let chunk = format!("{:x}\r\n{text}\r\n", text.len());
        is_closed = is_closed || to.write_all(chunk.as_bytes()).is_err();
        if is_closed && replica.drops_closed {
            return false;
        }
    }
    to.write_all(b"0\r\n\r\n").is_ok()
}

/// A proxy that can be cut: it then passes nothing on, in both directions, and resets nothing.
pub struct Proxy(Arc<AtomicBool>);

impl Proxy {
    pub fn set_cut(&self, is_cut: bool) {
        self.0.store(is_cut, Ordering::SeqCst);
    }
}

fn wait_while(cut: &AtomicBool) {
    while cut.load(Ordering::SeqCst) {
        thread::sleep(ms(2));
    }
}

fn pass_on(mut from: TcpStream, mut to: TcpStream, cut: &AtomicBool) {
    let mut buffer = [0; 65_536];
    while let Ok(length) = from.read(&mut buffer) {
        wait_while(cut);
        if length == 0 || to.write_all(&buffer[..length]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(std::net::Shutdown::Both);
    let _ = from.shutdown(std::net::Shutdown::Both);
}
