//! A small deployment on loopback addresses: the project's own daemons as processes, and stand-ins
//! for the platform's list, the servers and the operator. What the pages leave open is played as a
//! sound server, platform and operator.

use std::fs;
use std::io::Write;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::net::{Message, Reader, exchange, wait_for};

/// `recoveryS` of atlas-pneus.
pub const RECOVERY_S: u64 = 12;
pub const KEY: &str = "xd9dnn2ctnfzs989anu6";
pub const HOST: &str = "ficu95.example";
const GRACE_S: u64 = 8;
/// Last number of the first engine's address.
const FIRST_ENGINE: u8 = 20;

/// The record of a run: what was sent, answered and run.
#[derive(Clone)]
pub struct Record {
    begun: Instant,
    file: Arc<Mutex<fs::File>>,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file =
            fs::File::create(path).unwrap_or_else(|error| cannot_run(&format!("{path}: {error}")));
        Self {
            begun: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        }
    }

    pub fn line(&self, text: &str) {
        let at = self.begun.elapsed().as_secs_f64();
        let line = format!("{at:8.3} s  {text}\n");
        print!("{line}");
        let mut file = self.file.lock().unwrap_or_else(|e| e.into_inner());
        let _ = file.write_all(line.as_bytes());
    }
}

/// The processes that run, for an early end.
static PIDS: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the program and its processes: the case could not run.
pub fn cannot_run(reason: &str) -> ! {
    eprintln!("cannot run: {reason}");
    for pid in PIDS.lock().unwrap_or_else(|e| e.into_inner()).iter() {
        // SAFETY: the call has no memory arguments; the process was started here and was not waited for.
        unsafe { kill(pid.cast_signed(), SIGKILL) };
    }
    std::process::exit(2)
}

const SIGKILL: i32 = 9;
const PR_SET_PDEATHSIG: i32 = 1;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: usize) -> i32;
}

fn ip(last: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, 0, 33, last))
}

/// What a deployment consists of besides its three control instances and two entries.
pub struct Plan {
    zones: [&'static str; 3],
    /// Number of plain servers.
    plain: u8,
    /// Number of engines, each with its sidecar.
    engines: u8,
    /// True if the plain servers run in this process.
    serves: bool,
}

impl Plan {
    /// As in `atlas-pneus`, without engines.
    pub fn small() -> Self {
        Self {
            zones: ["hall-nord", "hall-centre", "hall-sud"],
            plain: 3,
            engines: 0,
            serves: true,
        }
    }

    /// As in `simien-booking-grown`, without engines, and with six plain servers, of which one is less
    /// than a share of 0.17. They are started by the case.
    pub fn without_servers() -> Self {
        Self {
            plain: 6,
            engines: 0,
            serves: false,
            ..Self::with_engines()
        }
    }

    /// As in `simien-booking-grown`, with eight engines, of which one is an eighth.
    pub fn with_engines() -> Self {
        Self {
            zones: ["debark-gate", "gondar-town", "tana-shore"],
            plain: 3,
            engines: 8,
            serves: true,
        }
    }
}

/// A server as the platform lists it.
#[derive(Clone)]
pub struct Server {
    pub identity: String,
    pub service: String,
    pub address: SocketAddr,
    pub zone: String,
    pub state: String,
    pub born: u64,
}

impl Server {
    fn entry(&self) -> String {
        format!(
            "{{\"identifier\":\"{}\",\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\
             \"version\":\"v1\",\"slots\":6,\"state\":\"{}\",\"coldRemainingMs\":0,\"born\":{}}}",
            self.identity, self.service, self.address, self.zone, self.state, self.born
        )
    }
}

/// What the platform's list holds: its servers, and raw entries of another writer.
#[derive(Default)]
struct List {
    servers: Vec<Server>,
    foreign: Vec<Vec<u8>>,
}

impl List {
    fn page(&self) -> Vec<u8> {
        let own = self
            .servers
            .iter()
            .map(|server| server.entry().into_bytes());
        let entries: Vec<Vec<u8>> = self.foreign.iter().cloned().chain(own).collect();
        let mut body = b"{\"instances\":[".to_vec();
        body.extend(entries.join(&b","[..]));
        body.extend_from_slice(b"],\"next\":null}");
        body
    }
}

pub fn respond(reader: &mut Reader, status: &str, headers: &str, body: &[u8]) -> bool {
    let mut bytes = format!(
        "HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n",
        body.len()
    )
    .into_bytes();
    bytes.extend_from_slice(body);
    reader.stream.write_all(&bytes).is_ok()
}

pub fn serve(
    address: SocketAddr,
    answer: impl Fn(&mut Reader, Message) -> bool + Send + Sync + 'static,
) {
    let listener = TcpListener::bind(address)
        .unwrap_or_else(|error| cannot_run(&format!("cannot listen on {address}: {error}")));
    let answer = Arc::new(answer);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let answer = Arc::clone(&answer);
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let mut reader = Reader::new(stream);
                while let Ok(Some(message)) = reader.message() {
                    if !answer(&mut reader, message) {
                        break;
                    }
                }
            });
        }
    });
}

/// Starts a plain server, as `PROTOCOL.md` describes it.
fn start_server(server: &Server, record: &Record) {
    let (own, record) = (server.clone(), record.clone());
    serve(server.address, move |reader, request| {
        let id = request
            .header("x-lilacspindle-request-id")
            .unwrap_or_default()
            .to_owned();
        let echo =
            format!("X-Lilacspindle-Request-Id: {id}\r\nX-Lilacspindle-Server-Load: 0,0,6\r\n");
        if request.target() == "/health" {
            let headers = format!("X-Lilacspindle-Instance-Id: {}\r\n", own.identity);
            return respond(reader, "200 OK", &headers, b"");
        }
        let expected = request.header("x-lilacspindle-expected-instance");
        if expected.is_some_and(|expected| expected != own.identity) {
            let headers = format!("{echo}X-Lilacspindle-Not-Executed: 1\r\n");
            return respond(reader, "421 Misdirected Request", &headers, b"");
        }
        if id.is_empty() {
            let headers = "X-Lilacspindle-Not-Executed: 1\r\n";
            return respond(reader, "400 Bad Request", headers, b"");
        }
        record.line(&format!(
            "server {} runs {} ({})",
            own.identity, id, request.start
        ));
        thread::sleep(Duration::from_millis(15));
        let headers = format!(
            "{echo}X-Lilacspindle-Response-Seal: {}.{id}\r\n",
            own.identity
        );
        respond(reader, "200 OK", &headers, b"served")
    });
}

/// One process of the system, with its settings file.
struct Process {
    name: String,
    settings: PathBuf,
    child: Option<Child>,
}

/// The deployment: three control instances with disks and two entries in three zones.
pub struct Site {
    record: Record,
    list: Arc<Mutex<List>>,
    pub entries: Vec<SocketAddr>,
    folder: PathBuf,
    program: PathBuf,
    control: Vec<SocketAddr>,
    processes: Vec<Process>,
    engines: Vec<Server>,
}

impl Drop for Site {
    fn drop(&mut self) {
        self.kill_all();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Returns a port from which on twelve are free on all addresses that are used.
fn free_ports() -> u16 {
    let process = std::process::id();
    for attempt in 0..200_u32 {
        let port = 20_000 + ((process.wrapping_mul(31) + attempt * 97) % 12_000) as u16;
        let is_free = |last: u8| {
            (port..port + 12).all(|port| TcpListener::bind(SocketAddr::new(ip(last), port)).is_ok())
        };
        if (1..=15).chain(FIRST_ENGINE..FIRST_ENGINE + 8).all(is_free) {
            return port;
        }
    }
    cannot_run("no free ports")
}

impl Site {
    /// Prepares a deployment; nothing runs yet but the platform's list and the servers.
    pub fn prepare(record: Record, plan: &Plan) -> Self {
        let port = free_ports();
        let (front, ready, control_port) = (port, port + 1, port + 2);
        let folder = std::env::temp_dir().join(format!("lilac-review-{}", std::process::id()));
        fs::create_dir_all(&folder).unwrap_or_else(|e| cannot_run(&e.to_string()));
        let list_address = SocketAddr::new(ip(13), port + 3);
        let zones = plan.zones;
        let control: Vec<SocketAddr> = (1..=3)
            .map(|n| SocketAddr::new(ip(n), control_port))
            .collect();
        let seeds = control
            .iter()
            .map(ToString::to_string)
            .collect::<Vec<_>>()
            .join(",");
        let mut processes = Vec::new();
        // As deploy/control.ini.tmpl and deploy/entry.ini.tmpl are filled in.
        for (at, address) in control.iter().enumerate() {
            let host = address.ip();
            let data = folder.join(format!("data-{at}"));
            let text = format!(
                "[instance]\nname = control-{at}\nzone = {}\nrpc_address = {host}:{}\n\
                 admin_address = {host}:{}\ncontrol_addresses = {seeds}\ncontrol_rpc_port = {}\n\n\
                 [directory]\noperator_address = {address}\ndata_folder = {}\n\
                 list_address = {list_address}\nzones = {}\nmay_form = true\n\
                 tolerated_losses = 1\ngrace_ms = {GRACE_S}000\n",
                zones[at],
                port + 4,
                port + 5,
                port + 4,
                data.display(),
                zones.join(",")
            );
            processes.push(Process::new(&folder, format!("control-{at}"), &text));
        }
        let entries: Vec<SocketAddr> = (1..=2).map(|n| SocketAddr::new(ip(n), front)).collect();
        for (at, address) in entries.iter().enumerate() {
            let host = address.ip();
            let text = format!(
                "[instance]\nname = entry-{at}\nzone = {}\nrpc_address = {host}:{}\n\
                 admin_address = {host}:{}\ncontrol_addresses = {seeds}\ncontrol_rpc_port = {}\n\n\
                 [gateway]\nhttp_address = {address}\nready_address = {host}:{ready}\n\
                 list_address = {list_address}\ngrace_ms = {GRACE_S}000\nretry_ratio = 0.2\n\
                 retry_slack = 60\nretry_window_s = 10\n",
                zones[at],
                port + 6,
                port + 7,
                port + 4
            );
            processes.push(Process::new(&folder, format!("entry-{at}"), &text));
        }
        let servers: Vec<Server> = (0..plan.plain)
            .map(|at| Server {
                identity: format!("i-{at}f3a91c2"),
                service: "wuno96b".to_owned(),
                address: SocketAddr::new(ip(10 + at), port + 8),
                zone: zones[usize::from(at) % zones.len()].to_owned(),
                state: "ready".to_owned(),
                born: 1_796_000_000_000 + u64::from(at),
            })
            .collect();
        let mut listed = servers.clone();
        let mut engine_servers = Vec::new();
        for at in 0..plan.engines {
            let server = Server {
                identity: format!("i-e{at}77b0d4"),
                service: "huvo11a".to_owned(),
                address: SocketAddr::new(ip(FIRST_ENGINE + at), port + 8),
                zone: zones[usize::from(at) % zones.len()].to_owned(),
                state: "ready".to_owned(),
                born: 1_796_000_000_100 + u64::from(at),
            };
            // As deploy/sidecar.ini.tmpl is filled in.
            let host = server.address.ip();
            let text = format!(
                "[instance]\nname = sidecar-{at}\nzone = {}\nrpc_address = {host}:{}\n\
                 admin_address = {host}:{}\ncontrol_addresses = {seeds}\ncontrol_rpc_port = {}\n\n\
                 [reporter]\nengine_address = {}\nengine_service = huvo11a\nreuse_after_s = 2\n",
                server.zone,
                port + 9,
                port + 10,
                port + 4,
                server.address
            );
            processes.push(Process::new(&folder, format!("sidecar-{at}"), &text));
            listed.push(server.clone());
            engine_servers.push(server);
        }
        let list = Arc::new(Mutex::new(List {
            servers: listed,
            ..List::default()
        }));
        let shown = Arc::clone(&list);
        serve(list_address, move |reader, _| {
            let page = shown.lock().unwrap_or_else(|e| e.into_inner()).page();
            respond(
                reader,
                "200 OK",
                "Content-Type: application/json\r\n",
                &page,
            )
        });
        if plan.serves {
            for server in &servers {
                start_server(server, &record);
            }
        }
        let program = PathBuf::from("target/release/lilacspindled");
        if !program.exists() {
            cannot_run(
                "target/release/lilacspindled is missing; run the build of deploy/system.toml",
            );
        }
        Self {
            record,
            list,
            entries,
            folder,
            program,
            control,
            processes,
            engines: engine_servers,
        }
    }

    /// Returns the plain servers as the list has them.
    pub fn listed(&self) -> Vec<Server> {
        let list = self.list.lock().unwrap_or_else(|e| e.into_inner());
        list.servers.clone()
    }

    /// The list shows a later start of a server.
    pub fn set_born(&self, identity: &str, born: u64) {
        let mut list = self.list.lock().unwrap_or_else(|e| e.into_inner());
        let servers = list.servers.iter_mut();
        for server in servers.filter(|server| server.identity == identity) {
            server.born = born;
        }
    }

    pub fn engines(&self) -> &[Server] {
        &self.engines
    }

    /// Starts a stand-in of this program as a process of its own, which ends with this one.
    pub fn spawn_standin(&self, arguments: &[String]) -> Child {
        let program = std::env::current_exe().unwrap_or_else(|e| cannot_run(&e.to_string()));
        let mut command = Command::new(program);
        command
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::null());
        let child = spawn(&mut command);
        PIDS.lock()
            .unwrap_or_else(|e| e.into_inner())
            .push(child.id());
        child
    }

    /// Returns the path of a file in the folder of the run.
    pub fn file(&self, name: &str) -> String {
        self.folder.join(name).display().to_string()
    }

    /// Starts every process that does not run.
    pub fn start_all(&mut self) {
        for process in &mut self.processes {
            if process.child.is_none() {
                process.start(&self.program, &self.folder);
            }
        }
        self.record.line("all processes started");
    }

    /// Kills every process at once.
    pub fn kill_all(&mut self) {
        for process in &mut self.processes {
            if let Some(child) = &mut process.child {
                let _ = child.kill();
            }
        }
        for process in &mut self.processes {
            if let Some(mut child) = process.child.take() {
                let mut pids = PIDS.lock().unwrap_or_else(|e| e.into_inner());
                pids.retain(|pid| *pid != child.id());
                let _ = child.wait();
            }
        }
    }

    /// Forgets `bootstrap`: the platform sets it at the first start of the whole system only.
    pub fn end_bootstrap(&self) {
        for process in &self.processes {
            let text = fs::read_to_string(&process.settings).unwrap_or_default();
            let _ = fs::write(
                &process.settings,
                text.replace("may_form = true", "may_form = false"),
            );
        }
    }

    /// Sends a configuration as the operator does, until it is acknowledged.
    pub fn publish(&self, version: u64) -> bool {
        let body = format!(
            "{{\"version\":{version},\"routes\":[\
             {{\"name\":\"r-unsafe\",\"host\":\"{HOST}\",\"pathPrefix\":\"/pule252/\",\"kind\":\"unsafe\",\
             \"timeoutMs\":1000,\"targetLatencyMs\":100,\"priority\":2,\"service\":\"wuno96b\",\
             \"maxAttempts\":1,\"allowAnonymous\":false,\"stickySessions\":false,\"resumeStreams\":false}},\
             {{\"name\":\"r-safe\",\"host\":\"{HOST}\",\"pathPrefix\":\"/lohu930/\",\"kind\":\"safe\",\
             \"timeoutMs\":1000,\"targetLatencyMs\":100,\"priority\":2,\"service\":\"wuno96b\",\
             \"maxAttempts\":2,\"allowAnonymous\":false,\"stickySessions\":false,\"resumeStreams\":false}},\
             {{\"name\":\"r-stream\",\"host\":\"{HOST}\",\"pathPrefix\":\"/mofa118/\",\"kind\":\"streaming\",\
             \"timeoutMs\":39000,\"targetLatencyMs\":1800,\"priority\":0,\"service\":\"huvo11a\",\
             \"maxAttempts\":1,\"allowAnonymous\":false,\"stickySessions\":true,\"resumeStreams\":false,\
             \"gapTargetMs\":180}}],\
             \"services\":[{{\"name\":\"huvo11a\",\"healthCheckPath\":\"/health\",\"maxConnections\":242,\
             \"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":24,\"kvCacheTokens\":26954,\
             \"kvBytes\":18432,\"linkMbps\":2700.0,\"moves\":true,\"backups\":true,\"stride\":4,\"most\":12,\
             \"pinMs\":4000.0,\"holdMs\":2000.0,\"handleS\":5.0,\"models\":[{{\"name\":\"m\"}}]}}}},{{\"name\":\"wuno96b\",\"healthCheckPath\":\"/health\",\"maxConnections\":120,\
             \"protocol\":\"h1\",\"tls\":false}}],\
             \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
             \"idleTimeoutMs\":15000}},\
             \"tenants\":[{{\"name\":\"huka270\",\"apiKeys\":[\"{KEY}\"],\"priority\":1}}]}}"
        );
        let mut at = 0;
        let acknowledged = wait_for(Duration::from_secs(15), || {
            let mut address = self.control[at % self.control.len()];
            at += 1;
            for _ in 0..3 {
                let request = format!(
                    "POST /Configuration.Replace HTTP/1.1\r\nHost: {address}\r\n\
                     Content-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
                    body.len()
                );
                let Ok(reply) = exchange(address, request.as_bytes(), Duration::from_secs(1))
                else {
                    return false;
                };
                match reply.status() {
                    200 => return true,
                    307 => {
                        let to = reply.header("location").unwrap_or_default();
                        let to = to.trim_start_matches("http://").split('/').next();
                        match to.and_then(|to| to.parse().ok()) {
                            Some(to) => address = to,
                            None => return false,
                        }
                    }
                    _ => return false,
                }
            }
            false
        });
        self.record.line(&format!(
            "configuration {version} acknowledged: {acknowledged}"
        ));
        acknowledged
    }

    /// Sends one client request over a connection of its own and returns its status; 0 for none.
    pub fn call(&self, entry: usize, id: &str, path: &str) -> u16 {
        let request = client_request("GET", path, id, "", b"");
        let reply = exchange(self.entries[entry], &request, Duration::from_millis(1_500));
        let status = reply.as_ref().map_or(0, Message::status);
        self.record.line(&format!(
            "client sent {id} to entry-{entry}: status {status}"
        ));
        status
    }

    /// Waits until an entry serves the plain route.
    pub fn is_served(&self, entry: usize) -> bool {
        let mut sent = 0;
        wait_for(Duration::from_secs(20), || {
            sent += 1;
            self.call(entry, &format!("5eed{entry:04x}{sent:08x}"), "/lohu930/2f") == 200
        })
    }

    /// Adds entries of another writer to the platform's list.
    pub fn add_foreign(&self, entries: Vec<Vec<u8>>) {
        let mut list = self.list.lock().unwrap_or_else(|e| e.into_inner());
        list.foreign.extend(entries);
    }

    /// Returns the number of entries of another writer in the list.
    pub fn foreign(&self) -> usize {
        let list = self.list.lock().unwrap_or_else(|e| e.into_inner());
        list.foreign.len()
    }

    /// Returns the entry of each server as another writer has it, which calls the service `name`.
    pub fn entries_of_service(&self, name: &str) -> Vec<Vec<u8>> {
        let list = self.list.lock().unwrap_or_else(|e| e.into_inner());
        let servers = list.servers.iter().cloned();
        let renamed = servers.map(|server| Server {
            service: name.to_owned(),
            ..server
        });
        renamed.map(|server| server.entry().into_bytes()).collect()
    }

    /// The platform's list shows a server as draining from now on.
    pub fn set_draining(&self, identity: &str) {
        let mut list = self.list.lock().unwrap_or_else(|e| e.into_inner());
        let servers = list.servers.iter_mut();
        for server in servers.filter(|server| server.identity == identity) {
            server.state = "draining".to_owned();
        }
    }
}

/// Returns a whole request of a client. `headers` are further header lines.
pub fn client_request(method: &str, path: &str, id: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let mut bytes = format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Lilacspindle-Request-Id: {id}\r\n\
         X-Lilacspindle-Deadline-Milliseconds: {}\r\nAuthorization: Bearer {KEY}\r\n{headers}\r\n",
        if path.starts_with("/mofa118/") {
            39_000
        } else {
            1_000
        }
    )
    .into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Starts a process that ends with this one.
fn spawn(command: &mut Command) -> Child {
    // SAFETY: between fork and exec only a system call is made.
    unsafe {
        command.pre_exec(|| {
            prctl(PR_SET_PDEATHSIG, SIGKILL as usize);
            Ok(())
        });
    }
    command
        .spawn()
        .unwrap_or_else(|error| cannot_run(&format!("{command:?}: {error}")))
}

impl Process {
    fn new(folder: &std::path::Path, name: String, text: &str) -> Self {
        let settings = folder.join(format!("{name}.ini"));
        fs::write(&settings, text).unwrap_or_else(|e| cannot_run(&e.to_string()));
        Self {
            name,
            settings,
            child: None,
        }
    }

    fn start(&mut self, program: &std::path::Path, folder: &std::path::Path) {
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(folder.join(format!("{}.log", self.name)))
            .unwrap_or_else(|e| cannot_run(&e.to_string()));
        let errors = log
            .try_clone()
            .unwrap_or_else(|e| cannot_run(&e.to_string()));
        let mut command = Command::new(program);
        command
            .arg("run")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors);
        let child = spawn(&mut command);
        PIDS.lock()
            .unwrap_or_else(|e| e.into_inner())
            .push(child.id());
        self.child = Some(child);
    }
}
